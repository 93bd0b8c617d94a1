"""One client connection: command processing, backpressure, timeouts and close."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from enum import Enum, auto
from typing import TYPE_CHECKING

import hiredis

from ops.sockets import has_ended, unread_bytes

from .client_output import ClientOutput
from .input_backlog import InputBacklog
from .request_log import CloseReason
from .requests import BODY_INDEX
from .resp import CRLF, VALUE_BYTES_MAX, Reader
from .response_slots import Slot
from .streamed_reply import StreamedReply
from .uploads import UPLOAD_RESUME_TIMEOUT, Upload

if TYPE_CHECKING:
    from .clients import Clients

# Limits on the memory that clients can occupy, for each connection and for all together.
COMMAND_BYTES_MAX = 2 * VALUE_BYTES_MAX  # buffered for one unfinished command: a body and little else
COMMAND_BYTES_MAX_ALL = 64 * VALUE_BYTES_MAX  # buffered for the unfinished commands of all clients
PIPELINE_MAX = 64  # commands in flight on one connection; reading pauses while there are so many
COMMAND_VALUES_MAX = 64  # values of one command, of which a proper one has five at most
COMMAND_UNITS = 32  # work of executing a command, in the units of the input scheduler
UNFINISHED_ERROR = "too much is unfinished"
SURPLUS_CONNECTIONS_MAX = 16  # connections beyond the limit that get an error response; more are reset
RECEIVE_BUFFER_BYTES = 256 * 1024  # SO_RCVBUF of a client's socket
WRITE_BUFFER_BYTES = 16 * 1024  # unsent in this process, from which on a client counts as not reading

# Times, in seconds.
SWEEP_INTERVAL = 0.2  # between two checks of all connections' timeouts
COMMAND_TIMEOUT = 2.2  # for the first command, for the rest of one, or for more of a large body
FIRST_COMMAND_GRACE = 0.3  # in which a new connection is not closed as idle during a drain
LINGER_TIMEOUT = 1.0  # of a lingering close: input is discarded after the half-close


class Stage(Enum):
    """Life cycle of a client connection."""

    OPEN = auto()  # commands are read
    ENDING = auto()  # no more commands are read; half-closed once all responses are written
    HALF_CLOSED = auto()  # FIN is sent; input is discarded until the client closes as well


class Client(asyncio.BufferedProtocol):
    """One client connection."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = Reader(
            COMMAND_BYTES_MAX, COMMAND_VALUES_MAX, large_index=BODY_INDEX, large_must_be_last=True
        )
        self.upload: Upload | None = None
        self.slots: deque[Slot] = deque()
        self.held_bytes = 0  # received bytes that are held for unfinished or waiting commands
        self.input_queued = False  # the scheduler processes the input, now or in its turn
        self.ends_after_input = False  # it is closed once the received commands are executed
        self.ends_when_idle = False  # it is closed at the next moment between two requests
        self.stage = Stage.OPEN
        self.is_surplus = False  # it was accepted beyond the connection limit
        # Loop time since when the first command or the rest of one is awaited; 0: none is.
        self.waiting_since = clients.driver.loop.time()
        self.was_overdue = False  # no complete command in time at the last check; two in a row close it
        self.output = ClientOutput(clients.driver.loop.time, clients.waiting_replies)
        self.reading_paused = False
        self.paused_at = self.waiting_since  # when reading was paused the last time
        self.last_seen = self.waiting_since  # when the client was last known to be connected, while paused
        self.backlog = InputBacklog()
        self.transport: asyncio.Transport | None = None
        self.linger_timer: asyncio.TimerHandle | None = None
        self.close_reason: CloseReason | None = None  # the first one, once this side has begun to close

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set up an accepted connection."""
        self.transport = self.output.transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        excess = self.clients.connection_opened(self)
        self.is_surplus = excess > 0
        if excess > SURPLUS_CONNECTIONS_MAX:  # keeps descriptors free for hosts and discovery
            self._note_close(CloseReason.CROWDED)
            transport.abort()

    def _note_close(self, reason: CloseReason) -> None:
        """Keep the first reason, for the log."""
        self.close_reason = self.close_reason or reason

    def pause_writing(self) -> None:
        """Apply backpressure: a client that does not read its responses is not read from either.

        After ``Stage.OPEN``, ``_pause_reading`` does nothing, since input is discarded from then on.
        """
        self.output.watch()
        self._count_unsent_bytes()
        if self.slots and (stream := self.slots[0].stream):
            stream.set_client_reads(False)
        self._pause_reading()

    def resume_writing(self) -> None:
        """Resume reading and streaming, as the write buffer has drained."""
        if self.stage is not Stage.HALF_CLOSED:  # then the kernel's part of the responses is waited for, too
            self.output.stalled_since = 0.0
        self._count_unsent_bytes()
        if self.slots and (stream := self.slots[0].stream):
            stream.set_client_reads(True)
        self._continue()

    def _count_unsent_bytes(self) -> None:
        """Count what the client leaves unread; that of a value that is passed on is counted by its stream."""
        unsent_bytes = self.output.unsent_bytes()
        if self.slots and (stream := self.slots[0].stream):
            stream.count_unsent(unsent_bytes)
            unsent_bytes = 0
        self.output.count(unsent_bytes)

    def reserved_unused_bytes(self) -> int:
        """Return how much of the memory that is counted for this client it does not hold yet."""
        unused = self.upload.bytes_reserved if self.upload else 0
        return unused + sum(slot.stream.reserved_unused_bytes for slot in self.slots if slot.stream)

    def _lacks_memory(self) -> bool:
        return self.upload is not None and not self.upload.has_memory

    def _is_passing_on(self) -> bool:
        """Return whether a part of a large value has been written: what is behind one that breaks is lost."""
        return bool(self.slots) and self.slots[0].begun

    def _must_pause_reading(self) -> bool:
        is_full = len(self.slots) >= PIPELINE_MAX
        return self.output.stalled_since > 0 or is_full or self._lacks_memory() or self._is_passing_on()

    def _pause_reading(self) -> None:
        if not self.reading_paused and self.stage is Stage.OPEN:
            self.paused_at = self.last_seen = self.clients.driver.loop.time()
            if self.reader.is_behind and not self.upload:
                self.backlog.note(self.paused_at, unread_bytes(self.transport))
            self.reading_paused = True
            self.transport.pause_reading()

    def _continue(self) -> None:
        """Process the input that was held while reading was paused, then read again."""
        if self.reading_paused and not self._must_pause_reading():
            self.clients.scheduler.submit(self)

    def _resume_reading(self) -> None:
        if self.reading_paused and not self.transport.is_closing():
            self._look_for_backlog()
            self.reading_paused = False
            self._extend_timeouts(self.clients.driver.loop.time() - self.paused_at)
            self.transport.resume_reading()

    def _look_for_backlog(self) -> None:
        """Note since when the next command may lie unread in the socket: its time runs from its last byte."""
        missing = 1
        if self.upload:
            missing = self.upload.large.bytes_left + len(CRLF) - self.reader.held_bytes
        if (unread := unread_bytes(self.transport)) >= missing:
            self.backlog.note(self.last_seen, unread)

    def seconds_waited(self) -> float:
        """Return for how long the command that has been read now may have been here."""
        return self.backlog.seconds(self.clients.driver.loop.time())

    def _extend_timeouts(self, seconds: float) -> None:
        """Leave the time in which the client was not read from out of the times that it takes."""
        now = self.clients.driver.loop.time()
        if self.waiting_since:
            self.waiting_since = min(now, self.waiting_since + seconds)
        if self.upload and self.upload.has_memory:
            self.upload.began = min(now, self.upload.began + seconds)

    def write(self, data: bytes) -> None:
        """Write data, unless the connection is closed for writing."""
        if not self.is_write_closed():
            self.output.write(data)

    def is_write_closed(self) -> bool:
        """Return whether nothing can be written any more."""
        return self.stage is Stage.HALF_CLOSED or self.transport.is_closing()

    def _accepts_commands(self) -> bool:
        """Return whether received commands are executed; those of a client that has disconnected are not."""
        return self.stage is Stage.OPEN and not self.transport.is_closing()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, whose size bounds what one read takes."""
        return self.clients.receive_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes out of the shared buffer."""
        self.data_received(bytes(self.clients.shared_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Hold input until its commands are executed: at once or, after much other input, in its turn."""
        if self.stage is not Stage.OPEN:
            self.clients.driver.stats["client_read_away"] += len(data)
            return
        self.clients.driver.stats["client_bytes_in"] += len(data)
        self.backlog.received(len(data))
        self.reader.feed(data)
        self._count_held_bytes()
        self.clients.scheduler.submit(self)
        if self.input_queued:
            self._pause_reading()

    def _count_held_bytes(self) -> None:
        held_before, self.held_bytes = self.held_bytes, self.reader.held_bytes
        self.clients.input_memory.change(held_before, self.held_bytes)

    def _discard_input(self) -> None:
        """Drop received bytes, as no more commands are read."""
        self.reader.discard()
        self._count_held_bytes()

    def has_unprocessed_input(self) -> bool:
        """Return whether received commands are left that are to be executed, now or later."""
        return self.reader.is_behind and self._accepts_commands()

    def has_input(self) -> bool:
        """Return whether received commands are left that may be executed now."""
        return self.has_unprocessed_input() and not self._must_pause_reading()

    def input_processed(self) -> None:
        """Read on, unless the connection is to end or the client has to wait for something."""
        if not self.reader.is_behind:
            self.backlog.processed()
        if self.ends_after_input and not self.has_unprocessed_input():
            self.end_unfinished_command()
        if self._must_pause_reading():
            self._pause_reading()
        else:
            self._resume_reading()

    def process_input(self, units: int) -> int:
        """Execute complete commands, up to the limit on pipelining; return the units of work done."""
        if not self._accepts_commands():
            return 0
        headers_before, executed, has_advanced = self.reader.headers_checked, 0, False
        try:
            while self._accepts_commands() and not self._must_pause_reading():
                used = self.reader.headers_checked - headers_before + COMMAND_UNITS * executed
                if used >= units:
                    break
                command = self.reader.gets(units - used)
                if self.upload:
                    if not self.clients.commands.receive_upload(self):
                        break
                    executed, has_advanced = executed + 1, True
                elif command is not False:
                    executed, has_advanced = executed + 1, True
                    self.clients.commands.execute(self, command)
                elif not self.reader.is_behind:
                    break
            self._check_unfinished(has_advanced)
        except hiredis.ProtocolError as error:  # framing is lost: the next command cannot be found
            self.clients.driver.stats["client_protocol_error"] += 1
            self._end_with_error(" ".join(str(error).split()))
        self._count_held_bytes()
        if self.clients.drain.closing_idle or self.ends_when_idle:
            self.close_if_idle()
        return self.reader.headers_checked - headers_before + COMMAND_UNITS * executed

    def _check_unfinished(self, has_advanced: bool) -> None:
        """Bound the bytes that are held for an unfinished command, and set the time that it began."""
        if self._must_pause_reading():
            return
        self._count_held_bytes()
        if self.held_bytes > COMMAND_BYTES_MAX:
            raise hiredis.ProtocolError("command too long")
        if self.reader.unparsed_bytes and not self.clients.make_input_room(self):
            raise hiredis.ProtocolError(UNFINISHED_ERROR)
        if self.reader.at_boundary:
            self.waiting_since = 0.0
        elif has_advanced or self.upload or not self.waiting_since:
            self.waiting_since = self.clients.driver.loop.time()

    def input_occupancy(self, now: float) -> float:
        """Return how much room an unfinished command takes and for how long, in bytes times seconds."""
        is_unfinished = self.stage is Stage.OPEN and self.reader.unparsed_bytes and self.waiting_since
        return self.held_bytes * (now - self.waiting_since) if is_unfinished else 0.0

    def give_up_input(self) -> None:
        """End a connection whose unfinished command takes room that others need."""
        self.clients.driver.stats["client_protocol_error"] += 1
        self._end_with_error(UNFINISHED_ERROR)

    def check_timeouts(self, cutoff: float) -> None:
        """Close a connection that has exceeded a timeout; ``cutoff`` is now less COMMAND_TIMEOUT.

        Also abort one whose client has closed, which the event loop does not notice while reading is paused.
        A command timeout must be exceeded in two successive sweeps: if the event loop was blocked, input that
        arrived meanwhile is read between the two.
        """
        self._check_unread()
        if self.slots and self.slots[0].stream:
            self.flush()  # a value that waits for memory may begin
        if self.stage is not Stage.HALF_CLOSED:
            self.check_gone()
            self._check_overdue(cutoff)

    def _check_unread(self) -> None:
        """Abort a connection whose client has received nothing of its responses for too long."""
        self._count_unsent_bytes()
        if self.output.has_stalled():
            self.clients.driver.stats["client_unread"] += 1
            self._note_close(CloseReason.STALLED)
            self.transport.abort()  # close() would wait until the client has read everything

    def check_gone(self) -> None:
        """Abort a connection whose client has closed while reading is paused."""
        if self.reading_paused and self.client_has_closed():
            self.clients.driver.stats["client_gone_unread"] += 1
            self.transport.abort()
        elif self.reading_paused:
            self._look_for_backlog()
            self.last_seen = self.clients.driver.loop.time()

    def _check_overdue(self, cutoff: float) -> None:
        """End a connection on which a command is late in two successive checks."""
        if self._is_upload_too_late():
            self._refuse_upload()
            return
        is_late = 0 < self.waiting_since < cutoff
        is_late |= self.upload is not None and self.upload.is_late(cutoff, COMMAND_TIMEOUT)
        is_overdue = is_late and not self.slots and not self._is_left_unread()
        was_overdue, self.was_overdue = self.was_overdue, is_overdue
        if not (was_overdue and is_overdue):
            return
        self.clients.driver.stats["client_overdue"] += 1
        self._note_close(CloseReason.OVERDUE)
        if self.reader.at_boundary:
            self.half_close()  # without an error line, which would pass for the reply to a request
        elif self._lacks_memory():
            self._refuse_upload()
        else:
            self._end_with_error("no whole command in time")

    def _is_upload_too_late(self) -> bool:
        """Return whether the client's time is over soon, while the gateway lacks memory for its request."""
        return self._lacks_memory() and self.upload.has_expired(self.seconds_waited() + 2 * SWEEP_INTERVAL)

    def _refuse_upload(self) -> None:
        """End a connection whose large body finds no memory; it was not executed, so it may be retried."""
        self._note_close(CloseReason.OVERDUE)
        self.clients.driver.stats["refused_no_room"] += 1
        self._end_with_reply(b"-BUSY\r\n")

    def _is_left_unread(self) -> bool:
        """Return whether this process does not read from the client, other than for lack of memory."""
        return self.reading_paused and not self._lacks_memory()

    def _end_with_error(self, reason: str) -> None:
        self._note_close(CloseReason.MALFORMED)
        self._end_with_reply(b"-ERR %b\r\n" % reason.encode(errors="replace"))

    def _end_with_reply(self, reply: bytes) -> None:
        """Stop reading commands, and half-close once this reply and those before it are written."""
        self._resume_reading()
        self.stage = Stage.ENDING
        self._free_upload()
        self._discard_input()
        self.reply(reply)

    def end_when_idle(self, reason: CloseReason) -> None:
        """Half-close once all commands that have arrived are answered."""
        self.ends_when_idle = True
        self._note_close(reason)

    def end_unfinished_command(self) -> None:
        """Close a connection without requests in flight, even within a command, which then does not run.

        Complete commands that wait for their turn, or for their client to read, are executed before, and so
        is what the socket holds now.
        """
        if self.has_unprocessed_input() and not self._lacks_memory():
            self.ends_after_input = True
            self.clients.scheduler.submit(self)
            return
        if self._has_unread_bytes() and not self._lacks_memory() and not self.ends_after_input:
            self.ends_after_input = True
            self._continue()
            return
        self.ends_after_input = False
        if self.stage is Stage.OPEN and not self.slots:
            self._note_close(CloseReason.DRAIN)
            if self.reader.at_boundary and not self.upload:
                self.half_close()
            else:
                self._end_with_reply(b"-BUSY\r\n")

    def end_blockers(self) -> None:
        """Answer the requests in flight that keep other answers, or unread commands, waiting behind them."""
        if self.is_write_closed():
            return
        slots = list(self.slots)
        last = max((index for index, slot in enumerate(slots) if slot.is_complete), default=0)
        if len(slots) >= PIPELINE_MAX and (self.has_unprocessed_input() or self._has_unread_bytes()):
            last = len(slots)
        for slot in slots[:last]:
            slot.give_up()

    def half_close(self) -> None:
        """Send FIN and discard input until the client closes as well (lingering close).

        Closing with unread input, or before input that is on its way, would reset the connection and destroy
        responses that the client has not received yet, in this process or in the kernel. A client whose
        request crosses the FIN gets no response, and can retry it elsewhere.
        """
        if self.is_write_closed():
            return
        self._resume_reading()
        self.stage = Stage.HALF_CLOSED
        self.clients.mark_half_closed(self)
        self._release_resources()
        self.output.end()
        self._linger()

    def _linger(self) -> None:
        self.linger_timer = self.clients.driver.loop.call_later(LINGER_TIMEOUT, self._abort_after_linger)

    def _abort_after_linger(self) -> None:
        if not self.transport.is_closing():
            if self.output.undelivered_bytes():  # a slow reader; check_timeouts ends stalled ones
                self._linger()
            else:
                self.transport.abort()

    def upload_memory_granted(self) -> None:
        """Continue an upload that has waited for memory."""
        now = self.clients.driver.loop.time()
        self.upload.has_memory, self.upload.began, self.paused_at = True, now, now
        self.waiting_since = now - COMMAND_TIMEOUT + UPLOAD_RESUME_TIMEOUT
        self._continue()

    def reply(self, reply: bytes, body_bytes: int = 0) -> None:
        """Answer a command of which ``body_bytes`` of upload memory are held."""
        slot = Slot(self)
        slot.count_request(0, body_bytes)
        self.slots.append(slot)
        slot.answer(reply)

    def flush(self) -> None:
        """Write all responses that are first in the pipeline and ready."""
        while self.slots and ((slot := self.slots[0]).begun or slot.may_begin()):
            if not slot.begun:
                slot.begin_writing()
                if self.output.stalled_since:
                    self._count_unsent_bytes()
            if slot.stream:
                self._pass_on(slot.stream)
                break
            self.slots.popleft()
        self._continue()  # resumes reading if it was paused, as the pipeline may have been full
        self.close_if_idle()

    def _pass_on(self, stream: StreamedReply) -> None:
        """Have a value pass to the client as it comes, and read no more commands meanwhile."""
        self._pause_reading()
        stream.set_client_reads(not self.output.stalled_since)

    def has_nothing_behind(self, slot: Slot) -> bool:
        """Return whether the slot is the last one, and no part of a further command has arrived."""
        is_last = self.slots[-1] is slot
        return is_last and not self.upload and self.reader.at_boundary and not self._has_unread_bytes()

    def is_idle(self) -> bool:
        """Return whether no request is in flight, buffered or unread, and the client reads its responses.

        With event loop lag, requests are often still unread; closing then would force the client to retry.
        """
        return self._is_between_requests() and not self.output.stalled_since

    def _is_between_requests(self) -> bool:
        is_parsed = self.reader.at_boundary
        return not self.slots and not self.upload and is_parsed and not self._has_unread_bytes()

    def _has_unread_bytes(self) -> bool:
        return unread_bytes(self.transport) > 0

    def client_has_closed(self) -> bool:
        """Return whether the client has closed; its FIN may wait behind input while reading is paused."""
        return not self.transport.is_closing() and has_ended(self.transport)

    def close_if_idle(self) -> None:
        """Half-close between two requests, if the connection is ending or the gateway is draining."""
        if self.slots or self.stage is Stage.HALF_CLOSED:
            return
        # The first command of a new connection is probably on its way.
        is_new = self.waiting_since > self.clients.driver.loop.time() - FIRST_COMMAND_GRACE
        ends_when_idle = self.ends_when_idle or self.clients.drain.closing_idle
        if self.stage is Stage.ENDING or (ends_when_idle and not is_new and self._is_between_requests()):
            self._note_close(CloseReason.DRAIN)
            self.half_close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the requests that the client of the closed connection was waiting for."""
        self.clients.open.pop(self, None)
        self.clients.half_closed.pop(self, None)
        self._count_unsent_bytes()
        if self.linger_timer:
            self.linger_timer.cancel()  # it would keep this object
        if request_log := self.clients.driver.request_log:
            address = self.transport.get_extra_info("peername")
            request_log.connection_closed("client", address, self.close_reason or CloseReason.PEER)
        self._release_resources()

    def _release_resources(self) -> None:
        """Cancel all requests of a connection that is closed for writing, and free their memory."""
        self._free_upload()
        self._discard_input()
        slots, self.slots = self.slots, deque()
        # While reading is paused, the client's close is noticed late: see ``last_seen``.
        seconds_unobserved = self.clients.driver.loop.time() - self.last_seen if self.reading_paused else 0.0
        for slot in slots:
            slot.release_memory()
            if slot.stream:
                slot.stream.abort()
            elif slot.call:
                self.clients.driver.client_gone(slot.call, seconds_unobserved)

    def _free_upload(self) -> None:
        upload, self.upload = self.upload, None
        queued_bytes = self.clients.upload_memory.waiting.pop(self, 0)
        self.clients.upload_memory.release(
            upload.large.length if upload and upload.terms and not queued_bytes else 0
        )
