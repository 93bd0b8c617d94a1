"""An HTTP/1.1 server on h11 that bounds the memory, connections and time each client can use."""

from __future__ import annotations

import asyncio
import functools
import json
import math
import time
from collections import Counter
from collections.abc import Callable
from email.utils import formatdate
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from . import logs
from .sockets import DeliveryWatch

log = logs.get_logger(__name__)

READ_BYTES = 16_384  # read from a client at once
EVENTS_PER_ITERATION = 64  # parsed for one client before the event loop runs: a chunk may have a single byte
HEAD_BYTES_MAX = 8_192  # of a request head; also of pipelined data received while a response is pending
BODY_BYTES_MAX = 4_096
REQUEST_TIMEOUT = 5.0  # seconds to receive a whole request, from the connection's start or its first byte
IDLE_TIMEOUT = 60.0  # seconds without a request
WRITE_TIMEOUT = 10.0  # seconds in which the client reads nothing of its response
LINGER_TIMEOUT = 1.0  # seconds that a client has to read the last response before the connection is aborted


class Invalid(ValueError):
    """Input from outside is invalid; the message says why, in one line."""


class HTTPError(Exception):
    """A response other than 200: status, one-line message, headers, and more fields for its JSON body."""

    def __init__(
        self, status: int, message: str, headers: dict[str, str] | None = None, **fields: Any
    ) -> None:
        super().__init__(message)
        self.status = status
        self.headers = headers or {}
        self.fields = fields

    def body(self) -> bytes:
        """Return the message and the fields as JSON on one line."""
        return json.dumps({"error": str(self)} | self.fields).encode()


class Request:
    """A complete request."""

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method, self.body = method, body
        try:
            parts = urlsplit(target)
            self.path = [unquote(segment, errors="strict") for segment in parts.path.split("/")[1:]]
            pairs = parse_qsl(parts.query, keep_blank_values=True, strict_parsing=bool(parts.query))
        except ValueError:
            raise Invalid("malformed request target") from None
        self.query = dict(pairs)
        if len(self.query) != len(pairs):
            raise Invalid("duplicate query parameter")

    def check_parameters(self, *allowed: str) -> None:
        """Raise Invalid if the query has a parameter that is not allowed."""
        if unknown := self.query.keys() - set(allowed):
            raise Invalid(
                f"unknown parameter: {', '.join(sorted(repr(name[:32]) for name in unknown))[:160]}"
            )


@functools.lru_cache(maxsize=64)
def response_head(
    status: int, length: int, close: bool, date: str, *headers: tuple[str, str]
) -> h11.Response:
    """Build the head of a response; cached, as many clients get the same response at once."""
    lines = [("Date", date), ("Content-Length", str(length)), *headers]
    if not any(name == "Content-Type" for name, _ in headers):
        lines.append(("Content-Type", "application/json"))
    if close:
        lines.append(("Connection", "close"))
    return h11.Response(status_code=status, headers=lines, reason=HTTPStatus(status).phrase)


class Connection(asyncio.BufferedProtocol):
    """A client's connection, which serves one request at a time.

    Each request is passed to ``Server.handle``, which calls ``respond`` at once or later.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES_MAX)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.request_head: h11.Request | None = None
        self.body = bytearray()
        self.response_pending = False  # the current request has no response yet
        self.is_head = False  # the current request is a HEAD request
        self.pipelined_bytes = 0  # received while a response was pending
        self.writing_paused = False  # the client reads too slowly
        self.delivery = DeliveryWatch()
        self.progressed_at = math.inf  # loop time of the last progress, once the connection lingers
        self.input_closed = False  # the client has closed its side
        self.finished = False  # the last response has been sent
        self.timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None
        self.on_disconnect: Callable[[], None] | None = None  # called if it disconnects before its response

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Enforce ``max_connections``: far above it abort the new connection.

        Slightly above it, requests are answered with an error, and the new client has only LINGER_TIMEOUT to
        send one.
        """
        self.transport = transport
        self.server.connections.add(self)
        excess = len(self.server.connections) - self.server.max_connections
        if excess > self.server.max_connections // 4 + 4:
            self.server.counts["cut_crowded"] += 1
            transport.abort()
            return
        self._set_timer(
            LINGER_TIMEOUT if excess > 0 else self.server.request_timeout, self._on_request_timeout
        )

    def _set_timer(self, delay: float, callback: Callable[[], None]) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, callback)

    def _on_request_timeout(self) -> None:
        """Answer an incomplete request with 408, or abort a connection that has sent nothing."""
        self.server.counts["closed_slow"] += 1
        if self.request_head or self.http.trailing_data[0]:
            self._reject_and_close(HTTPError(408, "timed out waiting for the complete request"))
        else:
            self.transport.abort()

    def _on_idle_timeout(self) -> None:
        self.server.counts["closed_idle"] += 1
        self.transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, whose size bounds what one read takes."""
        return self.server.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes out of the shared buffer."""
        self.data_received(bytes(self.server.receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received data; pipelined requests wait until the current one has its response."""
        if self.finished:
            return
        if self.response_pending or self.writing_paused:
            self.pipelined_bytes += len(data)
            if self.pipelined_bytes > HEAD_BYTES_MAX:
                self.server.counts["cut_unasked"] += 1
                self.transport.abort()
                return
        elif (
            self.request_head is None
            and not self.http.trailing_data[0]
            and len(self.server.connections) <= self.server.max_connections
        ):
            # the first bytes of a request
            self._set_timer(self.server.request_timeout, self._on_request_timeout)
        try:
            self.http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._reject_and_close(
                HTTPError(error.error_status_hint, f"malformed HTTP/1.1 request: {error}"[:200])
            )

    def _is_processing(self) -> bool:
        return not self.response_pending and not self.writing_paused and not self.transport.is_closing()

    def _process_events(self) -> None:
        """Parse what has been received, with the event loop running after every EVENTS_PER_ITERATION."""
        events = 0
        while self._is_processing():
            events += 1
            if events > EVENTS_PER_ITERATION:
                self.transport.pause_reading()
                self.loop.call_soon(self._continue_events)
                return
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                    self.transport.write(self.http.send(interim))
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self.request_head, self.is_head = event, event.method == b"HEAD"
                if len(self.server.connections) > self.server.max_connections:
                    self._reject_and_close(HTTPError(429, "too many connections"))
                elif len(event.target) + sum(len(n) + len(v) + 4 for n, v in event.headers) > HEAD_BYTES_MAX:
                    self._reject_and_close(HTTPError(431, f"request head exceeds {HEAD_BYTES_MAX} bytes"))
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > BODY_BYTES_MAX:
                    self._reject_and_close(HTTPError(413, f"request body exceeds {BODY_BYTES_MAX} bytes"))
            elif isinstance(event, h11.EndOfMessage):
                head, body = self.request_head, bytes(self.body)
                self.request_head = None
                self.body = bytearray()
                self.response_pending = True
                self.pipelined_bytes = 0
                self.timer.cancel()
                self._dispatch(head, body)

    def _continue_events(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()
            self._process_pipelined(is_new=False)

    def _dispatch(self, head: h11.Request, body: bytes) -> None:
        try:
            request = Request(head.method.decode(), head.target.decode(), body)
            self.server.handle(self, request)
        except Invalid as error:
            self.respond_error(HTTPError(400, str(error)))
        except HTTPError as error:
            self.respond_error(error)
        except Exception:
            log.exception("request_failed", target=head.target)
            self.respond_error(HTTPError(500, "internal error, see the server's log"))

    def _reject_and_close(self, error: HTTPError) -> None:
        """Send an error and close, as the input can't be parsed any further or the client is rejected."""
        self.response_pending, self.request_head = True, None
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.abort()
            return
        self.respond_error(error, close=True)

    def respond_error(self, error: HTTPError, close: bool = False) -> None:
        """Send an error response."""
        self.server.counts[f"answered_{error.status}"] += 1
        self._send(error.status, error.body(), error.headers, close)

    def respond(self, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a response with status 200."""
        self.server.counts["answered"] += 1
        self._send(200, body, headers or {})

    def _send(self, status: int, body: bytes, headers: dict[str, str], close: bool = False) -> None:
        self.on_disconnect = None
        if not self.response_pending or self.transport.is_closing():
            return
        close = close or self.input_closed or self.server.shutting_down
        response = response_head(status, len(body), close, self.server.date(), *headers.items())
        data = self.http.send(response)
        if body and not self.is_head:
            data += self.http.send(h11.Data(data=body))
        self.transport.write(data + self.http.send(h11.EndOfMessage()))
        self.server.bytes_out += len(data)
        self.delivery.written += len(data)
        if close or self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            self._close_gracefully()
            return
        self.http.start_next_cycle()
        self.response_pending = False
        self.pipelined_bytes = 0
        self._set_timer(self.server.idle_timeout, self._on_idle_timeout)
        if self.http.trailing_data[0] and not self.writing_paused:
            self.loop.call_soon(self._process_pipelined)

    def _process_pipelined(self, is_new: bool = True) -> None:
        """Process data that was received before: a new request, or the rest of one that was begun."""
        if not self._is_processing():
            return
        if is_new:
            self._set_timer(self.server.request_timeout, self._on_request_timeout)
        try:
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._reject_and_close(
                HTTPError(error.error_status_hint, f"malformed HTTP/1.1 request: {error}"[:200])
            )

    def _close_gracefully(self) -> None:
        """Accept no more requests and let the client close first.

        Closing with unread received bytes would reset the connection, and the client could lose the response.
        """
        self.finished = True
        if self.input_closed:
            self.transport.close()
        elif not self.transport.is_closing():
            self.delivery.is_ended = True
            self.progressed_at = self.loop.time()
            self.transport.write_eof()
            self._set_timer(LINGER_TIMEOUT, self._end_linger)

    def _end_linger(self) -> None:
        """Abort once the client has received everything, or has stopped receiving."""
        if not self.delivery.undelivered(self.transport):
            self.transport.abort()
            return
        if self.delivery.has_progressed(self.transport):
            self.progressed_at = self.loop.time()
        if self.loop.time() - self.progressed_at > self.server.write_timeout:
            self._abort_unread()
        else:
            self._set_timer(LINGER_TIMEOUT, self._end_linger)

    def pause_writing(self) -> None:
        """Defer the next requests of a client that reads too slowly, and limit how long it may pause."""
        self.writing_paused = True
        self.delivery.has_progressed(self.transport)
        self._set_write_timer()

    def resume_writing(self) -> None:
        """Continue with the deferred requests, as the client has read enough."""
        self.writing_paused = False
        if self.write_timer:
            self.write_timer.cancel()
        if self.http.trailing_data[0] and not self.response_pending:
            self._process_pipelined()

    def _set_write_timer(self) -> None:
        self.write_timer = self.loop.call_later(self.server.write_timeout, self._on_write_timeout)

    def _on_write_timeout(self) -> None:
        """Abort a client that has received nothing in that time; a slow one may go on."""
        if self.delivery.has_progressed(self.transport):
            self._set_write_timer()
        else:
            self._abort_unread()

    def _abort_unread(self) -> None:
        self.server.counts["cut_unread"] += 1
        self.transport.abort()

    def eof_received(self) -> bool:
        """Handle a half-close: a pending response is still sent, but a long poll is closed."""
        self.input_closed = True
        return (
            self.response_pending and self.on_disconnect is None and self.http.our_state is h11.SEND_RESPONSE
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Release the connection's resources."""
        self.server.connections.discard(self)
        for timer in (self.timer, self.write_timer):
            if timer:
                timer.cancel()
        if self.on_disconnect:
            callback, self.on_disconnect = self.on_disconnect, None
            callback()


class Server:
    """A listening address and its connections."""

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
        self.receive_buffer = memoryview(bytearray(READ_BYTES))  # for the connection that is being read
        self.counts: Counter[str] = Counter()
        self.bytes_out = 0
        self.shutting_down = False
        self.server: asyncio.Server | None = None
        self._cached_date = (0, "")

    async def listen(self, address: tuple[str, int]) -> None:
        """Listen on the address; raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), *address, backlog=1024)

    def date(self) -> str:
        """Return the current time as an HTTP date, formatted once a second."""
        second = int(time.time())
        if second != self._cached_date[0]:
            self._cached_date = (second, formatdate(second, usegmt=True))
        return self._cached_date[1]

    async def shut_down(self, timeout: float) -> None:
        """Stop accepting connections and wait up to ``timeout`` seconds for pending responses, then abort."""
        self.shutting_down = True
        if self.server:
            self.server.close()
        for connection in tuple(self.connections):
            if not connection.response_pending:
                connection.transport.close()
        deadline = time.monotonic() + timeout
        while self.connections and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        for connection in tuple(self.connections):
            connection.transport.abort()
