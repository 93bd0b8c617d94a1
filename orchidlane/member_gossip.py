"""Gossip queue of membership: each row is piggybacked on a bounded number of datagrams, least sent first."""

from __future__ import annotations

from collections.abc import Iterator

from . import member_messages as messages
from .member_messages import Row, RowKind

HOP_DELAY = 25_000  # microseconds added per hop: forwarding must not make a member appear seen more recently
URGENCY = {RowKind.SUSPECT: 0, RowKind.LEFT: 0, RowKind.DEAD: 1, RowKind.ALIVE: 1, RowKind.LAST_SEEN: 2}
MEMBER, SUSPICION, LINK, LAST_SEEN = range(4)
TOPICS = {
    RowKind.SUSPECT: SUSPICION,
    RowKind.LINK_DOWN: LINK,
    RowKind.LINK_UP: LINK,
    RowKind.LAST_SEEN: LAST_SEEN,
}

Key = tuple[int, int, int]  # rank, topic, and for suspicions and links the observer


def key_of(row: Row) -> Key:
    """Return the key of a row: equal keys replace each other, suspicions of different accusers do not."""
    topic = TOPICS.get(row.kind, MEMBER)
    return row.rank, topic, row.observer if topic in (SUSPICION, LINK) else 0


class GossipQueue:
    """Rows that are still to be disseminated."""

    def __init__(self, transmissions_max: int) -> None:
        """Create an empty queue that sends each row ``transmissions_max`` times."""
        self.transmissions_max = transmissions_max
        self.items: dict[Key, tuple[int, int, Row, int]] = {}  # transmissions, urgency, row, time queued

    def add(self, now: int, row: Row) -> None:
        """Queue a row in place of the one with the same key, and count its transmissions from zero."""
        self.items[key_of(row)] = 0, URGENCY.get(row.kind, 3), row, now

    def evidence_time(self, row: Row) -> int | None:
        """Return the time of the evidence for the queued row with this row's key, None if none is queued."""
        item = self.items.get(key_of(row))
        return item[3] - item[2].age if item else None

    def rows(self, now: int, receiver: int) -> Iterator[Row]:
        """Yield all queued rows with their current age.

        Rows with an age that are about the receiver are left out: claims about it are sent to it separately.
        """
        for _, _, row, queued_at in sorted(self.items.values(), key=lambda item: item[:2]):
            if row.kind not in messages.KINDS_WITH_AGE:
                yield row
            elif row.rank != receiver:
                age = row.age + now - queued_at + HOP_DELAY * (row.kind is RowKind.LAST_SEEN)
                yield Row(row.kind, row.rank, row.life, row.incarnation, age, row.observer)

    def mark_sent(self, row: Row) -> bool:
        """Count a transmission, and drop the row after the last one. Return whether the row was queued."""
        key = key_of(row)
        transmissions, urgency, queued, queued_at = self.items.get(key, (0, 0, None, 0))
        if queued is None or (queued.kind, queued.life, queued.incarnation) != (
            row.kind,
            row.life,
            row.incarnation,
        ):
            return False
        self.items[key] = transmissions + 1, urgency, queued, queued_at
        if transmissions + 1 >= self.transmissions_max:
            del self.items[key]
        return True

    def drop(self, rank: int, topic: int) -> None:
        """Drop all rows of one topic about a member, which no longer hold."""
        for key in [key for key in self.items if key[:2] == (rank, topic)]:
            del self.items[key]
