"""Records of the membership protocol: states, actions, the view, members and probes.

The protocol itself is in ``membership.py``.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .member_messages import Row, RowKind

UNACKNOWLEDGED_MAX = 16  # messages to a member that are remembered, to detect which it did not receive


class State(Enum):
    """State of a member, as seen by this gateway."""

    UNKNOWN = "unknown"  # no message from it or about it yet
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "gone"
    LEFT = "left"


ACTIVE_STATES = (State.ALIVE, State.SUSPECT)
ROW_KINDS = {
    State.ALIVE: RowKind.ALIVE,
    State.SUSPECT: RowKind.SUSPECT,
    State.DEAD: RowKind.DEAD,
    State.LEFT: RowKind.LEFT,
}


@dataclass(frozen=True, slots=True)
class Send:
    """Send this datagram to the member with this rank."""

    rank: int
    body: bytes


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event to be logged: ``name`` is member, link, stood_still, sure_again, unheard, cut_off or twin."""

    name: str
    fields: dict[str, object]


Action = Send | LogEvent


@dataclass(frozen=True, slots=True)
class View:
    """The part of the membership state that the gateway's decisions depend on.

    ``absent``: members that are dead or have left; ``cut_off``: no messages are received from anyone;
    ``outbound_down``: most members that we receive from do not receive our messages; ``doubtful``: this
    process was paused and has not yet received fresh messages from enough members; ``active_of_total``:
    number of active members, and of all that have not left, this gateway included in both.
    """

    absent: frozenset[int] = frozenset()
    cut_off: bool = False
    outbound_down: bool = False
    doubtful: bool = False
    active_of_total: tuple[int, int] = (1, 1)


@dataclass(slots=True)
class Member:
    """What is known of another member; times by the local clock, 0: never."""

    rank: int
    life: int = 0
    incarnation: int = 0
    state: State = State.UNKNOWN
    evidence_at: int = 0  # time of the evidence for a suspicion: when the failed probe was sent
    suspected_at: int = 0  # when the suspicion became known here
    suspect_probed_at: int = 0  # when we probed it ourselves during that suspicion
    indirect_acks: int = 0  # consecutive probes that were answered through relays only
    cleared_at: int = 0  # when evidence from others last ended our suspicion
    clear_count: int = 0  # how often they did since the last message received from it
    last_received: int = 0  # last message received from it directly
    last_seen: int = 0  # last time that any member received a message from it
    witness: int = -1  # member that received from it when we did not
    accusers: set[int] = field(default_factory=set)
    reported_dead: bool = False  # another member has declared it dead after a full suspicion timeout
    highest_received: int = 0  # highest sequence number received directly in this life
    received_window: int = 0  # bitmap of the sequence numbers below that were received
    unacknowledged: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=UNACKNOWLEDGED_MAX))
    missing_since: int = 0  # since when it reports that some of our messages are missing
    acknowledged: int = 0  # highest of our sequence numbers that it reported as received
    digest_differs: bool = False  # the digest in its last message was not ours
    rumor: Row | None = None  # a claim of others that we do not share, to be sent to it for refutation
    has_old_life: bool = False  # it sent a message with an outdated life, and must be told the newer one


@dataclass(slots=True)
class Probe:
    """A ping that has not been answered yet."""

    rank: int
    sent_at: int
    health: int  # local health when it was sent; its timeouts are scaled by it
    stage: int = 0  # 1: ping repeated, 2: relays were asked
    nacked_by: set[int] = field(default_factory=set)  # reachable relays that got no answer either
