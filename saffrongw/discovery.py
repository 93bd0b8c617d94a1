"""Watch on discovery: HTTP long polling over one keep-alive connection.

Each response is followed immediately by the next request.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from enum import Enum, auto

import h11

from ops import logs

from .config import Address, HostList, parse_hosts

log = logs.get_logger(__name__)

PATH = "/registry/instances"
RESPONSE_BYTES_MAX = 4 * 1024 * 1024  # bounds memory use if a response never ends
READ_BYTES = 64 * 1024  # read at once
READS_PER_ITERATION = RESPONSE_BYTES_MAX // READ_BYTES  # of a response that is read ahead of the event loop
# HTTP events parsed in one iteration of the event loop: a chunk of a body may have a single byte.
EVENTS_PER_ITERATION = 256
# Entries of a list, and commas in it: a few bytes of JSON may become an object of a hundred.
LIST_ENTRIES_MAX = 8_192
LIST_COMMAS_MAX = 16 * LIST_ENTRIES_MAX

# All times in seconds.
STALENESS_LIMIT = 6.0  # a change at discovery counts as delivered after this time, whether it arrived or not
# Between the starts of two attempts, whether or not the first one fails: it leaves time for the second to be
# answered within STALENESS_LIMIT.
ATTEMPT_INTERVAL_MAX = STALENESS_LIMIT - 2.0
CONNECT_TIMEOUT = 1.0
SYNCHRONIZING_WAIT = 0.001  # of the long poll that only asks whether the configured list is still current
LONG_POLL_WAIT = 2.0  # until it is over, a hung discovery agent can't be told from one without changes
RESPONSE_TIMEOUT = 1.0  # added to the long-poll wait; after it the watch reconnects
BACKOFF_MIN, BACKOFF_MAX = 0.05, 1.0  # before reconnecting, doubled with each failure
# Where an agent on this machine has lists pushed to it: what it has counts as delivered at once, so that no
# request may be out only for a part of the drain grace.
PUSHED_RETRY_INTERVAL_MAX = 0.05

# Discovery may be overloaded: requests then queue there, and with too many of them none is answered in time.
# Continuing a watch costs discovery nothing, a new watch costs one request and the changes since its version,
# and a whole list costs work for every entry.
REFUSED_INTERVAL_MIN = 0.5  # between two requests after a refused one, doubled with each further refusal
REFUSED_INTERVAL_DECAY = 0.7  # factor by which an answered request reduces that interval
FIRST_REQUEST_SPACING = 0.15  # average between the first requests of a fleet that starts together

# Raised by the parsers for a malformed response.
MALFORMED_RESPONSE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    h11.ProtocolError,
)


class Failure(Enum):
    """Failures of an attempt that are logged once until discovery answers again."""

    REFUSED = auto()
    CLOSED = auto()
    MALFORMED = auto()


def first_request_spread(gateways: int, on_request: bool) -> float:
    """Return the seconds over which a fleet spreads its first requests.

    ``on_request``: discovery sends lists only on request, so each first request costs it work.
    """
    return min(ATTEMPT_INTERVAL_MAX, FIRST_REQUEST_SPACING * (gateways - 1)) if on_request else 0.0


def retry_interval_max(on_request: bool) -> float:
    """Return the most seconds without a request after a failed one; ``on_request`` as above."""
    return ATTEMPT_INTERVAL_MAX if on_request else PUSHED_RETRY_INTERVAL_MAX


def check_list_size(body: bytes) -> None:
    """Raise ValueError if a list has so many parts that parsing it would take much memory or time."""
    entries, commas = max(body.count(b"{"), body.count(b"[")), body.count(b",")
    if entries > LIST_ENTRIES_MAX or commas > LIST_COMMAS_MAX:
        raise ValueError(f"list exceeds {LIST_ENTRIES_MAX} entries: {entries}, with {commas} commas")


class DiscoveryConnection(asyncio.BufferedProtocol):
    """One HTTP connection with one request in flight at a time.

    Once the watch has replaced it, its events are ignored.
    """

    def __init__(self, watch: Watch) -> None:
        self.watch = watch
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.body = bytearray()
        self.has_length = True  # of the response; without a length it goes on to the end of the stream
        self.is_behind = False  # the next iteration goes on parsing; nothing is read meanwhile
        self.transport: asyncio.Transport | None = None
        self.task = watch.loop.create_task(self._connect(*watch.address))

    async def _connect(self, host: str, port: int) -> None:
        try:
            await self.watch.loop.create_connection(lambda: self, host, port)
        except OSError as error:
            self.watch.connect_failed(self, str(error))

    def close(self) -> None:
        """Abort the connection, or the attempt to connect."""
        if self.transport:
            self.transport.abort()
        else:
            self.task.cancel()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Notify the watch, which sends the first request."""
        self.transport = transport
        if self.watch.connection is self:
            self.watch.connected()
        else:  # the connection was established just as the watch gave it up
            transport.abort()

    def send_request(self, target: str, host: str) -> None:
        """Send one GET request."""
        request = h11.Request(method="GET", target=target, headers=[("host", host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, whose size bounds what one read takes."""
        return self.watch.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes out of the buffer."""
        self.data_received(bytes(self.watch.receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse a response or a part of it; empty data stands for the end of the stream."""
        try:
            self.http.receive_data(data)
            self._parse_events()
        except MALFORMED_RESPONSE_ERRORS as error:
            self.watch.response_failed(self, error)

    def _parse_events(self) -> None:
        """Parse what has been received; after EVENTS_PER_ITERATION the event loop runs before the rest."""
        self.is_behind = False
        for _ in range(EVENTS_PER_ITERATION):
            if self.watch.connection is not self:
                return
            event = self.http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
                return
            self._handle_event(event)
        if self.watch.connection is self:
            self.is_behind = True
            self.transport.pause_reading()
            self.watch.loop.call_soon(self._continue)

    def _handle_event(self, event: h11.Event) -> None:
        """Handle one part of a response."""
        if isinstance(event, h11.Response):
            self.status = event.status_code
            names = {name for name, _ in event.headers}
            self.has_length = bool(names & {b"content-length", b"transfer-encoding"})
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > RESPONSE_BYTES_MAX:
                raise ValueError(f"response exceeds {RESPONSE_BYTES_MAX} bytes")
        elif isinstance(event, h11.EndOfMessage):
            self._response_complete()

    def _continue(self) -> None:
        """Go on parsing, and read again once everything received is parsed."""
        if self.watch.connection is not self:
            return
        try:
            self._parse_events()
        except MALFORMED_RESPONSE_ERRORS as error:
            self.watch.response_failed(self, error)
        if self.watch.connection is self and not self.is_behind:
            self.transport.resume_reading()

    def read_pending(self) -> None:
        """Process the part of a response that has arrived, without waiting for the event loop to report it.

        The end of the stream and errors are left to the event loop.
        """
        descriptor = self.transport.get_extra_info("socket").fileno()
        for _ in range(READS_PER_ITERATION):
            is_expecting = self.http.their_state in (h11.SEND_RESPONSE, h11.SEND_BODY)
            if self.watch.connection is not self or self.is_behind or not is_expecting:
                return
            try:
                data = os.read(descriptor, READ_BYTES)
            except OSError:  # BlockingIOError: nothing more has arrived
                return
            if not data:
                return
            self.data_received(data)

    def _response_complete(self) -> None:
        body, self.body = bytes(self.body), bytearray()
        if self.status != 200 and self.status < 500:
            raise ValueError(f"unexpected HTTP status {self.status}")
        host_list = self.watch.parse(body) if self.status == 200 else None
        keep_alive = self.http.their_state is h11.DONE  # else the agent closes after this response
        if keep_alive:
            self.http.start_next_cycle()
        if host_list is None:
            if self.watch.is_new_failure(Failure.REFUSED):
                log.warning("discovery_refused", status=self.status, address=self.watch.address)
            self.watch.refused(keep_alive)
        else:
            self.watch.answered(host_list, keep_alive)

    def eof_received(self) -> None:
        """Complete a response that has no length. A reset does not complete it: the response is dropped."""
        if self.http.their_state is h11.SEND_BODY and not self.has_length:
            self.data_received(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the watch that the connection was closed by either side."""
        self.watch.connection_closed(self)


class Watch:
    """Keeps the list of hosts up to date for as long as the gateway runs.

    Once started, it is in one of four states: disconnected (``connection`` is None), connecting, waiting for
    a response, or connected with the next request postponed. Each state has exactly one timer. An event that
    ends a state early sets the timer of the next one through ``_set_timer``, so that there is always a
    request in flight or a time set for the next one.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        zones: tuple[str, ...],
        on_update: Callable[[HostList], None],
        long_poll_wait: float = LONG_POLL_WAIT,
        response_timeout: float = RESPONSE_TIMEOUT,
        random_fraction: Callable[[], float] = lambda: 1.0,
        version: int | None = None,
        spread: float = 0.0,
        retry_interval_max: float = ATTEMPT_INTERVAL_MAX,
    ) -> None:
        self.loop = loop
        self.address = address
        self.zones = zones
        self.on_update = on_update
        self.long_poll_wait = long_poll_wait
        self.response_timeout = response_timeout
        self.patience = response_timeout  # doubled with each timeout: discovery may be slow, not silent
        self.random_fraction = random_fraction  # from 0 to 1: jitter for gateways that started together
        self.version = version  # of the current list; changes since it are requested; None: the whole list
        self.spread = spread  # seconds over which the first requests of all gateways are spread
        self.retry_interval_max = retry_interval_max  # seconds without a request after a failed one
        self.backoff = BACKOFF_MIN
        self.refused_interval = 0.0  # seconds between requests after refusals; 0: discovery is not overloaded
        # Latest loop time at which the next attempt starts: it can then still deliver a change that the
        # current attempt misses, within STALENESS_LIMIT.
        self.next_attempt_due = 0.0
        self.synchronized = asyncio.Event()  # set once the list held is as recent as discovery's was
        self.receive_buffer = memoryview(bytearray(READ_BYTES))
        self.connection: DiscoveryConnection | None = None
        self.last_connect_succeeded: bool | None = None  # None: no attempt yet
        self.logged_failures: set[Failure] = set()  # since the last answer
        self.timer: asyncio.TimerHandle | None = None

    def read_pending(self) -> None:
        """Process a response that has arrived, even if the event loop has not reported it yet."""
        connection = self.connection
        if connection and connection.transport and not connection.transport.is_closing():
            connection.read_pending()

    # -- states ---------------------------------------------------------------------------------------------

    def start_after_delay(self) -> None:
        """Start after a random part of ``spread``; until then the configured list of hosts is used."""
        self._set_timer(self.spread * self.random_fraction(), self.start)

    def start(self) -> None:
        """Open a new connection and poll."""
        self.drop()
        self.next_attempt_due = self.loop.time() + ATTEMPT_INTERVAL_MAX
        self._set_timer(CONNECT_TIMEOUT, self._connect_timed_out)
        self.connection = DiscoveryConnection(self)

    def set_address(self, address: Address) -> None:
        """Switch to another address of discovery, dropping the connection to the previous one."""
        if address == self.address:
            return
        self.address = address
        self.version = None
        self.backoff = BACKOFF_MIN
        self.patience = self.response_timeout
        self.refused_interval = 0.0
        self.start()

    def drop(self) -> None:
        """Close the connection and ignore its further events."""
        connection, self.connection = self.connection, None
        if connection:
            connection.close()

    def _set_timer(self, delay: float, callback: Callable[[], None]) -> None:
        """Set the one timer, at the beginning of each state; an event may end the state earlier."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, callback)

    def _reconnect_later(self) -> None:
        """Close the connection, and reconnect after the backoff."""
        self.drop()
        self._set_timer(self._jittered_delay(max(self.backoff, self.refused_interval)), self.start)
        self.backoff = min(BACKOFF_MAX, self.retry_interval_max, 2 * self.backoff)

    def _jittered_delay(self, delay: float) -> float:
        """Return a delay with jitter, so that the gateways of a fleet do not poll in step.

        It is capped so that the next attempt starts before a change that this one missed counts as delivered.
        """
        return min(
            delay * (1 + self.random_fraction()) / 2,
            max(BACKOFF_MIN, self.next_attempt_due - self.loop.time()),
        )

    def is_new_failure(self, failure: Failure) -> bool:
        """Return whether to log a failure: once until discovery answers, as attempts may follow quickly."""
        is_new = failure not in self.logged_failures
        self.logged_failures.add(failure)
        return is_new

    # -- events ---------------------------------------------------------------------------------------------

    def _connect_timed_out(self) -> None:
        self.connect_failed(self.connection, "connect timed out")

    def connect_failed(self, connection: DiscoveryConnection, reason: str) -> None:
        """Retry after the backoff, as connecting failed."""
        if connection is self.connection:
            if self.last_connect_succeeded is not False:  # logged once per outage
                log.warning("discovery_unreachable", address=self.address, error=reason)
            self.last_connect_succeeded = False
            self._reconnect_later()

    def slow_down(self) -> None:
        """Increase the interval between requests, after one was refused or timed out."""
        self.refused_interval = min(
            self.retry_interval_max, max(REFUSED_INTERVAL_MIN, self.spread, 2 * self.refused_interval)
        )

    def refused(self, keep_alive: bool) -> None:
        """Retry later, as discovery is overloaded; on the same connection if it is kept alive."""
        self.slow_down()
        if keep_alive:
            self._set_timer(self._jittered_delay(self.refused_interval), self._poll_again)
        else:
            self._reconnect_later()

    def connected(self) -> None:
        """Send the first request on the established connection."""
        if self.last_connect_succeeded is False:
            log.info("discovery_reached", address=self.address)
        self.last_connect_succeeded = True
        self._poll()

    def _poll_again(self) -> None:
        """Start the next attempt on the same connection."""
        self.next_attempt_due = self.loop.time() + ATTEMPT_INTERVAL_MAX
        self._poll()

    def _poll(self) -> None:
        """Request the changes since the current version by long poll, or the whole list if there is none."""
        target, timeout = PATH, self.patience
        if self.version is not None:
            wait = self.long_poll_wait if self.synchronized.is_set() else SYNCHRONIZING_WAIT
            target = f"{PATH}?index={self.version}&wait={int(wait * 1000)}"
            timeout += wait
        time_left = max(self.response_timeout, self.next_attempt_due - BACKOFF_MIN - self.loop.time())
        # Overloaded: the response may take until the next attempt is due.
        timeout = time_left if self.refused_interval else min(timeout, time_left)
        self._set_timer(timeout, self._response_timed_out)
        self.connection.send_request(target, ":".join(map(str, self.address)))

    def parse(self, body: bytes) -> HostList:
        """Parse a response body; raise one of MALFORMED_RESPONSE_ERRORS if it is malformed or too long."""
        check_list_size(body)
        return parse_hosts(json.loads(body), self.zones)

    def answered(self, host_list: HostList, keep_alive: bool) -> None:
        """Pass on the list, then poll again at once if the connection is kept alive, so as to miss no change.

        The next request is sent only after the list is applied: with a long list the next list could arrive
        meanwhile, and clients would wait until both are applied.

        A lower version means that discovery restarted with another list: its changes do not apply to this
        one, and the whole list is requested. So it is after a malformed entry among changes, as the host that
        it names may be draining.
        """
        self.backoff = BACKOFF_MIN
        self.patience = self.response_timeout
        self.logged_failures.clear()
        if self.refused_interval > REFUSED_INTERVAL_MIN:
            self.refused_interval *= REFUSED_INTERVAL_DECAY
        else:
            self.refused_interval = 0.0
        version_decreased = (
            not host_list.whole and self.version is not None and host_list.version < self.version
        )
        is_incomplete = host_list.malformed > 0 and not host_list.whole
        self.version = None if version_decreased or is_incomplete else host_list.version
        if host_list.malformed:
            log.warning("discovery_odd_entries", left_out=host_list.malformed, version=host_list.version)
        if (host_list.whole or host_list.hosts) and not version_decreased:
            self.on_update(host_list)
        if self.version is not None:
            self.synchronized.set()
        if keep_alive:
            self._poll_again()
        else:
            self._reconnect_later()

    def response_failed(self, connection: DiscoveryConnection, error: Exception) -> None:
        """Request the whole list after a malformed response, as the current one may be out of date."""
        if connection is self.connection:
            if self.is_new_failure(Failure.MALFORMED):
                log.warning("discovery_failed", error=error, address=self.address)
            self.version = None
            self._reconnect_later()

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        """Reconnect after the backoff, as the connection was closed."""
        if connection is self.connection:
            if self.is_new_failure(Failure.CLOSED):
                log.info("discovery_closed", address=self.address, version=self.version)
            self._reconnect_later()

    def _response_timed_out(self) -> None:
        if self.refused_interval:  # a single timeout without earlier refusals does not slow polling down
            self.slow_down()
        self.patience = min(2 * self.patience, ATTEMPT_INTERVAL_MAX)
        log.warning("discovery_silent", address=self.address)
        self._reconnect_later()
