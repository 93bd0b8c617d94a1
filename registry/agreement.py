"""When a version of the settings takes effect: after all who might still act by the one before it can't.

Knows neither clock nor socket: microseconds of a monotonic clock are handed in. ``orchidlane/agreed.py`` is
a gateway's side. What a change does to a key has one of three rules:

    together  old and new may hold side by side: in force at once
    within    they may for a time: in force once all are able; who was not told yet is out of lease by then
    never     they may not: all first say that they are ready, and from that word on act by neither; in force
              once each has said so, has left, or must have run out of lease

A holder counts its lease from its question, with a clock that may be slow by ``DRIFT``; here it counts from
the answer, longer by as much. So a lease that is over here is over there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

MS = 1_000  # microseconds
DRIFT = 0.001
LEASE_MS = 3_000
WAITS = 3  # a question waits a part of the lease for news
TOGETHER, WITHIN, NEVER = "together", "within", "never"
RULES = (TOGETHER, WITHIN, NEVER)


class Conflict(Exception):
    """A word that another one came before; the text says which."""


@dataclass(slots=True)
class HolderState:
    """One life of a holder."""

    until: int  # it may act until then
    asked: int = 0  # number of its latest question
    prepared: int = 0
    refused: str | None = None
    version: int = 0
    answered: int = 0  # the question that was answered last
    told: PersistedState | None = None  # with what
    waits: int | None = None  # since when a question waits for news


@dataclass(frozen=True, slots=True)
class PersistedState:
    """What has to be on disk before a word is answered; all else is learnt anew."""

    life: int
    version: int
    pending: int = 0
    rule: str = TOGETHER
    last: int = 0  # the greatest that was ever put, withdrawn ones as well


def max_overlap_us(lease_ms: int = LEASE_MS) -> int:
    """Microseconds that the decisions of two gateways by ``within`` may lie apart at most: the one who was
    told last before the effect goes on for its lease, counted by the longer clock on both sides."""
    return int(lease_ms * MS * (1 + DRIFT) ** 2)


class Source:
    """The one who gives out versions."""

    def __init__(
        self, now: int, state: PersistedState, lease_ms: int = LEASE_MS, restored: bool = False
    ) -> None:
        """``kept`` as it was on disk: after a start there may be holders that nothing is known of.
        ``restored``: from a backup, under a life of its own, so that what they hold may be newer: no lease is
        given until theirs are over."""
        self.state, self.lease_ms = state, lease_ms
        self.lease_us = int(lease_ms * MS * (1 + DRIFT))
        self.recovery_until = now + self.lease_us
        self.restored = restored
        self.proposed_at = now  # of the pending change
        self.holders: dict[tuple[str, int], HolderState] = {}

    def propose(self, now: int, version: int, rule: str) -> PersistedState:
        """A new version, with the strictest rule of what it changes; to be kept, then ``carry_on``. Raises
        Conflict while another is on its way, and for one that is not newer."""
        if self.state.pending:
            raise Conflict(f"version {self.state.pending} is on its way: withdraw it, or wait")
        if version <= max(self.state.version, self.state.last):
            raise Conflict(
                f"version {max(self.state.version, self.state.last)} was there: give a greater one"
            )
        self.proposed_at = now
        if rule == TOGETHER:
            self.state = PersistedState(self.state.life, version, last=version)
        else:
            self.state = PersistedState(self.state.life, self.state.version, version, rule, version)
        return self.state

    def withdraw(self) -> PersistedState:
        """The pending version is not to come; nobody acts by it yet."""
        self.state = PersistedState(self.state.life, self.state.version, last=self.state.last)
        return self.state

    def handle_query(self, now: int, question: Mapping[str, Any]) -> dict[str, Any] | None:
        """A holder's question, and its answer. None: it knows all, and is answered by ``news``."""
        at = question["holder"], question["life"]
        seat = self.holders.setdefault(at, HolderState(now))
        if question["asked"] > seat.asked:  # else one that came late
            seat.asked, seat.version = question["asked"], question["version"]
            seat.prepared, seat.refused = question["prepared"], question["refused"]
        self.advance(now)
        knows_all = question["had"] == seat.answered == question["asked"] - 1 and seat.told == self.state
        if knows_all and seat.until > now:
            seat.waits = now
            return None
        return self._answer(now, at, seat, question["asked"])

    def due_answers(self, now: int) -> list[dict[str, Any]]:
        """Answers that are due: something has changed, or a question has waited long enough."""
        self.advance(now)
        return [
            self._answer(now, at, seat, seat.asked)
            for at, seat in self.holders.items()
            if seat.waits is not None
            and (seat.told != self.state or now - seat.waits >= self.lease_us // WAITS)
        ]

    def _answer(self, now: int, at: tuple[str, int], seat: HolderState, asked: int) -> dict[str, Any]:
        state, lease_ms = self.state, self.lease_ms
        # Who is not ready after a whole lease holds the others up no longer: its own runs out.
        is_late = state.pending and seat.prepared != state.pending and now - self.proposed_at > self.lease_us
        if is_late or (self.restored and now < self.recovery_until):
            lease_ms = 0
        else:
            seat.until = now + self.lease_us
        seat.answered, seat.told, seat.waits = asked, state, None
        return {
            "source": state.life,
            "holder": at[0],
            "life": at[1],
            "asked": asked,
            "version": state.version,
            "prepare": state.pending,
            "rule": state.rule,
            "lease_ms": lease_ms,
        }

    def remove_holder(self, holder: str, life: int) -> None:
        """It ended in order, and acts no more."""
        self.holders.pop((holder, life), None)

    def advance(self, now: int) -> bool:
        """Whether the pending version takes effect now: to be kept before the next answer."""
        self.holders = {
            at: seat for at, seat in self.holders.items() if seat.until > now or at in self._latest()
        }
        if not self.state.pending or now < self.recovery_until or self.blocking_holders(now):
            return False
        self.state = PersistedState(self.state.life, self.state.pending, last=self.state.last)
        return True

    def blocking_holders(self, now: int) -> dict[str, str]:
        """Holders that the pending version waits for, with why."""
        return {
            name: seat.refused or "has not answered yet"
            for (name, _), seat in self.holders.items()
            if seat.until > now and seat.prepared != self.state.pending
        }

    def _latest(self) -> set[tuple[str, int]]:
        lives: dict[str, int] = {}
        for name, life in self.holders:
            lives[name] = max(life, lives.get(name, 0))
        return set(lives.items())
