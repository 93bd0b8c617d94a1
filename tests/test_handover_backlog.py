"""What was queued during a handover is worked off in portions, not in one turn of the event loop."""

from __future__ import annotations

import asyncio
import json
import socket

from conftest import FakeHost, LoopbackGateway, asyncio_test, until
from test_client_ends import connect, request

from orchidlane import interface as api
from saffrongw.client import PIPELINE_MAX
from saffrongw.driver import EVENTS_PER_ITERATION
from saffrongw.handover_channel import MESSAGES_PER_ITERATION, Channel

CLIENTS = 10
REQUESTS = CLIENTS * PIPELINE_MAX


class IterationCounter:
    """Counts something in each iteration of the event loop, which never waits meanwhile."""

    def __init__(self) -> None:
        self.counts = [0]
        self._next_iteration()

    def _next_iteration(self) -> None:
        self.counts.append(0)
        if len(self.counts) < 100_000:
            asyncio.get_running_loop().call_soon(self._next_iteration)

    def count(self) -> None:
        self.counts[-1] += 1


class Successor:
    """The process that takes over, of which only the number of requests that it gets is of interest."""

    def __init__(self, counter: IterationCounter) -> None:
        self.counter = counter
        self.requests: list[int] = []

    def forward_request(self, call) -> None:
        self.counter.count()
        self.requests.append(call.event.request)

    def client_gone(self, call) -> None: ...

    def forward_event(self, event) -> None: ...


async def frozen_gateway():
    """Return a gateway whose decisions are suspended, with requests of several clients queued."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    connections = [await connect(gateway) for _ in range(CLIENTS)]
    gateway.driver.freeze()
    for plain, _ in connections:
        plain.send(b"".join(request(number, deadline_ms=60_000) for number in range(PIPELINE_MAX)))
    await until(lambda: len(gateway.driver.calls) == REQUESTS)
    return gateway, connections


@asyncio_test
async def test_requests_queued_by_a_failed_handover_are_decided_in_portions():
    """All were decided in one turn of the loop: 1.2 s for 19,200 requests of 300 clients."""
    gateway, connections = await frozen_gateway()
    gone, (plain, _) = connections.pop(), connections[0]
    gone[0].sock.close()
    await until(lambda: len(gateway.clients.open) == CLIENTS - 1)
    counter, arrived, handle = IterationCounter(), [], gateway.driver.gateway.handle

    def count(now: int, event: api.Event) -> list[api.Action]:
        counter.count()
        if isinstance(event, api.RequestArrived):
            arrived.append(event.request)
        return handle(now, event)

    gateway.driver.gateway.handle = count
    gateway.driver.thaw()
    assert gateway.driver.frozen and len(arrived) <= EVENTS_PER_ITERATION
    plain.send(request(PIPELINE_MAX))  # its event is queued behind the others
    await until(lambda: not gateway.driver.frozen and not gateway.driver.calls)
    assert len(arrived) == REQUESTS - PIPELINE_MAX + 1 and arrived == sorted(arrived)
    assert max(counter.counts) <= EVENTS_PER_ITERATION + CLIENTS  # those of timers and answers besides


@asyncio_test
async def test_requests_queued_by_a_handover_are_relayed_in_portions():
    gateway, _ = await frozen_gateway()
    counter, last_call = IterationCounter(), list(gateway.driver.calls.values())[-1]
    successor = Successor(counter)
    gateway.driver.hand_over(successor)
    assert len(successor.requests) == EVENTS_PER_ITERATION
    gateway.driver.client_gone(last_call)  # while it waits to be relayed
    await until(lambda: len(successor.requests) >= REQUESTS - 1)
    await asyncio.sleep(0)
    assert (
        successor.requests == sorted(successor.requests) and last_call.event.request not in successor.requests
    )
    assert max(counter.counts) == EVENTS_PER_ITERATION


@asyncio_test
async def test_messages_of_the_other_process_are_received_in_portions():
    """All that had arrived was handled in one turn of the loop, up to 4 MiB of relayed requests."""
    ours, theirs = socket.socketpair()
    channel = await Channel.from_socket(ours)
    theirs.sendall(b"".join(json.dumps({"gone": number}).encode() + b"\n" for number in range(2_000)))
    counter = IterationCounter()
    for number in range(2_000):
        assert await channel.receive() == {"gone": number}
        counter.count()
    assert max(counter.counts) <= MESSAGES_PER_ITERATION
    channel.writer.close()
    theirs.close()
