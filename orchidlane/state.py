"""What a gateway remembers, as plain records. Nothing here decides anything: ``rules.py`` does."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace

from . import interface as api

NAMES_MAX = 4096  # names of servers, those of machines long gone too


@dataclass(slots=True)
class Account:
    """One customer: counts by rank as (start, value), the limit."""

    customer: int
    placement: tuple[int, int, int]  # plan, first gateway and size of its set, as told
    limit: float
    refilled_at: int
    counts: dict[int, tuple[int, float]] = field(default_factory=dict)
    counted: float = 0.0  # the sum of the counts, those of earlier lives too
    total: float = 0.0  # all units known to be spent: the counts, and what tellers knew besides
    recent_ranks: tuple[int, ...] = ()  # ranks whose counts changed last, the latest at the end
    unconfirmed: bool = True  # no other gateway has told of it yet
    open_attempts: int = 0
    peer_approvals: tuple[int, ...] = ()  # when others' latest approvals became known
    broadcast_at: int = 0  # when its set was last told
    ceiling_tokens: float = 0.0  # units that its ceiling lets us send
    requested_tokens: float = 0.0  # rights asked for and not yet given
    waiting_units: dict[int, float] = field(
        default_factory=dict
    )  # units of requests that await a keeper's word
    # By rank: units that are counted in and not yet told as spent, since when.
    reserved: dict[int, tuple[float, int]] = field(default_factory=dict)
    throttled: bool = False  # it was fast and spent nearly all: refused until a good part is back
    isolated_share: float = (
        0.0  # of the quota that is granted here alone, while this gateway is cut off; 0: it is not
    )

    @property
    def plan(self) -> int:
        """Its plan's number."""
        return self.placement[0]

    @property
    def first(self) -> int:
        """The first gateway of its set."""
        return self.placement[1]

    @property
    def size(self) -> int:
        """How many gateways its set has."""
        return self.placement[2]

    @property
    def remaining(self) -> float:
        """The limit less all that was spent."""
        return self.limit - self.total


@dataclass(slots=True)
class HealthStats:
    """What requests met lately, at one server or at all."""

    updated_at: int  # when it last taught us something
    slowdown: float = 1.0
    typical_load: float = 2.0  # load that its answer times were met under
    failures: float = 0.0

    def decayed(self, now: int, time_constant: int, prior=(1.0, 2.0)) -> tuple[tuple[float, float], float]:
        """How slow it is, under which load, and how often it failed, each faded by the time since it taught
        us something: slowness and load together, for one means nothing without the other."""
        fade = math.exp((self.updated_at - now) / time_constant)
        slow, typical = prior
        faded_slow = slow + (self.slowdown - slow) * fade
        faded_typical = typical + (self.typical_load - typical) * fade
        return (faded_slow, faded_typical), self.failures * fade

    def decay(self, now: int, time_constant: int) -> None:
        """Bring the marks up to now."""
        (self.slowdown, self.typical_load), self.failures = self.decayed(now, time_constant)
        self.updated_at = now


@dataclass(slots=True)
class Host(HealthStats):
    """A server: what discovery says and what requests met."""

    entry: api.ServerEntry = field(kw_only=True)
    open_attempts: int = 0
    last_active: int = 0  # last answer, or when the first of those out was sent
    open_connections: int = 0  # connections that it answered on of late

    def group_id(self, group: api.Group) -> int:
        """What two servers have in common that drop each other's repeats."""
        return {api.Group.ALL: 0, api.Group.ZONE: self.entry.zone, api.Group.CELL: self.entry.cell}[group]


class Pool:
    """Servers in a list to draw from; adding and removing one costs the same at any size."""

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self.positions: dict[api.Server, int] = {}

    def add(self, host: Host) -> None:
        """Put a server in, once."""
        if host.entry.server not in self.positions:
            self.positions[host.entry.server] = len(self.hosts)
            self.hosts.append(host)

    def remove(self, server: api.Server) -> None:
        """Take a server out; the last one fills its place."""
        position = self.positions.pop(server, None)
        if position is not None:
            last = self.hosts.pop()
            if position < len(self.hosts):
                self.hosts[position] = last
                self.positions[last.entry.server] = position


@dataclass(slots=True)
class Attempt:
    """One send; ran means that it may have run."""

    host: Host
    sent_at: int
    load: float
    concurrency: int = 0  # attempts that were out here
    is_open: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class Request:
    """A request that is owed an answer."""

    event: api.RequestArrived
    request_class: api.RequestClass
    deadline: int
    cold_draw: float = 0.0  # drawn anew for each attempt: which cold server it may try
    account: Account | None = None  # known once it is looked at
    owner_index: int = 0  # the number of the keeper that was asked last
    owner_queries: int = 0  # times that one was asked
    owner_replied: bool = False  # it has answered
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def first_possibly_executed(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    @property
    def dedup_window_end(self) -> int:
        """When hosts may have forgotten the first attempt that may have run; 0: none may, or it may always
        be repeated."""
        first = self.first_possibly_executed
        if first is None or self.request_class.effect is not api.Effect.KEYED:
            return 0
        return first.sent_at + self.request_class.dedup_window

    @property
    def open_attempts(self) -> list[Attempt]:
        """Those of its attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.is_open]

    def retry_after(self, plans: tuple[api.Plan, ...], reopen: float, most: float) -> int:
        """How long until its customer's quota holds enough to let it in; 0: not known, or more than most."""
        if (account := self.account) is None or not (plan := plans[account.plan]).rate:
            return 0
        enough = reopen * plan.burst if account.throttled else self.event.units
        span = int(max(0.0, enough - account.remaining) / plan.rate * 1_000_000)
        return span if span <= most else 0


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    sent_at: int
    rank: int
    customer: int
    owner_index: int


class GatewayState:
    """All that a gateway holds, empty at its start."""

    def __init__(self) -> None:
        self.accounts: dict[int, Account] = {}
        self.idle_queue: deque[int] = deque()  # customers, in the order of their next look
        self.pending_gossip: dict[int, None] = {}  # customers whose counts changed since they were told

        self.last_received: dict[int, int] = {}  # rank -> when it was last heard
        self.any_received_at = 0  # when any other gateway was heard last
        # rank -> questions left without an answer, the last one
        self.unanswered_queries: dict[int, tuple[int, int]] = {}
        self.unresponsive: set[int] = set()  # ranks that left a question without an answer since then
        self.pending_answers: deque[PendingAnswer] = deque()  # when, rank, customer, which keeper

        self.hosts: dict[api.Server, Host] = {}
        self.server_names: dict[api.Server, None] = {}  # ever listed; the one listed anew last stands last
        self.banned: dict[api.Server, None] = {}  # taken out by operators
        self.reinstated: dict[api.Server, tuple[int, int]] = {}  # put back: until when, from when to try it
        self.warm_stats = HealthStats(0)  # by all servers together that are warm / cold
        self.cold_stats = HealthStats(0)
        self.zone_stats: dict[int, HealthStats] = {}  # by those of one zone
        self.warm = Pool()
        self.cold = Pool()
        self.cell_pools: dict[int, Pool] = {}
        self.zone_pools: dict[int, Pool] = {}
        self.warming: deque[Host] = deque()  # servers in the order of their listing, until they are warm

        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], tuple[Attempt, Request]] = {}
        self.actions: list[api.Action] = []

    def begin_attempt(self, request: Request, attempt: Attempt) -> None:
        """Count one more attempt in."""
        attempt.host.open_attempts += 1
        request.account.open_attempts += 1
        self.attempts[request.event.request, len(request.attempts)] = attempt, request
        request.attempts.append(attempt)

    def finish_attempt(self, request_id: int, number: int) -> tuple[Attempt, int]:
        """Count an attempt out; it and its request's class."""
        attempt, request = self.attempts.pop((request_id, number))
        attempt.is_open = False
        attempt.host.open_attempts -= 1
        request.account.open_attempts -= 1
        return attempt, request.event.kind

    def apply_server_list(self, event: api.ServerListed, now: int) -> list[Host]:
        """Bring the servers up to date with discovery; those that are ready and new or started anew."""
        if event.kind is not api.ListKind.CHANGES:
            told = {entry.server for entry in event.entries}
            for server in [s for s in self.hosts if s not in told]:
                self._remove_server(server)
        fresh = []
        for entry in event.entries:
            if entry.phase is api.Phase.GONE:
                self._remove_server(entry.server)
                continue
            host = self.hosts.get(entry.server)
            anew = host is None or entry.launched > host.entry.launched
            was_ready = host is not None and host.entry.phase is api.Phase.READY
            if host is not None and (anew or entry.phase is not api.Phase.READY):
                self._remove_from_pools(host)
            if host is None or anew:
                host = self.hosts[entry.server] = Host(now, entry=entry)
                self._remember_name(entry.server)
            host.entry = entry
            self.zone_stats.setdefault(entry.zone, HealthStats(0))
            if self.is_usable(host) and (anew or not was_ready):
                fresh.append(self._add_to_pools(host))
        return fresh

    def is_usable(self, host: Host) -> bool:
        """Whether discovery lists it as ready, and operators did not take it out."""
        return host.entry.phase is api.Phase.READY and host.entry.server not in self.banned

    def ban(self, server: api.Server) -> None:
        """Out, whatever discovery tells from now on."""
        self.banned[server] = None
        self.reinstated.pop(server, None)
        if host := self.hosts.get(server):
            self._remove_from_pools(host)

    def lift_ban(self, server: api.Server) -> list[Host]:
        """What discovery says holds again; the server, if it is ready."""
        del self.banned[server]
        host = self.hosts.get(server)
        return [self._add_to_pools(host)] if host and self.is_usable(host) else []

    def promote_oldest(self) -> None:
        """The server that was listed first joins the warm ones, if it still runs."""
        host = self.warming.popleft()
        if self.hosts.get(host.entry.server) is host and self.is_usable(host):
            self.cold.remove(host.entry.server)
            self.warm.add(host)

    def group_hosts(self, host: Host, group: api.Group) -> list[Host]:
        """The servers that share the group with this one, those that are cold too."""
        if group is api.Group.ALL:
            return self.warm.hosts
        pools = self.cell_pools if group is api.Group.CELL else self.zone_pools
        return pools[host.group_id(group)].hosts

    def _remove_server(self, server: api.Server) -> None:
        """It is gone: a machine that replaces it has another name, so it would be kept for good."""
        if host := self.hosts.pop(server, None):
            self._remove_from_pools(host)
            host.entry = replace(host.entry, phase=api.Phase.GONE)  # for requests that were sent to it

    def _remember_name(self, server: api.Server) -> None:
        """Keep a name that is listed; of those that are gone, as many as there is room for."""
        self.server_names.pop(server, None)
        self.server_names[server] = None
        while len(self.server_names) > NAMES_MAX:
            oldest = next((name for name in self.server_names if name not in self.hosts), None)
            if oldest is None:
                break
            del self.server_names[oldest]
            self.banned.pop(oldest, None)

    def _add_to_pools(self, host: Host) -> Host:
        self.cell_pools.setdefault(host.entry.cell, Pool()).add(host)
        self.zone_pools.setdefault(host.entry.zone, Pool()).add(host)
        return host

    def _remove_from_pools(self, host: Host) -> None:
        entry = host.entry
        for pool in (
            self.warm,
            self.cold,
            self.cell_pools.get(entry.cell),
            self.zone_pools.get(entry.zone),
        ):
            if pool is not None:
                pool.remove(entry.server)
