"""Response slots of a client connection: responses are written in the order of the commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .calls import Call, Source
from .driver import FAILED_REPLY
from .streamed_reply import StreamedReply

if TYPE_CHECKING:
    from .client import Client


class Slot:
    """Position of one command's response in a connection's pipeline."""

    __slots__ = ("begun", "body_bytes", "call", "client", "held_bytes", "pieces", "request_bytes", "stream")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.pieces: list[bytes] = []  # of the response, which are ready but not yet written
        self.held_bytes = 0  # of them, as counted
        self.call: Call | None = None
        self.request_bytes = 0  # of the request, as counted, besides a large body
        self.body_bytes = 0  # upload memory that the request's large body occupies
        self.stream: StreamedReply | None = None  # a large value that is not complete
        self.begun = False  # the first bytes of the response have been written

    def answer(self, reply: bytes) -> None:
        """Set the response; it is written once all responses before it have been written.

        One that has to wait is replaced by an error if too many bytes wait on all connections.
        """
        self.pieces = [reply]
        self.release_request()
        self.client.flush()
        if not (self.begun or self.stream or self.client.is_write_closed()):
            self._count_held_bytes()
            self._drop_reply_without_memory()

    @property
    def is_complete(self) -> bool:
        """Whether the whole response is ready."""
        return bool(self.pieces) and self.stream is None

    def give_up(self) -> None:
        """Answer the request now if it has no whole answer, as others behind it have to be answered."""
        if self.stream:
            self.stream.give_up()
        elif self.call and not self.is_complete:
            self.client.clients.driver.give_up(self.call)

    def may_begin(self) -> bool:
        """Return whether the response may be written, once it is the first one of its connection."""
        return bool(self.pieces) and (self.stream is None or self.stream.may_begin())

    def begin_writing(self) -> None:
        """Write the bytes that are ready, even if the client does not read them."""
        if self.client.output.stalled_since:
            self._drop_reply_without_memory()
        self.begun = True
        self._release_reply()
        pieces, self.pieces = self.pieces, []
        for piece in pieces:
            self.client.write(piece)

    def _drop_reply_without_memory(self) -> None:
        if not self.stream and self.lacks_memory():
            self.pieces = [FAILED_REPLY]
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
        self._count(0)

    def _count_held_bytes(self) -> None:
        self._count(self._ready_bytes())

    def _count(self, held_bytes: int) -> None:
        held_before, self.held_bytes = self.held_bytes, held_bytes
        self.client.clients.waiting_replies.change(held_before, held_bytes)

    def _ready_bytes(self) -> int:
        return sum(map(len, self.pieces))

    def lacks_memory(self) -> bool:
        """Return whether too many bytes wait on all connections for this response to wait, too."""
        return self.client.clients.waiting_replies.is_exceeded and self._ready_bytes() > len(FAILED_REPLY)

    # -- streamed responses

    def begin(self, length: int, source: Source) -> StreamedReply | None:
        """Start a streamed response; return what takes its chunks, or None if there is no room for it."""
        stream = StreamedReply(self, length, source)
        if not stream.acquire_memory():
            self.client.clients.driver.stats["failed_no_room"] += 1
            self.answer(FAILED_REPLY)
            return None
        self.stream = stream
        self.answer(b"$%d\r\n" % length)
        return self.stream

    def reserve(self, size: int) -> bool:
        """Count so many bytes, as they will be held; return False if there is no room for them."""
        if self.client.clients.waiting_replies.lacks(size - self.held_bytes):
            return False
        self._count(size)
        return True

    def reserved_unused_bytes(self) -> int:
        """Return how many bytes are counted and not held yet."""
        return max(0, self.held_bytes - self._ready_bytes())

    def add(self, data: bytes) -> None:
        """Keep a chunk of a streamed response that may not be written yet."""
        self.pieces.append(data)
        self._count(max(self.held_bytes, self._ready_bytes()))

    def is_client_gone(self) -> bool:
        """Return whether the client has closed, even if its FIN is still unread in the socket."""
        return self.client.transport.is_closing() or self.client.client_has_closed()

    def stream_failed(self) -> None:
        """Answer a streamed response that broke off, or end the connection if it has been begun."""
        if self.begun:
            self.client.half_close()
        else:  # nothing was written yet: an error response keeps the connection open for the other slots
            self.answer(FAILED_REPLY)
