"""Where the gateways of a cluster find each other: each leaves its address for a while and is told others'.

Nothing of it is on disk or replicated: who is forgotten after a start leaves its address again within
seconds, and gateways that know each other need it no more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ops.http import Refused

from .entries import LEASE_LEAST, address, fields, name, whole_number

MAX_ANNOUNCEMENTS = 4_096  # over all clusters: bounds an answer as well, to some 300 KB
RANK_MOST = 65_535
LEASE_MOST = 300_000  # milliseconds


@dataclass(frozen=True, slots=True)
class Seat:
    """One gateway's word."""

    rank: int
    life: int
    dial: str
    left: float  # when, by the service's monotonic clock
    until: float


class Rendezvous:
    """All clusters' gateways, in memory."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """``clock``: monotonic, seconds."""
        self.clock = clock
        self.announcements: dict[tuple[str, int], Seat] = {}

    def announce(self, cluster: str, raw: dict[str, Any]) -> dict[str, Any]:
        """A gateway leaves its address; the others' of its cluster, the last ones first. Raises Invalid, or
        Refused where another process of a greater life holds the rank, or the table is full."""
        name(cluster, "cluster")
        fields(raw, ("rank", "life", "dial", "lease_ms"))
        address(raw["dial"])
        rank = whole_number(raw["rank"], "rank", most=RANK_MOST)
        life = whole_number(raw["life"], "life", 1)
        lease = whole_number(raw["lease_ms"], "lease_ms", LEASE_LEAST, LEASE_MOST)
        now, at = self.clock(), (cluster, rank)
        held = self.announcements.get(at)
        is_elder = held is not None and held.until > now and held.life > life
        if not is_elder:
            if held is None and len(self.announcements) >= MAX_ANNOUNCEMENTS:
                self._forget(now)
            if held is None and len(self.announcements) >= MAX_ANNOUNCEMENTS:
                raise Refused(403, f"the table is full: {MAX_ANNOUNCEMENTS} gateways")
            self.announcements[at] = Seat(rank, life, raw["dial"], now, now + lease / 1_000)
        # The elder of two processes of a rank is told of the newer one, by its own rank, and yields.
        others = [
            seat
            for (of, other), seat in self.announcements.items()
            if of == cluster and seat.until > now and (other != rank or is_elder)
        ]
        told = sorted(others, key=lambda seat: (seat.rank == rank, seat.left), reverse=True)
        return {"gateways": [{"rank": s.rank, "life": s.life, "dial": s.dial} for s in told]}

    def _forget(self, now: float) -> None:
        for at in [at for at, seat in self.announcements.items() if seat.until <= now]:
            del self.announcements[at]
