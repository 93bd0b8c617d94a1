"""Membership's book of links: which directions are told to be dead, by the end that sends."""

from __future__ import annotations

import zlib

from .member_messages import Row, RowKind


class Links:
    """What is held of each direction; the sender's latest report stands."""

    def __init__(self) -> None:
        self.reports: dict[tuple[int, int], tuple[int, int, bool]] = {}  # (from, to): life, number, dead
        self.digest = 0  # of the dead ones: who holds the same has the same

    def is_down(self, source: int, target: int) -> bool:
        """Whether nothing is told to arrive; a direction nobody spoke of works."""
        return self.reports.get((source, target), (0, 0, False))[2]

    def learn(self, row: Row) -> bool:
        """A report; whether it is news."""
        at, dead = (row.rank, row.by), row.kind is RowKind.LINK_DOWN
        life, number, was = self.reports.get(at, (0, 0, False))
        if (row.life, row.incarnation) <= (life, number) or row.rank == row.by:
            return False
        self.reports[at] = row.life, row.incarnation, dead
        if was is not dead:
            self.digest ^= self._digest_part(at)
        return True

    def forget(self, rank: int) -> None:
        """Of who is not there nothing holds."""
        for at in [at for at in self.reports if rank in at]:
            if self.reports.pop(at)[2]:
                self.digest ^= self._digest_part(at)

    def rows(self, source: int) -> list[Row]:
        """All reports of one that sends."""
        return [
            Row(RowKind.LINK_DOWN if dead else RowKind.LINK_UP, rank, life, number, by=by)
            for (rank, by), (life, number, dead) in self.reports.items()
            if rank == source
        ]

    def down_links(self) -> list[tuple[int, int]]:
        """Directions on which nothing arrives, as (from, to)."""
        return sorted(at for at, (_, _, dead) in self.reports.items() if dead)

    @staticmethod
    def _digest_part(at: tuple[int, int]) -> int:
        return zlib.crc32(b"%d %d" % at)
