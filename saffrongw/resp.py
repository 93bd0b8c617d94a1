"""RESP2 reader on top of hiredis that bounds work and memory, and streams large values past the parser."""

from __future__ import annotations

import os
import sys

import hiredis

VALUE_BYTES_MAX = 64 * 1024  # bytes of a value that the parser buffers
LARGE_VALUE_BYTES_MAX = 4 * 1024 * 1024  # bytes of a streamed value
DIGITS_MAX = 7  # of a length
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


class Reader:
    """A RESP2 reader that checks headers before the parser sees them, and streams large values.

    hiredis allocates room for as many values as an array header declares, so 13 bytes from a client or host
    can make it allocate two billion slots. It never touches them, but every run of the garbage collector
    scans all of them, which blocks the process for seconds. So ``values_max`` bounds the values of an array
    with all that it contains, and the parser sees a value only once all of its bytes have been received: an
    unfinished one holds its bytes and no objects.

    Checking a header takes some microseconds and a header may have four bytes, so ``gets`` can be told how
    many it may check; ``is_behind`` then says that there is more to check.

    At one index of the outermost array (``large_index``) a value may exceed 64 KiB. It is a ``LargeValue`` in
    the returned array, and until then ``large``; its bytes arrive there and bypass the parser. With
    ``large_must_be_last`` the array is returned as soon as the large value has begun.
    """

    def __init__(
        self,
        value_bytes_max: int,
        values_max: int,
        large_index: int = -1,
        large_must_be_last: bool = False,
    ) -> None:
        self.value_bytes_max, self.values_max = value_bytes_max, values_max
        self.large_index, self.large_must_be_last = large_index, large_must_be_last
        self.headers_checked = 0  # in total
        self._reset()

    def _reset(self) -> None:
        self.parser = hiredis.Reader()
        self.input = b""  # received bytes; those before ``position`` are checked
        self.position = self.passed = 0  # the bytes before ``passed`` are with the parser, or were streamed
        self.unparsed_bytes = 0  # with the parser, which is asked once the value is complete
        self.is_behind = False  # bytes are left that have not been looked at
        self.body_bytes_left = 0  # bytes of the current value still to come, with its CRLF
        self.values_left: list[int] = []  # still to begin in each open array, the outermost one first
        self.outermost_length = 0  # of the open array
        self.values_declared = 0  # by the array headers of the outermost value
        self.large: LargeValue | None = None  # the one of the array that has not been returned yet
        self.streaming: LargeValue | None = None  # the one that is being received
        self.is_returned = False  # the value was returned before its end, as its large value comes last
        self.error = ""

    @property
    def at_boundary(self) -> bool:
        """Whether everything received so far has been returned in complete values."""
        return not (self.values_left or self.body_bytes_left or self.position < len(self.input))

    @property
    def held_bytes(self) -> int:
        """Number of received bytes that are held for a value that has not been returned."""
        return len(self.input) - self.position + self.unparsed_bytes

    def feed(self, data: bytes) -> None:
        """Take received bytes, which the next calls of ``gets`` read."""
        self.input = self.input[self.position :] + data
        self.position = self.passed = 0
        self.is_behind = True

    def discard(self) -> None:
        """Drop what has been received, as nothing more is read."""
        self._reset()

    def gets(self, headers_max: int = sys.maxsize) -> object:
        """Return the next complete value, or False after ``headers_max`` headers or at the end of the input.

        Also return False at the end of a large value whose array has been returned already. Raise
        ``hiredis.ProtocolError`` at the first invalid byte; all values before it have been returned then.
        """
        headers_end = self.headers_checked + headers_max
        is_advancing = True
        while is_advancing and not self.error:
            if self.body_bytes_left:
                is_advancing = self._read_body()
            elif self.headers_checked < headers_end:
                is_advancing = self._read_header()
            else:
                self._pass_on()
                return False
            if is_advancing and self._is_returnable():
                return self._parse()
        self.is_behind = False
        self._pass_on()
        if self.error:
            raise hiredis.ProtocolError(self.error)
        return False

    def _is_returnable(self) -> bool:
        """Return whether the outermost value is complete, or is to be returned before its end."""
        if self.streaming:
            return self.large_must_be_last and not self.is_returned
        return not self.values_left and not self.body_bytes_left

    def _parse(self) -> object:
        """Return the outermost value, or False if it has been returned before."""
        self.is_behind = self.position < len(self.input)
        self._pass_on()
        if self.is_returned:
            self.is_returned = False
            return False
        self.is_returned = self.streaming is not None
        self.unparsed_bytes = self.values_declared = 0
        try:
            value = self.parser.gets()
        except hiredis.ProtocolError as error:  # for example arrays nested too deeply
            self.error = str(error)
            raise
        if self.large:
            value[self.large_index], self.large = self.large, None
        return value

    def _pass_on(self) -> None:
        """Pass the checked bytes to the parser."""
        if self.passed < self.position:
            self.parser.feed(self.input[self.passed : self.position])
            self.unparsed_bytes += self.position - self.passed
            self.passed = self.position

    def _read_body(self) -> bool:
        """Read the bytes of a value, with its CRLF; return False if there are none or they are invalid."""
        step = min(self.body_bytes_left, len(self.input) - self.position)
        data = self.input[self.position : self.position + step]
        self.body_bytes_left -= step
        if not self._has_valid_terminator(data):
            self.error = "malformed end of a value"
            return False
        self.position += step
        if self.streaming:
            self._stream(self.streaming, data)
        if not self.body_bytes_left:
            self._close_arrays()
        return step > 0

    def _close_arrays(self) -> None:
        """Close the arrays of which all values are complete, as one of them has been completed."""
        while self.values_left and not self.values_left[-1]:
            self.values_left.pop()

    def _has_valid_terminator(self, data: bytes) -> bool:
        """Return whether the part of the value's CRLF that these bytes hold is valid.

        The parser skips those two bytes unchecked: a value longer or shorter than its header declares would
        be accepted as a different, valid one.
        """
        received = len(CRLF) - self.body_bytes_left  # bytes of the CRLF received so far; not positive: none
        end = data[-min(received, len(data)) :] if received > 0 else b""
        return end == CRLF[received - len(end) : received]

    def _stream(self, large: LargeValue, data: bytes) -> None:
        """Pass bytes to the large value instead of the parser."""
        self.passed = self.position
        chunk = data[: large.bytes_left]
        if chunk:
            large.bytes_left -= len(chunk)
            large.chunks.append(chunk)
        if not self.body_bytes_left:
            self.streaming = None

    def _read_header(self) -> bool:
        """Check a header; return False if it is invalid or not complete yet."""
        end = self.input.find(b"\n", self.position) + 1
        line = self.input[self.position : end or None]
        if not end:
            self.error = "line too long" if len(line) > LINE_BYTES_MAX else ""
            return False
        self.headers_checked += 1
        self.error = self._check_header(line)
        if self.error:
            return False
        if self.streaming:  # the parser gets a placeholder instead
            self._pass_on()
            self.passed = end
            self.parser.feed(b"$%d\r\n%b\r\n" % (len(PLACEHOLDER), PLACEHOLDER))
        self.position = end
        return True

    def _check_header(self, line: bytes) -> str:
        """Update the framing state by a complete header line; return an error, or an empty string."""
        kind, number = line[:1], line[1 : -len(CRLF)]
        if not line.endswith(CRLF):
            return "malformed line"
        if len(line) > LINE_BYTES_MAX:
            return "line too long"
        if self.values_left:
            self.values_left[-1] -= 1  # this line begins one of them
        if kind in (b"*", b"$"):
            if not number.isdigit() and number != b"-1":
                return "malformed length"
            begin = self._begin_array if kind == b"*" else self._begin_value
            if len(number) > DIGITS_MAX or not begin(int(number)):
                return "array or value too long"
        elif kind not in (b"+", b"-", b":"):
            return "not a RESP2 value"
        if not self.body_bytes_left:
            self._close_arrays()  # an open array has values left
        return ""

    def _begin_array(self, length: int) -> bool:
        """Begin an array, of length -1 if it is null; return False if it is too long."""
        if length > self.values_max - self.values_declared:
            return False
        if length > 0:
            if not self.values_left:
                self.outermost_length = length
            self.values_left.append(length)
            self.values_declared += length
        return True

    def _begin_value(self, length: int) -> bool:
        """Begin a bulk string, of length -1 if it is null; return False if it is too long."""
        may_be_large = self._may_be_large()
        if length > (LARGE_VALUE_BYTES_MAX if may_be_large else self.value_bytes_max):
            return False
        if length >= 0:
            self.body_bytes_left = length + len(CRLF)
        if may_be_large and length > VALUE_BYTES_MAX:
            self.large = self.streaming = LargeValue(length)
        return True

    def _may_be_large(self) -> bool:
        """Return whether the value that begins stands where a large one may."""
        if len(self.values_left) != 1:
            return False
        values_after = self.values_left[0]
        is_at_index = self.outermost_length - values_after - 1 == self.large_index
        return is_at_index and not (self.large_must_be_last and values_after)
