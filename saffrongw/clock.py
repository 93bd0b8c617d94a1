"""The gateway's clock: wall-clock time that never jumps."""

from __future__ import annotations

import time


class Clock:
    """Unix time in microseconds, read once at start and then advanced by the monotonic clock."""

    def __init__(self) -> None:
        # Nanoseconds; the successor of an upgrade takes over its predecessor's.
        self.base = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Return the Unix time in microseconds; later changes of the system clock do not affect it."""
        return (self.base + time.monotonic_ns()) // 1_000
