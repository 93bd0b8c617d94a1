"""The list in memory: hosts, the changes that are kept, and answers made once for all who wait."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable

from .entries import DELETED, Entry, News, Record

KEPT = 8_192  # changes: a reader that lags by more gets the whole list


class Ledger:
    """What has been told, by number. All of it may be told: it is on disk where one is kept.

    ``seq`` 0 means that nothing is known yet; then nothing may be answered.
    """

    def __init__(self, kept: int = KEPT) -> None:
        self.kept = kept
        self.life = self.seq = 0
        self.records: dict[str, Record] = {}
        self.gone: dict[str, tuple[int, Entry]] = {}  # hosts taken off in the changes that are kept, and when
        self.seqs: list[int] = []  # each number that was given out and is kept, and what it told
        self.told: list[tuple[Entry, ...]] = []
        self.made = 0  # answers that were put together
        self._bodies: dict[int | None, bytes] = {}  # by the reader's index, for as long as seq holds

    def load(
        self, life: int, records: Iterable[Record], log: Iterable[tuple[int, tuple[Entry, ...]]]
    ) -> None:
        """What a store or a file kept."""
        self.life, self._bodies = life, {}
        self.records = {record.entry.host: record for record in records}
        log = list(log)
        self.seqs, self.told = [seq for seq, _ in log], [entries for _, entries in log]
        self.seq = self.seqs[-1] if log else 0
        self.gone = {}
        for seq, entries in log:
            self._note(seq, entries)

    def reset(self, life: int, seq: int, records: Iterable[Record]) -> None:
        """Another list than before: nobody's index is known any more."""
        self.load(life, records, [(seq, ())])

    def _note(self, seq: int, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.health == DELETED:
                self.gone[entry.host] = (seq, entry)
            else:
                self.gone.pop(entry.host, None)

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
        self.told.append(entries)
        self._note(seq, entries)
        self._bodies = {}
        if len(self.seqs) > 2 * self.kept:  # in large steps, so that each costs nothing on average
            del self.seqs[: -self.kept], self.told[: -self.kept]
            self.gone = {host: told for host, told in self.gone.items() if told[0] >= self.seqs[0]}

    def since(self, index: int | None) -> News:
        """What is newer than this number, which is known; None: the whole list."""
        if index is not None:
            later = self.told[bisect_right(self.seqs, index) :]
            return News(self.life, self.seq, False, tuple(entry for told in later for entry in told))
        return News(self.life, self.seq, True, tuple(record.entry for record in self.records.values()))

    def knows(self, index: int) -> bool:
        """This number was given out and is kept."""
        at = bisect_left(self.seqs, index)
        return at < len(self.seqs) and self.seqs[at] == index

    def body(self, index: int | None) -> bytes:
        """The answer to a reader that stands at this number, made once for all who do; the whole list where
        it was never given out or is not kept."""
        key = index if index is not None and self.knows(index) else None
        if key not in self._bodies:
            self.made += 1
            news = self.since(key)
            hosts = ",".join(entry.text for entry in news.entries)
            whole = "true" if news.whole else "false"
            self._bodies[key] = f'{{"seq":{news.seq},"whole":{whole},"hosts":[{hosts}]}}'.encode()
        return self._bodies[key]

    def steps(self, news: News) -> tuple[Entry, ...]:
        """News as changes against what is held: a whole list leaves out what is as it was."""
        if not news.whole:
            return news.entries
        names = {entry.host for entry in news.entries}
        gone = (r.entry.now(DELETED) for host, r in self.records.items() if host not in names)
        held = {record.entry for record in self.records.values()}
        return (*gone, *(entry for entry in news.entries if entry not in held))

    def states(self) -> Counter[str]:
        """Hosts by state."""
        return Counter(record.entry.health for record in self.records.values())
