"""Feeds events to one ``Gateway`` and carries out its actions: clock, timers, numbers, deadlines, answers.

A ``Call`` is a client's request from its last byte to its one final answer. Only ``_finish`` answers it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import ClassVar, Protocol

from ops import logs
from orchidlane import interface as api
from orchidlane.rules import Gateway

from .calls import Attempt, Body, Call, Sink, Source, Terms
from .clock import Clock
from .config import HostList
from .readiness import Readiness
from .stats import Stats

log = logs.get_logger(__name__)

MS = 1_000  # microseconds
# The client's clock started when it sent: so much before its time is up the last answer must be on its way.
REPLY_MARGIN = 10 * MS
FAILED_REPLY = b"-ERR failed\r\n"
CLIENT_GONE_TOLERANCE = 300 * MS  # so long a request may be sent on after its client has gone, unseen


class Hosts(Protocol):
    """What the driver needs of ``hosts.py``."""

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt."""

    def give_up(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""

    def told(self, listed: HostList) -> list[Attempt]:
        """Discovery's list has changed; the attempts that must not be sent any more."""

    def take_out(self, server: api.Server) -> list[Attempt]:
        """Operators took a host out; the attempts that must not be sent any more."""


class Successor(Protocol):
    """What the driver needs of ``upgrade.py`` once another process owns the counts."""

    def arrived(self, call: Call) -> None:
        """It decides on a request, and its answer comes back."""

    def client_gone(self, call: Call) -> None:
        """Nobody waits for that answer any more."""

    def told(self, event: api.AttemptElsewhere | api.AttemptEnded | api.PeerMessage) -> None:
        """What concerns it of what happens here."""


class Observer(Protocol):
    """What the driver tells ``metrics.py``, where that is on; spans in microseconds."""

    def answered(self, kind: int, outcome: str, server: api.Server, took: int) -> None:
        """A request of this class got its final answer, or its client went; server is empty where no host
        served it."""

    def attempted(self, outcome: api.Outcome, server: api.Server, took: int) -> None:
        """An attempt has ended."""


class Driver:
    """The one Gateway with its clock and timers, and the bookkeeping of answers owed."""

    def __init__(self, settings: api.Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.clock = loop, Clock()
        self.gateway = Gateway(settings, seed, self.clock())
        self.hosts: Hosts | None = None
        self.tell_peer: Callable[[int, bytes], None] = lambda rank, body: None
        self.calls: dict[int, Call] = {}
        self.stats = Stats()
        self.readiness = Readiness()
        self.last_number = 0
        self.pending: deque[api.Event] = deque()
        self.feeding = False
        self.frozen = False  # the state is being handed over: events wait
        self.successor: Successor | None = None  # the process that owns the counts now
        self.observer: Observer | None = None
        # Looks whether we stood still, before each decision: what the decision must know of it.
        self.before: Callable[[], api.MembersChanged | None] | None = None

    def start(self, known: HostList) -> None:
        """The first actions, and the list as it was last known, before any client is served."""
        self._carry_out(self.gateway.start())
        self.listed(known, cached=True)

    # -- events ---------------------------------------------------------------------------------------------

    def arrived(
        self,
        terms: Terms,
        parts: tuple[bytes | Body, ...],
        answer: Callable[[bytes], None],
        sink: Sink | None = None,
    ) -> Call:
        """A client's request, its last byte just read; the client's own ids stay outside the module."""
        self.last_number += 1
        self.stats["requests"] += 1
        left = max(MS, terms.wait - REPLY_MARGIN)
        event = api.RequestArrived(
            self.last_number,
            terms.customer,
            terms.plan,
            terms.kind,
            terms.units,
            left,
            terms.first,
            terms.spread,
            terms.is_repeat,
        )
        call = Call(event, parts, self.clock() + left, answer, sink)
        self.calls[self.last_number] = call
        call.deadline_timer = self._at(call.deadline, self._time_up, call)
        if self.successor:
            self._pass_on(call)
        else:
            self.feed(event)
        return call

    def client_gone(self, call: Call, unseen: float = 0.0) -> None:
        """The client has closed its connection: nothing is owed any more; unseen: for how many seconds it may
        have been gone before it was seen."""
        if not call.finished:
            self.stats["client_gone"] += 1
            first = next((attempt for attempt in call.attempts if attempt.whole), None)
            if first is None:
                self.stats["client_gone_waiting"] += 1
            elif first.sent > self.clock() - int(unseen * 1e6) + CLIENT_GONE_TOLERANCE:
                self.stats["client_gone_sent_late"] += 1
            self._observe(call, "client_gone")
            self._close(call)
            if call.elsewhere:
                self.successor.client_gone(call)
            else:
                self.feed(api.ClientGone(call.event.request))
            for attempt in call.attempts:  # what has not left whole must not leave any more
                self._withdraw(attempt)

    def is_wanted(self, attempt: Attempt) -> bool:
        """Asked right before an attempt is written: after the final answer nothing begins any more, nor for a
        client that has closed, though the loop, where it is behind, has still to come to see it."""
        call = attempt.call
        if call.finished:
            self._withdraw(attempt)  # another attempt was served while this one waited for its connection
        elif call.sink and call.sink.has_left():
            self.client_gone(call)  # which ends the attempt
        return not attempt.ended

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        value: bytes | None = None,
        report: tuple[float, ...] = (),
    ) -> None:
        """What came of an attempt; the first one served answers the client before the module is told."""
        if attempt.ended:
            return
        attempt.ended = True
        self.stats["attempt_" + outcome.value.replace(" ", "_")] += 1
        if attempt.timer:
            attempt.timer.cancel()
        call = attempt.call
        if value is not None and not call.finished:
            self.stats["served"] += 1
            self._observe(call, "served", attempt.server)
            self._finish(call, value)
        took = self.clock() - attempt.sent
        if self.observer:
            self.observer.attempted(outcome, attempt.server, took)
        self.feed(
            api.AttemptEnded(
                call.event.request,
                attempt.number,
                attempt.server,
                outcome,
                took,
                call.finished,
                0,
                0.0,
                report,
            )
        )

    def stream_started(self, attempt: Attempt, length: int, source: Source) -> Sink | None:
        """The first bytes of a large answer: it is served now, whoever is slow with the rest. Gives where its
        pieces go; None: nobody waits for it, or can take it."""
        call = attempt.call
        if attempt.ended or call.finished or call.sink is None:
            return None
        self.stats["served"] += 1
        self.stats["streamed"] += 1
        self._observe(call, "served", attempt.server)
        self._close(call)
        call.sink.begin(length, source)
        self.attempt_ended(attempt, api.Outcome.SERVED)
        return call.sink

    def listed(self, listed: HostList, cached: bool = False) -> None:
        """Discovery told something."""
        kind = api.ListKind.WHOLE if listed.whole else api.ListKind.CHANGES
        if cached:
            kind = api.ListKind.CACHED
        unsent = self.hosts.told(listed)
        self.readiness.has_hosts |= any(host.entry.phase is not api.Phase.GONE for host in listed.hosts)
        self.feed(api.ServerListed(kind, listed.version, tuple(host.entry for host in listed.hosts)))
        for attempt in unsent:  # after the list, which tells where else they may go
            self.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)

    def ban(self, server: api.Server, out: bool) -> bool:
        """Operators take a host out, or put it back; False where discovery has never listed it."""
        if server not in self.gateway.names:
            return False
        unsent = self.hosts.take_out(server) if out else []
        self.feed(api.ServerBanned(server, out))
        for attempt in unsent:  # after the ban, which tells where else they may go
            self.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)
        return True

    def peer_said(self, sender: int, body: bytes) -> None:
        """A datagram of another gateway."""
        self.stats["peer_in"] += 1
        self.feed(api.PeerMessage(sender, body))

    def feed(self, event: api.Event) -> None:
        """One event to the module; what an action leads to at once waits until all of them are done."""
        self.pending.append(event)
        if self.successor and isinstance(event, api.AttemptEnded | api.AttemptElsewhere | api.PeerMessage):
            self.successor.told(event)
        if self.feeding or self.frozen:
            return
        self.feeding = True
        try:
            while self.pending:
                self._handle(self.pending.popleft())
        finally:
            self.feeding = False

    def _handle(self, event: api.Event) -> None:
        if self.before and (first := self.before()):
            self.gateway.handle(self.clock(), first)
        try:
            actions = self.gateway.handle(self.clock(), event)
        except Exception:  # guards against a fault of the decisions taking all held requests with it
            log.exception("decisions_failed", topic=event.topic)
            number = event.token - 1 if isinstance(event, api.TimerFired) else getattr(event, "request", 0)
            call = self.calls.get(number)
            if call is not None and not call.finished:
                self._finish(call, FAILED_REPLY)
                self.pending.append(api.ClientGone(number))
            # Guards the gossip's own timer, which it sets anew before all else.
            actions = [action for action in self.gateway.actions if isinstance(action, api.SetTimer)]
        self._carry_out(actions)

    # -- handing over ---------------------------------------------------------------------------------------

    def freeze(self) -> None:
        """From now on nothing is decided: the state stays as it is, and events wait."""
        self.frozen = True

    def thaw(self) -> None:
        """Nobody took over: decide on what has come meanwhile, but for requests that are over by now."""
        self.frozen = False
        waiting, self.pending = self.pending, deque()
        over = {
            e.request for e in waiting if isinstance(e, api.RequestArrived) and e.request not in self.calls
        }
        for event in waiting:
            if not (isinstance(event, api.RequestArrived | api.ClientGone) and event.request in over):
                self.feed(event)

    def hand_on(self, successor: Successor) -> None:
        """Another process owns the counts: it decides on all that has not been sent to a host yet."""
        self.successor = successor
        unsent = [call for call in self.calls.values() if not call.attempts and not call.finished]
        waiting, self.pending = self.pending, deque()
        self.frozen = False
        for call in unsent:
            self.feed(api.ClientGone(call.event.request))  # one that it holds, it forgets
            self._pass_on(call)
        for event in waiting:
            if not isinstance(event, api.RequestArrived):
                self.feed(event)

    def _pass_on(self, call: Call) -> None:
        if isinstance(call.parts[-1], tuple):  # not worth the memory in both: it has not run
            self.stats["refused_handed_over"] += 1
            return self._finish(call, b"-BUSY\r\n")
        self.stats["relayed"] += 1
        call.elsewhere = True
        return self.successor.arrived(call)

    def answered_elsewhere(self, number: int, reply: bytes) -> None:
        """The process that decides on a request has answered it; or it is gone, and nobody will."""
        call = self.calls.get(number)
        if call is not None and call.elsewhere:
            self._finish(call, reply)

    # -- actions --------------------------------------------------------------------------------------------

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            self._DO[type(action)](self, action)

    def _send(self, action: api.Send) -> None:
        call = self.calls.get(action.request)
        if call is None:
            return
        now = self.clock()
        give_up_at = min(action.give_up_at or call.deadline, call.deadline)
        attempt = Attempt(call, len(call.attempts), action.server, now, give_up_at, action.send_by)
        call.attempts.append(attempt)
        if action.send_by:
            self._at(action.send_by, self._withdraw, attempt)
        if give_up_at < call.deadline:  # else the call's own timer ends it: one less for every attempt
            attempt.timer = self._at(give_up_at, self._timed_out, attempt)
        if self.successor:
            self.successor.told(api.AttemptElsewhere(call.event, attempt.number, attempt.server, now))
        if self.is_wanted(attempt):
            self.hosts.send(attempt)

    def _cancel(self, action: api.Cancel) -> None:
        call = self.calls.get(action.request)
        if call is None or action.attempt >= len(call.attempts):
            return
        attempt = call.attempts[action.attempt]
        if not attempt.ended:
            self.hosts.give_up(attempt)
            self.attempt_ended(attempt, api.Outcome.CANCELLED)

    def _refuse(self, action: api.Refuse) -> None:
        if call := self.calls.get(action.request):
            self.stats["refused_" + action.cause.value] += 1
            self._observe(call, "refused")
            wait = -(-action.retry_after // MS)  # a client that came back earlier would be refused again
            self._finish(call, b"-BUSY %d\r\n" % wait if wait else b"-BUSY\r\n")

    def _fail(self, action: api.Fail) -> None:
        if call := self.calls.get(action.request):
            self.stats["failed"] += 1
            self._observe(call, "failed")
            self._finish(call, FAILED_REPLY)

    def _set_timer(self, action: api.SetTimer) -> None:
        self._after(action.span, self.feed, api.TimerFired(action.token))

    def _tell(self, action: api.TellPeer) -> None:
        self.stats["peer_out"] += 1
        self.tell_peer(action.peer, action.body)

    def _nothing(self, action: api.Action) -> None:
        """The watch on discovery runs in any case, and these decisions send no probes."""

    _DO: ClassVar = {
        api.Send: _send,
        api.Cancel: _cancel,
        api.Refuse: _refuse,
        api.Fail: _fail,
        api.SetTimer: _set_timer,
        api.TellPeer: _tell,
        api.AskList: _nothing,
        api.FetchList: _nothing,
        api.Probe: _nothing,
    }

    # -- answers and deadlines ------------------------------------------------------------------------------

    def _finish(self, call: Call, reply: bytes) -> None:
        """Every final answer passes here, once for each call."""
        if not call.finished:
            self._close(call)
            call.answer(reply)

    def _observe(self, call: Call, outcome: str, server: api.Server = b"") -> None:
        if self.observer:
            took = self.clock() - call.deadline + call.event.time_left
            self.observer.answered(call.event.kind, outcome, server, took)

    def _close(self, call: Call) -> None:
        call.finished = True
        if all(attempt.ended for attempt in call.attempts):
            call.deadline_timer.cancel()
            self.calls.pop(call.event.request, None)
        else:  # a Cancel of what is still out may follow: kept for the length of one turn of the loop
            self.loop.call_soon(self.calls.pop, call.event.request, None)

    def _withdraw(self, attempt: Attempt) -> None:
        """Not to be sent, where its last byte has not left: so it never runs."""
        if not (attempt.ended or attempt.whole):
            self.hosts.give_up(attempt)
            self.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)

    def _timed_out(self, attempt: Attempt) -> None:
        """Nothing came in time. What never left whole has certainly not run."""
        if not attempt.ended:
            self.hosts.give_up(attempt)
            outcome = api.Outcome.TIMED_OUT if attempt.whole else api.Outcome.NOT_CONNECTED
            self.attempt_ended(attempt, outcome)

    def _time_up(self, call: Call) -> None:
        """Ends what is out. Guards the deadline: what the module leaves unanswered then is failed."""
        for attempt in call.attempts:
            self._timed_out(attempt)
        if not call.finished:
            log.warning("request_unanswered", request=call.parts[2], customer=f"{call.event.customer:016x}")
            self._observe(call, "failed")
            self._finish(call, FAILED_REPLY)
            if not call.elsewhere:
                self.feed(api.ClientGone(call.event.request))

    def _after(self, span: int, callback: Callable, *args) -> asyncio.TimerHandle:
        """Call back no earlier than a span from now: the loop counts whole milliseconds."""
        return self.loop.call_later((span // MS + 1) / 1_000, callback, *args)

    def _at(self, when: int, callback: Callable, *args) -> asyncio.TimerHandle:
        return self._after(max(0, when - self.clock()), callback, *args)
