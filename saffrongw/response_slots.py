"""Response slots of a client connection: responses are written in the order of the commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .calls import Call, Source
from .driver import FAILED_REPLY
from .resp import CRLF

if TYPE_CHECKING:
    from .client import Client


class Slot:
    """Position of one command's response in a connection's pipeline."""

    __slots__ = ("begun", "body_bytes", "call", "client", "held_bytes", "reply", "request_bytes", "source")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.reply: bytes | None = None  # bytes of the response that are ready but not yet written
        self.held_bytes = 0  # of them, as counted
        self.call: Call | None = None
        self.request_bytes = 0  # of the request, as counted, besides a large body
        self.body_bytes = 0  # upload memory that the request's large body occupies
        self.source: Source | None = None  # host connection that still delivers a streamed response
        self.begun = False  # the first bytes of the response have been written

    def answer(self, reply: bytes) -> None:
        """Set the response; it is written once all responses before it have been written.

        One that has to wait is replaced by an error if too many bytes wait on all connections.
        """
        self.reply = reply
        self.release_request()
        self.client.flush()
        if not self.begun and not self.client.is_write_closed():
            self._count_held_bytes()
            self._drop_reply_without_memory()

    def begin_writing(self) -> bytes:
        """Return the bytes that are ready, which are written now, even if the client does not read them."""
        if self.client.stalled_since:
            self._drop_reply_without_memory()
        self.begun = True
        self._release_reply()
        return self.reply

    def _drop_reply_without_memory(self) -> None:
        if not self.source and self._lacks_memory():
            self.reply = FAILED_REPLY
            self._count_held_bytes()
            self.client.clients.driver.stats["failed_no_room"] += 1

    def count_request(self, request_bytes: int, body_bytes: int) -> None:
        """Count the memory that a request holds until it is answered."""
        self.request_bytes, self.body_bytes = request_bytes, body_bytes
        self.client.clients.request_memory.change(0, request_bytes)

    def release_request(self) -> None:
        """Release the memory of the request and of its body."""
        request_bytes, self.request_bytes = self.request_bytes, 0
        self.client.clients.request_memory.change(request_bytes, 0)
        body_bytes, self.body_bytes = self.body_bytes, 0
        self.client.clients.upload_memory.release(body_bytes)

    def release_memory(self) -> None:
        """Stop counting what is held for the request, as its connection has been closed."""
        self.release_request()
        self._release_reply()

    def _release_reply(self) -> None:
        self.client.clients.waiting_replies.change(self.held_bytes, 0)
        self.held_bytes = 0

    def _count_held_bytes(self) -> None:
        held_before, self.held_bytes = self.held_bytes, len(self.reply)
        self.client.clients.waiting_replies.change(held_before, self.held_bytes)

    def _lacks_memory(self) -> bool:
        return self.client.clients.waiting_replies.is_exceeded and len(self.reply) > len(FAILED_REPLY)

    # -- streamed responses

    def begin(self, length: int, source: Source) -> None:
        """Start a streamed response; the source is paused until this slot is first in the pipeline."""
        self.source = source
        self.answer(b"$%d\r\n" % length)

    def write(self, data: bytes) -> None:
        """Write a chunk, or buffer it and pause the source while earlier responses are pending."""
        if self.begun:
            self.client.write(data)
            return
        self.reply += data
        self._count_held_bytes()
        self.source.pause()
        if self._lacks_memory():
            self.client.clients.driver.stats["failed_no_room"] += 1
            self.source.abort()  # calls ``fail``

    def end(self) -> None:
        """Complete a streamed response."""
        self.write(CRLF)
        self.source = None
        self.client.flush()

    def is_client_gone(self) -> bool:
        """Return whether the client has closed, even if its FIN is still unread in the socket."""
        return self.client.transport.is_closing() or self.client.client_has_closed()

    def fail(self) -> None:
        """Abort a streamed response so that the client cannot mistake the part it has for the whole."""
        self.source = None
        if self.client.is_write_closed():
            return
        self.client.clients.driver.stats["stream_broken"] += 1
        if self.begun:
            self.client.half_close()
        else:  # nothing was written yet: an error response keeps the connection open for the other slots
            self.answer(FAILED_REPLY)
