"""Which directions between members are down, as reported by the member at the sending end."""

from __future__ import annotations

import zlib

from .member_messages import Row, RowKind


class Links:
    """The latest report on each link."""

    def __init__(self) -> None:
        self.reports: dict[
            tuple[int, int], tuple[int, int, bool]
        ] = {}  # (from, to): life, report number, down
        self.digest = 0  # over all directions that are down; equal sets have equal digests

    def is_down(self, source: int, target: int) -> bool:
        """Whether messages are reported not to arrive; a link without a report counts as up."""
        return self.reports.get((source, target), (0, 0, False))[2]

    def apply(self, row: Row) -> bool:
        """Apply a report; whether it is newer than the one held."""
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
        """All reports of one sending member."""
        return [
            Row(RowKind.LINK_DOWN if down else RowKind.LINK_UP, rank, life, number, observer=observer)
            for (rank, observer), (life, number, down) in self.reports.items()
            if rank == source
        ]

    def down_links(self) -> list[tuple[int, int]]:
        """Directions that are down, as sorted pairs (from, to)."""
        return sorted(link for link, (_, _, down) in self.reports.items() if down)

    @staticmethod
    def _digest_part(link: tuple[int, int]) -> int:
        return zlib.crc32(b"%d %d" % link)
