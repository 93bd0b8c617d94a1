"""One gateway of the virtual world: what ``driver.py`` and ``hosts.py`` do on sockets, in the same words
(deadlines, connections, what became of an attempt).
"""

from __future__ import annotations

import time
import zlib
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from orchidlane import interface as api

from .kernel import START_TIME
from .station import Station, Ticket

if TYPE_CHECKING:
    from .virtual import World

IDLE_PART = 0.6  # as in hosts.py
CONNECT_WITHIN = 250_000
PEER_INTAKE = 100  # datagrams that a gateway takes in a second


class DecisionModule(Protocol):
    """What a gateway is to the world: the decision module, or a baseline behind the same interface."""

    def start(self) -> list[api.Action]:
        """The first actions."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """What an event leads to."""


@dataclass(slots=True, eq=False)
class Host:
    """One machine, as the world sees it."""

    number: int
    name: bytes
    zone: int
    cell: int
    station: Station
    health: api.Phase = api.Phase.READY
    up: bool = True  # the process runs
    silent: bool = False  # the machine has vanished: nothing comes, nothing goes
    launched: int = 0
    links: int = 0
    out: dict[Attempt, None] = field(default_factory=dict)  # attempts that reached it and are open

    def entry(self) -> api.ServerEntry:
        """Its line on the list."""
        return api.ServerEntry(self.name, self.health, self.zone, self.cell, self.launched, 1.0)


@dataclass(slots=True, eq=False)
class Request:
    """A request at a gateway, until its one final answer."""

    number: int
    event: api.RequestArrived
    until: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call to a host; it ends exactly once."""

    node: Node
    life: int
    request: Request
    number: int
    host: Host
    sent: int
    give_up_at: int
    connected: bool = False
    whole: bool = False
    ended: bool = False
    ticket: Ticket | None = None


class Node:
    """One gateway: its decider, and what carries its actions out."""

    def __init__(self, world: World, rank: int) -> None:
        self.world, self.rank = world, rank
        self.zone = rank % len(world.scenario.zones)
        self.life, self.up = 0, False
        self.decision_module: DecisionModule | None = None
        self.requests: dict[int, Request] = {}
        self.idle: dict[int, list[int]] = {}  # host: since when each unused connection is unused
        self.pending: deque[api.Event] = deque()
        self.feeding = False
        self.seen: dict[int, tuple[api.Phase, int]] = {}  # what the list told of each host
        self.inbox_second, self.inbox = 0, 0

    def start(self) -> None:
        """Come up with nothing but the settings, and be told the whole list."""
        world = self.world
        self.life, self.up = self.life + 1, True
        self.requests, self.idle, self.pending, self.seen = {}, {}, deque(), {}
        seed = zlib.crc32(f"{world.seed}/{self.rank}/{self.life}".encode())
        self.decision_module = world.factory(
            world.settings(self.rank), seed, START_TIME + world.kernel.now, world
        )
        world.judge.gateway_restarted(self.rank)
        self._carry_out(self.decision_module.start())
        self.told([host for host in world.hosts if host.health is not api.Phase.GONE], whole=True)

    def stop(self) -> None:
        """SIGKILL: connections are reset, nothing is answered."""
        self.up = False
        for request in list(self.requests.values()):
            for attempt in request.attempts:
                if not attempt.ended:
                    attempt.ended = True
                    self._leave(attempt)
            self.world.died(request.number)
        for number, idle in self.idle.items():
            self.world.hosts[number].links -= len(idle)
        self.requests, self.idle = {}, {}

    # -- events

    def told(self, hosts: list[Host], whole: bool) -> None:
        """Discovery's word, as it is now."""
        if not self.up:
            return
        world, now = self.world, self.world.kernel.now
        for host in hosts:
            world.judge.listing_changed(
                now, self.rank, host.name.decode(), host.health is not api.Phase.READY
            )
            self.seen[host.number] = (host.health, host.launched)
            if host.health is api.Phase.GONE:
                host.links -= len(self.idle.pop(host.number, ()))
        kind = api.ListKind.WHOLE if whole else api.ListKind.CHANGES
        self.feed(api.ServerListed(kind, now, tuple(host.entry() for host in hosts)))

    def arrived(self, number: int, event: api.RequestArrived, until: int) -> None:
        """A client's request, its last byte just read."""
        request = self.requests[number] = Request(number, event, until)
        self.world.kernel.call_at(until, self._time_up, self.life, request)
        self.feed(event)

    def heard(self, sender: int, body: bytes) -> None:
        """A datagram of another gateway; beyond what one takes in a second they are lost."""
        if not self.up:
            return
        second = self.world.kernel.now // 1_000_000
        if second != self.inbox_second:
            self.inbox_second, self.inbox = second, 0
        self.inbox += 1
        if self.inbox <= PEER_INTAKE:
            self.world.counts["messages_heard"] += 1
            self.feed(api.PeerMessage(sender, body))

    def feed(self, event: api.Event) -> None:
        """One event to the decider; what its actions lead to at once waits until all of them are done."""
        self.pending.append(event)
        if self.feeding or self.decision_module is None:
            return
        self.feeding, kernel = True, self.world.kernel
        try:
            while self.pending:
                began = time.perf_counter_ns()
                actions = self.decision_module.handle(START_TIME + kernel.now, self.pending.popleft())
                self.world.decision_ns += time.perf_counter_ns() - began
                self.world.decisions += 1
                self._carry_out(actions)
        finally:
            self.feeding = False

    def _timer(self, life: int, token: int) -> None:
        if self.up and life == self.life:
            self.feed(api.TimerFired(token))

    # -- actions

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.world.kernel.call_after(action.delay, self._timer, self.life, action.token)
            elif isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.SendPeerMessage):
                self.world.tell_peer(self, action.peer, action.body)
            elif isinstance(action, api.Refuse):
                if request := self.requests.get(action.request):
                    self.world.causes[action.cause.value] += 1
                    self._finish(request, "refused", action.retry_after)
            elif isinstance(action, api.Fail):
                if request := self.requests.get(action.request):
                    self._finish(request, "failed")
            elif isinstance(action, api.Cancel):
                self._cancel(action)

    def _finish(self, request: Request, how: str, retry_after: int = 0) -> None:
        if request.finished:
            return
        request.finished = True
        self.world.deliver_response(request.number, how, retry_after)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.finished and all(attempt.ended for attempt in request.attempts):
            self.requests.pop(request.number, None)

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if not attempt.ended:
            self._leave(attempt)
            self._ended(attempt, api.Outcome.CANCELLED)

    def _time_up(self, life: int, request: Request) -> None:
        if life != self.life or self.requests.get(request.number) is not request:
            return
        for attempt in request.attempts:
            self._timed_out(attempt)
        if not request.finished:
            self.world.counts["unanswered_by_decider"] += 1
            self._finish(request, "failed")
            self.feed(api.ClientGone(request.number))

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.life == self.life:
            self._leave(attempt)
            self._ended(attempt, api.Outcome.TIMED_OUT if attempt.whole else api.Outcome.NOT_CONNECTED)

    # -- connections to hosts

    def _send(self, action: api.Send) -> None:
        request, world = self.requests.get(action.request), self.world
        if request is None:
            return
        kernel, host = world.kernel, world.by_name[action.server]
        now = kernel.now
        give_up_at = min(action.deadline - START_TIME if action.deadline else request.until, request.until)
        attempt = Attempt(self, self.life, request, len(request.attempts), host, now, give_up_at)
        request.attempts.append(attempt)
        world.counts["attempts"] += 1
        if give_up_at < request.until:
            kernel.call_at(give_up_at, self._timed_out, attempt)
        idle, kept_since = self.idle.get(host.number), now - int(IDLE_PART * world.idle_close)
        while idle and idle[0] < kept_since:
            idle.pop(0)
            host.links -= 1
        if idle:
            idle.pop()
            attempt.connected = True
            world.counts["attempts_on_kept_links"] += 1
            self._write(attempt)
            return
        world.counts["connects"] += 1
        way = world.way(self.zone, host.zone)
        if world.cut(self.zone, host.zone) or host.silent:
            kernel.call_after(CONNECT_WITHIN, self._not_connected, attempt)
        elif not host.up:
            kernel.call_after(2 * way, self._not_connected, attempt)
        else:
            kernel.call_after(2 * way + world.handshake, self._connected, attempt)

    def _not_connected(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.life == self.life:
            self._ended(attempt, api.Outcome.NOT_CONNECTED)

    def _connected(self, attempt: Attempt) -> None:
        if attempt.life != self.life:
            return
        host = attempt.host
        if attempt.ended:  # nobody needs it any more: kept for the next
            host.links += 1
            self.idle.setdefault(host.number, []).append(self.world.kernel.now)
            return
        host.links += 1
        attempt.connected = True
        if host.links > self.world.scenario.hosts.connections:
            self._leave(attempt)
            self._ended(attempt, api.Outcome.FULL)
            return
        self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        attempt.whole = True
        world, host = self.world, attempt.host
        if world.cut(self.zone, host.zone):
            return  # it goes nowhere, without a sign
        world.kernel.call_after(world.way(self.zone, host.zone), world.reached, attempt)

    def _leave(self, attempt: Attempt) -> None:
        """Close its connection: the host is told a little later."""
        if attempt.connected:
            attempt.connected = False
            attempt.host.links -= 1
            world = self.world
            if not world.cut(self.zone, attempt.host.zone):
                world.kernel.call_after(world.way(self.zone, attempt.host.zone), world.left, attempt)

    def replied(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """The host's answer, or that the connection broke."""
        if not self.up or attempt.life != self.life or attempt.ended:
            return
        broken = outcome is api.Outcome.BROKEN
        if attempt.connected:
            attempt.connected = False
            if broken or self.seen.get(attempt.host.number, (api.Phase.GONE, 0))[0] is api.Phase.GONE:
                attempt.host.links -= 1
            else:
                self.idle.setdefault(attempt.host.number, []).append(self.world.kernel.now)
        self._ended(attempt, outcome)

    def _ended(self, attempt: Attempt, outcome: api.Outcome) -> None:
        attempt.ended = True
        request = attempt.request
        if outcome is api.Outcome.SERVED and not request.finished:
            self._finish(request, "served")
        self._forget(request)
        took = self.world.kernel.now - attempt.sent
        self.world.outcomes[outcome.value] += 1
        self.feed(
            api.AttemptEnded(
                request.number, attempt.number, attempt.host.name, outcome, took, request.finished, 0, 0.0, ()
            )
        )
