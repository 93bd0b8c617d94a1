"""States for each configuration key whether gateways may use its old and new values at the same time.

This matters while a change rolls out over the fleet. The three rules are defined in
``registry/agreement.py``. Keys that are local to a gateway have no rule. Importing this module fails if a
key of ``model.py`` is neither shared nor local.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from ops.checking import to_plain
from registry.agreement import NEVER, RULES, TOGETHER, WITHIN

from .model import Config

# Key -> (rule, reason). ``*`` stands for the name of a list element, as in ``plans.*.rate``.
SHARED_KEYS: dict[str, tuple[str, str]] = {
    "classes": (WITHIN, "a gateway that does not know a new class yet answers its requests with an error"),
    "classes.*.effect": (
        NEVER,
        "gateways would disagree on whether a request is safe to retry, and could run it twice",
    ),
    "classes.*.group": (
        NEVER,
        "hosts outside the group do not discard a retry as a repeat",
    ),
    "classes.*.repeat_window": (NEVER, "a repeat after the shorter window runs a second time"),
    "classes.*.deadline": (TOGETHER, "each gateway applies its own deadline to a request"),
    "classes.*.aim": (TOGETHER, "only affects the gateway's own decisions"),
    "classes.*.worth": (TOGETHER, "only affects the gateway's own decisions"),
    "classes.*.late_worth": (TOGETHER, "only affects the gateway's own decisions"),
    "plans": (WITHIN, "a gateway that does not know a new plan yet answers its requests with an error"),
    "plans.*.rate": (WITHIN, "some gateways refill limits at the old rate, others at the new one"),
    "plans.*.burst": (WITHIN, "same as the rate"),
    "plans.*.open": (WITHIN, "same as the rate"),
    "plans.*.price": (TOGETHER, "only affects the gateway's own decisions"),
    "plans.*.beyond_earns": (TOGETHER, "only affects the gateway's own decisions"),
    "plans.*.beyond_costs": (TOGETHER, "only affects the gateway's own decisions"),
    "plans.*.ceiling_rate": (
        NEVER,
        "grants under the old and the new ceiling can add up to more than either",
    ),
    "plans.*.ceiling_burst": (NEVER, "same as the ceiling's rate"),
    "plans.*.ceiling_slack": (NEVER, "same as the ceiling's rate"),
    "zones": (NEVER, "gateways identify a zone by its index in the list"),
    "fleet.gateways": (
        NEVER,
        "counters and their owners are assigned by rank, which must mean the same everywhere",
    ),
    "fleet.cluster": (NEVER, "gateways with different cluster names ignore each other's messages"),
    "fleet.intake": (TOGETHER, "each gateway keeps to the limit that it knows"),
    "fleet.shared_counter": (WITHIN, "some gateways use the shared counter, others gossip"),
    "hosts.connect_timeout": (TOGETHER, "each connection has its own setting"),
    "hosts.idle_close": (TOGETHER, "each connection has its own setting"),
    "hosts.reports": (TOGETHER, "only affects the gateway's own decisions"),
    "hosts.report_names": (TOGETHER, "only affects the gateway's own decisions"),
    "hosts.cold_from": (WITHIN, "the load on a cold host is the sum of what all gateways send"),
    "hosts.warm_within": (WITHIN, "the load on a cold host is the sum of what all gateways send"),
    "hosts.fall_multiple": (WITHIN, "the load on a cold host is the sum of what all gateways send"),
    "hosts.overload_for": (WITHIN, "the load on a cold host is the sum of what all gateways send"),
    "hosts.drain_within": (
        WITHIN,
        "gateways with the longer time still send new requests to a draining host",
    ),
    "hosts.lists": (TOGETHER, "each gateway requests its own list"),
    "hosts.ask_within": (TOGETHER, "each gateway requests its own list"),
    "requests.attempts": (TOGETHER, "each request has its own setting"),
    "requests.cancel": (TOGETHER, "each request has its own setting"),
    "requests.second_copies": (TOGETHER, "each request has its own setting"),
    "requests.probes": (WITHIN, "some gateways still probe hosts after probes were disabled"),
    "requests.gossip": (WITHIN, "a gateway without gossip enforces quotas on its own"),
    "requests.retry_after": (TOGETHER, "each response has its own setting"),
    "requests.retry_after_most": (TOGETHER, "each response has its own setting"),
    "requests.units_most": (WITHIN, "some gateways refuse requests that others accept"),
    "prices.cross_zone": (TOGETHER, "only affects the gateway's own decisions"),
    "prices.peer": (TOGETHER, "only affects the gateway's own decisions"),
    "prices.probe": (TOGETHER, "only affects the gateway's own decisions"),
    "prices.waste": (TOGETHER, "only affects the gateway's own decisions"),
}
LOCAL_KEYS = frozenset(
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
KEYED_LISTS = ("classes", "plans")  # lists whose elements are identified by name
ORDERED_LISTS = {"plans": (NEVER, "messages between gateways identify a plan by its index in the list")}


@dataclass(frozen=True, slots=True)
class Change:
    """A key whose value differs between two configurations; a value of None means that it is absent."""

    path: str
    rule: str
    why: str
    was: Any
    becomes: Any

    def __str__(self) -> str:
        if self.was is None or self.becomes is None:
            what = "comes in" if self.was is None else "goes"
            return f"{self.path} {what}: {self.rule}, {self.why}"
        return f"{self.path}: {_json_text(self.was)} -> {_json_text(self.becomes)}: {self.rule}, {self.why}"


def _json_text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _struct_type(field_type: Any) -> type[msgspec.Struct] | None:
    """Return the struct type in a field's type, also where it is optional or the element of a list."""
    if isinstance(field_type, type) and issubclass(field_type, msgspec.Struct):
        return field_type
    if typing.get_origin(field_type) is typing.Annotated or typing.get_origin(field_type) in (
        list,
        types.UnionType,
    ):
        return next(filter(None, map(_struct_type, typing.get_args(field_type))), None)
    return None


def shared_keys(struct_type: type[msgspec.Struct] = Config, prefix: str = "") -> Iterator[str]:
    """Yield the keys that need a rule: all but local keys and the names of list elements."""
    for name, hint in typing.get_type_hints(struct_type, include_extras=True).items():
        path = prefix + name
        nested_type = _struct_type(hint)
        if path in LOCAL_KEYS or path.endswith("*.name"):
            continue
        if nested_type is None:
            yield path
        elif path in KEYED_LISTS:
            yield path
            yield from shared_keys(nested_type, f"{path}.*.")
        else:
            yield from shared_keys(nested_type, f"{path}.")


def unmatched_keys(struct_type: type[msgspec.Struct] = Config) -> list[str]:
    """Return keys without a rule and rules without a key."""
    return sorted(set(shared_keys(struct_type)) ^ SHARED_KEYS.keys())


if unmatched := unmatched_keys():
    raise TypeError(
        f"birchdrum/compatibility.py: keys without a rule, or rules without a key: {', '.join(unmatched)}"
    )


def changes(old: Config, new: Config) -> list[Change]:
    """Return the differences in shared keys, in the order of ``SHARED_KEYS``."""
    old_values = to_plain(old)
    new_values = to_plain(new)
    found_changes: list[Change] = []
    for path in SHARED_KEYS:
        if path in KEYED_LISTS:
            found_changes += _list_changes(path, old_values, new_values)
        elif ".*." in path:
            found_changes += _element_changes(path, old_values, new_values)
        else:
            found_changes += _value_changes(path, old_values, new_values)
    return found_changes


def _list_changes(path: str, old_values: dict[str, Any], new_values: dict[str, Any]) -> Iterator[Change]:
    """Yield changed order, and added and removed elements, of a list whose elements have names."""
    rule, why = SHARED_KEYS[path]
    old_rows = _rows_by_name(old_values, path)
    new_rows = _rows_by_name(new_values, path)
    if path in ORDERED_LISTS and any(
        name in new_rows and list(new_rows).index(name) != index for index, name in enumerate(old_rows)
    ):
        yield Change(path, *ORDERED_LISTS[path], list(old_rows), list(new_rows))
    for name in [*old_rows, *(name for name in new_rows if name not in old_rows)]:
        if (name in old_rows) is not (name in new_rows):
            yield Change(f"{path}.{name}", rule, why, old_rows.get(name), new_rows.get(name))


def _element_changes(path: str, old_values: dict[str, Any], new_values: dict[str, Any]) -> Iterator[Change]:
    """Yield changes of one key in the elements that both configurations have."""
    rule, why = SHARED_KEYS[path]
    list_path, _, key = path.partition(".*.")
    old_rows = _rows_by_name(old_values, list_path)
    new_rows = _rows_by_name(new_values, list_path)
    for name in [name for name in old_rows if name in new_rows]:
        old_value = old_rows[name].get(key)
        new_value = new_rows[name].get(key)
        if old_value != new_value:
            yield Change(f"{list_path}.{name}.{key}", rule, why, old_value, new_value)


def _value_changes(path: str, old_values: dict[str, Any], new_values: dict[str, Any]) -> Iterator[Change]:
    """Yield the change of a key outside lists, if there is one."""
    rule, why = SHARED_KEYS[path]
    old_value = _value_at(old_values, path)
    new_value = _value_at(new_values, path)
    if old_value != new_value:
        yield Change(path, rule, why, old_value, new_value)


def strictest(found_changes: list[Change]) -> str:
    """Return the strictest rule among the changes; it applies to the new version as a whole."""
    return max((change.rule for change in found_changes), key=RULES.index, default=TOGETHER)


def _rows_by_name(values: dict[str, Any], path: str) -> dict[str, dict[str, Any]]:
    return {row["name"]: row for row in values.get(path) or ()}


def _value_at(values: Any, path: str) -> Any:
    for segment in path.split("."):
        values = values.get(segment) if isinstance(values, dict) else None
    return values
