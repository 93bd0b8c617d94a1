"""A judge that trusts nobody: told by hosts and clients only, it keeps quotas by stores of its own.

A try takes its units when its first attempt has reached a host whole; what the store does not hold then is
beyond the quota. A breach is told with its time (microseconds of the run), request and gateways.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from .scenario import Scenario

WINDOW = 10_000_000  # microseconds
DRAIN = 250_000  # microseconds after the word within which sends to a draining or gone host must cease
SPARE = 500_000  # microseconds after its time in which an answer only earns nothing
SLACK = 50_000  # microseconds that every limit is longer, as on sockets
BREACHES_KEPT = 200


@dataclass(slots=True)
class ClientRequest:
    """One request as its client sent it."""

    customer: int
    plan: int
    kind: int
    units: float
    sent_at: int
    gateway: int
    hosts: list[str] = field(default_factory=list)  # where it was begun
    charged: bool = False  # its units are taken
    beyond: float = 0.0  # part of its units that the store did not hold
    had_room: bool = True  # by the store, at the moment at which it was sent
    answers: int = 0
    over: bool = False


@dataclass(slots=True)
class TokenBucket:
    """What one customer's quota holds."""

    rate: float
    burst: float
    held: float
    at: int = 0

    def look(self, now: int) -> float:
        """Units held by now."""
        self.held = min(self.burst, self.held + self.rate * (now - self.at) / 1e6)
        self.at = now
        return self.held


class Judge:
    """Counts worth, and breaches of the rules."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.tries: dict[int, ClientRequest] = {}
        self.stores: dict[int, TokenBucket] = {}
        self.windows: dict[int, Counter[str]] = {}
        self.by_plan: dict[int, Counter[str]] = {i: Counter() for i in range(len(scenario.plans))}
        self.by_kind: dict[int, Counter[str]] = {i: Counter() for i in range(len(scenario.kinds))}
        self.total: Counter[str] = Counter()
        self.units: dict[str, float] = {"sent": 0.0, "beyond": 0.0}
        self.worth: dict[str, float] = {"offered": 0.0, "served": 0.0, "beyond": 0.0}
        self.times: list[list[int]] = [[] for _ in scenario.kinds]
        self.breaches: list[dict[str, Any]] = []
        self.broken: Counter[str] = Counter()
        self.told_out: dict[
            tuple[int, str], int
        ] = {}  # gateway, host: since when it is told not to send there

    def _count(self, now: int, one: ClientRequest, what: str) -> None:
        self.total[what] += 1
        self.by_plan[one.plan][what] += 1
        self.by_kind[one.kind][what] += 1
        self.windows.setdefault(now // WINDOW, Counter())[what] += 1

    def breach(self, now: int, rule: str, number: int, **more: Any) -> None:
        """A rule was broken."""
        self.broken[rule] += 1
        if len(self.breaches) < BREACHES_KEPT:
            self.breaches.append({"at_us": now, "rule": rule, "request": number, **more})

    # -- what clients see

    def request_sent(self, now: int, number: int, one: ClientRequest, first: bool) -> None:
        """A client has sent a request; first: it is no try after a refusal."""
        self.tries[number] = one
        plan = self.scenario.plans[one.plan]
        store = self.stores.get(one.customer)
        if store is None:
            store = self.stores[one.customer] = TokenBucket(plan.rate, plan.burst, plan.burst, now)
        one.had_room = store.look(now) >= one.units
        self._count(now, one, "sent")
        if first:
            self._count(now, one, "first_tries")
            self.worth["offered"] += self._worth(one)

    def _worth(self, one: ClientRequest) -> float:
        return self.scenario.kinds[one.kind].worth * self.scenario.plans[one.plan].price * one.units

    def response_received(self, now: int, number: int, how: str) -> None:
        """A client has got a final answer: served, refused or failed."""
        one = self.tries[number]
        one.answers += 1
        if one.answers > 1:
            self.breach(now, "answered twice", number, gateways=[one.gateway])
            return
        kind = self.scenario.kinds[one.kind]
        took = now - one.sent_at
        self._count(now, one, how)
        if how == "refused" and one.had_room:
            self._count(now, one, "refused_with_room")
        if how == "served":
            if not one.hosts:
                self.breach(now, "served by no host", number, gateways=[one.gateway])
            self.times[one.kind].append(took)
            part = 1.0 if took <= kind.aim.base else kind.late_worth if took <= kind.deadline.base else 0.0
            self._count(now, one, "in_time" if took <= kind.aim.base else "late")
            self.worth["served"] += self._worth(one) * part * (1 - one.beyond / one.units)
        if took > kind.deadline.base + SPARE:
            self.breach(now, "lost", number, gateways=[one.gateway], after_us=took)

    def request_ended(self, now: int, number: int, why: str) -> None:
        """No answer will come: its gateway died, or was never reached. Nothing is broken by that."""
        one = self.tries[number]
        one.over = True
        self._count(now, one, why)

    # -- what hosts see

    def request_reached_host(self, now: int, number: int, gateway: int, host: str) -> None:
        """A request came whole to a host, whether it has a slot or not."""
        one = self.tries[number]
        since = self.told_out.get((gateway, host))
        if since is not None and now > since + DRAIN + SLACK:
            self.breach(
                now, "sent after a drain", number, gateways=[gateway], host=host, after_us=now - since
            )
        if one.charged:
            self.total["more_attempts"] += 1
        else:
            self.take(now, number)

    def take(self, now: int, number: int) -> None:
        """A try takes its units from its customer's store."""
        one = self.tries[number]
        one.charged = True
        plan, store = self.scenario.plans[one.plan], self.stores[one.customer]
        held = store.look(now)
        one.beyond = max(0.0, one.units - held)
        store.held = max(0.0, held - one.units)
        self.units["sent"] += one.units
        self.units["beyond"] += one.beyond
        self.worth["beyond"] += plan.beyond_costs * self._worth(one) * one.beyond / one.units
        if one.beyond:
            self._count(now, one, "beyond")

    def request_started(self, now: int, number: int, host: str, group: str) -> None:
        """It runs; group: hosts that discard repeats of it among themselves have the same."""
        one = self.tries[number]
        kind = self.scenario.kinds[one.kind]
        if kind.effect == "once" and one.hosts:
            self.breach(now, "ran twice", number, gateways=[one.gateway], hosts=[*one.hosts, host])
        if kind.effect == "by_key" and any(other != group for other in one.hosts):
            self.breach(now, "ran twice", number, gateways=[one.gateway], hosts=[*one.hosts, group])
        one.hosts.append(group if kind.effect == "by_key" else host)

    def listing_changed(self, now: int, gateway: int, host: str, out: bool) -> None:
        """Discovery's word has reached a gateway: nothing more to this host, or it is back."""
        if out:
            self.told_out.setdefault((gateway, host), now)
        else:
            self.told_out.pop((gateway, host), None)

    def gateway_restarted(self, gateway: int) -> None:
        """A gateway that starts anew has been told nothing yet."""
        for key in [key for key in self.told_out if key[0] == gateway]:
            del self.told_out[key]

    def end(self, now: int) -> None:
        """Whatever is still owed an answer is lost."""
        for number, one in self.tries.items():
            kind = self.scenario.kinds[one.kind]
            if not one.answers and not one.over:
                late = now > one.sent_at + kind.deadline.base + SPARE
                if late:
                    self.breach(now, "lost", number, gateways=[one.gateway])
                self._count(now, one, "lost" if late else "open_at_the_end")

    def result(self) -> dict[str, Any]:
        """All of it, in an order that does not depend on anything but what happened."""

        def sorted_counts(counts: Counter[str]) -> dict[str, int]:
            return dict(sorted(counts.items()))

        scenario, offered = self.scenario, self.worth["offered"]
        done = {}
        for kind, times in zip(scenario.kinds, self.times, strict=True):
            times = sorted(times)
            done[kind.name] = {
                f"p{p}": times[min(len(times) - 1, len(times) * p // 100)] for p in (50, 90, 99) if times
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
                str(window * WINDOW // 1_000_000): sorted_counts(c)
                for window, c in sorted(self.windows.items())
            },
            "times_us": done,
            "broken": sorted_counts(self.broken),
            "breaches": self.breaches,
        }
