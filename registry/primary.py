"""The primary: takes writes, one transaction after another, and keeps leases."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Any

from ops import logs
from ops.http import Exchange, Refused, Request

from .entries import (
    BLOCK_MOST,
    DELETED,
    DRAINING,
    LEASE_LEAST,
    LEASE_MOST,
    SERVING,
    Entry,
    Record,
    address,
    digits,
    fields,
    health,
    name,
    parse_json,
    share,
    whole_number,
)
from .leases import TICK, Leases
from .ledger import Ledger
from .meeting import Rendezvous
from .service import END_WITHIN, Stored, dump
from .store import PRIMARY, Damaged, Store, may_pass

log = logs.get(__name__)

BATCH_MOST = 256  # writes in one transaction
QUEUE_MOST = 4_096  # writes that wait for theirs
AHEAD_MOST = 86_400_000  # milliseconds that a host's clock may be ahead of ours


def now_us() -> int:
    """The clock, in microseconds."""
    return time.time_ns() // 1_000


class Draft:
    """The list as the writes of one transaction leave it, before it is on disk."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.changed: dict[str, Record | None] = {}
        self.steps: list[tuple[int, tuple[Entry, ...]]] = []
        self.gone: dict[str, tuple[int, Entry]] = {}
        self.hosts = len(ledger.records)

    def get(self, host: str) -> Record | None:
        """A host on the list."""
        return self.changed[host] if host in self.changed else self.ledger.records.get(host)

    def left(self, host: str) -> tuple[int, int]:
        """Of a host that was taken off: the version of that word and its last start, 0 where forgotten."""
        seq, entry = self.gone.get(host) or self.ledger.gone.get(host, (0, None))
        return seq, entry.born_ms if entry else 0

    def compared(self, host: str, version: int) -> Record:
        """A host on the list; Refused where it isn't the one that the writer knows."""
        record = self.get(host)
        if record is None:
            raise Refused(404, "not on the list: register", version=self.left(host)[0])
        if record.version != version:
            shown = parse_json(record.entry.text.encode())
            raise Refused(409, "a newer word holds", version=record.version, entry=shown)
        return record

    def put(self, seq: int, entry: Entry, record: Record | None) -> None:
        """One write."""
        self.hosts += (record is not None) - (self.get(entry.host) is not None)
        self.changed[entry.host] = record
        self.steps.append((seq, (entry,)))
        if record is None:
            self.gone[entry.host] = (seq, entry)


Decide = Callable[[Draft, int], tuple[Entry, Record | None] | None]  # what a write leads to, with its number


class Primary(Stored):
    """Takes writes, keeps leases."""

    role = PRIMARY

    def __init__(
        self,
        store: Store,
        connections: int,
        hold_share: float,
        hosts_most: int,
        settle: float,
        lease: int,
        seq_above: int = 0,
        promote: bool = False,
    ) -> None:
        super().__init__(store, connections)
        self.leases = Leases(time.monotonic, hold_share)
        self.meeting = Rendezvous(time.monotonic)
        self.hosts_most, self.settle, self.lease, self.seq_above = hosts_most, settle, lease, seq_above
        self.promote = promote
        self.open_at = 0.0  # by the loop's clock: until then a new list may still lack most hosts
        self.queue: list[tuple[Decide, Exchange | None]] = []
        self.queued = asyncio.Event()
        self.busy = False  # with a transaction

    def number(self, last: int) -> int:
        """The next seq."""
        return max(last + 1, self.seq_above + 1, now_us())

    def closed(self) -> str | None:
        """A new list is not read before hosts had the time to register."""
        if asyncio.get_running_loop().time() < self.open_at:
            return "a new list: hosts have yet to register"
        return super().closed()

    def trouble(self) -> str | None:
        """A held list wants a person, too."""
        if self.leases.held:
            return f"list held: {len(self.leases.held)} leases ran out at once, see /hold"
        return super().trouble()

    async def begin(self) -> None:
        """A seq of this start's own, so that nothing given out after a backup was made counts as known."""
        role = self.store.load(self.ledger)
        if role != PRIMARY and not self.promote:
            raise Damaged(f"{self.store.path} is a follower's: start with --follow, or with --promote")
        seq = self.number(self.ledger.seq)
        life, records = self.ledger.life, {}
        if not life or role != PRIMARY:
            life = seq
            records = {h: Record(r.entry, seq, r.lease or self.lease) for h, r in self.ledger.records.items()}
        past = (now_us() - life) / 1e6 if self.ledger.life else 0.0
        if role == PRIMARY and 0 <= past < self.settle:
            self.open_at = asyncio.get_running_loop().time() + self.settle - past
        await self.commit(life, seq, [(seq, ())], records, self.ledger.kept, PRIMARY)
        self.ledger.life = life
        self.ledger.apply(seq, (), records)
        for host, record in self.ledger.records.items():
            self.leases.hear(host, record.lease)
        self.start(self._write())
        self.start(self._tick())

    async def last(self) -> None:
        """Writes that wait get their transaction."""
        ends = time.monotonic() + END_WITHIN
        while (self.queue or self.busy) and not self.failed and time.monotonic() < ends:
            await asyncio.sleep(0.01)

    def meet(self, exchange: Exchange, request: Request, cluster: str) -> None:
        """A gateway leaves its address and is told others'."""
        exchange.answer(dump(self.meeting.announce(cluster, parse_json(request.body))))

    # -- calls about one host --------------------------------------------------------------------------

    def write(self, exchange: Exchange, request: Request, host: str, verb: str = "") -> None:
        """Register, look up, take out; or by name: renew, drain."""
        name(host, "host")
        call = (request.method, verb)
        if call == ("GET", ""):
            request.terms()
            exchange.answer(dump(self._shown(host)))
        elif call == ("PUT", ""):
            request.terms()
            self._register(exchange, host, parse_json(request.body))
        elif call == ("DELETE", ""):
            request.terms("version")
            version = digits(request.query.get("version", ""), "version")
            self._ask(exchange, lambda draft, seq: (draft.compared(host, version).entry.now(DELETED), None))
        elif call == ("POST", "renew"):
            version = self._version(request)
            record = Draft(self.ledger).compared(host, version)
            self.leases.hear(host, record.lease)
            self.counts["renewed"] += 1
            exchange.answer(dump({"version": record.version, "lease_ms": record.lease}))
        elif call == ("POST", "drain"):
            version = self._version(request)
            self._ask(exchange, lambda draft, seq: self._drained(draft, seq, host, version))
        elif verb in ("", "renew", "drain"):
            allow = "POST" if verb else "GET, PUT, DELETE"
            raise Refused(405, f"known here: {allow}", {"Allow": allow})
        else:
            raise Refused(404, "no such path: renew and drain are known behind a host")

    @staticmethod
    def _version(request: Request) -> int:
        request.terms()
        raw = parse_json(request.body)
        fields(raw, ("version",))
        return whole_number(raw["version"], "version")

    def _shown(self, host: str) -> dict[str, Any]:
        record = self.ledger.records.get(host)
        if record is None:
            raise Refused(404, "not on the list", version=Draft(self.ledger).left(host)[0])
        entry = parse_json(record.entry.text.encode())
        return {"version": record.version, "lease_ms": record.lease, "entry": entry}

    def _register(self, exchange: Exchange, host: str, raw: dict[str, Any]) -> None:
        fields(raw, ("dial", "site", "class", "block", "share", "lease_ms", "version"), ("health", "born_ms"))
        address(raw["dial"])
        entry = Entry(
            host,
            raw["dial"],
            name(raw["site"], "site"),
            name(raw["class"], "class"),
            whole_number(raw["block"], "block", most=BLOCK_MOST),
            health(raw.get("health", SERVING), (SERVING, DRAINING)),
            share(raw["share"]),
            0,
        )
        lease = whole_number(raw["lease_ms"], "lease_ms", LEASE_LEAST, LEASE_MOST)
        version = whole_number(raw["version"], "version")
        born = None
        if "born_ms" in raw:
            born = whole_number(raw["born_ms"], "born_ms", most=now_us() // 1_000 + AHEAD_MOST)

        def decide(draft: Draft, seq: int) -> tuple[Entry, Record]:
            if draft.get(host):
                started = draft.compared(host, version).entry.born_ms
            else:
                left, started = draft.left(host)
                if left != version:
                    raise Refused(409, "a newer word holds: it was taken off", version=left)
                if draft.hosts >= self.hosts_most:
                    raise Refused(403, f"the list is full: {self.hosts_most} hosts")
            if born is not None and born < started:
                raise Refused(409, "a later start of this host is known", version=version, born_ms=started)
            at = max(now_us() // 1_000, started + 1) if born is None else born
            new = replace(entry, born_ms=at)
            return new, Record(new, seq, lease)

        self._ask(exchange, decide)

    @staticmethod
    def _drained(draft: Draft, seq: int, host: str, version: int) -> tuple[Entry, Record]:
        record = draft.compared(host, version)
        entry = record.entry.now(DRAINING)
        return entry, Record(entry, seq, record.lease)

    def _lapsed(self, draft: Draft, host: str) -> tuple[Entry, None] | None:
        """A lease ran out; it may have been renewed since."""
        record = draft.get(host)
        if record is None or not self.leases.ran_out(host):
            return None
        self.counts["lapsed"] += 1
        log.warning("lease_expired", host=host)
        return record.entry.now(DELETED), None

    def _ask(self, exchange: Exchange, decide: Decide) -> None:
        if self.readers.ending:
            raise Refused(503, "ending", {"Retry-After": "1"})
        if len(self.queue) >= QUEUE_MOST:
            raise Refused(503, "too many writes wait", {"Retry-After": "1"})
        self.queue.append((decide, exchange))
        self.queued.set()

    # -- one transaction after another -----------------------------------------------------------------

    async def _write(self) -> None:
        while True:
            await self.queued.wait()
            batch, self.queue = self.queue[:BATCH_MOST], self.queue[BATCH_MOST:]
            if not self.queue:
                self.queued.clear()
            self.busy = True
            try:
                await self._transact(batch)
                self.busy = False
            except sqlite3.Error as wrong:
                self.busy, self.full = False, True
                self.leases.leaving.clear()
                log.error("writes_refused", writes=len(batch), error=wrong)
                for _, exchange in batch:
                    if exchange:
                        exchange.refuse(Refused(503, "not stored, nothing has changed", {"Retry-After": "1"}))
                if not may_pass(wrong):
                    raise  # what is on disk is in doubt: a new start verifies it

    async def _transact(self, batch: list[tuple[Decide, Exchange | None]]) -> None:
        """Decide writes in order, each on what those before it leave; then the disk, readers, writers."""
        draft, seq = Draft(self.ledger), self.ledger.seq
        answers: list[tuple[Exchange, Refused | bytes]] = []
        for decide, exchange in batch:
            number = self.number(seq)
            try:
                done = decide(draft, number)
            except Refused as refused:
                answers.append((exchange, refused))
                continue
            if done is None:
                continue
            seq, (entry, record) = number, done
            draft.put(seq, entry, record)
            if exchange:
                told = {"version": seq, "born_ms": entry.born_ms}
                if record:
                    told["lease_ms"] = record.lease
                answers.append((exchange, dump(told)))
        if draft.steps:
            await self.commit(self.ledger.life, seq, draft.steps, draft.changed, self.ledger.kept)
            self.full = False
            self._publish(draft)
        for exchange, said in answers:
            if isinstance(said, Refused):
                exchange.refuse(said)
            else:
                exchange.answer(said)

    def _publish(self, draft: Draft) -> None:
        index, changed = self.ledger.seq, draft.changed
        for seq, entries in draft.steps:
            self.ledger.apply(seq, entries, {entry.host: changed[entry.host] for entry in entries})
        for host, record in changed.items():
            if record:
                self.leases.hear(host, record.lease)
            else:
                self.leases.forget(host)
        self.counts["changes"] += len(draft.steps)
        self.reading.wake(index)

    # -- leases ----------------------------------------------------------------------------------------

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            before = self.leases.held
            self._take_off(self.leases.look())
            if self.leases.held and not before:
                # Nobody is taken off until hosts are heard again or POST /hold confirms that they are gone.
                log.error("list_held", leases_out=len(self.leases.held), leases=len(self.leases.heard))
            elif before and not self.leases.held:
                log.warning("list_released")

    def _take_off(self, hosts: Collection[str]) -> None:
        for host in hosts:
            self.queue.append((lambda draft, seq, host=host: self._lapsed(draft, host), None))
            self.queued.set()

    def operate(self, exchange: Exchange, request: Request) -> None:
        """With the held list: who is on it, and a person's word that they are gone."""
        held = self.leases.held
        if request.path != ["hold"]:
            super().operate(exchange, request)
        elif request.method == "GET":
            exchange.answer(dump({"held": len(held), "hosts": sorted(held)}))
        elif request.method == "POST":
            raw = parse_json(request.body)
            fields(raw, ("held",))
            if whole_number(raw["held"], "held") != len(held) or not held:
                raise Refused(409, f"held now: {len(held)}; look again", held=len(held))
            log.warning("hold_confirmed", hosts=len(held))
            self._take_off(self.leases.confirm())
            exchange.answer(dump({"taken_off": len(held)}))
        else:
            raise Refused(405, "known here: GET, POST", {"Allow": "GET, POST"})

    def figures(self) -> dict[str, Any]:
        """With leases and writes."""
        leases = {"kept": len(self.leases.heard), "held": len(self.leases.held)}
        return super().figures() | {"leases": leases, "writes_waiting": len(self.queue)}
