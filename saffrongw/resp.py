"""RESP2 reader on top of hiredis that bounds declared lengths and streams large values past the parser."""

from __future__ import annotations

import os
from collections import deque

import hiredis

VALUE_BYTES_MAX = 64 * 1024  # bytes of a value that the parser buffers
LARGE_VALUE_BYTES_MAX = 4 * 1024 * 1024  # bytes of a streamed value
ARRAY_LENGTH_MAX = 1024  # values in one array
LINE_BYTES_MAX = 1024  # bytes of a line: a type, and a number or a short text
CRLF = b"\r\n"
PLACEHOLDER = os.urandom(16)  # replaces a large value in parsed arrays; random so that it cannot be forged


class LargeValue:
    """A large value that is being received, with the chunks that have not been taken yet."""

    __slots__ = ("bytes_left", "chunks", "length")

    def __init__(self, length: int) -> None:
        self.length = self.bytes_left = length
        self.chunks: list[bytes] = []

    def take_chunks(self) -> list[bytes]:
        """Remove and return the chunks received since the last call."""
        taken, self.chunks = self.chunks, []
        return taken


class Reader(hiredis.Reader):
    """A hiredis reader that checks headers before the parser sees them, and streams large values.

    The parser allocates room for as many values as an array header declares, so 13 bytes from a client or
    host can make it allocate two billion slots. It never touches them, but every run of the garbage collector
    scans all of them, which blocks the process for seconds.

    At one index of an array (``large_index``) a value may exceed 64 KiB. The parser then gets a placeholder,
    and the bytes go to ``large_values`` as they arrive. With ``large_must_be_last`` the array is returned as
    soon as the large value has begun.
    """

    def __init__(self, value_bytes_max: int, large_index: int = -1, large_must_be_last: bool = False) -> None:
        super().__init__()
        self.value_bytes_max, self.large_index, self.large_must_be_last = (
            value_bytes_max,
            large_index,
            large_must_be_last,
        )
        self.header = b""  # received part of an incomplete header; the parser gets only whole ones
        self.body_bytes_left = 0  # bytes of the current value still to come, with its CRLF
        self.values_pending = 0  # values still to come before the outermost one is complete
        self.value_index = -1  # index in its array of the value that began last
        self.large_values: deque[LargeValue] = deque()  # not yet taken over by the connection
        self.streaming: LargeValue | None = None  # the large value that is being received
        self.bytes_streamed = 0  # total bytes that bypassed the parser
        self.error = ""

    @property
    def at_boundary(self) -> bool:
        """Whether everything received so far forms complete values.

        ``has_data`` cannot tell: the parser may have consumed all bytes of an incomplete value.
        """
        return not (self.values_pending or self.body_bytes_left or self.header)

    def feed(self, data: bytes) -> None:
        """Pass bytes to the parser up to the first invalid header."""
        checked = consumed = 0  # bytes checked, and bytes passed to the parser or streamed
        while checked < len(data) and not self.error:
            if self.body_bytes_left:
                step = min(self.body_bytes_left, len(data) - checked)
                self.body_bytes_left -= step
                if not self._has_valid_terminator(data[checked : checked + step]):
                    self.error = "malformed end of a value"
                    break
                checked += step
                if self.streaming:
                    self._stream(data[consumed:checked])
                    consumed = checked
                continue
            bytes_before, end = len(self.header), data.find(b"\n", checked) + 1
            self.header += data[checked : end or None]
            self.error = self._check_header(self.header) if end else self._check_header_length(self.header)
            if self.error or not end:
                break
            if bytes_before or self.streaming:  # otherwise the header is passed on with the bytes around it
                super().feed(data[consumed:checked])
                super().feed(
                    b"$%d\r\n%b\r\n" % (len(PLACEHOLDER), PLACEHOLDER) if self.streaming else self.header
                )
                consumed = end
            self.header, checked = b"", end
        super().feed(data[consumed:checked])

    def gets(self) -> object:
        """Return the next complete value, or False; raise once all values before an error have been read."""
        value = super().gets()
        if value is False and self.error:
            raise hiredis.ProtocolError(self.error)
        return value

    def _has_valid_terminator(self, data: bytes) -> bool:
        """Return whether the part of the value's CRLF that these bytes hold is valid.

        The parser skips those two bytes unchecked: a value longer or shorter than its header declares would
        be accepted as a different, valid one.
        """
        received = len(CRLF) - self.body_bytes_left  # bytes of the CRLF received so far; not positive: none
        end = data[-min(received, len(data)) :] if received > 0 else b""
        return end == CRLF[received - len(end) : received]

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
        """Update the framing state by a complete header line; return an error, or an empty string."""
        kind, number = line[:1], line[1 : -len(CRLF)]
        if not line.endswith(CRLF):
            return "malformed line"
        self.value_index = self.value_index + 1 if self.values_pending else -1
        self.values_pending = max(self.values_pending, 1) - 1  # this line begins one of them
        if kind in (b"*", b"$"):
            if not number.isdigit() and number != b"-1":
                return "malformed length"
            may_be_large = self.value_index == self.large_index >= 0 and not (
                self.large_must_be_last and self.values_pending
            )
            limit = (
                ARRAY_LENGTH_MAX
                if kind == b"*"
                else LARGE_VALUE_BYTES_MAX
                if may_be_large
                else self.value_bytes_max
            )
            if len(number) > len(str(limit)) or int(number) > limit:
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
