"""The virtual clock, and what is drawn: the same seed gives the same run to the byte.

Times are whole microseconds; what is due at the same moment happens in the order of its scheduling.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable
from typing import Any

import numpy as np

START_TIME = 1_000_000_000  # microseconds of Unix time at which every run begins
DRAWS = 4_096


class Kernel:
    """The clock, and what is due when."""

    def __init__(self) -> None:
        self.now = 0
        self.heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.scheduled = self.events = 0

    def call_at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        """Call at this moment, or now if it is over."""
        self.scheduled += 1
        heapq.heappush(self.heap, (max(when, self.now), self.scheduled, call, args))

    def call_after(self, span: int, call: Callable[..., Any], *args: Any) -> None:
        """Call after a span of microseconds."""
        self.call_at(self.now + span, call, *args)

    def run(self, until: int) -> None:
        """Everything that is due before then."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] < until:
            self.now, _, call, args = pop(heap)
            self.events += 1
            call(*args)
        self.now = until


def random_generator(seed: int, name: str) -> np.random.Generator:
    """A part's own generator: one part more does not shift the others."""
    return np.random.default_rng(np.random.SeedSequence([seed, zlib.crc32(name.encode())]))


class UniformStream:
    """Numbers from 0 to 1, drawn many at once."""

    def __init__(self, draw: np.random.Generator) -> None:
        self.draw, self.left = draw, list[float]()

    def __call__(self) -> float:
        if not self.left:
            self.left = self.draw.random(DRAWS).tolist()
        return self.left.pop()
