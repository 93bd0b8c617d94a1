"""Explicit-state check of membership: the real cores, and every placing of a few faults in a short time.

Between faults all is fixed (a message takes one step, ticks come in the order of ranks), so a path is named
by its faults alone: each step of the window branches into no fault and each fault that can be done then, as
long as some are left. After the window nothing goes wrong any more, and what must hold then is looked at.
States that were reached before by other faults are not gone through again.
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

START = 1_000_000_000
WARM = 60  # steps until all know each other, before the window
QUIET = 160  # steps after it until views must be equal
PAUSES = (12, 80)  # steps: shorter and longer than a suspicion
LATE = 30  # steps that a late message takes
EVERY = 3  # steps of the window between two places of a fault
SEED = 7
KINDS = ("lose", "double", "late", "pause", "restart")


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that goes wrong at a step: lose, double or late a message (``which`` of the step's), or pause
    (so many steps) or restart a member (``which`` rank)."""

    step: int
    what: str
    which: int
    span: int = 0

    def __str__(self) -> str:
        span = f" for {self.span}" if self.span else ""
        return f"{self.what} {self.which}{span} at {self.step}"


def possible(
    step: int, due: int, paused: Sequence[int], kinds: Collection[str], spans: Collection[int]
) -> Iterator[Fault]:
    """Faults of a step: with one of the messages due in it, or with a member that runs (``paused``: until
    when each stands still)."""
    for what in [what for what in ("lose", "double", "late") if what in kinds]:
        for place in range(due):
            yield Fault(step, what, place)
    for rank in [rank for rank, until in enumerate(paused) if until <= step]:
        if "restart" in kinds:
            yield Fault(step, "restart", rank)
        for span in spans if "pause" in kinds else ():
            yield Fault(step, "pause", rank, span)


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that does not hold, and the faults that led there."""

    what: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return f"{self.what}: {'; '.join(map(str, self.faults)) or 'without a fault'}"


@dataclass(slots=True)
class World:
    """A few members, what is on its way, and what has been seen of them."""

    kind: type[Membership]
    size: int
    step: int = 0
    cores: list[Membership] = field(default_factory=list)
    paused: list[int] = field(default_factory=list)  # until which step
    waiting: list[list[tuple[int, bytes]]] = field(default_factory=list)  # in a paused one's socket
    way: list[tuple[int, int, int, bytes]] = field(default_factory=list)  # due, from, to, what
    known: dict[tuple[int, int], tuple[int, int]] = field(
        default_factory=dict
    )  # life, incarnation by (of, at)
    wrong: str = ""

    def now(self) -> int:
        """Microseconds."""
        return START + self.step * TICK_INTERVAL

    def core(self, rank: int, life: int) -> Membership:
        """A process from nothing."""
        return self.kind(rank, self.size, "model", life, SEED + rank, self.now(), 200.0)

    def warm_up(self) -> World:
        """All up, and known to each other."""
        self.cores = [self.core(rank, 1_000 + rank) for rank in range(self.size)]
        self.paused = [0] * self.size
        self.waiting = [[] for _ in range(self.size)]
        for _ in range(WARM):
            self.advance()
        return self

    def advance(self, faults: tuple[Fault, ...] = ()) -> None:
        """One step with these faults."""
        self.step += 1
        self._apply_process_faults(faults)
        self._deliver_due(faults)
        self._run_members()
        self._look()

    def _apply_process_faults(self, faults: tuple[Fault, ...]) -> None:
        for fault in faults:
            if fault.what == "pause":
                self.paused[fault.which] = self.step + fault.span
            elif fault.what == "restart":
                was = self.cores[fault.which].life
                self.cores[fault.which] = self.core(fault.which, was + 100)
                self.paused[fault.which] = 0
                self.waiting[fault.which] = []
                self.known = {at: held for at, held in self.known.items() if at[1] != fault.which}

    def _deliver_due(self, faults: tuple[Fault, ...]) -> None:
        now = self.now()
        due = [message for message in self.way if message[0] <= self.step]
        self.way = [message for message in self.way if message[0] > self.step]
        of_step = {fault.which: fault.what for fault in faults if fault.what in ("lose", "double", "late")}
        for place, (_, sender, rank, body) in enumerate(due):
            match of_step.get(place):
                case "lose":
                    continue
                case "late":
                    self.way.append((self.step + LATE, sender, rank, body))
                    continue
                case "double":
                    self.way.append((self.step + LATE, sender, rank, body))
            self._arrive(now, sender, rank, body)

    def _run_members(self) -> None:
        now = self.now()
        for rank in range(self.size):
            if self.paused[rank] > self.step:
                continue
            waited, self.waiting[rank] = self.waiting[rank], []
            for sender, body in waited:
                self._arrive(now, sender, rank, body)
            self._carry(rank, self.cores[rank].tick(now))
            if self.paused[rank] == self.step and not self.cores[rank].view.doubtful:
                self.wrong = self.wrong or f"{rank} stood still and does not doubt its view"

    def _arrive(self, now: int, sender: int, rank: int, body: bytes) -> None:
        if self.paused[rank] > self.step:
            self.waiting[rank].append((sender, body))
        else:
            self._carry(rank, self.cores[rank].receive(now, sender, body))

    def _carry(self, rank: int, actions: list[state.Action]) -> None:
        for action in actions:
            if isinstance(action, state.Send):
                self.way.append((self.step + 1, rank, action.rank, action.body))

    def _look(self) -> None:
        """Lives and incarnations never go back."""
        for at, core in enumerate(self.cores):
            for member in core.members.values():
                held = member.life, member.incarnation
                if held < self.known.get((member.rank, at), held):
                    self.wrong = (
                        self.wrong or f"{at} went back to an older life or incarnation of {member.rank}"
                    )
                self.known[member.rank, at] = held

    def gone(self) -> list[tuple[int, int]]:
        """Who holds whom gone."""
        return [
            (at, member.rank)
            for at, core in enumerate(self.cores)
            for member in core.members.values()
            if member.state is state.State.DEAD
        ]

    def possible_faults(self, kinds: Collection[str]) -> Iterator[Fault]:
        """What of these kinds can go wrong in the next step."""
        due = sum(message[0] <= self.step + 1 for message in self.way)
        return possible(self.step, due, self.paused, kinds, PAUSES)

    def fingerprint(self) -> bytes:
        """What tells two states apart."""
        parts = self.step, self.paused, self.waiting, self.way, [vars(core) for core in self.cores]
        return blake2b(pickle.dumps(parts), digest_size=16).digest()


@dataclass(slots=True)
class SearchResult:
    """What was gone through and what was found."""

    states: int = 0
    paths: int = 0
    revisited: int = 0  # states that were reached before
    violations: list[Violation] = field(default_factory=list)


def check(
    kind: type[Membership] = Membership,
    size: int = 2,
    window: int = 24,
    max_faults: int = 1,
    kinds: Collection[str] = KINDS,
    max_violations: int = 10,
) -> SearchResult:
    """Every placing of up to so many faults within the window; ends after ``max_violations`` violations."""
    return explore(World(kind, size).warm_up(), _settle, window, max_faults, kinds, max_violations)


class Explorable(Protocol):
    """A world that is gone through: it can be copied and told from others."""

    step: int

    def advance(self, faults: tuple[Fault, ...] = ()) -> None:
        """One step with these faults."""

    def possible_faults(self, kinds: Collection[str]) -> Iterator[Fault]:
        """What of these kinds can go wrong in the next step."""

    def fingerprint(self) -> bytes:
        """What tells two states apart."""


Kind = TypeVar("Kind", bound=Explorable)


def explore(
    began: Kind,
    settle: Callable[[Kind, tuple[Fault, ...]], str],
    window: int,
    max_faults: int,
    kinds: Collection[str],
    max_violations: int,
) -> SearchResult:
    """Go through it; ``settle`` lets nothing more go wrong, and says what does not hold then."""
    result = SearchResult()
    seen: set[bytes] = set()
    stack: list[tuple[Kind, tuple[Fault, ...]]] = [(began, ())]
    first = began.step
    while stack and len(result.violations) < max_violations:
        world, done = stack.pop()
        place = world.step - first
        if place >= window:
            mark = world.fingerprint()
            if mark in seen:
                result.revisited += 1
                continue
            seen.add(mark)
            result.paths += 1
            if what := settle(world, done):
                result.violations.append(Violation(what, done))
            continue
        result.states += 1
        if len(done) < max_faults and place % EVERY == 0:
            for fault in world.possible_faults(kinds):
                other = copy.deepcopy(world)
                other.advance((fault,))
                stack.append((other, (*done, fault)))
        world.advance()
        stack.append((world, done))
    return result


def _settle(world: World, faults: tuple[Fault, ...]) -> str:
    """Nothing more goes wrong: what does not hold then; empty: all does."""
    ends = max([world.step, *world.paused, *(due for due, *_ in world.way)]) + QUIET
    hurt = {fault.which for fault in faults if fault.what in ("pause", "restart")}
    anew = {fault.which for fault in faults if fault.what == "restart"}
    while world.step < ends:
        world.advance()
        for at, rank in world.gone():
            if rank not in hurt and at not in anew:  # who stood still is no excuse for its word of others
                return f"{at} held {rank} gone, which ran and was heard"
    if world.wrong:
        return world.wrong
    if gone := world.gone():
        return f"{gone[0][0]} holds {gone[0][1]} gone for ever, which runs"
    views = [
        sorted((m.rank, m.life, m.state in state.ACTIVE_STATES) for m in core.members.values())
        for core in world.cores
    ]
    for at, core in enumerate(world.cores):
        wanted = [(other.rank, other.life, True) for other in world.cores if other is not core]
        if views[at] != wanted:
            return f"{at} does not hold what runs"
    return ""
