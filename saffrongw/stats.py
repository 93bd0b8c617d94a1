"""Counters for on-call staff: one line every few seconds; README says what each of them means."""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger(__name__)

EVERY = 5.0  # seconds between two lines


class Stats(Counter[str]):
    """What was counted since the last line; gauges are read when it is written."""

    def start(self, loop: asyncio.AbstractEventLoop, gauges: Callable[[], dict[str, int]]) -> None:
        """Write a line every so often from now on."""
        loop.call_later(EVERY, self._write, loop, gauges, time.process_time())

    def _write(
        self, loop: asyncio.AbstractEventLoop, gauges: Callable[[], dict[str, int]], cpu_before: float
    ) -> None:
        cpu = time.process_time()
        fields = gauges() | {"rss_kb": rss_kb(), "cpu_ms": int(1000 * (cpu - cpu_before))}
        log.info(
            "stats %s", " ".join(f"{name}={n}" for name, n in (fields | dict(sorted(self.items()))).items())
        )
        self.clear()
        loop.call_later(EVERY, self._write, loop, gauges, cpu)


def rss_kb() -> int:
    """Memory that is resident now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 1024
