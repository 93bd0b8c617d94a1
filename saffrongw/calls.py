"""Requests in flight, their attempts, and the interfaces that a streamed response passes through."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from orchidlane import interface as api


@dataclass(frozen=True, slots=True)
class Terms:
    """Parsed terms of a client's command; ``timeout`` is in microseconds.

    ``kind`` and ``plan`` are the indexes of the request's class and the customer's plan in the settings;
    ``set_first`` and ``set_size`` denote the gateways that the customer may use, as consecutive ranks.
    """

    customer: int
    kind: int
    plan: int
    timeout: int
    units: float
    set_size: int
    set_first: int
    is_repeat: bool


class Source(Protocol):
    """Producer of a streamed response: a host connection."""

    def pause(self) -> None:
        """Stop delivering chunks for now."""

    def resume(self) -> None:
        """Continue delivering chunks."""

    def abort(self) -> None:
        """Discard the rest, which nobody will read."""


class ClientSlot(Protocol):
    """The place of a request's answer on its client's connection."""

    def begin(self, length: int, source: Source) -> Sink | None:
        """Start a streamed response of ``length`` bytes; return what takes it, if it can be taken."""

    def is_client_gone(self) -> bool:
        """Return whether the client has closed its connection, even if the event loop has not noticed yet."""


class Sink(Protocol):
    """Consumer of a streamed response."""

    def write(self, data: bytes) -> None:
        """Take the next chunk."""

    def end(self) -> None:
        """Complete the response."""

    def fail(self) -> None:
        """Abort the response, as the rest of it will not come."""


NEVER_RAN = (api.Outcome.FULL, api.Outcome.NOT_CONNECTED, api.Outcome.NEVER_SENT)
Body = tuple[bytes, ...]  # a large body, in the chunks in which it was received


def _discard_reply(reply: bytes) -> None:
    """Take a reply that nobody waits for."""


@dataclass(slots=True, eq=False)
class Call:
    """A client's request: the command to send to hosts, its attempts and its state.

    It refers to the slot that waits for its answer and to its attempts, which refer to it. ``finish`` and
    ``release`` undo these cycles, so that its body is freed at once and not by the garbage collector, which
    counts objects instead of bytes and may not run for minutes.
    """

    event: api.RequestArrived
    # Command, customer, id, the terms before and after the value of ``d``, and optionally the body.
    parts: tuple[bytes | Body, ...]
    deadline: int  # clock time by which it must be answered
    answer: Callable[[bytes], None]
    slot: ClientSlot | None = None  # where its client waits; None for a request relayed by another process
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None
    finished: bool = False
    is_relayed: bool = False  # the successor process decides on it
    guarded_id: bytes | None = None  # the client's id, while it is unsafe to begin another request with it

    @property
    def has_open_attempts(self) -> bool:
        """Whether the outcome of an attempt is not known yet."""
        return not all(attempt.ended for attempt in self.attempts)

    def finish(self) -> None:
        """Record the final answer, and drop what was needed for it: the command, its body and the slot."""
        self.finished = True
        self.parts, self.answer, self.slot = (), _discard_reply, None

    def release(self) -> None:
        """Drop the timer and the attempts of a finished request, all of which have ended."""
        self.deadline_timer.cancel()
        self.attempts.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a host serve a request; it ends exactly once."""

    call: Call
    number: int
    server: api.Server
    sent_at: int
    expires_at: int
    send_by: int = 0  # clock time after which it must not be sent any more; 0: no limit
    list_version: int = 0  # of the host list that was held when it was decided on
    timer: asyncio.TimerHandle | None = None  # ends it if it has no outcome in time
    send_timer: asyncio.TimerHandle | None = None  # withdraws it if it is not sent by ``send_by``
    carrier: object = None  # the Connection it was sent on, or the Pool in which it waits for one
    fully_sent: bool = False  # the last byte has left the process: from then on the host may execute it
    outcome: api.Outcome | None = None  # None: it has not ended

    @property
    def ended(self) -> bool:
        """Whether its outcome is known."""
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        """Whether the host may have executed it, or may yet."""
        return self.fully_sent and self.outcome not in NEVER_RAN

    def end(self, outcome: api.Outcome) -> None:
        """Record the outcome, and stop the timers."""
        self.outcome = outcome
        for timer in (self.timer, self.send_timer):
            if timer:
                timer.cancel()
