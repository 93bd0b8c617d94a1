"""One connection to a host, with at most one attempt in flight, and the outcome of that attempt.

The outcome decides whether a request may be retried: an attempt that failed before its last byte was sent has
not been executed (NOT_CONNECTED); one that failed later may have been (BROKEN).
"""

from __future__ import annotations

import asyncio
import socket
from enum import Enum, auto
from typing import TYPE_CHECKING

import hiredis

from ops.sockets import has_input_or_ended, reset_connection, unacknowledged_bytes
from orchidlane import interface as api

from .calls import Attempt, Sink
from .request_log import CloseReason
from .resp import CRLF, VALUE_BYTES_MAX, LargeValue, Reader

if TYPE_CHECKING:
    from .hosts import Pool

REPLY_VALUES_MAX = 64  # values of one response, of which a proper one has three
REPLY_BYTES_MAX = 2 * VALUE_BYTES_MAX  # of a response without a large value: metadata and a load report
RECEIVE_BUFFER_BYTES = 256 * 1024  # SO_RCVBUF of a host's socket
MS = 1_000  # microseconds


def pack_request(attempt: Attempt, now: int) -> tuple[bytes, ...]:
    """Return the client's command, with its timeout replaced by how long the gateway will wait."""
    command, customer, request_id, terms_before, terms_after, *body = attempt.call.parts
    timeout_ms = max(1, (attempt.expires_at - now) // MS)
    terms = terms_before + b"%d" % timeout_ms + terms_after
    values = command, customer, request_id, terms
    if body and isinstance(body[0], tuple):  # the chunks of a large body are not joined: retries reuse them
        packed = hiredis.pack_command(values).removeprefix(b"*%d" % len(values))
        length = b"$%d\r\n" % sum(map(len, body[0]))
        return b"*%d%b%b" % (len(values) + 1, packed, length), *body[0], CRLF
    return (hiredis.pack_command((*values, *body)),)


class Stage(Enum):
    """State of a connection; it counts towards the connection limit until it is CLOSED."""

    OPENING = auto()  # connecting, limited by the connect timeout
    BUSY = auto()  # with an attempt, or the rest of a streamed response
    IDLE = auto()
    CLOSED = auto()


class Connection(asyncio.BufferedProtocol):
    """One connection to a host, with at most one attempt in flight."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.stage = pool, Stage.OPENING
        self.transport: asyncio.Transport | None = None
        self.reader = Reader(VALUE_BYTES_MAX, REPLY_VALUES_MAX, large_index=0)
        self.attempt: Attempt | None = None
        self.large: LargeValue | None = None  # the streamed value of the current response
        self.sink: Sink | None = None  # where its chunks go
        self.held_bytes = 0  # of a response that is not complete
        self.paused = False
        self.was_paused = False  # since the response began
        self.last_received_at = 0.0  # when the last chunk of a streamed response was received
        self.idle_since = 0.0
        # Not asyncio's timeout: with event loop lag it would close a connection that is established already.
        self.timer = pool.hosts.loop.call_later(pool.hosts.connect_timeout, pool.connect_failed, self)
        self.task = pool.hosts.loop.create_task(self._open())
        pool.opening += 1
        pool.hosts.connection_count += 1  # counted here: a burst opens many connections before any task runs

    async def _open(self) -> None:
        try:
            await self.pool.hosts.loop.create_connection(lambda: self, *self.pool.address)
        except OSError:  # refused or unreachable
            self.pool.connect_failed(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set up the established connection and hand it to the pool.

        With a high-water mark of 0, ``resume_writing`` is called when the last byte has left the process.
        """
        self.transport = transport
        if self.stage is Stage.CLOSED:  # it was established just as it was given up
            transport.abort()
            return
        self.timer.cancel()
        transport.set_write_buffer_limits(high=0)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.pool.connected(self)

    def is_clean(self) -> bool:
        """Return whether the socket has nothing to read: no close, no reset and no unrequested bytes."""
        return not (self.transport.is_closing() or has_input_or_ended(self.transport))

    def start_attempt(self, attempt: Attempt, now: int) -> None:
        """Write an attempt's request."""
        self.attempt, attempt.carrier, self.large, self.was_paused = attempt, self, None, False
        for chunk in pack_request(attempt, now):
            self.transport.write(chunk)
        attempt.fully_sent = not self.transport.get_write_buffer_size() and not self.transport.is_closing()

    def pause_writing(self) -> None:
        """Ignore that the send buffer is full: the connection carries no further request meanwhile."""

    def resume_writing(self) -> None:
        """Mark the attempt as fully sent: all data has been written to the socket."""
        if self.attempt:
            self.attempt.fully_sent = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, whose size bounds what one read takes."""
        return self.pool.hosts.receive_buffer(self.sink is not None, self.was_paused)

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes out of the shared buffer."""
        self.data_received(bytes(self.pool.hosts.shared_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse a response or a part of it, and report its attempt's outcome once it is complete."""
        if self.stage is Stage.CLOSED:
            return
        hosts = self.pool.hosts
        hosts.driver.stats["host_bytes_in"] += len(data)
        if self.stage is Stage.IDLE:
            hosts.driver.stats["host_unasked"] += 1
            self.close(CloseReason.UNREQUESTED)  # for example a late duplicate response
            return
        is_early = self._is_early()
        try:
            self.reader.feed(data)
            reply = self._read_reply(is_early)
            malformed = reply is not False and not self.reader.at_boundary
        except hiredis.ProtocolError:
            reply, malformed = None, True
        attempt = self.attempt
        is_unfinished = reply is False and not is_early
        if is_unfinished or self.stage is Stage.CLOSED:  # closed: the value was given up with this piece
            return
        sink = self.sink
        # Ended only with the whole response, which may be cut off after the complete large value.
        if sink and reply is not None:
            self.sink = None
            sink.end()
        if malformed or is_early:  # requests and responses can no longer be matched
            self.close(CloseReason.MALFORMED)
        else:
            self.attempt = self.large = None
            hosts.streams.pop(self, None)
            self.resume()  # the client may have paused it in the piece that completed the response
            self.pool.release(self)
        if attempt:
            hosts.handle_reply(attempt, reply, malformed, is_early)

    def _is_early(self) -> bool:
        """Return whether the host had not received the whole request: what it sent is no response to it.

        A host's input acknowledges what the host had received when it sent that.
        """
        return self.attempt is not None and not (self.attempt.fully_sent and self.is_delivered())

    def _read_reply(self, is_early: bool) -> object:
        """Return the complete response, or False; pass on the part of a large value that has come."""
        try:
            reply = self.reader.gets()
        finally:
            if self.reader.large:
                self._stream(self.reader.large, is_early)
        if isinstance(reply, list) and reply and isinstance(reply[0], LargeValue):
            self._stream(reply[0], is_early)
        self._count_held_bytes()
        if reply is False and self.reader.held_bytes > REPLY_BYTES_MAX:
            raise hiredis.ProtocolError("response too long")
        if self.held_bytes and self.pool.hosts.partial_replies.is_exceeded:
            raise hiredis.ProtocolError("too much of unfinished responses")
        return reply

    def _count_held_bytes(self) -> None:
        held_before, self.held_bytes = self.held_bytes, self.reader.held_bytes
        self.pool.hosts.partial_replies.change(held_before, self.held_bytes)

    def _stream(self, large: LargeValue, is_early: bool) -> None:
        """Pass new chunks of a large value to the sink, which begins with the first ones."""
        hosts, attempt = self.pool.hosts, self.attempt
        if self.large is not large:
            if attempt and not is_early:
                self.sink = hosts.driver.stream_started(attempt, large.length, self)
            if self.sink is None:
                raise hiredis.ProtocolError("unexpected large value")
            self.attempt, hosts.streams[self], self.large = None, None, large
        self.last_received_at = hosts.loop.time()
        for chunk in large.take_chunks():
            if self.sink:  # else the client had no room for the chunk before
                self.sink.write(chunk)

    def pause(self) -> None:
        """Apply backpressure to the host, as the client is reading slowly."""
        if not self.paused and not self.transport.is_closing():
            self.paused = self.was_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read from the host again."""
        if self.paused and not self.transport.is_closing():
            self.paused, self.last_received_at = False, self.pool.hosts.loop.time()
            self.transport.resume_reading()

    def is_delivered(self) -> bool:
        """Return whether the host has received all that was written."""
        return not unacknowledged_bytes(self.transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the outcome of the attempt in flight after the host or the network closed the connection."""
        attempt = self.attempt
        self.close(CloseReason.PEER)
        if attempt:
            # The host may have executed the request before the reset, unless its last byte was never sent.
            outcome = api.Outcome.BROKEN if attempt.fully_sent else api.Outcome.NOT_CONNECTED
            self.pool.hosts.driver.attempt_ended(attempt, outcome)

    def abort(self) -> None:
        """Close, as nobody wants the rest of a streamed response."""
        self.close(CloseReason.ABANDONED)

    def close(self, reason: CloseReason) -> None:
        """Close in any stage; the caller reports the outcome of the attempt in flight, if there is one."""
        if self.stage is Stage.CLOSED:
            return
        if self.stage is Stage.IDLE:
            self.pool.idle.remove(self)
        self.pool.opening -= self.stage is Stage.OPENING
        self.stage, self.attempt, self.large = Stage.CLOSED, None, None
        self.pool.hosts.connection_count -= 1
        self.reader.discard()
        self._count_held_bytes()
        if request_log := self.pool.hosts.driver.request_log:
            request_log.connection_closed("host", self.pool.address, reason)
        self.timer.cancel()
        if self.transport:
            reset_connection(self.transport)  # a body in the kernel's buffer must not reach the host any more
        else:
            self.task.cancel()
        # A partially delivered response cannot be taken back.
        self.pool.hosts.streams.pop(self, None)
        sink, self.sink = self.sink, None
        if sink:
            sink.fail()
