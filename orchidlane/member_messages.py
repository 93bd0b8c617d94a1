"""Byte layout of the membership kind of message between gateways: no decision, only packing.

A message is a tag, a head and rows. It shares the datagrams' 256 bytes with ``messages.py`` and is told from
its kind by the first byte; a gateway that does not know it drops it. The tag (BLAKE2s, 8 bytes, keyed by the
cluster's name) fails for what is garbled or of another cluster; sender, receiver, life and number in the head
let the reader drop what is forged by rank, misdirected or replayed.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from .messages import SIZE_MOST, put, read_varint

FORMAT, VERSION = 3, 1
TAG = 8  # bytes
HEAD = struct.Struct("<BHH7sIIIIBHII")
HEADER_OFFSET = 2 + TAG  # bytes before the head
ROOM = SIZE_MOST - HEADER_OFFSET - HEAD.size  # bytes for rows
LIFE_BYTES = 7
AGE_UNIT = 10_000  # microseconds
COUNT_MOST = 0xFFFF_FFFF  # of incarnations and message numbers
DOUBTFUL = 1  # flag: the sender stood still and has not heard anything fresh since


class MessageKind(IntEnum):
    """What a message asks or answers."""

    PING = 1  # answer this; ``about`` is the member that wants to know, often the sender
    ACK = 2  # the answer; ``report`` tells what of ``about`` was heard directly
    ASK = 3  # ping ``about`` for me
    RELAYED = 4  # ``about`` answered the ping that was asked for
    NACK = 5  # it did not, but I am here
    NEWS = 6  # rows alone


class RowKind(IntEnum):
    """What a row says."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4
    LAST_SEEN = 5  # ``by`` has heard it so long ago: it was there then
    LINK_DOWN = 6  # nothing that ``rank`` sends reaches ``by``
    LINK_UP = 7


AGED = (RowKind.SUSPECT, RowKind.DEAD, RowKind.LAST_SEEN)


@dataclass(frozen=True, slots=True)
class Row:
    """News of a member: its life and incarnation that it is about, the age in microseconds of what it rests
    on, and who saw it. For links: ``by`` is the other end, ``incarnation`` the number of the report."""

    kind: RowKind
    rank: int
    life: int
    incarnation: int
    age: int = 0
    by: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram. ``heard`` is the highest number of the receiver's that the sender heard directly;
    ``digest`` of the sender's view; ``probe`` a ping's number; ``report`` see ``Kind``."""

    kind: MessageKind
    sender: int
    receiver: int
    life: int
    incarnation: int
    number: int
    heard: int
    digest: int
    about: int = 0
    probe: int = 0
    report: int = 0
    doubtful: bool = False
    rows: tuple[Row, ...] = ()


class InvalidMessage(Exception):
    """Bytes that are no message of this cluster; the text is the name that they are counted by."""


def tag_key(cluster: str) -> bytes:
    """The tag's key of a cluster's name."""
    return hashlib.blake2s(cluster.encode()).digest()


def pack_row(row: Row) -> bytes:
    """One row as bytes."""
    out = bytearray((row.kind,))
    put(out, row.rank)
    out += row.life.to_bytes(LIFE_BYTES, "little")
    put(out, row.incarnation)
    if row.kind in AGED:
        put(out, min(-(-row.age // AGE_UNIT), 0x1FFFFF))  # never younger by rounding
    if row.kind not in (RowKind.ALIVE, RowKind.LEFT):
        put(out, row.by)
    return bytes(out)


def fit(rows: Iterable[Row]) -> tuple[Row, ...]:
    """As many of the rows, from the first on, as one message holds."""
    taken, room = [], ROOM
    for row in rows:
        room -= len(pack_row(row))
        if room < 0:
            break
        taken.append(row)
    return tuple(taken)


def _tag(key: bytes, version: int, body: bytes) -> bytes:
    return hashlib.blake2s(bytes((FORMAT, version)) + body, key=key, digest_size=TAG).digest()


def seal(key: bytes, body: bytes, version: int = VERSION) -> bytes:
    """A body of a version of this kind as a datagram."""
    return bytes((FORMAT, version)) + _tag(key, version, body) + body


def unseal(data: bytes, key: bytes, version: int = VERSION) -> bytes:
    """A datagram's body; raises Odd: ``malformed``, ``version``, or ``foreign`` where its tag fails."""
    if not HEADER_OFFSET < len(data) <= SIZE_MOST or data[0] != FORMAT:
        raise InvalidMessage("malformed")
    if data[1] != version:
        raise InvalidMessage("version")
    body = data[HEADER_OFFSET:]
    if _tag(key, version, body) != data[2:HEADER_OFFSET]:
        raise InvalidMessage("foreign")
    return body


def pack(message: Message, key: bytes) -> bytes:
    """A whole message; its rows have to fit."""
    m = message
    body = HEAD.pack(
        m.kind,
        m.sender,
        m.receiver,
        m.life.to_bytes(LIFE_BYTES, "little"),
        m.incarnation,
        m.number,
        m.heard,
        m.digest,
        DOUBTFUL * m.doubtful,
        m.about,
        m.probe,
        m.report,
    ) + b"".join(map(pack_row, m.rows))
    return seal(key, body)


def unpack(data: bytes, key: bytes, ranks: int) -> Message:
    """The message; raises Odd: ``version``, ``foreign`` (garbled, or of another cluster) or ``malformed``."""
    if len(data) < HEADER_OFFSET + HEAD.size:
        raise InvalidMessage("malformed")
    body = unseal(data, key)
    try:
        kind, sender, receiver, life, *rest = HEAD.unpack_from(body)
        incarnation, number, heard, digest, flags, about, probe, report = rest
        if max(sender, receiver, about) >= ranks:
            raise ValueError
        rows = tuple(_rows(body, HEAD.size, ranks))
        return Message(
            MessageKind(kind),
            sender,
            receiver,
            int.from_bytes(life, "little"),
            incarnation,
            number,
            heard,
            digest,
            about,
            probe,
            report,
            flags & DOUBTFUL == DOUBTFUL,
            rows,
        )
    except (ValueError, IndexError):
        raise InvalidMessage("malformed") from None


def _rows(body: bytes, at: int, ranks: int) -> Iterable[Row]:
    while at < len(body):
        word = RowKind(body[at])
        rank, at = read_varint(body, at + 1)
        if at + LIFE_BYTES > len(body):
            raise ValueError("cut off")
        life, at = int.from_bytes(body[at : at + LIFE_BYTES], "little"), at + LIFE_BYTES
        incarnation, at = read_varint(body, at)
        age = by = 0
        if word in AGED:
            age, at = read_varint(body, at)
        if word not in (RowKind.ALIVE, RowKind.LEFT):
            by, at = read_varint(body, at)
        if max(rank, by) >= ranks or incarnation > COUNT_MOST:
            raise ValueError("out of range")
        yield Row(word, rank, life, incarnation, age * AGE_UNIT, by)
