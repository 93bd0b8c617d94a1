"""Converts between the platform's JSON and birchdrum's TOML without loss.

``FIELDS`` and ``LISTS`` map the keys of both formats. Keys that they lack, and values that birchdrum's types
can't represent, are kept in the table ``[platform]``: ``values`` maps JSON pointers (RFC 6901) to JSON texts,
``absent`` lists the pointers of keys that the platform's file leaves out.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

from ops.units import Duration, Size, from_mebibytes, to_mebibytes

Json = dict[str, Any]


def _duration_text(value: Any) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(value) or value < 0:
        raise ValueError
    return str(Duration.from_base(int(value)))


def _size_text(value: Any) -> Any:
    size = None if isinstance(value, bool) else from_mebibytes(value)
    if size is None:
        raise ValueError
    return str(size)


def _not_null(value: Any) -> Any:
    if value is None:
        raise ValueError
    return value


Conversion = Callable[[Any], Any]
UNCHANGED: tuple[Conversion, Conversion] = (_not_null, _not_null)
DURATION: tuple[Conversion, Conversion] = (_duration_text, lambda text: Duration(text).base)
MEMORY: tuple[Conversion, Conversion] = (_size_text, lambda text: to_mebibytes(Size(text)))

CLASS_FIELDS = {
    "name": ("name", UNCHANGED),
    "effect": ("effect", UNCHANGED),
    "group": ("group", UNCHANGED),
    "aim": ("target", DURATION),
    "deadline": ("deadline", DURATION),
    "repeat_window": ("dedupWindow", DURATION),
    "worth": ("credit", UNCHANGED),
    "late_worth": ("lateWorth", UNCHANGED),
}
PLAN_FIELDS = {
    "name": ("name", UNCHANGED),
    "rate": ("perSecond", UNCHANGED),
    "burst": ("peakUnits", UNCHANGED),
    "open": ("open", UNCHANGED),
    "price": ("pays", UNCHANGED),
    "beyond_earns": ("beyondEarns", UNCHANGED),
    "beyond_costs": ("overrunCost", UNCHANGED),
    "ceiling_rate": ("hardRate", UNCHANGED),
    "ceiling_burst": ("capDepth", UNCHANGED),
    "ceiling_slack": ("capSlack", UNCHANGED),
}
HOST_FIELDS = {
    "host": ("host", UNCHANGED),
    "dial": ("dial", UNCHANGED),
    "site": ("site", UNCHANGED),
    "kind": ("class", UNCHANGED),
    "block": ("block", UNCHANGED),
    "health": ("health", UNCHANGED),
    "share": ("share", UNCHANGED),
    "born_ms": ("born_ms", UNCHANGED),
}
# Key -> (path in the platform's file, (conversion from the platform's value, conversion to it)).
FIELDS: dict[str, tuple[str, tuple[Conversion, Conversion]]] = {
    "name": ("name", UNCHANGED),
    "listen": ("listen", UNCHANGED),
    "discovery": ("discovery", UNCHANGED),
    "control": ("control", UNCHANGED),
    "metrics": ("metrics", UNCHANGED),
    "seed": ("seed", UNCHANGED),
    "log.form": ("log/form", UNCHANGED),
    "log.level": ("log/level", UNCHANGED),
    "limits.cores": ("limits/cores", UNCHANGED),
    "limits.memory": ("limits/memory_mb", MEMORY),
    "limits.descriptors": ("limits/sockets", UNCHANGED),
    "fleet.listen": ("peer_listen", UNCHANGED),
    "fleet.peers": ("peers", UNCHANGED),
    "fleet.everyone": ("peers_all", UNCHANGED),
    "fleet.cluster": ("cluster", UNCHANGED),
    "fleet.join": ("join", UNCHANGED),
    "fleet.meet": ("meet", UNCHANGED),
    "fleet.advertise": ("advertise", UNCHANGED),
    "fleet.rank": ("settings/rank", UNCHANGED),
    "fleet.gateways": ("settings/balancers", UNCHANGED),
    "fleet.intake": ("settings/familyInfo/peerIntake", UNCHANGED),
    "fleet.shared_counter": ("settings/familyInfo/sharedCounter", UNCHANGED),
    "zones": ("settings/zones", UNCHANGED),
    "hosts.connect_timeout": ("settings/permissions/connectTimeout", DURATION),
    "hosts.idle_close": ("settings/permissions/idleClose", DURATION),
    "hosts.reports": ("settings/loadReport/how", UNCHANGED),
    "hosts.report_names": ("settings/loadReport/names", UNCHANGED),
    "hosts.cold_from": ("settings/rules/coldFrom", UNCHANGED),
    "hosts.warm_within": ("settings/rules/warmWithin", DURATION),
    "hosts.fall_multiple": ("settings/rules/fallMultiple", UNCHANGED),
    "hosts.overload_for": ("settings/rules/overloadFor", DURATION),
    "hosts.drain_within": ("settings/rules/drainGrace", DURATION),
    "hosts.lists": ("settings/discovery", UNCHANGED),
    "hosts.ask_within": ("settings/rules/askWithin", DURATION),
    "requests.attempts": ("settings/permissions/maxAttempts", UNCHANGED),
    "requests.cancel": ("settings/permissions/cancel", UNCHANGED),
    "requests.second_copies": ("settings/permissions/secondCopies", UNCHANGED),
    "requests.probes": ("settings/permissions/probes", UNCHANGED),
    "requests.gossip": ("settings/permissions/peers", UNCHANGED),
    "requests.retry_after": ("settings/permissions/retryAfter", UNCHANGED),
    "requests.retry_after_most": ("settings/permissions/maxRetryAfter", DURATION),
    "requests.units_most": ("settings/familyInfo/unitsTop", UNCHANGED),
    "prices.cross_zone": ("settings/charges/crossZone", UNCHANGED),
    "prices.peer": ("settings/charges/peer", UNCHANGED),
    "prices.probe": ("settings/charges/probe", UNCHANGED),
    "prices.waste": ("settings/charges/waste", UNCHANGED),
    "known.version": ("known/seq", UNCHANGED),
    "known.whole": ("known/whole", UNCHANGED),
}
LISTS = {
    "classes": ("settings/classes", CLASS_FIELDS),
    "plans": ("settings/packages", PLAN_FIELDS),
    "known.hosts": ("known/hosts", HOST_FIELDS),
}
ZONE_INDEX_PATH = "settings/locality"  # index of ``zone`` in ``zones``
MISSING = object()


def get(node: Any, path: str, separator: str) -> Any:
    """Return the value at a path, or MISSING."""
    for segment in path.split(separator):
        if not isinstance(node, dict) or segment not in node:
            return MISSING
        node = node[segment]
    return node


def put(node: Json, path: str, value: Any, separator: str) -> None:
    """Set the value at a path and create the tables above it."""
    *parents, last = path.split(separator)
    for segment in parents:
        node = node.setdefault(segment, {})
    node[last] = value


def _convert_row(
    row: Any, fields: dict[str, tuple[str, tuple[Conversion, Conversion]]], reverse: bool
) -> Json:
    result = {}
    for key, (platform_path, conversions) in fields.items():
        source, target = (key, platform_path) if reverse else (platform_path, key)
        value = row.get(source, MISSING) if isinstance(row, dict) else MISSING
        if value is not MISSING:
            try:
                result[target] = conversions[reverse](value)
            except (ValueError, TypeError, OverflowError):
                continue
    return result


def to_platform(values: Json) -> Json:
    """Convert a valid configuration, with durations and sizes as texts, to the platform's format."""
    result: Json = {}
    for path, (platform_path, conversions) in FIELDS.items():
        value = get(values, path, ".")
        if value is not MISSING and value is not None:
            put(result, platform_path, conversions[1](value), "/")
    if result.get("log") == {"form": "text", "level": "info"}:
        del result["log"]
    for path, (platform_path, fields) in LISTS.items():
        rows = get(values, path, ".")
        if rows is not MISSING:
            put(result, platform_path, [_convert_row(row, fields, reverse=True) for row in rows], "/")
    zones = values.get("zones") or ["all"]
    zone = values.get("zone")
    peers = get(values, "fleet.peers", ".")
    put(result, ZONE_INDEX_PATH, zones.index(zone) if zone in zones else 0, "/")
    rank = get(values, "fleet.rank", ".")
    if peers and "peer_listen" not in result and isinstance(rank, int) and rank < len(peers):
        result["peer_listen"] = peers[rank]
    for key in ("peers", "join"):
        if not result.get(key):
            result.pop(key, None)
    extras = values.get("platform") or {}
    for pointer, text in extras.get("values", {}).items():
        _set_at(result, _pointer_segments(pointer), json.loads(text))
    for pointer in extras.get("absent", []):
        _remove_at(result, _pointer_segments(pointer))
    return result


def from_platform(platform_values: Json) -> Json:
    """Convert the platform's JSON, which ``saffrongw.config`` parses, to birchdrum's format.

    Values that can't be converted are left out. ``platform_extras`` computes the ``[platform]`` table, which
    keeps them.
    """
    result: Json = {}
    for path, (platform_path, conversions) in FIELDS.items():
        value = get(platform_values, platform_path, "/")
        if value is not MISSING:
            try:
                put(result, path, conversions[0](value), ".")
            except (ValueError, TypeError, OverflowError):
                continue
    for path, (platform_path, fields) in LISTS.items():
        rows = get(platform_values, platform_path, "/")
        if isinstance(rows, list):
            put(result, path, [_convert_row(row, fields, reverse=False) for row in rows], ".")
    zones = result.get("zones")
    index = get(platform_values, ZONE_INDEX_PATH, "/")
    if isinstance(zones, list) and isinstance(index, int) and 0 <= index < len(zones):
        result["zone"] = zones[index]
    return result


def platform_extras(platform_values: Json, round_trip: Json) -> Json:
    """Compute the ``[platform]`` table that makes the round trip exact.

    ``round_trip`` is the platform's file converted to birchdrum's format and back.
    """
    values: dict[str, str] = {}
    absent: list[str] = []
    for pointer, value in _differences(platform_values, round_trip, ""):
        if value is MISSING:
            absent.append(pointer)
        else:
            values[pointer] = json.dumps(value)
    result: Json = {}
    if values:
        result["values"] = values
    if absent:
        result["absent"] = absent
    return result


def _differences(expected: Any, actual: Any, parent_pointer: str) -> Iterator[tuple[str, Any]]:
    """Yield JSON pointers of differing or missing values, and MISSING for keys that must be removed."""
    if isinstance(expected, dict) and isinstance(actual, dict):
        for key in [*expected, *(key for key in actual if key not in expected)]:
            pointer = f"{parent_pointer}/{key.replace('~', '~0').replace('/', '~1')}"
            if key not in actual:
                yield pointer, expected[key]
            elif key not in expected:
                yield pointer, MISSING
            else:
                yield from _differences(expected[key], actual[key], pointer)
    elif isinstance(expected, list) and isinstance(actual, list) and len(expected) == len(actual):
        for index, (expected_item, actual_item) in enumerate(zip(expected, actual, strict=True)):
            yield from _differences(expected_item, actual_item, f"{parent_pointer}/{index}")
    elif expected != actual or isinstance(expected, bool) != isinstance(actual, bool):
        yield parent_pointer, expected


def _pointer_segments(pointer: str) -> list[str]:
    return [segment.replace("~1", "/").replace("~0", "~") for segment in pointer.split("/")[1:]]


def _key_or_index(node: Any, segment: str) -> Any:
    return int(segment) if isinstance(node, list) else segment


def _set_at(node: Any, segments: list[str], value: Any) -> None:
    for segment in segments[:-1]:
        index = _key_or_index(node, segment)
        node = node.setdefault(index, {}) if isinstance(node, dict) else node[index]
    node[_key_or_index(node, segments[-1])] = value


def _remove_at(node: Any, segments: list[str]) -> None:
    for segment in segments[:-1]:
        node = node[_key_or_index(node, segment)]
    if isinstance(node, dict):
        node.pop(segments[-1], None)
