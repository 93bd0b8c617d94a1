"""A stand-in host: RESP2 in, service times and queues of a machine with cores, slots and a waiting room.

A request waits for one of ``slots`` in order of its coming, runs for its work divided by the speed that the
host has by then, and is answered; beyond ``waiting`` that wait it gets ``-BUSY``. A cold host starts at
``cold_from`` of its speed and grows to the whole within ``warm_within`` seconds. A request whose deadline has
passed before its turn is turned away. Nothing here knows of gateways: what a host saw is kept in ``Seen``.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from dataclasses import dataclass, field

import hiredis
import numpy as np

IDS_KEPT = 50_000  # longer than any request is tried again
EXPECTED = (b"CALL.GET", b"CALL.POST")


@dataclass(frozen=True, slots=True)
class Machine:
    """What a host is; times in seconds."""

    slots: int = 16  # requests that run side by side
    waiting: int = 64  # requests that wait for a slot
    work: dict[bytes, float] = field(default_factory=dict)  # mean seconds of a class at full speed
    usual_work: float = 0.05  # of a class that ``work`` does not name
    spread: float = 0.6  # coefficient of variation; 1: exponential-like, 0: always the mean
    error_rate: float = 0.0
    cold_from: float = 0.25
    warm_within: float = 0.0  # 0: never cold
    connections: int = 1_024  # one more is answered -BUSY and closed


@dataclass(slots=True)
class Seen:
    """What the host itself saw: a judge's evidence."""

    begun: int = 0
    served: int = 0
    failed: int = 0
    turned_away: Counter[str] = field(default_factory=Counter)  # by reason
    malformed: int = 0
    connections: int = 0  # opened since the start
    ran_twice: int = 0  # ids that were begun here more than once
    busy_time: float = 0.0  # seconds of slots used


class Job:
    """One request at the host."""

    __slots__ = ("arrived", "kind", "link", "number", "until", "words")

    def __init__(self, link: Link, words: list[bytes], arrived: float) -> None:
        terms = dict(pair.split(b"=", 1) for pair in words[3].split(b","))
        self.link, self.words, self.arrived = link, words, arrived
        self.kind, self.number = terms[b"c"], words[2]
        self.until = arrived + int(terms[b"d"]) / 1_000


class Link(asyncio.Protocol):
    """One gateway's connection: requests run side by side, answers go back in order."""

    def __init__(self, host: Host) -> None:
        self.host, self.reader = host, hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.jobs: deque[Job] = deque()
        self.answers: dict[Job, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.host.seen.connections += 1
        self.host.links.add(self)
        if len(self.host.links) > self.host.machine.connections:
            self.host.seen.turned_away["connections"] += 1
            transport.write(b"-BUSY\r\n")
            transport.close()

    def data_received(self, data: bytes) -> None:
        """Commands, or parts of them."""
        try:
            self.reader.feed(data)
            while (words := self.reader.gets()) is not False:
                self._command(words)
        except hiredis.ProtocolError:
            self.host.seen.malformed += 1
            if self.transport:
                self.transport.abort()

    def _command(self, words: object) -> None:
        if not self.transport:
            return
        try:
            if not isinstance(words, list) or words[0] not in EXPECTED or len(words) < 4:
                raise ValueError
            job = Job(self, words, self.host.now())
        except (ValueError, KeyError, IndexError, TypeError):
            self.host.seen.malformed += 1
            self.transport.write(b"-SYNTAX no such command\r\n")
            return
        self.jobs.append(job)
        self.host.arrived(job)

    def answer(self, job: Job, reply: bytes) -> None:
        """A job is done; what is before it on this connection is told first."""
        self.answers[job] = reply
        while self.jobs and self.jobs[0] in self.answers:
            told = self.answers.pop(self.jobs.popleft())
            if self.transport and not self.transport.is_closing():
                self.transport.write(told)

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway gave up what is out on it: what waits never runs, what runs goes on."""
        self.host.links.discard(self)
        self.host.given_up(self)
        self.transport = None


class Host:
    """One listening stand-in."""

    def __init__(self, name: str, machine: Machine, draw: np.random.Generator) -> None:
        self.name, self.machine, self.draw = name, machine, draw
        self.loop = asyncio.get_running_loop()
        self.seen = Seen()
        self.links: set[Link] = set()
        self.queue: deque[Job] = deque()
        self.running = 0
        self.ids: dict[bytes, None] = {}  # of requests that ran, the oldest first
        self.since = self.now()  # it is cold from then
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    def now(self) -> float:
        """The loop's clock, in seconds."""
        return self.loop.time()

    async def listen(self) -> Host:
        """Serve at a port of the system's choosing; ``address`` tells it."""
        self.server = await self.loop.create_server(lambda: Link(self), "127.0.0.1", self.address[1])
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def close(self) -> None:
        """End at once, as a process that is killed: connections are reset."""
        if self.server:
            self.server.close()
        for link in list(self.links):
            if link.transport:
                link.transport.abort()

    def speed(self) -> float:
        """Part of the full speed by now."""
        machine = self.machine
        if not machine.warm_within:
            return 1.0
        warmed = min(1.0, (self.now() - self.since) / machine.warm_within)
        return machine.cold_from + (1.0 - machine.cold_from) * warmed

    def arrived(self, job: Job) -> None:
        """A whole request: run it, have it wait, or turn it away."""
        if self.running < self.machine.slots:
            self._run(job)
        elif len(self.queue) < self.machine.waiting:
            self.queue.append(job)
        else:
            self._turn_away(job, "full")

    def _turn_away(self, job: Job, why: str) -> None:
        self.seen.turned_away[why] += 1
        job.link.answer(job, b"-BUSY\r\n")

    def _work(self, kind: bytes) -> float:
        mean, spread = self.machine.work.get(kind, self.machine.usual_work), self.machine.spread
        if not spread:
            return mean
        sigma = math.sqrt(math.log(1 + spread * spread))
        return mean * float(self.draw.lognormal(-sigma * sigma / 2, sigma))

    def _run(self, job: Job) -> None:
        self.running += 1
        self.seen.begun += 1
        self.seen.ran_twice += job.number in self.ids
        self._remember(job.number)
        span = self._work(job.kind) / self.speed()
        self.seen.busy_time += span
        self.loop.call_later(span, self._done, job)

    def _remember(self, number: bytes) -> None:
        self.ids[number] = None
        if len(self.ids) > IDS_KEPT:
            del self.ids[next(iter(self.ids))]

    def _done(self, job: Job) -> None:
        self.running -= 1
        if self.draw.random() < self.machine.error_rate:
            self.seen.failed += 1
            job.link.answer(job, b"-ERR failed\r\n")
        else:
            self.seen.served += 1
            value = b"%b from %b" % (job.kind, self.name.encode())
            job.link.answer(job, b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
        while self.queue and self.running < self.machine.slots:
            waiting = self.queue.popleft()
            if waiting.until < self.now():
                self._turn_away(waiting, "late")
            else:
                self._run(waiting)

    def given_up(self, link: Link) -> None:
        """Nobody waits for what this connection asked."""
        gone = [job for job in self.queue if job.link is link]
        for job in gone:
            self.queue.remove(job)
            self.seen.turned_away["given up"] += 1
