"""Encoding and decoding of the messages by which gateways share their quota counts.

A message consists of a header and rows. Numbers are LEB128 variable-length integers unless a size is given.

    header  u8 format, u8 flags (1: expects an answer, 2: sent to the customers' owner, which notifies the
            other gateways), u32 send time in ms (its low bits)
    row     customer, plan, first gateway of the customer's set, size of the set, number of gateways in the
            set that the receiver must forward the update to, remaining units, total of units known to be
            spent, tokens requested (flag 2) or granted, these three in 1/16, number of counts, counts
    count   position of the gateway in the set (0: the first), age of the count's start in 1/16 s,
            value in 1/16 units
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FORMAT = 2
MESSAGE_BYTES_MAX = 256  # limit of the transport
HEADER_BYTES = 6
SCALE = 16  # units and seconds are encoded in parts of 1/16
TICK_MS = 1000 // SCALE  # resolution of the start of a count
SEND_TIME_PERIOD = 1 << 32  # ms after which the encoded send time wraps around
VARINT_BYTES_MAX = 9  # 63 bits
ROW_HEADER_FIELDS = 9  # integers of a row before its counts
FLAG_EXPECTS_ANSWER = 1
FLAG_TO_OWNER = 2
KNOWN_FLAGS = FLAG_EXPECTS_ANSWER | FLAG_TO_OWNER


@dataclass(frozen=True, slots=True)
class Row:
    """State of one customer as the sender knows it; counts are (rank, start in ticks, value).

    ``tokens``: ceiling tokens requested or granted; without a ceiling, the units of quota requested.
    """

    customer: int
    plan: int
    set_first: int  # rank of the first gateway in the customer's gateway set
    set_size: int
    forward_count: int  # gateways of the set that the receiver must forward the update to
    remaining: float
    total: float
    tokens: float
    counts: tuple[tuple[int, int, float], ...]


@dataclass(frozen=True, slots=True)
class Message:
    """A decoded message."""

    sent_ms: int
    expects_answer: bool
    to_owner: bool
    rows: tuple[Row, ...]


def append_varints(out: bytearray, *values: int) -> None:
    """Append non-negative integers as LEB128."""
    for value in values:
        while value > 0x7F:
            out.append(value & 0x7F | 0x80)
            value >>= 7
        out.append(value)


def read_varint(body: bytes, offset: int) -> tuple[int, int]:
    """Decode an integer. Return it and the offset after it; raises ValueError or IndexError."""
    byte = body[offset]
    if byte < 0x80:
        return byte, offset + 1
    value = 0
    for i in range(VARINT_BYTES_MAX):
        byte = body[offset + i]
        value |= (byte & 0x7F) << (7 * i)
        if byte < 0x80:
            return value, offset + i + 1
    raise ValueError(f"integer longer than {VARINT_BYTES_MAX} bytes")


def pack_row(row: Row, sent_ms: int, ranks: int) -> bytes:
    """Encode one row, in a fleet of ``ranks`` gateways.

    The start of a count, when its gateway began to count, is encoded as its age at the send time.
    """
    out, first, sent_ticks = bytearray(), row.set_first, sent_ms // TICK_MS
    append_varints(out, row.customer, row.plan, first, row.set_size, row.forward_count)
    append_varints(
        out,
        int(row.remaining * SCALE),
        int(row.total * SCALE),
        int(row.tokens * SCALE),
        len(row.counts),
    )
    for rank, start, value in row.counts:
        append_varints(out, (rank - first) % ranks, max(0, sent_ticks - start), int(value * SCALE))
    return bytes(out)


def fit_rows(rows: Iterable[bytes]) -> list[bytes]:
    """Return the leading rows that fit into one message."""
    fitting: list[bytes] = []
    space = MESSAGE_BYTES_MAX - HEADER_BYTES
    for row in rows:
        space -= len(row)
        if space < 0:
            break
        fitting.append(row)
    return fitting


def pack(sent_ms: int, expects_answer: bool, to_owner: bool, rows: list[bytes]) -> bytes:
    """Encode a message from encoded rows, which must fit (see ``fit_rows``)."""
    flags = FLAG_EXPECTS_ANSWER * expects_answer | FLAG_TO_OWNER * to_owner
    return bytes((FORMAT, flags)) + (sent_ms % SEND_TIME_PERIOD).to_bytes(4, "little") + b"".join(rows)


def unpack(body: bytes, now: int, ranks: int, plans: int) -> Message | None:
    """Decode a message. Return None if it is malformed or refers to unknown plans or gateways.

    ``ranks`` and ``plans`` are the numbers of gateways and plans. A message holds only the low bits of its
    send time; of the times with these bits, the one nearest to ``now`` (in ms) is taken.
    """
    try:
        if body[0] != FORMAT or body[1] > KNOWN_FLAGS or not HEADER_BYTES <= len(body) <= MESSAGE_BYTES_MAX:
            return None
        sent_ms = int.from_bytes(body[2:HEADER_BYTES], "little")
        sent_ms += (now - sent_ms + SEND_TIME_PERIOD // 2) // SEND_TIME_PERIOD * SEND_TIME_PERIOD
        sent_ticks, rows, offset = sent_ms // TICK_MS, [], HEADER_BYTES
        while offset < len(body):
            fields = []
            for _ in range(ROW_HEADER_FIELDS):
                value, offset = read_varint(body, offset)
                fields.append(value)
            customer, plan, first, set_size, forward_count, remaining, total, tokens, counts_length = fields
            if (
                plan >= plans
                or first >= ranks
                or not 1 <= set_size <= ranks
                or forward_count >= set_size
                or counts_length > set_size
            ):
                return None
            counts = []
            for _ in range(counts_length):
                position, offset = read_varint(body, offset)
                age, offset = read_varint(body, offset)
                value, offset = read_varint(body, offset)
                if position >= set_size:
                    return None
                counts.append(((first + position) % ranks, sent_ticks - age, value / SCALE))
            amounts = remaining / SCALE, total / SCALE, tokens / SCALE
            rows.append(Row(customer, plan, first, set_size, forward_count, *amounts, tuple(counts)))
        flags = body[1]
        return Message(sent_ms, bool(flags & FLAG_EXPECTS_ANSWER), bool(flags & FLAG_TO_OWNER), tuple(rows))
    except (IndexError, ValueError):
        return None
