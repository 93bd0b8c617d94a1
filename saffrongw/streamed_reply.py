"""A large value on its way from a host's connection to the slot of the client that asked for it.

Once its first byte is written, a value that breaks off can only be ended by closing the client's connection,
and then nothing behind it can be answered. So a value is passed on as it comes only if nothing stands behind
it, and nothing more is read from the client until it is whole. Otherwise it is held back until it is whole,
for as long as its request may take.
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import TYPE_CHECKING

from .calls import Source
from .resp import CRLF

if TYPE_CHECKING:
    from .response_slots import Slot

# Seconds after the request's time until which a value is held back: half a second late is too late.
HOLD_GRACE = 0.3
STREAM_BYTES = 48 * 1024  # of the write buffer, one read of the host's socket and the objects of a stream


class Stage(Enum):
    """What is done with the chunks of a value that come."""

    WAITING = auto()  # answers before it are not written: the first chunk is kept, and the source paused
    HELD = auto()  # kept until the value is whole
    PASSED_ON = auto()  # written to the client


class StreamedReply:
    """Takes the chunks of a value; the sink of the host's connection."""

    def __init__(self, slot: Slot, length: int, source: Source) -> None:
        self.slot, self.client, self.driver = slot, slot.client, slot.client.clients.driver
        self.length, self.source = length, source
        self.stage = Stage.WAITING
        self.seconds_left = max(0, slot.call.deadline - self.driver.clock()) / 1e6
        self.hold_timer: asyncio.TimerHandle | None = None
        self.counted_bytes = 0  # of the memory for streams
        self.unsent_bytes = 0  # in the client's write buffer, while it does not read
        self.recent_bytes = 0  # written since the write buffer was last empty

    def acquire_memory(self) -> bool:
        """Count what a stream needs; return False if there is no room for one more."""
        if self.client.clients.stream_memory.lacks(STREAM_BYTES):
            return False
        self._count(STREAM_BYTES)
        return True

    def _count(self, size: int) -> None:
        counted_before, self.counted_bytes = self.counted_bytes, size
        self.client.clients.stream_memory.change(counted_before, size)

    def count_unsent(self, unsent_bytes: int) -> None:
        """Count what the client leaves unread, beyond what is counted for each stream.

        A chunk of which a part has been sent is held as a whole.
        """
        self.unsent_bytes = self.recent_bytes if unsent_bytes else 0
        self._count(max(STREAM_BYTES, self.unsent_bytes))

    @property
    def reserved_unused_bytes(self) -> int:
        """Bytes that are counted for this stream and not held."""
        unused = max(0, self.counted_bytes - self.unsent_bytes)
        return unused + self.slot.reserved_unused_bytes()

    def may_begin(self) -> bool:
        """Return whether its bytes may be written now that all answers before it have been written.

        If others stand behind it, it is held back from now on.
        """
        if self.stage is Stage.WAITING:
            if self.client.has_nothing_behind(self.slot):
                self.stage = Stage.PASSED_ON
            else:
                self._hold()
        return self.stage is Stage.PASSED_ON

    def _hold(self) -> None:
        """Hold the value back from now on, or once there is room for all of it."""
        if self.hold_timer is None:
            delay = self.seconds_left + HOLD_GRACE
            self.hold_timer = self.driver.loop.call_later(delay, self._hold_timed_out)
        if self.slot.reserve(self.length):
            self.stage = Stage.HELD
            self.driver.stats["stream_held"] += 1
            self.source.resume()

    def _hold_timed_out(self) -> None:
        self._give_up("stream_held_too_long" if self.stage is Stage.HELD else "failed_no_room")

    def give_up(self) -> None:
        """Answer the request as failed, unless a part of the value has been written."""
        if self.stage is not Stage.PASSED_ON:
            self._give_up("failed_ending")

    def _give_up(self, counter: str) -> None:
        """Answer the request as failed, and let go of the source; nothing of the value has been written."""
        self.driver.stats[counter] += 1
        self.abort()
        self.slot.stream_failed()

    def set_client_reads(self, client_reads: bool) -> None:
        """Pause or resume the source, as the client's write buffer is full or has drained."""
        if self.stage is Stage.PASSED_ON:
            (self.source.resume if client_reads else self.source.pause)()

    def write(self, data: bytes) -> None:
        """Take the next chunk."""
        if self.stage is Stage.PASSED_ON:
            self.recent_bytes = len(data) + (self.recent_bytes if self.client.output.stalled_since else 0)
            self.client.write(data)
            return
        self.slot.add(data)
        if self.stage is Stage.WAITING:
            self.source.pause()
            if self.slot.lacks_memory():
                self._give_up("failed_no_room")

    def end(self) -> None:
        """Complete the value."""
        if self.stage is Stage.PASSED_ON:
            self.client.write(CRLF)
        else:
            self.slot.add(CRLF)
        self._detach()
        self.client.flush()

    def fail(self) -> None:
        """Abort the value so that the client cannot mistake the part it has for the whole."""
        is_wanted = self.slot.stream is self
        self._detach()
        if is_wanted and not self.client.is_write_closed():
            self.driver.stats["stream_broken"] += 1
            self.slot.stream_failed()

    def abort(self) -> None:
        """Let go of the source, as its value is not wanted any more."""
        self._detach()
        self.source.abort()

    def _detach(self) -> None:
        self.slot.stream = None
        self._count(0)
        if self.hold_timer:
            self.hold_timer.cancel()
