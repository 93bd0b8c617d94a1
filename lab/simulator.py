"""Discrete-event simulator of a scenario: real ``orchidlane`` gateways, or baselines, on a virtual clock.

It simulates hosts, discovery, customers, the network, and faults in them, without sockets or sleeps.
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
from .node import PEER_MESSAGES_PER_SECOND, Attempt, DecisionModule, Host, Node
from .scenario import Fault, RequestClass, Scenario
from .station import FAILED, SERVED, Machine, Station, Ticket

# Microseconds before the client's deadline at which the response must be sent, as in saffrongw/driver.py.
RESPONSE_TRAVEL_TIME = 10_000
STARTUP_SPREAD = 500_000  # microseconds within which the gateways start
OUTCOMES = {SERVED: api.Outcome.SERVED, FAILED: api.Outcome.ERROR}
EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}

Factory = Callable[[api.Settings, int, int, "World"], DecisionModule]  # settings, seed, now, world


@dataclass(slots=True)
class Customer:
    """One customer's demand: average requests per second, and bursts."""

    number: int
    plan: int
    rate: float
    first: int  # rank of the first gateway of its set
    has_bursts: bool
    burst_offset: int  # microseconds by which the bursts are shifted
    rng: np.random.Generator


class World:
    """The simulation of a scenario."""

    def __init__(self, scenario: Scenario, seed: int, factory: Factory) -> None:
        self.scenario, self.seed, self.factory = scenario, seed, factory
        self.kernel, self.judge = Kernel(), Judge(scenario)
        self.network_random = UniformStream(random_generator(seed, "network"))
        self.load_balancer_random = UniformStream(random_generator(seed, "front"))
        self.client_random = UniformStream(random_generator(seed, "clients"))
        self.discovery_random = UniformStream(random_generator(seed, "discovery"))
        self.fault_rng = random_generator(seed, "troubles")
        self.counts: Counter[str] = Counter()
        self.refusal_causes: Counter[str] = Counter()
        self.attempt_outcomes: Counter[str] = Counter()
        self.decisions, self.decision_ns = 0, 0
        self.handshake = scenario.hosts.handshake.base
        self.idle_close = scenario.hosts.idle_close.base
        self.isolated_zones: list[int] = []  # a zone is listed once per active fault
        self.peers_cut = False
        self.load_factor = 1.0
        self.last_request_id = 0
        self.base_settings = self._settings()
        self.hosts = [self._create_host(i) for i in range(scenario.hosts.count)]
        self.hosts_by_name = {host.name: host for host in self.hosts}
        self.nodes = [Node(self, rank) for rank in range(scenario.gateways)]
        # By rank of each dead gateway: when the load balancer detects the failure and excludes it.
        self.excluded_gateways: dict[int, int] = {}
        # By request id, until the response arrives: customer, request class, number of the try.
        self.open_requests: dict[int, tuple[Customer, int, int]] = {}

    # -- setup

    def _settings(self) -> api.Settings:
        scenario, hosts = self.scenario, self.scenario.hosts
        return api.Settings(
            rank=0,
            gateways=scenario.gateways,
            zone=0,
            classes=tuple(_request_class(request_class) for request_class in scenario.kinds),
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
            peer_intake=float(PEER_MESSAGES_PER_SECOND),
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
        """Return the settings of a gateway."""
        return dataclasses.replace(self.base_settings, rank=rank, zone=rank % len(self.scenario.zones))

    def _create_host(self, number: int) -> Host:
        config, scenario = self.scenario.hosts, self.scenario
        machine = Machine(
            slots=config.slots,
            queue_capacity=config.waiting,
            work={
                request_class.name.encode(): request_class.work.base / 1e6 for request_class in scenario.kinds
            },
            spread=config.spread,
            error_rate=config.error_rate,
            cold_from=config.cold_from,
            warm_within=config.warm_within.base / 1e6,
            connections=config.connections,
        )
        kernel = self.kernel

        def call_later(delay: float, callback: Callable[..., Any], /, *args: Any) -> None:
            kernel.call_after(int(delay * 1e6), callback, *args)

        rng = random_generator(self.seed, f"host {number}")
        station = Station(machine, rng, lambda: kernel.now / 1e6, call_later)
        station.started_at = -machine.warm_within  # already warm
        # Hosts are assigned to the zones in rotation; four of a zone form a cell.
        zones = len(scenario.zones)
        return Host(number, b"host-%03d" % number, number % zones, number // zones // 4, station)

    # -- the network

    def zone_delay(self, zone_a: int, zone_b: int) -> int:
        """Draw the one-way delay between two zones in microseconds."""
        network = self.scenario.network
        base = network.host.base if zone_a == zone_b else network.across.base
        return int(base * (1 + network.jitter * self.network_random()))

    def _client_delay(self) -> int:
        network = self.scenario.network
        return int(network.client.base * (1 + network.jitter * self.network_random()))

    def is_cut(self, zone_a: int, zone_b: int) -> bool:
        """Return whether the network between two zones is interrupted."""
        return (
            zone_a != zone_b
            and bool(self.isolated_zones)
            and (zone_a in self.isolated_zones or zone_b in self.isolated_zones)
        )

    def send_datagram(self, node: Node, rank: int, body: bytes) -> None:
        """Send a datagram to another gateway; it may be lost."""
        self.counts["messages"] += 1
        self.counts["message_bytes"] += len(body)
        if len(body) > 256:
            self.judge.breach(self.kernel.now, "datagram too long", 0, gateways=[node.rank])
        receiver, network = self.nodes[rank], self.scenario.network
        is_lost = (
            self.network_random() < network.peer_loss
            or self.peers_cut
            or self.is_cut(node.zone, receiver.zone)
        )
        if not is_lost:
            delay = int(network.peer.base * (1 + network.jitter * self.network_random()))
            self.kernel.call_after(delay, receiver.handle_datagram, node.rank, body)

    # -- hosts

    def attempt_reached_host(self, attempt: Attempt) -> None:
        """Process a complete request at its host."""
        host, node = attempt.host, attempt.node
        if host.vanished:
            return
        if not host.up:
            self._send_reply(attempt, api.Outcome.BROKEN)
            return
        self.judge.request_reached_host(
            self.kernel.now, attempt.request.number, node.rank, host.name.decode()
        )
        if host.health is not api.Phase.READY:
            host.station.stats.turned_away["draining"] += 1
            self._send_reply(attempt, api.Outcome.FULL)
            return
        request_class = self.scenario.kinds[attempt.request.event.kind]

        def on_end(outcome: str) -> None:
            host.open_attempts.pop(attempt, None)
            if not host.vanished:
                self._send_reply(attempt, OUTCOMES.get(outcome, api.Outcome.FULL))

        def on_start() -> None:
            group = {"all": "", "zone": str(host.zone), "cell": f"{host.zone}/{host.cell}"}[
                request_class.group
            ]
            self.judge.request_started(self.kernel.now, attempt.request.number, host.name.decode(), group)

        request_id = b"%d" % attempt.request.number
        attempt.ticket = Ticket(
            request_class.name.encode(), request_id, attempt.deadline / 1e6, on_end, on_start
        )
        host.open_attempts[attempt] = None
        host.station.submit(attempt.ticket)

    def _send_reply(self, attempt: Attempt, outcome: api.Outcome) -> None:
        node, host = attempt.node, attempt.host
        if not self.is_cut(node.zone, host.zone):
            self.kernel.call_after(self.zone_delay(host.zone, node.zone), node.handle_reply, attempt, outcome)

    def connection_closed(self, attempt: Attempt) -> None:
        """Process the closing of an attempt's connection at the host."""
        attempt.host.open_attempts.pop(attempt, None)
        if attempt.ticket and attempt.host.up and not attempt.host.vanished:
            attempt.host.station.cancel(attempt.ticket)

    # -- load balancer and clients

    def _create_customers(self) -> list[Customer]:
        config, scenario = self.scenario.customers, self.scenario
        rng = random_generator(self.seed, "customers")
        weights = np.array([plan.share for plan in scenario.plans])
        customers = []
        for number in range(config.count):
            plan = int(rng.choice(len(weights), p=weights / weights.sum()))
            behaviour = float(rng.random())
            has_bursts = behaviour < config.bursting
            quota_use = config.burst_use if has_bursts else config.steady_use
            if config.bursting <= behaviour < config.bursting + config.nearly_full:
                quota_use = config.nearly_full_use
            elif 0 <= behaviour - config.bursting - config.nearly_full < config.over:
                quota_use = config.over_use
            first = int(rng.integers(scenario.gateways))
            burst_offset = int(rng.integers(max(1, config.burst_every.base)))
            rate = scenario.plans[plan].rate * quota_use
            customer_rng = random_generator(self.seed, f"customer {number}")
            customers.append(Customer(number, plan, rate, first, has_bursts, burst_offset, customer_rng))
        return customers

    def _demand_rate(self, customer: Customer) -> float:
        config = self.scenario.customers
        if customer.has_bursts:
            phase = (self.kernel.now + customer.burst_offset) % config.burst_every.base
            if phase < config.burst_lasts.base:
                return customer.rate * config.burst_factor * self.load_factor
        return customer.rate * self.load_factor

    def _generate_request(self, customer: Customer) -> None:
        """Send a first try with the probability of the current demand, and schedule the next (thinning)."""
        peak_rate = customer.rate * self.peak_demand_factor
        if peak_rate <= 0:
            return
        delay = float(customer.rng.exponential(1e6 / peak_rate))
        self.kernel.call_after(int(delay), self._generate_request, customer)
        if float(customer.rng.random()) * peak_rate < self._demand_rate(customer):
            kinds = self.scenario.kinds
            request_class = int(
                np.searchsorted(self.class_thresholds, float(customer.rng.random()), side="right")
            )
            self._send_request(customer, min(request_class, len(kinds) - 1), 1)

    def _send_request(self, customer: Customer, request_class: int, try_number: int) -> None:
        """Send a client's request through the load balancer to a random gateway of the customer's set."""
        scenario, now = self.scenario, self.kernel.now
        set_size = scenario.customers.set
        ranks = [(customer.first + i) % scenario.gateways for i in range(set_size)]
        # A dead gateway is still chosen until its exclusion, or if all of the set are excluded.
        reachable = [rank for rank in ranks if self.excluded_gateways.get(rank, now + 1) > now] or ranks
        rank = reachable[int(self.load_balancer_random() * len(reachable))]
        self.last_request_id += 1
        request_id = self.last_request_id
        self.judge.request_sent(
            now,
            request_id,
            ClientRequest(customer.number, customer.plan, request_class, 1.0, now, rank),  # of 1 unit
            try_number == 1,
        )
        self.open_requests[request_id] = (customer, request_class, try_number)
        deadline = scenario.kinds[request_class].deadline.base
        self.kernel.call_after(
            self._client_delay(),
            self._deliver_request,
            request_id,
            rank,
            deadline,
            customer,
            request_class,
            try_number,
        )

    def _deliver_request(
        self,
        request_id: int,
        rank: int,
        deadline: int,
        customer: Customer,
        request_class: int,
        try_number: int,
    ) -> None:
        node, now = self.nodes[rank], self.kernel.now
        if not node.up:
            self.judge.request_ended(now, request_id, "gateway_down")
            self.open_requests.pop(request_id, None)
            return
        sent_at = self.judge.requests[request_id].sent_at
        deadline_at = max(now + 1_000, sent_at + deadline - RESPONSE_TRAVEL_TIME)
        event = api.RequestArrived(
            request_id,
            customer.number,
            customer.plan,
            request_class,
            1.0,
            deadline_at - now,
            customer.first,
            self.scenario.customers.set,
            try_number > 1,
        )
        node.handle_request(request_id, event, deadline_at)

    def deliver_response(self, request_id: int, outcome: str, retry_after: int) -> None:
        """Send a gateway's final response to the client."""
        self.kernel.call_after(self._client_delay(), self._handle_response, request_id, outcome, retry_after)

    def _handle_response(self, request_id: int, outcome: str, retry_after: int) -> None:
        self.judge.response_received(self.kernel.now, request_id, outcome)
        sent_request = self.open_requests.pop(request_id, None)
        if outcome != "refused" or sent_request is None:
            return
        customer, request_class, try_number = sent_request
        clients = self.scenario.clients
        if try_number < clients.tries and self.client_random() < clients.retry:
            retry_delay = clients.backoff.base
            if retry_after and self.client_random() < clients.honour:
                retry_delay = max(retry_delay, retry_after)
            self.kernel.call_after(
                int(retry_delay * (1 + self.client_random())),
                self._send_request,
                customer,
                request_class,
                try_number + 1,
            )

    def request_reset(self, request_id: int) -> None:
        """Record that the client's connection was reset as the gateway died."""
        self.judge.request_ended(self.kernel.now, request_id, "gateway_died")
        self.open_requests.pop(request_id, None)

    # -- faults

    def _sample(self, candidates: list[Any], share: float) -> list[Any]:
        count = max(1, round(share * len(candidates))) if candidates and share else 0
        if not count:
            return []
        chosen = self.fault_rng.choice(len(candidates), size=count, replace=False)
        return [candidates[int(i)] for i in sorted(chosen)]

    def _affected_hosts(self, fault: Fault) -> list[Host]:
        zones = self.scenario.zones
        hosts = [h for h in self.hosts if fault.zone is None or h.zone == zones.index(fault.zone)]
        return self._sample([host for host in hosts if host.up and not host.vanished], fault.share)

    def _inject_fault(self, fault: Fault) -> None:
        kernel, duration = self.kernel, fault.lasts.base
        hosts = self._affected_hosts(fault) if fault.what.endswith("-hosts") else []
        if fault.what == "kill-gateways":
            for node in self._sample([node for node in self.nodes if node.up], fault.share):
                node.stop()
                self.excluded_gateways[node.rank] = kernel.now + self.scenario.front.notice.base
                kernel.call_after(
                    duration + int(self.discovery_random() * STARTUP_SPREAD), self._restart_gateway, node
                )
        elif fault.what == "overload":
            self.load_factor *= fault.factor
            kernel.call_after(duration, self._scale_load, 1 / fault.factor)
        elif fault.what == "cut-zone" and fault.zone:
            zone = self.scenario.zones.index(fault.zone)
            self.isolated_zones.append(zone)
            kernel.call_after(duration, self.isolated_zones.remove, zone)
        elif fault.what == "cut-peers":
            self.peers_cut = True
            kernel.call_after(duration, setattr, self, "peers_cut", False)
        for host in hosts:
            self._inject_host_fault(fault, host)
            kernel.call_after(duration, self._end_host_fault, fault, host)

    def _inject_host_fault(self, fault: Fault, host: Host) -> None:
        if fault.what == "slow-hosts":
            host.station.speed_factor /= fault.factor
        elif fault.what == "wrong-hosts":
            host.station.error_rate = fault.factor
        elif fault.what == "vanish-hosts":
            host.vanished = True
            self._change_listing(host, api.Phase.GONE)
        elif fault.what == "drain-hosts":
            self._change_listing(host, api.Phase.DRAINING)
        elif fault.what == "kill-hosts":
            host.up = False
            for attempt in list(host.open_attempts):
                self._send_reply(attempt, api.Outcome.BROKEN)
            self._reset_host(host)
            self._change_listing(host, api.Phase.GONE)

    def _reset_host(self, host: Host) -> None:
        """Replace the host by a new process: connections and requests of the old one are dropped."""
        host.open_attempts.clear()
        host.station.restart()
        host.connections = 0
        for node in self.nodes:
            node.idle_connections.pop(host.number, None)

    def _end_host_fault(self, fault: Fault, host: Host) -> None:
        if fault.what == "slow-hosts":
            host.station.speed_factor *= fault.factor
            return
        if fault.what == "wrong-hosts":
            host.station.error_rate = self.scenario.hosts.error_rate
            return
        self._reset_host(host)
        host.up, host.vanished = True, False
        host.launched = START_TIME + self.kernel.now
        self._change_listing(host, api.Phase.READY)

    def _change_listing(self, host: Host, phase: api.Phase) -> None:
        """Change a host's phase; each gateway is notified after its own delay, of the state at that time."""
        host.health = phase
        delays = self.scenario.discovery
        for node in self.nodes:
            delay = delays.notice.base + int(delays.more.base * self.discovery_random())
            self.kernel.call_after(delay, self._notify_gateway, node, host)

    def _notify_gateway(self, node: Node, host: Host) -> None:
        if node.up and node.known_hosts.get(host.number) != (host.health, host.launched):
            node.handle_list_change([host], whole_list=False)

    def _restart_gateway(self, node: Node) -> None:
        node.start()
        self.excluded_gateways.pop(node.rank, None)

    def _scale_load(self, factor: float) -> None:
        self.load_factor *= factor

    # -- run

    def run(self) -> dict[str, Any]:
        """Run the scenario and return its result, identical byte for byte for the same seed."""
        scenario, config = self.scenario, self.scenario.customers
        shares = np.array([request_class.share for request_class in scenario.kinds])
        self.class_thresholds = np.cumsum(shares / shares.sum())
        factors = [fault.factor for fault in scenario.troubles if fault.what == "overload"]
        self.peak_demand_factor = max(1.0, config.burst_factor if config.bursting else 1.0) * float(
            np.prod([1.0, *factors])
        )
        start_rng = random_generator(self.seed, "start")
        for node in self.nodes:
            self.kernel.call_at(int(float(start_rng.random()) * STARTUP_SPREAD), node.start)
        self.kernel.run(STARTUP_SPREAD)
        for customer in self._create_customers():
            self._generate_request(customer)
        for fault in scenario.troubles:
            self.kernel.call_at(STARTUP_SPREAD + fault.at.base, self._inject_fault, fault)
        self.kernel.run(STARTUP_SPREAD + scenario.lasts.base)
        self.judge.finish(self.kernel.now)
        return self._result()

    def _result(self) -> dict[str, Any]:
        total = self.judge.total
        first_tries = max(1, total["first_tries"])
        host_stats = [host.station.stats for host in self.hosts]
        slots = self.scenario.hosts.slots * self.scenario.lasts.base / 1e6
        return {
            "scenario": self.scenario.name,
            "seed": self.seed,
            **self.judge.result(),
            "refused_by_cause": dict(sorted(self.refusal_causes.items())),
            "attempts_by_outcome": dict(sorted(self.attempt_outcomes.items())),
            "counts": dict(sorted(self.counts.items())),
            "each_first_try": {
                "attempts": round(self.counts["attempts"] / first_tries, 4),
                "connects": round(self.counts["connects"] / first_tries, 4),
                "messages": round(self.counts["messages"] / first_tries, 4),
                "message_bytes": round(self.counts["message_bytes"] / first_tries, 2),
            },
            "hosts": {
                "begun": sum(stats.started for stats in host_stats),
                "use": round(sum(stats.busy_time for stats in host_stats) / len(host_stats) / slots, 4),
                "turned_away": dict(
                    sorted(sum((stats.turned_away for stats in host_stats), Counter()).items())
                ),
            },
            "events": self.kernel.events,
        }


def _request_class(request_class: RequestClass) -> api.RequestClass:
    return api.RequestClass(
        target_latency=request_class.aim.base,
        deadline=request_class.deadline.base,
        worth=request_class.worth,
        late_worth=request_class.late_worth,
        effect=EFFECTS[request_class.effect],
        group=api.Group(request_class.group),
        dedup_window=request_class.repeat_window.base,
    )
