"""Loads a gateway's configuration from a file, environment variables and command-line flags.

Variables override the file, and flags override both. The file is either TOML in birchdrum's format or JSON in
the platform's format. Both are converted to the platform's format, which ``saffrongw.config`` parses, so that
``saffrongw`` has a single parser and does not depend on this package.
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

from ops.checking import UntypedText, Violation, to_plain
from saffrongw import config as platform

from . import checking, convert
from .model import Config

ENVIRONMENT_PREFIX = "BIRCHDRUM_"
RESERVED_VARIABLES = frozenset(
    {"BIRCHDRUM_CONFIG", "BIRCHDRUM_PYTHON", "BIRCHDRUM_WORKERS"}
)  # not configuration keys
MAX_FILE_BYTES = 16 * 1024 * 1024  # ten times the size of a file with 10,000 hosts


class ConfigurationError(ValueError):
    """The configuration is invalid; ``lines`` holds one message for each problem."""

    def __init__(self, lines: Iterable[str]) -> None:
        self.lines = list(lines)
        super().__init__("; ".join(self.lines))


@dataclass(frozen=True)
class LoadedConfiguration:
    """A valid configuration, and the origin of each key that was set explicitly."""

    config: Config
    platform: dict[str, Any]  # in the platform's format
    origins: dict[str, str]


def read_file(file: Path) -> tuple[dict[str, Any], bool]:
    """Return a file's values, and whether it is the platform's JSON; raises ConfigurationError."""
    try:
        if file.is_dir():
            raise ConfigurationError([f"{file}: is a directory, expected a file"])
        if file.exists() and not file.is_file():
            raise ConfigurationError([f"{file}: is not a regular file"])
        with file.open("rb") as handle:
            content = handle.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigurationError([f"{file}: {(error.strerror or str(error)).lower()}"]) from None
    if len(content) > MAX_FILE_BYTES:
        raise ConfigurationError(
            [f"{file}: is larger than {MAX_FILE_BYTES >> 20} MiB, the limit for a configuration"]
        )
    try:
        text = content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise ConfigurationError([f"{file}: is not UTF-8, first at byte {error.start}"]) from None
    if not text.strip():
        raise ConfigurationError([f"{file}: is empty"])
    is_json = text.lstrip().startswith("{")
    try:
        values = json.loads(text) if is_json else tomllib.loads(text)
    except json.JSONDecodeError as error:
        raise ConfigurationError([f"{file}: is not valid JSON: {error}"]) from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ConfigurationError(
            [f"{file}: is not valid TOML: {str(error) or 'nested too deeply'}"]
        ) from None
    return values, is_json


def from_environment(environment: Mapping[str, str]) -> dict[str, str]:
    """Map the name of each environment variable to the key that it sets; two underscores stand for a dot."""
    names = [
        name for name in environment if name.startswith(ENVIRONMENT_PREFIX) and name not in RESERVED_VARIABLES
    ]
    return {name: name.removeprefix(ENVIRONMENT_PREFIX).lower().replace("__", ".") for name in names}


def load(
    file: Path, flags: Mapping[str, str] | None = None, environment: Mapping[str, str] | None = None
) -> LoadedConfiguration:
    """Load and check the configuration; raises ConfigurationError with all errors.

    ``flags`` maps keys to their values as text.
    """
    environment = os.environ if environment is None else environment
    values, is_json = read_file(file)
    platform_values = values if is_json else None
    if is_json:
        values = convert.from_platform(values)
    origins = {path: str(file) for path in _key_paths(values)}
    override_errors: list[str] = []
    overrides = [(key, environment[name], name) for name, key in from_environment(environment).items()]
    overrides += [(key, text, "flag") for key, text in (flags or {}).items()]
    for key, text, origin in overrides:
        try:
            _override(values, key, UntypedText(text))
            origins[key] = origin
        except ValueError as error:
            override_errors.append(f"{key} ({origin}): {error}")
    config, errors = checking.check(values)
    lines = override_errors + [_format_error(violation, file, origins) for violation in errors]
    if lines or config is None:
        raise ConfigurationError(lines)
    if platform_values is not None:
        config = _restore_platform_extras(config, platform_values, {key for key, _, _ in overrides}, file)
    try:
        platform_form = convert.to_platform(to_plain(config))
        platform.parse(json.dumps(platform_form))
    except (KeyError, ValueError, TypeError, IndexError, AttributeError) as error:
        raise ConfigurationError(
            [f"{file}: platform: conflicts with the rest of the configuration: {error!r}"]
        ) from None
    return LoadedConfiguration(config, platform_form, origins)


def _restore_platform_extras(
    config: Config, platform_values: dict[str, Any], overridden: set[str], file: Path
) -> Config:
    """Add what only the platform's file can express, except for keys that a flag or variable overrides."""
    file_config = checking.check(convert.from_platform(platform_values))[0]
    base = config if file_config is None else file_config
    extras = convert.platform_extras(platform_values, convert.to_platform(to_plain(base)))
    overridden_paths = {"/" + convert.FIELDS[key][0] for key in overridden if key in convert.FIELDS}
    if "values" in extras:
        extras["values"] = {
            pointer: text for pointer, text in extras["values"].items() if pointer not in overridden_paths
        }
    if "absent" in extras:
        extras["absent"] = [
            pointer
            for pointer in extras["absent"]
            if not any(path.startswith(pointer) for path in overridden_paths)
        ]
    restored, errors = checking.check(to_plain(config) | ({"platform": extras} if extras else {}))
    if restored is None:
        raise ConfigurationError(_format_error(violation, file, {}) for violation in errors)
    return restored


def _key_paths(values: dict[str, Any], prefix: str = "") -> Iterable[str]:
    for key, value in values.items():
        if isinstance(value, dict):
            yield from _key_paths(value, f"{prefix}{key}.")
        else:
            yield prefix + key


def _override(values: dict[str, Any], key: str, text: UntypedText) -> None:
    """Set one key; list elements are addressed by index, as in ``plans.0.rate``."""
    *parents, last = key.split(".")
    node: Any = values
    for segment in parents:
        if isinstance(node, list):
            if not segment.isdigit() or int(segment) >= len(node):
                raise ValueError(f"the list has no element {segment}")
            node = node[int(segment)]
        else:
            node = node.setdefault(segment, {})
        if not isinstance(node, dict | list):
            raise ValueError(f"{segment} is not a table")
    if isinstance(node, list):
        raise ValueError("expected a key of a list element, as in plans.0.rate")
    node[last] = text


def _format_error(violation: Violation, file: Path, origins: Mapping[str, str]) -> str:
    segments = re.sub(r"\[(\d+)\]", r".\1", violation.key).split(".")
    for length in range(len(segments), 0, -1):  # the origin of a list covers its elements
        if where := origins.get(".".join(segments[:length])):
            return f"{where}: {violation}"
    return f"{file}: {violation}"


def as_toml(loaded: LoadedConfiguration, all_keys: bool = False) -> str:
    """Format the configuration as a TOML file that loads to the same configuration.

    Keys that have their default are left out unless ``all_keys`` is set.
    """
    values = to_plain(loaded.config)
    if not all_keys:
        values = _without_defaults(values, loaded)
    # TOML requires keys before tables; of the lists only zones holds plain values, not tables.
    order = sorted(values, key=lambda key: isinstance(values[key], dict | list) and key != "zones")
    return tomlkit.dumps({key: values[key] for key in order})


def _without_defaults(values: dict[str, Any], loaded: LoadedConfiguration) -> dict[str, Any]:
    """Return the values without the keys that have their default."""
    config = loaded.config
    always_written = {"listen", "discovery", "classes", "plans"}
    minimal = Config(
        listen=config.listen, discovery=config.discovery, classes=config.classes, plans=config.plans
    )
    defaults = to_plain(minimal)
    result: dict[str, Any] = {}
    for key, value in values.items():
        if key in always_written or key not in defaults:
            result[key] = value
        elif isinstance(value, dict):
            if changed := {
                name: inner
                for name, inner in value.items()
                if name not in defaults[key] or defaults[key][name] != inner
            }:
                result[key] = changed
        elif value != defaults[key]:
            result[key] = value
    return result
