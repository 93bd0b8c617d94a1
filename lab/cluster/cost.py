"""Measurement of the CPU time that membership costs a gateway: the same fleet and load with and without."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import statistics
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from lab.clients import Customer, GatewayConnection, RequestClass, encode_request

from .fleet import PLAN_NAME, Fleet
from .guard import FolderGuard
from .schedule import Schedule

CONNECTIONS = 8  # of the load generator
REQUEST_CLASS = RequestClass("reading", "repeatable", 2.0)


def cpu_time_ns(pid: int) -> int:
    """Return the CPU time of all threads of a process, in nanoseconds."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)


async def _generate_load(fleet: Fleet, rate: float, seconds: float) -> int:
    """Send ``rate`` requests a second to the first gateway, from customers within their quotas.

    Return the number of requests sent.
    """
    loop = asyncio.get_running_loop()
    gateway = fleet.gateways[0]
    end_time = loop.time() + seconds
    sent = 0

    async def send_requests(index: int) -> None:
        nonlocal sent
        _, connection = await loop.create_connection(GatewayConnection, *gateway.listen)
        next_request = loop.time()
        while loop.time() < end_time:
            customer = Customer(10_000 + sent % 1_000, PLAN_NAME, 1.0, 4.0, 12.0, 0, len(fleet.gateways))
            sent += 1
            await connection.request(encode_request(customer, REQUEST_CLASS, f"{index}-{sent}"), 3.0)
            next_request += CONNECTIONS / rate
            await asyncio.sleep(max(0.0, next_request - loop.time()))
        if connection.transport:
            connection.transport.close()

    await asyncio.gather(*(send_requests(index) for index in range(CONNECTIONS)))
    return sent


@contextlib.asynccontextmanager
async def _running_fleet(schedule: Schedule, seed: int) -> AsyncIterator[tuple[Fleet, int]]:
    """Run a fleet, and provide it with the process id of its first gateway.

    At exit stop it and remove its files.
    """
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


async def measure_pairs(schedule: Schedule, pair_count: int, rate: float, seconds: float) -> list[str]:
    """Measure ``pair_count`` pairs, each with and without membership; return the lines of a table.

    Both fleets run all the time and are loaded alternately, so that other load on the machine affects both
    alike.
    """
    schedule_without = msgspec.structs.replace(schedule, membership=False)
    # By whether the fleet has membership.
    request_costs: dict[bool, list[float]] = {True: [], False: []}  # microseconds a request
    idle_costs: dict[bool, list[float]] = {True: [], False: []}  # microseconds a second
    async with (
        _running_fleet(schedule, 1) as with_membership,
        _running_fleet(schedule_without, 2) as without_membership,
    ):
        fleets = {True: with_membership, False: without_membership}
        for fleet, _ in fleets.values():
            await _generate_load(fleet, rate, seconds)  # warm-up
        for index in range(pair_count):
            for membership in (True, False) if index % 2 else (False, True):
                fleet, pid = fleets[membership]
                cpu_before = cpu_time_ns(pid)
                sent = await _generate_load(fleet, rate, seconds)
                request_costs[membership].append((cpu_time_ns(pid) - cpu_before) / 1_000 / sent)
            await asyncio.sleep(1.0)
            idle_starts = {membership: cpu_time_ns(pid) for membership, (_, pid) in fleets.items()}
            await asyncio.sleep(seconds)
            for membership, (_, pid) in fleets.items():
                idle_costs[membership].append((cpu_time_ns(pid) - idle_starts[membership]) / 1_000 / seconds)
    return _table(pair_count, rate, seconds, request_costs, idle_costs)


def _table(
    pair_count: int,
    rate: float,
    seconds: float,
    request_costs: dict[bool, list[float]],
    idle_costs: dict[bool, list[float]],
) -> list[str]:
    ratios = [a / b for a, b in zip(request_costs[True], request_costs[False], strict=True)]
    idle_differences = [a - b for a, b in zip(idle_costs[True], idle_costs[False], strict=True)]
    lower_quartile, median, upper_quartile = (
        statistics.quantiles(ratios, n=4) if pair_count > 1 else ratios * 3
    )
    median_costs = {membership: statistics.median(costs) for membership, costs in request_costs.items()}
    return [
        f"{rate:g} requests a second, {pair_count} pairs of {seconds:g} s:"
        f" {median_costs[False]:.0f} us a request without, {median_costs[True]:.0f} with",
        f"ratio in pairs: median {median:.3f},"
        f" interquartile range {lower_quartile:.3f} to {upper_quartile:.3f}",
        f"at rest: {statistics.median(idle_differences) / 1_000:.2f} ms a second more,"
        f" {min(idle_differences) / 1_000:.2f} to {max(idle_differences) / 1_000:.2f}",
    ]
