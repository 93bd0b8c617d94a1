"""A gateway process with hosts and sound clients, of which a play has more: hostile clients, bad peers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import socket
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import hiredis

from . import ports, protocol
from .child_processes import Child, Children
from .pressure import Observations, Run, SoundRequest

MEBIBYTE = 1024 * 1024
VALUE_BYTES = 2 * MEBIBYTE  # of a large value
SLOW_VALUE_BYTES, SLOW_PIECES, SLOW_INTERVAL = 200_000, 20, 0.1  # a value that its host writes slowly
SOUND_CLIENTS, SOUND_INTERVAL = 6, 0.05  # seconds between an answer and the next request
SOUND_BODY_BYTES = (10, 10, 10, 30_000, 100_000)
DEADLINE = 2.0  # seconds, of a sound request
WORK = 0.02  # seconds that a host takes
MEMORY_INTERVAL = 0.05  # seconds between two looks at the process's memory
RECEIVE_BUFFER = 32 * 1024
READY_TIMEOUT = 30.0
HOSTS = 4
CONFIGURATION_FILE = "config.json"
SETTLE_TIME = 3.0  # seconds at the end, for the last answers


@dataclass(frozen=True, slots=True)
class Play:
    """What is played; the same seed gives the same clients."""

    seed: int = 1
    seconds: float = 10.0
    memory_mb: int = 64
    sockets: int = 1024
    hostile: int = 100  # clients of each patient kind
    module: str = "saffrongw"  # the program that is started
    upgrade: bool = False  # at half of the time the process is replaced by another one


class Host:
    """A host that records what it began; an id says which value it gives."""

    def __init__(self, name: str, seen: Observations) -> None:
        self.name, self.seen = name, seen
        self.loop = asyncio.get_running_loop()
        self.port = 0

    async def listen(self) -> Host:
        """Listen on a port assigned by the system."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=8 * MEBIBYTE)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def list_entry(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        entry: dict[str, Any] = {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "a",
            "class": "m",
        }
        return entry | {"block": 1, "health": "SERVING", "share": 1.0, "born_ms": 0}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            while data := await reader.read(256 * 1024):
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    await self._answer(command[2].decode(), writer)

    async def _answer(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        self.seen.runs.append(Run(request_id, self.loop.time()))
        await asyncio.sleep(WORK)
        value = value_of(request_id)
        writer.write(b"*3\r\n$%d\r\n" % len(value))
        step = len(value) // SLOW_PIECES if request_id.startswith("slow") else len(value)
        for at in range(0, len(value), step):
            writer.write(value[at : at + step])
            await writer.drain()
            if step < len(value):
                await asyncio.sleep(SLOW_INTERVAL)
        writer.write(b"\r\n$-1\r\n$-1\r\n")


def value_of(request_id: str) -> bytes:
    """Return the value that hosts give for a request."""
    size = {"large": VALUE_BYTES, "slow": SLOW_VALUE_BYTES}.get(request_id.split("-")[0], 0)
    return request_id.encode().ljust(size, b".")


async def serve_discovery(hosts: list[Host]) -> int:
    """Serve the list of hosts, which never changes; return the port."""
    body = json.dumps({"seq": 1, "whole": True, "hosts": [host.list_entry() for host in hosts]}).encode()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.closing(writer), contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"index=1" in head:
                    await asyncio.sleep(20)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    return port


def settings() -> dict[str, Any]:
    """Return the settings of a gateway that runs alone, with a class of each effect."""
    classes = [
        {"name": name, "effect": effect, "group": "all", "target": 800_000, "deadline": 3_000_000}
        | {"dedupWindow": 5_000_000, "credit": 1.0, "lateWorth": 0.0}
        for name, effect in (("read", "repeatable"), ("put", "by_key"), ("bill", "once"))
    ]
    plan = {"name": "team", "perSecond": 1e5, "peakUnits": 1e5, "open": 0, "pays": 1.0, "beyondEarns": 0.0}
    plan |= {"overrunCost": 1.0, "hardRate": 0.0, "capDepth": 0.0, "capSlack": 0.0}
    capped = plan | {"name": "capped", "perSecond": 4.0, "peakUnits": 8.0}
    capped |= {"hardRate": 8.0, "capDepth": 16.0, "capSlack": 2.0}
    permissions: dict[str, Any] = {
        "peers": False,
        "probes": False,
        "cancel": True,
        "secondCopies": True,
        "retryAfter": True,
    }
    permissions |= {"maxAttempts": 4, "maxRetryAfter": 1_000_000, "idleClose": 30_000_000}
    return {
        "balancers": 1,
        "rank": 0,
        "locality": 0,
        "discovery": "pushed",
        "zones": ["a"],
        "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "classes": classes,
        "familyInfo": {"peerIntake": 40.0, "sharedCounter": False, "unitsTop": 1},
        "loadReport": {"how": "inline", "names": ["util"]},
        "packages": [plan, capped],
        "permissions": permissions | {"connectTimeout": 250_000},
        "rules": {"askWithin": 10_000_000, "coldFrom": 0.25, "warmWithin": 10_000_000, "fallMultiple": 3.0}
        | {"overloadFor": 3_000_000, "drainGrace": 1_000_000},
    }


def command(
    kind: str, request_id: str, customer: int, *, plan: str = "team", body: bytes | None = None
) -> bytes:
    """Return an encoded request."""
    terms: dict[str, Any] = {"units": 1, "deadline_ms": int(DEADLINE * 1000), "first": 0, "spread": 1}
    key = request_id if kind == "put" else None
    content = body if kind == "read" else (body or b"x")
    return protocol.request(kind, plan, customer, request_id, key=key, body=content, **terms)


class SoundConnection:
    """A sound client's connection, with one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, hiredis.Reader()
        self.loop = asyncio.get_running_loop()

    async def send(self, request: SoundRequest, data: bytes) -> bool:
        """Send a request and record its answer; return False if the connection ends without one."""
        self.writer.write(data)
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(2 * DEADLINE):
                while (reply := self.parser.gets()) is False:
                    if not (received := await self.reader.read(64 * 1024)):
                        return False
                    self.parser.feed(received)
            record_answer(request, reply, self.loop.time())
            return True
        return False


def record_answer(request: SoundRequest, reply: object, now: float) -> None:
    """Record the answer to a request."""
    request.answered_at, request.outcome = now, protocol.outcome(reply)
    request.is_whole = request.outcome != "served" or reply == value_of(request.request_id)


def resident_bytes(child: Child) -> int:
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{child.process.pid}/statm").read_text().split()
        return int(fields[1]) * resource.getpagesize()
    except (OSError, IndexError):
        return 0


class GatewayPlay:
    """One play: the gateway process, its hosts, sound clients, and other clients that a subclass adds."""

    def __init__(self, play: Play, folder: Path) -> None:
        self.play, self.folder = play, folder
        self.random = random.Random(play.seed)
        self.loop = asyncio.get_running_loop()
        self.seen = Observations(play.memory_mb * MEBIBYTE)
        self.address = ("127.0.0.1", ports.allocate(1)[0])
        self.children = Children(folder)
        self.processes: list[Child] = []  # one, and in an upgrade its successor

    def other_clients(self) -> Sequence[Coroutine[Any, Any, None]]:
        """Return what plays beside the sound clients."""
        return ()

    async def run(self) -> Observations:
        """Play, and return what was seen."""
        hosts = [await Host(f"h{number}", self.seen).listen() for number in range(HOSTS)]
        await self._start(hosts)
        players = [
            self._watch_memory(),
            *map(self._sound_client, range(SOUND_CLIENTS)),
            *self.other_clients(),
        ]
        tasks = [self.loop.create_task(player) for player in players]
        await asyncio.sleep(self.play.seconds + SETTLE_TIME)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._stop()
        return self.seen

    async def _start(self, hosts: list[Host]) -> None:
        configuration = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": f"127.0.0.1:{await serve_discovery(hosts)}",
            "seed": f"{self.play.seed:x}",
            "limits": {"sockets": self.play.sockets, "memory_mb": self.play.memory_mb},
            "settings": settings(),
        }
        (self.folder / CONFIGURATION_FILE).write_text(json.dumps(configuration))
        await self._start_process("gateway")
        async with asyncio.timeout(READY_TIMEOUT):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(*self.address)
                    writer.close()
                    return
                await asyncio.sleep(0.05)

    async def _start_process(self, name: str) -> None:
        file = self.folder / CONFIGURATION_FILE
        environment = os.environ | {"LB_CONFIG": str(file), "TMPDIR": str(self.folder)}
        child = await self.children.start(name, environment=environment, module=self.play.module)
        self.processes.append(child)

    async def _stop(self) -> None:
        self.seen.has_exited = self.processes[-1].process.returncode is not None
        for child in self.processes:
            if child.process.returncode is None:
                child.process.kill()
                await child.process.wait()

    async def _watch_memory(self) -> None:
        """Record the memory of all processes together, which share one limit."""
        while True:
            self.seen.memory.append(sum(map(resident_bytes, self.processes)))
            await asyncio.sleep(MEMORY_INTERVAL)

    # -- sound clients

    async def _sound_client(self, number: int) -> None:
        """Send one request after another until the play is over, on one connection while it lasts.

        A request that crosses the end of its connection is sent once more, as the protocol has it.
        """
        ends = self.loop.time() + self.play.seconds
        count, crossed = 0, False
        request, data = SoundRequest("", 0.0, 0.0), b""
        while self.loop.time() < ends or crossed:
            with contextlib.suppress(OSError):
                connection = SoundConnection(*await asyncio.open_connection(*self.address))
                while self.loop.time() < ends or crossed:
                    if not crossed:
                        count += 1
                        request, data = self._next_request(f"sound-{number}-{count}")
                    is_answered = await connection.send(request, data)
                    crossed = not (is_answered or crossed)
                    if not is_answered:
                        break
                    await asyncio.sleep(SOUND_INTERVAL)
                connection.writer.close()

    def _next_request(self, request_id: str) -> tuple[SoundRequest, bytes]:
        kind = self.random.choice(("read", "put", "bill"))
        body = bytes(self.random.choice(SOUND_BODY_BYTES)) if kind != "read" else None
        if kind == "bill":
            self.seen.unsafe.add(request_id)
        request = SoundRequest(request_id, self.loop.time(), DEADLINE)
        self.seen.requests.append(request)
        return request, command(kind, request_id, self.random.randrange(20), body=body)

    async def connect(self) -> socket.socket:
        """Connect a client that takes little of what it does not read."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        await self.loop.sock_connect(sock, self.address)
        return sock
