"""Child processes that get a signal from the kernel when their parent exits, even if it is killed."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import functools
import signal
import sys
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path

PR_SET_PDEATHSIG = 1  # prctl(2)
LAST_LINES_MAX = 5  # of a child's standard error, for reporting why it exited

libc = ctypes.CDLL(None, use_errno=True)


def _set_parent_death_signal(signal_number: int) -> None:
    libc.prctl(PR_SET_PDEATHSIG, signal_number)


class Child:
    """One child process; its standard error goes to a log file, and its last lines are kept in memory."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name = name
        self.process = process
        self.last_lines: deque[str] = deque(maxlen=LAST_LINES_MAX)
        self.stderr_task = asyncio.get_running_loop().create_task(self._copy_stderr(log))

    async def _copy_stderr(self, log: Path) -> None:
        assert self.process.stderr is not None
        with log.open("ab") as file:
            while line := await self.process.stderr.readline():
                file.write(line)
                file.flush()
                self.last_lines.append(line.decode("utf-8", "replace").strip())

    async def exit_reason(self) -> str:
        """Wait for the process to exit; return its exit code and the last line of its standard error."""
        code = await self.process.wait()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self.stderr_task), 1.0)
        return f"{self.name} ended with {code}: {self.last_lines[-1] if self.last_lines else 'no output'}"


class Children:
    """The child processes of this one, stopped in the reverse order of their start."""

    def __init__(self, folder: Path, parent_death_signal: signal.Signals = signal.SIGTERM) -> None:
        """Prepare to start children, with their logs in ``folder``.

        The kernel sends ``parent_death_signal`` to each child if this process dies without stopping them. A
        child paused by SIGSTOP reacts to SIGKILL only.
        """
        self.folder = folder
        self.parent_death_signal = parent_death_signal
        self.started: list[Child] = []

    async def start(
        self, name: str, *arguments: str | Path, environment: dict[str, str], module: str = "birchdrum"
    ) -> Child:
        """Start ``python -m module`` with these arguments, in a session of its own.

        Ctrl-C in the terminal does not reach it, so this process controls when it stops.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *map(str, arguments),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
            start_new_session=True,
            preexec_fn=functools.partial(_set_parent_death_signal, self.parent_death_signal),
        )
        child = Child(name, process, self.folder / f"{name}.log")
        self.started.append(child)
        return child

    def exited(self) -> list[Child]:
        """Return the children that have exited."""
        return [child for child in self.started if child.process.returncode is not None]

    async def stop(self, remaining: Callable[[], float], names: Sequence[str] = ()) -> None:
        """Stop the children of these names, or all if there are none.

        Send SIGTERM, then SIGKILL to those still running after ``remaining()`` seconds.
        """
        selected = [child for child in reversed(self.started) if not names or child.name in names]
        for child in selected:
            if child.process.returncode is None:
                child.process.terminate()
        for child in selected:
            try:
                await asyncio.wait_for(child.process.wait(), max(0.0, remaining()))
            except TimeoutError:
                child.process.kill()
                await child.process.wait()
            await child.stderr_task
