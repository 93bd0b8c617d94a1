"""Large values, up to 4 MiB: streamed responses, buffered uploads, and their memory limit."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import sys

import hiredis
import pytest
from conftest import FakeHost, LoopbackGateway, asyncio_test, new_request_id, until

from saffrongw import client as client_module
from saffrongw import client_output
from saffrongw import drain as drain_module
from saffrongw import hosts as hosts_module
from saffrongw import uploads as uploads_module
from saffrongw.memory import REQUEST_OVERHEAD_BYTES
from saffrongw.resp import LARGE_VALUE_BYTES_MAX, VALUE_BYTES_MAX, LargeValue, Reader

BIG = random.Random(5).randbytes(1_500_000)
TERMS = b"c=put,t=team,d=9000,units=1,spread=2,first=0,k=key7"


def answer(value: bytes, rest: bytes = b"$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n") -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n%b" % (len(value), value, rest)


def post(body: bytes, request_id: bytes | None = None, terms: bytes = TERMS) -> bytes:
    request_id = request_id or new_request_id()
    return hiredis.pack_command((b"CALL.POST", b"0000000000000007", request_id, terms, body))


@pytest.mark.parametrize("seed", range(8))
def test_large_values_are_streamed_whatever_the_segmentation(seed):
    draw = random.Random(seed)
    bodies = [draw.randbytes(size) for size in (VALUE_BYTES_MAX, VALUE_BYTES_MAX + 1, 200_000, 3)]
    data = b"".join(post(body, b"%d" % n) for n, body in enumerate(bodies))
    reader = Reader(2 * VALUE_BYTES_MAX, 1024, large_index=4, large_must_be_last=True)
    commands = []
    while data:
        size = draw.choice((1, 2, 3, 7, 50, 4096, 70_000))
        reader.feed(data[:size])
        data = data[size:]
        while (command := reader.gets(draw.randrange(1, 9))) is not False or reader.is_behind:
            commands += [command] if command is not False else []
    assert reader.at_boundary and reader.streaming is reader.large is None
    assert [command[2] for command in commands] == [b"0", b"1", b"2", b"3"]
    larges = [command[4] for command in commands[1:3]]
    assert [b"".join(large.take_chunks()) for large in larges] == bodies[1:3]
    assert [large.length for large in larges] == [VALUE_BYTES_MAX + 1, 200_000]
    assert [commands[0][4], commands[3][4]] == [bodies[0], bodies[3]]


@pytest.mark.parametrize(
    "data",
    [
        b"*5\r\n" + b"$1\r\nx\r\n" * 4 + b"$%d\r\n" % (LARGE_VALUE_BYTES_MAX + 1),
        b"*5\r\n" + b"$1\r\nx\r\n" * 3 + b"$%d\r\n" % (3 * VALUE_BYTES_MAX),  # not at large_index
        b"*6\r\n" + b"$1\r\nx\r\n" * 4 + b"$%d\r\n" % (3 * VALUE_BYTES_MAX),  # not the last value
        b"$%d\r\n" % (3 * VALUE_BYTES_MAX),
        b"*5\r\n"
        + b"$1\r\nx\r\n" * 4
        + b"$%d\r\n" % (3 * VALUE_BYTES_MAX)
        + b"x" * (3 * VALUE_BYTES_MAX)
        + b"\rx",
    ],
)
def test_values_too_long_or_misplaced_are_rejected(data):
    reader = Reader(2 * VALUE_BYTES_MAX, 1024, large_index=4, large_must_be_last=True)
    reader.feed(data)
    with pytest.raises(hiredis.ProtocolError):
        while reader.gets() is not False:
            pass


@asyncio_test
async def test_large_response_is_streamed_and_its_connection_reused(monkeypatch):
    monkeypatch.setattr(hosts_module, "CONNECTION_COOLDOWN", 0.0)  # reuse connections at once
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    host.script = lambda command: answer(BIG) if command[2] == b"big" else answer(b"small")
    for round_number in range(3):
        client.send_request(request_id=b"big")
        client.send_request(request_id=b"other")
        assert await client.wait_for_replies(2 * round_number + 2) == [BIG, b"small"] * (round_number + 1)
        await until(lambda: not gateway.hosts.streams)
    assert gateway.driver.stats["streamed"] == 3 and gateway.hosts.streams == {}
    assert len(host.connections) == gateway.hosts.connection_count <= 2
    await until(
        lambda: (
            gateway.driver.calls == gateway.driver.gateway.requests == gateway.driver.gateway.attempts == {}
        )
    )


@asyncio_test
async def test_streaming_starts_at_once_whatever_the_segmentation():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    await gateway.clients.listen()
    reader, writer = await asyncio.open_connection(*gateway.clients.server.sockets[0].getsockname())
    terms = b"c=read,t=team,d=500,units=1,spread=2,first=0"
    writer.write(hiredis.pack_command((b"CALL.GET", b"0000000000000007", b"id", terms)))
    await until(lambda: host.commands)
    data = answer(BIG)
    at = 0
    for cut in (1, 5, 7, 12, 14, 200, 100_000, len(BIG) + 13, len(BIG) + 15, len(data)):
        host.connections[0].transport.write(data[at:cut])
        at = cut
        await asyncio.sleep(0.06)  # in total longer than the deadline, which no longer applies
        if cut == 200:
            first = b"$%d\r\n" % len(BIG) + BIG[: 200 - 14]
            assert await reader.readexactly(len(first)) == first
    rest = BIG[200 - 14 :] + b"\r\n"
    assert await reader.readexactly(len(rest)) == rest
    writer.close()
    await until(lambda: len(gateway.hosts.pools[b"a"].idle) == 1)


@asyncio_test
async def test_truncated_stream_closes_the_client_connection_without_retry():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request()
    await until(lambda: host.commands)
    host.connections[0].transport.write(answer(BIG)[:100_000])
    await until(lambda: gateway.hosts.streams)
    host.connections[0].transport.abort()
    await until(lambda: client.closed)
    assert client.replies == [] and len(host.commands) == 1
    assert gateway.driver.stats["stream_broken"] == 1 and gateway.hosts.connection_count == 0


@pytest.mark.parametrize("rest", [b"$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n", b""])
@pytest.mark.parametrize("end", ["end", "reset"])
@asyncio_test
async def test_truncated_large_response_is_never_taken_for_complete(end, rest):
    """It was taken for complete when only the metadata behind the value was missing."""
    value = BIG[:70_000]
    data = answer(value, rest) if rest else b"*1\r\n$%d\r\n%b\r\n" % (len(value), value)
    head, tail = data.index(value), data.index(value) + len(value)
    for cut in (0, 3, head, head + 1, head + 50_000, *range(tail - 1, len(data) + 1)):
        host = await FakeHost("a").listen()
        host.script = lambda command: None
        gateway = LoopbackGateway(host)
        client = await gateway.connect_client()
        client.send_request("bill")
        await until(lambda host=host: host.commands)
        (connection,) = host.connections
        connection.transport.write(data[:cut])
        if cut > head:
            await until(lambda gateway=gateway: gateway.hosts.streams or not gateway.driver.calls)
        if end == "reset":
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.transport.close()
        await until(lambda client=client, cut=cut, head=head: client.closed or (client.replies and True))
        if cut == len(data):
            assert client.replies == [value] or (end == "reset" and not client.replies)
        elif client.replies:
            assert str(client.replies[0]) == "ERR failed" and len(client.replies) == 1
        else:
            assert client.closed and gateway.driver.stats["stream_broken"] == 1
        await until(lambda gateway=gateway: gateway.hosts.connection_count == 0)
        assert len(host.commands) == 1
        client.transport.close()


@pytest.mark.parametrize("suffix", [b"xx", b"\r\n$70000\r\n", b"\r\n:x"])
@asyncio_test
async def test_malformed_large_response_behind_another_fails_alone(suffix):
    """It closed the client's connection, on which an earlier request was still unanswered."""
    host = await FakeHost("a").listen()
    first = []
    malformed = b"*3\r\n$70000\r\n%b%b" % (BIG[:70_000], suffix + b"\r\n" + b"x" * 70_000)
    host.script = lambda command: first.append(host.sender) if command[2] == b"one" else malformed
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request(request_id=b"one")
    await until(lambda: first)
    client.send_request("bill", request_id=b"two")
    await until(lambda: gateway.driver.stats["stream_broken"])
    first[0].transport.write(answer(b"ok"))
    client.send_command(b"PING")
    replies = await client.wait_for_replies(3)
    assert replies[0] == b"ok" and str(replies[1]) == "ERR failed" and replies[2] == b"PONG"
    assert len(host.commands) == 2


@asyncio_test
async def test_duplicate_large_response_is_forwarded_once():
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(BIG) * 2 if command[2] == b"one" else answer(b"other")
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request(request_id=b"one")
    assert await client.wait_for_replies() == [BIG]
    client.send_request(request_id=b"two")
    assert await client.wait_for_replies(2) == [BIG, b"other"]


@asyncio_test
async def test_stalled_stream_is_given_up(monkeypatch):
    monkeypatch.setattr(hosts_module, "STREAM_IDLE_TIMEOUT", 0.3)
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(BIG)[:100_000]
    client = await LoopbackGateway(host).connect_client()
    client.send_request()
    await until(lambda: client.closed)
    await until(lambda: not host.connections)


@asyncio_test
async def test_slow_client_pauses_its_host_and_a_disconnect_releases_it():
    host = await FakeHost("a").listen()
    value = random.Random(6).randbytes(LARGE_VALUE_BYTES_MAX)
    host.script = lambda command: answer(value)
    gateway = LoopbackGateway(host)
    await gateway.clients.listen()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(gateway.clients.server.sockets[0].getsockname())
    sock.setblocking(False)
    terms = b"c=read,t=team,d=2000,units=1,spread=2,first=0"
    await gateway.loop.sock_sendall(
        sock, hiredis.pack_command((b"CALL.GET", b"0000000000000007", b"id", terms))
    )
    await until(lambda: any(connection.paused for connection in gateway.hosts.streams))
    (client,) = gateway.clients.open
    assert client.transport.get_write_buffer_size() < 1_000_000
    got = b""
    while len(got) < 300_000:
        got += await gateway.loop.sock_recv(sock, 8192)
    assert got == (b"$%d\r\n" % len(value) + value)[: len(got)]
    assert gateway.hosts.streams
    sock.close()
    await until(lambda: not gateway.hosts.streams and not gateway.hosts.connection_count)
    assert not gateway.driver.stats["stream_broken"]  # counts only streams that a host broke off


@asyncio_test
async def test_slow_reader_is_kept_as_long_as_it_reads(monkeypatch):
    monkeypatch.setattr(client_output, "WRITE_STALL_TIMEOUT", client_module.COMMAND_TIMEOUT + 0.6)
    host = await FakeHost("a").listen()
    value = random.Random(6).randbytes(LARGE_VALUE_BYTES_MAX)
    host.script = lambda command: answer(value)
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    (gateway_client,) = await asyncio.sleep(0.05) or gateway.clients.open
    gateway_client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    gateway_client.transport.set_write_buffer_limits(high=1_000, low=0)  # so that it rarely drains
    client.send_request(deadline_ms=2000)
    for _ in range(40):
        client.transport.pause_reading()
        await asyncio.sleep(0.1)
        client.transport.resume_reading()
        await asyncio.sleep(0.002)
    assert await client.wait_for_replies() == [value]


@asyncio_test
async def test_large_request_is_forwarded_whole_and_can_be_retried():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    replies = [b"-BUSY\r\n", answer(b"done"), answer(b"small")]
    for host in hosts:
        host.script = lambda command: replies.pop(0)
    gateway = LoopbackGateway(*hosts)
    client = await gateway.connect_client()
    free = gateway.clients.upload_memory.free
    data = post(BIG, b"large")
    for at in range(0, len(data), 400_000):
        assert not hosts[0].commands + hosts[1].commands
        client.transport.write(data[at : at + 400_000])
        await asyncio.sleep(0.05)
    client.send_request(request_id=b"next")
    assert await client.wait_for_replies(2) == [b"done", b"small"]
    commands = [command for host in hosts for command in host.commands]
    assert [command[4] for command in commands if command[2] == b"large"] == [BIG, BIG]
    assert gateway.clients.upload_memory.free == free


@asyncio_test
async def test_uploads_wait_for_memory_and_are_all_served():
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    gateway.clients.upload_memory.free = 2 * len(BIG) + 1
    host.script = lambda command: answer(command[2])
    clients = [await gateway.connect_client() for _ in range(6)]
    for number, client in enumerate(clients):
        client.transport.write(post(BIG, b"id%d" % number)[:-10])
    await until(lambda: len(gateway.clients.upload_memory.waiting) == 4)
    assert gateway.clients.upload_memory.free == 1
    clients[5].transport.close()  # one that waits for memory disconnects, and one that holds some
    clients[0].transport.close()
    for number, client in enumerate(clients[1:5], 1):
        client.transport.write(post(BIG, b"id%d" % number)[-10:])
    for number, client in enumerate(clients[1:5], 1):
        assert await client.wait_for_replies() == [b"id%d" % number]
    await until(lambda: gateway.clients.upload_memory.free == 2 * len(BIG) + 1)
    assert gateway.clients.upload_memory.waiting == {} and len(host.commands) == 4


@asyncio_test
async def test_upload_without_memory_in_time_is_refused_as_retryable(monkeypatch):
    monkeypatch.setattr(uploads_module, "UPLOAD_MEMORY_TIMEOUT", 0.3)
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    gateway.clients.upload_memory.free = 10
    client = await gateway.connect_client()
    client.transport.write(post(BIG))
    assert str((await client.wait_for_replies())[0]) == "BUSY"
    await until(lambda: client.closed)
    assert gateway.clients.upload_memory.free == 10 and host.commands == []


@asyncio_test
async def test_stalled_and_slow_uploads_are_closed_in_time():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    stalled, slow = [await gateway.connect_client() for _ in range(2)]
    started, free = gateway.loop.time(), gateway.clients.upload_memory.free
    for client in (stalled, slow):
        client.transport.write(post(BIG)[:1000])
    while not (stalled.closed and slow.closed):
        slow.transport.write(b"x")
        await asyncio.sleep(0.05)
    assert str(stalled.replies[0]).startswith("ERR") and str(slow.replies[0]).startswith("ERR")
    assert gateway.loop.time() - started < 4
    await until(lambda: gateway.clients.upload_memory.free == free)


@pytest.mark.parametrize("more", [0, 1_000_000])
@asyncio_test
async def test_body_over_the_limit_gets_an_error(more):
    host = await FakeHost("a").listen()
    client = await LoopbackGateway(host).connect_client()
    client.transport.write(post(b"x" * (LARGE_VALUE_BYTES_MAX + 1 + more)))
    assert str((await client.wait_for_replies())[0]).startswith("ERR")
    await until(lambda: client.closed)
    assert host.commands == []


@asyncio_test
async def test_malformed_request_with_a_large_body_is_discarded_and_the_connection_kept():
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    free = gateway.clients.upload_memory.free
    client.transport.write(post(BIG, terms=b"c=put") + hiredis.pack_command((b"PING",)))
    replies = await client.wait_for_replies(2)
    assert str(replies[0]).startswith("ERR") and replies[1] == b"PONG"
    assert gateway.clients.upload_memory.free == free and host.commands == []


@asyncio_test
async def test_shutdown_waits_for_the_rest_of_a_streamed_response():
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(BIG)[:100_000]
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request()
    await until(lambda: gateway.hosts.streams)
    ending = asyncio.create_task(gateway.clients.drain.shut_down(0.1))
    await asyncio.sleep(1.5)
    assert not ending.done()
    host.connections[0].transport.write(answer(BIG)[100_000:])
    assert await client.wait_for_replies() == [BIG]
    await ending


@asyncio_test
async def test_shutdown_waits_for_a_host_that_writes_slowly(monkeypatch):
    """It cut the value off 10 s after the last deadline unless the client got 16 KiB a second."""
    monkeypatch.setattr(drain_module, "WRITE_STALL_TIMEOUT", 0.1)
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(BIG)[:100_000]
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request()
    await until(lambda: gateway.hosts.streams)
    ending = asyncio.create_task(gateway.clients.drain.shut_down(0.1))
    for at in range(100_000, 100_040):
        host.connections[0].transport.write(answer(BIG)[at : at + 1])
        await asyncio.sleep(0.05)
    assert not ending.done()
    host.connections[0].transport.write(answer(BIG)[100_040:])
    assert await client.wait_for_replies() == [BIG]
    await ending


@pytest.mark.parametrize("seed", range(20))
def test_each_value_is_read_with_its_own_parts_whatever_came_before(seed):
    """A large value within an array became the next command's body, and each body that of the one after."""
    draw = random.Random(seed)

    def encode(value: object) -> bytes:
        if isinstance(value, list):
            return b"*%d\r\n" % len(value) + b"".join(map(encode, value))
        return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)

    def draw_value(depth: int) -> object:
        if depth < 4 and draw.random() < 0.4:
            return [draw_value(depth + 1) for _ in range(draw.randrange(7))]
        size = draw.choice((0, 1, 30, VALUE_BYTES_MAX, VALUE_BYTES_MAX + 1, 100_000))
        return draw.choice((None, draw.randbytes(size), draw.randbytes(size)))

    expected = [draw_value(0) for _ in range(60)]
    expected += [
        [b"CALL.POST", b"c", b"id", b"t", draw.randbytes(size)] for size in (150_000, 3, 300_000)
    ] * 3
    draw.shuffle(expected)
    data, got = b"".join(map(encode, expected)), []
    reader = Reader(2 * VALUE_BYTES_MAX, 1024, large_index=4, large_must_be_last=True)
    while data:
        size = draw.choice((1, 5, 5_000, 70_000, 400_000))
        reader.feed(data[:size])
        data = data[size:]
        while (value := reader.gets(draw.randrange(1, 30))) is not False or reader.is_behind:
            got += [value] if value is not False else []
    for value in got:
        if isinstance(value, list) and len(value) == 5 and isinstance(value[4], LargeValue):
            value[4] = b"".join(value[4].take_chunks())
    assert got == expected


LONG = 80_000
HEAD = (b"CALL.POST", b"0000000000000001", b"id0", TERMS)


def with_values(count: int, *parts: bytes) -> bytes:
    return b"*%d\r\n" % count + b"".join(parts)


IMPROPER = {
    "body within an array": with_values(
        4, hiredis.pack_command(HEAD[:3])[4:], b"*1\r\n$%d\r\n%b\r\n" % (LONG, b"X" * LONG)
    ),
    "array before the body": with_values(
        5, hiredis.pack_command(HEAD[:3])[4:], b"*1\r\n$1\r\nx\r\n$%d\r\n%b\r\n" % (LONG, b"X" * LONG)
    ),
    "body deep within arrays": b"*1\r\n" * 3 + with_values(5, b"$1\r\nx\r\n" * 4, b"$3\r\nXXX\r\n"),
    "unknown class": post(b"X" * LONG, b"id0", TERMS.replace(b"put", b"nil")),
    "reading with a body": post(b"X" * LONG, b"id0").replace(b"CALL.POST", b"CALL.GETS"),
    "null and a body": with_values(5, b"$-1\r\n" * 4, b"$%d\r\n%b\r\n" % (LONG, b"X" * LONG)),
}


@pytest.mark.parametrize("improper", IMPROPER.values(), ids=IMPROPER)
@asyncio_test
async def test_orders_run_with_their_own_bodies_behind_an_improper_request(improper):
    """Each order on the connection ran with the body of the one before, of another customer."""
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(command[4][:1])
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    free = gateway.clients.upload_memory.free
    bodies = [bytes([letter]) * (LONG + letter) for letter in b"ABC"]
    for round_number in range(2):
        client.transport.write(improper)
        await client.wait_for_replies(4 * round_number + 1)
        client.transport.write(b"".join(post(body) for body in bodies))
        replies = await client.wait_for_replies(4 * round_number + 4)
        assert isinstance(replies[-4], hiredis.ReplyError) and replies[-3:] == [b"A", b"B", b"C"]
    assert [command[4] for command in host.commands] == 2 * bodies
    assert gateway.clients.upload_memory.free == free and gateway.clients.held_bytes == 0


@asyncio_test
async def test_a_body_in_tiny_pieces_takes_little_more_memory_than_its_bytes():
    """Each piece of 2 bytes cost 43 more, which nothing counted: 4 MiB took 90 MB."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    await until(lambda: gateway.clients.open)
    (gateway_client,) = gateway.clients.open
    data = post(b"x" * 200_000)
    for at in range(0, len(data) - 10, 2):
        gateway_client.data_received(data[at : at + 2])
    chunks = gateway_client.upload.chunks
    assert sum(map(sys.getsizeof, chunks)) + sys.getsizeof(chunks) < 1.05 * len(data)
    client.transport.write(data[-10 + len(data) % 2 :])
    assert await client.wait_for_replies()


def wait_in_slots(gateway: LoopbackGateway) -> int:
    return sum(sum(map(len, slot.pieces)) for client in gateway.clients.open for slot in client.slots)


@pytest.mark.parametrize("size", [60_000, 250_000])
@asyncio_test
async def test_answers_that_wait_behind_others_are_counted_and_bounded(size):
    """Twelve connections with 63 answers of 250 KB behind a slow order took 67 MB, which nothing counted."""
    host = await FakeHost("a").listen()
    orders = []

    def reply(command: list[bytes]) -> bytes | None:
        return orders.append(host.sender) if command[2].startswith(b"slow") else answer(b"v" * size)

    host.script = reply
    gateway = LoopbackGateway(host, sockets=1024)
    waiting = gateway.clients.waiting_replies
    waiting.limit, most = 1_000_000, 0
    clients = [await gateway.connect_client() for _ in range(4)]
    for number, client in enumerate(clients):
        client.send_request("bill", deadline_ms=30_000, request_id=b"slow%d" % number)
    await until(lambda: len(orders) == len(clients))
    for client in clients:
        for number in range(12):
            client.send_request(deadline_ms=30_000, request_id=b"%d" % number)
    async with asyncio.timeout(20):
        while gateway.driver.stats["requests"] < 13 * len(clients) or len(gateway.driver.calls) > len(
            clients
        ):
            most = max(most, waiting.held)
            assert waiting.held == wait_in_slots(gateway)
            await asyncio.sleep(0)
    assert most <= waiting.limit + 300_000
    assert gateway.driver.stats["failed_no_room"]
    for sender in orders:
        sender.transport.write(answer(b"done"))
    for client in clients:
        replies = await client.wait_for_replies(13)
        assert replies[0] == b"done"
        assert {reply if isinstance(reply, bytes) else str(reply) for reply in replies[1:]} <= {
            b"v" * size,
            "ERR failed",
            "BUSY",
        }
    await until(lambda: not waiting.held)


@asyncio_test
async def test_answers_that_a_client_leaves_unread_are_counted_and_bounded():
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 60_000)
    gateway = LoopbackGateway(host, sockets=1024)
    waiting = gateway.clients.waiting_replies
    waiting.limit = 500_000
    client = await gateway.connect_client()
    client.transport.pause_reading()
    await until(lambda: gateway.clients.open)
    (gateway_client,) = gateway.clients.open
    gateway_client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    for number in range(60):
        client.send_request(deadline_ms=30_000, request_id=b"%d" % number)
    await until(lambda: gateway.driver.stats["requests"] == 60 and not gateway.driver.calls)
    assert gateway_client.transport.get_write_buffer_size() <= waiting.held <= waiting.limit + 70_000
    await until(lambda: gateway_client.transport.get_write_buffer_size() == waiting.held)
    assert gateway.driver.stats["failed_no_room"]
    client.transport.resume_reading()
    replies = await client.wait_for_replies(60)
    assert replies[0] == b"v" * 60_000
    await until(lambda: not waiting.held)


@asyncio_test
async def test_parts_of_responses_of_all_hosts_are_counted_and_bounded():
    """Each of some hundred connections held up to 128 KB of a response without end, which nothing counted."""
    host = await FakeHost("a").listen()
    host.script = lambda command: b"*3\r\n$60000\r\n" + b"v" * 50_000
    gateway = LoopbackGateway(host, sockets=256)
    partial = gateway.hosts.partial_replies
    partial.limit, most = 500_000, 0
    clients = [await gateway.connect_client() for _ in range(30)]
    for client in clients:
        client.send_request("bill", deadline_ms=1_000)
    async with asyncio.timeout(20):
        while not all(client.replies for client in clients):
            assert partial.held <= partial.limit + 60_000
            most = max(most, partial.held)
            await asyncio.sleep(0)
    assert most > partial.limit - 60_000
    assert all(isinstance(client.replies[0], hiredis.ReplyError) for client in clients)
    await until(lambda: not gateway.hosts.connection_count)
    assert partial.held == 0 and len(host.commands) <= len(clients)


@pytest.mark.parametrize("size", [66_000, 100_000, 200_000])
@asyncio_test
async def test_a_connection_that_was_paused_by_its_last_piece_is_read_again(monkeypatch, size):
    """It went back to its pool unread: the next attempt there ran, and its answer was never read."""
    monkeypatch.setattr(hosts_module, "CONNECTION_COOLDOWN", 0.0)  # reuse connections at once
    host = await FakeHost("a").listen()
    orders = []
    host.script = lambda command: orders.append(host.sender) if command[2] == b"slow" else answer(b"v" * size)
    gateway = LoopbackGateway(host)
    client, other = await gateway.connect_client(), await gateway.connect_client()
    client.send_request("bill", request_id=b"slow", deadline_ms=5_000)
    await until(lambda: orders)
    client.send_request(request_id=b"behind")
    await until(lambda: gateway.hosts.pools[b"a"].idle)
    other.send_request(request_id=b"next", deadline_ms=1_000)
    assert await other.wait_for_replies() == [b"v" * size]
    assert len(host.commands) == 3 and len(host.connections) == 2
    orders[0].transport.write(answer(b"done"))
    assert await client.wait_for_replies(2) == [b"done", b"v" * size]


# -- requests that wait


@pytest.mark.parametrize("size", [10, 60_000])
@asyncio_test
async def test_requests_that_wait_are_counted_and_bounded(size):
    """While decisions were suspended, all that clients sent was kept: 64 bodies of 64 KB a connection."""
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    memory = gateway.clients.request_memory
    memory.limit, most = 20 * (REQUEST_OVERHEAD_BYTES + size + 200), 0
    clients = [await gateway.connect_client() for _ in range(3)]
    gateway.driver.freeze()
    for client in clients:
        client.transport.write(b"".join(post(b"x" * size) for _ in range(30)))
    async with asyncio.timeout(20):
        while sum(len(client.slots) for client in gateway.clients.open) < 30 * len(clients):
            most = max(most, memory.held)
            await asyncio.sleep(0)
    held_parts = sum(len(part) for call in gateway.driver.calls.values() for part in call.parts)
    assert held_parts < memory.held <= memory.limit and 20 <= len(gateway.driver.calls) <= 24
    assert gateway.driver.stats["refused_no_room"] == 30 * len(clients) - len(gateway.driver.calls)
    gateway.driver.thaw()
    replies = [reply for client in clients for reply in await client.wait_for_replies(30)]
    assert {reply if isinstance(reply, bytes) else str(reply) for reply in replies} <= {b"ok", "BUSY"}
    await until(lambda: not memory.held)


@asyncio_test
async def test_requests_whose_client_goes_are_no_longer_counted():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request("bill", deadline_ms=30_000)
    client.transport.write(post(BIG))
    await until(lambda: len(host.commands) == 2)
    assert 0 < gateway.clients.request_memory.held < len(BIG)
    client.transport.close()
    await until(lambda: not gateway.clients.request_memory.held)
