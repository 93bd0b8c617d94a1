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
WAIT = 2.0  # seconds that a call may wait for news: until then nothing tells a quiet agent from a hung one
ANSWER_WITHIN = 1.0  # seconds beyond that: a silent agent is tried anew
BACK_OFF, BACK_OFF_MOST = 0.05, 1.0  # seconds before connecting again, doubled with each failure
CONNECT_WITHIN = 1.0
# Discovery may be overbooked: then calls wait in turn there, and too many of them are all in vain. A watch
# that goes on costs it nothing, a new one a call and what changed, a whole list every line.
PACE, PACE_MOST = 0.5, 8.0  # seconds between two calls after it refused one, doubled with each more
RELIEF = 0.7  # of the pace that is left after an answer, for the next time
CALLS_APART = 0.15  # seconds on average between the first calls of a fleet that starts together
PATIENCE = 3.0  # times as long an answer may take then


def span_of(gateways: int, asked: bool) -> float:
    """Seconds over which a fleet spreads its first calls; asked: discovery does work for each of them."""
    return CALLS_APART * (gateways - 1) if asked else 0.0


class Exchange(asyncio.Protocol):
    """One HTTP connection with one call out at a time."""

    def __init__(self, watch: Watch) -> None:
        self.watch, self.http = watch, h11.Connection(h11.CLIENT)
        self.status, self.body = 0, bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Connected: the first call goes out."""
        self.transport = transport
        self.watch.connected(self)

    def call(self, target: str, host: str) -> None:
        """Send one request."""
        request = h11.Request(method="GET", target=target, headers=[("host", host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """An answer, or a part of it."""
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.body += event.data
                elif isinstance(event, h11.EndOfMessage):
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
                    if not again:
                        self.transport.abort()
                        break
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except (ValueError, KeyError, TypeError, AttributeError, h11.ProtocolError) as wrong:
            log.warning("discovery_failed", error=wrong, address=self.watch.address)
            self.watch.version = None  # what it holds is in doubt: the whole list
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Closed by the agent, or by us as it made no sense."""
        self.watch.lost(self)


class Watch:
    """Keeps the list of hosts up to date for as long as the gateway runs."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        zones: tuple[str, ...],
        told: Callable[[HostList], None],
        wait: float = WAIT,
        answer_within: float = ANSWER_WITHIN,
        draw: Callable[[], float] = lambda: 1.0,
        version: int | None = None,
        spread: float = 0.0,
    ) -> None:
        self.loop, self.address, self.zones, self.told = loop, address, zones, told
        self.wait, self.answer_within = wait, answer_within
        self.draw = draw  # from 0 to 1, so that gateways that started together don't call together
        self.version = version  # of the list that is held: what changed since is asked for; None: the whole
        self.spread = spread  # seconds that the first calls of the whole fleet take together
        self.back_off = BACK_OFF
        self.pace = 0.0  # seconds to the next call where discovery refuses one; 0: it is not overbooked
        self.exchange: Exchange | None = None
        self.reached: bool | None = None  # whether the last try to connect came up; None: there was none
        self.silence: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None
        self.later: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Start, each gateway of a fleet in its own moment: until then the list that it was given holds."""
        self.later = self.loop.call_later(self.spread * self.draw(), self.start)

    def start(self) -> None:
        """Connect and call."""
        self.task = self.loop.create_task(self._connect())

    def move(self, address: Address) -> None:
        """Discovery is at this address from now on: whatever goes on with another one is dropped."""
        if address == self.address:
            return
        self.address, self.version, self.back_off, self.pace = address, None, BACK_OFF, 0.0
        for pending in (self.task, self.later, self.silence):
            if pending:
                pending.cancel()
        if self.exchange:
            exchange, self.exchange = self.exchange, None
            exchange.transport.abort()
        self.start()

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                await self.loop.create_connection(lambda: Exchange(self), *self.address)
        except OSError as wrong:
            if self.exchange is None:  # it may have come up in the last moment
                if self.reached is not False:  # once, until it is there again
                    why = str(wrong) or "no answer"
                    log.warning("discovery_unreachable", address=self.address, error=why)
                self.reached = False
                self._later()

    def _later(self) -> None:
        span = max(self.back_off, self.pace)
        self.later = self.loop.call_later(span * (1 + self.draw()) / 2, self.start)
        self.back_off = min(BACK_OFF_MOST, 2 * self.back_off)

    def strained(self) -> None:
        """It refused a call, or left it without an answer: fewer calls from now on."""
        self.pace = min(max(PACE_MOST, 2 * self.spread), max(PACE, self.spread, 2 * self.pace))

    def refused(self, again: bool) -> None:
        """It is overbooked: the same call later, on the same connection where that is kept."""
        self.strained()
        self.silence.cancel()
        if again:
            self.later = self.loop.call_later(self.pace * (1 + self.draw()) / 2, self._ask)
        else:
            self.exchange.transport.abort()

    def connected(self, exchange: Exchange) -> None:
        """A new connection: the first call."""
        if self.reached is False:
            log.info("discovery_reached", address=self.address)
        self.exchange, self.reached = exchange, True
        self._ask()

    def _ask(self) -> None:
        """What is newer than the list held, waited for at discovery; without one the whole list."""
        if not self.exchange or self.exchange.transport.is_closing():
            return
        if self.version is None:
            self._call(PATH, self.answer_within)
        else:
            target = f"{PATH}?index={self.version}&wait={int(self.wait * 1000)}"
            self._call(target, self.wait + self.answer_within)

    def parse(self, body: bytes) -> HostList:
        """An answer as a list; raises where it is none."""
        return parse_hosts(json.loads(body), self.zones)

    def answered(self, listed: HostList, again: bool) -> None:
        """Call again at once where the connection is kept, so that the watch stands, then pass on what was
        told. A version that went back is of another list than ours."""
        self.back_off, self.pace = BACK_OFF, self.pace * RELIEF if self.pace > PACE else 0.0
        back = not listed.whole and self.version is not None and listed.version < self.version
        self.version = None if back else listed.version
        if again:
            self._ask()
        if listed.odd:
            log.warning("discovery_odd_entries", left_out=listed.odd, version=listed.version)
        if listed.whole or listed.hosts:
            self.told(listed)

    def lost(self, exchange: Exchange) -> None:
        """The connection is gone: a new one after a short while."""
        if exchange is self.exchange:
            self.exchange = None
            for pending in (self.silence, self.later):
                if pending:
                    pending.cancel()
            self._later()

    def _silent(self) -> None:
        if self.pace:  # else a call may be lost once
            self.strained()
        self.exchange.transport.abort()

    def _call(self, target: str, within: float) -> None:
        if self.silence:
            self.silence.cancel()
        self.silence = self.loop.call_later(within * PATIENCE if self.pace else within, self._silent)
        self.exchange.call(target, ":".join(map(str, self.address)))
