"""Connections to hosts: one attempt at a time on each, and what became of every attempt.

Outcomes decide whether a request may go again: what failed before its last byte left has never run
(NOT_CONNECTED), what failed after it may have (BROKEN). Nothing is ever sent again from here.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from enum import Enum, auto

import hiredis

from orchidlane import interface as api

from .calls import Attempt, Sink
from .config import Address, HostList
from .driver import Driver
from .resp import CRLF, VALUE_BYTES_MAX, LargeValue, Reader

REPLY_BYTES_MAX = 2 * VALUE_BYTES_MAX  # bytes of a whole answer but for a large value: figures and a report
RECEIVE_BUFFER_BYTES = 256 * 1024  # bytes that wait in a socket: bounds a piece, where the client is slow
STREAM_IDLE_TIMEOUT = 10.0  # seconds that a host may leave a large answer without a byte
IDLE_TIMEOUT_SHARE = 0.6  # of the hosts' idle timeout: ours is clearly shorter, so none meets a closing one
SWEEPS_PER_IDLE_TIMEOUT = 10  # looks at idle connections in that time
# Seconds that a connection rests after an answer: a second one may come some milliseconds late, and would be
# taken for the answer to another request.
CONNECTION_COOLDOWN = 0.03
MS = 1_000


def parse_report(text: object, names: tuple[str, ...]) -> tuple[float, ...]:
    """``inflight=7,util=0.61`` in the order of the settings' names; empty where one is missing or odd."""
    if not isinstance(text, bytes) or not names:
        return ()
    try:
        values = dict(pair.split("=", 1) for pair in text.decode().split(","))
        return tuple(float(values[name]) for name in names)
    except (ValueError, KeyError):
        return ()


def pack_request(attempt: Attempt, now: int) -> tuple[bytes, ...]:
    """The client's command as it came, but for how long the gateway will wait."""
    command, customer, number, before, after, *body = attempt.call.parts
    left = max(1, (attempt.expires_at - now) // MS)
    terms = before + b"%d" % left + after
    words = command, customer, number, terms
    if body and isinstance(body[0], tuple):  # in its pieces, which are kept: it may go out again
        head = hiredis.pack_command(words).removeprefix(b"*%d" % len(words))
        length = b"$%d\r\n" % sum(map(len, body[0]))
        return b"*%d%b%b" % (len(words) + 1, head, length), *body[0], CRLF
    return (hiredis.pack_command((*words, *body)),)


class Stage(Enum):
    """What a connection is doing; it is counted among the sockets until it is CLOSED, once."""

    OPENING = auto()  # not up yet: its timer ends that
    BUSY = auto()  # with an attempt, or the rest of a large answer
    IDLE = auto()
    CLOSED = auto()


class Connection(asyncio.Protocol):
    """One connection to a host: idle, or with one attempt on it."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.stage = pool, Stage.OPENING
        self.transport: asyncio.Transport | None = None
        self.reader = Reader(VALUE_BYTES_MAX, large_index=0)
        self.attempt: Attempt | None = None
        self.large: LargeValue | None = None  # the value of this answer, where it is a large one
        self.sink: Sink | None = None  # where its pieces go
        self.reply: object = False  # what came of it besides: it is used again once that is whole
        self.paused = False
        self.last_received_at = 0.0  # when it last sent a piece
        self.received = 0  # bytes of the answer
        self.idle_since = 0.0
        # Not the loop's own time-out: where the loop is behind, that closes a connection which has come up.
        self.timer = pool.hosts.loop.call_later(pool.hosts.connect_timeout, pool.connect_failed, self)
        self.task = pool.hosts.loop.create_task(self._open())
        pool.opening += 1
        pool.hosts.sockets += 1  # here, not in the task: a burst comes before any of them has run

    async def _open(self) -> None:
        try:
            await self.pool.hosts.loop.create_connection(lambda: self, *self.pool.address)
        except OSError:  # refused, or unreachable
            self.pool.connect_failed(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """It is up; with a high-water mark of 0 the loop says when the last byte has left."""
        self.transport = transport
        if self.stage is Stage.CLOSED:  # it came up in the moment in which it was given up
            transport.abort()
            return
        self.timer.cancel()
        transport.set_write_buffer_limits(high=0)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.pool.connected(self)

    def is_clean(self) -> bool:
        """Whether its socket holds nothing to read: an end, a reset or half a line may have come while nobody
        looked, and what is in it belongs to no request of ours."""
        if self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)

    def start_attempt(self, attempt: Attempt, now: int) -> None:
        """Write an attempt's request."""
        self.attempt, attempt.carrier, self.received, self.large = attempt, self, 0, None
        for chunk in pack_request(attempt, now):
            self.transport.write(chunk)
        attempt.fully_sent = not self.transport.get_write_buffer_size() and not self.transport.is_closing()

    def pause_writing(self) -> None:
        """The socket takes no more for now."""

    def resume_writing(self) -> None:
        """The socket has taken all that was written."""
        if self.attempt:
            self.attempt.fully_sent = True

    def data_received(self, data: bytes) -> None:
        """The answer, or a part of it."""
        if self.stage is Stage.CLOSED:
            return
        hosts = self.pool.hosts
        hosts.driver.stats["host_bytes_in"] += len(data)
        if self.stage is Stage.IDLE:
            hosts.driver.stats["host_unasked"] += 1
            self.close()  # a late second answer, for one
            return
        self.received += len(data)
        try:
            self.reader.feed(data)
            if self.reader.large_values:
                self._stream()
            if self.reply is False:
                self.reply = self.reader.gets()
            passing = self.reader.streaming is not None and self.reader.streaming is self.large
            reply = False if passing else self.reply
            malformed = reply is not False and (self.reader.has_data() or not self.reader.at_boundary)
            if (
                reply is False
                and not passing
                and (self.reader.large_values or self.received > REPLY_BYTES_MAX)
            ):
                raise hiredis.ProtocolError("answer too long, or a second large value")
        except hiredis.ProtocolError:
            reply, malformed = None, True
        attempt = self.attempt
        early = attempt is not None and not attempt.fully_sent
        if reply is False and not early:
            return
        self.reply = False
        sink = self.sink
        if (
            sink and reply is not None
        ):  # not before all has come: a value may be whole, and its answer cut off
            self.sink = None
            sink.end()
        if malformed or early:  # what belongs to what is lost
            self.close()
        else:
            self.attempt = None
            hosts.streams.pop(self, None)
            self.pool.release(self)
        if attempt:
            hosts.handle_reply(attempt, reply, malformed)

    def _stream(self) -> None:
        """Pass on what has come of a large value; one that comes behind it belongs to no request."""
        hosts, large, attempt = self.pool.hosts, self.reader.large_values[0], self.attempt
        if self.large is None:
            if attempt and attempt.fully_sent:
                self.sink = hosts.driver.stream_started(attempt, large.length, self)
            if self.sink is None:
                raise hiredis.ProtocolError("a large value that nobody waits for")
            self.attempt, hosts.streams[self], self.large = None, None, large
        if large is not self.large:
            return
        self.last_received_at = hosts.loop.time()
        for chunk in large.take_chunks():
            self.sink.write(chunk)
        if not large.bytes_left:
            self.reader.large_values.popleft()
            self.received = 0

    def pause(self) -> None:
        """The client is slow: what comes waits at the host."""
        if not self.paused and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """The client reads again."""
        if self.paused and not self.transport.is_closing():
            self.paused, self.last_received_at = False, self.pool.hosts.loop.time()
            self.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """The host closed it or the network broke it."""
        attempt = self.attempt
        self.close()
        if attempt:
            # Guards rule 2: a reset may come after the host ran it, unless the last byte never left.
            outcome = api.Outcome.BROKEN if attempt.fully_sent else api.Outcome.NOT_CONNECTED
            self.pool.hosts.driver.attempt_ended(attempt, outcome)

    def abort(self) -> None:
        """Nobody wants the rest of a large answer."""
        self.close()

    def close(self) -> None:
        """End it at once, whatever it is doing; the attempt on it is told by whoever gave it up."""
        if self.stage is Stage.CLOSED:
            return
        if self.stage is Stage.IDLE:
            self.pool.idle.remove(self)
        self.pool.opening -= self.stage is Stage.OPENING
        self.stage, self.attempt = Stage.CLOSED, None
        self.pool.hosts.sockets -= 1
        self.timer.cancel()
        if self.transport:
            self.transport.abort()
        else:
            self.task.cancel()
        # What is out of a large answer cannot be taken back.
        self.pool.hosts.streams.pop(self, None)
        sink, self.sink = self.sink, None
        if sink:
            sink.fail()


class Pool:
    """The connections to one host; the one used last is used first, so that surplus ones grow idle."""

    def __init__(self, hosts: Hosts, address: Address) -> None:
        self.hosts, self.address = hosts, address
        self.idle: list[Connection] = []  # the one longest idle stands first
        self.waiting: deque[Attempt] = deque()
        self.opening = 0  # connections that are not up yet
        self.timer: asyncio.TimerHandle | None = None  # when the first that cools down may be used
        self.retired = False

    def send(self, attempt: Attempt) -> None:
        """It waits its turn for a connection: at once, where one is idle and has cooled down."""
        self.waiting.append(attempt)
        attempt.carrier = self
        self._dispatch()

    def _dispatch(self) -> None:
        """Attempts that wait take connections that have cooled down. For what is left, one that cools down is
        sooner than a new one and costs no handshake; as many as are missing then are opened."""
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
        """One timer, as long as an attempt waits beside a connection that cools down."""
        if self.timer:
            self.timer.cancel()
        self.timer = None
        if self.waiting and self.idle:
            span = self.idle[0].idle_since + CONNECTION_COOLDOWN - self.hosts.loop.time()
            self.timer = self.hosts.loop.call_later(max(0.001, span), self._dispatch)

    def _take_idle(self) -> Connection | None:
        """The connection used last of those that have rested."""
        before = self.hosts.loop.time() - CONNECTION_COOLDOWN
        for connection in self.idle[::-1]:
            if connection.idle_since > before:
                continue
            if connection.is_clean():
                self.idle.remove(connection)
                connection.stage = Stage.BUSY
                return connection
            self.hosts.driver.stats["host_stale"] += 1
            connection.close()
        return None

    def connect_failed(self, connection: Connection) -> None:
        """It never came up: the attempt that waits longest never ran."""
        if connection.stage is Stage.OPENING:
            connection.close()
            if self.waiting:
                self.hosts.driver.attempt_ended(self.waiting.popleft(), api.Outcome.NOT_CONNECTED)

    def connected(self, connection: Connection) -> None:
        """It is up: the attempt that waits longest takes it."""
        self.opening -= 1
        connection.stage = Stage.BUSY
        if attempt := self._next_attempt():
            connection.start_attempt(attempt, self.hosts.driver.clock())
        else:
            self.release(connection)

    def release(self, connection: Connection) -> None:
        """Nothing is on it now."""
        connection.stage, connection.idle_since = Stage.IDLE, self.hosts.loop.time()
        self.idle.append(connection)
        if self.retired:
            connection.close()
        else:
            self._schedule_dispatch()

    def _next_attempt(self) -> Attempt | None:
        """The attempt that waits longest. Guards rule 2: one that may not be sent any more never was."""
        while self.waiting:
            attempt = self.waiting.popleft()
            if attempt.send_by and self.hosts.driver.clock() >= attempt.send_by:
                self.hosts.driver.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)
            elif self.hosts.driver.is_wanted(attempt):
                return attempt
        return None

    def close_idle(self, before: float) -> None:
        """Close what has been idle since before then; the oldest stand first."""
        while self.idle and self.idle[0].idle_since <= before:
            self.idle[0].close()

    def take_waiting(self) -> list[Attempt]:
        """Nothing new is sent there: what waits for a connection has never left."""
        waiting, self.waiting = list(self.waiting), deque()
        return waiting

    def retire(self) -> list[Attempt]:
        """Nothing more is sent there: what is out may end, what still waits is given back."""
        self.retired = True
        self.close_idle(float("inf"))
        return self.take_waiting()


class Hosts:
    """All hosts that discovery has named, and the attempts out at them."""

    def __init__(
        self,
        driver: Driver,
        report_names: tuple[str, ...],
        sockets: int,
        idle_close: float,
        connect_timeout: float,
    ) -> None:
        self.driver, self.loop, self.report_names = driver, driver.loop, report_names
        self.max_connections, self.connect_timeout = sockets, connect_timeout
        self.idle_timeout = IDLE_TIMEOUT_SHARE * idle_close
        self.sockets = 0  # open or opening
        self.pools: dict[api.Server, Pool] = {}
        self.streams: dict[Connection, None] = {}  # those with a large answer on them
        self._close_idle_connections()
        self._close_stalled_streams()

    def apply_host_list(self, listed: HostList) -> list[Attempt]:
        """Follow discovery: idle connections to hosts that are gone or moved are closed. Guards rule 3: gives
        back the attempts that would else be sent once their connection to a draining host is up."""
        unsent = []
        if listed.whole:
            named = {host.entry.server for host in listed.hosts}
            for server in [server for server in self.pools if server not in named]:
                unsent += self.pools.pop(server).retire()
        for host in listed.hosts:
            pool = self.pools.get(host.entry.server)
            gone = host.entry.phase is api.Phase.GONE
            if pool and (gone or pool.address != host.address):
                unsent += self.pools.pop(host.entry.server).retire()
            elif pool and host.entry.phase is api.Phase.DRAINING:
                unsent += pool.take_waiting()
            if not gone and host.entry.server not in self.pools:
                self.pools[host.entry.server] = Pool(self, host.address)
        return unsent

    def ban_host(self, server: api.Server) -> list[Attempt]:
        """Nothing more goes there: what waits for a connection is given back, idle ones are closed."""
        pool = self.pools.get(server)
        if pool is None:
            return []
        pool.close_idle(float("inf"))
        return pool.take_waiting()

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        if pool := self.pools.get(attempt.server):
            pool.send(attempt)
        else:
            self.driver.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; closing its connection tells the host."""
        if isinstance(attempt.carrier, Connection):
            attempt.carrier.close()
        elif isinstance(attempt.carrier, Pool) and attempt in attempt.carrier.waiting:
            attempt.carrier.waiting.remove(attempt)

    def handle_reply(self, attempt: Attempt, reply: object, malformed: bool) -> None:
        """Translate a host's answer; odd: more came with it than one answer."""
        ended = self.driver.attempt_ended
        line = str(reply).split(" ") if isinstance(reply, hiredis.ReplyError) else [""]
        if (
            not attempt.fully_sent
        ):  # it can't be the answer to what the host has not got: but it may turn it away
            ended(attempt, api.Outcome.FULL if line[0] == "BUSY" else api.Outcome.NOT_CONNECTED)
            return
        if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
            report = parse_report(reply[2] if len(reply) > 2 else None, self.report_names)
            ended(attempt, api.Outcome.SERVED, b"$%d\r\n%b\r\n" % (len(reply[0]), reply[0]), report)
            return
        if line[0] == "BUSY" and not malformed:  # else whether it has run can't be told
            ended(attempt, api.Outcome.FULL)
            return
        ended(attempt, api.Outcome.ERROR, None, parse_report(line[-1].encode(), self.report_names))

    def close_idle(self) -> None:
        """Close what nothing is out on: another process needs the room."""
        for pool in self.pools.values():
            pool.close_idle(float("inf"))

    def gauges(self) -> dict[str, int]:
        """Connections to hosts, open or opening."""
        return {
            "host_conns": self.sockets,
            "host_conns_most": self.max_connections,
            "host_streams": len(self.streams),
            "host_idle": sum(len(pool.idle) for pool in self.pools.values()),
            "host_waiting": sum(len(pool.waiting) for pool in self.pools.values()),
        }

    def make_room(self) -> bool:
        """Whether one more connection may be opened; if need be the one longest idle makes room."""
        if self.sockets >= self.max_connections:
            oldest = min(
                (p for p in self.pools.values() if p.idle), key=lambda p: p.idle[0].idle_since, default=None
            )
            if oldest:
                oldest.idle[0].close()
        return self.sockets < self.max_connections

    def _close_idle_connections(self) -> None:
        """Guards against a request meeting a connection that its host is closing as idle."""
        for pool in self.pools.values():
            pool.close_idle(self.loop.time() - self.idle_timeout)
        self.loop.call_later(self.idle_timeout / SWEEPS_PER_IDLE_TIMEOUT, self._close_idle_connections)

    def _close_stalled_streams(self) -> None:
        """Guards against a host that stops within a large answer: no deadline runs any more."""
        before = self.loop.time() - STREAM_IDLE_TIMEOUT
        for connection in [c for c in self.streams if not c.paused and c.last_received_at < before]:
            connection.close()
        self.loop.call_later(STREAM_IDLE_TIMEOUT / SWEEPS_PER_IDLE_TIMEOUT, self._close_stalled_streams)
