"""The platform's JSON and our TOML, each from the other without loss.

``FIELDS`` maps keys; what it does not know, and values that our types can't hold, travel in ``[platform]``:
``values`` by JSON pointer (RFC 6901) as JSON texts, ``absent`` for keys that the file does without.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

from ops.units import Duration, Size, megabytes, of_megabytes

Json = dict[str, Any]


def _micro(value: Any) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(value) or value < 0:
        raise ValueError
    return str(Duration.of(int(value)))


def _memory(value: Any) -> Any:
    size = None if isinstance(value, bool) else of_megabytes(value)
    if size is None:
        raise ValueError
    return str(size)


def _same(value: Any) -> Any:
    if value is None:
        raise ValueError
    return value


To = Callable[[Any], Any]
PLAIN: tuple[To, To] = (_same, _same)
TIME: tuple[To, To] = (_micro, lambda text: Duration(text).base)
MEMORY: tuple[To, To] = (_memory, lambda text: megabytes(Size(text)))

CLASS = {
    "name": ("name", PLAIN),
    "effect": ("effect", PLAIN),
    "group": ("group", PLAIN),
    "aim": ("target", TIME),
    "deadline": ("deadline", TIME),
    "repeat_window": ("dedupWindow", TIME),
    "worth": ("credit", PLAIN),
    "late_worth": ("lateWorth", PLAIN),
}
PLAN = {
    "name": ("name", PLAIN),
    "rate": ("perSecond", PLAIN),
    "burst": ("peakUnits", PLAIN),
    "open": ("open", PLAIN),
    "price": ("pays", PLAIN),
    "beyond_earns": ("beyondEarns", PLAIN),
    "beyond_costs": ("overrunCost", PLAIN),
    "ceiling_rate": ("hardRate", PLAIN),
    "ceiling_burst": ("capDepth", PLAIN),
    "ceiling_slack": ("capSlack", PLAIN),
}
HOST = {
    "host": ("host", PLAIN),
    "dial": ("dial", PLAIN),
    "site": ("site", PLAIN),
    "kind": ("class", PLAIN),
    "block": ("block", PLAIN),
    "health": ("health", PLAIN),
    "share": ("share", PLAIN),
    "born_ms": ("born_ms", PLAIN),
}
# Ours, the platform's, how its value turns to ours and back.
FIELDS: dict[str, tuple[str, tuple[To, To]]] = {
    "name": ("name", PLAIN),
    "listen": ("listen", PLAIN),
    "discovery": ("discovery", PLAIN),
    "control": ("control", PLAIN),
    "metrics": ("metrics", PLAIN),
    "seed": ("seed", PLAIN),
    "log.form": ("log/form", PLAIN),
    "log.level": ("log/level", PLAIN),
    "limits.cores": ("limits/cores", PLAIN),
    "limits.memory": ("limits/memory_mb", MEMORY),
    "limits.descriptors": ("limits/sockets", PLAIN),
    "fleet.listen": ("peer_listen", PLAIN),
    "fleet.peers": ("peers", PLAIN),
    "fleet.everyone": ("peers_all", PLAIN),
    "fleet.cluster": ("cluster", PLAIN),
    "fleet.join": ("join", PLAIN),
    "fleet.meet": ("meet", PLAIN),
    "fleet.advertise": ("advertise", PLAIN),
    "fleet.rank": ("settings/rank", PLAIN),
    "fleet.gateways": ("settings/balancers", PLAIN),
    "fleet.intake": ("settings/familyInfo/peerIntake", PLAIN),
    "fleet.shared_counter": ("settings/familyInfo/sharedCounter", PLAIN),
    "zones": ("settings/zones", PLAIN),
    "hosts.connect_timeout": ("settings/permissions/connectTimeout", TIME),
    "hosts.idle_close": ("settings/permissions/idleClose", TIME),
    "hosts.reports": ("settings/loadReport/how", PLAIN),
    "hosts.report_names": ("settings/loadReport/names", PLAIN),
    "hosts.cold_from": ("settings/rules/coldFrom", PLAIN),
    "hosts.warm_within": ("settings/rules/warmWithin", TIME),
    "hosts.fall_multiple": ("settings/rules/fallMultiple", PLAIN),
    "hosts.overload_for": ("settings/rules/overloadFor", TIME),
    "hosts.drain_within": ("settings/rules/drainGrace", TIME),
    "hosts.lists": ("settings/discovery", PLAIN),
    "hosts.ask_within": ("settings/rules/askWithin", TIME),
    "requests.attempts": ("settings/permissions/maxAttempts", PLAIN),
    "requests.cancel": ("settings/permissions/cancel", PLAIN),
    "requests.second_copies": ("settings/permissions/secondCopies", PLAIN),
    "requests.probes": ("settings/permissions/probes", PLAIN),
    "requests.gossip": ("settings/permissions/peers", PLAIN),
    "requests.retry_after": ("settings/permissions/retryAfter", PLAIN),
    "requests.retry_after_most": ("settings/permissions/maxRetryAfter", TIME),
    "requests.units_most": ("settings/familyInfo/unitsTop", PLAIN),
    "prices.cross_zone": ("settings/charges/crossZone", PLAIN),
    "prices.peer": ("settings/charges/peer", PLAIN),
    "prices.probe": ("settings/charges/probe", PLAIN),
    "prices.waste": ("settings/charges/waste", PLAIN),
    "known.version": ("known/seq", PLAIN),
    "known.whole": ("known/whole", PLAIN),
}
ROWS = {
    "classes": ("settings/classes", CLASS),
    "plans": ("settings/packages", PLAN),
    "known.hosts": ("known/hosts", HOST),
}
ZONE = "settings/locality"  # the place of ``zone`` among ``zones``
MISSING = object()


def get(tree: Any, path: str, by: str) -> Any:
    """What stands at a path, or MISSING."""
    for word in path.split(by):
        if not isinstance(tree, dict) or word not in tree:
            return MISSING
        tree = tree[word]
    return tree


def put(tree: Json, path: str, value: Any, by: str) -> None:
    """Set it, with the tables above it."""
    *above, last = path.split(by)
    for word in above:
        tree = tree.setdefault(word, {})
    tree[last] = value


def _row(row: Any, fields: dict[str, tuple[str, tuple[To, To]]], back: bool) -> Json:
    done = {}
    for ours, (theirs, kind) in fields.items():
        source, to = (ours, theirs) if back else (theirs, ours)
        value = row.get(source, MISSING) if isinstance(row, dict) else MISSING
        if value is not MISSING:
            try:
                done[to] = kind[back](value)
            except (ValueError, TypeError, OverflowError):
                continue
    return done


def to_platform(ours: Json) -> Json:
    """Our values (all of a checked configuration, durations and sizes as texts) in the platform's form."""
    done: Json = {}
    for path, (theirs, kind) in FIELDS.items():
        value = get(ours, path, ".")
        if value is not MISSING and value is not None:
            put(done, theirs, kind[1](value), "/")
    if done.get("log") == {"form": "text", "level": "info"}:
        del done["log"]
    for path, (theirs, fields) in ROWS.items():
        rows = get(ours, path, ".")
        if rows is not MISSING:
            put(done, theirs, [_row(row, fields, back=True) for row in rows], "/")
    zones, zone, peers = ours.get("zones") or ["all"], ours.get("zone"), get(ours, "fleet.peers", ".")
    put(done, ZONE, zones.index(zone) if zone in zones else 0, "/")
    rank = get(ours, "fleet.rank", ".")
    if peers and "peer_listen" not in done and isinstance(rank, int) and rank < len(peers):
        done["peer_listen"] = peers[rank]
    for key in ("peers", "join"):
        if not done.get(key):
            done.pop(key, None)
    extra = ours.get("platform") or {}
    for pointer, text in extra.get("values", {}).items():
        _set(done, _words(pointer), json.loads(text))
    for pointer in extra.get("absent", []):
        _drop(done, _words(pointer))
    return done


def from_platform(theirs: Json) -> Json:
    """The platform's file in our form, without ``[platform]``: see ``keep_rest``."""
    done: Json = {}
    for path, (at, kind) in FIELDS.items():
        value = get(theirs, at, "/")
        if value is not MISSING:
            try:
                put(done, path, kind[0](value), ".")
            except (ValueError, TypeError, OverflowError):
                continue
    for path, (at, fields) in ROWS.items():
        rows = get(theirs, at, "/")
        if isinstance(rows, list):
            put(done, path, [_row(row, fields, back=False) for row in rows], ".")
    zones, place = done.get("zones"), get(theirs, ZONE, "/")
    if isinstance(zones, list) and isinstance(place, int) and 0 <= place < len(zones):
        done["zone"] = zones[place]
    return done


def platform_extras(theirs: Json, again: Json) -> Json:
    """What ``[platform]`` has to say so that ``again``, our way back, is the platform's file to the value."""
    values: dict[str, str] = {}
    absent: list[str] = []
    for pointer, value in _differences(theirs, again, ""):
        if value is MISSING:
            absent.append(pointer)
        else:
            values[pointer] = json.dumps(value)
    done: Json = {}
    if values:
        done["values"] = values
    if absent:
        done["absent"] = absent
    return done


def _differences(theirs: Any, again: Any, at: str) -> Iterator[tuple[str, Any]]:
    """JSON pointers of what is another value or is not there; MISSING where it must go."""
    if isinstance(theirs, dict) and isinstance(again, dict):
        for key in [*theirs, *(key for key in again if key not in theirs)]:
            pointer = f"{at}/{key.replace('~', '~0').replace('/', '~1')}"
            if key not in again:
                yield pointer, theirs[key]
            elif key not in theirs:
                yield pointer, MISSING
            else:
                yield from _differences(theirs[key], again[key], pointer)
    elif isinstance(theirs, list) and isinstance(again, list) and len(theirs) == len(again):
        for i, (one, other) in enumerate(zip(theirs, again, strict=True)):
            yield from _differences(one, other, f"{at}/{i}")
    elif theirs != again or isinstance(theirs, bool) != isinstance(again, bool):
        yield at, theirs


def _words(pointer: str) -> list[str]:
    return [word.replace("~1", "/").replace("~0", "~") for word in pointer.split("/")[1:]]


def _place(tree: Any, word: str) -> Any:
    return int(word) if isinstance(tree, list) else word


def _set(tree: Any, words: list[str], value: Any) -> None:
    for word in words[:-1]:
        place = _place(tree, word)
        tree = tree.setdefault(place, {}) if isinstance(tree, dict) else tree[place]
    tree[_place(tree, words[-1])] = value


def _drop(tree: Any, words: list[str]) -> None:
    for word in words[:-1]:
        tree = tree[_place(tree, word)]
    if isinstance(tree, dict):
        tree.pop(words[-1], None)
