"""Agreement on settings: the bound on the overlap of old and new values under faults.

Each planted defect must be detected by the simulation and by the model check.
"""

from __future__ import annotations

import pytest

from lab import agreement_model
from lab.agreement import DRIFT, FAULT_PROFILES, World
from orchidlane.settings_lease import EffectiveSettings, Holder
from registry.agreement import (
    LEASE_MS,
    NEVER,
    TOGETHER,
    WITHIN,
    Conflict,
    PersistedState,
    Source,
    max_overlap_us,
)

MS, SECOND = 1_000, 1_000_000
T0 = 1_000 * SECOND


class NoLeaseCheck(Holder):
    """Keeps using its version after the lease has expired."""

    def effective(self, now: int) -> EffectiveSettings:
        return EffectiveSettings(self.version, self.restricted)


class LeaseFromArrival(Holder):
    """Counts its lease from the arrival of the answer instead of the sending of the request."""

    def apply_answer(self, now: int, answer) -> bool:
        applied = super().apply_answer(now, answer)
        if applied:
            self.lease_end = now + self.lease_duration
        return applied


class NoPauseCheck(Holder):
    """Checks its lease when it sends a request, not when it decides."""

    checked = EffectiveSettings(None, True, True)

    def make_request(self, now: int):
        self.checked = super().effective(now)
        return super().make_request(now)

    def effective(self, now: int) -> EffectiveSettings:
        current = super().effective(now)
        return (
            current
            if current.lapsed is self.checked.lapsed
            else EffectiveSettings(current.version, self.restricted, self.checked.lapsed)
        )


class EffectBeforeAnswers(Source):
    """Puts a change into effect without waiting for the holders."""

    def blocking_holders(self, now: int) -> dict[str, str]:
        return {}


class NoRecoveryWait(Source):
    """Does not wait after a start for leases that an earlier process may have granted."""

    def __init__(self, now: int, *args, **options) -> None:
        super().__init__(now, *args, **options)
        self.recovery_until = now


def run_world(kind: str, seed: int, size: int = 8, duration: float = 90, **options) -> World:
    world = World(size, seed, FAULT_PROFILES[kind], **options)
    world.run(duration)
    return world


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("kind", [kind for kind in FAULT_PROFILES if kind != "calm"])
def test_old_and_new_values_overlap_no_longer_than_the_bound(kind, seed):
    world = run_world(kind, seed)
    assert world.overlaps(NEVER) == []
    assert world.max_overlap_ratio(WITHIN) <= 1
    assert world.counts["changes"] > 8
    assert world.counts["lapsed"] < 0.7 * world.counts["decisions"]


@pytest.mark.parametrize(
    ("kind", "options"),
    [
        ("cuts", {"holder": NoLeaseCheck}),
        ("loss", {"holder": LeaseFromArrival}),
        ("pauses", {"holder": NoPauseCheck}),
        ("cuts", {"source": EffectBeforeAnswers}),
        ("source", {"source": NoRecoveryWait}),
    ],
    ids=[
        "no-lease-check",
        "lease-from-arrival",
        "no-pause-check",
        "effect-before-answers",
        "no-recovery-wait",
    ],
)
def test_the_simulation_detects_each_planted_defect(kind, options):
    worlds = [run_world(kind, seed, duration=150, **options) for seed in (1, 2, 3)]
    assert any(world.overlaps(NEVER) or world.max_overlap_ratio(WITHIN) > 1 for world in worlds)


def test_without_faults_changes_spread_quickly_and_no_lease_expires():
    world = World(50, 1, FAULT_PROFILES["calm"], change_interval=4.0)
    world.run(4)
    before = world.counts["lapsed"]
    world.run(60)
    assert world.counts["lapsed"] == before
    assert world.counts["changes"] > 8 and world.overlaps(NEVER) == []
    assert 0 < world.max_overlap_ratio(WITHIN) < 0.02  # until the last holder has the answer
    assert world.propagation_times()[-1] < 0.5


def make_source(state: PersistedState = PersistedState(1, 1, last=1), **options) -> Source:  # noqa: B008 a frozen value
    source = Source(T0, state, **options)
    source.recovery_until = T0 if not options.get("restored") else source.recovery_until
    return source


def exchange(holder: Holder, source: Source, now: int) -> bool:
    """Send a request and apply its answer, unless the source parks the request; return whether it applied."""
    answer = source.handle_query(now, holder.make_request(now))
    return holder.apply_answer(now, answer) if answer else False


def test_a_change_under_never_waits_for_each_holder_with_a_lease():
    source, a, b = make_source(), Holder("a", 1), Holder("b", 2)
    assert exchange(a, source, T0) and exchange(b, source, T0)
    source.propose(T0, 2, NEVER)
    exchange(a, source, T0 + MS)
    assert a.effective(T0 + MS) == EffectiveSettings(1, restricted=True)  # prepared: uses neither version
    exchange(a, source, T0 + 2 * MS)
    assert source.state.version == 1 and source.blocking_holders(T0 + 2 * MS) == {"b": "has not answered yet"}
    assert b.effective(T0 + 2 * MS) == EffectiveSettings(1)
    exchange(b, source, T0 + 3 * MS)
    exchange(b, source, T0 + 4 * MS)
    assert source.state.version == 2 and b.effective(T0 + 4 * MS) == EffectiveSettings(2)
    assert a.effective(T0 + 4 * MS) == EffectiveSettings(1, restricted=True)
    exchange(a, source, T0 + 5 * MS)
    assert a.effective(T0 + 5 * MS) == EffectiveSettings(2)


def test_holders_that_left_or_expired_do_not_block_and_one_that_refuses_loses_its_lease():
    source = make_source()
    able = Holder("able", 1)
    unable = Holder("unable", 2, lambda version: "it names no plan" if version > 1 else None)
    departed, silent = Holder("left", 3), Holder("silent", 4)
    for holder in (able, unable, departed, silent):
        exchange(holder, source, T0)
    source.propose(T0, 2, NEVER)
    source.remove_holder("left", 3)
    now, lease_us = T0, source.lease_us
    while source.state.version == 1 and now < T0 + 4 * lease_us:
        now += 200 * MS
        exchange(able, source, now)
        exchange(unable, source, now)
    assert lease_us < now - T0 < 2.2 * lease_us
    assert unable.effective(now) == EffectiveSettings(1, restricted=True, lapsed=True)
    assert silent.effective(now).lapsed and not able.effective(now).lapsed


@pytest.mark.parametrize(
    ("rule", "version", "message"), [(TOGETHER, 1, "was already proposed"), (WITHIN, 3, "is still pending")]
)
def test_a_second_proposal_and_a_version_that_is_not_newer_are_rejected(rule, version, message):
    source = make_source()
    exchange(Holder("a", 1), source, T0)
    if rule == WITHIN:
        source.propose(T0, 2, WITHIN)
    with pytest.raises(Conflict, match=message):
        source.propose(T0, version, rule)
    source.withdraw()
    with pytest.raises(Conflict, match="was already proposed"):
        source.propose(T0, 2 if rule == WITHIN else 1, NEVER)


def test_a_change_under_together_is_effective_immediately():
    source, holder = make_source(), Holder("a", 1)
    exchange(holder, source, T0)
    source.propose(T0, 2, TOGETHER)
    assert source.state == PersistedState(1, 2, last=2)
    assert holder.effective(T0 + MS) == EffectiveSettings(1)
    exchange(holder, source, T0 + MS)
    assert holder.effective(T0 + MS) == EffectiveSettings(2)


def test_outdated_repeated_unsolicited_and_misaddressed_answers_change_nothing():
    source, holder = make_source(), Holder("a", 1)
    first, second = holder.make_request(T0), holder.make_request(T0 + MS)
    early, late = source.handle_query(T0, first), source.handle_query(T0 + MS, second)
    assert holder.apply_answer(T0 + 2 * MS, late)
    lease_end = holder.lease_end
    for answer in (late, early, dict(late, asked=99)):
        assert not holder.apply_answer(T0 + 900 * MS, answer)
    assert holder.lease_end == lease_end == T0 + MS + int(LEASE_MS * MS * (1 - DRIFT))
    # The holder is up to date, so its request is parked.
    assert source.handle_query(T0 + SECOND, holder.make_request(T0 + SECOND)) is None
    source.propose(T0 + SECOND, 2, TOGETHER)
    [update] = source.due_answers(T0 + SECOND)
    assert not holder.apply_answer(T0 + SECOND, dict(update, source=0))  # from an earlier life of the source
    assert not holder.apply_answer(T0 + SECOND, dict(update, life=0))  # to an earlier process of the holder
    assert source.due_answers(T0 + SECOND) == []
    assert holder.effective(lease_end - 1) == EffectiveSettings(1) and holder.effective(lease_end).lapsed


def test_a_restored_source_grants_no_lease_until_all_earlier_leases_have_expired():
    source, holder = make_source(), Holder("a", 1)
    source.propose(T0, 5, TOGETHER)
    exchange(holder, source, T0)
    restored = make_source(PersistedState(2, 3, last=3), restored=True)
    other = Holder("b", 1)
    assert exchange(other, restored, T0 + MS) and other.effective(T0 + MS).lapsed
    now = restored.recovery_until
    assert holder.effective(now).lapsed
    assert exchange(other, restored, now) and other.effective(now) == EffectiveSettings(3)
    assert exchange(holder, restored, now) and holder.effective(now) == EffectiveSettings(3)


def test_the_bound_is_a_little_more_than_the_lease():
    assert LEASE_MS * MS < max_overlap_us() < 1.01 * LEASE_MS * MS


@pytest.mark.parametrize(
    ("size", "faults", "kinds"),
    [
        (2, 2, ("lose", "late")),
        (2, 2, ("pause", "source")),
        (2, 2, ("restart", "lose")),
        (3, 1, agreement_model.FAULT_KINDS),
    ],
)
def test_the_bound_holds_for_every_placement_of_a_few_faults(size, faults, kinds):
    result = agreement_model.check(size=size, max_faults=faults, kinds=kinds)
    assert result.violations == [], result.violations
    assert result.paths > 30


@pytest.mark.parametrize(
    ("options", "kinds"),
    [
        ({"holder": NoLeaseCheck}, ("pause",)),
        ({"holder": NoPauseCheck}, ("pause",)),
        ({"holder": LeaseFromArrival}, ("late", "pause")),
        ({"source": EffectBeforeAnswers}, ("pause",)),
        ({"source": NoRecoveryWait}, ("source", "pause", "lose")),
    ],
    ids=[
        "no-lease-check",
        "no-pause-check",
        "lease-from-arrival",
        "effect-before-answers",
        "no-recovery-wait",
    ],
)
def test_the_model_check_detects_each_planted_defect(options, kinds):
    assert agreement_model.check(**options, max_faults=2, kinds=kinds, max_violations=1).violations
