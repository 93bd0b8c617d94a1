"""Tests of bans: hosts that operators take out of service and reinstate, from control call to decision."""

from __future__ import annotations

import asyncio

import pytest
from conftest import (
    RAW_SETTINGS,
    SECOND,
    FakeHost,
    GatewayHarness,
    GatewayProcesses,
    LoopbackGateway,
    asyncio_test,
    entry,
    listed,
    of_type,
    until,
)
from test_control import send_control_call, start_control
from test_upgrade import restored_copy

from orchidlane import interface as api
from orchidlane import state

SERVER_1, SERVER_2 = entry(1).server, entry(2).server


def ban(harness: GatewayHarness, server=SERVER_1, is_banned=True) -> None:
    assert harness.feed(api.ServerBanned(server, is_banned)) == []


def servers_used(harness: GatewayHarness, first: int, requests=40, **request) -> set[bytes]:
    """Send requests, at most two open at a time; return the servers that got one."""
    servers, last_attempt = set(), None
    for number in range(first, first + requests):
        for send in of_type(harness.send_request(number, customer=number, **request), api.Send):
            servers.add(send.server)
            if last_attempt:
                harness.end_attempt(*last_attempt, api.Outcome.SERVED)
            last_attempt = number, send.server
        harness.run(20_000)
    harness.end_attempt(*last_attempt, api.Outcome.SERVED)
    return servers


@pytest.mark.parametrize(
    "update",
    [
        listed(entry(1), entry(2)),
        listed(entry(1), kind=api.ListKind.CHANGES),
        listed(entry(1, launched=999 * SECOND), kind=api.ListKind.CHANGES),
        listed(entry(1, api.Phase.GONE), kind=api.ListKind.CHANGES),
        listed(entry(2)),
    ],
)
def test_a_ban_outlasts_discovery_updates_and_the_latest_list_applies_after_it(update):
    harness = GatewayHarness(servers=0, plans=(api.Plan(9.0, 99.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),))
    harness.feed(listed(entry(1), entry(2)))
    assert servers_used(harness, 1) == {SERVER_1, SERVER_2}
    ban(harness)
    ban(harness)
    assert servers_used(harness, 100) == {SERVER_2}
    harness.feed(update)
    assert servers_used(harness, 200) == {SERVER_2}
    harness.feed(listed(entry(1, launched=harness.now - SECOND), kind=api.ListKind.CHANGES))
    assert servers_used(harness, 300) == {SERVER_2}
    ban(harness, is_banned=False)
    assert [host.entry.server for host in harness.gateway.cold.hosts] == [SERVER_1]  # it has restarted
    harness.run(SECOND)
    assert servers_used(harness, 400) == {SERVER_1, SERVER_2}
    harness.feed(listed(entry(1, api.Phase.DRAINING), kind=api.ListKind.CHANGES))
    assert servers_used(harness, 500) == {SERVER_2}


def test_a_retry_is_not_sent_to_a_banned_server():
    harness = GatewayHarness(servers=0)
    harness.feed(listed(entry(1), entry(2)))
    (send,) = of_type(harness.send_request(1, kind=1), api.Send)
    other = SERVER_1 if send.server == SERVER_2 else SERVER_2
    ban(harness, other)
    for number in range(3):
        again = of_type(harness.end_attempt(1, send.server, api.Outcome.FULL, attempt=number), api.Send)
        assert [action.server for action in again] == [send.server]


def test_a_reinstated_server_gets_a_trial_request_soon_even_if_others_look_better():
    harness = GatewayHarness(servers=0)
    harness.feed(listed(entry(1), entry(2)))
    ban(harness)
    servers_used(harness, 1)
    ban(harness, is_banned=False)
    host = harness.gateway.hosts[SERVER_1]
    harness.run(SECOND)
    host.updated_at, host.slowdown, host.failures = harness.now, 8.0, 6.0  # too slow ever to be chosen
    (send,) = of_type(harness.send_request(100, customer=100), api.Send)
    assert send.server == SERVER_1
    harness.end_attempt(100, SERVER_1, api.Outcome.NOT_CONNECTED)
    harness.end_attempt(100, SERVER_2, api.Outcome.SERVED, attempt=1)
    assert servers_used(harness, 101, 5) == {SERVER_2}  # no further trial request so soon
    harness.run(SECOND)
    assert SERVER_1 in servers_used(harness, 200, 1)
    host.updated_at, host.slowdown = harness.now, 8.0
    assert servers_used(harness, 300, 5) == {SERVER_2}  # it has served a request: the trials are over


def test_a_reinstated_server_gets_its_trial_request_once_discovery_lists_it():
    harness = GatewayHarness(servers=0)
    harness.feed(listed(entry(1), entry(2)))
    ban(harness)
    harness.feed(listed(entry(1, api.Phase.GONE), kind=api.ListKind.CHANGES))
    ban(harness, is_banned=False)
    harness.run(SECOND)
    assert servers_used(harness, 1, 5) == {SERVER_2}
    harness.feed(listed(entry(1, launched=harness.now), kind=api.ListKind.CHANGES))
    assert SERVER_1 in servers_used(harness, 10, 1)


@pytest.mark.parametrize("phase", [api.Phase.DRAINING, api.Phase.GONE])
def test_a_reinstated_server_that_discovery_takes_out_gets_no_trial_request(phase):
    harness = GatewayHarness(servers=0)
    harness.feed(listed(entry(1), entry(2)))
    ban(harness)
    ban(harness, is_banned=False)
    assert SERVER_1 in harness.gateway.reinstated
    harness.feed(listed(entry(1, phase), kind=api.ListKind.CHANGES))
    assert servers_used(harness, 1) == {SERVER_2}


def test_remembered_server_names_are_limited_and_those_in_use_are_kept(monkeypatch):
    monkeypatch.setattr(state, "NAMES_MAX", 8)
    harness = GatewayHarness(servers=0)
    for number in range(40):
        harness.feed(listed(entry(250), entry(number)))
        if number == 2:
            ban(harness, entry(2).server)
    assert len(harness.gateway.server_names) == 8
    assert {entry(250).server, entry(39).server, entry(38).server} <= set(harness.gateway.server_names)
    assert harness.gateway.banned == {}


def test_a_ban_is_restored_after_an_upgrade():
    harness = GatewayHarness(servers=0)
    harness.feed(listed(entry(1), entry(2)))
    ban(harness)
    gateway = restored_copy(harness)
    for number in range(20):
        event = api.RequestArrived(number, number, 0, 0, 1.0, 2 * SECOND, 0, 3, False)
        for action in of_type(gateway.handle(harness.now, event), api.Send):
            assert action.server == SERVER_2
            ended = api.AttemptEnded(number, 0, SERVER_2, api.Outcome.SERVED, 9_000, True, 0, 0.0, ())
            gateway.handle(harness.now, ended)
    assert gateway.hosts[SERVER_2].last_active == harness.now and gateway.hosts[SERVER_1].open_attempts == 0
    assert gateway.server_names == harness.gateway.server_names


@asyncio_test
async def test_a_request_waiting_for_a_connection_to_a_banned_host_is_sent_to_another():
    old_host, new_host = [await FakeHost(name).listen() for name in "ab"]
    gateway = LoopbackGateway(old_host)
    control = await start_control(gateway)
    client = await gateway.connect_client()
    connect_gate, connect = asyncio.Event(), gateway.loop.create_connection

    class SlowConnectLoop:
        async def create_connection(self, factory, host, port):
            if port == old_host.port:
                await connect_gate.wait()
            return await connect(factory, host, port)

        def __getattr__(self, name):
            return getattr(gateway.loop, name)

    gateway.hosts.loop = SlowConnectLoop()
    client.send_request("bill")
    await until(lambda: gateway.hosts.pools[b"a"].waiting)
    gateway.apply_host_list(new_host.list_entry())
    assert (
        await send_control_call(control, b"OFFLINE a")
        == await send_control_call(control, b"OFFLINE a")
        == "done out\n"
    )
    connect_gate.set()
    assert await client.wait_for_replies() == [b"ok"]
    gateway.apply_host_list(old_host.list_entry(), new_host.list_entry(), whole=True)
    for _ in range(5):
        client.send_request()
    await client.wait_for_replies(6)
    assert len(new_host.commands) == 6 and old_host.commands == []
    assert (
        await send_control_call(control, b"ONLINE a")
        == await send_control_call(control, b"ONLINE a")
        == "done back\n"
    )
    await asyncio.sleep(0.2)
    client.send_request()
    await until(lambda: old_host.commands)


@asyncio_test
async def test_a_host_can_be_banned_and_reinstated_during_a_drain():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    gateway = LoopbackGateway(*hosts)
    control = await start_control(gateway)
    client = await gateway.connect_client()
    await send_control_call(control, b"LEAVE")
    assert (await send_control_call(control, b"OFFLINE a")).startswith("done")
    for _ in range(5):
        client.send_request()
    await client.wait_for_replies(5)
    assert (await send_control_call(control, b"JOIN")).startswith("done")
    for _ in range(5):
        client.send_request()
    await client.wait_for_replies(10)
    assert hosts[0].commands == [] and len(hosts[1].commands) == 10
    await send_control_call(control, b"LEAVE")
    assert (await send_control_call(control, b"ONLINE a")).startswith("done")
    await send_control_call(control, b"JOIN")
    await asyncio.sleep(0.2)
    client.send_request()
    await until(lambda: hosts[0].commands)


@asyncio_test
async def test_a_ban_survives_an_upgrade_and_both_processes_apply_later_ones(tmp_path):
    hosts = [await FakeHost(name).listen() for name in "abc"]
    replies = {}
    for host in hosts:
        host.script = lambda command: replies.get(command[2], b"*1\r\n$2\r\nok\r\n")
    replies[b"held"] = None
    async with GatewayProcesses(
        tmp_path, *hosts, permissions=RAW_SETTINGS["permissions"] | {"cancel": False}
    ) as gateway:
        old_process = await gateway.start()
        old_control = gateway.control
        assert (await gateway.send_control_call(b"OFFLINE a")).startswith("done")
        assert (await gateway.send_control_call(b"OFFLINE nobody")).startswith("error")
        open_client = await gateway.connect_client()
        open_client.send_request(deadline_ms=10_000, request_id=b"held")
        await until(lambda: hosts[1].commands or hosts[2].commands)
        await gateway.start()
        holding_host = hosts[1] if hosts[1].commands else hosts[2]
        other_host = hosts[2] if holding_host is hosts[1] else hosts[1]
        assert old_process.returncode is None
        # A call to the old process applies to both: its open request is not retried on the banned host.
        assert (
            await gateway.send_control_call(b"OFFLINE " + other_host.name.encode(), old_control)
            == "done out\n"
        )
        holding_host.connections[0].transport.abort()
        client = await gateway.connect_client()
        for number in range(5):
            client.send_request(request_id=b"%d" % number)
        await client.wait_for_replies(5)
        assert hosts[0].commands == other_host.commands == []
        assert await gateway.send_control_call(b"ONLINE a", old_control) == "done back\n"
        for number in range(200):
            client.send_request(request_id=b"more%d" % number)
            await asyncio.sleep(0.01)
            if hosts[0].commands:
                break
        assert hosts[0].commands and other_host.commands == []
