"""What there is in a fleet and what goes wrong with it: a scenario file, typed and checked."""

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
MAX_REQUESTS = 5_000_000  # of one run: more is a mistake in the rates


class Hosts(Strict):
    """Machines that do the work, spread evenly over the zones."""

    count: PositiveInt = 8
    slots: PositiveInt = 8
    waiting: NonNegativeInt = 32
    spread: NonNegative = 0.6
    error_rate: Ratio = 0.0
    cold_from: Ratio = 0.3
    warm_within: Duration = default_quantity(Duration("8s"))
    connections: PositiveInt = 256
    handshake: Duration = default_quantity(Duration("2ms"))
    idle_close: Duration = default_quantity(Duration("15s"))


class RequestClass(Strict):
    """A class of requests; ``share`` is its weight among all, ``work`` its mean time at a warm host."""

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
    """Quotas, and the weight of a plan among the customers."""

    name: Name
    rate: Positive
    burst: Positive
    share: Positive = 1.0
    price: NonNegative = 1.0
    beyond_costs: NonNegative = 0.8


class Customers(Strict):
    """Who asks. Parts ask steadily for ``steady_use`` of their quota, nearly all, more, or in bursts."""

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
    """What they do after a no."""

    retry: Ratio = 0.5
    tries: PositiveInt = 3
    backoff: Duration = default_quantity(Duration("200ms"))
    honour: Ratio = 0.8


class Network(Strict):
    """Delays one way; each is longer by up to ``jitter`` of itself."""

    client: Duration = default_quantity(Duration("600us"))
    host: Duration = default_quantity(Duration("300us"))
    across: Duration = default_quantity(Duration("700us"))
    peer: Duration = default_quantity(Duration("500us"))
    jitter: Ratio = 0.3
    peer_loss: Ratio = 0.03


class Discovery(Strict):
    """How long a change of the list takes to each gateway: at least, and up to so much more."""

    notice: Duration = default_quantity(Duration("600ms"))
    more: Duration = default_quantity(Duration("2s"))


class Front(Strict):
    """How long until a dead gateway gets no more requests."""

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
    """Something that goes wrong at a time, for a while, at a part of what it concerns."""

    what: Annotated[FaultKind, Meta(description="one of " + ", ".join(FaultKind.__args__))]
    at: Duration
    lasts: Duration
    share: Ratio = 1.0
    zone: Name | None = None
    factor: NonNegative = 1.0


class Scenario(Strict):
    """One file."""

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
    front: Front = field(default_factory=Front)
    troubles: list[Fault] = field(default_factory=list)


class InvalidScenario(ValueError):
    """A scenario that can't be; ``lines`` say why, one each."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines
        super().__init__("; ".join(lines))


def load(file: Path) -> Scenario:
    """A scenario file; raises Impossible with all that is wrong with it."""
    try:
        raw = tomllib.loads(file.read_text("utf-8"))
    except OSError as wrong:
        raise InvalidScenario([f"{file}: {(wrong.strerror or str(wrong)).lower()}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as wrong:
        raise InvalidScenario([f"{file}: is no whole TOML: {wrong}"]) from None
    scenario, mistakes = validate(raw, Scenario)
    if scenario is not None:
        mistakes = list(consistency_errors(scenario))
    if scenario is None or mistakes:
        raise InvalidScenario([f"{file}: {mistake}" for mistake in mistakes])
    return scenario


def shipped() -> dict[str, Path]:
    """The scenarios that come with the lab, by name."""
    return {file.stem: file for file in sorted(SCENARIO_DIR.glob("*.toml"))}


def request_rate(scenario: Scenario) -> float:
    """First tries of all customers together, on average and without troubles."""
    customers, weight = scenario.customers, sum(plan.share for plan in scenario.plans)
    quota = sum(plan.rate * plan.share for plan in scenario.plans) / weight
    rest = max(0.0, 1 - customers.nearly_full - customers.bursting - customers.over)
    duty = customers.burst_lasts.base / customers.burst_every.base if customers.burst_every.base else 0.0
    bursts = customers.burst_use * (1 + duty * (customers.burst_factor - 1))
    use = rest * customers.steady_use + customers.nearly_full * customers.nearly_full_use
    use += customers.over * customers.over_use
    return customers.count * quota * (use + customers.bursting * bursts)


def host_utilization(scenario: Scenario) -> float:
    """Part of the warm hosts' slots that all first tries would take."""
    weight = sum(kind.share for kind in scenario.kinds)
    work = sum(kind.work.base * kind.share for kind in scenario.kinds) / weight / 1e6
    return request_rate(scenario) * work / (scenario.hosts.count * scenario.hosts.slots)


def consistency_errors(scenario: Scenario) -> Iterator[Violation]:
    """What can't be."""
    customers = scenario.customers
    if not scenario.lasts.base:
        yield Violation("lasts", f'"{scenario.lasts}"', "expected above 0")
    for key, rows in (("kinds", scenario.kinds), ("plans", scenario.plans), ("zones", scenario.zones)):
        if not rows:
            yield Violation(key, "[]", "expected one at least")
            return
    if customers.set > scenario.gateways:
        wanted = f"expected at most gateways, {scenario.gateways}"
        yield Violation("customers.set", str(customers.set), wanted)
    parts = customers.nearly_full + customers.bursting + customers.over
    if parts > 1:
        wanted = "with nearly_full and over: expected 1 at most"
        yield Violation("customers.bursting", f"{parts:g}", wanted)
    if customers.bursting and customers.burst_every.base <= customers.burst_lasts.base:
        wanted = f"expected more than burst_lasts, {customers.burst_lasts}"
        yield Violation("customers.burst_every", f'"{customers.burst_every}"', wanted)
    for i, kind in enumerate(scenario.kinds):
        if not 0 < kind.aim.base <= kind.deadline.base:
            wanted = f"expected above 0 and at most its deadline, {kind.deadline}"
            yield Violation(f"kinds[{i}].aim", f'"{kind.aim}"', wanted)
    if request_rate(scenario) * scenario.lasts.base / 1e6 > MAX_REQUESTS:
        wanted = f"with these quotas over {MAX_REQUESTS} requests: expected fewer"
        yield Violation("customers.count", str(customers.count), wanted)
    for i, trouble in enumerate(scenario.troubles):
        at = f"troubles[{i}]"
        if trouble.at.base >= scenario.lasts.base:
            yield Violation(f"{at}.at", f'"{trouble.at}"', f"expected before the end, {scenario.lasts}")
        if trouble.zone is not None and trouble.zone not in scenario.zones:
            wanted = f"expected one of zones: {', '.join(scenario.zones)}"
            yield Violation(f"{at}.zone", f'"{trouble.zone}"', wanted)
        if trouble.what == "cut-zone" and (trouble.zone is None or len(scenario.zones) < 2):
            yield Violation(f"{at}.zone", "", "is missing, expected one of two zones at least to cut off")
        if trouble.what in ("slow-hosts", "overload") and not trouble.factor:
            yield Violation(f"{at}.factor", "0", "expected above 0")
        if trouble.what == "wrong-hosts" and trouble.factor > 1:
            yield Violation(f"{at}.factor", f"{trouble.factor:g}", "expected an error rate, 1 at most")
