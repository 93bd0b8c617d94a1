"""Upgrade from one process to its successor: real processes, with fake hosts and clients."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import math
import signal
import socket

import hiredis
import pytest
from conftest import (
    RAW_SETTINGS,
    SECOND,
    FakeHost,
    GatewayHarness,
    GatewayProcesses,
    asyncio_test,
    entry,
    listed,
    of_type,
    until,
)
from test_discovery import FakeAgent

from orchidlane import handover
from orchidlane import interface as api
from orchidlane.rules import SERVER_RETRY_INTERVAL, Gateway

ANSWER_LIMIT = 1.0  # seconds within which an operator is owed an answer
OK = b"*1\r\n$2\r\nok\r\n"
# A quota that is hardly refilled during a test.
SLOW_REFILL = {"packages": [RAW_SETTINGS["packages"][0] | {"perSecond": 0.001, "peakUnits": 40.0}]}


def handover_socket_path(gateway: GatewayProcesses):
    return gateway.folder / "saffrongw-{}-{}.sock".format(*gateway.configuration["listen"].split(":"))


async def send_request(gateway: GatewayProcesses, number: bytes = b"id1"):
    """Send one request on a new connection; return the reply."""
    client = await gateway.connect_client()
    client.send_request(request_id=number)
    reply = (await client.wait_for_replies())[0]
    client.transport.close()
    return reply


@asyncio_test
async def test_the_successor_takes_over_under_load_and_no_request_is_refused_or_reset(tmp_path):
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        old = await gateway.start()
        replies, stop_load = [], asyncio.Event()

        async def load(number: int) -> None:
            while not stop_load.is_set():
                replies.append(await send_request(gateway, b"load%d" % number))

        tasks = [asyncio.create_task(load(number)) for number in range(4)]
        predecessor_control = gateway.control
        await gateway.start()
        assert (await gateway.send_control_call(b"HEALTH", predecessor_control)).startswith(
            ("error handed over", "nobody")
        )
        assert await asyncio.wait_for(old.wait(), 10) == 0  # the predecessor ends without a signal
        replies_before = len(replies)
        await until(lambda: len(replies) > replies_before + 20)
        stop_load.set()
        await asyncio.gather(*tasks)
        # Besides answers, only refusals because of the quota (100 a second) may occur.
        kinds = {
            str(reply).split()[0] if isinstance(reply, hiredis.ReplyError) else reply for reply in replies
        }
        assert kinds <= {b"ok", "BUSY"} and b"ok" in kinds


@asyncio_test
async def test_spent_quota_stays_spent_across_two_upgrades(tmp_path):
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host, **SLOW_REFILL) as gateway:
        # One of two gateways, without the other: until it receives from that one, it may spend half of the
        # burst, 20 units.
        await gateway.start()
        served = 0
        for start_number in range(3):
            if start_number:
                await gateway.start()
            for number in range(8):
                served += await send_request(gateway, b"%d-%d" % (start_number, number)) == b"ok"
        for number in range(40):
            served += await send_request(gateway, b"rest%d" % number) == b"ok"
    harness = GatewayHarness(
        servers=1, gateways=2, plans=(api.Plan(0.001, 40.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),)
    )
    served_by_one_process = 0
    for number in range(64):
        served_by_one_process += len(sent := of_type(harness.send_request(number + 1, set_size=2), api.Send))
        if sent:
            harness.end_attempt(number + 1, sent[0].server, api.Outcome.SERVED)
        harness.run(10_000)
    assert served <= served_by_one_process < 3 * 8 + 40


@asyncio_test
async def test_the_predecessor_finishes_open_requests_and_relays_partly_received_ones(tmp_path):
    hosts = [await FakeHost(name).listen() for name in "ab"]
    for host in hosts:
        host.script = lambda command: None
    async with GatewayProcesses(tmp_path, *hosts) as gateway:
        predecessor = await gateway.start(long_command_timeout=True)
        holding, partial, idle = [await gateway.connect_client() for _ in range(3)]
        holding.send_request("put", deadline_ms=10_000, request_id=b"held")
        await until(lambda: any(host.commands for host in hosts))
        command_parts = (
            b"CALL.GET",
            b"0000000000000007",
            b"half",
            b"c=read,t=team,d=9000,units=1,spread=2,first=0",
        )
        encoded = hiredis.pack_command(command_parts)
        partial.transport.write(encoded[:40])
        await asyncio.sleep(0.1)  # the predecessor receives the first part
        await gateway.start()
        await until(lambda: idle.closed)
        assert not holding.closed
        partial.transport.write(encoded[40:])
        await until(
            lambda: sorted(command[2] for host in hosts for command in host.commands) == [b"half", b"held"]
        )
        for connection in hosts[0].connections + hosts[1].connections:
            connection.transport.write(OK)
        assert await holding.wait_for_replies() == await partial.wait_for_replies() == [b"ok"]
        assert await asyncio.wait_for(predecessor.wait(), 10) == 0
        assert holding.closed and partial.closed


@asyncio_test
async def test_a_hung_predecessor_is_not_waited_for(tmp_path):
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        old = await gateway.start()
        old.send_signal(signal.SIGSTOP)
        async with asyncio.timeout(8):
            await gateway.start()


@asyncio_test
async def test_a_handover_socket_of_a_dead_process_is_replaced(tmp_path):
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        old = await gateway.start()
        old.kill()
        await old.wait()
        assert handover_socket_path(gateway).exists()
        middle = await gateway.start()
        assert await send_request(gateway) == b"ok"
        await gateway.start()
        assert await asyncio.wait_for(middle.wait(), 10) == 0
        assert await send_request(gateway) == b"ok"


def connect_as_successor(gateway: GatewayProcesses, version=1) -> socket.socket:
    """Connect to the predecessor and send a successor's first message."""
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(5)
    sock.connect(str(handover_socket_path(gateway)))
    host, port = gateway.configuration["listen"].split(":")
    sock.sendall(json.dumps({"version": version, "listen": [host, int(port)]}).encode() + b"\n")
    return sock


def receive_until(sock: socket.socket, marker: bytes) -> bytes:
    data = b""
    while marker not in data and (more := sock.recv(65536)):
        data += more
    return data


@pytest.mark.parametrize(
    "final_data", [b"", b"{}\n", b"\xff\n", b'{"serving": 1', b"[" * 100_000 + b"\n", None]
)
@asyncio_test
async def test_the_predecessor_goes_on_serving_if_the_successor_does_not_confirm(tmp_path, final_data):
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        old = await gateway.start()
        client = await gateway.connect_client()
        sock = await asyncio.to_thread(connect_as_successor, gateway)
        first_byte, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 2)
        assert first_byte == b"\0" and len(descriptors) == 2
        sock.sendall(b'{"take": true}\n')
        assert b'{"end": true}' in await asyncio.to_thread(receive_until, sock, b'{"end": true}')
        client.send_request()  # decisions are suspended
        await asyncio.sleep(0.05)
        assert client.replies == []
        if final_data is not None:  # None: the successor hangs
            sock.sendall(final_data)
            sock.close()
        assert await client.wait_for_replies() == [b"ok"]
        assert (await gateway.send_control_call(b"HEALTH")).startswith("done")
        assert old.returncode is None
        for number in descriptors:
            socket.close(number)
        sock.close()
        await gateway.start()  # a later successor can still take over
        assert await asyncio.wait_for(old.wait(), 10) == 0


@asyncio_test
async def test_a_confirmation_received_just_before_the_timeout_counts(tmp_path):
    """The successor sent it in time and goes on serving, so the predecessor must not."""
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        old = await gateway.start()
        sock = await asyncio.to_thread(connect_as_successor, gateway)
        _, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 2)
        sock.sendall(b'{"take": true}\n')
        await asyncio.to_thread(receive_until, sock, b'{"end": true}')
        old.send_signal(signal.SIGSTOP)
        sock.sendall(b'{"serving": true}\n')
        await asyncio.sleep(2)  # the timeout expires before the predecessor can read the confirmation
        old.send_signal(signal.SIGCONT)
        assert await asyncio.wait_for(old.wait(), 10) == 0
        for number in descriptors:
            socket.close(number)
        sock.close()


@pytest.mark.parametrize("confirmation", [b"", b'{"serving": true}\n'])
@asyncio_test
async def test_sigterm_during_the_handover_loses_no_request(tmp_path, confirmation):
    """Whether the successor takes over or not, open requests are answered before the process ends."""
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        old = await gateway.start()
        client = await gateway.connect_client()
        sock = await asyncio.to_thread(connect_as_successor, gateway)
        _, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 2)
        sock.sendall(b'{"take": true}\n')
        await asyncio.to_thread(receive_until, sock, b'{"end": true}')
        client.send_request(deadline_ms=9000)
        old.send_signal(signal.SIGTERM)
        if confirmation:
            sock.sendall(confirmation)
            relayed = await asyncio.to_thread(receive_until, sock, b'"arrived"')
            number = json.loads(next(line for line in relayed.splitlines() if b"arrived" in line))["arrived"]
            sock.sendall(json.dumps({"answer": number, "reply": "$2\r\nok\r\n"}).encode() + b"\n")
        assert await client.wait_for_replies() == [b"ok"]
        await until(lambda: client.closed)
        assert await asyncio.wait_for(old.wait(), 10) == 0
        for number in descriptors:
            socket.close(number)
        sock.close()


@asyncio_test
async def test_sigterm_before_a_process_is_ready_ends_it(tmp_path):
    """The process waits for a predecessor that accepts its connection and never answers."""
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        with socket.socket(socket.AF_UNIX) as predecessor:
            predecessor.bind(str(handover_socket_path(gateway)))
            predecessor.listen()
            predecessor.settimeout(20)
            process = await gateway.start(ready=False)
            called, _ = await asyncio.to_thread(predecessor.accept)
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 10) == 0
            called.close()


@asyncio_test
async def test_no_attempt_is_sent_for_a_client_that_left_while_the_successor_held_its_request(tmp_path):
    """The predecessor reads the request, the successor holds it as no host is available; then one is."""
    hosts = [await FakeHost(name).listen() for name in "ab"]
    serving = {"seq": 5, "whole": True, "hosts": [host.list_entry() for host in hosts]}
    draining = {"seq": 6, "whole": True, "hosts": [host.list_entry("DRAINING") for host in hosts]}
    loop = asyncio.get_running_loop()
    agents = [FakeAgent([serving]), FakeAgent([draining])]
    servers = [await loop.create_server(lambda agent=agent: agent, "127.0.0.1", 0) for agent in agents]
    addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    async with GatewayProcesses(tmp_path, *hosts, discovery=addresses[0]) as gateway:
        await gateway.start(long_command_timeout=True)
        predecessor_control = gateway.control
        holding, partial = await gateway.connect_client(), await gateway.connect_client()
        for host in hosts:
            host.script = lambda command: None if command[2] == b"held" else OK
        holding.send_request("put", deadline_ms=20_000, request_id=b"held")  # keeps the predecessor running
        await until(lambda: hosts[0].commands or hosts[1].commands)
        command_parts = (
            b"CALL.GET",
            b"0000000000000007",
            b"half",
            b"c=read,t=team,d=9000,units=1,spread=2,first=0",
        )
        encoded = hiredis.pack_command(command_parts)
        partial.transport.write(encoded[:40])
        gateway.configuration["discovery"] = addresses[1]
        await gateway.start(ready=False)
        await until(lambda: len(agents[1].requests) >= 2, timeout=20)
        while not (await gateway.send_control_call(b"HEALTH")).startswith("done"):
            await asyncio.sleep(0.02)
        partial.transport.write(encoded[40:])
        for control in (predecessor_control, gateway.control):  # answered only after all earlier events
            await gateway.send_control_call(b"HEALTH", control)
        partial.transport.close()
        for control in (predecessor_control, gateway.control):
            await gateway.send_control_call(b"HEALTH", control)
        agents[1].transport.write(list_response(serving | {"seq": 7}))
        # Ten times the interval at which held requests are retried.
        deadline = loop.time() + 10 * SERVER_RETRY_INTERVAL / 1e6
        while loop.time() < deadline:
            assert await send_request(gateway, b"other") == b"ok"
        assert {command[2] for host in hosts for command in host.commands} == {b"held", b"other"}


def list_response(host_list: dict) -> bytes:
    body = json.dumps(host_list).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@asyncio_test
async def test_a_request_read_after_the_successor_died_is_refused_at_once(tmp_path):
    """Guards against relaying it to the dead process, so that it failed only at its deadline."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    async with GatewayProcesses(tmp_path, host) as gateway:
        await gateway.start(long_command_timeout=True)
        holding, partial = await gateway.connect_client(), await gateway.connect_client()
        holding.send_request("put", deadline_ms=9_000, request_id=b"held")  # keeps the predecessor running
        await until(lambda: host.commands)
        command_parts = (
            b"CALL.GET",
            b"0000000000000007",
            b"half",
            b"c=read,t=team,d=9000,units=1,spread=2,first=0",
        )
        encoded = hiredis.pack_command(command_parts)
        partial.transport.write(encoded[:40])
        predecessor_control = gateway.control
        successor = await gateway.start()
        successor.kill()
        await successor.wait()
        # Once it answers, the predecessor has noticed that the successor ended.
        await gateway.send_control_call(b"HEALTH", predecessor_control)
        partial.transport.write(encoded[40:])
        assert str((await partial.wait_for_replies())[0]) == "BUSY"
        host.connections[0].transport.write(OK)
        assert await holding.wait_for_replies() == [b"ok"]


@asyncio_test
async def test_a_successor_of_another_version_is_rejected_without_a_handover(tmp_path):
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        await gateway.start()
        sock = await asyncio.to_thread(connect_as_successor, gateway, 2)
        first_byte, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 2)
        assert (first_byte, descriptors) == (b"", [])
        sock.close()
        assert await send_request(gateway) == b"ok"


@pytest.mark.parametrize(
    "state", [b"", b"{}\n", b'{"state": {}, "hosts": [], "clock": 1}\n{"end": true}\n', b"NaN\n"]
)
@asyncio_test
async def test_the_successor_starts_without_the_state_if_that_is_malformed(tmp_path, state):
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        listener = socket.create_server(("127.0.0.1", 0))
        with socket.socket(socket.AF_UNIX) as listener_socket:
            listener_socket.bind(str(handover_socket_path(gateway)))
            listener_socket.listen()
            listener_socket.settimeout(20)

            def predecessor() -> None:
                with listener_socket.accept()[0] as sock:
                    sock.settimeout(5)
                    receive_until(sock, b"\n")
                    socket.send_fds(sock, [b"\0"], [listener.fileno()])
                    receive_until(sock, b"take")
                    sock.sendall(state)

            thread = asyncio.create_task(asyncio.to_thread(predecessor))
            await gateway.start(ready=False)
            await thread  # the takeover fails now
            async with asyncio.timeout(ANSWER_LIMIT):
                while (answer := await gateway.send_control_call(b"JOIN")) == "nobody":
                    await asyncio.sleep(0.01)
            assert answer == "done joined\n"
            async with asyncio.timeout(10):
                while not (await gateway.send_control_call(b"HEALTH")).startswith("done"):
                    await asyncio.sleep(0.02)
        listener.close()
        assert await send_request(gateway) == b"ok"


# -- the state, without sockets ---------------------------------------------------------------------------


def restored_copy(harness: GatewayHarness, change=lambda state, rows: None) -> Gateway:
    """Return a gateway restored from the JSON state of another one."""
    text = json.dumps(
        [handover.encode_state(harness.gateway), list(handover.encode_accounts(harness.gateway))]
    )
    state, rows = json.loads(text)
    change(state, rows)
    gateway = Gateway(harness.settings, 99, harness.now)
    gateway.start()
    gateway.handle(harness.now, listed(*(host.entry for host in harness.gateway.hosts.values())))
    handover.decode(gateway, state, rows).apply_to(gateway)
    return gateway


def test_counts_limits_ceilings_and_host_statistics_are_restored():
    harness = GatewayHarness()
    for number in range(1, 30):
        sent = of_type(harness.send_request(number, customer=number % 5, plan=number % 3), api.Send)
        harness.run(30_000)
        if sent and number % 4:
            harness.end_attempt(number, sent[0].server, api.Outcome.SERVED, took=40_000 * number)
    gateway = restored_copy(harness)
    assert len(gateway.accounts) == 5
    for customer, account in harness.gateway.accounts.items():
        assert gateway.accounts[customer] == dataclasses.replace(account, open_attempts=0)
    for server, host in harness.gateway.hosts.items():
        # Connections stay with the process that opened them.
        assert dataclasses.replace(host, open_attempts=0, open_connections=0) == gateway.hosts[server]
    assert (
        gateway.usual_times == harness.gateway.usual_times
        and gateway.pending_gossip == harness.gateway.pending_gossip
    )
    assert handover.encode_state(gateway) == handover.encode_state(harness.gateway)


def test_the_predecessors_open_attempts_count_and_end_like_any_other():
    harness = GatewayHarness()
    harness.send_request(1, plan=1)
    harness.send_request(2, plan=1)
    gateway = restored_copy(harness)
    for event in (events := handover.open_attempt_events(harness.gateway)):
        arrived = dataclasses.replace(event.arrived, request=-event.arrived.request)
        assert gateway.handle(harness.now, dataclasses.replace(event, arrived=arrived)) == []
    assert len(events) == 2
    assert (
        gateway.accounts[7].open_attempts == 2 == sum(host.open_attempts for host in gateway.hosts.values())
    )
    refused = gateway.handle(harness.now, api.RequestArrived(9, 7, 1, 0, 1.0, 2 * SECOND, 0, 3, False))
    assert of_type(refused, api.Refuse)  # its plan allows two open attempts
    gateway.handle(
        harness.now, api.AttemptEnded(-1, 0, events[0].server, api.Outcome.SERVED, 9, True, 0, 0.0, ())
    )
    assert gateway.accounts[7].open_attempts == 1
    sent_again = gateway.handle(harness.now, api.RequestArrived(10, 7, 1, 0, 1.0, 2 * SECOND, 0, 3, False))
    assert of_type(sent_again, api.Send)


def test_a_cold_server_stays_cold():
    harness = GatewayHarness(servers=0)
    harness.feed(listed(entry(1), entry(2, launched=harness.now - SECOND)))
    gateway = restored_copy(harness)
    assert [host.entry.server for host in gateway.cold.hosts] == [entry(2).server]


@pytest.mark.parametrize(
    "change",
    [
        lambda state, rows: state.pop("usual"),
        lambda state, rows: state.update(shape=[1, 3, 4, 5]),
        lambda state, rows: state.update(met=[1, 2]),
        lambda state, rows: state["budget"].append(math.inf),
        lambda state, rows: rows.append([1]),
        lambda state, rows: rows.append(rows[0]),
        lambda state, rows: rows[0].__setitem__(1, 99),
        lambda state, rows: rows[0].__setitem__(7, [[99, 1, 1.0]]),
        lambda state, rows: rows[0].__setitem__(8, [2]),
    ],
)
def test_a_malformed_state_is_rejected_as_a_whole(change):
    harness = GatewayHarness()
    harness.send_request(1)
    with pytest.raises(ValueError, match="usable"):
        restored_copy(harness, change)
