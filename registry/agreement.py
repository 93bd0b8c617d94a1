"""Leased agreement on settings versions: gateways act by a version only while they hold a lease on it.

The module does no I/O and reads no clock; callers pass microseconds of a monotonic clock.
``orchidlane/settings_lease.py`` is the gateway's side. A change has one of three rules:

    together  old and new values may be in force at the same time: effective immediately
    within    they may for a bounded time: effective once every holder has reported that it can apply the new
              version (it is prepared), has left, or must have an expired lease; a holder acts by the old
              version until its next answer, or until its lease expires
    never     they may not: effective under the same condition, but a prepared holder acts by neither version
              until the new one is in effect

A holder measures its lease from sending its query, and shortens it by ``DRIFT`` in case its clock is slow.
The source measures it from sending the answer and extends it by ``DRIFT``, so a lease that has expired at the
source has also expired at the holder.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

MS = 1_000  # microseconds
DRIFT = 0.001  # the greatest relative error of a clock's rate
LEASE_MS = 3_000
LONG_POLLS_PER_LEASE = 3  # a query is parked (long poll) for at most a third of a lease
TOGETHER, WITHIN, NEVER = "together", "within", "never"
RULES = (TOGETHER, WITHIN, NEVER)


class Conflict(Exception):
    """A proposal conflicts with a pending or earlier version; the message names it."""


@dataclass(slots=True)
class HolderState:
    """The source's view of one incarnation of a holder."""

    lease_until: int
    last_query: int = 0  # number of its latest query
    prepared: int = 0  # the pending version that it is prepared for
    refused: str | None = None  # why it can't apply the pending version
    version: int = 0
    last_answered: int = 0  # number of the query that was answered last
    answered_state: PersistedState | None = None  # the state in that answer
    parked_since: int | None = None  # when its query was parked (long poll)


@dataclass(frozen=True, slots=True)
class PersistedState:
    """State that must be on disk before a query is answered; the rest is relearned from the holders."""

    life: int
    version: int
    pending: int = 0
    rule: str = TOGETHER
    last: int = 0  # the greatest version ever proposed, including withdrawn ones


def max_overlap_us(lease_ms: int = LEASE_MS) -> int:
    """Return for how long, in microseconds, two gateways may act by different versions under ``within``.

    The gateway that was answered last before the change took effect goes on for its lease, extended by the
    drift of both clocks.
    """
    return int(lease_ms * MS * (1 + DRIFT) ** 2)


class Source:
    """The coordinator that puts proposed versions into effect and grants leases on them."""

    def __init__(
        self, now: int, state: PersistedState, lease_ms: int = LEASE_MS, restored: bool = False
    ) -> None:
        """Start from the persisted ``state``.

        Holders with leases from before the start may be unknown, so no pending change takes effect until
        those leases have expired.

        ``restored``: the state comes from a backup, under a new life. Holders may have newer versions, so no
        lease is granted until all earlier leases have expired.
        """
        self.state, self.lease_ms = state, lease_ms
        self.lease_us = int(lease_ms * MS * (1 + DRIFT))
        self.recovery_until = now + self.lease_us
        self.restored = restored
        self.proposed_at = now
        self.holders: dict[tuple[str, int], HolderState] = {}

    def propose(self, now: int, version: int, rule: str) -> PersistedState:
        """Propose a version under the strictest rule of its changes.

        The caller persists the returned state and then calls ``advance``. Raises Conflict while another
        version is pending, and for a version that is not newer.
        """
        if self.state.pending:
            raise Conflict(f"version {self.state.pending} is still pending: withdraw it, or wait")
        if version <= max(self.state.version, self.state.last):
            raise Conflict(
                f"version {max(self.state.version, self.state.last)} was already proposed: use a greater one"
            )
        self.proposed_at = now
        if rule == TOGETHER:
            self.state = PersistedState(self.state.life, version, last=version)
        else:
            self.state = PersistedState(self.state.life, self.state.version, version, rule, version)
        return self.state

    def withdraw(self) -> PersistedState:
        """Withdraw the pending version, which no holder acts by yet."""
        self.state = PersistedState(self.state.life, self.state.version, last=self.state.last)
        return self.state

    def handle_query(self, now: int, query: Mapping[str, Any]) -> dict[str, Any] | None:
        """Handle a holder's query and return the answer, or None if it is parked until ``due_answers``."""
        key = query["holder"], query["life"]
        holder = self.holders.setdefault(key, HolderState(now))
        if query["asked"] > holder.last_query:  # else the query is older and was reordered
            holder.last_query, holder.version = query["asked"], query["version"]
            holder.prepared, holder.refused = query["prepared"], query["refused"]
        self.advance(now)
        is_up_to_date = (
            query["had"] == holder.last_answered == query["asked"] - 1 and holder.answered_state == self.state
        )
        if is_up_to_date and holder.lease_until > now:
            holder.parked_since = now
            return None
        return self._answer(now, key, holder, query["asked"])

    def due_answers(self, now: int) -> list[dict[str, Any]]:
        """Return the answers to parked queries after a change, or once they were parked long enough."""
        self.advance(now)
        return [
            self._answer(now, key, holder, holder.last_query)
            for key, holder in self.holders.items()
            if holder.parked_since is not None
            and (
                holder.answered_state != self.state
                or now - holder.parked_since >= self.lease_us // LONG_POLLS_PER_LEASE
            )
        ]

    def _answer(self, now: int, key: tuple[str, int], holder: HolderState, asked: int) -> dict[str, Any]:
        state, lease_ms = self.state, self.lease_ms
        # A holder that is not prepared after a full lease is not renewed, so it stops blocking the others.
        is_overdue = (
            state.pending and holder.prepared != state.pending and now - self.proposed_at > self.lease_us
        )
        if is_overdue or (self.restored and now < self.recovery_until):
            lease_ms = 0
        else:
            holder.lease_until = now + self.lease_us
        holder.last_answered, holder.answered_state, holder.parked_since = asked, state, None
        return {
            "source": state.life,
            "holder": key[0],
            "life": key[1],
            "asked": asked,
            "version": state.version,
            "prepare": state.pending,
            "rule": state.rule,
            "lease_ms": lease_ms,
        }

    def remove_holder(self, holder: str, life: int) -> None:
        """Remove a holder that has shut down cleanly and no longer acts."""
        self.holders.pop((holder, life), None)

    def advance(self, now: int) -> bool:
        """Put the pending version into effect if nothing blocks it, and drop holders with expired leases.

        The latest life of each holder is kept even without a lease, as it may query again, or has just done
        so for the first time. Returns whether the version took effect; the caller persists the state before
        it sends another answer.
        """
        self.holders = {
            key: holder
            for key, holder in self.holders.items()
            if holder.lease_until > now or key in self._latest_lives()
        }
        if not self.state.pending or now < self.recovery_until or self.blocking_holders(now):
            return False
        self.state = PersistedState(self.state.life, self.state.pending, last=self.state.last)
        return True

    def blocking_holders(self, now: int) -> dict[str, str]:
        """Return the holders that block the pending version, each with the reason."""
        return {
            name: holder.refused or "has not answered yet"
            for (name, _), holder in self.holders.items()
            if holder.lease_until > now and holder.prepared != self.state.pending
        }

    def _latest_lives(self) -> set[tuple[str, int]]:
        lives: dict[str, int] = {}
        for name, life in self.holders:
            lives[name] = max(life, lives.get(name, 0))
        return set(lives.items())
