"""The place of one command's answer on its connection: answers go out in the order of the commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .calls import Call, Source
from .driver import FAILED_REPLY
from .resp import CRLF

if TYPE_CHECKING:
    from .client import Client


class Slot:
    """The place of one command's answer on its connection."""

    __slots__ = ("begun", "body_bytes", "call", "client", "reply", "source")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.reply: bytes | None = None  # what can be written of the answer, and has not been
        self.call: Call | None = None
        self.body_bytes = 0  # bytes of its body that are kept
        self.source: Source | None = None  # where the rest of a large answer comes from
        self.begun = False  # its turn has come, and its first bytes are written

    def answer(self, reply: bytes) -> None:
        """The answer is known; it is written once those before it are."""
        self.reply = reply
        self.release_body()
        self.client.flush()

    def release_body(self) -> None:
        """Its body is not needed any more."""
        body_bytes, self.body_bytes = self.body_bytes, 0
        self.client.clients.upload_memory.release(body_bytes)

    # -- a large answer

    def begin(self, length: int, source: Source) -> None:
        """So many bytes will come; where its turn has not, they wait at the host."""
        self.source = source
        self.answer(b"$%d\r\n" % length)

    def write(self, data: bytes) -> None:
        """Some of them."""
        if self.begun:
            self.client.write(data)
        else:
            self.reply += data
            self.source.pause()

    def end(self) -> None:
        """They were all."""
        self.write(CRLF)
        self.source = None
        self.client.flush()

    def is_client_gone(self) -> bool:
        """Whether the client has closed: its end may wait in the socket."""
        return self.client.transport.is_closing() or self.client.client_has_closed()

    def fail(self) -> None:
        """The rest will never come: the client must not take what there is for an answer."""
        self.source = None
        if self.client.is_write_closed():
            return
        self.client.clients.driver.stats["stream_broken"] += 1
        if self.begun:
            self.client.half_close()
        else:  # nothing of it was written: those that are answered before it keep their connection
            self.answer(FAILED_REPLY)
