"""Explicit-state model check of the settings agreement: every placement of a few faults around two changes.

Uses the search of ``lab/model.py`` with the real cores of the source and the holders. Two versions are
proposed within the fault window, the first of them under the rule ``never``. After the window no more faults
occur.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from orchidlane.settings_lease import Holder
from registry.agreement import NEVER, WITHIN, PersistedState, Source, max_overlap_us

from .model import MESSAGE_FAULTS, Fault, SearchResult, explore, member_and_message_faults

STEP = 100_000  # microseconds
LEASE_MS = 1_200
START = 1_000_000_000  # microseconds
WARM_UP_STEPS = 30  # until all holders have the first version
PROPOSALS = ((4, 2, NEVER), (22, 3, WITHIN))  # step of the window, version, rule
PAUSE_STEPS = (8, 20)  # shorter and longer than a lease
LATE_STEPS = 9  # delay of a late message, and of the second copy of a doubled one
SETTLE_STEPS = 60  # after the last fault, until all holders must have the last version
FAULT_KINDS = (*MESSAGE_FAULTS, "pause", "restart", "source")


@dataclass(slots=True)
class World:
    """One source, a few holders, the messages in flight, and the first violation seen so far.

    ``proposals`` are those still to be made; ``disk`` is what a restarted source reads.
    """

    holder_factory: Callable[[str, int], Holder]
    source_factory: Callable[..., Source]
    size: int
    step: int = 0
    processes_started: int = 0
    source: Source = field(init=False)
    disk: PersistedState = field(init=False)
    cores: list[Holder] = field(default_factory=list)
    paused_until: list[int] = field(default_factory=list)  # step, by rank
    socket_buffers: list[list[dict[str, Any]]] = field(default_factory=list)
    # due, rank of the holder, whether it goes to the source, body
    in_flight: list[tuple[int, int, bool, dict[str, Any]]] = field(default_factory=list)
    proposals: list[tuple[int, int, str]] = field(default_factory=list)  # step, version, rule
    # (first, last) step at which any holder used a value, by (key, value)
    used: dict[tuple[str, int], tuple[int, int]] = field(default_factory=dict)
    violation: str = ""

    def warm_up(self) -> World:
        """Start the source and the holders, run until all have the first version, and return this world."""
        self.disk = PersistedState(1, 1, last=1)  # the source's first life, version 1 in effect
        self.source = self.source_factory(self.now(), self.disk, LEASE_MS)
        self.cores = [self.start_core(rank) for rank in range(self.size)]
        self.paused_until = [0] * self.size
        self.socket_buffers = [[] for _ in range(self.size)]
        for _ in range(WARM_UP_STEPS):
            self.advance()
        self.proposals = [(self.step + offset, version, rule) for offset, version, rule in PROPOSALS]
        return self

    def start_core(self, rank: int) -> Holder:
        """Create the core of a new holder process, without any state of an earlier one."""
        self.processes_started += 1
        return self.holder_factory(f"gw-{rank}", self.processes_started)

    def now(self) -> int:
        """Return the time of the current step in microseconds."""
        return START + self.step * STEP

    def advance(self, faults: tuple[Fault, ...] = ()) -> None:
        """Run one step with these faults."""
        self.step += 1
        self._apply_process_faults(faults)
        self._deliver_due(faults)
        # Holders decide before they read buffered answers, which is the worst order.
        self._decide()
        self._run_holders()
        self._run_source()

    def _apply_process_faults(self, faults: tuple[Fault, ...]) -> None:
        for fault in faults:
            if fault.kind == "pause":
                self.paused_until[fault.target] = self.step + fault.duration
            elif fault.kind == "restart":
                self.cores[fault.target] = self.start_core(fault.target)
                self.paused_until[fault.target] = 0
                self.socket_buffers[fault.target] = []
            elif fault.kind == "source":
                self.source = self.source_factory(self.now(), self.disk, LEASE_MS)

    def _deliver_due(self, faults: tuple[Fault, ...]) -> None:
        due = [message for message in self.in_flight if message[0] <= self.step]
        self.in_flight = [message for message in self.in_flight if message[0] > self.step]
        fault_kinds = {fault.target: fault.kind for fault in faults if fault.kind in MESSAGE_FAULTS}
        for position, (_, rank, to_source, body) in enumerate(due):
            kind = fault_kinds.get(position)
            if kind in ("late", "double"):
                self.in_flight.append((self.step + LATE_STEPS, rank, to_source, body))
            if kind not in ("late", "lose"):
                self._deliver(rank, to_source, body)

    def _run_holders(self) -> None:
        for rank, core in enumerate(self.cores):
            if self.paused_until[rank] > self.step:
                continue
            buffered, self.socket_buffers[rank] = self.socket_buffers[rank], []
            for body in buffered:
                core.apply_answer(self.now(), body)
            if core.due(self.now()):
                self.in_flight.append((self.step + 1, rank, True, core.make_request(self.now())))

    def _run_source(self) -> None:
        while self.proposals and self.proposals[0][0] <= self.step and not self.source.state.pending:
            _, version, rule = self.proposals.pop(0)
            self.source.propose(self.now(), version, rule)
        for answer in self.source.due_answers(self.now()):
            self.in_flight.append((self.step + 1, int(answer["holder"][3:]), False, answer))
        self.disk = self.source.state

    def _deliver(self, rank: int, to_source: bool, body: dict[str, Any]) -> None:
        if to_source:
            answer = self.source.handle_query(self.now(), body)
            self.disk = self.source.state
            if answer:
                self.in_flight.append((self.step + 1, rank, False, answer))
        elif self.paused_until[rank] > self.step:
            self.socket_buffers[rank].append(body)
        else:
            self.cores[rank].apply_answer(self.now(), body)

    def _decide(self) -> None:
        """Let each running holder decide by both keys, and check how long old and new values overlapped."""
        for rank, core in enumerate(self.cores):
            if self.paused_until[rank] > self.step:
                continue
            effective = core.effective(self.now())
            if effective.version is not None:
                # A key's value is 0 before the version of its change in PROPOSALS, and 1 from it on.
                if not effective.restricted:
                    self._record_use(NEVER, int(effective.version >= 2))
                if not effective.lapsed:
                    self._record_use(WITHIN, int(effective.version >= 3))
        for key, max_overlap in ((NEVER, 0), (WITHIN, -(-max_overlap_us(LEASE_MS) // STEP))):
            new_use, old_use = self.used.get((key, 1)), self.used.get((key, 0))
            if new_use and old_use and old_use[1] - new_use[0] > max_overlap:
                self.violation = (
                    self.violation
                    or f"{key}: the old value was used {old_use[1] - new_use[0]} steps after the new one"
                )

    def _record_use(self, key: str, value: int) -> None:
        first, _ = self.used.get((key, value), (self.step, 0))
        self.used[key, value] = first, self.step

    def possible_faults(self, kinds: Collection[str]) -> Iterator[Fault]:
        """Yield the faults of these kinds that are possible in the next step."""
        if "source" in kinds:
            yield Fault(self.step, "source", 0)
        due = sum(message[0] <= self.step + 1 for message in self.in_flight)
        yield from member_and_message_faults(self.step, due, self.paused_until, kinds, PAUSE_STEPS)

    def fingerprint(self) -> bytes:
        """Return a hash that is equal for equal states."""
        cores = [vars(core) for core in self.cores]
        source = self.source.state, self.source.recovery_until, self.source.proposed_at, self.source.holders
        parts = (
            self.step,
            self.paused_until,
            self.socket_buffers,
            self.in_flight,
            cores,
            source,
            self.proposals,
            self.used,
        )
        return blake2b(pickle.dumps(parts), digest_size=16).digest()


def _settle(world: World, faults: tuple[Fault, ...]) -> str:
    """Run on without further faults.

    Return a description of the violation, also if not all holders have the last version, or "".
    """
    end = max([world.step, *world.paused_until, *(due for due, *_ in world.in_flight)]) + SETTLE_STEPS
    while world.step < end:
        world.advance()
    if world.violation:
        return world.violation
    settings = [core.effective(world.now()) for core in world.cores]
    if any(effective.version != PROPOSALS[-1][1] or effective.restricted for effective in settings):
        return f"not all holders have the last version: {settings}"
    return ""


def check(
    holder: Callable[[str, int], Holder] = Holder,
    source: Callable[..., Source] = Source,
    size: int = 2,
    window: int = 36,
    max_faults: int = 1,
    kinds: Collection[str] = FAULT_KINDS,
    max_violations: int = 10,
) -> SearchResult:
    """Check every placement of up to ``max_faults`` faults within a window of steps.

    The search ends after ``max_violations`` violations.
    """
    return explore(World(holder, source, size).warm_up(), _settle, window, max_faults, kinds, max_violations)
