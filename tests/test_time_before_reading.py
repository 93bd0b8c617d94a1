"""A request's time runs from its last byte, also while it lies unread in the socket.

Requests are left unread while memory for their bodies is lacking, and behind answers that are written.
"""

from __future__ import annotations

import asyncio

import pytest
from conftest import FakeHost, LoopbackGateway, asyncio_test, until
from test_client_ends import connect, request
from test_host_links import PlainHost
from test_large import BIG, TERMS, answer, post

from saffrongw.resp import LARGE_VALUE_BYTES_MAX

SECOND = 1_000  # milliseconds
BODY = b"b" * 300_000  # all of it fits into the socket
TOLERANCE = 150  # milliseconds by which a host may be told too much


def order(deadline_ms: int, request_id: bytes = b"id1", body: bytes = BODY) -> bytes:
    return post(body, request_id, TERMS.replace(b"d=9000", b"d=%d" % deadline_ms))


def told_ms(command: list[bytes]) -> int:
    """Return the time that a host was told."""
    terms = dict(pair.split(b"=") for pair in command[3].split(b","))
    return int(terms[b"d"])


async def without_memory(memory: int = 0) -> tuple[FakeHost, LoopbackGateway]:
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"done")
    gateway = LoopbackGateway(host)
    gateway.clients.upload_memory.free = memory
    return host, gateway


@asyncio_test
async def test_order_that_finds_no_memory_in_its_time_is_refused_in_time():
    """It waited 1.6 s whatever its time was, was begun then, and answered too late (review/7)."""
    host, gateway = await without_memory()
    plain, _ = await connect(gateway)
    sent_at = gateway.loop.time()
    plain.send(order(600))
    assert await plain.read_until_close() == b"-BUSY\r\n"
    assert gateway.loop.time() - sent_at < 0.6 + 0.5
    assert host.commands == []


@asyncio_test
async def test_order_that_has_waited_for_memory_is_begun_with_the_time_that_is_left():
    host, gateway = await without_memory()
    plain, client = await connect(gateway)
    sent_at = gateway.loop.time()
    plain.send(order(5 * SECOND))
    await until(lambda: client.backlog.since)
    await asyncio.sleep(0.5)
    waited_ms = 1000 * (gateway.loop.time() - sent_at)
    gateway.clients.upload_memory.free = len(BODY)
    gateway.clients.upload_memory.grant_waiting()
    assert await plain.read(10) == b"$4\r\ndone\r\n"
    assert told_ms(host.commands[0]) <= 5 * SECOND - waited_ms + TOLERANCE
    plain.send(order(5 * SECOND, b"id2"))
    assert await plain.read(10) == b"$4\r\ndone\r\n"
    assert told_ms(host.commands[1]) > 5 * SECOND - TOLERANCE  # the wait before counts no longer


@asyncio_test
async def test_body_that_is_still_written_loses_no_time_by_its_wait_for_memory():
    host, gateway = await without_memory()
    plain, _ = await connect(gateway)
    command = order(5 * SECOND)
    plain.send(command[:100_000])
    await until(lambda: gateway.clients.upload_memory.waiting)
    await asyncio.sleep(0.5)
    gateway.clients.upload_memory.free = len(BODY)
    gateway.clients.upload_memory.grant_waiting()
    plain.send(command[100_000:])
    assert await plain.read(10) == b"$4\r\ndone\r\n"
    assert told_ms(host.commands[0]) > 5 * SECOND - TOLERANCE


@asyncio_test
async def test_small_body_does_not_wait_behind_larger_ones():
    host, gateway = await without_memory(200_000)
    large, _ = await connect(gateway)
    large.send(order(5 * SECOND)[:1000])
    await until(lambda: gateway.clients.upload_memory.waiting)
    plain, _ = await connect(gateway)
    plain.send(order(5 * SECOND, b"id2", b"b" * 100_000))
    assert await plain.read(10) == b"$4\r\ndone\r\n"
    assert gateway.clients.upload_memory.waiting and len(host.commands) == 1


@pytest.mark.parametrize("deadline_ms", [400, 5 * SECOND])
@asyncio_test
async def test_request_behind_a_value_that_is_passed_on_is_begun_in_its_own_time(deadline_ms):
    """It lay unread while the value was written, and was begun with all of its time."""
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(BIG)[:100_000] if command[2] == b"id1" else answer(b"done")
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway)
    plain.send(request(1))
    await until(lambda: client.reading_paused)
    sent_at = gateway.loop.time()
    plain.send(request(2, deadline_ms=deadline_ms))
    await until(lambda: client.backlog.since)
    await asyncio.sleep(0.5)
    waited_ms = 1000 * (gateway.loop.time() - sent_at)
    host.connections[0].transport.write(answer(BIG)[100_000:])
    value = b"$%d\r\n%b\r\n" % (len(BIG), BIG)
    assert await plain.read(len(value)) == value
    reply = await plain.read(7)
    if deadline_ms < waited_ms:
        assert reply == b"-BUSY\r\n" and len(host.commands) == 1
    else:
        assert reply == b"$4\r\ndon"
        assert told_ms(host.commands[1]) <= deadline_ms - waited_ms + TOLERANCE


@asyncio_test
async def test_order_whose_host_reads_its_body_slowly_is_answered_in_time():
    """Forced for picture (d): the answer doesn't wait for the host to take the body."""
    host = PlainHost("a")
    gateway = LoopbackGateway(host)
    plain, _ = await connect(gateway)
    sent_at = gateway.loop.time()
    large_body = b"b" * LARGE_VALUE_BYTES_MAX
    unfinished = order(600, b"id2", large_body)[:100_000]
    await gateway.loop.sock_sendall(plain.sock, order(600, body=large_body) + unfinished)
    sock = await host.accept()
    assert await plain.read(5) == b"-BUSY"  # it was never whole at the host
    assert gateway.loop.time() - sent_at < 0.6 + 0.5
    sock.close()


@asyncio_test
async def test_wait_of_some_requests_is_not_counted_for_those_that_come_later():
    """While more always lay in the socket, the first wait was counted for ever: all were refused at last."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    plain, client = await connect(gateway)
    first, later = request(1), request(2)
    client.backlog.since, client.backlog.unread_bytes = gateway.loop.time() - 10.0, len(first)
    plain.send(request(3) * 50)  # lies in the socket until the event loop runs
    client.data_received(first)
    assert gateway.driver.stats["refused_spent"] == 1 and not gateway.driver.calls
    client.data_received(later)
    assert gateway.driver.stats["refused_spent"] == 1 and gateway.driver.calls
    plain.sock.close()
