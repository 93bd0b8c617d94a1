"""The one state behind every answer to the question whether this process is ready to serve."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Readiness:
    """``HEALTH``, ``PING`` and the drain all ask here, so that they cannot say different things."""

    listed: bool = False  # a list that names a host has been told
    serving: bool = False  # the clients' listener is ours
    left: bool = False  # an operator told it to leave
    ending: bool = False  # it was told to end, or its work has gone to another process

    @property
    def why_not(self) -> str:
        """Why nothing new should come here; empty: it should."""
        if self.ending:
            return "ending"
        if self.left:
            return "draining"
        if not self.listed:
            return "no list of hosts yet"
        return "" if self.serving else "not listening yet"
