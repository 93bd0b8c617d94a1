"""The discovery protocol towards readers: the same at a primary, a follower and an agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ops.http import Exchange, Refused, Request

from .entries import parse_digits
from .follow import LIFE_HEADER
from .ledger import Ledger

INSTANCES_PATH = ["registry", "instances"]
MAX_WAIT_MS = 60_000  # milliseconds


class WatchEndpoint:
    """Answers readers from a ledger; whoever waits is told of each change at once."""

    def __init__(
        self, ledger: Ledger, age: Callable[[], float | None], unavailable_reason: Callable[[], str | None]
    ) -> None:
        self.ledger, self.age, self.unavailable_reason = ledger, age, unavailable_reason
        self.watches: dict[Exchange, asyncio.TimerHandle] = {}  # all of them stand at the ledger's seq

    def handle(self, exchange: Exchange, request: Request) -> None:
        """``GET /registry/instances``, with or without ``index`` and ``wait``."""
        request.terms("index", "wait")
        if "index" not in request.query:
            if "wait" in request.query:
                parse_digits(request.query["wait"], "wait", MAX_WAIT_MS)
            index, wait = None, 0
        else:
            index = parse_digits(request.query["index"], "index")
            wait = parse_digits(request.query.get("wait", "0"), "wait", MAX_WAIT_MS)
        if why := self.unavailable_reason():
            raise Refused(503, why, {"Retry-After": "1"})
        if wait and index == self.ledger.seq and not exchange.server.ending and not exchange.ended:
            loop = asyncio.get_running_loop()
            self.watches[exchange] = loop.call_later(wait / 1_000, self._on_wait_expired, exchange)
            exchange.gone = lambda: self.watches.pop(exchange).cancel()
        else:
            self._answer(exchange, index)

    def _answer(self, exchange: Exchange, index: int | None) -> None:
        headers = {LIFE_HEADER: str(self.ledger.life)}
        if age := self.age():
            headers["Age"] = str(int(age))
        exchange.answer(self.ledger.body(index), headers)

    def _on_wait_expired(self, exchange: Exchange) -> None:
        """The wait is over, without news."""
        del self.watches[exchange]
        self._answer(exchange, self.ledger.seq)

    def notify(self, index: int) -> None:
        """The ledger went on from this number, at which all who wait stand; at an end it is the same one."""
        watches, self.watches = self.watches, {}
        for exchange, timer in watches.items():
            timer.cancel()
            self._answer(exchange, index)
