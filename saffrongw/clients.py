"""All client connections: the listener, the connection limit with eviction, and the timeout sweep."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import socket

from .client import (
    COMMAND_BYTES_MAX_ALL,
    COMMAND_TIMEOUT,
    SURPLUS_CONNECTIONS_MAX,
    SWEEP_INTERVAL,
    Client,
)
from .commands import CommandExecutor
from .config import Config
from .drain import Drain
from .driver import Driver
from .input_scheduler import InputScheduler
from .memory import (
    HEADROOM_SHARE,
    INPUT_SHARE,
    STREAM_SHARE,
    WAITING_REPLY_SHARE,
    MemoryAccount,
    MemoryBudget,
    MemoryMonitor,
    RequestMemory,
)
from .request_log import CloseReason
from .uploads import UploadMemory

# Length of the accept queue. A client that overflows it may believe it is connected and wait for ever.
LISTEN_BACKLOG = 1024
GONE_CHECK_INTERVAL = 0.04  # seconds; nothing may be sent to a host 0.1 s after its client has closed
# Read from a client at once. A client that waits for its turn or for a response holds that much.
RECEIVE_BYTES = 16 * 1024
RECEIVE_BYTES_CROWDED = 1024  # while all clients together hold over HELD_BYTES_CROWDED
HELD_BYTES_CROWDED = 1024 * 1024


class Clients:
    """All client connections."""

    def __init__(
        self,
        driver: Driver,
        config: Config,
        max_connections: int,
        budget: MemoryBudget | None = None,
        memory_monitor: MemoryMonitor | None = None,
    ) -> None:
        """Without ``memory_monitor`` the budget relies on what is counted."""
        self.driver, self.config, self.max_connections = driver, config, max_connections
        self.budget = budget or MemoryBudget(config.memory)
        self.memory_monitor = memory_monitor
        self.open: dict[Client, None] = {}  # least recently used first
        self.half_closed: dict[Client, None] = {}  # the one half-closed longest first
        self.scheduler = InputScheduler(driver.loop)
        self.shared_buffer = memoryview(bytearray(RECEIVE_BYTES))  # for the connection that is being read
        self.sweep_due = math.inf  # loop time of the next sweep
        self.upload_memory = UploadMemory(self.budget)
        self.input_memory = MemoryAccount(self.budget, INPUT_SHARE)  # unfinished and waiting commands
        self.request_memory = RequestMemory(self.budget)
        self.waiting_replies = MemoryAccount(self.budget, WAITING_REPLY_SHARE, HEADROOM_SHARE)
        self.stream_memory = MemoryAccount(self.budget, STREAM_SHARE, HEADROOM_SHARE)
        self.commands = CommandExecutor(self)
        self.drain = Drain(self)
        self.server: asyncio.Server | None = None
        self.accepting: set[asyncio.Task[object]] = set()  # accepted connections not yet in ``open``

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Accept connections, on ``sock`` if the predecessor process has passed its listening socket on."""
        if sock:
            target = {"sock": sock}
        else:  # SO_REUSEPORT: a hung process may still hold the address
            target = {"host": self.config.listen[0], "port": self.config.listen[1], "reuse_port": True}
        self.server = await self.driver.loop.create_server(
            lambda: Client(self), backlog=LISTEN_BACKLOG, **target
        )
        self.driver.readiness.serving = True
        self._sweep()

    def _sweep(self) -> None:
        """Enforce the timeouts of all connections, so that stalled ones do not occupy descriptors."""
        now = self.driver.loop.time()
        self.driver.stats.loop_lag = max(self.driver.stats.loop_lag, now - self.sweep_due)
        self.sweep_due = now + SWEEP_INTERVAL
        cutoff = now - COMMAND_TIMEOUT
        for client in self.connections():
            client.check_timeouts(cutoff)
            client.close_if_idle()
            if self.drain.ending_blockers:
                client.end_blockers()
        self._check_memory()
        self.upload_memory.grant_waiting()
        self.driver.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def check_gone_clients(self) -> None:
        """Look for clients that have closed while they are not read from, again and again until the end.

        The successor of an upgrade can't look at the connection of a request that was relayed to it.
        """
        for client in list(self.open):
            client.check_gone()
        self.driver.loop.call_later(GONE_CHECK_INTERVAL, self.check_gone_clients)

    def _check_memory(self) -> None:
        """Compare the budget with the resident memory of the process."""
        if self.memory_monitor:
            self.memory_monitor.check(sum(client.reserved_unused_bytes() for client in self.open))

    @property
    def held_bytes(self) -> int:
        """Received bytes of all clients' unfinished and waiting commands."""
        return self.input_memory.held

    @property
    def is_finished(self) -> bool:
        """Whether all requests are answered and all connections are fully closed.

        Data that is still in a transport's write buffer would be lost if the process exited.
        """
        return not (self.driver.calls or self.open or self.half_closed or self.accepting)

    def connection_opened(self, client: Client) -> int:
        """Register a connection, evicting the one idle longest at the limit; return the excess over it."""
        self.driver.stats["client_accepted"] += 1
        if len(self.open) >= self.max_connections:
            idle = next((client for client in self.open if client.is_idle()), None)
            if idle:
                self.driver.stats["client_evicted"] += 1
                idle.close_reason = CloseReason.IDLE
                idle.half_close()
        self.open[client] = None
        # Half-closed connections still hold descriptors.
        if (
            self.half_closed
            and len(self.open) + len(self.half_closed) > self.max_connections + SURPLUS_CONNECTIONS_MAX
        ):
            next(iter(self.half_closed)).transport.abort()
        return len(self.open) - self.max_connections

    def connections(self) -> list[Client]:
        """Return all open and half-closed connections."""
        return [*self.open, *self.half_closed]

    def mark_half_closed(self, client: Client) -> None:
        """Stop counting a half-closed connection as open; it keeps its descriptor until it is closed."""
        self.open.pop(client, None)
        self.half_closed[client] = None

    def mark_used(self, client: Client) -> None:
        """Make a connection that has sent a request the last to be evicted."""
        self.open.pop(client, None)
        self.open[client] = None

    def make_input_room(self, client: Client) -> bool:
        """End connections until the unfinished commands of all take no more room than they may.

        Those that hold most for longest end first. Return False if ``client`` is one of them.
        """
        input_bytes_max = min(COMMAND_BYTES_MAX_ALL, self.input_memory.limit)
        now = self.driver.loop.time()
        while self.held_bytes > input_bytes_max:
            largest = max(self.open, key=lambda other: other.input_occupancy(now), default=client)
            if largest is client or not largest.input_occupancy(now):
                return False
            largest.give_up_input()
        return True

    def receive_buffer(self) -> memoryview:
        """Return the buffer for one read; a part of it while clients hold much input together."""
        if self.held_bytes > HELD_BYTES_CROWDED:
            return self.shared_buffer[:RECEIVE_BYTES_CROWDED]
        return self.shared_buffer

    def gauges(self) -> dict[str, int]:
        """Return connection counts by state, for the ``stats`` event and the metrics."""
        return {
            "client_conns": len(self.open),
            "client_conns_most": self.max_connections,
            "client_idle": sum(not c.slots and c.reader.at_boundary for c in self.open),
            "client_slots": sum(len(c.slots) for c in self.open),
            "client_half_closed": len(self.half_closed),
            "client_unfinished": sum(not c.reader.at_boundary for c in self.open),
            "client_unfinished_bytes": self.held_bytes,
            "client_input_queued": len(self.scheduler.queue),
            "client_uploads": sum(c.upload is not None for c in self.open),
            "upload_room_kb": self.upload_memory.free // 1024,
            "client_request_kb": self.request_memory.held // 1024,
            "client_waiting_reply_kb": self.waiting_replies.held // 1024,
            "stream_kb": self.stream_memory.held // 1024,
            "memory_capacity_kb": self.budget.capacity // 1024,
            "memory_held_kb": self.budget.held // 1024,
            "memory_uncounted_kb": self.budget.uncounted // 1024,
        }

    def stop_accepting(self) -> None:
        """Close the listener, but first accept connections in its queue, which closing it would reset."""
        if not self.server.sockets:  # the successor process has the listener
            return
        listener = socket.socket(fileno=os.dup(self.server.sockets[0].fileno()))
        self.server.close()
        with listener, contextlib.suppress(OSError):  # until the queue is empty
            listener.setblocking(False)
            while True:
                sock, _ = listener.accept()
                opening = self.driver.loop.connect_accepted_socket(lambda: Client(self), sock)
                self.accepting.add(task := self.driver.loop.create_task(opening))
                task.add_done_callback(self.accepting.discard)
