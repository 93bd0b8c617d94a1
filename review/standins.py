"""Small stand-ins for the review's cases: hosts, discovery, clients, the platform. Standard library only.

Every address is a loopback address with a port that the system assigned. ``Bench`` starts the gateways with
the command ``run`` of ``deploy/balancer.toml``, keeps the record, and ends every process that it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The example of the wire page (deployment calore-adige), for two gateways.
SETTINGS = {
    "balancers": 2,
    "callers": {"marksRetry": True},
    "charges": {
        "connection": 0.0,
        "crossZone": 0.011,
        "discovery": 0.0,
        "handshake": 0.0,
        "lateFail": 0.066,
        "moves": 0.0,
        "origin": 0.0,
        "peer": 0.025,
        "probe": 0.0,
        "waste": 0.062,
    },
    "classes": [
        {
            "credit": 3.0,
            "deadline": 3_000_000,
            "dedupWindow": 5_000_000,
            "effect": "repeatable",
            "group": "all",
            "lateWorth": 0.0,
            "name": "reading",
            "stream": False,
            "target": 1_200_000,
        },
        {
            "credit": 9.0,
            "deadline": 10_000_000,
            "dedupWindow": 20_000_000,
            "effect": "by_key",
            "group": "zone",
            "lateWorth": 0.2,
            "name": "order",
            "stream": False,
            "target": 2_500_000,
        },
    ],
    "discovery": "pushed",
    "familyInfo": {
        "costAfter": False,
        "countFee": 0.0,
        "countLimit": 0,
        "peerIntake": 100.0,
        "sharedCounter": False,
        "unitsTop": 3,
        "usePeriod": 0,
    },
    "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.15, "worstWindow": 0.3},
    "kinds": ["std-4c"],
    "layers": ["heat-service"],
    "loadReport": {"how": "inline", "names": ["qps"]},
    "locality": 0,
    "packages": [
        {
            "beyondEarns": 0.0,
            "capDepth": 0.0,
            "capSlack": 0.0,
            "hardRate": 0.0,
            "name": "domestic",
            "open": 0,
            "overrunCost": 0.8,
            "pays": 0.55,
            "peakUnits": 6.0,
            "perSecond": 1.2,
        },
        {
            "beyondEarns": 0.0,
            "capDepth": 0.0,
            "capSlack": 0.0,
            "hardRate": 0.0,
            "name": "commercial",
            "open": 0,
            "overrunCost": 0.5,
            "pays": 1.1,
            "peakUnits": 24.0,
            "perSecond": 5.8,
        },
        {
            "beyondEarns": 0.0,
            "capDepth": 80.0,
            "capSlack": 8.0,
            "hardRate": 30.0,
            "name": "large-user",
            "open": 0,
            "overrunCost": 0.5,
            "pays": 1.4,
            "peakUnits": 46.0,
            "perSecond": 17.0,
        },
    ],
    "permissions": {
        "cancel": True,
        "connectTimeout": 250_000,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 600_000,
        "idleClose": 15_000_000,
        "maxAttempts": 4,
        "maxRetryAfter": 1_000_000,
        "openCap": 30_000,
        "peers": True,
        "probes": False,
        "retryAfter": True,
        "secondCopies": True,
        "streamsPerConn": 100,
    },
    "rank": 0,
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


class Unusable(Exception):
    """The case could not run: nothing is said about the rule."""


def pack(*values: bytes) -> bytes:
    """Return a command: an array of bulk strings."""
    return b"*%d\r\n" % len(values) + b"".join(b"$%d\r\n%b\r\n" % (len(value), value) for value in values)


async def read_value(reader: asyncio.StreamReader) -> object:
    """Read one RESP2 value: bytes, None, a list, or an Exception for an error line."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind == b"$":
        if rest == b"-1":
            return None
        return (await reader.readexactly(int(rest) + 2))[:-2]
    if kind == b"*":
        return [await read_value(reader) for _ in range(int(rest))]
    if kind == b"-":
        return RuntimeError(rest.decode())
    return rest


class Request:
    """A command as a host received it."""

    def __init__(self, command: list[bytes], at: float) -> None:
        self.command, self.at = command, at
        self.name, self.customer, self.id = command[0], command[1], command[2].decode()
        self.terms = dict(pair.split("=", 1) for pair in command[3].decode().split(","))
        self.body = command[4] if len(command) > 4 else b""


class Host:
    """A host: begins a command at its last byte, and answers on the connection in order.

    ``serve`` gets the request and the connection's writer. What it returns is written; ``None``: nothing is.
    """

    def __init__(self, bench: Bench, name: str, zone: str, block: int) -> None:
        self.bench, self.name, self.zone, self.block = bench, name, zone, block
        self.health, self.born_ms = "SERVING", 0
        self.ran: list[Request] = []
        self.work = 0.02
        self.port = 0
        self.server: asyncio.Server | None = None
        self.serve: Callable[[Request, asyncio.StreamWriter], Awaitable[bytes | None]] = self.answer

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        """Return its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.zone,
            "class": "std-4c",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    @staticmethod
    def reply(value: bytes) -> bytes:
        """Return the answer that serves a request with this value."""
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$6\r\nqps=10\r\n" % (len(value), value)

    async def answer(self, request: Request, _writer: asyncio.StreamWriter) -> bytes | None:
        """Serve it after the work's time, with a value that names the request and the host."""
        await asyncio.sleep(self.work)
        return self.reply(f"{request.id} from {self.name}".encode())

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                command = await read_value(reader)
                assert isinstance(command, list)
                request = Request(command, time.monotonic())
                self.ran.append(request)
                self.bench.note(
                    f"{self.name} runs {request.name.decode()} {request.id}, body: {len(request.body)} bytes"
                )
                reply = await self.serve(request, writer)
                if reply is not None:
                    writer.write(reply)
                    await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()


class Discovery:
    """Discovery's agent on a gateway's machine: the whole list, and watches that wait for changes."""

    def __init__(self, bench: Bench) -> None:
        self.bench, self.port, self.seq = bench, 0, 41
        self.silent = False  # it is down: nothing is answered until it is back
        self.changes: list[tuple[int, dict[str, object]]] = []
        self.news = asyncio.Condition()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, object]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": [host.entry() for host in self.bench.hosts]}

    async def tell(self, *hosts: Host) -> None:
        """Tell the present state of these hosts."""
        async with self.news:
            for host in hosts:
                self.seq += 1
                self.changes.append((self.seq, host.entry()))
            self.news.notify_all()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ", 2)[1]
                _, _, query = target.partition("?")
                terms = dict(pair.split("=") for pair in query.split("&") if pair)
                if "index" in terms:
                    since, wait = int(terms["index"]), int(terms.get("wait", 0)) / 1000
                    async with self.news:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(
                                self.news.wait_for(lambda since=since: self.seq > since), wait
                            )
                    entries = [entry for seq, entry in self.changes if seq > since]
                    answer = {"seq": self.seq, "whole": False, "hosts": entries}
                else:
                    answer = self.whole()
                while self.silent:
                    await asyncio.sleep(0.05)
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()


class Gateway:
    """One gateway, started as the platform does."""

    def __init__(self, bench: Bench, rank: int, address: str) -> None:
        self.bench, self.rank, self.name = bench, rank, f"n{rank}"
        self.listen, self.peer = (address, free_port(address)), (address, free_udp_port(address))
        self.tmpdir = bench.folder / f"tmp-{self.name}"
        self.tmpdir.mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self.killed_for_memory = False
        self.memory_most = 0.0

    async def start(self, peers: list[str]) -> None:
        """Start a process with the command ``run``."""
        bench = self.bench
        control = (self.listen[0], free_port(self.listen[0]))
        self.control = control
        config = {
            "name": self.name,
            "listen": joined(self.listen),
            "discovery": f"127.0.0.1:{bench.discovery.port}",
            "control": joined(control),
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": bench.memory_mb, "sockets": bench.sockets},
            "peer_listen": joined(self.peer),
            "peers": peers,
            "known": bench.discovery.whole(),
            "settings": bench.settings | {"rank": self.rank, "balancers": len(peers)},
        }
        path = bench.folder / f"{self.name}-{control[1]}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        log = (bench.folder / f"{self.name}.log").open("ab")
        environment = os.environ | {
            "LB_NAME": self.name,
            "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": config["discovery"],
            "LB_CONTROL": config["control"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(self.tmpdir),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
        )
        bench.processes.append(self.process)
        log.close()
        bench.note(f"platform starts gateway {self.name}")

    async def ready(self) -> None:
        """Wait until it answers PING with PONG."""
        for _ in range(600):
            if self.process.returncode is not None:
                raise Unusable(f"gateway {self.name} did not start: {self.log()[-400:]}")
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(pack(b"PING"))
                answer = await reader.readuntil(b"\r\n")
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            await asyncio.sleep(0.05)
        raise Unusable(f"gateway {self.name} was not ready in 30 s")

    def log(self) -> str:
        """Return what its processes wrote."""
        return (self.bench.folder / f"{self.name}.log").read_text(errors="replace")

    def memory(self) -> float:
        """Return the process's own memory in MB: anonymous pages, without shared files."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) for line in lines if line.startswith(("RssAnon", "RssShmem"))) / 1024


class Client:
    """A client's connection, which reads answers in the order of its commands."""

    def __init__(self, bench: Bench, gateway: Gateway) -> None:
        self.bench, self.gateway = bench, gateway

    async def connect(self) -> Client:
        """Connect; return this client."""
        self.reader, self.writer = await asyncio.open_connection(*self.gateway.listen, limit=1 << 23)
        return self

    def send(self, *commands: bytes) -> None:
        """Write commands."""
        self.writer.write(b"".join(commands))

    async def answer(self) -> object:
        """Read the next answer."""
        return await read_value(self.reader)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def terms(
    kind: str, plan: str, timeout_ms: int, units: int = 1, key: str = "", spread: int = 1, first: int = 0
) -> bytes:
    """Return a request's list of names and values."""
    key_term = f"k={key}," if key else ""
    return f"c={kind},t={plan},d={timeout_ms},{key_term}units={units},spread={spread},first={first}".encode()


def customer(number: int) -> bytes:
    """Return a customer's 16 hex digits."""
    return b"%016x" % number


def new_id() -> str:
    """Return a new request id."""
    return os.urandom(8).hex()


def joined(address: tuple[str, int]) -> str:
    """Return HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def free_port(address: str) -> int:
    """Return a free TCP port."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def free_udp_port(address: str) -> int:
    """Return a free UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


class Bench:
    """Everything that one case starts, and its record."""

    def __init__(
        self, folder: Path, hosts: int = 8, gateways: int = 2, memory_mb: int = 128, sockets: int = 1024
    ) -> None:
        self.record = (folder / "record.txt").open("w")
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.memory_mb, self.sockets, self.settings = memory_mb, sockets, json.loads(json.dumps(SETTINGS))
        self.processes: list[asyncio.subprocess.Process] = []
        zones = self.settings["zones"]
        self.hosts = [Host(self, f"s-{i:08x}", zones[i % 2], i % 2) for i in range(hosts)]
        self.discovery = Discovery(self)
        self.gateways = [Gateway(self, rank, f"127.0.1.{rank + 1}") for rank in range(gateways)]

    def note(self, text: str) -> None:
        """Write a line into the record."""
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    async def start(self) -> None:
        """Start the stand-ins and the gateways, and wait until all are ready."""
        for host in self.hosts:
            await host.listen()
        await self.discovery.listen()
        peers = [joined(gateway.peer) for gateway in self.gateways]
        for gateway in self.gateways:
            await gateway.start(peers)
        for gateway in self.gateways:
            await gateway.ready()
            self.note(f"gateway {gateway.name} is ready")

    async def end(self) -> None:
        """End every process that was started, and remove the temporary folder."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
            await process.wait()
        for gateway in self.gateways:
            with contextlib.suppress(OSError):
                for line in gateway.log().splitlines()[-20:]:
                    self.note(f"log of {gateway.name}: {line[:1500]}")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case: Callable[[Bench], Awaitable[bool]], folder: Path, **options: int) -> int:
    """Run a case, which returns whether the rule held; return the exit code."""

    async def play() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        bench = Bench(folder, **options)
        bench.note(f"trouble: {'on' if TROUBLE else 'off'}")
        try:
            async with asyncio.timeout(110):
                await bench.start()
                held = await case(bench)
            bench.note(f"RESULT: the rule {'held' if held else 'was BROKEN'}")
            print("held" if held else "BROKEN")
            return HELD if held else BROKEN
        except (Exception, asyncio.CancelledError) as error:
            bench.note(f"RESULT: the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await bench.end()

    return asyncio.run(play())
