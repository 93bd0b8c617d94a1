"""The one state behind every answer to the question whether this process is ready to serve."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Readiness:
    """``HEALTH``, ``PING`` and the drain all ask here, so that they cannot say different things."""

    has_hosts: bool = False  # a list that names a host has been told
    serving: bool = False  # the clients' listener is ours
    left: bool = False  # an operator told it to leave
    ending: bool = False  # it was told to end
    has_duplicate_rank: bool = False  # another process runs under our rank
    handed_on: bool = False  # another process serves in its place

    @property
    def not_ready_reason(self) -> str:
        """Why nothing new should come to this process; empty: it should."""
        return "handed over to the next process" if self.handed_on else self.address_not_ready_reason

    @property
    def address_not_ready_reason(self) -> str:
        """Why nothing new should come to this address, whichever process serves it; empty: it should."""
        if self.handed_on:
            return ""
        if self.ending:
            return "ending"
        if self.has_duplicate_rank:
            return "another process runs under our rank: end one of them"
        if self.left:
            return "draining"
        if not self.has_hosts:
            return "no list of hosts yet"
        return "" if self.serving else "not listening yet"
