"""RESP2 as hiredis reads it, but for what a peer only declares."""

from __future__ import annotations

import hiredis

VALUE_MOST = 64 * 1024  # bytes in one value, as the protocol has it
ARRAY_MOST = 1024  # values in one array
LINE_MOST = 1024  # bytes of a line: a type, and a number or a short text
CRLF = b"\r\n"


class Reader(hiredis.Reader):
    """Guards the parser, which makes room for as many values as an array's head declares.

    Two thousand million of them take a peer 13 bytes. The room is never touched by the parser, but each
    turn of the garbage collector looks through all of it, for seconds in which nobody else is served.
    """

    def __init__(self, text_most: int) -> None:
        super().__init__()
        self.text_most = text_most
        self.line = b""  # of the head that has not ended yet
        self.skip = 0  # bytes of a text still to come
        self.owed = 0  # values still to come before the one that has begun is whole
        self.wrong = ""

    @property
    def between(self) -> bool:
        """Whether all that came are whole values; of a part the parser may have nothing left to show."""
        return not (self.owed or self.skip or self.line)

    def feed(self, data: bytes) -> None:
        """Take bytes in, up to the first head that is out of bounds."""
        at = 0
        while at < len(data) and not self.wrong:
            if self.skip:
                step = min(self.skip, len(data) - at)
                self.skip -= step
                at += step
                continue
            end = data.find(b"\n", at) + 1
            self.line += data[at : end or None]
            self.wrong = self._check(self.line) if end else self._too_long(self.line)
            if self.wrong:
                break
            if end:
                self.line = b""
            at = end or len(data)
        super().feed(data[:at])

    def gets(self) -> object:
        """The next whole value, or False; raises once all before a wrong head have been read."""
        value = super().gets()
        if value is False and self.wrong:
            raise hiredis.ProtocolError(self.wrong)
        return value

    def _too_long(self, line: bytes) -> str:
        return "line too long" if len(line) > LINE_MOST else ""

    def _check(self, line: bytes) -> str:
        kind, number = line[:1], line[1 : -len(CRLF)]
        if not line.endswith(CRLF):
            return "malformed line"
        self.owed = max(self.owed, 1) - 1  # the value that this line begins
        if kind in (b"*", b"$"):
            if not number.isdigit() and number != b"-1":
                return "malformed length"
            most = ARRAY_MOST if kind == b"*" else self.text_most
            if len(number) > len(str(most)) or int(number) > most:
                return "array or value too long"
            if kind == b"$" and number != b"-1":
                self.skip = int(number) + len(CRLF)
            elif number != b"-1":
                self.owed += int(number)
        elif kind not in (b"+", b"-", b":"):
            return "not a RESP2 value"
        return self._too_long(line)
