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


class Large:
    """A large value on its way: its pieces, as long as nobody takes them."""

    __slots__ = ("left", "length", "pieces")

    def __init__(self, length: int) -> None:
        self.length = self.left = length
        self.pieces: list[bytes] = []

    def take(self) -> list[bytes]:
        """What has come since the last call."""
        taken, self.pieces = self.pieces, []
        return taken


class Reader(hiredis.Reader):
    """Guards the parser, which makes room for as many values as an array's head declares.

    Two thousand million of them take a peer 13 bytes. The room is never touched by the parser, but each
    turn of the garbage collector looks through all of it, for seconds in which nobody else is served.

    A value over 64 KiB at the one place of an array where it may stand does not go through the parser, which
    gets a mark for it: its bytes are in ``large``, as they come. Where it must be the last value, the parser
    gives the array once the value has begun.
    """

    def __init__(self, text_most: int, large_at: int = -1, large_last: bool = False) -> None:
        super().__init__()
        self.text_most, self.large_at, self.large_last = text_most, large_at, large_last
        self.line = b""  # of the head that has not ended yet; it goes to the parser whole
        self.skip = 0  # bytes of a text still to come
        self.owed = 0  # values still to come before the one that has begun is whole
        self.place = -1  # in its array, of the value that has begun last
        self.large: deque[Large] = deque()  # those that nobody has taken over
        self.passing: Large | None = None  # the one whose bytes are coming
        self.passed = 0  # bytes that went past the parser
        self.wrong = ""

    @property
    def between(self) -> bool:
        """Whether all that came are whole values; of a part the parser may have nothing left to show."""
        return not (self.owed or self.skip or self.line)

    def feed(self, data: bytes) -> None:
        """Take bytes in, up to the first head that is out of bounds."""
        at = fed = 0  # looked at, and gone to the parser or past it
        while at < len(data) and not self.wrong:
            if self.skip:
                step = min(self.skip, len(data) - at)
                self.skip -= step
                if not self._ends_well(data[at : at + step]):
                    self.wrong = "malformed end of a value"
                    break
                at += step
                if self.passing:
                    self._pass(data[fed:at])
                    fed = at
                continue
            begun, end = len(self.line), data.find(b"\n", at) + 1
            self.line += data[at : end or None]
            self.wrong = self._check(self.line) if end else self._too_long(self.line)
            if self.wrong or not end:
                break
            if begun or self.passing:  # else it goes with what stands round it
                super().feed(data[fed:at])
                super().feed(
                    b"$%d\r\n%b\r\n" % (len(PLACEHOLDER), PLACEHOLDER) if self.passing else self.line
                )
                fed = end
            self.line, at = b"", end
        super().feed(data[fed:at])

    def gets(self) -> object:
        """The next whole value, or False; raises once all before a wrong head have been read."""
        value = super().gets()
        if value is False and self.wrong:
            raise hiredis.ProtocolError(self.wrong)
        return value

    def _ends_well(self, data: bytes) -> bool:
        """Whether what these bytes hold of a value's end belongs there. The parser drops those two bytes
        unseen: a value longer or shorter than its head declares would pass for one that somebody made."""
        come = len(CRLF) - self.skip  # bytes of the end that have come with these; none: it is still to come
        end = data[-min(come, len(data)) :] if come > 0 else b""
        return end == CRLF[come - len(end) : come]

    def _pass(self, data: bytes) -> None:
        large = self.passing
        piece = data[: large.left]
        self.passed += len(data)
        if piece:
            large.left -= len(piece)
            large.pieces.append(piece)
        if not self.skip:
            self.passing = None

    def _too_long(self, line: bytes) -> str:
        return "line too long" if len(line) > LINE_BYTES_MAX else ""

    def _check(self, line: bytes) -> str:
        kind, number = line[:1], line[1 : -len(CRLF)]
        if not line.endswith(CRLF):
            return "malformed line"
        self.place = self.place + 1 if self.owed else -1
        self.owed = max(self.owed, 1) - 1  # the value that this line begins
        if kind in (b"*", b"$"):
            if not number.isdigit() and number != b"-1":
                return "malformed length"
            may_be_large = self.place == self.large_at >= 0 and not (self.large_last and self.owed)
            most = (
                ARRAY_LENGTH_MAX
                if kind == b"*"
                else LARGE_VALUE_BYTES_MAX
                if may_be_large
                else self.text_most
            )
            if len(number) > len(str(most)) or int(number) > most:
                return "array or value too long"
            if kind == b"$" and number != b"-1":
                self.skip = int(number) + len(CRLF)
                if may_be_large and int(number) > VALUE_BYTES_MAX:
                    self.passing = Large(int(number))
                    self.large.append(self.passing)
            elif number != b"-1":
                self.owed += int(number)
        elif kind not in (b"+", b"-", b":"):
            return "not a RESP2 value"
        return self._too_long(line)
