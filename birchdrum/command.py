"""What all commands share: exit codes that scripts rely on, the types of their words, how one ends.

0 done, 1 it could not be done here and now, 2 the call or the configuration is wrong, 3 refused, 4 failed,
130 ended by Ctrl-C. What goes wrong is one line on standard error, a configuration's mistakes one line each.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

SUCCESS, NOT_POSSIBLE, USAGE_ERROR, REFUSED, FAILED, INTERRUPTED = 0, 1, 2, 3, 4, 130
FILE_PATH = click.Path(path_type=Path, readable=False)  # what is wrong with one is told by who reads it
CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


class CommandError(Exception):
    """The end of a command: its lines, and its exit code."""

    def __init__(self, code: int, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.code, self.lines = code, lines


class DurationType(click.ParamType[Any]):
    """A duration with its unit; seconds."""

    name = "duration"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Seconds as a number."""
        from ops.units import Duration

        if isinstance(value, float):
            return value
        try:
            return Duration(str(value)).base / 1_000_000
        except ValueError as wrong:
            self.fail(f"{value!r}: {wrong}", param, ctx)


class AddressType(click.ParamType[Any]):
    """An address, ``HOST:PORT``."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """A pair of host and port."""
        from ops.units import Address

        if isinstance(value, tuple):
            return value
        try:
            address = Address(str(value))
        except ValueError as wrong:
            self.fail(f"{value!r}: {wrong}", param, ctx)
        return address.host, address.port
