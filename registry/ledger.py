"""The list in memory: hosts, the changes that are kept, and answers made once for all who wait."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable

from .entries import DELETED, Entry, ListUpdate, Record

MAX_CHANGES = 8_192  # changes: a reader that lags by more gets the whole list


class Ledger:
    """What has been told, by number. All of it may be told: it is on disk where one is kept.

    ``seq`` 0 means that nothing is known yet; then nothing may be answered.
    """

    def __init__(self, max_changes: int = MAX_CHANGES) -> None:
        self.max_changes = max_changes
        self.life = self.seq = 0
        self.records: dict[str, Record] = {}
        self.removed: dict[
            str, tuple[int, Entry]
        ] = {}  # hosts taken off in the changes that are kept, and when
        self.seqs: list[int] = []  # each number that was given out and is kept, and what it told
        self.changes: list[tuple[Entry, ...]] = []
        self.bodies_built = 0  # answers that were put together
        self._body_cache: dict[int | None, bytes] = {}  # by the reader's index, for as long as seq holds

    def load(
        self, life: int, records: Iterable[Record], log: Iterable[tuple[int, tuple[Entry, ...]]]
    ) -> None:
        """What a store or a file kept."""
        self.life, self._body_cache = life, {}
        self.records = {record.entry.host: record for record in records}
        log = list(log)
        self.seqs, self.changes = [seq for seq, _ in log], [entries for _, entries in log]
        self.seq = self.seqs[-1] if log else 0
        self.removed = {}
        for seq, entries in log:
            self._track_removals(seq, entries)

    def reset(self, life: int, seq: int, records: Iterable[Record]) -> None:
        """Another list than before: nobody's index is known any more."""
        self.load(life, records, [(seq, ())])

    def _track_removals(self, seq: int, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.health == DELETED:
                self.removed[entry.host] = (seq, entry)
            else:
                self.removed.pop(entry.host, None)

    def apply(self, seq: int, entries: tuple[Entry, ...], records: dict[str, Record | None]) -> None:
        """One step: what it tells, and the hosts as they are then (None: off the list)."""
        assert seq > self.seq
        for host, record in records.items():
            if record is None:
                self.records.pop(host, None)
            else:
                self.records[host] = record
        self.seq = seq
        self.seqs.append(seq)
        self.changes.append(entries)
        self._track_removals(seq, entries)
        self._body_cache = {}
        if len(self.seqs) > 2 * self.max_changes:  # in large steps, so that each costs nothing on average
            del self.seqs[: -self.max_changes], self.changes[: -self.max_changes]
            self.removed = {
                host: changes for host, changes in self.removed.items() if changes[0] >= self.seqs[0]
            }

    def update_since(self, index: int | None) -> ListUpdate:
        """What is newer than this number, which is known; None: the whole list."""
        if index is not None:
            later = self.changes[bisect_right(self.seqs, index) :]
            return ListUpdate(
                self.life, self.seq, False, tuple(entry for changes in later for entry in changes)
            )
        return ListUpdate(self.life, self.seq, True, tuple(record.entry for record in self.records.values()))

    def has_seq(self, index: int) -> bool:
        """This number was given out and is kept."""
        at = bisect_left(self.seqs, index)
        return at < len(self.seqs) and self.seqs[at] == index

    def body(self, index: int | None) -> bytes:
        """The answer to a reader that stands at this number, made once for all who do; the whole list where
        it was never given out or is not kept."""
        key = index if index is not None and self.has_seq(index) else None
        if key not in self._body_cache:
            self.bodies_built += 1
            update = self.update_since(key)
            hosts = ",".join(entry.json_text for entry in update.entries)
            whole = "true" if update.whole else "false"
            self._body_cache[key] = f'{{"seq":{update.seq},"whole":{whole},"hosts":[{hosts}]}}'.encode()
        return self._body_cache[key]

    def as_changes(self, update: ListUpdate) -> tuple[Entry, ...]:
        """News as changes against what is held: a whole list leaves out what is as it was."""
        if not update.whole:
            return update.entries
        names = {entry.host for entry in update.entries}
        removed = (r.entry.with_health(DELETED) for host, r in self.records.items() if host not in names)
        held = {record.entry for record in self.records.values()}
        return (*removed, *(entry for entry in update.entries if entry not in held))

    def count_by_health(self) -> Counter[str]:
        """Hosts by state."""
        return Counter(record.entry.health for record in self.records.values())
