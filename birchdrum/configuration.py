"""Where a gateway's configuration comes from: a file, then the environment, then flags.

The file is ours (TOML) or the platform's (JSON); either ends as the platform's form, which
``saffrongw.config`` parses as ever. So ``saffrongw`` has one parser, and imports nothing of this.
"""

from __future__ import annotations

import json
import os
import re
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import tomlkit

from ops.checking import Mistake, Text, plain
from saffrongw import config as platform

from . import checking, convert
from .model import Config

PREFIX = "BIRCHDRUM_"
RESERVED = frozenset({"BIRCHDRUM_CONFIG", "BIRCHDRUM_PYTHON", "BIRCHDRUM_WORKERS"})  # not keys of the file
MAX_FILE_BYTES = 16 * 1024 * 1024  # bytes: a list of ten thousand hosts takes a tenth


class ConfigurationError(ValueError):
    """A configuration that can't be used; ``lines`` say why, one each."""

    def __init__(self, lines: Iterable[str]) -> None:
        self.lines = list(lines)
        super().__init__("; ".join(self.lines))


@dataclass(frozen=True)
class LoadedConfiguration:
    """A whole configuration: as it is in force, and where each key that was given comes from."""

    typed: Config
    platform: dict[str, Any]  # in the platform's form
    origins: dict[str, str]


def read_file(file: Path) -> tuple[dict[str, Any], bool]:
    """A file's values, and whether it is the platform's JSON; raises Unusable."""
    try:
        if file.is_dir():
            raise ConfigurationError([f"{file}: is a directory, name the file"])
        if file.exists() and not file.is_file():
            raise ConfigurationError([f"{file}: is no regular file"])
        with file.open("rb") as opened:
            raw = opened.read(MAX_FILE_BYTES + 1)
    except OSError as wrong:
        raise ConfigurationError([f"{file}: {(wrong.strerror or str(wrong)).lower()}"]) from None
    if len(raw) > MAX_FILE_BYTES:
        raise ConfigurationError(
            [f"{file}: is larger than {MAX_FILE_BYTES >> 20} MiB, which no configuration is"]
        )
    try:
        text = raw.decode("utf-8-sig")
    except UnicodeDecodeError as wrong:
        raise ConfigurationError([f"{file}: is not UTF-8, first at byte {wrong.start}"]) from None
    if not text.strip():
        raise ConfigurationError([f"{file}: is empty"])
    is_json = text.lstrip().startswith("{")
    try:
        values = json.loads(text) if is_json else tomllib.loads(text)
    except json.JSONDecodeError as wrong:
        raise ConfigurationError([f"{file}: is no whole JSON: {wrong}"]) from None
    except (tomllib.TOMLDecodeError, RecursionError) as wrong:
        raise ConfigurationError([f"{file}: is no whole TOML: {str(wrong) or 'nested too deeply'}"]) from None
    return values, is_json


def from_environment(environment: Mapping[str, str]) -> dict[str, str]:
    """Keys that the environment sets, by name of the variable: two underscores stand for a dot."""
    names = [name for name in environment if name.startswith(PREFIX) and name not in RESERVED]
    return {name: name.removeprefix(PREFIX).lower().replace("__", ".") for name in names}


def load(
    file: Path, flags: Mapping[str, str] | None = None, environment: Mapping[str, str] | None = None
) -> LoadedConfiguration:
    """The configuration in force; raises Unusable with all mistakes. Flags are keys with their texts."""
    environment = os.environ if environment is None else environment
    values, is_json = read_file(file)
    theirs = values if is_json else None
    if is_json:
        values = convert.from_platform(values)
    origins = {path: str(file) for path in _paths(values)}
    odd: list[str] = []
    given = [(key, environment[name], name) for name, key in from_environment(environment).items()]
    given += [(key, text, "flag") for key, text in (flags or {}).items()]
    for key, text, origin in given:
        try:
            _override(values, key, Text(text))
            origins[key] = origin
        except ValueError as wrong:
            odd.append(f"{key} ({origin}): {wrong}")
    typed, mistakes = checking.check(values)
    lines = odd + [_told(mistake, file, origins) for mistake in mistakes]
    if lines or typed is None:
        raise ConfigurationError(lines)
    if theirs is not None:
        typed = _with_rest(typed, theirs, {key for key, _, _ in given}, file)
    try:
        whole = convert.to_platform(plain(typed))
        platform.parse(json.dumps(whole))
    except (KeyError, ValueError, TypeError, IndexError, AttributeError) as wrong:
        raise ConfigurationError([f"{file}: platform: does not fit to the rest: {wrong!r}"]) from None
    return LoadedConfiguration(typed, whole, origins)


def _with_rest(typed: Config, theirs: dict[str, Any], overridden: set[str], file: Path) -> Config:
    """With what the platform's file says besides; what a flag or the environment set is not put back."""
    without = checking.check(convert.from_platform(theirs))[0]
    base = typed if without is None else without
    rest = convert.keep_rest(theirs, convert.to_platform(plain(base)))
    mapped = {"/" + convert.FIELDS[key][0] for key in overridden if key in convert.FIELDS}
    if "values" in rest:
        rest["values"] = {at: text for at, text in rest["values"].items() if at not in mapped}
    if "absent" in rest:
        rest["absent"] = [at for at in rest["absent"] if not any(m.startswith(at) for m in mapped)]
    whole, mistakes = checking.check(plain(typed) | ({"platform": rest} if rest else {}))
    if whole is None:
        raise ConfigurationError(_told(mistake, file, {}) for mistake in mistakes)
    return whole


def _paths(values: dict[str, Any], at: str = "") -> Iterable[str]:
    for key, value in values.items():
        if isinstance(value, dict):
            yield from _paths(value, f"{at}{key}.")
        else:
            yield at + key


def _override(values: dict[str, Any], key: str, text: Text) -> None:
    """Set one key; a row of a list is named by its place, as in ``plans.0.rate``."""
    *above, last = key.split(".")
    tree: Any = values
    for word in above:
        if isinstance(tree, list):
            if not word.isdigit() or int(word) >= len(tree):
                raise ValueError(f"there is no row {word}")
            tree = tree[int(word)]
        else:
            tree = tree.setdefault(word, {})
        if not isinstance(tree, dict | list):
            raise ValueError(f"{word} is no table")
    if isinstance(tree, list):
        raise ValueError("name a key of a row, as in plans.0.rate")
    tree[last] = text


def _told(mistake: Mistake, file: Path, origins: Mapping[str, str]) -> str:
    words = re.sub(r"\[(\d+)\]", r".\1", mistake.key).split(".")
    for length in range(len(words), 0, -1):  # a row's mistake lies where its list was given
        if where := origins.get(".".join(words[:length])):
            return f"{where}: {mistake}"
    return f"{file}: {mistake}"


def as_toml(loaded: LoadedConfiguration, all_keys: bool = False) -> str:
    """As a file: the keys that were given, or all with their defaults. Read again it is the same."""
    values = plain(loaded.typed)
    if not all_keys:
        values = _without_defaults(values, loaded)
    order = sorted(values, key=lambda key: isinstance(values[key], dict | list) and key != "zones")
    return tomlkit.dumps({key: values[key] for key in order})


def _without_defaults(values: dict[str, Any], loaded: LoadedConfiguration) -> dict[str, Any]:
    """Scalars of tables that are as by default are left out."""
    typed = loaded.typed
    least = {"listen", "discovery", "classes", "plans"}
    blank = Config(listen=typed.listen, discovery=typed.discovery, classes=typed.classes, plans=typed.plans)
    usual = plain(blank)
    done: dict[str, Any] = {}
    for key, value in values.items():
        if key in least or key not in usual:
            done[key] = value
        elif isinstance(value, dict):
            if kept := {k: v for k, v in value.items() if k not in usual[key] or usual[key][k] != v}:
                done[key] = kept
        elif value != usual[key]:
            done[key] = value
    return done
