"""The predecessor's side of an upgrade: waits for a successor, hands over, and finishes its open requests."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from itertools import islice
from pathlib import Path
from typing import Any

from ops import logs
from orchidlane import handover
from orchidlane import interface as api

from .calls import Call
from .clients import Clients
from .config import Address
from .driver import FAILED_REPLY, Driver
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
from .peers import Peers
from .stats import resident_bytes

log = logs.get_logger(__name__)

ACCOUNTS_PER_MESSAGE = 200  # the event loop runs between two batches
IDS_PER_MESSAGE = 1_000
STATE_REQUEST_TIMEOUT = 6.0  # seconds from connecting to the request for the state: the successor starts up
POLL_INTERVAL = 0.1  # seconds between two checks of the connections that the predecessor still has


def _host_row(entry: api.ServerEntry, address: Address) -> list[Any]:
    server, phase = entry.server.decode("latin-1"), entry.phase.name
    return [server, phase, entry.zone, entry.cell, entry.launched, entry.size, *address]


def _attempt_row(event: api.AttemptElsewhere) -> list[Any]:
    arrived, server = event.arrived, event.server.decode("latin-1")
    request_fields = [
        arrived.request,
        arrived.customer,
        arrived.plan,
        arrived.kind,
        arrived.units,
        arrived.set_first,
        arrived.set_size,
    ]
    return [*request_fields, event.attempt, server, event.sent]


class HandoverServer:
    """The predecessor's side: waits for a successor, hands over once, and finishes its open requests."""

    def __init__(
        self,
        driver: Driver,
        clients: Clients,
        peers: Peers | None,
        execute_command: ExecuteCommand,
        stop: asyncio.Event,
    ) -> None:
        self.driver = driver
        self.clients = clients
        self.peers = peers
        self.execute_command = execute_command
        self.loop = driver.loop
        self.stop = stop
        self.sock: socket.socket | None = None
        self.channel: Channel | None = None  # to the successor, once it has taken over
        self.successor_ended = False
        self.pending_commands: dict[int, asyncio.Future[str]] = {}
        self.tasks: list[asyncio.Task] = []

    def listen(self, socket_path: Path | None) -> None:
        """Start listening for a successor, replacing the socket of any earlier process.

        The socket is bound under a temporary name and renamed once it listens.
        """
        if socket_path is None:
            return
        temporary_path = socket_path.with_suffix(f".{os.getpid()}")
        try:
            directory = os.open(socket_path.parent, os.O_PATH)
            try:
                temporary_path.unlink(missing_ok=True)
                self.sock = socket.socket(socket.AF_UNIX)
                self.sock.setblocking(False)
                self.sock.bind(short_path(temporary_path, directory))
                temporary_path.chmod(0o600)
                self.sock.listen(2)
                temporary_path.rename(socket_path)
            finally:
                os.close(directory)
        except OSError as error:
            log.error("handover_unavailable", error=error)
            return
        self.tasks.append(self.loop.create_task(self._accept_successor()))

    async def _accept_successor(self) -> None:
        while self.channel is None:
            sock, _ = await self.loop.sock_accept(self.sock)
            try:
                await self._hand_over(sock)
            except (TimeoutError, *CHANNEL_ERRORS) as error:
                log.warning("handover_failed", error=error)
                sock.close()
        self.sock.close()
        self._start_draining()

    async def _hand_over(self, sock: socket.socket) -> None:
        channel = await Channel.from_socket(sock)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                greeting = await channel.receive()
            if greeting.get("version") != VERSION or greeting.get("listen") != list(
                self.clients.config.listen
            ):
                raise ValueError(f"successor has another version or listen address: {greeting}")
            descriptors = [self.clients.server.sockets[0].fileno()]
            if self.peers:
                descriptors.append(self.peers.fileno())
            socket.send_fds(sock, [b"\0"], descriptors)
            async with asyncio.timeout(STATE_REQUEST_TIMEOUT):
                if not (await channel.receive()).get("take"):
                    raise ValueError("successor did not request the state")
            await self._transfer_ownership(channel, sock)
        except BaseException:
            channel.writer.transport.abort()
            raise

    async def _transfer_ownership(self, channel: Channel, sock: socket.socket) -> None:
        """Send the state and wait for ``serving``. Exactly one of the processes goes on, whatever is lost."""
        self.driver.freeze()
        taken_over = False
        peer_socket = self.peers.detach_socket() if self.peers else None
        try:
            async with asyncio.timeout(FREEZE_TIMEOUT):
                await self._send_state(channel)
                taken_over = (await channel.receive()).get("serving") is True
        except TimeoutError:
            # The successor can't confirm any more from here on; it may have done so just before.
            sock.shutdown(socket.SHUT_RD)
            taken_over = (await channel.receive()).get("serving") is True
        finally:
            if taken_over:
                if peer_socket:
                    peer_socket.close()
                self.channel = channel
                self.driver.hand_over(self)
            else:
                if peer_socket:
                    await self.peers.listen(peer_socket)
                self.driver.thaw()

    async def _send_state(self, channel: Channel) -> None:
        gateway, pools = self.driver.gateway, self.driver.hosts.pools
        host_rows = [_host_row(host.entry, pools[server].address) for server, host in gateway.hosts.items()]
        channel.send(
            state=handover.encode_state(gateway),
            hosts=host_rows,
            clock=self.driver.clock.base,
            drain_ordered_s=self.clients.drain.seconds_since_order,
        )
        rows = handover.encode_accounts(gateway)
        while batch := list(islice(rows, ACCOUNTS_PER_MESSAGE)):
            channel.send(rows=batch)
            await channel.writer.drain()
        for event in handover.open_attempt_events(gateway):
            channel.send(began=_attempt_row(event))
        executed_ids = iter(self.driver.repeat_guard.ids_for_successor())
        while ids := list(islice(executed_ids, IDS_PER_MESSAGE)):
            channel.send(executed=[request_id.decode("latin-1") for request_id in ids])
            await channel.writer.drain()
        channel.send(end=True)

    # -- after the handover; the driver's interface to the successor

    def _start_draining(self) -> None:
        log.info("handover_done", requests_left=len(self.driver.calls))
        self.driver.readiness.handed_over = True
        self.clients.budget.set_other_process(self.clients.budget.own_bytes)
        self.clients.drain.hand_over()
        self.clients.check_gone_clients()
        self.driver.hosts.close_idle()
        self.tasks += [self.loop.create_task(self._receive_messages()), self.loop.create_task(self._drain())]

    async def _drain(self) -> None:
        while not self.clients.is_finished:
            for client in list(self.clients.open):
                client.close_if_idle()
            client_connections = len(self.clients.open) + len(self.clients.half_closed)
            counts = [client_connections, self.driver.hosts.connection_count]
            self.channel.send(sockets=counts, memory=resident_bytes())
            await asyncio.sleep(POLL_INTERVAL)
        log.info("handover_finished")
        self.channel.writer.close()
        with contextlib.suppress(OSError):
            await self.channel.writer.wait_closed()
        self.stop.set()

    async def _receive_messages(self) -> None:
        try:
            while True:
                match await self.channel.receive():
                    case {"answer": int(number), "reply": str(reply)}:
                        self.driver.answer_relayed(number, reply.encode("latin-1"))
                    case {"said": int(number), "text": str(text)} if number in self.pending_commands:
                        self.pending_commands.pop(number).set_result(text)
                    case {"call": int(number), "line": str(line)}:
                        self.tasks.append(self.loop.create_task(self._execute_and_answer(number, line)))
        except CHANNEL_ERRORS:
            self.successor_ended = True
            for call in list(self.driver.calls.values()):
                self.driver.answer_relayed(call.event.request, FAILED_REPLY)

    async def _execute_and_answer(self, number: int, line: str) -> None:
        self.channel.send(said=number, text=await self.execute_command(line.encode("latin-1")))

    def forward_request(self, call: Call) -> None:
        """Relay a request that this process has read: the successor decides on it."""
        if self.successor_ended:  # nothing of the request was sent to a host: safe to repeat elsewhere
            self.driver.answer_relayed(call.event.request, b"-BUSY\r\n")
            return
        event = call.event
        time_left = call.deadline - self.driver.clock()
        terms = [
            event.customer,
            event.kind,
            event.plan,
            time_left,
            event.units,
            event.set_size,
            event.set_first,
        ]
        parts = [part.decode("latin-1") for part in call.parts]
        self.channel.send(arrived=event.request, terms=[*terms, event.is_repeat], parts=parts)

    def client_gone(self, call: Call) -> None:
        """Notify the successor that the client of a relayed request has gone."""
        self.channel.send(gone=call.event.request)

    def forward_event(self, event: api.AttemptElsewhere | api.AttemptEnded | api.PeerMessage) -> None:
        """Forward an event that the successor needs for its counts, statistics or gossip."""
        if isinstance(event, api.AttemptElsewhere):
            self.channel.send(began=_attempt_row(event))
        elif isinstance(event, api.AttemptEnded):
            server, outcome = event.server.decode("latin-1"), event.outcome.name
            self.channel.send(ended=[event.request, event.attempt, server, outcome, event.duration])
        else:
            self.channel.send(peer=event.sender, body=event.body.decode("latin-1"))

    async def forward(self, line: bytes) -> str:
        """Forward an operator's command to the successor and return its answer."""
        return await forward_command(self.channel, self.pending_commands, line)
