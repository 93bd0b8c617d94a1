"""Feeds events to the decision module ``Gateway`` and executes its actions: timers, attempts and answers.

A ``Call`` is a client's request, from the arrival of its last byte to its final answer. It is answered by
``_finish`` or, if its response is streamed, by ``stream_started``.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import ClassVar

from ops import logs
from orchidlane import interface as api
from orchidlane.rules import Gateway

from .calls import Attempt, Body, Call, ClientSlot, Sink, Source, Terms
from .clock import Clock
from .config import HostList
from .driver_interfaces import Hosts, Observer, Successor
from .readiness import Readiness
from .repeat_guard import RepeatGuard
from .request_log import RequestLog
from .stats import Stats

log = logs.get_logger(__name__)

MS = 1_000  # microseconds
REQUEST_ID_INDEX = 2  # of the client's id among the parts of a call
# The client's deadline runs from when it sent the request, so the answer must leave this much earlier.
REPLY_MARGIN = 10 * MS
FAILED_REPLY = b"-ERR failed\r\n"
# Between two looks for a list that has arrived while the event loop was busy or the process stood still.
LIST_READ_INTERVAL = 20 * MS
# Until a host's kernel has acknowledged what it received. No attempt may begin 100 ms after a close.
ACKNOWLEDGEMENT_DELAY = 60 * MS
EVENTS_PER_ITERATION = 64  # of those queued during a handover, in one iteration of the event loop
# Requests sent to a host up to this long after their client's close, before it was noticed, are not counted.
CLIENT_GONE_TOLERANCE = 300 * MS


def _log_host_list(kind: api.ListKind, host_list: HostList) -> None:
    """Record a list that is applied, and which hosts it takes out of use."""

    def names(phase: api.Phase) -> list[str]:
        return [host.entry.server.decode() for host in host_list.hosts if host.entry.phase is phase]

    log.info(
        "host_list_applied",
        kind=kind.name.lower(),
        version=host_list.version,
        hosts=len(host_list.hosts),
        draining=names(api.Phase.DRAINING),
        gone=names(api.Phase.GONE),
    )


class Driver:
    """The gateway's decision module with its clock and timers, and all requests in flight."""

    def __init__(self, settings: api.Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.clock = loop, Clock()
        self.gateway = Gateway(settings, seed, self.clock())
        self.hosts: Hosts | None = None
        self.send_to_peer: Callable[[int, bytes], None] = lambda rank, body: None
        self.calls: dict[int, Call] = {}
        self.stats = Stats()
        self.readiness = Readiness()
        self.repeat_guard = RepeatGuard(loop.time)
        self.last_request_number = 0
        self.pending_events: deque[api.Event] = deque()
        self.is_handling = False
        self.frozen = False  # the state is being handed over, or was and is catching up: events are queued
        self.catching_up: asyncio.Handle | None = None  # handles the next queued events
        self.successor: Successor | None = None  # the process that has taken over the state
        self.observer: Observer | None = None  # receives measurements; None: metrics are off
        self.request_log: RequestLog | None = None  # None: the log level is above debug
        self.list_version = 0  # of the host list that is held
        # Applies a list that has arrived although the event loop has not reported it yet.
        self.read_pending_list: Callable[[], None] = lambda: None
        self.list_read_at = 0  # time of the last such look
        # Runs before each event to detect a pause of this process; may return an event to be handled first.
        self.pre_event_hook: Callable[[], api.MembersChanged | None] | None = None

    def start(self, known: HostList) -> None:
        """Execute the initial actions and apply the configured host list, before any client is served."""
        self._execute(self.gateway.start())
        self.apply_host_list(known, cached=True)

    # -- events ---------------------------------------------------------------------------------------------

    def accept_request(
        self,
        terms: Terms,
        parts: tuple[bytes | Body, ...],
        answer: Callable[[bytes], None],
        slot: ClientSlot | None = None,
        waited: int = 0,
    ) -> Call:
        """Register a completely received request and have it decided on, here or by the successor.

        It gets a number of our own: clients' ids are not passed to the decision module. ``waited``: for how
        many microseconds it may have lain in the socket before it was read.
        """
        self.last_request_number += 1
        self.stats["requests"] += 1
        time_left = max(MS, terms.timeout - waited - REPLY_MARGIN)
        event = api.RequestArrived(
            self.last_request_number,
            terms.customer,
            terms.plan,
            terms.kind,
            terms.units,
            time_left,
            terms.set_first,
            terms.set_size,
            terms.is_repeat,
        )
        call = Call(event, parts, self.clock() + time_left, answer, slot)
        self.calls[self.last_request_number] = call
        call.deadline_timer = self._call_at(call.deadline, self._deadline_passed, call)
        if self._is_unsafe_repeat(call):
            self.stats["failed_repeated"] += 1
            self._observe(call, "failed")
            self._finish(call, FAILED_REPLY)
        elif self.successor:
            self._relay(call)
        else:
            self.feed(event)
        return call

    def _is_unsafe_repeat(self, call: Call) -> bool:
        """Return whether a request must not be executed twice and its id is that of an earlier request."""
        effect = self.gateway.settings.classes[call.event.kind].effect
        return effect is not api.Effect.SAFE and not self.repeat_guard.begin(
            call, call.parts[REQUEST_ID_INDEX]
        )

    def client_gone(self, call: Call, seconds_unobserved: float = 0.0) -> None:
        """End a request whose client has closed its connection.

        ``seconds_unobserved`` is how long the close may have gone unnoticed. A request is counted as sent
        late if it was sent more than CLIENT_GONE_TOLERANCE after the earliest time of the close.
        """
        if not call.finished:
            self.stats["client_gone"] += 1
            first_sent = next((attempt for attempt in call.attempts if attempt.fully_sent), None)
            if first_sent is None:
                self.stats["client_gone_waiting"] += 1
            elif first_sent.sent_at > self.clock() - int(seconds_unobserved * 1e6) + CLIENT_GONE_TOLERANCE:
                self.stats["client_gone_sent_late"] += 1
            self._observe(call, "client_gone")
            self._mark_finished(call)
            self._forget_elsewhere(call)
            for attempt in list(call.attempts):
                self._withdraw_after_close(attempt)

    def give_up(self, call: Call) -> None:
        """Answer a request before its time: as refused if no host can have run it, else as failed."""
        if call.finished:
            return
        may_have_run = call.is_relayed or any(attempt.may_have_run for attempt in call.attempts)
        unsent = [attempt for attempt in call.attempts if not (attempt.ended or attempt.fully_sent)]
        self.stats["failed_ending" if may_have_run else "refused_leaving"] += 1
        self._observe(call, "failed" if may_have_run else "refused")
        self._finish(call, FAILED_REPLY if may_have_run else b"-BUSY\r\n")
        for attempt in unsent:
            self._withdraw(attempt)
        self._forget_elsewhere(call)

    def _forget_elsewhere(self, call: Call) -> None:
        """Have whoever decides on a finished request cancel its attempts and forget it."""
        if call.is_relayed:
            self.successor.client_gone(call)
        else:
            self.feed(api.ClientGone(call.event.request))

    def is_wanted(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent, and end it if not; called right before it is written.

        It may not once the request is answered, nor once the client has closed, even if the event loop is
        lagging and has not reported the close yet. Nor may it once the host is draining or gone: the decision
        may have been made on an older list, as events are queued while the state is frozen.
        """
        self._look_for_list()
        call = attempt.call
        if call.finished:
            self._withdraw(attempt)  # another attempt was served while this one waited for a connection
        elif call.slot and call.slot.is_client_gone():
            self.client_gone(call)  # ends the attempt
        elif not self.hosts.accepts_requests(attempt.server):
            self._withdraw(attempt)
        return not attempt.ended

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        value: bytes | None = None,
        report: tuple[float, ...] = (),
    ) -> None:
        """Record an attempt's outcome; if it is the first one served, answer before notifying the module."""
        if attempt.ended:
            return
        attempt.end(outcome)
        self.stats["attempt_" + outcome.value.replace(" ", "_")] += 1
        call = attempt.call
        if value is not None and not call.finished:
            self.stats["served"] += 1
            self._observe(call, "served", attempt.server)
            self._finish(call, value)
        duration = self.clock() - attempt.sent_at
        if self.observer:
            self.observer.attempt_finished(outcome, attempt.server, duration)
        self.feed(
            api.AttemptEnded(
                call.event.request,
                attempt.number,
                attempt.server,
                outcome,
                duration,
                call.finished,
                0,
                0.0,
                report,
            )
        )
        self._release_if_ended(call)

    def stream_started(self, attempt: Attempt, length: int, source: Source) -> Sink | None:
        """Mark a request as served at the first bytes of a large response.

        Return the sink for its chunks, or None if nobody waits for it or its client cannot take a stream.
        """
        call, slot = attempt.call, attempt.call.slot
        if attempt.ended or call.finished or slot is None:
            return None
        self.stats["served"] += 1
        self.stats["streamed"] += 1
        self._observe(call, "served", attempt.server)
        self._mark_finished(call)
        sink = slot.begin(length, source)
        self.attempt_ended(attempt, api.Outcome.SERVED)
        return sink

    def apply_host_list(self, host_list: HostList, cached: bool = False) -> None:
        """Apply a list of hosts, whole or as changes; ``cached`` marks the list from the configuration."""
        kind = api.ListKind.WHOLE if host_list.whole else api.ListKind.CHANGES
        if cached:
            kind = api.ListKind.CACHED
        self.list_version = host_list.version
        _log_host_list(kind, host_list)
        unsent = self.hosts.apply_host_list(host_list)
        self.readiness.has_hosts |= any(host.entry.phase is not api.Phase.GONE for host in host_list.hosts)
        self.feed(api.ServerListed(kind, host_list.version, tuple(host.entry for host in host_list.hosts)))
        for attempt in unsent:  # after the list, so that retries go to the hosts that it names
            self.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)

    def ban(self, server: api.Server, is_banned: bool) -> bool:
        """Ban a host for an operator, or lift the ban; return False if discovery has never listed it."""
        if server not in self.gateway.server_names:
            return False
        unsent = self.hosts.ban_host(server) if is_banned else []
        self.feed(api.ServerBanned(server, is_banned))
        for attempt in unsent:  # after the ban, so that retries go to other hosts
            self.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)
        return True

    def peer_message_received(self, sender: int, body: bytes) -> None:
        """Handle a datagram from another gateway."""
        self.stats["peer_in"] += 1
        self.feed(api.PeerMessage(sender, body))

    def feed(self, event: api.Event) -> None:
        """Pass an event to the decision module.

        Events raised by its actions are queued until it has handled this one, as it is not reentrant. While
        the state is frozen, all events are queued. After a handover the successor also receives the events
        that change a host's load, the quotas and what it knows of peers.
        """
        if not (self.is_handling or self.frozen):
            self._look_for_list()
        self.pending_events.append(event)
        if self.successor and isinstance(event, api.AttemptEnded | api.AttemptElsewhere | api.PeerMessage):
            self.successor.forward_event(event)
        if self.is_handling or self.frozen:
            return
        self.is_handling = True
        try:
            while self.pending_events:
                self._handle(self.pending_events.popleft())
        finally:
            self.is_handling = False

    def _look_for_list(self) -> None:
        """Apply a list that has already arrived before anything more is decided or sent on an older one."""
        now = self.clock()
        if now - self.list_read_at >= LIST_READ_INTERVAL:
            self.list_read_at = now
            self.read_pending_list()

    def _handle(self, event: api.Event) -> None:
        if self.pre_event_hook and (hook_event := self.pre_event_hook()):
            self.gateway.handle(self.clock(), hook_event)
        try:
            actions = self.gateway.handle(self.clock(), event)
        except Exception:  # a fault in the decision module must not fail the other requests in flight
            log.exception("decisions_failed", topic=event.topic)
            request = event.token - 1 if isinstance(event, api.TimerFired) else getattr(event, "request", 0)
            call = self.calls.get(request)
            if call is not None and not call.finished:
                self._finish(call, FAILED_REPLY)
                self.pending_events.append(api.ClientGone(request))
            # Keep the timers: gossip rearms its own before anything that may raise.
            actions = [action for action in self.gateway.actions if isinstance(action, api.SetTimer)]
        self._execute(actions)

    # -- handover -------------------------------------------------------------------------------------------

    def freeze(self) -> None:
        """Stop making decisions: the state does not change any more, and events are queued."""
        self.frozen = True
        if self.catching_up:
            self.catching_up.cancel()

    def thaw(self) -> None:
        """Resume after a failed handover: handle the queued events, except for requests that have ended.

        New events are queued behind them, and the state counts as frozen, until all are handled.
        """
        self._catch_up(set())

    def _catch_up(self, ended: set[int]) -> None:
        """Handle some of the queued events; ``ended`` are requests that ended before they were handled."""
        self.is_handling = True
        try:
            for _ in range(min(EVENTS_PER_ITERATION, len(self.pending_events))):
                event = self.pending_events.popleft()
                if isinstance(event, api.RequestArrived) and event.request not in self.calls:
                    ended.add(event.request)
                elif not (isinstance(event, api.ClientGone) and event.request in ended):
                    self._handle(event)
        finally:
            self.is_handling = False
            self.frozen = bool(self.pending_events)
            if self.frozen:
                self.catching_up = self.loop.call_soon(self._catch_up, ended)

    def hand_over(self, successor: Successor) -> None:
        """Relay to the process that has taken over the state all requests not yet sent to a host."""
        self.successor = successor
        queued_events, self.pending_events = self.pending_events, deque()
        self.frozen = False
        self._relay_unsent(deque(self.calls.values()))
        for event in queued_events:
            if not isinstance(event, api.RequestArrived):  # its request is relayed, or has ended
                self.feed(event)

    def _relay_unsent(self, calls: deque[Call]) -> None:
        """Relay some of these requests, and the others in the next iterations of the event loop."""
        for _ in range(min(EVENTS_PER_ITERATION, len(calls))):
            call = calls.popleft()
            if not (call.attempts or call.finished):
                self.feed(api.ClientGone(call.event.request))  # this process's decision module forgets it
                self._relay(call)
        if calls:
            self.loop.call_soon(self._relay_unsent, calls)

    def _relay(self, call: Call) -> None:
        if call.slot and call.slot.is_client_gone():
            call.is_relayed = False
            return self.client_gone(call)
        if isinstance(call.parts[-1], tuple):  # a large body is not copied to the successor; it has not run
            self.stats["refused_handed_over"] += 1
            return self._finish(call, b"-BUSY\r\n")
        self.stats["relayed"] += 1
        call.is_relayed = True
        return self.successor.forward_request(call)

    def answer_relayed(self, request: int, reply: bytes) -> None:
        """Answer a relayed request with the successor's reply, or with an error if the successor has gone."""
        call = self.calls.get(request)
        if call is not None and call.is_relayed:
            self._finish(call, reply)

    # -- actions --------------------------------------------------------------------------------------------

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            self._HANDLERS[type(action)](self, action)

    def _send(self, action: api.Send) -> None:
        call = self.calls.get(action.request)
        if call is None:
            return
        now = self.clock()
        expires_at = min(action.deadline or call.deadline, call.deadline)
        attempt = Attempt(
            call, len(call.attempts), action.server, now, expires_at, action.send_by, self.list_version
        )
        call.attempts.append(attempt)
        if action.send_by:
            attempt.send_timer = self._call_at(action.send_by, self._withdraw, attempt)
        if expires_at < call.deadline:  # otherwise the call's deadline timer ends it, which saves a timer
            attempt.timer = self._call_at(expires_at, self._timed_out, attempt)
        if self.successor:
            self.successor.forward_event(
                api.AttemptElsewhere(call.event, attempt.number, attempt.server, now)
            )
        if self.is_wanted(attempt):
            self.hosts.send(attempt)

    def _cancel(self, action: api.Cancel) -> None:
        call = self.calls.get(action.request)
        if call is None or action.attempt >= len(call.attempts):
            return
        attempt = call.attempts[action.attempt]
        if not attempt.ended:
            self.hosts.abandon(attempt)
            self.attempt_ended(attempt, api.Outcome.CANCELLED)

    def _refuse(self, action: api.Refuse) -> None:
        if call := self.calls.get(action.request):
            self.stats["refused_" + action.cause.value] += 1
            self._observe(call, "refused", cause=action.cause)
            retry_after = -(-action.retry_after // MS)  # rounded up: an earlier retry would be refused again
            self._finish(call, b"-BUSY %d\r\n" % retry_after if retry_after else b"-BUSY\r\n")

    def _fail(self, action: api.Fail) -> None:
        if call := self.calls.get(action.request):
            self.stats["failed"] += 1
            self._observe(call, "failed")
            self._finish(call, FAILED_REPLY)

    def _set_timer(self, action: api.SetTimer) -> None:
        self._call_after(action.delay, self.feed, api.TimerFired(action.token))

    def _send_to_peer(self, action: api.SendPeerMessage) -> None:
        self.stats["peer_out"] += 1
        self.send_to_peer(action.peer, action.body)

    def _ignore(self, action: api.Action) -> None:
        """Ignore an action: the discovery watch runs in any case, and this package sends no probes."""

    _HANDLERS: ClassVar = {
        api.Send: _send,
        api.Cancel: _cancel,
        api.Refuse: _refuse,
        api.Fail: _fail,
        api.SetTimer: _set_timer,
        api.SendPeerMessage: _send_to_peer,
        api.WatchList: _ignore,
        api.FetchList: _ignore,
        api.Probe: _ignore,
    }

    # -- answers and deadlines ------------------------------------------------------------------------------

    def _finish(self, call: Call, reply: bytes) -> None:
        """Send a request's final answer, unless it has one already."""
        if not call.finished:
            answer = call.answer
            self._mark_finished(call)
            answer(reply)

    def _observe(
        self, call: Call, outcome: str, server: api.Server = b"", cause: api.Cause | None = None
    ) -> None:
        if not (self.observer or self.request_log):
            return
        now, arrived_at = self.clock(), call.deadline - call.event.time_left
        if self.observer:
            self.observer.request_finished(call.event.kind, outcome, server, now - arrived_at)
        if self.request_log:
            self.request_log.request_finished(call, outcome, cause, arrived_at, now)

    def _mark_finished(self, call: Call) -> None:
        call.finish()
        if call.has_open_attempts:  # kept for one loop iteration: the module may still cancel them
            self.loop.call_soon(self._forget, call)
        else:
            self._forget(call)

    def _forget(self, call: Call) -> None:
        """Forget a finished request. Attempts that its hosts have received go on, the others are given up.

        What is still being sent would hold the memory of the request's body.
        """
        self.calls.pop(call.event.request, None)
        for attempt in list(call.attempts):
            if not attempt.fully_sent:
                self._withdraw(attempt)
        self._release_if_ended(call)

    def _release_if_ended(self, call: Call) -> None:
        """Free the last objects of a finished request once its last attempt has ended."""
        if call.finished and not call.has_open_attempts:
            self.repeat_guard.end(call)
            call.release()

    def _withdraw_after_close(self, attempt: Attempt) -> None:
        """Give up an attempt of a client that has gone, unless its host has received it.

        Where all has left this process, the host's acknowledgement may be on its way.
        """
        if not attempt.fully_sent:
            self._withdraw(attempt)
        elif not attempt.ended:
            self._call_after(ACKNOWLEDGEMENT_DELAY, self._withdraw, attempt)

    def _withdraw(self, attempt: Attempt) -> None:
        """Give up an attempt whose last byte has not reached its host, so that no host executes it later.

        If it has left this process the host may receive it all the same, so it may have been executed.
        """
        if not (attempt.ended or self.hosts.is_delivered(attempt)):
            self.hosts.abandon(attempt)
            outcome = api.Outcome.BROKEN if attempt.fully_sent else api.Outcome.NOT_CONNECTED
            self.attempt_ended(attempt, outcome)

    def _timed_out(self, attempt: Attempt) -> None:
        """End an attempt that was not answered in time; one that was never fully sent has not run."""
        if not attempt.ended:
            self.hosts.abandon(attempt)
            outcome = api.Outcome.TIMED_OUT if attempt.fully_sent else api.Outcome.NOT_CONNECTED
            self.attempt_ended(attempt, outcome)

    def _deadline_passed(self, call: Call) -> None:
        """End a request's attempts at its deadline, and fail it if the module has not answered it."""
        for attempt in list(call.attempts):
            self._timed_out(attempt)
        if not call.finished:
            log.warning("request_unanswered", request=call.parts[2], customer=f"{call.event.customer:016x}")
            self._observe(call, "failed")
            self._finish(call, FAILED_REPLY)
            if not call.is_relayed:
                self.feed(api.ClientGone(call.event.request))

    def _call_after(self, delay: int, callback: Callable, *args) -> asyncio.TimerHandle:
        """Call back no earlier than ``delay`` microseconds from now; timers have millisecond resolution."""
        return self.loop.call_later((delay // MS + 1) / 1_000, callback, *args)

    def _call_at(self, when: int, callback: Callable, *args) -> asyncio.TimerHandle:
        return self._call_after(max(0, when - self.clock()), callback, *args)
