"""A request in flight, its attempts, and what a streamed answer passes through."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from orchidlane import interface as api


@dataclass(frozen=True, slots=True)
class Terms:
    """What a client's command says of its request; wait in microseconds."""

    customer: int
    kind: int
    plan: int
    wait: int
    units: float
    spread: int
    first: int
    is_repeat: bool


class Source(Protocol):
    """Where the pieces of a large answer come from."""

    def pause(self) -> None:
        """Send no more pieces for now."""

    def resume(self) -> None:
        """Go on."""

    def abort(self) -> None:
        """Nobody wants the rest."""


class Sink(Protocol):
    """Where the pieces of a large answer go."""

    def begin(self, length: int, source: Source) -> None:
        """So many bytes will come."""

    def write(self, data: bytes) -> None:
        """Some of them."""

    def end(self) -> None:
        """They were all."""

    def fail(self) -> None:
        """The rest will never come."""

    def is_client_gone(self) -> bool:
        """Whether the client has closed its connection, seen by the loop or not."""


Body = tuple[bytes, ...]  # a large one, in the pieces that it came in


@dataclass(slots=True, eq=False)
class Call:
    """A client's request: what goes to hosts, and how it stands."""

    event: api.RequestArrived
    # Command, customer, id, terms before and after the value of ``d``, perhaps body.
    parts: tuple[bytes | Body, ...]
    deadline: int  # clock time by which it must be answered
    answer: Callable[[bytes], None]
    sink: Sink | None = None  # takes a large answer, and knows whether the client is there; None: a relay's
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None
    finished: bool = False
    is_relayed: bool = False  # the process that took over decides on it


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call to a host; it ends exactly once."""

    call: Call
    number: int
    server: api.Server
    sent_at: int
    expires_at: int
    send_by: int = 0  # clock time after which it may not be sent any more; 0: there is none
    timer: asyncio.TimerHandle | None = None
    carrier: object = None  # where hosts.py keeps what carries it
    fully_sent: bool = False  # its last byte has left: from then on it may run
    ended: bool = False
