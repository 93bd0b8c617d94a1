"""All client connections: the listener, who makes room for whom, and the sweep over them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket

from .client import COMMAND_TIMEOUT, SURPLUS_CONNECTIONS_MAX, Client
from .config import Config
from .drain import Drain
from .driver import Driver
from .uploads import UPLOAD_MEMORY_SHARE, UploadMemory

# The accept queue. A client that finds no room there may take itself for connected and hear nothing for ever.
LISTEN_BACKLOG = 1024
SWEEP_INTERVAL = 0.2  # seconds between two sweeps over all connections for what is overdue


class Clients:
    """All client connections."""

    def __init__(self, driver: Driver, config: Config, max_connections: int) -> None:
        self.driver, self.config, self.max_connections = driver, config, max_connections
        self.open: dict[Client, None] = {}  # the one whose last request is longest ago comes first
        self.half_closed: dict[Client, None] = {}  # half-closed, the one longest so first
        self.upload_memory = UploadMemory(int(UPLOAD_MEMORY_SHARE * config.memory))
        self.drain = Drain(self)
        self.server: asyncio.Server | None = None
        self.accepting: set[asyncio.Task[object]] = set()  # the last connections, on their way into ``open``

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Serve from now on, on the listening socket of the process before this one if it gave it."""
        if sock:
            where = {"sock": sock}
        else:  # shared: a process that hangs may still hold it
            where = {"host": self.config.listen[0], "port": self.config.listen[1], "reuse_port": True}
        self.server = await self.driver.loop.create_server(
            lambda: Client(self), backlog=LISTEN_BACKLOG, **where
        )
        self.driver.readiness.serving = True
        self._sweep()

    def _sweep(self) -> None:
        """Who connects and sends nothing, or part of a command, is owed a close: its place is wanted."""
        before = self.driver.loop.time() - COMMAND_TIMEOUT
        for client in [*self.open, *self.half_closed]:
            client.check_timeouts(before)
            client.close_if_idle()
        self.driver.loop.call_later(SWEEP_INTERVAL, self._sweep)

    @property
    def is_finished(self) -> bool:
        """Whether every request has its answer and every connection is closed at both ends: what a transport
        has still to send would end with the process."""
        return not (self.driver.calls or self.open or self.half_closed or self.accepting)

    def connection_opened(self, client: Client) -> int:
        """One more, if need be in the place of the one idle longest; how many there are beyond the limit."""
        self.driver.stats["client_accepted"] += 1
        if len(self.open) >= self.max_connections:
            idle = next((client for client in self.open if client.is_idle()), None)
            if idle:
                self.driver.stats["client_evicted"] += 1
                idle.half_close()
        self.open[client] = None
        if (
            self.half_closed
            and len(self.open) + len(self.half_closed) > self.max_connections + SURPLUS_CONNECTIONS_MAX
        ):  # guards descriptors
            next(iter(self.half_closed)).transport.abort()
        return len(self.open) - self.max_connections

    def mark_half_closed(self, client: Client) -> None:
        """It is half-closed: it makes room, but its descriptor is held for a while."""
        self.open.pop(client, None)
        self.half_closed[client] = None

    def mark_used(self, client: Client) -> None:
        """It has sent a request: the last to make room."""
        self.open.pop(client, None)
        self.open[client] = None

    def unfinished_bytes(self) -> int:
        """Bytes of commands that have not come whole."""
        return sum(client.unfinished_bytes for client in self.open)

    def gauges(self) -> dict[str, int]:
        """Connections by what they are doing."""
        return {
            "client_conns": len(self.open),
            "client_conns_most": self.max_connections,
            "client_idle": sum(not c.slots and c.reader.at_boundary for c in self.open),
            "client_slots": sum(len(c.slots) for c in self.open),
            "client_half_closed": len(self.half_closed),
            "client_unfinished": sum(not c.reader.at_boundary for c in self.open),
            "client_unfinished_bytes": self.unfinished_bytes(),
            "client_uploads": sum(c.upload is not None for c in self.open),
            "upload_room_kb": self.upload_memory.free // 1024,
        }

    def stop_accepting(self) -> None:
        """No new connections. Those that wait to be accepted are: with the listener they would be reset."""
        if not self.server.sockets:  # the next process has the listener
            return
        listener = socket.socket(fileno=os.dup(self.server.sockets[0].fileno()))
        self.server.close()
        with listener, contextlib.suppress(OSError):  # there are no more
            listener.setblocking(False)
            while True:
                sock, _ = listener.accept()
                opening = self.driver.loop.connect_accepted_socket(lambda: Client(self), sock)
                self.accepting.add(task := self.driver.loop.create_task(opening))
                task.add_done_callback(self.accepting.discard)
