"""The virtual world: real ``orchidlane`` gateways, or baselines, on a clock that jumps from event to event.

No socket, no sleep: hosts, discovery, customers, the network and what goes wrong with them.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from orchidlane import interface as api

from .judge import ClientRequest, Judge
from .kernel import START_TIME, Kernel, UniformStream, random_generator
from .node import PEER_INTAKE, Attempt, DecisionModule, Host, Node
from .scenario import Fault, RequestClass, Scenario
from .station import FAILED, SERVED, Machine, Station, Ticket

ON_THE_WAY = 10_000  # as in driver.py: so much before its time is up the last answer must be on its way
SPREAD = 500_000  # gateways come up within so much time
OUTCOMES = {SERVED: api.Outcome.SERVED, FAILED: api.Outcome.ERROR}
EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}

Factory = Callable[[api.Settings, int, int, "World"], DecisionModule]


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
        self.chance = UniformStream(random_generator(seed, "network"))
        self.front_chance = UniformStream(random_generator(seed, "front"))
        self.client_chance = UniformStream(random_generator(seed, "clients"))
        self.notice_chance = UniformStream(random_generator(seed, "discovery"))
        self.trouble_draw = random_generator(seed, "troubles")
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
            kernel.call_after(int(span * 1e6), call, *args)

        draw = random_generator(self.seed, f"host {number}")
        station = Station(machine, draw, lambda: kernel.now / 1e6, later)
        station.started_at = -machine.warm_within  # it has run for long
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
            self.kernel.call_after(span, to.heard, node.rank, body)

    # -- hosts

    def reached(self, attempt: Attempt) -> None:
        """A request has come whole to its host."""
        host, node = attempt.host, attempt.node
        if host.silent:
            return
        if not host.up:
            self._back(attempt, api.Outcome.BROKEN)
            return
        self.judge.request_reached_host(
            self.kernel.now, attempt.request.number, node.rank, host.name.decode()
        )
        if host.health is not api.Phase.READY:
            host.station.stats.turned_away["draining"] += 1
            self._back(attempt, api.Outcome.FULL)
            return
        kind = self.scenario.kinds[attempt.request.event.kind]

        def tell(how: str) -> None:
            host.out.pop(attempt, None)
            if not host.silent:
                self._back(attempt, OUTCOMES.get(how, api.Outcome.FULL))

        def begun() -> None:
            group = {"all": "", "zone": str(host.zone), "cell": f"{host.zone}/{host.cell}"}[kind.group]
            self.judge.request_started(self.kernel.now, attempt.request.number, host.name.decode(), group)

        number = b"%d" % attempt.request.number
        attempt.ticket = Ticket(kind.name.encode(), number, attempt.give_up_at / 1e6, tell, begun)
        host.out[attempt] = None
        host.station.submit(attempt.ticket)

    def _back(self, attempt: Attempt, outcome: api.Outcome) -> None:
        node, host = attempt.node, attempt.host
        if not self.cut(node.zone, host.zone):
            self.kernel.call_after(self.way(host.zone, node.zone), node.replied, attempt, outcome)

    def left(self, attempt: Attempt) -> None:
        """The host sees that the connection is closed."""
        attempt.host.out.pop(attempt, None)
        if attempt.ticket and attempt.host.up and not attempt.host.silent:
            attempt.host.station.cancel(attempt.ticket)

    # -- the front and the clients

    def _customers(self) -> list[Customer]:
        made, scenario = self.scenario.customers, self.scenario
        draw = random_generator(self.seed, "customers")
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
            own = random_generator(self.seed, f"customer {number}")
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
        self.kernel.call_after(int(span), self._come, customer)
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
        self.judge.request_sent(
            now, number, ClientRequest(customer.number, customer.plan, kind, 1.0, now, rank), tries == 1
        )
        self.retries[number] = (customer, kind, tries)
        deadline = scenario.kinds[kind].deadline.base
        self.kernel.call_after(self._client_way(), self._taken, number, rank, deadline, customer, kind, tries)

    def _taken(
        self, number: int, rank: int, deadline: int, customer: Customer, kind: int, tries: int
    ) -> None:
        node, now = self.nodes[rank], self.kernel.now
        if not node.up:
            self.judge.request_ended(now, number, "gateway_down")
            self.retries.pop(number, None)
            return
        sent = self.judge.requests[number].sent_at
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

    def deliver_response(self, number: int, how: str, retry_after: int) -> None:
        """A gateway's final answer, on its way to the client."""
        self.kernel.call_after(self._client_way(), self._answered, number, how, retry_after)

    def _answered(self, number: int, how: str, retry_after: int) -> None:
        self.judge.response_received(self.kernel.now, number, how)
        asked = self.retries.pop(number, None)
        if how != "refused" or asked is None:
            return
        customer, kind, tries = asked
        clients = self.scenario.clients
        if tries < clients.tries and self.client_chance() < clients.retry:
            wait = clients.backoff.base
            if retry_after and self.client_chance() < clients.honour:
                wait = max(wait, retry_after)
            self.kernel.call_after(
                int(wait * (1 + self.client_chance())), self._ask, customer, kind, tries + 1
            )

    def died(self, number: int) -> None:
        """The gateway that had it died: its client sees a reset."""
        self.judge.request_ended(self.kernel.now, number, "gateway_died")
        self.retries.pop(number, None)

    # -- troubles

    def _some(self, things: list[Any], share: float) -> list[Any]:
        count = max(1, round(share * len(things))) if things and share else 0
        if not count:
            return []
        chosen = self.trouble_draw.choice(len(things), size=count, replace=False)
        return [things[int(i)] for i in sorted(chosen)]

    def _chosen_hosts(self, trouble: Fault) -> list[Host]:
        zones = self.scenario.zones
        hosts = [h for h in self.hosts if trouble.zone is None or h.zone == zones.index(trouble.zone)]
        return self._some([host for host in hosts if host.up and not host.silent], trouble.share)

    def _trouble(self, trouble: Fault) -> None:
        kernel, lasts = self.kernel, trouble.lasts.base
        hosts = self._chosen_hosts(trouble) if trouble.what.endswith("-hosts") else []
        if trouble.what == "kill-gateways":
            for node in self._some([node for node in self.nodes if node.up], trouble.share):
                node.stop()
                self.down[node.rank] = kernel.now + self.scenario.front.notice.base
                kernel.call_after(lasts + int(self.notice_chance() * SPREAD), self._gateway_back, node)
        elif trouble.what == "overload":
            self.load *= trouble.factor
            kernel.call_after(lasts, self._load, 1 / trouble.factor)
        elif trouble.what == "cut-zone" and trouble.zone:
            zone = self.scenario.zones.index(trouble.zone)
            self.cuts.append(zone)
            kernel.call_after(lasts, self.cuts.remove, zone)
        elif trouble.what == "cut-peers":
            self.peers_cut = True
            kernel.call_after(lasts, setattr, self, "peers_cut", False)
        for host in hosts:
            self._trouble_host(trouble, host)
            kernel.call_after(lasts, self._host_back, trouble, host)

    def _trouble_host(self, trouble: Fault, host: Host) -> None:
        if trouble.what == "slow-hosts":
            host.station.speed_factor /= trouble.factor
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

    def _host_back(self, trouble: Fault, host: Host) -> None:
        if trouble.what == "slow-hosts":
            host.station.speed_factor *= trouble.factor
            return
        if trouble.what == "wrong-hosts":
            host.station.error_rate = self.scenario.hosts.error_rate
            return
        self._empty(host)
        host.up, host.silent = True, False
        host.launched = START_TIME + self.kernel.now
        self._list(host, api.Phase.READY)

    def _list(self, host: Host, phase: api.Phase) -> None:
        """The list changes; each gateway is told in its own time, what holds by then."""
        host.health = phase
        notice = self.scenario.discovery
        for node in self.nodes:
            span = notice.notice.base + int(notice.more.base * self.notice_chance())
            self.kernel.call_after(span, self._tell, node, host)

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
        start = random_generator(self.seed, "start")
        for node in self.nodes:
            self.kernel.call_at(int(float(start.random()) * SPREAD), node.start)
        self.kernel.run(SPREAD)
        for customer in self._customers():
            self._come(customer)
        for trouble in scenario.troubles:
            self.kernel.call_at(SPREAD + trouble.at.base, self._trouble, trouble)
        self.kernel.run(SPREAD + scenario.lasts.base)
        self.judge.end(self.kernel.now)
        return self._result()

    def _result(self) -> dict[str, Any]:
        total = self.judge.total
        first = max(1, total["first_tries"])
        hosts = [host.station.stats for host in self.hosts]
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
                "begun": sum(seen.started for seen in hosts),
                "use": round(sum(seen.busy_time for seen in hosts) / len(hosts) / slots, 4),
                "turned_away": dict(sorted(sum((seen.turned_away for seen in hosts), Counter()).items())),
            },
            "events": self.kernel.events,
        }


def _class(kind: RequestClass) -> api.RequestClass:
    return api.RequestClass(
        target_latency=kind.aim.base,
        deadline=kind.deadline.base,
        worth=kind.worth,
        late_worth=kind.late_worth,
        effect=EFFECTS[kind.effect],
        group=api.Group(kind.group),
        dedup_window=kind.repeat_window.base,
    )
