"""Relays with fault injection per direction of a link: datagrams between gateways, TCP to the list service.

Gateways identify each other by source address. With configured addresses there is one socket for each
directed pair: A sends to B by the socket (A, B), and B receives it from the socket (B, A), to which it sends
its own messages for A. Where gateways learn addresses from each other, one shared socket represents B to all
of them: the sender is identified by its source address, and B receives the message from the socket of that
sender.
"""

from __future__ import annotations

import asyncio
import functools
import random
import socket
import zlib
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field

from .schedule import Link, PlannedFault

Address = tuple[str, int]
DATAGRAM_SIZE_MAX = 2_048  # bytes; longer datagrams are truncated
READ_SIZE = 65_536  # bytes of a TCP read
READS_PER_WAKEUP_MAX = 64  # datagrams read from one socket before other sockets are served
CUT_POLL_INTERVAL = 0.02  # seconds between checks whether a cut TCP link has recovered


@dataclass(slots=True)
class Direction:
    """One direction of a link with its active faults."""

    random_source: random.Random
    faults: list[PlannedFault] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    next_send: float = 0.0  # when a throttled link may send again (event loop time)

    def is_cut(self) -> bool:
        """Return whether an active fault drops all traffic."""
        return any(fault.what == "cut" for fault in self.faults)

    def apply_faults(self, data: bytes, now: float) -> list[tuple[float, bytes]]:
        """Apply the active faults to a datagram; return the copies to send, each with its delay (s)."""
        self.counters["came"] += 1
        copies, delay = 1, 0.0
        for fault in self.faults:
            match fault.what:
                case "cut":
                    self.counters["cut"] += 1
                    return []
                case "loss" if self.random_source.random() < fault.amount:
                    self.counters["lost"] += 1
                    return []
                case "delay":
                    delay += fault.by
                case "reorder":
                    delay += self.random_source.random() * fault.by
                case "double":
                    copies += self.random_source.random() < fault.amount
                case "garble" if self.random_source.random() < fault.amount:
                    self.counters["garbled"] += 1
                    position = self.random_source.randrange(max(1, len(data)))
                    data = (
                        data[:position]
                        + bytes((data[position] ^ (1 + self.random_source.randrange(255)),))
                        + data[position + 1 :]
                    )
                case "throttle":
                    self.next_send = max(self.next_send, now) + 1 / max(0.1, fault.amount)
                    delay += self.next_send - now
        self.counters["passed"] += copies
        return [(delay, data)] * copies


class Links:
    """All directed links, by the names of sender and receiver."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.directions: dict[Link, Direction] = {}

    def direction(self, link: Link) -> Direction:
        """Return one direction, created on first use."""
        if link not in self.directions:
            link_seed = zlib.crc32(f"{self.seed} {link[0]}>{link[1]}".encode())
            self.directions[link] = Direction(random.Random(link_seed))
        return self.directions[link]

    def start_fault(self, fault: PlannedFault) -> None:
        """Apply the fault to its links."""
        for link in fault.links:
            self.direction(link).faults.append(fault)

    def end_fault(self, fault: PlannedFault) -> None:
        """Remove the fault from its links."""
        for link in fault.links:
            with suppress(ValueError):
                self.direction(link).faults.remove(fault)

    def counters(self) -> dict[str, dict[str, int]]:
        """Return counts of datagrams (for TCP: of reads) and of what became of them, by direction."""
        return {
            f"{sender}>{receiver}": dict(direction.counters)
            for (sender, receiver), direction in self.directions.items()
        }


class DatagramRelay:
    """Relays the datagrams between gateways through sockets on loopback."""

    def __init__(self, links: Links, peers: dict[str, Address], shared: bool = False) -> None:
        """Open the sockets; ``peers`` has each gateway's own peer address.

        With ``shared`` there is one socket for each gateway, otherwise one for each directed pair.
        """
        self.links = links
        self.peers = peers
        self.loop = asyncio.get_running_loop()
        self.shared = shared
        self.names_by_address = {address: name for name, address in peers.items()}
        self.sockets: dict[Link, socket.socket] = {}
        for link in (
            [("", name) for name in peers] if shared else [(a, b) for a in peers for b in peers if a != b]
        ):
            self._open_socket(link)

    def _open_socket(self, link: Link) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        self.sockets[link] = sock
        self.loop.add_reader(sock.fileno(), self._on_readable, link, sock)

    def move(self, name: str, peer: Address) -> None:
        """Give a gateway a new peer address and a new relay socket. For shared sockets only.

        Datagrams to its former relay address are lost.
        """
        self._close_socket(self.sockets.pop(("", name)))
        self.names_by_address.pop(self.peers[name])
        self.peers[name], self.names_by_address[peer] = peer, name
        self._open_socket(("", name))

    def _close_socket(self, sock: socket.socket) -> None:
        self.loop.remove_reader(sock.fileno())
        sock.close()

    def _relay_socket(self, link: Link) -> socket.socket | None:
        return self.sockets.get(("", link[1]) if self.shared else link)

    def address(self, link: Link) -> Address:
        """Return the address to which the sender of this link sends datagrams for its receiver."""
        sock = self._relay_socket(link)
        assert sock is not None
        address: Address = sock.getsockname()
        return address

    def _on_readable(self, link: Link, sock: socket.socket) -> None:
        for _ in range(READS_PER_WAKEUP_MAX):
            try:
                data, source = sock.recvfrom(DATAGRAM_SIZE_MAX)
            except OSError:  # nothing to read, or the last datagram sent was refused
                return
            if self.shared:
                link = self.names_by_address.get(source, ""), link[1]
            direction = self.links.direction(link)
            if source != self.peers.get(link[0]) or link[0] == link[1]:
                direction.counters["foreign"] += 1
                continue
            for delay, copy in direction.apply_faults(data, self.loop.time()):
                if delay > 0:
                    self.loop.call_later(delay, self._send, link, copy)
                else:
                    self._send(link, copy)

    def _send(self, link: Link, data: bytes) -> None:
        sender, receiver = link
        relay_socket = self._relay_socket((receiver, sender))
        if relay_socket is not None:
            with suppress(OSError):  # no process listens there now: lost, as on a real network
                relay_socket.sendto(data, self.peers[receiver])

    def close(self) -> None:
        """Close all sockets."""
        sockets, self.sockets = self.sockets, {}
        for sock in sockets.values():
            self._close_socket(sock)


class StreamRelay:
    """Relays one client's TCP connections to a service.

    While the link is cut, data waits instead of being dropped, as TCP would retransmit it when the network
    recovers.
    """

    def __init__(self, links: Links, client: str, service: str, target: Address) -> None:
        self.links = links
        self.client = client
        self.service = service
        self.target = target
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.address: Address = ("127.0.0.1", 0)

    async def listen(self) -> StreamRelay:
        """Start to relay, and store the assigned address in ``address``."""
        self.server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            service_reader, service_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        links = (self.client, self.service), (self.service, self.client)
        directions = (reader, service_writer, links[0]), (service_reader, writer, links[1])
        tasks = [asyncio.get_running_loop().create_task(self._copy(*direction)) for direction in directions]
        self.tasks.update(tasks)
        close_writers = functools.partial(self._close_writers, (writer, service_writer))
        for task in tasks:
            task.add_done_callback(self.tasks.discard)
            task.add_done_callback(close_writers)

    def _close_writers(self, writers: Iterable[asyncio.StreamWriter], task: asyncio.Task[None]) -> None:
        for writer in writers:
            writer.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        direction = self.links.direction(link)
        with suppress(OSError):
            while data := await reader.read(READ_SIZE):
                direction.counters["came"] += 1
                while direction.is_cut():
                    await asyncio.sleep(CUT_POLL_INTERVAL)
                delay = sum(fault.by for fault in direction.faults if fault.what in ("delay", "reorder"))
                if delay:
                    await asyncio.sleep(delay)
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """Stop listening, and close the relayed connections."""
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
