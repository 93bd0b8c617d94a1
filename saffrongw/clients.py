"""The listener: RESP commands in, answers out in the order of the commands of each connection."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import math
import os
import re
import select
import socket
import termios
from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto

import hiredis

from ops import logs
from orchidlane.interface import Effect

from .config import Config
from .driver import FAILED_REPLY, Body, Call, Driver, Source, Terms
from .resp import CRLF, LARGE_VALUE_BYTES_MAX, PLACEHOLDER, VALUE_BYTES_MAX, Large, Reader

log = logs.get(__name__)

# Sizes. What a client may make us hold is bounded for each connection and for all together.
COMMAND_BYTES_MAX = 2 * VALUE_BYTES_MAX  # of one unfinished command: a body and little else
COMMAND_BYTES_MAX_ALL = 64 * VALUE_BYTES_MAX  # of the unfinished commands of all clients
PIPELINE_MAX = 64  # requests in flight on one connection: no more is read from it meanwhile
COMMANDS_PER_TURN = 64  # carried out for one client before all others have their turn
# The accept queue. A client that finds no room there may take itself for connected and hear nothing for ever.
LISTEN_BACKLOG = 1024
SURPLUS_CONNECTIONS_MAX = 16  # beyond the limit that still get an answer: more are closed at once
REQUEST_ID_BYTES_MAX = 64
BODY_INDEX = 4  # of the body among the values of a command
RECEIVE_BUFFER_BYTES = 256 * 1024  # what may wait in a client's socket
CUSTOMER_BITS = 33
REQUEST_TIMEOUT_MAX = 3_600_000  # milliseconds
MS = 1_000  # microseconds

# Timeouts of a connection, in seconds.
COMMAND_TIMEOUT = 2.2  # for a first command, for the rest of one, or for more of a large body
FIRST_COMMAND_GRACE = 0.3  # that a new connection has for its first command while idle ones are closed
WRITE_STALL_TIMEOUT = 10.0  # that a client may leave its answers unread
LINGER_TIMEOUT = 1.0  # in which what a client still sends is read and dropped after our end (lingering close)
SWEEP_INTERVAL = 0.2  # between two sweeps over all connections for what is overdue

# Uploads: large bodies.
UPLOAD_MEMORY_SHARE = 1 / 5  # of the memory limit: what all that are kept may take
UPLOAD_RATE_MIN = 16 * 1024  # bytes a second after COMMAND_TIMEOUT
UPLOAD_ROOM_TIMEOUT = 1.6  # seconds that one waits for memory: in 3 s its client is owed an answer or an end
UPLOAD_RESUME_TIMEOUT = 0.6  # seconds for more of one that waited: who still sends has it at hand

# Draining on an operator's word, in seconds after it.
DRAIN_NOTICE_DELAY = 0.6  # the front has seen that we leave, and sends no new connections
DRAIN_REFUSE_DELAY = 1.8  # requests are refused from here on
DRAIN_CLOSE_DELAY = 3.3  # connections without a request in flight are closed

# Shutdown, in seconds after SIGTERM.
SHUTDOWN_REFUSE_DELAY = 0.65  # requests are refused: what comes from 0.7 s on has to be answered by SIGKILL
SHUTDOWN_COMMAND_TIMEOUT = 1.0  # that an unfinished command may hold up the end once nobody is accepted


class Stage(Enum):
    """How far the end of a client's connection is."""

    OPEN = auto()  # commands are read
    ENDING = auto()  # no more are: once all is answered comes the end
    HALF_CLOSED = auto()  # our end is sent; what still comes is read and dropped until the client ends, too


class Malformed(Exception):
    """A command that is answered ``-ERR`` and goes no further."""


def parse(command: list[object], config: Config) -> tuple[Terms, tuple[bytes, ...]]:
    """A request's terms, and its parts as hosts get them: the terms are cut round the value of ``d``."""
    if not 4 <= len(command) <= 5 or (command[0] == b"CALL.GET" and len(command) != 4):
        raise Malformed("wrong number of values")
    name, customer, number, text = command[:4]
    try:
        if not re.fullmatch(rb"[0-9A-Fa-f]{16}", customer) or (key := int(customer, 16)) >> CUSTOMER_BITS:
            raise Malformed("customer is not 16 hex digits below 2^33")
        pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
        terms = dict(pairs)
        if len(terms) != len(pairs):
            raise Malformed("a term stands twice")
        kind, plan = config.classes.get(terms[b"c"]), config.plans.get(terms[b"t"])
        if kind is None or plan is None:
            raise Malformed("unknown class or plan")
        wait, units = terms[b"d"], float(terms[b"units"])
        if not wait.isdigit() or not 0 < int(wait) <= REQUEST_TIMEOUT_MAX:
            raise Malformed("term d is out of range")
        spread, first = int(terms[b"spread"]), int(terms[b"first"])
    except KeyError as missing:
        raise Malformed(f"term {missing.args[0].decode()} is missing") from None
    except ValueError:
        raise Malformed("terms are malformed") from None
    effect, gateways = config.settings.classes[kind].effect, config.settings.gateways
    if (name == b"CALL.GET") != (effect is Effect.SAFE):
        raise Malformed("this class is served by the other command")
    if effect is Effect.KEYED and not terms.get(b"k"):
        raise Malformed("term k is missing")
    if not math.isfinite(units) or not 0 < units <= config.units_most:
        raise Malformed("term units is out of range")
    if not 1 <= spread <= gateways or not 0 <= first < gateways:
        raise Malformed("terms spread and first are out of range")
    if not 0 < len(number) <= REQUEST_ID_BYTES_MAX:
        raise Malformed("the request's id is empty or too long")
    at = (b"," + text).index(b",d=") + 2
    parts = (name, customer, number, text[:at], text[at + len(wait) :], *command[4:])
    repeat = terms.get(b"r") == b"1"
    return Terms(key, kind, plan, int(wait) * MS, units, spread, first, repeat), parts


class Slot:
    """The place of one command's answer on its connection."""

    __slots__ = ("begun", "call", "client", "reply", "room", "source")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.reply: bytes | None = None  # what can be written of the answer, and has not been
        self.call: Call | None = None
        self.room = 0  # bytes of its body that are kept
        self.source: Source | None = None  # where the rest of a large answer comes from
        self.begun = False  # its turn has come, and its first bytes are written

    def answer(self, reply: bytes) -> None:
        """The answer is known; it is written once those before it are."""
        self.reply = reply
        self.give_back()
        self.client.flush()

    def give_back(self) -> None:
        """Its body is not needed any more."""
        room, self.room = self.room, 0
        self.client.clients.room.give_back(room)

    # -- a large answer

    def begin(self, length: int, source: Source) -> None:
        """So many bytes will come; where its turn has not, they wait at the host."""
        self.source = source
        self.answer(b"$%d\r\n" % length)

    def piece(self, data: bytes) -> None:
        """Some of them."""
        if self.begun:
            self.client.write(data)
        else:
            self.reply += data
            self.source.pause()

    def end(self) -> None:
        """They were all."""
        self.piece(CRLF)
        self.source = None
        self.client.flush()

    def has_left(self) -> bool:
        """Whether the client has closed: its end may wait in the socket."""
        return self.client.transport.is_closing() or self.client.has_ended()

    def fail(self) -> None:
        """The rest will never come: the client must not take what there is for an answer."""
        self.source = None
        if self.client.stage is Stage.HALF_CLOSED or self.client.transport.is_closing():
            return
        self.client.clients.driver.stats["stream_broken"] += 1
        if self.begun:
            self.client.half_close()
        else:  # nothing of it was written: those that are answered before it keep their connection
            self.answer(FAILED_REPLY)


@dataclass(slots=True)
class Upload:
    """A command whose large body is still coming; without terms it is malformed, and read away."""

    large: Large
    began: float
    terms: Terms | None = None
    parts: tuple[bytes, ...] = ()
    pieces: list[bytes] = field(default_factory=list)
    has_room: bool = True


class Room:
    """The memory for large bodies of all clients: who finds none is not read from until there is some."""

    def __init__(self, most: int) -> None:
        self.free = max(most, LARGE_VALUE_BYTES_MAX)
        self.waiting: dict[Client, int] = {}  # in the order of their coming

    def take(self, client: Client, size: int) -> bool:
        """Whether there is room now; else the client is told when there is."""
        if self.waiting or self.free < size:
            self.waiting[client] = size
            return False
        self.free -= size
        return True

    def give_back(self, size: int) -> None:
        """So much is free again: it goes to who waits longest."""
        self.free += size
        while self.waiting and (client := next(iter(self.waiting))) and self.waiting[client] <= self.free:
            self.free -= self.waiting.pop(client)
            client.got_room()


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = Reader(COMMAND_BYTES_MAX, large_at=BODY_INDEX, large_last=True)
        self.upload: Upload | None = None
        self.slots: deque[Slot] = deque()
        self.unfinished = 0  # bytes since the last whole command
        self.stage = Stage.OPEN
        self.surplus = False  # there is no room for it
        # Since when it waits for a first command, or for the rest of one; 0: for none.
        self.waits_since = clients.driver.loop.time()
        self.overdue = False
        self.unread_since = 0.0  # since when the client takes nothing of its answers; 0: it does
        self.unread = 0  # bytes that it had not taken then
        self.held = False  # no more is read for now
        self.seen = self.waits_since  # when it was there still, where nothing is read
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """A client has connected."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        over = self.clients.opened(self)
        self.surplus = over > 0
        if over > SURPLUS_CONNECTIONS_MAX:  # guards the descriptors that hosts and discovery need
            transport.abort()

    def pause_writing(self) -> None:
        """Guards memory: a client that reads no answers is not read from either, unless that is read away."""
        self.unread_since = self.clients.driver.loop.time()
        self.unread = self.transport.get_write_buffer_size()
        if self.slots and self.slots[0].source:
            self.slots[0].source.pause()
        self._hold()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.unread_since = 0.0
        if self.slots and self.slots[0].source:
            self.slots[0].source.resume()
        self._go_on()

    def _full(self) -> bool:
        no_room = self.upload is not None and not self.upload.has_room
        return self.unread_since > 0 or len(self.slots) >= PIPELINE_MAX or no_room

    def _hold(self) -> None:
        if not self.held and self.stage is Stage.OPEN:
            self.held, self.seen = True, self.clients.driver.loop.time()
            self.transport.pause_reading()

    def _go_on(self) -> None:
        if self.held and not self._full():
            self._release()
            self._read()

    def _release(self) -> None:
        """Read on."""
        if self.held and not self.transport.is_closing():
            self.held = False
            self.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send something, where there is still a way."""
        if self.stage is not Stage.HALF_CLOSED and not self.transport.is_closing():
            self.transport.write(data)

    def _takes_commands(self) -> bool:
        """Whether what has come is carried out: for who is gone nothing is, however much of it waits here."""
        return self.stage is Stage.OPEN and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Commands, or parts of them."""
        if self.stage is not Stage.OPEN:
            self.clients.driver.stats["client_read_away"] += len(data)
            return
        passed = self.reader.passed
        self.clients.driver.stats["client_bytes_in"] += len(data)
        self.reader.feed(data)
        self.unfinished += len(data) - (self.reader.passed - passed)
        self._read()

    def _read(self) -> None:
        """Carry out what has come whole, as long as there is room for its answers."""
        whole, turn = False, 0
        if not self._takes_commands():
            return None
        try:
            while self._takes_commands():
                if self._full():
                    return self._hold()
                if turn >= COMMANDS_PER_TURN:
                    self._hold()
                    self.clients.driver.loop.call_soon(self._go_on)
                    return None
                if self.upload:
                    if not self._uploaded():
                        break
                    whole = True
                    continue
                if (command := self.reader.gets()) is False:
                    break
                self.unfinished, whole, turn = 0, True, turn + 1
                if self.reader.large and isinstance(command, list) and command[-1:] == [PLACEHOLDER]:
                    self._begin_upload(command, self.reader.large.popleft())
                else:
                    self._command(command)
            if self.unfinished > COMMAND_BYTES_MAX:
                raise hiredis.ProtocolError("command too long")
            if self.unfinished and self.clients.unfinished() > COMMAND_BYTES_MAX_ALL:
                raise hiredis.ProtocolError("too much is unfinished")
            if self.reader.between:
                self.waits_since = 0.0
            elif whole or self.upload or not self.waits_since:
                self.waits_since = self.clients.driver.loop.time()
        except hiredis.ProtocolError as wrong:  # where the next command starts is lost
            self.clients.driver.stats["client_protocol_error"] += 1
            self._end(" ".join(str(wrong).split()))
        if self.clients.draining:
            self.close_if_idle()
        return None

    def look(self, before: float) -> None:
        """Closes a connection on which nothing proper has come for too long. What came while we stood still
        is read between two looks, so it takes two of them."""
        if self.unread_since and (unread := self.transport.get_write_buffer_size()) < self.unread:
            self.unread, self.unread_since = unread, before + COMMAND_TIMEOUT  # slow, but it reads
        if 0 < self.unread_since < before - (WRITE_STALL_TIMEOUT - COMMAND_TIMEOUT):
            self.clients.driver.stats["client_unread"] += 1
            self.transport.abort()  # a close would wait for the client
        if self.stage is Stage.HALF_CLOSED:
            return
        if self.held and self.has_ended():
            self.clients.driver.stats["client_gone_unread"] += 1
            self.transport.abort()
        elif self.held:
            self.seen = self.clients.driver.loop.time()
        late = 0 < self.waits_since < before or (self.upload is not None and self._dawdles(before))
        due, self.overdue = self.overdue, late and not self.slots
        if due and self.overdue:
            self.clients.driver.stats["client_overdue"] += 1
            if self.reader.between:
                self.half_close()  # no word, which would be taken for the answer to a request on its way
            elif self.upload and not self.upload.has_room:
                self.clients.driver.stats["refused_no_room"] += 1
                self._last(b"-BUSY\r\n")  # it has not run
            else:
                self._end("no whole command in time")

    def _end(self, why: str) -> None:
        """An error line, and the end once those before it are written."""
        self._last(b"-ERR %b\r\n" % why.encode(errors="replace"))

    def _last(self, reply: bytes) -> None:
        """A last word; commands are not read any more."""
        self._release()
        self.stage = Stage.ENDING
        self._free_upload()
        self._reply(reply)

    def end_within(self) -> None:
        """It takes too long over a command: that has not run."""
        if self.stage is Stage.OPEN and not self.slots:
            if self.reader.between and not self.upload:
                self.half_close()
            else:
                self._last(b"-BUSY\r\n")

    def half_close(self) -> None:
        """Stop sending, and read away what still comes until the client ends as well: a close over unread
        bytes would reset the connection, and take along what the client has not read yet. Whose request
        crosses our end sees that nothing of it was taken up, and asks again elsewhere."""
        if self.stage is Stage.HALF_CLOSED or self.transport.is_closing():
            return
        self._release()
        self.stage = Stage.HALF_CLOSED
        self.clients.shut_off(self)
        self._let_go()
        self.transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        self.clients.driver.loop.call_later(LINGER_TIMEOUT, self._cut)

    def _cut(self) -> None:
        if not self.transport.is_closing():
            if self.transport.get_write_buffer_size():  # it reads slowly; ``look`` ends who doesn't read
                self._linger()
            else:
                self.transport.abort()

    def _begin_upload(self, command: list[object], large: Large) -> None:
        """A command has come but for its large body: read on if it makes sense and there is room."""
        upload = self.upload = Upload(large, self.clients.driver.loop.time())
        try:
            if not all(isinstance(value, bytes) for value in command) or command[0] != b"CALL.POST":
                raise Malformed("unknown command")
            upload.terms, parts = parse(command, self.clients.config)
        except Malformed as wrong:
            self.clients.driver.stats["client_malformed"] += 1
            return self._reply(b"-ERR %b\r\n" % str(wrong).encode())
        upload.parts = parts[:-1]
        if not self.clients.room.take(self, large.length):
            self.clients.driver.stats["upload_waited"] += 1
            upload.has_room = False
            self.waits_since = 0.0  # it is we who keep it waiting
        return None

    def got_room(self) -> None:
        """There is room for the large body now."""
        now = self.clients.driver.loop.time()
        self.upload.has_room, self.upload.began = True, now
        self.waits_since = now - COMMAND_TIMEOUT + UPLOAD_RESUME_TIMEOUT
        self._go_on()

    def _uploaded(self) -> bool:
        """Whether the large body has come whole; then its request has arrived."""
        upload = self.upload
        pieces = upload.large.take()
        if upload.terms:
            upload.pieces += pieces
        if self.reader.passing is upload.large:
            return False
        self.upload = None
        if upload.terms:
            self._arrived(upload.terms, (*upload.parts, tuple(upload.pieces)), upload.large.length)
        return True

    def _dawdles(self, before: float) -> bool:
        """Whether its large body comes too slowly, or found no room for too long."""
        upload = self.upload
        if not upload.has_room:
            return upload.began < before + COMMAND_TIMEOUT - UPLOAD_ROOM_TIMEOUT
        return upload.large.length - upload.large.left < UPLOAD_RATE_MIN * (before - upload.began)

    def _command(self, command: object) -> None:
        if not isinstance(command, list) or not command or not all(isinstance(v, bytes) for v in command):
            return self._reply(b"-ERR a command is an array of bulk strings\r\n")
        if max(map(len, command)) > VALUE_BYTES_MAX:
            return self._reply(b"-ERR a value is too long\r\n")
        if command[0] in (b"CALL.GET", b"CALL.POST"):
            return self._call(command)
        if command[0].upper() == b"PING" and len(command) == 1:
            why_not = self.clients.driver.readiness.why_not_here
            return self._reply(b"-ERR %b\r\n" % why_not.encode() if why_not else b"+PONG\r\n")
        return self._reply(b"-ERR unknown command\r\n")

    def _call(self, command: list[bytes]) -> None:
        try:
            terms, parts = parse(command, self.clients.config)
        except Malformed as wrong:
            self.clients.driver.stats["client_malformed"] += 1
            return self._reply(b"-ERR %b\r\n" % str(wrong).encode())
        return self._arrived(terms, parts)

    def _arrived(self, terms: Terms, parts: tuple[bytes | Body, ...], room: int = 0) -> None:
        """A request has come whole; its body takes so much of the room for large ones."""
        if self.surplus and len(self.clients.open) > self.clients.most:  # guards descriptors: it has not run
            self.stage = Stage.ENDING
            self.clients.driver.stats["refused_crowded"] += 1
            return self._reply(b"-BUSY 1000\r\n", room)
        if self.clients.finishing:
            self.clients.driver.stats["refused_leaving"] += 1
            return self._reply(b"-BUSY\r\n", room)
        self.clients.used(self)
        slot = Slot(self)
        slot.room = room
        self.slots.append(slot)
        slot.call = self.clients.driver.arrived(terms, parts, slot.answer, slot)
        return None

    def _reply(self, reply: bytes, room: int = 0) -> None:
        slot = Slot(self)
        slot.room = room
        self.slots.append(slot)
        slot.answer(reply)

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        while self.slots and (slot := self.slots[0]).reply is not None:
            if not slot.begun:
                slot.begun = True
                self.write(slot.reply)
                if slot.source and not self.unread_since:
                    slot.source.resume()
            if slot.source:
                break
            self.slots.popleft()
        self._go_on()
        self.close_if_idle()

    def is_idle(self) -> bool:
        """Nothing of a request is here, nor waits in the socket: where the loop is behind it often does, and
        who sent it would have to send it again."""
        return self._is_between() and not self.unread_since

    def _is_between(self) -> bool:
        parsed = self.reader.between and not self.reader.has_data()
        return not self.slots and not self.upload and parsed and not self._has_more()

    def _has_more(self) -> bool:
        """Whether bytes wait that were not read yet."""
        try:
            number = self.transport.get_extra_info("socket").fileno()
            return any(fcntl.ioctl(number, termios.FIONREAD, bytes(4)))
        except (OSError, ValueError):
            return False  # it can't be asked, or is closing

    def has_ended(self) -> bool:
        """Whether a client has closed, though nothing is read from it: its end waits behind what it sent."""
        if self.transport.is_closing():
            return False
        look = select.poll()
        look.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(look.poll(0))

    def close_if_idle(self) -> None:
        """Close between two requests, if it shall be closed."""
        if self.slots or self.stage is Stage.HALF_CLOSED:
            return
        new = (
            self.waits_since > self.clients.driver.loop.time() - FIRST_COMMAND_GRACE
        )  # its command is on its way
        if self.stage is Stage.ENDING or (self.clients.draining and not new and self._is_between()):
            self.half_close()

    def connection_lost(self, error: Exception | None) -> None:
        """The client has gone away, and with it all that it waited for."""
        self.clients.open.pop(self, None)
        self.clients.shut.pop(self, None)
        self._let_go()

    def _let_go(self) -> None:
        """Nothing more can be answered here: give up all that is held for it."""
        self._free_upload()
        slots, self.slots = self.slots, deque()
        unseen = self.clients.driver.loop.time() - self.seen if self.held else 0.0
        for slot in slots:
            slot.give_back()
            source, slot.source = slot.source, None
            if source:
                source.abort()
            elif slot.call:
                self.clients.driver.client_gone(slot.call, unseen)

    def _free_upload(self) -> None:
        upload, self.upload = self.upload, None
        waited = self.clients.room.waiting.pop(self, 0)
        self.clients.room.give_back(upload.large.length if upload and upload.terms and not waited else 0)


class Clients:
    """All client connections."""

    def __init__(self, driver: Driver, config: Config, most: int) -> None:
        self.driver, self.config, self.most = driver, config, most
        self.open: dict[Client, None] = {}  # the one whose last request is longest ago comes first
        self.shut: dict[Client, None] = {}  # half-closed, the one longest so first
        self.room = Room(int(UPLOAD_MEMORY_SHARE * config.memory))
        self.draining = False  # connections are closed between requests
        self.finishing = False  # and no request is taken any more
        self.leaving: list[asyncio.TimerHandle] = []  # the steps of a drain still to come
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
        self._look()

    def _look(self) -> None:
        """Who connects and sends nothing, or part of a command, is owed a close: its place is wanted."""
        before = self.driver.loop.time() - COMMAND_TIMEOUT
        for client in [*self.open, *self.shut]:
            client.look(before)
            client.close_if_idle()
        self.driver.loop.call_later(SWEEP_INTERVAL, self._look)

    def leave(self) -> None:
        """Say no from now on, and once the front has seen that, close connections between requests."""
        if self.driver.readiness.left or self.driver.readiness.ending:
            return
        self.driver.readiness.left = True
        later = self.driver.loop.call_later
        self.leaving = [
            later(DRAIN_NOTICE_DELAY, self._close_between),
            later(DRAIN_REFUSE_DELAY, self._take_no_more),
            later(DRAIN_CLOSE_DELAY, self._close_without_request),
        ]

    def join(self) -> str:
        """Back to work, at whatever step the drain was; what is said to the operator."""
        if self.driver.readiness.ending:
            return "error ending"
        for step in self.leaving:
            step.cancel()
        self.driver.readiness.left = self.draining = self.finishing = False
        return "done joined"

    @property
    def is_over(self) -> bool:
        """Whether every request has its answer and every connection is closed at both ends: what a transport
        has still to send would end with the process."""
        return not (self.driver.calls or self.open or self.shut or self.accepting)

    def hand_on(self) -> None:
        """The next process accepts: close connections between requests."""
        self.join()
        self.server.close()
        self._close_between()

    def _close_between(self) -> None:
        self.draining = True
        for client in list(self.open):
            client.close_if_idle()

    def _take_no_more(self) -> None:
        """Whoever was within a command all the time: its request would hold the connection too long."""
        self.finishing = True

    def _close_without_request(self) -> None:
        """Whoever is within a command still, a large body for one."""
        for client in list(self.open):
            client.end_within()

    def opened(self, client: Client) -> int:
        """One more, if need be in the place of the one idle longest; how many there are beyond the limit."""
        self.driver.stats["client_accepted"] += 1
        if len(self.open) >= self.most:
            idle = next((client for client in self.open if client.is_idle()), None)
            if idle:
                self.driver.stats["client_evicted"] += 1
                idle.half_close()
        self.open[client] = None
        if (
            self.shut and len(self.open) + len(self.shut) > self.most + SURPLUS_CONNECTIONS_MAX
        ):  # guards descriptors
            next(iter(self.shut)).transport.abort()
        return len(self.open) - self.most

    def shut_off(self, client: Client) -> None:
        """It is half-closed: it makes room, but its descriptor is held for a while."""
        self.open.pop(client, None)
        self.shut[client] = None

    def used(self, client: Client) -> None:
        """It has sent a request: the last to make room."""
        self.open.pop(client, None)
        self.open[client] = None

    def unfinished(self) -> int:
        """Bytes of commands that have not come whole."""
        return sum(client.unfinished for client in self.open)

    def gauges(self) -> dict[str, int]:
        """Connections by what they are doing."""
        return {
            "client_conns": len(self.open),
            "client_conns_most": self.most,
            "client_idle": sum(not c.slots and c.reader.between for c in self.open),
            "client_slots": sum(len(c.slots) for c in self.open),
            "client_half_closed": len(self.shut),
            "client_unfinished": sum(not c.reader.between for c in self.open),
            "client_unfinished_bytes": self.unfinished(),
            "client_uploads": sum(c.upload is not None for c in self.open),
            "upload_room_kb": self.room.free // 1024,
        }

    async def drain(self, accept_for: float) -> None:
        """Close connections as they fall idle, go on accepting for a while, then finish what is held. Each
        wait has an end: requests by their deadlines, commands by SHUTDOWN_COMMAND_TIMEOUT, half-closed
        connections by LINGER_TIMEOUT, and who reads too slowly for all that is cut off."""
        self.join()
        self.driver.readiness.ending = not self.driver.readiness.handed_on
        self._close_between()
        loop = self.driver.loop
        start = loop.time()
        await asyncio.sleep(accept_for)
        self._stop_accepting()
        await asyncio.sleep(max(0.0, start + SHUTDOWN_REFUSE_DELAY - loop.time()))
        self.finishing = True
        unfinished_until = start + accept_for + SHUTDOWN_COMMAND_TIMEOUT
        left = max((call.deadline for call in self.driver.calls.values()), default=0) - self.driver.clock()
        ends = loop.time() + max(0.0, left / 1e6) + WRITE_STALL_TIMEOUT
        while not self.is_over and loop.time() < ends:
            for client in list(self.open):
                client.close_if_idle()
                if loop.time() >= unfinished_until:
                    client.end_within()
            await asyncio.sleep(0.01)
        if not self.is_over:
            log.warning(
                "drain_cut", calls=len(self.driver.calls), connections=len(self.open) + len(self.shut)
            )

    def _stop_accepting(self) -> None:
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
