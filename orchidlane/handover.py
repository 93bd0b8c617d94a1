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
from .state import Account, Known

WRONG = (KeyError, TypeError, ValueError, IndexError, OverflowError, AttributeError)


def _marks(known: Known) -> list[float]:
    return [known.seen, known.slow, known.typical, known.fails]


def head(gateway: Gateway) -> dict[str, Any]:
    """All but the accounts."""
    return {
        "shape": _shape(gateway),
        "usual": gateway.usual,
        "budget": [gateway.budget, gateway.next_try],
        "intake": [gateway.allowance, gateway.filled],
        "met": _marks(gateway.met),
        "zones": [[zone, *_marks(known)] for zone, known in gateway.zones_met.items()],
        "hosts": [
            [host.entry.server.decode("latin-1"), host.entry.launched, host.active, *_marks(host)]
            for host in gateway.hosts.values()
        ],
        "names": [server.decode("latin-1") for server in gateway.names],
        "banned": [server.decode("latin-1") for server in gateway.banned],
        "returned": [[server.decode("latin-1"), *times] for server, times in gateway.returned.items()],
        "heard": list(gateway.heard.items()),
        "changed": list(gateway.changed),
    }


def accounts(gateway: Gateway) -> Iterator[list[Any]]:
    """One row a customer, in the order of their next look; the attempts out are not in it."""
    for customer in gateway.idle_queue:
        a = gateway.accounts[customer]
        counts = [[rank, start, value] for rank, (start, value) in a.counts.items()]
        floats = [a.limit, a.spent, a.total, a.ceiling, a.asked]
        yield [a.customer, *a.key, floats, a.risen, a.spread, counts, a.news, a.others, a.fresh, a.closed]


def out(gateway: Gateway) -> list[api.AttemptElsewhere]:
    """The attempts out, as the other process is told of them."""
    return [
        api.AttemptElsewhere(request.event, number, attempt.host.entry.server, attempt.sent)
        for (_, number), (attempt, request) in gateway.attempts.items()
    ]


@dataclass(frozen=True, slots=True)
class State:
    """A state that makes sense, for a gateway of these settings."""

    accounts: list[Account]
    usual: list[float]
    budget: float
    next_try: float
    allowance: float
    filled: int
    met: Known
    zones: dict[int, Known]
    hosts: list[tuple[api.Server, int, int, Known]]
    names: list[api.Server]
    banned: list[api.Server]
    returned: dict[api.Server, tuple[int, int]]
    heard: dict[int, int]
    changed: list[int]

    def load(self, gateway: Gateway) -> None:
        """Go on from there, with the servers that the gateway knows by now."""
        gateway.usual, gateway.budget, gateway.next_try = self.usual, self.budget, self.next_try
        gateway.allowance, gateway.filled = self.allowance, self.filled
        gateway.heard, gateway.met = self.heard, self.met
        gateway.names = dict.fromkeys((*self.names, *gateway.names))
        for server in self.banned:
            gateway.ban(server)
        gateway.returned = self.returned
        gateway.zones_met |= self.zones
        gateway.accounts = {account.customer: account for account in self.accounts}
        gateway.idle_queue.extend(gateway.accounts)
        gateway.changed = {customer: None for customer in self.changed if customer in gateway.accounts}
        for server, launched, active, marks in self.hosts:
            host = gateway.hosts.get(server)
            if host is not None and host.entry.launched == launched:
                host.active, host.seen, host.slow = active, marks.seen, marks.slow
                host.typical, host.fails = marks.typical, marks.fails


def read(gateway: Gateway, state: dict[str, Any], rows: list[list[Any]]) -> State:
    """What the other process told; raises ValueError where it is no state of such a gateway."""
    try:
        if state["shape"] != _shape(gateway):
            raise ValueError("of a gateway with other settings")
        accounts = [_account(gateway, row) for row in rows]
        usual = [_number(value) for value in state["usual"]]
        if len(usual) != len(gateway.usual) or len({a.customer for a in accounts}) != len(accounts):
            raise ValueError("a class is missing, or a customer stands twice")
        budget, next_try, allowance, filled = map(_number, state["budget"] + state["intake"])
        return State(
            accounts,
            usual,
            budget,
            next_try,
            allowance,
            int(filled),
            _known(state["met"]),
            {int(zone): _known(marks) for zone, *marks in state["zones"]},
            [
                (server.encode("latin-1"), int(launched), int(active), _known(marks))
                for server, launched, active, *marks in state["hosts"]
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
    except WRONG as wrong:
        raise ValueError(f"no usable state: {wrong!r}") from wrong


def _shape(gateway: Gateway) -> list[int]:
    s = gateway.s
    return [s.rank, s.gateways, len(s.plans), len(s.classes)]


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ValueError("not a number")
    return float(value)


def _known(marks: list[Any]) -> Known:
    seen, *rest = map(_number, marks)
    slow, typical, fails = rest
    if slow < 0 or typical <= 0 or fails < 0:
        raise ValueError("marks out of range")
    return Known(int(seen), slow, typical, fails)


def _account(gateway: Gateway, row: list[Any]) -> Account:
    customer, plan, first, size, floats, risen, spread, counts, news, others, fresh, closed = row
    ranks = range(gateway.s.gateways)
    if plan not in range(len(gateway.s.plans)) or first not in ranks or size - 1 not in ranks:
        raise ValueError("no such plan or set")
    limit, spent, total, ceiling, asked = map(_number, floats)
    by_rank = {rank: (int(start), _number(value)) for rank, start, value in counts}
    if any(rank not in ranks for rank in by_rank) or any(rank not in by_rank for rank in news):
        raise ValueError("no such gateway")
    return Account(
        int(customer),
        (plan, first, size),
        limit,
        int(risen),
        by_rank,
        spent,
        total,
        tuple(news),
        fresh is True,
        0,
        tuple(int(at) for at in others),
        int(spread),
        ceiling,
        asked,
        closed=closed is True,
    )
