"""Leases: by the monotonic clock, only over time in which the service ran, never many at once unseen."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

TICK = 0.25  # seconds between two looks
LATE = 0.75  # of its lease without a word: a host that counts as late once another one's ran out
SHARE = 0.2  # of all hosts: no more are taken off without a person's word
WINDOW = 60.0  # seconds over which that share holds


class Leases:
    """When each host was heard last, on a clock that stands while the service does."""

    def __init__(self, clock: Callable[[], float], share: float = SHARE) -> None:
        self.clock, self.share = clock, share
        self.seen = clock()  # the clock at the last look
        self.time = 0.0  # of this service: seconds in which it ran
        self.heard: dict[str, tuple[float, float]] = {}  # when last, and the length of the lease
        self.leaving: set[str] = set()  # being taken off
        self.taken: deque[float] = deque()  # when hosts were taken off as their leases ran out
        self.held: frozenset[str] = frozenset()  # would be taken off, but are too many

    def hear(self, host: str, lease: int) -> None:
        """A host's word: its lease, in milliseconds, begins anew."""
        self.heard[host] = (self.time, lease / 1_000)
        self.leaving.discard(host)

    def forget(self, host: str) -> None:
        """It is off the list."""
        self.heard.pop(host, None)
        self.leaving.discard(host)

    def ran_out(self, host: str) -> bool:
        """Its lease is over."""
        since, length = self.heard[host]
        return self.time - since >= length

    def look(self) -> Collection[str]:
        """Every TICK: the hosts to take off now. A look that comes late counts as one in time: for as long as
        the service stood it heard nobody."""
        now = self.clock()
        self.time += min(max(0.0, now - self.seen), 2 * TICK)
        self.seen = now
        while self.taken and self.time - self.taken[0] > WINDOW:
            self.taken.popleft()
        stay = {host: told for host, told in self.heard.items() if host not in self.leaving}
        over = [host for host in stay if self.ran_out(host)]
        late = sum(self.time - since >= LATE * length for since, length in stay.values())
        most = max(1, int(self.share * (len(self.heard) + len(self.taken))))
        if over and late + len(self.taken) > most:
            self.held = frozenset(over)
            return ()
        if self.held:  # heard again: the others had no better chance, and get theirs
            for host in over:
                self.heard[host] = (self.time, self.heard[host][1])
            self.held = frozenset()
            return ()
        self.taken.extend(self.time for _ in over)
        self.leaving.update(over)
        return over

    def confirm(self) -> Collection[str]:
        """A person says that the held ones are gone."""
        gone, self.held = self.held, frozenset()
        self.leaving |= gone
        return gone
