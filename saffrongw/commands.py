"""Executes a client's commands: answers PING, and passes requests on or refuses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .calls import Body, Terms
from .memory import REQUEST_OVERHEAD_BYTES
from .request_log import CloseReason
from .requests import MalformedRequest, parse
from .resp import VALUE_BYTES_MAX, LargeValue
from .response_slots import Slot
from .uploads import Upload

if TYPE_CHECKING:
    from .client import Client


class CommandExecutor:
    """Executes the commands of one client connection, in their order."""

    def __init__(self, client: Client) -> None:
        self.client, self.clients = client, client.clients

    def execute(self, command: object) -> None:
        """Execute a command, or begin to receive its large body."""
        if isinstance(command, list) and command and isinstance(command[-1], LargeValue):
            self._begin_upload(command, command[-1])
        else:
            self._handle_command(command)

    def _begin_upload(self, command: list[object], large: LargeValue) -> None:
        """Handle a command whose large body has begun: check it and reserve memory for the body."""
        upload = self.client.upload = Upload(large, self.clients.driver.loop.time())
        try:
            if not all(isinstance(value, bytes) for value in command[:-1]) or command[0] != b"CALL.POST":
                raise MalformedRequest("unknown command")
            upload.terms, parts = parse(command, self.clients.config)
        except MalformedRequest as error:
            self.clients.driver.stats["client_malformed"] += 1
            return self.client.reply(b"-ERR %b\r\n" % str(error).encode())
        upload.parts = parts[:-1]
        if not self.clients.upload_memory.acquire(self.client, large.length):
            self.clients.driver.stats["upload_waited"] += 1
            upload.has_memory = False
            self.client.waiting_since = 0.0  # the command timeout does not run while the gateway lacks memory
        return None

    def receive_upload(self) -> bool:
        """Take new chunks of a large body; once it is complete, accept its request and return True."""
        upload = self.client.upload
        for chunk in upload.large.take_chunks():
            upload.add(chunk)
        if self.client.reader.streaming is upload.large:
            return False
        self.client.upload = None
        if upload.terms:
            self._accept_request(upload.terms, (*upload.parts, tuple(upload.chunks)), upload.large.length)
        return True

    def _handle_command(self, command: object) -> None:
        if not isinstance(command, list) or not command or not all(isinstance(v, bytes) for v in command):
            return self.client.reply(b"-ERR a command is an array of bulk strings\r\n")
        if max(map(len, command)) > VALUE_BYTES_MAX:
            return self.client.reply(b"-ERR a value is too long\r\n")
        if command[0] in (b"CALL.GET", b"CALL.POST"):
            return self._handle_request(command)
        if command[0].upper() == b"PING" and len(command) == 1:
            why_not = self.clients.driver.readiness.address_not_ready_reason
            return self.client.reply(b"-ERR %b\r\n" % why_not.encode() if why_not else b"+PONG\r\n")
        return self.client.reply(b"-ERR unknown command\r\n")

    def _handle_request(self, command: list[bytes]) -> None:
        try:
            terms, parts = parse(command, self.clients.config)
        except MalformedRequest as error:
            self.clients.driver.stats["client_malformed"] += 1
            return self.client.reply(b"-ERR %b\r\n" % str(error).encode())
        return self._accept_request(terms, parts)

    def _accept_request(self, terms: Terms, parts: tuple[bytes | Body, ...], body_bytes: int = 0) -> None:
        """Pass a complete request on or refuse it; its body holds ``body_bytes`` of upload memory."""
        # A connection accepted beyond the limit is closed if the limit is still exceeded, to free its
        # descriptor. BUSY says that the request was not executed; it may be retried after 1000 ms.
        if self.client.is_surplus and len(self.clients.open) > self.clients.max_connections:
            self.client.end_after_replies(CloseReason.CROWDED)
            self.clients.driver.stats["refused_crowded"] += 1
            return self.client.reply(b"-BUSY 1000\r\n", body_bytes)
        if self.clients.drain.refusing_requests:
            self.clients.driver.stats["refused_leaving"] += 1
            return self.client.reply(b"-BUSY\r\n", body_bytes)
        request_bytes = REQUEST_OVERHEAD_BYTES + sum(len(part) for part in parts if isinstance(part, bytes))
        if self.clients.request_memory.lacks(request_bytes):
            self.clients.driver.stats["refused_no_room"] += 1
            return self.client.reply(b"-BUSY\r\n", body_bytes)
        self.clients.mark_used(self.client)
        slot = Slot(self.client)
        slot.count_request(request_bytes, body_bytes)
        self.client.slots.append(slot)
        slot.call = self.clients.driver.accept_request(terms, parts, slot.answer, slot)
        return None
