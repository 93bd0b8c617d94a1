"""Membership in the virtual world: many cores of ``orchidlane/membership.py``, or baselines, on one clock.

What is lost, late, cut, paused or killed is drawn from a seed; who held what when is kept as ``Change``s. The
sockets world of the same faults is ``lab/cluster``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from orchidlane import member_state as state
from orchidlane.membership import TICK_INTERVAL, Membership

from .kernel import T0, Kernel, Uniform, draws

SECOND = 1_000_000
DELAY = (200, 1_200)  # microseconds on the way


class Core(Protocol):
    """What a member is to the world: the gateway's own, or a baseline."""

    def tick(self, now: int) -> list[state.Action]:
        """Time has passed."""

    def receive(self, now: int, sender: int, data: bytes) -> list[state.Action]:
        """A datagram has come."""

    def leave(self, now: int) -> list[state.Action]:
        """End on purpose."""

    def considers_active(self, rank: int) -> bool:
        """Whether a rank is taken to be there."""


class ProductionCore(Membership):
    """The gateway's own, as the world asks it."""

    def considers_active(self, rank: int) -> bool:
        """Alive or suspect."""
        return self.members[rank].state in state.ACTIVE_STATES


Factory = Callable[[int, int, int, int, int], Core]  # rank, size, life, seed, now


def production_core(rank: int, size: int, life: int, seed: int, now: int) -> Core:
    """What is in service."""
    return ProductionCore(rank, size, "lab", life, seed, now, intake=100.0)


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """``observer`` saw this at ``time`` (microseconds)."""

    time: int
    observer: int
    name: str
    fields: dict[str, object]


@dataclass(slots=True, eq=False)
class Node:
    """One member's process: running, paused with what waits in its socket, or dead."""

    rank: int
    core: Core
    life: int
    paused: bool = False
    dead: bool = False
    waiting: list[tuple[int, bytes]] = field(default_factory=list)


class World:
    """A fleet of members from one seed."""

    def __init__(self, size: int, seed: int, factory: Factory = production_core, loss: float = 0.0) -> None:
        self.kernel = Kernel()
        self.size = size
        self.factory = factory
        self.loss = loss
        self.kernel.now = T0
        self.draw = Uniform(draws(seed, "network"))
        self.seeds = draws(seed, "members")
        self.blocked_links: set[tuple[int, int]] = set()  # (from, to)
        self.events: list[LoggedEvent] = []
        self.traffic: Counter[str] = Counter()  # messages, bytes
        self.lives = 0
        self.nodes: list[Node] = []
        for rank in range(size):
            node = Node(rank, self._core(rank), self.lives)
            self.nodes.append(node)
            self.kernel.after(int(self.draw() * TICK_INTERVAL), self._tick, node, node.life)

    def _core(self, rank: int) -> Core:
        self.lives += 1
        life = (self.kernel.now // 1_000 << 10) + self.lives % 1_024
        return self.factory(rank, self.size, life, int(self.seeds.integers(2**31)), self.kernel.now)

    def run(self, span: float) -> None:
        """So many seconds."""
        self.kernel.run(self.kernel.now + int(span * SECOND))

    def run_until(self, holds: Callable[[], bool], most: float, step: float = 0.05) -> float:
        """Seconds until a condition holds; raises TimeoutError after ``most`` of them."""
        began = self.kernel.now
        while not holds():
            if self.kernel.now - began > most * SECOND:
                raise TimeoutError(f"not within {most:g} s")
            self.run(step)
        return (self.kernel.now - began) / SECOND

    def _tick(self, node: Node, life: int) -> None:
        if node.dead or node.life != life:
            return
        if not node.paused:
            self._carry_out(node, node.core.tick(self.kernel.now))
        self.kernel.after(TICK_INTERVAL, self._tick, node, life)

    def _carry_out(self, node: Node, actions: Iterable[state.Action]) -> None:
        for action in actions:
            if isinstance(action, state.LogEvent):
                self.events.append(LoggedEvent(self.kernel.now, node.rank, action.name, action.fields))
                continue
            self.traffic["messages"] += 1
            self.traffic["bytes"] += len(action.body)
            if (node.rank, action.rank) in self.blocked_links or self.draw() < self.loss:
                continue
            way = DELAY[0] + int(self.draw() * (DELAY[1] - DELAY[0]))
            self.kernel.after(way, self._arrive, self.nodes[action.rank], node.rank, action.body)

    def _arrive(self, node: Node, sender: int, body: bytes) -> None:
        if node.dead:
            return
        if node.paused:
            node.waiting.append((sender, body))
        else:
            self._carry_out(node, node.core.receive(self.kernel.now, sender, body))

    # -- what goes wrong ------------------------------------------------------------------------------------

    def kill(self, rank: int) -> None:
        """Without a word."""
        self.nodes[rank].dead = True

    def leave(self, rank: int) -> None:
        """On purpose."""
        node = self.nodes[rank]
        self._carry_out(node, node.core.leave(self.kernel.now))
        node.dead = True

    def restart(self, rank: int) -> None:
        """From nothing."""
        node = self.nodes[rank]
        node.core = self._core(rank)
        node.dead = False
        node.paused = False
        node.waiting = []
        node.life = self.lives
        self.kernel.after(0, self._tick, node, node.life)

    def pause(self, rank: int, span: float) -> None:
        """As SIGSTOP and SIGCONT: what comes meanwhile waits in its socket."""
        node = self.nodes[rank]
        if not node.paused and not node.dead:
            node.paused = True
            self.kernel.after(int(span * SECOND), self._continue, node, node.life)

    def _continue(self, node: Node, life: int) -> None:
        if node.life != life or node.dead:
            return
        node.paused = False
        waiting, node.waiting = node.waiting, []
        for sender, body in waiting:
            self._carry_out(node, node.core.receive(self.kernel.now, sender, body))

    def partition(self, side: Iterable[int]) -> None:
        """Nothing passes between these and the others."""
        inside = set(side)
        for a in inside:
            for b in set(range(self.size)) - inside:
                self.blocked_links |= {(a, b), (b, a)}

    # -- what is seen ---------------------------------------------------------------------------------------

    def running(self) -> list[Node]:
        """Members that are neither dead nor paused."""
        return [node for node in self.nodes if not node.dead and not node.paused]

    def all_agree(self, rank: int, here: bool) -> bool:
        """Whether everybody who runs takes a rank to be there, or not."""
        return all(node.core.considers_active(rank) is here for node in self.running() if node.rank != rank)

    def converged(self) -> bool:
        """Whether everybody who runs holds all that run to be there."""
        return all(self.all_agree(node.rank, True) for node in self.running())

    def death_events(self) -> list[LoggedEvent]:
        """Each time that somebody held a member gone."""
        return [c for c in self.events if c.name == "member" and c.fields["state"] == "gone"]
