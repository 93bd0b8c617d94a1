"""Connection pools to hosts: which connection carries an attempt, and the outcome of every attempt.

This module never retries: the decision module does, by the outcome.
"""

from __future__ import annotations

import asyncio
from collections import deque

import hiredis

from orchidlane import interface as api

from .calls import Attempt
from .config import DEFAULT_MEMORY_MB, Address, HostList
from .driver import Driver
from .host_connection import Connection, Stage
from .memory import MEBIBYTE, PARTIAL_REPLY_SHARE, MemoryAccount, MemoryBudget
from .request_log import CloseReason

STREAM_IDLE_TIMEOUT = 10.0  # seconds without a byte after which a streamed response is given up
IDLE_TIMEOUT_SHARE = 0.6  # of the hosts' idle timeout, so that no request meets a connection being closed
# Read from a host at once. A client that reads slowly keeps the last piece in its write buffer.
RECEIVE_BYTES = 256 * 1024
RECEIVE_BYTES_STREAM = 64 * 1024  # of a value that is passed on
RECEIVE_BYTES_SHORT = 16 * 1024  # for such a client, and while memory is short
SWEEPS_PER_IDLE_TIMEOUT = 10  # checks for idle or stalled connections in one such timeout
# Seconds before a connection is reused after a response: a duplicate response may follow some milliseconds
# later, and would be taken for the response to the next request.
CONNECTION_COOLDOWN = 0.03
REPORT_VALUES_MAX = 64  # of a load report; a longer one is not parsed


def parse_report(text: object, names: tuple[str, ...]) -> tuple[float, ...]:
    """Parse ``inflight=7,util=0.61`` into values in the order of ``names``; empty if any is unusable."""
    if not isinstance(text, bytes) or not names or text.count(b",") >= REPORT_VALUES_MAX:
        return ()
    try:
        values = dict(pair.split("=", 1) for pair in text.decode().split(","))
        return tuple(float(values[name]) for name in names)
    except (ValueError, KeyError):
        return ()


class Pool:
    """Connections to one host, used last in, first out, so that surplus ones reach the idle timeout."""

    def __init__(self, hosts: Hosts, address: Address) -> None:
        self.hosts, self.address = hosts, address
        self.idle: list[Connection] = []  # the one idle longest first
        self.waiting: deque[Attempt] = deque()
        self.opening = 0  # connections being established
        self.timer: asyncio.TimerHandle | None = None  # fires when the first connection's cooldown ends
        self.draining = False
        self.retired = False

    def send(self, attempt: Attempt) -> None:
        """Queue an attempt; it is sent at once if a connection is idle and past its cooldown."""
        self.waiting.append(attempt)
        attempt.carrier = self
        self._dispatch()

    def _dispatch(self) -> None:
        """Send queued attempts on idle connections past their cooldown, and open connections for the rest.

        A connection in cooldown counts as available: it is ready sooner than a new one, without a handshake.
        """
        while self.waiting and (connection := self._take_idle()):
            if attempt := self._next_attempt():
                connection.start_attempt(attempt, self.hosts.driver.clock())
            else:
                self.release(connection)
        while len(self.waiting) > len(self.idle) + self.opening:
            if self.hosts.make_room():
                Connection(self)
            else:
                self.hosts.driver.attempt_ended(self.waiting.pop(), api.Outcome.NOT_CONNECTED)
        self._schedule_dispatch()

    def _schedule_dispatch(self) -> None:
        """Set a timer for the end of the first cooldown while attempts are queued."""
        if self.timer:
            self.timer.cancel()
        self.timer = None
        if self.waiting and self.idle:
            delay = self.idle[0].idle_since + CONNECTION_COOLDOWN - self.hosts.loop.time()
            self.timer = self.hosts.loop.call_later(max(0.001, delay), self._dispatch)

    def _take_idle(self) -> Connection | None:
        """Take the most recently used idle connection that is past its cooldown; close stale ones."""
        cutoff = self.hosts.loop.time() - CONNECTION_COOLDOWN
        for connection in self.idle[::-1]:
            if connection.idle_since > cutoff:
                continue
            if connection.is_clean():
                self.idle.remove(connection)
                connection.stage = Stage.BUSY
                return connection
            self.hosts.driver.stats["host_stale"] += 1
            connection.close(CloseReason.PEER)
        return None

    def connect_failed(self, connection: Connection) -> None:
        """Fail the attempt queued longest, which has not run, as a connection could not be established."""
        if connection.stage is Stage.OPENING:
            connection.close(CloseReason.CONNECT_FAILED)
            if self.waiting:
                self.hosts.driver.attempt_ended(self.waiting.popleft(), api.Outcome.NOT_CONNECTED)

    def connected(self, connection: Connection) -> None:
        """Send the attempt queued longest on a connection that was just established."""
        self.opening -= 1
        connection.stage = Stage.BUSY
        if attempt := self._next_attempt():
            connection.start_attempt(attempt, self.hosts.driver.clock())
        else:
            self.release(connection)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool."""
        connection.stage, connection.idle_since = Stage.IDLE, self.hosts.loop.time()
        self.idle.append(connection)
        if self.retired:
            connection.close(CloseReason.HOST_RETIRED)
        else:
            self._schedule_dispatch()

    def _next_attempt(self) -> Attempt | None:
        """Dequeue the attempt queued longest; those that must not be sent any more are ended as not sent."""
        while self.waiting:
            attempt = self.waiting.popleft()
            if attempt.send_by and self.hosts.driver.clock() >= attempt.send_by:
                self.hosts.driver.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)
            elif self.hosts.driver.is_wanted(attempt):
                if not self.retired:
                    return attempt
                self.hosts.driver.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)
        return None

    def close_idle(self, cutoff: float, reason: CloseReason = CloseReason.IDLE) -> None:
        """Close connections that have been idle since ``cutoff`` or longer."""
        while self.idle and self.idle[0].idle_since <= cutoff:
            self.idle[0].close(reason)

    def take_waiting(self) -> list[Attempt]:
        """Remove and return the queued attempts, none of which has been sent."""
        waiting, self.waiting = list(self.waiting), deque()
        return waiting

    def retire(self) -> list[Attempt]:
        """Stop using this pool: attempts in flight may finish, queued ones are returned."""
        self.retired = True
        self.close_idle(float("inf"), CloseReason.HOST_RETIRED)
        return self.take_waiting()


class Hosts:
    """Connection pools of all hosts that discovery has listed, and the attempts in flight on them."""

    def __init__(
        self,
        driver: Driver,
        report_names: tuple[str, ...],
        max_connections: int,
        idle_close: float,
        connect_timeout: float,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.driver, self.loop, self.report_names = driver, driver.loop, report_names
        self.max_connections, self.connect_timeout = max_connections, connect_timeout
        self.idle_timeout = IDLE_TIMEOUT_SHARE * idle_close
        self.connection_count = 0  # connections that are open or being opened
        self.budget = budget or MemoryBudget(DEFAULT_MEMORY_MB * MEBIBYTE)
        self.partial_replies = MemoryAccount(self.budget, PARTIAL_REPLY_SHARE)
        self.shared_buffer = memoryview(bytearray(RECEIVE_BYTES))  # for the connection being read
        self.pools: dict[api.Server, Pool] = {}
        self.streams: dict[Connection, None] = {}  # connections with a streamed response
        self._close_idle_connections()
        self._close_stalled_streams()

    def apply_host_list(self, host_list: HostList) -> list[Attempt]:
        """Update the pools from discovery's list, and retire those of hosts that are gone or have moved.

        Return queued attempts to those and to draining hosts. They must not be sent when their connection is
        established: a draining host gets no new requests.
        """
        unsent = []
        if host_list.whole:
            listed = {host.entry.server for host in host_list.hosts}
            for server in [server for server in self.pools if server not in listed]:
                unsent += self.pools.pop(server).retire()
        for host in host_list.hosts:
            pool = self.pools.get(host.entry.server)
            is_gone = host.entry.phase is api.Phase.GONE
            if pool and (is_gone or pool.address != host.address):
                unsent += self.pools.pop(host.entry.server).retire()
            elif pool and host.entry.phase is api.Phase.DRAINING:
                unsent += pool.take_waiting()
            if is_gone:
                continue
            if host.entry.server not in self.pools:
                self.pools[host.entry.server] = Pool(self, host.address)
            self.pools[host.entry.server].draining = host.entry.phase is api.Phase.DRAINING
        return unsent

    def accepts_requests(self, server: api.Server) -> bool:
        """Return whether discovery's newest list names the host as one that may get new requests."""
        pool = self.pools.get(server)
        return pool is not None and not pool.draining

    def ban_host(self, server: api.Server) -> list[Attempt]:
        """Close a banned host's idle connections, and return its queued attempts."""
        pool = self.pools.get(server)
        if pool is None:
            return []
        pool.close_idle(float("inf"), CloseReason.HOST_RETIRED)
        return pool.take_waiting()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        if pool := self.pools.get(attempt.server):
            pool.send(attempt)
        else:
            self.driver.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)

    def abandon(self, attempt: Attempt) -> None:
        """Give up an attempt; closing its connection cancels it at the host."""
        if isinstance(attempt.carrier, Connection):
            attempt.carrier.close(CloseReason.ABANDONED)
        elif isinstance(attempt.carrier, Pool) and attempt in attempt.carrier.waiting:
            attempt.carrier.waiting.remove(attempt)

    def is_delivered(self, attempt: Attempt) -> bool:
        """Return whether the host has received the whole request of an attempt."""
        connection = attempt.carrier
        return attempt.fully_sent and isinstance(connection, Connection) and connection.is_delivered()

    def handle_reply(self, attempt: Attempt, reply: object, malformed: bool, is_early: bool) -> None:
        """Report an attempt's outcome from its host's reply; ``malformed``: it was not exactly one reply.

        ``is_early``: the host had not received the whole request; it can't have served it, but may reject it.
        """
        ended = self.driver.attempt_ended
        error_words = str(reply).split(" ") if isinstance(reply, hiredis.ReplyError) else [""]
        if is_early:
            # What has left the process may have reached the host since then.
            unserved = api.Outcome.BROKEN if attempt.fully_sent else api.Outcome.NOT_CONNECTED
            ended(attempt, api.Outcome.FULL if error_words[0] == "BUSY" else unserved)
            return
        if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
            report = parse_report(reply[2] if len(reply) > 2 else None, self.report_names)
            ended(attempt, api.Outcome.SERVED, b"$%d\r\n%b\r\n" % (len(reply[0]), reply[0]), report)
            return
        if error_words[0] == "BUSY" and not malformed:  # otherwise the request may have been executed
            ended(attempt, api.Outcome.FULL)
            return
        ended(attempt, api.Outcome.ERROR, None, parse_report(error_words[-1].encode(), self.report_names))

    def close_idle(self) -> None:
        """Close all idle connections, to leave descriptors to another process."""
        for pool in self.pools.values():
            pool.close_idle(float("inf"))

    def gauges(self) -> dict[str, int]:
        """Return connection counts by state, for the ``stats`` event and the metrics."""
        return {
            "host_conns": self.connection_count,
            "host_conns_most": self.max_connections,
            "host_streams": len(self.streams),
            "host_idle": sum(len(pool.idle) for pool in self.pools.values()),
            "host_reply_kb": self.partial_replies.held // 1024,
            "host_waiting": sum(len(pool.waiting) for pool in self.pools.values()),
        }

    def receive_buffer(self, is_stream: bool, was_paused: bool) -> memoryview:
        """Return the buffer for one read, whose size bounds what a slow client makes the process hold.

        ``is_stream``: a value is received that may be passed on; ``was_paused``: its client has not kept up.
        """
        size = RECEIVE_BYTES_STREAM if is_stream else RECEIVE_BYTES
        if was_paused or not self.budget.is_roomy:
            size = RECEIVE_BYTES_SHORT
        return self.shared_buffer[:size]

    def make_room(self) -> bool:
        """Return whether another connection may be opened; at the limit, close the one idle longest."""
        if self.connection_count >= self.max_connections:
            oldest = min(
                (p for p in self.pools.values() if p.idle), key=lambda p: p.idle[0].idle_since, default=None
            )
            if oldest:
                oldest.idle[0].close(CloseReason.IDLE)
        return self.connection_count < self.max_connections

    def _close_idle_connections(self) -> None:
        """Close connections before their host does, so that no request is sent on one being closed."""
        for pool in self.pools.values():
            pool.close_idle(self.loop.time() - self.idle_timeout)
        self.loop.call_later(self.idle_timeout / SWEEPS_PER_IDLE_TIMEOUT, self._close_idle_connections)

    def _close_stalled_streams(self) -> None:
        """Close streamed responses that have stalled: no deadline applies to them once they have begun."""
        cutoff = self.loop.time() - STREAM_IDLE_TIMEOUT
        for connection in [c for c in self.streams if not c.paused and c.last_received_at < cutoff]:
            connection.close(CloseReason.STALLED)
        self.loop.call_later(STREAM_IDLE_TIMEOUT / SWEEPS_PER_IDLE_TIMEOUT, self._close_stalled_streams)
