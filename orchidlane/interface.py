"""Interface of the decision module: settings and events go in, actions come out.

Times are integers in microseconds of the caller's clock. Servers are opaque, sortable bytes; requests and
customers are integers. The decisions themselves are in ``rules.py``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import ClassVar

Server = bytes


class Effect(enum.Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # any number of times
    KEYED = "keyed"  # servers drop repeats by key, within the dedup window
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """Which servers deduplicate keyed requests together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(enum.Enum):
    """Outcome of an attempt, a probe or a call to the shared counter."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"  # the server refused it without executing it
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"


class Cause(enum.Enum):
    """Why the gateway itself gave a final answer; for metrics only."""

    QUOTA = "quota"  # the customer's quota is used up
    CEILING = "ceiling"  # the customer's ceiling is reached
    SLOW = "slow"  # no server is expected to answer in time
    EXHAUSTED = "spent"  # no time or no attempts are left


class Phase(enum.Enum):
    """State of a server in discovery's list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(enum.Enum):
    """How a server list relates to the previous one."""

    CHANGES = 0
    WHOLE = 1
    CACHED = 2  # whole, known before discovery has answered
    FAILED = 3


class Reports(enum.Enum):
    """Where load reports come from."""

    INLINE = "inline"
    ON_PROBE = "on probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    target_latency: int
    deadline: int
    worth: float  # of an answer within the target latency
    late_worth: float  # of a later answer, as a part of ``worth``
    effect: Effect
    group: Group
    dedup_window: int  # how long servers remember the key of a request


@dataclass(frozen=True, slots=True)
class Plan:
    """Limits and prices of one plan; ``rate``, ``max_open`` or ``ceiling_rate`` 0 means no such limit."""

    rate: float  # units per second
    burst: float  # units
    max_open: int  # requests of a customer that may be open at once
    price: float
    beyond_earns: float
    beyond_costs: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a gateway, fixed at its start; ``rules.py`` does not use all of them."""

    rank: int
    gateways: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    may_tell_peers: bool
    may_probe: bool
    may_cancel: bool
    may_copy: bool
    max_attempts: int
    max_retry_after: int
    peer_intake: float  # messages a second that the gateway may send to its peers
    peer_charge: float
    probe_charge: float
    waste_charge: float
    cross_zone_charge: float
    has_counter: bool
    asks_for_list: bool
    ask_within: int
    reports: Reports
    report_names: tuple[str, ...]
    cold_from: float  # capacity of a server at its start, as a fraction of its capacity when warm
    warm_within: int  # time from its start until it is warm
    fall_multiple: float
    overload_for: int
    drain_grace: int


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of a list; ``launched`` 0 means long ago."""

    server: Server
    phase: Phase
    zone: int
    cell: int
    launched: int
    size: float


@dataclass(frozen=True, slots=True)
class ServerListed:
    """Discovery sent a server list, or failed to."""

    topic: ClassVar[str] = "server_listed"

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class ServerBanned:
    """Operators banned a server, whatever discovery reports about it, or lifted the ban."""

    topic: ClassVar[str] = "server_banned"

    server: Server
    banned: bool


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request.

    ``kind`` is the index of its class in the settings; ``set_first`` and ``set_size`` denote the gateways
    that the customer may use, as consecutive ranks.
    """

    topic: ClassVar[str] = "request_arrived"

    request: int
    customer: int
    plan: int
    kind: int
    units: float
    time_left: int
    set_first: int
    set_size: int
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Outcome of an attempt; ``answered`` means that the request needs no final answer any more."""

    topic: ClassVar[str] = "attempt_ended"

    request: int
    attempt: int
    server: Server
    outcome: Outcome
    duration: int
    answered: bool
    use: int
    true_units: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class AttemptElsewhere:
    """The previous process has an open attempt, during an upgrade; its units are spent already.

    Its end is reported by ``AttemptEnded``, like that of any other attempt.
    """

    topic: ClassVar[str] = "attempt_elsewhere"

    arrived: RequestArrived
    attempt: int
    server: Server
    sent: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun; the deadline no longer applies."""

    topic: ClassVar[str] = "stream_started"

    request: int
    attempt: int
    server: Server
    duration: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client closed its connection; the request needs no answer any more."""

    topic: ClassVar[str] = "client_gone"

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by ``SetTimer`` has expired."""

    topic: ClassVar[str] = "timer_fired"

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """Result of a probe."""

    topic: ClassVar[str] = "probe_ended"

    server: Server
    outcome: Outcome
    duration: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway; its bytes are untrusted."""

    topic: ClassVar[str] = "peer_message"

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The view of the membership protocol has changed.

    ``unavailable`` holds the ranks of gateways that are gone or have left. ``isolated``: this gateway itself
    is cut off, is not heard by most of the others, or was stalled and has no recent information.
    """

    topic: ClassVar[str] = "members_changed"

    unavailable: frozenset[int]
    isolated: bool


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """Result of a call to the shared counter."""

    topic: ClassVar[str] = "counter_answered"

    name: int
    outcome: Outcome
    value: float
    duration: int


Event = (
    ServerListed
    | ServerBanned
    | RequestArrived
    | AttemptEnded
    | AttemptElsewhere
    | StreamStarted
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | MembersChanged
    | CounterAnswered
)


@dataclass(frozen=True, slots=True)
class Send:
    """Begin an attempt.

    A ``deadline`` of 0 leaves it to the client's deadline. An attempt that waits for a connection must not be
    sent after ``send_by`` (0: no such limit).
    """

    request: int
    server: Server
    deadline: int
    send_by: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served; the client may safely retry."""

    request: int
    retry_after: int
    cause: Cause = field(default=Cause.EXHAUSTED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served; the request may have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a ``TimerFired`` after a delay."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another gateway."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for a load report."""

    server: Server


@dataclass(frozen=True, slots=True)
class WatchList:
    """Watch discovery's server list."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Fetch the whole server list once."""


Action = Send | Cancel | Refuse | Fail | SetTimer | SendPeerMessage | Probe | WatchList | FetchList
