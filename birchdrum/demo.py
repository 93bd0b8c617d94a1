"""A small fleet on loopback: list service and gateways as processes, stand-ins for the rest in this one."""

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
from lab.children import Child, Children
from lab.clients import Clients, Customer, Front, Kind
from lab.hosts import Host, Machine
from lab.registration import Registration

from . import calling
from .trouble import VICTIM, WORDS, Trouble, told

ZONES = ("building-a", "building-b")
KINDS = (Kind("reading", "repeatable", 2.0), Kind("order", "by_key", 3.0))
PLANS = {"domestic": (4.0, 12.0), "large-user": (20.0, 40.0)}  # units a second and burst of a customer
# Of its quota: what each customer asks for on average. Every third one asks for more than it may.
DEMANDS = (0.5, 0.9, 1.6)
READY_WITHIN = 20.0  # seconds
END_WITHIN = 8.0  # seconds for the fleet to end
SENT_LEAST = 20  # requests: after fewer, none served says nothing yet
LOOK_EVERY = 0.5  # seconds between two pictures
SLACK = 1.1  # what a customer may get of its quota, as gateways decide on counts that are a moment old


class Broken(Exception):
    """The demo can't go on; the text says why."""


@dataclass(slots=True)
class Address:
    """The addresses of one gateway."""

    name: str
    listen: str
    control: str
    metrics: str
    peer: str


@dataclass(slots=True)
class Fleet:
    """What is running, and what has been seen of it."""

    folder: Path
    children: Children
    gateways: list[Address]
    registry: tuple[str, str]  # where readers and writers call, and where operators do
    hosts: list[Host] = field(default_factory=list)
    registrations: list[Registration] = field(default_factory=list)
    clients: Clients | None = None
    began: float = field(default_factory=time.monotonic)
    ended: float = 0.0  # when clients asked no more
    causes: Counter[str] = field(default_factory=Counter)  # of refusals, as the gateways tell
    trouble: Trouble | None = None
    states: list[str] = field(default_factory=list)  # of the gateways, by their own word


def split(address: str) -> tuple[str, int]:
    """``HOST:PORT`` as a pair."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def gateway_file(fleet: Fleet, rank: int) -> str:
    """One gateway's configuration, as a person would write it."""
    own = fleet.gateways[rank]
    relay = fleet.trouble.datagrams if fleet.trouble else None
    peers = [
        gateway.peer
        if gateway is own or relay is None
        else "{}:{}".format(*relay.address((own.name, gateway.name)))
        for gateway in fleet.gateways
    ]
    return tomlkit.dumps(
        {
            "name": own.name,
            "listen": own.listen,
            "discovery": fleet.registry[0],
            "control": own.control,
            "metrics": own.metrics,
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
                {"name": KINDS[0].name, "effect": "repeatable", "aim": "500ms", "deadline": "2s"},
                {"name": KINDS[1].name, "effect": "by_key", "aim": "1s", "deadline": "3s"}
                | {"repeat_window": "5s", "worth": 3.0},
            ],
            "plans": [{"name": name, "rate": rate, "burst": burst} for name, (rate, burst) in PLANS.items()],
        }
    )


def customers(count: int, gateways: int) -> list[Customer]:
    """Some of each plan and demand, their sets shifted round the gateways."""
    done = []
    for i in range(count):
        plan = list(PLANS)[i % len(PLANS)]
        quota, burst = PLANS[plan]
        rate = quota * DEMANDS[i // len(PLANS) % len(DEMANDS)]
        done.append(Customer(100 + i, plan, rate, quota, burst, i % gateways, min(2, gateways)))
    return done


async def start(
    folder: Path, gateways: int, hosts: int, count: int, seed: int, trouble: Trouble | None
) -> Fleet:
    """Bring all of it up, the list service first; raises Broken."""
    addresses = iter(ports.allocate(2 + 4 * gateways))

    def address() -> str:
        return f"127.0.0.1:{next(addresses)}"

    own = [Address(f"gw-{rank}", address(), address(), address(), address()) for rank in range(gateways)]
    # A process that stands still takes no other word.
    children = Children(folder, signal.SIGKILL if trouble else signal.SIGTERM)
    fleet = Fleet(folder, children, own, (address(), address()), trouble=trouble)
    if trouble and trouble.kind == "cut":
        trouble.relay({gateway.name: split(gateway.peer) for gateway in own}, seed)
    try:
        await _start_parts(fleet, hosts, count, seed)
    except BaseException:
        await end(fleet)
        raise
    return fleet


async def _start_parts(fleet: Fleet, hosts: int, count: int, seed: int) -> None:
    folder, children = fleet.folder, fleet.children
    # Nobody's configuration but the files here: TMPDIR would have gateways look for a process before them.
    environment = {k: v for k, v in os.environ.items() if not k.startswith(("BIRCHDRUM_", "LB_", "TMPDIR"))}
    parts = np.random.SeedSequence(seed).spawn(hosts + 1)
    store = folder / "list.db"
    words = ["registry", "serve", "--listen", fleet.registry[0], "--operators", fleet.registry[1]]
    await children.start(
        "registry", *words, "--store", store, "--new", "--settle", "0", environment=environment
    )
    machine = Machine(slots=8, work={b"reading": 0.03, b"order": 0.08}, cold_from=0.5, warm_within=3.0)
    for i, part in enumerate(parts[:hosts]):
        host = await Host(f"host-{i}", machine, np.random.default_rng(part)).listen()
        fleet.hosts.append(host)
        dial = "{}:{}".format(*host.address)
        service = split(fleet.registry[0])
        fleet.registrations.append(
            Registration(service, host.name, dial, ZONES[i % len(ZONES)], block=i // 4)
        )
    await _wait(fleet, lambda: asyncio.to_thread(_answers, fleet.registry[0]), "the list service")
    for registration in fleet.registrations:
        if not await registration.register():
            raise Broken(f"{registration.name} can't register: {registration.failures[-1]}")
        registration.start()

    async def begin(rank: int) -> Child:
        file = folder / f"{fleet.gateways[rank].name}.toml"
        file.write_text(gateway_file(fleet, rank))
        return await children.start(fleet.gateways[rank].name, "gateway", file, environment=environment)

    begun = [await begin(rank) for rank in range(len(fleet.gateways))]
    (folder / "fleet.toml").write_text(
        tomlkit.dumps({"gateways": {gateway.name: gateway.control for gateway in fleet.gateways}})
    )
    controls = {gateway.name: split(gateway.control) for gateway in fleet.gateways}

    async def all_ready() -> bool:
        answers = await calling.each(controls, "HEALTH", 1.0)
        return all(answer.done for answer in answers)

    await _wait(fleet, all_ready, "the gateways")
    front = Front([split(gateway.listen) for gateway in fleet.gateways])
    fleet.clients = Clients(front, customers(count, len(fleet.gateways)), KINDS, parts[hosts])
    fleet.clients.start()
    fleet.began = time.monotonic()
    if trouble := fleet.trouble:
        fleet.clients.observer = _watch_losses(trouble)
        others = [gateway.name for gateway in fleet.gateways]
        victim = others.pop(VICTIM)
        work = trouble.play(victim, begun[VICTIM], others, lambda: begin(VICTIM))
        trouble.task = asyncio.get_running_loop().create_task(work)


def _watch_losses(trouble: Trouble) -> Callable[[Customer, str, str, float, int], None]:
    def seen(customer: Customer, number: str, came: str, took: float, rank: int) -> None:
        if came == "lost":
            trouble.lost(rank, took)

    return seen


async def look(fleet: Fleet) -> None:
    """What gateways say of themselves, where something goes wrong with one."""
    controls = {gateway.name: split(gateway.control) for gateway in fleet.gateways}
    answers = await calling.each(controls, "HEALTH", LOOK_EVERY / 2)
    fleet.states = [answer.said or f"no answer: {answer.why}" for answer in answers]


async def _wait(fleet: Fleet, ready: Any, what: str) -> None:
    ends = time.monotonic() + READY_WITHIN
    while not await ready():
        await broken(fleet)
        if time.monotonic() > ends:
            raise Broken(f"{what} is not ready after {READY_WITHIN:g} s")
        await asyncio.sleep(0.05)


async def broken(fleet: Fleet) -> None:
    """Raise Broken where a process has ended by itself."""
    expected = fleet.trouble.expected if fleet.trouble else ()
    for child in fleet.children.exited():
        if child in expected:
            continue
        raise Broken(await child.exit_reason())


def _answers(address: str) -> bool:
    """Whether HTTP is spoken there by now."""
    try:
        _get(address, "/registry/instances")
    except (OSError, http.client.HTTPException):
        return False
    return True


def _get(address: str, path: str) -> str | None:
    link = http.client.HTTPConnection(*split(address), timeout=1.0)
    try:
        link.request("GET", path)
        answer = link.getresponse()
        text = answer.read().decode()
        return text if answer.status == 200 else None
    finally:
        link.close()


def refusals(addresses: list[str]) -> Counter[str]:
    """Causes of refusals over all gateways, from their metrics; one that does not answer tells none."""
    causes: Counter[str] = Counter()
    for address in addresses:
        try:
            text = _get(address, "/metrics") or ""
        except (OSError, http.client.HTTPException):
            continue
        for family in text_string_to_metric_families(text):
            if family.name == "birchdrum_refused":
                for sample in family.samples:
                    causes[sample.labels["cause"]] += int(sample.value)
    return +causes


async def end(fleet: Fleet) -> None:
    """Clients, then gateways, hosts and the list service: nothing is left."""
    ends = time.monotonic() + END_WITHIN
    if fleet.trouble:
        await fleet.trouble.end()

    def left() -> float:
        return ends - time.monotonic()

    if fleet.clients:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(fleet.clients.stop(), max(0.1, left()))
    await fleet.children.stop(left, [gateway.name for gateway in fleet.gateways] or ["-"])
    await asyncio.gather(*(registration.leave() for registration in fleet.registrations))
    for host in fleet.hosts:
        await host.close()
    await fleet.children.stop(left)


# -- what is shown ----------------------------------------------------------------------------------------


def summary(fleet: Fleet) -> dict[str, Any]:
    """All figures by now, for people and machines."""
    clients = fleet.clients
    assert clients is not None
    span = (fleet.ended or time.monotonic()) - fleet.began
    rows: list[dict[str, Any]] = []
    for customer in clients.customers:
        account = clients.accounts[customer.number]
        may = customer.quota * span + customer.burst
        times = sorted(account.times)
        rows.append(
            {
                "customer": f"{customer.number:016x}",
                "plan": customer.plan,
                "sent": account.sent,
                **{name: account.answers[name] for name in ("served", "refused", "failed", "lost")},
                "asked_of_quota": round(customer.rate * customer.units / customer.quota, 3),
                "used_of_quota": round(account.units / may, 3),
                "beyond_units": round(account.overrun, 1),
                "median_ms": round(1000 * times[len(times) // 2], 1) if times else None,
            }
        )
    hosts = []
    for host in fleet.hosts:
        seen = host.seen
        away = sum(seen.turned_away.values())
        hosts.append(
            {
                "host": host.name,
                "address": "{}:{}".format(*host.address),
                "begun": seen.begun,
                "served": seen.served,
                "turned_away": away,
                "running": host.station.running,
                "waiting": len(host.station.queue),
                "links": len(host.links),
                "busy": round(seen.busy_time / (host.station.machine.slots * span), 3) if span else 0.0,
            }
        )
    total = {name: sum(row[name] for row in rows) for name in ("sent", "served", "refused", "failed", "lost")}
    trouble = {"trouble": fleet.trouble.figures(fleet.began)} if fleet.trouble else {}
    return trouble | {
        "seconds": round(span, 1),
        "total": total,
        "refused_by_cause": dict(sorted(fleet.causes.items())),
        "customers": rows,
        "hosts": hosts,
    }


def verdict(figures: dict[str, Any]) -> list[str]:
    """What is wrong with a run; empty: nothing."""
    total, wrong = figures["total"], []
    if not total["served"] and total["sent"] >= SENT_LEAST:
        wrong.append("no request was served")
    lost = figures["trouble"]["lost_besides"] if "trouble" in figures else total["lost"]
    if lost:
        wrong.append(f"{lost} requests were lost")
    over = [row["customer"] for row in figures["customers"] if row["used_of_quota"] > SLACK]
    if over:
        wrong.append(f"beyond their quota: {', '.join(over)}")
    return wrong


def picture(fleet: Fleet) -> Group:
    """The live table."""
    figures = summary(fleet)
    total = figures["total"]
    head = Table(title=f"birchdrum demo, {figures['seconds']:.0f} s - Ctrl-C ends it", title_justify="left")
    for name in ("customer", "plan", "sent", "served", "refused", "failed", "lost"):
        head.add_column(name, justify="right" if name not in ("customer", "plan") else "left")
    for name in ("asks of quota", "got of quota", "median ms"):
        head.add_column(name, justify="right")
    for row in figures["customers"]:
        head.add_row(
            row["customer"][-4:],
            row["plan"],
            *(str(row[name]) for name in ("sent", "served", "refused", "failed", "lost")),
            f"{row['asked_of_quota']:.0%}",
            f"{row['used_of_quota']:.0%}",
            "-" if row["median_ms"] is None else f"{row['median_ms']:.0f}",
        )
    names = ("sent", "served", "refused", "failed", "lost")
    head.add_section()
    head.add_row("all", "", *(str(total[name]) for name in names), "", "", "")
    hosts = Table()
    columns = ("host", "begun", "served", "turned_away", "running", "waiting", "links")
    for name in (*columns, "busy"):
        hosts.add_column(name.replace("_", " "), justify="left" if name == "host" else "right")
    for row in figures["hosts"]:
        hosts.add_row(*(str(row[name]) for name in columns), f"{row['busy']:.0%}")
    causes = ", ".join(f"{name} {count}" for name, count in figures["refused_by_cause"].items()) or "none"
    parts: list[RenderableType] = []
    if fleet.trouble:
        view = Table()
        for name in ("gateway", "trouble", "what it says of itself"):
            view.add_column(name)
        for gateway, state in zip(fleet.gateways, fleet.states, strict=False):
            mark = fleet.trouble.is_on and gateway.name == fleet.trouble.name
            word = WORDS[fleet.trouble.kind] if mark else ""
            view.add_row(gateway.name, word, state, style="red" if mark else None)
        parts = [view, told(figures["trouble"])]
    return Group(*parts, head, f"refused, as the gateways tell: {causes}", hosts, *_addresses(fleet))


def _addresses(fleet: Fleet) -> list[str]:
    one = fleet.gateways[0]
    lines = [
        f"{g.name}: clients {g.listen}, operators {g.control}, metrics http://{g.metrics}/metrics"
        for g in fleet.gateways
    ]
    lines.append(f"list: curl {fleet.registry[0]}/registry/instances   logs: {fleet.folder}")
    lines.append(f"send one yourself: birchdrum call {one.listen} --class reading --plan domestic")
    lines.append(f"ask them all:      birchdrum control health --fleet {fleet.folder / 'fleet.toml'}")
    return lines


def plain(figures: dict[str, Any]) -> list[str]:
    """The summary in plain lines."""
    total = figures["total"]
    lines = [
        f"{figures['seconds']:.0f} s: "
        + ", ".join(f"{name} {total[name]}" for name in ("sent", "served", "refused", "failed", "lost"))
    ]
    causes = ", ".join(f"{name} {count}" for name, count in figures["refused_by_cause"].items())
    lines.append(f"refused by cause, as the gateways tell: {causes or 'none'}")
    if "trouble" in figures:
        lines.append(told(figures["trouble"]))
    for row in figures["customers"]:
        lines.append(
            f"customer {row['customer']} ({row['plan']}): asked for {row['asked_of_quota']:.0%} of its quota,"
            f" got {row['used_of_quota']:.0%}; served {row['served']}, refused {row['refused']}"
        )
    shares = ", ".join(f"{row['host']} {row['begun']}" for row in figures["hosts"])
    lines.append(f"begun at hosts: {shares}")
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
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, stop.set)
    wrong_thing = Trouble(trouble, span) if trouble else None
    starting = loop.create_task(start(folder, gateways, hosts, customers, seed, wrong_thing))
    stopping = loop.create_task(stop.wait())
    await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        return 130
    fleet = await starting
    console = Console(stderr=as_json)
    live = console.is_terminal and not as_json
    metrics = [gateway.metrics for gateway in fleet.gateways]
    if not live and not as_json:
        print("\n".join(_addresses(fleet)), flush=True)
    try:
        with (
            Live(console=console, auto_refresh=False, transient=True)
            if live
            else contextlib.nullcontext() as view
        ):
            ends = None if span is None else fleet.began + span
            while not stop.is_set() and (ends is None or time.monotonic() < ends):
                left = LOOK_EVERY if ends is None else min(LOOK_EVERY, ends - time.monotonic())
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(stop.wait(), max(0.0, left))
                await broken(fleet)
                if fleet.trouble:
                    await look(fleet)
                fleet.causes = await asyncio.to_thread(refusals, metrics)
                if view is not None:
                    view.update(picture(fleet), refresh=True)
        fleet.ended = time.monotonic()
        if fleet.clients:
            await fleet.clients.stop()  # what is out gets its answer, so that the sums agree
        fleet.causes = await asyncio.to_thread(refusals, metrics)
        figures = summary(fleet)
    finally:
        await end(fleet)
        stopping.cancel()
    wrong = verdict(figures)
    print(json.dumps(figures | {"wrong": wrong}) if as_json else "\n".join(plain(figures)), flush=True)
    for line in wrong:
        print(f"birchdrum: {line}", file=sys.stderr)
    return 1 if wrong else 0


def run(
    span: float | None,
    as_json: bool,
    gateways: int,
    hosts: int,
    customers: int,
    seed: int,
    trouble: str | None = None,
) -> int:
    """Until Ctrl-C, or for so many seconds; the exit code."""
    with tempfile.TemporaryDirectory(prefix="birchdrum-demo-") as folder:
        try:
            return asyncio.run(_run(span, as_json, Path(folder), gateways, hosts, customers, seed, trouble))
        except (Broken, OSError) as wrong:
            print(f"birchdrum: {wrong}", file=sys.stderr)
            return 1
