"""The snapshot of an agent's list, which it serves after a start until a registry service answers."""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

from .entries import Invalid, Record, parse_integer, parse_update
from .ledger import Ledger
from .store import sync_directory


def save(path: Path, life: int, body: bytes) -> None:
    """Replace the snapshot file atomically with the full list."""
    digest = hashlib.blake2b(b"%d\n%b" % (life, body), digest_size=16).hexdigest()
    new = Path(f"{path}.new")
    with new.open("wb") as file:
        file.write(f"{digest} {life}\n".encode() + body)
        file.flush()
        os.fsync(file.fileno())
    os.replace(new, path)
    sync_directory(path)


def load(path: Path, ledger: Ledger) -> None:
    """Load a snapshot file; raises Invalid or OSError and then leaves the ledger unchanged."""
    head, _, body = path.read_bytes().partition(b"\n")
    expected, _, life = head.partition(b" ")
    if (
        not life.isdigit()
        or hashlib.blake2b(life + b"\n" + body, digest_size=16).hexdigest() != expected.decode()
    ):
        raise Invalid("checksum mismatch")
    update = parse_update(body, parse_integer(int(life), "life"))
    ledger.reset(update.life, update.seq, [Record(entry, update.seq, 0) for entry in update.entries])
