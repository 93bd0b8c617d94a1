"""Large values with other requests behind them on the connection: what is read behind one gets its answer."""

from __future__ import annotations

import asyncio

import pytest
from conftest import FakeClient, FakeHost, LoopbackGateway, asyncio_test, until
from test_client_ends import connect, request
from test_large import BIG, answer

KINDS = ("read", "put", "bill")
PART = 200_000  # bytes of a value that come before it breaks off or stops


class Scene:
    """A gateway, and a host whose connection for the large value the test writes to."""

    async def set_up(self) -> Scene:
        self.host = await FakeHost("a").listen()
        self.host.script = self._reply
        self.value_connection = None
        self.gateway = LoopbackGateway(self.host)
        self.client = await self.gateway.connect_client()
        return self

    def _reply(self, command: list[bytes]) -> bytes | None:
        if command[2] == b"value":
            self.value_connection = self.host.sender
            return None
        return None if command[2] == b"slow" else answer(command[2])

    def send(self, kind: str, request_id: bytes, deadline_ms: int = 3000) -> None:
        self.client.send_request(kind, deadline_ms, request_id)

    async def begin_value(self) -> None:
        """Have the host send a part of the large value."""
        await until(lambda: self.value_connection)
        self.value_connection.transport.write(answer(BIG)[:PART])
        await until(lambda: self.gateway.hosts.streams)

    def complete_value(self) -> None:
        self.value_connection.transport.write(answer(BIG)[PART:])

    def ran(self) -> list[bytes]:
        return [command[2] for command in self.host.commands]


def texts(client: FakeClient) -> list[object]:
    return [reply if isinstance(reply, bytes) else str(reply) for reply in client.replies]


@pytest.mark.parametrize("kind", KINDS)
@asyncio_test
async def test_requests_behind_a_value_that_breaks_off_are_answered(kind):
    """They ran, and their connection was ended with the value: none was answered (review/8)."""
    scene = await Scene().set_up()
    scene.send("read", b"value")
    for number in range(3):
        scene.send(kind, b"order%d" % number)
    await scene.begin_value()
    scene.value_connection.transport.abort()
    await scene.client.wait_for_replies(4)
    assert texts(scene.client) == ["ERR failed", b"order0", b"order1", b"order2"]
    assert sorted(scene.ran()) == [b"order0", b"order1", b"order2", b"value"]
    assert not scene.client.closed and not scene.gateway.clients.waiting_replies.held


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("is_whole", [True, False], ids=["whole", "broken"])
@asyncio_test
async def test_nothing_is_begun_behind_a_value_that_is_passed_on(kind, is_whole):
    """An order that came while a value was written ran, and was never answered if the value broke off."""
    scene = await Scene().set_up()
    scene.send("read", b"value")
    await scene.begin_value()
    await until(lambda: next(iter(scene.gateway.clients.open)).reading_paused)
    scene.send(kind, b"order")
    await asyncio.sleep(0.2)
    assert scene.ran() == [b"value"]
    if is_whole:
        scene.complete_value()
        assert await scene.client.wait_for_replies(2) == [BIG, b"order"]
    else:
        scene.value_connection.transport.abort()
        await until(lambda: scene.client.closed)
        assert scene.ran() == [b"value"] and scene.client.replies == []


@asyncio_test
async def test_value_with_a_request_behind_it_is_answered_once_it_is_whole():
    scene = await Scene().set_up()
    scene.send("read", b"value")
    scene.send("bill", b"order")
    await scene.begin_value()
    await until(lambda: scene.gateway.driver.stats["attempt_served"] == 2)
    assert scene.client.replies == []
    scene.complete_value()
    assert await scene.client.wait_for_replies(2) == [BIG, b"order"]
    assert scene.gateway.driver.stats["stream_held"] == 1
    await until(lambda: not scene.gateway.clients.waiting_replies.held)


@asyncio_test
async def test_value_whose_rest_does_not_come_fails_in_time_and_frees_those_behind(monkeypatch):
    monkeypatch.setattr("saffrongw.streamed_reply.HOLD_GRACE", 0.1)
    scene = await Scene().set_up()
    sent_at = scene.gateway.loop.time()
    scene.send("read", b"value", deadline_ms=500)
    scene.send("bill", b"order")
    await scene.begin_value()
    await scene.client.wait_for_replies(2)
    assert texts(scene.client) == ["ERR failed", b"order"]
    assert 0.5 < scene.gateway.loop.time() - sent_at < 1.0
    assert scene.gateway.driver.stats["stream_held_too_long"] == 1
    await until(lambda: not scene.host.connections or not scene.gateway.hosts.streams)
    assert not scene.gateway.clients.waiting_replies.held


@asyncio_test
async def test_value_behind_a_slow_order_is_passed_on_once_it_is_first_and_last():
    scene = await Scene().set_up()
    scene.send("bill", b"slow")
    scene.send("read", b"value")
    await scene.begin_value()
    await until(lambda: next(iter(scene.gateway.hosts.streams)).paused)
    slow = next(c for c in scene.host.connections if c is not scene.value_connection)
    slow.transport.write(answer(b"done"))
    assert await scene.client.wait_for_replies() == [b"done"]
    scene.complete_value()
    assert await scene.client.wait_for_replies(2) == [b"done", BIG]
    assert not scene.gateway.driver.stats["stream_held"]


@pytest.mark.parametrize("behind", ["request", "half a request", "large body"])
@asyncio_test
async def test_value_is_held_back_whatever_stands_behind_it(behind):
    scene = await Scene().set_up()
    plain, _ = await connect(scene.gateway)
    value_request = request().replace(b"id1", b"value").replace(b"$3\r\nvalue", b"$5\r\nvalue")
    parts = {
        "request": request(2),
        "half a request": request(2)[:30],
        "large body": request(2, b"bill")[:-10] + b"$300000\r\n" + b"b" * 1000,
    }
    plain.send(value_request + parts[behind])
    await scene.begin_value()
    await until(lambda: scene.gateway.driver.stats["stream_held"])
    scene.value_connection.transport.abort()
    assert await plain.read(12) == b"-ERR failed\r"


@pytest.mark.parametrize("is_first", [True, False], ids=["first", "behind another"])
@pytest.mark.parametrize("in_pieces", [True, False], ids=["in pieces", "at once"])
@asyncio_test
async def test_value_without_memory_fails_and_its_connection_is_closed_once(is_first, in_pieces):
    """A value given up with the piece that completed it was closed twice: the count went below zero."""
    scene = await Scene().set_up()
    scene.gateway.clients.waiting_replies.limit = 1_000
    if not is_first:
        scene.send("bill", b"slow")
        await until(lambda: scene.host.commands)
    scene.send("read", b"value", deadline_ms=500)
    scene.send("bill", b"order")
    await until(lambda: scene.value_connection)
    scene.value_connection.transport.write(answer(BIG[:100_000])[: 90_000 if in_pieces else None])
    await until(lambda: scene.gateway.driver.stats["failed_no_room"])
    if not is_first:
        slow = next(c for c in scene.host.connections if c is not scene.value_connection)
        slow.transport.write(answer(b"done"))
    await scene.client.wait_for_replies(3 - is_first)
    assert texts(scene.client)[-2:] == ["ERR failed", b"order"]
    await until(lambda: scene.gateway.hosts.connection_count == len(scene.host.connections))
    assert scene.gateway.hosts.connection_count == sum(
        len(pool.idle) for pool in scene.gateway.hosts.pools.values()
    )
    assert not scene.gateway.hosts.streams and not scene.gateway.clients.waiting_replies.held
