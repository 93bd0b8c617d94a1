"""HTTP/1.1 over h11, with bounds on everything that a caller may take up."""

from __future__ import annotations

import asyncio
import functools
import json
import time
from collections import Counter
from collections.abc import Callable
from email.utils import formatdate
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from . import logs

log = logs.get_logger(__name__)

HEAD_BYTES_MAX = 8_192  # bytes of a request's head, and of what may come behind it before it is answered
BODY_BYTES_MAX = 4_096
REQUEST_TIMEOUT = 5.0  # seconds from a connection's first moment, or a request's first byte, to its last
IDLE_TIMEOUT = 60.0  # seconds without a request
WRITE_TIMEOUT = 10.0  # seconds in which a caller reads nothing of its answer
LINGER_TIMEOUT = 1.0  # seconds that a caller who was turned away has to read why


class Invalid(ValueError):
    """Something from outside that makes no sense; the text says what, in one line."""


class HTTPError(Exception):
    """An answer other than 200: its status, one line of reason, and what else the caller may need."""

    def __init__(self, status: int, reason: str, headers: dict[str, str] | None = None, **more: Any) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = headers or {}
        self.more = more

    def body(self) -> bytes:
        """The reason as JSON, on one line."""
        return json.dumps({"error": str(self)} | self.more).encode()


class Request:
    """One request that has come whole."""

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method, self.body = method, body
        try:
            parts = urlsplit(target)
            self.path = [unquote(word, errors="strict") for word in parts.path.split("/")[1:]]
            pairs = parse_qsl(parts.query, keep_blank_values=True, strict_parsing=bool(parts.query))
        except ValueError:
            raise Invalid("the target makes no sense") from None
        self.query = dict(pairs)
        if len(self.query) != len(pairs):
            raise Invalid("a parameter is named twice")

    def check_parameters(self, *may: str) -> None:
        """Raise Invalid where the query names anything else."""
        if unknown := self.query.keys() - set(may):
            raise Invalid(
                f"unknown parameter: {', '.join(sorted(repr(word[:32]) for word in unknown))[:160]}"
            )


@functools.lru_cache(maxsize=64)
def head(status: int, length: int, last: bool, date: str, *more: tuple[str, str]) -> h11.Response:
    """The head of an answer: made and checked once for all who are told the same."""
    lines = [("Date", date), ("Content-Length", str(length)), *more]
    if not any(name == "Content-Type" for name, _ in more):
        lines.append(("Content-Type", "application/json"))
    if last:
        lines.append(("Connection", "close"))
    return h11.Response(status_code=status, headers=lines, reason=HTTPStatus(status).phrase)


class Connection(asyncio.Protocol):
    """One connection. A request is handed to ``Server.handle``, which calls ``respond`` now or later."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES_MAX)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.head: h11.Request | None = None
        self.content = bytearray()
        self.open = False  # a request is owed its answer
        self.bodiless = False  # an answer to HEAD
        self.behind = 0  # bytes that came while one was
        self.paused = False  # the caller has yet to read what it was told
        self.input_closed = False  # the caller has sent its last byte
        self.over = False  # the last answer is out
        self.timer: asyncio.TimerHandle | None = None
        self.unread: asyncio.TimerHandle | None = None
        self.on_disconnect: Callable[[], None] | None = None  # called where the caller goes before its answer

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Connected: a caller beyond the bound hears why, one far beyond it nothing."""
        self.transport = transport
        self.server.connections.add(self)
        over = len(self.server.connections) - self.server.max_connections
        if over > self.server.max_connections // 4 + 4:
            self.server.counts["cut_crowded"] += 1
            transport.abort()
            return
        self._time(LINGER_TIMEOUT if over > 0 else self.server.request_timeout, self._slow)

    def _time(self, span: float, then: Callable[[], None]) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(span, then)

    def _slow(self) -> None:
        """No whole request in time."""
        self.server.counts["closed_slow"] += 1
        if self.head or self.http.trailing_data[0]:
            self._wrong(HTTPError(408, "the request did not come whole in time"))
        else:
            self.transport.abort()

    def _idle(self) -> None:
        self.server.counts["closed_idle"] += 1
        self.transport.close()

    def data_received(self, data: bytes) -> None:
        """A request, or a part of it."""
        if self.over:
            return
        if self.open or self.paused:
            self.behind += len(data)
            if self.behind > HEAD_BYTES_MAX:
                self.server.counts["cut_unasked"] += 1
                self.transport.abort()
                return
        elif (
            self.head is None
            and not self.http.trailing_data[0]
            and len(self.server.connections) <= self.server.max_connections
        ):
            self._time(self.server.request_timeout, self._slow)  # the first bytes of a request
        try:
            self.http.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as wrong:
            self._wrong(HTTPError(wrong.error_status_hint, f"no HTTP/1.1 request: {wrong}"[:200]))

    def _read(self) -> None:
        while not self.open and not self.paused and not self.transport.is_closing():
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    more = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                    self.transport.write(self.http.send(more))
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self.head, self.bodiless = event, event.method == b"HEAD"
                if len(self.server.connections) > self.server.max_connections:
                    self._wrong(HTTPError(429, "too many connections"))
                elif len(event.target) + sum(len(n) + len(v) + 4 for n, v in event.headers) > HEAD_BYTES_MAX:
                    self._wrong(HTTPError(431, f"a head may have {HEAD_BYTES_MAX} bytes"))
            elif isinstance(event, h11.Data):
                self.content += event.data
                if len(self.content) > BODY_BYTES_MAX:
                    self._wrong(HTTPError(413, f"a body may have {BODY_BYTES_MAX} bytes"))
            elif isinstance(event, h11.EndOfMessage):
                head, body = self.head, bytes(self.content)
                self.head = None
                self.content = bytearray()
                self.open = True
                self.behind = 0
                self.timer.cancel()
                self._handle(head, body)

    def _handle(self, head: h11.Request, body: bytes) -> None:
        try:
            request = Request(head.method.decode(), head.target.decode(), body)
            self.server.handle(self, request)
        except Invalid as wrong:
            self.respond_error(HTTPError(400, str(wrong)))
        except HTTPError as refused:
            self.respond_error(refused)
        except Exception:
            log.exception("request_failed", target=head.target)
            self.respond_error(HTTPError(500, "it could not be handled, see the log"))

    def _wrong(self, refused: HTTPError) -> None:
        """Framing is lost or the caller is turned away: the reason, then the end."""
        self.open, self.head = True, None
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.abort()
            return
        self.respond_error(refused, last=True)

    def respond_error(self, refused: HTTPError, last: bool = False) -> None:
        """An answer that says no."""
        self.server.counts[f"answered_{refused.status}"] += 1
        self._send(refused.status, refused.body(), refused.headers, last)

    def respond(self, body: bytes, headers: dict[str, str] | None = None) -> None:
        """The answer that was asked for."""
        self.server.counts["answered"] += 1
        self._send(200, body, headers or {})

    def _send(self, status: int, body: bytes, headers: dict[str, str], last: bool = False) -> None:
        self.on_disconnect = None
        if not self.open or self.transport.is_closing():
            return
        last = last or self.input_closed or self.server.shutting_down
        response = head(status, len(body), last, self.server.date(), *headers.items())
        data = self.http.send(response)
        if body and not self.bodiless:
            data += self.http.send(h11.Data(data=body))
        self.transport.write(data + self.http.send(h11.EndOfMessage()))
        self.server.bytes_out += len(data)
        if last or self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            self._end()
            return
        self.http.start_next_cycle()
        self.open = False
        self.behind = 0
        self._time(self.server.idle_timeout, self._idle)
        if self.http.trailing_data[0] and not self.paused:
            self.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        """What came behind the request before."""
        if self.open or self.paused or self.transport.is_closing():
            return
        self._time(self.server.request_timeout, self._slow)
        try:
            self._read()
        except h11.RemoteProtocolError as wrong:
            self._wrong(HTTPError(wrong.error_status_hint, f"no HTTP/1.1 request: {wrong}"[:200]))

    def _end(self) -> None:
        """No more requests. Bytes that nobody reads would reset the connection and take the answer along, so
        the caller has a moment to close first."""
        self.over = True
        if self.input_closed:
            self.transport.close()
        elif not self.transport.is_closing():
            self.transport.write_eof()
            self._time(LINGER_TIMEOUT, self.transport.abort)

    def pause_writing(self) -> None:
        """The caller reads too slowly: what it asks for next waits."""
        self.paused = True
        self.unread = self.loop.call_later(self.server.write_timeout, self._unread)

    def resume_writing(self) -> None:
        """It has read on."""
        self.paused = False
        if self.unread:
            self.unread.cancel()
        if self.http.trailing_data[0] and not self.open:
            self._go_on()

    def _unread(self) -> None:
        self.server.counts["cut_unread"] += 1
        self.transport.abort()

    def eof_received(self) -> bool:
        """The caller sends nothing more: a watch is of no use then, any other answer still is."""
        self.input_closed = True
        return self.open and self.on_disconnect is None and self.http.our_state is h11.SEND_RESPONSE

    def connection_lost(self, error: Exception | None) -> None:
        """Gone, and so is all that it held."""
        self.server.connections.discard(self)
        for timer in (self.timer, self.unread):
            if timer:
                timer.cancel()
        if self.on_disconnect:
            gone, self.on_disconnect = self.on_disconnect, None
            gone()


class Server:
    """One listening address."""

    def __init__(
        self,
        handle: Callable[[Connection, Request], None],
        max_connections: int,
        request_timeout: float = REQUEST_TIMEOUT,
        idle_timeout: float = IDLE_TIMEOUT,
        write_timeout: float = WRITE_TIMEOUT,
    ) -> None:
        self.handle = handle
        self.max_connections = max_connections
        self.request_timeout = request_timeout
        self.idle_timeout = idle_timeout
        self.write_timeout = write_timeout
        self.connections: set[Connection] = set()
        self.counts: Counter[str] = Counter()
        self.bytes_out = 0
        self.shutting_down = False
        self.server: asyncio.Server | None = None
        self._date = (0, "")

    async def listen(self, address: tuple[str, int]) -> None:
        """Open the address; raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), *address, backlog=1024)

    def date(self) -> str:
        """The time as HTTP tells it."""
        second = int(time.time())
        if second != self._date[0]:
            self._date = (second, formatdate(second, usegmt=True))
        return self._date[1]

    async def shut_down(self, timeout: float) -> None:
        """No new connections; those that are owed an answer get it, in this many seconds at most."""
        self.shutting_down = True
        if self.server:
            self.server.close()
        for connection in tuple(self.connections):
            if not connection.open:
                connection.transport.close()
        ends = time.monotonic() + timeout
        while self.connections and time.monotonic() < ends:
            await asyncio.sleep(0.02)
        for connection in tuple(self.connections):
            connection.transport.abort()
