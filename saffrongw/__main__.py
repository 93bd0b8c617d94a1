"""One api gateway: ``python -m saffrongw`` with LB_CONFIG naming its configuration."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path

import uvloop

from ops import logs

from .config import Config, parse
from .listening import StartupError
from .process import UNUSABLE, serve


def read_config() -> Config:
    """The file that LB_CONFIG names, as it is now; raises one of UNUSABLE."""
    return parse(Path(os.environ["LB_CONFIG"]).read_text())


def main(read: Callable[[], Config] = read_config) -> int:
    """Read the configuration and serve; one plain line and 1 where it is wrong, or can't be served."""
    try:
        config = read()
    except UNUSABLE as wrong:
        print(f"saffrongw: no usable configuration: {wrong!r}", file=sys.stderr)
        return 1
    logs.start(config.log_form, config.log_level)
    try:
        uvloop.run(serve(config, read))
    except StartupError as wrong:
        print(f"saffrongw: {wrong}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
