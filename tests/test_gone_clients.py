"""Clients that close with much unread: nothing of theirs begins at a host over 0.1 s later, in no process."""

from __future__ import annotations

import asyncio
import socket

import pytest
from conftest import FakeHost, LoopbackGateway, asyncio_test, until
from test_blocked_answers import HANGING
from test_client_ends import PlainClient, connect, request
from test_host_links import reset
from test_large import answer

from orchidlane import interface as api
from saffrongw.calls import Call
from saffrongw.client import PIPELINE_MAX

GONE_WITHIN = 0.1  # seconds after a close, in which an attempt may still begin


class RecordingSuccessor:
    """A process that has taken over: records what is relayed to it, and when clients are told to be gone."""

    def __init__(self, gateway: LoopbackGateway) -> None:
        self.loop = gateway.loop
        self.relayed: list[int] = []
        self.gone: dict[int, float] = {}

    def forward_request(self, call: Call) -> None:
        self.relayed.append(call.event.request)

    def client_gone(self, call: Call) -> None:
        self.gone[call.event.request] = self.loop.time()

    def forward_event(self, event: api.Event) -> None:
        """Do nothing."""


def close(plain: PlainClient) -> None:
    plain.sock.close()


CLOSES = {"FIN": close, "reset": lambda plain: reset(plain.sock)}


@pytest.mark.parametrize("end", CLOSES.values(), ids=CLOSES)
@asyncio_test
async def test_requests_relayed_in_an_upgrade_are_given_up_when_their_client_has_closed(end):
    """While the old process did not read from a client, it saw its close up to 0.4 s late: the new process
    had sent its requests by then."""
    gateway = LoopbackGateway(await FakeHost("a").listen(), sockets=1024)
    successor = RecordingSuccessor(gateway)
    plain, client = await connect(gateway)
    gateway.driver.hand_over(successor)
    gateway.clients.check_gone_clients()
    plain.send(b"".join(request(number, deadline_ms=HANGING) for number in range(PIPELINE_MAX + 10)))
    await until(lambda: len(successor.relayed) == PIPELINE_MAX and client.reading_paused)
    closed_at = gateway.loop.time()
    end(plain)
    await until(lambda: len(successor.gone) == PIPELINE_MAX)
    assert max(successor.gone.values()) - closed_at < GONE_WITHIN
    assert len(successor.relayed) == PIPELINE_MAX


@asyncio_test
async def test_request_whose_client_closed_during_a_handover_is_not_relayed():
    gateway = LoopbackGateway(await FakeHost("a").listen(), sockets=1024)
    successor = RecordingSuccessor(gateway)
    plain, client = await connect(gateway)
    gateway.driver.freeze()
    plain.send(b"".join(request(number, deadline_ms=HANGING) for number in range(PIPELINE_MAX + 10)))
    await until(lambda: client.reading_paused and len(client.slots) == PIPELINE_MAX)
    plain.sock.close()
    await asyncio.sleep(0)
    gateway.driver.hand_over(successor)
    await until(lambda: not gateway.driver.calls)
    assert successor.relayed == []


@pytest.mark.parametrize("end", CLOSES.values(), ids=CLOSES)
@asyncio_test
async def test_nothing_that_a_client_left_unread_is_sent_after_it_has_closed(end):
    """Forced for picture (c): what waits in the socket, the reader and the pool when a client closes."""
    host = await FakeHost("a").listen()
    answers_held = []
    host.script = lambda command: answers_held.append(host.sender)
    gateway = LoopbackGateway(host, sockets=1024)
    plain, client = await connect(gateway, receive_buffer=4096)
    client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    plain.send(b"".join(request(number, b"bill", HANGING) for number in range(3 * PIPELINE_MAX)))
    await until(
        lambda: (
            len(client.slots) == PIPELINE_MAX
            and len(answers_held) == gateway.driver.stats["requests"] - gateway.driver.stats["refused_quota"]
        )
    )
    sent = len(host.commands)
    closed_at = gateway.loop.time()
    end(plain)
    for connection in answers_held:  # frees places in the pipeline
        if not connection.transport.is_closing():
            connection.transport.write(answer(b"v" * 1000))
    await until(lambda: not gateway.clients.connections())
    assert gateway.loop.time() - closed_at < 1.0
    await asyncio.sleep(0.2)
    assert len(host.commands) == sent and not gateway.driver.calls


@asyncio_test
async def test_an_id_that_comes_again_after_its_client_left_has_one_attempt_out():
    """Forced for picture (c): the attempt of the client that left is given up before the next one begins.

    Of a class that is safe to repeat; test_repeated_ids.py has the others, which are not begun again.
    """
    host = await FakeHost("a").listen()
    out: list[int] = []

    def reply(command: list[bytes]) -> bytes | None:
        out.append(len(host.connections))
        return None if len(host.commands) == 1 else answer(b"done")

    host.script = reply
    gateway = LoopbackGateway(host)
    first, _ = await connect(gateway)
    first.send(request(1, deadline_ms=HANGING))
    await until(lambda: host.commands)
    first.sock.close()
    await until(lambda: not gateway.clients.open)
    again, _ = await connect(gateway)
    again.send(request(1))
    assert await again.read(10) == b"$4\r\ndone\r\n"
    assert out == [1, 1]  # its first connection was closed by then
