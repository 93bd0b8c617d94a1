"""Leases: only over time in which the service ran, and never many at once unseen."""

from __future__ import annotations

import asyncio
import random
import signal

import pytest
from conftest import asyncio_test
from listing import Registry, call, names

from registry import primary
from registry.entries import Entry, Record
from registry.leases import CHECK_INTERVAL, Leases
from registry.primary import Primary
from registry.store import PRIMARY, Store

LEASE = 10_000
ENTRY = Entry("s-1", "127.0.0.1:6001", "hall-a", "m", 1, "SERVING", 1.0, 1)


class Clock:
    """Leases with a clock of their own; some hosts renew three times a lease."""

    def __init__(self, hosts: int, share=0.2, seed=1) -> None:
        self.now, self.random = 100.0, random.Random(seed)
        self.leases = Leases(lambda: self.now, share)
        self.next = {f"s-{number}": self.now + self.random.uniform(0, 3) for number in range(hosts)}
        self.off: set[str] = set()
        for host in self.next:
            self.leases.renew(host, LEASE)

    def run(self, seconds: float, silent=(), step=CHECK_INTERVAL) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for host, at in self.next.items():
                if at <= self.now and host not in silent and host not in self.off:
                    self.leases.renew(host, LEASE)
                    self.next[host] = self.now + 3
            for host in self.leases.collect_expired():
                self.off.add(host)
                self.leases.remove(host)


def test_a_few_silent_hosts_are_taken_off_at_their_time_and_no_others():
    clock = Clock(100)
    clock.run(30)
    silent = {"s-1", "s-2", "s-3"}
    clock.run(6, silent)
    assert clock.off == set()
    clock.run(5, silent)
    assert clock.off == silent


def test_all_at_once_are_held_from_the_first_and_stay_once_they_are_heard():
    clock = Clock(100)
    clock.run(30)
    everyone = set(clock.next)
    clock.run(60, everyone)
    assert clock.off == set() and len(clock.leases.held) == 100
    clock.run(30)
    assert clock.off == set() and not clock.leases.held
    clock.run(12, {"s-5"})
    assert clock.off == {"s-5"}


def test_hosts_that_come_back_last_get_a_whole_lease():
    clock = Clock(100)
    clock.run(30, ())
    clock.run(60, set(clock.next))
    last = {f"s-{number}" for number in range(10)}
    clock.run(7, last)  # by now the hold has ended, and these were not yet heard
    assert not clock.leases.held and clock.off == set()
    clock.run(30)
    assert clock.off == set()


def test_one_after_another_no_more_than_the_share_goes_within_a_minute():
    clock = Clock(100)
    clock.run(30)
    silent: set[str] = set()
    for number in range(40):
        silent.add(f"s-{number}")
        clock.run(0.75, silent)
    clock.run(15, silent)
    assert 0 < len(clock.off) <= 20
    assert len(clock.leases.held) == 40 - len(clock.off)


def test_a_person_confirms_those_that_are_held():
    clock = Clock(100)
    clock.run(30)
    silent = {f"s-{number}" for number in range(30)}
    clock.run(20, silent)
    assert clock.leases.held == silent and not clock.off
    assert set(clock.leases.confirm_held()) == silent
    clock.run(1, silent)
    assert not clock.leases.held


def test_of_two_hosts_one_may_go():
    clock = Clock(2)
    clock.run(20, {"s-0"})
    assert clock.off == {"s-0"}


def test_time_in_which_the_service_stood_still_does_not_count():
    clock = Clock(10)
    clock.run(5)
    for _ in range(20):  # stopped for an hour, again and again
        clock.now += 3_600
        clock.run(1)
    assert clock.off == set() and not clock.leases.held


@pytest.mark.parametrize("jump", [-86_400 * 10**6, 86_400 * 10**6])
def test_a_wall_clock_that_jumps_moves_no_lease_and_takes_no_number_back(tmp_path, monkeypatch, jump):
    @asyncio_test
    async def run():
        store = Store(tmp_path / "a.db")
        store.create(PRIMARY, 0)
        node = Primary(store, 8, hold_share=0.2, max_hosts=10, settle=0.0, default_lease_ms=5_000)
        await node.on_start()
        node.ledger.apply(node.next_seq(node.ledger.seq), (ENTRY,), {"s-1": Record(ENTRY, 1, 5_000)})
        node.leases.renew("s-1", 5_000)
        before, clock = node.ledger.seq, primary.now_us
        monkeypatch.setattr(primary, "now_us", lambda: clock() + jump)
        monkeypatch.setattr("time.time", lambda: clock() / 1e6 + jump / 1e6)
        await asyncio.sleep(3 * CHECK_INTERVAL)
        assert not node.leases.is_expired("s-1") and node.leases.running_time < 2
        after = node.next_seq(node.ledger.seq)
        monkeypatch.undo()
        assert before < after < node.next_seq(after)
        node.stop.set()
        for task in node.tasks:
            task.cancel()
        await node.on_stop()

    run()


@asyncio_test
async def test_a_service_that_is_stopped_or_away_takes_nobody_off(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.service().start("--new")
        versions = [(await node.put(f"s-{number}", lease_ms=2000))["version"] for number in range(3)]
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3.5)
        node.process.send_signal(signal.SIGCONT)
        for number, version in enumerate(versions):
            assert (await node.post(f"s-{number}", "renew", version)).status == 200
        await node.kill()
        await asyncio.sleep(2.5)
        await node.start()
        for number, version in enumerate(versions):  # each has its whole lease from the start on
            assert (await node.post(f"s-{number}", "renew", version)).status == 200


@asyncio_test
async def test_a_held_list_is_said_aloud_until_an_operator_confirms(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.service().start("--new")
        for number in range(8):
            assert (await node.put(f"s-{number}", lease_ms=3000)).status == 200
        kept = await node.put("kept")
        async with asyncio.timeout(10):
            while len((await call(node.operators, "GET", "/hold"))["hosts"]) < 8:
                await asyncio.sleep(0.05)
        health = await call(node.operators, "GET", "/health")
        assert health.status == 503 and "held" in health["error"]
        assert b"event=list_held leases_out=8 leases=9" in node.log
        assert len((await node.list())["hosts"]) == 9
        for body in ({"held": 7}, {"held": 9}):  # not what is held now
            assert (await call(node.operators, "POST", "/hold", body)).status == 409
        assert (await call(node.operators, "POST", "/hold", {"held": "8"})).status == 400
        assert (await call(node.operators, "POST", "/hold", {"held": 8}))["taken_off"] == 8
        await node.told(lambda answer: names(answer) == {"kept"})
        assert (await call(node.operators, "GET", "/health")).status == 200
        assert (await node.post("kept", "renew", kept["version"])).status == 200
