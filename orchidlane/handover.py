"""Encoding and decoding of a gateway's state as JSON values, for its successor in an upgrade.

All values are validated before any of them is used: an invalid state raises ValueError and leaves the gateway
unchanged. Open attempts are not part of the state: the successor receives them as events, and later their
outcomes.
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


def _encode_stats(stats: HealthStats) -> list[float]:
    return [stats.updated_at, stats.slowdown, stats.typical_load, stats.failures]


def encode_state(gateway: Gateway) -> dict[str, Any]:
    """Encode what the successor takes over, except the accounts."""
    return {
        "shape": _settings_shape(gateway),
        "usual": gateway.usual_times,
        "budget": [gateway.retry_budget, gateway.next_trial_at],
        "intake": [gateway.send_allowance, gateway.allowance_refilled_at],
        "met": _encode_stats(gateway.warm_stats),
        "zones": [[zone, *_encode_stats(stats)] for zone, stats in gateway.zone_stats.items()],
        "hosts": [
            [host.entry.server.decode("latin-1"), host.entry.launched, host.last_active, *_encode_stats(host)]
            for host in gateway.hosts.values()
        ],
        "names": [server.decode("latin-1") for server in gateway.server_names],
        "banned": [server.decode("latin-1") for server in gateway.banned],
        "returned": [[server.decode("latin-1"), *times] for server, times in gateway.reinstated.items()],
        "heard": list(gateway.last_received.items()),
        "changed": list(gateway.pending_gossip),
    }


def encode_accounts(gateway: Gateway) -> Iterator[list[Any]]:
    """Encode one row per customer, without open attempts, in the order of their checks for eviction."""
    for customer in gateway.idle_queue:
        account = gateway.accounts[customer]
        counts = [[rank, start, value] for rank, (start, value) in account.counts.items()]
        amounts = [
            account.limit,
            account.counted,
            account.total,
            account.ceiling_tokens,
            account.requested_tokens,
        ]
        yield [
            account.customer,
            *account.placement,
            amounts,
            account.refilled_at,
            account.broadcast_at,
            counts,
            account.recent_ranks,
            account.peer_approvals,
            account.unconfirmed,
            account.throttled,
        ]


def open_attempt_events(gateway: Gateway) -> list[api.AttemptElsewhere]:
    """Return the open attempts as events for the successor."""
    return [
        api.AttemptElsewhere(request.event, number, attempt.host.entry.server, attempt.sent_at)
        for (_, number), (attempt, request) in gateway.attempts.items()
    ]


@dataclass(frozen=True, slots=True)
class DecodedState:
    """A validated state, which fits the settings of the gateway."""

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
        """Restore the state into a gateway.

        A server's health statistics are restored if the gateway's server list contains it already, with the
        same launch time.
        """
        gateway.usual_times = self.usual_times
        gateway.retry_budget = self.retry_budget
        gateway.next_trial_at = self.next_trial_at
        gateway.send_allowance = self.send_allowance
        gateway.allowance_refilled_at = self.allowance_refilled_at
        gateway.last_received = self.last_received
        gateway.warm_stats = self.warm_stats
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
        for server, launched, last_active, stats in self.hosts:
            host = gateway.hosts.get(server)
            if host is not None and host.entry.launched == launched:
                host.last_active = last_active
                host.updated_at = stats.updated_at
                host.slowdown = stats.slowdown
                host.typical_load = stats.typical_load
                host.failures = stats.failures


def decode(gateway: Gateway, state: dict[str, Any], rows: list[list[Any]]) -> DecodedState:
    """Validate and decode the state of the predecessor, the process that this one replaces in an upgrade.

    ``state`` is encoded by ``encode_state``, ``rows`` by ``encode_accounts``. Raises ValueError if they are
    invalid for this gateway.
    """
    try:
        if state["shape"] != _settings_shape(gateway):
            raise ValueError("state of a gateway with different settings")
        accounts = [_decode_account(gateway, row) for row in rows]
        usual_times = [_finite_number(value) for value in state["usual"]]
        customers = {account.customer for account in accounts}
        if len(usual_times) != len(gateway.usual_times) or len(customers) != len(accounts):
            raise ValueError("missing request class or duplicate customer")
        retry_budget, next_trial_at, send_allowance, allowance_refilled_at = map(
            _finite_number, state["budget"] + state["intake"]
        )
        return DecodedState(
            accounts,
            usual_times,
            retry_budget,
            next_trial_at,
            send_allowance,
            int(allowance_refilled_at),
            _decode_stats(state["met"]),
            {int(zone): _decode_stats(stats) for zone, *stats in state["zones"]},
            [
                (server.encode("latin-1"), int(launched), int(last_active), _decode_stats(stats))
                for server, launched, last_active, *stats in state["hosts"]
            ],
            [server.encode("latin-1") for server in state["names"]],
            [server.encode("latin-1") for server in state["banned"]],
            {
                server.encode("latin-1"): (int(ends_at), int(next_at))
                for server, ends_at, next_at in state["returned"]
            },
            {int(rank): int(received_at) for rank, received_at in state["heard"]},
            [int(customer) for customer in state["changed"]],
        )
    except INVALID_STATE_ERRORS as error:
        raise ValueError(f"unusable state: {error!r}") from error


def _settings_shape(gateway: Gateway) -> list[int]:
    """Return the part of the settings that must be equal in both processes."""
    settings = gateway.settings
    return [settings.rank, settings.gateways, len(settings.plans), len(settings.classes)]


def _finite_number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ValueError("not a finite number")
    return float(value)


def _decode_stats(values: list[Any]) -> HealthStats:
    updated_at, *rest = map(_finite_number, values)
    slowdown, typical_load, failures = rest
    if slowdown < 0 or typical_load <= 0 or failures < 0:
        raise ValueError("health statistics out of range")
    return HealthStats(int(updated_at), slowdown, typical_load, failures)


def _decode_account(gateway: Gateway, row: list[Any]) -> Account:
    (
        customer,
        plan,
        first,
        size,
        amounts,
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
        raise ValueError("unknown plan or invalid gateway set")
    limit, counted, total, ceiling_tokens, requested_tokens = map(_finite_number, amounts)
    by_rank = {rank: (int(start), _finite_number(value)) for rank, start, value in counts}
    if any(rank not in ranks for rank in by_rank) or any(rank not in by_rank for rank in recent_ranks):
        raise ValueError("unknown gateway rank")
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
        tuple(int(approved_at) for approved_at in peer_approvals),
        int(broadcast_at),
        ceiling_tokens,
        requested_tokens,
        throttled=throttled is True,
    )
