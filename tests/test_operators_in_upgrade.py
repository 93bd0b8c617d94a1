"""Operators' calls that cross an upgrade: hosts out by hand and ordered drains, in real processes."""

from __future__ import annotations

import asyncio
import time

import pytest
from conftest import FakeClient, FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until
from test_large import answer

from saffrongw import clients as clients_module
from saffrongw.drain import DRAIN_CLOSE_DELAY, DRAIN_NOTICE_DELAY

DRAIN_GRACE = 0.25  # seconds after an answer, in which a host may still get requests
LEAVE_LIMIT = 4.0  # seconds after LEAVE, from which on the address may not say yes nor keep a connection
JOIN_LIMIT = 2.0  # seconds after JOIN, within which it has to say yes
ANSWER_LIMIT = 1.0  # seconds within which an operator is owed an answer
WORK = 0.02  # seconds
CLIENTS = 6  # that send at once, so that both hosts are used


async def call(gateway: GatewayProcesses, line: bytes, control: str = "") -> str:
    """Send an operator's call once somebody listens there."""
    while (answer := await gateway.send_control_call(line, control)) == "nobody":
        await asyncio.sleep(0.005)
    return answer


async def until_listening(gateway: GatewayProcesses) -> None:
    while await gateway.send_control_call(b"HEALTH") == "nobody":
        await asyncio.sleep(0.005)


async def until_ready(gateway: GatewayProcesses) -> None:
    while not (await gateway.send_control_call(b"HEALTH")).startswith("done"):
        await asyncio.sleep(0.01)


async def ping(gateway: GatewayProcesses) -> str:
    client = await gateway.connect_client()
    client.send_command(b"PING")
    reply = (await client.wait_for_replies())[0]
    client.transport.close()
    return str(reply)


async def send_request(client: FakeClient) -> None:
    """Send a request; wait for its reply or the end of the connection."""
    client.replies.clear()
    client.send_request()
    await until(lambda: client.replies or client.closed)


async def send_requests(gateway: GatewayProcesses) -> None:
    """Send one request after another, on a new connection whenever the gateway has closed the last one."""
    while True:
        client = await gateway.connect_client()
        while not client.closed:
            await send_request(client)
            await asyncio.sleep(0.02)


class WorkingHost(FakeHost):
    """A host that takes WORK for each request, and records when it began."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.begun_at: list[float] = []
        self.script = self.begin

    def begin(self, command: list[bytes]) -> None:
        self.begun_at.append(time.monotonic())
        asyncio.get_running_loop().call_later(WORK, self.sender.transport.write, answer(b"done"))


@asyncio_test
async def test_a_host_taken_out_at_the_new_process_gets_nothing_from_the_old_one(tmp_path):
    """While discovery was down, the new process said yes and the old one sent requests for up to a second."""
    a, b = await WorkingHost("a").listen(), await WorkingHost("b").listen()
    async with GatewayProcesses(tmp_path, a, b) as gateway:
        await gateway.start(long_command_timeout=True)
        load = asyncio.gather(*(send_requests(gateway) for _ in range(CLIENTS)))
        await until(lambda: a.begun_at and b.begun_at)
        await gateway.start(ready=False)
        await until_listening(gateway)
        asked_at = time.monotonic()
        assert await call(gateway, b"OFFLINE a") == "done out\n"
        out_at = time.monotonic()
        assert out_at - asked_at < ANSWER_LIMIT
        sent_to_other = len(b.begun_at)
        await until(lambda: len(b.begun_at) > sent_to_other + 20 and time.monotonic() > out_at + ANSWER_LIMIT)
        assert [round(at - out_at, 3) for at in a.begun_at if at > out_at + DRAIN_GRACE] == []
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)


@asyncio_test
async def test_a_host_put_back_at_the_new_process_stays_back(tmp_path):
    """The state of the old process took the host out again."""
    a, b = await WorkingHost("a").listen(), await WorkingHost("b").listen()
    async with GatewayProcesses(tmp_path, a, b) as gateway:
        await gateway.start(long_command_timeout=True)
        assert await call(gateway, b"OFFLINE a") == "done out\n"
        await gateway.start(ready=False)
        await until_listening(gateway)
        assert await call(gateway, b"ONLINE a") == "done back\n"
        await until_ready(gateway)
        load = asyncio.gather(*(send_requests(gateway) for _ in range(CLIENTS)))
        await until(lambda: a.begun_at)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)


@asyncio_test
async def test_an_ordered_drain_goes_on_across_an_upgrade_until_join(tmp_path):
    """The new process said yes again, as if nobody had ordered a drain."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    async with GatewayProcesses(tmp_path, host) as gateway:
        await gateway.start(long_command_timeout=True)
        holding = await gateway.connect_client()
        holding.send_request("bill", deadline_ms=10_000)  # keeps the old process running
        await until(lambda: host.commands)
        old_control = gateway.control
        assert await call(gateway, b"LEAVE") == "done draining\n"
        left_at = time.monotonic()
        await gateway.start(ready=False)
        while not (await gateway.send_control_call(b"HEALTH", old_control)).startswith("error handed over"):
            await asyncio.sleep(0.01)
        idle = await gateway.connect_client()
        idle.send_command(b"PING")
        assert str((await idle.wait_for_replies())[0]) == "ERR draining"
        holding.send_command(b"PING")
        assert (await call(gateway, b"HEALTH")).startswith("error draining")
        await until(lambda: idle.closed)
        assert time.monotonic() - left_at < LEAVE_LIMIT
        while time.monotonic() - left_at < LEAVE_LIMIT:
            assert await ping(gateway) == "ERR draining"
            await asyncio.sleep(0.1)
        joined_at = time.monotonic()
        assert await call(gateway, b"JOIN") == "done joined\n"
        while await ping(gateway) != "b'PONG'":
            await asyncio.sleep(0.01)
        assert time.monotonic() - joined_at < JOIN_LIMIT


@pytest.mark.parametrize("seconds_ago", [0.0, DRAIN_CLOSE_DELAY - 0.3])
@asyncio_test
async def test_a_drain_that_a_predecessor_began_ends_when_it_would_have(monkeypatch, seconds_ago):
    monkeypatch.setattr(clients_module, "COMMAND_TIMEOUT", 60.0)
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    client.transport.write(b"*1\r\n$4\r\nPI")  # a part of a command keeps it open until the last step
    await until(lambda: any(not client.reader.at_boundary for client in gateway.clients.open))
    began_at = gateway.loop.time()
    gateway.clients.drain.order(seconds_ago)
    await until(lambda: client.closed)
    assert abs(gateway.loop.time() - began_at - (DRAIN_CLOSE_DELAY - seconds_ago)) < DRAIN_NOTICE_DELAY / 2
    assert gateway.clients.drain.seconds_since_order >= DRAIN_CLOSE_DELAY


@asyncio_test
async def test_join_does_not_undo_the_shutdown_of_a_process_that_has_handed_over():
    """It would have accepted requests again that nothing answers before SIGKILL."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    await gateway.connect_client()
    drain, readiness = gateway.clients.drain, gateway.driver.readiness
    readiness.handed_over = True
    drain.hand_over()
    drain.order()
    shutting_down = asyncio.create_task(drain.shut_down(0.0))
    await until(lambda: drain.refusing_requests)
    assert drain.cancel() == "error ending"
    assert drain.refusing_requests and drain.closing_idle
    shutting_down.cancel()
