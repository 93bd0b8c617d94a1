"""What is written to a client, how much of it the client has received, and since when it receives nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ops.sockets import DeliveryWatch

from .memory import MemoryAccount

WRITE_STALL_TIMEOUT = 10.0  # seconds for which a client may leave its responses unread


class ClientOutput:
    """The sending side of a client's connection."""

    def __init__(self, time: Callable[[], float], account: MemoryAccount) -> None:
        """``account`` counts what a client leaves unread; what one that reads has to read is soon sent."""
        self.time, self.account = time, account
        self.transport: asyncio.Transport | None = None
        self.delivery = DeliveryWatch()
        # Loop time since when the client has received nothing although responses wait for it; 0: none do.
        self.stalled_since = 0.0
        self.counted_bytes = 0  # in the write buffer, as counted

    def write(self, data: bytes) -> None:
        """Write a part of a response."""
        self.delivery.written += len(data)
        self.transport.write(data)

    def end(self) -> None:
        """Write the end of the stream, and watch whether the client receives what is before it."""
        if not self.stalled_since:
            self.watch()
        self.delivery.is_ended = True
        self.transport.write_eof()

    def received_bytes(self) -> int:
        """Return how many bytes of its responses the client has received."""
        return self.delivery.written - self.undelivered_bytes()

    def undelivered_bytes(self) -> int:
        """Return how many bytes of its responses the client has not received."""
        return self.delivery.undelivered(self.transport)

    def watch(self) -> None:
        """Watch from now on whether the client receives anything."""
        self.stalled_since = self.time()
        self.delivery.has_progressed(self.transport)

    def has_stalled(self) -> bool:
        """Return whether the client has received nothing for WRITE_STALL_TIMEOUT, not only little."""
        now = self.time()
        if self.stalled_since and self.delivery.has_progressed(self.transport):
            self.stalled_since = now
        return 0 < self.stalled_since < now - WRITE_STALL_TIMEOUT

    def unsent_bytes(self) -> int:
        """Return how many bytes this process holds for a client that does not read them."""
        if not self.stalled_since or self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()

    def count(self, unsent_bytes: int) -> None:
        """Count so many bytes of responses that are left unread."""
        counted_before, self.counted_bytes = self.counted_bytes, unsent_bytes
        self.account.change(counted_before, unsent_bytes)
