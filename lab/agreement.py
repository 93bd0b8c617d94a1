"""Settings that gateways agree on, on the virtual clock: one source, many holders, faults, and a checker.

Clocks run too fast or too slow by the stated drift, each its own. What each holder decided by, and when, is
all that the checker sees.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from orchidlane.agreed import Holder
from registry.agreement import DRIFT, NEVER, WITHIN, Conflict, PersistedState, Source, max_overlap_us

from .kernel import T0, Kernel, Uniform, draws

SECOND, MS = 1_000_000, 1_000
DELAY = (200, 2_000)  # microseconds on the way
LATE = 4 * SECOND  # a message that is held up somewhere comes so late at most
DECIDE = 20 * MS  # between two decisions
TICK = 50 * MS
WARM = 5 * SECOND  # until the first change: a source that starts waits for a lease


@dataclass(frozen=True, slots=True)
class Faults:
    """How often what goes wrong: parts of messages, or times a second over all holders."""

    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0
    cuts: float = 0.0
    pauses: float = 0.0
    restarts: float = 0.0
    source_restarts: float = 0.0
    spans: tuple[float, float] = (0.2, 8.0)  # seconds of a cut or pause


KINDS = {
    "calm": Faults(),
    "loss": Faults(loss=0.3, double=0.2, late=0.05),
    "cuts": Faults(cuts=2.0),
    "pauses": Faults(pauses=2.0, late=0.02),
    "restarts": Faults(restarts=1.0, loss=0.05, late=0.02),
    "source": Faults(source_restarts=0.2, cuts=0.5),
    "all": Faults(0.1, 0.1, 0.03, 0.7, 0.7, 0.3, 0.05),
}


@dataclass(slots=True)
class Decided:
    """By which value of a key somebody decided, first and last; microseconds of true time."""

    first: int
    last: int


@dataclass(slots=True, eq=False)
class Node:
    """A holder's process with a clock of its own."""

    name: str
    core: Holder
    rate: float
    paused: int = 0  # until when
    mute: int = 0  # nothing of it arrives until then
    deaf: int = 0
    waiting: list[dict[str, Any]] = field(default_factory=list)


Make = Callable[[str, int], Holder]


class World:
    """A source, holders, and somebody who changes the settings all the time."""

    def __init__(
        self,
        size: int,
        seed: int,
        faults: Faults,
        lease_ms: int = 3_000,
        holder: Make = Holder,
        source: Callable[..., Source] = Source,
        change_interval: float = 0.5,
    ) -> None:
        self.kernel = Kernel()
        self.faults = faults
        self.lease_ms = lease_ms
        self.kernel.now = T0
        self.draw = Uniform(draws(seed, "agreement"))
        self.holder = holder
        self.make_source = source
        self.change_interval = change_interval
        self.source_rate = self._rate()
        self.disk = PersistedState(1, 1, last=1)
        self.source = source(self._source_now(), self.disk, lease_ms)
        self.source_down = 0
        self.lives = 0
        self.nodes = [Node(f"gw-{i}", self._core(f"gw-{i}"), self._rate()) for i in range(size)]
        self.by_name = {node.name: node for node in self.nodes}
        # By version: the values of two keys, one that may never contradict and one that may for a time.
        self.values: dict[int, tuple[int, int]] = {1: (0, 0)}
        self.rules: dict[int, str] = {}
        self.decided: dict[tuple[str, int, str], Decided] = {}  # key, value, who
        self.counts: Counter[str] = Counter()
        self.first_held: dict[tuple[int, int], int] = {}  # by life of the holder and version
        self.put_at: dict[int, int] = {}  # version: when it was put
        self.held_at: dict[int, int] = {}  # and when the last holder took it
        for node in self.nodes:
            self.kernel.after(int(self.draw() * TICK), self._tick, node)
            self.kernel.after(int(self.draw() * DECIDE), self._decide, node)
        self.kernel.after(WARM, self._write)
        self.kernel.after(TICK, self._trouble)
        self.kernel.after(TICK, self._look)

    def _rate(self) -> float:
        return 1 + DRIFT * (2 * self.draw() - 1)

    def _core(self, name: str) -> Holder:
        self.lives += 1
        return self.holder(name, self.lives)

    def _now(self, node: Node) -> int:
        return int(self.kernel.now * node.rate)

    def _source_now(self) -> int:
        return int(self.kernel.now * self.source_rate)

    def run(self, span: float) -> None:
        """So many seconds."""
        self.kernel.run(self.kernel.now + int(span * SECOND))

    # -- what processes do ----------------------------------------------------------------------------------

    def _tick(self, node: Node) -> None:
        if node.paused <= self.kernel.now and node.core.due(self._now(node)):
            self._send(node, node.core.make_request(self._now(node)), to_source=True)
        self.kernel.after(TICK, self._tick, node)

    def _send(self, node: Node, body: dict[str, Any], to_source: bool) -> None:
        faults = self.faults
        cut = node.mute if to_source else node.deaf
        if cut > self.kernel.now or self.draw() < faults.loss:
            return
        for _ in range(1 + (self.draw() < faults.double)):
            way = DELAY[0] + int(self.draw() * (DELAY[1] - DELAY[0]))
            if self.draw() < faults.late:
                way = int(self.draw() * LATE)
            self.kernel.after(way, self._arrive, node, body, to_source)

    def _arrive(self, node: Node, body: dict[str, Any], to_source: bool) -> None:
        if to_source:
            if self.kernel.now >= self.source_down:
                answer = self.source.handle_query(self._source_now(), body)
                self._keep()
                if answer:
                    self._send(node, answer, to_source=False)
        elif node.paused > self.kernel.now:
            node.waiting.append(body)
        else:
            self._told(node, body)

    def _told(self, node: Node, body: dict[str, Any]) -> None:
        if node.core.apply_answer(self._now(node), body) and node.core.version:
            self.held_at[node.core.version] = max(
                self.held_at.get(node.core.version, 0), self._first_held(node, node.core.version)
            )
        # What it is ready for is said at once.
        if node.core.due(self._now(node)):
            self._send(node, node.core.make_request(self._now(node)), to_source=True)

    def _first_held(self, node: Node, version: int) -> int:
        """When this process took the version first."""
        return self.first_held.setdefault((node.core.life, version), self.kernel.now)

    def _decide(self, node: Node) -> None:
        """A request comes to it: by which value of each key is it decided?"""
        now = self.kernel.now
        self.kernel.after(DECIDE // 2 + int(self.draw() * DECIDE), self._decide, node)
        if node.paused > now:
            return
        effective = node.core.effective(self._now(node))
        self.counts["decisions"] += 1
        self.counts["lapsed"] += effective.lapsed
        self.counts["narrow"] += effective.restricted and not effective.lapsed
        if effective.version is None:
            return
        never, within = self.values[effective.version]
        if not effective.restricted:
            self._note(NEVER, never, node.name, now)
        if not effective.lapsed:
            self._note(WITHIN, within, node.name, now)

    def _note(self, key: str, value: int, name: str, now: int) -> None:
        seen = self.decided.setdefault((key, value, name), Decided(now, now))
        seen.last = now

    def _look(self) -> None:
        """The source answers who waits."""
        self.kernel.after(TICK // 5, self._look)
        if self.kernel.now >= self.source_down:
            answers = self.source.due_answers(self._source_now())
            self._keep()
            for answer in answers:
                self._send(self.by_name[answer["holder"]], answer, to_source=False)

    def _keep(self) -> None:
        if self.source.state != self.disk:
            self.disk = self.source.state

    # -- what goes on ---------------------------------------------------------------------------------------

    def _write(self) -> None:
        """The next change, once the one before it is in force."""
        self.kernel.after(int((0.5 + self.draw()) * self.change_interval * SECOND), self._write)
        if self.kernel.now < self.source_down:
            return
        version = max(self.values) + 1
        rule = NEVER if self.draw() < 0.5 else WITHIN
        now = self._source_now()
        if self.source.advance(now):
            self._keep()
        try:
            self.source.propose(now, version, rule)
        except Conflict:
            self.counts["waited"] += 1
            return
        never, within = self.values[version - 1]
        self.put_at[version] = self.kernel.now
        self.values[version] = (never + (rule == NEVER), within + (rule == WITHIN))
        self.counts["changes"] += 1
        self._keep()

    def _trouble(self) -> None:
        self.kernel.after(TICK, self._trouble)
        faults, now = self.faults, self.kernel.now

        def is_due(rate: float) -> bool:
            return self.draw() < rate * TICK / SECOND

        def span() -> int:
            least, most = faults.spans
            return int((least + self.draw() * (most - least)) * SECOND)

        node = self.nodes[int(self.draw() * len(self.nodes))]
        if is_due(faults.cuts):
            ends = now + span()
            which = self.draw()
            node.mute = ends if which < 0.67 else 0
            node.deaf = ends if which > 0.33 else 0
        if is_due(faults.pauses) and node.paused <= now:
            ends = span()
            node.paused = now + ends
            self.kernel.after(ends, self._go_on, node)
        if is_due(faults.restarts):
            node.core = self._core(node.name)
            node.waiting = []
            node.paused = 0
        if is_due(faults.source_restarts) and now >= self.source_down:
            ends = span() // 4
            self.source_down = now + ends
            self.kernel.after(ends, self._restart_source)

    def _go_on(self, node: Node) -> None:
        """What waited in its socket comes first, then what it has to decide."""
        waiting, node.waiting = node.waiting, []
        for body in waiting:
            self._told(node, body)

    def _restart_source(self) -> None:
        self.source = self.make_source(self._source_now(), self.disk, self.lease_ms)

    # -- what is seen ---------------------------------------------------------------------------------------

    def overlaps(self, key: str) -> list[tuple[int, int, str]]:
        """For each value and holder: microseconds that it decided by that value after another had decided by
        a newer one; with the value and its name."""
        first: dict[int, dict[str, int]] = {}
        for (of, value, name), seen in self.decided.items():
            if of == key:
                first.setdefault(value, {})[name] = seen.first
        values = sorted(first, reverse=True)
        earliest: dict[int, list[tuple[int, str]]] = {}
        newer: dict[str, int] = {}
        for value in values:
            earliest[value] = sorted((at, name) for name, at in newer.items())[:2]
            for name, at in first[value].items():
                newer[name] = min(at, newer.get(name, at))
        found = []
        for (of, value, name), seen in self.decided.items():
            others = [at for at, other in earliest.get(value, []) if other != name] if of == key else []
            if others and seen.last > others[0]:
                found.append((seen.last - others[0], value, name))
        return sorted(found, reverse=True)

    def propagation_times(self) -> list[float]:
        """Seconds from each put to the last holder that took it; without faults that is all of them."""
        return sorted((at - self.put_at[v]) / SECOND for v, at in self.held_at.items() if v in self.put_at)

    def max_overlap_ratio(self, key: str) -> float:
        """The longest contradiction, as a part of the bound; 0: none."""
        found = self.overlaps(key)
        return found[0][0] / max_overlap_us(self.lease_ms) if found else 0.0
