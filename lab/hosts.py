"""A stand-in host on loopback: RESP2 in, a ``Station``'s answers out in the order of the requests."""

from __future__ import annotations

import asyncio
import functools
from collections import deque
from collections.abc import Callable

import hiredis
import numpy as np

from .station import FAILED, SERVED, Machine, Station, StationStats, Ticket

__all__ = ["Host", "Machine"]
EXPECTED = (b"CALL.GET", b"CALL.POST")


class GatewayConnection(asyncio.Protocol):
    """One gateway's connection: requests run side by side, answers go back in order."""

    def __init__(self, host: Host) -> None:
        self.host, self.reader = host, hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.tickets: deque[Ticket] = deque()
        self.answers: dict[Ticket, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.host.stats.connections += 1
        self.host.connections.add(self)
        if len(self.host.connections) > self.host.station.machine.connections:
            self.host.stats.turned_away["connections"] += 1
            transport.write(b"-BUSY\r\n")
            transport.close()

    def data_received(self, data: bytes) -> None:
        """Commands, or parts of them."""
        try:
            self.reader.feed(data)
            while (words := self.reader.gets()) is not False:
                self._command(words)
        except hiredis.ProtocolError:
            self.host.stats.malformed += 1
            if self.transport:
                self.transport.abort()

    def _command(self, words: object) -> None:
        if not self.transport:
            return
        try:
            if not isinstance(words, list) or words[0] not in EXPECTED or len(words) < 4:
                raise ValueError
            ticket = self._ticket(words)
        except (ValueError, KeyError, IndexError, TypeError, AttributeError):
            self.host.stats.malformed += 1
            self.transport.write(b"-SYNTAX no such command\r\n")
            return
        self.tickets.append(ticket)
        self.host.station.submit(ticket)

    def _ticket(self, words: list[bytes]) -> Ticket:
        terms = dict(pair.split(b"=", 1) for pair in words[3].split(b","))
        until = self.host.loop.time() + int(terms[b"d"]) / 1_000
        begun = None
        if observer := self.host.observer:
            begun = functools.partial(observer, words[1], words[2], terms)
        ticket = Ticket(terms[b"c"], words[2], until, lambda how: self._answer(ticket, how), begun)
        return ticket

    def _answer(self, ticket: Ticket, how: str) -> None:
        """It is over; what is before it on this connection is told first."""
        value = b"%b from %b" % (ticket.kind, self.host.name.encode())
        served = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
        self.answers[ticket] = {SERVED: served, FAILED: b"-ERR failed\r\n"}.get(how, b"-BUSY\r\n")
        while self.tickets and self.tickets[0] in self.answers:
            told = self.answers.pop(self.tickets.popleft())
            if self.transport and not self.transport.is_closing():
                self.transport.write(told)

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway gave up what is out on it: what waits never runs, what runs goes on."""
        self.host.connections.discard(self)
        self.transport = None
        for ticket in self.tickets:
            self.host.station.cancel(ticket)


class Host:
    """One listening stand-in."""

    def __init__(self, name: str, machine: Machine, draw: np.random.Generator) -> None:
        self.name = name
        self.loop = asyncio.get_running_loop()
        self.station = Station(machine, draw, self.loop.time, self.loop.call_later)
        self.connections: set[GatewayConnection] = set()
        # Told of each request that begins to run: customer, id, its terms.
        self.observer: Callable[[bytes, bytes, dict[bytes, bytes]], None] | None = None
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    @property
    def stats(self) -> StationStats:
        """What it saw."""
        return self.station.stats

    async def listen(self) -> Host:
        """Serve at a port of the system's choosing; ``address`` tells it."""
        self.server = await self.loop.create_server(
            lambda: GatewayConnection(self), "127.0.0.1", self.address[1]
        )
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def close(self) -> None:
        """End at once, as a process that is killed: connections are reset."""
        if self.server:
            self.server.close()
        for link in list(self.connections):
            if link.transport:
                link.transport.abort()
