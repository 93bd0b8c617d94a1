"""Discrete-event simulation kernel: an event loop with a virtual clock, and reproducible random streams.

The same seed gives the same run, byte for byte. Times are whole microseconds; events that are due at the same
time run in the order in which they were scheduled.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable
from typing import Any

import numpy as np

START_TIME = 1_000_000_000  # Unix time in microseconds at which every run starts
BATCH_SIZE = 4_096


class Kernel:
    """A virtual clock and the queue of scheduled callbacks."""

    def __init__(self) -> None:
        self.now = 0
        self.heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.scheduled = self.events = 0  # callbacks scheduled and run so far

    def call_at(self, due: int, callback: Callable[..., Any], *args: Any) -> None:
        """Schedule a callback for a time; one in the past runs at the current time."""
        self.scheduled += 1
        heapq.heappush(self.heap, (max(due, self.now), self.scheduled, callback, args))

    def call_after(self, delay: int, callback: Callable[..., Any], *args: Any) -> None:
        """Schedule a callback in ``delay`` microseconds."""
        self.call_at(self.now + delay, callback, *args)

    def run(self, until: int) -> None:
        """Run all events that are due before ``until``, then set the clock to it."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] < until:
            self.now, _, callback, args = pop(heap)
            self.events += 1
            callback(*args)
        self.now = until


def random_generator(seed: int, stream: str) -> np.random.Generator:
    """Return the generator of a named stream; adding a stream does not change the draws of the others."""
    return np.random.default_rng(np.random.SeedSequence([seed, zlib.crc32(stream.encode())]))


class UniformStream:
    """Uniform random numbers from 0 to 1, drawn in batches for speed."""

    def __init__(self, rng: np.random.Generator) -> None:
        self.rng, self.batch = rng, list[float]()

    def __call__(self) -> float:
        """Return the next number of the batch; an empty batch is first refilled from the generator."""
        if not self.batch:
            self.batch = self.rng.random(BATCH_SIZE).tolist()
        return self.batch.pop()
