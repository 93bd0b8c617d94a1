"""Races on connections to hosts: unread input on idle ones, attempts that must not be sent any more.

Hosts and clients are plain sockets, so that the event loop does not run until a test lets it.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
import time

import hiredis
import pytest
from conftest import RAW_SETTINGS, FakeHost, LoopbackGateway, asyncio_test, until
from test_gateway import error_text

from orchidlane import interface as api
from saffrongw import driver as driver_module
from saffrongw.host_connection import Stage
from saffrongw.hosts import CONNECTION_COOLDOWN

ANSWER = b"*1\r\n$5\r\nfresh\r\n"
STALE = b"*1\r\n$5\r\nstale\r\n"


def wait_readable(fd: int) -> None:
    """Wait until the kernel has received data or a close, without running the event loop."""
    poll = select.poll()
    poll.register(fd, select.POLLIN | select.POLLRDHUP)
    assert poll.poll(5_000)


def reset(sock: socket.socket) -> None:
    """Close a socket with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class PlainHost(FakeHost):
    """A listening socket whose connections the test itself reads and writes."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]

    async def accept(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.listener), 5)
        return sock


async def receive_command(sock: socket.socket) -> list[bytes]:
    """Read the next complete command."""
    reader = hiredis.Reader()
    while (words := reader.gets()) is False:
        data = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65536), 5)
        assert data, "the gateway closed it"
        reader.feed(data)
    return words


LEFTOVERS = {
    "a close": lambda sock: sock.close(),
    "a reset": reset,
    "half a line": lambda sock: sock.sendall(b"*1\r\n$5"),
    "a duplicate response": lambda sock: sock.sendall(STALE),
    "a response and a close": lambda sock: (sock.sendall(STALE), sock.close()),
}


@pytest.mark.parametrize("kind", ["read", "bill"])
@pytest.mark.parametrize("left", LEFTOVERS)
@asyncio_test
async def test_idle_connection_with_unread_input_is_not_reused(left, kind):
    """A request and the host's leftover input both arrive before the loop polls again. The request was sent
    on that connection and lost, or answered with another request's response."""
    host = PlainHost("a")
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request(kind, request_id=b"one")
    first = await host.accept()
    await receive_command(first)
    await gateway.loop.sock_sendall(first, ANSWER)
    assert await client.wait_for_replies() == [b"fresh"]
    (connection,) = gateway.hosts.pools[b"a"].idle
    await until(lambda: gateway.loop.time() - connection.idle_since > 2 * CONNECTION_COOLDOWN)
    gateway_client = next(iter(gateway.clients.open))
    client.send_request(kind, request_id=b"two")  # passed to the kernel at once
    wait_readable(gateway_client.transport.get_extra_info("socket").fileno())
    LEFTOVERS[left](first)
    wait_readable(connection.transport.get_extra_info("socket").fileno())
    second = await host.accept()
    assert (await receive_command(second))[2] == b"two"
    await gateway.loop.sock_sendall(second, ANSWER)
    assert await client.wait_for_replies(2) == [b"fresh", b"fresh"]
    assert gateway.hosts.connection_count == 1 and gateway.driver.stats["host_stale"] == 1


@asyncio_test
async def test_late_duplicate_response_is_not_matched_to_the_next_request():
    """The next request followed at once on the same connection, and the duplicate response arrived there."""
    host = PlainHost("a")
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request(request_id=b"one")
    first = await host.accept()
    await receive_command(first)
    await gateway.loop.sock_sendall(first, ANSWER)
    await client.wait_for_replies()
    client.send_request(request_id=b"two")
    await until(lambda: gateway.hosts.pools[b"a"].waiting)
    await gateway.loop.sock_sendall(first, STALE)
    await until(lambda: gateway.driver.stats["host_unasked"])
    second = await host.accept()
    assert (await receive_command(second))[2] == b"two"
    await gateway.loop.sock_sendall(second, ANSWER)
    assert await client.wait_for_replies(2) == [b"fresh", b"fresh"]


@asyncio_test
async def test_no_attempt_starts_after_the_final_answer():
    """One attempt waits for a connection while another attempt of the same request is served."""
    slow, quick = [await FakeHost(name).listen() for name in "ab"]
    gateway = LoopbackGateway(
        slow, quick, permissions=RAW_SETTINGS["permissions"] | {"cancel": False, "connectTimeout": 5_000_000}
    )
    gate, client = Gate(gateway, slow.port), await gateway.connect_client()
    gateway.driver.gateway._choose_server = lambda request: gateway.driver.gateway.hosts[b"a"]
    client.send_request()
    await until(lambda: gateway.hosts.pools[b"a"].waiting)
    (number,) = gateway.driver.calls
    gateway.driver._execute([api.Send(number, b"b", 0, 0)])
    assert await client.wait_for_replies() == [b"ok"]
    gate.open()
    await until(lambda: slow.connections and not gateway.hosts.pools[b"a"].opening)
    assert gateway.driver.stats["attempt_not_connected"] == 1
    client.send_request(request_id=b"id2")  # anything sent earlier arrives before it
    await client.wait_for_replies(2)
    assert [command[2] for command in slow.commands] == [b"id2"]


@asyncio_test
async def test_queued_attempts_reuse_cooled_down_connections_before_opening_new_ones():
    """Opening a connection for each request within the cooldown cost hosts a handshake each and a fifth more
    connections."""
    host = PlainHost("a")
    gateway = LoopbackGateway(host)
    client, pool = await gateway.connect_client(), gateway.hosts.pools[b"a"]
    client.send_request(request_id=b"one")
    first = await host.accept()
    await receive_command(first)
    gate = Gate(gateway, host.port)
    for number in (b"two", b"three"):
        await gateway.loop.sock_sendall(first, ANSWER)
        await until(lambda: pool.idle)
        client.send_request(request_id=number)
        assert (await receive_command(first))[2] == number
    assert gateway.hosts.connection_count == 1 and pool.opening == 0
    await gateway.loop.sock_sendall(first, ANSWER)
    await until(lambda: pool.idle)
    for number in (b"four", b"five", b"six"):
        client.send_request(request_id=number)
    await until(lambda: gate.connecting == 2)
    assert (await receive_command(first))[2] == b"four"
    gate.open()
    others = [await host.accept() for _ in range(2)]
    assert {(await receive_command(other))[2] for other in others} == {b"five", b"six"}
    for each in (first, *others):
        await gateway.loop.sock_sendall(each, ANSWER)
    assert await client.wait_for_replies(6) == [b"fresh"] * 6
    assert len(pool.idle) == gateway.hosts.connection_count == 3


class Gate:
    """Delays connecting to a port until it is opened."""

    def __init__(self, gateway: LoopbackGateway, port: int) -> None:
        self.loop, self.port, self.gate = gateway.hosts.loop, port, asyncio.Event()
        self.open, self.connecting = self.gate.set, 0
        gateway.hosts.loop = self

    async def create_connection(self, factory, host, port):
        self.connecting += 1
        try:
            if port == self.port:
                await self.gate.wait()
            return await self.loop.create_connection(factory, host, port)
        finally:
            self.connecting -= 1

    def __getattr__(self, name):
        return getattr(self.loop, name)


@pytest.mark.parametrize("kind", ["read", "bill"])
@asyncio_test
async def test_connection_established_at_its_timeout_is_used(kind):
    """When the loop was blocked across the connect timeout, the connection was closed without reporting it:
    its request was never answered, and it stayed in the connection count."""
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host, permissions=RAW_SETTINGS["permissions"] | {"connectTimeout": 50_000})
    client = await gateway.connect_client()
    pool = gateway.hosts.pools[b"a"]
    connected = pool.connected

    def block_loop(connection):
        connected(connection)
        time.sleep(0.1)

    pool.connected = block_loop
    client.send_request(kind)
    assert await client.wait_for_replies() == [b"ok"]
    await until(lambda: pool.idle)
    client.send_request(kind, request_id=b"id2")
    assert await client.wait_for_replies(2) == [b"ok", b"ok"]
    assert gateway.hosts.connection_count == len(host.connections)


CONNECT_OUTCOMES = {
    "refused": lambda gateway, host, gate: (host.listener.close(), gate.open()),
    "timed out": lambda gateway, host, gate: None,
    "gone while it opens": lambda gateway, host, gate: gateway.apply_host_list(host.list_entry("DELETED")),
    "gone in the loop iteration in which it opens": lambda gateway, host, gate: (
        gate.open(),
        gateway.apply_host_list(host.list_entry("DELETED")),
    ),
    "draining while it opens": lambda gateway, host, gate: (
        gateway.apply_host_list(host.list_entry("DRAINING")),
        gate.open(),
    ),
    "moved while it opens": lambda gateway, host, gate: (
        gateway.apply_host_list(host.list_entry(dial="127.0.0.1:1")),
        gate.open(),
    ),
    "taken out while it opens": lambda gateway, host, gate: (gateway.driver.ban(b"a", True), gate.open()),
    "client gone": lambda gateway, host, gate: (gateway.test_client.transport.abort(), gate.open()),
}


@pytest.mark.parametrize("end", CONNECT_OUTCOMES)
@asyncio_test
async def test_failed_connects_are_counted_once_and_send_nothing(end):
    host = PlainHost("a")
    gateway = LoopbackGateway(
        host, permissions=RAW_SETTINGS["permissions"] | {"maxAttempts": 1, "connectTimeout": 200_000}
    )
    gate = Gate(gateway, host.port)
    client = gateway.test_client = await gateway.connect_client()
    client.send_request("bill")
    await until(lambda: gateway.hosts.pools[b"a"].waiting)
    assert gateway.hosts.connection_count == 1
    CONNECT_OUTCOMES[end](gateway, host, gate)
    if end != "client gone":
        assert error_text((await client.wait_for_replies())[0]).startswith("BUSY")
    await until(
        lambda: (
            gateway.driver.calls == gateway.driver.gateway.requests == gateway.driver.gateway.attempts == {}
        )
    )
    if end != "timed out":
        await until(lambda: gate.connecting == 0)
    await until(
        lambda: gateway.hosts.connection_count == sum(len(pool.idle) for pool in gateway.hosts.pools.values())
    )
    try:
        sock, _ = host.listener.accept()
    except OSError:
        return  # no connection was established
    sock.setblocking(False)
    with contextlib.suppress(BlockingIOError, ConnectionResetError):
        assert sock.recv(64) == b""


@pytest.mark.parametrize("early", [b"*1\r\n$2\r\nok\r\n", b"*1\r\n$2\r", b"-ERR failed\r\n", b"+OK\r\n"])
@asyncio_test
async def test_input_before_a_request_is_fully_sent_is_not_its_response(early):
    """A host cannot have served a request that it has not received, so this one counts as not executed."""
    host = PlainHost("a")
    host.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    gateway = LoopbackGateway(host, permissions=RAW_SETTINGS["permissions"] | {"maxAttempts": 1})
    client = await gateway.connect_client()
    pool = gateway.hosts.pools[b"a"]
    connected = pool.connected

    def shrink_send_buffer(connection):
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connected(connection)

    pool.connected = shrink_send_buffer
    terms = b"c=bill,t=team,d=2000,units=1,spread=2,first=0"
    client.send_command(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    sock = await host.accept()
    await gateway.loop.sock_sendall(sock, early)
    assert error_text((await client.wait_for_replies())[0]).startswith("BUSY")
    assert gateway.hosts.connection_count == 0


@asyncio_test
async def test_busy_followed_by_more_input_may_have_been_executed():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    for host in hosts:
        host.script = lambda command: b"-BUSY\r\n*1\r\n$2\r\nok\r\n"
    client = await LoopbackGateway(*hosts).connect_client()
    client.send_request("bill")
    assert error_text((await client.wait_for_replies())[0]).startswith("ERR")
    assert sum(len(host.commands) for host in hosts) == 1


@pytest.mark.parametrize("end", ["end", "reset"])
@asyncio_test
async def test_response_truncated_at_any_byte_is_not_accepted(end):
    """An unsafe request fails without a retry; a complete response counts whatever follows it."""
    data = b"*3\r\n$5\r\nfresh\r\n$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n"
    for cut in range(len(data) + 1):
        host = PlainHost("a")
        gateway = LoopbackGateway(host)
        client = await gateway.connect_client()
        client.send_request("bill")
        sock = await host.accept()
        await receive_command(sock)
        await gateway.loop.sock_sendall(sock, data[:cut])
        sock.close() if end == "end" else reset(sock)
        (reply,) = await client.wait_for_replies()
        if cut == len(data) and end == "end":
            assert reply == b"fresh"
        elif cut < len(data):
            assert error_text(reply) == "ERR failed"
        assert gateway.driver.stats["host_stale"] == 0
        with pytest.raises(BlockingIOError):
            host.listener.accept()
        await until(lambda gateway=gateway: gateway.hosts.connection_count == 0)
        client.transport.close()


@asyncio_test
async def test_no_retry_is_sent_after_the_deduplication_window():
    """A retry was decided on within the window, but sent later, when its connection was established."""
    classes = [dict(cls, dedupWindow=300_000) for cls in RAW_SETTINGS["classes"]]
    first, second = await FakeHost("a").listen(), await FakeHost("b").listen()
    first.script = lambda command: b"reset"
    gateway = LoopbackGateway(
        first, classes=classes, permissions=RAW_SETTINGS["permissions"] | {"connectTimeout": 2_000_000}
    )
    gateway.apply_host_list(second.list_entry("DRAINING"))
    gate = Gate(gateway, second.port)
    client = await gateway.connect_client()
    ended, feed = [], gateway.driver.feed

    def feed_and_update_list(event):
        if isinstance(event, api.AttemptEnded):
            ended.append(event)
            if len(ended) == 1:  # before the retry is decided on: only the other host is left
                gateway.apply_host_list(first.list_entry("DRAINING"), second.list_entry())
        feed(event)

    gateway.driver.feed = feed_and_update_list
    client.send_request("put", deadline_ms=3000)
    await until(lambda: gateway.hosts.pools[b"b"].waiting)
    sent = gateway.loop.time()
    await until(lambda: gateway.loop.time() - sent > 0.35)
    gate.open()
    assert error_text((await client.wait_for_replies())[0]) == "ERR failed"
    await until(lambda: second.connections)
    assert (len(first.commands), len(second.commands)) == (1, 0)
    assert [event.outcome for event in ended][:2] == [api.Outcome.BROKEN, api.Outcome.NOT_CONNECTED]


@asyncio_test
async def test_connections_are_counted_once_on_every_path():
    """Hosts refuse, reset, close and answer under many requests; afterwards only idle connections count."""
    hosts = [await FakeHost(name).listen() for name in "abcd"]
    replies = [b"reset", b"-BUSY\r\n", b"-ERR failed\r\n", ANSWER, ANSWER + STALE, b"$5\r\nodd"]
    for index, host in enumerate(hosts):
        host.script = lambda command, index=index: replies[(int(command[2]) + index) % len(replies)]
    closed = await FakeHost("e").listen()
    closed.server.close()
    gateway = LoopbackGateway(*hosts, closed)
    client = await gateway.connect_client()
    for number in range(120):
        client.send_request(request_id=b"%d" % number, deadline_ms=1500)
    assert len(await client.wait_for_replies(120)) == 120
    await until(lambda: not gateway.driver.calls)
    await until(
        lambda: gateway.hosts.connection_count == sum(len(pool.idle) for pool in gateway.hosts.pools.values())
    )
    for pool in gateway.hosts.pools.values():
        assert all(connection.stage is Stage.IDLE for connection in pool.idle) and not pool.waiting
        pool.close_idle(float("inf"))
    assert gateway.hosts.connection_count == 0


@asyncio_test
async def test_an_attempt_is_not_sent_to_the_former_address_of_a_host_that_has_just_moved(monkeypatch):
    """The list is read right before the attempt would be written on a connection to the former address."""
    monkeypatch.setattr(driver_module, "LIST_READ_INTERVAL", 0)
    former, current = await FakeHost("a").listen(), await FakeHost("a").listen()
    gateway = LoopbackGateway(former)
    pool = gateway.hosts.pools[b"a"]

    def move_host_once_its_attempt_is_taken() -> None:
        if gateway.driver.calls and pool.connected_once and not pool.retired:
            gateway.apply_host_list(current.list_entry())

    connected = pool.connected

    def note_connected(connection) -> None:
        pool.connected_once = True
        connected(connection)

    pool.connected_once, pool.connected = False, note_connected
    gateway.driver.read_pending_list = move_host_once_its_attempt_is_taken
    client = await gateway.connect_client()
    client.send_request()
    assert await client.wait_for_replies() == [b"ok"]
    assert pool.retired and (len(former.commands), len(current.commands)) == (0, 1)
