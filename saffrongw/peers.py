"""Datagrams between gateways: who sent one is told by its source address alone."""

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

MEMBERS_FORMAT = 3  # the first byte of membership's kind of message
PLACES_VERSION = 2  # and the second of those that say where members are


class Peers(asyncio.DatagramProtocol):
    """The UDP socket at ``peer_listen``."""

    def __init__(self, driver: Driver, addresses: Iterable[Address], own: int) -> None:
        """``addresses`` by rank; empty where they are to be learnt, see ``move``."""
        self.driver, self.addresses = driver, dict(enumerate(addresses))
        self.ranks = {address: rank for rank, address in self.addresses.items() if rank != own}
        self.transport: asyncio.DatagramTransport | None = None
        self.members: Members | None = None

    async def listen(self, at: Address | socket.socket) -> None:
        """Hear and tell from now on, at an address or on a socket that another process had before."""
        loop = self.driver.loop
        if isinstance(at, socket.socket):
            await loop.create_datagram_endpoint(lambda: self, sock=at)
        else:  # shared: a process that hangs may still hold it
            await loop.create_datagram_endpoint(lambda: self, local_addr=at, reuse_port=True)

    def fileno(self) -> int:
        """The socket's descriptor."""
        return self.transport.get_extra_info("socket").fileno()

    def detach_socket(self) -> socket.socket:
        """Read no more: the socket has one reader at a time. What comes meanwhile waits in it. Who takes over
        is a member of its own."""
        if self.members:
            self.members.stop()
        kept = socket.socket(fileno=os.dup(self.fileno()))
        self.transport.close()
        return kept

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """The socket is bound."""
        self.transport = transport
        self.driver.send_to_peer = self.tell
        if self.members:
            self.members.start()

    def datagram_received(self, body: bytes, source: Address) -> None:
        """What a stranger sends, or what is too long to be ours, is dropped."""
        rank = self.ranks.get(source)
        if not 0 < len(body) <= messages.MESSAGE_BYTES_MAX:
            return
        if self.members and body[:2] == bytes((MEMBERS_FORMAT, PLACES_VERSION)):
            self.members.greeted(source, body)
        elif rank is not None:
            if body[0] != MEMBERS_FORMAT:
                self.driver.peer_message_received(rank, body)
            elif self.members:
                self.members.heard(rank, body)

    def error_received(self, error: Exception) -> None:
        """A peer that is down shows as an error of an earlier datagram: it may be lost, like any other."""

    def tell(self, rank: int, body: bytes) -> None:
        """Send to one gateway, if it is known where it is."""
        if address := self.addresses.get(rank):
            self.send(address, body)

    def send(self, address: Address, body: bytes) -> None:
        """Send to an address."""
        if len(body) <= messages.MESSAGE_BYTES_MAX and not self.transport.is_closing():
            self.transport.sendto(body, address)

    def move(self, rank: int, address: Address) -> None:
        """From now on a gateway is at this address, and nobody else."""
        former = self.addresses.get(rank)
        if self.ranks.get(former) == rank:
            del self.ranks[former]
        if (other := self.ranks.get(address)) is not None:
            del self.addresses[other]
        self.addresses[rank], self.ranks[address] = address, rank
