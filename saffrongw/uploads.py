"""Large request bodies: chunks received so far, minimum rate, and the memory limit shared by all clients."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .calls import Terms
from .resp import LARGE_VALUE_BYTES_MAX, LargeValue

if TYPE_CHECKING:
    from .client import Client

UPLOAD_MEMORY_SHARE = 1 / 5  # share of the memory limit for all buffered bodies
UPLOAD_RATE_MIN = 16 * 1024  # bytes a second, after the command timeout
UPLOAD_MEMORY_TIMEOUT = 1.6  # seconds to wait for memory: a client must get an answer or a close within 3 s
UPLOAD_RESUME_TIMEOUT = 0.6  # seconds for the next chunk once memory is granted: the client has it ready


JOINED_CHUNK_BYTES_MAX = 4096  # of small chunks kept as one: each costs some 50 bytes more than it holds


@dataclass(slots=True)
class Upload:
    """A command whose large body is still being received; without terms it is malformed and discarded."""

    large: LargeValue
    began: float  # loop time of its first bytes or, if it had to wait for memory, of the grant
    terms: Terms | None = None
    parts: tuple[bytes, ...] = ()
    chunks: list[bytes] = field(default_factory=list)
    has_memory: bool = True

    def add(self, chunk: bytes) -> None:
        """Keep a chunk; a malformed command's is dropped."""
        if not self.terms:
            return
        if self.chunks and len(self.chunks[-1]) + len(chunk) <= JOINED_CHUNK_BYTES_MAX:
            self.chunks[-1] += chunk
        else:
            self.chunks.append(chunk)

    def is_late(self, cutoff: float, grace: float) -> bool:
        """Return whether it has waited too long for memory, or is slower than the minimum rate.

        ``cutoff`` is now less the command timeout ``grace``, in which the rate is not enforced.
        """
        if not self.has_memory:
            return self.began < cutoff + grace - UPLOAD_MEMORY_TIMEOUT
        return self.large.length - self.large.bytes_left < UPLOAD_RATE_MIN * (cutoff - self.began)


class UploadMemory:
    """Memory for the large bodies of all clients; clients without a grant are not read from."""

    def __init__(self, limit: int) -> None:
        self.free = max(limit, LARGE_VALUE_BYTES_MAX)
        self.waiting: dict[Client, int] = {}  # first come, first served

    def acquire(self, client: Client, size: int) -> bool:
        """Reserve memory; if there is none now, the client is called back once there is."""
        if self.waiting or self.free < size:
            self.waiting[client] = size
            return False
        self.free -= size
        return True

    def release(self, size: int) -> None:
        """Return memory and grant it to the clients that have waited longest."""
        self.free += size
        while self.waiting and (client := next(iter(self.waiting))) and self.waiting[client] <= self.free:
            self.free -= self.waiting.pop(client)
            client.upload_memory_granted()
