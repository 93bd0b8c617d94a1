"""Where the gateways of a cluster find each other: each leaves its address for a while and is told others'.

Nothing of it is on disk or replicated: who is forgotten after a start leaves its address again within
seconds, and gateways that know each other need it no more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ops.http import Refused

from .entries import MIN_LEASE_MS, check_fields, parse_address, parse_integer, parse_name

MAX_ANNOUNCEMENTS = 4_096  # over all clusters: bounds an answer as well, to some 300 KB
MAX_RANK = 65_535
MAX_LEASE_MS = 300_000  # milliseconds


@dataclass(frozen=True, slots=True)
class Announcement:
    """One gateway's word."""

    rank: int
    life: int
    dial: str
    announced_at: float  # when, by the service's monotonic clock
    expires_at: float


class Rendezvous:
    """All clusters' gateways, in memory."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """``clock``: monotonic, seconds."""
        self.clock = clock
        self.announcements: dict[tuple[str, int], Announcement] = {}

    def announce(self, cluster: str, raw: dict[str, Any]) -> dict[str, Any]:
        """A gateway leaves its address; the others' of its cluster, the last ones first. Raises Invalid, or
        Refused where another process of a greater life holds the rank, or the table is full."""
        parse_name(cluster, "cluster")
        check_fields(raw, ("rank", "life", "dial", "lease_ms"))
        parse_address(raw["dial"])
        rank = parse_integer(raw["rank"], "rank", most=MAX_RANK)
        life = parse_integer(raw["life"], "life", 1)
        lease_ms = parse_integer(raw["lease_ms"], "lease_ms", MIN_LEASE_MS, MAX_LEASE_MS)
        now, at = self.clock(), (cluster, rank)
        current = self.announcements.get(at)
        is_predecessor = current is not None and current.expires_at > now and current.life > life
        if not is_predecessor:
            if current is None and len(self.announcements) >= MAX_ANNOUNCEMENTS:
                self._forget(now)
            if current is None and len(self.announcements) >= MAX_ANNOUNCEMENTS:
                raise Refused(403, f"the table is full: {MAX_ANNOUNCEMENTS} gateways")
            self.announcements[at] = Announcement(rank, life, raw["dial"], now, now + lease_ms / 1_000)
        # The elder of two processes of a rank is told of the newer one, by its own rank, and yields.
        others = [
            announcement
            for (of, other), announcement in self.announcements.items()
            if of == cluster and announcement.expires_at > now and (other != rank or is_predecessor)
        ]
        ordered = sorted(
            others,
            key=lambda announcement: (announcement.rank == rank, announcement.announced_at),
            reverse=True,
        )
        return {"gateways": [{"rank": s.rank, "life": s.life, "dial": s.dial} for s in ordered]}

    def _forget(self, now: float) -> None:
        for at in [at for at, announcement in self.announcements.items() if announcement.expires_at <= now]:
            del self.announcements[at]
