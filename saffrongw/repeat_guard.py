"""Ids of requests that may have been executed, so that none that is unsafe to repeat is begun twice.

The decision module numbers requests itself. To it, an id that comes again, after its client left or at the
other process of an upgrade, is a new request, whatever has become of the first one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .calls import Call

REMEMBERED_SECONDS = 30.0  # after a request has ended
IDS_MAX = 10_000


class RepeatGuard:
    """Remembers the requests in flight and, for a while, those that a host may have executed."""

    def __init__(self, time: Callable[[], float]) -> None:
        self.time = time
        self.ids_max = IDS_MAX  # remembered after their requests have ended; the oldest go first
        self.in_flight: dict[bytes, Call] = {}
        self.executed: dict[bytes, float] = {}  # until when an id is remembered, the earliest first

    def begin(self, call: Call, request_id: bytes) -> bool:
        """Register a request; return False if one of its id is in flight or may have been executed."""
        self._forget_expired()
        if request_id in self.in_flight or request_id in self.executed:
            return False
        self.in_flight[request_id] = call
        call.guarded_id = request_id
        return True

    def end(self, call: Call) -> None:
        """Remember a request whose attempts have all ended, if one of them may have run."""
        if call.guarded_id is None:
            return
        request_id, call.guarded_id = call.guarded_id, None
        del self.in_flight[request_id]
        if any(attempt.may_have_run for attempt in call.attempts):
            self.remember([request_id])

    def remember(self, request_ids: Iterable[bytes]) -> None:
        """Remember ids that may have been executed, here or by the other process of an upgrade."""
        expires_at = self.time() + REMEMBERED_SECONDS
        for request_id in request_ids:
            self.executed.pop(request_id, None)
            self.executed[request_id] = expires_at
        self._forget_expired()

    def ids_for_successor(self) -> list[bytes]:
        """Return the ids that a successor must not begin; requests without an attempt are relayed to it."""
        self._forget_expired()
        attempted = [request_id for request_id, call in self.in_flight.items() if call.attempts]
        return [*self.executed, *attempted]

    def _forget_expired(self) -> None:
        now = self.time()
        while self.executed:
            oldest = next(iter(self.executed))
            if self.executed[oldest] > now and len(self.executed) <= self.ids_max:
                break
            del self.executed[oldest]
