"""Removes a folder as soon as the parent process has exited, even if it was killed.

Run as ``python -m lab.cluster.guard FOLDER``, with a pipe from the parent as standard input.
"""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO


class FolderGuard:
    """A child process that removes a folder when its parent exits or calls ``remove``."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        command = [sys.executable, "-m", "lab.cluster.guard", str(folder)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, start_new_session=True)

    def remove(self) -> None:
        """Remove the folder now and wait until that is done."""
        stdin: IO[bytes] | None = self.process.stdin
        if stdin:
            stdin.close()
        self.process.wait()


def main() -> None:
    """Wait until the parent, or the kernel on the parent's exit, closes the pipe; then remove the folder.

    SIGINT, SIGTERM and SIGHUP are ignored: only the closed pipe ends the wait.
    """
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(signal_number, signal.SIG_IGN)
    while sys.stdin.buffer.read(1):
        pass
    shutil.rmtree(sys.argv[1], ignore_errors=True)


if __name__ == "__main__":
    main()
