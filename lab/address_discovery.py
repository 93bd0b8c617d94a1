"""Simulated gateways discover each other's addresses: ``saffrongw/address_book.py`` on a virtual clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from saffrongw import address_book
from saffrongw.config import Address

from .kernel import START_TIME, Kernel, UniformStream, random_generator

SECOND = 1_000_000  # microseconds
NETWORK_DELAY = (200, 1_200)  # microseconds, minimum and maximum

# rank, number of ranks, cluster, life, own address, addresses to contact first (``join``), seed
Factory = Callable[[int, int, str, int, Address, Iterable[Address], int], address_book.AddressBook]


@dataclass(slots=True, eq=False)
class Node:
    """One gateway process; ``peer_addresses`` is where it sends the messages for each rank."""

    core: address_book.AddressBook
    peer_addresses: dict[int, Address] = field(default_factory=dict)
    replaced_by: int = 0  # life of a newer process of the same rank, 0 if there is none
    dead: bool = False


class Network:
    """A simulated network of gateways, deterministic for a given seed."""

    def __init__(
        self, size: int, seed: int, factory: Factory = address_book.AddressBook, loss: float = 0.0
    ) -> None:
        """Create a network without processes; ``size`` is the number of ranks in the settings."""
        self.kernel = Kernel()
        self.size = size
        self.factory = factory
        self.loss = loss
        self.kernel.now = START_TIME
        self.draw = UniformStream(random_generator(seed, "network"))
        self.seed_rng = random_generator(seed, "places")
        self.nodes: dict[Address, Node] = {}
        self.transmitted: list[tuple[Address, Address, bytes]] = []  # source, destination, body
        self.datagrams_sent: Counter[Address] = Counter()  # by source

    def start(self, rank: int, port: int, join: Iterable[int] = (), life: int = 0) -> Node:
        """Start a process on this port; ``join`` has the ports of the gateways that it contacts first.

        ``life`` 0 stands for a life that is derived from the current time.
        """
        address = self._address(port)
        life = life or self.kernel.now // 1_000 << 10
        join_addresses = [self._address(other) for other in join]
        node = Node(
            self.factory(
                rank, self.size, "lab", life, address, join_addresses, int(self.seed_rng.integers(2**31))
            )
        )
        self.nodes[address] = node
        self.kernel.call_after(int(self.draw() * address_book.HELLO_INTERVAL), self._tick, address, node)
        return node

    @staticmethod
    def _address(port: int) -> Address:
        return ("10.0.0.1", port)

    def run(self, duration: float) -> None:
        """Run the simulation for this many seconds."""
        self.kernel.run(self.kernel.now + int(duration * SECOND))

    def run_until(self, condition: Callable[[], bool], timeout: float) -> float:
        """Run until the condition holds and return the seconds that took.

        Raises TimeoutError after ``timeout`` seconds.
        """
        began = self.kernel.now
        while not condition():
            if self.kernel.now - began > timeout * SECOND:
                raise TimeoutError(f"condition did not hold within {timeout:g} s")
            self.run(0.05)
        return (self.kernel.now - began) / SECOND

    def converged(self) -> bool:
        """Return whether each running process sends to exactly the current addresses of all others."""
        current = {node.core.rank: address for address, node in self.nodes.items() if not node.dead}
        expected = ({r: a for r, a in current.items() if r != n.core.rank} for n in self._running())
        return all(
            node.peer_addresses == addresses
            for node, addresses in zip(self._running(), expected, strict=True)
        )

    def _running(self) -> list[Node]:
        return [node for node in self.nodes.values() if not node.dead]

    def _tick(self, address: Address, node: Node) -> None:
        if not node.dead and self.nodes[address] is node:
            self._execute(address, node, node.core.tick(self.kernel.now))
            self.kernel.call_after(address_book.HELLO_INTERVAL, self._tick, address, node)

    def send(self, source: Address, to: Address, body: bytes) -> None:
        """Send a datagram; tests also use it to forge or replay one."""
        if self.draw() >= self.loss:
            delay = NETWORK_DELAY[0] + int(self.draw() * (NETWORK_DELAY[1] - NETWORK_DELAY[0]))
            self.kernel.call_after(delay, self._deliver, source, to, body)

    def _deliver(self, source: Address, to: Address, body: bytes) -> None:
        node = self.nodes.get(to)
        if node and not node.dead:
            self._execute(to, node, node.core.receive(self.kernel.now, source, body))

    def _execute(self, address: Address, node: Node, actions: Iterable[address_book.Action]) -> None:
        for action in actions:
            if isinstance(action, address_book.SendDatagram):
                self.datagrams_sent[address] += 1
                self.transmitted.append((address, action.address, action.body))
                self.send(address, action.address, action.body)
            elif isinstance(action, address_book.AddressChanged):
                node.peer_addresses[action.rank] = action.address
            else:
                node.replaced_by = action.life
