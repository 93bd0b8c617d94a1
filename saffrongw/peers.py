"""Datagrams between gateways. The sender is identified by its source address, except by ``address_book``."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Iterable
from typing import TYPE_CHECKING

from orchidlane import messages

from .config import Address
from .driver import Driver

if TYPE_CHECKING:
    from .members import Members

# Leading bytes of messages, repeated here because ``member_messages`` and ``address_book`` are loaded only
# where ``cluster`` is configured.
MEMBERSHIP_FORMAT = 3
ADDRESS_MESSAGE_VERSION = 2  # second byte of the messages of ``address_book``, which have the same format


class Peers(asyncio.DatagramProtocol):
    """The UDP socket at ``peer_listen``."""

    def __init__(self, driver: Driver, addresses: Iterable[Address], own_rank: int) -> None:
        """``addresses`` are in the order of the ranks; empty if they are discovered, see ``set_address``."""
        self.driver, self.addresses = driver, dict(enumerate(addresses))
        self.ranks = {address: rank for rank, address in self.addresses.items() if rank != own_rank}
        self.transport: asyncio.DatagramTransport | None = None
        self.members: Members | None = None

    async def listen(self, endpoint: Address | socket.socket) -> None:
        """Open the endpoint at an address, or on the socket of the predecessor."""
        loop = self.driver.loop
        if isinstance(endpoint, socket.socket):
            await loop.create_datagram_endpoint(lambda: self, sock=endpoint)
        else:  # reuse_port, as a process that hangs may still hold the port
            await loop.create_datagram_endpoint(lambda: self, local_addr=endpoint, reuse_port=True)

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self.transport.get_extra_info("socket").fileno()

    def detach_socket(self) -> socket.socket:
        """Stop reading and return a duplicate of the socket, which only one process may read at a time.

        Datagrams that arrive meanwhile stay in its buffer. The successor joins membership as a new process.
        """
        if self.members:
            self.members.stop()
        duplicate = socket.socket(fileno=os.dup(self.fileno()))
        self.transport.close()
        return duplicate

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Enable sending to peers, and start membership, now that the socket is bound."""
        self.transport = transport
        self.driver.send_to_peer = self.send_to_rank
        if self.members:
            self.members.start()

    def datagram_received(self, body: bytes, source: Address) -> None:
        """Dispatch a datagram.

        Those of an invalid length are dropped. Only address messages are accepted from unknown addresses.
        """
        rank = self.ranks.get(source)
        if not 0 < len(body) <= messages.MESSAGE_BYTES_MAX:
            return
        if self.members and body[:2] == bytes((MEMBERSHIP_FORMAT, ADDRESS_MESSAGE_VERSION)):
            self.members.receive_address_message(source, body)
        elif rank is not None:
            if body[0] != MEMBERSHIP_FORMAT:
                self.driver.peer_message_received(rank, body)
            elif self.members:
                self.members.receive(rank, body)

    def error_received(self, error: Exception) -> None:
        """Ignore errors of earlier datagrams: a peer may be down, and any datagram may be lost."""

    def send_to_rank(self, rank: int, body: bytes) -> None:
        """Send to a gateway if its address is known."""
        if address := self.addresses.get(rank):
            self.send(address, body)

    def send(self, address: Address, body: bytes) -> None:
        """Send a datagram to an address."""
        if len(body) <= messages.MESSAGE_BYTES_MAX and not self.transport.is_closing():
            self.transport.sendto(body, address)

    def set_address(self, rank: int, address: Address) -> None:
        """Bind a gateway to an address; another gateway that was bound to it is left without an address."""
        previous = self.addresses.get(rank)
        if self.ranks.get(previous) == rank:
            del self.ranks[previous]
        if (displaced := self.ranks.get(address)) is not None:
            del self.addresses[displaced]
        self.addresses[rank], self.ranks[address] = address, rank
