"""Soak of drains: a gateway process under load and random troubles, drawn from a seed.

DRAIN_SOAK_SEEDS sets the number of seeds; a failure names its seed and the troubles before it.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
from dataclasses import dataclass, field

import pytest
from conftest import GatewayProcesses, asyncio_test, until
from discovery_agent import DRAIN_GRACE, FAULTS, TIME_SLACK, Agent, Load, TimedHost
from test_drain_notification import interrupt_discovery, move_discovery, reset_watch

SEEDS = range(1, 1 + int(os.environ.get("DRAIN_SOAK_SEEDS", "3")))
HOSTS = 5
ROUNDS = 10
HOLD_UP = 0.15  # seconds for which the process may stand still between reading its clock and writing
FAULTS_IN_SERIES_MAX = 8
REQUESTS_PER_ROUND = 60
FIRST_ANSWER_DELAY_MAX = 0.5  # seconds


@dataclass
class Outages:
    """When hosts were off the list: (host, from, until), and the troubles so far."""

    ended: list[tuple[TimedHost, float, float]] = field(default_factory=list)
    open: dict[TimedHost, float] = field(default_factory=dict)
    troubles: list[str] = field(default_factory=list)

    def begin(self, host: TimedHost) -> None:
        self.open[host] = asyncio.get_running_loop().time()

    def end(self, host: TimedHost) -> None:
        self.ended.append((host, self.open.pop(host), asyncio.get_running_loop().time()))

    def late_commands(self) -> list[tuple[str, float]]:
        """Return hosts, and the seconds since their notification, of commands sent too late."""
        outages = [*self.ended, *((host, since, float("inf")) for host, since in self.open.items())]
        return [
            (host.name, round(at - since, 3))
            for host, since, until_time in outages
            for at in host.times
            if since + DRAIN_GRACE + TIME_SLACK < at < until_time
        ]


@dataclass
class World:
    """What a trouble may act on."""

    gateway: GatewayProcesses
    agent: Agent
    hosts: list[TimedHost]
    rng: random.Random
    outages: Outages


async def restart(world: World) -> None:
    """Kill the process, change the list while it is gone, and start it on a slow machine."""
    world.gateway.processes[-1].kill()
    await world.gateway.processes[-1].wait()
    await change_list(world)
    world.agent.next_answer_delay = world.rng.random() * FIRST_ANSWER_DELAY_MAX
    await world.gateway.start(ready=False)


async def hold_up(world: World) -> None:
    process = world.gateway.processes[-1]
    process.send_signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(HOLD_UP, process.send_signal, signal.SIGCONT)


async def fail_discovery(world: World) -> None:
    agent = world.agent
    agent.faults_over.clear()
    agent.faults.extend(world.rng.choices(list(FAULTS), k=world.rng.randint(1, FAULTS_IN_SERIES_MAX)))
    agent.reset_connections()
    await asyncio.wait_for(agent.faults_over.wait(), 30)


async def interrupt(world: World) -> None:
    await interrupt_discovery(world.gateway, world.agent)


async def move(world: World) -> None:
    await move_discovery(world.gateway, world.agent)


async def reset(world: World) -> None:
    await reset_watch(world.gateway, world.agent)


async def change_list(world: World) -> None:
    """Take hosts off the list, or put them back, so that at least one stays on it."""
    rng, agent, outages = world.rng, world.agent, world.outages
    for host in rng.sample(world.hosts, rng.randint(1, 2)):
        if host in outages.open:
            outages.end(host)
            await agent.publish(host)
        elif len(outages.open) < HOSTS - 1:
            outages.begin(host)
            if rng.random() < 0.3:
                await agent.leave_out(host)
            else:
                await agent.publish(host, health=rng.choice(("DRAINING", "DELETED")))


@pytest.mark.parametrize("seed", SEEDS)
@asyncio_test
async def test_no_host_off_the_list_gets_requests_under_random_troubles(tmp_path, seed):
    rng, outages = random.Random(seed), Outages()
    hosts = [await TimedHost(f"h{number}").listen() for number in range(HOSTS)]
    agent = await Agent().listen(*hosts)
    troubles = (restart, hold_up, reset, move, interrupt, fail_discovery)
    async with (
        GatewayProcesses(tmp_path, *hosts, discovery=agent.address_text) as gateway,
        Load(gateway) as load,
        Load(gateway),
    ):
        await gateway.start(ready=False)
        world = World(gateway, agent, hosts, rng, outages)
        await until(lambda: load.served)
        for _ in range(ROUNDS):
            trouble = rng.choice(troubles)
            outages.troubles.append(trouble.__name__)
            await trouble(world)
            if trouble is not restart:
                await change_list(world)
            await load.wait_for_served(REQUESTS_PER_ROUND)
            assert outages.late_commands() == [], (seed, outages.troubles)
