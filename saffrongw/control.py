"""The operators' address: one line in, one line out that begins with ``done`` or ``error``, then a close."""

from __future__ import annotations

import asyncio
import logging

from .clients import Clients
from .config import Address
from .driver import Driver

log = logging.getLogger(__name__)

CALLERS_MOST = 12  # connections at once: one more closes the one that has been silent longest
LINE_MOST = 512  # bytes of a call
SILENT_FOR = 10.0  # seconds until a caller without a whole call is closed
TAKEN_WITHIN = 1.0  # seconds that a caller has to take its answer and close


class Caller(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, control: Control) -> None:
        self.control = control
        self.line = b""
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """An operator has connected."""
        self.transport = transport
        self._close_in(SILENT_FOR)
        self.control.opened(self)

    def _close_in(self, seconds: float) -> None:
        if self.limit:
            self.limit.cancel()
        self.limit = self.control.loop.call_later(seconds, self.transport.abort)

    def data_received(self, data: bytes) -> None:
        """A call, or a part of it; what follows its line is dropped."""
        if self.answered:
            return
        self.line += data[: LINE_MOST + 1 - len(self.line)]
        line, end, _ = self.line.partition(b"\n")
        if end:
            self.answer(self.control.call(line))
        elif len(self.line) > LINE_MOST:
            self.answer("error the line is too long")

    def eof_received(self) -> bool:
        """A line without its end may be a longer one cut off, ``OFFLINE h1`` of ``OFFLINE h12``."""
        if not self.answered:
            self.answer("error the line has no end")
        return True  # the answer is still to be written

    def answer(self, text: str) -> None:
        """One line, and the end. It is read on until the caller has closed: a close over unread bytes would
        reset the connection and take the answer with it."""
        self.answered = True
        self.control.count(text)
        if not self.transport.is_closing():
            self.transport.write(text.encode() + b"\n")
            self.transport.write_eof()
            self._close_in(TAKEN_WITHIN)

    def connection_lost(self, error: Exception | None) -> None:
        """The caller has closed, or was closed."""
        self.limit.cancel()
        self.control.callers.pop(self, None)


class Control:
    """The listener for operators; every call is carried out at once, and may be repeated."""

    def __init__(self, driver: Driver, clients: Clients) -> None:
        self.driver, self.clients, self.loop = driver, clients, driver.loop
        self.callers: dict[Caller, None] = {}  # the one that connected first stands first
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address | None) -> None:
        """Answer from now on; without the address all else works."""
        if address is None:
            return
        try:
            self.server = await self.loop.create_server(lambda: Caller(self), *address, backlog=CALLERS_MOST)
        except OSError as wrong:
            log.error("no control at %s:%d: %s", *address, wrong)

    def opened(self, caller: Caller) -> None:
        """One more; a new one is never the one that goes."""
        if len(self.callers) >= CALLERS_MOST:
            oldest = next(iter(self.callers))
            del self.callers[oldest]  # at once: more may come before its end is told
            self.driver.stats["control_evicted"] += 1
            oldest.transport.abort()
        self.callers[caller] = None

    def count(self, answer: str) -> None:
        """For the line of counters."""
        self.driver.stats["control_" + answer.split(" ", 1)[0]] += 1

    def call(self, line: bytes) -> str:
        """Carry out one call; the line that answers it."""
        words = line.removesuffix(b"\r").split(b" ")
        match words:
            case [b"HEALTH"]:
                why_not = self.driver.readiness.why_not
                return f"error {why_not}" if why_not else "done ready"
            case [b"LEAVE"]:
                log.info("control: leave")
                self.clients.leave()
                return "done draining"
            case [b"JOIN"]:
                log.info("control: join")
                return self.clients.join()
            case _:
                return "error no such call"
