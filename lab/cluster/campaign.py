"""Runs of a schedule with their verdicts, and the reduction of a failing run to the fewest faults."""

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

# Whether a run with these faults still breaks a rule.
FaultsTest = Callable[[list[PlannedFault]], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of one run: its seed, its faults, the rules that were broken and figures from its files."""

    seed: int
    out: Path
    faults: list[PlannedFault]
    breaches: list[checker.Breach]
    figures: dict[str, Any]

    def fields(self) -> dict[str, Any]:
        """Return the verdict as JSON-compatible values."""
        return {
            "seed": self.seed,
            "out": str(self.out),
            "faults": [fault.fields() for fault in self.faults],
            "breaches": [{"rule": b.rule, "ms": b.ms, "text": b.text} for b in self.breaches],
            **self.figures,
        }


def figures(run_data: record.RunData) -> dict[str, Any]:
    """Return counts of client outcomes and log events, and the time until all member views were equal."""
    agreed_ms = run_data.run["agreed"]
    end_ms = run_data.run["over"]
    event_counts = Counter(event.name for event in run_data.events if event.ms >= run_data.run["began"])
    return {
        "requests": dict(Counter(line["came"] for line in run_data.clients)),
        "said": dict(sorted(event_counts.items())),
        "equal_after_ms": None if agreed_ms is None else agreed_ms - end_ms,
    }


async def run(
    schedule: Schedule,
    seed: int,
    out: Path,
    module: str = "birchdrum",
    faults: list[PlannedFault] | None = None,
    previous_revision: str | None = None,
) -> Verdict:
    """Run the schedule once, write its files into ``out``, which is emptied first, and return the verdict.

    ``faults`` replaces the faults of the schedule and the seed. Raises ``fleet.FleetError``.
    """
    shutil.rmtree(out, ignore_errors=True)
    planned = plan(schedule, seed) if faults is None else faults
    await fleet.run_schedule(schedule, planned, seed, out, module, previous_revision)
    run_data = record.read_run(out)
    verdict = Verdict(seed, out, planned, checker.breaches(run_data), figures(run_data))
    (out / "verdict.json").write_text(json.dumps(verdict.fields(), indent=1) + "\n")
    return verdict


def summary_lines(name: str, verdict: Verdict) -> list[str]:
    """Return the verdict in readable lines."""
    summary = [f"{name}, seed {verdict.seed}: {len(verdict.breaches)} rules broken, files in {verdict.out}"]
    summary += [f"  {fault}" for fault in verdict.faults] if verdict.breaches else []
    summary += [f"  BROKEN {breach}" for breach in verdict.breaches]
    figure_texts = (f"{key} {value}" for key, value in verdict.figures.items())
    return [*summary, f"  {'; '.join(figure_texts)}"]


async def shrink(faults: list[PlannedFault], breaks_rule: FaultsTest) -> list[PlannedFault]:
    """Reduce the faults to a minimal set that still breaks a rule, by delta debugging (ddmin).

    It leaves out halves first, then smaller and smaller parts, down to single faults.
    """
    part_count = 2
    while len(faults) > 1:
        part_size = -(-len(faults) // part_count)
        for start in range(0, len(faults), part_size):
            remaining = faults[:start] + faults[start + part_size :]
            if remaining and await breaks_rule(remaining):
                faults, part_count = remaining, max(2, part_count - 1)
                break
        else:
            if part_size == 1:
                break
            part_count = min(len(faults), 2 * part_count)
    return faults


async def run_until_signalled(work: Awaitable[int]) -> int:
    """Run ``work``, cancelled by SIGINT, SIGTERM and SIGHUP so that it cleans up.

    Return its exit code, or 130 if it was cancelled.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(work)
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return 130
