"""Those that copy a list: a follower with a store, and the agent on a gateway's machine."""

from __future__ import annotations

import asyncio
import sqlite3
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from ops import logs

from . import keep
from .entries import DELETED, Entry, Invalid, News, Record
from .follow import Address, Follow
from .service import Service, Stored
from .store import FOLLOWER, Damaged, Store, may_pass

log = logs.get(__name__)

SAVE_EVERY = 1.0  # seconds between two writings of an agent's file


class Follower(Stored):
    """Holds in its own store what another service tells."""

    role = FOLLOWER

    def __init__(self, store: Store, connections: int, services: list[Address], demote: bool = False) -> None:
        super().__init__(store, connections)
        self.follow = Follow(services, self.ledger, self.took)
        self.demote = demote

    async def begin(self) -> None:
        """What it held at its end is told until somebody knows better."""
        role = self.store.load(self.ledger)
        if role != FOLLOWER and not self.demote:
            raise Damaged(f"{self.store.path} is a primary's: leave --follow out, or add --demote")
        if role != FOLLOWER and self.ledger.seq:
            await self.commit(*self.place(), [], {}, self.ledger.kept, FOLLOWER)
        if self.ledger.seq:
            self.follow.held_since(self.store.path)
        self.start(self.follow.run())

    async def took(self, news: News) -> None:
        """News that is newer: to disk, then to readers."""
        index, place = self.ledger.seq, (news.life, news.seq)
        steps = self.ledger.steps(news)
        if news.seq <= index:  # another life, and its clock was behind
            records = [Record(entry, news.seq, 0) for entry in news.entries]
            held = {record.entry.host: record for record in records}
            await self.store_news(*place, [(news.seq, ())], held, anew=True)
            self.ledger.reset(news.life, news.seq, records)
        else:
            changed = changes(steps, news.seq)
            await self.store_news(*place, [(news.seq, steps)], changed)
            self.ledger.life = news.life
            self.ledger.apply(news.seq, steps, changed)
        self.reading.wake(index)

    async def store_news(
        self,
        life: int,
        seq: int,
        steps: list[tuple[int, tuple[Entry, ...]]],
        records: dict[str, Record | None],
        anew: bool = False,
    ) -> None:
        """What can't be stored is not told: the same news is asked for again, later."""
        try:
            await self.commit(life, seq, steps, records, self.ledger.kept, FOLLOWER, anew)
            self.full = False
        except sqlite3.Error as wrong:
            if not may_pass(wrong):
                raise
            self.full = True
            raise Invalid(f"its news could not be stored: {wrong}") from None


def changes(entries: tuple[Entry, ...], seq: int) -> dict[str, Record | None]:
    """What the hosts named are after these entries, as far as a reader is told it."""
    return {e.host: None if e.health == DELETED else Record(e, seq, 0) for e in entries}


class Agent(Service):
    """On a gateway's machine: answers from memory, whoever of the services is there."""

    role = "agent"

    def __init__(self, connections: int, services: list[Address], kept: Path | None) -> None:
        super().__init__(connections)
        self.follow = Follow(services, self.ledger, self.took)
        self.kept = kept
        self.to_save = asyncio.Event()
        self.disk = ThreadPoolExecutor(1)

    async def begin(self) -> None:
        """The last list, where one is kept and whole."""
        if self.kept:
            try:
                keep.load(self.kept, self.ledger)
                self.follow.held_since(self.kept)
            except FileNotFoundError:
                log.info("kept_list_missing", file=self.kept)
            except (OSError, ValueError) as wrong:
                log.warning("kept_list_unusable", file=self.kept, error=wrong)
            self.start(self._save())
        self.start(self.follow.run())

    async def took(self, news: News) -> None:
        """News that is newer."""
        index = self.ledger.seq
        steps = self.ledger.steps(news)
        if news.seq <= index:
            records = [Record(entry, news.seq, 0) for entry in news.entries]
            self.ledger.reset(news.life, news.seq, records)
        else:
            self.ledger.life = news.life
            self.ledger.apply(news.seq, steps, changes(steps, news.seq))
        self.reading.wake(index)
        self.to_save.set()

    def _write(self, life: int, body: bytes) -> None:
        try:
            keep.save(self.kept, life, body)
        except OSError as wrong:
            self.counts["not_kept"] += 1
            log.warning("kept_list_not_written", file=self.kept, error=wrong)

    async def _save(self) -> None:
        while True:
            await self.to_save.wait()
            self.to_save.clear()
            await asyncio.get_running_loop().run_in_executor(
                self.disk, self._write, self.ledger.life, self.ledger.body(None)
            )
            await asyncio.sleep(SAVE_EVERY)

    async def ended(self) -> None:
        """The last list is kept."""
        if self.kept and self.to_save.is_set():
            self._write(self.ledger.life, self.ledger.body(None))
        self.disk.shutdown()
