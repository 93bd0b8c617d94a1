"""RESP2 as hiredis reads it, but for what a peer only declares, and for large values, which pass it by."""

from __future__ import annotations

import os
from collections import deque

import hiredis

VALUE_BYTES_MAX = 64 * 1024  # bytes in one value that the parser holds
LARGE_VALUE_BYTES_MAX = 4 * 1024 * 1024  # bytes in one value
ARRAY_LENGTH_MAX = 1024  # values in one array
LINE_BYTES_MAX = 1024  # bytes of a line: a type, and a number or a short text
CRLF = b"\r\n"
PLACEHOLDER = os.urandom(16)  # stands for a large value in what the parser gives: nobody else can send it


class LargeValue:
    """A large value on its way: its pieces, as long as nobody takes them."""

    __slots__ = ("bytes_left", "chunks", "length")

    def __init__(self, length: int) -> None:
        self.length = self.bytes_left = length
        self.chunks: list[bytes] = []

    def take_chunks(self) -> list[bytes]:
        """What has come since the last call."""
        taken, self.chunks = self.chunks, []
        return taken


class Reader(hiredis.Reader):
    """Guards the parser, which makes room for as many values as an array's head declares.

    Two thousand million of them take a peer 13 bytes. The room is never touched by the parser, but each
    turn of the garbage collector looks through all of it, for seconds in which nobody else is served.

    A value over 64 KiB at the one place of an array where it may stand does not go through the parser, which
    gets a mark for it: its bytes are in ``large``, as they come. Where it must be the last value, the parser
    gives the array once the value has begun.
    """

    def __init__(self, value_bytes_max: int, large_index: int = -1, large_must_be_last: bool = False) -> None:
        super().__init__()
        self.value_bytes_max, self.large_index, self.large_must_be_last = (
            value_bytes_max,
            large_index,
            large_must_be_last,
        )
        self.header = b""  # of the head that has not ended yet; it goes to the parser whole
        self.body_bytes_left = 0  # bytes of a text still to come
        self.values_pending = 0  # values still to come before the one that has begun is whole
        self.value_index = -1  # in its array, of the value that has begun last
        self.large_values: deque[LargeValue] = deque()  # those that nobody has taken over
        self.streaming: LargeValue | None = None  # the one whose bytes are coming
        self.bytes_streamed = 0  # bytes that went past the parser
        self.error = ""

    @property
    def at_boundary(self) -> bool:
        """Whether all that came are whole values; of a part the parser may have nothing left to show."""
        return not (self.values_pending or self.body_bytes_left or self.header)

    def feed(self, data: bytes) -> None:
        """Take bytes in, up to the first head that is out of bounds."""
        at = fed = 0  # looked at, and gone to the parser or past it
        while at < len(data) and not self.error:
            if self.body_bytes_left:
                step = min(self.body_bytes_left, len(data) - at)
                self.body_bytes_left -= step
                if not self._has_valid_terminator(data[at : at + step]):
                    self.error = "malformed end of a value"
                    break
                at += step
                if self.streaming:
                    self._stream(data[fed:at])
                    fed = at
                continue
            begun, end = len(self.header), data.find(b"\n", at) + 1
            self.header += data[at : end or None]
            self.error = self._check_header(self.header) if end else self._check_header_length(self.header)
            if self.error or not end:
                break
            if begun or self.streaming:  # else it goes with what stands round it
                super().feed(data[fed:at])
                super().feed(
                    b"$%d\r\n%b\r\n" % (len(PLACEHOLDER), PLACEHOLDER) if self.streaming else self.header
                )
                fed = end
            self.header, at = b"", end
        super().feed(data[fed:at])

    def gets(self) -> object:
        """The next whole value, or False; raises once all before a wrong head have been read."""
        value = super().gets()
        if value is False and self.error:
            raise hiredis.ProtocolError(self.error)
        return value

    def _has_valid_terminator(self, data: bytes) -> bool:
        """Whether what these bytes hold of a value's end belongs there. The parser drops those two bytes
        unseen: a value longer or shorter than its head declares would pass for one that somebody made."""
        come = (
            len(CRLF) - self.body_bytes_left
        )  # bytes of the end that have come with these; none: it is still to come
        end = data[-min(come, len(data)) :] if come > 0 else b""
        return end == CRLF[come - len(end) : come]

    def _stream(self, data: bytes) -> None:
        large = self.streaming
        chunk = data[: large.bytes_left]
        self.bytes_streamed += len(data)
        if chunk:
            large.bytes_left -= len(chunk)
            large.chunks.append(chunk)
        if not self.body_bytes_left:
            self.streaming = None

    def _check_header_length(self, line: bytes) -> str:
        return "line too long" if len(line) > LINE_BYTES_MAX else ""

    def _check_header(self, line: bytes) -> str:
        kind, number = line[:1], line[1 : -len(CRLF)]
        if not line.endswith(CRLF):
            return "malformed line"
        self.value_index = self.value_index + 1 if self.values_pending else -1
        self.values_pending = max(self.values_pending, 1) - 1  # the value that this line begins
        if kind in (b"*", b"$"):
            if not number.isdigit() and number != b"-1":
                return "malformed length"
            may_be_large = self.value_index == self.large_index >= 0 and not (
                self.large_must_be_last and self.values_pending
            )
            most = (
                ARRAY_LENGTH_MAX
                if kind == b"*"
                else LARGE_VALUE_BYTES_MAX
                if may_be_large
                else self.value_bytes_max
            )
            if len(number) > len(str(most)) or int(number) > most:
                return "array or value too long"
            if kind == b"$" and number != b"-1":
                self.body_bytes_left = int(number) + len(CRLF)
                if may_be_large and int(number) > VALUE_BYTES_MAX:
                    self.streaming = LargeValue(int(number))
                    self.large_values.append(self.streaming)
            elif number != b"-1":
                self.values_pending += int(number)
        elif kind not in (b"+", b"-", b":"):
            return "not a RESP2 value"
        return self._check_header_length(line)
