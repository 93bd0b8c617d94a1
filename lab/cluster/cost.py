"""What membership costs a gateway in processor time: the same fleet with it and without, under one load."""

from __future__ import annotations

import asyncio
import shutil
import statistics
import tempfile
from pathlib import Path

import msgspec

from lab.clients import Customer, Kind, Line, command

from .fleet import PLAN, Fleet
from .guard import Guard
from .schedule import Schedule

LINES = 8  # connections that the load comes on
KIND = Kind("reading", "repeatable", 2.0)


def processor_ns(pid: int) -> int:
    """Nanoseconds that a process has run, all threads."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)


async def _load(fleet: Fleet, rate: float, seconds: float) -> int:
    """So many requests a second to the first gateway, of customers within quotas; how many were sent."""
    loop, gateway = asyncio.get_running_loop(), fleet.gateways[0]
    ends, sent = loop.time() + seconds, 0

    async def one(number: int) -> None:
        nonlocal sent
        _, line = await loop.create_connection(Line, *gateway.listen)
        due = loop.time()
        while loop.time() < ends:
            customer = Customer(10_000 + sent % 1_000, PLAN, 1.0, 4.0, 12.0, 0, len(fleet.gateways))
            sent += 1
            await line.ask(command(customer, KIND, f"{number}-{sent}"), 3.0)
            due += LINES / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
        if line.transport:
            line.transport.close()

    await asyncio.gather(*(one(number) for number in range(LINES)))
    return sent


async def measure(schedule: Schedule, seed: int, rate: float, seconds: float) -> tuple[float, float]:
    """Microseconds of the first gateway's processor time a request under load, and a second at rest."""
    folder = Path(tempfile.mkdtemp(prefix="birchdrum-cost-"))
    guard = Guard(folder)
    fleet = Fleet(schedule, seed, folder / "out", folder, "birchdrum", None)
    try:
        await fleet.start()
        child = fleet.gateways[0].child
        assert child is not None
        pid = child.process.pid
        await _load(fleet, rate, seconds / 4)  # warm
        before = processor_ns(pid)
        sent = await _load(fleet, rate, seconds)
        loaded = (processor_ns(pid) - before) / 1_000 / sent
        await asyncio.sleep(1.0)
        before = processor_ns(pid)
        await asyncio.sleep(seconds / 2)
        return loaded, (processor_ns(pid) - before) / 1_000 / (seconds / 2)
    finally:
        await fleet.end()
        guard.end()
        shutil.rmtree(folder, ignore_errors=True)


async def pairs(schedule: Schedule, count: int, rate: float, seconds: float) -> list[str]:
    """Lines of a table: each pair, then the medians."""
    lines, ratios, rests = [], [], []
    for seed in range(1, count + 1):
        found = {}
        for on in (True, False) if seed % 2 else (False, True):
            found[on] = await measure(msgspec.structs.replace(schedule, membership=on), seed, rate, seconds)
        ratios.append(found[True][0] / found[False][0])
        rests.append(found[True][1] - found[False][1])
        lines.append(f"pair {seed}: {found[False][0]:.0f} us a request without, {found[True][0]:.0f} with")
    lines.append(
        f"median of {count}: {statistics.median(ratios):.3f} times a request at {rate:g} a second;"
        f" {statistics.median(rests):.0f} us more a second at rest"
    )
    return lines
