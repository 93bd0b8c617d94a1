"""Settings that gateways agree on: the bound on contradiction under faults, and defects that break it."""

from __future__ import annotations

import pytest

from lab import agreement_model
from lab.agreement import DRIFT, KINDS, World
from orchidlane.agreed import EffectiveSettings, Holder
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
    """Goes on by what it holds."""

    def effective(self, now: int) -> EffectiveSettings:
        return EffectiveSettings(self.version, self.restricted)


class RenewsByStaleNews(Holder):
    """Counts its lease from when the answer came."""

    def apply_answer(self, now: int, answer) -> bool:
        taken = super().apply_answer(now, answer)
        if taken:
            self.lease_end = now + self.lease_duration
        return taken


class NoPauseCheck(Holder):
    """Looks at its lease when it asks, not when it decides."""

    held = EffectiveSettings(None, True, True)

    def make_request(self, now: int):
        self.held = super().effective(now)
        return super().make_request(now)

    def effective(self, now: int) -> EffectiveSettings:
        held = super().effective(now)
        return (
            held
            if held.lapsed is self.held.lapsed
            else EffectiveSettings(held.version, self.restricted, self.held.lapsed)
        )


class EffectBeforeAnswers(Source):
    """Waits for nobody."""

    def blocking_holders(self, now: int) -> dict[str, str]:
        return {}


class ForgetsAtStart(Source):
    """Takes nobody for a holder after a start."""

    def __init__(self, now: int, *args, **more) -> None:
        super().__init__(now, *args, **more)
        self.recovery_until = now


def played(kind: str, seed: int, size: int = 8, span: float = 90, **more) -> World:
    world = World(size, seed, KINDS[kind], **more)
    world.run(span)
    return world


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("kind", [kind for kind in KINDS if kind != "calm"])
def test_nobody_contradicts_for_longer_than_the_bound(kind, seed):
    world = played(kind, seed)
    assert world.overlaps(NEVER) == []
    assert world.max_overlap_ratio(WITHIN) <= 1
    assert world.counts["changes"] > 8
    assert world.counts["lapsed"] < 0.7 * world.counts["decisions"]


@pytest.mark.parametrize(
    ("kind", "more"),
    [
        ("cuts", {"holder": NoLeaseCheck}),
        ("loss", {"holder": RenewsByStaleNews}),
        ("pauses", {"holder": NoPauseCheck}),
        ("cuts", {"source": EffectBeforeAnswers}),
        ("source", {"source": ForgetsAtStart}),
    ],
    ids=["no-lease-check", "stale-news", "no-pause-check", "effect-before-answers", "forgets-at-start"],
)
def test_a_planted_defect_is_found(kind, more):
    worlds = [played(kind, seed, span=150, **more) for seed in (1, 2, 3)]
    assert any(world.overlaps(NEVER) or world.max_overlap_ratio(WITHIN) > 1 for world in worlds)


def test_without_faults_a_change_is_everywhere_soon_and_nobody_runs_out_of_lease():
    world = World(50, 1, KINDS["calm"], change_interval=4.0)
    world.run(4)
    before = world.counts["lapsed"]
    world.run(60)
    assert world.counts["lapsed"] == before
    assert world.counts["changes"] > 8 and world.overlaps(NEVER) == []
    assert 0 < world.max_overlap_ratio(WITHIN) < 0.02  # who hears it last still goes by the old one
    assert world.propagation_times()[-1] < 0.5


def source(kept: PersistedState = PersistedState(1, 1, last=1), **more) -> Source:  # noqa: B008 a frozen value
    made = Source(T0, kept, **more)
    made.recovery_until = T0 if not more.get("restored") else made.recovery_until
    return made


def question(holder: Holder, made: Source, now: int) -> bool:
    """One question, answered at once or as soon as it has waited long enough."""
    answer = made.handle_query(now, holder.make_request(now))
    return holder.apply_answer(now, answer) if answer else False


def test_a_change_that_may_never_contradict_waits_for_each_who_holds_a_lease():
    made, a, b = source(), Holder("a", 1), Holder("b", 2)
    assert question(a, made, T0) and question(b, made, T0)
    made.propose(T0, 2, NEVER)
    question(a, made, T0 + MS)
    assert a.effective(T0 + MS) == EffectiveSettings(1, restricted=True)  # ready, and by neither from now on
    question(a, made, T0 + 2 * MS)
    assert made.state.version == 1 and made.blocking_holders(T0 + 2 * MS) == {"b": "has not answered yet"}
    assert b.effective(T0 + 2 * MS) == EffectiveSettings(1)
    question(b, made, T0 + 3 * MS)
    question(b, made, T0 + 4 * MS)
    assert made.state.version == 2 and b.effective(T0 + 4 * MS) == EffectiveSettings(2)
    assert a.effective(T0 + 4 * MS) == EffectiveSettings(1, restricted=True)
    question(a, made, T0 + 5 * MS)
    assert a.effective(T0 + 5 * MS) == EffectiveSettings(2)


def test_who_left_or_ran_out_is_waited_for_no_longer_and_who_refuses_loses_its_lease():
    made = source()
    able = Holder("able", 1)
    unable = Holder("unable", 2, lambda version: "it names no plan" if version > 1 else None)
    left, silent = Holder("left", 3), Holder("silent", 4)
    for holder in (able, unable, left, silent):
        question(holder, made, T0)
    made.propose(T0, 2, NEVER)
    made.remove_holder("left", 3)
    now, lease_us = T0, made.lease_us
    while made.state.version == 1 and now < T0 + 4 * lease_us:
        now += 200 * MS
        question(able, made, now)
        question(unable, made, now)
    assert lease_us < now - T0 < 2.2 * lease_us
    assert unable.effective(now) == EffectiveSettings(1, restricted=True, lapsed=True)
    assert silent.effective(now).lapsed and not able.effective(now).lapsed


@pytest.mark.parametrize(("rule", "version", "told"), [(TOGETHER, 1, "was there"), (WITHIN, 3, "on its way")])
def test_two_writers_and_a_version_that_goes_back_are_told(rule, version, told):
    made = source()
    question(Holder("a", 1), made, T0)
    if rule == WITHIN:
        made.propose(T0, 2, WITHIN)
    with pytest.raises(Conflict, match=told):
        made.propose(T0, version, rule)
    made.withdraw()
    with pytest.raises(Conflict, match="was there"):
        made.propose(T0, 2 if rule == WITHIN else 1, NEVER)


def test_what_is_in_force_at_once_needs_nobody():
    made, holder = source(), Holder("a", 1)
    question(holder, made, T0)
    made.propose(T0, 2, TOGETHER)
    assert made.state == PersistedState(1, 2, last=2)
    assert holder.effective(T0 + MS) == EffectiveSettings(1)
    question(holder, made, T0 + MS)
    assert holder.effective(T0 + MS) == EffectiveSettings(2)


def test_answers_that_are_older_doubled_unasked_or_of_a_former_source_change_nothing():
    made, holder = source(), Holder("a", 1)
    first, second = holder.make_request(T0), holder.make_request(T0 + MS)
    early, late = made.handle_query(T0, first), made.handle_query(T0 + MS, second)
    assert holder.apply_answer(T0 + 2 * MS, late)
    until = holder.lease_end
    for answer in (late, early, dict(late, asked=99)):
        assert not holder.apply_answer(T0 + 900 * MS, answer)
    assert holder.lease_end == until == T0 + MS + int(LEASE_MS * MS * (1 - DRIFT))
    assert (
        made.handle_query(T0 + SECOND, holder.make_request(T0 + SECOND)) is None
    )  # it knows all: it waits for news
    made.propose(T0 + SECOND, 2, TOGETHER)
    [news] = made.due_answers(T0 + SECOND)
    assert not holder.apply_answer(T0 + SECOND, dict(news, source=0))  # of a life before
    assert not holder.apply_answer(T0 + SECOND, dict(news, life=0))  # to a former self
    assert made.due_answers(T0 + SECOND) == []
    assert holder.effective(until - 1) == EffectiveSettings(1) and holder.effective(until).lapsed


def test_a_restored_source_gives_no_lease_until_those_of_its_former_self_are_over():
    made, holder = source(), Holder("a", 1)
    made.propose(T0, 5, TOGETHER)
    question(holder, made, T0)
    again = source(PersistedState(2, 3, last=3), restored=True)
    other = Holder("b", 1)
    assert question(other, again, T0 + MS) and other.effective(T0 + MS).lapsed
    now = again.recovery_until
    assert holder.effective(now).lapsed
    assert question(other, again, now) and other.effective(now) == EffectiveSettings(3)
    assert question(holder, again, now) and holder.effective(now) == EffectiveSettings(3)


def test_the_bound_is_a_little_more_than_the_lease():
    assert LEASE_MS * MS < max_overlap_us() < 1.01 * LEASE_MS * MS


@pytest.mark.parametrize(
    ("size", "faults", "kinds"),
    [
        (2, 2, ("lose", "late")),
        (2, 2, ("pause", "source")),
        (2, 2, ("restart", "lose")),
        (3, 1, agreement_model.KINDS),
    ],
)
def test_every_placing_of_a_few_faults_keeps_the_bound(size, faults, kinds):
    found = agreement_model.check(size=size, max_faults=faults, kinds=kinds)
    assert found.violations == [], found.violations
    assert found.paths > 30


@pytest.mark.parametrize(
    ("more", "kinds"),
    [
        ({"holder": NoLeaseCheck}, ("pause",)),
        ({"holder": NoPauseCheck}, ("pause",)),
        ({"holder": RenewsByStaleNews}, ("late", "pause")),
        ({"source": EffectBeforeAnswers}, ("pause",)),
        ({"source": ForgetsAtStart}, ("source", "pause", "lose")),
    ],
    ids=["no-lease-check", "no-pause-check", "stale-news", "effect-before-answers", "forgets-at-start"],
)
def test_a_planted_defect_breaks_the_bound_in_the_model(more, kinds):
    assert agreement_model.check(**more, max_faults=2, kinds=kinds, max_violations=1).violations
