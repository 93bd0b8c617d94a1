"""The discovery protocol for readers, identical at a primary, a follower and an agent."""

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
    """Answers readers from a ledger and wakes long polls on each change."""

    def __init__(
        self, ledger: Ledger, age: Callable[[], float | None], unavailable_reason: Callable[[], str | None]
    ) -> None:
        self.ledger, self.age, self.unavailable_reason = ledger, age, unavailable_reason
        self.watches: dict[
            Exchange, asyncio.TimerHandle
        ] = {}  # long polls with their timers; all have the ledger's seq as index

    def handle(self, exchange: Exchange, request: Request) -> None:
        """Handle ``GET /registry/instances`` with the optional parameters ``index`` and ``wait``."""
        request.terms("index", "wait")
        if "index" not in request.query:
            if "wait" in request.query:
                parse_digits(request.query["wait"], "wait", MAX_WAIT_MS)
            index, wait = None, 0
        else:
            index = parse_digits(request.query["index"], "index")
            wait = parse_digits(request.query.get("wait", "0"), "wait", MAX_WAIT_MS)
        if reason := self.unavailable_reason():
            raise Refused(503, reason, {"Retry-After": "1"})
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
        """Answer a long poll whose wait ended without a change."""
        del self.watches[exchange]
        self._answer(exchange, self.ledger.seq)

    def notify(self, index: int) -> None:
        """Answer all long polls, which have this index; on shutdown it is still the ledger's current seq."""
        watches, self.watches = self.watches, {}
        for exchange, timer in watches.items():
            timer.cancel()
            self._answer(exchange, index)
