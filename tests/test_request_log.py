"""The log of single requests, as an investigation reads it."""

from __future__ import annotations

import io
import os
import re
import sys

from conftest import FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until

from ops import logs
from saffrongw.request_log import RequestLog

BATCH = 20  # requests sent at once


def lines_of(text: str, event: str) -> list[str]:
    return [line for line in text.splitlines() if f"event={event} " in line]


@asyncio_test
async def test_each_request_is_logged_with_its_attempts_and_each_close_with_its_reason():
    """Beyond the rate limit too: an investigation must not lack the one request that it looks for."""
    output = io.StringIO()
    logs.configure(level="debug", stream=output)
    try:
        hosts = [await FakeHost(name).listen() for name in ("a", "b")]
        gateway = LoopbackGateway(*hosts)
        gateway.driver.request_log = RequestLog()
        client = await gateway.connect_client()
        served = hosts[0].script
        for host in hosts:
            host.script = lambda command: b"reset" if command[2] == b"id0" else served(command)
        client.send_request(request_id=b"id0")
        await client.wait_for_replies()
        count = logs.BURST_LINES + BATCH
        for first in range(1, count, BATCH):
            for number in range(first, first + BATCH):
                client.send_request(request_id=b"id%d" % number)
            await client.wait_for_replies(first + BATCH)
        client.transport.abort()
        await until(lambda: "side=client" in output.getvalue())
    finally:
        logs.configure()
    finished = lines_of(output.getvalue(), "request_finished")
    names = [re.search(r"request=(\w+)", line).group(1) for line in finished]
    assert sorted(names) == sorted(f"id{number}" for number in range(count + 1))
    attempts = re.search(r"outcome=refused cause=\w+ .* attempts=(\S+)", finished[0]).group(1).split(",")
    assert len(attempts) > 1
    assert all(re.fullmatch(r"[ab]@\d+ms/list1/sent/broken", attempt) for attempt in attempts)
    closes = lines_of(output.getvalue(), "connection_closed")
    assert {re.search(r"side=(\w+)", line).group(1) for line in closes} == {"client", "host"}
    assert all('reason="closed by the other side"' in line for line in closes)


@asyncio_test
async def test_the_environment_sets_the_log_level_of_a_gateway(tmp_path, capfd, monkeypatch):
    monkeypatch.setitem(os.environ, "BIRCHDRUM_LOG__LEVEL", "debug")
    async with GatewayProcesses(tmp_path, await FakeHost("a").listen()) as gateway:
        await gateway.start()
        client = await gateway.connect_client()
        client.send_request(request_id=b"id7")
        assert await client.wait_for_replies() == [b"ok"]
    log = capfd.readouterr().err
    assert "request=id7" in lines_of(log, "request_finished")[0], sys.executable
