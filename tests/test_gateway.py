"""Clients and hosts over loopback sockets: responses in order, retries, limits and timeouts."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys

import hiredis
import pytest
from conftest import RAW_SETTINGS, FakeClient, FakeHost, LoopbackGateway, asyncio_test, until

from orchidlane import interface as api
from saffrongw import client_output
from saffrongw import hosts as hosts_module
from saffrongw.client import (
    COMMAND_BYTES_MAX_ALL,
    COMMAND_TIMEOUT,
    PIPELINE_MAX,
    SURPLUS_CONNECTIONS_MAX,
    Stage,
)
from saffrongw.clients import SWEEP_INTERVAL


def error_text(reply) -> str:
    assert isinstance(reply, hiredis.ReplyError)
    return str(reply)


@asyncio_test
async def test_host_receives_the_command_with_only_the_timeout_changed():
    host = await FakeHost("a").listen()
    client = await LoopbackGateway(host).connect_client()
    client.send_request("put", deadline_ms=1500, request_id=b"id9", extra_terms=",r=1")
    assert await client.wait_for_replies() == [b"ok"]
    command, customer, number, terms, body = host.commands[0]
    assert (command, customer, number, body) == (b"CALL.POST", b"0000000000000007", b"id9", b"BODY")
    sent = dict(pair.split(b"=") for pair in terms.split(b","))
    assert 0 < int(sent.pop(b"d")) < 1500
    plain = b"c=put,t=team,units=1,spread=2,first=0,r=1,k=key7"
    assert sent == dict(pair.split(b"=") for pair in plain.split(b","))


@asyncio_test
async def test_pipelined_commands_are_answered_in_order():
    slow = []
    host = await FakeHost("a").listen()
    host.script = lambda command: slow.append(command) if command[2] == b"first" else b"*1\r\n$1\r\n2\r\n"
    client = await LoopbackGateway(host).connect_client()
    client.send_request(request_id=b"first")
    client.send_request(request_id=b"second")
    client.send_command(b"PING")
    await until(lambda: len(host.commands) == 2)
    await asyncio.sleep(0.05)
    assert client.replies == []
    host.connections[0].transport.write(b"*1\r\n$1\r\n1\r\n")
    assert await client.wait_for_replies(3) == [b"1", b"2", b"PONG"]


@asyncio_test
async def test_concurrent_attempts_use_separate_connections_and_idle_ones_are_reused(monkeypatch):
    monkeypatch.setattr(hosts_module, "CONNECTION_COOLDOWN", 0.0)  # reuse connections at once
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    host.script = lambda command: None
    client.send_request(request_id=b"one")
    client.send_request(request_id=b"two")
    await until(lambda: len(host.commands) == 2)
    assert len(host.connections) == 2
    for connection in host.connections:
        connection.transport.write(b"*1\r\n$1\r\nx\r\n")
    await client.wait_for_replies(2)
    client.send_request(request_id=b"three")
    await until(lambda: len(host.commands) == 3)
    assert len(host.connections) == gateway.hosts.connection_count == 2


@asyncio_test
async def test_unsafe_request_reset_after_it_was_sent_fails_without_retry():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    for host in hosts:
        host.script = lambda command: b"reset"
    client = await LoopbackGateway(*hosts).connect_client()
    client.send_request("bill")
    assert error_text((await client.wait_for_replies())[0]).startswith("ERR")
    assert sum(len(host.commands) for host in hosts) == 1


@asyncio_test
async def test_unsafe_request_is_retried_after_busy_or_failed_connect():
    busy, closed, good = [await FakeHost(name).listen() for name in ("a", "b", "c")]
    closed.server.close()
    busy.script = lambda command: b"-BUSY\r\n"
    client = await LoopbackGateway(busy, closed, good).connect_client()
    for number in range(12):
        client.send_request("bill", request_id=b"%d" % number)
    assert await client.wait_for_replies(12) == [b"ok"] * 12


@asyncio_test
async def test_safe_request_is_retried_after_an_error():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    replies = [b"-ERR failed util=0.5\r\n", b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"]
    for host in hosts:
        host.script = lambda command: replies.pop(0)
    client = await LoopbackGateway(*hosts).connect_client()
    client.send_request()
    assert await client.wait_for_replies() == [b"ok"]


@pytest.mark.parametrize(
    "junk",
    [
        b"*2147483647\r\n",
        b"*3\r\n$4000000000\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"*3\r\n$4\r\nabcdef$-1\r\n$-1\r\n",  # a value longer than its declared length
        b"*3\r\n$4\r\nab\r\n$-1\r\n$-1\r\n",  # or shorter
        b"*999\r\n" + (b"$65536\r\n%b\r\n" % (b"x" * 65536)) * 3,
    ],
)
@asyncio_test
async def test_invalid_reply_fails_the_attempt_at_once(junk):
    hosts = [await FakeHost(name).listen() for name in "ab"]
    replies = [junk, b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"]
    for host in hosts:
        host.script = lambda command: replies.pop(0)
    gateway = LoopbackGateway(*hosts)
    client = await gateway.connect_client()
    client.send_request()
    assert await client.wait_for_replies() == [b"ok"]
    await until(lambda: gateway.hosts.connection_count == 1)  # the other connection is closed


@asyncio_test
async def test_unanswered_request_fails_before_the_client_times_out():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request("bill", deadline_ms=200)
    assert error_text((await client.wait_for_replies())[0]).startswith("ERR")
    await until(lambda: not host.connections)  # the attempt is cancelled
    assert gateway.driver.calls == gateway.driver.gateway.requests == gateway.driver.gateway.attempts == {}


@asyncio_test
async def test_request_not_fully_written_counts_as_not_executed():
    """The host reads nothing, so the last byte is never sent, and even an unsafe request may be refused."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    host = FakeHost("a")
    host.port = listener.getsockname()[1]
    gateway = LoopbackGateway(host)
    ended = []
    feed = gateway.driver.feed
    gateway.driver.feed = lambda event: (ended.append(event), feed(event))
    client = await gateway.connect_client()
    pool = gateway.hosts.pools[b"a"]
    connected = pool.connected

    def shrink_send_buffer(connection):
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connected(connection)

    pool.connected = shrink_send_buffer
    terms = b"c=bill,t=team,d=300,units=1,spread=2,first=0"
    client.send_command(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    assert error_text((await client.wait_for_replies())[0]).startswith("BUSY")
    outcomes = [event.outcome for event in ended if isinstance(event, api.AttemptEnded)]
    assert outcomes == [api.Outcome.NOT_CONNECTED]
    listener.close()


@asyncio_test
async def test_connection_answered_before_its_request_was_fully_sent_is_not_reused():
    """The unsent rest of that request would be taken for the start of the next one."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.setblocking(False)
    host = FakeHost("a")
    host.port = listener.getsockname()[1]
    gateway = LoopbackGateway(host, permissions=RAW_SETTINGS["permissions"] | {"maxAttempts": 1})
    client = await gateway.connect_client()
    connected = gateway.hosts.pools[b"a"].connected

    def shrink_send_buffer(connection):
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connected(connection)

    gateway.hosts.pools[b"a"].connected = shrink_send_buffer
    terms = b"c=bill,t=team,d=2000,units=1,spread=2,first=0"
    client.send_command(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    accepted, _ = await gateway.loop.sock_accept(listener)
    await gateway.loop.sock_sendall(accepted, b"-BUSY\r\n")
    assert error_text((await client.wait_for_replies())[0]).startswith("BUSY")
    assert gateway.hosts.connection_count == 0
    accepted.close()
    listener.close()


@asyncio_test
async def test_client_close_cancels_its_attempt():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request()
    await until(lambda: host.commands)
    client.transport.close()
    await until(lambda: not host.connections)
    await until(lambda: gateway.driver.calls == gateway.driver.gateway.requests == {})


@asyncio_test
async def test_attempt_without_client_ends_at_the_request_deadline():
    """With cancellation disabled, a silent host would otherwise hold the connection for ever."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host, permissions=RAW_SETTINGS["permissions"] | {"cancel": False})
    client = await gateway.connect_client()
    client.send_request(deadline_ms=3000)
    await until(lambda: host.commands)
    client.transport.close()
    await until(lambda: not gateway.driver.calls)
    assert host.connections
    await until(lambda: not host.connections)
    assert gateway.driver.gateway.attempts == {}


@pytest.mark.parametrize(
    "command",
    [
        [b"CALL.PUT", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id"],
        [b"CALL.GET", b"7", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0x00000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"ffffffffffffffff", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=none,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=none,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=-5,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=nan,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1_0e-1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units= 1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=+1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1e400,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread= 1,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0_0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=-0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0,x=1"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0,=1"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0", b"BODY"],
        [b"CALL.POST", b"0000000000000007", b"id", b"c=bill,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=3,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=2"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=bill,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,d=9,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read;;;"],
        [
            b"CALL.GET",
            b"0000000000000007",
            b"id",
            b"c=read,t=team,units=1,spread=2,first=0,d=" + b"9" * 5000,  # more digits than int() takes
        ],
        [b"CALL.POST", b"0000000000000007", b"id", b"c=put,t=team,d=99,units=1,spread=2,first=0", b"B"],
        [
            b"CALL.POST",
            b"0000000000000007",
            b"id",
            b"c=bill,t=team,d=99,units=1,spread=2,first=0" + b"," * 65537,
            b"B",
        ],
        [
            b"CALL.PUT",
            b"0000000000000007",
            b"id",
            b"c=bill,t=team,d=99,units=1,spread=2,first=0",
            b"B" * 65537,
        ],
    ],
)
@asyncio_test
async def test_malformed_commands_get_an_error_and_reach_no_host(command):
    host = await FakeHost("a").listen()
    client = await LoopbackGateway(host).connect_client()
    client.send_command(*command)
    client.send_command(b"PING")  # the connection is kept
    replies = await client.wait_for_replies(2)
    assert error_text(replies[0]).startswith("ERR")
    assert replies[1] == b"PONG"
    assert host.commands == []


@pytest.mark.parametrize("units", [b"1", b"1.", b"0.25", b".5", b"1e-05", b"2.5E-1"])
@asyncio_test
async def test_units_may_be_written_in_all_the_ways_of_a_decimal_number(units):
    host = await FakeHost("a").listen()
    client = await LoopbackGateway(host).connect_client()
    terms = b"c=read,t=team,d=2000,k=,units=%b,r=1,spread=2,first=00" % units
    client.send_command(b"CALL.GET", b"0000000000000007", b"id", terms)
    assert await client.wait_for_replies() == [b"ok"]
    assert b"units=%b," % units in host.commands[0][3]


@pytest.mark.parametrize("junk", [b"GET / HTTP/1.1\r\n\r\n", b"*1\r\n$400000\r\n" + b"x" * 399_999])
@asyncio_test
async def test_connection_is_closed_when_framing_is_lost(junk):
    client = await LoopbackGateway(await FakeHost("a").listen()).connect_client()
    client.transport.write(junk)
    assert error_text((await client.wait_for_replies())[0]).startswith("ERR")
    await until(lambda: client.closed)


@pytest.mark.parametrize("head", [b"*2147483647\r\n", b"*4\r\n*999999999\r\n", b"%99999999\r\n"])
@asyncio_test
async def test_oversized_declared_length_gets_an_error_and_a_close(head):
    """The parser would allocate all declared values, which the garbage collector scans for seconds."""
    client = await LoopbackGateway(await FakeHost("a").listen()).connect_client()
    client.send_command(b"PING")
    client.transport.write(hiredis.pack_command((b"PING",)) + head[:5])
    await client.wait_for_replies(2)
    client.transport.write(head[5:])
    replies = await client.wait_for_replies(3)
    assert replies[:2] == [b"PONG", b"PONG"]
    assert error_text(replies[2]).startswith("ERR")
    await until(lambda: client.closed)


@asyncio_test
async def test_draining_host_gets_no_new_requests_and_finishes_its_own():
    old, new = [await FakeHost(name).listen() for name in "ab"]
    old.script = lambda command: None
    gateway = LoopbackGateway(old)
    client = await gateway.connect_client()
    client.send_request()
    await until(lambda: old.commands)
    gateway.apply_host_list(old.list_entry("DRAINING"), new.list_entry())
    for number in range(5):
        client.send_request(request_id=b"%d" % number)
    await until(lambda: len(new.commands) == 5)
    old.connections[0].transport.write(b"*1\r\n$4\r\nlast\r\n")
    assert (await client.wait_for_replies(6))[0] == b"last"
    assert len(old.commands) == 1
    gateway.apply_host_list(old.list_entry("DELETED"))
    await until(lambda: not old.connections)


@pytest.mark.parametrize("health", ["DRAINING", "DELETED"])
@asyncio_test
async def test_attempts_queued_for_a_draining_host_are_retried_elsewhere(health):
    """Attempts were sent once the connection was established, however long after the host began to drain."""
    old, new = [await FakeHost(name).listen() for name in "ab"]
    gateway = LoopbackGateway(old)
    client = await gateway.connect_client()
    connect_gate, connect = asyncio.Event(), gateway.loop.create_connection

    class SlowConnectLoop:
        async def create_connection(self, factory, host, port):
            if port == old.port:
                await connect_gate.wait()
            return await connect(factory, host, port)

        def __getattr__(self, name):
            return getattr(gateway.loop, name)

    gateway.hosts.loop = SlowConnectLoop()
    client.send_request("bill")
    await until(lambda: gateway.hosts.pools[b"a"].waiting)
    gateway.apply_host_list(old.list_entry(health), new.list_entry())
    connect_gate.set()
    assert await client.wait_for_replies() == [b"ok"]
    assert len(new.commands) == 1
    await until(lambda: len(old.connections) == (health == "DRAINING"))
    assert old.commands == []


@asyncio_test
async def test_idle_connections_are_closed_before_the_host_idle_timeout():
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host, permissions=RAW_SETTINGS["permissions"] | {"idleClose": 200_000})
    client = await gateway.connect_client()
    client.send_request()
    await client.wait_for_replies()
    await until(lambda: not host.connections and not gateway.hosts.connection_count)


@asyncio_test
async def test_host_connections_stay_within_the_limit():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host, sockets=4)
    client = await gateway.connect_client()
    for number in range(9):
        client.send_request("bill", deadline_ms=400, request_id=b"%d" % number)
    replies = await client.wait_for_replies(9)
    assert len(host.commands) == 4
    assert sorted(error_text(reply).split()[0] for reply in replies) == ["BUSY"] * 5 + ["ERR"] * 4


@asyncio_test
async def test_idle_client_is_evicted_and_only_the_surplus_connection_is_refused():
    """All requests of all clients were refused while there was one surplus connection (ticket9204)."""
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    gateway.clients.max_connections = 3
    first, second, third = [await gateway.connect_client() for _ in range(3)]
    await until(lambda: len(gateway.clients.open) == 3)
    for client in (second, third, first):  # the first is the most recently used
        client.send_request()
        await client.wait_for_replies()
    more = [await gateway.connect_client() for _ in range(2)]  # both connect before an eviction is noticed
    await until(lambda: second.closed and third.closed)
    assert not first.closed
    host.script = lambda command: None
    for client in (first, *more):
        client.send_request("bill")
    await until(lambda: len(host.commands) == 6)
    surplus = await gateway.connect_client()
    surplus.send_request()
    assert error_text((await surplus.wait_for_replies())[0]) == "BUSY 1000"
    await until(lambda: surplus.closed)
    host.script = lambda command: b"*1\r\n$2\r\nok\r\n"
    first.send_request(request_id=b"id2")
    await until(lambda: len(host.commands) == 7)


@asyncio_test
async def test_silent_and_incomplete_clients_are_closed_and_proper_ones_kept():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    silent, partial, dripping, idle, waiting = [await gateway.connect_client() for _ in range(5)]
    started = gateway.loop.time()
    ping = hiredis.pack_command((b"PING",))
    idle.transport.write(ping)
    waiting.send_request("bill", deadline_ms=10_000)
    partial.transport.write(ping + ping[:6])
    for byte in hiredis.pack_command((b"CALL.GET", b"0" * 100)):
        dripping.transport.write(bytes((byte,)))
        await asyncio.sleep(0.05)
        if dripping.transport.is_closing() or dripping.closed:
            break
    await until(lambda: silent.closed and partial.closed and dripping.closed)
    assert gateway.loop.time() - started < 3.0 + 3.0  # the specified limit, and as much for a busy machine
    assert silent.replies == []
    assert error_text(partial.replies[1]) == error_text(dripping.replies[0])
    await asyncio.sleep(3 * SWEEP_INTERVAL)
    assert not idle.closed and not waiting.closed


@asyncio_test
async def test_input_received_during_event_loop_lag_is_read_before_the_timeout():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    (gateway_client,) = gateway.clients.open
    gateway_client.waiting_since -= 10 * COMMAND_TIMEOUT
    client.send_command(b"PING")
    gateway_client.check_timeouts(gateway.loop.time() - COMMAND_TIMEOUT)
    assert await client.wait_for_replies() == [b"PONG"]
    gateway_client.check_timeouts(gateway.loop.time() - COMMAND_TIMEOUT)
    assert gateway_client.stage is Stage.OPEN


@asyncio_test
async def test_connections_far_beyond_the_limit_are_reset_at_once():
    """Each unfinished command held a descriptor for two seconds, so that none were left for hosts."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    gateway.clients.max_connections = 1
    busy = await gateway.connect_client()
    busy.send_request("bill", deadline_ms=10_000)
    await until(lambda: host.commands)
    gateway.clients._sweep = lambda: None  # disables the command timeout
    more = []
    for number in range(SURPLUS_CONNECTIONS_MAX + 5):
        more.append(await gateway.connect_client())
        more[-1].transport.write(b"*1\r\n")
        await until(lambda number=number: more[-1].closed or gateway.clients.held_bytes == 4 * (number + 1))
    assert [client.closed for client in more] == [False] * SURPLUS_CONNECTIONS_MAX + [True] * 5
    assert len(gateway.clients.open) == 1 + SURPLUS_CONNECTIONS_MAX
    assert not busy.closed


@pytest.mark.alone
@asyncio_test
async def test_reading_pauses_at_the_pipeline_limit():
    """Responses to commands behind one unanswered request accumulated without bound."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request(request_id=b"first", deadline_ms=30_000)
    pings = 200_000
    client.transport.write(hiredis.pack_command((b"PING",)) * pings)
    await until(lambda: any(gateway_client.reading_paused for gateway_client in gateway.clients.open))
    (gateway_client,) = gateway.clients.open
    for _ in range(20):
        await asyncio.sleep(0.01)
        assert len(gateway_client.slots) <= PIPELINE_MAX
    host.connections[0].transport.write(b"*1\r\n$2\r\nok\r\n")
    await until(lambda: len(client.replies) > pings, 50)
    assert client.replies == [b"ok"] + [b"PONG"] * pings


@asyncio_test
async def test_client_that_never_reads_its_responses_is_closed(monkeypatch):
    monkeypatch.setattr(client_output, "WRITE_STALL_TIMEOUT", COMMAND_TIMEOUT + 0.6)
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    client.transport.pause_reading()
    client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await until(lambda: gateway.clients.open)
    (gateway_client,) = gateway.clients.open
    gateway_client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    while gateway.clients.open:
        if not client.transport.get_write_buffer_size():  # what the gateway has not read yet is enough
            client.transport.write(hiredis.pack_command((b"PING",)) * 20_000)
        await asyncio.sleep(0.005)
    assert gateway.driver.stats["client_unread"] == 1


@asyncio_test
async def test_order_is_accepted_while_others_leave_theirs_unfinished():
    """Whoever sent the next bytes was ended, which was mostly a client that sent its whole command."""
    gateway = LoopbackGateway(await FakeHost("a").listen(), sockets=256)
    gateway.clients._sweep = lambda: None  # disables the command timeout
    gateway.clients.input_memory.limit = 300_000
    stalled = [await gateway.connect_client() for _ in range(30)]
    for client in stalled:
        client.transport.write(b"*5\r\n$65536\r\n" + b"x" * 9_900)
    await until(lambda: gateway.clients.held_bytes > 290_000)
    for client in gateway.clients.open:
        client.waiting_since -= 1.0
    sound = await gateway.connect_client()
    terms = b"c=put,t=team,d=9000,units=1,spread=2,first=0,k=key7"
    order = hiredis.pack_command((b"CALL.POST", b"0000000000000007", b"id1", terms, b"b" * 60_000))
    for at in range(0, len(order), 10_000):
        sound.transport.write(order[at : at + 10_000])
        await asyncio.sleep(0.01)
    assert await sound.wait_for_replies() == [b"ok"]
    assert sum(client.closed for client in stalled) <= 8
    assert gateway.clients.held_bytes <= gateway.clients.input_memory.limit


@asyncio_test
async def test_unfinished_commands_of_all_clients_are_bounded():
    gateway = LoopbackGateway(await FakeHost("a").listen(), sockets=256)
    gateway.clients._sweep = lambda: None  # disables the command timeout
    clients = [await gateway.connect_client() for _ in range(80)]
    for client in clients:
        client.transport.write(b"*5\r\n$65536\r\n" + b"x" * 60_000)
    await until(lambda: sum(client.closed for client in clients) >= 80 - COMMAND_BYTES_MAX_ALL // 60_000)
    assert gateway.clients.held_bytes <= COMMAND_BYTES_MAX_ALL
    assert not all(client.closed for client in clients)


@asyncio_test
async def test_client_within_a_command_is_not_evicted():
    """When a command is cut right after a header, the parser holds no unparsed data."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    gateway.clients.max_connections = 1
    client = await gateway.connect_client()
    ping = hiredis.pack_command((b"PING",))
    client.transport.write(ping + ping[:4])
    await client.wait_for_replies()
    other = await gateway.connect_client()
    other.send_request()
    assert error_text((await other.wait_for_replies())[0]) == "BUSY 1000"
    client.transport.write(ping[4:])
    assert await client.wait_for_replies(2) == [b"PONG", b"PONG"]


@asyncio_test
async def test_exception_in_the_decision_module_fails_only_one_request():
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    choose = gateway.driver.gateway._choose_server
    gateway.driver.gateway._choose_server = lambda request: 1 // 0
    client.send_request("bill")
    assert error_text((await client.wait_for_replies())[0]).startswith("ERR")
    gateway.driver.gateway._choose_server = choose
    client.send_request("bill")
    assert (await client.wait_for_replies(2))[1] == b"ok"
    assert gateway.driver.calls == gateway.driver.gateway.requests == {}


@asyncio_test
async def test_request_without_a_decision_fails_at_its_deadline():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    gateway.driver.gateway._advance = lambda request: None
    client.send_request(deadline_ms=100)
    assert error_text((await client.wait_for_replies())[0]).startswith("ERR")


@asyncio_test
async def test_sigterm_finishes_requests_in_flight_and_still_accepts_for_a_while(tmp_path):
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    configuration = {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "01"}
    known = {"seq": 1, "whole": True, "hosts": [host.list_entry(host=name) for name in "abcdef"]}
    configuration |= {"limits": {"sockets": 128}, "known": known, "settings": RAW_SETTINGS}
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "saffrongw", env=os.environ | {"LB_CONFIG": str(file)}
    )
    loop = asyncio.get_running_loop()

    async def connect() -> FakeClient:
        async with asyncio.timeout(20):
            while True:
                try:
                    return (await loop.create_connection(FakeClient, "127.0.0.1", port))[1]
                except OSError:
                    await asyncio.sleep(0.02)

    busy, idle, stuck = await connect(), await connect(), await connect()
    stuck.transport.write(b"*1\r\n$4\r\nPI")  # an unfinished command must not delay the exit
    busy.send_request(deadline_ms=10_000, request_id=b"held")
    await until(lambda: host.commands)
    process.send_signal(signal.SIGTERM)
    await until(lambda: idle.closed)
    late = await connect()
    late.send_request(deadline_ms=10_000, request_id=b"late")
    await until(lambda: len(host.commands) == 2)
    for connection in host.connections:
        connection.transport.write(b"*1\r\n$2\r\nok\r\n")
    assert await busy.wait_for_replies() == await late.wait_for_replies() == [b"ok"]
    assert await asyncio.wait_for(process.wait(), 10) == 0
    assert busy.closed and late.closed


@asyncio_test
async def test_retry_after_is_rounded_up_to_whole_milliseconds():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    for wait, line in ((0, "BUSY"), (1_000, "BUSY 1"), (1_001, "BUSY 2")):
        gateway.driver.gateway._advance = lambda request, wait=wait: gateway.driver.gateway.actions.append(
            api.Refuse(request.event.request, wait)
        )
        client.send_request()
        await until(lambda: client.replies)
        assert error_text(client.replies.pop()) == line


@asyncio_test
async def test_exception_in_the_decision_module_does_not_stop_gossip():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    ticks = []

    def tick():
        ticks.append(gateway.loop.time())
        gateway.driver.gateway.actions.append(api.SetTimer(1_000, 0))
        raise RuntimeError("made up")

    gateway.driver.gateway._gossip = tick
    await until(lambda: len(ticks) >= 3)


@asyncio_test
async def test_client_that_does_not_read_gets_backpressure():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    client.transport.pause_reading()
    await until(lambda: gateway.clients.open)
    (gateway_client,) = gateway.clients.open
    paused = []
    pause = gateway_client.pause_writing
    gateway_client.transport.set_write_buffer_limits(high=1024)
    gateway_client.pause_writing = lambda: (paused.append(True), pause())
    # Few commands are executed per loop iteration, and each that a socket buffer holds is to be answered in
    # the end, so the buffers must be small.
    gateway_client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 4096)
    pings = 0
    async with asyncio.timeout(30):
        while not paused:
            if not client.transport.get_write_buffer_size():
                client.transport.write(hiredis.pack_command((b"PING",)) * 20_000)
                pings += 20_000
            await asyncio.sleep(0)
    client.transport.resume_reading()
    await client.wait_for_replies(pings)


@asyncio_test
async def test_client_with_an_unread_request_in_its_socket_is_not_evicted():
    """With event loop lag, requests of the clients idle longest may be unread when an eviction is due."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    active = await gateway.connect_client()
    address = active.transport.get_extra_info("peername")
    with socket.create_connection(address) as first, socket.create_connection(address) as second:
        await until(lambda: len(gateway.clients.open) == 3)
        spare = await gateway.connect_client()
        await until(lambda: len(gateway.clients.open) == 4)
        active.send_request()  # so that the others have been idle longer
        await active.wait_for_replies()
        gateway.clients.max_connections = 4
        for idle in (first, second):
            idle.setblocking(False)
            idle.send(hiredis.pack_command((b"PING",)))
        # Evict at once: nothing is read in between.
        gateway.clients.connection_opened(list(gateway.clients.open)[-1])
        for idle in (first, second):
            assert await asyncio.wait_for(gateway.loop.sock_recv(idle, 64), 5) == b"+PONG\r\n"
        await until(lambda: spare.closed)
        assert gateway.driver.stats["client_evicted"] == 1
