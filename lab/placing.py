"""Gateways that learn each other's addresses, on the virtual clock: many cores of ``saffrongw/places.py``."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from saffrongw import places
from saffrongw.config import Address

from .kernel import T0, Kernel, Uniform, draws

SECOND = 1_000_000
DELAY = (200, 1_200)  # microseconds on the way

Factory = Callable[[int, int, str, int, Address, Iterable[Address], int], places.Places]


@dataclass(slots=True, eq=False)
class Node:
    """One gateway at its address; ``bound`` is where its sends to each rank go."""

    core: places.Places
    peer_addresses: dict[int, Address] = field(default_factory=dict)
    replaced_by: int = 0  # the greater life of another process under its rank
    dead: bool = False


class Network:
    """A network of addresses, from one seed."""

    def __init__(self, size: int, seed: int, factory: Factory = places.Places, loss: float = 0.0) -> None:
        """``size``: ranks that the settings have room for."""
        self.kernel = Kernel()
        self.size = size
        self.factory = factory
        self.loss = loss
        self.kernel.now = T0
        self.draw = Uniform(draws(seed, "network"))
        self.seeds = draws(seed, "places")
        self.nodes: dict[Address, Node] = {}
        self.transmitted: list[tuple[Address, Address, bytes]] = []  # from, to, what was sent
        self.greetings_sent: Counter[Address] = Counter()

    def start(self, rank: int, port: int, join: Iterable[int] = (), life: int = 0) -> Node:
        """A process starts at this port; ``join``: those that it asks first."""
        at = self._at(port)
        life = life or self.kernel.now // 1_000 << 10
        seeds = [self._at(other) for other in join]
        seat = Node(self.factory(rank, self.size, "lab", life, at, seeds, int(self.seeds.integers(2**31))))
        self.nodes[at] = seat
        self.kernel.after(int(self.draw() * places.GREETING_INTERVAL), self._tick, at, seat)
        return seat

    @staticmethod
    def _at(port: int) -> Address:
        return ("10.0.0.1", port)

    def run(self, span: float) -> None:
        """So many seconds."""
        self.kernel.run(self.kernel.now + int(span * SECOND))

    def run_until(self, holds: Callable[[], bool], most: float) -> float:
        """Seconds until a condition holds; raises TimeoutError after ``most`` of them."""
        began = self.kernel.now
        while not holds():
            if self.kernel.now - began > most * SECOND:
                raise TimeoutError(f"not within {most:g} s")
            self.run(0.05)
        return (self.kernel.now - began) / SECOND

    def converged(self) -> bool:
        """Whether everybody who lives sends to where each other is."""
        live = {seat.core.rank: at for at, seat in self.nodes.items() if not seat.dead}
        wanted = ({r: at for r, at in live.items() if r != s.core.rank} for s in self._living())
        return all(
            seat.peer_addresses == places_of for seat, places_of in zip(self._living(), wanted, strict=True)
        )

    def _living(self) -> list[Node]:
        return [seat for seat in self.nodes.values() if not seat.dead]

    def _tick(self, at: Address, seat: Node) -> None:
        if not seat.dead and self.nodes[at] is seat:
            self._carry_out(at, seat, seat.core.tick(self.kernel.now))
            self.kernel.after(places.GREETING_INTERVAL, self._tick, at, seat)

    def send(self, source: Address, to: Address, body: bytes) -> None:
        """A datagram, also a forged one."""
        if self.draw() >= self.loss:
            way = DELAY[0] + int(self.draw() * (DELAY[1] - DELAY[0]))
            self.kernel.after(way, self._arrive, source, to, body)

    def _arrive(self, source: Address, to: Address, body: bytes) -> None:
        seat = self.nodes.get(to)
        if seat and not seat.dead:
            self._carry_out(to, seat, seat.core.heard(self.kernel.now, source, body))

    def _carry_out(self, at: Address, seat: Node, actions: Iterable[places.Action]) -> None:
        for action in actions:
            if isinstance(action, places.Greet):
                self.greetings_sent[at] += 1
                self.transmitted.append((at, action.address, action.body))
                self.send(at, action.address, action.body)
            elif isinstance(action, places.Moved):
                seat.peer_addresses[action.rank] = action.address
            else:
                seat.replaced_by = action.life
