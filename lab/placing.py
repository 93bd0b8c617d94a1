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

Factory = Callable[[int, int, str, int, Address, Iterable[Address], int], places.AddressBook]


@dataclass(slots=True, eq=False)
class Seat:
    """One gateway at its address; ``bound`` is where its sends to each rank go."""

    core: places.AddressBook
    bound: dict[int, Address] = field(default_factory=dict)
    replaced: int = 0  # the greater life of another process under its rank
    dead: bool = False


class Land:
    """A network of addresses, from one seed."""

    def __init__(
        self, size: int, seed: int, factory: Factory = places.AddressBook, loss: float = 0.0
    ) -> None:
        """``size``: ranks that the settings have room for."""
        self.kernel, self.size, self.factory, self.loss = Kernel(), size, factory, loss
        self.kernel.now = T0
        self.draw, self.seeds = Uniform(draws(seed, "network")), draws(seed, "places")
        self.seats: dict[Address, Seat] = {}
        self.seen: list[tuple[Address, Address, bytes]] = []  # from, to, what was sent
        self.sent: Counter[Address] = Counter()

    def come(self, rank: int, port: int, join: Iterable[int] = (), life: int = 0) -> Seat:
        """A process starts at this port; ``join``: those that it asks first."""
        at = self._at(port)
        life = life or self.kernel.now // 1_000 << 10
        seeds = [self._at(other) for other in join]
        seat = Seat(self.factory(rank, self.size, "lab", life, at, seeds, int(self.seeds.integers(2**31))))
        self.seats[at] = seat
        self.kernel.after(int(self.draw() * places.HELLO_INTERVAL), self._tick, at, seat)
        return seat

    @staticmethod
    def _at(port: int) -> Address:
        return ("10.0.0.1", port)

    def run(self, span: float) -> None:
        """So many seconds."""
        self.kernel.run(self.kernel.now + int(span * SECOND))

    def until(self, holds: Callable[[], bool], most: float) -> float:
        """Seconds until a condition holds; raises TimeoutError after ``most`` of them."""
        began = self.kernel.now
        while not holds():
            if self.kernel.now - began > most * SECOND:
                raise TimeoutError(f"not within {most:g} s")
            self.run(0.05)
        return (self.kernel.now - began) / SECOND

    def all_know(self) -> bool:
        """Whether everybody who lives sends to where each other is."""
        live = {seat.core.rank: at for at, seat in self.seats.items() if not seat.dead}
        wanted = ({r: at for r, at in live.items() if r != s.core.rank} for s in self._living())
        return all(seat.bound == places_of for seat, places_of in zip(self._living(), wanted, strict=True))

    def _living(self) -> list[Seat]:
        return [seat for seat in self.seats.values() if not seat.dead]

    def _tick(self, at: Address, seat: Seat) -> None:
        if not seat.dead and self.seats[at] is seat:
            self._carry_out(at, seat, seat.core.tick(self.kernel.now))
            self.kernel.after(places.HELLO_INTERVAL, self._tick, at, seat)

    def say(self, source: Address, to: Address, body: bytes) -> None:
        """A datagram, also a forged one."""
        if self.draw() >= self.loss:
            way = DELAY[0] + int(self.draw() * (DELAY[1] - DELAY[0]))
            self.kernel.after(way, self._arrive, source, to, body)

    def _arrive(self, source: Address, to: Address, body: bytes) -> None:
        seat = self.seats.get(to)
        if seat and not seat.dead:
            self._carry_out(to, seat, seat.core.receive(self.kernel.now, source, body))

    def _carry_out(self, at: Address, seat: Seat, actions: Iterable[places.Action]) -> None:
        for action in actions:
            if isinstance(action, places.SendDatagram):
                self.sent[at] += 1
                self.seen.append((at, action.address, action.body))
                self.say(at, action.address, action.body)
            elif isinstance(action, places.AddressChanged):
                seat.bound[action.rank] = action.address
            else:
                seat.replaced = action.life
