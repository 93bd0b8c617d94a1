"""Races when client connections end: a half-close crossed by input, a client's close while reading is paused.

Clients are plain sockets, so that the event loop does not run until a test lets it.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from collections.abc import Callable

import hiredis
import pytest
from conftest import RAW_SETTINGS, FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until
from test_host_links import Gate, reset, wait_readable
from test_large import answer, post

from orchidlane import interface as api
from saffrongw import client as client_module
from saffrongw import drain as drain_module
from saffrongw.client import COMMAND_TIMEOUT, COMMAND_UNITS, SURPLUS_CONNECTIONS_MAX, Client, Stage
from saffrongw.hosts import CONNECTION_COOLDOWN
from saffrongw.input_scheduler import ITERATION_UNITS

PING = hiredis.pack_command((b"PING",))
TERMS = b"c=%b,t=team,d=%d,units=1,spread=2,first=0"


def request(number: int = 1, class_name: bytes = b"read", deadline_ms: int = 2000) -> bytes:
    words = (b"0000000000000007", b"id%d" % number, TERMS % (class_name, deadline_ms))
    if class_name == b"read":
        return hiredis.pack_command((b"CALL.GET", *words))
    return hiredis.pack_command((b"CALL.POST", *words, b"BODY"))


class PlainClient:
    """A client as a plain socket."""

    def __init__(self, gateway: LoopbackGateway, address: tuple[str, int], receive_buffer: int = 0) -> None:
        self.loop = gateway.loop
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.connect(address)
        self.send = self.sock.sendall  # passes data to the kernel at once
        self.sock.setblocking(False)

    async def read(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            piece = await asyncio.wait_for(self.loop.sock_recv(self.sock, size - len(data)), 10)
            assert piece, f"ended after {data!r}"
            data += piece
        return data

    async def read_until_close(self) -> bytes:
        """Read until the peer closes; a reset raises."""
        data = b""
        while piece := await asyncio.wait_for(self.loop.sock_recv(self.sock, 65536), 10):
            data += piece
        return data


async def connect(gateway: LoopbackGateway, receive_buffer: int = 0) -> tuple[PlainClient, Client]:
    """Connect a client; return its socket and the gateway's object for it."""
    if gateway.clients.server is None:
        await gateway.clients.listen()
    before = set(gateway.clients.open)
    plain = PlainClient(gateway, gateway.clients.server.sockets[0].getsockname(), receive_buffer)
    await until(lambda: set(gateway.clients.open) - before)
    return plain, (set(gateway.clients.open) - before).pop()


def fileno(client: Client) -> int:
    return client.transport.get_extra_info("socket").fileno()


def send_at_half_close(client: Client, plain: PlainClient, data: bytes) -> None:
    """Send these bytes just before the half-close, after the gateway's check for unread input."""
    half_close = client.half_close

    def end() -> None:
        if client.stage is not Stage.HALF_CLOSED:
            plain.send(data)
            if data:
                wait_readable(fileno(client))
        half_close()

    client.half_close = end


async def by_drain(gateway: LoopbackGateway, plain: PlainClient, client: Client) -> bytes:
    client.waiting_since = 0.0
    gateway.clients.drain._close_idle()
    return b""


async def by_eviction(gateway: LoopbackGateway, plain: PlainClient, client: Client) -> bytes:
    gateway.clients.max_connections = len(gateway.clients.open)
    await connect(gateway)
    return b""


async def by_command_timeout(gateway: LoopbackGateway, plain: PlainClient, client: Client) -> bytes:
    client.waiting_since = gateway.loop.time() - COMMAND_TIMEOUT - 1
    return b""


async def by_error(gateway: LoopbackGateway, plain: PlainClient, client: Client) -> bytes:
    plain.send(b"junk\r\n")
    return b"-ERR not a RESP2 value\r\n"


async def by_late_drain(gateway: LoopbackGateway, plain: PlainClient, client: Client) -> bytes:
    client.waiting_since = 0.0
    gateway.clients.drain._close_without_request()
    return b""


async def by_connection_limit(gateway: LoopbackGateway, plain: PlainClient, client: Client) -> bytes:
    gateway.clients.max_connections, client.is_surplus = 0, True
    plain.send(request())
    return b"-BUSY 1000\r\n"


CLOSE_CAUSES = (by_drain, by_eviction, by_command_timeout, by_error, by_late_drain, by_connection_limit)
CROSSING_INPUT = {
    "nothing": b"",
    "a request": request(7, b"bill"),
    "half a request": request(7)[:20],
    "a part of a large body": post(b"x" * 300_000)[:100_000],
    "many requests": request(7) * 200,
}


@pytest.mark.parametrize("crossing", CROSSING_INPUT)
@pytest.mark.parametrize("end", CLOSE_CAUSES)
@asyncio_test
async def test_input_that_crosses_a_half_close_is_discarded_without_losing_responses(end, crossing):
    """Guards against input that resets the connection, so that earlier responses are lost, or that is still
    sent to hosts."""
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway)  # the client's socket, and the gateway's object for it
    plain.send(request())
    assert await plain.read(len(b"$2\r\nok\r\n")) == b"$2\r\nok\r\n"
    send_at_half_close(client, plain, CROSSING_INPUT[crossing])
    final_response = await end(gateway, plain, client)
    assert await plain.read_until_close() == final_response
    assert (
        client.stage is Stage.HALF_CLOSED
        and client in gateway.clients.half_closed
        and client not in gateway.clients.open
    )
    for _ in range(3):  # input during the lingering close must not reset the connection
        with contextlib.suppress(BlockingIOError):
            plain.sock.send(request(8, b"bill"))
        await asyncio.sleep(0)
    plain.sock.shutdown(socket.SHUT_WR)
    await until(lambda: client not in gateway.clients.half_closed)
    assert [command[2] for command in host.commands] == [b"id1"]
    assert gateway.driver.calls == {}


@asyncio_test
async def test_drain_answers_all_commands_received_in_one_segment():
    """The connection was closed after the first response, and later commands were still sent to hosts."""
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway)
    gateway.clients.drain.closing_idle = True
    client.waiting_since = 0.0
    plain.send(PING + request(1) + PING)
    assert await plain.read_until_close() == b"+PONG\r\n$2\r\nok\r\n+PONG\r\n"
    assert len(host.commands) == 1


@asyncio_test
async def test_half_closed_connections_are_bounded_and_aborted_after_the_linger_timeout(monkeypatch):
    monkeypatch.setattr(client_module, "LINGER_TIMEOUT", 0.3)
    gateway = LoopbackGateway(await FakeHost("a").listen())
    held = [await connect(gateway) for _ in range(4)]
    gateway.clients.max_connections = 4
    for _ in range(3 * SURPLUS_CONNECTIONS_MAX):
        held.append(await connect(gateway))
        assert (
            len(gateway.clients.open) + len(gateway.clients.half_closed)
            <= gateway.clients.max_connections + SURPLUS_CONNECTIONS_MAX + 1
        )
    assert gateway.driver.stats["client_evicted"] == 3 * SURPLUS_CONNECTIONS_MAX
    await until(lambda: not gateway.clients.half_closed)
    assert len(gateway.clients.open) == 4


@asyncio_test
async def test_connections_in_the_accept_queue_are_served_when_the_listener_closes():
    """Guards against resetting them together with the listener."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    await gateway.clients.listen()
    address = gateway.clients.server.sockets[0].getsockname()
    late = [PlainClient(gateway, address) for _ in range(5)]
    for plain in late:
        plain.send(request())
    gateway.clients.stop_accepting()  # in the same loop iteration: none has been accepted yet
    for plain in late:
        assert await plain.read(8) == b"$2\r\nok\r\n"
    with pytest.raises(ConnectionRefusedError):
        PlainClient(gateway, address)
    assert not gateway.clients.accepting


@asyncio_test
async def test_drain_waits_until_write_buffers_are_empty(monkeypatch):
    """The process exited while most of the last response was still in the transport's write buffer."""
    monkeypatch.setattr(drain_module, "SHUTDOWN_REFUSE_DELAY", 0.0)
    monkeypatch.setattr(drain_module, "SHUTDOWN_COMMAND_TIMEOUT", 0.0)
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 60_000)
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway, receive_buffer=4096)
    sock = client.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    count = 5
    plain.send(b"".join(request(number) for number in range(count)))
    await until(lambda: len(host.commands) == count and not gateway.driver.calls)
    drain = asyncio.create_task(gateway.clients.drain.shut_down(0.0))
    await until(lambda: client.stage is Stage.HALF_CLOSED)
    assert client.transport.get_write_buffer_size() and not drain.done()
    assert await plain.read_until_close() == (b"$60000\r\n" + b"v" * 60_000 + b"\r\n") * count
    plain.sock.close()
    await asyncio.wait_for(drain, 10)
    assert gateway.clients.is_finished


@asyncio_test
async def test_drain_ends_while_clients_keep_sending(monkeypatch):
    """A connection that always had a request in flight was never closed, but served until SIGKILL."""
    monkeypatch.setattr(drain_module, "SHUTDOWN_REFUSE_DELAY", 0.2)
    host = await FakeHost("a").listen()
    waiting = []
    host.script = lambda command: waiting.append(host.sender)
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    client.send_request(request_id=b"0")
    await until(lambda: len(host.commands) == 1)
    drain = asyncio.create_task(gateway.clients.drain.shut_down(0.0))
    request_count, stats = 1, gateway.driver.stats
    while True:  # the next request arrives before the last is answered
        client.send_request(request_id=b"%d" % request_count)
        request_count += 1
        await until(
            lambda request_count=request_count: (
                len(host.commands) == request_count or stats["refused_leaving"]
            )
        )
        if stats["refused_leaving"]:
            break
        waiting.pop(0).transport.write(b"*1\r\n$2\r\nok\r\n")
        await until(lambda request_count=request_count: len(client.replies) >= request_count - 1)
    (last,) = waiting
    last.transport.write(b"*1\r\n$2\r\nok\r\n")
    await asyncio.wait_for(drain, 10)
    assert client.closed and client.replies[:-1] == [b"ok"] * (request_count - 1)
    assert str(client.replies[-1]) == "BUSY"


@asyncio_test
async def test_drain_ends_despite_a_slow_reader(monkeypatch):
    monkeypatch.setattr(drain_module, "SHUTDOWN_REFUSE_DELAY", 0.0)
    monkeypatch.setattr(drain_module, "WRITE_STALL_TIMEOUT", 0.5)
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 60_000)
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway, receive_buffer=4096)
    client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    plain.send(b"".join(request(number) for number in range(4)))
    await until(lambda: len(host.commands) == 4 and not gateway.driver.calls)
    # As for a client that reads a byte now and then, and so never stalls.
    client.check_timeouts = lambda before: None
    await asyncio.wait_for(gateway.clients.drain.shut_down(0.0), 10)
    assert not gateway.clients.is_finished


# -- a client that disconnects while reading is paused


async def behind_a_full_pipeline(gateway: LoopbackGateway, host: FakeHost, plain: PlainClient) -> Gate:
    gate = Gate(gateway, host.port)
    plain.send(b"".join(request(number, b"bill") for number in range(1, 25)))
    await until(lambda: len(gateway.driver.calls) == 16 and next(iter(gateway.clients.open)).reading_paused)
    return gate


async def behind_an_upload_without_memory(
    gateway: LoopbackGateway, host: FakeHost, plain: PlainClient
) -> Gate:
    gate = Gate(gateway, host.port)
    gateway.clients.upload_memory.free = 0
    plain.send(request(1, b"bill") + post(b"x" * 200_000)[:150_000])
    await until(lambda: gateway.clients.upload_memory.waiting and gateway.driver.calls)
    return gate


async def behind_unread_responses(gateway: LoopbackGateway, host: FakeHost, plain: PlainClient) -> Gate:
    """Let a request wait behind a large response that the client does not read."""
    plain.send(request(0))
    await plain.read(8)
    (idle,) = gateway.hosts.pools[b"a"].idle
    await until(lambda: gateway.loop.time() - idle.idle_since > 2 * CONNECTION_COOLDOWN)
    gate = Gate(gateway, host.port)
    host.script = lambda command: answer(b"v" * 4_000_000) if command[2] == b"id0" else answer(b"ok")
    plain.send(request(0) + request(1, b"bill"))
    await until(lambda: next(iter(gateway.clients.open)).reading_paused and gateway.hosts.pools[b"a"].waiting)
    return gate


async def for_a_host_connection(gateway: LoopbackGateway, host: FakeHost, plain: PlainClient) -> Gate:
    gate = Gate(gateway, host.port)
    plain.send(request(1, b"bill"))
    await until(lambda: gateway.hosts.pools[b"a"].waiting)
    return gate


class ListHost:
    """Stands in for a ``Gate``: ``open`` lists the host as serving."""

    def __init__(self, gateway: LoopbackGateway, host: FakeHost) -> None:
        self.open = lambda: gateway.apply_host_list(host.list_entry())


async def for_an_available_host(gateway: LoopbackGateway, host: FakeHost, plain: PlainClient) -> ListHost:
    gateway.apply_host_list(host.list_entry("DRAINING"))
    plain.send(request(1, b"bill"))
    await until(lambda: gateway.driver.calls)
    return ListHost(gateway, host)


class ThawDriver:
    """Stands in for a ``Gate``: ``open`` ends the handover as failed."""

    def __init__(self, gateway: LoopbackGateway) -> None:
        self.open = gateway.driver.thaw


async def during_a_handover(gateway: LoopbackGateway, host: FakeHost, plain: PlainClient) -> ThawDriver:
    gateway.driver.freeze()
    plain.send(request(1, b"bill"))
    await until(lambda: gateway.driver.calls)
    return ThawDriver(gateway)


WAIT_REASONS = (
    behind_a_full_pipeline,
    behind_an_upload_without_memory,
    behind_unread_responses,
    for_a_host_connection,
    for_an_available_host,
    during_a_handover,
)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("leave", [socket.socket.close, reset])
@pytest.mark.parametrize("wait", WAIT_REASONS)
@asyncio_test
async def test_nothing_is_sent_for_a_disconnected_client(wait, leave, may_cancel, monkeypatch):
    """While reading is paused the event loop does not report a close, wherever the request waits."""
    monkeypatch.setattr(client_module, "PIPELINE_MAX", 16)
    host = await FakeHost("a").listen()
    permissions = RAW_SETTINGS["permissions"] | {"cancel": may_cancel, "connectTimeout": 5_000_000}
    gateway = LoopbackGateway(host, permissions=permissions, sockets=256)
    plain, _ = await connect(gateway, receive_buffer=4096)
    gate = await wait(gateway, host, plain)
    left_at = gateway.loop.time()
    leave(plain.sock)
    await until(lambda: not gateway.driver.calls, timeout=20)
    assert gateway.loop.time() - left_at < 1.5  # well before the deadline of 2 s
    stats = gateway.driver.stats
    assert stats["client_gone_waiting"] > 0 and stats["client_gone_sent_late"] == 0
    gate.open()
    other, _ = await connect(gateway)
    other.send(request(99, b"bill"))  # anything sent earlier arrives before it
    assert await other.read(8) == b"$2\r\nok\r\n"
    assert {command[2] for command in host.commands} - {b"id0"} == {b"id99"}
    core = gateway.driver.gateway
    await until(lambda: core.requests == core.attempts == {})
    assert [host.open_attempts for host in core.hosts.values()] == [0]


async def when_dispatched(gateway: LoopbackGateway, plain: PlainClient) -> Callable[[], None]:
    """Let a request wait for a host; return a function that dispatches it on an established connection."""
    (idle,) = gateway.hosts.pools[b"a"].idle
    await until(lambda: gateway.loop.time() - idle.idle_since > 2 * CONNECTION_COOLDOWN)
    gateway.apply_host_list(gateway.host_entry | {"health": "DRAINING"})
    plain.send(request(1, b"bill"))
    await until(lambda: gateway.driver.calls)
    (number,) = gateway.driver.calls

    def resume() -> None:
        gateway.apply_host_list(gateway.host_entry)
        gateway.driver.feed(api.TimerFired(number + 1))

    return resume


async def when_cooled_down(gateway: LoopbackGateway, plain: PlainClient) -> Callable[[], None]:
    """Let a request wait for a connection; return a function that dispatches it on a cooled-down one."""
    pool = gateway.hosts.pools[b"a"]
    Gate(gateway, pool.address[1])
    plain.send(request(1, b"bill"))
    await until(lambda: pool.waiting)
    pool.idle[0].idle_since -= CONNECTION_COOLDOWN
    return pool._dispatch


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
@pytest.mark.parametrize("wait", [when_dispatched, when_cooled_down])
@asyncio_test
async def test_nothing_is_sent_for_a_client_whose_close_is_not_yet_noticed(wait, leave):
    """The request is dispatched before the event loop reads the client's FIN from the socket."""
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    gateway.host_entry = host.list_entry()
    plain, client = await connect(gateway)
    plain.send(request(0, b"bill"))
    assert await plain.read(8) == b"$2\r\nok\r\n"
    resume = await wait(gateway, plain)
    leave(plain.sock)
    wait_readable(fileno(client))
    resume()
    assert not gateway.driver.calls or all(call.finished for call in gateway.driver.calls.values())
    other, _ = await connect(gateway)
    other.send(request(99, b"bill"))
    assert await other.read(8) == b"$2\r\nok\r\n"
    assert [command[2] for command in host.commands] == [b"id0", b"id99"]
    assert gateway.driver.stats["client_gone"] == 1
    core = gateway.driver.gateway
    await until(lambda: core.requests == core.attempts == {})
    assert [known.open_attempts for known in core.hosts.values()] == [0]


@pytest.mark.parametrize("pings", [64, 128, ITERATION_UNITS // COMMAND_UNITS])
@pytest.mark.parametrize("leave", [socket.socket.close, reset])
@asyncio_test
async def test_pipelined_commands_are_not_executed_after_the_client_disconnects(leave, pings):
    """A segment is processed over several loop iterations, and the connection may be lost between two."""
    host = await FakeHost("a").listen()
    gateway, errors = LoopbackGateway(host), []
    gateway.loop.set_exception_handler(lambda loop, context: errors.append(context))
    plain, client = await connect(gateway)
    plain.send(PING * pings + b"".join(request(number, b"bill") for number in range(1, 9)))
    leave(plain.sock)
    await until(lambda: client not in gateway.clients.open)
    other, _ = await connect(gateway)
    other.send(request(99, b"bill"))
    assert await other.read(8) == b"$2\r\nok\r\n"
    assert [command[2] for command in host.commands] == [b"id99"]
    assert gateway.driver.stats["requests"] == 1
    assert gateway.driver.calls == {} == gateway.driver.gateway.requests
    assert errors == []


# -- fairness and isolation between clients


@asyncio_test
async def test_client_flooding_with_commands_does_not_starve_others():
    """A segment of thousands of commands was executed completely before other clients were read from."""
    gateway = LoopbackGateway(await FakeHost("a").listen())
    flooding_plain, flooding = await connect(gateway)
    calm_plain, calm = await connect(gateway)
    order: list[Client] = []
    for client in (flooding, calm):
        client.write = lambda data, client=client: (order.append(client), client.transport.write(data))
    flooding_plain.send(PING * 4_000)
    calm_plain.send(PING)
    wait_readable(fileno(calm))  # both are readable before the loop polls
    assert await calm_plain.read(7) == b"+PONG\r\n"
    assert order.index(calm) <= 200  # of 4,000
    assert await flooding_plain.read(7 * 4_000) == b"+PONG\r\n" * 4_000


@asyncio_test
async def test_requests_follow_the_settings_of_their_class_customer_and_deployment():
    """Two deployments in one process with the same names, two customers on one connection."""
    for effects in (("once", "by_key"), ("by_key", "once")):
        classes = [
            dict(cls, name=name, effect=effect, group="all")
            for cls, (name, effect) in zip(
                RAW_SETTINGS["classes"], zip(("put", "bill"), effects, strict=True), strict=False
            )
        ]
        hosts = [await FakeHost(name).listen() for name in "ab"]
        gateway = LoopbackGateway(
            *hosts,
            classes=classes,
            packages=[dict(RAW_SETTINGS["packages"][0], peakUnits=2.0, perSecond=0.001)],
        )
        for host in hosts:
            host.script = lambda command: b"reset"
        client = await gateway.connect_client()
        for name, effect in zip(("put", "bill"), effects, strict=True):
            before = sum(len(host.commands) for host in hosts)
            words = (
                b"00000000000000%02x" % (7 + before),
                b"id-" + name.encode(),
                b"k=key," + TERMS % (name.encode(), 2000),
            )
            client.send_command(b"CALL.POST", *words, b"BODY")
            await client.wait_for_replies(len(client.replies) + 1)
            sent = sum(len(host.commands) for host in hosts) - before
            assert (sent == 1) == (effect == "once"), effect
    # One customer's quota is spent and the other's is not, whatever their order in a segment.
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(
        host, packages=[dict(RAW_SETTINGS["packages"][0], peakUnits=2.0, perSecond=0.001)]
    )
    client = await gateway.connect_client()
    spent, other = [
        hiredis.pack_command((b"CALL.GET", customer, b"id", TERMS % (b"read", 2000)))
        for customer in (b"0000000000000007", b"0000000000000008")
    ]
    client.transport.write(spent * 3 + other + spent + other)
    replies = [str(reply).split()[0] for reply in await client.wait_for_replies(6)]
    assert replies[0] == "b'ok'" and replies[3] == "b'ok'"
    assert replies[2] == replies[4] == "BUSY"


# -- the process


@asyncio_test
async def test_a_thousand_stalled_connections_are_closed_in_time_while_others_are_served(tmp_path):
    """Some send part of a command or of a large body. Descriptors stay within the limit throughout."""
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        process = await gateway.start()
        loop = asyncio.get_running_loop()
        address = gateway.configuration["listen"].split(":")
        address = (address[0], int(address[1]))
        descriptors, replies, stop = [], [], asyncio.Event()
        folder = f"/proc/{process.pid}/fd"

        async def send_requests() -> None:
            """Send requests as another client, whose connection may be evicted between two of them."""
            other_client = await gateway.connect_client()
            while not stop.is_set():
                descriptors.append(len(os.listdir(folder)))
                if other_client.closed:
                    other_client = await gateway.connect_client()
                else:
                    other_client.send_request(request_id=b"n%d" % len(descriptors))
                    await until(lambda client=other_client: client.replies or client.closed)
                    replies.extend(other_client.replies)
                    other_client.replies.clear()

        async def stall(data: bytes) -> float:
            """Connect and stall; return the seconds until the gateway closes the connection."""
            with socket.socket() as sock:
                sock.setblocking(False)
                await loop.sock_connect(sock, address)
                started = loop.time()
                with contextlib.suppress(ConnectionResetError, BrokenPipeError):
                    await loop.sock_sendall(sock, data)
                    while await loop.sock_recv(sock, 65536):
                        pass  # an error line
                return loop.time() - started

        requests_task = asyncio.create_task(send_requests())
        kinds = (b"", b"*1\r\n$4\r\nPI", post(b"x" * 300_000)[:90_000], b"junk\r\n")
        durations = await asyncio.wait_for(asyncio.gather(*(stall(kinds[n % 4]) for n in range(1_000))), 50)
        stop.set()
        await requests_task
        assert len(durations) == 1_000 and max(descriptors) <= gateway.configuration["limits"]["sockets"]
        assert sum(duration > 3.5 for duration in durations) == 0
        kinds = {reply if reply == b"ok" else str(reply).split()[0] for reply in replies}
        # Refused at the connection limit, or beyond the customer's quota of 100 a second.
        assert b"ok" in kinds and kinds <= {b"ok", "BUSY"}
        assert process.returncode is None


@asyncio_test
async def test_shutdown_answers_clients_or_closes_them_without_a_reset(tmp_path):
    """SIGTERM twice, with SIGHUP in between: each connection is closed without a reset, although its client
    sends one more request on seeing the close, and only requests read before reach hosts."""
    host = await FakeHost("a").listen()
    async with GatewayProcesses(tmp_path, host) as gateway:
        process = await gateway.start()
        address = tuple(gateway.configuration["listen"].split(":"))
        address = (address[0], int(address[1]))
        loop = asyncio.get_running_loop()
        loop_holder = type("Loop", (), {"loop": loop})
        idle_clients = [PlainClient(loop_holder, address) for _ in range(12)]
        for number, plain in enumerate(idle_clients):
            plain.send(request(number))
            assert await plain.read(8) == b"$2\r\nok\r\n"
        host.script = lambda command: None
        busy = PlainClient(loop_holder, address)
        busy.send(request(100, b"bill", deadline_ms=3000))
        await until(lambda: len(host.commands) == 13)
        process.send_signal(signal.SIGTERM)

        async def end(plain: PlainClient) -> None:
            assert await plain.read_until_close() == b""
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                plain.send(request(200, b"bill"))  # after the close, so it never reaches a host

        async with asyncio.TaskGroup() as group:
            for plain in idle_clients:
                group.create_task(end(plain))
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        new = PlainClient(loop_holder, address)
        new.send(request(101, b"bill", deadline_ms=3000))
        await until(lambda: len(host.commands) == 14)
        for connection in host.connections:
            connection.transport.write(b"*1\r\n$2\r\nok\r\n")
        assert await busy.read_until_close() == await new.read_until_close() == b"$2\r\nok\r\n"
        busy.sock.close()
        new.sock.close()
        assert await asyncio.wait_for(process.wait(), 10) == 0
        assert sorted(int(command[2][2:]) for command in host.commands) == [*range(12), 100, 101]


@pytest.mark.parametrize("in_pieces", [False, True], ids=["at once", "in pieces"])
@asyncio_test
async def test_all_commands_on_a_surplus_connection_are_answered(in_pieces):
    """Those behind the first one were read and never answered (issue 51)."""
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway)
    gateway.clients.max_connections, client.is_surplus = 0, True
    commands = b"".join(request(number, b"bill") for number in range(5))
    if in_pieces:
        client.data_received(commands[:-10])
        commands = commands[-10:]
    plain.send(commands)
    assert await plain.read_until_close() == b"-BUSY 1000\r\n" * 5
    assert host.commands == []
