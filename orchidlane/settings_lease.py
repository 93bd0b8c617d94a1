"""A gateway's lease on a version of the settings: which version it may apply, and until when.

Uses neither clock nor sockets; callers pass the time in microseconds of a clock that keeps running while the
machine sleeps. ``registry/agreement.py`` is the other side of the protocol and explains its rules. A lease is
counted from the moment the request was sent, not from the arrival of the answer, and is checked at each
decision: a process that was paused finds its lease expired before it acts.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

MS = 1_000  # microseconds
CLOCK_DRIFT_MAX = 0.001  # fraction by which a clock may run fast or slow
PENDING_REQUESTS_MAX = 64  # requests whose answers are still accepted
# The source's long poll lasts at most a lease divided by this number. The lease then outlasts the loss of one
# answer, or of two if the answer before them was not held back.
REQUESTS_PER_LEASE = 3
RETRY_DELAY_FACTOR = 1.2  # delay until a request is repeated, as a multiple of the longest long poll
REQUEST_INTERVAL_MIN = 200 * MS  # while no lease is granted
NEVER = "never"  # rule of a change whose old and new value must never be in force at the same time


@dataclass(frozen=True, slots=True)
class EffectiveSettings:
    """What applies to one decision.

    ``version``: the settings version that was granted, None before the first. ``restricted``: another version
    may be in force elsewhere, so whatever must never contradict is refused, and of all other limits the
    stricter applies. ``lapsed``: restricted because the lease has expired.
    """

    version: int | None
    restricted: bool = False
    lapsed: bool = False


class Holder:
    """The gateway's side of the settings lease."""

    def __init__(
        self, name: str, life: int, check_version: Callable[[int], str | None] | None = None
    ) -> None:
        """Start without a lease.

        ``life`` distinguishes this process from an earlier one of the same name; ``check_version`` returns
        why a version cannot be applied, or None if it can.
        """
        self.name, self.life, self.check_version = name, life, check_version
        self.source_life = 0  # in the last answer of the source (the registry); greater after a restore
        self.version: int | None = None
        self.prepared = 0  # version that we declared ourselves ready for
        self.restricted = False  # the prepared version's rule is NEVER: what it changes must not be used
        self.refused: str | None = None  # why the version last offered cannot be applied
        self.lease_end = 0
        self.lease_duration = 0  # microseconds
        self.last_request = 0
        self.last_answered = 0  # the request whose answer was applied last
        self.pending_requests: OrderedDict[int, int] = OrderedDict()  # request number: time sent
        self.next_request_at = 0

    def due(self, now: int) -> bool:
        """Return whether the next request should be sent."""
        return now >= self.next_request_at

    def make_request(self, now: int) -> dict[str, Any]:
        """Create the next lease request, with the version held and the version prepared for."""
        self.last_request += 1
        self.pending_requests[self.last_request] = now
        if len(self.pending_requests) > PENDING_REQUESTS_MAX:
            self.pending_requests.popitem(last=False)
        self.next_request_at = now + max(
            REQUEST_INTERVAL_MIN, int(RETRY_DELAY_FACTOR * self.lease_duration / REQUESTS_PER_LEASE)
        )
        return {
            "holder": self.name,
            "life": self.life,
            "asked": self.last_request,
            "had": self.last_answered,
            "version": self.version or 0,
            "prepared": self.prepared,
            "refused": self.refused,
        }

    def apply_answer(self, now: int, answer: Mapping[str, Any]) -> bool:
        """Apply the source's answer, and return whether it was accepted.

        It is not if it is outdated, belongs to no pending request, or names a version that cannot be applied.
        """
        if answer["life"] != self.life:
            return False  # addressed to an earlier process, whose request numbers were the same
        sent = self.pending_requests.pop(answer["asked"], None)
        source = answer["source"], answer["version"]
        if (
            sent is None
            or answer["asked"] <= self.last_answered
            or source < (self.source_life, self.version or 0)
        ):
            return False
        self.last_answered = answer["asked"]
        self.next_request_at = now + REQUEST_INTERVAL_MIN
        if answer["version"] != self.version and (reason := self._rejection_reason(answer["version"])):
            self.refused = reason  # the lease on the current version is left to expire
            return False
        self.source_life, self.version = source
        self.lease_duration = answer["lease_ms"] * MS
        self.lease_end = max(self.lease_end, sent + int(self.lease_duration * (1 - CLOCK_DRIFT_MAX)))
        pending = answer["prepare"]
        if pending and pending > self.version and pending != self.prepared:
            self.refused = self._rejection_reason(pending)
            self.prepared = 0 if self.refused else pending
        elif not pending:
            self.prepared, self.refused = 0, None
        # With a lease, request at once: the source holds the next answer back until there is a change.
        self.next_request_at = now if self.lease_duration else now + REQUEST_INTERVAL_MIN
        self.restricted = bool(self.prepared) and answer["rule"] == NEVER
        return True

    def _rejection_reason(self, version: int) -> str | None:
        return self.check_version(version) if self.check_version else None

    def effective(self, now: int) -> EffectiveSettings:
        """Return the settings that a decision made now has to use."""
        lapsed = now >= self.lease_end
        return EffectiveSettings(self.version, self.restricted or lapsed, lapsed)
