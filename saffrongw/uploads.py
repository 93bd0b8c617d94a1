"""Large bodies that clients upload: their pieces, their pace, and the memory for all of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .calls import Terms
from .resp import LARGE_VALUE_BYTES_MAX, LargeValue

if TYPE_CHECKING:
    from .client import Client

UPLOAD_MEMORY_SHARE = 1 / 5  # of the memory limit: what all that are kept may take
UPLOAD_RATE_MIN = 16 * 1024  # bytes a second, once a command has had its time
UPLOAD_MEMORY_TIMEOUT = (
    1.6  # seconds that one waits for memory: in 3 s its client is owed an answer or an end
)
UPLOAD_RESUME_TIMEOUT = 0.6  # seconds for more of one that waited: who still sends has it at hand


@dataclass(slots=True)
class Upload:
    """A command whose large body is still coming; without terms it is malformed, and read away."""

    large: LargeValue
    began: float
    terms: Terms | None = None
    parts: tuple[bytes, ...] = ()
    chunks: list[bytes] = field(default_factory=list)
    has_memory: bool = True

    def is_late(self, before: float, within: float) -> bool:
        """Whether it comes too slowly, or found no room for too long; but for its first time."""
        if not self.has_memory:
            return self.began < before + within - UPLOAD_MEMORY_TIMEOUT
        return self.large.length - self.large.bytes_left < UPLOAD_RATE_MIN * (before - self.began)


class UploadMemory:
    """The memory for large bodies of all clients: who finds none is not read from until there is some."""

    def __init__(self, most: int) -> None:
        self.free = max(most, LARGE_VALUE_BYTES_MAX)
        self.waiting: dict[Client, int] = {}  # in the order of their coming

    def acquire(self, client: Client, size: int) -> bool:
        """Whether there is room now; else the client is told when there is."""
        if self.waiting or self.free < size:
            self.waiting[client] = size
            return False
        self.free -= size
        return True

    def release(self, size: int) -> None:
        """So much is free again: it goes to who waits longest."""
        self.free += size
        while self.waiting and (client := next(iter(self.waiting))) and self.waiting[client] <= self.free:
            self.free -= self.waiting.pop(client)
            client.upload_memory_granted()
