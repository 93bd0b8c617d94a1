"""Operators' calls that cross an upgrade: hosts out by hand, in real processes."""

from __future__ import annotations

import asyncio
import time

from conftest import FakeClient, FakeHost, GatewayProcesses, asyncio_test, until
from test_large import answer

DRAIN_GRACE = 0.25  # seconds after an answer, in which a host may still get requests
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
