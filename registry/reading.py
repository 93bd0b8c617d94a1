"""The discovery protocol towards readers: the same at a primary, a follower and an agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ops.http import Exchange, Refused, Request

from .entries import digits
from .follow import LIFE
from .ledger import Ledger

INSTANCES = ["registry", "instances"]
WAIT_MOST = 60_000  # milliseconds


class Reading:
    """Answers readers from a ledger; whoever waits is told of each change at once."""

    def __init__(
        self, ledger: Ledger, age: Callable[[], float | None], closed: Callable[[], str | None]
    ) -> None:
        self.ledger, self.age, self.closed = ledger, age, closed
        self.waiting: dict[Exchange, asyncio.TimerHandle] = {}  # all of them stand at the ledger's seq

    def handle(self, exchange: Exchange, request: Request) -> None:
        """``GET /registry/instances``, with or without ``index`` and ``wait``."""
        request.terms("index", "wait")
        if "index" not in request.query:
            if "wait" in request.query:
                digits(request.query["wait"], "wait", WAIT_MOST)
            index, wait = None, 0
        else:
            index = digits(request.query["index"], "index")
            wait = digits(request.query.get("wait", "0"), "wait", WAIT_MOST)
        if why := self.closed():
            raise Refused(503, why, {"Retry-After": "1"})
        if wait and index == self.ledger.seq and not exchange.server.ending and not exchange.ended:
            loop = asyncio.get_running_loop()
            self.waiting[exchange] = loop.call_later(wait / 1_000, self._over, exchange)
            exchange.gone = lambda: self.waiting.pop(exchange).cancel()
        else:
            self._answer(exchange, index)

    def _answer(self, exchange: Exchange, index: int | None) -> None:
        headers = {LIFE: str(self.ledger.life)}
        if age := self.age():
            headers["Age"] = str(int(age))
        exchange.answer(self.ledger.body(index), headers)

    def _over(self, exchange: Exchange) -> None:
        """The wait is over, without news."""
        del self.waiting[exchange]
        self._answer(exchange, self.ledger.seq)

    def wake(self, index: int) -> None:
        """The ledger went on from this number, at which all who wait stand; at an end it is the same one."""
        waiting, self.waiting = self.waiting, {}
        for exchange, timer in waiting.items():
            timer.cancel()
            self._answer(exchange, index)
