"""An upgrade: the process that serves hands over to the next one, through a Unix socket in ``$TMPDIR``.

The predecessor serves the socket (``Seat``); the next one, started with the same addresses, calls there
(``find``) and takes over (``Predecessor``). Between the state and the word *serving* nobody decides, so that
the counts have one owner at any time. After it the predecessor relays what it is still asked, tells what
becomes of its attempts, and ends. Whatever goes wrong before the word leaves it serving; the next one then
starts alone.
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

log = logs.get(__name__)

VERSION = 1
MESSAGE_BYTES_MAX = 2 * 1024 * 1024  # bytes of a message: a request's largest body, or some rows
ACCOUNTS_PER_MESSAGE = 200  # accounts in a message: the loop goes on between two of them
CONNECT_TIMEOUT = 1.0  # seconds for the first answer: who hangs is not waited for
STATE_REQUEST_TIMEOUT = 6.0  # seconds from the first call to that for the state: a process starts meanwhile
FREEZE_TIMEOUT = 1.5  # seconds that all decisions may wait for the next process
DISCOVERY_TIMEOUT = 1.0  # seconds for discovery's list, before the predecessor's is taken
POLL_INTERVAL = 0.1  # seconds between two looks at what the predecessor still holds
CONTROL_CALL_TIMEOUT = 0.5  # seconds for the other process to carry out an operator's call

CarryOut = Callable[[bytes], Awaitable[str]]  # an operator's call, to the line that answers it

# What a message of the other process may raise, as well as the channel itself.
BROKEN = (OSError, EOFError, asyncio.LimitOverrunError, RecursionError, *handover.WRONG)


def path(config: Config) -> Path | None:
    """Where the process that serves these addresses is called; None: nowhere."""
    folder = os.environ.get("TMPDIR")
    return Path(folder) / "saffrongw-{}-{}.sock".format(*config.listen) if folder else None


def _short(where: Path, folder: int) -> str:
    """The same place, for a call that takes 107 bytes at most: through its folder's descriptor."""
    return f"/proc/self/fd/{folder}/{where.name}"


def _elder(number: int) -> int:
    """Another process's number of a request, apart from our own and from those that it took over itself."""
    return -2 * number - 1 if number > 0 else 2 * number


class Channel:
    """Messages to the other process and back: JSON, a line each."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def over(cls, sock: socket.socket) -> Channel:
        """A connected socket's."""
        sock.setblocking(False)
        return cls(*await asyncio.open_unix_connection(sock=sock, limit=MESSAGE_BYTES_MAX))

    def send(self, **message: Any) -> None:
        """Write one message."""
        if not self.writer.is_closing():
            self.writer.write(json.dumps(message).encode() + b"\n")

    async def receive(self) -> dict[str, Any]:
        """The next message, or one of BROKEN is raised. Nothing is lost where it is cancelled."""
        message = json.loads(await self.reader.readuntil(b"\n"), parse_constant=_no_number)
        if not isinstance(message, dict):
            raise ValueError("not a message")
        return message


def _no_number(text: str) -> None:
    raise ValueError(f"{text} is no number")


# -- the predecessor -----------------------------------------------------------------------------------


class Seat:
    """The predecessor's side: waits for the next process, hands over to it once, finishes what is left."""

    def __init__(
        self, driver: Driver, clients: Clients, peers: Peers | None, carry_out: CarryOut, stop: asyncio.Event
    ) -> None:
        self.driver, self.clients, self.peers, self.carry_out = driver, clients, peers, carry_out
        self.loop, self.stop = driver.loop, stop
        self.sock: socket.socket | None = None
        self.channel: Channel | None = None  # to the process that has taken over
        self.is_alone = False  # that one has ended
        self.asked: dict[int, asyncio.Future[str]] = {}
        self.tasks: list[asyncio.Task] = []

    def listen(self, where: Path | None) -> None:
        """Wait for the next process from now on, in the place of whoever was called there before."""
        if where is None:
            return
        own = where.with_suffix(f".{os.getpid()}")
        try:
            folder = os.open(where.parent, os.O_PATH)
            try:
                own.unlink(missing_ok=True)
                self.sock = socket.socket(socket.AF_UNIX)
                self.sock.setblocking(False)
                self.sock.bind(_short(own, folder))
                own.chmod(0o600)
                self.sock.listen(2)
                own.rename(where)
            finally:
                os.close(folder)
        except OSError as wrong:
            log.error("handover_unavailable", error=wrong)
            return
        self.tasks.append(self.loop.create_task(self._wait()))

    async def _wait(self) -> None:
        while self.channel is None:
            sock, _ = await self.loop.sock_accept(self.sock)
            try:
                await self._hand_over(sock)
            except (TimeoutError, *BROKEN) as wrong:
                log.warning("handover_failed", error=wrong)
                sock.close()
        self.sock.close()
        self._finish()

    async def _hand_over(self, sock: socket.socket) -> None:
        channel = await Channel.over(sock)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                called = await channel.receive()
            if called.get("version") != VERSION or called.get("listen") != list(self.clients.config.listen):
                raise ValueError(f"called by another version or gateway: {called}")
            descriptors = [self.clients.server.sockets[0].fileno()]
            if self.peers:
                descriptors.append(self.peers.fileno())
            socket.send_fds(sock, [b"\0"], descriptors)
            async with asyncio.timeout(STATE_REQUEST_TIMEOUT):
                if not (await channel.receive()).get("take"):
                    raise ValueError("the state is not asked for")
            await self._serve_on_unless(channel, sock)
        except BaseException:
            channel.writer.transport.abort()
            raise

    async def _serve_on_unless(self, channel: Channel, sock: socket.socket) -> None:
        """The state, and then the word. Only one of the two goes on, whatever is lost on the way."""
        self.driver.freeze()
        taken = False
        held = self.peers.leave() if self.peers else None
        try:
            async with asyncio.timeout(FREEZE_TIMEOUT):
                await self._tell_state(channel)
                taken = (await channel.receive()).get("serving") is True
        except TimeoutError:
            sock.shutdown(socket.SHUT_RD)  # from here on the word can't be written any more: is it there?
            taken = (await channel.receive()).get("serving") is True
        finally:
            if taken:
                if held:
                    held.close()
                self.channel = channel
                self.driver.hand_on(self)
            else:
                if held:
                    await self.peers.listen(held)
                self.driver.thaw()

    async def _tell_state(self, channel: Channel) -> None:
        gateway, pools = self.driver.gateway, self.driver.hosts.pools
        lines = [_line(host.entry, pools[server].address) for server, host in gateway.hosts.items()]
        channel.send(state=handover.head(gateway), hosts=lines, clock=self.driver.clock.base)
        rows = handover.accounts(gateway)
        while some := list(islice(rows, ACCOUNTS_PER_MESSAGE)):
            channel.send(rows=some)
            await channel.writer.drain()
        for event in handover.out(gateway):
            channel.send(began=_began(event))
        channel.send(end=True)

    # -- what is left to do, as the driver's successor

    def _finish(self) -> None:
        log.info("handover_done", requests_left=len(self.driver.calls))
        self.driver.readiness.handed_on = True
        self.clients.drain.hand_on()
        self.driver.hosts.close_idle()
        self.tasks += [self.loop.create_task(self._hear()), self.loop.create_task(self._finish_all())]

    async def _finish_all(self) -> None:
        while not self.clients.is_over:
            for client in list(self.clients.open):
                client.close_if_idle()
            held = len(self.clients.open) + len(self.clients.shut)
            self.channel.send(sockets=[held, self.driver.hosts.sockets])
            await asyncio.sleep(POLL_INTERVAL)
        log.info("handover_finished")
        self.channel.writer.close()
        with contextlib.suppress(OSError):
            await self.channel.writer.wait_closed()
        self.stop.set()

    async def _hear(self) -> None:
        try:
            while True:
                match await self.channel.receive():
                    case {"answer": int(number), "reply": str(reply)}:
                        self.driver.answered_elsewhere(number, reply.encode("latin-1"))
                    case {"said": int(number), "text": str(text)} if number in self.asked:
                        self.asked.pop(number).set_result(text)
                    case {"call": int(number), "line": str(line)}:
                        self.tasks.append(self.loop.create_task(self._say(number, line)))
        except BROKEN:
            self.is_alone = True
            for call in list(self.driver.calls.values()):
                self.driver.answered_elsewhere(call.event.request, FAILED_REPLY)

    async def _say(self, number: int, line: str) -> None:
        self.channel.send(said=number, text=await self.carry_out(line.encode("latin-1")))

    def arrived(self, call: Call) -> None:
        """A request that was read here: the next process decides on it."""
        if self.is_alone:  # nobody does any more, and nothing of it was sent
            self.driver.answered_elsewhere(call.event.request, b"-BUSY\r\n")
            return
        event, left = call.event, call.deadline - self.driver.clock()
        terms = [event.customer, event.kind, event.plan, left, event.units, event.set_size, event.set_first]
        parts = [part.decode("latin-1") for part in call.parts]
        self.channel.send(arrived=event.request, terms=[*terms, event.is_repeat], parts=parts)

    def client_gone(self, call: Call) -> None:
        """Nobody waits for its answer any more."""
        self.channel.send(gone=call.event.request)

    def told(self, event: api.AttemptElsewhere | api.AttemptEnded | api.PeerMessage) -> None:
        """What the next process counts, learns or merges."""
        if isinstance(event, api.AttemptElsewhere):
            self.channel.send(began=_began(event))
        elif isinstance(event, api.AttemptEnded):
            server, outcome = event.server.decode("latin-1"), event.outcome.name
            self.channel.send(ended=[event.request, event.attempt, server, outcome, event.duration])
        else:
            self.channel.send(peer=event.sender, body=event.body.decode("latin-1"))

    async def ask(self, line: bytes) -> str:
        """An operator called here; the next process carries it out."""
        return await ask(self.channel, self.asked, line)


async def ask(channel: Channel, asked: dict[int, asyncio.Future[str]], line: bytes) -> str:
    """Have the other process carry out an operator's call; what it said."""
    number = max(asked, default=0) + 1
    asked[number] = asyncio.get_running_loop().create_future()
    channel.send(call=number, line=line.decode("latin-1"))
    try:
        async with asyncio.timeout(CONTROL_CALL_TIMEOUT):
            return await asked[number]
    except TimeoutError:
        return "error the other process does not answer"
    finally:
        asked.pop(number, None)


def _line(entry: api.ServerEntry, address: Address) -> list[Any]:
    server, phase = entry.server.decode("latin-1"), entry.phase.name
    return [server, phase, entry.zone, entry.cell, entry.launched, entry.size, *address]


def _host(line: list[Any]) -> HostEntry:
    server, phase, zone, cell, launched, size, host, port = line
    entry = api.ServerEntry(
        server.encode("latin-1"), api.Phase[phase], int(zone), int(cell), int(launched), float(size)
    )
    return HostEntry(entry, (str(host), int(port)))


def _began(event: api.AttemptElsewhere) -> list[Any]:
    of, server = event.arrived, event.server.decode("latin-1")
    who = [of.request, of.customer, of.plan, of.kind, of.units, of.set_first, of.set_size]
    return [*who, event.attempt, server, event.sent]


# -- the next process ------------------------------------------------------------------------------------


def find(where: Path | None, config: Config) -> Predecessor | None:
    """The process that serves these addresses, if there is one that answers; called before all else."""
    if where is None or not where.exists():
        return None
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(CONNECT_TIMEOUT)
    try:
        folder = os.open(where.parent, os.O_PATH)
        try:
            sock.connect(_short(where, folder))
        finally:
            os.close(folder)
        sock.sendall(json.dumps({"version": VERSION, "listen": list(config.listen)}).encode() + b"\n")
        word, descriptors, _, _ = socket.recv_fds(sock, 1, 2)
        if word != b"\0" or not descriptors:
            raise EOFError("it hands nothing over")
        return Predecessor(sock, [socket.socket(fileno=number) for number in descriptors], config)
    except (OSError, EOFError) as wrong:
        log.warning("takeover_refused", error=wrong)
        sock.close()
        return None


class Predecessor:
    """The next process's side: what the predecessor gave, and what it still tells."""

    def __init__(self, sock: socket.socket, given: list[socket.socket], config: Config) -> None:
        self.sock, self.config = sock, config
        names = {s.getsockname(): s for s in given}
        self.listener = names.get(config.listen)
        self.peers = names.get(config.peer_listen)
        for other in given:
            if other not in (self.listener, self.peers):
                other.close()
        self.channel: Channel | None = None
        self.driver: Driver | None = None
        self.out: dict[tuple[int, int], bytes] = {}  # attempts that it has out, and where
        self.relayed: dict[int, Call] = {}
        self.asked: dict[int, asyncio.Future[str]] = {}
        self.tasks: list[asyncio.Task] = []
        self.share: Callable[[int, int], None] = lambda clients, hosts: None
        self.carry_out: CarryOut | None = None  # an operator's call, in this process

    async def take(self, driver: Driver, told: asyncio.Event) -> bool:
        """Take the state over, once discovery has told or had its time; False: we start alone."""
        self.driver = driver
        try:
            self.channel = await Channel.over(self.sock)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISCOVERY_TIMEOUT):
                    await told.wait()
            self.channel.send(take=True)
            async with asyncio.timeout(FREEZE_TIMEOUT):
                state, rows, out = await self._state()
            hosts = tuple(map(_host, state["hosts"]))
            remembered, base = handover.read(driver.gateway, state["state"], rows), int(state["clock"])
            driver.clock.base = base
            if not told.is_set():
                driver.listed(HostList(0, True, hosts))
            remembered.load(driver.gateway)
            for message in out:
                self._began(message)
            self.sock.send(json.dumps({"serving": True}).encode() + b"\n")  # at once or not at all
        except (TimeoutError, *BROKEN) as wrong:
            log.warning("takeover_failed", error=wrong)
            self._gone()
            if self.channel:
                self.channel.writer.transport.abort()
                self.channel = None
            self.sock.close()
            return False
        log.info("takeover_done", customers=len(rows), attempts_out=len(out))
        return True

    async def _state(self) -> tuple[dict[str, Any], list[Any], list[Any]]:
        state, rows, out = await self.channel.receive(), [], []
        while "end" not in (message := await self.channel.receive()):
            rows += message.get("rows", [])
            if "began" in message:
                out.append(message["began"])
        return state, rows, out

    def hear(self, carry_out: CarryOut) -> None:
        """From now on the predecessor is heard, until it ends."""
        self.carry_out = carry_out
        self.share(self.config.sockets // 6, self.config.sockets // 3)
        self.tasks.append(self.driver.loop.create_task(self._hear()))

    async def _hear(self) -> None:
        try:
            while True:
                self._carry_out(await self.channel.receive())
        except BROKEN as end:
            log.info("elder_ended", error=end)
        self.channel.writer.close()
        self.channel = None
        self._gone()
        self.share(0, 0)

    def _carry_out(self, message: dict[str, Any]) -> None:
        match message:
            case {"arrived": int(number), "terms": terms, "parts": parts}:
                customer, kind, plan, left, units, spread, first, is_repeat = terms
                wait = int(left) + REPLY_MARGIN
                of = Terms(customer, kind, plan, wait, units, spread, first, is_repeat)
                whole = tuple(part.encode("latin-1") for part in parts)
                call = self.driver.arrived(of, whole, lambda reply: self._answer(number, reply))
                if not call.finished:
                    self.relayed[number] = call
            case {"gone": int(number)} if number in self.relayed:
                self.driver.client_gone(self.relayed.pop(number))
            case {"began": began}:
                self._began(began)
            case {"ended": [number, attempt, server, outcome, took]}:
                self._ended(_elder(number), attempt, server.encode("latin-1"), api.Outcome[outcome], took)
            case {"peer": int(rank), "body": str(body)}:
                self.driver.peer_said(rank, body.encode("latin-1"))
            case {"sockets": [int(clients), int(hosts)]}:
                self.share(clients, hosts)
            case {"call": int(number), "line": str(line)}:
                self.tasks.append(self.driver.loop.create_task(self._say(number, line)))
            case {"said": int(number), "text": str(text)} if number in self.asked:
                self.asked.pop(number).set_result(text)

    async def _say(self, number: int, line: str) -> None:
        text = await self.carry_out(line.encode("latin-1"))
        if self.channel:
            self.channel.send(said=number, text=text)

    def _answer(self, number: int, reply: bytes) -> None:
        self.relayed.pop(number, None)
        if self.channel:
            self.channel.send(answer=number, reply=reply.decode("latin-1"))

    def _began(self, message: list[Any]) -> None:
        number, customer, plan, kind, units, first, size, attempt, server, sent = message
        server = server.encode("latin-1")
        self.out[_elder(number), attempt] = server
        arrived = api.RequestArrived(_elder(number), customer, plan, kind, units, 0, first, size, False)
        self.driver.feed(api.AttemptElsewhere(arrived, attempt, server, sent))

    def _ended(self, number: int, attempt: int, server: bytes, outcome: api.Outcome, took: int) -> None:
        self.out.pop((number, attempt), None)
        self.driver.feed(api.AttemptEnded(number, attempt, server, outcome, took, True, 0, 0.0, ()))

    def _gone(self) -> None:
        """What it had out ends with it, and nobody waits for what it relayed."""
        for (number, attempt), server in list(self.out.items()):
            self._ended(number, attempt, server, api.Outcome.CANCELLED, 0)
        for call in self.relayed.values():
            self.driver.client_gone(call)
        self.relayed.clear()

    async def ask(self, line: bytes) -> str:
        """Have the predecessor carry out an operator's call, too; what it said, done where it has ended."""
        return await ask(self.channel, self.asked, line) if self.channel else "done"
