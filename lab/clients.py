"""Stand-in clients behind a front: customers' requests come as they like (open loop), whatever the answers.

The front knows each customer's set, ``spread`` gateways counted round from ``first``, and picks one of them
that answers; a connection carries one request at a time and is used again. What clients saw is kept in
``Account``.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import hiredis
import numpy as np

from . import protocol

CONNECT_WITHIN = 1.0  # seconds
LATENCIES_KEPT = 5_000  # of each customer: a run without an end must not grow
SPARE = 0.5  # seconds that a client waits beyond its deadline before the request counts as lost
DOWN_FOR = 1.0  # seconds for which the front passes by a gateway that it could not reach


@dataclass(frozen=True, slots=True)
class Customer:
    """Who asks, for what, how often; units a second on average, and its quota."""

    number: int
    plan: str
    rate: float  # requests a second
    quota: float  # units a second
    burst: float
    first: int
    spread: int
    units: int = 1


@dataclass(slots=True)
class CustomerStats:
    """What came of one customer's requests, as its clients saw it."""

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)  # served, refused, failed, lost
    units: int = 0  # that were served
    latencies: deque[float] = field(
        default_factory=lambda: deque(maxlen=LATENCIES_KEPT)
    )  # seconds of served ones
    over_quota_units: float = 0.0  # units served beyond what the quota held at that moment
    store: float = -1.0  # what the quota holds, by a store of its own; below 0: not begun
    at: float = 0.0

    def spend(self, customer: Customer, began: float) -> None:
        """Count a served request against a store that is filled at the quota's rate."""
        if self.store < 0:
            self.store, self.at = customer.burst, began
        self.store = min(customer.burst, self.store + customer.quota * max(0.0, began - self.at))
        self.at = max(self.at, began)
        beyond = max(0.0, customer.units - self.store)
        self.store = max(0.0, self.store - customer.units)
        self.over_quota_units += beyond
        self.units += customer.units


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; seconds."""

    name: str
    effect: str
    deadline: float


class GatewayConnection(asyncio.Protocol):
    """One connection to a gateway with at most one request on it."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.waiting: asyncio.Future[object] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """The answer, or a part of it."""
        try:
            self.reader.feed(data)
            reply = self.reader.gets()
        except hiredis.ProtocolError as wrong:
            reply = wrong
        if reply is not False and self.waiting and not self.waiting.done():
            self.waiting.set_result(reply)

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway closed it."""
        self.transport = None
        if self.waiting and not self.waiting.done():
            self.waiting.set_exception(ConnectionResetError("closed before its answer"))

    @property
    def usable(self) -> bool:
        """Whether a request may be written."""
        return self.transport is not None and not self.transport.is_closing()

    async def request(self, command: bytes, within: float) -> object:
        """One command's answer; raises OSError or TimeoutError."""
        if not self.usable or self.transport is None:
            raise ConnectionResetError("closed")
        self.waiting = asyncio.get_running_loop().create_future()
        self.transport.write(command)
        try:
            async with asyncio.timeout(within):
                return await self.waiting
        finally:
            self.waiting = None


def encode_request(customer: Customer, kind: RequestClass, number: str) -> bytes:
    """A request in the protocol's words."""
    key, body = None, None
    if kind.effect != "repeatable":
        key, body = (number if kind.effect == "by_key" else None), b"stand-in"
    return protocol.request(
        kind.name,
        customer.plan,
        customer.number,
        number,
        units=customer.units,
        deadline_ms=int(kind.deadline * 1000),
        first=customer.first,
        spread=customer.spread,
        key=key,
        body=body,
    )


class LoadBalancer:
    """Kept connections to each gateway, and which of them can be reached."""

    def __init__(self, gateways: Sequence[tuple[str, int]]) -> None:
        self.gateways = list(gateways)
        self.idle: list[deque[GatewayConnection]] = [deque() for _ in self.gateways]
        self.down_until = [0.0] * len(self.gateways)
        self.sent: Counter[int] = Counter()

    async def line(self, rank: int) -> GatewayConnection:
        """A free connection, kept or new; raises OSError."""
        while self.idle[rank]:
            line = self.idle[rank].pop()
            if line.usable:
                return line
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                _, line = await asyncio.get_running_loop().create_connection(
                    GatewayConnection, *self.gateways[rank]
                )
        except OSError:  # a TimeoutError is one, too
            self.down_until[rank] = time.monotonic() + DOWN_FOR
            raise
        return line

    def up(self, rank: int) -> bool:
        """Whether it was reached lately, or not tried."""
        return self.down_until[rank] <= time.monotonic()

    def close(self) -> None:
        """All connections."""
        for lines in self.idle:
            for line in lines:
                if line.transport:
                    line.transport.abort()


class Clients:
    """All customers' clients."""

    def __init__(
        self,
        front: LoadBalancer,
        customers: Sequence[Customer],
        kinds: Sequence[RequestClass],
        seed: np.random.SeedSequence,
    ) -> None:
        self.front, self.customers, self.kinds = front, customers, kinds
        # Told of each request: customer, id, what came, seconds, the gateway.
        self.observer: Callable[[Customer, str, str, float, int], None] | None = None
        self.stats_by_customer = {customer.number: CustomerStats() for customer in customers}
        self.draws = [np.random.default_rng(part) for part in seed.spawn(len(customers))]
        self.tasks: set[asyncio.Task[None]] = set()
        self.sources: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to ask."""
        loop = asyncio.get_running_loop()
        for customer, draw in zip(self.customers, self.draws, strict=True):
            self.sources.append(loop.create_task(self._come(customer, draw)))

    async def stop(self) -> None:
        """Ask no more, and wait for what is out."""
        for task in self.sources:
            task.cancel()
        await asyncio.gather(*self.sources, return_exceptions=True)
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.front.close()

    async def _come(self, customer: Customer, draw: np.random.Generator) -> None:
        loop, number = asyncio.get_running_loop(), 0
        due = loop.time()
        while True:
            due += float(draw.exponential(1 / customer.rate))
            await asyncio.sleep(max(0.0, due - loop.time()))
            number += 1
            kind = self.kinds[int(draw.integers(len(self.kinds)))]
            task = loop.create_task(self._ask(customer, kind, f"{customer.number:x}-{number}", draw))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _ask(
        self, customer: Customer, kind: RequestClass, number: str, draw: np.random.Generator
    ) -> None:
        account, began = self.stats_by_customer[customer.number], time.monotonic()
        account.sent += 1
        rank = self._gateway(customer, draw)
        try:
            came = protocol.outcome(await self._through(customer, kind, number, rank))
        except (OSError, TimeoutError):
            came = "lost"
        account.outcomes[came] += 1
        if self.observer:
            self.observer(customer, number, came, time.monotonic() - began, rank)
        if came == "served":
            account.latencies.append(time.monotonic() - began)
            account.spend(customer, began)

    def _gateway(self, customer: Customer, draw: np.random.Generator) -> int:
        """One of its set, that was reached lately if there is any."""
        ranks = [(customer.first + i) % len(self.front.gateways) for i in range(customer.spread)]
        up = [rank for rank in ranks if self.front.up(rank)] or ranks
        return up[int(draw.integers(len(up)))]

    async def _through(self, customer: Customer, kind: RequestClass, number: str, rank: int) -> object:
        """By that gateway. A connection that was closed before it took the request gets another."""
        words = encode_request(customer, kind, number)
        for again in (False, True):
            kept = bool(self.front.idle[rank])
            line = await self.front.line(rank)
            self.front.sent[rank] += not again
            try:
                reply = await line.request(words, kind.deadline + SPARE)
            except ConnectionResetError:
                if again or not kept:
                    raise
                continue  # its closing crossed this request: the protocol has the client send it once more
            except TimeoutError:
                if line.transport:
                    line.transport.abort()
                raise
            if line.usable:
                self.front.idle[rank].append(line)
            return reply
        raise ConnectionResetError("closed twice")
