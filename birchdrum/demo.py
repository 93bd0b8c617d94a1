"""Runs a small fleet on loopback.

The registry and the gateways are processes; hosts and clients are simulated in this process.
"""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np
import tomlkit
from prometheus_client.parser import text_string_to_metric_families
from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table

from lab import ports
from lab.child_processes import Child, Children
from lab.clients import Clients, Customer, LoadBalancer, RequestClass
from lab.hosts import Host, Machine
from lab.registration import Registration

from . import gateway_client
from .fault_injection import DESCRIPTIONS, VICTIM_RANK, FaultInjection, describe

ZONES = ("building-a", "building-b")
REQUEST_CLASSES = (RequestClass("reading", "repeatable", 2.0), RequestClass("order", "by_key", 3.0))
PLANS = {"domestic": (4.0, 12.0), "large-user": (20.0, 40.0)}  # units per second and burst of each customer
# Average demand of customers as a share of their quota; every third one exceeds it.
DEMANDS = (0.5, 0.9, 1.6)
READY_TIMEOUT = 20.0  # seconds
SHUTDOWN_TIMEOUT = 8.0  # seconds until processes are killed
MIN_SENT = 20  # requests; a run with fewer may have served none yet
REFRESH_INTERVAL = 0.5  # seconds between two updates of the live table
# Share of its quota that a customer may get, since gateways decide on counts that lag behind.
QUOTA_TOLERANCE = 1.1


class DemoError(Exception):
    """The demo can't continue; the message gives the reason."""


@dataclass(slots=True)
class GatewayAddresses:
    """The addresses of one gateway."""

    name: str
    listen: str
    control: str
    metrics: str
    peer: str


@dataclass(slots=True)
class Fleet:
    """The running parts of the demo, and the figures collected from them."""

    folder: Path
    children: Children
    gateways: list[GatewayAddresses]
    registry: tuple[str, str]  # its address for readers and writers, and the one for operators
    hosts: list[Host] = field(default_factory=list)
    registrations: list[Registration] = field(default_factory=list)
    clients: Clients | None = None
    started_at: float = field(default_factory=time.monotonic)
    stopped_at: float = 0.0  # when clients stopped sending
    causes: Counter[str] = field(default_factory=Counter)  # of refusals, from the gateways' metrics
    fault: FaultInjection | None = None
    health: list[str] = field(default_factory=list)  # each gateway's answer to HEALTH


def parse_address(address: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def gateway_toml(fleet: Fleet, rank: int) -> str:
    """Return the TOML configuration of one gateway."""
    this_gateway = fleet.gateways[rank]
    relay = fleet.fault.datagrams if fleet.fault else None
    peers = [
        gateway.peer
        if gateway is this_gateway or relay is None
        else "{}:{}".format(*relay.address((this_gateway.name, gateway.name)))
        for gateway in fleet.gateways
    ]
    return tomlkit.dumps(
        {
            "name": this_gateway.name,
            "listen": this_gateway.listen,
            "discovery": fleet.registry[0],
            "control": this_gateway.control,
            "metrics": this_gateway.metrics,
            "zones": list(ZONES),
            "zone": ZONES[rank % len(ZONES)],
            "fleet": {
                "rank": rank,
                "gateways": len(fleet.gateways),
                "peers": peers,
                "cluster": "demo",
                "intake": 100.0,
            },
            "hosts": {"cold_from": 0.5, "warm_within": "3s"},
            "classes": [
                {"name": REQUEST_CLASSES[0].name, "effect": "repeatable", "aim": "500ms", "deadline": "2s"},
                {"name": REQUEST_CLASSES[1].name, "effect": "by_key", "aim": "1s", "deadline": "3s"}
                | {"repeat_window": "5s", "worth": 3.0},
            ],
            "plans": [{"name": name, "rate": rate, "burst": burst} for name, (rate, burst) in PLANS.items()],
        }
    )


def create_customers(count: int, gateways: int) -> list[Customer]:
    """Create customers of all plans and demands, with gateway sets that cover the fleet evenly."""
    result = []
    for index in range(count):
        plan = list(PLANS)[index % len(PLANS)]
        quota, burst = PLANS[plan]
        rate = quota * DEMANDS[index // len(PLANS) % len(DEMANDS)]
        result.append(Customer(100 + index, plan, rate, quota, burst, index % gateways, min(2, gateways)))
    return result


async def start_fleet(
    folder: Path, gateways: int, hosts: int, customers: int, seed: int, fault: FaultInjection | None
) -> Fleet:
    """Start the fleet, the registry first; raises DemoError."""
    free_ports = iter(ports.allocate(2 + 4 * gateways))

    def address() -> str:
        return f"127.0.0.1:{next(free_ports)}"

    gateway_addresses = [
        GatewayAddresses(f"gw-{rank}", address(), address(), address(), address()) for rank in range(gateways)
    ]
    # A paused process handles no signal but SIGKILL.
    children = Children(folder, signal.SIGKILL if fault else signal.SIGTERM)
    fleet = Fleet(folder, children, gateway_addresses, (address(), address()), fault=fault)
    if fault and fault.kind == "cut":
        fault.create_relay({gateway.name: parse_address(gateway.peer) for gateway in gateway_addresses}, seed)
    try:
        await _start_components(fleet, hosts, customers, seed)
    except BaseException:
        await stop_fleet(fleet)
        raise
    return fleet


async def _start_components(fleet: Fleet, hosts: int, customers: int, seed: int) -> None:
    folder = fleet.folder
    children = fleet.children
    # Gateways must read only the files written here. With TMPDIR set, they would look for a predecessor
    # process to take over from.
    environment = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(("BIRCHDRUM_", "LB_", "TMPDIR"))
    }
    seeds = np.random.SeedSequence(seed).spawn(hosts + 1)
    store = folder / "list.db"
    arguments = ["registry", "serve", "--listen", fleet.registry[0], "--operators", fleet.registry[1]]
    await children.start(
        "registry", *arguments, "--store", store, "--new", "--settle", "0", environment=environment
    )
    machine = Machine(slots=8, work={b"reading": 0.03, b"order": 0.08}, cold_from=0.5, warm_within=3.0)
    for index, host_seed in enumerate(seeds[:hosts]):
        host = await Host(f"host-{index}", machine, np.random.default_rng(host_seed)).listen()
        fleet.hosts.append(host)
        dial = "{}:{}".format(*host.address)
        service = parse_address(fleet.registry[0])
        fleet.registrations.append(
            Registration(service, host.name, dial, ZONES[index % len(ZONES)], block=index // 4)
        )
    await _wait_until_ready(
        fleet, lambda: asyncio.to_thread(_answers_http, fleet.registry[0]), "the registry"
    )
    for registration in fleet.registrations:
        if not await registration.register():
            raise DemoError(f"{registration.name} can't register: {registration.failures[-1]}")
        registration.start()

    async def start_gateway(rank: int) -> Child:
        file = folder / f"{fleet.gateways[rank].name}.toml"
        file.write_text(gateway_toml(fleet, rank))
        return await children.start(fleet.gateways[rank].name, "gateway", file, environment=environment)

    processes = [await start_gateway(rank) for rank in range(len(fleet.gateways))]
    (folder / "fleet.toml").write_text(
        tomlkit.dumps({"gateways": {gateway.name: gateway.control for gateway in fleet.gateways}})
    )
    controls = {gateway.name: parse_address(gateway.control) for gateway in fleet.gateways}

    async def all_ready() -> bool:
        answers = await gateway_client.call_each(controls, "HEALTH", 1.0)
        return all(answer.accepted for answer in answers)

    await _wait_until_ready(fleet, all_ready, "the gateways")
    load_balancer = LoadBalancer([parse_address(gateway.listen) for gateway in fleet.gateways])
    fleet.clients = Clients(
        load_balancer, create_customers(customers, len(fleet.gateways)), REQUEST_CLASSES, seeds[hosts]
    )
    fleet.clients.start()
    fleet.started_at = time.monotonic()
    if fault := fleet.fault:
        fleet.clients.observer = _record_losses(fault)
        others = [gateway.name for gateway in fleet.gateways]
        victim = others.pop(VICTIM_RANK)
        injection = fault.inject(victim, processes[VICTIM_RANK], others, lambda: start_gateway(VICTIM_RANK))
        fault.task = asyncio.get_running_loop().create_task(injection)


def _record_losses(fault: FaultInjection) -> Callable[[Customer, str, str, float, int], None]:
    def observe(customer: Customer, number: str, outcome: str, duration: float, rank: int) -> None:
        if outcome == "lost":
            fault.record_loss(rank, duration)

    return observe


async def poll_health(fleet: Fleet) -> None:
    """Update the gateways' health, which is shown when a fault is injected."""
    controls = {gateway.name: parse_address(gateway.control) for gateway in fleet.gateways}
    answers = await gateway_client.call_each(controls, "HEALTH", REFRESH_INTERVAL / 2)
    fleet.health = [answer.reply or f"no answer: {answer.failure}" for answer in answers]


async def _wait_until_ready(fleet: Fleet, ready: Any, component: str) -> None:
    expires = time.monotonic() + READY_TIMEOUT
    while not await ready():
        await check_processes(fleet)
        if time.monotonic() > expires:
            raise DemoError(f"{component} is not ready after {READY_TIMEOUT:g} s")
        await asyncio.sleep(0.05)


async def check_processes(fleet: Fleet) -> None:
    """Raise DemoError if a process has exited unexpectedly."""
    expected = fleet.fault.expected_exits if fleet.fault else ()
    for child in fleet.children.exited():
        if child in expected:
            continue
        raise DemoError(await child.exit_reason())


def _answers_http(address: str) -> bool:
    """Return whether an HTTP server answers at the address."""
    try:
        _http_get(address, "/registry/instances")
    except (OSError, http.client.HTTPException):
        return False
    return True


def _http_get(address: str, path: str) -> str | None:
    connection = http.client.HTTPConnection(*parse_address(address), timeout=1.0)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        text = response.read().decode()
        return text if response.status == 200 else None
    finally:
        connection.close()


def refusals_by_cause(addresses: list[str]) -> Counter[str]:
    """Count refusals by cause from the metrics of all gateways, except those that don't answer."""
    causes: Counter[str] = Counter()
    for address in addresses:
        try:
            text = _http_get(address, "/metrics") or ""
        except (OSError, http.client.HTTPException):
            continue
        for family in text_string_to_metric_families(text):
            if family.name == "birchdrum_refused":
                for sample in family.samples:
                    causes[sample.labels["cause"]] += int(sample.value)
    return +causes


async def stop_fleet(fleet: Fleet) -> None:
    """Stop clients, gateways, hosts and the registry, in this order."""
    expires = time.monotonic() + SHUTDOWN_TIMEOUT
    if fleet.fault:
        await fleet.fault.stop()

    def remaining() -> float:
        return expires - time.monotonic()

    if fleet.clients:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(fleet.clients.stop(), max(0.1, remaining()))
    await fleet.children.stop(remaining, [gateway.name for gateway in fleet.gateways] or ["-"])
    await asyncio.gather(*(registration.deregister() for registration in fleet.registrations))
    for host in fleet.hosts:
        await host.close()
    await fleet.children.stop(remaining)


# -- output -----------------------------------------------------------------------------------------------


def summary(fleet: Fleet) -> dict[str, Any]:
    """Return the figures of the run so far, for the JSON output and the tables."""
    clients = fleet.clients
    assert clients is not None
    elapsed = (fleet.stopped_at or time.monotonic()) - fleet.started_at
    rows: list[dict[str, Any]] = []
    for customer in clients.customers:
        customer_stats = clients.stats_by_customer[customer.number]
        allowance = customer.quota * elapsed + customer.burst
        latencies = sorted(customer_stats.latencies)
        rows.append(
            {
                "customer": f"{customer.number:016x}",
                "plan": customer.plan,
                "sent": customer_stats.sent,
                **{name: customer_stats.outcomes[name] for name in ("served", "refused", "failed", "lost")},
                "asked_of_quota": round(customer.rate * customer.units / customer.quota, 3),
                "used_of_quota": round(customer_stats.units / allowance, 3),
                "beyond_units": round(customer_stats.over_quota_units, 1),
                "median_ms": round(1000 * latencies[len(latencies) // 2], 1) if latencies else None,
            }
        )
    hosts = []
    for host in fleet.hosts:
        stats = host.stats
        turned_away = sum(stats.turned_away.values())
        hosts.append(
            {
                "host": host.name,
                "address": "{}:{}".format(*host.address),
                "begun": stats.started,
                "served": stats.served,
                "turned_away": turned_away,
                "running": host.station.running,
                "waiting": len(host.station.queue),
                "links": len(host.connections),
                "busy": round(stats.busy_time / (host.station.machine.slots * elapsed), 3)
                if elapsed
                else 0.0,
            }
        )
    total = {name: sum(row[name] for row in rows) for name in ("sent", "served", "refused", "failed", "lost")}
    fault = {"trouble": fleet.fault.summary(fleet.started_at)} if fleet.fault else {}
    return fault | {
        "seconds": round(elapsed, 1),
        "total": total,
        "refused_by_cause": dict(sorted(fleet.causes.items())),
        "customers": rows,
        "hosts": hosts,
    }


def find_problems(figures: dict[str, Any]) -> list[str]:
    """Return the problems of a run; empty if there are none."""
    total = figures["total"]
    problems = []
    if not total["served"] and total["sent"] >= MIN_SENT:
        problems.append("no request was served")
    lost = figures["trouble"]["lost_besides"] if "trouble" in figures else total["lost"]
    if lost:
        problems.append(f"{lost} requests were lost")
    over = [row["customer"] for row in figures["customers"] if row["used_of_quota"] > QUOTA_TOLERANCE]
    if over:
        problems.append(f"beyond their quota: {', '.join(over)}")
    return problems


def render(fleet: Fleet) -> Group:
    """Render the live table."""
    figures = summary(fleet)
    total = figures["total"]
    customer_table = Table(
        title=f"birchdrum demo, {figures['seconds']:.0f} s - Ctrl-C to stop", title_justify="left"
    )
    for name in ("customer", "plan", "sent", "served", "refused", "failed", "lost"):
        customer_table.add_column(name, justify="right" if name not in ("customer", "plan") else "left")
    for name in ("asked of quota", "used of quota", "median ms"):
        customer_table.add_column(name, justify="right")
    for row in figures["customers"]:
        customer_table.add_row(
            row["customer"][-4:],
            row["plan"],
            *(str(row[name]) for name in ("sent", "served", "refused", "failed", "lost")),
            f"{row['asked_of_quota']:.0%}",
            f"{row['used_of_quota']:.0%}",
            "-" if row["median_ms"] is None else f"{row['median_ms']:.0f}",
        )
    names = ("sent", "served", "refused", "failed", "lost")
    customer_table.add_section()
    customer_table.add_row("all", "", *(str(total[name]) for name in names), "", "", "")
    host_table = Table()
    columns = ("host", "begun", "served", "turned_away", "running", "waiting", "links")
    for name in (*columns, "busy"):
        host_table.add_column(name.replace("_", " "), justify="left" if name == "host" else "right")
    for row in figures["hosts"]:
        host_table.add_row(*(str(row[name]) for name in columns), f"{row['busy']:.0%}")
    causes = ", ".join(f"{name} {count}" for name, count in figures["refused_by_cause"].items()) or "none"
    parts: list[RenderableType] = []
    if fleet.fault:
        fault_table = Table()
        for name in ("gateway", "trouble", "health"):
            fault_table.add_column(name)
        for gateway, state in zip(fleet.gateways, fleet.health, strict=False):
            has_fault = fleet.fault.is_active and gateway.name == fleet.fault.gateway_name
            description = DESCRIPTIONS[fleet.fault.kind] if has_fault else ""
            fault_table.add_row(gateway.name, description, state, style="red" if has_fault else None)
        parts = [fault_table, describe(figures["trouble"])]
    return Group(
        *parts,
        customer_table,
        f"refused, as reported by the gateways: {causes}",
        host_table,
        *_usage_lines(fleet),
    )


def _usage_lines(fleet: Fleet) -> list[str]:
    first = fleet.gateways[0]
    lines = [
        f"{gateway.name}: clients {gateway.listen}, operators {gateway.control}, metrics http://{gateway.metrics}/metrics"
        for gateway in fleet.gateways
    ]
    lines.append(f"list: curl {fleet.registry[0]}/registry/instances   logs: {fleet.folder}")
    lines.append(f"send a request:    birchdrum call {first.listen} --class reading --plan domestic")
    lines.append(f"check all health:  birchdrum control health --fleet {fleet.folder / 'fleet.toml'}")
    return lines


def summary_lines(figures: dict[str, Any]) -> list[str]:
    """Format the summary as lines of text."""
    total = figures["total"]
    lines = [
        f"{figures['seconds']:.0f} s: "
        + ", ".join(f"{name} {total[name]}" for name in ("sent", "served", "refused", "failed", "lost"))
    ]
    causes = ", ".join(f"{name} {count}" for name, count in figures["refused_by_cause"].items())
    lines.append(f"refused by cause, as reported by the gateways: {causes or 'none'}")
    if "trouble" in figures:
        lines.append(describe(figures["trouble"]))
    for row in figures["customers"]:
        lines.append(
            f"customer {row['customer']} ({row['plan']}): asked for {row['asked_of_quota']:.0%} of its quota,"
            f" got {row['used_of_quota']:.0%}; served {row['served']}, refused {row['refused']}"
        )
    begun = ", ".join(f"{row['host']} {row['begun']}" for row in figures["hosts"])
    lines.append(f"requests begun by host: {begun}")
    return lines


# -- the run ----------------------------------------------------------------------------------------------


async def _run(
    span: float | None,
    as_json: bool,
    folder: Path,
    gateways: int,
    hosts: int,
    customers: int,
    seed: int,
    trouble: str | None,
) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(signal_number, stop.set)
    fault = FaultInjection(trouble, span) if trouble else None
    starting = loop.create_task(start_fleet(folder, gateways, hosts, customers, seed, fault))
    stopping = loop.create_task(stop.wait())
    await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        return 130
    fleet = await starting
    console = Console(stderr=as_json)
    is_live = console.is_terminal and not as_json
    metrics = [gateway.metrics for gateway in fleet.gateways]
    if not is_live and not as_json:
        print("\n".join(_usage_lines(fleet)), flush=True)
    try:
        with (
            Live(console=console, auto_refresh=False, transient=True)
            if is_live
            else contextlib.nullcontext() as display
        ):
            expires = None if span is None else fleet.started_at + span
            while not stop.is_set() and (expires is None or time.monotonic() < expires):
                remaining = (
                    REFRESH_INTERVAL if expires is None else min(REFRESH_INTERVAL, expires - time.monotonic())
                )
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(stop.wait(), max(0.0, remaining))
                await check_processes(fleet)
                if fleet.fault:
                    await poll_health(fleet)
                fleet.causes = await asyncio.to_thread(refusals_by_cause, metrics)
                if display is not None:
                    display.update(render(fleet), refresh=True)
        fleet.stopped_at = time.monotonic()
        if fleet.clients:
            await fleet.clients.stop()  # pending requests get their answers, so that the totals agree
        fleet.causes = await asyncio.to_thread(refusals_by_cause, metrics)
        figures = summary(fleet)
    finally:
        await stop_fleet(fleet)
        stopping.cancel()
    problems = find_problems(figures)
    print(
        json.dumps(figures | {"wrong": problems}) if as_json else "\n".join(summary_lines(figures)),
        flush=True,
    )
    for line in problems:
        print(f"birchdrum: {line}", file=sys.stderr)
    return 1 if problems else 0


def run(
    span: float | None,
    as_json: bool,
    gateways: int,
    hosts: int,
    customers: int,
    seed: int,
    trouble: str | None = None,
) -> int:
    """Run the demo until Ctrl-C or for ``span`` seconds and return the exit code."""
    with tempfile.TemporaryDirectory(prefix="birchdrum-demo-") as folder:
        try:
            return asyncio.run(_run(span, as_json, Path(folder), gateways, hosts, customers, seed, trouble))
        except (DemoError, OSError) as error:
            print(f"birchdrum: {error}", file=sys.stderr)
            return 1
