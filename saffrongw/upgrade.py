"""Upgrade without downtime: the serving process hands over to its successor.

The handover runs over a Unix socket in ``$TMPDIR``, on which the predecessor listens (``HandoverServer``).
The successor, started with the same addresses, connects (``connect_to_predecessor``) and takes over
(``Predecessor``). From the transfer of the state until the successor confirms with ``serving``, neither
process makes decisions, so that the counts always have one owner. Afterwards the predecessor relays the
requests that it still receives, reports the outcomes of its attempts, and ends. If anything fails before
``serving``, the predecessor goes on serving and the successor starts without its state.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Awaitable, Callable
from itertools import islice
from pathlib import Path
from typing import Any

from ops import logs
from orchidlane import handover
from orchidlane import interface as api

from .calls import Call, Terms
from .clients import Clients
from .config import Address, Config, HostEntry, HostList
from .driver import FAILED_REPLY, REPLY_MARGIN, Driver
from .peers import Peers

log = logs.get_logger(__name__)

VERSION = 1  # of the messages between the two processes
MESSAGE_BYTES_MAX = 2 * 1024 * 1024  # fits a request with the largest body, or one batch of accounts
ACCOUNTS_PER_MESSAGE = 200  # the event loop runs between two batches
CONNECT_TIMEOUT = 1.0  # seconds for the first message: a hung process is not waited for
STATE_REQUEST_TIMEOUT = 6.0  # seconds from connecting to the request for the state: the successor starts up
FREEZE_TIMEOUT = 1.5  # seconds for which all decisions may be suspended
DISCOVERY_TIMEOUT = 1.0  # seconds to wait for discovery's list before the predecessor's is used
POLL_INTERVAL = 0.1  # seconds between two checks of the connections that the predecessor still has
CONTROL_COMMAND_TIMEOUT = 0.5  # seconds for the other process to execute an operator's command

ExecuteCommand = Callable[[bytes], Awaitable[str]]  # executes an operator's command and returns its answer

# Raised by the channel and by malformed messages.
CHANNEL_ERRORS = (
    OSError,
    EOFError,
    asyncio.LimitOverrunError,
    RecursionError,
    *handover.INVALID_STATE_ERRORS,
)


def handover_socket_path(config: Config) -> Path | None:
    """Return the path of the handover socket for the configured address; None if TMPDIR is not set."""
    directory = os.environ.get("TMPDIR")
    return Path(directory) / "saffrongw-{}-{}.sock".format(*config.listen) if directory else None


def _short_path(socket_path: Path, directory: int) -> str:
    """Return the path through its directory's descriptor: a Unix socket path is limited to 107 bytes."""
    return f"/proc/self/fd/{directory}/{socket_path.name}"


def _predecessor_request_id(number: int) -> int:
    """Map the predecessor's request number to one distinct from our own numbers.

    Numbers that the predecessor itself took over from its own predecessor (negative ones) stay distinct, too.
    """
    return -2 * number - 1 if number > 0 else 2 * number


class Channel:
    """Messages between the two processes: JSON objects, one per line, told apart by their keys.

    From the successor:

        version, listen          greeting; answered by a NUL byte that carries the listening sockets
        take                     request for the state
        serving                  confirmation that it has taken over
        answer, reply            answer to a relayed request

    From the predecessor:

        state, hosts, clock      the state, followed by rows (accounts), began (open attempts) and end
        arrived, terms, parts    a relayed request
        gone                     the client of a relayed request has gone
        began                    an attempt has started
        ended                    an attempt's outcome
        peer, body               a datagram of another gateway
        sockets                  numbers of its remaining connections with clients and hosts

    From either:

        call, line               an operator's command to execute
        said, text               the answer to one
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def from_socket(cls, sock: socket.socket) -> Channel:
        """Open a channel over a connected socket."""
        sock.setblocking(False)
        return cls(*await asyncio.open_unix_connection(sock=sock, limit=MESSAGE_BYTES_MAX))

    def send(self, **message: Any) -> None:
        """Write one message."""
        if not self.writer.is_closing():
            self.writer.write(json.dumps(message).encode() + b"\n")

    async def receive(self) -> dict[str, Any]:
        """Return the next message; raise one of CHANNEL_ERRORS. Safe to cancel: no data is lost."""
        message = json.loads(await self.reader.readuntil(b"\n"), parse_constant=_reject_constant)
        if not isinstance(message, dict):
            raise ValueError("message is not a JSON object")
        return message


def _reject_constant(text: str) -> None:
    raise ValueError(f"non-finite number in message: {text}")


# -- the predecessor -----------------------------------------------------------------------------------


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
                self.sock.bind(_short_path(temporary_path, directory))
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
        channel.send(state=handover.encode_state(gateway), hosts=host_rows, clock=self.driver.clock.base)
        rows = handover.encode_accounts(gateway)
        while batch := list(islice(rows, ACCOUNTS_PER_MESSAGE)):
            channel.send(rows=batch)
            await channel.writer.drain()
        for event in handover.open_attempt_events(gateway):
            channel.send(began=_attempt_row(event))
        channel.send(end=True)

    # -- after the handover; the driver's interface to the successor

    def _start_draining(self) -> None:
        log.info("handover_done", requests_left=len(self.driver.calls))
        self.driver.readiness.handed_over = True
        self.clients.drain.hand_over()
        self.driver.hosts.close_idle()
        self.tasks += [self.loop.create_task(self._receive_messages()), self.loop.create_task(self._drain())]

    async def _drain(self) -> None:
        while not self.clients.is_finished:
            for client in list(self.clients.open):
                client.close_if_idle()
            client_connections = len(self.clients.open) + len(self.clients.half_closed)
            self.channel.send(sockets=[client_connections, self.driver.hosts.connection_count])
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


async def forward_command(
    channel: Channel, pending_commands: dict[int, asyncio.Future[str]], line: bytes
) -> str:
    """Have the other process execute an operator's command; return its answer, or an error on timeout."""
    number = max(pending_commands, default=0) + 1
    pending_commands[number] = asyncio.get_running_loop().create_future()
    channel.send(call=number, line=line.decode("latin-1"))
    try:
        async with asyncio.timeout(CONTROL_COMMAND_TIMEOUT):
            return await pending_commands[number]
    except TimeoutError:
        return "error the other process does not answer"
    finally:
        pending_commands.pop(number, None)


def _host_row(entry: api.ServerEntry, address: Address) -> list[Any]:
    server, phase = entry.server.decode("latin-1"), entry.phase.name
    return [server, phase, entry.zone, entry.cell, entry.launched, entry.size, *address]


def _host_entry(row: list[Any]) -> HostEntry:
    server, phase, zone, cell, launched, size, host, port = row
    entry = api.ServerEntry(
        server.encode("latin-1"), api.Phase[phase], int(zone), int(cell), int(launched), float(size)
    )
    return HostEntry(entry, (str(host), int(port)))


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


# -- the successor ---------------------------------------------------------------------------------------


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
            sock.connect(_short_path(socket_path, directory))
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
        # Called with the numbers of client and host connections that the predecessor still has.
        self.on_connection_counts: Callable[[int, int], None] = lambda clients, hosts: None
        self.execute_command: ExecuteCommand | None = None  # for commands that the predecessor forwards

    async def take_over(self, driver: Driver, host_list_synchronized: asyncio.Event) -> bool:
        """Take over the state, after discovery's first list or DISCOVERY_TIMEOUT.

        Return False if that failed: this process then starts without the predecessor's state.
        """
        self.driver = driver
        try:
            self.channel = await Channel.from_socket(self.sock)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISCOVERY_TIMEOUT):
                    await host_list_synchronized.wait()
            self.channel.send(take=True)
            async with asyncio.timeout(FREEZE_TIMEOUT):
                state, rows, attempts_out = await self._receive_state()
            hosts = tuple(map(_host_entry, state["hosts"]))
            restored = handover.decode(driver.gateway, state["state"], rows)
            driver.clock.base = int(state["clock"])
            if not host_list_synchronized.is_set():
                driver.apply_host_list(HostList(0, True, hosts))
            restored.apply_to(driver.gateway)
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

    async def _receive_state(self) -> tuple[dict[str, Any], list[Any], list[Any]]:
        state, rows, attempts_out = await self.channel.receive(), [], []
        while "end" not in (message := await self.channel.receive()):
            rows += message.get("rows", [])
            if "began" in message:
                attempts_out.append(message["began"])
        return state, rows, attempts_out

    def start_receiving(self, execute_command: ExecuteCommand) -> None:
        """Handle the predecessor's messages from now on, until it ends."""
        self.execute_command = execute_command
        # Assumed until its first message with the actual numbers.
        self.on_connection_counts(self.config.sockets // 6, self.config.sockets // 3)
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
        self.on_connection_counts(0, 0)

    def _handle_message(self, message: dict[str, Any]) -> None:
        """Handle a message of the predecessor.

        ``arrived``: it relays a request; ``gone``: the client of one has gone; ``began`` and ``ended``: its
        own attempts; ``peer``: a datagram from another gateway; ``sockets``: its numbers of client and
        host connections; ``call``: a command from an operator; ``said``: the answer to one that we forwarded.
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
                self.on_connection_counts(clients, hosts)
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
