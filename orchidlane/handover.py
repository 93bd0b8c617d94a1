"""What a gateway remembers, as plain JSON values for the process that goes on in its place, and back.

Nothing here decides anything. All values are checked before the first of them is used: a state that makes
no sense raises ValueError and leaves the gateway as it was. Attempts that are out are not part of the state:
they are told as events, and so is what becomes of them.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from . import interface as api
from .rules import Gateway
from .state import Account, HealthStats

INVALID_STATE_ERRORS = (KeyError, TypeError, ValueError, IndexError, OverflowError, AttributeError)


def _marks(known: HealthStats) -> list[float]:
    return [known.updated_at, known.slowdown, known.typical_load, known.failures]


def encode_state(gateway: Gateway) -> dict[str, Any]:
    """All but the accounts."""
    return {
        "shape": _shape(gateway),
        "usual": gateway.usual_times,
        "budget": [gateway.retry_budget, gateway.next_trial_at],
        "intake": [gateway.send_allowance, gateway.allowance_refilled_at],
        "met": _marks(gateway.warm_stats),
        "zones": [[zone, *_marks(known)] for zone, known in gateway.zone_stats.items()],
        "hosts": [
            [host.entry.server.decode("latin-1"), host.entry.launched, host.last_active, *_marks(host)]
            for host in gateway.hosts.values()
        ],
        "names": [server.decode("latin-1") for server in gateway.server_names],
        "banned": [server.decode("latin-1") for server in gateway.banned],
        "returned": [[server.decode("latin-1"), *times] for server, times in gateway.reinstated.items()],
        "heard": list(gateway.last_received.items()),
        "changed": list(gateway.pending_gossip),
    }


def encode_accounts(gateway: Gateway) -> Iterator[list[Any]]:
    """One row a customer, in the order of their next look; the attempts out are not in it."""
    for customer in gateway.idle_queue:
        a = gateway.accounts[customer]
        counts = [[rank, start, value] for rank, (start, value) in a.counts.items()]
        floats = [a.limit, a.counted, a.total, a.ceiling_tokens, a.requested_tokens]
        yield [
            a.customer,
            *a.placement,
            floats,
            a.refilled_at,
            a.broadcast_at,
            counts,
            a.recent_ranks,
            a.peer_approvals,
            a.unconfirmed,
            a.throttled,
        ]


def open_attempt_events(gateway: Gateway) -> list[api.AttemptElsewhere]:
    """The attempts out, as the other process is told of them."""
    return [
        api.AttemptElsewhere(request.event, number, attempt.host.entry.server, attempt.sent_at)
        for (_, number), (attempt, request) in gateway.attempts.items()
    ]


@dataclass(frozen=True, slots=True)
class DecodedState:
    """A state that makes sense, for a gateway of these settings."""

    accounts: list[Account]
    usual_times: list[float]
    retry_budget: float
    next_trial_at: float
    send_allowance: float
    allowance_refilled_at: int
    warm_stats: HealthStats
    zones: dict[int, HealthStats]
    hosts: list[tuple[api.Server, int, int, HealthStats]]
    server_names: list[api.Server]
    banned: list[api.Server]
    reinstated: dict[api.Server, tuple[int, int]]
    last_received: dict[int, int]
    pending_gossip: list[int]

    def apply_to(self, gateway: Gateway) -> None:
        """Go on from there, with the servers that the gateway knows by now."""
        gateway.usual_times, gateway.retry_budget, gateway.next_trial_at = (
            self.usual_times,
            self.retry_budget,
            self.next_trial_at,
        )
        gateway.send_allowance, gateway.allowance_refilled_at = (
            self.send_allowance,
            self.allowance_refilled_at,
        )
        gateway.last_received, gateway.warm_stats = self.last_received, self.warm_stats
        gateway.server_names = dict.fromkeys((*self.server_names, *gateway.server_names))
        for server in self.banned:
            gateway.ban(server)
        gateway.reinstated = self.reinstated
        gateway.zone_stats |= self.zones
        gateway.accounts = {account.customer: account for account in self.accounts}
        gateway.idle_queue.extend(gateway.accounts)
        gateway.pending_gossip = {
            customer: None for customer in self.pending_gossip if customer in gateway.accounts
        }
        for server, launched, last_active, marks in self.hosts:
            host = gateway.hosts.get(server)
            if host is not None and host.entry.launched == launched:
                host.last_active, host.updated_at, host.slowdown = (
                    last_active,
                    marks.updated_at,
                    marks.slowdown,
                )
                host.typical_load, host.failures = marks.typical_load, marks.failures


def decode(gateway: Gateway, state: dict[str, Any], rows: list[list[Any]]) -> DecodedState:
    """What the other process told; raises ValueError where it is no state of such a gateway."""
    try:
        if state["shape"] != _shape(gateway):
            raise ValueError("of a gateway with other settings")
        accounts = [_account(gateway, row) for row in rows]
        usual_times = [_number(value) for value in state["usual"]]
        if len(usual_times) != len(gateway.usual_times) or len({a.customer for a in accounts}) != len(
            accounts
        ):
            raise ValueError("a class is missing, or a customer stands twice")
        retry_budget, next_trial_at, send_allowance, allowance_refilled_at = map(
            _number, state["budget"] + state["intake"]
        )
        return DecodedState(
            accounts,
            usual_times,
            retry_budget,
            next_trial_at,
            send_allowance,
            int(allowance_refilled_at),
            _known(state["met"]),
            {int(zone): _known(marks) for zone, *marks in state["zones"]},
            [
                (server.encode("latin-1"), int(launched), int(last_active), _known(marks))
                for server, launched, last_active, *marks in state["hosts"]
            ],
            [server.encode("latin-1") for server in state["names"]],
            [server.encode("latin-1") for server in state["banned"]],
            {
                server.encode("latin-1"): (int(until), int(after))
                for server, until, after in state["returned"]
            },
            {int(rank): int(at) for rank, at in state["heard"]},
            [int(customer) for customer in state["changed"]],
        )
    except INVALID_STATE_ERRORS as wrong:
        raise ValueError(f"no usable state: {wrong!r}") from wrong


def _shape(gateway: Gateway) -> list[int]:
    s = gateway.settings
    return [s.rank, s.gateways, len(s.plans), len(s.classes)]


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ValueError("not a number")
    return float(value)


def _known(marks: list[Any]) -> HealthStats:
    updated_at, *rest = map(_number, marks)
    slowdown, typical_load, failures = rest
    if slowdown < 0 or typical_load <= 0 or failures < 0:
        raise ValueError("marks out of range")
    return HealthStats(int(updated_at), slowdown, typical_load, failures)


def _account(gateway: Gateway, row: list[Any]) -> Account:
    (
        customer,
        plan,
        first,
        size,
        floats,
        refilled_at,
        broadcast_at,
        counts,
        recent_ranks,
        peer_approvals,
        unconfirmed,
        throttled,
    ) = row
    ranks = range(gateway.settings.gateways)
    if plan not in range(len(gateway.settings.plans)) or first not in ranks or size - 1 not in ranks:
        raise ValueError("no such plan or set")
    limit, counted, total, ceiling_tokens, requested_tokens = map(_number, floats)
    by_rank = {rank: (int(start), _number(value)) for rank, start, value in counts}
    if any(rank not in ranks for rank in by_rank) or any(rank not in by_rank for rank in recent_ranks):
        raise ValueError("no such gateway")
    return Account(
        int(customer),
        (plan, first, size),
        limit,
        int(refilled_at),
        by_rank,
        counted,
        total,
        tuple(recent_ranks),
        unconfirmed is True,
        0,
        tuple(int(at) for at in peer_approvals),
        int(broadcast_at),
        ceiling_tokens,
        requested_tokens,
        throttled=throttled is True,
    )
