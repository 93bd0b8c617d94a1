"""What others may make the gateway do and hold is bounded, whatever and however much they send.

Most of these tests count work or bytes; the ones on processes measure time and run alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import socket
import subprocess
import sys
from pathlib import Path

import hiredis
import pytest
from conftest import FakeClient, FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until
from test_client_ends import connect, request
from test_large import answer

from saffrongw import clients as clients_module
from saffrongw import config
from saffrongw.client import COMMAND_BYTES_MAX_ALL, COMMAND_UNITS, COMMAND_VALUES_MAX
from saffrongw.clients import RECEIVE_BYTES, RECEIVE_BYTES_CROWDED
from saffrongw.host_connection import REPLY_VALUES_MAX
from saffrongw.hosts import REPORT_VALUES_MAX, parse_report
from saffrongw.input_scheduler import ITERATION_UNITS, PORTION_UNITS
from saffrongw.resp import Reader

OPERATOR_ANSWER = 1.0  # seconds, whatever the load
LONG_ARRAY = b"*1024\r\n" + b"$0\r\n\r\n" * 1024
SHORT_COMMAND = b"*1\r\n$0\r\n\r\n"
SHORT_COMMANDS = SHORT_COMMAND * 2048
CROWD = 40  # peers
LONG_TERMS = hiredis.pack_command((b"CALL.GET", b"0000000000000007", b"id", b"," * 60_000))
FLOODS = {
    "arrays of 1,024 empty strings": LONG_ARRAY,
    "arrays of as many empty strings as are read": b"*%d\r\n" % COMMAND_VALUES_MAX
    + b"$0\r\n\r\n" * COMMAND_VALUES_MAX,
    "short improper commands": SHORT_COMMANDS,
    "error lines": b"-\r\n" * 4096,
    "commands behind one that ends the connection": b"$x\r\n" + SHORT_COMMANDS,
    "proper requests": b"".join(request(number) for number in range(1_000, 1_200)),
    "requests with 60,000 terms": LONG_TERMS,
}
PEERS = 4
FLOOD_BYTES = 60_000_000  # of all peers together
FLOOD_TIME = 3.0  # seconds
TIME_LEFT_MS = 300
LATEST_ANSWER = (
    TIME_LEFT_MS / 1_000 + 0.5 + 0.05
)  # seconds: the rule's half second, and the slack of its times


async def flood(address: tuple[str, int], junk: bytes, size: int) -> None:
    """Send junk and read what comes back, until the gateway ends the connection or all is sent."""
    reader, writer = await asyncio.open_connection(*address)

    async def read() -> None:
        with contextlib.suppress(OSError):
            while await reader.read(65536):
                pass

    reading = asyncio.create_task(read())
    with contextlib.suppress(OSError):
        for _ in range(size // len(junk)):
            writer.write(junk)
            await writer.drain()
        await reading
    reading.cancel()
    writer.close()


async def flood_from_peers(host: str, port: str, kind: str, peers: str) -> None:
    """Flood the gateway from several peers at once; the program of a process of its own."""
    size = FLOOD_BYTES // int(peers)
    floods = [flood((host, int(port)), FLOODS[kind], size) for _ in range(int(peers))]
    print("flooding", flush=True)
    async with asyncio.timeout(2 * FLOOD_TIME):
        await asyncio.gather(*floods)


@contextlib.asynccontextmanager
async def flooding(gateway: GatewayProcesses, kind: str, peers: int):
    """Run the peers in another process, whose work then doesn't delay the client that measures."""
    host, port = config.address(gateway.configuration["listen"])
    arguments = (sys.executable, __file__, host, str(port), kind, str(peers))
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    process = await asyncio.create_subprocess_exec(*arguments, env=environment, stdout=subprocess.PIPE)
    try:
        assert await asyncio.wait_for(process.stdout.readline(), 20) == b"flooding\n"
        yield
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()


async def longest_answer(client: FakeClient, seconds: float) -> float:
    """Send one request after another for this time; return the seconds that the longest answer took."""
    loop, longest = asyncio.get_running_loop(), 0.0
    ends = loop.time() + seconds
    while loop.time() < ends:
        began = loop.time()
        client.send_request(deadline_ms=TIME_LEFT_MS)
        await until(lambda: client.replies, 60)
        longest = max(longest, loop.time() - began)
        client.replies.clear()
        await asyncio.sleep(0.05)
    return longest


async def longest_call(gateway: GatewayProcesses, seconds: float) -> float:
    """Make one operator's call after another for this time; return the seconds that the longest took."""
    loop, longest = asyncio.get_running_loop(), 0.0
    ends = loop.time() + seconds
    while loop.time() < ends:
        began = loop.time()
        assert (await gateway.send_control_call(b"HEALTH")).startswith("done")
        longest = max(longest, loop.time() - began)
        await asyncio.sleep(0.2)
    return longest


@pytest.mark.alone
@pytest.mark.parametrize("peers", [PEERS, CROWD])
@asyncio_test
async def test_requests_are_answered_in_time_while_peers_flood(tmp_path, peers):
    """Megabytes were parsed in one turn of the loop, and accepted requests answered 10 to 22 s late."""
    host, longest, longest_calls = await FakeHost("a").listen(), {}, {}
    async with GatewayProcesses(tmp_path, host) as gateway:
        await gateway.start()
        for kind in FLOODS:
            client = await gateway.connect_client()
            async with flooding(gateway, kind, peers):
                longest[kind], longest_calls[kind] = await asyncio.gather(
                    longest_answer(client, FLOOD_TIME), longest_call(gateway, FLOOD_TIME)
                )
            client.transport.close()
        print({kind: f"{seconds:.3f} s" for kind, seconds in longest.items()}, longest_calls)
        assert max(longest.values()) < LATEST_ANSWER
        assert max(longest_calls.values()) < OPERATOR_ANSWER


def resident_bytes(process_id: int) -> int:
    text = Path(f"/proc/{process_id}/status").read_text()
    return 1024 * int(text.partition("VmRSS:")[2].split()[0])


@pytest.mark.parametrize(
    "unfinished",
    [
        b"*1024\r\n" * 100 + b"-\r\n" * 20_000,
        b"*%d\r\n" % COMMAND_VALUES_MAX
        + b"*0\r\n" * (COMMAND_VALUES_MAX - 1)
        + b"$65536\r\n"
        + b"x" * 60_000,
        b"*5\r\n" + b"$60000\r\n%b\r\n" % (b"x" * 60_000) * 2,
    ],
    ids=["error lines in arrays", "arrays", "values"],
)
@asyncio_test
async def test_unfinished_commands_of_many_peers_take_little_memory(tmp_path, unfinished):
    """34 peers with unfinished arrays of error lines took 180 MB: the parser kept an object for 3 bytes."""
    async with GatewayProcesses(tmp_path, await FakeHost("a").listen()) as gateway:
        process = await gateway.start(long_command_timeout=True)
        before = resident_bytes(process.pid)
        peers = [await gateway.connect_client() for _ in range(34)]
        for wave in range(3):
            for peer in peers:
                if not peer.transport.is_closing():
                    peer.transport.write(unfinished)
            await asyncio.sleep(0)
            probe = await gateway.connect_client()
            probe.send_command(b"PING")
            await probe.wait_for_replies()
            await until(
                lambda: all(peer.closed or not peer.transport.get_write_buffer_size() for peer in peers)
            )
            assert resident_bytes(process.pid) - before < 4 * COMMAND_BYTES_MAX_ALL, wave


@asyncio_test
async def test_work_in_one_iteration_of_the_loop_is_bounded_over_all_clients():
    gateway, peers = LoopbackGateway(await FakeHost("a").listen(), sockets=128), 40
    plain_clients, units = [], [0]
    for _ in range(peers):
        plain, client = await connect(gateway)
        process_input = client.process_input

        def count(portion: int, process_input=process_input) -> int:
            used = process_input(portion)
            units[-1] += used
            return used

        client.process_input = count
        plain_clients.append(plain)

    def next_iteration() -> None:
        units.append(0)
        if len(units) < 10_000:
            gateway.loop.call_soon(next_iteration)

    next_iteration()
    for plain in plain_clients:  # all are readable before the loop polls
        plain.send(SHORT_COMMANDS)
    replies = b"-ERR unknown command\r\n" * 2048
    for plain in plain_clients:
        assert await plain.read(len(replies)) == replies
    command_units = 2 + COMMAND_UNITS
    assert sum(units) == peers * 2048 * command_units
    # Half of it for the queue and all of it for reads, each exceeded by a portion and its last command.
    assert max(units) <= 1.5 * ITERATION_UNITS + 2 * (PORTION_UNITS + command_units)


@asyncio_test
async def test_clients_that_wait_for_their_turn_hold_little_input(monkeypatch):
    monkeypatch.setattr(clients_module, "HELD_BYTES_CROWDED", 4 * RECEIVE_BYTES)
    gateway, peers, held = LoopbackGateway(await FakeHost("a").listen(), sockets=128), 60, []
    scheduler = gateway.clients.scheduler
    serve = scheduler._serve
    scheduler._serve = lambda client: (held.append(gateway.clients.held_bytes), serve(client))
    connections = [await connect(gateway) for _ in range(peers)]
    for plain, _ in connections:
        plain.send(SHORT_COMMANDS)
    sent = peers * len(SHORT_COMMANDS)
    await until(lambda: gateway.driver.stats["client_bytes_in"] == sent and not gateway.clients.held_bytes)
    assert max(held) <= (4 + 1) * RECEIVE_BYTES + peers * RECEIVE_BYTES_CROWDED


@asyncio_test
async def test_client_whose_connection_ends_after_an_error_holds_no_input():
    """Its unfinished command was kept until the requests before it were answered."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway)
    plain.send(request(deadline_ms=30_000))
    await until(lambda: host.commands)
    plain.send(b"*3\r\n" + b"$60000\r\n%b\r\n" % (b"x" * 60_000) * 2 + b"$x\r\n" + b"y" * 300_000)
    await until(lambda: gateway.driver.stats["client_read_away"] > 200_000)
    assert client.slots and gateway.clients.held_bytes == 0
    host.connections[0].transport.write(b"*1\r\n$2\r\nok\r\n")
    assert await plain.read_until_close() == b"$2\r\nok\r\n-ERR malformed length\r\n"


@asyncio_test
async def test_commands_that_wait_for_their_turn_are_answered_when_a_drain_ends():
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway)
    gateway.clients.drain.refusing_requests = True
    gateway.clients.scheduler.units_used = ITERATION_UNITS  # as after much other input
    requests = b"".join(request(number) for number in range(50))
    client.data_received(requests)
    assert client.input_queued and not client.slots
    gateway.clients.drain._close_without_request()
    assert await plain.read_until_close() == b"-BUSY\r\n" * 50
    assert host.commands == []


@asyncio_test
async def test_the_end_of_a_drain_leaves_waiting_commands_to_their_turn():
    """All that waited was executed in one turn of the loop: 3.4 s for 300 clients."""
    gateway, units = LoopbackGateway(await FakeHost("a").listen(), sockets=128), [0]
    connections = [await connect(gateway) for _ in range(60)]
    gateway.clients.scheduler.units_used = ITERATION_UNITS  # as after much other input
    for _, client in connections:
        process_input = client.process_input

        def count(portion: int, process_input=process_input) -> int:
            units[0] += (used := process_input(portion))
            return used

        client.process_input = count
        client.data_received(SHORT_COMMAND * 1000)
    gateway.clients.drain._close_without_request()
    assert units[0] <= ITERATION_UNITS + PORTION_UNITS + COMMAND_UNITS
    for plain, _ in connections:
        assert await plain.read_until_close() == b"-ERR unknown command\r\n" * 1000
    assert units[0] == 60 * 1000 * (2 + COMMAND_UNITS)


@pytest.mark.parametrize("ends_by", ["drain", "shutdown"])
@asyncio_test
async def test_requests_behind_answers_that_their_client_reads_late_are_answered_in_a_drain(ends_by):
    """Those that waited for their client to read were dropped with one error line for all."""
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 60_000)
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway, receive_buffer=4096)
    client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    plain.send(request(1) + request(2))
    await until(lambda: client.output.stalled_since and not client.slots)
    client.data_received(b"".join(request(number) for number in range(3, 8)))
    drain = gateway.clients.drain
    if ends_by == "drain":
        drain.refusing_requests = True
        drain._close_without_request()
    else:
        shutdown = asyncio.create_task(drain.shut_down(0.0))
        await until(lambda: client.ends_after_input)
    assert not client.slots and client.reader.is_behind
    received = await plain.read_until_close()
    assert received == b"$60000\r\n%b\r\n" % (b"v" * 60_000) * 2 + b"-BUSY\r\n" * 5
    assert len(host.commands) == 2
    if ends_by == "shutdown":
        plain.sock.close()
        await asyncio.wait_for(shutdown, 10)


@pytest.mark.parametrize(
    "junk",
    [
        b"+\r\n" * 80_000,
        (b"*%d\r\n" % (REPLY_VALUES_MAX // 2)) * 40_000,
        b"*%d\r\n" % REPLY_VALUES_MAX + b"-\r\n" * 80_000,
        b"*2\r\n$70000\r\n%b\r\n" % (b"x" * 70_000) + b"*0\r\n" * 40_000,
    ],
    ids=["replies", "arrays", "error lines", "behind a large value"],
)
@asyncio_test
async def test_a_host_makes_no_more_work_than_one_reply_may(junk):
    """A host's junk was checked to its end: 80,000 headers took 0.3 s of one turn of the loop."""
    host = await FakeHost("a").listen()
    host.script = lambda command: junk
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    readers = []
    pool_connected = gateway.hosts.pools[b"a"].connected
    gateway.hosts.pools[b"a"].connected = lambda connection: (
        readers.append(connection.reader),
        pool_connected(connection),
    )
    client.send_request("bill")
    await until(lambda: client.replies or client.closed)
    await until(lambda: not gateway.hosts.connection_count)
    assert sum(reader.headers_checked for reader in readers) <= (REPLY_VALUES_MAX + 2) * len(readers)
    assert len(host.commands) == len(readers)


def test_a_load_report_with_more_values_than_any_has_is_not_parsed():
    report = b",".join(b"v%d=1" % number for number in range(REPORT_VALUES_MAX))
    assert parse_report(report, ("v1", "v2")) == (1.0, 1.0)
    assert parse_report(report + b",w=1", ("v1", "v2")) == ()


def test_objects_of_an_unfinished_value_are_not_made():
    def errors_made() -> int:
        return sum(isinstance(made, hiredis.ReplyError) for made in gc.get_objects())

    reader, errors_before = Reader(100, 1024), errors_made()
    reader.feed(b"*1024\r\n" + b"-\r\n" * 1023)
    assert reader.gets() is False and reader.unparsed_bytes == len(b"*1024\r\n") + 3 * 1023
    assert errors_made() <= errors_before
    reader.feed(b"-\r\n")
    values = reader.gets()
    assert len(values) == 1024 and isinstance(values[0], hiredis.ReplyError) and reader.at_boundary
    assert reader.held_bytes == 0


if __name__ == "__main__":
    asyncio.run(flood_from_peers(*sys.argv[1:]))
