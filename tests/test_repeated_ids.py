"""An id that comes again is not begun again if its request is unsafe to repeat and may have been executed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import hiredis
import pytest
from conftest import RAW_SETTINGS, FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until
from test_blocked_answers import HANGING
from test_client_ends import TERMS, connect, request
from test_large import answer

from saffrongw.calls import Call
from saffrongw.driver import FAILED_REPLY
from saffrongw.repeat_guard import REMEMBERED_SECONDS, RepeatGuard

DONE = b"$4\r\ndone\r\n"
CANCELLING = [{}, {"permissions": RAW_SETTINGS["permissions"] | {"cancel": False}}]


def keyed_request(class_name: bytes, deadline_ms: int = 2000) -> bytes:
    """Return the request with the id 1 and a key."""
    terms = TERMS % (class_name, deadline_ms) + b",k=key1"
    return hiredis.pack_command((b"CALL.POST", b"0000000000000007", b"id1", terms, b"BODY"))


async def send_again(gateway: LoopbackGateway, class_name: bytes, reply: bytes) -> None:
    """Send the request with the id 1 on a new connection, and expect its reply."""
    plain, _ = await connect(gateway)
    plain.send(keyed_request(class_name))
    assert await plain.read(len(reply)) == reply


@pytest.mark.parametrize("class_name", [b"put", b"bill"])
@pytest.mark.parametrize("changes", CANCELLING, ids=["cancel", "no-cancel"])
@asyncio_test
async def test_an_id_that_comes_again_after_its_client_left_is_not_begun_again(changes, class_name):
    """Picture (c): it was sent to a host a second time, even while the first attempt was still out."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host, **changes)
    first, _ = await connect(gateway)
    first.send(keyed_request(class_name, HANGING))
    await until(lambda: host.commands)
    first.sock.close()
    await until(lambda: not gateway.clients.open)
    host.script = lambda command: answer(b"done")
    await send_again(gateway, class_name, FAILED_REPLY)
    assert len(host.commands) == 1
    assert gateway.driver.stats["failed_repeated"] == 1


@asyncio_test
async def test_an_id_on_two_connections_at_once_is_begun_once():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    first, _ = await connect(gateway)
    first.send(request(1, b"bill", HANGING))
    await until(lambda: host.commands)
    await send_again(gateway, b"bill", FAILED_REPLY)
    host.connections[0].transport.write(answer(b"done"))
    assert await first.read(len(DONE)) == DONE
    assert len(host.commands) == 1


def close_connection(host: FakeHost) -> None:
    host.sender.transport.close()


ENDS: dict[str, Callable[[FakeHost], bytes | None]] = {
    "answered": lambda host: answer(b"done"),
    "failed": lambda host: b"-ERR failed\r\n",
    "broken": close_connection,
    "timed out": lambda host: None,
}


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@asyncio_test
async def test_an_id_is_not_begun_again_however_its_request_ended(end):
    host = await FakeHost("a").listen()
    host.script = lambda command: end(host)
    gateway = LoopbackGateway(host)
    plain, _ = await connect(gateway)
    plain.send(request(1, b"bill", deadline_ms=200))
    reply = DONE if end is ENDS["answered"] else FAILED_REPLY
    assert await plain.read(len(reply)) == reply
    await send_again(gateway, b"bill", FAILED_REPLY)
    assert len(host.commands) == 1 and not gateway.driver.repeat_guard.in_flight


@asyncio_test
async def test_an_id_that_no_host_has_executed_is_begun_again():
    """A client sends a request once more that a close has crossed, and may keep its id."""
    host = await FakeHost("a").listen()
    host.script = lambda command: b"-BUSY\r\n"
    gateway = LoopbackGateway(host)
    plain, _ = await connect(gateway)
    plain.send(request(1, b"bill", deadline_ms=100))
    assert (await plain.read(5)) == b"-BUSY"
    await until(lambda: not gateway.driver.calls)
    host.script = lambda command: answer(b"done")
    await send_again(gateway, b"bill", DONE)


@pytest.mark.parametrize("comes_to", ["predecessor", "successor"])
@asyncio_test
async def test_an_id_that_comes_again_in_an_upgrade_is_not_begun_again(tmp_path, comes_to):
    """Picture (c): each process of an upgrade knew its own requests alone."""
    hosts = [await FakeHost(name).listen() for name in "abc"]
    for host in hosts:
        host.script = lambda command: None if command[2] == b"held" else answer(b"done")

    def executed_ids() -> list[bytes]:
        return sorted(command[2] for host in hosts for command in host.commands)

    async with GatewayProcesses(tmp_path, *hosts) as gateway:
        await gateway.start(long_command_timeout=True)
        answered, holding, old = [await gateway.connect_client() for _ in range(3)]
        answered.send_request("bill", request_id=b"answered")
        assert await answered.wait_for_replies() == [b"done"]
        holding.send_request("bill", deadline_ms=10_000, request_id=b"held")
        await until(lambda: executed_ids() == [b"answered", b"held"])
        begun = request(5)
        old.transport.write(begun[:20])  # keeps its connection to the predecessor open
        await asyncio.sleep(0.1)
        await gateway.start()
        client = old
        if comes_to == "successor":
            client = await gateway.connect_client()
            client.transport.write(begun[:20])
        client.transport.write(begun[20:])
        for request_id in (b"held", b"answered"):
            client.send_request("bill", request_id=request_id)
        client.send_request("bill", request_id=b"new")
        replies = await client.wait_for_replies(4)
        assert [str(reply) for reply in replies[1:3]] == ["ERR failed"] * 2
        assert replies[0] == replies[3] == b"done"
        assert executed_ids() == [b"answered", b"held", b"id5", b"new"]
        for connection in [connection for host in hosts for connection in host.connections]:
            connection.transport.write(answer(b"done"))
        assert await holding.wait_for_replies() == [b"done"]


def test_ids_are_remembered_for_a_while_and_up_to_a_number():
    now = 0.0
    guard = RepeatGuard(lambda: now)
    guard.ids_max = 3

    def begins(request_id: bytes) -> bool:
        call = Call(None, (), 0, lambda reply: None)
        if has_begun := guard.begin(call, request_id):
            guard.end(call)  # without an attempt it is not remembered
        return has_begun

    guard.remember([b"a", b"b", b"c"])
    now = 1.0
    guard.remember([b"a", b"d"])  # the oldest one goes: a is among the newest again
    assert [begins(request_id) for request_id in (b"a", b"b", b"c", b"d")] == [False, True, False, False]
    assert guard.ids_for_successor() == [b"c", b"a", b"d"]
    now = REMEMBERED_SECONDS + 0.5
    assert [begins(request_id) for request_id in (b"c", b"a")] == [True, False]
    now = REMEMBERED_SECONDS + 1.0
    assert begins(b"a") and not guard.executed and not guard.in_flight
