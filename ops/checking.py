"""Conversion of decoded files to msgspec types, which reports all violations at once and not only the first.

Used by the command line and the lab; ``python -m saffrongw`` doesn't import it.
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
    """A table of a file in which unknown keys are violations."""


Table = TypeVar("Table", bound=Strict)


@dataclass(frozen=True)
class Violation:
    """An invalid value: its key, the value as text, and what is expected."""

    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        display = self.value if len(self.value) <= 80 else f"{self.value[:77]}..."
        return f"{self.key} = {display}: {self.expected}" if display else f"{self.key}: {self.expected}"


class UntypedText(str):
    """A value of an environment variable or a flag, whose type depends on its key."""


def decode(value: object, value_type: object) -> Any:
    """Convert a value with msgspec and the types of ``units``; raises msgspec.ValidationError."""
    return msgspec.convert(value, value_type, dec_hook=_decode_unit)


def _decode_unit(value_type: type, value: Any) -> Any:
    if value_type in units.UNIT_TYPES:
        if not isinstance(value, str):
            raise ValueError(f"expected {value_type.EXPECTED}")
        return value_type(value)
    raise NotImplementedError(value_type)


def to_plain(value: object) -> Any:
    """Convert a typed table to plain values; unset keys are left out, as TOML has no null."""
    return _drop_none(msgspec.to_builtins(value, enc_hook=str))


def _drop_none(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _drop_none(inner) for key, inner in value.items() if inner is not None}
    return [_drop_none(inner) for inner in value] if isinstance(value, list) else value


def _check(value: Any, value_type: Any, path: str, violations: list[Violation]) -> Any:
    """Return the value with UntypedText converted; violations in it are appended to ``violations``."""
    value_type = _unwrap_optional(value_type)
    if isinstance(value_type, type) and issubclass(value_type, Strict):
        return _check_table(value, value_type, path, violations)
    if get_origin(value_type) is list:
        return _check_list(value, get_args(value_type)[0], path, violations)
    value = _parse_text(value, value_type)
    try:
        decode(value, value_type)
    except (msgspec.ValidationError, ValueError) as error:
        violations.append(Violation(path, _format_value(value), expectation(value_type, str(error))))
    return value


def _check_table(value: Any, value_type: type[Strict], path: str, violations: list[Violation]) -> Any:
    if not isinstance(value, dict):
        violations.append(Violation(path, _format_value(value), "expected a table"))
        return value
    prefix = f"{path}." if path else ""
    hints = typing.get_type_hints(value_type, include_extras=True)
    checked = {}
    for key, inner in value.items():
        if key in hints:
            checked[key] = _check(inner, hints[key], prefix + key, violations)
            continue
        similar = difflib.get_close_matches(str(key), hints, n=1, cutoff=0.5)
        hint = f"did you mean {prefix + similar[0]}?" if similar else f"known keys: {', '.join(hints)}"
        violations.append(Violation(prefix + str(key), _format_value(inner), f"unknown key, {hint}"))
    for field in msgspec.structs.fields(value_type):
        if field.required and field.name not in value:
            violations.append(
                Violation(prefix + field.name, "", f"is missing, {expectation(hints[field.name])}")
            )
    return checked


def _check_list(value: Any, value_type: Any, path: str, violations: list[Violation]) -> Any:
    if isinstance(value, UntypedText):
        value = _parse_toml(value, [UntypedText(item.strip()) for item in value.split(",") if item.strip()])
    if not isinstance(value, list):
        violations.append(Violation(path, _format_value(value), "expected a list"))
        return value
    return [_check(inner, value_type, f"{path}[{i}]", violations) for i, inner in enumerate(value)]


def _parse_text(value: Any, value_type: Any) -> Any:
    """Convert an UntypedText: to a string if the type accepts it, else to the value it has in TOML."""
    if not isinstance(value, UntypedText):
        return value
    try:
        decode(str(value), value_type)
        return str(value)
    except (msgspec.ValidationError, ValueError):
        return _parse_toml(value, str(value))


def _parse_toml(text: str, default: Any) -> Any:
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return default


def _unwrap_optional(value_type: Any) -> Any:
    if get_origin(value_type) in (types.UnionType, typing.Union):
        [value_type] = [inner for inner in get_args(value_type) if inner is not type(None)]
    return value_type


def expectation(value_type: Any, message: str = "") -> str:
    """Describe what a type accepts.

    ``message`` is the decoder's error, which is returned for a type without a description, and for a quantity
    that is not a whole number of base units.
    """
    value_type = _unwrap_optional(value_type)
    if value_type in units.UNIT_TYPES:
        return message if message.startswith("expected a whole") else f"expected {value_type.EXPECTED}"
    if get_origin(value_type) is Annotated:
        for meta in get_args(value_type)[1:]:
            if isinstance(meta, msgspec.Meta) and meta.description:
                return f"expected {meta.description}"
    descriptions = {bool: "true or false", int: "a whole number", float: "a number", str: "a string"}
    if value_type in descriptions:
        return f"expected {descriptions[value_type]}"
    if get_origin(value_type) is list:
        return "expected a list"
    return message or "expected a table"


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def validate(raw: dict[str, Any], value_type: type[Table]) -> tuple[Table | None, list[Violation]]:
    """Convert the values to this type; returns None and all violations if it fails."""
    violations: list[Violation] = []
    value = _check(raw, value_type, "", violations)
    return (None, violations) if violations else (decode(value, value_type), [])


def default_quantity(value: units.Quantity) -> Any:
    """Return a field whose default is a quantity.

    The default is a factory, as msgspec can't encode it in a schema; ``json_schema`` adds it as text.
    """
    return msgspec.field(default_factory=lambda: value)


def nested_tables(value_type: type[Strict]) -> list[type[Strict]]:
    """Return the type and the types of all tables nested in it."""
    result = [value_type]
    for hint in typing.get_type_hints(value_type).values():
        inner = _unwrap_optional(hint)
        if get_origin(inner) is list:
            inner = get_args(inner)[0]
        if isinstance(inner, type) and issubclass(inner, Strict):
            result += [table for table in nested_tables(inner) if table not in result]
    return result


def json_schema(value_type: type[Strict]) -> dict[str, Any]:
    """Return the JSON schema of files of this type."""

    def hook(unit: type) -> dict[str, Any]:
        if unit not in units.UNIT_TYPES:
            raise NotImplementedError(unit)
        return {"type": "string", "description": unit.EXPECTED}

    result = msgspec.json.schema(value_type, schema_hook=hook)
    # msgspec leaves out the defaults of quantities, since they come from factories.
    for table in nested_tables(value_type):
        for field in msgspec.structs.fields(table):
            value = None if field.default_factory is msgspec.NODEFAULT else field.default_factory()
            if isinstance(value, units.Quantity):
                result["$defs"][table.__name__]["properties"][field.name]["default"] = str(value)
    return result
