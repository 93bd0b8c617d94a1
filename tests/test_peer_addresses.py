"""Address discovery between gateways: on a simulated network, and by the rendezvous of the list service."""

from __future__ import annotations

import asyncio

import pytest
from conftest import asyncio_test, until
from hypothesis import given
from hypothesis import strategies as st
from registry_processes import Registry, call

from lab.address_discovery import Network
from lab.defects import DoesNotPassOn, TakesHearsay, TakesSource
from ops.http import HTTPError, Invalid
from orchidlane import member_messages as messages
from registry import rendezvous as registry_rendezvous
from saffrongw import address_book
from saffrongw import rendezvous as gateway_rendezvous

KEY = messages.tag_key("lab")
SEEDS = (1, 2, 3)


def joined_fleet(seed: int, factory=address_book.AddressBook, size: int = 12, loss: float = 0.0) -> Network:
    """Return a fleet in which each gateway joined through one that started earlier, without a list of all."""
    network = Network(size, seed, factory, loss)
    for rank in range(size):
        network.start(rank, 7_000 + rank, [7_000 + rank // 2] if rank else [])
        network.run(0.3)
    network.run_until(network.converged, 60)
    return network


def check_join(factory, seed: int) -> None:
    """A gateway joins through any other, although a ``join`` address and ranks 0 and 1 are dead."""
    network = joined_fleet(seed, factory, loss=0.05)
    for rank in (0, 1):
        network.nodes["10.0.0.1", 7_000 + rank].dead = True
    for node in network.nodes.values():
        node.peer_addresses = {rank: at for rank, at in node.peer_addresses.items() if rank > 1}
    network.start(1, 7_101, [7_000, 7_007])
    network.run_until(network.converged, 30)


def check_separate_groups(factory, seed: int) -> None:
    """Two groups that started separately find each other by their ``join`` addresses."""
    network = Network(8, seed, factory)
    for rank in range(8):
        network.start(rank, 7_000 + rank, [7_000 + (rank & 4), 7_000])
    network.run_until(network.converged, 60)


def check_new_address(factory, seed: int) -> None:
    """A rank that starts at a new address is found there; its earlier process, still running, yields."""
    network = joined_fleet(seed, factory)
    predecessor = network.nodes["10.0.0.1", 7_003]
    successor = network.start(3, 7_103, [7_005])
    others = [node for at, node in network.nodes.items() if node.core.rank != 3]
    network.run_until(lambda: all(node.peer_addresses[3] == ("10.0.0.1", 7_103) for node in others), 40)
    network.run_until(lambda: predecessor.replaced_by == successor.core.life, 60)
    assert not successor.replaced_by


def check_replay(factory, seed: int) -> None:
    """Datagrams replayed from another address change no binding and cause a bounded number of messages."""
    network = joined_fleet(seed, factory)
    bindings = {at: dict(node.peer_addresses) for at, node in network.nodes.items()}
    before, seen = network.datagrams_sent.total(), list(network.transmitted)
    for source, to, body in seen:
        network.send(("10.9.9.9", source[1]), to, body)
    network.run(2)
    assert {at: node.peer_addresses for at, node in network.nodes.items()} == bindings
    assert network.datagrams_sent.total() - before <= 4 * len(seen)


def check_false_reports(factory, seed: int) -> None:
    """A member that reports wrong addresses with greater lives, with a valid tag, changes no binding."""
    network = joined_fleet(seed, factory)
    bindings = {at: dict(node.peer_addresses) for at, node in network.nodes.items() if node.core.rank != 2}
    faulty = network.nodes["10.0.0.1", 7_002].core
    for rank in faulty.peers:
        faulty.peers[rank] = address_book.PeerAddress(faulty.life + 10**9, ("10.0.0.1", 9_000 + rank))
    faulty.peers_digest = 1  # a differing digest makes the others request its table
    network.run(30)
    assert {at: node.peer_addresses for at, node in network.nodes.items() if node.core.rank != 2} == bindings


CHECKS = (check_join, check_separate_groups, check_new_address, check_replay, check_false_reports)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("check", CHECKS)
def test_addresses_are_discovered(check, seed):
    check(address_book.AddressBook, seed)


@pytest.mark.parametrize(
    ("defect", "check"),
    [(DoesNotPassOn, check_join), (TakesSource, check_replay), (TakesHearsay, check_false_reports)],
)
def test_a_planted_defect_is_found(defect, check):
    with pytest.raises((AssertionError, TimeoutError)):
        for seed in SEEDS:
            check(defect, seed)


def test_a_new_gateway_learns_a_hundred_addresses_soon_with_a_bounded_number_of_messages():
    network = Network(100, 1)
    for rank in range(99):
        network.start(rank, 7_000 + rank, [7_000] if rank else [])
    network.run_until(network.converged, 120)
    network.run(20)
    before = dict(network.datagrams_sent)
    new = network.start(99, 7_099, [7_050])
    duration = network.run_until(network.converged, 30)
    assert duration < 8
    assert network.datagrams_sent["10.0.0.1", 7_099] < 3 * 100
    for at, sent in before.items():  # each of them may contact its ``join`` address
        assert network.datagrams_sent[at] - sent < (200 if at[1] == 7_000 else 60)
    assert not new.core.has_candidates


@given(st.binary(max_size=300), st.integers(0, 255), st.integers(1, 255))
def test_invalid_datagrams_and_those_of_other_clusters_or_versions_change_nothing(noise, at, flip):
    core = address_book.AddressBook(0, 8, "lab", 1_000, ("10.0.0.1", 7_000), [("10.0.0.1", 7_001)], 1)
    [hello] = [action for action in core.tick(0) if isinstance(action, address_book.SendDatagram)]
    body = bytearray(hello.body)
    body[at % len(body)] ^= flip
    other = address_book.AddressBook(1, 8, "other", 2_000, ("10.0.0.1", 7_001), [("10.0.0.1", 7_000)], 1)
    foreign = [action.body for action in other.tick(0) if isinstance(action, address_book.SendDatagram)]
    for data in (noise, bytes((messages.FORMAT, address_book.VERSION)) + noise, bytes(body), *foreign):
        assert core.receive(1, ("10.0.0.1", 7_001), data) == []
    assert core.peers == {} and not core.has_candidates
    assert core.counts.total() == core.counts["sent"] + 4


def announcement(rank: int = 1, life: int = 5, port: int = 7_001, **changes) -> dict:
    return {"rank": rank, "life": life, "dial": f"10.0.0.1:{port}", "lease_ms": 30_000} | changes


def test_the_rendezvous_returns_the_latest_of_the_same_cluster_and_the_successor_of_the_caller():
    now = [0.0]
    rendezvous = registry_rendezvous.Rendezvous(lambda: now[0])
    for rank in range(40):
        now[0] = float(rank) / 10
        rendezvous.announce("valley", announcement(rank, 5, 7_000 + rank))
    assert rendezvous.announce("ridge", announcement(3))["gateways"] == []
    returned = rendezvous.announce("valley", announcement(3, 5, 7_003))["gateways"]
    assert [row["rank"] for row in returned] == [rank for rank in range(39, -1, -1) if rank != 3]
    now[0] = 32.5
    assert {
        row["rank"] for row in rendezvous.announce("valley", announcement(3, 9, 7_103))["gateways"]
    } == set(range(26, 40))
    predecessor = rendezvous.announce("valley", announcement(3, 5, 7_003))["gateways"]
    assert predecessor[0] == {"rank": 3, "life": 9, "dial": "10.0.0.1:7103"}
    now[0] = 63.0
    assert rendezvous.announce("valley", announcement(7))["gateways"] == []


@pytest.mark.parametrize(
    "malformed",
    [
        {"rank": -1},
        {"rank": 70_000},
        {"life": 0},
        {"life": "5"},
        {"dial": "here:1"},
        {"lease_ms": 10},
        {"lease_ms": 10**9},
        {"more": 1},
    ],
)
def test_the_rendezvous_refuses_malformed_announcements(malformed):
    rendezvous = registry_rendezvous.Rendezvous(lambda: 0.0)
    with pytest.raises(Invalid):
        rendezvous.announce("valley", announcement() | malformed)
    with pytest.raises(Invalid):
        rendezvous.announce("no cluster", announcement())
    assert rendezvous.announcements == {}


def test_the_rendezvous_is_bounded_and_drops_expired_leases(monkeypatch):
    monkeypatch.setattr(registry_rendezvous, "MAX_ANNOUNCEMENTS", 3)
    now = [0.0]
    rendezvous = registry_rendezvous.Rendezvous(lambda: now[0])
    for rank in range(3):
        rendezvous.announce("valley", announcement(rank))
    with pytest.raises(HTTPError, match="full"):
        rendezvous.announce("valley", announcement(3))
    assert rendezvous.announce("valley", announcement(2))["gateways"]
    now[0] = 31.0
    rendezvous.announce("valley", announcement(3))
    assert len(rendezvous.announcements) == 1


@asyncio_test
async def test_gateways_announce_at_the_primary_and_a_follower_redirects_to_it(tmp_path):
    async with Registry(tmp_path) as registry:
        primary = await registry.node().start("--new")
        follower = await registry.node("b", follow=primary.listen).start("--new")
        cores = [
            address_book.AddressBook(rank, 4, "valley", 10 + rank, ("127.0.0.1", 7_000 + rank), [], rank)
            for rank in range(3)
        ]

        def address(text: str) -> tuple[str, int]:
            host, _, port = text.rpartition(":")
            return host, int(port)

        clients = [
            gateway_rendezvous.RendezvousClient(address(primary.listen), "valley", core, lambda: 0)
            for core in cores
        ]
        for client in clients:
            client.start()
        await until(lambda: all(len(core.candidates) == 2 for core in cores), 10)
        for client in clients:
            client.stop()
        refused = await call(follower.listen, "POST", "/registry/gateways/valley", announcement())
        assert refused.status == 421 and refused["primary"] == primary.listen
        for method, target, status in [
            ("GET", "/registry/gateways/valley", 405),
            ("POST", "/registry/gateways", 404),
            ("POST", "/registry/gateways/valley/1", 404),
        ]:
            assert (await call(primary.listen, method, target, announcement())).status == status
        misdirected = gateway_rendezvous.RendezvousClient(
            address(follower.listen), "valley", cores[0], lambda: 0
        )
        with pytest.raises(ValueError, match="421: announcements go to the primary"):
            await asyncio.wait_for(misdirected._announce(), 5)
