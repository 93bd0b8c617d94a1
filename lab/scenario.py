"""Scenario files: a fleet, its workload and the faults injected, as typed and validated structures."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, field

from ops.checking import (
    NonNegative,
    NonNegativeInt,
    Positive,
    PositiveInt,
    Ratio,
    Strict,
    Violation,
    default_quantity,
    validate,
)
from ops.units import Duration

Name = Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,48}$", description="1 to 48 small letters, digits or '-'")]

SCENARIO_DIR = Path(__file__).parent / "scenarios"
MAX_REQUESTS = 5_000_000  # per run; more indicates an error in the rates


class Hosts(Strict):
    """The hosts that serve requests, distributed evenly over the zones."""

    count: PositiveInt = 8
    slots: PositiveInt = 8  # requests that run concurrently on a host
    waiting: NonNegativeInt = 32  # requests that wait for a slot
    spread: NonNegative = 0.6  # coefficient of variation of service times
    error_rate: Ratio = 0.0
    cold_from: Ratio = 0.3  # speed right after the start, as a fraction of full speed
    warm_within: Duration = default_quantity(Duration("8s"))  # from the start until full speed
    connections: PositiveInt = 256  # limit of open connections
    handshake: Duration = default_quantity(Duration("2ms"))  # to connect, besides a round trip
    idle_close: Duration = default_quantity(Duration("15s"))  # idle timeout of connections


class RequestClass(Strict):
    """A request class; ``share`` is its weight among all, ``work`` its mean service time on a warm host.

    A response later than ``aim`` is worth only the fraction ``late_worth`` of ``worth``, one later than
    ``deadline`` nothing. The hosts of a ``group`` deduplicate requests with a key for ``repeat_window``.
    """

    name: Name
    work: Duration
    aim: Duration
    deadline: Duration
    effect: Annotated[
        Literal["repeatable", "by_key", "once"], Meta(description='"repeatable", "by_key" or "once"')
    ] = "repeatable"
    group: Annotated[Literal["all", "zone", "cell"], Meta(description='"all", "zone" or "cell"')] = "all"
    repeat_window: Duration = default_quantity(Duration("0s"))
    share: Positive = 1.0
    worth: NonNegative = 1.0
    late_worth: Ratio = 0.0


class Plan(Strict):
    """A plan: its quota, and its weight among the customers.

    ``price`` is a factor of the worth of its requests. Units beyond the quota cost the fraction
    ``beyond_costs`` of their worth.
    """

    name: Name
    rate: Positive
    burst: Positive
    share: Positive = 1.0
    price: NonNegative = 1.0
    beyond_costs: NonNegative = 0.8


class Customers(Strict):
    """The customers: shares of them use a steady part of their quota, nearly all, more, or come in bursts.

    ``nearly_full``, ``over`` and ``bursting`` are fractions of the customers, the others have ``steady_use``.
    The ``_use`` values are demand relative to the quota; ``burst_use`` is that between bursts, and
    ``burst_factor`` multiplies it during one. ``set`` is the number of gateways that serve each customer.
    """

    count: PositiveInt = 100
    set: PositiveInt = 3
    steady_use: NonNegative = 0.5
    nearly_full: Ratio = 0.2
    nearly_full_use: NonNegative = 0.95
    over: Ratio = 0.0
    over_use: NonNegative = 3.0
    bursting: Ratio = 0.1
    burst_use: NonNegative = 1.0
    burst_factor: Positive = 5.0
    burst_lasts: Duration = default_quantity(Duration("2s"))
    burst_every: Duration = default_quantity(Duration("12s"))


class Clients(Strict):
    """How clients retry refused requests: with probability ``retry``, up to ``tries`` tries in total.

    ``honour`` is the probability that they wait for retry-after, if that is longer than ``backoff``.
    """

    retry: Ratio = 0.5
    tries: PositiveInt = 3
    backoff: Duration = default_quantity(Duration("200ms"))
    honour: Ratio = 0.8


class Network(Strict):
    """One-way delays; each is increased by a random fraction of up to ``jitter``."""

    client: Duration = default_quantity(Duration("600us"))  # between clients and gateways
    host: Duration = default_quantity(Duration("300us"))  # between gateways and hosts of the same zone
    across: Duration = default_quantity(Duration("700us"))  # between gateways and hosts of different zones
    peer: Duration = default_quantity(Duration("500us"))  # between gateways
    jitter: Ratio = 0.3
    peer_loss: Ratio = 0.03  # fraction of the datagrams between gateways


class Discovery(Strict):
    """Delay of list changes to each gateway: ``notice``, plus a random part of up to ``more``."""

    notice: Duration = default_quantity(Duration("600ms"))
    more: Duration = default_quantity(Duration("2s"))


class LoadBalancer(Strict):
    """The load balancer in front of the gateways; ``notice`` is its delay in detecting a dead gateway."""

    notice: Duration = default_quantity(Duration("2s"))


FaultKind = Literal[
    "kill-gateways",
    "kill-hosts",
    "vanish-hosts",
    "drain-hosts",
    "slow-hosts",
    "wrong-hosts",
    "cut-zone",
    "cut-peers",
    "overload",
]


class Fault(Strict):
    """A fault injected at a time for a duration; ``share`` is the fraction of hosts or gateways affected.

    ``factor`` multiplies the demand (overload), divides the speed (slow-hosts) or is the error rate
    (wrong-hosts). A host fault with a ``zone`` affects only hosts there; cut-zone isolates the zone.
    """

    what: Annotated[FaultKind, Meta(description="one of " + ", ".join(FaultKind.__args__))]
    at: Duration
    lasts: Duration
    share: Ratio = 1.0
    zone: Name | None = None
    factor: NonNegative = 1.0


class Scenario(Strict):
    """A scenario file."""

    name: Name
    about: str
    lasts: Duration
    kinds: list[RequestClass]
    plans: list[Plan]
    gateways: PositiveInt = 3
    zones: list[Name] = field(default_factory=lambda: ["a"])
    hosts: Hosts = field(default_factory=Hosts)
    customers: Customers = field(default_factory=Customers)
    clients: Clients = field(default_factory=Clients)
    network: Network = field(default_factory=Network)
    discovery: Discovery = field(default_factory=Discovery)
    front: LoadBalancer = field(default_factory=LoadBalancer)
    troubles: list[Fault] = field(default_factory=list)


class InvalidScenario(ValueError):
    """An invalid scenario; ``lines`` has one message per error."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines
        super().__init__("; ".join(lines))


def load(file: Path) -> Scenario:
    """Load a scenario file; raises InvalidScenario with all its errors."""
    try:
        document = tomllib.loads(file.read_text("utf-8"))
    except OSError as error:
        raise InvalidScenario([f"{file}: {(error.strerror or str(error)).lower()}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidScenario([f"{file}: not valid TOML: {error}"]) from None
    scenario, errors = validate(document, Scenario)
    if scenario is not None:
        errors = list(consistency_errors(scenario))
    if scenario is None or errors:
        raise InvalidScenario([f"{file}: {error}" for error in errors])
    return scenario


def shipped() -> dict[str, Path]:
    """Return the files of the included scenarios by name."""
    return {file.stem: file for file in sorted(SCENARIO_DIR.glob("*.toml"))}


def request_rate(scenario: Scenario) -> float:
    """Return the average rate of first tries per second, of all customers and without faults."""
    customers, weight = scenario.customers, sum(plan.share for plan in scenario.plans)
    quota = sum(plan.rate * plan.share for plan in scenario.plans) / weight
    steady = max(0.0, 1 - customers.nearly_full - customers.bursting - customers.over)
    burst_time_fraction = (
        customers.burst_lasts.base / customers.burst_every.base if customers.burst_every.base else 0.0
    )
    bursting_use = customers.burst_use * (1 + burst_time_fraction * (customers.burst_factor - 1))
    nonbursting_use = steady * customers.steady_use + customers.nearly_full * customers.nearly_full_use
    nonbursting_use += customers.over * customers.over_use
    return customers.count * quota * (nonbursting_use + customers.bursting * bursting_use)


def host_utilization(scenario: Scenario) -> float:
    """Return the average fraction of the slots of warm hosts that all first tries would occupy."""
    weight = sum(request_class.share for request_class in scenario.kinds)
    work = (
        sum(request_class.work.base * request_class.share for request_class in scenario.kinds) / weight / 1e6
    )
    return request_rate(scenario) * work / (scenario.hosts.count * scenario.hosts.slots)


def consistency_errors(scenario: Scenario) -> Iterator[Violation]:
    """Check constraints between fields, and yield the violations."""
    customers = scenario.customers
    if not scenario.lasts.base:
        yield Violation("lasts", f'"{scenario.lasts}"', "expected above 0")
    for key, items in (("kinds", scenario.kinds), ("plans", scenario.plans), ("zones", scenario.zones)):
        if not items:
            yield Violation(key, "[]", "expected at least one")
            return
    if customers.set > scenario.gateways:
        expected = f"expected at most gateways, {scenario.gateways}"
        yield Violation("customers.set", str(customers.set), expected)
    total_share = customers.nearly_full + customers.bursting + customers.over
    if total_share > 1:
        expected = "with nearly_full and over: expected 1 at most"
        yield Violation("customers.bursting", f"{total_share:g}", expected)
    if customers.bursting and customers.burst_every.base <= customers.burst_lasts.base:
        expected = f"expected more than burst_lasts, {customers.burst_lasts}"
        yield Violation("customers.burst_every", f'"{customers.burst_every}"', expected)
    for i, request_class in enumerate(scenario.kinds):
        if not 0 < request_class.aim.base <= request_class.deadline.base:
            expected = f"expected above 0 and at most its deadline, {request_class.deadline}"
            yield Violation(f"kinds[{i}].aim", f'"{request_class.aim}"', expected)
    if request_rate(scenario) * scenario.lasts.base / 1e6 > MAX_REQUESTS:
        expected = f"with these quotas over {MAX_REQUESTS} requests: expected fewer"
        yield Violation("customers.count", str(customers.count), expected)
    for i, fault in enumerate(scenario.troubles):
        field_path = f"troubles[{i}]"
        if fault.at.base >= scenario.lasts.base:
            yield Violation(f"{field_path}.at", f'"{fault.at}"', f"expected before the end, {scenario.lasts}")
        if fault.zone is not None and fault.zone not in scenario.zones:
            expected = f"expected one of zones: {', '.join(scenario.zones)}"
            yield Violation(f"{field_path}.zone", f'"{fault.zone}"', expected)
        if fault.what == "cut-zone" and (fault.zone is None or len(scenario.zones) < 2):
            yield Violation(f"{field_path}.zone", "", "is missing, expected one of at least two zones")
        if fault.what in ("slow-hosts", "overload") and not fault.factor:
            yield Violation(f"{field_path}.factor", "0", "expected above 0")
        if fault.what == "wrong-hosts" and fault.factor > 1:
            yield Violation(f"{field_path}.factor", f"{fault.factor:g}", "expected an error rate, 1 at most")
