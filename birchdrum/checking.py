"""Plain values to types with every mistake told at once, and the relations between them."""

from __future__ import annotations

import difflib
import tomllib
import types
import typing
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, get_args, get_origin

import msgspec

from . import units
from .model import Config, Strict

DESCRIPTORS_LEAST = 96  # 48 for the process itself, a third for clients, and some for hosts
MEMORY_LEAST = units.Size("32MiB")  # what a gateway takes at rest, and a little for requests


@dataclass(frozen=True)
class Mistake:
    """One wrong value: where, what stands there, what is expected."""

    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        shown = self.value if len(self.value) <= 80 else f"{self.value[:77]}..."
        return f"{self.key} = {shown}: {self.expected}" if shown else f"{self.key}: {self.expected}"


class Text(str):
    """A value of the environment or a flag: its type is known only by the key it is for."""


def decode(value: object, kind: object) -> Any:
    """msgspec's conversion with the types of ``units``; raises msgspec.ValidationError."""
    return msgspec.convert(value, kind, dec_hook=_unit)


def _unit(kind: type, value: Any) -> Any:
    if kind in units.KINDS:
        if not isinstance(value, str):
            raise ValueError(f"expected {kind.EXPECTED}")
        return kind(value)
    raise NotImplementedError(kind)


def plain(value: object) -> Any:
    """A typed configuration as the values that a file has."""
    return msgspec.to_builtins(value, enc_hook=str)


def check(raw: dict[str, Any]) -> tuple[Config | None, list[Mistake]]:
    """The typed configuration, or all that is wrong with it."""
    mistakes: list[Mistake] = []
    value = _walk(raw, Config, "", mistakes)
    if mistakes:
        return None, mistakes
    config = decode(value, Config)
    mistakes = list(relations(config))
    return (None if mistakes else config), mistakes


def _walk(value: Any, kind: Any, path: str, mistakes: list[Mistake]) -> Any:
    """The value with its texts turned to what its type wants; each mistake below it is added."""
    kind = _without_none(kind)
    if isinstance(kind, type) and issubclass(kind, Strict):
        return _table(value, kind, path, mistakes)
    if get_origin(kind) is list:
        return _list(value, get_args(kind)[0], path, mistakes)
    value = _of_text(value, kind)
    try:
        decode(value, kind)
    except (msgspec.ValidationError, ValueError) as wrong:
        mistakes.append(Mistake(path, _shown(value), expected(kind, str(wrong))))
    return value


def _table(value: Any, kind: type[Strict], path: str, mistakes: list[Mistake]) -> Any:
    if not isinstance(value, dict):
        mistakes.append(Mistake(path, _shown(value), "expected a table"))
        return value
    at = f"{path}." if path else ""
    hints = typing.get_type_hints(kind, include_extras=True)
    done = {}
    for key, inner in value.items():
        if key in hints:
            done[key] = _walk(inner, hints[key], at + key, mistakes)
            continue
        near = difflib.get_close_matches(str(key), hints, n=1, cutoff=0.5)
        known = f"did you mean {at + near[0]}?" if near else f"known here: {', '.join(hints)}"
        mistakes.append(Mistake(at + str(key), _shown(inner), f"unknown key, {known}"))
    for missing in msgspec.structs.fields(kind):
        if missing.required and missing.name not in value:
            mistakes.append(Mistake(at + missing.name, "", f"is missing, {expected(hints[missing.name])}"))
    return done


def _list(value: Any, kind: Any, path: str, mistakes: list[Mistake]) -> Any:
    if isinstance(value, Text):
        value = _parsed(value, [Text(word.strip()) for word in value.split(",") if word.strip()])
    if not isinstance(value, list):
        mistakes.append(Mistake(path, _shown(value), "expected a list"))
        return value
    return [_walk(inner, kind, f"{path}[{i}]", mistakes) for i, inner in enumerate(value)]


def _of_text(value: Any, kind: Any) -> Any:
    """What a text of the environment means: itself where a text is wanted, else as TOML reads it."""
    if not isinstance(value, Text):
        return value
    try:
        decode(str(value), kind)
        return str(value)
    except (msgspec.ValidationError, ValueError):
        return _parsed(value, str(value))


def _parsed(text: str, otherwise: Any) -> Any:
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return otherwise


def _without_none(kind: Any) -> Any:
    if get_origin(kind) in (types.UnionType, typing.Union):
        [kind] = [inner for inner in get_args(kind) if inner is not type(None)]
    return kind


def expected(kind: Any, said: str = "") -> str:
    """What may stand there, in words; ``said`` is the decoder's word for kinds that have none."""
    kind = _without_none(kind)
    if kind in units.KINDS:
        return said if said.startswith("expected a whole") else f"expected {kind.EXPECTED}"
    if get_origin(kind) is Annotated:
        for meta in get_args(kind)[1:]:
            if isinstance(meta, msgspec.Meta) and meta.description:
                return f"expected {meta.description}"
    words = {bool: "true or false", int: "a whole number", float: "a number", str: "a text"}
    if kind in words:
        return f"expected {words[kind]}"
    if get_origin(kind) is list:
        return "expected a list"
    return said or "expected a table"


def _shown(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def relations(config: Config) -> Iterator[Mistake]:
    """What each value may not be next to the others."""
    fleet, limits = config.fleet, config.limits
    if fleet.rank >= fleet.gateways:
        yield Mistake("fleet.rank", str(fleet.rank), f"expected below fleet.gateways, {fleet.gateways}")
    if config.requests.gossip and fleet.gateways > 1 and len(fleet.peers) != fleet.gateways:
        wanted = f"expected one address a gateway, its own included: {fleet.gateways}"
        yield Mistake("fleet.peers", f"{len(fleet.peers)} addresses", wanted)
    if config.zone is not None and config.zone not in config.zones:
        yield Mistake("zone", f'"{config.zone}"', f"expected one of zones: {', '.join(config.zones)}")
    if limits.descriptors < DESCRIPTORS_LEAST:
        wanted = f"too few, expected {DESCRIPTORS_LEAST} at least: 48 of the process, a third for clients"
        yield Mistake("limits.descriptors", str(limits.descriptors), wanted)
    if limits.memory.base < MEMORY_LEAST.base:
        yield Mistake("limits.memory", f'"{limits.memory}"', f"too little, expected {MEMORY_LEAST} at least")
    for i, plan in enumerate(config.plans):
        if 0 < plan.ceiling_rate < plan.rate:
            wanted = f"a ceiling below its quota: expected {plan.rate:g} at least, or 0 for none"
            yield Mistake(f"plans[{i}].ceiling_rate", f"{plan.ceiling_rate:g}", wanted)
        if plan.ceiling_rate and not plan.ceiling_burst:
            yield Mistake(f"plans[{i}].ceiling_burst", "0", "expected above 0 where there is a ceiling")
        if plan.rate and not plan.burst:
            yield Mistake(f"plans[{i}].burst", "0", "expected above 0: nothing would pass")
    for i, kind in enumerate(config.classes):
        if kind.aim.base > kind.deadline.base:
            wanted = f"expected at most its deadline, {kind.deadline}"
            yield Mistake(f"classes[{i}].aim", f'"{kind.aim}"', wanted)
        if not kind.deadline.base:
            yield Mistake(f"classes[{i}].deadline", f'"{kind.deadline}"', "expected above 0")
        if kind.effect == "by_key" and not kind.repeat_window.base:
            wanted = 'expected above 0 for effect = "by_key": how long hosts discard repeats'
            yield Mistake(f"classes[{i}].repeat_window", f'"{kind.repeat_window}"', wanted)
    if not config.classes:
        yield Mistake("classes", "[]", "expected one class at least")
    if not config.plans:
        yield Mistake("plans", "[]", "expected one plan at least")
    if not config.zones:
        yield Mistake("zones", "[]", "expected one zone at least")
    names = {
        "classes": [kind.name for kind in config.classes],
        "plans": [plan.name for plan in config.plans],
        "zones": config.zones,
        "fleet.peers": [str(peer) for peer in fleet.peers],
    }
    for key, values in names.items():
        for name in [name for name, times in Counter(values).items() if times > 1]:
            yield Mistake(key, f'"{name}"', "stands twice, expected once")
    own = {"listen": config.listen, "control": config.control, "metrics": config.metrics}
    taken: dict[str, str] = {}
    for key, address in own.items():
        if address is not None:
            if str(address) in taken:
                yield Mistake(key, f'"{address}"', f"expected another address than {taken[str(address)]}")
            taken[str(address)] = key
