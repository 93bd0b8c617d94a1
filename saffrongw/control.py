"""The operators' address: one line in, one line out that begins with ``done`` or ``error``, then a close."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Protocol

from ops import logs

from .clients import Clients
from .config import Address
from .driver import Driver

if TYPE_CHECKING:
    from .members import Members

log = logs.get(__name__)

CONNECTIONS_MAX = 12  # connections at once: one more closes the one that has been silent longest
LINE_BYTES_MAX = 512  # bytes of a call
CALL_TIMEOUT = 10.0  # seconds until a caller without a whole call is closed
LINGER_TIMEOUT = 1.0  # seconds that a caller has to take its answer and close
HANDOVER_POLL_INTERVAL = 0.01  # seconds between two looks whether a handover is over


class Caller(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, control: Control) -> None:
        self.control = control
        self.line = b""
        self.answered = self.written = False
        self.ended = False  # the caller sends no more
        self.transport: asyncio.Transport | None = None
        self.limit: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """An operator has connected."""
        self.transport = transport
        self._close_in(CALL_TIMEOUT)
        self.control.opened(self)

    def _close_in(self, seconds: float) -> None:
        if self.limit:
            self.limit.cancel()
        self.limit = self.control.loop.call_later(seconds, self.transport.abort)

    def data_received(self, data: bytes) -> None:
        """A call, or a part of it; what follows its line is dropped."""
        if self.answered:
            return
        self.line += data[: LINE_BYTES_MAX + 1 - len(self.line)]
        line, end, _ = self.line.partition(b"\n")
        if end:
            self.answered = True
            self.task = self.control.loop.create_task(self._call(line))
        elif len(self.line) > LINE_BYTES_MAX:
            self.answer("error the line is too long")

    async def _call(self, line: bytes) -> None:
        self.answer(await self.control.call(line))

    def eof_received(self) -> bool:
        """A line without its end may be a longer one cut off, ``OFFLINE h1`` of ``OFFLINE h12``."""
        self.ended = True
        if not self.answered:
            self.answer("error the line has no end")
        return not self.written

    def answer(self, text: str) -> None:
        """One line, and the end. It is read on until the caller has closed: a close over unread bytes would
        reset the connection and take the answer with it."""
        self.answered = True
        self.control.count(text)
        if not self.transport.is_closing():
            self.transport.write(text.encode() + b"\n")
            self.written = True
            if self.ended:
                self.transport.close()
                return
            self.transport.write_eof()
            self._close_in(LINGER_TIMEOUT)

    def connection_lost(self, error: Exception | None) -> None:
        """The caller has closed, or was closed."""
        self.limit.cancel()
        self.control.callers.pop(self, None)


class Other(Protocol):
    """The process before this one, or the one after it, as far as operators' calls go there."""

    async def ask(self, line: bytes) -> str:
        """Have it carry out a call; what it said."""


class Control:
    """The listener for operators; every call is carried out at once, and may be repeated."""

    def __init__(self, driver: Driver, clients: Clients) -> None:
        self.driver, self.clients, self.loop = driver, clients, driver.loop
        self.callers: dict[Caller, None] = {}  # the one that connected first stands first
        self.server: asyncio.Server | None = None
        self.predecessor: Other | None = None  # the process before this one, as long as it finishes
        self.seat: Other | None = None  # where the next process takes over, or has
        self.members: Members | None = None

    async def listen(self, address: Address) -> None:
        """Answer from now on; raises OSError."""
        self.server = await self.loop.create_server(lambda: Caller(self), *address, backlog=CONNECTIONS_MAX)

    def opened(self, caller: Caller) -> None:
        """One more; a new one is never the one that goes."""
        if len(self.callers) >= CONNECTIONS_MAX:
            oldest = next(iter(self.callers))
            del self.callers[oldest]  # at once: more may come before its end is told
            self.driver.stats["control_evicted"] += 1
            oldest.transport.abort()
        self.callers[caller] = None

    def count(self, answer: str) -> None:
        """For the line of counters."""
        self.driver.stats["control_" + answer.split(" ", 1)[0]] += 1

    def in_doubt(self) -> str:
        """What membership has to say of this process's own health; empty: nothing."""
        doubts = self.members.doubts() if self.members else ()
        return f", but {', '.join(doubts)}" if doubts else ""

    async def call(self, line: bytes) -> str:
        """Carry out one call; the line that answers it. HEALTH is about this process alone."""
        line = line.removesuffix(b"\r")
        if line == b"HEALTH":
            not_ready_reason = self.driver.readiness.not_ready_reason
            return f"error {not_ready_reason}" if not_ready_reason else f"done ready{self.in_doubt()}"
        while self.driver.frozen:  # the next process takes over: nothing would be in force yet
            await asyncio.sleep(HANDOVER_POLL_INTERVAL)
        if self.driver.readiness.handed_over:
            return await self.seat.ask(line)
        return await self.here(line)

    async def here(self, line: bytes) -> str:
        """Carry out one call in this process."""
        match line.split(b" "):
            case [b"LEAVE"]:
                log.info("control_call", call="leave")
                self.clients.drain.begin()
                return "done draining"
            case [b"JOIN"]:
                log.info("control_call", call="join")
                return self.clients.drain.cancel()
            case [b"MEMBERS"]:
                if not self.members:
                    return "error no membership: fleet.cluster is not set"
                return f"done {json.dumps(self.members.table(), separators=(',', ':'))}"
            case [b"OFFLINE" | b"ONLINE" as word, server]:
                if not self.driver.ban(server, word == b"OFFLINE"):
                    return "error no such host was ever listed"
                log.info("control_call", call=word.decode().lower(), host=server)
                if self.predecessor:
                    await self.predecessor.ask(line)  # what it still finishes keeps to it, too
                return "done out" if word == b"OFFLINE" else "done back"
            case _:
                return "error no such call"
