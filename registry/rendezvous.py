"""Rendezvous of a cluster's gateways: each announces its address with a lease and receives the others'.

Announcements are neither persisted nor replicated: after a restart of the service gateways announce again
within seconds, and gateways that already know each other no longer depend on it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ops.http import HTTPError

from .entries import MIN_LEASE_MS, check_fields, parse_address, parse_integer, parse_name

MAX_ANNOUNCEMENTS = 4_096  # over all clusters; also bounds a response, to about 300 KB
MAX_RANK = 65_535
MAX_ANNOUNCEMENT_LEASE_MS = 300_000


@dataclass(frozen=True, slots=True)
class Announcement:
    """One gateway's announced address."""

    rank: int
    life: int
    dial: str
    announced_at: float  # seconds on the service's monotonic clock
    expires_at: float


class Rendezvous:
    """The announced gateways of all clusters, in memory."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """``clock`` returns monotonic seconds."""
        self.clock = clock
        self.announcements: dict[tuple[str, int], Announcement] = {}

    def announce(self, cluster: str, raw: dict[str, Any]) -> dict[str, Any]:
        """Record a gateway's address and return the others of its cluster, the most recent first.

        Raises Invalid for malformed input, and HTTPError if the table is full.
        """
        parse_name(cluster, "cluster")
        check_fields(raw, ("rank", "life", "dial", "lease_ms"))
        parse_address(raw["dial"])
        rank = parse_integer(raw["rank"], "rank", maximum=MAX_RANK)
        life = parse_integer(raw["life"], "life", 1)
        lease_ms = parse_integer(raw["lease_ms"], "lease_ms", MIN_LEASE_MS, MAX_ANNOUNCEMENT_LEASE_MS)
        now, key = self.clock(), (cluster, rank)
        current = self.announcements.get(key)
        is_older_process = current is not None and current.expires_at > now and current.life > life
        if not is_older_process:
            if current is None and len(self.announcements) >= MAX_ANNOUNCEMENTS:
                self._remove_expired(now)
            if current is None and len(self.announcements) >= MAX_ANNOUNCEMENTS:
                raise HTTPError(403, f"the table is full: {MAX_ANNOUNCEMENTS} gateways")
            self.announcements[key] = Announcement(rank, life, raw["dial"], now, now + lease_ms / 1_000)
        # Of two processes with one rank, the older also receives the address of the newer one, and yields.
        others = [
            announcement
            for (other_cluster, other_rank), announcement in self.announcements.items()
            if other_cluster == cluster
            and announcement.expires_at > now
            and (other_rank != rank or is_older_process)
        ]
        ordered = sorted(
            others,
            key=lambda announcement: (announcement.rank == rank, announcement.announced_at),
            reverse=True,
        )
        return {
            "gateways": [{"rank": other.rank, "life": other.life, "dial": other.dial} for other in ordered]
        }

    def _remove_expired(self, now: float) -> None:
        for key in [
            key for key, announcement in self.announcements.items() if announcement.expires_at <= now
        ]:
            del self.announcements[key]
