"""What the decisions do with membership's view: keepers, gossip, the part that is granted while apart."""

from __future__ import annotations

import pytest
from conftest import SECOND, Bench, of

from orchidlane import interface as api

SIZE = 8  # gateways, all in each customer's set


def told(actions) -> set[int]:
    return {action.peer for action in of(actions, api.SendPeerMessage)}


def served(bench: Bench, number: int, customer: int) -> list[api.Action]:
    """A request, answered at once by its host if it is let through."""
    actions = bench.ask(number, customer=customer, size=SIZE)
    for send in of(actions, api.Send):
        actions = actions + bench.outcome(number, send.server, api.Outcome.SERVED)
    return actions


@pytest.mark.parametrize("away", [frozenset(), frozenset({1, 2, 3}), frozenset(range(2, SIZE))])
def test_nobody_is_told_who_is_away(away):
    bench = Bench(gateways=SIZE, peer_intake=500.0)
    bench.feed(api.MembersChanged(away, False))
    seen: set[int] = set()
    for number in range(120):
        seen |= told(served(bench, number + 1, number % 20))
        seen |= told(bench.run(SECOND // 4))
    assert seen & away == set()
    assert seen == set(range(1, SIZE)) - away


def spent(bench: Bench, first: int, seconds: int) -> int:
    """Requests let through of a customer that asks for five times its quota."""
    sent = 0
    for number in range(10 * seconds):
        sent += len(of(served(bench, first + number, 5), api.Send))
        bench.run(SECOND // 10)
    return sent


def test_who_is_apart_grants_its_part_and_the_whole_again_after():
    """By the part that it spent of all that is known: others spent nine in ten here."""
    figures = {}
    for holds in (False, True):
        bench = Bench(gateways=SIZE)
        spent(bench, 1, 10)
        account = bench.gateway.accounts[5]
        account.total, account.limit = account.total * 10, account.limit + account.total * 9
        bench.feed(api.MembersChanged(frozenset(), holds))
        figures[holds] = spent(bench, 1_000, 60)
    assert figures[False] > 100  # two a second
    assert figures[True] < 0.4 * figures[False]
    bench.feed(api.MembersChanged(frozenset(), False))
    spent(bench, 5_000, 10)
    assert spent(bench, 6_000, 30) > 50


def test_without_a_view_silence_alone_tells():
    bench = Bench(gateways=SIZE)
    assert bench.gateway.membership is None and bench.gateway.unavailable == frozenset()
