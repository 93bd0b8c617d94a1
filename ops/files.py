"""Files that are never seen half."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path


def write_atomically(path: Path, text: str) -> None:
    """Put a text in a file's place at once, on disk by then; raises OSError and leaves what was there."""
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        Path(name).chmod(0o644)
        Path(name).replace(path)
    except OSError:
        Path(name).unlink(missing_ok=True)
        raise
