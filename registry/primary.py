"""The primary: serializes writes into transactions and tracks host leases."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Any

from ops import logs
from ops.http import Connection, HTTPError, Request

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
from .rendezvous import Rendezvous
from .service import SHUTDOWN_TIMEOUT, StoredService, to_json
from .store import PRIMARY, Store, StoreError, is_transient

log = logs.get_logger(__name__)

MAX_BATCH = 256  # writes per transaction
MAX_QUEUED_WRITES = 4_096
MAX_CLOCK_AHEAD_MS = 86_400_000  # one day: by which a host's clock may be ahead of this one


def now_us() -> int:
    """Return the wall clock in microseconds."""
    return time.time_ns() // 1_000


class Draft:
    """The uncommitted changes of one transaction, layered over the ledger."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.records: dict[str, Record | None] = {}
        self.changes: list[tuple[int, tuple[Entry, ...]]] = []
        self.removed: dict[str, tuple[int, Entry]] = {}  # with the seq of the removal
        self.host_count = len(ledger.records)

    def get(self, host: str) -> Record | None:
        """Return the host's record, or None if it is not listed."""
        return self.records[host] if host in self.records else self.ledger.records.get(host)

    def last_removal(self, host: str) -> tuple[int, int]:
        """Return the version and ``born_ms`` of a host's last removal, zeros if it is no longer retained."""
        seq, entry = self.removed.get(host) or self.ledger.removed.get(host, (0, None))
        return seq, entry.born_ms if entry else 0

    def check_version(self, host: str, version: int) -> Record:
        """Return the host's record; raises HTTPError if missing or at another version (compare-and-set)."""
        record = self.get(host)
        if record is None:
            raise HTTPError(404, "not on the list: register first", version=self.last_removal(host)[0])
        if record.version != version:
            current = parse_json(record.entry.json_text.encode())
            raise HTTPError(
                409, "version conflict: a newer write exists", version=record.version, entry=current
            )
        return record

    def put(self, seq: int, entry: Entry, record: Record | None) -> None:
        """Add one write to the transaction."""
        self.host_count += (record is not None) - (self.get(entry.host) is not None)
        self.records[entry.host] = record
        self.changes.append((seq, (entry,)))
        if record is None:
            self.removed[entry.host] = (seq, entry)


# Maps a draft and the next seq to the published entry and the new record (None: removed); None: no change.
Operation = Callable[[Draft, int], tuple[Entry, Record | None] | None]


class Primary(StoredService):
    """Accepts writes and removes hosts with expired leases."""

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
        self.rendezvous = Rendezvous(time.monotonic)
        self.max_hosts = max_hosts
        self.settle = settle  # seconds after its creation during which a list can't be read
        self.default_lease_ms = default_lease_ms
        self.seq_above = seq_above  # new sequence numbers are greater than this
        self.promote = promote
        self.readable_at = 0.0  # loop time; before it a new list may still lack most hosts
        self.write_queue: list[tuple[Operation, Connection | None]] = []
        self.write_queued = asyncio.Event()
        self.committing = False

    def next_seq(self, last: int) -> int:
        """Return a sequence number above ``last``, taken from the clock if that is ahead."""
        return max(last + 1, self.seq_above + 1, now_us())

    def unavailable_reason(self) -> str | None:
        """Return why readers can't be answered: a new list is refused until hosts had time to register."""
        if asyncio.get_running_loop().time() < self.readable_at:
            return "new list: waiting for hosts to register"
        return super().unavailable_reason()

    def health_problem(self) -> str | None:
        """Report held removals as well, which need an operator."""
        if self.leases.held:
            return f"list held: {len(self.leases.held)} leases expired at once, see /hold"
        return super().health_problem()

    async def on_start(self) -> None:
        """Load the store and commit a sequence number of this start.

        After a restore from a backup it lies above the numbers assigned since the backup, as it comes from
        the clock. This list lacks those numbers, so a reader that has one gets the full list.
        """
        role = self.store.load(self.ledger)
        if role != PRIMARY and not self.promote:
            raise StoreError(f"{self.store.path} is a follower's: start with --follow, or with --promote")
        seq = self.next_seq(self.ledger.seq)
        life, records = self.ledger.life, {}
        if not life or role != PRIMARY:
            # A new or promoted list starts a new life. A follower's store has no leases.
            life = seq
            records = {
                h: Record(r.entry, seq, r.lease_ms or self.default_lease_ms)
                for h, r in self.ledger.records.items()
            }
        # A life is the sequence number of the list's creation, which is a time in microseconds.
        age = (now_us() - life) / 1e6 if self.ledger.life else 0.0
        if role == PRIMARY and 0 <= age < self.settle:
            self.readable_at = asyncio.get_running_loop().time() + self.settle - age
        await self.commit(life, seq, [(seq, ())], records, self.ledger.max_changes, PRIMARY)
        self.ledger.life = life
        self.ledger.apply(seq, (), records)
        for host, record in self.ledger.records.items():
            self.leases.renew(host, record.lease_ms)
        self.spawn(self._write_loop())
        self.spawn(self._lease_loop())

    async def finish_writes(self) -> None:
        """Wait for the queued writes to be committed."""
        deadline = time.monotonic() + SHUTDOWN_TIMEOUT
        while (self.write_queue or self.committing) and not self.failed and time.monotonic() < deadline:
            await asyncio.sleep(0.01)

    def handle_gateway(self, connection: Connection, request: Request, cluster: str) -> None:
        """Record a gateway's address and answer with those of the others."""
        connection.respond(to_json(self.rendezvous.announce(cluster, parse_json(request.body))))

    # -- requests about one host -----------------------------------------------------------------------

    def handle_host(self, connection: Connection, request: Request, host: str, verb: str = "") -> None:
        """Handle GET, PUT (register) and DELETE of a host, and the verbs renew and drain."""
        parse_name(host, "host")
        call = (request.method, verb)
        if call == ("GET", ""):
            request.check_parameters()
            connection.respond(to_json(self._describe(host)))
        elif call == ("PUT", ""):
            request.check_parameters()
            self._register(connection, host, parse_json(request.body))
        elif call == ("DELETE", ""):
            request.check_parameters("version")
            version = parse_digits(request.query.get("version", ""), "version")
            self._enqueue(
                connection,
                lambda draft, seq: (draft.check_version(host, version).entry.with_health(DELETED), None),
            )
        elif call == ("POST", "renew"):
            version = self._requested_version(request)
            record = Draft(self.ledger).check_version(host, version)
            self.leases.renew(host, record.lease_ms)
            self.counts["renewed"] += 1
            connection.respond(to_json({"version": record.version, "lease_ms": record.lease_ms}))
        elif call == ("POST", "drain"):
            version = self._requested_version(request)
            self._enqueue(connection, lambda draft, seq: self._drain(draft, seq, host, version))
        elif verb in ("", "renew", "drain"):
            allow = "POST" if verb else "GET, PUT, DELETE"
            raise HTTPError(405, f"allowed here: {allow}", {"Allow": allow})
        else:
            raise HTTPError(404, "no such path: a host has the verbs renew and drain")

    @staticmethod
    def _requested_version(request: Request) -> int:
        request.check_parameters()
        raw = parse_json(request.body)
        check_fields(raw, ("version",))
        return parse_integer(raw["version"], "version")

    def _describe(self, host: str) -> dict[str, Any]:
        record = self.ledger.records.get(host)
        if record is None:
            raise HTTPError(404, "not on the list", version=Draft(self.ledger).last_removal(host)[0])
        entry = parse_json(record.entry.json_text.encode())
        return {"version": record.version, "lease_ms": record.lease_ms, "entry": entry}

    def _register(self, connection: Connection, host: str, raw: dict[str, Any]) -> None:
        check_fields(
            raw, ("dial", "site", "class", "block", "share", "lease_ms", "version"), ("health", "born_ms")
        )
        parse_address(raw["dial"])
        entry = Entry(
            host,
            raw["dial"],
            parse_name(raw["site"], "site"),
            parse_name(raw["class"], "class"),
            parse_integer(raw["block"], "block", maximum=MAX_BLOCK),
            parse_health(raw.get("health", SERVING), (SERVING, DRAINING)),
            parse_share(raw["share"]),
            0,
        )
        lease_ms = parse_integer(raw["lease_ms"], "lease_ms", MIN_LEASE_MS, MAX_LEASE_MS)
        version = parse_integer(raw["version"], "version")
        requested_born_ms = None
        if "born_ms" in raw:
            requested_born_ms = parse_integer(
                raw["born_ms"], "born_ms", maximum=now_us() // 1_000 + MAX_CLOCK_AHEAD_MS
            )

        def register(draft: Draft, seq: int) -> tuple[Entry, Record]:
            """Check the version and the start time of the host; return its new entry and record."""
            if draft.get(host):
                known_born_ms = draft.check_version(host, version).entry.born_ms
            else:
                removed_version, known_born_ms = draft.last_removal(host)
                if removed_version != version:
                    raise HTTPError(409, "version conflict: the host was removed", version=removed_version)
                if draft.host_count >= self.max_hosts:
                    raise HTTPError(403, f"the list is full: {self.max_hosts} hosts")
            if requested_born_ms is not None and requested_born_ms < known_born_ms:
                raise HTTPError(
                    409, "a later start of this host is known", version=version, born_ms=known_born_ms
                )
            # Without a requested start time the host counts as started now, and later than any known start.
            born_ms = (
                max(now_us() // 1_000, known_born_ms + 1) if requested_born_ms is None else requested_born_ms
            )
            registered = replace(entry, born_ms=born_ms)
            return registered, Record(registered, seq, lease_ms)

        self._enqueue(connection, register)

    @staticmethod
    def _drain(draft: Draft, seq: int, host: str, version: int) -> tuple[Entry, Record]:
        record = draft.check_version(host, version)
        entry = record.entry.with_health(DRAINING)
        return entry, Record(entry, seq, record.lease_ms)

    def _expire(self, draft: Draft, host: str) -> tuple[Entry, None] | None:
        """Remove a host whose lease expired, unless it has renewed since."""
        record = draft.get(host)
        if record is None or not self.leases.is_expired(host):
            return None
        self.counts["lapsed"] += 1
        log.warning("lease_expired", host=host)
        return record.entry.with_health(DELETED), None

    def _enqueue(self, connection: Connection, operation: Operation) -> None:
        if self.reader_server.shutting_down:
            raise HTTPError(503, "shutting down", {"Retry-After": "1"})
        if len(self.write_queue) >= MAX_QUEUED_WRITES:
            raise HTTPError(503, "write queue is full", {"Retry-After": "1"})
        self.write_queue.append((operation, connection))
        self.write_queued.set()

    # -- transactions ----------------------------------------------------------------------------------

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
                # The batch's removals are lost: the next checks queue them again.
                self.leases.expiring.clear()
                log.error("writes_refused", writes=len(batch), error=error)
                for _, connection in batch:
                    if connection:  # None: the removal of a host with an expired lease
                        connection.respond_error(
                            HTTPError(503, "write failed, nothing has changed", {"Retry-After": "1"})
                        )
                if not is_transient(error):
                    raise  # the state on disk is uncertain: the service stops, and a restart verifies it

    async def _commit_batch(self, batch: list[tuple[Operation, Connection | None]]) -> None:
        """Apply the writes in order to a draft, commit it, then publish to readers and answer the writers."""
        draft, seq = Draft(self.ledger), self.ledger.seq
        answers: list[tuple[Connection, HTTPError | bytes]] = []
        for operation, connection in batch:
            next_seq = self.next_seq(seq)
            try:
                outcome = operation(draft, next_seq)
            except HTTPError as error:
                answers.append((connection, error))
                continue
            if outcome is None:
                continue
            seq, (entry, record) = next_seq, outcome
            draft.put(seq, entry, record)
            if connection:
                body = {"version": seq, "born_ms": entry.born_ms}
                if record:
                    body["lease_ms"] = record.lease_ms
                answers.append((connection, to_json(body)))
        if draft.changes:
            await self.commit(self.ledger.life, seq, draft.changes, draft.records, self.ledger.max_changes)
            self.write_failed = False
            self._publish(draft)
        for connection, answer in answers:
            if isinstance(answer, HTTPError):
                connection.respond_error(answer)
            else:
                connection.respond(answer)

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
                # No host is removed until hosts renew again or an operator confirms with POST /hold.
                log.error("list_held", leases_out=len(self.leases.held), leases=len(self.leases.renewals))
            elif before and not self.leases.held:
                log.warning("list_released")

    def _enqueue_removals(self, hosts: Collection[str]) -> None:
        for host in hosts:
            self.write_queue.append((lambda draft, seq, host=host: self._expire(draft, host), None))
            self.write_queued.set()

    def handle_operator(self, connection: Connection, request: Request) -> None:
        """Handle /hold, too: GET lists the held hosts, whose leases expired, POST confirms their removal."""
        held = self.leases.held
        if request.path != ["hold"]:
            super().handle_operator(connection, request)
        elif request.method == "GET":
            connection.respond(to_json({"held": len(held), "hosts": sorted(held)}))
        elif request.method == "POST":
            raw = parse_json(request.body)
            check_fields(raw, ("held",))
            if parse_integer(raw["held"], "held") != len(held) or not held:
                raise HTTPError(409, f"the number of held hosts is {len(held)}: check again", held=len(held))
            log.warning("hold_confirmed", hosts=len(held))
            self._enqueue_removals(self.leases.confirm_held())
            connection.respond(to_json({"taken_off": len(held)}))
        else:
            raise HTTPError(405, "allowed here: GET, POST", {"Allow": "GET, POST"})

    def figures(self) -> dict[str, Any]:
        """Add the lease and write queue gauges."""
        leases = {"kept": len(self.leases.renewals), "held": len(self.leases.held)}
        return super().figures() | {"leases": leases, "writes_waiting": len(self.write_queue)}
