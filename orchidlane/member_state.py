"""What membership remembers and gives, as plain records. Nothing here decides: ``membership.py`` does."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .member_messages import Row, RowKind

SENT_KEPT = 16  # numbers of what was sent to a member, to know what it has not heard


class State(Enum):
    """What a member is taken to be."""

    UNKNOWN = "unknown"  # not heard of yet
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "gone"
    LEFT = "left"


ACTIVE_STATES = (State.ALIVE, State.SUSPECT)
WORDS = {
    State.ALIVE: RowKind.ALIVE,
    State.SUSPECT: RowKind.SUSPECT,
    State.DEAD: RowKind.DEAD,
    State.LEFT: RowKind.LEFT,
}


@dataclass(frozen=True, slots=True)
class Send:
    """Send this to one member."""

    rank: int
    body: bytes


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Something to be logged: ``name`` is member, link, stood_still, sure_again, unheard, cut_off or twin."""

    name: str
    fields: dict[str, object]


Action = Send | LogEvent


@dataclass(frozen=True, slots=True)
class View:
    """What decisions use. ``cut_off``: nobody is heard; ``unheard``: most of those we hear don't hear us;
    ``doubtful``: we stood still and know nothing fresh; ``active_of_total``: members that are here, of all that did not
    leave, oneself in both."""

    absent: frozenset[int] = frozenset()
    cut_off: bool = False
    unheard: bool = False
    doubtful: bool = False
    active_of_total: tuple[int, int] = (1, 1)


@dataclass(slots=True)
class Member:
    """One rank as it is known here; times by our clock, 0: never."""

    rank: int
    life: int = 0
    incarnation: int = 0
    state: State = State.UNKNOWN
    since: int = 0  # what a suspicion rests on: when the probe that failed was sent
    suspected_at: int = 0  # when its suspicion became known here
    checked: int = 0  # when we looked ourselves during that suspicion
    by_relay: int = 0  # probes in a row that only relays got answered
    cleared: int = 0  # when others' word ended our suspicion last
    clears: int = 0  # and how often since it spoke to us
    last_received: int = 0  # it spoke to us
    last_seen: int = 0  # it was there by anybody's word
    voucher: int = -1  # who heard it when we did not
    accusers: set[int] = field(default_factory=set)
    sure: bool = False  # another has held it gone after its whole suspicion
    number: int = 0  # highest number heard directly in this life
    window: int = 0  # bits of the numbers below it that were heard
    sent: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=SENT_KEPT))
    missing: int = 0  # since when it tells that it misses some of ours
    reported: int = 0  # highest number of ours that it told to have heard
    differs: bool = False  # its digest was not ours
    doubt: Row | None = None  # what others hold of it and we don't, to be told to it
    is_former: bool = False  # it spoke as a former self, and must be told


@dataclass(slots=True)
class Probe:
    """A ping that is out."""

    rank: int
    sent_at: int
    health: int
    stage: int = 0  # 1: sent once more, 2: others were asked
    missed_by: set[int] = field(default_factory=set)  # relays that are here and had no answer either
