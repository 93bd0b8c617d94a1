"""For each key of the configuration: may old and new hold side by side while a change spreads over the fleet?

The three rules are those of ``registry/agreement.py``. Keys that are each gateway's own have none: nobody
else decides by them. A key of ``model.py`` that stands in neither table doesn't build.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from ops.checking import plain
from registry.agreement import NEVER, RULES, TOGETHER, WITHIN

from .model import Config

# A row of a list is named by its own name: ``plans.*.rate``. The text says why.
SHARED_KEYS: dict[str, tuple[str, str]] = {
    "classes": (WITHIN, "who does not know a class yet answers that it is unknown"),
    "classes.*.effect": (
        NEVER,
        "what one may repeat another may not: a request that may have run is sent again",
    ),
    "classes.*.group": (NEVER, "hosts outside the group don't drop what one of them sends again"),
    "classes.*.repeat_window": (NEVER, "a repeat after the shorter window runs twice"),
    "classes.*.deadline": (TOGETHER, "each request has the time that its gateway gave it"),
    "classes.*.aim": (TOGETHER, "weighs alone"),
    "classes.*.worth": (TOGETHER, "weighs alone"),
    "classes.*.late_worth": (TOGETHER, "weighs alone"),
    "plans": (WITHIN, "who does not know a plan yet answers that it is unknown"),
    "plans.*.rate": (WITHIN, "limits are refilled by the old rate at some and by the new at others"),
    "plans.*.burst": (WITHIN, "as the rate"),
    "plans.*.open": (WITHIN, "as the rate"),
    "plans.*.price": (TOGETHER, "weighs alone"),
    "plans.*.beyond_earns": (TOGETHER, "weighs alone"),
    "plans.*.beyond_costs": (TOGETHER, "weighs alone"),
    "plans.*.ceiling_rate": (
        NEVER,
        "rights given under the old ceiling and under the new add up beyond both",
    ),
    "plans.*.ceiling_burst": (NEVER, "as the ceiling's rate"),
    "plans.*.ceiling_slack": (NEVER, "as the ceiling's rate"),
    "zones": (NEVER, "zones are told apart by their place in the list"),
    "fleet.gateways": (NEVER, "counts and keepers go by rank: a rank has one meaning"),
    "fleet.cluster": (NEVER, "gateways of two names don't hear each other"),
    "fleet.intake": (TOGETHER, "each keeps to what it knows"),
    "fleet.shared_counter": (WITHIN, "some ask the counter, others each other"),
    "hosts.connect_timeout": (TOGETHER, "each connection has its own"),
    "hosts.idle_close": (TOGETHER, "each connection has its own"),
    "hosts.reports": (TOGETHER, "weighs alone"),
    "hosts.report_names": (TOGETHER, "weighs alone"),
    "hosts.cold_from": (WITHIN, "the sum of all gateways at a cold host"),
    "hosts.warm_within": (WITHIN, "the sum of all gateways at a cold host"),
    "hosts.fall_multiple": (WITHIN, "the sum of all gateways at a cold host"),
    "hosts.overload_for": (WITHIN, "the sum of all gateways at a cold host"),
    "hosts.drain_within": (WITHIN, "a draining host gets something new from who has the longer one"),
    "hosts.lists": (TOGETHER, "how each asks for its list"),
    "hosts.ask_within": (TOGETHER, "how each asks for its list"),
    "requests.attempts": (TOGETHER, "each request has its own"),
    "requests.cancel": (TOGETHER, "each request has its own"),
    "requests.second_copies": (TOGETHER, "each request has its own"),
    "requests.probes": (WITHIN, "hosts are probed by some after it was forbidden"),
    "requests.gossip": (WITHIN, "who tells nobody keeps quotas for itself"),
    "requests.retry_after": (TOGETHER, "each answer has its own"),
    "requests.retry_after_most": (TOGETHER, "each answer has its own"),
    "requests.units_most": (WITHIN, "some refuse what others take"),
    "prices.cross_zone": (TOGETHER, "weighs alone"),
    "prices.peer": (TOGETHER, "weighs alone"),
    "prices.probe": (TOGETHER, "weighs alone"),
    "prices.waste": (TOGETHER, "weighs alone"),
}
OWN = frozenset(
    [
        "name",
        "listen",
        "discovery",
        "control",
        "metrics",
        "seed",
        "zone",
        "log",
        "limits",
        "known",
        "platform",
        "fleet.rank",
        "fleet.peers",
        "fleet.listen",
        "fleet.everyone",
        "fleet.join",
        "fleet.meet",
        "fleet.advertise",
    ]
)
NAMED = ("classes", "plans")  # lists whose rows have names
PLACED = {"plans": (NEVER, "gateways name a plan to each other by its place in the list")}


@dataclass(frozen=True, slots=True)
class Change:
    """One key that differs; None: it is not there."""

    path: str
    rule: str
    why: str
    was: Any
    becomes: Any

    def __str__(self) -> str:
        if self.was is None or self.becomes is None:
            what = "comes in" if self.was is None else "goes"
            return f"{self.path} {what}: {self.rule}, {self.why}"
        return f"{self.path}: {_text(self.was)} -> {_text(self.becomes)}: {self.rule}, {self.why}"


def _text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _table(kind: Any) -> type[msgspec.Struct] | None:
    """The type of a table within a field's type, a list's rows as well."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    if typing.get_origin(kind) is typing.Annotated or typing.get_origin(kind) in (list, types.UnionType):
        return next(filter(None, map(_table, typing.get_args(kind))), None)
    return None


def keys(kind: type[msgspec.Struct] = Config, at: str = "") -> Iterator[str]:
    """All that a rule is wanted for: no key that is each gateway's own, nor what identifies a row."""
    for name, hint in typing.get_type_hints(kind, include_extras=True).items():
        path = at + name
        table = _table(hint)
        if path in OWN or path.endswith("*.name"):
            continue
        if table is None:
            yield path
        elif path in NAMED:
            yield path
            yield from keys(table, f"{path}.*.")
        else:
            yield from keys(table, f"{path}.")


def unmatched_keys(kind: type[msgspec.Struct] = Config) -> list[str]:
    """Keys without a rule, and rules without a key."""
    return sorted(set(keys(kind)) ^ SHARED_KEYS.keys())


if odd := unmatched_keys():
    raise TypeError(
        f"birchdrum/contradiction.py: keys without a rule, or rules without a key: {', '.join(odd)}"
    )


def changes(old: Config, new: Config) -> list[Change]:
    """What differs of the keys that all share, in the order of the rules."""
    was, becomes = plain(old), plain(new)
    found = []
    for path, (rule, why) in SHARED_KEYS.items():
        head, star, key = path.partition(".*.")
        if path in NAMED:
            before, after = _rows(was, path), _rows(becomes, path)
            if path in PLACED and any(
                name in after and list(after).index(name) != place for place, name in enumerate(before)
            ):
                found.append(Change(path, *PLACED[path], list(before), list(after)))
            for name in [*before, *(name for name in after if name not in before)]:
                if (name in before) is not (name in after):
                    row = before.get(name), after.get(name)
                    found.append(Change(f"{path}.{name}", rule, why, *row))
        elif star:
            before, after = _rows(was, head), _rows(becomes, head)
            for name in [name for name in before if name in after]:
                values = before[name].get(key), after[name].get(key)
                if values[0] != values[1]:
                    found.append(Change(f"{head}.{name}.{key}", rule, why, *values))
        else:
            values = _at(was, path), _at(becomes, path)
            if values[0] != values[1]:
                found.append(Change(path, rule, why, *values))
    return found


def strictest(found: list[Change]) -> str:
    """The rule that a version with all these changes goes by."""
    return max((change.rule for change in found), key=RULES.index, default=TOGETHER)


def _rows(values: dict[str, Any], path: str) -> dict[str, dict[str, Any]]:
    return {row["name"]: row for row in values.get(path) or ()}


def _at(values: Any, path: str) -> Any:
    for word in path.split("."):
        values = values.get(word) if isinstance(values, dict) else None
    return values
