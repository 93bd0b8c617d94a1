"""Checks the rules of a simulation independently of the gateways, from what hosts and clients observe.

The judge keeps its own token bucket for each customer's quota. A request is charged when its first attempt
has reached a host completely; units that the bucket doesn't have at that time exceed the quota. Each breach
of a rule is recorded with its time (microseconds since the start of the run), request and gateways.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from .scenario import Scenario

WINDOW_LENGTH = 10_000_000  # microseconds covered by each row of ``by_window``
# Microseconds after a gateway is notified that a host is draining or gone until it may send it nothing more.
DRAIN_DELAY_MAX = 250_000
RESPONSE_MARGIN = 500_000  # microseconds after the deadline in which a response is worthless but no breach
TIMING_TOLERANCE = 50_000  # microseconds added to limits, as in runs on sockets
MAX_RECORDED_BREACHES = 200


@dataclass(slots=True)
class ClientRequest:
    """A request as sent by its client, and what became of it."""

    customer: int
    plan: int  # index in the scenario
    request_class: int  # index in the scenario
    units: float
    sent_at: int
    gateway: int
    ran_on: list[str] = field(default_factory=list)  # hosts, or deduplication groups for requests with a key
    charged: bool = False
    excess_units: float = 0.0  # units that the bucket did not have
    quota_available: bool = True  # when it was sent
    responses: int = 0
    ended: bool = False  # without a response


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of a quota: ``rate`` units per second, up to ``burst``."""

    rate: float
    burst: float
    available: float
    updated_at: int = 0

    def refill(self, now: int) -> float:
        """Add the units earned since the last call; return the units available now."""
        self.available = min(self.burst, self.available + self.rate * (now - self.updated_at) / 1e6)
        self.updated_at = now
        return self.available


class Judge:
    """Records the worth of served requests, the use of quotas, and breaches of the rules."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.requests: dict[int, ClientRequest] = {}
        self.buckets: dict[int, TokenBucket] = {}
        self.windows: dict[int, Counter[str]] = {}
        self.by_plan: dict[int, Counter[str]] = {i: Counter() for i in range(len(scenario.plans))}
        self.by_kind: dict[int, Counter[str]] = {i: Counter() for i in range(len(scenario.kinds))}
        self.total: Counter[str] = Counter()
        # "beyond": units above the quotas, and in ``worth`` what they cost; "served" is without them.
        self.units: dict[str, float] = {"sent": 0.0, "beyond": 0.0}
        self.worth: dict[str, float] = {"offered": 0.0, "served": 0.0, "beyond": 0.0}
        self.latencies: list[list[int]] = [[] for _ in scenario.kinds]
        self.breaches: list[dict[str, Any]] = []
        self.breach_counts: Counter[str] = Counter()
        # By (gateway, host): when the gateway was notified that the host is draining or gone.
        self.unavailable_since: dict[tuple[int, str], int] = {}

    def _count(self, now: int, request: ClientRequest, counter: str) -> None:
        self.total[counter] += 1
        self.by_plan[request.plan][counter] += 1
        self.by_kind[request.request_class][counter] += 1
        self.windows.setdefault(now // WINDOW_LENGTH, Counter())[counter] += 1

    def breach(self, now: int, rule: str, request_id: int, **details: Any) -> None:
        """Record the breach of a rule; the first MAX_RECORDED_BREACHES with their details."""
        self.breach_counts[rule] += 1
        if len(self.breaches) < MAX_RECORDED_BREACHES:
            self.breaches.append({"at_us": now, "rule": rule, "request": request_id, **details})

    # -- observed by clients

    def request_sent(self, now: int, request_id: int, request: ClientRequest, first: bool) -> None:
        """Record a request sent by a client; ``first`` is False for a retry after a refusal."""
        self.requests[request_id] = request
        plan = self.scenario.plans[request.plan]
        bucket = self.buckets.get(request.customer)
        if bucket is None:
            bucket = self.buckets[request.customer] = TokenBucket(plan.rate, plan.burst, plan.burst, now)
        request.quota_available = bucket.refill(now) >= request.units
        self._count(now, request, "sent")
        if first:
            self._count(now, request, "first_tries")
            self.worth["offered"] += self._worth(request)

    def _worth(self, request: ClientRequest) -> float:
        return (
            self.scenario.kinds[request.request_class].worth
            * self.scenario.plans[request.plan].price
            * request.units
        )

    def response_received(self, now: int, request_id: int, outcome: str) -> None:
        """Record a final response: served, refused or failed."""
        request = self.requests[request_id]
        request.responses += 1
        if request.responses > 1:
            self.breach(now, "answered twice", request_id, gateways=[request.gateway])
            return
        request_class = self.scenario.kinds[request.request_class]
        duration = now - request.sent_at
        self._count(now, request, outcome)
        if outcome == "refused" and request.quota_available:
            self._count(now, request, "refused_with_room")
        if outcome == "served":
            if not request.ran_on:
                self.breach(now, "served by no host", request_id, gateways=[request.gateway])
            self.latencies[request.request_class].append(duration)
            worth_factor = (
                1.0
                if duration <= request_class.aim.base
                else request_class.late_worth
                if duration <= request_class.deadline.base
                else 0.0
            )
            self._count(now, request, "in_time" if duration <= request_class.aim.base else "late")
            self.worth["served"] += (
                self._worth(request) * worth_factor * (1 - request.excess_units / request.units)
            )
        if duration > request_class.deadline.base + RESPONSE_MARGIN:
            self.breach(now, "lost", request_id, gateways=[request.gateway], after_us=duration)

    def request_ended(self, now: int, request_id: int, reason: str) -> None:
        """Record that no response will come, as the gateway died or was down; this is no breach."""
        request = self.requests[request_id]
        request.ended = True
        self._count(now, request, reason)

    # -- observed by hosts

    def request_reached_host(self, now: int, request_id: int, gateway: int, host: str) -> None:
        """Record that a complete request reached a host, even if the host rejects it."""
        request = self.requests[request_id]
        since = self.unavailable_since.get((gateway, host))
        if since is not None and now > since + DRAIN_DELAY_MAX + TIMING_TOLERANCE:
            self.breach(
                now, "sent after a drain", request_id, gateways=[gateway], host=host, after_us=now - since
            )
        if request.charged:
            self.total["more_attempts"] += 1
        else:
            self.charge(now, request_id)

    def charge(self, now: int, request_id: int) -> None:
        """Charge a request to its customer's bucket."""
        request = self.requests[request_id]
        request.charged = True
        plan, bucket = self.scenario.plans[request.plan], self.buckets[request.customer]
        available = bucket.refill(now)
        request.excess_units = max(0.0, request.units - available)
        bucket.available = max(0.0, available - request.units)
        self.units["sent"] += request.units
        self.units["beyond"] += request.excess_units
        self.worth["beyond"] += (
            plan.beyond_costs * self._worth(request) * request.excess_units / request.units
        )
        if request.excess_units:
            self._count(now, request, "beyond")

    def request_started(self, now: int, request_id: int, host: str, group: str) -> None:
        """Record that a host runs a request; hosts of one ``group`` deduplicate requests among themselves."""
        request = self.requests[request_id]
        request_class = self.scenario.kinds[request.request_class]
        if request_class.effect == "once" and request.ran_on:
            self.breach(
                now, "ran twice", request_id, gateways=[request.gateway], hosts=[*request.ran_on, host]
            )
        if request_class.effect == "by_key" and any(other != group for other in request.ran_on):
            self.breach(
                now, "ran twice", request_id, gateways=[request.gateway], hosts=[*request.ran_on, group]
            )
        request.ran_on.append(group if request_class.effect == "by_key" else host)

    def listing_changed(self, now: int, gateway: int, host: str, unavailable: bool) -> None:
        """Record that discovery notified a gateway whether a host is unavailable."""
        if unavailable:
            self.unavailable_since.setdefault((gateway, host), now)
        else:
            self.unavailable_since.pop((gateway, host), None)

    def gateway_restarted(self, gateway: int) -> None:
        """Forget what a gateway was notified of before its restart."""
        for key in [key for key in self.unavailable_since if key[0] == gateway]:
            del self.unavailable_since[key]

    def finish(self, now: int) -> None:
        """Classify requests without a response as lost, or as open if their deadline has not passed."""
        for request_id, request in self.requests.items():
            request_class = self.scenario.kinds[request.request_class]
            if not request.responses and not request.ended:
                overdue = now > request.sent_at + request_class.deadline.base + RESPONSE_MARGIN
                if overdue:
                    self.breach(now, "lost", request_id, gateways=[request.gateway])
                self._count(now, request, "lost" if overdue else "open_at_the_end")

    def result(self) -> dict[str, Any]:
        """Return all results in a deterministic order."""

        def sorted_counts(counts: Counter[str]) -> dict[str, int]:
            return dict(sorted(counts.items()))

        scenario, offered = self.scenario, self.worth["offered"]
        latency_percentiles = {}
        for request_class, latencies in zip(scenario.kinds, self.latencies, strict=True):
            latencies = sorted(latencies)
            latency_percentiles[request_class.name] = {
                f"p{p}": latencies[min(len(latencies) - 1, len(latencies) * p // 100)]
                for p in (50, 90, 99)
                if latencies
            }
        score = (self.worth["served"] - self.worth["beyond"]) / offered if offered else 0.0
        return {
            "score": round(score, 6),
            "worth": {name: round(value, 3) for name, value in self.worth.items()},
            "units": {name: round(value, 3) for name, value in self.units.items()},
            "total": sorted_counts(self.total),
            "by_plan": {scenario.plans[i].name: sorted_counts(c) for i, c in self.by_plan.items()},
            "by_kind": {scenario.kinds[i].name: sorted_counts(c) for i, c in self.by_kind.items()},
            "by_window": {
                str(window * WINDOW_LENGTH // 1_000_000): sorted_counts(c)
                for window, c in sorted(self.windows.items())
            },
            "times_us": latency_percentiles,
            "broken": sorted_counts(self.breach_counts),
            "breaches": self.breaches,
        }
