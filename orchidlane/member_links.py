"""Which directed links between members are down, as reported by the member at the sending end.

A link is a pair of ranks, sender and receiver: each direction between two members may fail alone.
"""

from __future__ import annotations

import zlib

from .member_messages import Row, RowKind


class Links:
    """The latest report on each directed link."""

    def __init__(self) -> None:
        # (from, to): life, report number, down
        self.reports: dict[tuple[int, int], tuple[int, int, bool]] = {}
        self.digest = 0  # over all links that are down; equal sets have equal digests

    def is_down(self, source: int, target: int) -> bool:
        """Return whether a link is reported to be down; one without a report counts as up."""
        return self.reports.get((source, target), (0, 0, False))[2]

    def apply(self, row: Row) -> bool:
        """Apply a report. Return whether it is newer than the one held."""
        link, down = (row.rank, row.observer), row.kind is RowKind.LINK_DOWN
        life, number, was_down = self.reports.get(link, (0, 0, False))
        if (row.life, row.incarnation) <= (life, number) or row.rank == row.observer:
            return False
        self.reports[link] = row.life, row.incarnation, down
        if was_down is not down:
            self.digest ^= self._digest_part(link)
        return True

    def forget(self, rank: int) -> None:
        """Drop all reports from and about a member that is dead, has left or was restarted."""
        for link in [link for link in self.reports if rank in link]:
            if self.reports.pop(link)[2]:
                self.digest ^= self._digest_part(link)

    def rows(self, source: int) -> list[Row]:
        """Return all reports of one sending member."""
        return [
            Row(RowKind.LINK_DOWN if down else RowKind.LINK_UP, rank, life, number, observer=observer)
            for (rank, observer), (life, number, down) in self.reports.items()
            if rank == source
        ]

    def down_links(self) -> list[tuple[int, int]]:
        """Return the links that are down, as sorted pairs (from, to)."""
        return sorted(link for link, (_, _, down) in self.reports.items() if down)

    @staticmethod
    def _digest_part(link: tuple[int, int]) -> int:
        return zlib.crc32(b"%d %d" % link)
