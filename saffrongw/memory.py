"""Counts the bytes that are held for others, by kind, each against a share of the configured memory."""

from __future__ import annotations

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

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the limit."""
        return self.held > self.limit
