"""The store: SQLite on disk, verified at the start, one process at a time."""

from __future__ import annotations

import fcntl
import hashlib
import os
import sqlite3
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from .entries import Entry, Invalid, Record, check_fields, parse_entry, parse_integer, parse_json
from .ledger import Ledger

FORMAT = 1
PRIMARY, FOLLOWER = "primary", "follower"
SCHEMA = """
CREATE TABLE about (key TEXT PRIMARY KEY, value TEXT NOT NULL, sum TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE hosts (key TEXT PRIMARY KEY, value TEXT NOT NULL, sum TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE log (key INTEGER PRIMARY KEY, value TEXT NOT NULL, sum TEXT NOT NULL);
"""


class StoreError(Exception):
    """The store can't be used; the text says why and what to do, in one line."""


def is_transient(error: sqlite3.Error) -> bool:
    """Whether the store is as it was and a later write may succeed; else what is on disk is in doubt."""
    return getattr(error, "sqlite_errorcode", None) in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_BUSY)


def checksum(key: Any, value: str) -> str:
    """Tells a row that was altered: SQLite's own check looks at the structure, not into values."""
    return hashlib.blake2b(f"{key}\n{value}".encode(), digest_size=8).hexdigest()


def sync_directory(path: Path) -> None:
    """A new name in a folder is on disk once the folder is."""
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Store:
    """The list on disk. Its calls block: the service makes them in a thread, one after another."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.lock = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise StoreError(f"{path} is in use by another process: end that one first") from None
        self.db: sqlite3.Connection | None = None

    def _connect(self, path: Path) -> sqlite3.Connection:
        db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=5.0)
        db.execute("PRAGMA journal_mode=DELETE")
        db.execute("PRAGMA synchronous=EXTRA")
        return db

    def create(self, role: str, life: int) -> None:
        """A new store, whole under its name or not there at all."""
        if self.path.exists():
            raise StoreError(f"{self.path} is there already: start without --new, or move it away")
        new = Path(f"{self.path}.new")
        for old in (new, Path(f"{new}-journal"), Path(f"{self.path}-journal")):
            old.unlink(missing_ok=True)  # what a start that was cut short left, or belongs to a lost store
        db = self._connect(new)
        db.executescript(SCHEMA)
        about = {"format": FORMAT, "role": role, "life": life, "seq": 0}
        rows = [(key, str(value), checksum(key, str(value))) for key, value in about.items()]
        db.executemany("INSERT INTO about VALUES (?, ?, ?)", rows)
        db.close()
        os.rename(new, self.path)
        sync_directory(self.path)

    def load(self, ledger: Ledger) -> str:
        """Verify the store and read all of it; the role that it was kept in. Raises Damaged."""
        if not self.path.exists():
            raise StoreError(
                f"{self.path} does not exist: restore it from a backup, or start with --new for an empty list"
            )
        try:
            return self._load(ledger)
        except (sqlite3.Error, Invalid, KeyError, ValueError, TypeError) as error:
            raise StoreError(
                f"{self.path} is damaged ({error}): keep it aside and restore a backup, promote a follower, "
                "or start with --new for an empty list"
            ) from None

    def _load(self, ledger: Ledger) -> str:
        self.db = db = self._connect(self.path)
        if (found := db.execute("PRAGMA integrity_check(1)").fetchone()[0]) != "ok":
            raise Invalid(" ".join(found.split()))
        about = dict(self._rows("about"))
        if about.keys() != {"format", "role", "life", "seq"} or about["role"] not in (PRIMARY, FOLLOWER):
            raise Invalid("its description makes no sense")
        if about["format"] != str(FORMAT):
            raise Invalid(f"format {about['format']} is not known here")
        life, seq = int(about["life"]), int(about["seq"])
        records = [self._record(host, value) for host, value in self._rows("hosts")]
        log = [(key, self._parse_changes(value)) for key, value in self._rows("log")]
        if (log[-1][0] if log else 0) != seq or any(record.version > seq for record in records):
            raise Invalid("its numbers do not fit together")
        ledger.load(life, records, log)
        return about["role"]

    def _rows(self, table: str) -> Iterable[tuple[Any, str]]:
        for key, value, stored_sum in self.db.execute(f"SELECT key, value, sum FROM {table} ORDER BY key"):
            if stored_sum != checksum(key, value):
                raise Invalid(f"a row of {table} was altered")
            yield key, value

    @staticmethod
    def _record(host: str, value: str) -> Record:
        raw = parse_json(value.encode())
        check_fields(raw, ("entry", "version", "lease"))
        record = Record(
            parse_entry(raw["entry"]),
            parse_integer(raw["version"], "version"),
            parse_integer(raw["lease"], "lease"),
        )
        if record.entry.host != host:
            raise Invalid("a host is under another one's name")
        return record

    @staticmethod
    def _parse_changes(value: str) -> tuple[Entry, ...]:
        return tuple(parse_entry(raw) for raw in parse_json(value.encode())["told"])

    def write(
        self,
        life: int,
        seq: int,
        changes: Iterable[tuple[int, tuple[Entry, ...]]],
        records: dict[str, Record | None],
        kept: int,
        role: str | None = None,
        replace_all: bool = False,
    ) -> None:
        """One transaction, on disk once this returns; sqlite3.Error: nothing of it counts.

        anew: this is another list, and nothing from before stays.
        """
        db = self.db
        db.execute("BEGIN IMMEDIATE")
        try:
            if replace_all:
                db.execute("DELETE FROM hosts")
                db.execute("DELETE FROM log")
            for host, record in records.items():
                if record is None:
                    db.execute("DELETE FROM hosts WHERE key = ?", (host,))
                else:
                    value = (
                        f'{{"entry":{record.entry.json_text},'
                        f'"version":{record.version},"lease":{record.lease_ms}}}'
                    )
                    self._put("hosts", host, value)
            for number, entries in changes:
                self._put("log", number, f'{{"told":[{",".join(entry.json_text for entry in entries)}]}}')
            last = db.execute("SELECT key FROM log ORDER BY key DESC LIMIT 1 OFFSET ?", (kept,)).fetchone()
            if last:
                db.execute("DELETE FROM log WHERE key <= ?", last)
            self._put("about", "seq", str(seq))
            self._put("about", "life", str(life))
            if role:
                self._put("about", "role", role)
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise

    def _put(self, table: str, key: Any, value: str) -> None:
        row = (key, value, checksum(key, value))
        self.db.execute(f"INSERT OR REPLACE INTO {table} VALUES (?, ?, ?)", row)

    def close(self) -> None:
        """Let another process have it."""
        if self.db:
            self.db.close()
        os.close(self.lock)


def backup(path: Path, to: Path) -> None:
    """A copy of a store that may be in use, whole under its name or not there at all; it is verified."""
    if not path.exists():
        raise StoreError(f"{path} does not exist")
    if to.exists():
        raise StoreError(f"{to} is there already")
    new = Path(f"{to}.new")
    new.unlink(missing_ok=True)
    source = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=5.0)
    target = sqlite3.connect(new)
    try:
        source.backup(target)
    except sqlite3.Error as error:
        raise StoreError(f"{path} can't be copied: {error}") from None
    finally:
        source.close()
        target.close()
    copy = Store(new)
    try:
        copy.load(Ledger())
    finally:
        copy.close()
        Path(f"{new}.lock").unlink()
    os.rename(new, to)
    sync_directory(to)
