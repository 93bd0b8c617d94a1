"""Simulations of a scenario by seed and variant (the gateway or a baseline), and their one-line summaries."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from .baselines import VARIANTS
from .scenario import Scenario, consistency_errors
from .simulator import World


class InvalidRunError(ValueError):
    """The requested simulation is not possible."""


@dataclass(frozen=True, slots=True)
class Cost:
    """The time that a simulation took on this machine; not part of its result."""

    seconds: float
    decision_us: float  # time in the decision module per first try
    events_a_second: float


@dataclass(frozen=True, slots=True)
class Simulation:
    """A scenario, a seed and a variant."""

    scenario: Scenario
    seed: int
    variant: str

    def run(self) -> tuple[dict[str, Any], Cost]:
        """Run the simulation; return its result, identical byte for byte for the same seed, and its cost."""
        started_at = time.perf_counter()
        world = World(self.scenario, self.seed, VARIANTS[self.variant])
        result = world.run()
        seconds = time.perf_counter() - started_at
        first_tries = max(1, result["total"].get("first_tries", 0))
        return result, Cost(seconds, world.decision_ns / 1e3 / first_tries, world.kernel.events / seconds)


def variants() -> list[str]:
    """Return the names of all variants."""
    return list(VARIANTS)


def plan_simulations(
    scenario: Scenario, seeds: Sequence[int], variant_names: Sequence[str], gateways: int | None = None
) -> list[Simulation]:
    """Return a simulation of each variant for each seed; raises InvalidRunError."""
    if "all" in variant_names:
        variant_names = variants()
    for variant in variant_names:
        if variant not in VARIANTS:
            raise InvalidRunError(f"no variant {variant!r}: there are {', '.join(VARIANTS)}, and all")
    scenario = with_gateways(scenario, gateways)
    return [Simulation(scenario, seed, variant) for seed in seeds for variant in variant_names]


def with_gateways(scenario: Scenario, gateways: int | None) -> Scenario:
    """Return the scenario with this number of gateways, unchanged for None; raises InvalidRunError."""
    if gateways is None:
        return scenario
    scenario = msgspec.structs.replace(scenario, gateways=gateways)
    if errors := list(consistency_errors(scenario)):
        raise InvalidRunError("; ".join(map(str, errors)))
    return scenario


def summary_line(simulation: Simulation, result: dict[str, Any], cost: Cost) -> str:
    """Summarize one simulation in a line."""
    total, units = result["total"], result["units"]
    first_tries, sent = max(1, total.get("first_tries", 0)), max(1, total.get("sent", 0))
    per_first_try = result["each_first_try"]
    parts = [
        f"{simulation.scenario.name} seed {simulation.seed} {simulation.variant:11} "
        f"score {result['score']:.3f}",
        f"in time {total.get('in_time', 0) / first_tries:.1%}",
        f"refused {total.get('refused', 0) / sent:.1%}",
        f"with room {total.get('refused_with_room', 0) / sent:.1%}",
        f"beyond {units['beyond'] / max(1.0, units['sent']):.1%}",
        f"attempts {per_first_try['attempts']:.2f}",
        f"connects {per_first_try['connects']:.2f}",
        f"messages {per_first_try['messages']:.2f}",
        f"decisions {cost.decision_us:.0f} us",
        f"{cost.seconds:.1f} s",
    ]
    if result["broken"]:
        parts.append("BROKEN " + ", ".join(f"{rule} {n}" for rule, n in result["broken"].items()))
    return ", ".join(parts)
