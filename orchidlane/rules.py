"""All decisions of a gateway; its types, events and actions are in ``orchidlane/interface.py``.

A request arrives, is checked against its customer's quota, and is sent to the server that is expected to
answer soonest. Depending on the outcome it is retried on another server, until it has exactly one final
answer. Every send passes ``_send_attempt``; every final answer that the gateway itself gives passes
``_reject``.

Units spent are counted in grow-only counters (G-counters) with one entry per gateway, spread by gossip
within the customer's gateway set. One gateway of the set, the customer's owner, is notified of each approval,
so that it knows what is spent. It also grants ceiling tokens to the others.
"""

from __future__ import annotations

import random
from itertools import islice

from . import interface as api
from . import messages
from .interface import Cause, Effect, Group, ListKind, Outcome
from .state import Account, Attempt, GatewayState, HealthStats, Host, PendingAnswer, Request

MS, SECOND = 1_000, 1_000_000  # microseconds

# Gossip

INTAKE_SHARE = 0.8  # of the allowed message rate that is used; the rest absorbs jitter
GOSSIP_INTERVAL = 300 * MS  # urgent changes are broadcast at once
FAN_OUT = 12  # gateways notified directly by a broadcast; each forwards it to its section of the set
ROW_COUNTS_MAX = 3  # counts per row; the total in the row covers the counts that are left out

# Customers examined per message and per eviction pass, to bound the work of one event.
GOSSIP_SCAN_MAX = 32
IDLE_SCAN_MAX = 3
EVICTION_SCAN_MAX = 8  # when the table of accounts is full

ACCOUNTS_MAX = 100_000  # in the table, unless the caller sets another number

MESSAGE_AGE_MAX = 5 * SECOND  # messages older than this, or dated this far ahead, are dropped

# Fractions of the burst. Below the first a customer is throttled, until the second is available again.
THROTTLE_BELOW = 0.25
RESUME_ABOVE = 0.6

# An owner that sent nothing for this long is asked to answer; without an answer within the same time the next
# candidate is notified.
ANSWER_TIMEOUT = 200 * MS
OWNER_HASH_MULTIPLIER = 2_654_435_761  # spreads customers over the gateways of their sets
OWNER_CANDIDATES = 3  # gateways of a set that are tried as owner
OWNER_WAIT_TIMEOUT = 100 * MS  # longest wait of a request for the owner's answer
NEW_COUNT_TICKS = 1000 // messages.TICK_MS  # 1 s: an unknown count that began earlier is in the total already
OWNER_QUERIES_MAX = 2  # per request, as the query or the answer may be lost
ISOLATION_SILENT_PEERS_MIN = 4  # with this many and no message from any peer, this gateway is isolated
PEER_DRAWS_MAX = 4  # draws for an available peer; a round is skipped where most are unavailable

# Unanswered queries in a row after which a gateway is unresponsive for a while; a single one may be lost.
UNANSWERED_QUERIES_MAX = 2
NO_OTHER_OWNER = -1  # owner index of a query after which no other candidate is notified

# Servers

CONCURRENCY_SMOOTHING = 8.0  # open attempts added to both sides of a comparison, against small-number noise
BASE_LOAD = 2.0  # requests added to a server's open attempts, so that first estimates are similar
INITIAL_TARGET_SHARE = 0.25  # of the target latency: the first and the largest usual response time
EWMA_WEIGHT = 0.15  # weight of the newest sample in moving averages

# Time constant by which health stats decay, so that traffic returns gradually. Also the time until an
# unresponsive gateway is queried again.
DECAY_TIME = 3 * SECOND

SLOWDOWN_MAX = 8.0  # cap on the slowdown that a single answer may show
FAILURE_WEIGHT = 3.0  # relative increase of the expected response time per recent failure
CANDIDATES_MAX = 12  # servers compared for one request
HANDSHAKE_PENALTY = 0.5  # extra cost of a server without a free connection: one more request at idle load
CONNECTION_IDLE_TIMEOUT = 5 * SECOND  # connections are assumed closed this long after the last answer
COST_JITTER = 0.1  # random part of the cost, so that gateways do not pick the same server

# A reinstated server gets trial requests for this time or until it answers, no more often than the interval.
REINSTATED_TRIAL_TIME = 5 * SECOND
REINSTATED_TRIAL_INTERVAL = SECOND
REINSTATED_TRIALS_MAX = 4  # of all gateways per overload period, as the server may come back cold
COLD_SHARE_FACTOR = 0.9  # of a cold server's fair share that is used, as a margin

# Attempts

DEADLINE_MARGIN = 30 * MS  # before the deadline, for the final answer to arrive in time
SERVER_RETRY_INTERVAL = 20 * MS  # between searches for a server while none is usable

# Retries allowed per request on average, and the largest saved budget, against retry storms.
RETRY_BUDGET_RATIO = 0.05
RETRY_BUDGET_MAX = 5.0

# Of the time between usual response time and target latency: the part that the expected response time may
# take up. Requests expected to take longer are shed.
SHED_SHARE = 0.15

# Of the target latency: longest retry-after given to a client. A client that waits longer would spend quota
# on an answer that is late.
RETRY_AFTER_SHARE = 0.15

NEVER_RAN = (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT)

# Timer tokens. The token of a request's timer is its number + 1.
GOSSIP_TIMER = 0
ANSWER_TIMER = 1 << 40


class Gateway(GatewayState):
    """The decisions of one gateway: the caller feeds events with the time and carries out the actions."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        super().__init__()
        self.settings = settings
        self.random = random.Random(seed)
        self.now = now
        self.rank = settings.rank
        self.gossip_disabled = not settings.may_tell_peers

        # Usual response times, by the index of the request class.
        self.usual_times = [INITIAL_TARGET_SHARE * c.target_latency for c in settings.classes]
        self.retry_budget = RETRY_BUDGET_MAX
        self.next_trial_at = 0.0  # earliest time of the next trial request in an overload
        self.typical_concurrency = CONCURRENCY_SMOOTHING

        self.accounts_max = ACCOUNTS_MAX

        self.membership: api.MembersChanged | None = None  # None: not used, peers are judged by silence
        self.unavailable: frozenset[int] = frozenset()
        self.send_rate = INTAKE_SHARE * settings.peer_intake
        self.send_allowance = self.send_rate
        self.allowance_refilled_at = now

    def start(self) -> list[api.Action]:
        """Return the actions to begin with."""
        actions: list[api.Action] = [api.SetTimer(GOSSIP_INTERVAL, GOSSIP_TIMER)]
        if self.settings.asks_for_list:
            actions.append(api.WatchList())
        return actions

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle one event by the method named after its topic. Return the actions to carry out."""
        self.now = now
        self.actions = []
        # Streams, probes and the shared counter need no decision and have no method.
        if method := getattr(self, f"_{event.topic}", None):
            method(event)
        return self.actions

    # -- admission and sending ----------------------------------------------------------------------------

    def _request_arrived(self, event: api.RequestArrived) -> None:
        request_class = self.settings.classes[event.kind]
        request = Request(event, request_class, self.now + event.time_left, self.random.random())
        self.requests[event.request] = request
        self.retry_budget = min(RETRY_BUDGET_MAX, max(0.0, self.retry_budget) + RETRY_BUDGET_RATIO)
        self._advance(request)
        self._evict_idle()

    def _advance(self, request: Request) -> None:
        """Take the next step for a request that has no final answer yet: send, wait or reject."""
        latest_send = self._latest_send_time(request)
        if self.now >= latest_send or len(request.attempts) >= self.settings.max_attempts:
            self._reject(request)
            return

        is_first = not request.attempts
        if is_first and (cause := self._refusal_cause(request)):
            # The owner may grant tokens for a ceiling that is used up here.
            if cause is not Cause.CEILING or not self._query_owner(request, 1, latest_send):
                self._reject(request, cause)
            return

        host = self._choose_server(request)
        if host is None:
            delay = min(SERVER_RETRY_INTERVAL, latest_send - self.now)
            self.actions.append(api.SetTimer(delay, request.event.request + 1))
            return

        if is_first and self._should_shed(request, host):
            if host.open_attempts or self.now < self.next_trial_at:
                self._reject(request, Cause.SLOW)
                return
            # A trial request: without any traffic the gateway would not learn that the overload is over.
            self.next_trial_at = self.now + INITIAL_TARGET_SHARE * request.request_class.target_latency

        asks_owner = is_first and self._outruns_gossip(request.account)
        if asks_owner and self._query_owner(request, OWNER_CANDIDATES, latest_send):
            return
        self._send_attempt(request, host)

    def _latest_send_time(self, request: Request) -> int:
        """Return the time at which a request that could not be sent is rejected.

        One that no server can have run is rejected after half of its time, so that its client can still
        retry elsewhere.
        """
        if any(attempt.may_have_run for attempt in request.attempts):
            margin = DEADLINE_MARGIN
        else:
            margin = max(DEADLINE_MARGIN, request.event.time_left // 2)
        return request.deadline - margin

    def _should_shed(self, request: Request, host: Host) -> bool:
        """Return whether the request is expected to be answered too late to be sent to this server.

        A request that the owner approved is sent anyway, as its units are spent there already. So is a trial
        request to a reinstated server.
        """
        if request.owner_replied or host.entry.server in self.reinstated:
            return False
        return self._expected_time(host, request.event.kind) > self._latency_limit(request)

    def _query_owner(self, request: Request, candidates: int, latest_send: int) -> bool:
        """Try to query the customer's owner, and return whether the request waits for the answer.

        Called where gossip is too slow, so that only the owner knows what is spent, or where it may have
        ceiling tokens to grant. ``candidates``: how many gateways of the set may be tried as its owner.
        """
        event = request.event
        account = request.account
        if request.owner_replied or request.owner_queries >= OWNER_QUERIES_MAX:
            return False
        index = self._responsive_owner(account, candidates, is_repeat=request.owner_queries > 0)
        if index is None:
            return False

        rank = self._owner(account, index)
        account.waiting_units[event.request] = event.units
        if self.settings.plans[account.plan].ceiling_rate:
            wanted = self._request_tokens(account)
        else:
            wanted = sum(account.waiting_units.values())
        row = self._pack_row(account, 0, wanted, include_own=True)
        if rank == self.rank or not self._send_message(
            rank, [row], account.customer, NO_OTHER_OWNER, to_owner=True
        ):
            del account.waiting_units[event.request]
            return False

        request.owner_index = index
        request.owner_queries += 1
        delay = min(OWNER_WAIT_TIMEOUT, latest_send - self.now)
        self.actions.append(api.SetTimer(delay, event.request + 1))
        return True

    def _responsive_owner(self, account: Account, candidates: int, is_repeat: bool) -> int | None:
        """Return the index of the first candidate owner that is available and answers queries."""
        for index in range(min(candidates, account.set_size)):
            rank = self._owner(account, index)
            if rank not in self.unavailable and not self._is_unresponsive(rank, is_repeat):
                return index
        return None

    def _refusal_cause(self, request: Request) -> Cause | None:
        """Return why a limit forbids the first attempt, None if it is allowed; sets the request's account."""
        # The account is looked up at each call, as an idle one may be evicted while the request waits.
        event = request.event
        account = self._account(event.customer, event.plan, event.set_first, event.set_size, trusted=True)
        request.account = account
        plan = self.settings.plans[account.plan]
        self._refill(account)

        if plan.max_open and self._open_requests(account, event.kind) >= plan.max_open:
            return Cause.QUOTA

        remaining = account.remaining
        if account.unconfirmed and self.rank in account.counts:
            # What peers spent is unknown, so this gateway grants only its share of the burst. The share does
            # not limit its first request, before which it has no count of its own.
            _, own_units = account.counts[self.rank]
            remaining = min(remaining, plan.burst / account.set_size - own_units)
        if plan.rate and (account.throttled or remaining < event.units):
            return Cause.QUOTA

        if plan.ceiling_rate and account.ceiling_tokens < event.units:
            return Cause.CEILING
        return None

    def _open_requests(self, account: Account, kind: int) -> int:
        """Count the customer's open requests; those approved by peers are assumed to take the usual time."""
        usual_time = self.usual_times[kind]
        recent_approvals = sum(self.now - at < usual_time for at in account.peer_approvals)
        return account.open_attempts + recent_approvals

    def _latency_limit(self, request: Request) -> float:
        """Return the expected response time above which a request is shed, so that answers stay in time."""
        usual_time = self.usual_times[request.event.kind]
        latest = min(request.request_class.target_latency, request.event.time_left)
        return usual_time + SHED_SHARE * max(0.0, latest - usual_time)

    def _choose_server(self, request: Request) -> Host | None:
        """Return the server expected to answer soonest among those that may run this request.

        A reinstated server that is due for a trial, or a cold one that was drawn, goes first.
        """
        if host := self._due_reinstated_server(request) or self._draw_cold_server(request):
            return host
        pool = self.warm.hosts
        first = request.first_possibly_executed
        if first is not None:
            pool = self.group_hosts(first.host, request.request_class.group)
        candidates = pool if len(pool) <= CANDIDATES_MAX else self.random.sample(pool, CANDIDATES_MAX)
        usable = [host for host in candidates if self._is_warm(host) and self._may_send(request, host)]
        return min(usable, key=lambda host: self._cost(request, host), default=None)

    def _cost(self, request: Request, host: Host) -> float:
        """Return the expected response time, raised where a handshake or a failure is likely.

        A failure is likely after failures in the server's zone, and where this request was sent there before.
        """
        cost = self._expected_time(host, request.event.kind)
        cost *= 1 + COST_JITTER * self.random.random()
        is_idle = self.now - host.last_active >= CONNECTION_IDLE_TIMEOUT
        if host.open_attempts >= host.open_connections or is_idle:
            cost *= 1 + HANDSHAKE_PENALTY
        _, zone_failures = self.zone_stats[host.entry.zone].decayed(self.now, DECAY_TIME)
        cost *= 1 + FAILURE_WEIGHT * zone_failures
        if any(attempt.host is host for attempt in request.attempts):
            cost *= 1 + FAILURE_WEIGHT
        return cost

    def _may_send(self, request: Request, host: Host) -> bool:
        """Return whether the request may be sent to this server without the risk of being executed twice.

        A keyed request that may have run may only be retried where its key is still known: at servers that
        deduplicate together with the first one, within the dedup window.
        """
        if not self.is_usable(host):
            return False
        request_class = request.request_class
        first = request.first_possibly_executed
        if first is None or request_class.effect is Effect.SAFE:
            return True
        if request_class.effect is Effect.UNSAFE or self.now >= request.dedup_window_end - DEADLINE_MARGIN:
            return False
        return host.group_id(request_class.group) == first.host.group_id(request_class.group)

    def _is_warm(self, host: Host) -> bool:
        launched = host.entry.launched
        return not launched or self.now - launched >= self.settings.warm_within

    def _due_reinstated_server(self, request: Request) -> Host | None:
        """Return a reinstated server that is due for a trial request.

        With little traffic it would otherwise not be chosen, as the others have better stats.
        """
        for server, (ends_at, next_at) in list(self.reinstated.items()):
            if self.now >= ends_at:
                del self.reinstated[server]
                continue
            if self.now < next_at:
                continue
            host = self.hosts.get(server)
            if host and self._may_send(request, host):
                interval = max(REINSTATED_TRIAL_INTERVAL, self._reinstated_trial_spacing())
                self.reinstated[server] = ends_at, self.now + interval
                return host
        return None

    def _reinstated_trial_spacing(self) -> int:
        """Return the interval of one gateway's trials that keeps those of all gateways below the limit."""
        return (self.settings.gateways - 1) * self.settings.overload_for // REINSTATED_TRIALS_MAX

    def _draw_cold_server(self, request: Request) -> Host | None:
        """Return the cold server that this attempt's random draw selects, if any (slow start).

        Each attempt draws one of all servers, and a cold one is used with a probability that grows with its
        capacity. Its share is thereby limited also if many gateways each send to it only rarely.
        """
        while self.warming and self._is_warm(self.warming[0]):
            self.promote_oldest()
        cold = self.cold.hosts
        draw = request.cold_draw * (len(cold) + len(self.warm.hosts))
        index, chance = divmod(draw, 1)
        if index >= len(cold):
            return None
        host = cold[int(index)]
        warm_fraction = max(0, self.now - host.entry.launched) / self.settings.warm_within
        capacity = self.settings.cold_from + (1 - self.settings.cold_from) * warm_fraction
        if chance < COLD_SHARE_FACTOR * capacity and self._may_send(request, host):
            return host
        return None

    def _send_attempt(self, request: Request, host: Host) -> None:
        """Send the request to a server; every send passes here.

        The first attempt spends the request's units.
        """
        if not request.attempts:
            # No longer waits for the owner: an answer that arrives later must not send the request again.
            request.account.waiting_units.pop(request.event.request, None)
            self._spend(request)
        if not host.open_attempts:
            if self.now - host.last_active >= CONNECTION_IDLE_TIMEOUT:
                host.open_connections = 0
            # From now on the server's silence counts against it.
            host.last_active = self.now
        # A retry that waits for a connection beyond the dedup window might be executed a second time.
        window_end = request.dedup_window_end
        send_by = window_end - DEADLINE_MARGIN if window_end else 0
        attempt = Attempt(host, self.now, host.open_attempts + BASE_LOAD, len(self.attempts))
        self.begin_attempt(request, attempt)
        request.cold_draw = self.random.random()
        self.actions.append(api.Send(request.event.request, host.entry.server, request.deadline, send_by))

    # -- outcomes and final answers -----------------------------------------------------------------------

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        if (event.request, event.attempt) not in self.attempts:
            return
        attempt, kind = self.finish_attempt(event.request, event.attempt)
        self._record_outcome(attempt, kind, event)
        attempt.may_have_run = event.outcome not in NEVER_RAN
        request = self.requests.get(event.request)
        if request is None:
            return
        if event.answered:
            self._forget_request(request)
            return

        # The retry budget keeps failures from multiplying the load. Attempts that never ran cost nothing.
        if attempt.may_have_run:
            self.retry_budget -= 1
            if self.retry_budget < 0 or request.request_class.effect is Effect.UNSAFE:
                self._reject(request)
                return
        self._advance(request)

    def _attempt_elsewhere(self, event: api.AttemptElsewhere) -> None:
        """Register an open attempt of the predecessor during an upgrade.

        It counts towards the server's load and the customer's open requests, and its outcome towards the
        health stats. Its units are spent already. The predecessor answers the client, so the request is not
        one of this gateway's ``requests``, and its deadline and random draw are not used.
        """
        host = self.hosts.get(event.server)
        if host is None:
            return
        arrived = event.arrived
        account = self._account(
            arrived.customer, arrived.plan, arrived.set_first, arrived.set_size, trusted=True
        )
        attempt = Attempt(host, event.sent, host.open_attempts + BASE_LOAD)
        request = Request(arrived, self.settings.classes[arrived.kind], 0, 0, account)
        self.attempts[arrived.request, event.attempt] = attempt, request
        host.open_attempts += 1
        account.open_attempts += 1

    def _reject(self, request: Request, cause: Cause = Cause.EXHAUSTED) -> None:
        """Give a final answer: refuse where the client may safely retry, else fail."""
        request_class = request.request_class
        may_have_run = request.first_possibly_executed is not None
        is_repeatable = request_class.effect is Effect.SAFE or (
            request_class.effect is Effect.KEYED and request_class.group is Group.ALL
        )
        if is_repeatable or not may_have_run:
            longest = min(RETRY_AFTER_SHARE * request_class.target_latency, self.settings.max_retry_after)
            retry_after = request.retry_after(self.settings.plans, RESUME_ABOVE, longest)
            self.actions.append(api.Refuse(request.event.request, retry_after, cause))
        else:
            self.actions.append(api.Fail(request.event.request))
        self._forget_request(request)

    def _forget_request(self, request: Request) -> None:
        """Drop a request that needs no more answer, and cancel its open attempt."""
        self.requests.pop(request.event.request, None)
        if request.account:
            request.account.waiting_units.pop(request.event.request, None)
        if self.settings.may_cancel and request.open_attempts:
            self.actions.append(api.Cancel(request.event.request, len(request.attempts) - 1))

    def _client_gone(self, event: api.ClientGone) -> None:
        if request := self.requests.get(event.request):
            self._forget_request(request)

    def _timer_fired(self, event: api.TimerFired) -> None:
        request = self.requests.get(event.token - 1)
        if event.token == GOSSIP_TIMER:
            self._gossip()
        elif event.token == ANSWER_TIMER:
            self._check_answer()
        elif request and not request.open_attempts:
            self._advance(request)

    # -- servers ------------------------------------------------------------------------------------------

    def _server_listed(self, event: api.ServerListed) -> None:
        if event.kind is not ListKind.FAILED:
            self._add_servers(self.apply_server_list(event, self.now))

    def _add_servers(self, hosts: list[Host]) -> None:
        for host in hosts:
            pool = self.warm if self._is_warm(host) else self.cold
            pool.add(host)
            self.warming.append(host)

    def _server_banned(self, event: api.ServerBanned) -> None:
        """Apply a ban on top of discovery's list, or lift it, so that the current list applies."""
        if event.banned:
            self.ban(event.server)
        elif event.server in self.banned:
            self._add_servers(self.lift_ban(event.server))
            first_trial_at = self.now + int(self.random.random() * self._reinstated_trial_spacing())
            self.reinstated[event.server] = self.now + REINSTATED_TRIAL_TIME, first_trial_at

    def _expected_time(self, host: Host, kind: int) -> float:
        """Return the expected response time, from recent ones, the load and the time of silence."""
        # A server without recent samples is assumed to be like the others.
        prior, _ = self._pool_stats(host).decayed(self.now, DECAY_TIME)
        (slowdown, typical_load), failures = host.decayed(self.now, DECAY_TIME, prior)
        load = host.open_attempts + BASE_LOAD
        time = self.usual_times[kind] * slowdown * (1 + FAILURE_WEIGHT * failures) * load / typical_load
        if self._is_warm(host) and len(self.attempts) < len(self.warm.hosts):
            # With fewer open attempts than servers, the load of a single server says little. A growing
            # overload shows in the number of all open attempts, long before slow answers arrive.
            concurrency = len(self.attempts) + CONCURRENCY_SMOOTHING
            time *= max(1.0, concurrency / (self.typical_concurrency + CONCURRENCY_SMOOTHING))
        if host.open_attempts:
            # Guards against a stalled or dead server, which answers nothing.
            time = max(time, self.now - host.last_active)
        return time

    def _pool_stats(self, host: Host) -> HealthStats:
        """Return the stats of the server's pool: cold servers had no part in an overload of the warm ones."""
        return self.warm_stats if self._is_warm(host) else self.cold_stats

    def _record_outcome(self, attempt: Attempt, kind: int, event: api.AttemptEnded) -> None:
        """Update the health stats of the server, its zone and its pool (warm or cold) after an attempt.

        ``kind`` is the index of the request's class in the settings.
        """
        host = attempt.host
        zone = self.zone_stats[host.entry.zone]
        pool = self._pool_stats(host)
        for stats in (host, zone, pool):
            stats.decay(self.now, DECAY_TIME)
        self._record_connection(host, event)
        if event.outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            self._record_response_time(attempt, kind, event.duration)
        # Failures count for the zone too, or in a network partition its servers would be tried in turn.
        for stats in (host, zone):
            if event.outcome is Outcome.SERVED:
                stats.failures /= 2
            elif event.outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT):
                stats.failures = min(stats.failures + 1, 1 / EWMA_WEIGHT)  # capped, so that it recovers soon

    def _record_connection(self, host: Host, event: api.AttemptEnded) -> None:
        """Update the estimate of open connections to a server."""
        if event.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.FULL):
            host.last_active = self.now
            self.reinstated.pop(event.server, None)
            host.open_connections = max(host.open_connections, host.open_attempts + 1)
        elif host.open_attempts == 0:
            # Its connections are assumed to be lost.
            host.open_connections = 0

    def _record_response_time(self, attempt: Attempt, kind: int, duration: int) -> None:
        """Update the moving averages of slowdown, load and usual response time."""
        usual_time = self.usual_times[kind]
        self.typical_concurrency += EWMA_WEIGHT * (attempt.concurrency - self.typical_concurrency)
        # Also for the pool: in an overload of all servers, a gateway that sends to each of them only rarely
        # would not notice it.
        slowdown = min(SLOWDOWN_MAX, duration / usual_time)
        for stats in (attempt.host, self._pool_stats(attempt.host)):
            stats.slowdown += EWMA_WEIGHT * (slowdown - stats.slowdown)
            stats.typical_load += EWMA_WEIGHT * (attempt.load - stats.typical_load)
        # Capped: if an overload raised it to the target latency, requests would be shed (see SHED_SHARE) even
        # with idle servers, and the end would not be noticed.
        longest = INITIAL_TARGET_SHARE * self.settings.classes[kind].target_latency
        learned = usual_time + EWMA_WEIGHT / 5 * (duration - usual_time)
        self.usual_times[kind] = min(longest, learned)

    # -- quotas -------------------------------------------------------------------------------------------

    def _account(self, customer: int, plan: int, first: int, size: int, trusted: bool) -> Account:
        """Return the customer's account, created if there is none.

        The placement given by a request (trusted) replaces a stored one; that given by a peer does not.
        """
        placement = plan, first, max(1, min(size, self.settings.gateways))
        account = self.accounts.get(customer)
        if account is None:
            if len(self.accounts) >= self.accounts_max:
                self._evict_fullest()
            account = Account(customer, placement, self.settings.plans[plan].burst, self.now)
            self.accounts[customer] = account
            self.idle_queue.append(customer)
        elif trusted:
            account.placement = placement
        return account

    def _refill(self, account: Account) -> None:
        """Refill the quota and the ceiling for the elapsed time; update whether to throttle the customer."""
        plan = self.settings.plans[account.plan]
        elapsed = self.now - account.refilled_at
        account.refilled_at = self.now
        self._refill_ceiling(account, plan, elapsed)

        # Silent peers do not reduce what we grant: most of them are down, with their clients coming here.
        share = 1 / account.set_size if self.gossip_disabled else 1.0
        burst = plan.burst * share
        if self._is_isolated():
            account.isolated_share = account.isolated_share or self._local_share(account)
        else:
            account.isolated_share = 0.0
        share = account.isolated_share or share

        # Units spent beyond the quota are not paid back: the limit never lies below the total.
        limit = max(account.total, account.limit + plan.rate * share * elapsed / SECOND)
        account.limit = min(limit, account.total + burst)

        threshold = RESUME_ABOVE if account.throttled else THROTTLE_BELOW
        is_low = account.remaining < threshold * burst
        # Where gossip is too slow, the owner is queried instead.
        account.throttled = is_low and not self._outruns_gossip(account)

    def _refill_ceiling(self, account: Account, plan: api.Plan, elapsed: int) -> None:
        """Add the ceiling tokens of the elapsed time, up to this gateway's part of the ceiling's burst."""
        share = self._ceiling_share(account)
        gained = plan.ceiling_rate * share * elapsed / SECOND
        account.ceiling_tokens = min(plan.ceiling_burst * share, account.ceiling_tokens + gained)

    def _ceiling_share(self, account: Account) -> float:
        """Return the part of the ceiling that this gateway may send without a grant.

        Each gateway refills its part from empty at its start. Half of the ceiling belongs to the owner, which
        grants tokens from it and deducts them before it answers.
        """
        is_owner = self._owner(account) == self.rank
        parts = 1 + account.set_size if is_owner else 1
        return parts / (2 * account.set_size)

    def _is_isolated(self) -> bool:
        """Return whether this gateway is cut off from its peers.

        A few silent peers are assumed to be down, with their clients coming here.
        """
        if self.membership:
            return self.membership.isolated
        if len(self.silent_peers) < ISOLATION_SILENT_PEERS_MIN:
            return False
        return self.now - self.any_received_at > 2 * ANSWER_TIMEOUT

    def _local_share(self, account: Account) -> float:
        """Return the part of the customer's spending that went through this gateway.

        The customer is taken to have spent one burst more, evenly through its gateway set, so that the part
        is 1 / set size before anything is spent. Without a burst the part has no effect.
        """
        burst = self.settings.plans[account.plan].burst
        if not burst:
            return 1.0
        _, own_units = account.counts.get(self.rank, (0, 0.0))
        return min(1.0, (own_units + burst / account.set_size) / (account.total + burst))

    def _outruns_gossip(self, account: Account) -> bool:
        """Return whether the burst refills faster than gossip reaches the whole gateway set."""
        if self.gossip_disabled:
            return False
        plan = self.settings.plans[account.plan]
        return GOSSIP_INTERVAL * (account.set_size - 1) * plan.rate > plan.burst * SECOND

    def _spend(self, request: Request) -> None:
        """Count the units of a request and notify the owner."""
        account = request.account
        units = request.event.units
        has_ceiling = bool(self.settings.plans[account.plan].ceiling_rate)
        start, value = account.counts.get(self.rank, (self._ticks(), 0.0))
        account.total += self._merge_count(account, self.rank, start, value + units)
        if has_ceiling:
            account.ceiling_tokens -= units
        if account.set_size == 1 or self.gossip_disabled:
            return
        self.pending_gossip[account.customer] = None
        # An owner that approved the request has reserved its units already, except under a ceiling: there it
        # only grants tokens.
        if not request.owner_replied or has_ceiling:
            self._notify_owner(account, request.owner_index)

    def _merge_count(self, account: Account, rank: int, start: int, value: float) -> float:
        """Merge a gateway's count, the units (``value``) since it began to count (``start``).

        A later start wins, then a larger value; units counted since an earlier start stay counted. Return the
        growth.
        """
        known_start, known_value = account.counts.get(rank, (-1, 0.0))
        if (start, value) <= (known_start, known_value):
            return 0.0
        account.counts[rank] = start, value
        other_ranks = (other for other in account.recent_ranks if other != rank)
        account.recent_ranks = (*other_ranks, rank)[-ROW_COUNTS_MAX:]
        growth = value - known_value if start == known_start else value
        account.counted += growth
        return growth

    # -- gossip -------------------------------------------------------------------------------------------

    def _owner(self, account: Account, index: int = 0) -> int:
        """Return the rank of the customer's owner, or of the candidate with this index that replaces it."""
        start = account.customer * OWNER_HASH_MULTIPLIER >> 16
        return self._member_rank(account, start + index)

    def _member_rank(self, account: Account, position: int) -> int:
        """Return the rank of the gateway at a position in the customer's gateway set."""
        return (account.set_first + position % account.set_size) % self.settings.gateways

    def _notify_owner(self, account: Account, index: int) -> None:
        """Notify the owner of an approval, so that it can add up those of all gateways.

        The next candidate stands in for an owner that is unavailable or does not answer.
        """
        if index >= min(OWNER_CANDIDATES, account.set_size):
            # No candidate answers: the customer must not stay limited to its initial share.
            account.unconfirmed = False
            return
        rank = self._owner(account, index)
        if rank in self.unavailable or (rank == self.rank and account.unconfirmed):
            self._notify_owner(account, index + 1)
        elif rank == self.rank:
            self._broadcast_if_throttled(account)
        else:
            self._refill(account)
            wanted = self._request_tokens(account)
            is_silent = self.now - self.last_received.get(rank, 0) > ANSWER_TIMEOUT
            expects_answer = account.unconfirmed or wanted or is_silent
            row = self._pack_row(account, 0, wanted)
            self._send_message(
                rank, [row], account.customer, index if expects_answer else None, to_owner=True
            )

    def _request_tokens(self, account: Account) -> float:
        """Return the ceiling tokens that this gateway's part lacks, and count them as requested.

        Several requests may be pending.
        """
        burst = self.settings.plans[account.plan].ceiling_burst
        wanted = max(0.0, burst * self._ceiling_share(account) - account.ceiling_tokens)
        account.requested_tokens = min(burst, account.requested_tokens + wanted)
        return wanted

    def _is_unresponsive(self, rank: int, is_repeat: bool) -> bool:
        """Return whether a gateway left its last queries unanswered.

        It is queried again after DECAY_TIME, but not by a request that repeats its query.
        """
        count, last_at = self.unanswered_queries.get(rank, (0, 0))
        if count < UNANSWERED_QUERIES_MAX:
            return False
        return is_repeat or self.now - last_at < DECAY_TIME

    def _check_answer(self) -> None:
        """Notify the next candidate owner if one did not answer in time, as it may be down or unreachable."""
        query = self.pending_answers.popleft()
        if self.now - query.sent_at > 2 * ANSWER_TIMEOUT:
            # This process was stalled itself, so the missing answer says nothing about the peer.
            return
        if self.last_received.get(query.rank, -1) >= query.sent_at:
            return
        count, _ = self.unanswered_queries.get(query.rank, (0, 0))
        self.unanswered_queries[query.rank] = count + 1, self.now
        self.silent_peers.add(query.rank)
        account = self.accounts.get(query.customer)
        if account and query.owner_index != NO_OTHER_OWNER:
            self._notify_owner(account, query.owner_index + 1)

    def _broadcast_if_throttled(self, account: Account) -> None:
        """Broadcast to the gateway set that a customer is throttled, repeated in case a message is lost."""
        if not account.throttled:
            return
        plan = self.settings.plans[account.plan]
        gained = plan.rate * (self.now - account.broadcast_at)
        if gained > THROTTLE_BELOW * plan.burst * SECOND:
            account.broadcast_at = self.now
            self._broadcast(account, account.set_size - 1)

    def _broadcast(self, account: Account, reach: int) -> None:
        """Send the account's row to the next ``reach`` gateways of the customer's set.

        They are divided into sections. The first available gateway of each merges the row and broadcasts its
        own to those after it in the section. The first section has a random size, so that the gateways that
        do this vary.
        """
        if not reach:
            return
        own_position = self._position(self.rank, account.set_first)
        section_size = -(-reach // FAN_OUT)
        size = 1 + self.random.randrange(section_size)
        done = 0
        while done < reach:
            size = min(size, reach - done)
            first_position = own_position + 1 + done
            ranks = [self._member_rank(account, first_position + i) for i in range(size)]
            index = next((i for i, rank in enumerate(ranks) if rank not in self.unavailable), None)
            if index is not None:
                row = self._pack_row(account, size - 1 - index)
                self._send_message(ranks[index], [row])
            done += size
            size = section_size

    def _gossip(self) -> None:
        """Send one random peer the pending changes of customers it serves, the most exhausted ones first."""
        self.actions.append(api.SetTimer(GOSSIP_INTERVAL, GOSSIP_TIMER))
        if not self.pending_gossip:
            return
        rank = self._draw_peer(self.accounts[next(iter(self.pending_gossip))])
        if rank is None:
            return
        scanned = [self.accounts[customer] for customer in islice(self.pending_gossip, GOSSIP_SCAN_MAX)]
        shared = [a for a in scanned if self._position(rank, a.set_first) < a.set_size]
        shared.sort(key=lambda a: a.remaining / (self.settings.plans[a.plan].burst or 1.0))
        rows = messages.fit_rows(self._pack_row(a, 0) for a in shared)
        if self._send_message(rank, rows, owner_index=NO_OTHER_OWNER):
            for account in shared[: len(rows)]:
                del self.pending_gossip[account.customer]

    def _draw_peer(self, account: Account) -> int | None:
        """Return a random available peer of the customer's gateway set."""
        own_position = self._position(self.rank, account.set_first)
        for _ in range(PEER_DRAWS_MAX):
            distance = 1 + self.random.randrange(account.set_size - 1)
            rank = self._member_rank(account, own_position + distance)
            if rank not in self.unavailable:
                return rank
        return None

    def _position(self, rank: int, first: int) -> int:
        """Return the position of a gateway in a set that begins with rank ``first``."""
        return (rank - first) % self.settings.gateways

    def _send_message(
        self,
        rank: int,
        rows: list[bytes],
        customer: int = 0,
        owner_index: int | None = None,
        to_owner: bool = False,
    ) -> bool:
        """Send a message to a peer unless the rate limit is reached, and return whether it was sent.

        Every message passes here. With an ``owner_index`` (see ``PendingAnswer``) an answer is requested, and
        after ANSWER_TIMEOUT ``_check_answer`` checks whether one has come.
        """
        gained = self.send_rate * (self.now - self.allowance_refilled_at) / SECOND
        self.send_allowance = min(self.send_rate, self.send_allowance + gained)
        self.allowance_refilled_at = self.now
        if self.send_allowance < 1:
            return False
        self.send_allowance -= 1
        expects_answer = owner_index is not None
        if expects_answer:
            self.pending_answers.append(PendingAnswer(self.now, rank, customer, owner_index))
            self.actions.append(api.SetTimer(ANSWER_TIMEOUT, ANSWER_TIMER))
        body = messages.pack(self.now // MS, expects_answer, to_owner, rows)
        self.actions.append(api.SendPeerMessage(rank, body))
        return True

    def _pack_row(
        self, account: Account, forward_count: int, tokens: float = 0.0, include_own: bool = False
    ) -> bytes:
        """Encode the account as a row of a message, with the counts that changed last."""
        self._refill(account)
        ranks = account.recent_ranks
        if include_own and self.rank in account.counts:
            ranks = (*ranks, self.rank)[-ROW_COUNTS_MAX:]
        counts = tuple((rank, *account.counts[rank]) for rank in dict.fromkeys(ranks))
        row = messages.Row(
            account.customer,
            *account.placement,
            forward_count,
            account.remaining,
            account.total,
            tokens,
            counts,
        )
        return messages.pack_row(row, self.now // MS, self.settings.gateways)

    def _members_changed(self, event: api.MembersChanged) -> None:
        self.membership = event
        self.unavailable = event.unavailable

    def _peer_message(self, event: api.PeerMessage) -> None:
        settings = self.settings
        message = messages.unpack(event.body, self.now // MS, settings.gateways, len(settings.plans))
        if message is None or self.gossip_disabled or not 0 <= event.sender < settings.gateways:
            return
        age = self.now - message.sent_ms * MS
        if abs(age) >= MESSAGE_AGE_MAX:
            return

        self.any_received_at = self.now
        self.last_received[event.sender] = self.now
        self.silent_peers.clear()
        self.unanswered_queries.pop(event.sender, None)

        merged = []
        for row in message.rows:
            if self._position(self.rank, row.set_first) < row.set_size:
                account = self._merge_row(row, event.sender, max(0, age), message.to_owner)
                merged.append((account, row.tokens if message.to_owner else 0.0))
                self._broadcast(account, min(row.forward_count, account.set_size - 1))
                if message.to_owner:
                    self._broadcast_if_throttled(account)
                else:
                    self._resume_waiting_request(account, event.sender)
        if message.expects_answer:
            rows = (
                self._answer_row(account, event.sender, wanted, message.to_owner)
                for account, wanted in merged
            )
            self._send_message(event.sender, messages.fit_rows(rows))

    def _resume_waiting_request(self, account: Account, sender: int) -> None:
        """Continue the request that has waited longest for an answer of this owner.

        Each waiting request has sent its own query, so one answer continues one request.
        """
        for request in map(self.requests.get, account.waiting_units):
            if request and self._owner(account, request.owner_index) == sender:
                request.owner_replied = True
                del account.waiting_units[request.event.request]
                self._advance(request)
                return

    def _answer_row(self, account: Account, rank: int, wanted: float, to_owner: bool) -> bytes:
        """Return the row that answers a query.

        The peer wants units, or ceiling tokens if the plan has a ceiling. Units are reserved for it at once,
        or they would be promised to others too. From its previous reservation, ``_merge_row`` has taken what
        it has spent since. What is left is released here, but only within the time that a request waits for
        answers: later it stays in the account's total.
        """
        if to_owner:
            units, reserved_at = account.reserved.pop(rank, (0.0, 0))
            if self.now - reserved_at < OWNER_QUERIES_MAX * OWNER_WAIT_TIMEOUT:
                account.total -= units
        row = self._pack_row(account, 0, self._grant_tokens(account, wanted))
        has_ceiling = bool(self.settings.plans[account.plan].ceiling_rate)
        if self._outruns_gossip(account) and not has_ceiling and wanted <= account.remaining:
            account.reserved[rank] = wanted, self.now
            account.total += wanted
        return row

    def _grant_tokens(self, account: Account, wanted: float) -> float:
        """Grant ceiling tokens, deducted before the answer is sent, so that its loss is safe."""
        if self._owner(account) != self.rank:
            return 0.0
        granted = min(account.ceiling_tokens, wanted)
        account.ceiling_tokens -= granted
        return granted

    def _merge_row(self, row: messages.Row, sender: int, age: int, to_owner: bool) -> Account:
        """Merge a peer's row into the account: its counts, total and limit.

        ``to_owner``: the peer sent it to this gateway as the customer's owner.
        """
        account = self._account(row.customer, row.plan, row.set_first, row.set_size, trusted=False)
        account.unconfirmed = False
        plan = self.settings.plans[account.plan]
        self._refill(account)
        if not to_owner:
            granted = min(row.tokens, account.requested_tokens)
            account.ceiling_tokens += granted
            account.requested_tokens -= granted

        new_units = 0.0
        for rank, start, value in row.counts:
            # A peer's copy of this gateway's own count is not merged. If it is from before a restart, the
            # row's total contains it.
            if rank == self.rank:
                continue
            # Whether the growth is not in the account's total yet.
            is_new = rank in account.counts or self._ticks() - start < NEW_COUNT_TICKS
            growth = self._merge_count(account, rank, start, value)
            if growth:
                account.peer_approvals = (*account.peer_approvals, self.now)[-max(1, plan.max_open) :]
            growth -= self._take_reserved(account, rank, growth)
            if rank == sender and to_owner and is_new:
                new_units += growth
        if new_units:
            # Only this owner was notified, so it gossips them. A broadcast reaches the whole set by itself.
            self.pending_gossip[account.customer] = None

        # The total covers counts that did not fit into the row or were lost on the way.
        account.total = max(account.total + new_units, account.counted, row.total)
        account.limit = max(account.limit, row.total + row.remaining + plan.rate * age / SECOND)
        self._refill(account)
        return account

    def _take_reserved(self, account: Account, rank: int, growth: float) -> float:
        """Use a reservation for units that a peer now reports as spent. Return how many it covered."""
        reserved, reserved_at = account.reserved.get(rank, (0.0, 0))
        taken = min(growth, reserved)
        if taken:
            account.reserved[rank] = reserved - taken, reserved_at
        return taken

    def _ticks(self) -> int:
        """Return the time in ticks, the unit in which the start of a count is sent."""
        return self.now // MS // messages.TICK_MS

    def _evict_idle(self) -> None:
        """Evict idle accounts with a full quota, which hold no information, a few at a time.

        Customers that are seen only once would otherwise use memory forever.
        """
        for _ in range(min(IDLE_SCAN_MAX, len(self.idle_queue))):
            customer = self.idle_queue.popleft()
            account = self.accounts[customer]
            self._refill(account)
            if self._is_in_use(account) or not self._is_full(account):
                self.idle_queue.append(customer)
            else:
                self._forget_account(customer)

    def _evict_fullest(self) -> None:
        """Evict the idle account that lacks least of its quota, of a few examined in turn.

        Ever new customers would otherwise fill the memory. Evicting an account gives its customer a full
        quota again; it never lets one pass a ceiling, as an account begins with no ceiling tokens.
        """
        examined = [self.idle_queue.popleft() for _ in range(min(EVICTION_SCAN_MAX, len(self.idle_queue)))]
        idle = [customer for customer in examined if not self._is_in_use(self.accounts[customer])]
        fullest = min(idle, key=self._missing_units, default=None)
        self.idle_queue.extend(customer for customer in examined if customer != fullest)
        if fullest is not None:
            self._forget_account(fullest)

    def _missing_units(self, customer: int) -> float:
        """Return the units that a customer's quota lacks."""
        account = self.accounts[customer]
        self._refill(account)
        return self.settings.plans[account.plan].burst - account.remaining

    def _is_in_use(self, account: Account) -> bool:
        return bool(account.open_attempts or account.waiting_units)

    def _is_full(self, account: Account) -> bool:
        """Return whether the account holds no information: all that it may hold has been refilled."""
        plan = self.settings.plans[account.plan]
        has_full_ceiling = account.ceiling_tokens >= plan.ceiling_burst * self._ceiling_share(account)
        return has_full_ceiling and (not plan.rate or account.remaining >= plan.burst)

    def _forget_account(self, customer: int) -> None:
        """Remove an account that has been taken from the queue of idle ones."""
        del self.accounts[customer]
        self.pending_gossip.pop(customer, None)
