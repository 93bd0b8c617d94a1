"""Hosts that operators take out and put back: the decisions, and the way from the operators' call to them."""

from __future__ import annotations

import asyncio

import pytest
from conftest import SECOND, SITE, Bench, FakeHost, Rig, Service, asyncio_test, entry, listed, of, until
from test_control import call, listening_control
from test_upgrade import restored_copy

from orchidlane import interface as api
from orchidlane import state

ONE, TWO = entry(1).server, entry(2).server


def ban(bench: Bench, server=ONE, out=True) -> None:
    assert bench.feed(api.ServerBanned(server, out)) == []


def used(bench: Bench, first: int, requests=40, **terms) -> set[bytes]:
    """Where so many requests go, two of them at a time."""
    servers, before = set(), None
    for number in range(first, first + requests):
        for send in of(bench.ask(number, customer=number, **terms), api.Send):
            servers.add(send.server)
            if before:
                bench.outcome(*before, api.Outcome.SERVED)
            before = number, send.server
        bench.run(20_000)
    bench.outcome(*before, api.Outcome.SERVED)
    return servers


@pytest.mark.parametrize(
    "news",
    [
        listed(entry(1), entry(2)),
        listed(entry(1), kind=api.ListKind.CHANGES),
        listed(entry(1, launched=999 * SECOND), kind=api.ListKind.CHANGES),
        listed(entry(1, api.Phase.GONE), kind=api.ListKind.CHANGES),
        listed(entry(2)),
    ],
)
def test_news_does_not_lift_a_ban_and_it_meets_what_is_true_then(news):
    bench = Bench(servers=0, plans=(api.Plan(9.0, 99.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),))
    bench.feed(listed(entry(1), entry(2)))
    assert used(bench, 1) == {ONE, TWO}
    ban(bench)
    ban(bench)
    assert used(bench, 100) == {TWO}
    bench.feed(news)
    assert used(bench, 200) == {TWO}
    bench.feed(listed(entry(1, launched=bench.now - SECOND), kind=api.ListKind.CHANGES))
    assert used(bench, 300) == {TWO}
    ban(bench, out=False)
    assert [host.entry.server for host in bench.gateway.cold.hosts] == [ONE]  # it was started anew
    bench.run(SECOND)
    assert used(bench, 400) == {ONE, TWO}
    bench.feed(listed(entry(1, api.Phase.DRAINING), kind=api.ListKind.CHANGES))
    assert used(bench, 500) == {TWO}


def test_a_repeat_does_not_go_to_a_banned_server():
    bench = Bench(servers=0)
    bench.feed(listed(entry(1), entry(2)))
    (send,) = of(bench.ask(1, kind=1), api.Send)
    other = ONE if send.server == TWO else TWO
    ban(bench, other)
    for number in range(3):
        again = of(bench.outcome(1, send.server, api.Outcome.FULL, attempt=number), api.Send)
        assert [action.server for action in again] == [send.server]


def test_a_server_put_back_is_tried_soon_even_where_others_look_better():
    bench = Bench(servers=0)
    bench.feed(listed(entry(1), entry(2)))
    ban(bench)
    used(bench, 1)
    ban(bench, out=False)
    host = bench.gateway.hosts[ONE]
    bench.run(SECOND)
    host.updated_at, host.slowdown, host.failures = bench.now, 8.0, 6.0  # it would never be drawn
    (send,) = of(bench.ask(100, customer=100), api.Send)
    assert send.server == ONE
    bench.outcome(100, ONE, api.Outcome.NOT_CONNECTED)
    bench.outcome(100, TWO, api.Outcome.SERVED, attempt=1)
    assert used(bench, 101, 5) == {TWO}  # not all requests are tried there meanwhile
    bench.run(SECOND)
    assert ONE in used(bench, 200, 1)
    host.updated_at, host.slowdown = bench.now, 8.0
    assert used(bench, 300, 5) == {TWO}  # it has served: no more need


def test_a_server_put_back_that_discovery_does_not_list_yet_is_tried_when_it_does():
    bench = Bench(servers=0)
    bench.feed(listed(entry(1), entry(2)))
    ban(bench)
    bench.feed(listed(entry(1, api.Phase.GONE), kind=api.ListKind.CHANGES))
    ban(bench, out=False)
    bench.run(SECOND)
    assert used(bench, 1, 5) == {TWO}
    bench.feed(listed(entry(1, launched=bench.now), kind=api.ListKind.CHANGES))
    assert ONE in used(bench, 10, 1)


def test_remembered_names_are_bounded_and_those_in_use_are_kept(monkeypatch):
    monkeypatch.setattr(state, "NAMES_MAX", 8)
    bench = Bench(servers=0)
    for number in range(40):
        bench.feed(listed(entry(250), entry(number)))
        if number == 2:
            ban(bench, entry(2).server)
    assert len(bench.gateway.server_names) == 8
    assert {entry(250).server, entry(39).server, entry(38).server} <= set(bench.gateway.server_names)
    assert bench.gateway.banned == {}


def test_a_ban_is_handed_over():
    bench = Bench(servers=0)
    bench.feed(listed(entry(1), entry(2)))
    ban(bench)
    gateway = restored_copy(bench)
    for number in range(20):
        event = api.RequestArrived(number, number, 0, 0, 1.0, 2 * SECOND, 0, 3, False)
        for action in of(gateway.handle(bench.now, event), api.Send):
            assert action.server == TWO
            ended = api.AttemptEnded(number, 0, TWO, api.Outcome.SERVED, 9_000, True, 0, 0.0, ())
            gateway.handle(bench.now, ended)
    assert gateway.hosts[TWO].last_active == bench.now and gateway.hosts[ONE].open_attempts == 0
    assert gateway.server_names == bench.gateway.server_names


@asyncio_test
async def test_what_waits_for_a_connection_to_a_host_taken_out_goes_elsewhere():
    old, new = [await FakeHost(name).listen() for name in "ab"]
    rig = Rig(old)
    control = await listening_control(rig)
    caller = await rig.caller()
    gate, opening = asyncio.Event(), rig.loop.create_connection

    class SlowLoop:
        async def create_connection(self, factory, host, port):
            if port == old.port:
                await gate.wait()
            return await opening(factory, host, port)

        def __getattr__(self, name):
            return getattr(rig.loop, name)

    rig.hosts.loop = SlowLoop()
    caller.call("bill")
    await until(lambda: rig.hosts.pools[b"a"].waiting)
    rig.told(new.line())
    assert await call(control, b"OFFLINE a") == await call(control, b"OFFLINE a") == "done out\n"
    gate.set()
    assert await caller.replied() == [b"ok"]
    rig.told(old.line(), new.line(), whole=True)
    for _ in range(5):
        caller.call()
    await caller.replied(6)
    assert len(new.commands) == 6 and old.commands == []
    assert await call(control, b"ONLINE a") == await call(control, b"ONLINE a") == "done back\n"
    await asyncio.sleep(0.2)
    caller.call()
    await until(lambda: old.commands)


@asyncio_test
async def test_a_host_can_be_taken_out_and_put_back_during_a_drain():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    rig = Rig(*hosts)
    control = await listening_control(rig)
    caller = await rig.caller()
    await call(control, b"LEAVE")
    assert (await call(control, b"OFFLINE a")).startswith("done")
    for _ in range(5):
        caller.call()
    await caller.replied(5)
    assert (await call(control, b"JOIN")).startswith("done")
    for _ in range(5):
        caller.call()
    await caller.replied(10)
    assert hosts[0].commands == [] and len(hosts[1].commands) == 10
    await call(control, b"LEAVE")
    assert (await call(control, b"ONLINE a")).startswith("done")
    await call(control, b"JOIN")
    await asyncio.sleep(0.2)
    caller.call()
    await until(lambda: hosts[0].commands)


@asyncio_test
async def test_a_ban_holds_across_an_upgrade_and_both_processes_keep_to_later_ones(tmp_path):
    hosts = [await FakeHost(name).listen() for name in "abc"]
    replies = {}
    for host in hosts:
        host.script = lambda command: replies.get(command[2], b"*1\r\n$2\r\nok\r\n")
    replies[b"held"] = None
    async with Service(tmp_path, *hosts, permissions=SITE["permissions"] | {"cancel": False}) as service:
        old = await service.start()
        before = service.control
        assert (await service.say(b"OFFLINE a")).startswith("done")
        assert (await service.say(b"OFFLINE nobody")).startswith("error")
        holder = await service.caller()
        holder.call(wait=10_000, number=b"held")
        await until(lambda: hosts[1].commands or hosts[2].commands)
        await service.start()
        held = hosts[1] if hosts[1].commands else hosts[2]
        free = hosts[2] if held is hosts[1] else hosts[1]
        assert old.returncode is None
        # Called at the old address, and in force in both: the repeat of what it holds goes nowhere else.
        assert await service.say(b"OFFLINE " + free.name.encode(), before) == "done out\n"
        held.connections[0].transport.abort()
        caller = await service.caller()
        for number in range(5):
            caller.call(number=b"%d" % number)
        await caller.replied(5)
        assert hosts[0].commands == free.commands == []
        assert await service.say(b"ONLINE a", before) == "done back\n"
        for number in range(200):
            caller.call(number=b"more%d" % number)
            await asyncio.sleep(0.01)
            if hosts[0].commands:
                break
        assert hosts[0].commands and free.commands == []
