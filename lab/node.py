"""A simulated gateway: carries out the actions of the decision module.

It models what ``saffrongw/driver.py`` and ``saffrongw/hosts.py`` do on sockets, with the same deadlines,
connection reuse and outcomes of attempts.
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
    from .simulator import World

IDLE_TIMEOUT_FRACTION = 0.6  # of the hosts' idle timeout, as in saffrongw/hosts.py
CONNECT_TIMEOUT = 250_000  # microseconds
PEER_MESSAGES_PER_SECOND = 100  # received datagrams above this rate are dropped


class DecisionModule(Protocol):
    """Decides for a gateway: the real decision module, or a baseline with the same interface."""

    def start(self) -> list[api.Action]:
        """Return the first actions."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle an event and return the resulting actions."""


@dataclass(slots=True, eq=False)
class Host:
    """A simulated host."""

    number: int
    name: bytes
    zone: int
    cell: int  # number of the cell within the zone
    station: Station
    health: api.Phase = api.Phase.READY
    up: bool = True  # whether the process runs
    vanished: bool = False  # the machine is unreachable: packets to and from it are lost
    launched: int = 0  # Unix time in microseconds; 0: long before the run
    connections: int = 0
    # Attempts that reached the host and have not ended there, in order of arrival.
    open_attempts: dict[Attempt, None] = field(default_factory=dict)

    def entry(self) -> api.ServerEntry:
        """Return the host's entry in the list of discovery."""
        return api.ServerEntry(self.name, self.health, self.zone, self.cell, self.launched, 1.0)


@dataclass(slots=True, eq=False)
class Request:
    """A request at a gateway, until it is answered and all its attempts have ended."""

    number: int
    event: api.RequestArrived
    deadline: int
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a host; it ends exactly once."""

    node: Node
    incarnation: int  # of the gateway process that started it
    request: Request
    number: int
    host: Host
    started_at: int
    deadline: int
    connected: bool = False
    request_written: bool = False
    ended: bool = False
    ticket: Ticket | None = None


class Node:
    """A gateway: its decision module, requests, and connections to hosts."""

    def __init__(self, world: World, rank: int) -> None:
        self.world, self.rank = world, rank
        self.zone = rank % len(world.scenario.zones)
        self.incarnation, self.up = 0, False
        self.decision_module: DecisionModule | None = None
        self.requests: dict[int, Request] = {}
        # By host: when each idle connection became idle, oldest first.
        self.idle_connections: dict[int, list[int]] = {}
        self.pending_events: deque[api.Event] = deque()
        self.is_dispatching = False
        # By host: phase and launch time as last listed.
        self.known_hosts: dict[int, tuple[api.Phase, int]] = {}
        self.receive_second, self.received_in_second = 0, 0

    def start(self) -> None:
        """Start without any previous state, and receive the whole host list."""
        world = self.world
        self.incarnation, self.up = self.incarnation + 1, True
        self.requests, self.idle_connections, self.pending_events, self.known_hosts = {}, {}, deque(), {}
        seed = zlib.crc32(f"{world.seed}/{self.rank}/{self.incarnation}".encode())
        self.decision_module = world.factory(
            world.settings(self.rank), seed, START_TIME + world.kernel.now, world
        )
        world.judge.gateway_restarted(self.rank)
        self._execute(self.decision_module.start())
        self.handle_list_change(
            [host for host in world.hosts if host.health is not api.Phase.GONE], whole_list=True
        )

    def stop(self) -> None:
        """Stop as by SIGKILL: connections are reset, and requests get no response."""
        self.up = False
        for request in list(self.requests.values()):
            for attempt in request.attempts:
                if not attempt.ended:
                    attempt.ended = True
                    self._close_connection(attempt)
            self.world.request_reset(request.number)
        for number, idle_since in self.idle_connections.items():
            self.world.hosts[number].connections -= len(idle_since)
        self.requests, self.idle_connections = {}, {}

    # -- events

    def handle_list_change(self, hosts: list[Host], whole_list: bool) -> None:
        """Process a notification by discovery with the current state of these hosts."""
        if not self.up:
            return
        world, now = self.world, self.world.kernel.now
        for host in hosts:
            world.judge.listing_changed(
                now, self.rank, host.name.decode(), host.health is not api.Phase.READY
            )
            self.known_hosts[host.number] = (host.health, host.launched)
            if host.health is api.Phase.GONE:
                host.connections -= len(self.idle_connections.pop(host.number, ()))
        kind = api.ListKind.WHOLE if whole_list else api.ListKind.CHANGES
        self.dispatch(api.ServerListed(kind, now, tuple(host.entry() for host in hosts)))

    def handle_request(self, number: int, event: api.RequestArrived, deadline: int) -> None:
        """Process a client's request that has been read completely."""
        request = self.requests[number] = Request(number, event, deadline)
        self.world.kernel.call_at(deadline, self._handle_deadline, self.incarnation, request)
        self.dispatch(event)

    def handle_datagram(self, sender: int, body: bytes) -> None:
        """Process a datagram of another gateway; drop those above PEER_MESSAGES_PER_SECOND."""
        if not self.up:
            return
        second = self.world.kernel.now // 1_000_000
        if second != self.receive_second:
            self.receive_second, self.received_in_second = second, 0
        self.received_in_second += 1
        if self.received_in_second <= PEER_MESSAGES_PER_SECOND:
            self.world.counts["messages_heard"] += 1
            self.dispatch(api.PeerMessage(sender, body))

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the decision module and execute the resulting actions.

        Events that the actions cause immediately are queued until all actions are done.
        """
        self.pending_events.append(event)
        if self.is_dispatching or self.decision_module is None:
            return
        self.is_dispatching, kernel = True, self.world.kernel
        try:
            while self.pending_events:
                started_at = time.perf_counter_ns()
                actions = self.decision_module.handle(START_TIME + kernel.now, self.pending_events.popleft())
                self.world.decision_ns += time.perf_counter_ns() - started_at
                self.world.decisions += 1
                self._execute(actions)
        finally:
            self.is_dispatching = False

    def _fire_timer(self, incarnation: int, token: int) -> None:
        if self.up and incarnation == self.incarnation:
            self.dispatch(api.TimerFired(token))

    # -- actions

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.world.kernel.call_after(action.delay, self._fire_timer, self.incarnation, action.token)
            elif isinstance(action, api.Send):
                self._start_attempt(action)
            elif isinstance(action, api.SendPeerMessage):
                self.world.send_datagram(self, action.peer, action.body)
            elif isinstance(action, api.Refuse):
                if request := self.requests.get(action.request):
                    self.world.refusal_causes[action.cause.value] += 1
                    self._answer(request, "refused", action.retry_after)
            elif isinstance(action, api.Fail):
                if request := self.requests.get(action.request):
                    self._answer(request, "failed")
            elif isinstance(action, api.Cancel):
                self._cancel_attempt(action)

    def _answer(self, request: Request, outcome: str, retry_after: int = 0) -> None:
        if request.answered:
            return
        request.answered = True
        self.world.deliver_response(request.number, outcome, retry_after)
        self._remove_if_complete(request)

    def _remove_if_complete(self, request: Request) -> None:
        if request.answered and all(attempt.ended for attempt in request.attempts):
            self.requests.pop(request.number, None)

    def _cancel_attempt(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if not attempt.ended:
            self._close_connection(attempt)
            self._end_attempt(attempt, api.Outcome.CANCELLED)

    def _handle_deadline(self, incarnation: int, request: Request) -> None:
        if incarnation != self.incarnation or self.requests.get(request.number) is not request:
            return
        for attempt in request.attempts:
            self._time_out_attempt(attempt)
        if not request.answered:
            self.world.counts["unanswered_by_decider"] += 1
            self._answer(request, "failed")
            self.dispatch(api.ClientGone(request.number))

    def _time_out_attempt(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.incarnation == self.incarnation:
            self._close_connection(attempt)
            self._end_attempt(
                attempt, api.Outcome.TIMED_OUT if attempt.request_written else api.Outcome.NOT_CONNECTED
            )

    # -- connections to hosts

    def _start_attempt(self, action: api.Send) -> None:
        request, world = self.requests.get(action.request), self.world
        if request is None:
            return
        kernel, host = world.kernel, world.hosts_by_name[action.server]
        now = kernel.now
        deadline = min(
            action.deadline - START_TIME if action.deadline else request.deadline, request.deadline
        )
        attempt = Attempt(self, self.incarnation, request, len(request.attempts), host, now, deadline)
        request.attempts.append(attempt)
        world.counts["attempts"] += 1
        if deadline < request.deadline:
            kernel.call_at(deadline, self._time_out_attempt, attempt)
        idle_since = self.idle_connections.get(host.number)
        oldest_reusable = now - int(IDLE_TIMEOUT_FRACTION * world.idle_close)
        while idle_since and idle_since[0] < oldest_reusable:
            idle_since.pop(0)
            host.connections -= 1
        if idle_since:
            idle_since.pop()
            attempt.connected = True
            world.counts["attempts_on_kept_links"] += 1
            self._write_request(attempt)
            return
        world.counts["connects"] += 1
        delay = world.zone_delay(self.zone, host.zone)
        if world.is_cut(self.zone, host.zone) or host.vanished:
            kernel.call_after(CONNECT_TIMEOUT, self._handle_connect_failure, attempt)
        elif not host.up:
            kernel.call_after(2 * delay, self._handle_connect_failure, attempt)
        else:
            kernel.call_after(2 * delay + world.handshake, self._handle_connected, attempt)

    def _handle_connect_failure(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.incarnation == self.incarnation:
            self._end_attempt(attempt, api.Outcome.NOT_CONNECTED)

    def _handle_connected(self, attempt: Attempt) -> None:
        if attempt.incarnation != self.incarnation:
            return
        host = attempt.host
        if attempt.ended:  # the attempt is over: keep the connection for the next one
            host.connections += 1
            self.idle_connections.setdefault(host.number, []).append(self.world.kernel.now)
            return
        host.connections += 1
        attempt.connected = True
        if host.connections > self.world.scenario.hosts.connections:
            self._close_connection(attempt)
            self._end_attempt(attempt, api.Outcome.FULL)
            return
        self._write_request(attempt)

    def _write_request(self, attempt: Attempt) -> None:
        attempt.request_written = True
        world, host = self.world, attempt.host
        if world.is_cut(self.zone, host.zone):
            return  # packets are lost without an error
        world.kernel.call_after(world.zone_delay(self.zone, host.zone), world.attempt_reached_host, attempt)

    def _close_connection(self, attempt: Attempt) -> None:
        """Close the attempt's connection; the host notices after the network delay."""
        if attempt.connected:
            attempt.connected = False
            attempt.host.connections -= 1
            world = self.world
            if not world.is_cut(self.zone, attempt.host.zone):
                world.kernel.call_after(
                    world.zone_delay(self.zone, attempt.host.zone), world.connection_closed, attempt
                )

    def handle_reply(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Process the host's reply or the failure of the connection."""
        if not self.up or attempt.incarnation != self.incarnation or attempt.ended:
            return
        connection_broken = outcome is api.Outcome.BROKEN
        if attempt.connected:
            attempt.connected = False
            if (
                connection_broken
                or self.known_hosts.get(attempt.host.number, (api.Phase.GONE, 0))[0] is api.Phase.GONE
            ):
                attempt.host.connections -= 1
            else:
                self.idle_connections.setdefault(attempt.host.number, []).append(self.world.kernel.now)
        self._end_attempt(attempt, outcome)

    def _end_attempt(self, attempt: Attempt, outcome: api.Outcome) -> None:
        attempt.ended = True
        request = attempt.request
        if outcome is api.Outcome.SERVED and not request.answered:
            self._answer(request, "served")
        self._remove_if_complete(request)
        duration = self.world.kernel.now - attempt.started_at
        self.world.attempt_outcomes[outcome.value] += 1
        self.dispatch(
            api.AttemptEnded(
                request.number,
                attempt.number,
                attempt.host.name,
                outcome,
                duration,
                request.answered,
                0,
                0.0,
                (),
            )
        )
