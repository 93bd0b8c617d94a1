"""A short soak of large bodies: connections, hosts and requests end in all ways, in an order from a seed.

Each order that runs has the body that its customer sent, and nothing stays counted as held at the end.
"""

from __future__ import annotations

import asyncio
import random

import pytest
from conftest import FakeHost, LoopbackGateway, asyncio_test, until
from test_large import IMPROPER, TERMS, answer, post

ROUNDS = 60


def body_of(number: int, draw: random.Random) -> bytes:
    """Return a body that names its order, often a large one."""
    return b"order %d " % number + draw.randbytes(draw.choice((10, 66_000, 150_000, 400_000)))


class Customer:
    """One connection on which orders are sent in pieces, and which may end at any of them."""

    def __init__(self, gateway: LoopbackGateway, draw: random.Random, sent: dict[bytes, bytes]) -> None:
        self.gateway, self.draw, self.sent = gateway, draw, sent

    async def run(self, first: int) -> None:
        client = await self.gateway.connect_client()
        for number in range(first, first + 3):
            data = self._next_command(number)
            while data and not client.transport.is_closing():
                size = self.draw.choice((500, 60_000, 1_000_000))
                client.transport.write(data[:size])
                data = data[size:]
                await asyncio.sleep(self.draw.choice((0, 0, 0.001)))
                if self.draw.random() < 0.03:
                    client.transport.abort()
        if self.draw.random() < 0.5:
            await asyncio.sleep(0.02)
        client.transport.close()

    def _next_command(self, number: int) -> bytes:
        kind = self.draw.random()
        if kind < 0.2:
            return self.draw.choice(list(IMPROPER.values()))
        body, request_id = body_of(number, self.draw), b"id%d" % number
        self.sent[request_id] = body
        deadline = b"d=%d" % self.draw.choice((9_000, 9_000, 60))
        command = post(body, request_id, TERMS.replace(b"d=9000", deadline).replace(b"key7", request_id))
        return command[:-2] + b"xx" if kind < 0.25 else command  # a malformed end of the value


@pytest.mark.parametrize("seed", range(8))
@asyncio_test
async def test_bodies_stay_with_their_orders_and_their_memory_is_returned(seed):
    draw, sent = random.Random(seed), {}
    hosts = [await FakeHost(name).listen() for name in "abc"]
    replies = (b"-BUSY\r\n", b"-ERR failed\r\n", b"reset", answer(b"v" * 70_000)[:-5], answer(b"v" * 70_000))

    def reply(command: list[bytes]) -> bytes:
        if draw.random() < 0.4:
            return draw.choice(replies)
        return answer(command[2] + b" done")

    for host in hosts:
        host.script = reply
    gateway, errors = LoopbackGateway(*hosts, sockets=256), []
    gateway.loop.set_exception_handler(lambda loop, context: errors.append(context))
    memory = gateway.clients.upload_memory
    memory.free = capacity = 2_000_000  # so that some wait for it
    customers = (Customer(gateway, draw, sent).run(4 * number) for number in range(ROUNDS))
    await asyncio.gather(*customers)
    await until(lambda: not gateway.driver.calls and not gateway.clients.open, 20)
    await until(lambda: not gateway.clients.half_closed)
    for host in hosts:
        for command in host.commands:
            assert command[4] == sent[command[2]] and command[3].endswith(b"k=" + command[2])
    assert sum(len(host.commands) for host in hosts) > ROUNDS // 4
    assert (memory.free, memory.waiting) == (capacity, {})
    assert gateway.clients.held_bytes == gateway.clients.waiting_replies.held == 0
    assert gateway.clients.request_memory.held == 0
    assert gateway.hosts.partial_replies.held == 0
    core = gateway.driver.gateway
    assert core.requests == core.attempts == {} and errors == []
