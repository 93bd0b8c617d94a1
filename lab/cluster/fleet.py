"""A fleet of gateway processes on loopback with relays between them, and faults at their scheduled times."""

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
from lab.child_processes import Child, Children
from lab.clients import Clients, Customer, LoadBalancer, RequestClass
from lab.hosts import Host, Machine
from lab.registration import Registration

from .guard import FolderGuard
from .record import RunWriter, now_ms
from .relay import Address, DatagramRelay, Links, StreamRelay
from .schedule import LIST_SERVICE, PlannedFault, Schedule, gateway_names

READY_TIMEOUT = 60.0  # seconds; enough for thirty gateways on a loaded machine
AGREEMENT_TIMEOUT = 30.0  # seconds
STOP_TIMEOUT = 8.0  # seconds
POLL_INTERVAL = 0.1  # seconds
CONTROL_TIMEOUT = 2.0  # seconds
CONCURRENT_STARTS_MAX = 8  # each starting process uses a whole core
CLUSTER_NAME = "proving-ground"
SEED_GATEWAYS = 2  # gateways whose addresses are configured if found is "members"
TERMINATION_DELAY = 0.3  # seconds from the successor's readiness to its predecessor's SIGTERM
SPARE_DESCRIPTORS = 512  # file descriptors for everything but the relay's sockets
REQUEST_CLASSES = (RequestClass("reading", "repeatable", 2.0), RequestClass("order", "by_key", 3.0))
PLAN_NAME = "domestic"
PLAN_RATE = 4.0
PLAN_BURST = 12.0
DEMAND_FACTORS = (0.5, 0.9, 1.6)  # demand relative to the quota, one factor for each customer in rotation


class FleetError(Exception):
    """The fleet can't continue; the message has the reason."""


async def control_call(address: Address, line: str) -> str | None:
    """Send one line to a gateway's control port and return its answer.

    Return None if the gateway can't be reached.
    """
    try:
        async with asyncio.timeout(CONTROL_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 18)
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.readline()).decode("utf-8", "replace").strip()
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return None


async def query_member_view(address: Address) -> dict[str, Any] | None:
    """Return a gateway's member view (MEMBERS); None if it can't be reached or has no view."""
    answer = await control_call(address, "MEMBERS")
    if answer is None or not answer.startswith("done {"):
        return None
    view: dict[str, Any] = json.loads(answer.removeprefix("done "))
    return view


class Gateway:
    """One gateway's addresses, and the state of its process."""

    def __init__(self, rank: int, addresses: list[Address]) -> None:
        self.rank = rank
        self.name = f"gw-{rank}"
        self.listen, self.control, self.peer = addresses
        self.child: Child | None = None
        self.twin: Child | None = None
        self.pauses = 0  # number of active pause faults
        self.is_down = True  # not started yet, or stopped by a fault

    @property
    def is_running(self) -> bool:
        """Whether the process is up and not paused."""
        return not self.is_down and not self.pauses and self.child is not None


class Fleet:
    """The processes, relays, hosts and clients of one run.

    ``folder`` is for scratch files, ``out`` for the files of the run. Gateways run as ``python -m module``,
    so that a module with a planted defect can be tested. With ``previous_revision`` they first run as that
    git revision, and processes started by faults run as the current one.
    """

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        out: Path,
        folder: Path,
        module: str,
        previous_revision: str | None,
    ) -> None:
        self.schedule = schedule
        self.seed = seed
        self.folder = folder
        self.module = module
        self.previous_tree = _check_out(previous_revision, folder / "before") if previous_revision else None
        self.recorder = RunWriter(out)
        self.children = Children(out, signal.SIGKILL)
        self.links = Links(seed)
        addresses = [
            ("127.0.0.1", port) for port in ports.allocate(3 * schedule.gateways + 2 * (1 + schedule.agents))
        ]
        count = schedule.gateways
        self.gateways = [Gateway(rank, addresses[3 * rank : 3 * rank + 3]) for rank in range(count)]
        self.list_service = addresses[3 * count]
        self.list_operators = addresses[3 * count + 1]
        self.agents = [
            addresses[3 * count + 2 + 2 * i : 3 * count + 4 + 2 * i] for i in range(schedule.agents)
        ]
        self.datagram_relay: DatagramRelay | None = None
        self.stream_relays: list[StreamRelay] = []
        self.discovery_addresses: dict[str, Address] = {}  # of the relay to its discovery service, by gateway
        # By gateway: where it reaches the list service's rendezvous, relayed unless it uses an agent.
        self.rendezvous_addresses: dict[str, Address] = {}
        self.hosts: list[Host] = []
        self.registrations: list[Registration] = []
        self.clients: Clients | None = None
        self.tasks: list[asyncio.Task[None]] = []
        inherited = os.environ.items()
        # Only the files written here may configure the processes. Each gateway gets a TMPDIR of its own, used
        # by its upgrades.
        self.environment = {k: v for k, v in inherited if not k.startswith(("BIRCHDRUM_", "LB_", "TMPDIR"))}

    # -- start and stop -------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the list service, hosts, agents and gateways, then clients; raises FleetError."""
        shared = self.schedule.found != "fixed"
        self.datagram_relay = DatagramRelay(self.links, {g.name: g.peer for g in self.gateways}, shared)
        await self._start_list_service()
        seeds = np.random.SeedSequence(self.seed).spawn(self.schedule.hosts + 1)
        await self._start_hosts(seeds[: self.schedule.hosts])
        agents = await self._start_agents()
        await self._start_gateways(agents)
        self._start_clients(seeds[-1])

    async def _start_list_service(self) -> None:
        arguments = [
            "registry",
            "serve",
            "--listen",
            _address_text(self.list_service),
            "--operators",
            _address_text(self.list_operators),
        ]
        store = self.folder / "list.db"
        store_arguments: list[str | Path] = ["--store", store, "--new", "--settle", "0"]
        await self.children.start(LIST_SERVICE, *arguments, *store_arguments, environment=self.environment)

    async def _start_hosts(self, seeds: list[np.random.SeedSequence]) -> None:
        machine = Machine(slots=8, work={b"reading": 0.01, b"order": 0.02}, cold_from=0.5, warm_within=3.0)
        for i, seed_sequence in enumerate(seeds):
            host = await Host(f"host-{i}", machine, np.random.default_rng(seed_sequence)).listen()
            host.observer = self._host_observer(host.name)
            self.hosts.append(host)
            registration = Registration(
                self.list_service, host.name, _address_text(host.address), block=i // 4, lease_ms=20_000
            )
            self.registrations.append(registration)
        await self._wait_until(READY_TIMEOUT, self._all_registered, "the list service")
        for registration in self.registrations:
            registration.start()

    async def _start_agents(self) -> list[Address]:
        addresses = []
        for i, (listen, operators) in enumerate(self.agents):
            service = await self._relay_stream(f"agent-{i}", self.list_service)
            arguments = [
                "registry",
                "agent",
                "--listen",
                _address_text(listen),
                "--operators",
                _address_text(operators),
            ]
            follow_arguments: list[str | Path] = [
                "--follow",
                _address_text(service),
                "--keep",
                self.folder / f"agent-{i}.list",
            ]
            await self.children.start(
                f"agent-{i}", *arguments, *follow_arguments, environment=self.environment
            )
            addresses.append(listen)
        return addresses

    async def _start_gateways(self, agents: list[Address]) -> None:
        start_slots = asyncio.Semaphore(CONCURRENT_STARTS_MAX)
        for gateway in self.gateways:
            discovery_service = agents[gateway.rank] if gateway.rank < len(agents) else self.list_service
            discovery = await self._relay_stream(gateway.name, discovery_service)
            self.discovery_addresses[gateway.name] = discovery
            self.rendezvous_addresses[gateway.name] = (
                discovery if discovery_service is self.list_service else self.list_service
            )
            self._write_configuration(gateway.name, gateway, discovery)
            if self.previous_tree:  # that revision may have no membership
                self._write_configuration(f"{gateway.name}-before", gateway, discovery, cluster=None)

        async def start_gateway(gateway: Gateway) -> None:
            async with start_slots:
                await self.start_process(gateway, "-before" if self.previous_tree else "")
                await self._wait_until(READY_TIMEOUT, lambda: self._is_ready(gateway), gateway.name)

        await asyncio.gather(*map(start_gateway, self.gateways))
        if self.schedule.membership and not self.previous_tree and len(self.gateways) > 1:
            await self._wait_until(AGREEMENT_TIMEOUT, self.views_agree, "agreement of all member views")

    def _start_clients(self, seed_sequence: np.random.SeedSequence) -> None:
        count = len(self.gateways)
        load_balancer = LoadBalancer([gateway.listen for gateway in self.gateways])
        customers = [
            Customer(
                100 + i,
                PLAN_NAME,
                PLAN_RATE * DEMAND_FACTORS[i % len(DEMAND_FACTORS)],
                PLAN_RATE,
                PLAN_BURST,
                i % count,
                min(3, count),
            )
            for i in range(self.schedule.customers)
        ]
        self.clients = Clients(load_balancer, customers, REQUEST_CLASSES, seed_sequence)
        self.clients.observer = self._observe_client
        self.clients.start()

    async def _relay_stream(self, client: str, target: Address) -> Address:
        stream = await StreamRelay(self.links, client, LIST_SERVICE, target).listen()
        self.stream_relays.append(stream)
        return stream.address

    def _write_configuration(
        self,
        name: str,
        gateway: Gateway,
        discovery: Address,
        twin: list[Address] | None = None,
        cluster: str | None = CLUSTER_NAME,
    ) -> None:
        listen, control = twin or (gateway.listen, gateway.control)
        settings = {
            "name": gateway.name,
            "listen": _address_text(listen),
            "discovery": _address_text(discovery),
            "control": _address_text(control),
            "log": {"form": "json"},
            "fleet": self._fleet_settings(gateway, cluster),
            "hosts": {"cold_from": 0.5, "warm_within": "3s"},
            "classes": [
                {"name": "reading", "effect": "repeatable", "aim": "500ms", "deadline": "2s"},
                {"name": "order", "effect": "by_key", "aim": "1s", "deadline": "3s", "repeat_window": "5s"},
            ],
            "plans": [{"name": PLAN_NAME, "rate": PLAN_RATE, "burst": PLAN_BURST}],
        }
        (self.folder / f"{name}.toml").write_text(tomlkit.dumps(settings))

    def _fleet_settings(self, gateway: Gateway, cluster: str | None) -> dict[str, Any]:
        assert self.datagram_relay is not None
        fleet: dict[str, Any] = {"rank": gateway.rank, "gateways": len(self.gateways), "intake": 100.0}
        if self.schedule.found == "fixed":
            fleet["peers"] = [
                _address_text(
                    gateway.peer
                    if other is gateway
                    else self.datagram_relay.address((gateway.name, other.name))
                )
                for other in self.gateways
            ]
        else:
            fleet |= {
                "listen": _address_text(gateway.peer),
                "advertise": _address_text(self._shared_relay_address(gateway.name)),
            }
        if self.schedule.found == "members":
            fleet["join"] = [
                _address_text(self._shared_relay_address(other.name))
                for other in self.gateways[:SEED_GATEWAYS]
            ]
        if self.schedule.found == "list":
            fleet["meet"] = _address_text(self.rendezvous_addresses[gateway.name])
        if cluster and self.schedule.membership:
            fleet["cluster"] = cluster
        return fleet

    def _shared_relay_address(self, name: str) -> Address:
        """Return the relay's address at which all others reach this gateway."""
        assert self.datagram_relay is not None
        return self.datagram_relay.address(("", name))

    async def start_process(self, gateway: Gateway, kind: str = "") -> Child:
        """Start a gateway's process; ``kind`` is empty, ``-before`` (previous revision) or ``-twin``."""
        name = gateway.name + kind
        scratch = self.folder / (name if kind == "-twin" else gateway.name)
        scratch.mkdir(exist_ok=True)
        environment = self.environment | {"TMPDIR": str(scratch)}
        module = self.module
        if kind == "-before":
            environment["PYTHONPATH"], module = str(self.previous_tree), "birchdrum"
        file = self.folder / f"{name}.toml"
        child = await self.children.start(name, "gateway", file, environment=environment, module=module)
        if kind != "-twin":
            gateway.child, gateway.is_down = child, False
        return child

    async def _all_registered(self) -> bool:
        unregistered = [registration for registration in self.registrations if not registration.version]
        return all([await registration.register() for registration in unregistered])

    async def _is_ready(self, gateway: Gateway) -> bool:
        answer = await control_call(gateway.control, "HEALTH")
        return answer is not None and answer.startswith("done")

    async def views_agree(self) -> bool:
        """Return whether all running gateways see exactly each other as present, and only cut links as down.

        A process that yielded to its twin no longer keeps a view and is not checked.
        """
        running = [g for g in self.gateways if g.is_running]
        views = await asyncio.gather(*(query_member_view(g.control) for g in running))
        running_ranks = {g.rank for g in running}
        return all(
            view is not None
            and (
                view["yielded"]
                or (present_ranks(view) == running_ranks and all(map(self._is_cut, view["links_down"])))
            )
            for view in views
        )

    def _is_cut(self, ranks: list[int]) -> bool:
        sender, receiver = (self.gateways[rank].name for rank in ranks)
        return self.links.direction((sender, receiver)).is_cut()

    async def _wait_until(
        self, timeout: float, condition: Callable[[], Awaitable[bool]], awaited: str
    ) -> None:
        deadline = time.monotonic() + timeout
        while not await condition():
            for child in self.children.exited():
                raise FleetError(await child.exit_reason())
            if time.monotonic() > deadline:
                raise FleetError(f"timed out after {timeout:g} s waiting for {awaited}")
            await asyncio.sleep(POLL_INTERVAL)

    async def stop(self) -> None:
        """Stop all processes and close all connections."""
        deadline = time.monotonic() + STOP_TIMEOUT

        def remaining_time() -> float:
            return deadline - time.monotonic()

        for task in self.tasks:
            task.cancel()
        if self.clients:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.clients.stop(), max(0.1, remaining_time()))
        for gateway in self.gateways:
            if gateway.pauses and gateway.child and gateway.child.process.returncode is None:
                gateway.child.process.send_signal(signal.SIGCONT)
        names = [child.name for child in self.children.started if child.name.startswith("gw-")]
        # "-" is the name of no child; an empty list would stop all.
        await self.children.stop(remaining_time, names or ["-"])
        for registration in self.registrations:
            if registration.task:
                registration.task.cancel()
        await self.children.stop(remaining_time)
        for host in self.hosts:
            await host.close()
        for stream in self.stream_relays:
            stream.close()
        if self.datagram_relay:
            self.datagram_relay.close()
        self.recorder.close()

    # -- observations ---------------------------------------------------------------------------------------

    def _host_observer(self, name: str) -> Callable[[bytes, bytes, dict[bytes, bytes]], None]:
        def record_request(customer: bytes, number: bytes, terms: dict[bytes, bytes]) -> None:
            fields = {
                "customer": customer.decode(),
                "id": number.decode(),
                "units": float(terms.get(b"units", 1)),
            }
            self.recorder.append_line("hosts", host=name, **fields)

        return record_request

    def _observe_client(
        self, customer: Customer, number: str, outcome: str, duration: float, rank: int
    ) -> None:
        name = f"gw-{rank}"
        self.recorder.append_line(
            "clients",
            customer=customer.number,
            id=number,
            came=outcome,
            took_ms=int(1000 * duration),
            gateway=name,
        )

    # -- faults ---------------------------------------------------------------------------------------------

    async def run_faults(self, faults: list[PlannedFault], duration: float) -> None:
        """Start and end the faults at their times; return at the end of the schedule."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        steps = [(fault.at, 0, i, fault) for i, fault in enumerate(faults)]
        steps += [(fault.at + fault.lasts, 1, i, fault) for i, fault in enumerate(faults) if fault.lasts]
        for at, is_end, number, fault in sorted(steps, key=lambda step: step[:3]):
            await asyncio.sleep(max(0.0, began + at - loop.time()))
            delay_ms = int(1000 * (loop.time() - began - at))
            # The start is recorded before the fault is applied and the end after it is undone. The recorded
            # span thus covers the whole fault, and the checker's deadlines, which count from its start, are
            # as strict as possible.
            if not is_end:
                self._record_fault("begun", number, delay_ms, fault)
            await (self._end_fault if is_end else self._start_fault)(fault)
            if is_end:
                self._record_fault("ended", number, delay_ms, fault)
        await asyncio.sleep(max(0.0, began + duration - loop.time()))

    def _record_fault(self, step: str, number: int, delay_ms: int, fault: PlannedFault) -> None:
        self.recorder.append_line("faults", step=step, number=number, late_ms=delay_ms, fault=fault.fields())

    def _affected(self, fault: PlannedFault) -> list[Gateway]:
        return [gateway for gateway in self.gateways if gateway.name in fault.nodes]

    async def _start_fault(self, fault: PlannedFault) -> None:
        if fault.links:
            self.links.start_fault(fault)
        for gateway in self._affected(fault):
            child = gateway.child
            if child is None or (gateway.is_down and fault.what != "twin"):
                continue
            await self._start_fault_at(gateway, child, fault.what)

    async def _start_fault_at(self, gateway: Gateway, child: Child, kind: str) -> None:
        match kind:
            case "pause":
                gateway.pauses += 1
                child.process.send_signal(signal.SIGSTOP)
            case "kill" | "move":
                gateway.is_down = True
                child.process.kill()
                await child.process.wait()
            case "leave":
                gateway.is_down = True
                child.process.terminate()
            case "twin":
                name = f"{gateway.name}-twin"
                twin_addresses: list[Address] = [("127.0.0.1", port) for port in ports.allocate(2)]
                self._write_configuration(name, gateway, self.list_service, twin_addresses)
                gateway.twin = await self.start_process(gateway, "-twin")
            case "upgrade":
                await self.start_process(gateway)
                self.tasks.append(
                    asyncio.get_running_loop().create_task(self._terminate_predecessor(gateway, child))
                )

    async def _terminate_predecessor(self, gateway: Gateway, predecessor: Child) -> None:
        """Send SIGTERM to the predecessor once its successor is ready, as the platform does in an upgrade."""
        await self._wait_until(READY_TIMEOUT, lambda: self._is_ready(gateway), f"{gateway.name}'s successor")
        await asyncio.sleep(TERMINATION_DELAY)
        if predecessor.process.returncode is None:
            predecessor.process.terminate()

    async def _end_fault(self, fault: PlannedFault) -> None:
        if fault.links:
            self.links.end_fault(fault)
        for gateway in self._affected(fault):
            await self._end_fault_at(gateway, fault.what)

    async def _end_fault_at(self, gateway: Gateway, kind: str) -> None:
        child = gateway.child
        match kind:
            case "pause" if gateway.pauses:
                gateway.pauses -= 1
                if not gateway.pauses and child and not gateway.is_down:
                    child.process.send_signal(signal.SIGCONT)
            case "kill" | "leave" | "move" if gateway.is_down and child:
                await child.process.wait()
                gateway.pauses = 0
                if kind == "move" and self.datagram_relay:
                    gateway.peer = "127.0.0.1", ports.allocate(1)[0]
                    self.datagram_relay.move(gateway.name, gateway.peer)
                    self._write_configuration(gateway.name, gateway, self.discovery_addresses[gateway.name])
                await self.start_process(gateway)
            case "twin" if gateway.twin:
                gateway.twin.process.terminate()

    async def member_views(self) -> dict[str, Any]:
        """Return the member views of all running gateways; None for one that does not answer."""
        running = [gateway for gateway in self.gateways if gateway.is_running]
        views = await asyncio.gather(*(query_member_view(gateway.control) for gateway in running))
        return {gateway.name: view for gateway, view in zip(running, views, strict=True)}


def present_ranks(view: dict[str, Any]) -> set[int]:
    """Return the ranks that a gateway sees as present, its own included."""
    return {view["rank"]} | {
        int(rank) for rank, row in view["members"].items() if row[0] in ("alive", "suspect")
    }


def _check_out(revision: str, folder: Path) -> Path:
    """Extract a git revision's tree into a folder and return the folder; raises FleetError."""
    folder.mkdir()
    root = Path(__file__).parent.parent.parent
    arguments = ["git", "archive", "--format=tar", revision]
    completed = subprocess.run(arguments, cwd=root, capture_output=True, check=False)
    if completed.returncode:
        raise FleetError(f"revision {revision}: {completed.stderr.decode('utf-8', 'replace').strip()}")
    with tarfile.open(fileobj=io.BytesIO(completed.stdout)) as tree:
        tree.extractall(folder, filter="data")
    return folder


def _address_text(address: Address) -> str:
    return "{}:{}".format(*address)


def _raise_descriptor_limit(minimum: int) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < minimum:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(minimum, hard), hard))


async def _agreement_ms(fleet: Fleet, timeout: float) -> int | None:
    deadline = time.monotonic() + timeout
    agreed_ms: int | None = None
    while time.monotonic() < deadline and agreed_ms is None:
        if await fleet.views_agree():
            agreed_ms = now_ms()
        await asyncio.sleep(POLL_INTERVAL)
    return agreed_ms


async def run_schedule(
    schedule: Schedule,
    faults: list[PlannedFault],
    seed: int,
    out: Path,
    module: str = "birchdrum",
    previous_revision: str | None = None,
) -> None:
    """Run a fleet under these faults and write the files of the run into ``out``.

    With ``previous_revision`` gateways start as that git revision; processes that faults start run as the
    current one. Raises FleetError.
    """
    _raise_descriptor_limit(SPARE_DESCRIPTORS + schedule.gateways * schedule.gateways)
    folder = Path(tempfile.mkdtemp(prefix="birchdrum-cluster-"))
    guard = FolderGuard(folder)
    run: dict[str, Any] = {"seed": seed, "gateways": schedule.gateways, "agreed": None}
    try:
        fleet = Fleet(schedule, seed, out, folder, module, previous_revision)
    except BaseException:
        guard.remove()
        raise
    try:
        await fleet.start()
        run["began"] = now_ms()
        await fleet.run_faults(faults, schedule.lasts.base / 1e6)
        run["over"] = now_ms()
        if schedule.membership:
            run["agreed"] = await _agreement_ms(fleet, schedule.settle.base / 1e6)
        run["names"] = gateway_names(schedule.gateways)
        run["running"] = [gateway.name for gateway in fleet.gateways if gateway.is_running]
        run["ended"] = [child.name for child in fleet.children.exited()]
        fleet.recorder.write_json("tables", await fleet.member_views())
        fleet.recorder.write_json("links", fleet.links.counters())
        fleet.recorder.write_json("run", run)
    finally:
        try:
            await fleet.stop()
        finally:
            guard.remove()
