"""The schema of a gateway's configuration file: the type, unit, range and default of each key.

``convert.py`` gives the name of each key in the platform's file, under which the platform's pages describe
its effect on decisions.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from ops.checking import NonNegative, NonNegativeInt, Positive, PositiveInt, Ratio, Strict, default_quantity
from ops.units import Address, Duration, Size

Name = Annotated[
    str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$", description="1 to 64 letters, digits, '.', '_' or '-'")
]
Seed = Annotated[
    str, Meta(pattern=r"^[0-9A-Fa-f]{1,16}$", description='up to 16 hex digits, such as "8c1f30d2"')
]


class Log(Strict):
    """Logging to standard error. A change takes effect on SIGHUP."""

    form: Annotated[Literal["text", "json"], Meta(description='"text" (logfmt) or "json"')] = "text"
    level: Annotated[
        Literal["debug", "info", "warning", "error"], Meta(description="debug, info, warning or error")
    ] = "info"


class Limits(Strict):
    """Resource limits of the process."""

    memory: Size = default_quantity(Size("64MiB"))
    descriptors: PositiveInt = 256
    cores: Positive = 1.0


class Fleet(Strict):
    """The group of gateways that enforce the quotas together, and this gateway's place in it."""

    rank: NonNegativeInt = 0
    gateways: PositiveInt = 1
    peers: list[Address] = field(default_factory=list)
    listen: Address | None = None
    everyone: Address | None = None
    cluster: Name | None = None
    join: list[Address] = field(default_factory=list)
    meet: Address | None = None
    advertise: Address | None = None
    intake: NonNegative = 50.0
    shared_counter: bool = False


class Hosts(Strict):
    """Settings that apply to all hosts."""

    connect_timeout: Duration = default_quantity(Duration("250ms"))
    idle_close: Duration = default_quantity(Duration("15s"))
    reports: Annotated[
        Literal["inline", "on_probe", "off"], Meta(description='"inline", "on_probe" or "off"')
    ] = "off"
    report_names: list[str] = field(default_factory=list)
    cold_from: Ratio = 0.25
    warm_within: Duration = default_quantity(Duration("10s"))
    fall_multiple: Positive = 2.0
    overload_for: Duration = default_quantity(Duration("2s"))
    drain_within: Duration = default_quantity(Duration("250ms"))
    lists: Annotated[Literal["pushed", "on_request"], Meta(description='"pushed" or "on_request"')] = "pushed"
    ask_within: Duration = default_quantity(Duration("10s"))


class Requests(Strict):
    """What the gateway may do to serve a request."""

    attempts: PositiveInt = 4
    cancel: bool = True
    second_copies: bool = True
    probes: bool = False
    gossip: bool = True
    retry_after: bool = True
    retry_after_most: Duration = default_quantity(Duration("1s"))
    units_most: PositiveInt = 1


class Prices(Strict):
    """Costs that decisions take into account, as fractions of a request's worth."""

    cross_zone: NonNegative = 0.0
    peer: NonNegative = 0.0
    probe: NonNegative = 0.0
    waste: NonNegative = 0.0


class Class(Strict):
    """A class of requests."""

    name: Name
    effect: Annotated[
        Literal["repeatable", "by_key", "once"], Meta(description='"repeatable", "by_key" or "once"')
    ]
    deadline: Duration
    aim: Duration
    group: Annotated[Literal["all", "zone", "cell"], Meta(description='"all", "zone" or "cell"')] = "all"
    repeat_window: Duration = default_quantity(Duration("0s"))
    worth: NonNegative = 1.0
    late_worth: Ratio = 0.0


class Plan(Strict):
    """The quota of each customer on this plan, over all gateways together."""

    name: Name
    rate: NonNegative
    burst: NonNegative
    open: NonNegativeInt = 0
    price: NonNegative = 1.0
    beyond_earns: NonNegative = 0.0
    beyond_costs: NonNegative = 1.0
    ceiling_rate: NonNegative = 0.0
    ceiling_burst: NonNegative = 0.0
    ceiling_slack: NonNegative = 0.0


class KnownHost(Strict):
    """A host as listed by discovery."""

    host: str
    dial: Address
    site: str
    kind: str = "host"
    block: NonNegativeInt = 0
    health: Annotated[Literal["SERVING", "DRAINING"], Meta(description="SERVING or DRAINING")] = "SERVING"
    share: Positive = 1.0
    born_ms: NonNegativeInt = 0


class Known(Strict):
    """The last known list of hosts, in use until discovery delivers a newer one."""

    version: NonNegativeInt = 0
    whole: bool = True
    hosts: list[KnownHost] = field(default_factory=list)


class Platform(Strict):
    """Values of the platform's file that the other tables can't express, by JSON pointer; see ``convert``."""

    values: dict[str, str] = field(default_factory=dict)
    absent: list[str] = field(default_factory=list)


class Config(Strict):
    """The configuration of one gateway."""

    listen: Address
    discovery: Address
    classes: list[Class]
    plans: list[Plan]
    name: Name = "gateway"
    control: Address | None = None
    metrics: Address | None = None
    seed: Seed | None = None
    zones: list[Name] = field(default_factory=lambda: ["all"])
    zone: Name | None = None
    log: Log = field(default_factory=Log)
    limits: Limits = field(default_factory=Limits)
    fleet: Fleet = field(default_factory=Fleet)
    hosts: Hosts = field(default_factory=Hosts)
    requests: Requests = field(default_factory=Requests)
    prices: Prices = field(default_factory=Prices)
    known: Known | None = None
    platform: Platform | None = None
