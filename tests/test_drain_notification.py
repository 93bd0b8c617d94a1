"""A draining host gets nothing new 250 ms after the agent had the change: gateway processes under faults.

What the agent has counts as notified, whether or not a watch is open, and from the start of a new process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from conftest import GatewayProcesses, asyncio_test, until
from discovery_agent import FAULTS, Agent, Load, TimedHost
from test_upgrade import connect_as_successor, receive_until

READY_WITHIN = 10.0  # seconds in which a restarted gateway has to serve
FAULTS_IN_SERIES = 7  # the delays before reconnecting have reached their maximum by then
OUTAGE = 2.5  # seconds
PAUSE = 0.5  # seconds for which a process stands still: longer than a drain's grace


@dataclass
class Setup:
    """A gateway process that serves a load from two hosts, of which one is to be drained."""

    gateway: GatewayProcesses
    agent: Agent
    drained: TimedHost
    ready: TimedHost
    load: Load

    def late_commands(self) -> list[float]:
        """Return the times since the drained host's last change of the commands that came too late."""
        return self.drained.commands_after(self.agent.published_at["a"])


@contextlib.asynccontextmanager
async def serving(folder: Path, loads: int = 1) -> AsyncIterator[Setup]:
    """Start a gateway, its agent, two hosts and some loads; both hosts have got requests."""
    drained, ready = await TimedHost("a").listen(), await TimedHost("b").listen()
    agent = await Agent().listen(drained, ready)
    async with contextlib.AsyncExitStack() as stack:
        gateway = await stack.enter_async_context(
            GatewayProcesses(folder, drained, ready, discovery=agent.address_text)
        )
        load, *_ = [await stack.enter_async_context(Load(gateway)) for _ in range(loads)]
        await gateway.start()
        await until(lambda: drained.times and ready.times)
        yield Setup(gateway, agent, drained, ready, load)


@asyncio_test
async def test_a_restarted_gateway_sends_nothing_to_a_host_that_drained_meanwhile(tmp_path):
    """Report deee0d: it served from the list in its configuration until discovery's first answer."""
    async with serving(tmp_path) as setup:
        killed = setup.gateway.processes[-1]
        killed.kill()
        await killed.wait()
        await setup.agent.publish(setup.drained, health="DRAINING")
        setup.agent.answer_delay = 0.5
        started_at = asyncio.get_running_loop().time()
        await setup.gateway.start(ready=False)
        await setup.load.wait_for_served(200)
    assert setup.drained.commands_after(started_at) == []


@pytest.mark.parametrize("discovery", ["pushed", "on_request"])
@asyncio_test
async def test_a_restarted_gateway_asks_discovery_before_it_serves(tmp_path, discovery):
    """Also where lists are only sent on request: a change counts as notified 6 s after discovery had it."""
    drained, ready = await TimedHost("a").listen(), await TimedHost("b").listen()
    agent = await Agent().listen(drained, ready)
    await agent.publish(drained, health="DRAINING")
    async with GatewayProcesses(tmp_path, drained, ready, discovery=agent.address_text) as gateway:
        gateway.configuration["settings"] |= {"discovery": discovery}
        async with Load(gateway) as load:
            await gateway.start(ready=False)
            await until(lambda: load.served >= 50)
    assert drained.times == []
    assert ("index=1&wait=1" in agent.requests[0]) == (discovery == "on_request")


@pytest.mark.parametrize("discovery", ["silent", "unreachable"])
@asyncio_test
async def test_a_gateway_whose_discovery_is_down_serves_from_its_configured_list(tmp_path, discovery):
    host = await TimedHost("a").listen()
    agent = await Agent(silent=True).listen(host)
    if discovery == "unreachable":
        agent.close()
    async with (
        GatewayProcesses(tmp_path, host, discovery=agent.address_text) as gateway,
        Load(gateway) as load,
    ):
        await gateway.start(ready=False)
        await until(lambda: load.served >= 50, timeout=READY_WITHIN)


@asyncio_test
async def test_sigterm_ends_a_gateway_that_waits_for_discovery(tmp_path):
    agent = await Agent(silent=True).listen()
    async with GatewayProcesses(tmp_path, discovery=agent.address_text) as gateway:
        process = await gateway.start(ready=False)
        await until(lambda: agent.requests)
        process.terminate()
        assert await asyncio.wait_for(process.wait(), READY_WITHIN) == 0


@pytest.mark.parametrize("fault", FAULTS)
@asyncio_test
async def test_a_drain_is_noticed_at_once_when_discovery_recovers_from_a_series_of_faults(
    tmp_path, fault, capfd
):
    """The delay before the next request grew to 1 s, 4 s after refusals, also where an agent pushes lists."""
    async with serving(tmp_path) as setup:
        setup.agent.faults.extend([fault] * FAULTS_IN_SERIES)
        setup.agent.reset_connections()
        await asyncio.wait_for(setup.agent.faults_over.wait(), 60)
        await setup.agent.publish(setup.drained, health="DRAINING")
        await setup.load.wait_for_served(200)
    assert setup.late_commands() == []
    log = capfd.readouterr().err
    assert sum(log.count(f"event=discovery_{name} ") for name in ("refused", "failed", "closed")) <= 2


@pytest.mark.parametrize("change", ["drain", "ban"])
@asyncio_test
async def test_requests_that_waited_for_a_handover_do_not_go_to_a_host_taken_out_meanwhile(tmp_path, change):
    """While decisions are frozen, requests and lists are queued: requests were decided on the older list."""
    async with serving(tmp_path) as setup:
        sock = await asyncio.to_thread(connect_as_successor, setup.gateway)
        sock.sendall(b'{"take": true}\n')
        await asyncio.to_thread(receive_until, sock, b'{"end": true}')
        sent = setup.load.sent
        await until(lambda: setup.load.sent >= sent + 50)
        if change == "drain":
            await setup.agent.publish(setup.drained, health="DRAINING")
        else:
            assert (await setup.gateway.send_control_call(b"OFFLINE a")).startswith("done")
        notified_at = asyncio.get_running_loop().time()
        await setup.load.wait_for_served(200)
        sock.close()
    assert setup.drained.commands_after(notified_at) == []


@pytest.mark.parametrize("number", range(4))
@asyncio_test
async def test_after_a_pause_requests_are_decided_on_the_list_that_came_with_them(tmp_path, number):
    """Requests that were read before the list, in one turn of the event loop, went to the drained host."""
    async with serving(tmp_path, loads=3) as setup:
        process = setup.gateway.processes[-1]
        process.send_signal(signal.SIGSTOP)
        sent = setup.load.sent
        await until(lambda: setup.load.sent >= sent + 20)
        await setup.agent.publish(setup.drained, health="DRAINING")
        await asyncio.sleep(PAUSE)
        process.send_signal(signal.SIGCONT)
        await setup.load.wait_for_served(100)
    assert setup.late_commands() == []


def malformed(entry: dict) -> dict:
    return entry | {"block": "none"}


def without_address(entry: dict) -> dict:
    return {name: value for name, value in entry.items() if name != "dial"}


@pytest.mark.parametrize("spoil", [malformed, without_address])
@asyncio_test
async def test_a_drain_in_a_malformed_entry_takes_the_host_out(tmp_path, spoil):
    """The entry was left out, and the change was never asked for again: the host stayed in use for good."""
    async with serving(tmp_path) as setup:
        await setup.agent.publish(setup.drained, spoil=spoil, health="DRAINING")
        await setup.load.wait_for_served(200)
    assert setup.late_commands() == []


@asyncio_test
async def test_the_list_of_a_slow_discovery_arrives(tmp_path):
    """A whole list that took over 1 s was given up and asked for again, for ever."""
    known, listed = await TimedHost("a").listen(), await TimedHost("b").listen()
    agent = await Agent(answer_delay=1.6).listen(listed)
    async with GatewayProcesses(tmp_path, known, discovery=agent.address_text) as gateway, Load(gateway):
        await gateway.start(ready=False)
        await until(lambda: listed.times, timeout=READY_WITHIN)
    assert known.times == []


async def reset_watch(gateway: GatewayProcesses, agent: Agent) -> None:
    agent.reset_connections()


async def interrupt_discovery(gateway: GatewayProcesses, agent: Agent) -> None:
    agent.close()
    await asyncio.sleep(OUTAGE)
    await agent.listen()


async def terminate(gateway: GatewayProcesses, agent: Agent) -> None:
    gateway.processes[-1].terminate()


async def terminate_twice(gateway: GatewayProcesses, agent: Agent) -> None:
    for _ in range(2):
        gateway.processes[-1].terminate()
        await asyncio.sleep(0.01)


async def reload_and_terminate(gateway: GatewayProcesses, agent: Agent) -> None:
    for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM):
        gateway.processes[-1].send_signal(number)
        await asyncio.sleep(0.01)


async def move_discovery(gateway: GatewayProcesses, agent: Agent) -> None:
    """Move to another address of the same agent, twice, while the former one is not listened to any more."""
    for _ in range(2):
        agent.server.close()
        agent.address = ("127.0.0.1", 0)
        await agent.listen()
        gateway.configuration["discovery"] = agent.address_text
        file = gateway.folder / f"config{len(gateway.processes) - 1}.json"
        file.write_text(json.dumps(gateway.configuration))
        gateway.processes[-1].send_signal(signal.SIGHUP)


async def order_drain(gateway: GatewayProcesses, agent: Agent) -> None:
    assert (await gateway.send_control_call(b"LEAVE")).startswith("done")


TROUBLES = (
    reset_watch,
    interrupt_discovery,
    terminate,
    terminate_twice,
    reload_and_terminate,
    move_discovery,
    order_drain,
)


@pytest.mark.parametrize("change", ["draining", "deleted", "left out"])
@pytest.mark.parametrize("trouble", TROUBLES)
@asyncio_test
async def test_a_host_taken_off_the_list_right_after_a_trouble_gets_nothing_new(tmp_path, trouble, change):
    async with serving(tmp_path, loads=2) as setup:
        await trouble(setup.gateway, setup.agent)
        if change == "left out":
            await setup.agent.leave_out(setup.drained)
        else:
            health = {"draining": "DRAINING", "deleted": "DELETED"}[change]
            await setup.agent.publish(setup.drained, health=health)
        process, served = setup.gateway.processes[-1], setup.load.served
        await until(lambda: setup.load.served >= served + 100 or process.returncode is not None)
    assert setup.late_commands() == []
    assert setup.ready.commands_after(setup.agent.published_at["a"]) != []
