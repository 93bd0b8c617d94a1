"""Counters and gauges for operators, logged as one ``stats`` event at a fixed interval.

README explains each of them.
"""

from __future__ import annotations

import asyncio
import functools
import os
import resource
import time
from collections import Counter
from collections.abc import Callable

from ops import logs

log = logs.get_logger(__name__)

REPORT_INTERVAL = 5.0  # seconds between two events
MEMORY_FILE_BYTES = 128  # at most, of the kernel's figures on this process's memory


class Stats(Counter[str]):
    """Counts since the last event; gauges are read when an event is written."""

    def __init__(self) -> None:
        super().__init__()
        self.reported: Counter[str] = Counter()  # counts of earlier events
        self.gauges: Callable[[], dict[str, int]] = dict
        self.loop_lag = 0.0  # the longest delay of a timer since the last event, in seconds

    def totals(self) -> Counter[str]:
        """Return the counts since the process started."""
        return self.reported + self

    def start(self, loop: asyncio.AbstractEventLoop, gauges: Callable[[], dict[str, int]]) -> None:
        """Start to write an event every REPORT_INTERVAL seconds."""
        self.gauges = gauges
        loop.call_later(REPORT_INTERVAL, self._write_event, loop, time.process_time())

    def _write_event(self, loop: asyncio.AbstractEventLoop, previous_cpu_seconds: float) -> None:
        cpu_seconds = time.process_time()
        fields = self.gauges() | {
            "rss_kb": resident_bytes() // 1024,
            "cpu_ms": int(1000 * (cpu_seconds - previous_cpu_seconds)),
            "loop_lag_ms": int(1000 * self.loop_lag),
        }
        log.info("stats", **{logs.UNLIMITED: True}, **fields, **dict(sorted(self.items())))
        self.reported.update(self)
        self.clear()
        self.loop_lag = 0.0
        loop.call_later(REPORT_INTERVAL, self._write_event, loop, cpu_seconds)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(os.pread(_memory_file(), MEMORY_FILE_BYTES, 0).split()[1]) * resource.getpagesize()


@functools.cache
def _memory_file() -> int:
    """Return a descriptor of the kernel's figures, kept open as they are read several times a second."""
    return os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
