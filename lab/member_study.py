"""Measurements of membership on the virtual clock, as JSON files; all variants run with the same seeds."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy as np

from .member_baselines import VARIANTS
from .membership import SECOND, World

CONVERGENCE_TIMEOUT = 40.0  # seconds
OBSERVATION_TIME = 120.0  # seconds in which false death declarations are counted
PAUSE_DURATION = (0.2, 8.0)  # seconds, minimum and maximum
PAUSED_FRACTION = 0.1  # of the members, at any time


@dataclass(frozen=True, slots=True)
class Job:
    """One measurement of one variant with one seed."""

    what: str
    variant: str
    size: int
    seed: int
    loss: float = 0.0

    @property
    def name(self) -> str:
        """Name of the result file, without its extension."""
        return f"{self.what}.{self.variant}.{self.size}.{self.loss:g}.{self.seed}"


def _world(job: Job) -> World:
    world = World(job.size, job.seed, VARIANTS[job.variant], job.loss)
    world.run_until(world.converged, CONVERGENCE_TIMEOUT)
    world.run(5)
    world.events.clear()
    return world


def measure_kill_detection(job: Job) -> dict[str, Any]:
    """Measure the seconds until each member declares a killed one dead, for three kills in succession."""
    world = _world(job)
    times = []
    for victim in range(3):
        world.events.clear()
        began = world.kernel.now
        world.kill(victim)
        try:
            world.run_until(lambda victim=victim: world.all_agree(victim, False), 30)  # type: ignore[misc]
        except TimeoutError:
            times.append(30.0)
        declared = {
            event.observer: event.time for event in world.death_events() if event.fields["member"] == victim
        }
        times += [(time - began) / SECOND for time in declared.values()]
        world.run(2)
    return {"seconds": times}


def measure_false_deaths(job: Job) -> dict[str, Any]:
    """Count the death declarations about running members, and the member hours observed."""
    world = _world(job)
    world.run(OBSERVATION_TIME)
    return {"false": len(world.death_events()), "hours": OBSERVATION_TIME * job.size / 3600}


def measure_false_deaths_with_pauses(job: Job) -> dict[str, Any]:
    """Count the death declarations while one in ten members is paused at any time.

    In the result, ``words`` counts all of them, ``false`` those about members that were not paused, and
    ``hours`` the member hours observed.
    """
    world = _world(job)
    rng = np.random.default_rng([job.seed, 1])
    end = world.kernel.now + int(OBSERVATION_TIME * SECOND)
    paused: dict[int, int] = {}  # rank: end of the pause
    pauses_made: list[tuple[int, int, int]] = []  # rank, start, end
    while world.kernel.now < end:
        now = world.kernel.now
        paused = {rank: until for rank, until in paused.items() if until > now}
        while len(paused) < max(1, round(PAUSED_FRACTION * job.size)):
            rank = int(rng.integers(job.size))
            if rank not in paused:
                duration = float(rng.uniform(*PAUSE_DURATION))
                paused[rank] = now + int(duration * SECOND)
                pauses_made.append((rank, now, paused[rank]))
                world.pause(rank, duration)
        world.run(0.1)
    grace = 5 * SECOND  # a death declaration because of a pause may follow the pause by this much
    false_count = 0
    for event in world.death_events():
        member = event.fields["member"]
        false_count += not any(
            rank == member and began <= event.time <= until + grace for rank, began, until in pauses_made
        )
    return {
        "false": false_count,
        "words": len(world.death_events()),
        "hours": OBSERVATION_TIME * job.size / 3600,
    }


def measure_link_failure_detection(job: Job) -> dict[str, Any]:
    """Measure the seconds until any member reports a link that failed in one direction, for six links."""
    world = _world(job)
    rng = np.random.default_rng([job.seed, 2])
    times = []
    for _ in range(6):
        a, b = (int(rank) for rank in rng.choice(job.size, 2, replace=False))
        world.events.clear()
        world.blocked_links = {(a, b)}
        began = world.kernel.now
        report = {"from": a, "to": b, "down": True}

        def is_reported(report: dict[str, Any] = report) -> bool:
            return any(event.fields == report for event in world.events)

        try:
            world.run_until(is_reported, 60)
            times.append(
                (next(event.time for event in world.events if event.fields == report) - began) / SECOND
            )
        except TimeoutError:
            times.append(60.0)
        world.blocked_links = set()
        world.run(5)
    return {"seconds": times}


def measure_heal(job: Job) -> dict[str, Any]:
    """Measure the seconds to converge after a partition into halves for 10 s, and the messages meanwhile.

    Messages are per member and second.
    """
    world = _world(job)
    world.partition(range(job.size // 2))
    world.run(10)
    before = world.traffic["messages"]
    world.blocked_links = set()
    try:
        took = world.run_until(world.converged, 60)
    except TimeoutError:
        took = 60.0
    sent = world.traffic["messages"] - before
    return {"seconds": [took], "messages": sent / job.size / max(took, 0.05)}


def measure_idle_traffic(job: Job) -> dict[str, Any]:
    """Measure the messages and bytes per member and second without faults."""
    world = _world(job)
    world.run(35)  # gossip about the start dies down
    before = dict(world.traffic)
    world.run(10)
    rates = {key: (world.traffic[key] - before[key]) / 10 / job.size for key in ("messages", "bytes")}
    return {"messages": rates["messages"], "bytes": rates["bytes"]}


# By ``Job.what``, which is also in the result files and their names.
MEASUREMENTS: dict[str, Callable[[Job], dict[str, Any]]] = {
    "kill": measure_kill_detection,
    "false": measure_false_deaths,
    "pauses": measure_false_deaths_with_pauses,
    "name": measure_link_failure_detection,
    "heal": measure_heal,
    "rest": measure_idle_traffic,
}


def measure(job: Job) -> dict[str, Any]:
    """Run a job; return its fields and its results."""
    return asdict(job) | MEASUREMENTS[job.what](job)


def run(jobs: list[Job], out: Path, workers: int) -> list[dict[str, Any]]:
    """Run the jobs in worker processes and return their results, stored in ``out``.

    Jobs whose results are stored there already are not run again.
    """
    out.mkdir(parents=True, exist_ok=True)
    files = {job: out / f"{job.name}.json" for job in jobs}
    missing = [job for job in jobs if not files[job].exists()]
    with ProcessPoolExecutor(workers) as pool:
        for job, result in zip(missing, pool.map(measure, missing), strict=True):
            files[job].write_text(json.dumps(result) + "\n")
            print(f"{job.name} done", file=sys.stderr, flush=True)
    return [json.loads(files[job].read_text()) for job in jobs]


def summary(results: list[dict[str, Any]]) -> list[str]:
    """Return one line for each measurement, size, loss and variant, over all seeds."""
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for result in results:
        groups.setdefault((result["what"], result["size"], result["loss"], result["variant"]), []).append(
            result
        )
    lines = []
    for (what, size, loss, variant), group in sorted(groups.items()):
        line = f"{what:7} {variant:10} {size:5} members, {loss:4.0%} lost, {len(group)} seeds: "
        if "seconds" in group[0]:
            times = np.concatenate([result["seconds"] for result in group])
            p50, p99 = np.percentile(times, [50, 99])
            line += f"p50 {p50:.2f} p99 {p99:.2f} max {times.max():.2f} s, {len(times)} times"
        if "false" in group[0]:
            hours = sum(result["hours"] for result in group)
            count = sum(result["false"] for result in group)
            line += f"{count} false in {hours:.1f} member hours, {100 * count / hours:.1f} per 100"
        if "bytes" in group[0]:
            line += f"{np.mean([result['bytes'] for result in group]):.0f} bytes, "
        if "messages" in group[0]:
            line += f" {np.mean([result['messages'] for result in group]):.1f} messages per member and second"
        lines.append(line)
    return lines
