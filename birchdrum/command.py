"""Exit codes, parameter types and the error class that all commands share.

Scripts rely on the exit codes: 0 success, 1 not possible here and now, 2 invalid call or configuration,
3 refused, 4 failed, 130 interrupted by Ctrl-C. An error is reported as one line on standard
error, an invalid configuration as one line for each problem.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

SUCCESS = 0
NOT_POSSIBLE = 1
USAGE_ERROR = 2
REFUSED = 3
FAILED = 4
INTERRUPTED = 130
FILE_PATH = click.Path(path_type=Path, readable=False)  # commands report their own read errors
CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


class CommandError(Exception):
    """Ends a command with error messages, one line each, and an exit code."""

    def __init__(self, code: int, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.code = code
        self.lines = lines


class DurationType(click.ParamType[Any]):
    """A duration with a unit, converted to seconds."""

    name = "duration"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Return the duration in seconds."""
        from ops.units import Duration

        if isinstance(value, float):
            return value
        try:
            return Duration(str(value)).base / 1_000_000
        except ValueError as error:
            self.fail(f"{value!r}: {error}", param, ctx)


class AddressType(click.ParamType[Any]):
    """An address in the form ``HOST:PORT``."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Return the host and the port."""
        from ops.units import Address

        if isinstance(value, tuple):
            return value
        try:
            address = Address(str(value))
        except ValueError as error:
            self.fail(f"{value!r}: {error}", param, ctx)
        return address.host, address.port
