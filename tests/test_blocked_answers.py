"""Answers that wait behind a request at a host that hangs, when their connection has to end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

import pytest
from conftest import RAW_SETTINGS, FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until
from test_client_ends import PlainClient, connect, request
from test_host_links import Gate
from test_large import BIG, answer

from saffrongw import drain as drain_module
from saffrongw.client import PIPELINE_MAX
from saffrongw.config import address

HANGING = 30_000  # milliseconds: the time of a request whose host hangs
FAILED, REFUSED = b"-ERR failed\r\n", b"-BUSY\r\n"
KILL_AFTER = 3.0 + 0.7  # seconds after SIGTERM


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    """Let a drain and a shutdown take a second."""
    monkeypatch.setattr(drain_module, "KILL_DEADLINE_MAX", 0.5)
    monkeypatch.setattr(drain_module, "DRAIN_NOTICE_DELAY", 0.1)
    monkeypatch.setattr(drain_module, "DRAIN_REFUSE_DELAY", 0.3)
    monkeypatch.setattr(drain_module, "DRAIN_CLOSE_DELAY", 0.8)


def shut_down(gateway: LoopbackGateway) -> asyncio.Task:
    return asyncio.create_task(gateway.clients.drain.shut_down(0.1))


def leave(gateway: LoopbackGateway) -> None:
    gateway.clients.drain.begin()


ENDS: dict[str, Callable[[LoopbackGateway], object]] = {"shutdown": shut_down, "drain": leave}


async def hanging_host() -> FakeHost:
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    return host


async def until_refusing(gateway: LoopbackGateway) -> None:
    await until(lambda: gateway.clients.drain.refusing_requests)


@pytest.mark.parametrize("class_name", [b"read", b"bill"])
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@asyncio_test
async def test_requests_behind_one_at_a_host_that_hangs_are_answered_in_time(end, class_name):
    """Their refusals waited for its deadline: SIGKILL found them unanswered (review/10)."""
    gateway = LoopbackGateway(host := await hanging_host())
    plain, _ = await connect(gateway)
    plain.send(request(1, class_name, HANGING))
    await until(lambda: host.commands)
    ending = end(gateway)
    await until_refusing(gateway)
    plain.send(request(2) + request(3))
    assert await plain.read_until_close() == FAILED + 2 * REFUSED
    assert len(host.commands) == 1
    await until(lambda: not gateway.driver.calls and not host.connections)
    del ending


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@asyncio_test
async def test_request_that_comes_when_the_time_is_over_is_answered_at_once(end):
    gateway = LoopbackGateway(host := await hanging_host())
    plain, _ = await connect(gateway)
    plain.send(request(1, b"bill", HANGING))
    await until(lambda: host.commands)
    ending = end(gateway)
    await until(lambda: gateway.clients.drain.ending_blockers)
    sent_at = gateway.loop.time()
    plain.send(request(2))
    assert await plain.read(len(FAILED + REFUSED)) == FAILED + REFUSED
    assert gateway.loop.time() - sent_at < 0.1
    del ending


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@asyncio_test
async def test_request_with_nothing_behind_it_is_waited_for(end):
    gateway = LoopbackGateway(host := await hanging_host())
    plain, _ = await connect(gateway)
    plain.send(request(1, b"bill", HANGING))
    await until(lambda: host.commands)
    ending = end(gateway)
    await until(lambda: gateway.clients.drain.ending_blockers)
    await asyncio.sleep(0.5)
    host.connections[0].transport.write(answer(b"done"))
    assert await plain.read_until_close() == b"$4\r\ndone\r\n"
    del ending


@asyncio_test
async def test_request_that_was_never_sent_is_refused_and_not_sent_later():
    host = await hanging_host()
    permissions = RAW_SETTINGS["permissions"] | {"cancel": False, "connectTimeout": 30_000_000}
    gateway = LoopbackGateway(host, permissions=permissions)
    plain, _ = await connect(gateway)
    gate = Gate(gateway, host.port)
    plain.send(request(1, b"bill", HANGING))
    await until(lambda: gateway.hosts.pools[b"a"].waiting)
    leave(gateway)
    await until_refusing(gateway)
    plain.send(request(2))
    assert await plain.read_until_close() == 2 * REFUSED
    gate.open()
    await until(lambda: host.connections)
    assert host.commands == [] and not gateway.driver.calls


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@asyncio_test
async def test_requests_beyond_a_full_pipeline_are_answered(end):
    """They were not read while so many requests were at hosts that hung."""
    gateway = LoopbackGateway(await hanging_host(), sockets=1024)
    plain, client = await connect(gateway)
    plain.send(b"".join(request(number, b"bill", HANGING) for number in range(PIPELINE_MAX)))
    await until(lambda: len(client.slots) == PIPELINE_MAX)
    ending = end(gateway)
    await until_refusing(gateway)
    plain.send(request(100) + request(101))
    replies = await plain.read_until_close()
    assert replies.count(b"\r\n") == PIPELINE_MAX + 2 and replies.endswith(2 * REFUSED)
    del ending


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@asyncio_test
async def test_value_that_is_held_back_does_not_keep_answers_behind_it(end):
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(BIG)[:100_000] if command[2] == b"id1" else answer(b"done")
    gateway = LoopbackGateway(host)
    plain, _ = await connect(gateway)
    plain.send(request(1, deadline_ms=HANGING) + request(2, deadline_ms=HANGING))
    await until(lambda: gateway.driver.stats["stream_held"])
    ending = end(gateway)
    assert await plain.read_until_close() == FAILED + b"$4\r\ndone\r\n"
    del ending


@asyncio_test
async def test_steps_of_a_drain_are_taken_in_the_old_process_of_an_upgrade():
    """A handover cancelled them: connections were held 4 s after LEAVE."""
    gateway = LoopbackGateway(host := await hanging_host())
    plain, _ = await connect(gateway)
    plain.send(request(1, b"bill", HANGING))
    await until(lambda: host.commands)
    leave(gateway)
    gateway.clients.drain.hand_over()
    await until_refusing(gateway)
    plain.send(request(2))
    assert await plain.read_until_close() == FAILED + REFUSED


@asyncio_test
async def test_old_process_of_an_upgrade_answers_before_it_may_be_killed(tmp_path):
    hosts, commands = [await FakeHost(name).listen() for name in "abcd"], []

    def reply(command: list[bytes]) -> bytes | None:
        commands.append(command)
        return None if b"c=bill" in command[3] else answer(b"done")

    for host in hosts:
        host.script = reply
    async with GatewayProcesses(tmp_path, *hosts) as gateways:
        old = await gateways.start()
        holder = type("Holder", (), {"loop": asyncio.get_running_loop()})
        plain = PlainClient(holder, address(gateways.configuration["listen"]))
        plain.send(request(1, b"bill", HANGING))
        await until(lambda: commands)
        await gateways.start()
        plain.send(request(2))  # relayed to the new process
        await until(lambda: len(commands) == 2)
        signalled_at = holder.loop.time()
        old.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
        plain.send(request(3))
        assert await plain.read_until_close() == FAILED + b"$4\r\ndone\r\n" + REFUSED
        assert holder.loop.time() - signalled_at < KILL_AFTER
