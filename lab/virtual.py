"""The virtual world: real ``orchidlane`` gateways, or baselines, on a clock that jumps from event to event.

No socket, no sleep. Times are whole microseconds; what is due at the same moment happens in the order of its
scheduling. What the gateway's own ``driver.py`` and ``hosts.py`` do on sockets (deadlines, connections, what
became of an attempt) is done here by ``Node`` in the same words.
"""

from __future__ import annotations

import dataclasses
import heapq
import time
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import numpy as np

from orchidlane import interface as api

from .judge import Judge, Try
from .scenario import Kind, Scenario, Trouble
from .station import FAILED, SERVED, Machine, Station, Ticket

T0 = 1_000_000_000  # microseconds of Unix time at which every run begins
ON_THE_WAY = 10_000  # as in driver.py: so much before its time is up the last answer must be on its way
IDLE_PART = 0.6  # as in hosts.py
CONNECT_WITHIN = 250_000
DRAWS = 4_096
SPREAD = 500_000  # gateways come up within so much time


class Decider(Protocol):
    """What a gateway is to the world: the decision module, or a baseline behind the same interface."""

    def start(self) -> list[api.Action]:
        """The first actions."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """What an event leads to."""


Factory = Callable[[api.Settings, int, int, "World"], Decider]


class Kernel:
    """The clock, and what is due when."""

    def __init__(self) -> None:
        self.now = 0
        self.heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.scheduled = self.events = 0

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        """Call at this moment, or now if it is over."""
        self.scheduled += 1
        heapq.heappush(self.heap, (max(when, self.now), self.scheduled, call, args))

    def after(self, span: int, call: Callable[..., Any], *args: Any) -> None:
        """Call after a span of microseconds."""
        self.at(self.now + span, call, *args)

    def run(self, until: int) -> None:
        """Everything that is due before then."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] < until:
            self.now, _, call, args = pop(heap)
            self.events += 1
            call(*args)
        self.now = until


def draws(seed: int, name: str) -> np.random.Generator:
    """A part's own generator: one part more does not shift the others."""
    return np.random.default_rng(np.random.SeedSequence([seed, zlib.crc32(name.encode())]))


class Uniform:
    """Numbers from 0 to 1, drawn many at once."""

    def __init__(self, draw: np.random.Generator) -> None:
        self.draw, self.left = draw, list[float]()

    def __call__(self) -> float:
        if not self.left:
            self.left = self.draw.random(DRAWS).tolist()
        return self.left.pop()


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
class Call:
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
    call: Call
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
        self.decider: Decider | None = None
        self.calls: dict[int, Call] = {}
        self.idle: dict[int, list[int]] = {}  # host: since when each unused connection is unused
        self.pending: deque[api.Event] = deque()
        self.feeding = False
        self.seen: dict[int, tuple[api.Phase, int]] = {}  # what the list told of each host
        self.inbox_second, self.inbox = 0, 0

    def start(self) -> None:
        """Come up with nothing but the settings, and be told the whole list."""
        world = self.world
        self.life, self.up = self.life + 1, True
        self.calls, self.idle, self.pending, self.seen = {}, {}, deque(), {}
        seed = zlib.crc32(f"{world.seed}/{self.rank}/{self.life}".encode())
        self.decider = world.factory(world.settings(self.rank), seed, T0 + world.kernel.now, world)
        world.judge.restarted(self.rank)
        self._carry_out(self.decider.start())
        self.told([host for host in world.hosts if host.health is not api.Phase.GONE], whole=True)

    def stop(self) -> None:
        """SIGKILL: connections are reset, nothing is answered."""
        self.up = False
        for call in list(self.calls.values()):
            for attempt in call.attempts:
                if not attempt.ended:
                    attempt.ended = True
                    self._leave(attempt)
            self.world.died(call.number)
        for number, idle in self.idle.items():
            self.world.hosts[number].links -= len(idle)
        self.calls, self.idle = {}, {}

    # -- events

    def told(self, hosts: list[Host], whole: bool) -> None:
        """Discovery's word, as it is now."""
        if not self.up:
            return
        world, now = self.world, self.world.kernel.now
        for host in hosts:
            world.judge.told(now, self.rank, host.name.decode(), host.health is not api.Phase.READY)
            self.seen[host.number] = (host.health, host.launched)
            if host.health is api.Phase.GONE:
                host.links -= len(self.idle.pop(host.number, ()))
        kind = api.ListKind.WHOLE if whole else api.ListKind.CHANGES
        self.feed(api.ServerListed(kind, now, tuple(host.entry() for host in hosts)))

    def arrived(self, number: int, event: api.RequestArrived, until: int) -> None:
        """A client's request, its last byte just read."""
        call = self.calls[number] = Call(number, event, until)
        self.world.kernel.at(until, self._time_up, self.life, call)
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
        if self.feeding or self.decider is None:
            return
        self.feeding, kernel = True, self.world.kernel
        try:
            while self.pending:
                began = time.perf_counter_ns()
                actions = self.decider.handle(T0 + kernel.now, self.pending.popleft())
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
                self.world.kernel.after(action.span, self._timer, self.life, action.token)
            elif isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.TellPeer):
                self.world.tell_peer(self, action.peer, action.body)
            elif isinstance(action, api.Refuse):
                if call := self.calls.get(action.request):
                    self.world.causes[action.cause.value] += 1
                    self._finish(call, "refused", action.retry_after)
            elif isinstance(action, api.Fail):
                if call := self.calls.get(action.request):
                    self._finish(call, "failed")
            elif isinstance(action, api.Cancel):
                self._cancel(action)

    def _finish(self, call: Call, how: str, retry_after: int = 0) -> None:
        if call.finished:
            return
        call.finished = True
        self.world.answer(call.number, how, retry_after)
        self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.finished and all(attempt.ended for attempt in call.attempts):
            self.calls.pop(call.number, None)

    def _cancel(self, action: api.Cancel) -> None:
        call = self.calls.get(action.request)
        if call is None or action.attempt >= len(call.attempts):
            return
        attempt = call.attempts[action.attempt]
        if not attempt.ended:
            self._leave(attempt)
            self._ended(attempt, api.Outcome.CANCELLED)

    def _time_up(self, life: int, call: Call) -> None:
        if life != self.life or self.calls.get(call.number) is not call:
            return
        for attempt in call.attempts:
            self._timed_out(attempt)
        if not call.finished:
            self.world.counts["unanswered_by_decider"] += 1
            self._finish(call, "failed")
            self.feed(api.ClientGone(call.number))

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.life == self.life:
            self._leave(attempt)
            self._ended(attempt, api.Outcome.TIMED_OUT if attempt.whole else api.Outcome.NOT_CONNECTED)

    # -- connections to hosts

    def _send(self, action: api.Send) -> None:
        call, world = self.calls.get(action.request), self.world
        if call is None:
            return
        kernel, host = world.kernel, world.by_name[action.server]
        now = kernel.now
        give_up_at = min(action.give_up_at - T0 if action.give_up_at else call.until, call.until)
        attempt = Attempt(self, self.life, call, len(call.attempts), host, now, give_up_at)
        call.attempts.append(attempt)
        world.counts["attempts"] += 1
        if give_up_at < call.until:
            kernel.at(give_up_at, self._timed_out, attempt)
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
            kernel.after(CONNECT_WITHIN, self._not_connected, attempt)
        elif not host.up:
            kernel.after(2 * way, self._not_connected, attempt)
        else:
            kernel.after(2 * way + world.handshake, self._connected, attempt)

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
        world.kernel.after(world.way(self.zone, host.zone), world.reached, attempt)

    def _leave(self, attempt: Attempt) -> None:
        """Close its connection: the host is told a little later."""
        if attempt.connected:
            attempt.connected = False
            attempt.host.links -= 1
            world = self.world
            if not world.cut(self.zone, attempt.host.zone):
                world.kernel.after(world.way(self.zone, attempt.host.zone), world.left, attempt)

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
        call = attempt.call
        if outcome is api.Outcome.SERVED and not call.finished:
            self._finish(call, "served")
        self._forget(call)
        took = self.world.kernel.now - attempt.sent
        self.world.outcomes[outcome.value] += 1
        self.feed(
            api.AttemptEnded(
                call.number, attempt.number, attempt.host.name, outcome, took, call.finished, 0, 0.0, ()
            )
        )


PEER_INTAKE = 100  # datagrams that a gateway takes in a second
OUTCOMES = {SERVED: api.Outcome.SERVED, FAILED: api.Outcome.ERROR}
EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}


@dataclass(slots=True)
class Customer:
    """One customer's demand: requests a second, and when it bursts."""

    number: int
    plan: int
    rate: float
    first: int
    bursts: bool
    offset: int  # microseconds by which its bursts are shifted
    draw: np.random.Generator


class World:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int, factory: Factory) -> None:
        self.scenario, self.seed, self.factory = scenario, seed, factory
        self.kernel, self.judge = Kernel(), Judge(scenario)
        self.chance = Uniform(draws(seed, "network"))
        self.front_chance = Uniform(draws(seed, "front"))
        self.client_chance = Uniform(draws(seed, "clients"))
        self.notice_chance = Uniform(draws(seed, "discovery"))
        self.trouble_draw = draws(seed, "troubles")
        self.counts: Counter[str] = Counter()
        self.causes: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.decisions, self.decision_ns = 0, 0
        self.handshake = scenario.hosts.handshake.base
        self.idle_close = scenario.hosts.idle_close.base
        self.cuts: list[int] = []  # zones that are cut off now
        self.peers_cut = False
        self.load = 1.0
        self.last_number = 0
        self.plain = self._settings()
        self.hosts = [self._host(i) for i in range(scenario.hosts.count)]
        self.by_name = {host.name: host for host in self.hosts}
        self.nodes = [Node(self, rank) for rank in range(scenario.gateways)]
        self.down: dict[
            int, int
        ] = {}  # gateways that the front passes by, and until when it does not know yet
        self.retries: dict[int, tuple[Customer, int, int]] = {}

    # -- what there is

    def _settings(self) -> api.Settings:
        scenario, hosts = self.scenario, self.scenario.hosts
        return api.Settings(
            rank=0,
            gateways=scenario.gateways,
            zone=0,
            classes=tuple(_class(kind) for kind in scenario.kinds),
            plans=tuple(
                api.Plan(plan.rate, plan.burst, 0, plan.price, 0.0, plan.beyond_costs, 0.0, 0.0, 0.0)
                for plan in scenario.plans
            ),
            may_tell_peers=True,
            may_probe=False,
            may_cancel=True,
            may_copy=True,
            max_attempts=4,
            max_retry_after=1_000_000,
            peer_intake=float(PEER_INTAKE),
            peer_charge=0.025,
            probe_charge=0.0,
            waste_charge=0.06,
            cross_zone_charge=0.01 if len(scenario.zones) > 1 else 0.0,
            has_counter=False,
            asks_for_list=False,
            ask_within=10_000_000,
            reports=api.Reports.NONE,
            report_names=(),
            cold_from=hosts.cold_from,
            warm_within=hosts.warm_within.base,
            fall_multiple=2.0,
            overload_for=2_000_000,
            drain_grace=250_000,
        )

    def settings(self, rank: int) -> api.Settings:
        """What one gateway is told at its start."""
        return dataclasses.replace(self.plain, rank=rank, zone=rank % len(self.scenario.zones))

    def _host(self, number: int) -> Host:
        made, scenario = self.scenario.hosts, self.scenario
        machine = Machine(
            slots=made.slots,
            waiting=made.waiting,
            work={kind.name.encode(): kind.work.base / 1e6 for kind in scenario.kinds},
            spread=made.spread,
            error_rate=made.error_rate,
            cold_from=made.cold_from,
            warm_within=made.warm_within.base / 1e6,
            connections=made.connections,
        )
        kernel = self.kernel

        def later(span: float, call: Callable[..., Any], /, *args: Any) -> None:
            kernel.after(int(span * 1e6), call, *args)

        draw = draws(self.seed, f"host {number}")
        station = Station(machine, draw, lambda: kernel.now / 1e6, later)
        station.since = -machine.warm_within  # it has run for long
        zones = len(scenario.zones)
        return Host(number, b"host-%03d" % number, number % zones, number // zones // 4, station)

    # -- the network

    def way(self, a: int, b: int) -> int:
        """Microseconds one way between two zones."""
        network = self.scenario.network
        base = network.host.base if a == b else network.across.base
        return int(base * (1 + network.jitter * self.chance()))

    def _client_way(self) -> int:
        network = self.scenario.network
        return int(network.client.base * (1 + network.jitter * self.chance()))

    def cut(self, a: int, b: int) -> bool:
        """Whether nothing passes between two zones now."""
        return a != b and bool(self.cuts) and (a in self.cuts or b in self.cuts)

    def tell_peer(self, node: Node, rank: int, body: bytes) -> None:
        """A datagram, which may be lost."""
        self.counts["messages"] += 1
        self.counts["message_bytes"] += len(body)
        if len(body) > 256:
            self.judge.breach(self.kernel.now, "datagram too long", 0, gateways=[node.rank])
        to, network = self.nodes[rank], self.scenario.network
        lost = self.chance() < network.peer_loss or self.peers_cut or self.cut(node.zone, to.zone)
        if not lost:
            span = int(network.peer.base * (1 + network.jitter * self.chance()))
            self.kernel.after(span, to.heard, node.rank, body)

    # -- hosts

    def reached(self, attempt: Attempt) -> None:
        """A request has come whole to its host."""
        host, node = attempt.host, attempt.node
        if host.silent:
            return
        if not host.up:
            self._back(attempt, api.Outcome.BROKEN)
            return
        self.judge.reached(self.kernel.now, attempt.call.number, node.rank, host.name.decode())
        if host.health is not api.Phase.READY:
            host.station.seen.turned_away["draining"] += 1
            self._back(attempt, api.Outcome.FULL)
            return
        kind = self.scenario.kinds[attempt.call.event.kind]

        def tell(how: str) -> None:
            host.out.pop(attempt, None)
            if not host.silent:
                self._back(attempt, OUTCOMES.get(how, api.Outcome.FULL))

        def begun() -> None:
            group = {"all": "", "zone": str(host.zone), "cell": f"{host.zone}/{host.cell}"}[kind.group]
            self.judge.begun(self.kernel.now, attempt.call.number, host.name.decode(), group)

        number = b"%d" % attempt.call.number
        attempt.ticket = Ticket(kind.name.encode(), number, attempt.give_up_at / 1e6, tell, begun)
        host.out[attempt] = None
        host.station.offer(attempt.ticket)

    def _back(self, attempt: Attempt, outcome: api.Outcome) -> None:
        node, host = attempt.node, attempt.host
        if not self.cut(node.zone, host.zone):
            self.kernel.after(self.way(host.zone, node.zone), node.replied, attempt, outcome)

    def left(self, attempt: Attempt) -> None:
        """The host sees that the connection is closed."""
        attempt.host.out.pop(attempt, None)
        if attempt.ticket and attempt.host.up and not attempt.host.silent:
            attempt.host.station.give_up(attempt.ticket)

    # -- the front and the clients

    def _customers(self) -> list[Customer]:
        made, scenario = self.scenario.customers, self.scenario
        draw = draws(self.seed, "customers")
        weights = np.array([plan.share for plan in scenario.plans])
        done = []
        for number in range(made.count):
            plan = int(draw.choice(len(weights), p=weights / weights.sum()))
            kind = float(draw.random())
            bursts = kind < made.bursting
            use = made.burst_use if bursts else made.steady_use
            if made.bursting <= kind < made.bursting + made.nearly_full:
                use = made.nearly_full_use
            elif 0 <= kind - made.bursting - made.nearly_full < made.over:
                use = made.over_use
            first = int(draw.integers(scenario.gateways))
            offset = int(draw.integers(max(1, made.burst_every.base)))
            rate = scenario.plans[plan].rate * use
            own = draws(self.seed, f"customer {number}")
            done.append(Customer(number, plan, rate, first, bursts, offset, own))
        return done

    def _demand(self, customer: Customer) -> float:
        made = self.scenario.customers
        if customer.bursts:
            phase = (self.kernel.now + customer.offset) % made.burst_every.base
            if phase < made.burst_lasts.base:
                return customer.rate * made.burst_factor * self.load
        return customer.rate * self.load

    def _come(self, customer: Customer) -> None:
        """One first try, then wait for the next: demand that changes is met by thinning."""
        most = customer.rate * self.most
        if most <= 0:
            return
        span = float(customer.draw.exponential(1e6 / most))
        self.kernel.after(int(span), self._come, customer)
        if float(customer.draw.random()) * most < self._demand(customer):
            kinds = self.scenario.kinds
            kind = int(np.searchsorted(self.kind_edges, float(customer.draw.random()), side="right"))
            self._ask(customer, min(kind, len(kinds) - 1), 1)

    def _ask(self, customer: Customer, kind: int, tries: int) -> None:
        """A client sends a request through the front."""
        scenario, now = self.scenario, self.kernel.now
        set_size = scenario.customers.set
        ranks = [(customer.first + i) % scenario.gateways for i in range(set_size)]
        up = [rank for rank in ranks if self.down.get(rank, now + 1) > now] or ranks
        rank = up[int(self.front_chance() * len(up))]
        self.last_number += 1
        number = self.last_number
        self.judge.sent(now, number, Try(customer.number, customer.plan, kind, 1.0, now, rank), tries == 1)
        self.retries[number] = (customer, kind, tries)
        deadline = scenario.kinds[kind].deadline.base
        self.kernel.after(self._client_way(), self._taken, number, rank, deadline, customer, kind, tries)

    def _taken(
        self, number: int, rank: int, deadline: int, customer: Customer, kind: int, tries: int
    ) -> None:
        node, now = self.nodes[rank], self.kernel.now
        if not node.up:
            self.judge.gone(now, number, "gateway_down")
            self.retries.pop(number, None)
            return
        sent = self.judge.tries[number].sent
        until = max(now + 1_000, sent + deadline - ON_THE_WAY)
        event = api.RequestArrived(
            number,
            customer.number,
            customer.plan,
            kind,
            1.0,
            until - now,
            customer.first,
            self.scenario.customers.set,
            tries > 1,
        )
        node.arrived(number, event, until)

    def answer(self, number: int, how: str, retry_after: int) -> None:
        """A gateway's final answer, on its way to the client."""
        self.kernel.after(self._client_way(), self._answered, number, how, retry_after)

    def _answered(self, number: int, how: str, retry_after: int) -> None:
        self.judge.answered(self.kernel.now, number, how)
        asked = self.retries.pop(number, None)
        if how != "refused" or asked is None:
            return
        customer, kind, tries = asked
        clients = self.scenario.clients
        if tries < clients.tries and self.client_chance() < clients.retry:
            wait = clients.backoff.base
            if retry_after and self.client_chance() < clients.honour:
                wait = max(wait, retry_after)
            self.kernel.after(int(wait * (1 + self.client_chance())), self._ask, customer, kind, tries + 1)

    def died(self, number: int) -> None:
        """The gateway that had it died: its client sees a reset."""
        self.judge.gone(self.kernel.now, number, "gateway_died")
        self.retries.pop(number, None)

    # -- troubles

    def _some(self, things: list[Any], share: float) -> list[Any]:
        count = max(1, round(share * len(things))) if things and share else 0
        if not count:
            return []
        chosen = self.trouble_draw.choice(len(things), size=count, replace=False)
        return [things[int(i)] for i in sorted(chosen)]

    def _chosen_hosts(self, trouble: Trouble) -> list[Host]:
        zones = self.scenario.zones
        hosts = [h for h in self.hosts if trouble.zone is None or h.zone == zones.index(trouble.zone)]
        return self._some([host for host in hosts if host.up and not host.silent], trouble.share)

    def _trouble(self, trouble: Trouble) -> None:
        kernel, lasts = self.kernel, trouble.lasts.base
        hosts = self._chosen_hosts(trouble) if trouble.what.endswith("-hosts") else []
        if trouble.what == "kill-gateways":
            for node in self._some([node for node in self.nodes if node.up], trouble.share):
                node.stop()
                self.down[node.rank] = kernel.now + self.scenario.front.notice.base
                kernel.after(lasts + int(self.notice_chance() * SPREAD), self._gateway_back, node)
        elif trouble.what == "overload":
            self.load *= trouble.factor
            kernel.after(lasts, self._load, 1 / trouble.factor)
        elif trouble.what == "cut-zone" and trouble.zone:
            zone = self.scenario.zones.index(trouble.zone)
            self.cuts.append(zone)
            kernel.after(lasts, self.cuts.remove, zone)
        elif trouble.what == "cut-peers":
            self.peers_cut = True
            kernel.after(lasts, setattr, self, "peers_cut", False)
        for host in hosts:
            self._trouble_host(trouble, host)
            kernel.after(lasts, self._host_back, trouble, host)

    def _trouble_host(self, trouble: Trouble, host: Host) -> None:
        if trouble.what == "slow-hosts":
            host.station.factor /= trouble.factor
        elif trouble.what == "wrong-hosts":
            host.station.error_rate = trouble.factor
        elif trouble.what == "vanish-hosts":
            host.silent = True
            self._list(host, api.Phase.GONE)
        elif trouble.what == "drain-hosts":
            self._list(host, api.Phase.DRAINING)
        elif trouble.what == "kill-hosts":
            host.up = False
            for attempt in list(host.out):
                self._back(attempt, api.Outcome.BROKEN)
            self._empty(host)
            self._list(host, api.Phase.GONE)

    def _empty(self, host: Host) -> None:
        """A new process without anything of the old one."""
        host.out.clear()
        host.station.restart()
        host.links = 0
        for node in self.nodes:
            node.idle.pop(host.number, None)

    def _host_back(self, trouble: Trouble, host: Host) -> None:
        if trouble.what == "slow-hosts":
            host.station.factor *= trouble.factor
            return
        if trouble.what == "wrong-hosts":
            host.station.error_rate = self.scenario.hosts.error_rate
            return
        self._empty(host)
        host.up, host.silent = True, False
        host.launched = T0 + self.kernel.now
        self._list(host, api.Phase.READY)

    def _list(self, host: Host, phase: api.Phase) -> None:
        """The list changes; each gateway is told in its own time, what holds by then."""
        host.health = phase
        notice = self.scenario.discovery
        for node in self.nodes:
            span = notice.notice.base + int(notice.more.base * self.notice_chance())
            self.kernel.after(span, self._tell, node, host)

    def _tell(self, node: Node, host: Host) -> None:
        if node.up and node.seen.get(host.number) != (host.health, host.launched):
            node.told([host], whole=False)

    def _gateway_back(self, node: Node) -> None:
        node.start()
        self.down.pop(node.rank, None)

    def _load(self, factor: float) -> None:
        self.load *= factor

    # -- the run

    def run(self) -> dict[str, Any]:
        """The whole scenario; its result, the same to the byte for the same seed."""
        scenario, made = self.scenario, self.scenario.customers
        shares = np.array([kind.share for kind in scenario.kinds])
        self.kind_edges = np.cumsum(shares / shares.sum())
        factors = [trouble.factor for trouble in scenario.troubles if trouble.what == "overload"]
        self.most = max(1.0, made.burst_factor if made.bursting else 1.0) * float(np.prod([1.0, *factors]))
        start = draws(self.seed, "start")
        for node in self.nodes:
            self.kernel.at(int(float(start.random()) * SPREAD), node.start)
        self.kernel.run(SPREAD)
        for customer in self._customers():
            self._come(customer)
        for trouble in scenario.troubles:
            self.kernel.at(SPREAD + trouble.at.base, self._trouble, trouble)
        self.kernel.run(SPREAD + scenario.lasts.base)
        self.judge.end(self.kernel.now)
        return self._result()

    def _result(self) -> dict[str, Any]:
        total = self.judge.total
        first = max(1, total["first_tries"])
        hosts = [host.station.seen for host in self.hosts]
        slots = self.scenario.hosts.slots * self.scenario.lasts.base / 1e6
        return {
            "scenario": self.scenario.name,
            "seed": self.seed,
            **self.judge.result(),
            "refused_by_cause": dict(sorted(self.causes.items())),
            "attempts_by_outcome": dict(sorted(self.outcomes.items())),
            "counts": dict(sorted(self.counts.items())),
            "each_first_try": {
                "attempts": round(self.counts["attempts"] / first, 4),
                "connects": round(self.counts["connects"] / first, 4),
                "messages": round(self.counts["messages"] / first, 4),
                "message_bytes": round(self.counts["message_bytes"] / first, 2),
            },
            "hosts": {
                "begun": sum(seen.begun for seen in hosts),
                "use": round(sum(seen.busy_time for seen in hosts) / len(hosts) / slots, 4),
                "turned_away": dict(sorted(sum((seen.turned_away for seen in hosts), Counter()).items())),
            },
            "events": self.kernel.events,
        }


def _class(kind: Kind) -> api.RequestClass:
    return api.RequestClass(
        aim=kind.aim.base,
        deadline=kind.deadline.base,
        worth=kind.worth,
        late_worth=kind.late_worth,
        effect=EFFECTS[kind.effect],
        group=api.Group(kind.group),
        window=kind.repeat_window.base,
    )
