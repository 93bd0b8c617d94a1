"""A client's words to a gateway, and what its answer means, as the protocol page has them."""

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
    """One request; with a key or a body it goes as CALL.POST."""
    terms = f"c={request_class},t={plan},d={max(1, deadline_ms)}"
    if key is not None:
        terms += f",k={key}"
    terms += f",units={units:g},spread={spread},first={first}"
    words: tuple[str | bytes, ...] = ("CALL.GET", f"{customer:016x}", request_id, terms)
    if key is not None or body is not None:
        words = ("CALL.POST", *words[1:], body or b"")
    packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # its stub has tuples of one
    return packed


def outcome(reply: object) -> str:
    """served, refused or failed."""
    value = reply[0] if isinstance(reply, list) and reply else reply
    if isinstance(value, bytes):
        return "served"
    refused = isinstance(reply, hiredis.ReplyError) and str(reply).split(" ")[0] == "BUSY"
    return "refused" if refused else "failed"
