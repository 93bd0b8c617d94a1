"""Control address for operators.

An operator sends one line, the command, and gets one line back that begins with ``done`` or ``error``; then
the connection is closed.
"""

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

log = logs.get_logger(__name__)

CONNECTIONS_MAX = 12  # open connections: a new one beyond this closes the oldest
LINE_BYTES_MAX = 512  # length of a command
COMMAND_TIMEOUT = 10.0  # seconds until a connection without a complete command is closed
LINGER_TIMEOUT = 1.0  # seconds for the client to read its answer and close
HANDOVER_POLL_INTERVAL = 0.01  # seconds between two checks whether a handover is over


class ControlConnection(asyncio.Protocol):
    """One operator's connection."""

    def __init__(self, control: Control) -> None:
        self.control = control
        self.line = b""
        self.is_answered = self.answer_written = False
        self.eof_seen = False  # the client has closed its sending side
        self.transport: asyncio.Transport | None = None
        self.close_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start its timeout."""
        self.transport = transport
        self._set_close_timer(COMMAND_TIMEOUT)
        self.control.connection_opened(self)

    def _set_close_timer(self, seconds: float) -> None:
        if self.close_timer:
            self.close_timer.cancel()
        self.close_timer = self.control.loop.call_later(seconds, self.transport.abort)

    def data_received(self, data: bytes) -> None:
        """Collect the line of a command; anything after the line is dropped."""
        if self.is_answered:
            return
        self.line += data[: LINE_BYTES_MAX + 1 - len(self.line)]
        line, end, _ = self.line.partition(b"\n")
        if end:
            self.is_answered = True
            self.task = self.control.loop.create_task(self._execute(line))
        elif len(self.line) > LINE_BYTES_MAX:
            self.answer("error the line is too long")

    async def _execute(self, line: bytes) -> None:
        self.answer(await self.control.execute(line))

    def eof_received(self) -> bool:
        """Reject a line without a newline: it may be truncated, such as ``OFFLINE h1`` of ``OFFLINE h12``."""
        self.eof_seen = True
        if not self.is_answered:
            self.answer("error the line has no end")
        return not self.answer_written

    def answer(self, text: str) -> None:
        """Send one line and half-close.

        Reading goes on until the client has closed: closing with bytes unread would reset the connection, and
        the answer would be lost.
        """
        self.is_answered = True
        self.control.count_answer(text)
        if not self.transport.is_closing():
            self.transport.write(text.encode() + b"\n")
            self.answer_written = True
            if self.eof_seen:
                self.transport.close()
                return
            self.transport.write_eof()
            self._set_close_timer(LINGER_TIMEOUT)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection."""
        self.close_timer.cancel()
        self.control.connections.pop(self, None)


class OtherProcess(Protocol):
    """The predecessor or successor of an upgrade, to which operators' commands are forwarded."""

    async def forward(self, line: bytes) -> str:
        """Have it execute a command; return its answer."""


class Control:
    """Listens for operators' commands, which are idempotent, and executes them.

    They are executed at once, except during a handover.
    """

    def __init__(self, driver: Driver, clients: Clients) -> None:
        self.driver, self.clients, self.loop = driver, clients, driver.loop
        self.connections: dict[ControlConnection, None] = {}  # oldest first
        self.server: asyncio.Server | None = None
        self.predecessor: OtherProcess | None = None  # if this process has taken over from one
        self.handover_server: OtherProcess | None = None  # forwards to the successor
        self.members: Members | None = None
        self.takeover_ended = asyncio.Event()  # cleared while a predecessor decides
        self.takeover_ended.set()
        self.command_waits = asyncio.Event()  # for the end of the takeover

    async def listen(self, address: Address) -> None:
        """Start listening; raise OSError if that fails."""
        self.server = await self.loop.create_server(
            lambda: ControlConnection(self), *address, backlog=CONNECTIONS_MAX
        )

    def connection_opened(self, connection: ControlConnection) -> None:
        """Register a connection; beyond CONNECTIONS_MAX the oldest is closed, never the new one."""
        if len(self.connections) >= CONNECTIONS_MAX:
            oldest = next(iter(self.connections))
            del self.connections[oldest]  # not left to connection_lost: more may connect before it
            self.driver.stats["control_evicted"] += 1
            oldest.transport.abort()
        self.connections[connection] = None

    def count_answer(self, answer: str) -> None:
        """Count the answer by its first word."""
        self.driver.stats["control_" + answer.split(" ", 1)[0]] += 1

    def health_warnings(self) -> str:
        """Return warnings of the membership protocol about this process, as a suffix of an answer, or ''."""
        warnings = self.members.health_warnings() if self.members else ()
        return f", but {', '.join(warnings)}" if warnings else ""

    async def execute(self, line: bytes) -> str:
        """Execute one command and return its answer.

        During a handover, commands wait until it is over; they are then executed by the successor or, if it
        failed, by this process. A process that is to take over executes none before, as its predecessor still
        decides, and its state would overwrite what they change. HEALTH is neither delayed nor forwarded: it
        reports on this process alone.
        """
        line = line.removesuffix(b"\r")
        if line == b"HEALTH":
            not_ready_reason = self.driver.readiness.not_ready_reason
            return f"error {not_ready_reason}" if not_ready_reason else f"done ready{self.health_warnings()}"
        if not self.takeover_ended.is_set():
            self.command_waits.set()
            await self.takeover_ended.wait()
        while self.driver.frozen:  # during the handover neither process can apply changes
            await asyncio.sleep(HANDOVER_POLL_INTERVAL)
        if self.driver.readiness.handed_over:
            return await self.handover_server.forward(line)
        return await self.execute_locally(line)

    async def execute_locally(self, line: bytes) -> str:
        """Execute one command in this process."""
        match line.split(b" "):
            case [b"LEAVE"]:
                log.info("control_call", call="leave")
                self.clients.drain.order()
                await self._forward_to_predecessor(line)  # it still has connections
                return "done draining"
            case [b"JOIN"]:
                log.info("control_call", call="join")
                answer = self.clients.drain.cancel()
                await self._forward_to_predecessor(line)
                return answer
            case [b"MEMBERS"]:
                if not self.members:
                    return "error no membership: fleet.cluster is not set"
                return f"done {json.dumps(self.members.table(), separators=(',', ':'))}"
            case [b"OFFLINE" | b"ONLINE" as verb, server]:
                if not self.driver.ban(server, verb == b"OFFLINE"):
                    return "error no such host was ever listed"
                log.info("control_call", call=verb.decode().lower(), host=server)
                await self._forward_to_predecessor(line)  # it still finishes requests of its own
                return "done out" if verb == b"OFFLINE" else "done back"
            case _:
                return "error no such call"

    async def _forward_to_predecessor(self, line: bytes) -> None:
        if self.predecessor:
            await self.predecessor.forward(line)
