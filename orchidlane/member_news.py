"""Membership's news: rows that ride in datagrams a bounded number of times each, the least told first."""

from __future__ import annotations

from collections.abc import Iterator

from . import member_messages as messages
from .member_messages import Row, RowKind

HOP = 25_000  # microseconds: who was heard must not seem heard later by each one that tells it
URGENCY = {RowKind.SUSPECT: 0, RowKind.LEFT: 0, RowKind.DEAD: 1, RowKind.ALIVE: 1, RowKind.LAST_SEEN: 2}
MEMBER, SUSPICION, LINK, LAST_SEEN = range(4)
KINDS = {
    RowKind.SUSPECT: SUSPICION,
    RowKind.LINK_DOWN: LINK,
    RowKind.LINK_UP: LINK,
    RowKind.LAST_SEEN: LAST_SEEN,
}

Key = tuple[int, int, int]  # rank, kind, and for suspicions and links the other


def key_of(row: Row) -> Key:
    """What replaces what: each accuser's word stands for itself."""
    kind = KINDS.get(row.kind, MEMBER)
    return row.rank, kind, row.by if kind in (SUSPICION, LINK) else 0


class News:
    """What is still to be told."""

    def __init__(self, most: int) -> None:
        """Each row is told ``most`` times."""
        self.most = most
        self.items: dict[Key, tuple[int, int, Row, int]] = {}  # times told, urgency, row, when it was put in

    def add(self, now: int, row: Row) -> None:
        """In place of what it replaces, told never."""
        self.items[key_of(row)] = 0, URGENCY.get(row.kind, 3), row, now

    def since(self, row: Row) -> int | None:
        """When what is told in this row's place happened; None: nothing is."""
        item = self.items.get(key_of(row))
        return item[3] - item[2].age if item else None

    def rows(self, now: int, to: int) -> Iterator[Row]:
        """As of now, for one member: its own doubts are told to it apart."""
        for _, _, row, put in sorted(self.items.values(), key=lambda item: item[:2]):
            if row.kind not in messages.AGED:
                yield row
            elif row.rank != to:
                age = row.age + now - put + HOP * (row.kind is RowKind.LAST_SEEN)
                yield Row(row.kind, row.rank, row.life, row.incarnation, age, row.by)

    def told(self, row: Row) -> bool:
        """Once more; what was told often enough is none. Whether it was news."""
        key = key_of(row)
        times, urgency, known, put = self.items.get(key, (0, 0, None, 0))
        if known is None or (known.kind, known.life, known.incarnation) != (
            row.kind,
            row.life,
            row.incarnation,
        ):
            return False
        self.items[key] = times + 1, urgency, known, put
        if times + 1 >= self.most:
            del self.items[key]
        return True

    def drop(self, rank: int, kind: int) -> None:
        """Nothing of this kind about it is true any more."""
        for key in [key for key in self.items if key[:2] == (rank, kind)]:
            del self.items[key]
