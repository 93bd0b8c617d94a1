"""What a gateway's configuration may not say: its types, and the relations between its values."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from ops import units
from ops.checking import Violation, validate

from .model import Config

DESCRIPTORS_LEAST = 96  # 48 for the process itself, a third for clients, and some for hosts
MEMORY_LEAST = units.Size("32MiB")  # what a gateway takes at rest, and a little for requests


def check(raw: dict[str, Any]) -> tuple[Config | None, list[Violation]]:
    """The typed configuration, or all that is wrong with it."""
    config, mistakes = validate(raw, Config)
    if config is None:
        return None, mistakes
    mistakes = list(relations(config))
    return (None if mistakes else config), mistakes


def relations(config: Config) -> Iterator[Violation]:
    """What each value may not be next to the others."""
    fleet, limits = config.fleet, config.limits
    if fleet.rank >= fleet.gateways:
        yield Violation("fleet.rank", str(fleet.rank), f"expected below fleet.gateways, {fleet.gateways}")
    finds = bool(fleet.join or fleet.meet)  # members learn where the others are
    if config.requests.gossip and fleet.gateways > 1 and not finds and len(fleet.peers) != fleet.gateways:
        wanted = f"expected one address a gateway, its own included: {fleet.gateways}"
        yield Violation("fleet.peers", f"{len(fleet.peers)} addresses", wanted)
    if fleet.cluster is not None and not (config.requests.gossip and (fleet.peers or finds)):
        wanted = "membership needs requests.gossip and fleet.peers, join or meet: add them, or leave it out"
        yield Violation("fleet.cluster", f'"{fleet.cluster}"', wanted)
    if finds and fleet.peers:
        wanted = "expected none: fleet.join and fleet.meet learn what fleet.peers fixes, choose one"
        yield Violation("fleet.peers", f"{len(fleet.peers)} addresses", wanted)
    if finds and (fleet.cluster is None or fleet.listen is None):
        wanted = (
            "fleet.join and fleet.meet need fleet.cluster and fleet.listen, where others reach this gateway"
        )
        yield Violation("fleet.join" if fleet.join else "fleet.meet", "set", wanted)
    if finds and fleet.listen and not fleet.advertise and str(fleet.listen).startswith("0.0.0.0:"):
        wanted = "an address that others can reach is needed: set fleet.advertise"
        yield Violation("fleet.listen", f'"{fleet.listen}"', wanted)
    if config.zone is not None and config.zone not in config.zones:
        yield Violation("zone", f'"{config.zone}"', f"expected one of zones: {', '.join(config.zones)}")
    if limits.descriptors < DESCRIPTORS_LEAST:
        wanted = f"too few, expected {DESCRIPTORS_LEAST} at least: 48 of the process, a third for clients"
        yield Violation("limits.descriptors", str(limits.descriptors), wanted)
    if limits.memory.base < MEMORY_LEAST.base:
        yield Violation(
            "limits.memory", f'"{limits.memory}"', f"too little, expected {MEMORY_LEAST} at least"
        )
    for i, plan in enumerate(config.plans):
        if 0 < plan.ceiling_rate < plan.rate:
            wanted = f"a ceiling below its quota: expected {plan.rate:g} at least, or 0 for none"
            yield Violation(f"plans[{i}].ceiling_rate", f"{plan.ceiling_rate:g}", wanted)
        if plan.ceiling_rate and not plan.ceiling_burst:
            yield Violation(f"plans[{i}].ceiling_burst", "0", "expected above 0 where there is a ceiling")
        if plan.rate and not plan.burst:
            yield Violation(f"plans[{i}].burst", "0", "expected above 0: nothing would pass")
    for i, kind in enumerate(config.classes):
        if kind.aim.base > kind.deadline.base:
            wanted = f"expected at most its deadline, {kind.deadline}"
            yield Violation(f"classes[{i}].aim", f'"{kind.aim}"', wanted)
        if not kind.deadline.base:
            yield Violation(f"classes[{i}].deadline", f'"{kind.deadline}"', "expected above 0")
        if kind.effect == "by_key" and not kind.repeat_window.base:
            wanted = 'expected above 0 for effect = "by_key": how long hosts discard repeats'
            yield Violation(f"classes[{i}].repeat_window", f'"{kind.repeat_window}"', wanted)
    if not config.classes:
        yield Violation("classes", "[]", "expected one class at least")
    if not config.plans:
        yield Violation("plans", "[]", "expected one plan at least")
    if not config.zones:
        yield Violation("zones", "[]", "expected one zone at least")
    names = {
        "classes": [kind.name for kind in config.classes],
        "plans": [plan.name for plan in config.plans],
        "zones": config.zones,
        "fleet.peers": [str(peer) for peer in fleet.peers],
    }
    for key, values in names.items():
        for name in [name for name, times in Counter(values).items() if times > 1]:
            yield Violation(key, f'"{name}"', "stands twice, expected once")
    own = {"listen": config.listen, "control": config.control, "metrics": config.metrics}
    taken: dict[str, str] = {}
    for key, address in own.items():
        if address is not None:
            if str(address) in taken:
                yield Violation(key, f'"{address}"', f"expected another address than {taken[str(address)]}")
            taken[str(address)] = key
