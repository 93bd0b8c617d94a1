"""Links that faults can be done to, each direction alone: datagrams of gateways, TCP to the list service.

A gateway knows another by its source address. So for each directed pair there is one socket: what A sends to
B goes to the socket (A, B), and B gets it from the socket (B, A), the one that B sends to for A. Where
gateways learn addresses from each other one socket stands for B before all of them: who sent what comes there
is told by its source, and B gets it from the socket that stands for that one.
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
SIZE_MOST = 2_048  # bytes of a datagram that is read whole
PIECE = 65_536  # bytes of a TCP read
READS = 64  # datagrams of one socket in a row


@dataclass(slots=True)
class Direction:
    """One direction of a link and the faults that it is under."""

    draw: random.Random
    faults: list[PlannedFault] = field(default_factory=list)
    seen: Counter[str] = field(default_factory=Counter)
    due: float = 0.0  # when a throttled link is free again

    def is_cut(self) -> bool:
        """Whether nothing passes."""
        return any(fault.what == "cut" for fault in self.faults)

    def passes(self, data: bytes, now: float) -> list[tuple[float, bytes]]:
        """What becomes of a datagram: copies with the seconds that each is late."""
        self.seen["came"] += 1
        copies, late = 1, 0.0
        for fault in self.faults:
            match fault.what:
                case "cut":
                    self.seen["cut"] += 1
                    return []
                case "loss" if self.draw.random() < fault.amount:
                    self.seen["lost"] += 1
                    return []
                case "delay":
                    late += fault.by
                case "reorder":
                    late += self.draw.random() * fault.by
                case "double":
                    copies += self.draw.random() < fault.amount
                case "garble" if self.draw.random() < fault.amount:
                    self.seen["garbled"] += 1
                    at = self.draw.randrange(max(1, len(data)))
                    data = data[:at] + bytes((data[at] ^ (1 + self.draw.randrange(255)),)) + data[at + 1 :]
                case "throttle":
                    self.due = max(self.due, now) + 1 / max(0.1, fault.amount)
                    late += self.due - now
        self.seen["passed"] += copies
        return [(late, data)] * copies


class Links:
    """All directions, by the names of their ends."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.all: dict[Link, Direction] = {}

    def at(self, link: Link) -> Direction:
        """One direction; made where it is first asked for."""
        if link not in self.all:
            number = zlib.crc32(f"{self.seed} {link[0]}>{link[1]}".encode())
            self.all[link] = Direction(random.Random(number))
        return self.all[link]

    def start_fault(self, fault: PlannedFault) -> None:
        """From now on."""
        for link in fault.links:
            self.at(link).faults.append(fault)

    def end_fault(self, fault: PlannedFault) -> None:
        """It is over."""
        for link in fault.links:
            with suppress(ValueError):
                self.at(link).faults.remove(fault)

    def seen(self) -> dict[str, dict[str, int]]:
        """Counts by direction."""
        return {f"{a}>{b}": dict(direction.seen) for (a, b), direction in self.all.items()}


class DatagramRelay:
    """The sockets between gateways."""

    def __init__(self, links: Links, peers: dict[str, Address], shared: bool = False) -> None:
        """``peers``: where each gateway listens for the others; ``shared``: one socket for each of them."""
        self.links, self.peers, self.loop = links, peers, asyncio.get_running_loop()
        self.shared = shared
        self.names = {address: name for name, address in peers.items()}
        self.sockets: dict[Link, socket.socket] = {}
        for link in (
            [("", name) for name in peers] if shared else [(a, b) for a in peers for b in peers if a != b]
        ):
            self._open(link)

    def _open(self, link: Link) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        self.sockets[link] = sock
        self.loop.add_reader(sock.fileno(), self._read, link, sock)

    def move(self, name: str, peer: Address) -> None:
        """It listens elsewhere now, and others find it elsewhere: what is sent to where it was is lost."""
        self._close(self.sockets.pop(("", name)))
        self.names.pop(self.peers[name])
        self.peers[name], self.names[peer] = peer, name
        self._open(("", name))

    def _close(self, sock: socket.socket) -> None:
        self.loop.remove_reader(sock.fileno())
        sock.close()

    def _socket(self, link: Link) -> socket.socket | None:
        return self.sockets.get(("", link[1]) if self.shared else link)

    def address(self, link: Link) -> Address:
        """Where the first end sends what is for the second."""
        sock = self._socket(link)
        assert sock is not None
        found: Address = sock.getsockname()
        return found

    def _read(self, link: Link, sock: socket.socket) -> None:
        for _ in range(READS):
            try:
                data, source = sock.recvfrom(SIZE_MOST)
            except OSError:  # nothing more, or the other end is down
                return
            if self.shared:
                link = self.names.get(source, ""), link[1]
            direction = self.links.at(link)
            if source != self.peers.get(link[0]) or link[0] == link[1]:
                direction.seen["foreign"] += 1
                continue
            for late, copy in direction.passes(data, self.loop.time()):
                if late > 0:
                    self.loop.call_later(late, self._send, link, copy)
                else:
                    self._send(link, copy)

    def _send(self, link: Link, data: bytes) -> None:
        a, b = link
        back = self._socket((b, a))
        if back is not None:
            with suppress(OSError):  # nobody listens there now: lost, as on a network
                back.sendto(data, self.peers[b])

    def close(self) -> None:
        """All of them."""
        sockets, self.sockets = self.sockets, {}
        for sock in sockets.values():
            self._close(sock)


class Stream:
    """One TCP service as one client is to see it: what is cut waits, as on a network that comes back."""

    def __init__(self, links: Links, client: str, service: str, to: Address) -> None:
        self.links, self.client, self.service, self.to = links, client, service, to
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.address: Address = ("127.0.0.1", 0)

    async def listen(self) -> Stream:
        """Relay from now on; ``address`` tells where."""
        self.server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        ends = (self.client, self.service), (self.service, self.client)
        ways = (reader, far_writer, ends[0]), (far_reader, writer, ends[1])
        tasks = [asyncio.get_running_loop().create_task(self._way(*way)) for way in ways]
        self.tasks.update(tasks)
        done = functools.partial(self._close, (writer, far_writer))
        for task in tasks:
            task.add_done_callback(self.tasks.discard)
            task.add_done_callback(done)

    def _close(self, writers: Iterable[asyncio.StreamWriter], task: asyncio.Task[None]) -> None:
        for writer in writers:
            writer.close()

    async def _way(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        direction = self.links.at(link)
        with suppress(OSError):
            while data := await reader.read(PIECE):
                direction.seen["came"] += 1
                while direction.is_cut():
                    await asyncio.sleep(0.02)
                late = sum(fault.by for fault in direction.faults if fault.what in ("delay", "reorder"))
                if late:
                    await asyncio.sleep(late)
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """No more of it."""
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
