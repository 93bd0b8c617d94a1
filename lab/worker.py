"""One play in a process of its own: a description on standard input, its result on standard output.

Run with ``-P`` and, for another revision's decisions, a folder with its ``orchidlane`` first on the path.
"""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

import orchidlane
from ops.checking import validate

from . import runs
from .scenario import Scenario, consistency_errors


def play(wanted: dict[str, Any]) -> dict[str, Any]:
    """The play that is described by ``scenario`` (as in a file), ``seed`` and ``variant``."""
    scenario, mistakes = validate(wanted["scenario"], Scenario)
    if scenario is None or (mistakes := list(consistency_errors(scenario))):
        raise runs.InvalidRunError("; ".join(map(str, mistakes)))
    result, cost = runs.Simulation(scenario, int(wanted["seed"]), wanted["variant"]).run()
    spent = {
        "seconds": round(cost.seconds, 3),
        "decision_us": round(cost.decision_us, 1),
        "events_a_second": round(cost.events_a_second),
    }
    return {"result": result, "cost": spent, "decisions_from": str(orchidlane.__path__[0])}


def main() -> int:
    """One line of JSON; where the play breaks, its last line on standard error and 1."""
    try:
        done = play(json.load(sys.stdin))
    except Exception:  # whatever a variant or another revision does wrong belongs to this play alone
        print(traceback.format_exc().strip(), file=sys.stderr)
        return 1
    json.dump(done, sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
