"""Replicas of the list: the follower, which has a store, and the agent on a gateway's machine."""

from __future__ import annotations

import asyncio
import sqlite3
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from ops import logs

from . import snapshot
from .entries import DELETED, Entry, Invalid, ListUpdate, Record
from .service import Service, StoredService
from .store import FOLLOWER, Store, StoreError, is_transient
from .upstream import Address, UpstreamWatch

log = logs.get_logger(__name__)

SAVE_INTERVAL = 1.0  # seconds between two writes of an agent's snapshot


class Follower(StoredService):
    """Replicates another service's list into its own store."""

    role = FOLLOWER

    def __init__(self, store: Store, connections: int, services: list[Address], demote: bool = False) -> None:
        super().__init__(store, connections)
        self.upstream = UpstreamWatch(services, self.ledger, self.apply_update)
        self.demote = demote

    async def on_start(self) -> None:
        """Load the store; serve its list once it is confirmed, or while no service can be reached."""
        role = self.store.load(self.ledger)
        if role != FOLLOWER and not self.demote:
            raise StoreError(f"{self.store.path} is a primary's: leave --follow out, or add --demote")
        if role != FOLLOWER and self.ledger.seq:
            await self.commit(*self.position(), [], {}, self.ledger.max_changes, FOLLOWER)
        if self.ledger.seq:
            self.upstream.restore_age(self.store.path)
        self.spawn(self.upstream.run())
        if self.ledger.seq:
            await self.upstream.wait_for_first_round()

    async def apply_update(self, update: ListUpdate) -> None:
        """Store a newer update, then publish it to readers."""
        old_seq, position = self.ledger.seq, (update.life, update.seq)
        changes = self.ledger.as_changes(update)
        if update.seq <= old_seq:
            # Newer only by its life: numbers come from a primary's clock, and the new one's was behind. The
            # list is replaced, and its change log begins with an empty change.
            records = [Record(entry, update.seq, 0) for entry in update.entries]
            by_host = {record.entry.host: record for record in records}
            await self._store_update(*position, [(update.seq, ())], by_host, replace_all=True)
            self.ledger.reset(update.life, update.seq, records)
        else:
            changed = changed_records(changes, update.seq)
            await self._store_update(*position, [(update.seq, changes)], changed)
            self.ledger.life = update.life
            self.ledger.apply(update.seq, changes, changed)
        self.watch_endpoint.notify(old_seq)

    async def _store_update(
        self,
        life: int,
        seq: int,
        changes: list[tuple[int, tuple[Entry, ...]]],
        records: dict[str, Record | None],
        replace_all: bool = False,
    ) -> None:
        """Store an update. One that can't be stored is not published and is requested again later.

        ``life`` identifies the list by the sequence number of its creation; ``changes`` are pairs of sequence
        number and entries.
        """
        try:
            await self.commit(life, seq, changes, records, self.ledger.max_changes, FOLLOWER, replace_all)
            self.write_failed = False
        except sqlite3.Error as error:
            if not is_transient(error):
                raise
            self.write_failed = True
            # UpstreamWatch handles this like an invalid response: it waits and tries the next service.
            raise Invalid(f"update could not be stored: {error}") from None


def changed_records(entries: tuple[Entry, ...], seq: int) -> dict[str, Record | None]:
    """Return the records that result from these entries; replicas don't know the leases."""
    return {e.host: None if e.health == DELETED else Record(e, seq, 0) for e in entries}


class Agent(Service):
    """Answers the gateways of one machine from memory, also while no service can be reached."""

    role = "agent"

    def __init__(self, connections: int, services: list[Address], snapshot_file: Path | None) -> None:
        super().__init__(connections)
        self.upstream = UpstreamWatch(services, self.ledger, self.apply_update)
        self.snapshot_file = snapshot_file
        self.save_requested = asyncio.Event()
        self.disk = ThreadPoolExecutor(1)

    async def on_start(self) -> None:
        """Load the snapshot, if there is a valid one; serve it as a follower serves its stored list."""
        if self.snapshot_file:
            try:
                snapshot.load(self.snapshot_file, self.ledger)
                self.upstream.restore_age(self.snapshot_file)
            except FileNotFoundError:
                log.info("kept_list_missing", file=self.snapshot_file)
            except (OSError, ValueError) as error:
                log.warning("kept_list_unusable", file=self.snapshot_file, error=error)
            self.spawn(self._save_loop())
        self.spawn(self.upstream.run())
        if self.ledger.seq:
            await self.upstream.wait_for_first_round()

    async def apply_update(self, update: ListUpdate) -> None:
        """Apply a newer update, publish it to readers and schedule a save."""
        old_seq = self.ledger.seq
        changes = self.ledger.as_changes(update)
        if update.seq <= old_seq:  # newer only by its life, as in Follower
            records = [Record(entry, update.seq, 0) for entry in update.entries]
            self.ledger.reset(update.life, update.seq, records)
        else:
            self.ledger.life = update.life
            self.ledger.apply(update.seq, changes, changed_records(changes, update.seq))
        self.watch_endpoint.notify(old_seq)
        self.save_requested.set()

    def _save_now(self, life: int, body: bytes) -> None:
        try:
            snapshot.save(self.snapshot_file, life, body)
        except OSError as error:
            self.counts["not_kept"] += 1
            log.warning("kept_list_not_written", file=self.snapshot_file, error=error)

    async def _save_loop(self) -> None:
        while True:
            await self.save_requested.wait()
            self.save_requested.clear()
            await asyncio.get_running_loop().run_in_executor(
                self.disk, self._save_now, self.ledger.life, self.ledger.body(None)
            )
            await asyncio.sleep(SAVE_INTERVAL)

    async def on_stop(self) -> None:
        """Save the last list."""
        if self.snapshot_file and self.save_requested.is_set():
            self._save_now(self.ledger.life, self.ledger.body(None))
        self.disk.shutdown()
