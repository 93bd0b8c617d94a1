"""Plain values to types with every mistake told at once: msgspec's types, walked key by key.

Imported by the command line and the lab, never by ``run``.
"""

from __future__ import annotations

import difflib
import tomllib
import types
import typing
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar, get_args, get_origin

import msgspec

from . import units

Ratio = Annotated[float, msgspec.Meta(ge=0, le=1, description="a number from 0 to 1")]
NonNegative = Annotated[float, msgspec.Meta(ge=0, description="a number of 0 or more")]
Positive = Annotated[float, msgspec.Meta(gt=0, description="a number above 0")]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, description="a whole number of 0 or more")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1, description="a whole number of 1 or more")]


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of a file; what it does not know is a mistake."""


Table = TypeVar("Table", bound=Strict)


@dataclass(frozen=True)
class Violation:
    """One wrong value: where, what stands there, what is expected."""

    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        shown = self.value if len(self.value) <= 80 else f"{self.value[:77]}..."
        return f"{self.key} = {shown}: {self.expected}" if shown else f"{self.key}: {self.expected}"


class UntypedText(str):
    """A value of the environment or a flag: its type is known only by the key it is for."""


def decode(value: object, kind: object) -> Any:
    """msgspec's conversion with the types of ``units``; raises msgspec.ValidationError."""
    return msgspec.convert(value, kind, dec_hook=_unit)


def _unit(kind: type, value: Any) -> Any:
    if kind in units.UNIT_TYPES:
        if not isinstance(value, str):
            raise ValueError(f"expected {kind.EXPECTED}")
        return kind(value)
    raise NotImplementedError(kind)


def to_plain(value: object) -> Any:
    """A typed table as the values that a file has: what is not set is not there, as a file can't say null."""
    return _set(msgspec.to_builtins(value, enc_hook=str))


def _set(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _set(inner) for key, inner in value.items() if inner is not None}
    return [_set(inner) for inner in value] if isinstance(value, list) else value


def _walk(value: Any, kind: Any, path: str, violations: list[Violation]) -> Any:
    """The value with its texts turned to what its type wants; each mistake below it is added."""
    kind = _unwrap_optional(kind)
    if isinstance(kind, type) and issubclass(kind, Strict):
        return _table(value, kind, path, violations)
    if get_origin(kind) is list:
        return _list(value, get_args(kind)[0], path, violations)
    value = _of_text(value, kind)
    try:
        decode(value, kind)
    except (msgspec.ValidationError, ValueError) as wrong:
        violations.append(Violation(path, _shown(value), expected(kind, str(wrong))))
    return value


def _table(value: Any, kind: type[Strict], path: str, violations: list[Violation]) -> Any:
    if not isinstance(value, dict):
        violations.append(Violation(path, _shown(value), "expected a table"))
        return value
    at = f"{path}." if path else ""
    hints = typing.get_type_hints(kind, include_extras=True)
    done = {}
    for key, inner in value.items():
        if key in hints:
            done[key] = _walk(inner, hints[key], at + key, violations)
            continue
        near = difflib.get_close_matches(str(key), hints, n=1, cutoff=0.5)
        known = f"did you mean {at + near[0]}?" if near else f"known here: {', '.join(hints)}"
        violations.append(Violation(at + str(key), _shown(inner), f"unknown key, {known}"))
    for missing in msgspec.structs.fields(kind):
        if missing.required and missing.name not in value:
            violations.append(
                Violation(at + missing.name, "", f"is missing, {expected(hints[missing.name])}")
            )
    return done


def _list(value: Any, kind: Any, path: str, violations: list[Violation]) -> Any:
    if isinstance(value, UntypedText):
        value = _parsed(value, [UntypedText(word.strip()) for word in value.split(",") if word.strip()])
    if not isinstance(value, list):
        violations.append(Violation(path, _shown(value), "expected a list"))
        return value
    return [_walk(inner, kind, f"{path}[{i}]", violations) for i, inner in enumerate(value)]


def _of_text(value: Any, kind: Any) -> Any:
    """What a text of the environment means: itself where a text is wanted, else as TOML reads it."""
    if not isinstance(value, UntypedText):
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


def _unwrap_optional(kind: Any) -> Any:
    if get_origin(kind) in (types.UnionType, typing.Union):
        [kind] = [inner for inner in get_args(kind) if inner is not type(None)]
    return kind


def expected(kind: Any, said: str = "") -> str:
    """What may stand there, in words; ``said`` is the decoder's word for kinds that have none."""
    kind = _unwrap_optional(kind)
    if kind in units.UNIT_TYPES:
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


def validate(raw: dict[str, Any], kind: type[Table]) -> tuple[Table | None, list[Violation]]:
    """The values as this type, or all that is wrong with them."""
    violations: list[Violation] = []
    value = _walk(raw, kind, "", violations)
    return (None, violations) if violations else (decode(value, kind), [])


def default_quantity(value: units.Quantity) -> Any:
    """A default that msgspec's schema does not try to encode; ``schema`` puts its text there."""
    return msgspec.field(default_factory=lambda: value)


def nested_tables(kind: type[Strict]) -> list[type[Strict]]:
    """The type and all tables below it."""
    found = [kind]
    for hint in typing.get_type_hints(kind).values():
        inner = _unwrap_optional(hint)
        if get_origin(inner) is list:
            inner = get_args(inner)[0]
        if isinstance(inner, type) and issubclass(inner, Strict):
            found += [table for table in nested_tables(inner) if table not in found]
    return found


def json_schema(kind: type[Strict]) -> dict[str, Any]:
    """The JSON schema of a file of this type."""

    def hook(unit: type) -> dict[str, Any]:
        if unit not in units.UNIT_TYPES:
            raise NotImplementedError(unit)
        return {"type": "string", "description": unit.EXPECTED}

    done = msgspec.json.schema(kind, schema_hook=hook)
    for table in nested_tables(kind):
        for key in msgspec.structs.fields(table):
            value = None if key.default_factory is msgspec.NODEFAULT else key.default_factory()
            if isinstance(value, units.Quantity):
                done["$defs"][table.__name__]["properties"][key.name]["default"] = str(value)
    return done
