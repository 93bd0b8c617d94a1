"""Upgrade without downtime: the serving process hands over to its successor.

The handover runs over a Unix socket in ``$TMPDIR``, on which the predecessor listens
(``handover_server.HandoverServer``). The successor, started with the same addresses, connects
(``connect_to_predecessor``) and takes over (``Predecessor``). From the transfer of the state until the
successor confirms with ``serving``, neither process makes decisions, so that the counts always have one
owner. Afterwards the predecessor relays the requests that it still receives, reports the outcomes of its
attempts, and ends. If anything fails before ``serving``, the predecessor goes on serving and the successor
starts without its state.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ops import logs
from orchidlane import handover
from orchidlane import interface as api

from .calls import Call, Terms
from .config import Config, HostEntry, HostList
from .driver import REPLY_MARGIN, Driver
from .handover_channel import (
    CHANNEL_ERRORS,
    CONNECT_TIMEOUT,
    FREEZE_TIMEOUT,
    VERSION,
    Channel,
    ExecuteCommand,
    forward_command,
    short_path,
)
from .stats import resident_bytes
from .waiting import wait_for_any

log = logs.get_logger(__name__)

DISCOVERY_TIMEOUT = 1.0  # seconds to wait for discovery's list before the predecessor's is used


def _predecessor_request_id(number: int) -> int:
    """Map the predecessor's request number to one distinct from our own numbers.

    Numbers that the predecessor itself took over from its own predecessor (negative ones) stay distinct, too.
    """
    return -2 * number - 1 if number > 0 else 2 * number


def _optional_seconds(value: object) -> float | None:
    """Check a duration; None stands for none, as in messages of earlier versions."""
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("not a duration")
    return float(value)


def _host_entry(row: list[Any]) -> HostEntry:
    server, phase, zone, cell, launched, size, host, port = row
    entry = api.ServerEntry(
        server.encode("latin-1"), api.Phase[phase], int(zone), int(cell), int(launched), float(size)
    )
    return HostEntry(entry, (str(host), int(port)))


def connect_to_predecessor(socket_path: Path | None, config: Config) -> Predecessor | None:
    """Connect to the process that serves the configured addresses; return None if none answers.

    Called before anything else is started.
    """
    if socket_path is None or not socket_path.exists():
        return None
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(CONNECT_TIMEOUT)
    try:
        directory = os.open(socket_path.parent, os.O_PATH)
        try:
            sock.connect(short_path(socket_path, directory))
        finally:
            os.close(directory)
        sock.sendall(json.dumps({"version": VERSION, "listen": list(config.listen)}).encode() + b"\n")
        marker, descriptors, _, _ = socket.recv_fds(sock, 1, 2)
        if marker != b"\0" or not descriptors:
            raise EOFError("predecessor passed no listening socket")
        return Predecessor(sock, [socket.socket(fileno=number) for number in descriptors], config)
    except (OSError, EOFError) as error:
        log.warning("takeover_refused", error=error)
        sock.close()
        return None


class Predecessor:
    """The successor's side: the sockets passed by the predecessor, and its later messages."""

    def __init__(self, sock: socket.socket, sockets: list[socket.socket], config: Config) -> None:
        self.sock, self.config = sock, config
        sockets_by_address = {s.getsockname(): s for s in sockets}
        self.listener = sockets_by_address.get(config.listen)
        self.peer_socket = sockets_by_address.get(config.peer_listen)
        for other in sockets:
            if other not in (self.listener, self.peer_socket):
                other.close()
        self.channel: Channel | None = None
        self.driver: Driver | None = None
        self.attempts_out: dict[tuple[int, int], bytes] = {}  # hosts of the predecessor's open attempts
        self.relayed: dict[int, Call] = {}  # by the predecessor's request number
        self.pending_commands: dict[int, asyncio.Future[str]] = {}
        self.tasks: list[asyncio.Task] = []
        self.drain_ordered_s: float | None = None  # seconds since an operator ordered a drain there
        # Called with the client and host connections that the predecessor still has, and its resident bytes.
        self.on_usage: Callable[[int, int, int], None] = lambda clients, hosts, memory: None
        self.execute_command: ExecuteCommand | None = None  # for commands that the predecessor forwards

    async def take_over(
        self, driver: Driver, host_list_synchronized: asyncio.Event, command_waits: asyncio.Event
    ) -> bool:
        """Take over the state, after discovery's first list or DISCOVERY_TIMEOUT.

        A command of an operator ends the wait, as it is executed only after the takeover. Return False if
        that failed: this process then starts without the predecessor's state.
        """
        self.driver = driver
        try:
            self.channel = await Channel.from_socket(self.sock)
            await wait_for_any((host_list_synchronized, command_waits), DISCOVERY_TIMEOUT)
            self.channel.send(take=True)
            async with asyncio.timeout(FREEZE_TIMEOUT):
                state, rows, attempts_out, executed_ids = await self._receive_state()
            hosts = tuple(map(_host_entry, state["hosts"]))
            restored = handover.decode(driver.gateway, state["state"], rows)
            driver.clock.base = int(state["clock"])
            self.drain_ordered_s = _optional_seconds(state.get("drain_ordered_s"))
            if not host_list_synchronized.is_set():
                driver.apply_host_list(HostList(0, True, hosts))
            restored.apply_to(driver.gateway)
            driver.repeat_guard.remember(executed_ids)
            for row in attempts_out:
                self._attempt_started(row)
            # Written directly, not through the transport: the confirmation is sent at once or not at all.
            self.sock.send(json.dumps({"serving": True}).encode() + b"\n")
        except (TimeoutError, *CHANNEL_ERRORS) as error:
            log.warning("takeover_failed", error=error)
            self._predecessor_lost()
            if self.channel:
                self.channel.writer.transport.abort()
                self.channel = None
            self.sock.close()
            return False
        log.info("takeover_done", customers=len(rows), attempts_out=len(attempts_out))
        return True

    async def _receive_state(self) -> tuple[dict[str, Any], list[Any], list[Any], list[bytes]]:
        state, rows, attempts_out, executed_ids = await self.channel.receive(), [], [], []
        while "end" not in (message := await self.channel.receive()):
            rows += message.get("rows", [])
            if "began" in message:
                attempts_out.append(message["began"])
            executed_ids += [text.encode("latin-1") for text in message.get("executed", [])]
        return state, rows, attempts_out, executed_ids

    def start_receiving(self, execute_command: ExecuteCommand) -> None:
        """Handle the predecessor's messages from now on, until it ends."""
        self.execute_command = execute_command
        # Assumed until its first message with the actual numbers.
        self.on_usage(self.config.sockets // 6, self.config.sockets // 3, resident_bytes())
        self.tasks.append(self.driver.loop.create_task(self._receive_messages()))

    async def _receive_messages(self) -> None:
        try:
            while True:
                self._handle_message(await self.channel.receive())
        except CHANNEL_ERRORS as error:
            log.info("elder_ended", error=error)
        self.channel.writer.close()
        self.channel = None
        self._predecessor_lost()
        self.on_usage(0, 0, 0)

    def _handle_message(self, message: dict[str, Any]) -> None:
        """Handle a message of the predecessor.

        ``arrived``: it relays a request; ``gone``: the client of one has gone; ``began`` and ``ended``: its
        own attempts; ``peer``: a datagram from another gateway; ``sockets``: its numbers of client and
        host connections, and its memory; ``call``: a command from an operator; ``said``: the answer to one
        that we forwarded.
        """
        match message:
            case {"arrived": int(number), "terms": terms, "parts": parts}:
                customer, kind, plan, time_left, units, set_size, set_first, is_repeat = terms
                timeout = int(time_left) + REPLY_MARGIN  # already subtracted; accept_request does it again
                request_terms = Terms(customer, kind, plan, timeout, units, set_size, set_first, is_repeat)
                request_parts = tuple(part.encode("latin-1") for part in parts)
                call = self.driver.accept_request(
                    request_terms, request_parts, lambda reply: self._send_reply(number, reply)
                )
                if not call.finished:
                    self.relayed[number] = call
            case {"gone": int(number)} if number in self.relayed:
                self.driver.client_gone(self.relayed.pop(number))
            case {"began": began}:
                self._attempt_started(began)
            case {"ended": [number, attempt, server, outcome, duration]}:
                self._attempt_ended(
                    _predecessor_request_id(number),
                    attempt,
                    server.encode("latin-1"),
                    api.Outcome[outcome],
                    duration,
                )
            case {"peer": int(rank), "body": str(body)}:
                self.driver.peer_message_received(rank, body.encode("latin-1"))
            case {"sockets": [int(clients), int(hosts)]}:
                memory = message.get("memory")  # absent in messages of earlier versions
                self.on_usage(clients, hosts, memory if isinstance(memory, int) else resident_bytes())
            case {"call": int(number), "line": str(line)}:
                self.tasks.append(self.driver.loop.create_task(self._execute_and_answer(number, line)))
            case {"said": int(number), "text": str(text)} if number in self.pending_commands:
                self.pending_commands.pop(number).set_result(text)

    async def _execute_and_answer(self, number: int, line: str) -> None:
        text = await self.execute_command(line.encode("latin-1"))
        if self.channel:
            self.channel.send(said=number, text=text)

    def _send_reply(self, number: int, reply: bytes) -> None:
        self.relayed.pop(number, None)
        if self.channel:
            self.channel.send(answer=number, reply=reply.decode("latin-1"))

    def _attempt_started(self, row: list[Any]) -> None:
        number, customer, plan, kind, units, set_first, set_size, attempt, server, sent = row
        server = server.encode("latin-1")
        self.attempts_out[_predecessor_request_id(number), attempt] = server
        arrived = api.RequestArrived(
            _predecessor_request_id(number), customer, plan, kind, units, 0, set_first, set_size, False
        )
        self.driver.feed(api.AttemptElsewhere(arrived, attempt, server, sent))

    def _attempt_ended(
        self, number: int, attempt: int, server: bytes, outcome: api.Outcome, duration: int
    ) -> None:
        self.attempts_out.pop((number, attempt), None)
        self.driver.feed(api.AttemptEnded(number, attempt, server, outcome, duration, True, 0, 0.0, ()))

    def _predecessor_lost(self) -> None:
        """Cancel the predecessor's open attempts, and drop the requests that it relayed."""
        for (number, attempt), server in list(self.attempts_out.items()):
            self._attempt_ended(number, attempt, server, api.Outcome.CANCELLED, 0)
        for call in self.relayed.values():
            self.driver.client_gone(call)
        self.relayed.clear()

    async def forward(self, line: bytes) -> str:
        """Forward an operator's command to the predecessor; return its answer, ``done`` if it has ended."""
        return await forward_command(self.channel, self.pending_commands, line) if self.channel else "done"
