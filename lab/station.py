"""A host's insides: slots, a waiting room, warmth, errors. It knows neither sockets nor clocks.

Whoever owns it gives ``now`` (seconds) and ``later`` (call back after a span); a ``Ticket`` is told once how
it ended. Service times are lognormal with the machine's coefficient of variation, or exponential: then, with
a waiting room without end, the station is M/M/c, which the tests hold it to.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import numpy as np

IDS_KEPT = 50_000  # longer than any request is tried again
DRAWS = 512  # taken at once: one by one they cost more than the rest of a request

SERVED, FAILED, FULL, LATE, GIVEN_UP = "served", "failed", "full", "late", "given up"


@dataclass(frozen=True, slots=True)
class Machine:
    """What a host is; times in seconds."""

    slots: int = 16  # requests that run side by side
    waiting: int = 64  # requests that wait for a slot
    work: dict[bytes, float] = field(default_factory=dict)  # mean seconds of a class at full speed
    default_work: float = 0.05  # of a class that ``work`` does not name
    spread: float = 0.6  # coefficient of variation; 0: always the mean
    exponential: bool = False  # instead of lognormal, for comparison with queueing theory
    error_rate: float = 0.0
    cold_from: float = 0.25
    warm_within: float = 0.0  # 0: never cold
    connections: int = 1_024  # one more is turned away


@dataclass(slots=True)
class StationStats:
    """What the host itself saw: a judge's evidence."""

    started: int = 0
    served: int = 0
    failed: int = 0
    turned_away: Counter[str] = field(default_factory=Counter)  # by reason
    malformed: int = 0
    connections: int = 0  # opened since the start
    ran_twice: int = 0  # ids that were begun here more than once
    busy_time: float = 0.0  # seconds of slots used


class Ticket:
    """One request at a station. ``begun`` is called when it gets a slot, ``tell`` once with how it ended."""

    __slots__ = ("begun", "kind", "number", "tell", "until")

    def __init__(
        self,
        kind: bytes,
        number: bytes,
        until: float,
        tell: Callable[[str], None],
        begun: Callable[[], None] | None = None,
    ) -> None:
        self.kind, self.number, self.until, self.tell, self.begun = kind, number, until, tell, begun


class Later(Protocol):
    """How a station has itself called back."""

    def __call__(self, span: float, call: Callable[..., Any], /, *args: Any) -> Any:
        """After a span of seconds."""


class Station:
    """One host's slots and the requests that wait for them."""

    def __init__(
        self, machine: Machine, draw: np.random.Generator, now: Callable[[], float], later: Later
    ) -> None:
        self.machine, self.draw, self.now, self.later = machine, draw, now, later
        self.stats = StationStats()
        self.queue: deque[Ticket] = deque()
        self.running = 0
        self.factor = 1.0  # of its speed: troubles set it
        self.error_rate = machine.error_rate
        self.ids: dict[bytes, None] = {}  # of requests that ran, the oldest first
        self.since = now()  # it is cold from then
        self.life = 0  # grows with each restart: what ran before is lost
        self._factors: list[float] = []
        self._chances: list[float] = []

    def restart(self) -> None:
        """Empty and cold, as a new process; what ran or waited is never told."""
        self.queue.clear()
        self.running = 0
        self.since, self.life = self.now(), self.life + 1
        self.ids.clear()

    def speed(self) -> float:
        """Part of the full speed by now."""
        machine = self.machine
        if not machine.warm_within:
            return self.factor
        warmed = min(1.0, (self.now() - self.since) / machine.warm_within)
        return self.factor * (machine.cold_from + (1.0 - machine.cold_from) * warmed)

    def submit(self, ticket: Ticket) -> None:
        """A whole request: run it, have it wait, or turn it away."""
        if self.running < self.machine.slots:
            self._run(ticket)
        elif len(self.queue) < self.machine.waiting:
            self.queue.append(ticket)
        else:
            self._turn_away(ticket, FULL)

    def cancel(self, ticket: Ticket) -> bool:
        """Nobody waits for it: taken out if it still waits, which is told; what runs goes on."""
        if ticket in self.queue:
            self.queue.remove(ticket)
            self.stats.turned_away[GIVEN_UP] += 1
            return True
        return False

    def _turn_away(self, ticket: Ticket, why: str) -> None:
        self.stats.turned_away[why] += 1
        ticket.tell(why)

    def _factor(self) -> float:
        """How much longer than its mean one request takes."""
        if not self._factors:
            spread = self.machine.spread
            if self.machine.exponential:
                self._factors = self.draw.exponential(1.0, DRAWS).tolist()
            elif spread:
                sigma = math.sqrt(math.log(1 + spread * spread))
                self._factors = self.draw.lognormal(-sigma * sigma / 2, sigma, DRAWS).tolist()
            else:
                self._factors = [1.0] * DRAWS
        return self._factors.pop()

    def _fails(self) -> bool:
        if not self.error_rate:
            return False
        if not self._chances:
            self._chances = self.draw.random(DRAWS).tolist()
        return self._chances.pop() < self.error_rate

    def _run(self, ticket: Ticket) -> None:
        self.running += 1
        self.stats.started += 1
        self.stats.ran_twice += ticket.number in self.ids
        self.ids[ticket.number] = None
        if len(self.ids) > IDS_KEPT:
            del self.ids[next(iter(self.ids))]
        mean = self.machine.work.get(ticket.kind, self.machine.default_work)
        span = mean * self._factor() / max(self.speed(), 1e-6)
        self.stats.busy_time += span
        if ticket.begun:
            ticket.begun()
        self.later(span, self._done, ticket, self.life)

    def _done(self, ticket: Ticket, life: int) -> None:
        if life != self.life:
            return
        self.running -= 1
        if self._fails():
            self.stats.failed += 1
            ticket.tell(FAILED)
        else:
            self.stats.served += 1
            ticket.tell(SERVED)
        while self.queue and self.running < self.machine.slots:
            waiting = self.queue.popleft()
            if waiting.until < self.now():
                self._turn_away(waiting, LATE)
            else:
                self._run(waiting)
