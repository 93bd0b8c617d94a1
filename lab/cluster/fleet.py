"""A fleet of real processes with the relay between them, and the faults done to it in their time."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import resource
import signal
import subprocess
import tarfile
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import numpy as np
import tomlkit

from lab import ports
from lab.children import Child, Children
from lab.clients import Clients, Customer, Front, Kind
from lab.hosts import Host, Machine
from lab.registration import Registration

from .guard import FolderGuard
from .record import RunWriter, now_ms
from .relay import Address, DatagramRelay, Links, StreamRelay
from .schedule import LIST_SERVICE, PlannedFault, Schedule, gateway_names

READY_WITHIN = 60.0  # seconds for a fleet of thirty on a loaded machine
AGREE_WITHIN = 30.0
END_WITHIN = 8.0
LOOK_EVERY = 0.1
ASK_WITHIN = 2.0
STARTS_AT_ONCE = 8  # processes that come up side by side: each takes a core meanwhile
CLUSTER = "proving-ground"
SEEDS = 2  # gateways that others know the addresses of, where they find each other by members
UPGRADE_YES = 0.3  # seconds from its yes to the word to the process before it
SPARE = 512  # descriptors for all but the relay's sockets
KINDS = (Kind("reading", "repeatable", 2.0), Kind("order", "by_key", 3.0))
PLAN = "domestic"
RATE = 4.0
BURST = 12.0
DEMANDS = (0.5, 0.9, 1.6)  # of its quota, customer by customer


class FleetError(Exception):
    """The fleet can't go on; the text says why."""


async def ask(address: Address, line: str) -> str | None:
    """One operator's call; None: not reached."""
    try:
        async with asyncio.timeout(ASK_WITHIN):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 18)
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.readline()).decode("utf-8", "replace").strip()
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return None


async def table(address: Address) -> dict[str, Any] | None:
    """A gateway's view by MEMBERS; None: not reached, or it has none."""
    said = await ask(address, "MEMBERS")
    if said is None or not said.startswith("done {"):
        return None
    found: dict[str, Any] = json.loads(said.removeprefix("done "))
    return found


class Gateway:
    """One gateway's addresses, and how its process stands."""

    def __init__(self, rank: int, addresses: list[Address]) -> None:
        self.rank = rank
        self.name = f"gw-{rank}"
        self.listen, self.control, self.peer = addresses
        self.child: Child | None = None
        self.twin: Child | None = None
        self.stopped = 0  # pauses that it is in
        self.down = True  # killed, or left, on purpose

    @property
    def runs(self) -> bool:
        """Whether it is up and not paused."""
        return not self.down and not self.stopped and self.child is not None


class Fleet:
    """All of it; ``module`` is what gateways are run by, to put a defect into them."""

    def __init__(
        self, schedule: Schedule, seed: int, out: Path, folder: Path, module: str, before: str | None
    ) -> None:
        self.schedule = schedule
        self.seed = seed
        self.folder = folder
        self.module = module
        self.before = _checkout(before, folder / "before") if before else None
        self.recorder = RunWriter(out)
        self.children = Children(out, signal.SIGKILL)
        self.links = Links(seed)
        found = [
            ("127.0.0.1", port) for port in ports.allocate(3 * schedule.gateways + 2 * (1 + schedule.agents))
        ]
        count = schedule.gateways
        self.gateways = [Gateway(rank, found[3 * rank : 3 * rank + 3]) for rank in range(count)]
        self.service = found[3 * count]
        self.operators = found[3 * count + 1]
        self.agents = [found[3 * count + 2 + 2 * i : 3 * count + 4 + 2 * i] for i in range(schedule.agents)]
        self.datagrams: DatagramRelay | None = None
        self.streams: list[StreamRelay] = []
        self.lists: dict[str, Address] = {}  # discovery as each gateway is to reach it
        self.meets: dict[str, Address] = {}  # the list service as each gateway is to reach it
        self.hosts: list[Host] = []
        self.registrations: list[Registration] = []
        self.clients: Clients | None = None
        self.tasks: list[asyncio.Task[None]] = []
        kept = os.environ.items()
        # Nobody's configuration but the files here; each gateway has a TMPDIR of its own for its upgrades.
        self.environment = {k: v for k, v in kept if not k.startswith(("BIRCHDRUM_", "LB_", "TMPDIR"))}

    # -- up and down ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """The list service, hosts, agents and gateways; then clients. Raises Broken."""
        shared = self.schedule.found != "fixed"
        self.datagrams = DatagramRelay(self.links, {g.name: g.peer for g in self.gateways}, shared)
        await self._start_list_service()
        parts = np.random.SeedSequence(self.seed).spawn(self.schedule.hosts + 1)
        await self._start_hosts(parts[: self.schedule.hosts])
        lists = await self._start_agents()
        await self._start_gateways(lists)
        self._start_clients(parts[-1])

    async def _start_list_service(self) -> None:
        words = ["registry", "serve", "--listen", _text(self.service), "--operators", _text(self.operators)]
        store = self.folder / "list.db"
        more: list[str | Path] = ["--store", store, "--new", "--settle", "0"]
        await self.children.start(LIST_SERVICE, *words, *more, environment=self.environment)

    async def _start_hosts(self, parts: list[np.random.SeedSequence]) -> None:
        machine = Machine(slots=8, work={b"reading": 0.01, b"order": 0.02}, cold_from=0.5, warm_within=3.0)
        for i, part in enumerate(parts):
            host = await Host(f"host-{i}", machine, np.random.default_rng(part)).listen()
            host.observer = self._observe_host(host.name)
            self.hosts.append(host)
            entry = Registration(self.service, host.name, _text(host.address), block=i // 4, lease_ms=20_000)
            self.registrations.append(entry)
        await self._wait(READY_WITHIN, self._registered, "the list service")
        for entry in self.registrations:
            entry.start()

    async def _start_agents(self) -> list[Address]:
        lists = []
        for i, (listen, operators) in enumerate(self.agents):
            relayed = await self._stream(f"agent-{i}", self.service)
            words = ["registry", "agent", "--listen", _text(listen), "--operators", _text(operators)]
            more: list[str | Path] = ["--follow", _text(relayed), "--keep", self.folder / f"agent-{i}.list"]
            await self.children.start(f"agent-{i}", *words, *more, environment=self.environment)
            lists.append(listen)
        return lists

    async def _start_gateways(self, lists: list[Address]) -> None:
        turn = asyncio.Semaphore(STARTS_AT_ONCE)
        for gateway in self.gateways:
            near = lists[gateway.rank] if gateway.rank < len(lists) else self.service
            discovery = await self._stream(gateway.name, near)
            self.lists[gateway.name] = discovery
            self.meets[gateway.name] = discovery if near is self.service else self.service
            self._write(gateway.name, gateway, discovery)
            if self.before:  # it knows no membership
                self._write(f"{gateway.name}-before", gateway, discovery, cluster=None)

        async def begin(gateway: Gateway) -> None:
            async with turn:
                await self.run(gateway, "-before" if self.before else "")
                await self._wait(READY_WITHIN, lambda: self._ready(gateway), gateway.name)

        await asyncio.gather(*map(begin, self.gateways))
        if self.schedule.membership and not self.before and len(self.gateways) > 1:
            await self._wait(AGREE_WITHIN, self.agreed, "an equal view of all gateways")

    def _start_clients(self, part: np.random.SeedSequence) -> None:
        count = len(self.gateways)
        front = Front([gateway.listen for gateway in self.gateways])
        customers = [
            Customer(100 + i, PLAN, RATE * DEMANDS[i % len(DEMANDS)], RATE, BURST, i % count, min(3, count))
            for i in range(self.schedule.customers)
        ]
        self.clients = Clients(front, customers, KINDS, part)
        self.clients.observer = self._observe_client
        self.clients.start()

    async def _stream(self, client: str, to: Address) -> Address:
        stream = await StreamRelay(self.links, client, LIST_SERVICE, to).listen()
        self.streams.append(stream)
        return stream.address

    def _write(
        self,
        name: str,
        gateway: Gateway,
        discovery: Address,
        twin: list[Address] | None = None,
        cluster: str | None = CLUSTER,
    ) -> None:
        listen, control = twin or (gateway.listen, gateway.control)
        values = {
            "name": gateway.name,
            "listen": _text(listen),
            "discovery": _text(discovery),
            "control": _text(control),
            "log": {"form": "json"},
            "fleet": self._fleet_values(gateway, cluster),
            "hosts": {"cold_from": 0.5, "warm_within": "3s"},
            "classes": [
                {"name": "reading", "effect": "repeatable", "aim": "500ms", "deadline": "2s"},
                {"name": "order", "effect": "by_key", "aim": "1s", "deadline": "3s", "repeat_window": "5s"},
            ],
            "plans": [{"name": PLAN, "rate": RATE, "burst": BURST}],
        }
        (self.folder / f"{name}.toml").write_text(tomlkit.dumps(values))

    def _fleet_values(self, gateway: Gateway, cluster: str | None) -> dict[str, Any]:
        assert self.datagrams is not None
        fleet: dict[str, Any] = {"rank": gateway.rank, "gateways": len(self.gateways), "intake": 100.0}
        if self.schedule.found == "fixed":
            fleet["peers"] = [
                _text(
                    gateway.peer if other is gateway else self.datagrams.address((gateway.name, other.name))
                )
                for other in self.gateways
            ]
        else:
            fleet |= {"listen": _text(gateway.peer), "advertise": _text(self._stands_for(gateway.name))}
        if self.schedule.found == "members":
            fleet["join"] = [_text(self._stands_for(other.name)) for other in self.gateways[:SEEDS]]
        if self.schedule.found == "list":
            fleet["meet"] = _text(self.meets[gateway.name])
        if cluster and self.schedule.membership:
            fleet["cluster"] = cluster
        return fleet

    def _stands_for(self, name: str) -> Address:
        """The relay's address for whoever sends to a gateway."""
        assert self.datagrams is not None
        return self.datagrams.address(("", name))

    async def run(self, gateway: Gateway, kind: str = "") -> Child:
        """Start its process; ``kind`` is nothing, ``-before`` (by the revision before) or ``-twin``."""
        name = gateway.name + kind
        scratch = self.folder / (name if kind == "-twin" else gateway.name)
        scratch.mkdir(exist_ok=True)
        environment = self.environment | {"TMPDIR": str(scratch)}
        module = self.module
        if kind == "-before":
            environment["PYTHONPATH"], module = str(self.before), "birchdrum"
        file = self.folder / f"{name}.toml"
        child = await self.children.start(name, "gateway", file, environment=environment, module=module)
        if kind != "-twin":
            gateway.child, gateway.down = child, False
        return child

    async def _registered(self) -> bool:
        left = [entry for entry in self.registrations if not entry.version]
        return all([await entry.register() for entry in left])

    async def _ready(self, gateway: Gateway) -> bool:
        said = await ask(gateway.control, "HEALTH")
        return said is not None and said.startswith("done")

    async def agreed(self) -> bool:
        """Whether all that run hold each other to be there, all others not, and no direction dead that is
        whole. Who yielded to a twin holds nothing any more."""
        running = [g for g in self.gateways if g.runs]
        found = await asyncio.gather(*(table(g.control) for g in running))
        wanted = {g.rank for g in running}
        return all(
            view is not None
            and (view["yielded"] or (here(view) == wanted and all(map(self._is_cut, view["links_down"]))))
            for view in found
        )

    def _is_cut(self, ends: list[int]) -> bool:
        a, b = (self.gateways[rank].name for rank in ends)
        return self.links.direction((a, b)).is_cut()

    async def _wait(self, within: float, holds: Callable[[], Awaitable[bool]], what: str) -> None:
        ends = time.monotonic() + within
        while not await holds():
            for child in self.children.exited():
                raise FleetError(await child.exit_reason())
            if time.monotonic() > ends:
                raise FleetError(f"{what} did not come about within {within:g} s")
            await asyncio.sleep(LOOK_EVERY)

    async def end(self) -> None:
        """Nothing is left."""
        ends = time.monotonic() + END_WITHIN

        def left() -> float:
            return ends - time.monotonic()

        for task in self.tasks:
            task.cancel()
        if self.clients:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.clients.stop(), max(0.1, left()))
        for gateway in self.gateways:
            if gateway.stopped and gateway.child and gateway.child.process.returncode is None:
                gateway.child.process.send_signal(signal.SIGCONT)
        names = [child.name for child in self.children.all if child.name.startswith("gw-")]
        await self.children.stop(left, names or ["-"])
        for entry in self.registrations:
            if entry.task:
                entry.task.cancel()
        await self.children.stop(left)
        for host in self.hosts:
            await host.close()
        for stream in self.streams:
            stream.close()
        if self.datagrams:
            self.datagrams.close()
        self.recorder.close()

    # -- what is seen ---------------------------------------------------------------------------------------

    def _observe_host(self, name: str) -> Callable[[bytes, bytes, dict[bytes, bytes]], None]:
        def begun(customer: bytes, number: bytes, terms: dict[bytes, bytes]) -> None:
            fields = {
                "customer": customer.decode(),
                "id": number.decode(),
                "units": float(terms.get(b"units", 1)),
            }
            self.recorder.append_line("hosts", host=name, **fields)

        return begun

    def _observe_client(self, customer: Customer, number: str, came: str, took: float, rank: int) -> None:
        name = f"gw-{rank}"
        self.recorder.append_line(
            "clients", customer=customer.number, id=number, came=came, took_ms=int(1000 * took), gateway=name
        )

    # -- faults ---------------------------------------------------------------------------------------------

    async def play(self, faults: list[PlannedFault], lasts: float) -> None:
        """Do all of them in their time, and wait until the schedule is over."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        steps = [(fault.at, 0, i, fault) for i, fault in enumerate(faults)]
        steps += [(fault.at + fault.lasts, 1, i, fault) for i, fault in enumerate(faults) if fault.lasts]
        for at, is_end, number, fault in sorted(steps, key=lambda step: step[:3]):
            await asyncio.sleep(max(0.0, began + at - loop.time()))
            late = int(1000 * (loop.time() - began - at))
            # The word goes to the file at the side of the doing where the checker's rules are stricter.
            if not is_end:
                self._note("begun", number, late, fault)
            await (self._undo if is_end else self._do)(fault)
            if is_end:
                self._note("ended", number, late, fault)
        await asyncio.sleep(max(0.0, began + lasts - loop.time()))

    def _note(self, step: str, number: int, late: int, fault: PlannedFault) -> None:
        self.recorder.append_line("faults", step=step, number=number, late_ms=late, fault=fault.fields())

    def _chosen(self, fault: PlannedFault) -> list[Gateway]:
        return [gateway for gateway in self.gateways if gateway.name in fault.nodes]

    async def _do(self, fault: PlannedFault) -> None:
        if fault.links:
            self.links.start_fault(fault)
        for gateway in self._chosen(fault):
            child = gateway.child
            if child is None or (gateway.down and fault.what != "twin"):
                continue
            await self._do_to(gateway, child, fault.what)

    async def _do_to(self, gateway: Gateway, child: Child, what: str) -> None:
        match what:
            case "pause":
                gateway.stopped += 1
                child.process.send_signal(signal.SIGSTOP)
            case "kill" | "move":
                gateway.down = True
                child.process.kill()
                await child.process.wait()
            case "leave":
                gateway.down = True
                child.process.terminate()
            case "twin":
                name = f"{gateway.name}-twin"
                own: list[Address] = [("127.0.0.1", port) for port in ports.allocate(2)]
                self._write(name, gateway, self.service, own)
                gateway.twin = await self.run(gateway, "-twin")
            case "upgrade":
                await self.run(gateway)
                self.tasks.append(asyncio.get_running_loop().create_task(self._end_elder(gateway, child)))

    async def _end_elder(self, gateway: Gateway, elder: Child) -> None:
        """The platform's part of an upgrade: SIGTERM once the next process says yes."""
        await self._wait(READY_WITHIN, lambda: self._ready(gateway), f"{gateway.name}'s next process")
        await asyncio.sleep(UPGRADE_YES)
        if elder.process.returncode is None:
            elder.process.terminate()

    async def _undo(self, fault: PlannedFault) -> None:
        if fault.links:
            self.links.end_fault(fault)
        for gateway in self._chosen(fault):
            await self._undo_to(gateway, fault.what)

    async def _undo_to(self, gateway: Gateway, what: str) -> None:
        child = gateway.child
        match what:
            case "pause" if gateway.stopped:
                gateway.stopped -= 1
                if not gateway.stopped and child and not gateway.down:
                    child.process.send_signal(signal.SIGCONT)
            case "kill" | "leave" | "move" if gateway.down and child:
                await child.process.wait()
                gateway.stopped = 0
                if what == "move" and self.datagrams:
                    gateway.peer = "127.0.0.1", ports.allocate(1)[0]
                    self.datagrams.move(gateway.name, gateway.peer)
                    self._write(gateway.name, gateway, self.lists[gateway.name])
                await self.run(gateway)
            case "twin" if gateway.twin:
                gateway.twin.process.terminate()

    async def tables(self) -> dict[str, Any]:
        """What each that runs holds now."""
        running = [gateway for gateway in self.gateways if gateway.runs]
        found = await asyncio.gather(*(table(gateway.control) for gateway in running))
        return {gateway.name: view for gateway, view in zip(running, found, strict=True)}


def here(view: dict[str, Any]) -> set[int]:
    """Ranks that a gateway holds to be there, its own as well."""
    return {view["rank"]} | {
        int(rank) for rank, row in view["members"].items() if row[0] in ("alive", "suspect")
    }


def _checkout(revision: str, folder: Path) -> Path:
    """That revision's tree; raises Broken."""
    folder.mkdir()
    root = Path(__file__).parent.parent.parent
    words = ["git", "archive", "--format=tar", revision]
    done = subprocess.run(words, cwd=root, capture_output=True, check=False)
    if done.returncode:
        raise FleetError(f"revision {revision}: {done.stderr.decode('utf-8', 'replace').strip()}")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as tree:
        tree.extractall(folder, filter="data")
    return folder


def _text(address: Address) -> str:
    return "{}:{}".format(*address)


def _allow_descriptors(wanted: int) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(wanted, hard), hard))


async def _agreed_ms(fleet: Fleet, within: float) -> int | None:
    ends = time.monotonic() + within
    agreed: int | None = None
    while time.monotonic() < ends and agreed is None:
        if await fleet.agreed():
            agreed = now_ms()
        await asyncio.sleep(LOOK_EVERY)
    return agreed


async def play(
    schedule: Schedule,
    faults: list[PlannedFault],
    seed: int,
    out: Path,
    module: str = "birchdrum",
    before: str | None = None,
) -> None:
    """One run of a fleet under these faults; its files are in ``out``. With ``before`` gateways begin as that
    revision, and what is started later is of today. Raises Broken."""
    _allow_descriptors(SPARE + schedule.gateways * schedule.gateways)
    folder = Path(tempfile.mkdtemp(prefix="birchdrum-cluster-"))
    guard = FolderGuard(folder)
    run: dict[str, Any] = {"seed": seed, "gateways": schedule.gateways, "agreed": None}
    try:
        fleet = Fleet(schedule, seed, out, folder, module, before)
    except BaseException:
        guard.remove()
        raise
    try:
        await fleet.start()
        run["began"] = now_ms()
        await fleet.play(faults, schedule.lasts.base / 1e6)
        run["over"] = now_ms()
        if schedule.membership:
            run["agreed"] = await _agreed_ms(fleet, schedule.settle.base / 1e6)
        run["names"] = gateway_names(schedule.gateways)
        run["running"] = [gateway.name for gateway in fleet.gateways if gateway.runs]
        run["ended"] = [child.name for child in fleet.children.exited()]
        fleet.recorder.write_json("tables", await fleet.tables())
        fleet.recorder.write_json("links", fleet.links.counters())
        fleet.recorder.write_json("run", run)
    finally:
        try:
            await fleet.end()
        finally:
            guard.remove()
