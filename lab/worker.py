"""Runs one simulation in a separate process: JSON description on stdin, result on stdout.

Run it with ``-P``. To use the decisions of another revision, put a folder with that revision's ``orchidlane``
first on PYTHONPATH.
"""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

import orchidlane
from ops.checking import validate

from . import simulations
from .earlier_decisions import provide_current_names
from .scenario import Scenario, consistency_errors


def run_simulation(description: dict[str, Any]) -> dict[str, Any]:
    """Run a simulation, described by ``scenario`` (as in a file), ``seed`` and ``variant``.

    Return its result, its cost and the path of the ``orchidlane`` package that made the decisions.
    """
    scenario, errors = validate(description["scenario"], Scenario)
    if scenario is None or (errors := list(consistency_errors(scenario))):
        raise simulations.InvalidRunError("; ".join(map(str, errors)))
    result, cost = simulations.Simulation(scenario, int(description["seed"]), description["variant"]).run()
    timing = {
        "seconds": round(cost.seconds, 3),
        "decision_us": round(cost.decision_us, 1),
        "events_a_second": round(cost.events_a_second),
    }
    return {"result": result, "cost": timing, "decisions_from": str(orchidlane.__path__[0])}


def main() -> int:
    """Print the result as one line of JSON; on failure, print a traceback to stderr and return 1."""
    try:
        provide_current_names()
        output = run_simulation(json.load(sys.stdin))
    except Exception:  # an error in a variant or in another revision's code fails only this simulation
        print(traceback.format_exc().strip(), file=sys.stderr)
        return 1
    json.dump(output, sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
