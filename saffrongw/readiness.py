"""Readiness of this process: the single state that all readiness checks read."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Readiness:
    """State behind ``HEALTH``, ``PING`` and the drain, so that their answers cannot contradict each other."""

    has_hosts: bool = False  # a list with at least one host has been received
    serving: bool = False  # this process listens for clients
    draining: bool = False  # an operator ordered a drain, or this process yielded its rank
    drain_ordered: bool = False  # by an operator, at this process or at one before it: it outlives an upgrade
    shutting_down: bool = False  # the process received a signal to end
    has_duplicate_rank: bool = False  # another process runs with the same rank
    handed_over: bool = False  # the successor of an upgrade serves in place of this process

    @property
    def not_ready_reason(self) -> str:
        """Why this process should get no new connections; empty if it is ready."""
        return "handed over to the next process" if self.handed_over else self.address_not_ready_reason

    @property
    def address_not_ready_reason(self) -> str:
        """Why this address should get no new connections, whichever process serves it; empty if ready."""
        if self.handed_over:
            return "draining" if self.drain_ordered else ""
        if self.shutting_down:
            return "ending"
        if self.has_duplicate_rank:
            return "another process runs under our rank: end one of them"
        if self.draining:
            return "draining"
        if not self.has_hosts:
            return "no list of hosts yet"
        return "" if self.serving else "not listening yet"
