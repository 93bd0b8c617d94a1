"""Log of single requests and closed connections, at level ``debug``: one event for each.

It is exempt from the log's rate limit, so it is for the time of an investigation.
"""

from __future__ import annotations

from enum import Enum

from ops import logs
from orchidlane import interface as api

from .calls import Attempt, Call

log = logs.get_logger(__name__)

LEVEL = "debug"
MS = 1_000  # microseconds


class CloseReason(Enum):
    """Why a connection with a client or a host was closed."""

    PEER = "closed by the other side"
    IDLE = "idle too long, or its descriptor was needed"
    DRAIN = "this process drains or ends"
    MALFORMED = "malformed input"
    OVERDUE = "no whole command in time"
    STALLED = "the other side reads or writes too slowly"
    CROWDED = "the connection limit is reached"
    HOST_RETIRED = "the host is gone, has moved or is banned"
    UNREQUESTED = "input that was not requested"
    CONNECT_FAILED = "connecting failed or took too long"
    ABANDONED = "its attempt was given up"


class RequestLog:
    """Writes what became of each request, with its attempts, and why a connection was closed."""

    def request_finished(
        self, call: Call, outcome: str, cause: api.Cause | None, arrived_at: int, now: int
    ) -> None:
        """Record a request's final answer, or that its client has gone; times are the driver's."""
        log.debug(
            "request_finished",
            request=call.parts[2],
            customer=f"{call.event.customer:016x}",
            request_class=call.event.kind,
            outcome=outcome,
            cause=cause.value if cause else "",
            took_ms=(now - arrived_at) // MS,
            attempts=[_attempt_text(attempt, arrived_at) for attempt in call.attempts],
            **{logs.UNLIMITED: True},
        )

    def connection_closed(self, side: str, address: object, reason: CloseReason) -> None:
        """Record why this process closed a connection; ``side`` is ``client`` or ``host``."""
        fields = {"side": side, "address": address, "reason": reason.value, logs.UNLIMITED: True}
        log.debug("connection_closed", **fields)


def _attempt_text(attempt: Attempt, arrived_at: int) -> str:
    """Return host, start after the arrival, version of the host list that it was decided on, and outcome."""
    outcome = attempt.outcome.value.replace(" ", "_") if attempt.outcome else "open"
    started_ms = (attempt.sent_at - arrived_at) // MS
    sent = "sent" if attempt.fully_sent else "unsent"
    return f"{attempt.server.decode()}@{started_ms}ms/list{attempt.list_version}/{sent}/{outcome}"
