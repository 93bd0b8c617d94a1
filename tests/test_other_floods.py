"""Requests are answered in time however much discovery, operators and other gateways send."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import FakeHost, GatewayProcesses, asyncio_test, free_address
from test_input_flood import LATEST_ANSWER, longest_answer, resident_bytes

FLOOD_TIME = 4.0  # seconds
PROGRAM = Path(__file__).with_name("flood_program.py")
MEMORY_GROWTH_MAX = 32 * 1024 * 1024  # bytes


@contextlib.asynccontextmanager
async def flooding(*arguments: str):
    """Run a flood in a process of its own, whose work then doesn't delay the client that measures."""
    command = (sys.executable, str(PROGRAM), *arguments, str(4 * FLOOD_TIME))
    process = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
    try:
        assert await asyncio.wait_for(process.stdout.readline(), 20) == b"flooding\n"
        yield
        assert process.returncode is None
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()


@pytest.mark.alone
@pytest.mark.parametrize("kind", ["datagrams", "operators", "lists"])
@asyncio_test
async def test_requests_are_answered_in_time_while_others_flood(tmp_path, kind):
    """Only clients' floods were tried in the incident of requests held up by junk."""
    host, discovery = await FakeHost("a").listen(), free_address()
    async with GatewayProcesses(tmp_path, host, discovery=discovery) as gateway:
        await gateway.start()
        configuration = gateway.configuration
        arguments = {
            "datagrams": configuration["peers"],
            "operators": [gateway.control],
            "lists": [discovery, json.dumps(host.list_entry())],
        }
        client = await gateway.connect_client()
        before = resident_bytes(gateway.processes[0].pid)
        async with flooding(kind, *arguments[kind]):
            await asyncio.sleep(0.5)
            longest = await longest_answer(client, FLOOD_TIME)
        grown = resident_bytes(gateway.processes[0].pid) - before
        print(f"{kind}: longest {longest:.3f} s, {grown / 1e6:.1f} MB more")
        assert longest < LATEST_ANSWER
        assert grown < MEMORY_GROWTH_MAX
