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
    DELETED,
    DRAINING,
    MAX_BLOCK,
    MAX_LEASE_MS,
    MIN_LEASE_MS,
    SERVING,
    Entry,
    Record,
    check_fields,
    parse_address,
    parse_digits,
    parse_health,
    parse_integer,
    parse_json,
    parse_name,
    parse_share,
)
from .leases import CHECK_INTERVAL, Leases
from .ledger import Ledger
from .meeting import Rendezvous
from .service import SHUTDOWN_TIMEOUT, StoredService, to_json
from .store import PRIMARY, Store, StoreError, is_transient

log = logs.get(__name__)

MAX_BATCH = 256  # writes in one transaction
MAX_QUEUED_WRITES = 4_096  # writes that wait for theirs
MAX_CLOCK_AHEAD_MS = 86_400_000  # milliseconds that a host's clock may be ahead of ours


def now_us() -> int:
    """The clock, in microseconds."""
    return time.time_ns() // 1_000


class Draft:
    """The list as the writes of one transaction leave it, before it is on disk."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.records: dict[str, Record | None] = {}
        self.changes: list[tuple[int, tuple[Entry, ...]]] = []
        self.removed: dict[str, tuple[int, Entry]] = {}
        self.host_count = len(ledger.records)

    def get(self, host: str) -> Record | None:
        """A host on the list."""
        return self.records[host] if host in self.records else self.ledger.records.get(host)

    def last_removal(self, host: str) -> tuple[int, int]:
        """Of a host that was taken off: the version of that word and its last start, 0 where forgotten."""
        seq, entry = self.removed.get(host) or self.ledger.removed.get(host, (0, None))
        return seq, entry.born_ms if entry else 0

    def check_version(self, host: str, version: int) -> Record:
        """A host on the list; Refused where it isn't the one that the writer knows."""
        record = self.get(host)
        if record is None:
            raise Refused(404, "not on the list: register", version=self.last_removal(host)[0])
        if record.version != version:
            shown = parse_json(record.entry.json_text.encode())
            raise Refused(409, "a newer word holds", version=record.version, entry=shown)
        return record

    def put(self, seq: int, entry: Entry, record: Record | None) -> None:
        """One write."""
        self.host_count += (record is not None) - (self.get(entry.host) is not None)
        self.records[entry.host] = record
        self.changes.append((seq, (entry,)))
        if record is None:
            self.removed[entry.host] = (seq, entry)


Operation = Callable[
    [Draft, int], tuple[Entry, Record | None] | None
]  # what a write leads to, with its number


class Primary(StoredService):
    """Takes writes, keeps leases."""

    role = PRIMARY

    def __init__(
        self,
        store: Store,
        connections: int,
        hold_share: float,
        max_hosts: int,
        settle: float,
        default_lease_ms: int,
        seq_above: int = 0,
        promote: bool = False,
    ) -> None:
        super().__init__(store, connections)
        self.leases = Leases(time.monotonic, hold_share)
        self.meeting = Rendezvous(time.monotonic)
        self.max_hosts = max_hosts
        self.settle = settle
        self.default_lease_ms = default_lease_ms
        self.seq_above = seq_above
        self.promote = promote
        self.readable_at = 0.0  # by the loop's clock: until then a new list may still lack most hosts
        self.write_queue: list[tuple[Operation, Exchange | None]] = []
        self.write_queued = asyncio.Event()
        self.committing = False  # with a transaction

    def next_seq(self, last: int) -> int:
        """The next seq."""
        return max(last + 1, self.seq_above + 1, now_us())

    def unavailable_reason(self) -> str | None:
        """A new list is not read before hosts had the time to register."""
        if asyncio.get_running_loop().time() < self.readable_at:
            return "a new list: hosts have yet to register"
        return super().unavailable_reason()

    def health_problem(self) -> str | None:
        """A held list wants a person, too."""
        if self.leases.held:
            return f"list held: {len(self.leases.held)} leases ran out at once, see /hold"
        return super().health_problem()

    async def on_start(self) -> None:
        """A seq of this start's own, so that nothing given out after a backup was made counts as known."""
        role = self.store.load(self.ledger)
        if role != PRIMARY and not self.promote:
            raise StoreError(f"{self.store.path} is a follower's: start with --follow, or with --promote")
        seq = self.next_seq(self.ledger.seq)
        life, records = self.ledger.life, {}
        if not life or role != PRIMARY:
            life = seq
            records = {
                h: Record(r.entry, seq, r.lease_ms or self.default_lease_ms)
                for h, r in self.ledger.records.items()
            }
        past = (now_us() - life) / 1e6 if self.ledger.life else 0.0
        if role == PRIMARY and 0 <= past < self.settle:
            self.readable_at = asyncio.get_running_loop().time() + self.settle - past
        await self.commit(life, seq, [(seq, ())], records, self.ledger.max_changes, PRIMARY)
        self.ledger.life = life
        self.ledger.apply(seq, (), records)
        for host, record in self.ledger.records.items():
            self.leases.renew(host, record.lease_ms)
        self.spawn(self._write_loop())
        self.spawn(self._lease_loop())

    async def finish_writes(self) -> None:
        """Writes that wait get their transaction."""
        ends = time.monotonic() + SHUTDOWN_TIMEOUT
        while (self.write_queue or self.committing) and not self.failed and time.monotonic() < ends:
            await asyncio.sleep(0.01)

    def handle_gateway(self, exchange: Exchange, request: Request, cluster: str) -> None:
        """A gateway leaves its address and is told others'."""
        exchange.answer(to_json(self.meeting.announce(cluster, parse_json(request.body))))

    # -- calls about one host --------------------------------------------------------------------------

    def handle_host(self, exchange: Exchange, request: Request, host: str, verb: str = "") -> None:
        """Register, look up, take out; or by name: renew, drain."""
        parse_name(host, "host")
        call = (request.method, verb)
        if call == ("GET", ""):
            request.terms()
            exchange.answer(to_json(self._describe(host)))
        elif call == ("PUT", ""):
            request.terms()
            self._register(exchange, host, parse_json(request.body))
        elif call == ("DELETE", ""):
            request.terms("version")
            version = parse_digits(request.query.get("version", ""), "version")
            self._enqueue(
                exchange,
                lambda draft, seq: (draft.check_version(host, version).entry.with_health(DELETED), None),
            )
        elif call == ("POST", "renew"):
            version = self._version(request)
            record = Draft(self.ledger).check_version(host, version)
            self.leases.renew(host, record.lease_ms)
            self.counts["renewed"] += 1
            exchange.answer(to_json({"version": record.version, "lease_ms": record.lease_ms}))
        elif call == ("POST", "drain"):
            version = self._version(request)
            self._enqueue(exchange, lambda draft, seq: self._drain(draft, seq, host, version))
        elif verb in ("", "renew", "drain"):
            allow = "POST" if verb else "GET, PUT, DELETE"
            raise Refused(405, f"known here: {allow}", {"Allow": allow})
        else:
            raise Refused(404, "no such path: renew and drain are known behind a host")

    @staticmethod
    def _version(request: Request) -> int:
        request.terms()
        raw = parse_json(request.body)
        check_fields(raw, ("version",))
        return parse_integer(raw["version"], "version")

    def _describe(self, host: str) -> dict[str, Any]:
        record = self.ledger.records.get(host)
        if record is None:
            raise Refused(404, "not on the list", version=Draft(self.ledger).last_removal(host)[0])
        entry = parse_json(record.entry.json_text.encode())
        return {"version": record.version, "lease_ms": record.lease_ms, "entry": entry}

    def _register(self, exchange: Exchange, host: str, raw: dict[str, Any]) -> None:
        check_fields(
            raw, ("dial", "site", "class", "block", "share", "lease_ms", "version"), ("health", "born_ms")
        )
        parse_address(raw["dial"])
        entry = Entry(
            host,
            raw["dial"],
            parse_name(raw["site"], "site"),
            parse_name(raw["class"], "class"),
            parse_integer(raw["block"], "block", most=MAX_BLOCK),
            parse_health(raw.get("health", SERVING), (SERVING, DRAINING)),
            parse_share(raw["share"]),
            0,
        )
        lease_ms = parse_integer(raw["lease_ms"], "lease_ms", MIN_LEASE_MS, MAX_LEASE_MS)
        version = parse_integer(raw["version"], "version")
        born = None
        if "born_ms" in raw:
            born = parse_integer(raw["born_ms"], "born_ms", most=now_us() // 1_000 + MAX_CLOCK_AHEAD_MS)

        def decide(draft: Draft, seq: int) -> tuple[Entry, Record]:
            if draft.get(host):
                started = draft.check_version(host, version).entry.born_ms
            else:
                left, started = draft.last_removal(host)
                if left != version:
                    raise Refused(409, "a newer word holds: it was taken off", version=left)
                if draft.host_count >= self.max_hosts:
                    raise Refused(403, f"the list is full: {self.max_hosts} hosts")
            if born is not None and born < started:
                raise Refused(409, "a later start of this host is known", version=version, born_ms=started)
            at = max(now_us() // 1_000, started + 1) if born is None else born
            new = replace(entry, born_ms=at)
            return new, Record(new, seq, lease_ms)

        self._enqueue(exchange, decide)

    @staticmethod
    def _drain(draft: Draft, seq: int, host: str, version: int) -> tuple[Entry, Record]:
        record = draft.check_version(host, version)
        entry = record.entry.with_health(DRAINING)
        return entry, Record(entry, seq, record.lease_ms)

    def _expire(self, draft: Draft, host: str) -> tuple[Entry, None] | None:
        """A lease ran out; it may have been renewed since."""
        record = draft.get(host)
        if record is None or not self.leases.is_expired(host):
            return None
        self.counts["lapsed"] += 1
        log.warning("lease_expired", host=host)
        return record.entry.with_health(DELETED), None

    def _enqueue(self, exchange: Exchange, decide: Operation) -> None:
        if self.reader_server.ending:
            raise Refused(503, "ending", {"Retry-After": "1"})
        if len(self.write_queue) >= MAX_QUEUED_WRITES:
            raise Refused(503, "too many writes wait", {"Retry-After": "1"})
        self.write_queue.append((decide, exchange))
        self.write_queued.set()

    # -- one transaction after another -----------------------------------------------------------------

    async def _write_loop(self) -> None:
        while True:
            await self.write_queued.wait()
            batch, self.write_queue = self.write_queue[:MAX_BATCH], self.write_queue[MAX_BATCH:]
            if not self.write_queue:
                self.write_queued.clear()
            self.committing = True
            try:
                await self._commit_batch(batch)
                self.committing = False
            except sqlite3.Error as error:
                self.committing, self.write_failed = False, True
                self.leases.expiring.clear()
                log.error("writes_refused", writes=len(batch), error=error)
                for _, exchange in batch:
                    if exchange:
                        exchange.refuse(Refused(503, "not stored, nothing has changed", {"Retry-After": "1"}))
                if not is_transient(error):
                    raise  # what is on disk is in doubt: a new start verifies it

    async def _commit_batch(self, batch: list[tuple[Operation, Exchange | None]]) -> None:
        """Decide writes in order, each on what those before it leave; then the disk, readers, writers."""
        draft, seq = Draft(self.ledger), self.ledger.seq
        answers: list[tuple[Exchange, Refused | bytes]] = []
        for decide, exchange in batch:
            next_seq = self.next_seq(seq)
            try:
                done = decide(draft, next_seq)
            except Refused as refused:
                answers.append((exchange, refused))
                continue
            if done is None:
                continue
            seq, (entry, record) = next_seq, done
            draft.put(seq, entry, record)
            if exchange:
                told = {"version": seq, "born_ms": entry.born_ms}
                if record:
                    told["lease_ms"] = record.lease_ms
                answers.append((exchange, to_json(told)))
        if draft.changes:
            await self.commit(self.ledger.life, seq, draft.changes, draft.records, self.ledger.max_changes)
            self.write_failed = False
            self._publish(draft)
        for exchange, said in answers:
            if isinstance(said, Refused):
                exchange.refuse(said)
            else:
                exchange.answer(said)

    def _publish(self, draft: Draft) -> None:
        index, records = self.ledger.seq, draft.records
        for seq, entries in draft.changes:
            self.ledger.apply(seq, entries, {entry.host: records[entry.host] for entry in entries})
        for host, record in records.items():
            if record:
                self.leases.renew(host, record.lease_ms)
            else:
                self.leases.remove(host)
        self.counts["changes"] += len(draft.changes)
        self.watch_endpoint.notify(index)

    # -- leases ----------------------------------------------------------------------------------------

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            before = self.leases.held
            self._enqueue_removals(self.leases.collect_expired())
            if self.leases.held and not before:
                # Nobody is taken off until hosts are heard again or POST /hold confirms that they are gone.
                log.error("list_held", leases_out=len(self.leases.held), leases=len(self.leases.renewals))
            elif before and not self.leases.held:
                log.warning("list_released")

    def _enqueue_removals(self, hosts: Collection[str]) -> None:
        for host in hosts:
            self.write_queue.append((lambda draft, seq, host=host: self._expire(draft, host), None))
            self.write_queued.set()

    def handle_operator(self, exchange: Exchange, request: Request) -> None:
        """With the held list: who is on it, and a person's word that they are gone."""
        held = self.leases.held
        if request.path != ["hold"]:
            super().handle_operator(exchange, request)
        elif request.method == "GET":
            exchange.answer(to_json({"held": len(held), "hosts": sorted(held)}))
        elif request.method == "POST":
            raw = parse_json(request.body)
            check_fields(raw, ("held",))
            if parse_integer(raw["held"], "held") != len(held) or not held:
                raise Refused(409, f"held now: {len(held)}; look again", held=len(held))
            log.warning("hold_confirmed", hosts=len(held))
            self._enqueue_removals(self.leases.confirm_held())
            exchange.answer(to_json({"taken_off": len(held)}))
        else:
            raise Refused(405, "known here: GET, POST", {"Allow": "GET, POST"})

    def figures(self) -> dict[str, Any]:
        """With leases and writes."""
        leases = {"kept": len(self.leases.renewals), "held": len(self.leases.held)}
        return super().figures() | {"leases": leases, "writes_waiting": len(self.write_queue)}
