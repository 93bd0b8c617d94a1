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
        self.stage = Stage.HELD
        self.driver.stats["stream_held"] += 1
        if not self.slot.reserve(self.length):
            self._give_up("failed_no_room")
            return
        delay = self.seconds_left + HOLD_GRACE
        self.hold_timer = self.driver.loop.call_later(delay, self._give_up, "stream_held_too_long")
        self.source.resume()

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
        if self.hold_timer:
            self.hold_timer.cancel()
