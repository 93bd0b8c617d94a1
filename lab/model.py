"""Explicit-state model check of membership: runs the real cores through every placement of a few faults.

Apart from faults the system is deterministic: a message takes one step, and members tick in the order of
their ranks. A path is therefore identified by its faults. At each step of the fault window the search
branches into no fault and each possible fault, up to the maximum number of faults on a path. After the window
no more faults occur, and the invariants and the convergence of the views are checked. A state at its end that
was already reached through other faults is not checked again.
"""

from __future__ import annotations

import copy
import pickle
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Protocol, TypeVar

from orchidlane import member_state as state
from orchidlane.membership import TICK_INTERVAL, Membership

START = 1_000_000_000  # microseconds
WARM_UP_STEPS = 60  # until all members know each other, before the fault window
SETTLE_STEPS = 160  # after the last fault, until all views must be equal
PAUSE_STEPS = (12, 80)  # shorter and longer than the suspicion timeout
LATE_STEPS = 30  # delay of a late message, and of the second copy of a doubled one
FAULT_INTERVAL = 3  # faults are tried at every third step of the window
SEED = 7
MESSAGE_FAULTS = ("lose", "double", "late")
FAULT_KINDS = (*MESSAGE_FAULTS, "pause", "restart")


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at one step.

    ``lose``, ``double`` (delivered twice) and ``late`` affect a message: ``target`` is its position among
    those due in the step. ``pause`` (for ``duration`` steps) and ``restart`` affect a member: ``target`` is
    its rank.
    """

    step: int
    kind: str
    target: int
    duration: int = 0

    def __str__(self) -> str:
        duration = f" for {self.duration}" if self.duration else ""
        return f"{self.kind} {self.target}{duration} at {self.step}"


def member_and_message_faults(
    step: int, due: int, paused_until: Sequence[int], kinds: Collection[str], durations: Collection[int]
) -> Iterator[Fault]:
    """Yield the faults of these kinds that are possible in a step.

    Each of the ``due`` messages can be affected, and each member that is not paused.
    """
    for kind in [kind for kind in MESSAGE_FAULTS if kind in kinds]:
        for position in range(due):
            yield Fault(step, kind, position)
    for rank in [rank for rank, until in enumerate(paused_until) if until <= step]:
        if "restart" in kinds:
            yield Fault(step, "restart", rank)
        for duration in durations if "pause" in kinds else ():
            yield Fault(step, "pause", rank, duration)


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that does not hold, and the faults that led to it."""

    description: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return f"{self.description}: {'; '.join(map(str, self.faults)) or 'without a fault'}"


@dataclass(slots=True)
class World:
    """A few members, the messages in flight, and the first invariant violation seen so far."""

    core_class: type[Membership]
    size: int
    step: int = 0
    cores: list[Membership] = field(default_factory=list)
    paused_until: list[int] = field(default_factory=list)  # step, by rank
    socket_buffers: list[list[tuple[int, bytes]]] = field(default_factory=list)  # (sender, body), by rank
    in_flight: list[tuple[int, int, int, bytes]] = field(default_factory=list)  # due, sender, receiver, body
    # (life, incarnation) that were last seen, by (member, observer)
    last_versions: dict[tuple[int, int], tuple[int, int]] = field(default_factory=dict)
    violation: str = ""

    def now(self) -> int:
        """Return the time of the current step in microseconds."""
        return START + self.step * TICK_INTERVAL

    def start_core(self, rank: int, life: int) -> Membership:
        """Create the core of a new process, without any state of an earlier one."""
        return self.core_class(rank, self.size, "model", life, SEED + rank, self.now(), 200.0)

    def warm_up(self) -> World:
        """Start all members, run until they know each other, and return this world."""
        self.cores = [self.start_core(rank, 1_000 + rank) for rank in range(self.size)]
        self.paused_until = [0] * self.size
        self.socket_buffers = [[] for _ in range(self.size)]
        for _ in range(WARM_UP_STEPS):
            self.advance()
        return self

    def advance(self, faults: tuple[Fault, ...] = ()) -> None:
        """Run one step with these faults."""
        self.step += 1
        self._apply_process_faults(faults)
        self._deliver_due(faults)
        self._run_members()
        self._check_monotonic()

    def _apply_process_faults(self, faults: tuple[Fault, ...]) -> None:
        for fault in faults:
            if fault.kind == "pause":
                self.paused_until[fault.target] = self.step + fault.duration
            elif fault.kind == "restart":
                old_life = self.cores[fault.target].life
                self.cores[fault.target] = self.start_core(fault.target, old_life + 100)
                self.paused_until[fault.target] = 0
                self.socket_buffers[fault.target] = []
                self.last_versions = {
                    pair: version for pair, version in self.last_versions.items() if pair[1] != fault.target
                }

    def _deliver_due(self, faults: tuple[Fault, ...]) -> None:
        now = self.now()
        due = [message for message in self.in_flight if message[0] <= self.step]
        self.in_flight = [message for message in self.in_flight if message[0] > self.step]
        fault_kinds = {fault.target: fault.kind for fault in faults if fault.kind in MESSAGE_FAULTS}
        for position, (_, sender, rank, body) in enumerate(due):
            match fault_kinds.get(position):
                case "lose":
                    continue
                case "late":
                    self.in_flight.append((self.step + LATE_STEPS, sender, rank, body))
                    continue
                case "double":
                    self.in_flight.append((self.step + LATE_STEPS, sender, rank, body))
            self._deliver(now, sender, rank, body)

    def _run_members(self) -> None:
        now = self.now()
        for rank in range(self.size):
            if self.paused_until[rank] > self.step:
                continue
            buffered, self.socket_buffers[rank] = self.socket_buffers[rank], []
            for sender, body in buffered:
                self._deliver(now, sender, rank, body)
            self._execute(rank, self.cores[rank].tick(now))
            if self.paused_until[rank] == self.step and not self.cores[rank].view.doubtful:
                self.violation = self.violation or f"{rank} was paused, but its view is not doubtful"

    def _deliver(self, now: int, sender: int, rank: int, body: bytes) -> None:
        if self.paused_until[rank] > self.step:
            self.socket_buffers[rank].append((sender, body))
        else:
            self._execute(rank, self.cores[rank].receive(now, sender, body))

    def _execute(self, rank: int, actions: list[state.Action]) -> None:
        for action in actions:
            if isinstance(action, state.Send):
                self.in_flight.append((self.step + 1, rank, action.rank, action.body))

    def _check_monotonic(self) -> None:
        """Record a violation if the life or incarnation that an observer has for a member decreases."""
        for observer, core in enumerate(self.cores):
            for member in core.members.values():
                version = member.life, member.incarnation
                if version < self.last_versions.get((member.rank, observer), version):
                    self.violation = (
                        self.violation
                        or f"{observer} went back to an older life or incarnation of {member.rank}"
                    )
                self.last_versions[member.rank, observer] = version

    def declared_dead(self) -> list[tuple[int, int]]:
        """Return the pairs (observer, member) where the observer considers the member dead."""
        return [
            (observer, member.rank)
            for observer, core in enumerate(self.cores)
            for member in core.members.values()
            if member.state is state.State.DEAD
        ]

    def possible_faults(self, kinds: Collection[str]) -> Iterator[Fault]:
        """Return the faults of these kinds that are possible in the next step."""
        due = sum(message[0] <= self.step + 1 for message in self.in_flight)
        return member_and_message_faults(self.step, due, self.paused_until, kinds, PAUSE_STEPS)

    def fingerprint(self) -> bytes:
        """Return a hash that is equal for equal states."""
        parts = (
            self.step,
            self.paused_until,
            self.socket_buffers,
            self.in_flight,
            [vars(core) for core in self.cores],
        )
        return blake2b(pickle.dumps(parts), digest_size=16).digest()


@dataclass(slots=True)
class SearchResult:
    """Size of the search, and the violations it found."""

    states: int = 0  # expanded within the fault window
    paths: int = 0  # distinct states at the end of the window
    revisited: int = 0  # states that were already reached on another path
    violations: list[Violation] = field(default_factory=list)


def check(
    core_class: type[Membership] = Membership,
    size: int = 2,
    window: int = 24,
    max_faults: int = 1,
    kinds: Collection[str] = FAULT_KINDS,
    max_violations: int = 10,
) -> SearchResult:
    """Check every placement of up to ``max_faults`` faults within a window of steps.

    The search ends after ``max_violations`` violations.
    """
    return explore(World(core_class, size).warm_up(), _settle, window, max_faults, kinds, max_violations)


class Explorable(Protocol):
    """A system that ``explore`` can search: it can be copied, and its states can be compared."""

    step: int

    def advance(self, faults: tuple[Fault, ...] = ()) -> None:
        """Run one step with these faults."""

    def possible_faults(self, kinds: Collection[str]) -> Iterator[Fault]:
        """Return the faults of these kinds that are possible in the next step."""

    def fingerprint(self) -> bytes:
        """Return a hash that is equal for equal states."""


System = TypeVar("System", bound=Explorable)


def explore(
    initial: System,
    settle: Callable[[System, tuple[Fault, ...]], str],
    window: int,
    max_faults: int,
    kinds: Collection[str],
    max_violations: int,
) -> SearchResult:
    """Search the placements of faults depth first.

    ``settle`` runs a system on without further faults and returns a description of what does not hold then,
    or "".
    """
    result = SearchResult()
    visited: set[bytes] = set()
    stack: list[tuple[System, tuple[Fault, ...]]] = [(initial, ())]
    window_start = initial.step
    while stack and len(result.violations) < max_violations:
        system, faults = stack.pop()
        offset = system.step - window_start
        if offset >= window:
            fingerprint = system.fingerprint()
            if fingerprint in visited:
                result.revisited += 1
                continue
            visited.add(fingerprint)
            result.paths += 1
            if description := settle(system, faults):
                result.violations.append(Violation(description, faults))
            continue
        result.states += 1
        if len(faults) < max_faults and offset % FAULT_INTERVAL == 0:
            for fault in system.possible_faults(kinds):
                branch = copy.deepcopy(system)
                branch.advance((fault,))
                stack.append((branch, (*faults, fault)))
        system.advance()
        stack.append((system, faults))
    return result


def _settle(world: World, faults: tuple[Fault, ...]) -> str:
    """Run on without further faults; return a description of the violated invariant, or ""."""
    end = max([world.step, *world.paused_until, *(due for due, *_ in world.in_flight)]) + SETTLE_STEPS
    disturbed = {fault.target for fault in faults if fault.kind in ("pause", "restart")}
    restarted = {fault.target for fault in faults if fault.kind == "restart"}
    while world.step < end:
        world.advance()
        for observer, rank in world.declared_dead():
            # A pause of the observer does not excuse a wrong death declaration, only a restart does.
            if rank not in disturbed and observer not in restarted:
                return f"{observer} declared {rank} dead, which was running and reachable"
    if world.violation:
        return world.violation
    if declared := world.declared_dead():
        return f"{declared[0][0]} still considers {declared[0][1]} dead, which is running"
    views = [
        sorted((m.rank, m.life, m.state in state.ACTIVE_STATES) for m in core.members.values())
        for core in world.cores
    ]
    for observer, core in enumerate(world.cores):
        expected = [(other.rank, other.life, True) for other in world.cores if other is not core]
        if views[observer] != expected:
            return f"{observer}'s view does not match the running members"
    return ""
