"""The on-disk store: SQLite, verified on load, used by one process at a time."""

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
    """The store can't be used; the message is one line with the cause and the remedy."""


def is_transient(error: sqlite3.Error) -> bool:
    """Return whether a failed write left the store unchanged, so that a later one may succeed.

    After any other error the state on disk is uncertain.
    """
    return getattr(error, "sqlite_errorcode", None) in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_BUSY)


def checksum(key: Any, value: str) -> str:
    """Return a row's checksum: SQLite's integrity check covers the file structure, not the values."""
    return hashlib.blake2b(f"{key}\n{value}".encode(), digest_size=8).hexdigest()


def sync_directory(path: Path) -> None:
    """Flush the directory of ``path``: a created or renamed file is durable only after that."""
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Store:
    """The host list on disk. Its methods block; the service calls them from a single worker thread."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.lock = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise StoreError(f"{path} is in use by another process: stop that process first") from None
        self.db: sqlite3.Connection | None = None

    def _connect(self, path: Path) -> sqlite3.Connection:
        db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=5.0)
        db.execute("PRAGMA journal_mode=DELETE")
        db.execute("PRAGMA synchronous=EXTRA")
        return db

    def create(self, role: str, life: int) -> None:
        """Create an empty store atomically: it is renamed into place once complete."""
        if self.path.exists():
            raise StoreError(f"{self.path} already exists: start without --new, or move it away")
        new = Path(f"{self.path}.new")
        for old in (new, Path(f"{new}-journal"), Path(f"{self.path}-journal")):
            old.unlink(missing_ok=True)  # left by an interrupted start, or by a store that was lost
        db = self._connect(new)
        db.executescript(SCHEMA)
        about = {"format": FORMAT, "role": role, "life": life, "seq": 0}
        rows = [(key, str(value), checksum(key, str(value))) for key, value in about.items()]
        db.executemany("INSERT INTO about VALUES (?, ?, ?)", rows)
        db.close()
        os.rename(new, self.path)
        sync_directory(self.path)

    def load(self, ledger: Ledger) -> str:
        """Verify the store, load it into the ledger and return its role; raises StoreError."""
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
            raise Invalid("invalid metadata in table about")
        if about["format"] != str(FORMAT):
            raise Invalid(f"unsupported format {about['format']}")
        life, seq = int(about["life"]), int(about["seq"])
        records = [self._parse_record(host, value) for host, value in self._rows("hosts")]
        log = [(key, self._parse_changes(value)) for key, value in self._rows("log")]
        if (log[-1][0] if log else 0) != seq or any(record.version > seq for record in records):
            raise Invalid("inconsistent sequence numbers")
        ledger.load(life, records, log)
        return about["role"]

    def _rows(self, table: str) -> Iterable[tuple[Any, str]]:
        for key, value, stored_sum in self.db.execute(f"SELECT key, value, sum FROM {table} ORDER BY key"):
            if stored_sum != checksum(key, value):
                raise Invalid(f"checksum mismatch in a row of table {table}")
            yield key, value

    @staticmethod
    def _parse_record(host: str, value: str) -> Record:
        raw = parse_json(value.encode())
        check_fields(raw, ("entry", "version", "lease"))
        record = Record(
            parse_entry(raw["entry"]),
            parse_integer(raw["version"], "version"),
            parse_integer(raw["lease"], "lease"),
        )
        if record.entry.host != host:
            raise Invalid("a row's key differs from the host stored in it")
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
        max_changes: int,
        role: str | None = None,
        replace_all: bool = False,
    ) -> None:
        """Write one transaction, durable on return; on sqlite3.Error it has been rolled back.

        replace_all: delete the previous hosts and changes first, since this is another list.
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
            last = db.execute(
                "SELECT key FROM log ORDER BY key DESC LIMIT 1 OFFSET ?", (max_changes,)
            ).fetchone()
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
        """Close the database and release the lock."""
        if self.db:
            self.db.close()
        os.close(self.lock)


def backup(path: Path, to: Path) -> None:
    """Copy a store, which may be in use, verify the copy and rename it into place."""
    if not path.exists():
        raise StoreError(f"{path} does not exist")
    if to.exists():
        raise StoreError(f"{to} already exists")
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
