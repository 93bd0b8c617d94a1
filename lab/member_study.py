"""Measures membership on the virtual clock, variants in pairs by seed: results are files of JSON."""

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

SETTLE = 40.0  # seconds until all know each other
WATCH = 120.0  # seconds in which false words are counted
PAUSE = (0.2, 8.0)  # seconds of a standstill, drawn
PAUSED_PART = 0.1  # of the members, at any time


@dataclass(frozen=True, slots=True)
class Job:
    """One measurement."""

    what: str
    variant: str
    size: int
    seed: int
    loss: float = 0.0

    @property
    def name(self) -> str:
        """Of its file."""
        return f"{self.what}.{self.variant}.{self.size}.{self.loss:g}.{self.seed}"


def _world(job: Job) -> World:
    world = World(job.size, job.seed, VARIANTS[job.variant], job.loss)
    world.run_until(world.converged, SETTLE)
    world.run(5)
    world.events.clear()
    return world


def kill(job: Job) -> dict[str, Any]:
    """Seconds until each member holds a killed one gone, for each of three that are killed in turn."""
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
        said = {c.observer: c.time for c in world.death_events() if c.fields["member"] == victim}
        times += [(at - began) / SECOND for at in said.values()]
        world.run(2)
    return {"seconds": times}


def false(job: Job) -> dict[str, Any]:
    """How often a member that ran is held gone by one, and the member hours of watching."""
    world = _world(job)
    world.run(WATCH)
    return {"false": len(world.death_events()), "hours": WATCH * job.size / 3600}


def pauses(job: Job) -> dict[str, Any]:
    """The same where one in ten stands still at any time; words about those, and by them on waking, apart."""
    world = _world(job)
    draw = np.random.default_rng([job.seed, 1])
    ends = world.kernel.now + int(WATCH * SECOND)
    still: dict[int, int] = {}  # until when
    hurt: list[tuple[int, int, int]] = []  # rank, from, until
    while world.kernel.now < ends:
        now = world.kernel.now
        still = {rank: until for rank, until in still.items() if until > now}
        while len(still) < max(1, round(PAUSED_PART * job.size)):
            rank = int(draw.integers(job.size))
            if rank not in still:
                span = float(draw.uniform(*PAUSE))
                still[rank] = now + int(span * SECOND)
                hurt.append((rank, now, still[rank]))
                world.pause(rank, span)
        world.run(0.1)
    grace = 5 * SECOND  # what was concluded of a standstill may come so much later
    wrong = 0
    for word in world.death_events():
        about = word.fields["member"]
        wrong += not any(rank == about and began <= word.time <= until + grace for rank, began, until in hurt)
    return {"false": wrong, "words": len(world.death_events()), "hours": WATCH * job.size / 3600}


def name(job: Job) -> dict[str, Any]:
    """Seconds until a dead direction is named by anybody, six of them."""
    world = _world(job)
    draw = np.random.default_rng([job.seed, 2])
    times = []
    for _ in range(6):
        a, b = (int(rank) for rank in draw.choice(job.size, 2, replace=False))
        world.events.clear()
        world.blocked_links = {(a, b)}
        began = world.kernel.now
        named = {"from": a, "to": b, "down": True}

        def is_named(named: dict[str, Any] = named) -> bool:
            return any(change.fields == named for change in world.events)

        try:
            world.run_until(is_named, 60)
            times.append((next(c.time for c in world.events if c.fields == named) - began) / SECOND)
        except TimeoutError:
            times.append(60.0)
        world.blocked_links = set()
        world.run(5)
    return {"seconds": times}


def heal(job: Job) -> dict[str, Any]:
    """Seconds until all hold the same after a split in halves of 10 s, and messages a member a second."""
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


def rest(job: Job) -> dict[str, Any]:
    """Messages and bytes a member a second."""
    world = _world(job)
    world.run(35)  # what was new at the start is told on for a while
    before = dict(world.traffic)
    world.run(10)
    of = {key: (world.traffic[key] - before[key]) / 10 / job.size for key in ("messages", "bytes")}
    return {"messages": of["messages"], "bytes": of["bytes"]}


MEASUREMENTS: dict[str, Callable[[Job], dict[str, Any]]] = {
    "kill": kill,
    "false": false,
    "pauses": pauses,
    "name": name,
    "heal": heal,
    "rest": rest,
}


def measure(job: Job) -> dict[str, Any]:
    """One job's figures."""
    return asdict(job) | MEASUREMENTS[job.what](job)


def run(jobs: list[Job], out: Path, workers: int) -> list[dict[str, Any]]:
    """All of them over some processes; what is in ``out`` already is taken from there."""
    out.mkdir(parents=True, exist_ok=True)
    kept = {job: out / f"{job.name}.json" for job in jobs}
    missing = [job for job in jobs if not kept[job].exists()]
    with ProcessPoolExecutor(workers) as pool:
        for job, found in zip(missing, pool.map(measure, missing), strict=True):
            kept[job].write_text(json.dumps(found) + "\n")
            print(f"{job.name} done", file=sys.stderr, flush=True)
    return [json.loads(kept[job].read_text()) for job in jobs]


def summary(found: list[dict[str, Any]]) -> list[str]:
    """A line a measurement, variant, size and loss, over its seeds."""
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for one in found:
        groups.setdefault((one["what"], one["size"], one["loss"], one["variant"]), []).append(one)
    lines = []
    for (what, size, loss, variant), some in sorted(groups.items()):
        head = f"{what:7} {variant:10} {size:5} members, {loss:4.0%} lost, {len(some)} seeds: "
        if "seconds" in some[0]:
            times = np.concatenate([one["seconds"] for one in some])
            p50, p99 = np.percentile(times, [50, 99])
            head += f"p50 {p50:.2f} p99 {p99:.2f} max {times.max():.2f} s, {len(times)} of them"
        if "false" in some[0]:
            hours = sum(one["hours"] for one in some)
            count = sum(one["false"] for one in some)
            head += f"{count} false in {hours:.1f} member hours, {100 * count / hours:.1f} a hundred"
        if "bytes" in some[0]:
            head += f"{np.mean([one['bytes'] for one in some]):.0f} bytes, "
        if "messages" in some[0]:
            head += f" {np.mean([one['messages'] for one in some]):.1f} messages a member a second"
        lines.append(head)
    return lines
