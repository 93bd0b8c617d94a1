"""Simulation of the leased agreement on settings, see ``registry/agreement.py``, with faults.

One source (the list service) and many holders (gateways) run on a virtual clock. Each process has a clock of
its own, which is fast or slow by up to ``DRIFT``. The simulation records which value each holder used in its
decisions and when; how long old and new values overlapped is computed from this record alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from orchidlane.settings_lease import Holder
from registry.agreement import DRIFT, NEVER, WITHIN, Conflict, PersistedState, Source, max_overlap_us

from .kernel import START_TIME, Kernel, UniformStream, random_generator

SECOND, MS = 1_000_000, 1_000  # microseconds
NETWORK_DELAY = (200, 2_000)  # microseconds, minimum and maximum
LATE_DELAY_MAX = 4 * SECOND  # of a late message
DECISION_INTERVAL = 20 * MS  # on average
TICK_INTERVAL = 50 * MS
FIRST_CHANGE_DELAY = 5 * SECOND  # a source that has just started applies no change for one lease


@dataclass(frozen=True, slots=True)
class Faults:
    """Fault rates: ``loss``, ``duplication`` and ``late`` as fractions of the messages, the others in events
    per second over all holders."""

    loss: float = 0.0
    duplication: float = 0.0
    late: float = 0.0
    disconnects: float = 0.0
    pauses: float = 0.0
    restarts: float = 0.0
    source_restarts: float = 0.0
    durations: tuple[float, float] = (0.2, 8.0)  # seconds of a disconnect or pause, minimum and maximum


# Fault profiles by name
FAULT_PROFILES = {
    "calm": Faults(),
    "loss": Faults(loss=0.3, duplication=0.2, late=0.05),
    "cuts": Faults(disconnects=2.0),
    "pauses": Faults(pauses=2.0, late=0.02),
    "restarts": Faults(restarts=1.0, loss=0.05, late=0.02),
    "source": Faults(source_restarts=0.2, disconnects=0.5),
    "all": Faults(0.1, 0.1, 0.03, 0.7, 0.7, 0.3, 0.05),
}


@dataclass(slots=True)
class Use:
    """When a holder first and last decided by a value, in microseconds of true time."""

    first: int
    last: int


@dataclass(slots=True, eq=False)
class Node:
    """A holder's process; its clock runs at ``clock_rate``."""

    name: str
    core: Holder
    clock_rate: float
    paused_until: int = 0
    send_blocked_until: int = 0
    receive_blocked_until: int = 0
    socket_buffer: list[dict[str, Any]] = field(default_factory=list)  # answers that arrive during a pause


HolderFactory = Callable[[str, int], Holder]


class World:
    """A source, its holders, and a writer that keeps changing the settings."""

    def __init__(
        self,
        size: int,
        seed: int,
        faults: Faults,
        lease_ms: int = 3_000,
        holder: HolderFactory = Holder,
        source: Callable[..., Source] = Source,
        change_interval: float = 0.5,
    ) -> None:
        self.kernel = Kernel()
        self.faults = faults
        self.lease_ms = lease_ms
        self.kernel.now = START_TIME
        self.draw = UniformStream(random_generator(seed, "agreement"))
        self.holder_factory = holder
        self.source_factory = source
        self.change_interval = change_interval
        self.source_clock_rate = self._draw_clock_rate()
        self.disk = PersistedState(1, 1, last=1)
        self.source = source(self._source_now(), self.disk, lease_ms)
        self.source_down_until = 0
        self.processes_started = 0
        self.nodes = [
            Node(f"gw-{i}", self._start_core(f"gw-{i}"), self._draw_clock_rate()) for i in range(size)
        ]
        self.by_name = {node.name: node for node in self.nodes}
        # By version: the values of two keys, one changed under the rule ``never``, one under ``within``.
        self.values: dict[int, tuple[int, int]] = {1: (0, 0)}
        self.uses: dict[tuple[str, int, str], Use] = {}  # by key, value and holder
        self.counts: Counter[str] = Counter()
        self.first_applied: dict[tuple[int, int], int] = {}  # time, by life of the holder and version
        self.proposed_at: dict[int, int] = {}  # by version
        self.last_applied: dict[int, int] = {}  # by version: when the last holder applied it
        for node in self.nodes:
            self.kernel.call_after(int(self.draw() * TICK_INTERVAL), self._tick, node)
            self.kernel.call_after(int(self.draw() * DECISION_INTERVAL), self._decide, node)
        self.kernel.call_after(FIRST_CHANGE_DELAY, self._propose_change)
        self.kernel.call_after(TICK_INTERVAL, self._inject_faults)
        self.kernel.call_after(TICK_INTERVAL, self._poll_source)

    def _draw_clock_rate(self) -> float:
        return 1 + DRIFT * (2 * self.draw() - 1)

    def _start_core(self, name: str) -> Holder:
        self.processes_started += 1
        return self.holder_factory(name, self.processes_started)

    def _now(self, node: Node) -> int:
        return int(self.kernel.now * node.clock_rate)

    def _source_now(self) -> int:
        return int(self.kernel.now * self.source_clock_rate)

    def run(self, duration: float) -> None:
        """Run the simulation for this many seconds."""
        self.kernel.run(self.kernel.now + int(duration * SECOND))

    # -- processes ------------------------------------------------------------------------------------------

    def _tick(self, node: Node) -> None:
        if node.paused_until <= self.kernel.now and node.core.due(self._now(node)):
            self._send(node, node.core.make_request(self._now(node)), to_source=True)
        self.kernel.call_after(TICK_INTERVAL, self._tick, node)

    def _send(self, node: Node, body: dict[str, Any], to_source: bool) -> None:
        faults = self.faults
        blocked_until = node.send_blocked_until if to_source else node.receive_blocked_until
        if blocked_until > self.kernel.now or self.draw() < faults.loss:
            return
        for _ in range(1 + (self.draw() < faults.duplication)):
            delay = NETWORK_DELAY[0] + int(self.draw() * (NETWORK_DELAY[1] - NETWORK_DELAY[0]))
            if self.draw() < faults.late:
                delay = int(self.draw() * LATE_DELAY_MAX)
            self.kernel.call_after(delay, self._deliver, node, body, to_source)

    def _deliver(self, node: Node, body: dict[str, Any], to_source: bool) -> None:
        if to_source:
            if self.kernel.now >= self.source_down_until:
                answer = self.source.handle_query(self._source_now(), body)
                self._persist()
                if answer:
                    self._send(node, answer, to_source=False)
        elif node.paused_until > self.kernel.now:
            node.socket_buffer.append(body)
        else:
            self._apply_answer(node, body)

    def _apply_answer(self, node: Node, body: dict[str, Any]) -> None:
        if node.core.apply_answer(self._now(node), body) and node.core.version:
            self.last_applied[node.core.version] = max(
                self.last_applied.get(node.core.version, 0), self._first_applied(node, node.core.version)
            )
        # If the holder is now prepared for a version, it reports so at once.
        if node.core.due(self._now(node)):
            self._send(node, node.core.make_request(self._now(node)), to_source=True)

    def _first_applied(self, node: Node, version: int) -> int:
        """Return when this process applied the version for the first time; record it if that is now."""
        return self.first_applied.setdefault((node.core.life, version), self.kernel.now)

    def _decide(self, node: Node) -> None:
        """Simulate a decision of this holder, and record the value of each key that it used."""
        now = self.kernel.now
        self.kernel.call_after(
            DECISION_INTERVAL // 2 + int(self.draw() * DECISION_INTERVAL), self._decide, node
        )
        if node.paused_until > now:
            return
        effective = node.core.effective(self._now(node))
        self.counts["decisions"] += 1
        self.counts["lapsed"] += effective.lapsed
        self.counts["narrow"] += effective.restricted and not effective.lapsed
        if effective.version is None:
            return
        never, within = self.values[effective.version]
        if not effective.restricted:
            self._record_use(NEVER, never, node.name, now)
        if not effective.lapsed:
            self._record_use(WITHIN, within, node.name, now)

    def _record_use(self, key: str, value: int, name: str, now: int) -> None:
        use = self.uses.setdefault((key, value, name), Use(now, now))
        use.last = now

    def _poll_source(self) -> None:
        """Send the answers that are due to parked queries (long poll)."""
        self.kernel.call_after(TICK_INTERVAL // 5, self._poll_source)
        if self.kernel.now >= self.source_down_until:
            answers = self.source.due_answers(self._source_now())
            self._persist()
            for answer in answers:
                self._send(self.by_name[answer["holder"]], answer, to_source=False)

    def _persist(self) -> None:
        if self.source.state != self.disk:
            self.disk = self.source.state

    # -- changes and faults ---------------------------------------------------------------------------------

    def _propose_change(self) -> None:
        """Propose the next version, unless an earlier one is still pending."""
        self.kernel.call_after(int((0.5 + self.draw()) * self.change_interval * SECOND), self._propose_change)
        if self.kernel.now < self.source_down_until:
            return
        version = max(self.values) + 1
        rule = NEVER if self.draw() < 0.5 else WITHIN
        now = self._source_now()
        if self.source.advance(now):
            self._persist()
        try:
            self.source.propose(now, version, rule)
        except Conflict:
            self.counts["waited"] += 1
            return
        never, within = self.values[version - 1]
        self.proposed_at[version] = self.kernel.now
        self.values[version] = (never + (rule == NEVER), within + (rule == WITHIN))
        self.counts["changes"] += 1
        self._persist()

    def _inject_faults(self) -> None:
        self.kernel.call_after(TICK_INTERVAL, self._inject_faults)
        faults, now = self.faults, self.kernel.now

        def is_due(rate: float) -> bool:
            return self.draw() < rate * TICK_INTERVAL / SECOND

        def draw_duration() -> int:
            shortest, longest = faults.durations
            return int((shortest + self.draw() * (longest - shortest)) * SECOND)

        node = self.nodes[int(self.draw() * len(self.nodes))]
        if is_due(faults.disconnects):
            end = now + draw_duration()
            direction = self.draw()  # blocked: below 0.33 only sending, above 0.67 only receiving, else both
            node.send_blocked_until = end if direction < 0.67 else 0
            node.receive_blocked_until = end if direction > 0.33 else 0
        if is_due(faults.pauses) and node.paused_until <= now:
            duration = draw_duration()
            node.paused_until = now + duration
            self.kernel.call_after(duration, self._resume, node)
        if is_due(faults.restarts):
            node.core = self._start_core(node.name)
            node.socket_buffer = []
            node.paused_until = 0
        if is_due(faults.source_restarts) and now >= self.source_down_until:
            duration = draw_duration() // 4
            self.source_down_until = now + duration
            self.kernel.call_after(duration, self._restart_source)

    def _resume(self, node: Node) -> None:
        """Process the buffered answers after a pause, before the next decision."""
        buffered, node.socket_buffer = node.socket_buffer, []
        for body in buffered:
            self._apply_answer(node, body)

    def _restart_source(self) -> None:
        self.source = self.source_factory(self._source_now(), self.disk, self.lease_ms)

    # -- observations ---------------------------------------------------------------------------------------

    def overlaps(self, key: str) -> list[tuple[int, int, str]]:
        """Return the overlaps of old and new values of a key, longest first.

        Each is (microseconds, old value, holder). An overlap is the time for which a holder still used
        a value after another holder had used a newer one.
        """
        first_uses: dict[int, dict[str, int]] = {}
        for (of_key, value, name), use in self.uses.items():
            if of_key == key:
                first_uses.setdefault(value, {})[name] = use.first
        values = sorted(first_uses, reverse=True)
        # By value: the two holders that first used any newer value, as one may be the old value's holder.
        earliest: dict[int, list[tuple[int, str]]] = {}
        newer: dict[str, int] = {}  # by holder: its first use of any newer value
        for value in values:
            earliest[value] = sorted((time, name) for name, time in newer.items())[:2]
            for name, time in first_uses[value].items():
                newer[name] = min(time, newer.get(name, time))
        overlaps = []
        for (of_key, value, name), use in self.uses.items():
            others = (
                [time for time, other in earliest.get(value, []) if other != name] if of_key == key else []
            )
            if others and use.last > others[0]:
                overlaps.append((use.last - others[0], value, name))
        return sorted(overlaps, reverse=True)

    def propagation_times(self) -> list[float]:
        """Return the seconds from each proposal until the last holder applied it, sorted.

        With faults, some holders may never apply a version; these are not counted.
        """
        return sorted(
            (time - self.proposed_at[version]) / SECOND
            for version, time in self.last_applied.items()
            if version in self.proposed_at
        )

    def max_overlap_ratio(self, key: str) -> float:
        """Return the longest overlap as a fraction of the bound, 0 if there is none."""
        overlaps = self.overlaps(key)
        return overlaps[0][0] / max_overlap_us(self.lease_ms) if overlaps else 0.0
