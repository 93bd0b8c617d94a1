"""Explicit-state check of the agreement: the real cores, and every placing of a few faults around a change.

As ``lab/model.py``, whose search it uses: between faults all is fixed. Two changes are put in the window, the
first of a kind that may never contradict; after it nothing goes wrong any more.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from orchidlane.agreed import Holder
from registry.agreement import NEVER, WITHIN, PersistedState, Source, max_overlap_us

from .model import Fault, SearchResult, explore, possible

STEP = 100_000  # microseconds
LEASE_MS = 1_200
START = 1_000_000_000
WARM = 30  # steps until all hold the first version
PUTS = ((4, 2, NEVER), (22, 3, WITHIN))  # steps of the window: which version, by which rule
PAUSES = (8, 20)  # steps: shorter and longer than a lease
LATE = 9  # steps that a late message takes
QUIET = 60  # steps after the window until all hold the last version
KINDS = ("lose", "double", "late", "pause", "restart", "source")


@dataclass(slots=True)
class World:
    """One source, a few holders, what is on its way."""

    holder: Callable[[str, int], Holder]
    source_of: Callable[..., Source]
    size: int
    step: int = 0
    lives: int = 0
    source: Source = field(init=False)
    disk: PersistedState = field(init=False)
    cores: list[Holder] = field(default_factory=list)
    paused: list[int] = field(default_factory=list)
    waiting: list[list[dict[str, Any]]] = field(default_factory=list)
    way: list[tuple[int, int, bool, dict[str, Any]]] = field(
        default_factory=list
    )  # due, who, to source, what
    puts: list[tuple[int, int, str]] = field(default_factory=list)
    acted: dict[tuple[str, int], tuple[int, int]] = field(
        default_factory=dict
    )  # key, value: first, last step
    wrong: str = ""

    def warm_up(self) -> World:
        """All hold the first version."""
        self.disk = PersistedState(1, 1, last=1)
        self.source = self.source_of(self.now(), self.disk, LEASE_MS)
        self.cores = [self.core(rank) for rank in range(self.size)]
        self.paused = [0] * self.size
        self.waiting = [[] for _ in range(self.size)]
        for _ in range(WARM):
            self.advance()
        self.puts = [(self.step + at, version, rule) for at, version, rule in PUTS]
        return self

    def core(self, rank: int) -> Holder:
        """A process from nothing."""
        self.lives += 1
        return self.holder(f"gw-{rank}", self.lives)

    def now(self) -> int:
        """Microseconds."""
        return START + self.step * STEP

    def advance(self, faults: tuple[Fault, ...] = ()) -> None:
        """One step with these faults."""
        self.step += 1
        self._apply_process_faults(faults)
        self._deliver_due(faults)
        # The one who decides acts before anything that waited in its socket is read: the worst order.
        self._decide()
        self._run_holders()
        self._run_source()

    def _apply_process_faults(self, faults: tuple[Fault, ...]) -> None:
        for fault in faults:
            if fault.what == "pause":
                self.paused[fault.which] = self.step + fault.span
            elif fault.what == "restart":
                self.cores[fault.which] = self.core(fault.which)
                self.paused[fault.which] = 0
                self.waiting[fault.which] = []
            elif fault.what == "source":
                self.source = self.source_of(self.now(), self.disk, LEASE_MS)

    def _deliver_due(self, faults: tuple[Fault, ...]) -> None:
        due = [message for message in self.way if message[0] <= self.step]
        self.way = [message for message in self.way if message[0] > self.step]
        of_step = {fault.which: fault.what for fault in faults if fault.what in ("lose", "double", "late")}
        for place, (_, rank, to_source, body) in enumerate(due):
            what = of_step.get(place)
            if what in ("late", "double"):
                self.way.append((self.step + LATE, rank, to_source, body))
            if what not in ("late", "lose"):
                self._arrive(rank, to_source, body)

    def _run_holders(self) -> None:
        for rank, core in enumerate(self.cores):
            if self.paused[rank] > self.step:
                continue
            waited, self.waiting[rank] = self.waiting[rank], []
            for body in waited:
                core.apply_answer(self.now(), body)
            if core.due(self.now()):
                self.way.append((self.step + 1, rank, True, core.make_request(self.now())))

    def _run_source(self) -> None:
        while self.puts and self.puts[0][0] <= self.step and not self.source.state.pending:
            _, version, rule = self.puts.pop(0)
            self.source.propose(self.now(), version, rule)
        for answer in self.source.due_answers(self.now()):
            self.way.append((self.step + 1, int(answer["holder"][3:]), False, answer))
        self.disk = self.source.state

    def _arrive(self, rank: int, to_source: bool, body: dict[str, Any]) -> None:
        if to_source:
            answer = self.source.handle_query(self.now(), body)
            self.disk = self.source.state
            if answer:
                self.way.append((self.step + 1, rank, False, answer))
        elif self.paused[rank] > self.step:
            self.waiting[rank].append(body)
        else:
            self.cores[rank].apply_answer(self.now(), body)

    def _decide(self) -> None:
        """Each that runs decides by what it holds; by which value of each key, and when, is kept."""
        for rank, core in enumerate(self.cores):
            if self.paused[rank] > self.step:
                continue
            effective = core.effective(self.now())
            if effective.version is not None:
                if not effective.restricted:
                    self._note(NEVER, int(effective.version >= 2))
                if not effective.lapsed:
                    self._note(WITHIN, int(effective.version >= 3))
        for key, max_overlap in ((NEVER, 0), (WITHIN, -(-max_overlap_us(LEASE_MS) // STEP))):
            first, last = self.acted.get((key, 1)), self.acted.get((key, 0))
            if first and last and last[1] - first[0] > max_overlap:
                self.wrong = (
                    self.wrong or f"{key}: the old value {last[1] - first[0]} steps after the new one"
                )

    def _note(self, key: str, value: int) -> None:
        first, _ = self.acted.get((key, value), (self.step, 0))
        self.acted[key, value] = first, self.step

    def possible_faults(self, kinds: Collection[str]) -> Iterator[Fault]:
        """What of these kinds can go wrong in the next step."""
        if "source" in kinds:
            yield Fault(self.step, "source", 0)
        due = sum(message[0] <= self.step + 1 for message in self.way)
        yield from possible(self.step, due, self.paused, kinds, PAUSES)

    def fingerprint(self) -> bytes:
        """What tells two states apart."""
        cores = [vars(core) for core in self.cores]
        source = self.source.state, self.source.recovery_until, self.source.proposed_at, self.source.holders
        parts = self.step, self.paused, self.waiting, self.way, cores, source, self.puts, self.acted
        return blake2b(pickle.dumps(parts), digest_size=16).digest()


def _settle(world: World, faults: tuple[Fault, ...]) -> str:
    """Nothing more goes wrong: no contradiction on the way, and all hold the last version then."""
    ends = max([world.step, *world.paused, *(due for due, *_ in world.way)]) + QUIET
    while world.step < ends:
        world.advance()
    if world.wrong:
        return world.wrong
    held = [core.effective(world.now()) for core in world.cores]
    if any(effective.version != PUTS[-1][1] or effective.restricted for effective in held):
        return f"the last version is not held by all: {held}"
    return ""


def check(
    holder: Callable[[str, int], Holder] = Holder,
    source: Callable[..., Source] = Source,
    size: int = 2,
    window: int = 36,
    max_faults: int = 1,
    kinds: Collection[str] = KINDS,
    max_violations: int = 10,
) -> SearchResult:
    """Every placing of up to so many faults within the window; ends after ``max_violations`` violations."""
    return explore(World(holder, source, size).warm_up(), _settle, window, max_faults, kinds, max_violations)
