"""Entry point of one API gateway: ``python -m saffrongw``, with LB_CONFIG naming the configuration file."""

from __future__ import annotations

import dataclasses
import os
import sys
from collections.abc import Callable
from pathlib import Path

import uvloop

from ops import logs

from .config import Config, checked_choice, parse
from .listeners import StartupError
from .process import CONFIG_ERRORS, serve

LOG_LEVEL_VARIABLE = "BIRCHDRUM_LOG__LEVEL"  # overrides the configured level


def read_config() -> Config:
    """Read and parse the file that LB_CONFIG names; raise one of CONFIG_ERRORS if it is unusable."""
    config = parse(Path(os.environ["LB_CONFIG"]).read_text())
    if level := os.environ.get(LOG_LEVEL_VARIABLE):
        config = dataclasses.replace(config, log_level=checked_choice(logs.LEVELS, level))
    return config


def main(read: Callable[[], Config] = read_config) -> int:
    """Read the configuration and serve; print one line and return 1 if the gateway cannot start."""
    try:
        config = read()
    except CONFIG_ERRORS as error:
        print(f"saffrongw: no usable configuration: {error!r}", file=sys.stderr)
        return 1
    logs.configure(config.log_form, config.log_level)
    try:
        uvloop.run(serve(config, read))
    except StartupError as error:
        print(f"saffrongw: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
