"""Executes a client's commands: answers PING, and passes requests on or refuses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .calls import Body, Terms
from .memory import REQUEST_OVERHEAD_BYTES
from .request_log import CloseReason
from .requests import MalformedRequest, parse
from .resp import VALUE_BYTES_MAX, LargeValue
from .response_slots import Slot
from .uploads import MICROSECONDS, Grant, Upload

if TYPE_CHECKING:
    from .client import Client
    from .clients import Clients


class CommandExecutor:
    """Executes the commands of all client connections, those of each one in their order."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients

    def execute(self, client: Client, command: object) -> None:
        """Execute a command, or begin to receive its large body."""
        if isinstance(command, list) and command and isinstance(command[-1], LargeValue):
            self._begin_upload(client, command, command[-1])
        else:
            self._handle_command(client, command)

    def _begin_upload(self, client: Client, command: list[object], large: LargeValue) -> None:
        """Handle a command whose large body has begun: check it and reserve memory for the body."""
        upload = client.upload = Upload(large, self.clients.driver.loop.time())
        try:
            if not all(isinstance(value, bytes) for value in command[:-1]) or command[0] != b"CALL.POST":
                raise MalformedRequest("unknown command")
            upload.terms, parts = parse(command, self.clients.config)
        except MalformedRequest as error:
            self.clients.driver.stats["client_malformed"] += 1
            return client.reply(b"-ERR %b\r\n" % str(error).encode())
        upload.parts = parts[:-1]
        grant = self.clients.upload_memory.acquire(client, large.length)
        if grant is Grant.NEVER:
            upload.discard()
            self.clients.driver.stats["refused_no_room"] += 1
            return client.reply(b"-BUSY\r\n")
        if grant is Grant.LATER:
            self.clients.driver.stats["upload_waited"] += 1
            upload.has_memory = False
            client.waiting_since = 0.0  # the command timeout does not run while the gateway lacks memory
        return None

    def receive_upload(self, client: Client) -> bool:
        """Take new chunks of a large body; once it is complete, accept its request and return True."""
        upload = client.upload
        for chunk in upload.large.take_chunks():
            upload.add(chunk)
        if client.reader.streaming is upload.large:
            return False
        client.upload = None
        if upload.terms:
            parts = (*upload.parts, tuple(upload.chunks))
            self._accept_request(client, upload.terms, parts, upload.large.length)
        return True

    def _handle_command(self, client: Client, command: object) -> None:
        if not isinstance(command, list) or not command or not all(isinstance(v, bytes) for v in command):
            return client.reply(b"-ERR a command is an array of bulk strings\r\n")
        if max(map(len, command)) > VALUE_BYTES_MAX:
            return client.reply(b"-ERR a value is too long\r\n")
        if command[0] in (b"CALL.GET", b"CALL.POST"):
            return self._handle_request(client, command)
        if command[0].upper() == b"PING" and len(command) == 1:
            why_not = self.clients.driver.readiness.address_not_ready_reason
            return client.reply(b"-ERR %b\r\n" % why_not.encode() if why_not else b"+PONG\r\n")
        return client.reply(b"-ERR unknown command\r\n")

    def _handle_request(self, client: Client, command: list[bytes]) -> None:
        try:
            terms, parts = parse(command, self.clients.config)
        except MalformedRequest as error:
            self.clients.driver.stats["client_malformed"] += 1
            return client.reply(b"-ERR %b\r\n" % str(error).encode())
        return self._accept_request(client, terms, parts)

    def _accept_request(
        self, client: Client, terms: Terms, parts: tuple[bytes | Body, ...], body_bytes: int = 0
    ) -> None:
        """Pass a complete request on or refuse it; its body holds ``body_bytes`` of upload memory."""
        # A connection accepted beyond the limit is closed if the limit is still exceeded, to free its
        # descriptor. BUSY says that the request was not executed; it may be retried after 1000 ms.
        if client.is_surplus and len(self.clients.open) > self.clients.max_connections:
            client.end_when_idle(CloseReason.CROWDED)
            self.clients.driver.stats["refused_crowded"] += 1
            return client.reply(b"-BUSY 1000\r\n", body_bytes)
        if self.clients.drain.refusing_requests:
            self.clients.driver.stats["refused_leaving"] += 1
            client.reply(b"-BUSY\r\n", body_bytes)
            if self.clients.drain.ending_blockers:
                client.end_blockers()
            return None
        request_bytes = REQUEST_OVERHEAD_BYTES + sum(len(part) for part in parts if isinstance(part, bytes))
        if self.clients.request_memory.lacks(request_bytes):
            self.clients.driver.stats["refused_no_room"] += 1
            return client.reply(b"-BUSY\r\n", body_bytes)
        waited = int(client.seconds_waited() * MICROSECONDS)
        if waited >= terms.timeout:
            self.clients.driver.stats["refused_spent"] += 1
            return client.reply(b"-BUSY\r\n", body_bytes)
        self.clients.mark_used(client)
        slot = Slot(client)
        slot.count_request(request_bytes, body_bytes)
        client.slots.append(slot)
        slot.call = self.clients.driver.accept_request(terms, parts, slot.answer, slot, waited)
        return None
