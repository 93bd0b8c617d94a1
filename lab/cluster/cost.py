"""What membership costs a gateway in processor time: the same fleet with it and without, under one load."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import statistics
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from lab.clients import Customer, Kind, Line, command

from .fleet import PLAN_NAME, Fleet
from .guard import FolderGuard
from .schedule import Schedule

LINES = 8  # connections that the load comes on
KIND = Kind("reading", "repeatable", 2.0)


def processor_ns(pid: int) -> int:
    """Nanoseconds that a process has run, all threads."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)


async def _load(fleet: Fleet, rate: float, seconds: float) -> int:
    """So many requests a second to the first gateway, of customers within quotas; how many were sent."""
    loop = asyncio.get_running_loop()
    gateway = fleet.gateways[0]
    ends = loop.time() + seconds
    sent = 0

    async def one(number: int) -> None:
        nonlocal sent
        _, line = await loop.create_connection(Line, *gateway.listen)
        due = loop.time()
        while loop.time() < ends:
            customer = Customer(10_000 + sent % 1_000, PLAN_NAME, 1.0, 4.0, 12.0, 0, len(fleet.gateways))
            sent += 1
            await line.ask(command(customer, KIND, f"{number}-{sent}"), 3.0)
            due += LINES / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
        if line.transport:
            line.transport.close()

    await asyncio.gather(*(one(number) for number in range(LINES)))
    return sent


@contextlib.asynccontextmanager
async def _up(schedule: Schedule, seed: int) -> AsyncIterator[tuple[Fleet, int]]:
    """A fleet, and its first gateway's process; nothing is left of it."""
    folder = Path(tempfile.mkdtemp(prefix="birchdrum-cost-"))
    guard = FolderGuard(folder)
    fleet = Fleet(schedule, seed, folder / "out", folder, "birchdrum", None)
    try:
        await fleet.start()
        child = fleet.gateways[0].child
        assert child is not None
        yield fleet, child.process.pid
    finally:
        await fleet.stop()
        guard.remove()
        shutil.rmtree(folder, ignore_errors=True)


async def measure_pairs(schedule: Schedule, count: int, rate: float, seconds: float) -> list[str]:
    """Lines of a table. Both fleets are up all the time and are loaded in turn, so that what the machine does
    meanwhile falls on both alike."""
    without = msgspec.structs.replace(schedule, membership=False)
    loaded: dict[bool, list[float]] = {True: [], False: []}  # microseconds a request, with membership or not
    rests: dict[bool, list[float]] = {True: [], False: []}  # microseconds a second
    async with _up(schedule, 1) as on, _up(without, 2) as off:
        fleets = {True: on, False: off}
        for fleet, _ in fleets.values():
            await _load(fleet, rate, seconds)  # warm
        for number in range(count):
            for which in (True, False) if number % 2 else (False, True):
                fleet, pid = fleets[which]
                before = processor_ns(pid)
                sent = await _load(fleet, rate, seconds)
                loaded[which].append((processor_ns(pid) - before) / 1_000 / sent)
            await asyncio.sleep(1.0)
            marks = {which: processor_ns(pid) for which, (_, pid) in fleets.items()}
            await asyncio.sleep(seconds)
            for which, (_, pid) in fleets.items():
                rests[which].append((processor_ns(pid) - marks[which]) / 1_000 / seconds)
    return _table(count, rate, seconds, loaded, rests)


def _table(
    count: int,
    rate: float,
    seconds: float,
    loaded: dict[bool, list[float]],
    rests: dict[bool, list[float]],
) -> list[str]:
    ratios = [a / b for a, b in zip(loaded[True], loaded[False], strict=True)]
    more = [a - b for a, b in zip(rests[True], rests[False], strict=True)]
    first, middle, last = statistics.quantiles(ratios, n=4) if count > 1 else ratios * 3
    each = {which: statistics.median(costs) for which, costs in loaded.items()}
    return [
        f"{rate:g} requests a second, {count} pairs of {seconds:g} s:"
        f" {each[False]:.0f} us a request without, {each[True]:.0f} with",
        f"ratio in pairs: median {middle:.3f}, half of them {first:.3f} to {last:.3f}",
        f"at rest: {statistics.median(more) / 1_000:.2f} ms a second more,"
        f" {min(more) / 1_000:.2f} to {max(more) / 1_000:.2f}",
    ]
