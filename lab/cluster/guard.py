"""Removes a folder once whoever started us has ended, however: ``python -m lab.cluster.guard FOLDER``."""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO


class Guard:
    """The folder of a run; it is gone when we are."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        words = [sys.executable, "-m", "lab.cluster.guard", str(folder)]
        self.process = subprocess.Popen(words, stdin=subprocess.PIPE, start_new_session=True)

    def end(self) -> None:
        """Remove it now."""
        stdin: IO[bytes] | None = self.process.stdin
        if stdin:
            stdin.close()
        self.process.wait()


def main() -> None:
    """Wait until the pipe's other end is closed, by its owner or by the kernel."""
    for word in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(word, signal.SIG_IGN)
    while sys.stdin.buffer.read(1):
        pass
    shutil.rmtree(sys.argv[1], ignore_errors=True)


if __name__ == "__main__":
    main()
