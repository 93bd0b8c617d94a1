"""Fault schedules: TOML files, validated and typed, and the faults that a schedule and a seed yield.

Nodes are written ``gw-0``, ``gw-0..3``, ``list`` or ``*``; links are two sides with ``>`` or ``<>`` between
them, as in ``gw-0 > gw-1..3``; ``*`` as one side stands for all gateways that the other side does not name.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

import msgspec
import numpy as np
from msgspec import Meta, field

from ops.checking import (
    NonNegative,
    NonNegativeInt,
    PositiveInt,
    Strict,
    Violation,
    default_quantity,
    validate,
)
from ops.units import Duration

SCHEDULES_FOLDER = Path(__file__).parent / "schedules"
LIST_SERVICE = "list"  # its node name
SHOWN_LINKS_MAX = 6

Link = tuple[str, str]  # sender, receiver
LinkFaultKind = Literal["cut", "loss", "delay", "reorder", "double", "garble", "throttle"]
NodeFaultKind = Literal["pause", "kill", "leave", "upgrade", "move", "twin"]
LINK_FAULT_KINDS: tuple[str, ...] = get_args(LinkFaultKind)
FaultKind = Annotated[
    LinkFaultKind | NodeFaultKind,
    Meta(description=f"{', '.join((*LINK_FAULT_KINDS, *get_args(NodeFaultKind)))}"),
]


class Fault(Strict):
    """One fault.

    ``amount`` is a fraction of the messages (loss, double, garble) or messages a second (throttle); ``by`` is
    a duration (delay, reorder). ``upgrade`` starts the successor process beside the serving one, which exits
    once it has handed over. ``move`` kills the process and restarts it at another address; it requires that
    gateways learn each other's addresses. ``twin`` starts a second process under the same rank. After
    ``lasts`` the fault is undone: links recover, paused processes continue, and those that were killed or
    left are restarted; with 0s the fault is permanent.
    """

    what: FaultKind
    at: Duration
    lasts: Duration = default_quantity(Duration("0s"))
    links: list[str] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    amount: NonNegative = 0.0
    by: Duration = default_quantity(Duration("0s"))


class RandomFaults(Strict):
    """``count`` faults of one kind, drawn from the seed within ranges.

    Without ``links`` and ``nodes`` each fault affects a random gateway or directed link between gateways,
    otherwise all that are named.
    """

    what: FaultKind
    count: PositiveInt
    at: list[Duration]
    lasts: list[Duration]
    links: list[str] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    amount: list[NonNegative] = field(default_factory=lambda: [0.0, 0.0])
    by: list[Duration] = field(default_factory=lambda: [Duration("0s"), Duration("0s")])


PeerAddressing = Annotated[
    Literal["fixed", "members", "list"], Meta(description='"fixed", "members" or "list"')
]


class Schedule(Strict):
    """A fleet and its faults.

    ``settle`` is the time after the last fault within which all member views must agree. ``found`` is how
    gateways learn each other's addresses: from a fixed list, by joining through the first two gateways, or
    from the list service.
    """

    about: str = ""
    gateways: PositiveInt = 5
    hosts: PositiveInt = 4
    agents: NonNegativeInt = 0
    customers: NonNegativeInt = 6
    membership: bool = True
    found: PeerAddressing = "fixed"
    lasts: Duration = default_quantity(Duration("10s"))
    settle: Duration = default_quantity(Duration("6s"))
    faults: list[Fault] = field(default_factory=list)
    draws: list[RandomFaults] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its parameters resolved: seconds from the schedule's start, names of nodes and links."""

    what: str
    at: float
    lasts: float
    nodes: tuple[str, ...]
    links: tuple[Link, ...]
    amount: float
    by: float

    def fields(self) -> dict[str, Any]:
        """Return the fault as JSON-compatible values, for ``planned_fault_from_fields`` to restore it."""
        return asdict(self)

    def __str__(self) -> str:
        links = ", ".join(f"{sender}>{receiver}" for sender, receiver in self.links[:SHOWN_LINKS_MAX])
        targets = ", ".join(self.nodes) or links
        hidden = len(self.links) - SHOWN_LINKS_MAX
        more = f" and {hidden} more" if hidden > 0 else ""
        duration = f" for {self.lasts:g} s" if self.lasts else ""
        amount = f" {self.amount:g}" if self.amount else ""
        return f"at {self.at:g} s{duration}: {self.what}{amount} {targets}{more}"


def planned_fault_from_fields(fields: dict[str, Any]) -> PlannedFault:
    """Return the fault that ``PlannedFault.fields`` converted to these values, perhaps by way of JSON."""
    links = tuple((str(sender), str(receiver)) for sender, receiver in fields["links"])
    return PlannedFault(**(fields | {"links": links, "nodes": tuple(fields["nodes"])}))


class ScheduleError(Exception):
    """An invalid schedule; ``lines`` has one message for each error."""

    def __init__(self, lines: Iterable[str]) -> None:
        self.lines = list(lines)
        super().__init__("\n".join(self.lines))


def shipped() -> dict[str, Path]:
    """Return the files of the included schedules by name."""
    return {file.stem: file for file in sorted(SCHEDULES_FOLDER.glob("*.toml"))}


def load(file: Path) -> Schedule:
    """Load a schedule file; raises ScheduleError with all its errors."""
    try:
        raw = tomllib.loads(file.read_text())
    except OSError as error:
        raise ScheduleError([f"{file}: {(error.strerror or str(error)).lower()}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScheduleError([f"{file}: is not valid TOML: {error}"]) from None
    schedule, errors = validate(raw, Schedule)
    if schedule is not None:
        errors = list(_consistency_errors(schedule))
    if errors or schedule is None:
        raise ScheduleError(f"{file}: {error}" for error in errors)
    return schedule


def with_gateway_count(schedule: Schedule, count: int) -> Schedule:
    """Return the schedule with another number of gateways.

    Raises ScheduleError if faults name a gateway that is missing then.
    """
    resized = msgspec.structs.replace(schedule, gateways=count)
    if errors := list(_consistency_errors(resized)):
        raise ScheduleError(str(error) for error in errors)
    return resized


def _consistency_errors(schedule: Schedule) -> Iterator[Violation]:
    names = gateway_names(schedule.gateways)
    for i, fault in enumerate(schedule.faults):
        yield from _fault_errors(schedule, fault, f"faults[{i}]", names)
    for i, draw in enumerate(schedule.draws):
        yield from _draw_errors(draw, f"draws[{i}]", names)


def _fault_errors(schedule: Schedule, fault: Fault, path: str, names: list[str]) -> Iterator[Violation]:
    required, forbidden = ("links", "nodes") if fault.what in LINK_FAULT_KINDS else ("nodes", "links")
    if not getattr(fault, required) or getattr(fault, forbidden):
        expected = f"{fault.what} applies to {required}: expected {required} and no {forbidden}"
        yield Violation(f"{path}.{required}", "", expected)
        return
    if fault.what == "move" and schedule.found == "fixed":
        yield Violation(f"{path}.what", '"move"', 'allowed only if found is "members" or "list"')
    try:
        _expand_nodes(fault.nodes, names)
        _expand_links(fault.links, names)
    except ValueError as error:
        yield Violation(f"{path}.{required}", str(getattr(fault, required)), str(error))
    if fault.what in ("loss", "double", "garble") and not 0 < fault.amount <= 1:
        yield Violation(f"{path}.amount", f"{fault.amount:g}", "expected a fraction above 0 and at most 1")
    if fault.at.base > schedule.lasts.base:
        yield Violation(f"{path}.at", f'"{fault.at}"', f"expected within lasts, {schedule.lasts}")


def _draw_errors(draw: RandomFaults, path: str, names: list[str]) -> Iterator[Violation]:
    forbidden = "nodes" if draw.what in LINK_FAULT_KINDS else "links"
    if getattr(draw, forbidden):
        yield Violation(f"{path}.{forbidden}", "", f"{draw.what} does not apply to {forbidden}")
    try:
        _expand_nodes(draw.nodes, names)
        _expand_links(draw.links, names)
    except ValueError as error:
        yield Violation(path, str([*draw.nodes, *draw.links]), str(error))
    for key in ("at", "lasts", "amount", "by"):
        if len(getattr(draw, key)) != 2:
            yield Violation(
                f"{path}.{key}", str(getattr(draw, key)), "expected two values, minimum and maximum"
            )


def gateway_names(count: int) -> list[str]:
    """Return the node names of ``count`` gateways."""
    return [f"gw-{rank}" for rank in range(count)]


def _expand_side(text: str, names: list[str]) -> list[str] | None:
    """Return the nodes that one side of a link names; None for ``*``."""
    nodes: list[str] = []
    for pattern in (pattern.strip() for pattern in text.split(",")):
        if pattern == "*":
            return None
        first, dots, last = pattern.partition("..")
        ranks = (
            range(int(first[3:]), int(last) + 1) if dots and last.isdigit() and first[3:].isdigit() else ()
        )
        expanded = [f"gw-{rank}" for rank in ranks] if dots else [first]
        if not expanded or any(name not in names and name != LIST_SERVICE for name in expanded):
            raise ValueError(
                f"unknown node {pattern!r}: expected {names[0]} to {names[-1]}, {LIST_SERVICE} or *"
            )
        nodes += expanded
    return nodes


def _expand_nodes(patterns: Iterable[str], names: list[str]) -> tuple[str, ...]:
    nodes: dict[str, None] = {}
    for pattern in patterns:
        nodes |= dict.fromkeys(_expand_side(pattern, names) or names)
    return tuple(nodes)


def _expand_links(patterns: Iterable[str], names: list[str]) -> tuple[Link, ...]:
    links: dict[Link, None] = {}
    for pattern in patterns:
        bidirectional = "<>" in pattern
        left, arrow, right = pattern.partition("<>" if bidirectional else ">")
        if not arrow:
            raise ValueError(f"{pattern!r}: expected two sides with > or <> between them")
        senders = _expand_side(left, names)
        receivers = _expand_side(right, names)
        if senders is None:
            senders = [name for name in names if receivers is None or name not in receivers]
        if receivers is None:
            receivers = [name for name in names if name not in senders or pattern.count("*") == 2]
        pairs = [(sender, receiver) for sender in senders for receiver in receivers if sender != receiver]
        links |= dict.fromkeys(pairs)
        if bidirectional:
            links |= dict.fromkeys((receiver, sender) for sender, receiver in pairs)
    return tuple(links)


def _draw_faults(
    draw: RandomFaults, names: list[str], generator: np.random.Generator
) -> Iterator[PlannedFault]:
    def uniform(limits: list[Any]) -> float:
        minimum, maximum = (limit.base / 1e6 if isinstance(limit, Duration) else limit for limit in limits)
        return round(float(generator.uniform(minimum, maximum)), 3)

    for _ in range(draw.count):
        sender, receiver = (str(name) for name in generator.choice(names, 2, replace=False))
        on_link = draw.what in LINK_FAULT_KINDS
        nodes = _expand_nodes(draw.nodes, names) if draw.nodes else (() if on_link else (sender,))
        links = _expand_links(draw.links, names) if draw.links else (((sender, receiver),) if on_link else ())
        at = uniform(draw.at)
        lasts = uniform(draw.lasts)
        yield PlannedFault(draw.what, at, lasts, nodes, links, uniform(draw.amount), uniform(draw.by))


def plan(schedule: Schedule, seed: int) -> list[PlannedFault]:
    """Return all faults of a schedule under this seed, in the order of their start."""
    names = gateway_names(schedule.gateways)
    planned = [
        PlannedFault(
            fault.what,
            fault.at.base / 1e6,
            fault.lasts.base / 1e6,
            _expand_nodes(fault.nodes, names),
            _expand_links(fault.links, names),
            fault.amount,
            fault.by.base / 1e6,
        )
        for fault in schedule.faults
    ]
    for number, draw in enumerate(schedule.draws):
        planned += _draw_faults(draw, names, np.random.default_rng([seed, number]))
    return sorted(planned, key=lambda fault: fault.at)
