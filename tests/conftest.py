"""Settings and helpers that the tests share.

``GatewayHarness`` runs the decision core of one gateway on a simulated clock, ``Fleet`` several of them
with a simulated network. ``LoopbackGateway`` runs one gateway on loopback sockets within the test's process,
``GatewayProcesses`` starts it as separate processes. The settings are examples.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import itertools
import json
import os
import random
import sys

import hiredis
import pytest
import uvloop

from lab import ports
from orchidlane import interface as api
from orchidlane.rules import Gateway
from saffrongw import config
from saffrongw.clients import Clients
from saffrongw.driver import Driver
from saffrongw.hosts import Hosts

pytest_plugins = ["known_red"]

SECOND = 1_000_000
T0 = 1_000 * SECOND  # initial clock time; hosts with ``launched=0`` are long warm by then

SAFE = api.RequestClass(500_000, 2 * SECOND, 1.0, 0.0, api.Effect.SAFE, api.Group.ALL, 0)
KEYED_CELL = api.RequestClass(500_000, 4 * SECOND, 1.0, 0.0, api.Effect.KEYED, api.Group.CELL, SECOND)
UNSAFE = api.RequestClass(500_000, 2 * SECOND, 1.0, 0.0, api.Effect.UNSAFE, api.Group.ALL, 0)
KEYED_ALL = dataclasses.replace(KEYED_CELL, group=api.Group.ALL)
KEYED_ZONE = dataclasses.replace(KEYED_CELL, group=api.Group.ZONE)
PLAIN = api.Plan(2.0, 10.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
OPEN_LIMITED = api.Plan(2.0, 10.0, 2, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CEILING_LIMITED = api.Plan(4.0, 8.0, 0, 1.0, 0.0, 1.0, 8.0, 16.0, 2.0)
BEYOND_EARNS = api.Plan(2.0, 10.0, 0, 1.0, 0.5, 0.0, 0.0, 0.0, 0.0)

SETTINGS = api.Settings(
    rank=0,
    gateways=3,
    zone=0,
    classes=(SAFE, KEYED_CELL, UNSAFE, KEYED_ALL, KEYED_ZONE),
    plans=(PLAIN, OPEN_LIMITED, CEILING_LIMITED, BEYOND_EARNS),
    may_tell_peers=True,
    may_probe=True,
    may_cancel=True,
    may_copy=True,
    max_attempts=4,
    max_retry_after=SECOND,
    peer_intake=50.0,
    peer_charge=0.01,
    probe_charge=0.01,
    waste_charge=0.03,
    cross_zone_charge=0.0,
    has_counter=False,
    asks_for_list=False,
    ask_within=10 * SECOND,
    reports=api.Reports.NONE,
    report_names=(),
    cold_from=0.25,
    warm_within=10 * SECOND,
    fall_multiple=2.0,
    overload_for=2 * SECOND,
    drain_grace=SECOND // 2,
)


def entry(number: int, phase=api.Phase.READY, cell=0, zone=0, launched=0) -> api.ServerEntry:
    """Return an entry of a server list."""
    return api.ServerEntry(bytes((10, 0, 0, number, 0, 80)), phase, zone, cell, launched, 1.0)


def listed(*entries: api.ServerEntry, kind=api.ListKind.WHOLE) -> api.ServerListed:
    """Return an update of the server list, as discovery sends it."""
    return api.ServerListed(kind, 1, tuple(entries))


class GatewayHarness:
    """The decision core of one gateway with a simulated clock; records its actions and runs its timers."""

    def __init__(self, servers=4, now=T0, seed=1, **changes) -> None:
        self.now = now
        self.settings = dataclasses.replace(SETTINGS, **changes)
        self.gateway = Gateway(self.settings, seed, now)
        self.log: list[api.Action] = list(self.gateway.start())
        self.timers: list[tuple[int, int]] = []
        self._record_timers(self.log)
        if servers:
            self.feed(listed(*(entry(i) for i in range(servers))))

    def _record_timers(self, actions) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.token))

    def feed(self, event: api.Event) -> list[api.Action]:
        """Handle an event at the current time; return the resulting actions."""
        actions = list(self.gateway.handle(self.now, event))
        self._record_timers(actions)
        self.log += actions
        return actions

    def run(self, span: int) -> list[api.Action]:
        """Advance the clock by ``span``, firing due timers; return the resulting actions."""
        end = self.now + span
        actions: list[api.Action] = []
        while due := [t for t in self.timers if t[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            actions += self.feed(api.TimerFired(first[1]))
        self.now = end
        return actions

    def send_request(
        self,
        request: int,
        kind=0,
        customer=7,
        plan=0,
        units=1.0,
        time_left=2 * SECOND,
        set_first=0,
        set_size=3,
    ):
        """Handle the arrival of a request from a client."""
        return self.feed(
            api.RequestArrived(request, customer, plan, kind, units, time_left, set_first, set_size, False)
        )

    def end_attempt(
        self, request: int, server: bytes, outcome: api.Outcome, attempt=0, took=50_000, answered=None
    ):
        """Handle the end of an attempt; by default only a served one answers its request."""
        if answered is None:
            answered = outcome is api.Outcome.SERVED
        return self.feed(api.AttemptEnded(request, attempt, server, outcome, took, answered, 0, 0.0, ()))


class Fleet:
    """Gateways that exchange delayed messages; servers answer each request immediately."""

    MESSAGE_DELAY = 10_000  # microseconds
    STEP = 1_000  # microseconds by which the clock advances

    def __init__(self, gateways: int, seed=1, loss=0.0, servers=4, **changes) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.request_count = 0
        self.message_count = 0
        changes |= {"gateways": gateways}
        self.harnesses = [GatewayHarness(servers, seed=seed + i, rank=i, **changes) for i in range(gateways)]
        self.now = T0
        self.dead: set[int] = set()
        self.in_flight: list[tuple[int, int, int, bytes]] = []  # arrival, sender, receiver, body
        self.answers: dict[int, api.Action] = {}  # by request: Send, Refuse or Fail
        for rank, harness in enumerate(self.harnesses):
            self._execute(rank, harness.log)

    def _execute(self, rank: int, actions) -> None:
        for action in actions:
            if isinstance(action, api.SendPeerMessage):
                self.message_count += 1
                if self.random.random() >= self.loss:
                    self.in_flight.append((self.now + self.MESSAGE_DELAY, rank, action.peer, action.body))
            elif isinstance(action, api.Send):
                self.answers[action.request] = action
                self._execute(
                    rank, self.harnesses[rank].end_attempt(action.request, action.server, api.Outcome.SERVED)
                )
            elif isinstance(action, api.Refuse | api.Fail):
                self.answers[action.request] = action

    def send_request(self, rank: int, **request) -> int:
        """Send a request to one gateway; return its number."""
        self.request_count += 1
        self._execute(rank, self.harnesses[rank].send_request(self.request_count, **request))
        return self.request_count

    def run(self, span: int) -> None:
        """Advance the clock by ``span``, firing timers and delivering messages, except to dead gateways."""
        end = self.now + span
        while self.now < end:
            self.now += self.STEP
            for rank, harness in enumerate(self.harnesses):
                harness.now = harness.now if rank in self.dead else self.now
                if rank not in self.dead and harness.timers and min(harness.timers)[0] <= self.now:
                    self._execute(rank, harness.run(0))
            due = [message for message in self.in_flight if message[0] <= self.now]
            self.in_flight = [message for message in self.in_flight if message[0] > self.now]
            for _, sender, rank, body in due:
                if rank not in self.dead:
                    self._execute(rank, self.harnesses[rank].feed(api.PeerMessage(sender, body)))

    def sent(self) -> list[int]:
        """Return the numbers of the requests that were sent to a server."""
        return [number for number, answer in self.answers.items() if isinstance(answer, api.Send)]


def of_type(actions, action_type) -> list:
    """Return the actions of the given type."""
    return [a for a in actions if isinstance(a, action_type)]


@pytest.fixture
def harness() -> GatewayHarness:
    """Return a gateway with four warm servers."""
    return GatewayHarness()


# -- the gateway on loopback sockets -------------------------------------------------------------------

RAW_SETTINGS = {
    "balancers": 2,
    "rank": 0,
    "locality": 0,
    "discovery": "pushed",
    "zones": ["hall-a", "hall-b"],
    "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
    "classes": [
        {"name": name, "effect": effect, "group": group, "target": 500_000, "deadline": 3_000_000}
        | {"dedupWindow": 5_000_000, "credit": 1.0, "lateWorth": 0.0}
        for name, effect, group in (
            ("read", "repeatable", "all"),
            ("put", "by_key", "cell"),
            ("bill", "once", "all"),
        )
    ],
    "familyInfo": {"peerIntake": 40.0, "sharedCounter": False, "unitsTop": 1},
    "loadReport": {"how": "inline", "names": ["util", "latency_ms"]},
    "packages": [
        {"name": "team", "perSecond": 100.0, "peakUnits": 100.0, "open": 0, "pays": 1.0, "beyondEarns": 0.0}
        | {"overrunCost": 1.0, "hardRate": 0.0, "capDepth": 0.0, "capSlack": 0.0}
    ],
    "permissions": {"peers": True, "probes": True, "cancel": True, "secondCopies": True, "retryAfter": True}
    | {"maxAttempts": 4, "maxRetryAfter": 1_000_000, "idleClose": 30_000_000, "connectTimeout": 250_000},
    "rules": {"askWithin": 10_000_000, "coldFrom": 0.25, "warmWithin": 10_000_000, "fallMultiple": 3.0}
    | {"overloadFor": 3_000_000, "drainGrace": 1_000_000},
}


def asyncio_test(function):
    """Run a test on uvloop, the gateway's event loop, with a timeout of one minute."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        uvloop.run(asyncio.wait_for(function(*args, **kwargs), 60))

    return run


async def until(condition, timeout: float = 10.0) -> None:
    """Wait for a condition; the timeout only ends a test that would hang."""
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.005)


class HostConnection(asyncio.Protocol):
    """A gateway's connection to a fake host: records the commands and answers them by the host's ``script``.

    The script returns the reply, ``b"reset"`` to reset the connection or None for no reply.
    """

    def __init__(self, host: FakeHost) -> None:
        self.host = host
        self.reader = hiredis.Reader()

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.host.connections.append(self)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            self.host.commands.append(command)
            self.host.sender = self
            reply = self.host.script(command)
            if reply == b"reset":
                self.transport.abort()
            elif reply is not None:
                self.transport.write(reply)

    def connection_lost(self, error) -> None:
        self.host.connections.remove(self)


class FakeHost:
    """A host that listens on loopback and records the commands of all its connections."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.commands = []
        self.connections = []
        self.script = lambda command: b"*3\r\n$2\r\nok\r\n$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n"

    async def listen(self) -> FakeHost:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HostConnection(self), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def list_entry(self, health="SERVING", **changes) -> dict:
        """Return the host's entry in discovery's list."""
        fields = {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "hall-a", "class": "m"}
        return fields | {"block": 1, "health": health, "share": 1.0, "born_ms": 0} | changes


_request_numbers = itertools.count(1)


def new_request_id() -> bytes:
    """Return an id that no request has had, as the protocol has it."""
    return b"id%d" % next(_request_numbers)


class FakeClient(asyncio.Protocol):
    """A client's connection to the gateway; collects the parsed replies."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()
        self.replies = []
        self.closed = False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not False:
            self.replies.append(reply)

    def connection_lost(self, error) -> None:
        self.closed = True

    def send_command(self, *words: bytes) -> None:
        """Send one command."""
        self.transport.write(hiredis.pack_command(words))

    def send_request(self, class_name="read", deadline_ms=2000, request_id=None, extra_terms="") -> None:
        """Send a request of one class, with a deadline of ``deadline_ms`` milliseconds."""
        request_id = request_id or new_request_id()
        terms = f"c={class_name},t=team,d={deadline_ms},units=1,spread=2,first=0{extra_terms}".encode()
        if class_name == "read":
            self.send_command(b"CALL.GET", b"0000000000000007", request_id, terms)
        else:
            self.send_command(b"CALL.POST", b"0000000000000007", request_id, terms + b",k=key7", b"BODY")

    async def wait_for_replies(self, count=1) -> list:
        """Wait until at least ``count`` replies have arrived; return all replies so far."""
        await until(lambda: len(self.replies) >= count)
        return self.replies


class LoopbackGateway:
    """One gateway with its components connected as in the program; it starts with a list of hosts."""

    def __init__(self, *hosts: FakeHost, entries=None, sockets=64, **changes) -> None:
        self.loop = asyncio.get_running_loop()
        host_list = {"seq": 1, "whole": True, "hosts": entries or [host.list_entry() for host in hosts]}
        site = RAW_SETTINGS | changes
        configuration = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "01"}
        configuration |= {"limits": {"sockets": sockets}, "known": host_list, "settings": site}
        self.config = config.parse(json.dumps(configuration))
        self.driver = Driver(self.config.settings, self.config.seed, self.loop)
        # With one or two hosts the latency limit would refuse most requests that these tests keep open.
        self.driver.gateway._latency_limit = lambda request: float("inf")
        self.hosts = self.driver.hosts = Hosts(
            self.driver,
            self.config.settings.report_names,
            sockets,
            self.config.idle_close,
            self.config.connect_timeout,
        )
        self.driver.start(self.config.known)
        self.clients = Clients(self.driver, self.config, sockets)

    async def connect_client(self) -> FakeClient:
        """Open a client's connection to the gateway."""
        if self.clients.server is None:
            await self.clients.listen()
        port = self.clients.server.sockets[0].getsockname()[1]
        _, client = await self.loop.create_connection(FakeClient, "127.0.0.1", port)
        return client

    def apply_host_list(self, *entries: dict, whole=False) -> None:
        """Apply an update of the host list from discovery."""
        raw = {"seq": 2, "whole": whole, "hosts": list(entries)}
        self.driver.apply_host_list(config.parse_hosts(raw, self.config.zones))


def free_address() -> str:
    """Return a loopback address on which nothing listens."""
    return f"127.0.0.1:{ports.allocate(1)[0]}"


PROGRAM_WITH_LONG_COMMAND_TIMEOUT = """
from saffrongw import __main__, client, clients
client.COMMAND_TIMEOUT = clients.COMMAND_TIMEOUT = 60.0
raise SystemExit(__main__.main())
"""


class GatewayProcesses:
    """Gateway processes on one address and with one $TMPDIR; each takes over from the one before."""

    def __init__(self, folder, *hosts: FakeHost, discovery="127.0.0.1:1", **changes) -> None:
        self.folder = folder
        self.processes = []
        host_list = {"seq": 1, "whole": True, "hosts": [host.list_entry() for host in hosts]}
        peers = [free_address(), free_address()]
        self.configuration = {"name": "n0", "listen": free_address(), "discovery": discovery, "seed": "01"}
        self.configuration |= {
            "limits": {"sockets": 256},
            "known": host_list,
            "settings": RAW_SETTINGS | changes,
        }
        self.configuration |= {"peer_listen": peers[0], "peers": peers}
        self.control = ""

    async def start(self, ready=True, long_command_timeout=False) -> asyncio.subprocess.Process:
        """Start another process with its own control address; wait until it is healthy if ``ready``.

        With ``long_command_timeout`` a client has a minute to send the rest of a command, so that it isn't
        disconnected while the successor is slow to start.
        """
        self.control = free_address()
        file = self.folder / f"config{len(self.processes)}.json"
        file.write_text(json.dumps(self.configuration | {"control": self.control}))
        environment = os.environ | {"LB_CONFIG": str(file), "TMPDIR": str(self.folder)}
        program = ("-c", PROGRAM_WITH_LONG_COMMAND_TIMEOUT) if long_command_timeout else ("-m", "saffrongw")
        process = await asyncio.create_subprocess_exec(sys.executable, *program, env=environment)
        self.processes.append(process)
        while ready and not (await self.send_control_call(b"HEALTH")).startswith("done"):
            assert process.returncode is None
            await asyncio.sleep(0.02)
        return process

    async def send_control_call(self, line: bytes, control: str = "") -> str:
        """Send a control call and return the answer, or "nobody" if the connection fails."""
        try:
            reader, writer = await asyncio.open_connection(*config.address(control or self.control))
        except OSError:
            return "nobody"
        writer.write(line + b"\n")
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return answer.decode()

    async def connect_client(self) -> FakeClient:
        """Open a client's connection."""
        address = config.address(self.configuration["listen"])
        return (await asyncio.get_running_loop().create_connection(FakeClient, *address))[1]

    async def __aenter__(self) -> GatewayProcesses:
        return self

    async def __aexit__(self, *error) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
