"""Hostile clients beside sound ones on a real gateway process, short and from a seed; and the judge itself.

The long play is started by hand: ``python -m lab.pressure_soak --seed 7 --seconds 300``.
"""

from __future__ import annotations

import asyncio

import pytest

from lab.gateway_play import MEBIBYTE, Play
from lab.pressure import ANSWER_GRACE, CLOSE_GRACE, Observations, Run, SoundRequest, violations
from lab.pressure_soak import play_soak

# A process that keeps a megabyte of each of its first requests and does not look at its own memory: one that
# does refuses more requests as soon as the budget is used up, and stays near its limit.
LEAKING_PROGRAM = """
from saffrongw import __main__, calls, memory
kept, finish = [], calls.Call.finish

def leak(call):
    if len(kept) < 200:
        kept.append(b"x" * 1_000_000)
    finish(call)

calls.Call.finish = leak
memory.MemoryBudget.measure = lambda budget, resident_bytes, reserved_unused: None
raise SystemExit(__main__.main())
"""


def sound_observations() -> Observations:
    seen = Observations(64 * MEBIBYTE, memory=[30 * MEBIBYTE])
    seen.requests = [
        SoundRequest("a", 1.0, 2.0, answered_at=1.5),
        SoundRequest("b", 1.0, 2.0, answered_at=3.5),
    ]
    seen.runs = [Run("a", 1.1), Run("b", 1.1), Run("left", 1.0 + CLOSE_GRACE / 2)]
    seen.closed_at, seen.unsafe = {"left": 1.0}, {"a", "left"}
    return seen


def test_judge_finds_nothing_in_a_sound_play():
    assert violations(sound_observations()) == []


@pytest.mark.parametrize(
    ("defect", "expected"),
    [
        (lambda seen: seen.memory.append(65 * MEBIBYTE), "resident"),
        (lambda seen: setattr(seen, "has_exited", True), "has ended"),
        (lambda seen: setattr(seen.requests[0], "answered_at", None), "has no answer"),
        (lambda seen: setattr(seen.requests[0], "answered_at", 3.1 + ANSWER_GRACE), "answered after"),
        (lambda seen: setattr(seen.requests[0], "is_whole", False), "something else"),
        (lambda seen: seen.runs.append(Run("left", 1.05 + CLOSE_GRACE)), "after its client closed"),
        (lambda seen: seen.runs.append(Run("a", 1.2)), "ran twice"),
    ],
)
def test_judge_finds_each_violation(defect, expected):
    seen = sound_observations()
    defect(seen)
    assert any(expected in text for text in violations(seen))


PLAYS = {
    "64": Play(1, 8.0, 64, hostile=80),
    "128": Play(2, 8.0, 128, hostile=80),
    "192": Play(3, 8.0, 192, hostile=80),
    "upgrade": Play(4, 8.0, 128, hostile=80, upgrade=True),
    "upgrade-64": Play(33, 8.0, 64, hostile=80, upgrade=True),
}


@pytest.mark.parametrize("play", PLAYS.values(), ids=PLAYS)
def test_sound_clients_get_what_they_are_owed_beside_hostile_ones(play):
    seen = asyncio.run(play_soak(play))
    assert violations(seen) == []
    served = sum(request.outcome == "served" for request in seen.requests)
    assert served > len(seen.requests) // 2


def test_a_process_that_keeps_bodies_is_found(tmp_path, monkeypatch):
    (tmp_path / "leaking_gateway.py").write_text(LEAKING_PROGRAM)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    seen = asyncio.run(play_soak(Play(1, 8.0, 64, hostile=20, module="leaking_gateway")))
    assert any("resident" in text for text in violations(seen))
