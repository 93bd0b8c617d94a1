"""An agent's last list in a file: a start without any service goes on from there."""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

from .entries import Invalid, Record, parse_integer, parse_update
from .ledger import Ledger
from .store import sync_directory


def save(path: Path, life: int, body: bytes) -> None:
    """The whole list in the place of the one before, or no change at all."""
    head = hashlib.blake2b(b"%d\n%b" % (life, body), digest_size=16).hexdigest()
    new = Path(f"{path}.new")
    with new.open("wb") as file:
        file.write(f"{head} {life}\n".encode() + body)
        file.flush()
        os.fsync(file.fileno())
    os.replace(new, path)
    sync_directory(path)


def load(path: Path, ledger: Ledger) -> None:
    """Take a kept list; raises Invalid or OSError, and the ledger stays as it was."""
    head, _, body = path.read_bytes().partition(b"\n")
    told, _, life = head.partition(b" ")
    if (
        not life.isdigit()
        or hashlib.blake2b(life + b"\n" + body, digest_size=16).hexdigest() != told.decode()
    ):
        raise Invalid("its checksum is wrong")
    news = parse_update(body, parse_integer(int(life), "life"))
    ledger.reset(news.life, news.seq, [Record(entry, news.seq, 0) for entry in news.entries])
