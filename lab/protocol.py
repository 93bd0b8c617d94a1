"""Encodes a client's requests to a gateway and classifies the replies, following the published protocol."""

from __future__ import annotations

import hiredis


def request(
    request_class: str,
    plan: str,
    customer: int,
    request_id: str,
    *,
    units: float,
    deadline_ms: int,
    first: int,
    spread: int,
    key: str | None = None,
    body: bytes | None = None,
) -> bytes:
    """Return an encoded request; one with a key or a body is sent as CALL.POST, others as CALL.GET."""
    terms = f"c={request_class},t={plan},d={max(1, deadline_ms)}"
    if key is not None:
        terms += f",k={key}"
    terms += f",units={units:g},spread={spread},first={first}"
    command: tuple[str | bytes, ...] = ("CALL.GET", f"{customer:016x}", request_id, terms)
    if key is not None or body is not None:
        command = ("CALL.POST", *command[1:], body or b"")
    encoded: bytes = hiredis.pack_command(command)  # type: ignore[arg-type]  # stub: 1-tuples only
    return encoded


def outcome(reply: object) -> str:
    """Classify a parsed reply as "served", "refused" or "failed"."""
    value = reply[0] if isinstance(reply, list) and reply else reply
    if isinstance(value, bytes):
        return "served"
    refused = isinstance(reply, hiredis.ReplyError) and str(reply).split(" ")[0] == "BUSY"
    return "refused" if refused else "failed"
