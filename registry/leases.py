"""Leases: by the monotonic clock, only over time in which the service ran, never many at once unseen."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

CHECK_INTERVAL = 0.25  # seconds between two looks
LATE_FRACTION = 0.75  # of its lease without a word: a host that counts as late once another one's ran out
DEFAULT_HOLD_SHARE = 0.2  # of all hosts: no more are taken off without a person's word
HOLD_WINDOW = 60.0  # seconds over which that share holds


class Leases:
    """When each host was heard last, on a clock that stands while the service does."""

    def __init__(self, clock: Callable[[], float], share: float = DEFAULT_HOLD_SHARE) -> None:
        self.clock, self.hold_share = clock, share
        self.last_check = clock()  # the clock at the last look
        self.running_time = 0.0  # of this service: seconds in which it ran
        self.renewals: dict[str, tuple[float, float]] = {}  # when last, and the length of the lease
        self.expiring: set[str] = set()  # being taken off
        self.removal_times: deque[float] = deque()  # when hosts were taken off as their leases ran out
        self.held: frozenset[str] = frozenset()  # would be taken off, but are too many

    def renew(self, host: str, lease_ms: int) -> None:
        """A host's word: its lease, in milliseconds, begins anew."""
        self.renewals[host] = (self.running_time, lease_ms / 1_000)
        self.expiring.discard(host)

    def remove(self, host: str) -> None:
        """It is off the list."""
        self.renewals.pop(host, None)
        self.expiring.discard(host)

    def is_expired(self, host: str) -> bool:
        """Its lease is over."""
        since, length = self.renewals[host]
        return self.running_time - since >= length

    def collect_expired(self) -> Collection[str]:
        """Every TICK: the hosts to take off now. A look that comes late counts as one in time: for as long as
        the service stood it heard nobody."""
        now = self.clock()
        self.running_time += min(max(0.0, now - self.last_check), 2 * CHECK_INTERVAL)
        self.last_check = now
        while self.removal_times and self.running_time - self.removal_times[0] > HOLD_WINDOW:
            self.removal_times.popleft()
        active = {host: renewal for host, renewal in self.renewals.items() if host not in self.expiring}
        expired = [host for host in active if self.is_expired(host)]
        late = sum(self.running_time - since >= LATE_FRACTION * length for since, length in active.values())
        max_removals = max(1, int(self.hold_share * (len(self.renewals) + len(self.removal_times))))
        if expired and late + len(self.removal_times) > max_removals:
            self.held = frozenset(expired)
            return ()
        if self.held:  # heard again: the others had no better chance, and get theirs
            for host in expired:
                self.renewals[host] = (self.running_time, self.renewals[host][1])
            self.held = frozenset()
            return ()
        self.removal_times.extend(self.running_time for _ in expired)
        self.expiring.update(expired)
        return expired

    def confirm_held(self) -> Collection[str]:
        """A person says that the held ones are gone."""
        confirmed, self.held = self.held, frozenset()
        self.expiring |= confirmed
        return confirmed
