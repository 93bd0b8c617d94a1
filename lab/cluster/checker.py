"""Rules that a run must satisfy, evaluated from its files alone (see ``record``).

A rule applies only where no injected fault excuses its violation: a process that was killed, paused or cut
off from all others may be declared gone, and nothing is required under more loss or delay than the design
tolerates.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from .record import Event, RunData
from .schedule import Link, PlannedFault

NEVER_MS = 1 << 62  # end of a fault that was not undone
CAUSE_WINDOW_MS = 8_000  # how long before a log event its cause may lie
DETECTION_TIMEOUT_MS = 6_000  # until all running members have declared a killed one gone
LINK_REPORT_TIMEOUT_MS = 6_000  # until a failed direction is reported
PAUSE_REPORT_TIMEOUT_MS = 2_000  # until a resumed process reports its pause
TWIN_YIELD_TIMEOUT_MS = 10_000  # until one of two processes of the same rank has yielded
START_TIMEOUT_MS = 8_000  # for a restarted process to become a member
DETECTABLE_PAUSE_MIN_MS = 600  # a shorter pause may go undetected
TOLERATED_LOSS = 0.25  # fraction of the messages
TOLERATED_DELAY = 0.06  # seconds each way


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken, when (ms after the schedule's start) and how."""

    rule: str
    ms: int
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.ms / 1000:.3f} s: {self.text}"


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """The time during which a fault was active."""

    began: int
    ended: int
    fault: PlannedFault

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether the fault was active at any moment between the two times."""
        return self.began <= last and self.ended >= first


class Checker:
    """Evaluates the rules on the data of one run."""

    def __init__(self, run_data: RunData) -> None:
        self.data = run_data
        self.start_ms = run_data.run["began"]
        self.spans = [
            FaultSpan(began, NEVER_MS if ended is None else ended, fault)
            for began, ended, fault in run_data.faults
        ]
        self.end_ms = run_data.run["over"]
        self.member_events = [event for event in run_data.events if event.name.startswith("member_")]

    def _spans_of(self, kinds: Iterable[str], start: int, end: int) -> Iterator[FaultSpan]:
        wanted = set(kinds)
        return (span for span in self.spans if span.fault.what in wanted and span.overlaps(start, end))

    def _was_unavailable(self, node: str, start: int, end: int) -> bool:
        """Return whether a process was down, starting, paused or had a twin at any moment between."""
        restarts = self._spans_of(("kill", "leave", "upgrade", "move"), start - START_TIMEOUT_MS, end)
        if any(node in span.fault.nodes for span in restarts):
            return True
        return any(node in span.fault.nodes for span in self._spans_of(("pause", "twin"), start, end))

    def _failed_links(self, start: int, end: int) -> set[Link]:
        """Return the directed links that were cut or impaired at any moment between.

        Impaired are links with more than the tolerated loss or delay, and throttled ones.
        """
        failed = {link for span in self._spans_of(("cut",), start, end) for link in span.fault.links}
        for span in self._spans_of(("loss", "garble", "delay", "reorder", "throttle"), start, end):
            fault = span.fault
            if fault.what == "throttle" or fault.amount > TOLERATED_LOSS or fault.by > TOLERATED_DELAY:
                failed |= set(fault.links)
        return failed

    def _could_reach(self, source: str, target: str, start: int, end: int) -> bool:
        """Return whether updates could spread from source to target throughout, also through other gateways.

        Only gateways that were available throughout pass them on.
        """
        failed = self._failed_links(start, end)
        available = [name for name in self.data.gateways if not self._was_unavailable(name, start, end)]
        reached, frontier = {source}, [source]
        while frontier:
            node = frontier.pop()
            if node == target:
                return True
            for name in available:
                if name not in reached and (node, name) not in failed:
                    reached.add(name)
                    frontier.append(name)
        return False

    def breaches(self) -> list[Breach]:
        """Return all broken rules, in order of time."""
        rules: list[Callable[[], Iterator[Breach]]] = [
            self.live_members_are_not_declared_gone,
            self.dead_members_are_detected,
            self.failed_directions_are_reported,
            self.recovered_directions_are_not_reported,
            self.final_views_agree,
            self.pause_is_reported_first,
            self.unheard_members_report_it,
            self.exactly_one_twin_yields,
            self.incarnations_never_decrease,
            self.no_request_is_lost_without_fault,
            self.no_process_exits_unexpectedly,
        ]
        return sorted((breach for rule in rules for breach in rule()), key=lambda breach: breach.ms)

    def _breach(self, rule: str, ms: int, text: str) -> Breach:
        return Breach(rule, ms - self.start_ms, text)

    def _events(self, name: str, start: int, end: int) -> Iterator[Event]:
        return (event for event in self.member_events if event.name == name and start <= event.ms <= end)

    # -- rules ----------------------------------------------------------------------------------------------

    def live_members_are_not_declared_gone(self) -> Iterator[Breach]:
        """Check that no running member is declared gone by an observer that its updates can reach."""
        for event in self._events("member_changed", self.start_ms, NEVER_MS):
            if event.fields["state"] != "gone":
                continue
            member, start = f"gw-{event.fields['member']}", event.ms - CAUSE_WINDOW_MS
            observer = event.node.removesuffix("-twin")
            if not self._was_unavailable(member, start, event.ms) and self._could_reach(
                member, observer, start, event.ms
            ):
                text = f"{event.node} declared {member} gone"
                yield self._breach("gone though there", event.ms, text)

    def dead_members_are_detected(self) -> Iterator[Breach]:
        """Check that all running members notice within the detection timeout that one was killed or left."""
        for span in self._spans_of(("kill", "leave"), 0, NEVER_MS):
            deadline = span.began + DETECTION_TIMEOUT_MS
            if span.ended < deadline:
                continue
            for member in span.fault.nodes:
                for name in self.data.gateways:
                    has_failed_link = any(name in link for link in self._failed_links(span.began, deadline))
                    if name == member or has_failed_link or self._was_unavailable(name, span.began, deadline):
                        continue
                    if not self._declared_gone(name, member, span.began - CAUSE_WINDOW_MS, deadline):
                        text = (
                            f"{name} did not detect {member} as down within {DETECTION_TIMEOUT_MS / 1000:g} s"
                        )
                        yield self._breach("death not found", deadline, text)

    def _declared_gone(self, observer: str, member: str, start: int, end: int) -> bool:
        return any(
            event.node == observer
            and f"gw-{event.fields['member']}" == member
            and event.fields["state"] in ("gone", "left")
            for event in self._events("member_changed", start, end)
        )

    def failed_directions_are_reported(self) -> Iterator[Breach]:
        """Check that a direction that is cut while the opposite one works is reported as down."""
        for span in self._spans_of(("cut",), 0, NEVER_MS):
            deadline = span.began + LINK_REPORT_TIMEOUT_MS
            if span.ended < deadline:
                continue
            failed = self._failed_links(span.began, deadline)
            for sender, receiver in span.fault.links:
                if not {sender, receiver} <= set(self.data.gateways) or (receiver, sender) in failed:
                    continue
                if self._was_unavailable(sender, span.began, deadline) or self._was_unavailable(
                    receiver, span.began, deadline
                ):
                    continue
                ranks = int(sender[3:]), int(receiver[3:])
                reports = self._events("member_link_changed", span.began, deadline)
                if not any((e.fields["from"], e.fields["to"]) == ranks and e.fields["down"] for e in reports):
                    text = (
                        f"no gateway reported {sender}>{receiver} as down"
                        f" within {LINK_REPORT_TIMEOUT_MS / 1000:g} s"
                    )
                    yield self._breach("dead direction not named", deadline, text)

    def recovered_directions_are_not_reported(self) -> Iterator[Breach]:
        """Check that at the end no view has a direction as down if all links work."""
        recovered = not self._failed_links(self.end_ms, self.end_ms + 1)
        for name, view in self.data.member_views.items():
            if view and view["links_down"] and recovered and not view["yielded"]:
                text = f"{name} still has working links as down at the end: {view['links_down']}"
                yield self._breach("whole direction named dead", self.end_ms, text)

    def final_views_agree(self) -> Iterator[Breach]:
        """Check that at the end, if all links work, all views have exactly the running gateways."""
        if self._failed_links(self.end_ms, self.end_ms + 1):
            return
        running = {int(name[3:]) for name in self.data.run["running"]}
        if self.data.run["agreed"] is None:
            yield self._breach(
                "views differ", self.end_ms, "the views did not agree within the settling time"
            )
        for name, view in self.data.member_views.items():
            if view is None:
                yield self._breach("views differ", self.end_ms, f"{name} did not answer")
                continue
            if view["yielded"]:
                continue  # to its twin: it no longer keeps a view
            members = view["members"].items()
            present = {view["rank"]} | {int(rank) for rank, row in members if row[0] in ("alive", "suspect")}
            if present != running:
                text = f"{name} has {sorted(present)} as present, but {sorted(running)} are running"
                yield self._breach("views differ", self.end_ms, text)

    def pause_is_reported_first(self) -> Iterator[Breach]:
        """Check that a process that was paused reports it before it reports anything about others."""
        for span in self._spans_of(("pause",), 0, NEVER_MS):
            if span.ended >= NEVER_MS or span.ended - span.began < DETECTABLE_PAUSE_MIN_MS:
                continue
            for name in span.fault.nodes:
                other_spans = list(
                    self._spans_of(
                        ("kill", "leave", "move", "pause"),
                        span.began,
                        span.ended + PAUSE_REPORT_TIMEOUT_MS,
                    )
                )
                if any(other is not span and name in other.fault.nodes for other in other_spans):
                    continue
                # A paused process logs nothing.
                event = self._first_member_event(name, span.began + DETECTABLE_PAUSE_MIN_MS // 2)
                in_time = event is not None and event.ms <= span.ended + PAUSE_REPORT_TIMEOUT_MS
                if event is None or not in_time or event.name != "member_stood_still":
                    reported = event.name if event else "nothing"
                    pause = (span.ended - span.began) / 1000
                    text = f"{name} resumed after {pause:g} s and first reported: {reported}"
                    yield self._breach("standstill not noticed", span.ended, text)

    def _first_member_event(self, node: str, start: int) -> Event | None:
        return next((event for event in self.member_events if event.node == node and event.ms >= start), None)

    def unheard_members_report_it(self) -> Iterator[Breach]:
        """Check that a member whose messages reach no other reports so, if it receives those of others."""
        for span in self._spans_of(("cut",), 0, NEVER_MS):
            deadline, links = span.began + LINK_REPORT_TIMEOUT_MS, set(span.fault.links)
            for name in self.data.gateways:
                others = [other for other in self.data.gateways if other != name]
                outbound_cut = len(others) > 1 and all((name, other) in links for other in others)
                failed_inbound = self._failed_links(span.began, deadline) & {
                    (other, name) for other in others
                }
                if (
                    not outbound_cut
                    or failed_inbound
                    or span.ended < deadline
                    or self._was_unavailable(name, span.began, deadline)
                ):
                    continue
                # An event whose ``holds`` is false reports the end of this state.
                reports = self._events("member_unheard", span.began, deadline)
                if not any(event.node == name and event.fields["holds"] for event in reports):
                    text = f"{name} did not report that no other member receives its messages"
                    yield self._breach("unheard unknowing", deadline, text)

    def exactly_one_twin_yields(self) -> Iterator[Breach]:
        """Check that of two processes with the same rank exactly one yields."""
        for span in self._spans_of(("twin",), 0, NEVER_MS):
            for name in span.fault.nodes:
                deadline = min(span.ended, span.began + TWIN_YIELD_TIMEOUT_MS)
                reports = self._events("member_has_twin", span.began, deadline)
                yielded = [event.node for event in reports if event.node in (name, f"{name}-twin")]
                if len(yielded) != 1:
                    text = f"of two processes as {name} these yielded: {', '.join(yielded) or 'none'}"
                    yield self._breach("twins", span.began + TWIN_YIELD_TIMEOUT_MS, text)

    def incarnations_never_decrease(self) -> Iterator[Breach]:
        """Check that no process accepts an earlier life or incarnation of a member after a later one.

        A restarted process is an exception: it knows nothing of the time before.
        """
        for node in {event.node for event in self.member_events}:
            restarts = [
                span.began
                for span in self._spans_of(("kill", "leave", "upgrade", "move", "twin"), 0, NEVER_MS)
                if node in span.fault.nodes
            ]
            # Life and incarnation, by member and the number of the observer's restarts so far.
            latest: dict[tuple[int, int], tuple[int, int]] = {}
            for event in self._events("member_changed", 0, NEVER_MS):
                if event.node != node or event.fields["was"] == "unknown":
                    continue
                key = event.fields["member"], sum(ms <= event.ms for ms in restarts)
                incarnation = event.fields["life"], event.fields["incarnation"]
                if incarnation < latest.get(key, incarnation):
                    text = f"{node} accepted an earlier incarnation of gw-{key[0]}"
                    yield self._breach("life went back", event.ms, text)
                latest[key] = incarnation

    def no_request_is_lost_without_fault(self) -> Iterator[Breach]:
        """Check that a gateway that was available answers every request."""
        for line in self.data.clients:
            sent = line["ms"] - line["took_ms"]
            start = sent - PAUSE_REPORT_TIMEOUT_MS
            if line["came"] == "lost" and not self._was_unavailable(line["gateway"], start, line["ms"]):
                text = (
                    f"{line['gateway']} did not answer request {line['id']}, sent {line['took_ms']} ms before"
                )
                yield self._breach("request lost", line["ms"], text)

    def no_process_exits_unexpectedly(self) -> Iterator[Breach]:
        """Check that only processes that a fault stops exit."""
        kinds = ("kill", "leave", "upgrade", "move", "twin")
        stopped = {name for span in self._spans_of(kinds, 0, NEVER_MS) for name in span.fault.nodes}
        for name in sorted(set(self.data.run["ended"])):
            if name.removesuffix("-twin").removesuffix("-before") in stopped:
                continue
            yield self._breach("process ended", self.end_ms, f"{name} exited unexpectedly")


def breaches(run_data: RunData) -> list[Breach]:
    """Return all rules that a run broke."""
    return Checker(run_data).breaches()
