"""Validates a gateway's configuration: the type of each value, and the constraints between values."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from ops import units
from ops.checking import Violation, validate

from .model import Config

MIN_DESCRIPTORS = 96  # 48 for the process itself, a third of all for clients, some for hosts
MIN_MEMORY = units.Size("32MiB")  # an idle gateway's memory, and a little for requests


def check(raw: dict[str, Any]) -> tuple[Config | None, list[Violation]]:
    """Return the typed configuration and no errors, or None and all errors."""
    config, errors = validate(raw, Config)
    if config is None:
        return None, errors
    errors = list(check_relations(config))
    return (None if errors else config), errors


def check_relations(config: Config) -> Iterator[Violation]:
    """Yield a violation for each value that conflicts with another one or is out of range.

    Also for each required list that is empty, and for each name that a list repeats.
    """
    yield from _check_fleet(config)
    yield from _check_zone(config)
    yield from _check_limits(config)
    yield from _check_plans(config)
    yield from _check_classes(config)
    yield from _check_not_empty(config)
    yield from _check_unique_names(config)
    yield from _check_listen_addresses(config)


def _check_fleet(config: Config) -> Iterator[Violation]:
    fleet = config.fleet
    if fleet.rank >= fleet.gateways:
        yield Violation("fleet.rank", str(fleet.rank), f"expected below fleet.gateways, {fleet.gateways}")
    discovers_members = bool(fleet.join or fleet.meet)  # membership learns the other addresses
    if (
        config.requests.gossip
        and fleet.gateways > 1
        and not discovers_members
        and len(fleet.peers) != fleet.gateways
    ):
        expected = f"expected one address for each gateway, including its own: {fleet.gateways}"
        yield Violation("fleet.peers", f"{len(fleet.peers)} addresses", expected)
    if fleet.cluster is not None and not (config.requests.gossip and (fleet.peers or discovers_members)):
        expected = (
            "membership needs requests.gossip and fleet.peers, join or meet: add them, or remove this key"
        )
        yield Violation("fleet.cluster", f'"{fleet.cluster}"', expected)
    if discovers_members and fleet.peers:
        expected = (
            "expected none: fleet.join and fleet.meet discover the peers, remove either these or fleet.peers"
        )
        yield Violation("fleet.peers", f"{len(fleet.peers)} addresses", expected)
    if discovers_members and (fleet.cluster is None or fleet.listen is None):
        expected = (
            "fleet.join and fleet.meet need fleet.cluster and a fleet.listen that other gateways can reach"
        )
        yield Violation("fleet.join" if fleet.join else "fleet.meet", "set", expected)
    if (
        discovers_members
        and fleet.listen
        and not fleet.advertise
        and str(fleet.listen).startswith("0.0.0.0:")
    ):
        expected = "expected an address that other gateways can reach: set fleet.advertise"
        yield Violation("fleet.listen", f'"{fleet.listen}"', expected)


def _check_zone(config: Config) -> Iterator[Violation]:
    if config.zone is not None and config.zone not in config.zones:
        yield Violation("zone", f'"{config.zone}"', f"expected one of zones: {', '.join(config.zones)}")


def _check_limits(config: Config) -> Iterator[Violation]:
    limits = config.limits
    if limits.descriptors < MIN_DESCRIPTORS:
        expected = (
            f"too few, expected at least {MIN_DESCRIPTORS}: 48 for the process, a third of all for clients"
        )
        yield Violation("limits.descriptors", str(limits.descriptors), expected)
    if limits.memory.base < MIN_MEMORY.base:
        yield Violation("limits.memory", f'"{limits.memory}"', f"too little, expected at least {MIN_MEMORY}")


def _check_plans(config: Config) -> Iterator[Violation]:
    for index, plan in enumerate(config.plans):
        if 0 < plan.ceiling_rate < plan.rate:
            expected = f"the ceiling is below the quota: expected at least {plan.rate:g}, or 0 for no ceiling"
            yield Violation(f"plans[{index}].ceiling_rate", f"{plan.ceiling_rate:g}", expected)
        if plan.ceiling_rate and not plan.ceiling_burst:
            yield Violation(f"plans[{index}].ceiling_burst", "0", "expected above 0 if there is a ceiling")
        if plan.rate and not plan.burst:
            yield Violation(f"plans[{index}].burst", "0", "expected above 0: a burst of 0 admits no requests")


def _check_classes(config: Config) -> Iterator[Violation]:
    for index, request_class in enumerate(config.classes):
        if request_class.aim.base > request_class.deadline.base:
            expected = f"expected at most the deadline of the class, {request_class.deadline}"
            yield Violation(f"classes[{index}].aim", f'"{request_class.aim}"', expected)
        if not request_class.deadline.base:
            yield Violation(f"classes[{index}].deadline", f'"{request_class.deadline}"', "expected above 0")
        if request_class.effect == "by_key" and not request_class.repeat_window.base:
            expected = 'expected above 0 for effect = "by_key": how long hosts discard repeated requests'
            yield Violation(f"classes[{index}].repeat_window", f'"{request_class.repeat_window}"', expected)


def _check_not_empty(config: Config) -> Iterator[Violation]:
    if not config.classes:
        yield Violation("classes", "[]", "expected at least one class")
    if not config.plans:
        yield Violation("plans", "[]", "expected at least one plan")
    if not config.zones:
        yield Violation("zones", "[]", "expected at least one zone")


def _check_unique_names(config: Config) -> Iterator[Violation]:
    names = {
        "classes": [request_class.name for request_class in config.classes],
        "plans": [plan.name for plan in config.plans],
        "zones": config.zones,
        "fleet.peers": [str(peer) for peer in config.fleet.peers],
    }
    for key, values in names.items():
        for name in [name for name, occurrences in Counter(values).items() if occurrences > 1]:
            yield Violation(key, f'"{name}"', "is listed more than once")


def _check_listen_addresses(config: Config) -> Iterator[Violation]:
    listen_addresses = {"listen": config.listen, "control": config.control, "metrics": config.metrics}
    used_addresses: dict[str, str] = {}
    for key, address in listen_addresses.items():
        if address is not None:
            if str(address) in used_addresses:
                yield Violation(
                    key,
                    f'"{address}"',
                    f"expected an address other than that of {used_addresses[str(address)]}",
                )
            used_addresses[str(address)] = key
