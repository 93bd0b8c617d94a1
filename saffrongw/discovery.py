"""The watch on discovery: one kept HTTP connection, the next call at once after each answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import h11

from ops import logs

from .config import Address, HostList, parse_hosts

log = logs.get(__name__)

PATH = "/registry/instances"
RESPONSE_BYTES_MAX = 4 * 1024 * 1024  # guards memory against a response that never ends

# All times in seconds.
STALENESS_LIMIT = 6.0  # what discovery has to tell counts as told so long after, whether it came or not
# Between the beginnings of two calls, whatever becomes of the first: the second has to be answered as well.
CALL_INTERVAL_MAX = STALENESS_LIMIT - 2.0
CONNECT_TIMEOUT = 1.0
LONG_POLL_WAIT = 2.0  # that a call may wait for news: until then a hung agent looks like a quiet one
RESPONSE_TIMEOUT = 1.0  # beyond that wait: a silent agent is called anew
BACKOFF_MIN, BACKOFF_MAX = 0.05, 1.0  # before connecting again, doubled with each failure

# Discovery may be overbooked: then calls wait in turn there, and too many of them are all in vain. A watch
# that goes on costs it nothing, a new one a call and what changed, a whole list every line.
REFUSED_INTERVAL_MIN = 0.5  # between two calls after a refused one, doubled with each more
REFUSED_INTERVAL_DECAY = 0.7  # the part of that interval which an answer leaves for the next time
FIRST_CALL_SPACING = 0.15  # on average between the first calls of a fleet that starts together

# What a response that makes no sense raises.
MALFORMED = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    h11.ProtocolError,
)


def first_call_spread(gateways: int, on_request: bool) -> float:
    """Seconds over which a fleet spreads its first calls; asked: discovery does work for each of them."""
    return min(CALL_INTERVAL_MAX, FIRST_CALL_SPACING * (gateways - 1)) if on_request else 0.0


class Exchange(asyncio.Protocol):
    """One HTTP connection with one call out at a time; it concerns its watch as long as that holds it."""

    def __init__(self, watch: Watch) -> None:
        self.watch, self.http = watch, h11.Connection(h11.CLIENT)
        self.status, self.body = 0, bytearray()
        self.tells_length = True
        self.transport: asyncio.Transport | None = None
        self.task = watch.loop.create_task(self._open(*watch.address))

    async def _open(self, host: str, port: int) -> None:
        try:
            await self.watch.loop.create_connection(lambda: self, host, port)
        except OSError as wrong:
            self.watch.unreachable(self, str(wrong))

    def close(self) -> None:
        """Drop it, whatever it is doing; the watch hears nothing more of it."""
        if self.transport:
            self.transport.abort()
        else:
            self.task.cancel()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Connected: the first call goes out."""
        self.transport = transport
        if self.watch.exchange is self:
            self.watch.connected()
        else:  # it came up in the moment in which it was given up
            transport.abort()

    def call(self, target: str, host: str) -> None:
        """Send one request."""
        request = h11.Request(method="GET", target=target, headers=[("host", host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """An answer, or a part of it; no bytes: the agent sends nothing more."""
        try:
            self.http.receive_data(data)
            while self.watch.exchange is self:
                event = self.http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
                    break
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                    names = {name for name, _ in event.headers}
                    self.tells_length = bool(names & {b"content-length", b"transfer-encoding"})
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > RESPONSE_BYTES_MAX:
                        raise ValueError("answer too long")
                elif isinstance(event, h11.EndOfMessage):
                    self._whole()
        except MALFORMED as wrong:
            self.watch.failed(self, wrong)

    def _whole(self) -> None:
        body, self.body = bytes(self.body), bytearray()
        if self.status != 200 and self.status < 500:
            raise ValueError(f"answered {self.status}")
        listed = self.watch.parse(body) if self.status == 200 else None
        again = self.http.their_state is h11.DONE  # else the agent closes after this answer
        if again:
            self.http.start_next_cycle()
        if listed is None:
            log.warning("discovery_refused", status=self.status, address=self.watch.address)
            self.watch.refused(again)
        else:
            self.watch.answered(listed, again)

    def eof_received(self) -> None:
        """The end of an answer that tells no length. A reset is none: nothing of it counts then."""
        if self.http.their_state is h11.SEND_BODY and not self.tells_length:
            self.data_received(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Closed by the agent, or by us as it made no sense."""
        self.watch.lost(self)


class Watch:
    """Keeps the list of hosts up to date for as long as the gateway runs.

    From its start on it is in one of four states, and each of them has its one timer: between two connections
    (``exchange`` is None), connecting, with a call out, or with the next one put off. What ends a state early
    passes through ``_wait`` as its timer does, so that there is always a call out or a time for the next one.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        zones: tuple[str, ...],
        told: Callable[[HostList], None],
        wait: float = LONG_POLL_WAIT,
        response_timeout: float = RESPONSE_TIMEOUT,
        random_fraction: Callable[[], float] = lambda: 1.0,
        version: int | None = None,
        spread: float = 0.0,
    ) -> None:
        self.loop, self.address, self.zones, self.told = loop, address, zones, told
        self.wait, self.response_timeout = wait, response_timeout
        self.random_fraction = (
            random_fraction  # from 0 to 1, so that gateways that started together don't call together
        )
        self.version = version  # of the list that is held: what changed since is asked for; None: the whole
        self.spread = spread  # seconds that the first calls of the whole fleet take together
        self.back_off = BACKOFF_MIN
        self.pace = 0.0  # seconds to the next call where discovery refuses one; 0: it is not overbooked
        self.next_attempt_due = (
            0.0  # by then the next try begins: what this one misses counts as told soon after
        )
        self.exchange: Exchange | None = None
        self.reached: bool | None = None  # whether the last try to connect came up; None: there was none
        self.timer: asyncio.TimerHandle | None = None

    # -- states ---------------------------------------------------------------------------------------------

    def start_after_delay(self) -> None:
        """Start, each gateway of a fleet in its own moment: until then the list that it was given holds."""
        self._wait(self.spread * self.random_fraction(), self.start)

    def start(self) -> None:
        """Connect and call."""
        self.drop()
        self.next_attempt_due = self.loop.time() + CALL_INTERVAL_MAX
        self._wait(CONNECT_TIMEOUT, self._too_late)
        self.exchange = Exchange(self)

    def set_address(self, address: Address) -> None:
        """Discovery is at this address from now on: whatever goes on with another one is dropped."""
        if address == self.address:
            return
        self.address, self.version, self.back_off, self.pace = address, None, BACKOFF_MIN, 0.0
        self.start()

    def drop(self) -> None:
        """Have nothing more to do with the connection there is."""
        exchange, self.exchange = self.exchange, None
        if exchange:
            exchange.close()

    def _wait(self, span: float, then: Callable[[], None]) -> None:
        """Every state begins here: it ends by what happens, or else with its time."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(span, then)

    def _reconnect_later(self) -> None:
        """Connect anew after a short while."""
        self.drop()
        self._wait(self._in_time(max(self.back_off, self.pace)), self.start)
        self.back_off = min(BACKOFF_MAX, 2 * self.back_off)

    def _in_time(self, span: float) -> float:
        """A part of a span, drawn so that a fleet does not call in step, and cut so that the next try comes
        before what this one missed counts as told."""
        return min(
            span * (1 + self.random_fraction()) / 2,
            max(BACKOFF_MIN, self.next_attempt_due - self.loop.time()),
        )

    # -- what happens ---------------------------------------------------------------------------------------

    def _too_late(self) -> None:
        self.unreachable(self.exchange, "no answer")

    def unreachable(self, exchange: Exchange, why: str) -> None:
        """It did not come up."""
        if exchange is self.exchange:
            if self.reached is not False:  # once, until it is there again
                log.warning("discovery_unreachable", address=self.address, error=why)
            self.reached = False
            self._reconnect_later()

    def slow_down(self) -> None:
        """It refused a call, or left it without an answer: fewer calls from now on."""
        self.pace = min(CALL_INTERVAL_MAX, max(REFUSED_INTERVAL_MIN, self.spread, 2 * self.pace))

    def refused(self, again: bool) -> None:
        """It is overbooked: the same call later, on the same connection where that is kept."""
        self.slow_down()
        if again:
            self._wait(self._in_time(self.pace), self._call_again)
        else:
            self._reconnect_later()

    def connected(self) -> None:
        """The connection is up: the first call."""
        if self.reached is False:
            log.info("discovery_reached", address=self.address)
        self.reached = True
        self._ask()

    def _call_again(self) -> None:
        """The next try, on the connection of the one before."""
        self.next_attempt_due = self.loop.time() + CALL_INTERVAL_MAX
        self._ask()

    def _ask(self) -> None:
        """What is newer than the list held, waited for at discovery; without one the whole list."""
        target, within = PATH, self.response_timeout
        if self.version is not None:
            target = f"{PATH}?index={self.version}&wait={int(self.wait * 1000)}"
            within += self.wait
        if self.pace:  # it is overbooked: an answer may take all the time there is
            within = max(within, self.next_attempt_due - BACKOFF_MIN - self.loop.time())
        self._wait(within, self._silent)
        self.exchange.call(target, ":".join(map(str, self.address)))

    def parse(self, body: bytes) -> HostList:
        """An answer as a list; raises where it is none."""
        return parse_hosts(json.loads(body), self.zones)

    def answered(self, listed: HostList, again: bool) -> None:
        """Call again at once where the connection is kept, so that the watch stands, then pass on what was
        told. A version that went back is of another list than ours."""
        self.back_off, self.pace = (
            BACKOFF_MIN,
            self.pace * REFUSED_INTERVAL_DECAY if self.pace > REFUSED_INTERVAL_MIN else 0.0,
        )
        back = not listed.whole and self.version is not None and listed.version < self.version
        self.version = None if back else listed.version
        if again:
            self._call_again()
        else:
            self._reconnect_later()
        if listed.malformed:
            log.warning("discovery_odd_entries", left_out=listed.malformed, version=listed.version)
        if listed.whole or listed.hosts:
            self.told(listed)

    def failed(self, exchange: Exchange, wrong: Exception) -> None:
        """An answer made no sense: what is held is in doubt, the whole list is asked for."""
        if exchange is self.exchange:
            log.warning("discovery_failed", error=wrong, address=self.address)
            self.version = None
            self._reconnect_later()

    def lost(self, exchange: Exchange) -> None:
        """The connection is gone: a new one after a short while."""
        if exchange is self.exchange:
            self._reconnect_later()

    def _silent(self) -> None:
        if self.pace:  # else a call may be lost once
            self.slow_down()
        log.warning("discovery_silent", address=self.address)
        self._reconnect_later()
