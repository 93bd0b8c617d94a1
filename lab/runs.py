"""Plays of a scenario: which variants, which seeds, and what a person is told of each."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from .baselines import VARIANTS
from .scenario import Scenario, consistency_errors
from .virtual import World


class InvalidRunError(ValueError):
    """A play that can't be made as it was asked for."""


@dataclass(frozen=True, slots=True)
class Cost:
    """What a play took on this machine: no part of its result."""

    seconds: float
    decision_us: float  # of the decider, a first try
    events_a_second: float


@dataclass(frozen=True, slots=True)
class Simulation:
    """One scenario, seed and variant."""

    scenario: Scenario
    seed: int
    variant: str

    def run(self) -> tuple[dict[str, Any], Cost]:
        """Its result, the same to the byte for the same seed, and what it took."""
        began = time.perf_counter()
        world = World(self.scenario, self.seed, VARIANTS[self.variant])
        result = world.run()
        seconds = time.perf_counter() - began
        first = max(1, result["total"].get("first_tries", 0))
        return result, Cost(seconds, world.decision_ns / 1e3 / first, world.kernel.events / seconds)


def variants() -> list[str]:
    """All that can be compared."""
    return list(VARIANTS)


def plan_simulations(
    scenario: Scenario, seeds: Sequence[int], names: Sequence[str], gateways: int | None = None
) -> list[Simulation]:
    """The plays, paired by seed; raises Unknown."""
    if "all" in names:
        names = variants()
    for name in names:
        if name not in VARIANTS:
            raise InvalidRunError(f"no variant {name!r}: there are {', '.join(VARIANTS)}, and all")
    scenario = with_gateways(scenario, gateways)
    return [Simulation(scenario, seed, name) for seed in seeds for name in names]


def with_gateways(scenario: Scenario, gateways: int | None) -> Scenario:
    """With so many gateways, as it is where None; raises Unknown where that can't be."""
    if gateways is None:
        return scenario
    scenario = msgspec.structs.replace(scenario, gateways=gateways)
    if mistakes := list(consistency_errors(scenario)):
        raise InvalidRunError("; ".join(map(str, mistakes)))
    return scenario


def summary_line(play: Simulation, result: dict[str, Any], cost: Cost) -> str:
    """One play in a line."""
    total, units = result["total"], result["units"]
    first, sent = max(1, total.get("first_tries", 0)), max(1, total.get("sent", 0))
    each = result["each_first_try"]
    parts = [
        f"{play.scenario.name} seed {play.seed} {play.variant:11} score {result['score']:.3f}",
        f"in time {total.get('in_time', 0) / first:.1%}",
        f"refused {total.get('refused', 0) / sent:.1%}",
        f"with room {total.get('refused_with_room', 0) / sent:.1%}",
        f"beyond {units['beyond'] / max(1.0, units['sent']):.1%}",
        f"attempts {each['attempts']:.2f}",
        f"connects {each['connects']:.2f}",
        f"messages {each['messages']:.2f}",
        f"decisions {cost.decision_us:.0f} us",
        f"{cost.seconds:.1f} s",
    ]
    if result["broken"]:
        parts.append("BROKEN " + ", ".join(f"{rule} {n}" for rule, n in result["broken"].items()))
    return ", ".join(parts)
