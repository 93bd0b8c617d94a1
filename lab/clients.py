"""Stand-in clients behind a load balancer: an open-loop workload, whose arrivals don't depend on the replies.

The load balancer knows each customer's set of gateways, ``spread`` of them counted cyclically from ``first``,
and picks one that is reachable. Connections are reused, with one request at a time each. Results as seen by
the clients are kept in ``CustomerStats``.
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

CONNECT_TIMEOUT = 1.0  # seconds
LATENCIES_KEPT = 5_000  # per customer, to bound the memory of an unlimited run
RESPONSE_MARGIN = 0.5  # seconds after the deadline until a request counts as lost
DOWN_DURATION = 1.0  # seconds for which an unreachable gateway gets no requests


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer: its request rate, its quota and its set of gateways (see the module)."""

    number: int
    plan: str
    rate: float  # average requests per second
    quota: float  # units per second
    burst: float
    first: int
    spread: int
    units: int = 1  # of each request


@dataclass(slots=True)
class CustomerStats:
    """Results of one customer's requests, as seen by its clients."""

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)  # served, refused, failed, lost
    units: int = 0  # served
    # Seconds, of served requests.
    latencies: deque[float] = field(default_factory=lambda: deque(maxlen=LATENCIES_KEPT))
    over_quota_units: float = 0.0  # units served in excess of the quota available at that time
    available: float = -1.0  # units left in the quota's token bucket; negative: not initialized
    updated_at: float = 0.0

    def spend(self, customer: Customer, started_at: float) -> None:
        """Charge a served request to a token bucket that is refilled at the rate of the quota."""
        if self.available < 0:
            self.available, self.updated_at = customer.burst, started_at
        self.available = min(
            customer.burst, self.available + customer.quota * max(0.0, started_at - self.updated_at)
        )
        self.updated_at = max(self.updated_at, started_at)
        excess = max(0.0, customer.units - self.available)
        self.available = max(0.0, self.available - customer.units)
        self.over_quota_units += excess
        self.units += customer.units


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; the deadline is in seconds."""

    name: str
    effect: str
    deadline: float


class GatewayConnection(asyncio.Protocol):
    """A connection to a gateway, with at most one request in progress."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.response_future: asyncio.Future[object] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a complete reply or a protocol error ends the request in progress."""
        try:
            self.reader.feed(data)
            reply = self.reader.gets()
        except hiredis.ProtocolError as error:
            reply = error
        if reply is not False and self.response_future and not self.response_future.done():
            self.response_future.set_result(reply)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in progress."""
        self.transport = None
        if self.response_future and not self.response_future.done():
            self.response_future.set_exception(ConnectionResetError("connection closed before the response"))

    @property
    def usable(self) -> bool:
        """Whether the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    async def request(self, command: bytes, timeout: float) -> object:
        """Send a command and return the reply; raises OSError or TimeoutError."""
        if not self.usable or self.transport is None:
            raise ConnectionResetError("connection is closed")
        self.response_future = asyncio.get_running_loop().create_future()
        self.transport.write(command)
        try:
            async with asyncio.timeout(timeout):
                return await self.response_future
        finally:
            self.response_future = None


def encode_request(customer: Customer, request_class: RequestClass, request_id: str) -> bytes:
    """Encode a request of a customer."""
    key, body = None, None
    if request_class.effect != "repeatable":
        key, body = (request_id if request_class.effect == "by_key" else None), b"stand-in"
    return protocol.request(
        request_class.name,
        customer.plan,
        customer.number,
        request_id,
        units=customer.units,
        deadline_ms=int(request_class.deadline * 1000),
        first=customer.first,
        spread=customer.spread,
        key=key,
        body=body,
    )


class LoadBalancer:
    """A pool of connections to each gateway, and which gateways were unreachable recently."""

    def __init__(self, gateways: Sequence[tuple[str, int]]) -> None:
        self.gateways = list(gateways)
        self.idle: list[deque[GatewayConnection]] = [deque() for _ in self.gateways]
        self.down_until = [0.0] * len(self.gateways)
        self.sent: Counter[int] = Counter()

    async def connection(self, rank: int) -> GatewayConnection:
        """Return an idle connection or open a new one; raises OSError."""
        while self.idle[rank]:
            connection = self.idle[rank].pop()
            if connection.usable:
                return connection
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await asyncio.get_running_loop().create_connection(
                    GatewayConnection, *self.gateways[rank]
                )
        except OSError:  # including TimeoutError
            self.down_until[rank] = time.monotonic() + DOWN_DURATION
            raise
        return connection

    def is_up(self, rank: int) -> bool:
        """Return whether no connection attempt has failed within the last DOWN_DURATION."""
        return self.down_until[rank] <= time.monotonic()

    def close(self) -> None:
        """Abort all idle connections."""
        for connections in self.idle:
            for connection in connections:
                if connection.transport:
                    connection.transport.abort()


class Clients:
    """The clients of all customers."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        customers: Sequence[Customer],
        request_classes: Sequence[RequestClass],
        seed: np.random.SeedSequence,
    ) -> None:
        self.load_balancer, self.customers, self.request_classes = load_balancer, customers, request_classes
        # Called after each request with customer, request id, outcome, duration in seconds and gateway rank.
        self.observer: Callable[[Customer, str, str, float, int], None] | None = None
        self.stats_by_customer = {customer.number: CustomerStats() for customer in customers}
        self.rngs = [np.random.default_rng(child_seed) for child_seed in seed.spawn(len(customers))]
        self.tasks: set[asyncio.Task[None]] = set()
        self.generators: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start generating requests."""
        loop = asyncio.get_running_loop()
        for customer, rng in zip(self.customers, self.rngs, strict=True):
            self.generators.append(loop.create_task(self._generate_requests(customer, rng)))

    async def stop(self) -> None:
        """Stop generating requests, and wait for those in progress."""
        for task in self.generators:
            task.cancel()
        await asyncio.gather(*self.generators, return_exceptions=True)
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.load_balancer.close()

    async def _generate_requests(self, customer: Customer, rng: np.random.Generator) -> None:
        loop, number = asyncio.get_running_loop(), 0
        due = loop.time()
        while True:
            due += float(rng.exponential(1 / customer.rate))
            await asyncio.sleep(max(0.0, due - loop.time()))
            number += 1
            request_class = self.request_classes[int(rng.integers(len(self.request_classes)))]
            task = loop.create_task(
                self._perform(customer, request_class, f"{customer.number:x}-{number}", rng)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _perform(
        self, customer: Customer, request_class: RequestClass, request_id: str, rng: np.random.Generator
    ) -> None:
        stats, started_at = self.stats_by_customer[customer.number], time.monotonic()
        stats.sent += 1
        rank = self._choose_gateway(customer, rng)
        try:
            outcome = protocol.outcome(await self._send_via(customer, request_class, request_id, rank))
        except (OSError, TimeoutError):
            outcome = "lost"
        stats.outcomes[outcome] += 1
        if self.observer:
            self.observer(customer, request_id, outcome, time.monotonic() - started_at, rank)
        if outcome == "served":
            stats.latencies.append(time.monotonic() - started_at)
            stats.spend(customer, started_at)

    def _choose_gateway(self, customer: Customer, rng: np.random.Generator) -> int:
        """Pick a random gateway of the customer's set, preferring reachable ones."""
        ranks = [(customer.first + i) % len(self.load_balancer.gateways) for i in range(customer.spread)]
        reachable = [rank for rank in ranks if self.load_balancer.is_up(rank)] or ranks
        return reachable[int(rng.integers(len(reachable)))]

    async def _send_via(
        self, customer: Customer, request_class: RequestClass, request_id: str, rank: int
    ) -> object:
        """Send a request through a gateway, once more if a reused connection turns out to be closed."""
        request = encode_request(customer, request_class, request_id)
        for retry in (False, True):
            reused = bool(self.load_balancer.idle[rank])
            connection = await self.load_balancer.connection(rank)
            self.load_balancer.sent[rank] += not retry
            try:
                reply = await connection.request(request, request_class.deadline + RESPONSE_MARGIN)
            except ConnectionResetError:
                if retry or not reused:
                    raise
                continue  # closed by the gateway while the request was sent: the protocol requires one retry
            except TimeoutError:
                if connection.transport:
                    connection.transport.abort()
                raise
            if connection.usable:
                self.load_balancer.idle[rank].append(connection)
            return reply
        raise ConnectionResetError("connection closed twice")
