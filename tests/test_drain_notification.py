"""A draining host gets nothing new 250 ms after the agent had the change: gateway processes under faults.

What the agent has counts as notified, whether or not a watch is open, and from the start of a new process.
"""

from __future__ import annotations

import asyncio

from conftest import GatewayProcesses, asyncio_test, until
from discovery_agent import Agent, Load, TimedHost


@asyncio_test
async def test_a_restarted_gateway_sends_nothing_to_a_host_that_drained_meanwhile(tmp_path):
    """Report deee0d: it served from the list in its configuration until discovery's first answer."""
    drained, ready = await TimedHost("a").listen(), await TimedHost("b").listen()
    agent = await Agent().listen(drained, ready)
    async with GatewayProcesses(tmp_path, drained, ready, discovery=agent.address_text) as gateway:
        killed = await gateway.start()
        async with Load(gateway) as load:
            await until(lambda: drained.times and ready.times)
            killed.kill()
            await killed.wait()
            await agent.publish(drained, health="DRAINING")
            agent.answer_delay = 0.5
            served, started_at = load.served, asyncio.get_running_loop().time()
            await gateway.start(ready=False)
            await until(lambda: load.served >= served + 200)
    assert drained.commands_after(started_at) == []
