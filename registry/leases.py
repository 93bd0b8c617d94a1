"""Host leases, measured on the monotonic clock and only while the service runs.

Expired hosts are removed from the list, unless so many expire at once that a fault of the network or of the
service is the likelier cause; then all removals are held until the hosts renew or an operator confirms.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

CHECK_INTERVAL = 0.25  # seconds between two checks for expired leases
LATE_FRACTION = 0.75  # of a lease without renewal: once a lease has expired, these hosts count as expiring
DEFAULT_HOLD_SHARE = 0.2  # of all hosts: at most so many are removed in HOLD_WINDOW without an operator
HOLD_WINDOW = 60.0  # seconds for which a removal counts against the share


class Leases:
    """The last renewal of each host, on a clock that stops while the service is stopped."""

    def __init__(self, clock: Callable[[], float], share: float = DEFAULT_HOLD_SHARE) -> None:
        self.clock, self.hold_share = clock, share
        self.last_check = clock()
        self.running_time = 0.0  # seconds that this process has run, without the time it was stopped
        self.renewals: dict[str, tuple[float, float]] = {}  # last renewal in running time, lease in seconds
        self.expiring: set[str] = set()  # hosts whose removal is queued
        self.removal_times: deque[float] = deque()  # of the last HOLD_WINDOW, in running time
        self.held: frozenset[str] = frozenset()  # expired but kept, because too many expired at once

    def renew(self, host: str, lease_ms: int) -> None:
        """Start the host's lease anew."""
        self.renewals[host] = (self.running_time, lease_ms / 1_000)
        self.expiring.discard(host)

    def remove(self, host: str) -> None:
        """Drop the lease of a host that is no longer listed."""
        self.renewals.pop(host, None)
        self.expiring.discard(host)

    def is_expired(self, host: str) -> bool:
        """Return whether the host's lease has expired."""
        since, length = self.renewals[host]
        return self.running_time - since >= length

    def collect_expired(self) -> Collection[str]:
        """Return the hosts to remove now; called every CHECK_INTERVAL.

        A delayed check advances the clock by two intervals at most: while the service was stopped it could
        not receive renewals.
        """
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
        if self.held:  # renewals work again: hosts that have not renewed yet get a full lease to do so
            for host in expired:
                self.renewals[host] = (self.running_time, self.renewals[host][1])
            self.held = frozenset()
            return ()
        self.removal_times.extend(self.running_time for _ in expired)
        self.expiring.update(expired)
        return expired

    def confirm_held(self) -> Collection[str]:
        """Release the held hosts for removal, after an operator's confirmation."""
        confirmed, self.held = self.held, frozenset()
        self.expiring |= confirmed
        return confirmed
