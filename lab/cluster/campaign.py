"""Runs of a schedule with their verdict, and the fewest faults that still break a rule."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from . import checker, fleet, record
from .schedule import PlannedFault, Schedule, plan

Test = Callable[[list[PlannedFault]], Awaitable[bool]]  # whether these faults still break a rule


@dataclass(frozen=True, slots=True)
class Verdict:
    """One run: its seed, its faults, what it broke, and figures from its files."""

    seed: int
    out: Path
    faults: list[PlannedFault]
    breaches: list[checker.Breach]
    figures: dict[str, Any]

    def fields(self) -> dict[str, Any]:
        """For machines."""
        return {
            "seed": self.seed,
            "out": str(self.out),
            "faults": [fault.fields() for fault in self.faults],
            "breaches": [{"rule": b.rule, "ms": b.ms, "text": b.text} for b in self.breaches],
            **self.figures,
        }


def figures(evidence: record.RunData) -> dict[str, Any]:
    """Counts of what clients got and of what members said; times until views were equal."""
    agreed, over = evidence.run["agreed"], evidence.run["over"]
    said = Counter(event.name for event in evidence.events if event.ms >= evidence.run["began"])
    return {
        "requests": dict(Counter(line["came"] for line in evidence.clients)),
        "said": dict(sorted(said.items())),
        "equal_after_ms": None if agreed is None else agreed - over,
    }


async def run(
    schedule: Schedule,
    seed: int,
    out: Path,
    module: str = "birchdrum",
    faults: list[PlannedFault] | None = None,
    before: str | None = None,
) -> Verdict:
    """Play once into ``out``, which is emptied first. Raises ``fleet.FleetError``."""
    shutil.rmtree(out, ignore_errors=True)
    planned = plan(schedule, seed) if faults is None else faults
    await fleet.play(schedule, planned, seed, out, module, before)
    evidence = record.read_run(out)
    verdict = Verdict(seed, out, planned, checker.breaches(evidence), figures(evidence))
    (out / "verdict.json").write_text(json.dumps(verdict.fields(), indent=1) + "\n")
    return verdict


def summary_lines(name: str, verdict: Verdict) -> list[str]:
    """For people."""
    done = [f"{name}, seed {verdict.seed}: {len(verdict.breaches)} rules broken, files in {verdict.out}"]
    done += [f"  {fault}" for fault in verdict.faults] if verdict.breaches else []
    done += [f"  BROKEN {breach}" for breach in verdict.breaches]
    words = (f"{key} {value}" for key, value in verdict.figures.items())
    return [*done, f"  {'; '.join(words)}"]


async def shrink(faults: list[PlannedFault], breaks: Test) -> list[PlannedFault]:
    """The fewest of the faults that still break a rule: halves first, then one after another (ddmin)."""
    parts = 2
    while len(faults) > 1:
        size = -(-len(faults) // parts)
        for first in range(0, len(faults), size):
            without = faults[:first] + faults[first + size :]
            if without and await breaks(without):
                faults, parts = without, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(faults), 2 * parts)
    return faults


async def run_until_signalled(work: Awaitable[int]) -> int:
    """Have it end in order where we are told to end: 130."""
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(work)
    for word in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(word, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return 130
