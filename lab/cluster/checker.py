"""What a run must not show, found in its files alone: see ``record``. Each rule gives its breaches.

A rule holds wherever no fault that was done excuses it: who was killed, paused or cut off from all may be
held gone; beyond the loss and delay that the design promises to bear nothing is claimed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from .record import Event, RunData
from .schedule import Link, PlannedFault

FOREVER = 1 << 62  # ms
LOOK_BACK = 8_000  # ms before a word in which its cause may lie
DETECT = 6_000  # ms until all that run hold a killed one gone
NAME = 6_000  # ms until a dead direction is named
NOTICE = 2_000  # ms until a process that goes on says that it stood still
YIELD = 10_000  # ms until one of twins has yielded
START = 8_000  # ms for a restarted process to be a member
PAUSE_LEAST = 600  # ms: a shorter pause may pass unnoticed
LOSS_BORNE = 0.25  # of the messages
DELAY_BORNE = 0.06  # seconds each way


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken, when (ms after the schedule's start) and how."""

    rule: str
    ms: int
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.ms / 1000:.3f} s: {self.text}"


@dataclass(frozen=True, slots=True)
class Span:
    """A fault's time, as done."""

    began: int
    ended: int
    fault: PlannedFault

    def meets(self, first: int, last: int) -> bool:
        """Whether it was on at any moment between."""
        return self.began <= last and self.ended >= first


class Checker:
    """One run's evidence, asked in different ways."""

    def __init__(self, evidence: RunData) -> None:
        self.e = evidence
        self.zero = evidence.run["began"]
        self.spans = [
            Span(began, FOREVER if ended is None else ended, fault) for began, ended, fault in evidence.faults
        ]
        self.over = evidence.run["over"]
        self.members = [event for event in evidence.events if event.name.startswith("member_")]

    def _on(self, kinds: Iterable[str], first: int, last: int) -> Iterator[Span]:
        wanted = set(kinds)
        return (span for span in self.spans if span.fault.what in wanted and span.meets(first, last))

    def _away(self, node: str, first: int, last: int) -> bool:
        """Whether a process was not there, or only starting, at any moment between."""
        gone = self._on(("kill", "leave", "upgrade", "move"), first - START, last)
        if any(node in span.fault.nodes for span in gone):
            return True
        return any(node in span.fault.nodes for span in self._on(("pause", "twin"), first, last))

    def _dead(self, first: int, last: int) -> set[Link]:
        """Directions that did not work at some moment between, or worse than is borne."""
        bad = {link for span in self._on(("cut",), first, last) for link in span.fault.links}
        for span in self._on(("loss", "garble", "delay", "reorder", "throttle"), first, last):
            fault = span.fault
            if fault.what == "throttle" or fault.amount > LOSS_BORNE or fault.by > DELAY_BORNE:
                bad |= set(fault.links)
        return bad

    def _reaches(self, source: str, target: str, first: int, last: int) -> bool:
        """Whether word of one could come to the other all the time, by whoever was there."""
        dead = self._dead(first, last)
        there = [name for name in self.e.gateways if not self._away(name, first, last)]
        seen, edge = {source}, [source]
        while edge:
            at = edge.pop()
            if at == target:
                return True
            for name in there:
                if name not in seen and (at, name) not in dead:
                    seen.add(name)
                    edge.append(name)
        return False

    def breaches(self) -> list[Breach]:
        """All of them, in time."""
        rules: list[Callable[[], Iterator[Breach]]] = [
            self.nobody_who_is_there_is_gone,
            self.the_dead_are_found,
            self.dead_directions_are_named,
            self.whole_directions_are_not_named,
            self.views_are_equal_at_the_end,
            self.standing_still_is_noticed_first,
            self.who_is_not_heard_says_so,
            self.one_of_twins_yields,
            self.lives_never_go_back,
            self.nothing_is_lost_without_a_fault,
            self.no_process_ends_by_itself,
        ]
        return sorted((breach for rule in rules for breach in rule()), key=lambda breach: breach.ms)

    def _breach(self, rule: str, ms: int, text: str) -> Breach:
        return Breach(rule, ms - self.zero, text)

    def _said(self, name: str, first: int, last: int) -> Iterator[Event]:
        return (event for event in self.members if event.name == name and first <= event.ms <= last)

    # -- rules ----------------------------------------------------------------------------------------------

    def nobody_who_is_there_is_gone(self) -> Iterator[Breach]:
        """Who runs, and whose word can come through, is not held gone."""
        for event in self._said("member_changed", self.zero, FOREVER):
            if event.fields["state"] != "gone":
                continue
            about, first = f"gw-{event.fields['member']}", event.ms - LOOK_BACK
            teller = event.node.removesuffix("-twin")
            if not self._away(about, first, event.ms) and self._reaches(about, teller, first, event.ms):
                text = f"{event.node} holds {about} gone"
                yield self._breach("gone though there", event.ms, text)

    def the_dead_are_found(self) -> Iterator[Breach]:
        """All that run hold a killed one gone in time."""
        for span in self._on(("kill", "leave"), 0, FOREVER):
            last = span.began + DETECT
            if span.ended < last:
                continue
            for about in span.fault.nodes:
                for name in self.e.gateways:
                    hurt = any(name in link for link in self._dead(span.began, last))
                    if name == about or hurt or self._away(name, span.began, last):
                        continue
                    if not self._found_dead(name, about, span.began - LOOK_BACK, last):
                        text = f"{name} did not find within {DETECT / 1000:g} s that {about} is dead"
                        yield self._breach("death not found", last, text)

    def _found_dead(self, name: str, about: str, first: int, last: int) -> bool:
        return any(
            event.node == name
            and f"gw-{event.fields['member']}" == about
            and event.fields["state"] in ("gone", "left")
            for event in self._said("member_changed", first, last)
        )

    def dead_directions_are_named(self) -> Iterator[Breach]:
        """A direction that is cut while its opposite lives is named, and no more once it is whole."""
        for span in self._on(("cut",), 0, FOREVER):
            last = span.began + NAME
            if span.ended < last:
                continue
            dead = self._dead(span.began, last)
            for a, b in span.fault.links:
                if not {a, b} <= set(self.e.gateways) or (b, a) in dead:
                    continue
                if self._away(a, span.began, last) or self._away(b, span.began, last):
                    continue
                ends = int(a[3:]), int(b[3:])
                said = self._said("member_link_changed", span.began, last)
                if not any((e.fields["from"], e.fields["to"]) == ends and e.fields["down"] for e in said):
                    text = f"nobody named {a}>{b} dead within {NAME / 1000:g} s"
                    yield self._breach("dead direction not named", last, text)

    def whole_directions_are_not_named(self) -> Iterator[Breach]:
        whole = not self._dead(self.over, self.over + 1)
        for name, view in self.e.member_views.items():
            if view and view["links_down"] and whole and not view["yielded"]:
                text = f"{name} still holds dead at the end: {view['links_down']}"
                yield self._breach("whole direction named dead", self.over, text)

    def views_are_equal_at_the_end(self) -> Iterator[Breach]:
        """Once no fault is on, all hold the same."""
        if self._dead(self.over, self.over + 1):
            return
        running = {int(name[3:]) for name in self.e.run["running"]}
        if self.e.run["agreed"] is None:
            yield self._breach("views differ", self.over, "they were not equal in the time to settle")
        for name, view in self.e.member_views.items():
            if view is None:
                yield self._breach("views differ", self.over, f"{name} did not answer")
                continue
            if view["yielded"]:
                continue
            members = view["members"].items()
            held = {view["rank"]} | {int(rank) for rank, row in members if row[0] in ("alive", "suspect")}
            if held != running:
                text = f"{name} holds {sorted(held)} to be there, {sorted(running)} run"
                yield self._breach("views differ", self.over, text)

    def standing_still_is_noticed_first(self) -> Iterator[Breach]:
        """Who was paused says so before it says anything of others."""
        for span in self._on(("pause",), 0, FOREVER):
            if span.ended >= FOREVER or span.ended - span.began < PAUSE_LEAST:
                continue
            for name in span.fault.nodes:
                again = list(self._on(("kill", "leave", "move", "pause"), span.began, span.ended + NOTICE))
                if any(other is not span and name in other.fault.nodes for other in again):
                    continue
                first = self._first_said(
                    name, span.began + PAUSE_LEAST // 2
                )  # it says nothing while it stands
                in_time = first is not None and first.ms <= span.ended + NOTICE
                if first is None or not in_time or first.name != "member_stood_still":
                    what = first.name if first else "nothing"
                    pause = (span.ended - span.began) / 1000
                    text = f"{name} went on after {pause:g} s, said first: {what}"
                    yield self._breach("standstill not noticed", span.ended, text)

    def _first_said(self, name: str, first: int) -> Event | None:
        return next((event for event in self.members if event.node == name and event.ms >= first), None)

    def who_is_not_heard_says_so(self) -> Iterator[Breach]:
        """A member none of whose words arrive anywhere learns it, if it hears others."""
        for span in self._on(("cut",), 0, FOREVER):
            last, links = span.began + NAME, set(span.fault.links)
            for name in self.e.gateways:
                others = [other for other in self.e.gateways if other != name]
                mute = len(others) > 1 and all((name, other) in links for other in others)
                deaf = self._dead(span.began, last) & {(other, name) for other in others}
                if not mute or deaf or span.ended < last or self._away(name, span.began, last):
                    continue
                said = self._said("member_unheard", span.began, last)
                if not any(event.node == name and event.fields["holds"] for event in said):
                    text = f"{name} does not say that nobody hears it"
                    yield self._breach("unheard unknowing", last, text)

    def one_of_twins_yields(self) -> Iterator[Breach]:
        """And not both."""
        for span in self._on(("twin",), 0, FOREVER):
            for name in span.fault.nodes:
                last = min(span.ended, span.began + YIELD)
                said = self._said("member_has_twin", span.began, last)
                yielded = [event.node for event in said if event.node in (name, f"{name}-twin")]
                if len(yielded) != 1:
                    text = f"of two under {name} these yielded: {', '.join(yielded) or 'none'}"
                    yield self._breach("twins", span.began + YIELD, text)

    def lives_never_go_back(self) -> Iterator[Breach]:
        """Nobody takes a former self, or one before a refutation, for the member again; a process that starts
        anew knows nothing of before."""
        for node in {event.node for event in self.members}:
            began = [
                span.began
                for span in self._on(("kill", "leave", "upgrade", "move", "twin"), 0, FOREVER)
                if node in span.fault.nodes
            ]
            held: dict[tuple[int, int], tuple[int, int]] = {}  # by member, and how often it had begun by then
            for event in self._said("member_changed", 0, FOREVER):
                if event.node != node or event.fields["was"] == "unknown":
                    continue
                at = event.fields["member"], sum(ms <= event.ms for ms in began)
                what = event.fields["life"], event.fields["incarnation"]
                if what < held.get(at, what):
                    text = f"{node} of gw-{at[0]}"
                    yield self._breach("life went back", event.ms, text)
                held[at] = what

    def nothing_is_lost_without_a_fault(self) -> Iterator[Breach]:
        """A gateway that was there answers every request."""
        for line in self.e.clients:
            began = line["ms"] - line["took_ms"]
            first = began - NOTICE
            if line["came"] == "lost" and not self._away(line["gateway"], first, line["ms"]):
                text = f"{line['gateway']} did not answer request {line['id']} within {line['took_ms']} ms"
                yield self._breach("request lost", line["ms"], text)

    def no_process_ends_by_itself(self) -> Iterator[Breach]:
        """Only who was told to."""
        ends = ("kill", "leave", "upgrade", "move", "twin")
        told = {name for span in self._on(ends, 0, FOREVER) for name in span.fault.nodes}
        for name in sorted(set(self.e.run["ended"])):
            if name.removesuffix("-twin").removesuffix("-before") in told:
                continue
            yield self._breach("process ended", self.over, f"{name} ended by itself")


def breaches(evidence: RunData) -> list[Breach]:
    """All that a run shows and must not."""
    return Checker(evidence).breaches()
