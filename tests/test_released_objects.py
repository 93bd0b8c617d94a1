"""What a request held is freed by reference count at its end, with the garbage collector switched off.

The collector counts objects and not bytes, so bodies of answered requests stayed in memory for minutes.
"""

from __future__ import annotations

import gc
import resource
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import RAW_SETTINGS, FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until
from test_host_links import Gate, PlainHost
from test_large import TERMS, answer, post

from orchidlane import interface as api
from saffrongw.calls import Attempt, Call
from saffrongw.client import LINGER_TIMEOUT, Client
from saffrongw.resp import LARGE_VALUE_BYTES_MAX, LargeValue
from saffrongw.response_slots import Slot
from saffrongw.uploads import Upload

BODY = b"b" * 300_000
VALUE = b"v" * 300_000
PER_REQUEST_TYPES = (Call, Attempt, Slot, Upload, LargeValue)
MEBIBYTE = 1024 * 1024


@pytest.fixture(autouse=True)
def without_collector():
    """Switch the garbage collector off, after what earlier tests have left."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def live_objects(types: tuple[type, ...] = PER_REQUEST_TYPES) -> Counter[str]:
    """Count the objects of these types that are in memory."""
    return Counter(type(item).__name__ for item in gc.get_objects() if type(item) in types)


class Scene:
    """A gateway with two hosts, and one client that sends a request with a large body."""

    async def set_up(self, may_cancel: bool) -> Scene:
        self.hosts = [await FakeHost(name).listen() for name in "ab"]
        permissions = RAW_SETTINGS["permissions"] | {"cancel": may_cancel, "connectTimeout": 5_000_000}
        self.gateway = LoopbackGateway(*self.hosts, permissions=permissions)
        self.client = await self.gateway.connect_client()
        return self

    def script(self, reply: Callable[[list[bytes]], bytes | None]) -> None:
        for host in self.hosts:
            host.script = reply

    def add_host(self, host: FakeHost) -> None:
        self.gateway.apply_host_list(host.list_entry())

    def prefer(self, server: bytes) -> None:
        """Have all attempts that the decision module chooses go to this host."""
        core = self.gateway.driver.gateway
        core._choose_server = lambda request: core.hosts[server]

    def send_attempt(self, server: bytes) -> None:
        """Send a further attempt of the only request to this host."""
        (number,) = self.gateway.driver.calls
        self.gateway.driver._execute([api.Send(number, server, 0, 0)])

    def send(self, deadline_ms: int = 9000, body: bytes = BODY, class_name: bytes = b"put") -> None:
        terms = TERMS.replace(b"d=9000", b"d=%d" % deadline_ms).replace(b"c=put", b"c=" + class_name)
        self.client.transport.write(post(body, terms=terms))

    async def commands(self, count: int = 1) -> None:
        await until(lambda: sum(len(host.commands) for host in self.hosts) >= count)


async def answered(scene: Scene) -> None:
    scene.script(lambda command: answer(b"done"))
    scene.send()
    assert await scene.client.wait_for_replies() == [b"done"]


async def failed(scene: Scene) -> None:
    scene.script(lambda command: b"-ERR failed\r\n")
    scene.send(class_name=b"bill")
    await scene.client.wait_for_replies()


async def refused(scene: Scene) -> None:
    scene.gateway.clients.drain.refusing_requests = True
    scene.send()
    await scene.client.wait_for_replies()


async def refused_by_quota(scene: Scene) -> None:
    scene.gateway.driver.gateway._refusal_cause = lambda request: api.Cause.QUOTA
    scene.send()
    await scene.client.wait_for_replies()


async def malformed(scene: Scene) -> None:
    scene.client.transport.write(post(BODY, terms=b"c=unknown"))
    await scene.client.wait_for_replies()


async def streamed(scene: Scene) -> None:
    scene.script(lambda command: answer(VALUE))
    scene.send()
    assert await scene.client.wait_for_replies() == [VALUE]


async def stream_broken(scene: Scene) -> None:
    scene.script(lambda command: None)
    scene.send()
    await scene.commands()
    (connection,) = [connection for host in scene.hosts for connection in host.connections if host.commands]
    connection.transport.write(answer(VALUE)[:200_000])
    await until(lambda: scene.gateway.hosts.streams)
    connection.transport.abort()
    await until(lambda: scene.client.closed)


async def retried(scene: Scene) -> None:
    replies = [b"-BUSY\r\n", answer(b"done")]
    scene.script(lambda command: replies.pop(0))
    scene.send()
    assert await scene.client.wait_for_replies() == [b"done"]


async def host_lost(scene: Scene) -> None:
    scene.script(lambda command: b"reset")
    scene.send(class_name=b"bill")
    await scene.client.wait_for_replies()


async def cancelled(scene: Scene) -> None:
    scene.script(lambda command: None)
    scene.send()
    await scene.commands()
    scene.client.transport.abort()


async def given_up_within_the_body(scene: Scene) -> None:
    scene.client.transport.write(post(BODY)[:100_000])
    await until(lambda: any(client.upload for client in scene.gateway.clients.open))
    scene.client.transport.abort()


async def deadline_passed(scene: Scene) -> None:
    scene.script(lambda command: None)
    scene.send(deadline_ms=300)
    await scene.client.wait_for_replies()


async def hedged(scene: Scene) -> None:
    """One of two attempts is served while the other one's host has not been connected to."""
    scene.script(lambda command: answer(b"done"))
    gate = Gate(scene.gateway, scene.hosts[0].port)
    scene.prefer(b"a")
    scene.send()
    await until(lambda: scene.gateway.hosts.pools[b"a"].waiting)
    scene.send_attempt(b"b")
    assert await scene.client.wait_for_replies() == [b"done"]
    gate.open()


async def hedged_within_the_body(scene: Scene) -> None:
    """One of two attempts is served while the other one's host reads nothing of the body."""
    unread = PlainHost("c")
    scene.add_host(unread)
    scene.script(lambda command: answer(b"done"))
    scene.prefer(b"c")
    scene.send(body=b"b" * LARGE_VALUE_BYTES_MAX)
    sock = await unread.accept()
    scene.send_attempt(b"b")
    assert await scene.client.wait_for_replies() == [b"done"]
    await until(lambda: scene.gateway.driver.stats["attempt_not_connected"])
    sock.close()


class StubSuccessor:
    """A process that has taken over, and answers each relayed request as refused."""

    def __init__(self, scene: Scene) -> None:
        self.driver = scene.gateway.driver

    def forward_request(self, call: Call) -> None:
        self.driver.loop.call_soon(self.driver.answer_relayed, call.event.request, b"-BUSY\r\n")

    def client_gone(self, call: Call) -> None:
        """Do nothing."""

    def forward_event(self, event: api.Event) -> None:
        """Do nothing."""


async def handed_over(scene: Scene) -> None:
    scene.gateway.driver.freeze()
    scene.send()
    scene.send(body=b"b" * 60_000)
    await until(lambda: len(scene.gateway.driver.calls) == 2)
    scene.gateway.driver.hand_over(StubSuccessor(scene))
    await scene.client.wait_for_replies(2)


async def answered_behind_another(scene: Scene) -> None:
    waiting = []
    scene.script(lambda command: waiting.append(1) if command[2] == b"first" else answer(VALUE[:60_000]))
    scene.client.send_request("read", request_id=b"first", deadline_ms=600)
    scene.send()
    scene.send()
    await scene.client.wait_for_replies(3)


ENDS = (
    answered,
    answered_behind_another,
    failed,
    refused,
    refused_by_quota,
    malformed,
    streamed,
    stream_broken,
    retried,
    hedged,
    hedged_within_the_body,
    handed_over,
    host_lost,
    cancelled,
    given_up_within_the_body,
    deadline_passed,
)


@pytest.mark.parametrize("may_cancel", [True, False], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("end", ENDS, ids=lambda end: end.__name__)
@asyncio_test
async def test_nothing_of_an_ended_request_is_left(end, may_cancel):
    """Bodies of answered requests stayed in memory until the process was killed (review/6)."""
    scene = await Scene().set_up(may_cancel)
    await end(scene)
    await until(lambda: not scene.gateway.driver.calls)
    if not may_cancel:  # attempts that may not be cancelled end with their connections
        for host in scene.hosts:
            for connection in list(host.connections):
                connection.transport.abort()
    await until(lambda: not live_objects())
    scene.client.transport.abort()
    await until(lambda: not scene.gateway.clients.connections() and not live_objects((Client,)))
    assert scene.gateway.clients.request_memory.held == scene.gateway.clients.waiting_replies.held == 0


@asyncio_test
async def test_nothing_of_an_ended_connection_is_left_once_its_client_has_closed():
    """A timer kept each of them for a second: 1,800 a second took a process past its limit of 32 MiB."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    client.transport.write(b"junk\r\n")  # is answered with an error and the end of the connection
    await until(lambda: client.closed)
    closed_at = gateway.loop.time()
    await until(lambda: not live_objects((Client,)))
    assert gateway.loop.time() - closed_at < LINGER_TIMEOUT / 2


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()


@asyncio_test
async def test_process_stays_within_its_memory_while_large_orders_are_answered(tmp_path):
    """It grew by each answered body of 4 MiB, and was over 128 MB after some 40 of them (review/6)."""
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"done")
    async with GatewayProcesses(tmp_path, host) as gateways:
        gateways.configuration["limits"]["memory_mb"] = 64
        process = await gateways.start()
        client = await gateways.connect_client()
        body = b"b" * LARGE_VALUE_BYTES_MAX
        most = 0
        for number in range(24):
            client.transport.write(post(body, b"id%d" % number))
            replies = await client.wait_for_replies(number + 1)
            most = max(most, resident_bytes(process.pid))
        assert replies == [b"done"] * 24
        assert most < 64 * MEBIBYTE
