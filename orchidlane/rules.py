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
from .state import Account, Attempt, GatewayState, HealthStats, Host, Request

MS, SECOND = 1_000, 1_000_000  # microseconds

# Gossip
INTAKE_SHARE = 0.8  # of the intake that every gateway may send: the rest is for jitter
GOSSIP_INTERVAL = 300 * MS  # between two gossip turns: what is pressing does not wait for them
FAN_OUT = 12  # gateways told at once: the rest of a larger set is told by them, each has a part of it
ROW_COUNTS_MAX = 3  # counts in a row; older ones are within its total
GOSSIP_SCAN_MAX, IDLE_SCAN_MAX = (
    32,
    3,
)  # customers looked at for one message / for being idle, to bound the work
MESSAGE_AGE_MAX = 5 * SECOND  # a message that took longer, or comes from so far ahead, is not believed
THROTTLE_BELOW, RESUME_ABOVE = (
    0.25,
    0.6,
)  # of the burst: with less room a customer is refused, until so much is back
ANSWER_TIMEOUT = 200 * MS  # a keeper not heard for so long is asked to answer as soon; else the next is told
OWNER_HASH_MULTIPLIER = 2_654_435_761  # spreads customers over the gateways of their sets
OWNER_CANDIDATES = 3  # gateways of a set that are tried
OWNER_WAIT_TIMEOUT = 100 * MS  # a request of a wide set waits no longer for its keeper's word
NEW_COUNT_TICKS = 1000 // messages.TICK  # a count heard of first that began earlier is within a total already
OWNER_QUERIES_MAX = 2  # times that a request waits: the question or the answer may be lost
ISOLATION_MIN_UNRESPONSIVE = (
    4  # gateways asked since the last word of any, and none answered: it is us who are cut off
)
PEER_DRAWS_MAX = 4  # members drawn until one is there: where most are away the turn may be lost
UNANSWERED_QUERIES_MAX = (
    2  # questions in a row without an answer make a keeper silent for a while: one may be lost
)

# Servers
CONCURRENCY_SMOOTHING = 8.0  # attempts out here besides those known, so that a few more or less mean little
BASE_LOAD = 2.0  # requests a server is taken to hold besides those known: keeps first guesses level
INITIAL_TARGET_SHARE = 0.25  # of the aim that an idle server is first thought to need
EWMA_WEIGHT = 0.15  # weight of the newest answer time
DECAY_TIME = 3 * SECOND  # after this a slow server's mark has faded to a third: gentle return
SLOWDOWN_MAX = 8.0  # times the idle answer time that one answer may count for
FAILURE_WEIGHT = 3.0  # an attempt that failed makes a server look this much slower
CANDIDATES_MAX = 12  # servers compared for one request
HANDSHAKE_PENALTY = (
    0.5  # dearer is a server at which no connection of ours is free: as one more request there
)
CONNECTION_IDLE_TIMEOUT = 5 * SECOND  # a connection is taken to stay open so long after its last answer
COST_JITTER = 0.1  # random part of a comparison, against herding of gateways
REINSTATED_TRIAL_TIME, REINSTATED_TRIAL_INTERVAL = (
    5 * SECOND,
    SECOND,
)  # a server put back is tried until it served / so often
REINSTATED_TRIALS_MAX = 4  # of all gateways in the time in which a cold server may fall: it comes back cold
COLD_SHARE_FACTOR = 0.9  # of the fair share of a cold server's least capacity that is used

# Attempts
DEADLINE_MARGIN, SERVER_RETRY_INTERVAL = (
    30 * MS,
    20 * MS,
)  # a held request ends before its time is up / between looks for a server
RETRY_BUDGET_RATIO, RETRY_BUDGET_MAX = (
    0.05,
    5.0,
)  # further attempts earned by each request, saved up: no retry storms
SHED_SHARE = 0.15  # of the aim beyond the usual time: slower, a request is refused
RETRY_AFTER_SHARE = (
    0.15  # of the aim: who is sent to come back later than that spends quota on an answer that is late
)
GOSSIP_TIMER, ANSWER_TIMER = 0, 1 << 40  # tokens of timers: gossip, answers due; a request's has its id + 1


class Gateway(GatewayState):
    """One gateway's decisions: feed events with the clock, carry out the actions."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        super().__init__()
        self.settings, self.random, self.now, self.allowance_refilled_at = (
            settings,
            random.Random(seed),
            now,
            now,
        )
        self.rank, self.gossip_disabled = settings.rank, not settings.may_tell_peers
        self.usual_times = [INITIAL_TARGET_SHARE * c.target_latency for c in settings.classes]
        self.retry_budget, self.next_trial_at, self.typical_concurrency = (
            RETRY_BUDGET_MAX,
            0.0,
            CONCURRENCY_SMOOTHING,
        )
        self.membership: api.MembersChanged | None = None  # None: no membership, silence is all that tells
        self.unavailable: frozenset[int] = frozenset()
        self.send_allowance = self.send_rate = INTAKE_SHARE * settings.peer_intake

    def start(self) -> list[api.Action]:
        """The first actions, once the gateway is up."""
        return [api.SetTimer(GOSSIP_INTERVAL, GOSSIP_TIMER)] + [api.WatchList()] * self.settings.asks_for_list

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """What to do about one event: each goes to the method of its topic."""
        self.now, self.actions = now, []
        if method := getattr(self, f"_{event.topic}", None):  # streams, probes, counter: nothing to do
            method(event)
        return self.actions

    # -- a request arrives, is admitted, and is sent ------------------------------------------------------

    def _request_arrived(self, event: api.RequestArrived) -> None:
        request = Request(
            event, self.settings.classes[event.kind], self.now + event.time_left, self.random.random()
        )
        self.requests[event.request] = request
        self.retry_budget = min(RETRY_BUDGET_MAX, max(0.0, self.retry_budget) + RETRY_BUDGET_RATIO)
        self._advance(request)
        self._evict_idle()

    def _advance(self, request: Request) -> None:
        """The next step of a request that is owed an answer."""
        half = 0 if any(a.may_have_run for a in request.attempts) else request.event.time_left // 2
        last_call = request.deadline - max(
            DEADLINE_MARGIN, half
        )  # kept in vain past half of its time it would cost more
        if self.now >= last_call or len(request.attempts) >= self.settings.max_attempts:
            return self._reject(request)
        first = not request.attempts
        if first and (cause := self._refusal_cause(request)):
            held = cause is Cause.CEILING and self._query_owner(request, 1, last_call)  # it gives rights
            return None if held else self._reject(request, cause)
        host = self._choose_server(request)
        if host is None:
            span = min(SERVER_RETRY_INTERVAL, last_call - self.now)
            return self.actions.append(api.SetTimer(span, request.event.request + 1))
        # Who has the keeper's word goes: it is counted in there already.
        slow = (
            first
            and not request.owner_replied
            and self._expected_time(host, request.event.kind) > self._latency_limit(request)
        )
        if slow and host.entry.server not in self.reinstated:
            if host.open_attempts or self.now < self.next_trial_at:
                return self._reject(request, Cause.SLOW)
            self.next_trial_at = (
                self.now + INITIAL_TARGET_SHARE * request.request_class.target_latency
            )  # who sends nothing learns nothing
        if (
            first
            and self._outruns_gossip(request.account)
            and self._query_owner(request, OWNER_CANDIDATES, last_call)
        ):
            return None
        return self._send_attempt(request, host)

    def _query_owner(self, request: Request, most: int, last_call: int) -> bool:
        """Where only a keeper knows what is spent, or has rights to give, a request waits for its word, but
        shortly."""
        event, account = request.event, request.account
        if request.owner_replied or request.owner_queries >= OWNER_QUERIES_MAX:
            return False
        keepers = range(min(most, account.size))
        again = request.owner_queries > 0
        ranks = [self._owner(account, n) for n in keepers]
        there = (
            n
            for n in keepers
            if ranks[n] not in self.unavailable and not self._is_unresponsive(ranks[n], again)
        )
        number = next(there, None)
        if number is None:
            return False
        rank = self._owner(account, number)
        account.waiting_units[event.request] = event.units
        ceiling = self.settings.plans[account.plan].ceiling_rate
        wanted = self._request_tokens(account) if ceiling else sum(account.waiting_units.values())
        row = self._pack_row(account, 0, wanted, own=True)
        if rank == self.rank or not self._send_message(rank, [row], account.customer, -1, keep=True):
            del account.waiting_units[event.request]
            return False
        request.owner_index, request.owner_queries = number, request.owner_queries + 1
        self.actions.append(api.SetTimer(min(OWNER_WAIT_TIMEOUT, last_call - self.now), event.request + 1))
        return True

    def _refusal_cause(self, request: Request) -> Cause | None:
        """Quota, open cap and ceiling: the ordinary path of every first send."""
        event = request.event  # the entry is looked up anew: a held request may outlive an idle one
        account = self._account(event.customer, event.plan, event.set_first, event.set_size, trusted=True)
        plan, request.account = self.settings.plans[account.plan], account
        self._refill(account)
        if plan.max_open:  # what others approved lately is taken to be out for as long as usual
            others = sum(self.now - at < self.usual_times[event.kind] for at in account.peer_approvals)
            if account.open_attempts + others >= plan.max_open:
                return Cause.QUOTA
        room = account.remaining
        if account.unconfirmed and self.rank in account.counts:  # unheard: a share, at least one request
            room = min(room, plan.burst / account.size - account.counts[self.rank][1])
        if plan.rate and (account.throttled or room < event.units):
            return Cause.QUOTA
        return Cause.CEILING if plan.ceiling_rate and account.ceiling_tokens < event.units else None

    def _latency_limit(self, request: Request) -> float:
        """The longest expected answer time at which a request is let in: it must still be in time."""
        usual = self.usual_times[request.event.kind]
        return usual + SHED_SHARE * max(
            0.0, min(request.request_class.target_latency, request.event.time_left) - usual
        )

    def _choose_server(self, request: Request) -> Host | None:
        """The server that should answer soonest among those that the rules allow for this request."""
        if some := self._due_reinstated_server(request) or self._draw_cold_server(request):
            return some
        ran = [a for a in request.attempts if a.may_have_run]
        pool = self.group_hosts(ran[0].host, request.request_class.group) if ran else self.warm.hosts
        some = pool if len(pool) <= CANDIDATES_MAX else self.random.sample(pool, CANDIDATES_MAX)
        usable = [host for host in some if self._is_warm(host) and self._may_send(request, host)]
        return min(usable, key=lambda host: self._cost(request, host), default=None)

    def _cost(self, request: Request, host: Host) -> float:
        cost = self._expected_time(host, request.event.kind) * (1 + COST_JITTER * self.random.random())
        if (
            host.open_attempts >= host.open_connections
            or self.now - host.last_active >= CONNECTION_IDLE_TIMEOUT
        ):
            cost *= 1 + HANDSHAKE_PENALTY
        cost *= 1 + FAILURE_WEIGHT * self.zone_stats[host.entry.zone].decayed(self.now, DECAY_TIME)[1]
        return cost * (1 + FAILURE_WEIGHT * any(a.host is host for a in request.attempts))

    def _may_send(self, request: Request, host: Host) -> bool:
        """Rules 2 and 3 for one send."""
        if not self.is_usable(host):
            return False
        ran = [a for a in request.attempts if a.may_have_run]
        cls = request.request_class
        if not ran or cls.effect is Effect.SAFE:
            return True
        if cls.effect is Effect.UNSAFE or self.now >= request.dedup_window_end - DEADLINE_MARGIN:
            return False
        return host.group_id(cls.group) == ran[0].host.group_id(cls.group)

    def _is_warm(self, host: Host) -> bool:
        return not host.entry.launched or self.now - host.entry.launched >= self.settings.warm_within

    def _due_reinstated_server(self, request: Request) -> Host | None:
        """A server put back by operators: where few requests come, others would always look better."""
        for server, (until, after) in list(self.reinstated.items()):
            if self.now >= until:
                del self.reinstated[server]
            elif self.now >= after and (host := self.hosts.get(server)) and self._may_send(request, host):
                self.reinstated[server] = (
                    until,
                    self.now + max(REINSTATED_TRIAL_INTERVAL, self._reinstated_trial_spacing()),
                )
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
        number, chance = divmod(request.cold_draw * (len(cold) + len(self.warm.hosts)), 1)
        if number >= len(cold):
            return None
        host = cold[int(number)]
        age = max(0, self.now - host.entry.launched) / self.settings.warm_within
        ramp = self.settings.cold_from + (1 - self.settings.cold_from) * age
        return host if chance < COLD_SHARE_FACTOR * ramp and self._may_send(request, host) else None

    def _send_attempt(self, request: Request, host: Host) -> None:
        """Every send passes here."""
        if not request.attempts:
            request.account.waiting_units.pop(request.event.request, None)  # a late word sends no second one
            self._spend(request)
        if not host.open_attempts:
            host.open_connections = (
                host.open_connections if self.now - host.last_active < CONNECTION_IDLE_TIMEOUT else 0
            )
            host.last_active = self.now
        by = (
            request.dedup_window_end and request.dedup_window_end - DEADLINE_MARGIN
        )  # it may wait for its connection
        self.begin_attempt(
            request, Attempt(host, self.now, host.open_attempts + BASE_LOAD, len(self.attempts))
        )
        request.cold_draw = self.random.random()
        self.actions.append(api.Send(request.event.request, host.entry.server, request.deadline, by))

    # -- what becomes of it -------------------------------------------------------------------------------

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        if (event.request, event.attempt) not in self.attempts:
            return
        attempt, kind = self.finish_attempt(event.request, event.attempt)
        self._record_outcome(attempt, kind, event)
        attempt.may_have_run = event.outcome not in (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT)
        request = self.requests.get(event.request)
        if request and event.answered:
            self._forget_request(request)
        elif request:  # A budget for repeats: failures must not multiply the load. What never ran is free.
            self.retry_budget -= attempt.may_have_run
            repeat = self.retry_budget >= 0 and request.request_class.effect is not Effect.UNSAFE
            (self._advance if repeat or not attempt.may_have_run else self._reject)(request)

    def _attempt_elsewhere(self, event: api.AttemptElsewhere) -> None:
        """Load, open units and what it teaches count here; the process before this one owes the answer."""
        if host := self.hosts.get(event.server):
            of = event.arrived
            account = self._account(of.customer, of.plan, of.set_first, of.set_size, trusted=True)
            attempt = Attempt(host, event.sent, host.open_attempts + BASE_LOAD)
            self.attempts[of.request, event.attempt] = (
                attempt,
                Request(of, self.settings.classes[of.kind], 0, 0, account),
            )
            host.open_attempts += 1
            account.open_attempts += 1

    def _reject(self, request: Request, cause: Cause = Cause.SPENT) -> None:
        """Every final answer of ours passes here: refuse where a retry is harmless, else fail."""
        cls = request.request_class
        ran, number = any(a.may_have_run for a in request.attempts), request.event.request
        repeats = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
        wait = request.retry_after(
            self.settings.plans,
            RESUME_ABOVE,
            min(RETRY_AFTER_SHARE * cls.target_latency, self.settings.max_retry_after),
        )
        self.actions.append(api.Refuse(number, wait, cause) if repeats or not ran else api.Fail(number))
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
        self._add_servers(
            self.apply_server_list(event, self.now) if event.kind is not ListKind.FAILED else []
        )

    def _add_servers(self, hosts: list[Host]) -> None:
        for host in hosts:
            (self.warm if self._is_warm(host) else self.cold).add(host)
            self.warming.append(host)

    def _server_banned(self, event: api.ServerBanned) -> None:
        """A ban lies over discovery's list; one that is lifted leaves what discovery says by now."""
        if event.out:
            self.ban(event.server)
        elif event.server in self.banned:
            self._add_servers(self.lift_ban(event.server))
            after = self.now + int(self.random.random() * self._reinstated_trial_spacing())
            self.reinstated[event.server] = self.now + REINSTATED_TRIAL_TIME, after

    def _expected_time(self, host: Host, kind: int) -> float:
        """The expected answer time: what requests met there, how the load changed, how long it is quiet."""
        fleet, _ = self._fleet_stats(host).decayed(self.now, DECAY_TIME)
        (slow, typical), fails = host.decayed(
            self.now, DECAY_TIME, fleet
        )  # not met lately: like all the others
        time = (
            self.usual_times[kind]
            * slow
            * (1 + FAILURE_WEIGHT * fails)
            * (host.open_attempts + BASE_LOAD)
            / typical
        )
        if self._is_warm(host) and len(self.attempts) < len(self.warm.hosts):
            # Too few are out for a server's own to tell its load: a jam that grows shows in all of them, long
            # before the answers tell of it.
            time *= max(
                1.0,
                (len(self.attempts) + CONCURRENCY_SMOOTHING)
                / (self.typical_concurrency + CONCURRENCY_SMOOTHING),
            )
        if host.open_attempts:  # guards against a stalling or dead server: it answers nobody
            time = max(time, self.now - host.last_active)
        return time

    def _fleet_stats(self, host: Host) -> HealthStats:
        """What all servers like this one met: one that has just started stood in no jam before."""
        return self.warm_stats if self._is_warm(host) else self.cold_stats

    def _record_outcome(self, attempt: Attempt, kind: int, event: api.AttemptEnded) -> None:
        """Each outcome tells of its server; a mark fades unless renewed, so that traffic returns gently."""
        host, zone, met = (
            attempt.host,
            self.zone_stats[attempt.host.entry.zone],
            self._fleet_stats(attempt.host),
        )
        for known in (host, zone, met):
            known.decay(self.now, DECAY_TIME)
        if event.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.FULL):
            host.last_active = self.now
            self.reinstated.pop(event.server, None)
            host.open_connections = max(host.open_connections, host.open_attempts + 1)
        elif host.open_attempts == 0:
            host.open_connections = 0  # cut off, with all that it had
        if event.outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            self.typical_concurrency += EWMA_WEIGHT * (attempt.concurrency - self.typical_concurrency)
            # Guards against a jam of all servers, where a gateway meets each of them too seldom to learn.
            for known in (host, met):
                known.slowdown += EWMA_WEIGHT * (
                    min(SLOWDOWN_MAX, event.duration / self.usual_times[kind]) - known.slowdown
                )
                known.typical_load += EWMA_WEIGHT * (attempt.load - known.typical_load)
            # Capped, so that in a jam an idle server still seems worth a try and the end of it is noticed.
            most = INITIAL_TARGET_SHARE * self.settings.classes[kind].target_latency
            self.usual_times[kind] = min(
                most, self.usual_times[kind] + EWMA_WEIGHT / 5 * (event.duration - self.usual_times[kind])
            )
        for known in (host, zone):  # in a cut each server of the zone would else be tried in turn
            if event.outcome is Outcome.SERVED:
                known.failures /= 2
            elif event.outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT):
                known.failures = min(known.failures + 1, 1 / EWMA_WEIGHT)  # soon forgiven

    # -- counts -------------------------------------------------------------------------------------------

    def _account(self, customer: int, plan: int, first: int, size: int, trusted: bool) -> Account:
        account, key = self.accounts.get(customer), (plan, first, max(1, min(size, self.settings.gateways)))
        if account is None:
            account = Account(customer, key, self.settings.plans[plan].burst, self.now)
            self.accounts[customer] = account
            self.idle_queue.append(customer)
        elif trusted:  # a request goes before a peer
            account.placement = key
        return account

    def _refill(self, account: Account) -> None:
        """Raise the limit by the time gone; room stays within the burst."""
        plan, span, account.refilled_at = (
            self.settings.plans[account.plan],
            self.now - account.refilled_at,
            self.now,
        )
        part = self._ceiling_share(account)
        gained = plan.ceiling_rate * part * span / SECOND
        account.ceiling_tokens = min(plan.ceiling_burst * part, account.ceiling_tokens + gained)
        share = 1 / account.size if self.gossip_disabled else 1.0  # a silent peer gets no rule: most are down
        burst = plan.burst * share
        account.isolated_share = (
            (account.isolated_share or self._local_share(account)) if self._is_isolated() else 0.0
        )
        share = account.isolated_share or share
        # Debt: what went beyond the quota took nothing from the true store, so the limit never lies below.
        limit = max(account.total, account.limit + plan.rate * share * span / SECOND)
        account.limit = min(limit, account.total + burst)
        nearly = account.remaining < (RESUME_ABOVE if account.throttled else THROTTLE_BELOW) * burst
        account.throttled = nearly and not self._outruns_gossip(account)  # its keeper is asked instead

    def _ceiling_share(self, account: Account) -> float:
        """Rule 5: each gateway alone fills its part of the ceiling's store, from nothing at its start. Half
        is the first keeper's, who gives of it what others want: it takes that off before it tells them."""
        return (1 + account.size * (self._owner(account) == self.rank)) / (2 * account.size)

    def _is_isolated(self) -> bool:
        """Whether nobody is heard any more: a few that are silent are down, and their clients come here."""
        if self.membership:
            return self.membership.isolated
        return (
            len(self.unresponsive) >= ISOLATION_MIN_UNRESPONSIVE
            and self.now - self.any_received_at > 2 * ANSWER_TIMEOUT
        )

    def _local_share(self, account: Account) -> float:
        """Of what the customer spent, the part spent here; where nothing is known, its share."""
        burst, own = self.settings.plans[account.plan].burst, account.counts.get(self.rank, (0, 0.0))[1]
        return min(1.0, (own + burst / account.size) / (account.total + burst)) if burst else 1.0

    def _outruns_gossip(self, account: Account) -> bool:
        """Whether news of it takes longer to go round its set than its burst takes to come back."""
        plan = self.settings.plans[account.plan]
        return (
            not self.gossip_disabled
            and GOSSIP_INTERVAL * (account.size - 1) * plan.rate > plan.burst * SECOND
        )

    def _spend(self, request: Request) -> None:
        account, units = request.account, request.event.units
        start, value = account.counts.get(self.rank, (self.now // MS // messages.TICK, 0.0))
        account.total += self._merge_count(account, self.rank, start, value + units)
        account.ceiling_tokens -= units if self.settings.plans[account.plan].ceiling_rate else 0.0
        if account.size > 1 and not self.gossip_disabled:
            self.pending_gossip[account.customer] = None
            if (
                not request.owner_replied or self.settings.plans[account.plan].ceiling_rate
            ):  # else it is counted in already
                self._notify_owner(account, request.owner_index)

    def _merge_count(self, account: Account, rank: int, start: int, value: float) -> float:
        """Newer start, then larger value; what was spent in an earlier life stays spent. The growth."""
        known = account.counts.get(rank, (-1, 0.0))
        if (start, value) <= known:
            return 0.0
        account.counts[rank] = start, value
        account.recent_ranks = (*(r for r in account.recent_ranks if r != rank), rank)[-ROW_COUNTS_MAX:]
        growth = value - known[1] if start == known[0] else value
        account.counted += growth
        return growth

    # -- gossip -------------------------------------------------------------------------------------------

    def _owner(self, account: Account, number: int = 0) -> int:
        return self._member_rank(account, (account.customer * OWNER_HASH_MULTIPLIER >> 16) + number)

    def _member_rank(self, account: Account, place: int) -> int:
        return (account.first + place % account.size) % self.settings.gateways

    def _notify_owner(self, account: Account, number: int) -> None:
        """Every approval is told to one gateway of the set, which adds them up; the next one stands in."""
        rank = self._owner(account, number)
        if number >= min(OWNER_CANDIDATES, account.size):
            account.unconfirmed = False  # nobody answers: it is not kept to its first share for good
            return
        if rank in self.unavailable:
            self._notify_owner(account, number + 1)
        elif rank != self.rank:
            self._refill(account)
            wanted = self._request_tokens(account)
            asks = (
                account.unconfirmed or wanted or self.now - self.last_received.get(rank, 0) > ANSWER_TIMEOUT
            )
            row = self._pack_row(account, 0, wanted)
            self._send_message(rank, [row], account.customer, number if asks else None, keep=True)
        elif account.unconfirmed:
            self._notify_owner(account, number + 1)
        else:
            self._broadcast_if_throttled(account)

    def _request_tokens(self, account: Account) -> float:
        """What there is room for of a ceiling's rights; several questions may be out."""
        burst = self.settings.plans[account.plan].ceiling_burst
        wanted = max(0.0, burst * self._ceiling_share(account) - account.ceiling_tokens)
        account.requested_tokens = min(burst, account.requested_tokens + wanted)
        return wanted

    def _is_unresponsive(self, rank: int, again: bool) -> bool:
        """Whether it left questions unanswered; it is tried anew now and then, once a request."""
        misses, last = self.unanswered_queries.get(rank, (0, 0))
        return misses >= UNANSWERED_QUERIES_MAX and (again or self.now - last < DECAY_TIME)

    def _check_answer(self) -> None:
        """Guards against cuts and dead keepers: no answer in time is told to the next keeper."""
        at, rank, customer, number = self.pending_answers.popleft()
        if self.now - at > 2 * ANSWER_TIMEOUT:  # we stood still ourselves: nothing is known of the other
            return
        if self.last_received.get(rank, -1) >= at:
            return
        self.unanswered_queries[rank] = self.unanswered_queries.get(rank, (0, 0))[0] + 1, self.now
        self.unresponsive.add(rank)
        if number >= 0 and (account := self.accounts.get(customer)):
            self._notify_owner(account, number + 1)

    def _broadcast_if_throttled(self, account: Account) -> None:
        """A customer was fast, its room is low: its set is told at once, and again if some miss it."""
        plan = self.settings.plans[account.plan]
        if (
            account.throttled
            and plan.rate * (self.now - account.broadcast_at) > THROTTLE_BELOW * plan.burst * SECOND
        ):
            account.broadcast_at = self.now
            self._broadcast(account, account.size - 1)

    def _broadcast(self, account: Account, reach: int) -> None:
        """Tell the next so many of the set: a few of them, each handing on to a part of the rest."""
        place = self._position(self.rank, account.first)
        step = -(-reach // FAN_OUT)
        done, part = 0, 1 + self.random.randrange(step) if reach else 0
        while done < reach:
            part = min(part, reach - done)
            ranks = [self._member_rank(account, place + 1 + done + i) for i in range(part)]
            first = next((i for i, rank in enumerate(ranks) if rank not in self.unavailable), None)
            if first is not None:
                self._send_message(ranks[first], [self._pack_row(account, part - 1 - first)])
            done, part = done + part, step

    def _gossip(self) -> None:
        """The pending changes that concern one random peer, those of the fastest customers first."""
        self.actions.append(api.SetTimer(GOSSIP_INTERVAL, GOSSIP_TIMER))
        if not self.pending_gossip:
            return
        account = self.accounts[next(iter(self.pending_gossip))]
        place = self._position(self.rank, account.first)
        for _ in range(PEER_DRAWS_MAX):
            rank = self._member_rank(account, place + 1 + self.random.randrange(account.size - 1))
            if rank not in self.unavailable:
                break
        else:
            return
        looked = [self.accounts[customer] for customer in islice(self.pending_gossip, GOSSIP_SCAN_MAX)]
        shared = [a for a in looked if self._position(rank, a.first) < a.size]
        shared.sort(key=lambda a: a.remaining / (self.settings.plans[a.plan].burst or 1.0))
        rows = messages.fit(self._pack_row(a, 0) for a in shared)
        if self._send_message(rank, rows, number=-1):
            for told in shared[: len(rows)]:
                del self.pending_gossip[told.customer]

    def _position(self, rank: int, first: int) -> int:
        return (rank - first) % self.settings.gateways

    def _send_message(
        self, rank: int, rows: list[bytes], customer=0, number: int | None = None, keep=False
    ) -> bool:
        """Every message passes here: all that one gateway sends stays below what one takes in."""
        gained = self.send_rate * (self.now - self.allowance_refilled_at) / SECOND
        self.send_allowance, self.allowance_refilled_at = (
            min(self.send_rate, self.send_allowance + gained),
            self.now,
        )
        if self.send_allowance < 1:
            return False
        self.send_allowance -= 1
        if number is not None:
            self.pending_answers.append((self.now, rank, customer, number))
            self.actions.append(api.SetTimer(ANSWER_TIMEOUT, ANSWER_TIMER))
        body = messages.pack(self.now // MS, number is not None, keep, rows)
        self.actions.append(api.SendPeerMessage(rank, body))
        return True

    def _pack_row(self, account: Account, reach: int, rights: float = 0.0, own: bool = False) -> bytes:
        self._refill(account)
        news = (
            (*account.recent_ranks, self.rank)[-ROW_COUNTS_MAX:]
            if own and self.rank in account.counts
            else account.recent_ranks
        )
        counts = tuple((rank, *account.counts[rank]) for rank in dict.fromkeys(news))
        row = messages.Row(
            account.customer, *account.placement, reach, account.remaining, account.total, rights, counts
        )
        return messages.pack_row(row, self.now // MS, self.settings.gateways)

    def _members_changed(self, event: api.MembersChanged) -> None:
        self.membership, self.unavailable = event, event.unavailable

    def _peer_message(self, event: api.PeerMessage) -> None:
        message = messages.unpack(
            event.body, self.now // MS, self.settings.gateways, len(self.settings.plans)
        )
        age = self.now - message.sent * MS if message else MESSAGE_AGE_MAX
        if (
            self.gossip_disabled
            or not 0 <= event.sender < self.settings.gateways
            or abs(age) >= MESSAGE_AGE_MAX
        ):
            return
        self.last_received[event.sender] = self.any_received_at = self.now
        self.unresponsive.clear()
        self.unanswered_queries.pop(event.sender, None)
        merged = []
        for row in message.rows:
            if self._position(self.rank, row.set_first) < row.set_size:
                account = self._merge_row(row, event.sender, max(0, age), message.keep)
                merged.append((account, row.rights if message.keep else 0.0))
                self._broadcast(account, min(row.reach, account.size - 1))
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
                return self._advance(request)

    def _answer_row(self, account: Account, rank: int, wanted: float, keep: bool) -> bytes:
        """Who is told that there is room will use it: counted in at once, or others would be told of it too.
        Where it asks once more it has not, so that is taken back."""
        if keep:
            held, at = account.promised.pop(rank, (0.0, 0))
            account.total -= held * (self.now - at < OWNER_QUERIES_MAX * OWNER_WAIT_TIMEOUT)
        row = self._pack_row(account, 0, self._grant_tokens(account, wanted))
        if (
            self._outruns_gossip(account)
            and not self.settings.plans[account.plan].ceiling_rate
            and wanted <= account.remaining
        ):
            account.promised[rank] = wanted, self.now
            account.total += wanted
        return row

    def _grant_tokens(self, account: Account, wanted: float) -> float:
        """Rights of a ceiling, off our part before they are told, so that loss is safe."""
        given = min(account.ceiling_tokens, wanted) if self._owner(account) == self.rank else 0.0
        account.ceiling_tokens -= given
        return given

    def _merge_row(self, row: messages.Row, sender: int, age: int, keep: bool) -> Account:
        """Newer start, then larger value; the larger limit."""
        account = self._account(row.customer, row.plan, row.set_first, row.set_size, trusted=False)
        account.unconfirmed, plan = False, self.settings.plans[account.plan]
        self._refill(account)
        told, given = 0.0, 0.0 if keep else min(row.rights, account.requested_tokens)
        account.ceiling_tokens, account.requested_tokens = (
            account.ceiling_tokens + given,
            account.requested_tokens - given,
        )
        for rank, start, value in row.counts:
            if rank != self.rank:  # our own count is ours; an earlier life's is within the total
                new = rank in account.counts or self.now // MS // messages.TICK - start < NEW_COUNT_TICKS
                grown = self._merge_count(account, rank, start, value)
                promised, at = account.promised.get(rank, (0.0, 0))
                known = min(grown, promised)
                if known:
                    account.promised[rank] = promised - known, at
                told += (grown - known) * (rank == sender and keep and new)
                if grown:
                    account.peer_approvals = (*account.peer_approvals, self.now)[-max(1, plan.max_open) :]
        if told:  # what is spread reaches all without
            self.pending_gossip[account.customer] = None
        # The total tells of counts that did not fit or were lost, so that a gateway that missed them knows.
        account.total = max(account.total + told, account.counted, row.total)
        account.limit = max(account.limit, row.total + row.room + plan.rate * age / SECOND)
        self._refill(account)
        return account

    def _evict_idle(self) -> None:
        """Full and idle accounts say nothing: forgotten a few at a time, one-off customers cost no memory."""
        for _ in range(min(IDLE_SCAN_MAX, len(self.idle_queue))):
            customer = self.idle_queue.popleft()
            self._refill(account := self.accounts[customer])
            plan = self.settings.plans[account.plan]
            full = (
                account.ceiling_tokens >= plan.ceiling_burst / account.size
                and account.remaining >= plan.burst
            )
            if account.open_attempts or account.waiting_units or not full:
                self.idle_queue.append(customer)
                continue
            del self.accounts[customer]
            self.pending_gossip.pop(customer, None)
