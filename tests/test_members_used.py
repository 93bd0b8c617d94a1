"""Use of the membership view in decisions: no messages to absent gateways, reduced grants while cut off."""

from __future__ import annotations

import pytest
from conftest import SECOND, GatewayHarness, of_type

from orchidlane import interface as api

GATEWAYS = 8  # all of them in each customer's set


def receivers(actions) -> set[int]:
    return {action.peer for action in of_type(actions, api.SendPeerMessage)}


def send_and_serve(harness: GatewayHarness, number: int, customer: int) -> list[api.Action]:
    """Send a request, which its host serves at once if it is admitted; return all actions."""
    actions = harness.send_request(number, customer=customer, set_size=GATEWAYS)
    for send in of_type(actions, api.Send):
        actions = actions + harness.end_attempt(number, send.server, api.Outcome.SERVED)
    return actions


@pytest.mark.parametrize("absent", [frozenset(), frozenset({1, 2, 3}), frozenset(range(2, GATEWAYS))])
def test_messages_go_to_present_gateways_only(absent):
    harness = GatewayHarness(gateways=GATEWAYS, peer_intake=500.0)
    harness.feed(api.MembersChanged(absent, False))
    notified: set[int] = set()
    for number in range(120):
        notified |= receivers(send_and_serve(harness, number + 1, number % 20))
        notified |= receivers(harness.run(SECOND // 4))
    assert notified & absent == set()
    assert notified == set(range(1, GATEWAYS)) - absent


def count_admitted(harness: GatewayHarness, first: int, seconds: int) -> int:
    """Send five times the quota of a customer; return the number of admitted requests."""
    count = 0
    for number in range(10 * seconds):
        count += len(of_type(send_and_serve(harness, first + number, 5), api.Send))
        harness.run(SECOND // 10)
    return count


def test_a_cut_off_gateway_grants_its_share_until_it_is_connected_again():
    """Its share is the fraction of the known usage that it granted itself; here others granted 90%."""
    admissions = {}
    for cut_off in (False, True):
        harness = GatewayHarness(gateways=GATEWAYS)
        count_admitted(harness, 1, 10)
        account = harness.gateway.accounts[5]
        account.total, account.limit = account.total * 10, account.limit + account.total * 9
        harness.feed(api.MembersChanged(frozenset(), cut_off))
        admissions[cut_off] = count_admitted(harness, 1_000, 60)
    assert admissions[False] > 100  # two per second
    assert admissions[True] < 0.4 * admissions[False]
    harness.feed(api.MembersChanged(frozenset(), False))
    count_admitted(harness, 5_000, 10)
    assert count_admitted(harness, 6_000, 30) > 50


def test_without_membership_no_gateway_counts_as_absent():
    harness = GatewayHarness(gateways=GATEWAYS)
    assert harness.gateway.membership is None and harness.gateway.unavailable == frozenset()
