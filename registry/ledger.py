"""The host list in memory, with a bounded change log and cached response bodies."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable

from .entries import DELETED, Entry, ListUpdate, Record

MAX_CHANGES = 8_192  # changes retained; a reader that lags further behind gets the full list


class Ledger:
    """The current hosts and the recent changes by sequence number.

    Everything in it may be served: where there is a store, changes are on disk before they get here.
    ``seq`` 0 means that no list has been loaded yet; readers must not be answered then.
    """

    def __init__(self, max_changes: int = MAX_CHANGES) -> None:
        self.max_changes = max_changes
        self.life = self.seq = 0
        self.records: dict[str, Record] = {}
        self.removed: dict[str, tuple[int, Entry]] = {}  # hosts removed by a retained change, with its seq
        self.seqs: list[int] = []  # sequence numbers of the retained changes, ascending
        self.changes: list[tuple[Entry, ...]] = []  # parallel to seqs
        self.bodies_built = 0
        self._body_cache: dict[int | None, bytes] = {}  # by the reader's index; cleared with each change

    def load(
        self, life: int, records: Iterable[Record], log: Iterable[tuple[int, tuple[Entry, ...]]]
    ) -> None:
        """Replace the content by these records and the change log."""
        self.life, self._body_cache = life, {}
        self.records = {record.entry.host: record for record in records}
        log = list(log)
        self.seqs, self.changes = [seq for seq, _ in log], [entries for _, entries in log]
        self.seq = self.seqs[-1] if log else 0
        self.removed = {}
        for seq, entries in log:
            self._track_removals(seq, entries)

    def reset(self, life: int, seq: int, records: Iterable[Record]) -> None:
        """Switch to another list without history, so that readers with an old index get the full list."""
        self.load(life, records, [(seq, ())])

    def _track_removals(self, seq: int, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.health == DELETED:
                self.removed[entry.host] = (seq, entry)
            else:
                self.removed.pop(entry.host, None)

    def apply(self, seq: int, entries: tuple[Entry, ...], records: dict[str, Record | None]) -> None:
        """Apply one change: the entries to publish, and the resulting records (None: removed)."""
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
        if len(self.seqs) > 2 * self.max_changes:  # trimmed in bulk: amortized O(1) per change
            del self.seqs[: -self.max_changes], self.changes[: -self.max_changes]
            self.removed = {
                host: removal for host, removal in self.removed.items() if removal[0] >= self.seqs[0]
            }

    def update_since(self, index: int | None) -> ListUpdate:
        """Return the changes after a retained index, or the full list for None."""
        if index is not None:
            later = self.changes[bisect_right(self.seqs, index) :]
            return ListUpdate(
                self.life, self.seq, False, tuple(entry for entries in later for entry in entries)
            )
        return ListUpdate(self.life, self.seq, True, tuple(record.entry for record in self.records.values()))

    def has_seq(self, index: int) -> bool:
        """Return whether this sequence number was assigned and is still retained."""
        at = bisect_left(self.seqs, index)
        return at < len(self.seqs) and self.seqs[at] == index

    def body(self, index: int | None) -> bytes:
        """Return the response body for a reader at this index, built once for all readers at it.

        The index is the ``seq`` of the last change that the reader has. The full list is returned for None
        and for an index that was never assigned or is no longer retained.
        """
        key = index if index is not None and self.has_seq(index) else None
        if key not in self._body_cache:
            self.bodies_built += 1
            update = self.update_since(key)
            hosts = ",".join(entry.json_text for entry in update.entries)
            whole = "true" if update.whole else "false"
            self._body_cache[key] = f'{{"seq":{update.seq},"whole":{whole},"hosts":[{hosts}]}}'.encode()
        return self._body_cache[key]

    def as_changes(self, update: ListUpdate) -> tuple[Entry, ...]:
        """Return an update as changes against the current list; a full list is reduced to its differences."""
        if not update.whole:
            return update.entries
        names = {entry.host for entry in update.entries}
        removed = (r.entry.with_health(DELETED) for host, r in self.records.items() if host not in names)
        current = {record.entry for record in self.records.values()}
        return (*removed, *(entry for entry in update.entries if entry not in current))

    def count_by_health(self) -> Counter[str]:
        """Count the hosts by health state."""
        return Counter(record.entry.health for record in self.records.values())
