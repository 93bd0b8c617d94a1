"""The discovery protocol for readers, identical at a primary, a follower and an agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ops.http import Connection, HTTPError, Request

from .entries import parse_digits
from .ledger import Ledger
from .upstream import LIFE_HEADER

INSTANCES_PATH = ["registry", "instances"]
MAX_WAIT_MS = 60_000


class WatchEndpoint:
    """Answers readers from a ledger and wakes long polls on each change."""

    def __init__(
        self, ledger: Ledger, age: Callable[[], float | None], unavailable_reason: Callable[[], str | None]
    ) -> None:
        self.ledger, self.age, self.unavailable_reason = ledger, age, unavailable_reason
        # Long polls with their timers; all have the ledger's seq as index.
        self.watches: dict[Connection, asyncio.TimerHandle] = {}

    def handle(self, connection: Connection, request: Request) -> None:
        """Handle ``GET /registry/instances`` with the optional parameters ``index`` and ``wait``."""
        request.check_parameters("index", "wait")
        if "index" not in request.query:
            if "wait" in request.query:
                parse_digits(request.query["wait"], "wait", MAX_WAIT_MS)
            index, wait = None, 0
        else:
            index = parse_digits(request.query["index"], "index")
            wait = parse_digits(request.query.get("wait", "0"), "wait", MAX_WAIT_MS)
        if reason := self.unavailable_reason():
            raise HTTPError(503, reason, {"Retry-After": "1"})
        if (
            wait
            and index == self.ledger.seq
            and not connection.server.shutting_down
            and not connection.input_closed
        ):
            loop = asyncio.get_running_loop()
            self.watches[connection] = loop.call_later(wait / 1_000, self._on_wait_expired, connection)
            connection.on_disconnect = lambda: self.watches.pop(connection).cancel()
        else:
            self._answer(connection, index)

    def _answer(self, connection: Connection, index: int | None) -> None:
        headers = {LIFE_HEADER: str(self.ledger.life)}
        if age := self.age():
            headers["Age"] = str(int(age))
        connection.respond(self.ledger.body(index), headers)

    def _on_wait_expired(self, connection: Connection) -> None:
        """Answer a long poll whose wait ended without a change."""
        del self.watches[connection]
        self._answer(connection, self.ledger.seq)

    def notify(self, index: int) -> None:
        """Answer all long polls; their index is the seq before the change, or on shutdown the current one."""
        watches, self.watches = self.watches, {}
        for connection, timer in watches.items():
            timer.cancel()
            self._answer(connection, index)
