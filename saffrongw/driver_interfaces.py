"""What the driver needs of others: the connections to hosts, the process that has taken over, the metrics."""

from __future__ import annotations

from typing import Protocol

from orchidlane import interface as api

from .calls import Attempt, Call
from .config import HostList


class Hosts(Protocol):
    """The connections to hosts, as implemented in ``hosts.py``."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""

    def abandon(self, attempt: Attempt) -> None:
        """Give up an attempt; its outcome is reported by the caller."""

    def is_delivered(self, attempt: Attempt) -> bool:
        """Return whether the host has received the whole request of an attempt."""

    def apply_host_list(self, host_list: HostList) -> list[Attempt]:
        """Apply an update of discovery's list; return queued attempts that must not be sent any more."""

    def accepts_requests(self, server: api.Server) -> bool:
        """Return whether discovery's newest list names the host as one that may get new requests."""

    def ban_host(self, server: api.Server) -> list[Attempt]:
        """Close a banned host's idle connections; return queued attempts that must not be sent any more."""


class Successor(Protocol):
    """The process that has taken over the state, as implemented in ``handover_server.py``."""

    def forward_request(self, call: Call) -> None:
        """Have the successor decide on a request; its answer comes back through ``answer_relayed``."""

    def client_gone(self, call: Call) -> None:
        """Report that the client of a relayed request has gone."""

    def forward_event(self, event: api.AttemptElsewhere | api.AttemptEnded | api.PeerMessage) -> None:
        """Forward an event that affects the successor's state."""


class Observer(Protocol):
    """Receives measurements for ``metrics.py``, if that is enabled; durations are in microseconds."""

    def request_finished(self, kind: int, outcome: str, server: api.Server, duration: int) -> None:
        """Record a request of this class that got its final answer, or whose client has gone.

        ``server`` is empty unless a host served it.
        """

    def attempt_finished(self, outcome: api.Outcome, server: api.Server, duration: int) -> None:
        """Record a finished attempt."""
