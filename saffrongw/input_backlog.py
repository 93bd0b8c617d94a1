"""How long a client's input may have lain unread: the time of a request runs from its last byte."""

from __future__ import annotations


class InputBacklog:
    """Since when the input that is processed next may have been here, while the client was not read from."""

    def __init__(self) -> None:
        self.since = 0.0  # loop time; 0: the input has just arrived
        self.unread_bytes = 0  # of that input, still in the socket

    def note(self, since: float, unread_bytes: int) -> None:
        """Note since when input may be here, and how much of it is in the socket; what comes later is not."""
        if not self.since:
            self.since, self.unread_bytes = since, unread_bytes

    def received(self, size: int) -> None:
        """Record input that was read."""
        self.unread_bytes = max(0, self.unread_bytes - size)

    def processed(self) -> None:
        """Record that all commands that were read are executed."""
        if not self.unread_bytes:
            self.since = 0.0

    def seconds(self, now: float) -> float:
        """Return for how long the command that is executed now may have been here."""
        return now - self.since if self.since else 0.0
