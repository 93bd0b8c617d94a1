"""Parses a client's command into the terms of a request and the parts to send to a host."""

from __future__ import annotations

import re

from orchidlane.interface import Effect

from .calls import Terms
from .config import Config

BODY_INDEX = 4  # position of the body among the values of a command
CUSTOMER_BITS = 33
REQUEST_ID_BYTES_MAX = 64
TERMS_MAX = 32  # names and values of one request: 64 KiB of them would be parsed for a tenth of a second
REQUEST_TIMEOUT_MAX = 3_600_000  # milliseconds
MS = 1_000  # microseconds
DIGITS_MAX = 20
TERM_NAMES = frozenset((b"c", b"t", b"d", b"k", b"r", b"units", b"spread", b"first"))
CUSTOMER = re.compile(rb"[0-9A-Fa-f]{16}")
# float() takes underscores, spaces and names of numbers besides.
DECIMAL = re.compile(rb"(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")


class MalformedRequest(Exception):
    """A command that is answered with ``-ERR`` and not executed."""


def parse(command: list[object], config: Config) -> tuple[Terms, tuple[bytes, ...]]:
    """Return a request's terms, and the parts of its command for hosts.

    The parts have the terms split around the value of ``d``, the timeout, which differs for each attempt.
    """
    name, customer, request_id, text = _checked_values(command)
    pairs = _pairs(text)
    try:
        kind, plan = config.classes.get(pairs[b"c"]), config.plans.get(pairs[b"t"])
        timeout = pairs[b"d"]
        terms = Terms(
            customer=_customer_number(customer),
            kind=_known(kind),
            plan=_known(plan),
            timeout=_timeout(timeout),
            units=_units(pairs[b"units"], config),
            set_size=_whole_number(b"spread", pairs[b"spread"]),
            set_first=_whole_number(b"first", pairs[b"first"]),
            is_repeat=pairs.get(b"r") == b"1",
        )
    except KeyError as missing:
        raise MalformedRequest(f"term {missing.args[0].decode()} is missing") from None
    _check_effect(name, config.settings.classes[terms.kind].effect, pairs)
    gateways = config.settings.gateways
    if not 1 <= terms.set_size <= gateways or terms.set_first >= gateways:
        raise MalformedRequest("terms spread and first are out of range")
    timeout_start = (b"," + text).index(b",d=") + 2
    terms_after = text[timeout_start + len(timeout) :]
    return terms, (name, customer, request_id, text[:timeout_start], terms_after, *command[BODY_INDEX:])


def _checked_values(command: list[object]) -> tuple[bytes, bytes, bytes, bytes]:
    """Return the values of a command before its body, which CALL.POST has and CALL.GET has not."""
    if len(command) != (BODY_INDEX if command[0] == b"CALL.GET" else BODY_INDEX + 1):
        raise MalformedRequest("wrong number of values")
    name, customer, request_id, text = command[:BODY_INDEX]
    if not 0 < len(request_id) <= REQUEST_ID_BYTES_MAX:
        raise MalformedRequest("the request's id is empty or too long")
    return name, customer, request_id, text


def _pairs(text: bytes) -> dict[bytes, bytes]:
    """Return the values of the terms by their names."""
    if text.count(b",") >= TERMS_MAX:
        raise MalformedRequest("too many terms")
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    try:
        values = dict(pairs)
    except ValueError:
        raise MalformedRequest("a term has no value") from None
    if not TERM_NAMES.issuperset(values):
        raise MalformedRequest("unknown term")
    if len(values) != len(pairs):
        raise MalformedRequest("a term stands twice")
    return values


def _customer_number(text: bytes) -> int:
    number = int(text, 16) if CUSTOMER.fullmatch(text) else 1 << CUSTOMER_BITS
    if number >> CUSTOMER_BITS:
        raise MalformedRequest("customer is not 16 hex digits below 2^33")
    return number


def _known(index: int | None) -> int:
    if index is None:
        raise MalformedRequest("unknown class or plan")
    return index


def _timeout(text: bytes) -> int:
    """Return the client's timeout in microseconds."""
    milliseconds = _whole_number(b"d", text)
    if not 0 < milliseconds <= REQUEST_TIMEOUT_MAX:
        raise MalformedRequest("term d is out of range")
    return milliseconds * MS


def _whole_number(name: bytes, text: bytes) -> int:
    if not text.isdigit() or len(text) > DIGITS_MAX:
        raise MalformedRequest(f"term {name.decode()} is no whole number")
    return int(text)


def _units(text: bytes, config: Config) -> float:
    if not DECIMAL.fullmatch(text) or not 0 < (units := float(text)) <= config.units_most:
        raise MalformedRequest("term units is out of range")
    return units


def _check_effect(name: bytes, effect: Effect, pairs: dict[bytes, bytes]) -> None:
    """Raise MalformedRequest if the class is served by another command, or lacks its key."""
    if (name == b"CALL.GET") != (effect is Effect.SAFE):
        raise MalformedRequest("this class is served by the other command")
    if effect is Effect.KEYED and not pairs.get(b"k"):
        raise MalformedRequest("term k is missing")
