"""Stand-ins for clients, hosts, discovery and the platform, which the cases 6 to 10 share.

They follow the operators' protocol page, use loopback addresses and the real clock, and need the standard
library alone. A scenario is a coroutine that gets a ``World`` and returns whether the rule held.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIBC, PR_SET_PDEATHSIG = ctypes.CDLL(None), 1
VALUE_MAX = 8 * 1024 * 1024
CHARGES = (
    "connection",
    "crossZone",
    "discovery",
    "handshake",
    "lateFail",
    "moves",
    "origin",
    "peer",
    "probe",
)


class CannotRun(Exception):
    """The case could not run: what it needs did not happen."""


def prepare_child(sockets: int) -> None:
    """Limit a child's descriptors, and have the kernel end it with this process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_port() -> int:
    """Return a port of the loopback address that is free, below the range of outgoing connections."""
    for _ in range(100):
        port = random.randrange(11_000, 32_000)
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return port
    raise CannotRun("no free port")


def settings(
    classes: list[dict], plans: list[dict], gateways: int = 1, rank: int = 0, **permissions: object
) -> dict:
    """Return the settings of a small deployment, with the figures of the wire page's example."""
    return {
        "balancers": gateways,
        "callers": {"marksRetry": True},
        "charges": dict.fromkeys((*CHARGES, "waste"), 0.0),
        "classes": classes,
        "discovery": "pushed",
        "familyInfo": {
            "costAfter": False,
            "countFee": 0.0,
            "countLimit": 0,
            "peerIntake": 100.0,
            "sharedCounter": False,
            "unitsTop": 4,
            "usePeriod": 0,
        },
        "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.15, "worstWindow": 0.3},
        "kinds": ["std-4c"],
        "layers": ["heat-service"],
        "loadReport": {"how": "inline", "names": ["qps"]},
        "locality": 0,
        "packages": plans,
        "permissions": {
            "cancel": True,
            "connectTimeout": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 600_000,
            "idleClose": 15_000_000,
            "maxAttempts": 4,
            "maxRetryAfter": 1_000_000,
            "openCap": 30_000,
            "peers": gateways > 1,
            "probes": False,
            "retryAfter": True,
            "secondCopies": True,
            "streamsPerConn": 1,
        }
        | permissions,
        "rank": rank,
        "resolution": 2000,
        "rules": {
            "answerSlack": 8000,
            "askWithin": 10_000_000,
            "coldFrom": 0.17,
            "drainGrace": 250_000,
            "fallMultiple": 2.0,
            "overloadFor": 2_000_000,
            "warmWithin": 17_000_000,
        },
        "serviceType": "gate",
        "tier": 0,
        "weightSource": "rough",
        "zones": ["building-a", "building-b"],
    }


def request_class(name: str, effect: str = "repeatable", group: str = "all", deadline_ms: int = 3000) -> dict:
    """Return the settings of a request class."""
    return {
        "credit": 3.0,
        "deadline": deadline_ms * 1000,
        "dedupWindow": 20_000_000,
        "effect": effect,
        "group": group,
        "lateWorth": 0.0,
        "name": name,
        "stream": False,
        "target": deadline_ms * 400,
    }


def plan(name: str, rate: float = 1000.0, burst: float = 4000.0) -> dict:
    """Return the settings of a plan without a ceiling."""
    return {
        "beyondEarns": 0.0,
        "capDepth": 0.0,
        "capSlack": 0.0,
        "hardRate": 0.0,
        "name": name,
        "open": 0,
        "overrunCost": 0.8,
        "pays": 1.0,
        "peakUnits": burst,
        "perSecond": rate,
    }


def call(
    request: str,
    request_type: str,
    d: int,
    *,
    body: bytes | None = None,
    key: str | None = None,
    customer: int = 7,
    plan_name: str = "domestic",
    units: int = 1,
    spread: int = 1,
    first: int = 0,
) -> bytes:
    """Return a client's command."""
    terms = f"c={request_type},t={plan_name},d={d}" + (f",k={key}" if key else "")
    terms += f",units={units},spread={spread},first={first}"
    values = [
        b"CALL.GET" if body is None else b"CALL.POST",
        b"%016x" % customer,
        request.encode(),
        terms.encode(),
        *([] if body is None else [body]),
    ]
    return b"*%d\r\n" % len(values) + b"".join(b"$%d\r\n%b\r\n" % (len(v), v) for v in values)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one command: an array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    values = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        values.append((await reader.readexactly(length + 2))[:-2])
    return values


async def read_reply(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read one answer of the gateway: its meaning by the protocol page, and its text."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] == b"$" and line != b"$-1":
        return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    if line == b"-BUSY" or line.startswith(b"-BUSY "):
        return "refused", line
    return ("ready" if line == b"+PONG" else "failed"), line


class Host:
    """A host: it serves each command by ``serve``, which returns the value, and records what it ran."""

    def __init__(self, world: World, name: str, serve: Callable[[list[bytes]], Awaitable[bytes]]) -> None:
        self.world, self.name, self.serve = world, name, serve
        self.begun: list[tuple[float, str, list[bytes]]] = []  # when, id, command
        self.port = 0
        self.server: asyncio.Server | None = None
        self.health = "SERVING"

    async def listen(self) -> Host:
        """Begin to listen on a free port."""
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0, limit=VALUE_MAX)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self) -> dict:
        """Return its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "building-a",
            "class": "std-4c",
            "block": 1,
            "health": self.health,
            "share": 1.0,
            "born_ms": 0,
        }

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                command = await read_command(reader)
                request = command[2].decode()
                self.begun.append((time.monotonic(), request, command))
                self.world.note(f"host {self.name} begins {request} {command[3].decode()}")
                value = await self.serve(command)
                writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$7\r\nqps=8.0\r\n" % (len(value), value))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


class Discovery:
    """The agent on the gateway's machine: long polls by the protocol page; silent while discovery is down."""

    def __init__(self, world: World, hosts: list[Host]) -> None:
        self.world, self.hosts, self.version = world, hosts, 41
        self.silent = False
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> Discovery:
        """Begin to listen on a free port."""
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def whole_list(self) -> dict:
        """Return the whole list."""
        return {"seq": self.version, "whole": True, "hosts": [host.entry() for host in self.hosts]}

    async def set_silent(self, silent: bool) -> None:
        """Let discovery go down, or return."""
        self.silent = silent
        self.world.note(f"discovery is {'down: its agent is silent' if silent else 'there'}")
        async with self.changed:
            self.changed.notify_all()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                answer = json.dumps(await self._answer(head.split()[1])).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, target: str) -> dict:
        watch = re.search(r"index=(\d+)&wait=(\d+)", target)
        async with self.changed:
            if watch:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(watch[2]) / 1000):
                        await self.changed.wait_for(lambda: self.version > int(watch[1]))
            await self.changed.wait_for(lambda: not self.silent)
        if watch and int(watch[1]) == self.version:
            return {"seq": self.version, "whole": False, "hosts": []}
        return self.whole_list()


class Gateway:
    """One process of the api gateway, started by the deploy file's ``run``."""

    def __init__(self, world: World, name: str, configuration: dict, scratch: Path) -> None:
        self.world, self.name, self.configuration, self.scratch = world, name, configuration, scratch
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> Gateway:
        """Start the process as the platform does."""
        self.scratch.mkdir(exist_ok=True)
        number = len(self.world.gateways)
        config_file = self.world.folder / f"config-{number}.json"
        config_file.write_text(json.dumps(self.configuration))
        log = (self.world.folder / f"log-{number}.txt").open("wb")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        sockets = self.configuration["limits"]["sockets"]
        self.process = await asyncio.create_subprocess_exec(
            *("/bin/sh", "-c", run),
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                "LB_NAME": self.configuration["name"],
                "LB_LISTEN": self.configuration["listen"],
                "LB_DISCOVERY": self.configuration["discovery"],
                "LB_CONFIG": str(config_file),
                "TMPDIR": str(self.scratch),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=lambda: prepare_child(sockets),
        )
        log.close()
        self.world.gateways.append(self)
        self.world.note(f"{self.name} starts")
        return self

    @property
    def ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process.returncode is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.world.note(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    async def operator(self, line: str, timeout: float = 1.5) -> str:
        """Make an operator's call at the control address and return the answer."""
        host, port = self.configuration["control"].split(":")
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(line.encode() + b"\n")
            answer = (await reader.read()).decode().strip()
            writer.close()
        self.world.note(f"operator to {self.name}: {line} -> {answer}")
        return answer


class World:
    """All that one run of a case has: the record, the folder, and what has to be ended."""

    def __init__(self, case: Path) -> None:
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="birchdrum-case-"))
        self.record = (case / "record.txt").open("w")
        self.gateways: list[Gateway] = []

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def configuration(self, discovery: Discovery, all_settings: dict, **more: object) -> dict:
        """Return a gateway's configuration, as the deployment page has it."""
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{free_port()}",
            "control": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": discovery.whole_list(),
            "settings": all_settings,
        } | more

    async def connect(self, gateway: Gateway) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection."""
        host, port = gateway.configuration["listen"].split(":")
        return await asyncio.open_connection(host, int(port), limit=VALUE_MAX)

    async def until_ready(self, gateway: Gateway, timeout: float = 30.0) -> None:
        """Wait as the front does, until PING is answered by +PONG."""
        limit = time.monotonic() + timeout
        while time.monotonic() < limit and not gateway.ended:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await self.connect(gateway)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                async with asyncio.timeout(1):
                    answer = await read_reply(reader)
                writer.close()
                if answer[0] == "ready":
                    self.note(f"{gateway.name} answers PING with +PONG")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{gateway.name} is not ready")

    async def end(self) -> None:
        """End all processes that were started, and remove the folder."""
        for gateway in self.gateways:
            if not gateway.ended:
                gateway.process.kill()
            await gateway.process.wait()
        for number, gateway in enumerate(self.gateways):
            log = (self.folder / f"log-{number}.txt").read_text(errors="replace").splitlines()
            for line in log[-40:]:
                self.record.write(f"   log of {gateway.name}: {line}\n")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(case: str, scenario: Callable[[World], Awaitable[bool]], seconds: float = 100.0) -> None:
    """Play a scenario and exit with 0 if the rule held, 1 if it was broken, 2 if it could not run."""

    async def play() -> int:
        world = World(Path(case).resolve().parent)
        world.note(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(seconds):
                held = await scenario(world)
            world.note("the rule held" if held else "THE RULE WAS BROKEN")
            return HELD if held else BROKEN
        except (CannotRun, TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            world.note(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await world.end()

    sys.exit(asyncio.run(play()))
