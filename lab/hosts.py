"""A stand-in host on loopback: a RESP2 server that answers with the outcomes of a ``Station``."""

from __future__ import annotations

import asyncio
import functools
from collections import deque
from collections.abc import Callable

import hiredis
import numpy as np

from .station import FAILED, SERVED, Machine, Station, StationStats, Ticket

__all__ = ["Host", "Machine"]
COMMANDS = (b"CALL.GET", b"CALL.POST")


class GatewayConnection(asyncio.Protocol):
    """One gateway's connection: pipelined requests run concurrently, replies are sent in request order."""

    def __init__(self, host: Host) -> None:
        self.host, self.reader = host, hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.tickets: deque[Ticket] = deque()
        self.replies: dict[Ticket, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; one above the limit is answered with BUSY and closed."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.host.stats.connections += 1
        self.host.connections.add(self)
        if len(self.host.connections) > self.host.station.machine.connections:
            self.host.stats.turned_away["connections"] += 1
            transport.write(b"-BUSY\r\n")
            transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and run each complete command; a protocol error aborts the connection."""
        try:
            self.reader.feed(data)
            while (command := self.reader.gets()) is not False:
                self._command(command)
        except hiredis.ProtocolError:
            self.host.stats.malformed += 1
            if self.transport:
                self.transport.abort()

    def _command(self, command: object) -> None:
        if not self.transport:
            return
        try:
            if not isinstance(command, list) or command[0] not in COMMANDS or len(command) < 4:
                raise ValueError
            ticket = self._ticket(command)
        except (ValueError, KeyError, IndexError, TypeError, AttributeError):
            self.host.stats.malformed += 1
            self.transport.write(b"-SYNTAX no such command\r\n")
            return
        self.tickets.append(ticket)
        self.host.station.submit(ticket)

    def _ticket(self, command: list[bytes]) -> Ticket:
        terms = dict(pair.split(b"=", 1) for pair in command[3].split(b","))
        deadline = self.host.loop.time() + int(terms[b"d"]) / 1_000
        on_start = None
        if observer := self.host.observer:
            on_start = functools.partial(observer, command[1], command[2], terms)
        ticket = Ticket(
            terms[b"c"], command[2], deadline, lambda outcome: self._reply(ticket, outcome), on_start
        )
        return ticket

    def _reply(self, ticket: Ticket, outcome: str) -> None:
        """Store the reply of a finished request, and send all replies whose predecessors have been sent."""
        value = b"%b from %b" % (ticket.request_class, self.host.name.encode())
        served = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
        self.replies[ticket] = {SERVED: served, FAILED: b"-ERR failed\r\n"}.get(outcome, b"-BUSY\r\n")
        while self.tickets and self.tickets[0] in self.replies:
            reply = self.replies.pop(self.tickets.popleft())
            if self.transport and not self.transport.is_closing():
                self.transport.write(reply)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the connection's queued requests; running ones continue without a reply."""
        self.host.connections.discard(self)
        self.transport = None
        for ticket in self.tickets:
            self.host.station.cancel(ticket)


class Host:
    """A listening stand-in host."""

    def __init__(self, name: str, machine: Machine, rng: np.random.Generator) -> None:
        self.name = name
        self.loop = asyncio.get_running_loop()
        self.station = Station(machine, rng, self.loop.time, self.loop.call_later)
        self.connections: set[GatewayConnection] = set()
        # Called with customer, request id and terms when a request starts to run.
        self.observer: Callable[[bytes, bytes, dict[bytes, bytes]], None] | None = None
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    @property
    def stats(self) -> StationStats:
        """The host's counters."""
        return self.station.stats

    async def listen(self) -> Host:
        """Listen on a port assigned by the system and store it in ``address``."""
        self.server = await self.loop.create_server(
            lambda: GatewayConnection(self), "127.0.0.1", self.address[1]
        )
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def close(self) -> None:
        """Stop like a killed process: connections are reset."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()
