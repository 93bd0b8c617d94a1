"""Counters and gauges for on-call staff: one event every few seconds; README says what each of them means."""

from __future__ import annotations

import asyncio
import resource
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from ops import logs

log = logs.get(__name__)

REPORT_INTERVAL = 5.0  # seconds between two events


class Stats(Counter[str]):
    """What was counted since the last event; gauges are read when it is written."""

    def __init__(self) -> None:
        super().__init__()
        self.told: Counter[str] = Counter()  # what the events before have told
        self.gauges: Callable[[], dict[str, int]] = dict

    def totals(self) -> Counter[str]:
        """Counts since the start."""
        return self.told + self

    def start(self, loop: asyncio.AbstractEventLoop, gauges: Callable[[], dict[str, int]]) -> None:
        """Write an event every so often from now on."""
        self.gauges = gauges
        loop.call_later(REPORT_INTERVAL, self._write, loop, time.process_time())

    def _write(self, loop: asyncio.AbstractEventLoop, cpu_before: float) -> None:
        cpu = time.process_time()
        fields = self.gauges() | {"rss_kb": rss_kb(), "cpu_ms": int(1000 * (cpu - cpu_before))}
        log.info("stats", **{logs.ALWAYS: True}, **fields, **dict(sorted(self.items())))
        self.told.update(self)
        self.clear()
        loop.call_later(REPORT_INTERVAL, self._write, loop, cpu)


def rss_kb() -> int:
    """Memory that is resident now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 1024
