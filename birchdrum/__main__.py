"""Entry point of the command line: ``python -m birchdrum`` is equivalent to the ``birchdrum`` command."""

from __future__ import annotations

import sys

from .cli import main

if __name__ == "__main__":
    sys.exit(main())
