"""Byte layout of the messages between gateways: no decision, only packing.

A message is a head and rows. Numbers are LEB128 variable-length integers unless a size is given.

    head  u8 format, u8 flags (1: answer this, 2: spread this), u32 send time in ms (its low bits)
    row   customer, plan, first gateway of its set, size of the set, how many of the set the receiver hands
          it on to, room, all units known to be spent, rights of its ceiling wanted (flag 2) or given, all in
          1/16 units, number of counts, counts
    count place in the set (0: its first gateway), age of its start in 1/16 s, value in 1/16 units
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FORMAT = 2
MESSAGE_BYTES_MAX = 256  # bytes: what the transport carries
HEADER_BYTES = 6  # bytes of a head
SCALE = 16  # parts of a unit and of a second that travel
TICK_MS = 1000 // SCALE  # ms in one step of a start
SEND_TIME_PERIOD = 1 << 32  # ms after which send times repeat
VARINT_BYTES_MAX = 9  # bytes: 63 bits


@dataclass(frozen=True, slots=True)
class Row:
    """What a message tells of one customer; counts are (rank, start in ticks, value)."""

    customer: int
    plan: int
    set_first: int
    set_size: int
    forward_count: int
    remaining: float
    total: float
    ceiling_tokens: float
    counts: tuple[tuple[int, int, float], ...]


@dataclass(frozen=True, slots=True)
class Message:
    """A decoded message; sent in ms."""

    sent_ms: int
    expects_answer: bool
    to_owner: bool
    rows: tuple[Row, ...]


def append_varints(out: bytearray, *values: int) -> None:
    """Append numbers of 0 or more."""
    for value in values:
        while value > 0x7F:
            out.append(value & 0x7F | 0x80)
            value >>= 7
        out.append(value)


def read_varint(body: bytes, at: int) -> tuple[int, int]:
    """A number and the place behind it; raises ValueError or IndexError."""
    byte = body[at]
    if byte < 0x80:
        return byte, at + 1
    value = 0
    for i in range(VARINT_BYTES_MAX):
        byte = body[at + i]
        value |= (byte & 0x7F) << (7 * i)
        if byte < 0x80:
            return value, at + i + 1
    raise ValueError("number too long")


def pack_row(row: Row, sent_ms: int, ranks: int) -> bytes:
    """One row as bytes; starts are told as ages at the send time."""
    out, first, ticks = bytearray(), row.set_first, sent_ms // TICK_MS
    append_varints(out, row.customer, row.plan, first, row.set_size, row.forward_count)
    append_varints(
        out,
        int(row.remaining * SCALE),
        int(row.total * SCALE),
        int(row.ceiling_tokens * SCALE),
        len(row.counts),
    )
    for rank, start, value in row.counts:
        append_varints(out, (rank - first) % ranks, max(0, ticks - start), int(value * SCALE))
    return bytes(out)


def fit_rows(rows: Iterable[bytes]) -> list[bytes]:
    """As many of the rows, from the first on, as one message holds."""
    taken: list[bytes] = []
    space = MESSAGE_BYTES_MAX - HEADER_BYTES
    for row in rows:
        space -= len(row)
        if space < 0:
            break
        taken.append(row)
    return taken


def pack(sent_ms: int, expects_answer: bool, to_owner: bool, rows: list[bytes]) -> bytes:
    """A whole message."""
    return (
        bytes((FORMAT, expects_answer + 2 * to_owner))
        + (sent_ms % SEND_TIME_PERIOD).to_bytes(4, "little")
        + b"".join(rows)
    )


def unpack(body: bytes, now: int, ranks: int, plans: int) -> Message | None:
    """The message, or None where the bytes are none or name what does not exist.

    Of the send times that the low bits may mean, the one nearest to now (in ms) is taken.
    """
    try:
        if body[0] != FORMAT or body[1] > 3 or not HEADER_BYTES <= len(body) <= MESSAGE_BYTES_MAX:
            return None
        sent_ms = int.from_bytes(body[2:HEADER_BYTES], "little")
        sent_ms += (now - sent_ms + SEND_TIME_PERIOD // 2) // SEND_TIME_PERIOD * SEND_TIME_PERIOD
        ticks, rows, at = sent_ms // TICK_MS, [], HEADER_BYTES
        while at < len(body):
            head = []
            for _ in range(9):
                value, at = read_varint(body, at)
                head.append(value)
            customer, plan, first, size, forward_count, remaining, total, ceiling_tokens, number = head
            if (
                plan >= plans
                or first >= ranks
                or not 1 <= size <= ranks
                or forward_count >= size
                or number > size
            ):
                return None
            counts = []
            for _ in range(number):
                place, at = read_varint(body, at)
                age, at = read_varint(body, at)
                value, at = read_varint(body, at)
                if place >= size:
                    return None
                counts.append(((first + place) % ranks, ticks - age, value / SCALE))
            amounts = remaining / SCALE, total / SCALE, ceiling_tokens / SCALE
            rows.append(Row(customer, plan, first, size, forward_count, *amounts, tuple(counts)))
        return Message(sent_ms, body[1] & 1 == 1, body[1] & 2 == 2, tuple(rows))
    except (IndexError, ValueError):
        return None
