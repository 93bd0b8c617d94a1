"""One client connection: its states, what is read from it, and its end."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import termios
from collections import deque
from enum import Enum, auto
from typing import TYPE_CHECKING

import hiredis

from .answers import Slot
from .calls import Body, Terms
from .requests import BODY_INDEX, MalformedRequest, parse
from .resp import PLACEHOLDER, VALUE_BYTES_MAX, LargeValue, Reader
from .uploads import UPLOAD_RESUME_TIMEOUT, Upload

if TYPE_CHECKING:
    from .clients import Clients

# What a client may make us hold is bounded for each connection and for all together.
COMMAND_BYTES_MAX = 2 * VALUE_BYTES_MAX  # of one unfinished command: a body and little else
COMMAND_BYTES_MAX_ALL = 64 * VALUE_BYTES_MAX  # of the unfinished commands of all clients
PIPELINE_MAX = 64  # requests in flight on one connection: no more is read from it meanwhile
COMMANDS_PER_TICK = 64  # carried out for one client before all others have their turn
SURPLUS_CONNECTIONS_MAX = 16  # beyond the limit that still get an answer: more are closed at once
RECEIVE_BUFFER_BYTES = 256 * 1024  # what may wait in a client's socket

# Timeouts, in seconds.
COMMAND_TIMEOUT = 2.2  # for a first command, for the rest of one, or for more of a large body
FIRST_COMMAND_GRACE = 0.3  # that a new connection has for its first command while idle ones are closed
WRITE_STALL_TIMEOUT = 10.0  # that a client may leave its answers unread
LINGER_TIMEOUT = 1.0  # in which what a client still sends is read and dropped after our end (lingering close)


class Stage(Enum):
    """How far the end of a client's connection is."""

    OPEN = auto()  # commands are read
    ENDING = auto()  # no more are: once all is answered comes the end
    HALF_CLOSED = auto()  # our end is sent; what still comes is read and dropped until the client ends, too


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = Reader(COMMAND_BYTES_MAX, large_index=BODY_INDEX, large_must_be_last=True)
        self.upload: Upload | None = None
        self.slots: deque[Slot] = deque()
        self.unfinished_bytes = 0  # bytes since the last whole command
        self.stage = Stage.OPEN
        self.is_surplus = False  # there is no room for it
        # Since when it waits for a first command, or for the rest of one; 0: for none.
        self.waiting_since = clients.driver.loop.time()
        self.was_overdue = False
        self.stalled_since = 0.0  # since when the client takes nothing of its answers; 0: it does
        self.stalled_bytes = 0  # bytes that it had not taken then
        self.reading_paused = False  # no more is read for now
        self.last_seen = self.waiting_since  # when it was there still, where nothing is read
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """A client has connected."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        over = self.clients.connection_opened(self)
        self.is_surplus = over > 0
        if over > SURPLUS_CONNECTIONS_MAX:  # guards the descriptors that hosts and discovery need
            transport.abort()

    def pause_writing(self) -> None:
        """Guards memory: a client that reads no answers is not read from either, unless that is read away."""
        self.stalled_since = self.clients.driver.loop.time()
        self.stalled_bytes = self.transport.get_write_buffer_size()
        if self.slots and self.slots[0].source:
            self.slots[0].source.pause()
        self._pause_reading()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.stalled_since = 0.0
        if self.slots and self.slots[0].source:
            self.slots[0].source.resume()
        self._continue()

    def _must_pause_reading(self) -> bool:
        no_room = self.upload is not None and not self.upload.has_memory
        return self.stalled_since > 0 or len(self.slots) >= PIPELINE_MAX or no_room

    def _pause_reading(self) -> None:
        if not self.reading_paused and self.stage is Stage.OPEN:
            self.reading_paused, self.last_seen = True, self.clients.driver.loop.time()
            self.transport.pause_reading()

    def _continue(self) -> None:
        if self.reading_paused and not self._must_pause_reading():
            self._resume_reading()
            self._process_commands()

    def _resume_reading(self) -> None:
        """Read on."""
        if self.reading_paused and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send something, where there is still a way."""
        if not self.is_write_closed():
            self.transport.write(data)

    def is_write_closed(self) -> bool:
        """Whether nothing can be sent to it any more."""
        return self.stage is Stage.HALF_CLOSED or self.transport.is_closing()

    def _accepts_commands(self) -> bool:
        """Whether what has come is carried out: for who is gone nothing is, however much of it waits here."""
        return self.stage is Stage.OPEN and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Commands, or parts of them."""
        if self.stage is not Stage.OPEN:
            self.clients.driver.stats["client_read_away"] += len(data)
            return
        passed = self.reader.bytes_streamed
        self.clients.driver.stats["client_bytes_in"] += len(data)
        self.reader.feed(data)
        self.unfinished_bytes += len(data) - (self.reader.bytes_streamed - passed)
        self._process_commands()

    def _process_commands(self) -> None:
        """Carry out what has come whole, as long as there is room for its answers."""
        whole, turn = False, 0
        if not self._accepts_commands():
            return None
        try:
            while self._accepts_commands():
                if self._must_pause_reading():
                    return self._pause_reading()
                if turn >= COMMANDS_PER_TICK:
                    self._pause_reading()
                    self.clients.driver.loop.call_soon(self._continue)
                    return None
                if self.upload:
                    if not self._receive_upload():
                        break
                    whole = True
                    continue
                if (command := self.reader.gets()) is False:
                    break
                self.unfinished_bytes, whole, turn = 0, True, turn + 1
                if self.reader.large_values and isinstance(command, list) and command[-1:] == [PLACEHOLDER]:
                    self._begin_upload(command, self.reader.large_values.popleft())
                else:
                    self._handle_command(command)
            if self.unfinished_bytes > COMMAND_BYTES_MAX:
                raise hiredis.ProtocolError("command too long")
            if self.unfinished_bytes and self.clients.unfinished_bytes() > COMMAND_BYTES_MAX_ALL:
                raise hiredis.ProtocolError("too much is unfinished")
            if self.reader.at_boundary:
                self.waiting_since = 0.0
            elif whole or self.upload or not self.waiting_since:
                self.waiting_since = self.clients.driver.loop.time()
        except hiredis.ProtocolError as wrong:  # where the next command starts is lost
            self.clients.driver.stats["client_protocol_error"] += 1
            self._end_with_error(" ".join(str(wrong).split()))
        if self.clients.drain.closes:
            self.close_if_idle()
        return None

    def check_timeouts(self, before: float) -> None:
        """Closes a connection on which nothing proper has come for too long. What came while we stood still
        is read between two looks, so it takes two of them."""
        if self.stalled_since and (unread := self.transport.get_write_buffer_size()) < self.stalled_bytes:
            self.stalled_bytes, self.stalled_since = unread, before + COMMAND_TIMEOUT  # slow, but it reads
        if 0 < self.stalled_since < before - (WRITE_STALL_TIMEOUT - COMMAND_TIMEOUT):
            self.clients.driver.stats["client_unread"] += 1
            self.transport.abort()  # a close would wait for the client
        if self.stage is Stage.HALF_CLOSED:
            return
        if self.reading_paused and self.client_has_closed():
            self.clients.driver.stats["client_gone_unread"] += 1
            self.transport.abort()
        elif self.reading_paused:
            self.last_seen = self.clients.driver.loop.time()
        late = 0 < self.waiting_since < before
        late |= self.upload is not None and self.upload.is_late(before, COMMAND_TIMEOUT)
        due, self.was_overdue = self.was_overdue, late and not self.slots
        if due and self.was_overdue:
            self.clients.driver.stats["client_overdue"] += 1
            if self.reader.at_boundary:
                self.half_close()  # no word, which would be taken for the answer to a request on its way
            elif self.upload and not self.upload.has_memory:
                self.clients.driver.stats["refused_no_room"] += 1
                self._end_with_reply(b"-BUSY\r\n")  # it has not run
            else:
                self._end_with_error("no whole command in time")

    def _end_with_error(self, why: str) -> None:
        """An error line, and the end once those before it are written."""
        self._end_with_reply(b"-ERR %b\r\n" % why.encode(errors="replace"))

    def _end_with_reply(self, reply: bytes) -> None:
        """A last word; commands are not read any more."""
        self._resume_reading()
        self.stage = Stage.ENDING
        self._free_upload()
        self._reply(reply)

    def end_unfinished_command(self) -> None:
        """It takes too long over a command: that has not run."""
        if self.stage is Stage.OPEN and not self.slots:
            if self.reader.at_boundary and not self.upload:
                self.half_close()
            else:
                self._end_with_reply(b"-BUSY\r\n")

    def half_close(self) -> None:
        """Stop sending, and read away what still comes until the client ends as well: a close over unread
        bytes would reset the connection, and take along what the client has not read yet. Whose request
        crosses our end sees that nothing of it was taken up, and asks again elsewhere."""
        if self.is_write_closed():
            return
        self._resume_reading()
        self.stage = Stage.HALF_CLOSED
        self.clients.mark_half_closed(self)
        self._release_resources()
        self.transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        self.clients.driver.loop.call_later(LINGER_TIMEOUT, self._abort_after_linger)

    def _abort_after_linger(self) -> None:
        if not self.transport.is_closing():
            if self.transport.get_write_buffer_size():  # it reads slowly; ``look`` ends who doesn't read
                self._linger()
            else:
                self.transport.abort()

    def _begin_upload(self, command: list[object], large: LargeValue) -> None:
        """A command has come but for its large body: read on if it makes sense and there is room."""
        upload = self.upload = Upload(large, self.clients.driver.loop.time())
        try:
            if not all(isinstance(value, bytes) for value in command) or command[0] != b"CALL.POST":
                raise MalformedRequest("unknown command")
            upload.terms, parts = parse(command, self.clients.config)
        except MalformedRequest as wrong:
            self.clients.driver.stats["client_malformed"] += 1
            return self._reply(b"-ERR %b\r\n" % str(wrong).encode())
        upload.parts = parts[:-1]
        if not self.clients.upload_memory.acquire(self, large.length):
            self.clients.driver.stats["upload_waited"] += 1
            upload.has_memory = False
            self.waiting_since = 0.0  # it is we who keep it waiting
        return None

    def upload_memory_granted(self) -> None:
        """There is room for the large body now."""
        now = self.clients.driver.loop.time()
        self.upload.has_memory, self.upload.began = True, now
        self.waiting_since = now - COMMAND_TIMEOUT + UPLOAD_RESUME_TIMEOUT
        self._continue()

    def _receive_upload(self) -> bool:
        """Whether the large body has come whole; then its request has arrived."""
        upload = self.upload
        chunks = upload.large.take_chunks()
        if upload.terms:
            upload.chunks += chunks
        if self.reader.streaming is upload.large:
            return False
        self.upload = None
        if upload.terms:
            self._accept_request(upload.terms, (*upload.parts, tuple(upload.chunks)), upload.large.length)
        return True

    def _handle_command(self, command: object) -> None:
        if not isinstance(command, list) or not command or not all(isinstance(v, bytes) for v in command):
            return self._reply(b"-ERR a command is an array of bulk strings\r\n")
        if max(map(len, command)) > VALUE_BYTES_MAX:
            return self._reply(b"-ERR a value is too long\r\n")
        if command[0] in (b"CALL.GET", b"CALL.POST"):
            return self._handle_request(command)
        if command[0].upper() == b"PING" and len(command) == 1:
            why_not = self.clients.driver.readiness.why_not_here
            return self._reply(b"-ERR %b\r\n" % why_not.encode() if why_not else b"+PONG\r\n")
        return self._reply(b"-ERR unknown command\r\n")

    def _handle_request(self, command: list[bytes]) -> None:
        try:
            terms, parts = parse(command, self.clients.config)
        except MalformedRequest as wrong:
            self.clients.driver.stats["client_malformed"] += 1
            return self._reply(b"-ERR %b\r\n" % str(wrong).encode())
        return self._accept_request(terms, parts)

    def _accept_request(self, terms: Terms, parts: tuple[bytes | Body, ...], body_bytes: int = 0) -> None:
        """A request has come whole; its body takes so much of the room for large ones."""
        if (
            self.is_surplus and len(self.clients.open) > self.clients.max_connections
        ):  # guards descriptors: it has not run
            self.stage = Stage.ENDING
            self.clients.driver.stats["refused_crowded"] += 1
            return self._reply(b"-BUSY 1000\r\n", body_bytes)
        if self.clients.drain.refuses:
            self.clients.driver.stats["refused_leaving"] += 1
            return self._reply(b"-BUSY\r\n", body_bytes)
        self.clients.mark_used(self)
        slot = Slot(self)
        slot.body_bytes = body_bytes
        self.slots.append(slot)
        slot.call = self.clients.driver.accept_request(terms, parts, slot.answer, slot)
        return None

    def _reply(self, reply: bytes, body_bytes: int = 0) -> None:
        slot = Slot(self)
        slot.body_bytes = body_bytes
        self.slots.append(slot)
        slot.answer(reply)

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        while self.slots and (slot := self.slots[0]).reply is not None:
            if not slot.begun:
                slot.begun = True
                self.write(slot.reply)
                if slot.source and not self.stalled_since:
                    slot.source.resume()
            if slot.source:
                break
            self.slots.popleft()
        self._continue()
        self.close_if_idle()

    def is_idle(self) -> bool:
        """Nothing of a request is here, nor waits in the socket: where the loop is behind it often does, and
        who sent it would have to send it again."""
        return self._is_between_requests() and not self.stalled_since

    def _is_between_requests(self) -> bool:
        parsed = self.reader.at_boundary and not self.reader.has_data()
        return not self.slots and not self.upload and parsed and not self._has_unread_bytes()

    def _has_unread_bytes(self) -> bool:
        """Whether bytes wait that were not read yet."""
        try:
            number = self.transport.get_extra_info("socket").fileno()
            return any(fcntl.ioctl(number, termios.FIONREAD, bytes(4)))
        except (OSError, ValueError):
            return False  # it can't be asked, or is closing

    def client_has_closed(self) -> bool:
        """Whether a client has closed, though nothing is read from it: its end waits behind what it sent."""
        if self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poller.poll(0))

    def close_if_idle(self) -> None:
        """Close between two requests, if it shall be closed."""
        if self.slots or self.stage is Stage.HALF_CLOSED:
            return
        new = (
            self.waiting_since > self.clients.driver.loop.time() - FIRST_COMMAND_GRACE
        )  # its command is on its way
        if self.stage is Stage.ENDING or (
            self.clients.drain.closes and not new and self._is_between_requests()
        ):
            self.half_close()

    def connection_lost(self, error: Exception | None) -> None:
        """The client has gone away, and with it all that it waited for."""
        self.clients.open.pop(self, None)
        self.clients.half_closed.pop(self, None)
        self._release_resources()

    def _release_resources(self) -> None:
        """Nothing more can be answered here: give up all that is held for it."""
        self._free_upload()
        slots, self.slots = self.slots, deque()
        seconds_unobserved = self.clients.driver.loop.time() - self.last_seen if self.reading_paused else 0.0
        for slot in slots:
            slot.release_body()
            source, slot.source = slot.source, None
            if source:
                source.abort()
            elif slot.call:
                self.clients.driver.client_gone(slot.call, seconds_unobserved)

    def _free_upload(self) -> None:
        upload, self.upload = self.upload, None
        waited = self.clients.upload_memory.waiting.pop(self, 0)
        self.clients.upload_memory.release(
            upload.large.length if upload and upload.terms and not waited else 0
        )
