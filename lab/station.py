"""Model of a host as a service station: slots, a bounded queue, warm-up and errors.

It uses neither sockets nor a clock; the owner passes ``now`` (seconds) and ``call_later``. The callback
``on_end`` of each ``Ticket`` is called once with the outcome, and not at all for a request that is cancelled
or dropped by a restart. Service times are lognormal with the machine's coefficient of variation, or
exponential; in that case, with an unbounded queue, the station is an M/M/c system, and the tests compare it
with queueing theory.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import numpy as np

MAX_REMEMBERED_IDS = 50_000  # enough to cover the time in which a request can be retried
BATCH_SIZE = 512  # random numbers per draw; single draws cost more than the rest of the work on a request

SERVED, FAILED, FULL, LATE, CANCELLED = "served", "failed", "full", "late", "given up"


@dataclass(frozen=True, slots=True)
class Machine:
    """Capacity and behaviour of a host; times in seconds."""

    slots: int = 16  # requests that run concurrently
    queue_capacity: int = 64  # requests that wait for a slot
    work: dict[bytes, float] = field(default_factory=dict)  # mean service time of each class at full speed
    default_work: float = 0.05  # mean service time of classes missing in ``work``
    spread: float = 0.6  # coefficient of variation of service times; 0: always the mean
    exponential: bool = False  # instead of lognormal, for comparison with queueing theory
    error_rate: float = 0.0
    cold_from: float = 0.25  # speed right after the start, as a fraction of full speed
    warm_within: float = 0.0  # time from the start until full speed; 0: always at full speed
    connections: int = 1_024  # limit of open connections


@dataclass(slots=True)
class StationStats:
    """Counters of the host itself, independent of what gateways report."""

    started: int = 0
    served: int = 0
    failed: int = 0
    turned_away: Counter[str] = field(default_factory=Counter)  # by reason
    malformed: int = 0
    connections: int = 0  # opened in total
    ran_twice: int = 0  # requests whose id had already run here
    busy_time: float = 0.0  # seconds, summed over slots


class Ticket:
    """One request at a station.

    ``on_start`` is called when it gets a slot, ``on_end`` with the outcome when it is finished or rejected.
    """

    __slots__ = ("deadline", "on_end", "on_start", "request_class", "request_id")

    def __init__(
        self,
        request_class: bytes,
        request_id: bytes,
        deadline: float,
        on_end: Callable[[str], None],
        on_start: Callable[[], None] | None = None,
    ) -> None:
        self.request_class = request_class
        self.request_id = request_id
        self.deadline = deadline
        self.on_end = on_end
        self.on_start = on_start


class CallLater(Protocol):
    """Schedules a callback, like ``asyncio.loop.call_later``."""

    def __call__(self, duration: float, callback: Callable[..., Any], /, *args: Any) -> Any:
        """Call ``callback`` in ``duration`` seconds."""


class Station:
    """One host's slots, and the queue of requests that wait for one."""

    def __init__(
        self, machine: Machine, rng: np.random.Generator, now: Callable[[], float], call_later: CallLater
    ) -> None:
        self.machine, self.rng, self.now, self.call_later = machine, rng, now, call_later
        self.stats = StationStats()
        self.queue: deque[Ticket] = deque()
        self.running = 0
        self.speed_factor = 1.0  # reduced by injected faults
        self.error_rate = machine.error_rate
        self.recent_ids: dict[bytes, None] = {}  # of requests that ran, oldest first
        self.started_at = now()  # warm-up starts here
        self.incarnation = 0  # increased by each restart, to ignore requests of the previous process
        self._duration_factors: list[float] = []
        self._error_draws: list[float] = []

    def restart(self) -> None:
        """Restart as an empty, cold process; running and queued requests are dropped without notification."""
        self.queue.clear()
        self.running = 0
        self.started_at, self.incarnation = self.now(), self.incarnation + 1
        self.recent_ids.clear()

    def speed(self) -> float:
        """Return the current speed as a fraction of full speed."""
        machine = self.machine
        if not machine.warm_within:
            return self.speed_factor
        warmed = min(1.0, (self.now() - self.started_at) / machine.warm_within)
        return self.speed_factor * (machine.cold_from + (1.0 - machine.cold_from) * warmed)

    def submit(self, ticket: Ticket) -> None:
        """Accept a complete request: start, queue or reject it."""
        if self.running < self.machine.slots:
            self._start(ticket)
        elif len(self.queue) < self.machine.queue_capacity:
            self.queue.append(ticket)
        else:
            self._reject(ticket, FULL)

    def cancel(self, ticket: Ticket) -> bool:
        """Drop an abandoned request if it is queued, not if it runs. Return whether it was queued."""
        if ticket in self.queue:
            self.queue.remove(ticket)
            self.stats.turned_away[CANCELLED] += 1
            return True
        return False

    def _reject(self, ticket: Ticket, reason: str) -> None:
        self.stats.turned_away[reason] += 1
        ticket.on_end(reason)

    def _draw_duration_factor(self) -> float:
        """Draw the ratio of one request's service time to the mean."""
        if not self._duration_factors:
            spread = self.machine.spread
            if self.machine.exponential:
                self._duration_factors = self.rng.exponential(1.0, BATCH_SIZE).tolist()
            elif spread:
                sigma = math.sqrt(math.log(1 + spread * spread))
                self._duration_factors = self.rng.lognormal(-sigma * sigma / 2, sigma, BATCH_SIZE).tolist()
            else:
                self._duration_factors = [1.0] * BATCH_SIZE
        return self._duration_factors.pop()

    def _fails(self) -> bool:
        if not self.error_rate:
            return False
        if not self._error_draws:
            self._error_draws = self.rng.random(BATCH_SIZE).tolist()
        return self._error_draws.pop() < self.error_rate

    def _start(self, ticket: Ticket) -> None:
        self.running += 1
        self.stats.started += 1
        self.stats.ran_twice += ticket.request_id in self.recent_ids
        self.recent_ids[ticket.request_id] = None
        if len(self.recent_ids) > MAX_REMEMBERED_IDS:
            del self.recent_ids[next(iter(self.recent_ids))]
        mean = self.machine.work.get(ticket.request_class, self.machine.default_work)
        duration = mean * self._draw_duration_factor() / max(self.speed(), 1e-6)
        self.stats.busy_time += duration
        if ticket.on_start:
            ticket.on_start()
        self.call_later(duration, self._finish, ticket, self.incarnation)

    def _finish(self, ticket: Ticket, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.running -= 1
        if self._fails():
            self.stats.failed += 1
            ticket.on_end(FAILED)
        else:
            self.stats.served += 1
            ticket.on_end(SERVED)
        while self.queue and self.running < self.machine.slots:
            waiting = self.queue.popleft()
            if waiting.deadline < self.now():
                self._reject(waiting, LATE)
            else:
                self._start(waiting)
