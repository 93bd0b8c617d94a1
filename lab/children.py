"""Processes that end with the one that started them, whatever ends that."""

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
LINES_KEPT = 5  # of what a child said last, to tell why it ended

libc = ctypes.CDLL(None, use_errno=True)


def _end_with_parent(word: int) -> None:
    libc.prctl(PR_SET_PDEATHSIG, word)


class Child:
    """One process of ours; its standard error goes to a file, and its last lines are kept."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process = name, process
        self.lines: deque[str] = deque(maxlen=LINES_KEPT)
        self.reading = asyncio.get_running_loop().create_task(self._read(log))

    async def _read(self, log: Path) -> None:
        assert self.process.stderr is not None
        with log.open("ab") as file:
            while line := await self.process.stderr.readline():
                file.write(line)
                file.flush()
                self.lines.append(line.decode("utf-8", "replace").strip())

    async def exit_reason(self) -> str:
        """Its exit code and last word, once it has ended."""
        code = await self.process.wait()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self.reading), 1.0)
        return f"{self.name} ended with {code}: {self.lines[-1] if self.lines else 'without a word'}"


class Children:
    """All of them, ended in the reverse order of their start."""

    def __init__(self, folder: Path, last_word: signal.Signals = signal.SIGTERM) -> None:
        """Logs go to ``folder``; ``last_word`` is what the kernel says to each where we end without a word.
        A process that is stopped takes none but SIGKILL."""
        self.folder, self.last_word = folder, last_word
        self.all: list[Child] = []

    async def start(
        self, name: str, *words: str | Path, environment: dict[str, str], module: str = "birchdrum"
    ) -> Child:
        """Run ``birchdrum`` once more with these words. It gets no Ctrl-C of the terminal: we end it."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *map(str, words),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
            start_new_session=True,
            preexec_fn=functools.partial(_end_with_parent, self.last_word),
        )
        child = Child(name, process, self.folder / f"{name}.log")
        self.all.append(child)
        return child

    def exited(self) -> list[Child]:
        """Those that are gone."""
        return [child for child in self.all if child.process.returncode is not None]

    async def stop(self, within: Callable[[], float], names: Sequence[str] = ()) -> None:
        """SIGTERM, and SIGKILL for who is there after ``within`` seconds; all, or those of these names."""
        chosen = [child for child in reversed(self.all) if not names or child.name in names]
        for child in chosen:
            if child.process.returncode is None:
                child.process.terminate()
        for child in chosen:
            try:
                await asyncio.wait_for(child.process.wait(), max(0.0, within()))
            except TimeoutError:
                child.process.kill()
                await child.process.wait()
            await child.reading
