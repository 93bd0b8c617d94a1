"""Membership simulation: a fleet of ``orchidlane/membership.py`` cores, or of baselines, on a virtual clock.

Message loss and latency are drawn from a seed; the caller sets partitions, pauses, kills and restarts. What
the members log is recorded as ``LoggedEvent``. ``lab/cluster`` injects the same faults into real processes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from orchidlane import member_state as state
from orchidlane.membership import TICK_INTERVAL, Membership

from .kernel import START_TIME, Kernel, UniformStream, random_generator

SECOND = 1_000_000  # microseconds
NETWORK_DELAY = (200, 1_200)  # microseconds, minimum and maximum


class Core(Protocol):
    """Interface between the simulation and a member: the gateway's membership core or a baseline."""

    def tick(self, now: int) -> list[state.Action]:
        """Advance the protocol to this time; return the datagrams to send and the events to log."""

    def receive(self, now: int, sender: int, data: bytes) -> list[state.Action]:
        """Process a datagram; return the resulting actions."""

    def leave(self, now: int) -> list[state.Action]:
        """Leave the fleet on shutdown; return the messages that announce it."""

    def considers_active(self, rank: int) -> bool:
        """Return whether this member considers another one alive or suspect."""


class ProductionCore(Membership):
    """The gateway's membership core with the simulation's interface."""

    def considers_active(self, rank: int) -> bool:
        """Return whether this member considers another one alive or suspect."""
        return self.members[rank].state in state.ACTIVE_STATES


Factory = Callable[[int, int, int, int, int], Core]  # rank, size, life, seed, now


def production_core(rank: int, size: int, life: int, seed: int, now: int) -> Core:
    """Create the gateway's membership core."""
    return ProductionCore(rank, size, "lab", life, seed, now, intake=100.0)


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """An event that member ``observer`` logged at ``time`` (microseconds)."""

    time: int
    observer: int
    name: str
    fields: dict[str, object]


@dataclass(slots=True, eq=False)
class Node:
    """One member's process: running, paused, or dead.

    ``process_number`` counts the processes of the simulation, so that callbacks scheduled for an earlier one
    are ignored. ``socket_buffer`` holds the datagrams (sender, body) that arrive during a pause.
    """

    rank: int
    core: Core
    process_number: int
    paused: bool = False
    dead: bool = False
    socket_buffer: list[tuple[int, bytes]] = field(default_factory=list)


class World:
    """A simulated fleet and its network, deterministic for a given seed."""

    def __init__(self, size: int, seed: int, factory: Factory = production_core, loss: float = 0.0) -> None:
        self.kernel = Kernel()
        self.size = size
        self.factory = factory
        self.loss = loss
        self.kernel.now = START_TIME
        self.draw = UniformStream(random_generator(seed, "network"))
        self.seed_rng = random_generator(seed, "members")
        self.blocked_links: set[tuple[int, int]] = set()  # (from, to)
        self.events: list[LoggedEvent] = []
        self.traffic: Counter[str] = Counter()  # messages, bytes
        self.processes_started = 0
        self.nodes: list[Node] = []
        for rank in range(size):
            node = Node(rank, self._start_core(rank), self.processes_started)
            self.nodes.append(node)
            self.kernel.call_after(int(self.draw() * TICK_INTERVAL), self._tick, node, node.process_number)

    def _start_core(self, rank: int) -> Core:
        self.processes_started += 1
        life = (self.kernel.now // 1_000 << 10) + self.processes_started % 1_024
        return self.factory(rank, self.size, life, int(self.seed_rng.integers(2**31)), self.kernel.now)

    def run(self, duration: float) -> None:
        """Run the simulation for this many seconds."""
        self.kernel.run(self.kernel.now + int(duration * SECOND))

    def run_until(self, condition: Callable[[], bool], timeout: float, step: float = 0.05) -> float:
        """Run until the condition holds and return the seconds that took.

        Raises TimeoutError after ``timeout`` seconds.
        """
        began = self.kernel.now
        while not condition():
            if self.kernel.now - began > timeout * SECOND:
                raise TimeoutError(f"condition did not hold within {timeout:g} s")
            self.run(step)
        return (self.kernel.now - began) / SECOND

    def _tick(self, node: Node, process_number: int) -> None:
        if node.dead or node.process_number != process_number:
            return
        if not node.paused:
            self._execute(node, node.core.tick(self.kernel.now))
        self.kernel.call_after(TICK_INTERVAL, self._tick, node, process_number)

    def _execute(self, node: Node, actions: Iterable[state.Action]) -> None:
        for action in actions:
            if isinstance(action, state.LogEvent):
                self.events.append(LoggedEvent(self.kernel.now, node.rank, action.name, action.fields))
                continue
            self.traffic["messages"] += 1
            self.traffic["bytes"] += len(action.body)
            if (node.rank, action.rank) in self.blocked_links or self.draw() < self.loss:
                continue
            delay = NETWORK_DELAY[0] + int(self.draw() * (NETWORK_DELAY[1] - NETWORK_DELAY[0]))
            self.kernel.call_after(delay, self._deliver, self.nodes[action.rank], node.rank, action.body)

    def _deliver(self, node: Node, sender: int, body: bytes) -> None:
        if node.dead:
            return
        if node.paused:
            node.socket_buffer.append((sender, body))
        else:
            self._execute(node, node.core.receive(self.kernel.now, sender, body))

    # -- faults ---------------------------------------------------------------------------------------------

    def kill(self, rank: int) -> None:
        """Stop a process without notice, as SIGKILL does."""
        self.nodes[rank].dead = True

    def leave(self, rank: int) -> None:
        """Shut a process down; it notifies the others first."""
        node = self.nodes[rank]
        self._execute(node, node.core.leave(self.kernel.now))
        node.dead = True

    def restart(self, rank: int) -> None:
        """Start a new process under this rank, without any state of the earlier one."""
        node = self.nodes[rank]
        node.core = self._start_core(rank)
        node.dead = False
        node.paused = False
        node.socket_buffer = []
        node.process_number = self.processes_started
        self.kernel.call_after(0, self._tick, node, node.process_number)

    def pause(self, rank: int, duration: float) -> None:
        """Pause a process for some seconds, as SIGSTOP and SIGCONT do; datagrams are buffered meanwhile."""
        node = self.nodes[rank]
        if not node.paused and not node.dead:
            node.paused = True
            self.kernel.call_after(int(duration * SECOND), self._resume, node, node.process_number)

    def _resume(self, node: Node, process_number: int) -> None:
        if node.process_number != process_number or node.dead:
            return
        node.paused = False
        buffered, node.socket_buffer = node.socket_buffer, []
        for sender, body in buffered:
            self._execute(node, node.core.receive(self.kernel.now, sender, body))

    def partition(self, side: Iterable[int]) -> None:
        """Block all links, in both directions, between these members and the others."""
        inside = set(side)
        for a in inside:
            for b in set(range(self.size)) - inside:
                self.blocked_links |= {(a, b), (b, a)}

    # -- observations ---------------------------------------------------------------------------------------

    def running(self) -> list[Node]:
        """Return the members that are neither dead nor paused."""
        return [node for node in self.nodes if not node.dead and not node.paused]

    def all_agree(self, rank: int, active: bool) -> bool:
        """Return whether all other running members consider this one active; if not ``active``, inactive."""
        return all(node.core.considers_active(rank) is active for node in self.running() if node.rank != rank)

    def converged(self) -> bool:
        """Return whether all running members consider each other active."""
        return all(self.all_agree(node.rank, True) for node in self.running())

    def death_events(self) -> list[LoggedEvent]:
        """Return the events in which a member declared another one dead (state "gone")."""
        return [event for event in self.events if event.name == "member" and event.fields["state"] == "gone"]
