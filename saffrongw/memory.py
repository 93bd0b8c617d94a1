"""Counts the bytes that are held for others, by kind, each against a share of the configured memory."""

from __future__ import annotations

REQUEST_SHARE = 1 / 5  # share of the memory limit for requests without an answer, besides large bodies
REQUEST_OVERHEAD_BYTES = 2048  # of the objects that are kept for a request, besides its command
WAITING_REPLY_SHARE = 1 / 5  # share of the memory limit for answers that wait behind others
PARTIAL_REPLY_SHARE = 1 / 5  # share of the memory limit for responses of which a part has been received


class MemoryAccount:
    """The bytes of one kind that all connections hold together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0

    def change(self, before: int, after: int) -> None:
        """Record that a holder has changed from ``before`` to ``after`` bytes."""
        self.held += after - before

    def lacks(self, size: int) -> bool:
        """Return whether there is no room for so many bytes more."""
        return self.held + size > self.limit

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the limit."""
        return self.held > self.limit
