"""Large request bodies: chunks received so far, minimum rate, and the memory limit shared by all clients."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from .calls import Terms
from .memory import HEADROOM_SHARE, UPLOAD_SHARE, MemoryAccount, MemoryBudget
from .resp import LargeValue

if TYPE_CHECKING:
    from .client import Client

UPLOAD_RATE_MIN = 16 * 1024  # bytes a second, after the command timeout
UPLOAD_MEMORY_TIMEOUT = 1.6  # seconds to wait for memory: a client must get an answer or a close within 3 s
UPLOAD_RESUME_TIMEOUT = 0.6  # seconds for the next chunk once memory is granted: the client has it ready
MICROSECONDS = 1_000_000  # in a second
SMALL_BODY_BYTES = 256 * 1024  # a body up to this size does not wait behind larger ones
JOINED_CHUNK_BYTES_MAX = 4096  # of small chunks kept as one: each costs some 50 bytes more than it holds


@dataclass(slots=True)
class Upload:
    """A command whose large body is still being received; without terms it is discarded."""

    large: LargeValue
    began: float  # loop time of its first bytes or, if it had to wait for memory, of the grant
    terms: Terms | None = None
    parts: tuple[bytes, ...] = ()
    chunks: list[bytes] = field(default_factory=list)
    has_memory: bool = True

    def discard(self) -> None:
        """Drop the command, which has been answered: its body is read and not kept."""
        self.terms, self.parts = None, ()

    @property
    def bytes_reserved(self) -> int:
        """Memory that is granted for the body and not used yet."""
        return self.large.bytes_left if self.terms and self.has_memory else 0

    def add(self, chunk: bytes) -> None:
        """Keep a chunk; a malformed command's is dropped."""
        if not self.terms:
            return
        if self.chunks and len(self.chunks[-1]) + len(chunk) <= JOINED_CHUNK_BYTES_MAX:
            self.chunks[-1] += chunk
        else:
            self.chunks.append(chunk)

    def has_expired(self, seconds: float) -> bool:
        """Return whether the client waits for so many seconds at most, if the request is proper."""
        return self.terms is not None and seconds >= self.terms.timeout / MICROSECONDS

    def is_late(self, cutoff: float, grace: float) -> bool:
        """Return whether it has waited too long for memory, or is slower than the minimum rate.

        ``cutoff`` is now less the command timeout ``grace``, in which the rate is not enforced.
        """
        if not self.has_memory:
            return self.began < cutoff + grace - UPLOAD_MEMORY_TIMEOUT
        return self.large.length - self.large.bytes_left < UPLOAD_RATE_MIN * (cutoff - self.began)


class Grant(Enum):
    """Answer to a request for memory."""

    GRANTED = auto()
    LATER = auto()  # the client is called back once there is room
    NEVER = auto()  # it is more than all bodies together may hold


class UploadMemory(MemoryAccount):
    """Memory for the large bodies of all clients; clients without a grant are not read from."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.free = 0  # of this account's share
        self.waiting: dict[Client, int] = {}  # first come, first served
        super().__init__(budget, UPLOAD_SHARE, HEADROOM_SHARE)

    def resize(self) -> None:
        """Set the limit, as the budget has changed."""
        limit_before = self.limit
        super().resize()
        self.free += self.limit - limit_before

    def change(self, before: int, after: int) -> None:
        """Record that a holder has changed from ``before`` to ``after`` bytes."""
        super().change(before, after)
        self.free -= after - before

    def lacks(self, size: int) -> bool:
        """Return whether there is no room for so many bytes more."""
        return size > self.free or super().lacks(size)

    def acquire(self, client: Client, size: int) -> Grant:
        """Reserve memory; if there is none now, the client is called back once there is."""
        if size > self.limit:
            return Grant.NEVER
        if (self.waiting and size > SMALL_BODY_BYTES) or self.lacks(size):
            self.waiting[client] = size
            return Grant.LATER
        self.change(0, size)
        return Grant.GRANTED

    def release(self, size: int) -> None:
        """Return memory and grant it to the clients that have waited longest."""
        self.change(size, 0)
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant memory to the clients that have waited longest, as far as there is room."""
        while self.waiting and (client := next(iter(self.waiting))) and not self.lacks(self.waiting[client]):
            self.change(0, self.waiting.pop(client))
            client.upload_memory_granted()
