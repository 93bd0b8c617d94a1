"""A schedule of faults: a TOML file, typed and checked, and what a seed makes of it.

Nodes are ``gw-0``, ``gw-0..3``, ``list`` or ``*``; links are two sides with ``>`` or ``<>`` between them, as
in ``gw-0 > gw-1..3``; ``*`` is everybody else among the gateways.
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

from ops.checking import Amount, Count, Many, Mistake, Strict, typed, usual
from ops.units import Duration

FOLDER = Path(__file__).parent / "schedules"
LIST = "list"  # the list service
SHOWN_LINKS_MAX = 6

Link = tuple[str, str]  # from, to
OnLinks = Literal["cut", "loss", "delay", "reorder", "double", "garble", "throttle"]
OnNodes = Literal["pause", "kill", "leave", "upgrade", "move", "twin"]
ON_LINKS: tuple[str, ...] = get_args(OnLinks)
What = Annotated[
    OnLinks | OnNodes,
    Meta(description=f"{', '.join((*ON_LINKS, *get_args(OnNodes)))}"),
]


class Fault(Strict):
    """One thing that goes wrong. ``amount`` is a part of the messages (loss, double, garble) or messages a
    second (throttle), ``by`` a time (delay, reorder). ``upgrade`` starts the next process beside the one that
    serves, which ends once it has handed over. ``move`` kills, and starts it at another address, which is
    only possible where addresses are learnt. After ``lasts`` it is over: links are as before, who
    was paused goes on, who was killed or left starts anew; 0s: never."""

    what: What
    at: Duration
    lasts: Duration = usual(Duration("0s"))
    links: list[str] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    amount: Amount = 0.0
    by: Duration = usual(Duration("0s"))


class Draw(Strict):
    """So many faults of a kind, drawn from the seed within ranges: a node or a directed link of gateways, or
    all that are named."""

    what: What
    count: Many
    at: list[Duration]
    lasts: list[Duration]
    links: list[str] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    amount: list[Amount] = field(default_factory=lambda: [0.0, 0.0])
    by: list[Duration] = field(default_factory=lambda: [Duration("0s"), Duration("0s")])


Found = Annotated[Literal["fixed", "members", "list"], Meta(description='"fixed", "members" or "list"')]


class Schedule(Strict):
    """A fleet and what happens to it. ``settle`` is the time after the last fault until views must agree;
    ``found`` says how gateways learn where the others are: each has a fixed list, the addresses of the first
    two, or the list service's."""

    about: str = ""
    gateways: Many = 5
    hosts: Many = 4
    agents: Count = 0
    customers: Count = 6
    membership: bool = True
    found: Found = "fixed"
    lasts: Duration = usual(Duration("10s"))
    settle: Duration = usual(Duration("6s"))
    faults: list[Fault] = field(default_factory=list)
    draws: list[Draw] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault as it will be done: seconds from the schedule's start, nodes and directed links by name."""

    what: str
    at: float
    lasts: float
    nodes: tuple[str, ...]
    links: tuple[Link, ...]
    amount: float
    by: float

    def fields(self) -> dict[str, Any]:
        """For files; ``planned`` reads it back."""
        return asdict(self)

    def __str__(self) -> str:
        links = ", ".join(f"{a}>{b}" for a, b in self.links[:SHOWN_LINKS_MAX])
        where = ", ".join(self.nodes) or links
        hidden = len(self.links) - SHOWN_LINKS_MAX
        more = f" and {hidden} more" if hidden > 0 else ""
        span = f" for {self.lasts:g} s" if self.lasts else ""
        amount = f" {self.amount:g}" if self.amount else ""
        return f"at {self.at:g} s{span}: {self.what}{amount} {where}{more}"


def planned(fields: dict[str, Any]) -> PlannedFault:
    """The opposite of ``Planned.fields``."""
    links = tuple((str(a), str(b)) for a, b in fields["links"])
    return PlannedFault(**(fields | {"links": links, "nodes": tuple(fields["nodes"])}))


class ScheduleError(Exception):
    """A schedule that can't be played; ``lines`` are all its mistakes."""

    def __init__(self, lines: Iterable[str]) -> None:
        self.lines = list(lines)
        super().__init__("\n".join(self.lines))


def shipped() -> dict[str, Path]:
    """The schedules that ship, by name."""
    return {file.stem: file for file in sorted(FOLDER.glob("*.toml"))}


def load(file: Path) -> Schedule:
    """A file's schedule; raises ScheduleError with all that is wrong."""
    try:
        raw = tomllib.loads(file.read_text())
    except OSError as wrong:
        raise ScheduleError([f"{file}: {(wrong.strerror or str(wrong)).lower()}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as wrong:
        raise ScheduleError([f"{file}: is no whole TOML: {wrong}"]) from None
    schedule, mistakes = typed(raw, Schedule)
    if schedule is not None:
        mistakes = list(_relations(schedule))
    if mistakes or schedule is None:
        raise ScheduleError(f"{file}: {mistake}" for mistake in mistakes)
    return schedule


def with_gateway_count(schedule: Schedule, count: int) -> Schedule:
    """With another number of gateways; raises ScheduleError where its faults name others."""
    done = msgspec.structs.replace(schedule, gateways=count)
    if mistakes := list(_relations(done)):
        raise ScheduleError(str(mistake) for mistake in mistakes)
    return done


def _relations(schedule: Schedule) -> Iterator[Mistake]:
    names = gateways(schedule.gateways)
    for i, fault in enumerate(schedule.faults):
        yield from _fault_mistakes(schedule, fault, f"faults[{i}]", names)
    for i, draw in enumerate(schedule.draws):
        yield from _draw_mistakes(draw, f"draws[{i}]", names)


def _fault_mistakes(schedule: Schedule, fault: Fault, at: str, names: list[str]) -> Iterator[Mistake]:
    wanted, other = ("links", "nodes") if fault.what in ON_LINKS else ("nodes", "links")
    if not getattr(fault, wanted) or getattr(fault, other):
        expected = f"{fault.what} happens to {wanted}: name some, and no {other}"
        yield Mistake(f"{at}.{wanted}", "", expected)
        return
    if fault.what == "move" and schedule.found == "fixed":
        yield Mistake(f"{at}.what", '"move"', 'expected where found is "members" or "list" only')
    try:
        _nodes(fault.nodes, names)
        _links(fault.links, names)
    except ValueError as wrong:
        yield Mistake(f"{at}.{wanted}", str(getattr(fault, wanted)), str(wrong))
    if fault.what in ("loss", "double", "garble") and not 0 < fault.amount <= 1:
        yield Mistake(f"{at}.amount", f"{fault.amount:g}", "expected a part above 0, of 1 at most")
    if fault.at.base > schedule.lasts.base:
        yield Mistake(f"{at}.at", f'"{fault.at}"', f"expected within lasts, {schedule.lasts}")


def _draw_mistakes(draw: Draw, at: str, names: list[str]) -> Iterator[Mistake]:
    wrong_key = "nodes" if draw.what in ON_LINKS else "links"
    if getattr(draw, wrong_key):
        yield Mistake(f"{at}.{wrong_key}", "", f"{draw.what} does not happen to {wrong_key}")
    try:
        _nodes(draw.nodes, names)
        _links(draw.links, names)
    except ValueError as wrong:
        yield Mistake(at, str([*draw.nodes, *draw.links]), str(wrong))
    for key in ("at", "lasts", "amount", "by"):
        if len(getattr(draw, key)) != 2:
            yield Mistake(f"{at}.{key}", str(getattr(draw, key)), "expected two values, least and most")


def gateways(count: int) -> list[str]:
    """Their names."""
    return [f"gw-{rank}" for rank in range(count)]


def _side(text: str, names: list[str]) -> list[str] | None:
    """Nodes of one side; None: everybody else."""
    found: list[str] = []
    for word in (word.strip() for word in text.split(",")):
        if word == "*":
            return None
        first, dots, last = word.partition("..")
        ranks = (
            range(int(first[3:]), int(last) + 1) if dots and last.isdigit() and first[3:].isdigit() else ()
        )
        some = [f"gw-{rank}" for rank in ranks] if dots else [first]
        if not some or any(name not in names and name != LIST for name in some):
            raise ValueError(f"{word!r} is no node of {names[0]} to {names[-1]}, {LIST} or *")
        found += some
    return found


def _nodes(words: Iterable[str], names: list[str]) -> tuple[str, ...]:
    found: dict[str, None] = {}
    for word in words:
        found |= dict.fromkeys(_side(word, names) or names)
    return tuple(found)


def _links(words: Iterable[str], names: list[str]) -> tuple[Link, ...]:
    found: dict[Link, None] = {}
    for word in words:
        both = "<>" in word
        left, sign, right = word.partition("<>" if both else ">")
        if not sign:
            raise ValueError(f"{word!r}: expected two sides with > or <> between them")
        a = _side(left, names)
        b = _side(right, names)
        if a is None:
            a = [name for name in names if b is None or name not in b]
        if b is None:
            b = [name for name in names if name not in a or word.count("*") == 2]
        pairs = [(x, y) for x in a for y in b if x != y]
        found |= dict.fromkeys(pairs)
        if both:
            found |= dict.fromkeys((y, x) for x, y in pairs)
    return tuple(found)


def _drawn(draw: Draw, names: list[str], generator: np.random.Generator) -> Iterator[PlannedFault]:
    def between(values: list[Any]) -> float:
        least, most = (v.base / 1e6 if isinstance(v, Duration) else v for v in values)
        return round(float(generator.uniform(least, most)), 3)

    for _ in range(draw.count):
        a, b = (str(name) for name in generator.choice(names, 2, replace=False))
        on_link = draw.what in ON_LINKS
        nodes = _nodes(draw.nodes, names) if draw.nodes else (() if on_link else (a,))
        links = _links(draw.links, names) if draw.links else (((a, b),) if on_link else ())
        at = between(draw.at)
        lasts = between(draw.lasts)
        yield PlannedFault(draw.what, at, lasts, nodes, links, between(draw.amount), between(draw.by))


def plan(schedule: Schedule, seed: int) -> list[PlannedFault]:
    """All faults as they will be done, in the order of their beginning."""
    names = gateways(schedule.gateways)
    done = [
        PlannedFault(
            fault.what,
            fault.at.base / 1e6,
            fault.lasts.base / 1e6,
            _nodes(fault.nodes, names),
            _links(fault.links, names),
            fault.amount,
            fault.by.base / 1e6,
        )
        for fault in schedule.faults
    ]
    for number, draw in enumerate(schedule.draws):
        done += _drawn(draw, names, np.random.default_rng([seed, number]))
    return sorted(done, key=lambda fault: fault.at)
