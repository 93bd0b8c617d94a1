"""Parses a client's command into the terms of a request and the parts to send to a host."""

from __future__ import annotations

import math
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


class MalformedRequest(Exception):
    """A command that is answered with ``-ERR`` and not executed."""


def parse(command: list[object], config: Config) -> tuple[Terms, tuple[bytes, ...]]:
    """Return a request's terms, and the parts of its command for hosts.

    The parts have the terms split around the value of ``d``, the timeout, which differs for each attempt.
    """
    if not 4 <= len(command) <= 5 or (command[0] == b"CALL.GET" and len(command) != 4):
        raise MalformedRequest("wrong number of values")
    name, customer, request_id, text = command[:4]
    if text.count(b",") >= TERMS_MAX:
        raise MalformedRequest("too many terms")
    try:
        if (
            not re.fullmatch(rb"[0-9A-Fa-f]{16}", customer)
            or (customer_number := int(customer, 16)) >> CUSTOMER_BITS
        ):
            raise MalformedRequest("customer is not 16 hex digits below 2^33")
        pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
        terms = dict(pairs)
        if len(terms) != len(pairs):
            raise MalformedRequest("a term stands twice")
        kind, plan = config.classes.get(terms[b"c"]), config.plans.get(terms[b"t"])
        if kind is None or plan is None:
            raise MalformedRequest("unknown class or plan")
        timeout, units = terms[b"d"], float(terms[b"units"])
        if not timeout.isdigit() or not 0 < int(timeout) <= REQUEST_TIMEOUT_MAX:
            raise MalformedRequest("term d is out of range")
        set_size, set_first = int(terms[b"spread"]), int(terms[b"first"])
    except KeyError as missing:
        raise MalformedRequest(f"term {missing.args[0].decode()} is missing") from None
    except ValueError:
        raise MalformedRequest("terms are malformed") from None
    effect, gateways = config.settings.classes[kind].effect, config.settings.gateways
    if (name == b"CALL.GET") != (effect is Effect.SAFE):
        raise MalformedRequest("this class is served by the other command")
    if effect is Effect.KEYED and not terms.get(b"k"):
        raise MalformedRequest("term k is missing")
    if not math.isfinite(units) or not 0 < units <= config.units_most:
        raise MalformedRequest("term units is out of range")
    if not 1 <= set_size <= gateways or not 0 <= set_first < gateways:
        raise MalformedRequest("terms spread and first are out of range")
    if not 0 < len(request_id) <= REQUEST_ID_BYTES_MAX:
        raise MalformedRequest("the request's id is empty or too long")
    timeout_start = (b"," + text).index(b",d=") + 2
    parts = (
        name,
        customer,
        request_id,
        text[:timeout_start],
        text[timeout_start + len(timeout) :],
        *command[4:],
    )
    is_repeat = terms.get(b"r") == b"1"
    return Terms(customer_number, kind, plan, int(timeout) * MS, units, set_size, set_first, is_repeat), parts
