"""The data model of the host list, and validation of all external input."""

from __future__ import annotations

import ipaddress
import json
import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import cached_property
from typing import Any

from ops.http import Invalid

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
STATES = (SERVING, DRAINING, DELETED)
MAX_INTEGER = 2**53 - 1  # the largest integer that every JSON parser represents exactly
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
MAX_BLOCK = 2**31 - 1
MAX_SHARE = 1_000.0
MIN_LEASE_MS, MAX_LEASE_MS = 1_000, 86_400_000


@dataclass(frozen=True)
class Entry:
    """One host, with the fields that the discovery protocol defines."""

    host: str
    dial: str  # the address that gateways connect to
    site: str  # its zone
    kind: str  # its class
    block: int  # its cell, a group of hosts that may deduplicate together
    health: str
    share: float  # relative capacity
    born_ms: int  # when its process started, in milliseconds of Unix time

    @cached_property
    def json_text(self) -> str:
        """The entry as JSON. Cached, because full lists and change sets are concatenated from it."""
        return json.dumps(
            {
                "host": self.host,
                "dial": self.dial,
                "site": self.site,
                "class": self.kind,
                "block": self.block,
                "health": self.health,
                "share": self.share,
                "born_ms": self.born_ms,
            },
            separators=(",", ":"),
        )

    def with_health(self, health: str) -> Entry:
        """Return a copy with another health state."""
        return replace(self, health=health)


@dataclass(frozen=True, slots=True)
class Record:
    """A listed host, with the version and lease that its writers are given."""

    entry: Entry
    version: int  # seq of the last change; the next write must name it (compare-and-set)
    lease_ms: int


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The content of one watch response: the full list, or the changes since an index."""

    life: int  # epoch of the list; not in the body
    seq: int
    whole: bool
    entries: tuple[Entry, ...]


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise Invalid("duplicate field in JSON object")
    return found


def _reject_constant(name: str) -> None:
    raise Invalid(f"{name} is not a valid JSON number")


def parse_json(body: bytes) -> dict[str, Any]:
    """Parse a request or response body as a JSON object; raises Invalid."""
    try:
        raw = json.loads(body, object_pairs_hook=_unique_fields, parse_constant=_reject_constant)
    except Invalid:
        raise
    except (ValueError, RecursionError):
        raise Invalid("the body is not valid JSON") from None
    if not isinstance(raw, dict):
        raise Invalid("the body is not a JSON object")
    return raw


def check_fields(raw: dict[str, Any], required: Iterable[str], optional: Iterable[str] = ()) -> None:
    """Raise Invalid if a required field is missing or an unknown field is present."""
    required = set(required)
    if missing := required - raw.keys():
        raise Invalid(f"missing: {', '.join(sorted(missing))}")
    if unknown := raw.keys() - required - set(optional):
        raise Invalid(f"unknown: {', '.join(sorted(repr(name[:32]) for name in unknown))[:160]}")


def parse_integer(raw: Any, name: str, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Validate a JSON integer against its bounds."""
    if type(raw) is not int or not minimum <= raw <= maximum:
        raise Invalid(f"{name} must be a whole number from {minimum} to {maximum}")
    return raw


def parse_digits(raw: str, name: str, maximum: int = MAX_INTEGER) -> int:
    """Parse a decimal integer from a query parameter."""
    if not re.fullmatch(r"[0-9]{1,16}", raw, re.ASCII):
        raise Invalid(f"{name} must be a whole number from 0 to {maximum}")
    return parse_integer(int(raw), name, maximum=maximum)


def parse_name(raw: Any, what: str) -> str:
    """Validate a host ID, or the name of a site, class or cluster."""
    if not isinstance(raw, str) or not NAME.fullmatch(raw):
        raise Invalid(
            f"{what} must be 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
        )
    return raw


def parse_address(raw: Any, what: str = "dial") -> tuple[str, int]:
    """Parse ``A.B.C.D:PORT``. Host names and IPv6 are not supported."""
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    try:
        ipaddress.IPv4Address(host)
        if not re.fullmatch(r"[1-9][0-9]{0,4}", port, re.ASCII) or int(port) > 65535:
            raise ValueError
    except ValueError:
        raise Invalid(f"{what} must be an IPv4 address and a port, as in 127.0.0.1:6379") from None
    return host, int(port)


def parse_health(raw: Any, states: tuple[str, ...] = STATES) -> str:
    """Validate the name of a health state."""
    if raw not in states:
        raise Invalid(f"health must be one of {', '.join(states)}")
    return raw


def parse_share(raw: Any) -> float:
    """Validate a host's relative capacity."""
    if type(raw) not in (int, float) or not 0 < raw <= MAX_SHARE or not math.isfinite(raw):
        raise Invalid(f"share must be a number greater than 0 and at most {MAX_SHARE:g}")
    return float(raw)


def parse_entry(raw: Any, states: tuple[str, ...] = STATES) -> Entry:
    """Parse a host entry from a list; raises Invalid."""
    if not isinstance(raw, dict):
        raise Invalid("host entry is not a JSON object")
    check_fields(raw, ("host", "dial", "site", "class", "block", "health", "share", "born_ms"))
    parse_address(raw["dial"])
    return Entry(
        parse_name(raw["host"], "host"),
        raw["dial"],
        parse_name(raw["site"], "site"),
        parse_name(raw["class"], "class"),
        parse_integer(raw["block"], "block", maximum=MAX_BLOCK),
        parse_health(raw["health"], states),
        parse_share(raw["share"]),
        parse_integer(raw["born_ms"], "born_ms"),
    )


def parse_update(body: bytes, life: int) -> ListUpdate:
    """Parse a watch response; one malformed host rejects all of it, as changes build on each other."""
    raw = parse_json(body)
    check_fields(raw, ("seq", "whole", "hosts"))
    if type(raw["whole"]) is not bool or not isinstance(raw["hosts"], list):
        raise Invalid("whole must be a boolean and hosts a list")
    states = (SERVING, DRAINING) if raw["whole"] else STATES
    entries = tuple(parse_entry(raw_entry, states) for raw_entry in raw["hosts"])
    if raw["whole"] and len({entry.host for entry in entries}) != len(entries):
        raise Invalid("full list contains a host twice")
    return ListUpdate(life, parse_integer(raw["seq"], "seq"), raw["whole"], entries)
