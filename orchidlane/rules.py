"""All decisions of a gateway; its types, events and actions are in ``orchidlane/interface.py``.

A request's life: arrived -> admitted by its customer's counts -> sent to the server that should answer
soonest -> outcome -> perhaps another attempt -> exactly one final answer. Every send passes
``_send_attempt``, every answer of ours ``_reject``. Quotas are grow-only counts by gateway, spread by gossip.
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
INTAKE_SHARE = 0.8  # of the intake that every gateway may send: the rest is for jitter
GOSSIP_INTERVAL = 300 * MS  # between two gossip turns: what is pressing does not wait for them
FAN_OUT = 12  # gateways told at once: the rest of a larger set is told by them, each has a part of it
ROW_COUNTS_MAX = 3  # counts in a row; older ones are within its total
# customers looked at for one message / for being idle, to bound the work
GOSSIP_SCAN_MAX = 32
IDLE_SCAN_MAX = 3
MESSAGE_AGE_MAX = 5 * SECOND  # a message that took longer, or comes from so far ahead, is not believed
# of the burst: with less room a customer is refused, until so much is back
THROTTLE_BELOW = 0.25
RESUME_ABOVE = 0.6
ANSWER_TIMEOUT = 200 * MS  # a keeper not heard for so long is asked to answer as soon; else the next is told
OWNER_HASH_MULTIPLIER = 2_654_435_761  # spreads customers over the gateways of their sets
OWNER_CANDIDATES = 3  # gateways of a set that are tried
OWNER_WAIT_TIMEOUT = 100 * MS  # a request of a wide set waits no longer for its keeper's word
NEW_COUNT_TICKS = 1000 // messages.TICK  # a count heard of first that began earlier is within a total already
OWNER_QUERIES_MAX = 2  # times that a request waits: the question or the answer may be lost
# gateways asked since the last word of any, and none answered: it is us who are cut off
ISOLATION_MIN_UNRESPONSIVE = 4
PEER_DRAWS_MAX = 4  # members drawn until one is there: where most are away the turn may be lost
# questions in a row without an answer make a keeper silent for a while: one may be lost
UNANSWERED_QUERIES_MAX = 2
NO_OTHER_OWNER = -1

# Servers
CONCURRENCY_SMOOTHING = 8.0  # attempts out here besides those known, so that a few more or less mean little
BASE_LOAD = 2.0  # requests a server is taken to hold besides those known: keeps first guesses level
INITIAL_TARGET_SHARE = 0.25  # of the aim that an idle server is first thought to need
EWMA_WEIGHT = 0.15  # weight of the newest answer time
DECAY_TIME = 3 * SECOND  # after this a slow server's mark has faded to a third: gentle return
SLOWDOWN_MAX = 8.0  # times the idle answer time that one answer may count for
FAILURE_WEIGHT = 3.0  # an attempt that failed makes a server look this much slower
CANDIDATES_MAX = 12  # servers compared for one request
# dearer is a server at which no connection of ours is free: as one more request there
HANDSHAKE_PENALTY = 0.5
CONNECTION_IDLE_TIMEOUT = 5 * SECOND  # a connection is taken to stay open so long after its last answer
COST_JITTER = 0.1  # random part of a comparison, against herding of gateways
# a server put back is tried until it served / so often
REINSTATED_TRIAL_TIME = 5 * SECOND
REINSTATED_TRIAL_INTERVAL = SECOND
REINSTATED_TRIALS_MAX = 4  # of all gateways in the time in which a cold server may fall: it comes back cold
COLD_SHARE_FACTOR = 0.9  # of the fair share of a cold server's least capacity that is used

# Attempts
# a held request ends before its time is up / between looks for a server
DEADLINE_MARGIN = 30 * MS
SERVER_RETRY_INTERVAL = 20 * MS
# further attempts earned by each request, saved up: no retry storms
RETRY_BUDGET_RATIO = 0.05
RETRY_BUDGET_MAX = 5.0
SHED_SHARE = 0.15  # of the aim beyond the usual time: slower, a request is refused
# of the aim: who is sent to come back later than that spends quota on an answer that is late
RETRY_AFTER_SHARE = 0.15
NEVER_RAN = (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT)
# tokens of timers: gossip, answers due; a request's has its id + 1
GOSSIP_TIMER = 0
ANSWER_TIMER = 1 << 40


class Gateway(GatewayState):
    """One gateway's decisions: feed events with the clock, carry out the actions."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        super().__init__()
        self.settings = settings
        self.random = random.Random(seed)
        self.now = now
        self.rank = settings.rank
        self.gossip_disabled = not settings.may_tell_peers

        self.usual_times = [INITIAL_TARGET_SHARE * c.target_latency for c in settings.classes]
        self.retry_budget = RETRY_BUDGET_MAX
        self.next_trial_at = 0.0
        self.typical_concurrency = CONCURRENCY_SMOOTHING

        self.membership: api.MembersChanged | None = None  # None: no membership, silence is all that tells
        self.unavailable: frozenset[int] = frozenset()
        self.send_rate = INTAKE_SHARE * settings.peer_intake
        self.send_allowance = self.send_rate
        self.allowance_refilled_at = now

    def start(self) -> list[api.Action]:
        """The first actions, once the gateway is up."""
        actions: list[api.Action] = [api.SetTimer(GOSSIP_INTERVAL, GOSSIP_TIMER)]
        if self.settings.asks_for_list:
            actions.append(api.WatchList())
        return actions

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """What to do about one event: each goes to the method of its topic."""
        self.now = now
        self.actions = []
        # streams, probes, counter: nothing to do
        if method := getattr(self, f"_{event.topic}", None):
            method(event)
        return self.actions

    # -- a request arrives, is admitted, and is sent ------------------------------------------------------

    def _request_arrived(self, event: api.RequestArrived) -> None:
        request_class = self.settings.classes[event.kind]
        request = Request(event, request_class, self.now + event.time_left, self.random.random())
        self.requests[event.request] = request
        self.retry_budget = min(RETRY_BUDGET_MAX, max(0.0, self.retry_budget) + RETRY_BUDGET_RATIO)
        self._advance(request)
        self._evict_idle()

    def _advance(self, request: Request) -> None:
        """The next step of a request that is owed an answer."""
        latest_send = self._latest_send_time(request)
        if self.now >= latest_send or len(request.attempts) >= self.settings.max_attempts:
            self._reject(request)
            return

        is_first = not request.attempts
        if is_first and (cause := self._refusal_cause(request)):
            # it gives rights
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
            # who sends nothing learns nothing
            self.next_trial_at = self.now + INITIAL_TARGET_SHARE * request.request_class.target_latency

        asks_owner = is_first and self._outruns_gossip(request.account)
        if asks_owner and self._query_owner(request, OWNER_CANDIDATES, latest_send):
            return
        self._send_attempt(request, host)

    def _latest_send_time(self, request: Request) -> int:
        # kept in vain past half of its time it would cost more
        if any(attempt.may_have_run for attempt in request.attempts):
            margin = DEADLINE_MARGIN
        else:
            margin = max(DEADLINE_MARGIN, request.event.time_left // 2)
        return request.deadline - margin

    def _should_shed(self, request: Request, host: Host) -> bool:
        # Who has the keeper's word goes: it is counted in there already.
        if request.owner_replied or host.entry.server in self.reinstated:
            return False
        return self._expected_time(host, request.event.kind) > self._latency_limit(request)

    def _query_owner(self, request: Request, candidates: int, latest_send: int) -> bool:
        """Where only a keeper knows what is spent, or has rights to give, a request waits for its word, but
        shortly."""
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
            rank, [row], account.customer, NO_OTHER_OWNER, keep=True
        ):
            del account.waiting_units[event.request]
            return False

        request.owner_index = index
        request.owner_queries += 1
        delay = min(OWNER_WAIT_TIMEOUT, latest_send - self.now)
        self.actions.append(api.SetTimer(delay, event.request + 1))
        return True

    def _responsive_owner(self, account: Account, candidates: int, is_repeat: bool) -> int | None:
        for index in range(min(candidates, account.set_size)):
            rank = self._owner(account, index)
            if rank not in self.unavailable and not self._is_unresponsive(rank, is_repeat):
                return index
        return None

    def _refusal_cause(self, request: Request) -> Cause | None:
        """Quota, open cap and ceiling: the ordinary path of every first send."""
        # the entry is looked up anew: a held request may outlive an idle one
        event = request.event
        account = self._account(event.customer, event.plan, event.set_first, event.set_size, trusted=True)
        request.account = account
        plan = self.settings.plans[account.plan]
        self._refill(account)

        if plan.max_open and self._open_requests(account, event.kind) >= plan.max_open:
            return Cause.QUOTA

        remaining = account.remaining
        if account.unconfirmed and self.rank in account.counts:
            # unheard: a share, at least one request
            _, own_units = account.counts[self.rank]
            remaining = min(remaining, plan.burst / account.set_size - own_units)
        if plan.rate and (account.throttled or remaining < event.units):
            return Cause.QUOTA

        if plan.ceiling_rate and account.ceiling_tokens < event.units:
            return Cause.CEILING
        return None

    def _open_requests(self, account: Account, kind: int) -> int:
        # what others approved lately is taken to be out for as long as usual
        usual_time = self.usual_times[kind]
        recent_approvals = sum(self.now - at < usual_time for at in account.peer_approvals)
        return account.open_attempts + recent_approvals

    def _latency_limit(self, request: Request) -> float:
        """The longest expected answer time at which a request is let in: it must still be in time."""
        usual_time = self.usual_times[request.event.kind]
        in_time = min(request.request_class.target_latency, request.event.time_left)
        return usual_time + SHED_SHARE * max(0.0, in_time - usual_time)

    def _choose_server(self, request: Request) -> Host | None:
        """The server that should answer soonest among those that the rules allow for this request."""
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
        """Rules 2 and 3 for one send."""
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
        """A server put back by operators: where few requests come, others would always look better."""
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
        """Rule 4: how long a gateway leaves a server that was put back to all the others."""
        return (self.settings.gateways - 1) * self.settings.overload_for // REINSTATED_TRIALS_MAX

    def _draw_cold_server(self, request: Request) -> Host | None:
        """Rule 4: each attempt draws one of all servers; a cold one serves as often as it can."""
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
        """Every send passes here."""
        if not request.attempts:
            # a late word sends no second one
            request.account.waiting_units.pop(request.event.request, None)
            self._spend(request)
        if not host.open_attempts:
            if self.now - host.last_active >= CONNECTION_IDLE_TIMEOUT:
                host.open_connections = 0
            host.last_active = self.now
        # it may wait for its connection
        window_end = request.dedup_window_end
        send_by = window_end - DEADLINE_MARGIN if window_end else 0
        attempt = Attempt(host, self.now, host.open_attempts + BASE_LOAD, len(self.attempts))
        self.begin_attempt(request, attempt)
        request.cold_draw = self.random.random()
        self.actions.append(api.Send(request.event.request, host.entry.server, request.deadline, send_by))

    # -- what becomes of it -------------------------------------------------------------------------------

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

        # A budget for repeats: failures must not multiply the load. What never ran is free.
        if attempt.may_have_run:
            self.retry_budget -= 1
            if self.retry_budget < 0 or request.request_class.effect is Effect.UNSAFE:
                self._reject(request)
                return
        self._advance(request)

    def _attempt_elsewhere(self, event: api.AttemptElsewhere) -> None:
        """Load, open units and what it teaches count here; the process before this one owes the answer."""
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

    def _reject(self, request: Request, cause: Cause = Cause.SPENT) -> None:
        """Every final answer of ours passes here: refuse where a retry is harmless, else fail."""
        request_class = request.request_class
        has_run = request.first_possibly_executed is not None
        is_repeatable = request_class.effect is Effect.SAFE or (
            request_class.effect is Effect.KEYED and request_class.group is Group.ALL
        )
        if is_repeatable or not has_run:
            longest = min(RETRY_AFTER_SHARE * request_class.target_latency, self.settings.max_retry_after)
            retry_after = request.retry_after(self.settings.plans, RESUME_ABOVE, longest)
            self.actions.append(api.Refuse(request.event.request, retry_after, cause))
        else:
            self.actions.append(api.Fail(request.event.request))
        self._forget_request(request)

    def _forget_request(self, request: Request) -> None:
        """Nothing more is owed: forget the request and call off what is still out."""
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
        """A ban lies over discovery's list; one that is lifted leaves what discovery says by now."""
        if event.out:
            self.ban(event.server)
        elif event.server in self.banned:
            self._add_servers(self.lift_ban(event.server))
            first_trial_at = self.now + int(self.random.random() * self._reinstated_trial_spacing())
            self.reinstated[event.server] = self.now + REINSTATED_TRIAL_TIME, first_trial_at

    def _expected_time(self, host: Host, kind: int) -> float:
        """The expected answer time: what requests met there, how the load changed, how long it is quiet."""
        # not met lately: like all the others
        fleet, _ = self._fleet_stats(host).decayed(self.now, DECAY_TIME)
        (slowdown, typical_load), failures = host.decayed(self.now, DECAY_TIME, fleet)
        load = host.open_attempts + BASE_LOAD
        time = self.usual_times[kind] * slowdown * (1 + FAILURE_WEIGHT * failures) * load / typical_load
        if self._is_warm(host) and len(self.attempts) < len(self.warm.hosts):
            # Too few are out for a server's own to tell its load: a jam that grows shows in all of them, long
            # before the answers tell of it.
            concurrency = len(self.attempts) + CONCURRENCY_SMOOTHING
            time *= max(1.0, concurrency / (self.typical_concurrency + CONCURRENCY_SMOOTHING))
        if host.open_attempts:
            # guards against a stalling or dead server: it answers nobody
            time = max(time, self.now - host.last_active)
        return time

    def _fleet_stats(self, host: Host) -> HealthStats:
        """What all servers like this one met: one that has just started stood in no jam before."""
        return self.warm_stats if self._is_warm(host) else self.cold_stats

    def _record_outcome(self, attempt: Attempt, kind: int, event: api.AttemptEnded) -> None:
        """Each outcome tells of its server; a mark fades unless renewed, so that traffic returns gently."""
        host = attempt.host
        zone = self.zone_stats[host.entry.zone]
        fleet = self._fleet_stats(host)
        for stats in (host, zone, fleet):
            stats.decay(self.now, DECAY_TIME)
        self._record_connection(host, event)
        if event.outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            self._record_response_time(attempt, kind, event.duration)
        # in a cut each server of the zone would else be tried in turn
        for stats in (host, zone):
            if event.outcome is Outcome.SERVED:
                stats.failures /= 2
            elif event.outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT):
                stats.failures = min(stats.failures + 1, 1 / EWMA_WEIGHT)  # soon forgiven

    def _record_connection(self, host: Host, event: api.AttemptEnded) -> None:
        if event.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.FULL):
            host.last_active = self.now
            self.reinstated.pop(event.server, None)
            host.open_connections = max(host.open_connections, host.open_attempts + 1)
        elif host.open_attempts == 0:
            # cut off, with all that it had
            host.open_connections = 0

    def _record_response_time(self, attempt: Attempt, kind: int, duration: int) -> None:
        usual_time = self.usual_times[kind]
        self.typical_concurrency += EWMA_WEIGHT * (attempt.concurrency - self.typical_concurrency)
        # Guards against a jam of all servers, where a gateway meets each of them too seldom to learn.
        slowdown = min(SLOWDOWN_MAX, duration / usual_time)
        for stats in (attempt.host, self._fleet_stats(attempt.host)):
            stats.slowdown += EWMA_WEIGHT * (slowdown - stats.slowdown)
            stats.typical_load += EWMA_WEIGHT * (attempt.load - stats.typical_load)
        # Capped, so that in a jam an idle server still seems worth a try and the end of it is noticed.
        longest = INITIAL_TARGET_SHARE * self.settings.classes[kind].target_latency
        learned = usual_time + EWMA_WEIGHT / 5 * (duration - usual_time)
        self.usual_times[kind] = min(longest, learned)

    # -- counts -------------------------------------------------------------------------------------------

    def _account(self, customer: int, plan: int, first: int, size: int, trusted: bool) -> Account:
        placement = plan, first, max(1, min(size, self.settings.gateways))
        account = self.accounts.get(customer)
        if account is None:
            account = Account(customer, placement, self.settings.plans[plan].burst, self.now)
            self.accounts[customer] = account
            self.idle_queue.append(customer)
        elif trusted:
            # a request goes before a peer
            account.placement = placement
        return account

    def _refill(self, account: Account) -> None:
        """Raise the limit by the time gone; room stays within the burst."""
        plan = self.settings.plans[account.plan]
        elapsed = self.now - account.refilled_at
        account.refilled_at = self.now
        self._refill_ceiling(account, plan, elapsed)

        # a silent peer gets no rule: most are down
        share = 1 / account.set_size if self.gossip_disabled else 1.0
        burst = plan.burst * share
        if self._is_isolated():
            account.isolated_share = account.isolated_share or self._local_share(account)
        else:
            account.isolated_share = 0.0
        share = account.isolated_share or share

        # Debt: what went beyond the quota took nothing from the true store, so the limit never lies below.
        limit = max(account.total, account.limit + plan.rate * share * elapsed / SECOND)
        account.limit = min(limit, account.total + burst)

        threshold = RESUME_ABOVE if account.throttled else THROTTLE_BELOW
        is_low = account.remaining < threshold * burst
        # its keeper is asked instead
        account.throttled = is_low and not self._outruns_gossip(account)

    def _refill_ceiling(self, account: Account, plan: api.Plan, elapsed: int) -> None:
        share = self._ceiling_share(account)
        gained = plan.ceiling_rate * share * elapsed / SECOND
        account.ceiling_tokens = min(plan.ceiling_burst * share, account.ceiling_tokens + gained)

    def _ceiling_share(self, account: Account) -> float:
        """Rule 5: each gateway alone fills its part of the ceiling's store, from nothing at its start. Half
        is the first keeper's, who gives of it what others want: it takes that off before it tells them."""
        is_owner = self._owner(account) == self.rank
        parts = 1 + account.set_size if is_owner else 1
        return parts / (2 * account.set_size)

    def _is_isolated(self) -> bool:
        """Whether nobody is heard any more: a few that are silent are down, and their clients come here."""
        if self.membership:
            return self.membership.isolated
        if len(self.unresponsive) < ISOLATION_MIN_UNRESPONSIVE:
            return False
        return self.now - self.any_received_at > 2 * ANSWER_TIMEOUT

    def _local_share(self, account: Account) -> float:
        """Of what the customer spent, the part spent here; where nothing is known, its share."""
        burst = self.settings.plans[account.plan].burst
        if not burst:
            return 1.0
        _, own_units = account.counts.get(self.rank, (0, 0.0))
        return min(1.0, (own_units + burst / account.set_size) / (account.total + burst))

    def _outruns_gossip(self, account: Account) -> bool:
        """Whether news of it takes longer to go round its set than its burst takes to come back."""
        if self.gossip_disabled:
            return False
        plan = self.settings.plans[account.plan]
        return GOSSIP_INTERVAL * (account.set_size - 1) * plan.rate > plan.burst * SECOND

    def _spend(self, request: Request) -> None:
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
        # else it is counted in already
        if not request.owner_replied or has_ceiling:
            self._notify_owner(account, request.owner_index)

    def _merge_count(self, account: Account, rank: int, start: int, value: float) -> float:
        """Newer start, then larger value; what was spent in an earlier life stays spent. The growth."""
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
        start = account.customer * OWNER_HASH_MULTIPLIER >> 16
        return self._member_rank(account, start + index)

    def _member_rank(self, account: Account, position: int) -> int:
        return (account.set_first + position % account.set_size) % self.settings.gateways

    def _notify_owner(self, account: Account, index: int) -> None:
        """Every approval is told to one gateway of the set, which adds them up; the next one stands in."""
        if index >= min(OWNER_CANDIDATES, account.set_size):
            # nobody answers: it is not kept to its first share for good
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
            self._send_message(rank, [row], account.customer, index if expects_answer else None, keep=True)

    def _request_tokens(self, account: Account) -> float:
        """What there is room for of a ceiling's rights; several questions may be out."""
        burst = self.settings.plans[account.plan].ceiling_burst
        wanted = max(0.0, burst * self._ceiling_share(account) - account.ceiling_tokens)
        account.requested_tokens = min(burst, account.requested_tokens + wanted)
        return wanted

    def _is_unresponsive(self, rank: int, is_repeat: bool) -> bool:
        """Whether it left questions unanswered; it is tried anew now and then, once a request."""
        count, last_at = self.unanswered_queries.get(rank, (0, 0))
        if count < UNANSWERED_QUERIES_MAX:
            return False
        return is_repeat or self.now - last_at < DECAY_TIME

    def _check_answer(self) -> None:
        """Guards against cuts and dead keepers: no answer in time is told to the next keeper."""
        query = self.pending_answers.popleft()
        if self.now - query.sent_at > 2 * ANSWER_TIMEOUT:
            # we stood still ourselves: nothing is known of the other
            return
        if self.last_received.get(query.rank, -1) >= query.sent_at:
            return
        count, _ = self.unanswered_queries.get(query.rank, (0, 0))
        self.unanswered_queries[query.rank] = count + 1, self.now
        self.unresponsive.add(query.rank)
        account = self.accounts.get(query.customer)
        if account and query.owner_index != NO_OTHER_OWNER:
            self._notify_owner(account, query.owner_index + 1)

    def _broadcast_if_throttled(self, account: Account) -> None:
        """A customer was fast, its room is low: its set is told at once, and again if some miss it."""
        if not account.throttled:
            return
        plan = self.settings.plans[account.plan]
        gained = plan.rate * (self.now - account.broadcast_at)
        if gained > THROTTLE_BELOW * plan.burst * SECOND:
            account.broadcast_at = self.now
            self._broadcast(account, account.set_size - 1)

    def _broadcast(self, account: Account, reach: int) -> None:
        """Tell the next so many of the set: a few of them, each handing on to a part of the rest."""
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
        """The pending changes that concern one random peer, those of the fastest customers first."""
        self.actions.append(api.SetTimer(GOSSIP_INTERVAL, GOSSIP_TIMER))
        if not self.pending_gossip:
            return
        rank = self._draw_peer(self.accounts[next(iter(self.pending_gossip))])
        if rank is None:
            return
        scanned = [self.accounts[customer] for customer in islice(self.pending_gossip, GOSSIP_SCAN_MAX)]
        shared = [a for a in scanned if self._position(rank, a.set_first) < a.set_size]
        shared.sort(key=lambda a: a.remaining / (self.settings.plans[a.plan].burst or 1.0))
        rows = messages.fit(self._pack_row(a, 0) for a in shared)
        if self._send_message(rank, rows, owner_index=NO_OTHER_OWNER):
            for account in shared[: len(rows)]:
                del self.pending_gossip[account.customer]

    def _draw_peer(self, account: Account) -> int | None:
        own_position = self._position(self.rank, account.set_first)
        for _ in range(PEER_DRAWS_MAX):
            distance = 1 + self.random.randrange(account.set_size - 1)
            rank = self._member_rank(account, own_position + distance)
            if rank not in self.unavailable:
                return rank
        return None

    def _position(self, rank: int, first: int) -> int:
        return (rank - first) % self.settings.gateways

    def _send_message(
        self,
        rank: int,
        rows: list[bytes],
        customer: int = 0,
        owner_index: int | None = None,
        keep: bool = False,
    ) -> bool:
        """Every message passes here: all that one gateway sends stays below what one takes in."""
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
        body = messages.pack(self.now // MS, expects_answer, keep, rows)
        self.actions.append(api.SendPeerMessage(rank, body))
        return True

    def _pack_row(
        self, account: Account, reach: int, tokens: float = 0.0, include_own: bool = False
    ) -> bytes:
        self._refill(account)
        ranks = account.recent_ranks
        if include_own and self.rank in account.counts:
            ranks = (*ranks, self.rank)[-ROW_COUNTS_MAX:]
        counts = tuple((rank, *account.counts[rank]) for rank in dict.fromkeys(ranks))
        row = messages.Row(
            account.customer, *account.placement, reach, account.remaining, account.total, tokens, counts
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
        age = self.now - message.sent * MS
        if abs(age) >= MESSAGE_AGE_MAX:
            return

        self.any_received_at = self.now
        self.last_received[event.sender] = self.now
        self.unresponsive.clear()
        self.unanswered_queries.pop(event.sender, None)

        merged = []
        for row in message.rows:
            if self._position(self.rank, row.set_first) < row.set_size:
                account = self._merge_row(row, event.sender, max(0, age), message.keep)
                merged.append((account, row.rights if message.keep else 0.0))
                self._broadcast(account, min(row.reach, account.set_size - 1))
                if message.keep:
                    self._broadcast_if_throttled(account)
                else:
                    self._resume_waiting(account, event.sender)
        if message.ask:
            rows = (
                self._answer_row(account, event.sender, wanted, message.keep) for account, wanted in merged
            )
            self._send_message(event.sender, messages.fit(rows))

    def _resume_waiting(self, account: Account, sender: int) -> None:
        """The keeper's word has come for the request that waits longest."""
        for request in map(self.requests.get, account.waiting_units):
            if request and self._owner(account, request.owner_index) == sender:
                request.owner_replied = True
                del account.waiting_units[request.event.request]
                self._advance(request)
                return

    def _answer_row(self, account: Account, rank: int, wanted: float, keep: bool) -> bytes:
        """Who is told that there is room will use it: counted in at once, or others would be told of it too.
        Where it asks once more it has not, so that is taken back."""
        if keep:
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
        """Rights of a ceiling, off our part before they are told, so that loss is safe."""
        if self._owner(account) != self.rank:
            return 0.0
        granted = min(account.ceiling_tokens, wanted)
        account.ceiling_tokens -= granted
        return granted

    def _merge_row(self, row: messages.Row, sender: int, age: int, keep: bool) -> Account:
        """Newer start, then larger value; the larger limit."""
        account = self._account(row.customer, row.plan, row.set_first, row.set_size, trusted=False)
        account.unconfirmed = False
        plan = self.settings.plans[account.plan]
        self._refill(account)
        if not keep:
            granted = min(row.rights, account.requested_tokens)
            account.ceiling_tokens += granted
            account.requested_tokens -= granted

        unreported = 0.0
        for rank, start, value in row.counts:
            # our own count is ours; an earlier life's is within the total
            if rank == self.rank:
                continue
            is_new = rank in account.counts or self._ticks() - start < NEW_COUNT_TICKS
            growth = self._merge_count(account, rank, start, value)
            if growth:
                account.peer_approvals = (*account.peer_approvals, self.now)[-max(1, plan.max_open) :]
            growth -= self._take_reserved(account, rank, growth)
            if rank == sender and keep and is_new:
                unreported += growth
        if unreported:
            # what is spread reaches all without
            self.pending_gossip[account.customer] = None

        # The total tells of counts that did not fit or were lost, so that a gateway that missed them knows.
        account.total = max(account.total + unreported, account.counted, row.total)
        account.limit = max(account.limit, row.total + row.room + plan.rate * age / SECOND)
        self._refill(account)
        return account

    def _take_reserved(self, account: Account, rank: int, growth: float) -> float:
        reserved, reserved_at = account.reserved.get(rank, (0.0, 0))
        taken = min(growth, reserved)
        if taken:
            account.reserved[rank] = reserved - taken, reserved_at
        return taken

    def _ticks(self) -> int:
        return self.now // MS // messages.TICK

    def _evict_idle(self) -> None:
        """Full and idle accounts say nothing: forgotten a few at a time, one-off customers cost no memory."""
        for _ in range(min(IDLE_SCAN_MAX, len(self.idle_queue))):
            customer = self.idle_queue.popleft()
            account = self.accounts[customer]
            self._refill(account)
            plan = self.settings.plans[account.plan]
            has_full_ceiling = account.ceiling_tokens >= plan.ceiling_burst / account.set_size
            is_full = has_full_ceiling and account.remaining >= plan.burst
            if account.open_attempts or account.waiting_units or not is_full:
                self.idle_queue.append(customer)
                continue
            del self.accounts[customer]
            self.pending_gossip.pop(customer, None)
