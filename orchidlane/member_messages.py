"""Encoding and decoding of membership datagrams between gateways.

A message consists of an authentication tag, a header and rows. It has the same limit of 256 bytes as the
messages of ``messages.py`` and is distinguished from them by its first byte; gateways that do not know the
format drop it. Verification of the tag (BLAKE2s, 8 bytes, keyed by the cluster's name) fails for corrupted
messages and for those of another cluster. Sender, receiver, life and sequence number in the header let the
receiver drop messages with a forged rank, misdirected ones and replays.

A *life* identifies one process that runs under a rank: a process started later has a greater one. Within a
life, the *incarnation* is raised by the member itself to refute suspicions.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from .messages import MESSAGE_BYTES_MAX, append_varints, read_varint

FORMAT, VERSION = 3, 1
TAG_BYTES = 8
HEADER = struct.Struct("<BHH7sIIIIBHII")
HEADER_OFFSET = 2 + TAG_BYTES  # format, version, tag
ROWS_BYTES_MAX = MESSAGE_BYTES_MAX - HEADER_OFFSET - HEADER.size
LIFE_BYTES = 7
AGE_UNIT = 10_000  # microseconds
COUNTER_MAX = 0xFFFF_FFFF  # incarnations and sequence numbers
FLAG_DOUBTFUL = 1  # the sender was paused and has not yet received fresh messages from enough members


class MessageKind(IntEnum):
    """Purpose of a message."""

    PING = 1  # probe; ``subject`` is the member it is sent for: the sender, or one that asked for help
    ACK = 2  # answer to PING, with its ``subject``; see ``subject_received``
    PING_REQUEST = 3  # ask the receiver to ping ``subject`` for the sender
    INDIRECT_ACK = 4  # ``subject`` answered the requested ping
    NACK = 5  # ``subject`` did not answer it, but the relay is reachable
    GOSSIP = 6  # carries rows only


class RowKind(IntEnum):
    """What a row states of its member."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4
    LAST_SEEN = 5  # ``observer`` received a message from it ``age`` ago
    LINK_DOWN = 6  # nothing that ``rank`` sends reaches ``observer``
    LINK_UP = 7


KINDS_WITH_AGE = (RowKind.SUSPECT, RowKind.DEAD, RowKind.LAST_SEEN)


@dataclass(frozen=True, slots=True)
class Row:
    """One update about a member, valid for a life and incarnation of it.

    ``age``: microseconds since the evidence for it was observed; ``observer``: the member that observed it.
    For links: ``observer`` is the receiving end, ``incarnation`` the number of the sending end's report.
    """

    kind: RowKind
    rank: int
    life: int
    incarnation: int
    age: int = 0
    observer: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram.

    ``acknowledged``: highest sequence number that the sender received directly from the receiver;
    ``digest``: hash of the sender's table of members and links; ``probe``: number of the ping;
    ``subject_received``, in ACK and INDIRECT_ACK: highest sequence number that the answering member received
    directly from ``subject``.
    """

    kind: MessageKind
    sender: int
    receiver: int
    life: int
    incarnation: int
    sequence: int
    acknowledged: int
    digest: int
    subject: int = 0
    probe: int = 0
    subject_received: int = 0
    doubtful: bool = False
    rows: tuple[Row, ...] = ()


class InvalidMessage(Exception):
    """The bytes are not a valid message of this cluster; the text is the reason by which they are counted."""


def tag_key(cluster: str) -> bytes:
    """Derive the key of the authentication tag from the cluster's name."""
    return hashlib.blake2s(cluster.encode()).digest()


def pack_row(row: Row) -> bytes:
    """Encode one row."""
    encoded = bytearray((row.kind,))
    append_varints(encoded, row.rank)
    encoded += row.life.to_bytes(LIFE_BYTES, "little")
    append_varints(encoded, row.incarnation)
    if row.kind in KINDS_WITH_AGE:
        # Rounded up, so that evidence never appears more recent than it is.
        append_varints(encoded, min(-(-row.age // AGE_UNIT), 0x1FFFFF))
    if row.kind not in (RowKind.ALIVE, RowKind.LEFT):
        append_varints(encoded, row.observer)
    return bytes(encoded)


def fit_rows(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Return the leading rows that fit into one message."""
    fitting, remaining = [], ROWS_BYTES_MAX
    for row in rows:
        remaining -= len(pack_row(row))
        if remaining < 0:
            break
        fitting.append(row)
    return tuple(fitting)


def _tag(key: bytes, version: int, body: bytes) -> bytes:
    return hashlib.blake2s(bytes((FORMAT, version)) + body, key=key, digest_size=TAG_BYTES).digest()


def seal(key: bytes, body: bytes, version: int = VERSION) -> bytes:
    """Wrap a message body in format, version and tag."""
    return bytes((FORMAT, version)) + _tag(key, version, body) + body


def unseal(data: bytes, key: bytes, version: int = VERSION) -> bytes:
    """Return the body of a datagram.

    Raises InvalidMessage: ``malformed``, ``version``, or ``foreign`` if the tag is wrong.
    """
    if not HEADER_OFFSET < len(data) <= MESSAGE_BYTES_MAX or data[0] != FORMAT:
        raise InvalidMessage("malformed")
    if data[1] != version:
        raise InvalidMessage("version")
    body = data[HEADER_OFFSET:]
    if _tag(key, version, body) != data[2:HEADER_OFFSET]:
        raise InvalidMessage("foreign")
    return body


def pack(message: Message, key: bytes) -> bytes:
    """Encode a message, whose rows must fit (see ``fit_rows``)."""
    m = message
    body = HEADER.pack(
        m.kind,
        m.sender,
        m.receiver,
        m.life.to_bytes(LIFE_BYTES, "little"),
        m.incarnation,
        m.sequence,
        m.acknowledged,
        m.digest,
        FLAG_DOUBTFUL * m.doubtful,
        m.subject,
        m.probe,
        m.subject_received,
    ) + b"".join(map(pack_row, m.rows))
    return seal(key, body)


def unpack(data: bytes, key: bytes, ranks: int) -> Message:
    """Decode a message, in a fleet of ``ranks`` gateways.

    Raises InvalidMessage: ``version``, ``foreign`` (corrupted, or of another cluster) or ``malformed``.
    """
    if len(data) < HEADER_OFFSET + HEADER.size:
        raise InvalidMessage("malformed")
    body = unseal(data, key)
    try:
        kind, sender, receiver, life, *rest = HEADER.unpack_from(body)
        incarnation, sequence, acknowledged, digest, flags, subject, probe, subject_received = rest
        if max(sender, receiver, subject) >= ranks:
            raise ValueError
        rows = tuple(_rows(body, HEADER.size, ranks))
        return Message(
            MessageKind(kind),
            sender,
            receiver,
            int.from_bytes(life, "little"),
            incarnation,
            sequence,
            acknowledged,
            digest,
            subject,
            probe,
            subject_received,
            flags & FLAG_DOUBTFUL == FLAG_DOUBTFUL,
            rows,
        )
    except (ValueError, IndexError):
        raise InvalidMessage("malformed") from None


def _rows(body: bytes, offset: int, ranks: int) -> Iterable[Row]:
    while offset < len(body):
        kind = RowKind(body[offset])
        rank, offset = read_varint(body, offset + 1)
        if offset + LIFE_BYTES > len(body):
            raise ValueError("row truncated")
        life, offset = int.from_bytes(body[offset : offset + LIFE_BYTES], "little"), offset + LIFE_BYTES
        incarnation, offset = read_varint(body, offset)
        age = observer = 0
        if kind in KINDS_WITH_AGE:
            age, offset = read_varint(body, offset)
        if kind not in (RowKind.ALIVE, RowKind.LEFT):
            observer, offset = read_varint(body, offset)
        if max(rank, observer) >= ranks or incarnation > COUNTER_MAX:
            raise ValueError("rank or incarnation out of range")
        yield Row(kind, rank, life, incarnation, age * AGE_UNIT, observer)
