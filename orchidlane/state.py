"""State of a gateway: accounts of customers, servers, requests and attempts.

This module only keeps records; the decisions are in ``rules.py``. Times are in microseconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace

from . import interface as api

NAMES_MAX = 4096  # server names, including those of servers that no longer exist


@dataclass(slots=True)
class Account:
    """Quota state of one customer.

    ``counts`` is a grow-only counter with one entry per gateway: the rank maps to the time at which that
    gateway began to count (in ticks) and the units it has spent since.
    """

    customer: int
    placement: tuple[int, int, int]  # plan, first gateway and size of the customer's gateway set
    limit: float  # units that may be spent in total by now
    refilled_at: int
    counts: dict[int, tuple[int, float]] = field(default_factory=dict)
    counted: float = 0.0  # sum of the counts, including those from before a gateway restarted
    total: float = 0.0  # all units known to be spent: the counts and the totals reported by peers
    recent_ranks: tuple[int, ...] = ()  # ranks whose counts changed last, the latest at the end
    unconfirmed: bool = True  # no peer has reported on this customer yet
    open_attempts: int = 0
    peer_approvals: tuple[int, ...] = ()  # when the latest approvals by peers became known here
    broadcast_at: int = 0  # when the gateway set was last notified
    ceiling_tokens: float = 0.0  # units that may be sent under the plan's ceiling
    requested_tokens: float = 0.0  # ceiling tokens requested from the owner and not granted yet
    waiting_units: dict[int, float] = field(default_factory=dict)  # by request that awaits the owner's answer
    # By rank: units promised to that gateway, which its count does not contain yet, and when.
    reserved: dict[int, tuple[float, int]] = field(default_factory=dict)
    throttled: bool = False  # nearly all is spent: refused until part of the burst has refilled
    # Part of the quota that this gateway grants on its own while it is isolated; 0: it is not isolated.
    isolated_share: float = 0.0

    @property
    def plan(self) -> int:
        """Index of the plan in the settings."""
        return self.placement[0]

    @property
    def set_first(self) -> int:
        """Rank of the first gateway in the customer's gateway set."""
        return self.placement[1]

    @property
    def set_size(self) -> int:
        """Number of gateways in the customer's gateway set."""
        return self.placement[2]

    @property
    def remaining(self) -> float:
        """Units that may still be spent."""
        return self.limit - self.total


@dataclass(slots=True)
class HealthStats:
    """Recent response times, load and failures of one server or of a group of servers."""

    updated_at: int
    slowdown: float = 1.0  # response time as a multiple of the usual one
    typical_load: float = 2.0  # load under which these response times were measured
    failures: float = 0.0

    def decayed(self, now: int, time_constant: int, prior=(1.0, 2.0)) -> tuple[tuple[float, float], float]:
        """Return the slowdown with its load, and the failures, as they are now.

        They decay exponentially with the time since the last update: slowdown and load towards ``prior``,
        failures towards 0. Slowdown and load belong together, as neither means anything without the other.
        """
        weight = math.exp((self.updated_at - now) / time_constant)
        slowdown, load = prior
        decayed_slowdown = slowdown + (self.slowdown - slowdown) * weight
        decayed_load = load + (self.typical_load - load) * weight
        return (decayed_slowdown, decayed_load), self.failures * weight

    def decay(self, now: int, time_constant: int) -> None:
        """Replace the values by their decayed ones, before an update."""
        (self.slowdown, self.typical_load), self.failures = self.decayed(now, time_constant)
        self.updated_at = now


@dataclass(slots=True)
class Host(HealthStats):
    """A server: its entry in discovery's list and its recent health."""

    entry: api.ServerEntry = field(kw_only=True)
    open_attempts: int = 0
    last_active: int = 0  # time of the last answer; of the first open attempt if that is later
    open_connections: int = 0  # estimate: connections on which it answered recently

    def group_id(self, group: api.Group) -> int:
        """Return the identifier shared by the servers that deduplicate requests together."""
        return {api.Group.ALL: 0, api.Group.ZONE: self.entry.zone, api.Group.CELL: self.entry.cell}[group]


class Pool:
    """Servers in a list to sample from; adding and removing takes constant time."""

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self.positions: dict[api.Server, int] = {}

    def add(self, host: Host) -> None:
        """Add a server unless it is in the pool."""
        if host.entry.server not in self.positions:
            self.positions[host.entry.server] = len(self.hosts)
            self.hosts.append(host)

    def remove(self, server: api.Server) -> None:
        """Remove a server if it is in the pool; the last one takes its position."""
        position = self.positions.pop(server, None)
        if position is not None:
            last = self.hosts.pop()
            if position < len(self.hosts):
                self.hosts[position] = last
                self.positions[last.entry.server] = position


@dataclass(slots=True)
class Attempt:
    """One send of a request to a server."""

    host: Host
    sent_at: int
    load: float  # of the server when it was sent
    concurrency: int = 0  # open attempts of this gateway when it was sent
    is_open: bool = True
    may_have_run: bool = True  # false once its outcome rules out that the server executed it


@dataclass(slots=True)
class Request:
    """A request that has no final answer yet."""

    event: api.RequestArrived
    request_class: api.RequestClass
    deadline: int
    cold_draw: float = 0.0  # random number, drawn again for each attempt: selects a cold server
    account: Account | None = None  # set when the request is checked against the quota
    owner_index: int = 0  # candidate owner that was queried last
    owner_queries: int = 0
    owner_replied: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def first_possibly_executed(self) -> Attempt | None:
        """The first attempt that the server may have executed."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    @property
    def dedup_window_end(self) -> int:
        """When servers may have forgotten the key of the first attempt that may have been executed.

        0 where no attempt may have been executed, or where the class does not deduplicate by key.
        """
        first = self.first_possibly_executed
        if first is None or self.request_class.effect is not api.Effect.KEYED:
            return 0
        return first.sent_at + self.request_class.dedup_window

    @property
    def open_attempts(self) -> list[Attempt]:
        """The attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.is_open]

    def retry_after(self, plans: tuple[api.Plan, ...], resume_above: float, longest: float) -> int:
        """Return the time until the quota holds enough for this request, 0 if unknown or over ``longest``."""
        if (account := self.account) is None or not (plan := plans[account.plan]).rate:
            return 0
        needed = resume_above * plan.burst if account.throttled else self.event.units
        delay = int(max(0.0, needed - account.remaining) / plan.rate * 1_000_000)
        return delay if delay <= longest else 0


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """A query sent to another gateway, to be checked for an answer."""

    sent_at: int
    rank: int
    customer: int
    owner_index: int  # candidate owner that was queried, or ``rules.NO_OTHER_OWNER``


class GatewayState:
    """All state of a gateway, empty at its start."""

    def __init__(self) -> None:
        self.accounts: dict[int, Account] = {}
        # Customers in the order in which they are checked for eviction.
        self.idle_queue: deque[int] = deque()
        self.pending_gossip: dict[int, None] = {}  # customers with changes not yet sent to any peer

        self.last_received: dict[int, int] = {}  # by rank: time of its last message
        self.any_received_at = 0  # time of the last message from any gateway
        self.unanswered_queries: dict[int, tuple[int, int]] = {}  # by rank: their number, time of the last
        self.silent_peers: set[int] = set()  # ranks that left a query unanswered since ``any_received_at``
        self.pending_answers: deque[PendingAnswer] = deque()

        self.hosts: dict[api.Server, Host] = {}
        self.server_names: dict[api.Server, None] = {}  # all names ever listed, the latest at the end
        self.banned: dict[api.Server, None] = {}  # taken out by operators
        self.reinstated: dict[api.Server, tuple[int, int]] = {}  # end of the trials, earliest next trial
        self.warm_stats = HealthStats(0)  # of all warm servers together
        self.cold_stats = HealthStats(0)
        self.zone_stats: dict[int, HealthStats] = {}
        self.warm = Pool()
        self.cold = Pool()
        self.cell_pools: dict[int, Pool] = {}
        self.zone_pools: dict[int, Pool] = {}
        self.warming: deque[Host] = deque()  # servers in the order of listing, until they are warm

        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], tuple[Attempt, Request]] = {}
        self.actions: list[api.Action] = []

    def begin_attempt(self, request: Request, attempt: Attempt) -> None:
        """Register an open attempt."""
        attempt.host.open_attempts += 1
        request.account.open_attempts += 1
        self.attempts[request.event.request, len(request.attempts)] = attempt, request
        request.attempts.append(attempt)

    def finish_attempt(self, request_id: int, number: int) -> tuple[Attempt, int]:
        """Close an open attempt. Return it and the index of its request's class."""
        attempt, request = self.attempts.pop((request_id, number))
        attempt.is_open = False
        attempt.host.open_attempts -= 1
        request.account.open_attempts -= 1
        return attempt, request.event.kind

    def apply_server_list(self, event: api.ServerListed, now: int) -> list[Host]:
        """Apply a list from discovery, of any kind but FAILED.

        Return the usable servers that are new, restarted or ready again, for the caller to add to ``warm`` or
        ``cold``.
        """
        if event.kind is not api.ListKind.CHANGES:
            listed = {entry.server for entry in event.entries}
            for server in [s for s in self.hosts if s not in listed]:
                self._remove_server(server)
        added = []
        for entry in event.entries:
            if entry.phase is api.Phase.GONE:
                self._remove_server(entry.server)
                continue
            host = self.hosts.get(entry.server)
            is_new = host is None or entry.launched > host.entry.launched
            was_ready = host is not None and host.entry.phase is api.Phase.READY
            if host is not None and (is_new or entry.phase is not api.Phase.READY):
                self._remove_from_pools(host)
            if host is None or is_new:
                host = self.hosts[entry.server] = Host(now, entry=entry)
                self._remember_name(entry.server)
            host.entry = entry
            self.zone_stats.setdefault(entry.zone, HealthStats(0))
            if self.is_usable(host) and (is_new or not was_ready):
                added.append(self._add_to_pools(host))
        return added

    def is_usable(self, host: Host) -> bool:
        """Return whether discovery lists the server as ready and operators have not banned it."""
        return host.entry.phase is api.Phase.READY and host.entry.server not in self.banned

    def ban(self, server: api.Server) -> None:
        """Take a server out of use, whatever discovery reports from now on."""
        self.banned[server] = None
        self.reinstated.pop(server, None)
        if host := self.hosts.get(server):
            self._remove_from_pools(host)

    def lift_ban(self, server: api.Server) -> list[Host]:
        """Lift a ban, so that discovery's list applies again. Return the server if it is usable."""
        del self.banned[server]
        host = self.hosts.get(server)
        return [self._add_to_pools(host)] if host and self.is_usable(host) else []

    def promote_oldest(self) -> None:
        """Move the server that has been warming longest to the warm ones, unless it was removed."""
        host = self.warming.popleft()
        if self.hosts.get(host.entry.server) is host and self.is_usable(host):
            self.cold.remove(host.entry.server)
            self.warm.add(host)

    def group_hosts(self, host: Host, group: api.Group) -> list[Host]:
        """Return the servers that deduplicate together with this one; for a cell or a zone also cold ones."""
        if group is api.Group.ALL:
            return self.warm.hosts
        pools = self.cell_pools if group is api.Group.CELL else self.zone_pools
        return pools[host.group_id(group)].hosts

    def _remove_server(self, server: api.Server) -> None:
        """Drop a server: a replacement has another name, so it would otherwise be kept forever."""
        if host := self.hosts.pop(server, None):
            self._remove_from_pools(host)
            host.entry = replace(host.entry, phase=api.Phase.GONE)  # open requests still refer to it

    def _remember_name(self, server: api.Server) -> None:
        """Keep the name of a listed server, and drop the oldest unlisted names beyond the limit."""
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
