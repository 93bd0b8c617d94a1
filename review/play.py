"""Plays the case of one folder: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run."""

from __future__ import annotations

import importlib.util
import sys
import traceback
from pathlib import Path

import standins


def play(folder: Path) -> int:
    """Load ``case.py`` of the folder and run its ``case``, with its ``OPTIONS`` for the bench."""
    spec = importlib.util.spec_from_file_location("case", folder / "case.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return standins.main(module.case, folder, **module.OPTIONS)


if __name__ == "__main__":
    try:
        sys.exit(play(Path(sys.argv[1]).resolve()))
    except Exception:
        traceback.print_exc()
        sys.exit(standins.COULD_NOT_RUN)
