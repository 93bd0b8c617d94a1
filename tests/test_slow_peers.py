"""Clients that read slowly and hosts that take a body slowly, but without a pause, and those that stop.

Most of what is written lies in the kernel, which the process's own write buffer does not show.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket

import pytest
from conftest import RAW_SETTINGS, FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until
from test_client_ends import PlainClient, connect, request
from test_host_links import PlainHost, receive_command
from test_large import TERMS, answer, post

from ops import http
from orchidlane import interface as api
from saffrongw import client as client_module
from saffrongw import client_output, config
from saffrongw import drain as drain_module
from saffrongw.client import COMMAND_TIMEOUT, LINGER_TIMEOUT, Stage
from saffrongw.driver import ACKNOWLEDGEMENT_DELAY
from saffrongw.hosts import CONNECTION_COOLDOWN

VALUE = random.Random(7).randbytes(4_000_000)
REPLY = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
STALL_TIMEOUT = COMMAND_TIMEOUT + 0.6  # seconds: the shortest that the sweep can measure
SLOW_PIECE, PIECE_INTERVAL = 2_000, 0.05  # bytes, seconds: 40 KB a second
CLIENT_BUFFER = 16 * 1024


async def read_slowly(plain: PlainClient, seconds: float) -> bytes:
    """Read for some time without a pause, or until the connection ends."""
    received, ends = b"", plain.loop.time() + seconds
    while plain.loop.time() < ends:
        try:
            piece = await asyncio.wait_for(plain.loop.sock_recv(plain.sock, SLOW_PIECE), 10)
        except ConnectionResetError:
            break
        if not piece:
            break
        received += piece
        await asyncio.sleep(PIECE_INTERVAL)
    return received


async def slow_reader(gateway: LoopbackGateway, host: FakeHost) -> tuple[PlainClient, client_module.Client]:
    """Return a client to which a large value is on its way."""
    host.script = lambda command: answer(VALUE)
    plain, client = await connect(gateway, receive_buffer=CLIENT_BUFFER)
    plain.send(request(1, deadline_ms=3_000))
    await until(lambda: client.output.stalled_since)
    return plain, client


@asyncio_test
async def test_a_client_that_reads_slowly_is_kept_while_only_the_kernel_sends(monkeypatch):
    """It was cut off: while the kernel sent its megabytes, the process's own buffer stood still."""
    monkeypatch.setattr(client_output, "WRITE_STALL_TIMEOUT", STALL_TIMEOUT)
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    plain, _ = await slow_reader(gateway, host)
    received = await read_slowly(plain, 2 * STALL_TIMEOUT)
    assert not gateway.driver.stats["client_unread"]
    received += await plain.read(len(REPLY) - len(received))
    assert received == REPLY


@asyncio_test
async def test_a_client_that_stops_reading_is_let_go(monkeypatch):
    monkeypatch.setattr(client_output, "WRITE_STALL_TIMEOUT", STALL_TIMEOUT)
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    plain, _ = await slow_reader(gateway, host)
    await read_slowly(plain, 0.5)
    stopped_at = gateway.loop.time()
    await until(lambda: not gateway.clients.open)
    assert STALL_TIMEOUT - 0.5 < gateway.loop.time() - stopped_at < STALL_TIMEOUT + 2
    assert gateway.driver.stats["client_unread"] == 1 and not gateway.hosts.connection_count
    plain.sock.close()


@pytest.mark.parametrize("end", ["drain", "error"])
@asyncio_test
async def test_a_half_closed_connection_is_kept_until_the_kernel_has_delivered_all(end):
    """It was closed after a second, and a request of the client then reset it and destroyed the rest."""
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 60_000)
    gateway = LoopbackGateway(host)
    plain, client = await connect(gateway, receive_buffer=CLIENT_BUFFER)
    plain.send(request(1))
    await until(lambda: host.commands and not gateway.driver.calls)
    if end == "drain":
        client.waiting_since = 0.0
        gateway.clients.drain._close_idle()
    else:
        plain.send(b"junk\r\n")
    await until(lambda: client.stage is Stage.HALF_CLOSED)
    assert not client.transport.get_write_buffer_size() and client.output.undelivered_bytes()
    received = await read_slowly(plain, LINGER_TIMEOUT / 2)
    await asyncio.sleep(LINGER_TIMEOUT)  # reads nothing in the second in which it was closed
    plain.send(request(2))
    await asyncio.sleep(0.1)
    received += await plain.read_until_close()
    assert received.startswith(b"$60000\r\n" + b"v" * 60_000 + b"\r\n")
    await until(lambda: not gateway.clients.half_closed)
    assert len(host.commands) == 1


@asyncio_test
async def test_a_half_closed_connection_whose_client_stops_is_let_go(monkeypatch):
    monkeypatch.setattr(client_output, "WRITE_STALL_TIMEOUT", STALL_TIMEOUT)
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 60_000)
    gateway = LoopbackGateway(host)
    plain, _ = await connect(gateway, receive_buffer=CLIENT_BUFFER)
    plain.send(request(1) + b"junk\r\n")
    await until(lambda: gateway.clients.half_closed)
    began = gateway.loop.time()
    await until(lambda: not gateway.clients.half_closed)
    assert gateway.loop.time() - began < STALL_TIMEOUT + 2
    plain.sock.close()


@asyncio_test
async def test_a_shutdown_waits_for_a_client_that_reads_slowly(monkeypatch):
    """It ended at a fixed time after the last deadline, and cut off who was reading."""
    monkeypatch.setattr(client_output, "WRITE_STALL_TIMEOUT", STALL_TIMEOUT)
    monkeypatch.setattr(drain_module, "WRITE_STALL_TIMEOUT", 0.5)
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    plain, _ = await slow_reader(gateway, host)
    shutdown = asyncio.create_task(gateway.clients.drain.shut_down(0.1))
    received = await read_slowly(plain, 3.0)
    assert not shutdown.done()
    received += await plain.read_until_close()
    assert received == REPLY
    plain.sock.close()
    await asyncio.wait_for(shutdown, 10)
    assert gateway.clients.is_finished


@asyncio_test
async def test_a_shutdown_does_not_wait_for_a_client_that_stops_or_trickles(monkeypatch):
    monkeypatch.setattr(drain_module, "WRITE_STALL_TIMEOUT", 0.5)
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    plain, client = await slow_reader(gateway, host)
    client.check_timeouts = lambda cutoff: None  # as for one that reads some bytes now and then
    shutdown = asyncio.create_task(gateway.clients.drain.shut_down(0.1))
    while not shutdown.done():
        with contextlib.suppress(BlockingIOError):
            plain.sock.recv(100)
        await asyncio.sleep(PIECE_INTERVAL)
    assert not gateway.clients.is_finished
    plain.sock.close()


@pytest.mark.parametrize("ends_by", ["upgrade", "SIGTERM"])
@asyncio_test
async def test_a_slow_reader_gets_its_value_from_a_process_that_ends(tmp_path, ends_by):
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(VALUE)
    async with GatewayProcesses(tmp_path, host) as gateway:
        old = await gateway.start()
        loop_holder = type("Loop", (), {"loop": asyncio.get_running_loop()})
        address = config.address(gateway.configuration["listen"])
        plain = PlainClient(loop_holder, address, receive_buffer=CLIENT_BUFFER)
        plain.send(request(1, deadline_ms=1_000))
        received = await read_slowly(plain, 1.0)
        if ends_by == "upgrade":
            await gateway.start()
        old.send_signal(signal.SIGTERM)
        received += await read_slowly(plain, 13.0)  # the last deadline, 10 s and what SIGTERM grants
        assert old.returncode is None
        received += await plain.read_until_close()
        assert received == REPLY
        plain.sock.close()
        assert await asyncio.wait_for(old.wait(), 10) == 0


# -- input that was not read


@pytest.mark.parametrize("size", [1_000_000, 30_000])
@asyncio_test
async def test_time_in_which_a_client_was_not_read_does_not_count_against_it(size):
    """A body was judged too slow while the gateway did not read it, as answers waited for the client."""
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 200_000 if command[0] == b"CALL.GET" else b"done")
    gateway = LoopbackGateway(host)
    free = gateway.clients.upload_memory.free
    plain, client = await connect(gateway, receive_buffer=4096)
    client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    data = post(b"x" * size)
    plain.send(request(1) + data[:10_000])
    await until(lambda: client.reading_paused and not client.slots)
    await asyncio.sleep(COMMAND_TIMEOUT + 1.0)
    received = await plain.read(200_000 + len(b"$200000\r\n\r\n"))
    for at in range(10_000, len(data), len(data) // 10):
        await asyncio.sleep(0.1)
        await gateway.loop.sock_sendall(plain.sock, data[at : at + len(data) // 10])
    assert received.startswith(b"$200000") and await plain.read(10) == b"$4\r\ndone\r\n"
    assert gateway.clients.upload_memory.free == free


# -- hosts that take a body slowly


async def order_in_the_kernel(gateway: LoopbackGateway, host: PlainHost, body: bytes, terms: bytes = TERMS):
    """Return a client whose order has left the process for a host that has read nothing of it."""
    client = await gateway.connect_client()
    client.transport.write(post(body, terms=terms))
    sock = await host.accept()
    await until(lambda: gateway.driver.calls and all(c.attempts for c in gateway.driver.calls.values()))
    (call,) = gateway.driver.calls.values()
    await until(lambda: call.attempts[-1].fully_sent)
    assert not gateway.hosts.is_delivered(call.attempts[-1])
    return client, call, sock


async def receive_all(sock: socket.socket) -> bytes:
    """Read until the connection ends, by a reset or otherwise."""
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while piece := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65536), 10):
            received += piece
    return received


def slow_host() -> PlainHost:
    host = PlainHost("a")
    host.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    return host


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("given_up_by", ["client", "deadline"])
@asyncio_test
async def test_an_order_that_is_given_up_does_not_reach_its_host_from_the_kernel(given_up_by, may_cancel):
    """The kernel went on sending it after the close, and the host ran it for a client that had gone."""
    host = slow_host()
    gateway = LoopbackGateway(host, permissions=RAW_SETTINGS["permissions"] | {"cancel": may_cancel})
    body = b"x" * 300_000
    terms = TERMS if given_up_by == "client" else TERMS.replace(b"d=9000", b"d=500")
    client, _call, sock = await order_in_the_kernel(gateway, host, body, terms)
    if given_up_by == "client":
        client.transport.abort()
        await until(lambda: not gateway.clients.open)
        await until(lambda: not gateway.hosts.connection_count, 0.5)
    await until(lambda: not gateway.hosts.connection_count)
    received = await receive_all(sock)
    assert len(received) < len(post(body))
    sock.close()


@asyncio_test
async def test_an_order_that_its_host_has_received_goes_on_where_cancelling_is_not_permitted():
    """A host's kernel acknowledges what it has received some 40 ms later."""
    host = PlainHost("a")
    gateway = LoopbackGateway(host, permissions=RAW_SETTINGS["permissions"] | {"cancel": False})
    client = await gateway.connect_client()
    client.send_request("bill")
    sock = await host.accept()
    for answered in range(1, 6):  # from the second one on, the kernel acknowledges late
        await receive_command(sock)
        await gateway.loop.sock_sendall(sock, b"*1\r\n$2\r\nok\r\n")
        await client.wait_for_replies(answered)
        await asyncio.sleep(2 * CONNECTION_COOLDOWN)
        client.send_request("bill")
    await receive_command(sock)
    client.transport.abort()
    await until(lambda: not gateway.clients.open)
    await asyncio.sleep(2 * ACKNOWLEDGEMENT_DELAY / 1e6)
    assert gateway.hosts.connection_count == 1
    sock.close()


@asyncio_test
async def test_a_retry_is_given_up_if_its_host_has_not_received_it_within_the_window():
    """Only the process's own buffer was looked at: the host got the last byte seconds after the window."""
    host = slow_host()
    gateway = LoopbackGateway(host)
    body = b"x" * 300_000
    client, call, sock = await order_in_the_kernel(gateway, host, body)
    (attempt,) = call.attempts
    gateway.driver._withdraw(attempt)  # as when the window of an earlier attempt ends
    assert attempt.outcome is api.Outcome.BROKEN
    assert len(await receive_all(sock)) < len(post(body))
    sock.close()
    client.transport.abort()


@pytest.mark.parametrize(
    ("early", "reply"),
    [
        (b"*1\r\n$2\r\nok\r\n", "ERR failed"),
        (b"*1\r\n$2\r", "ERR failed"),
        (b"-ERR failed\r\n", "ERR failed"),
        (answer(b"v" * 100_000), "ERR failed"),
        (b"-BUSY\r\n", "BUSY"),
    ],
    ids=["answer", "part of one", "error", "large answer", "busy"],
)
@asyncio_test
async def test_input_before_the_kernel_has_delivered_an_order_is_not_its_response(early, reply):
    """A host's second answer to the request before was passed on as that of a body it had not received."""
    host = slow_host()
    gateway = LoopbackGateway(host, permissions=RAW_SETTINGS["permissions"] | {"maxAttempts": 1})
    client, _call, sock = await order_in_the_kernel(gateway, host, b"x" * 300_000)
    await gateway.loop.sock_sendall(sock, early)
    (received,) = await client.wait_for_replies()
    assert str(received).startswith(reply)
    await until(lambda: not gateway.hosts.connection_count)
    assert len(await receive_all(sock)) < 300_000
    sock.close()


@asyncio_test
async def test_a_response_is_accepted_as_soon_as_its_host_has_received_the_order():
    host = slow_host()
    gateway = LoopbackGateway(host)
    client, _call, sock = await order_in_the_kernel(gateway, host, b"x" * 300_000)
    received = b""
    while not received.endswith(b"x\r\n"):
        received += await asyncio.wait_for(gateway.loop.sock_recv(sock, 65536), 10)
    await gateway.loop.sock_sendall(sock, b"*1\r\n$2\r\nok\r\n")
    assert await client.wait_for_replies() == [b"ok"]
    assert gateway.hosts.connection_count == 1
    sock.close()


# -- HTTP


@asyncio_test
async def test_a_slow_reader_of_a_long_response_is_kept_and_one_that_stops_is_let_go():
    """The metrics address and the list service cut off who had not read everything in 10 s."""
    body = random.Random(8).randbytes(4_000_000)
    server = http.Server(lambda connection, request: connection.respond(body), 4, write_timeout=1.0)
    await server.listen(("127.0.0.1", 0))
    holder = type("Loop", (), {"loop": asyncio.get_running_loop()})
    address = server.server.sockets[0].getsockname()
    plain, stopped = (PlainClient(holder, address, receive_buffer=CLIENT_BUFFER) for _ in range(2))
    for reader in (plain, stopped):
        reader.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    received = await read_slowly(plain, 4.0)
    await until(lambda: len(server.connections) == 1)
    assert server.counts["cut_unread"] == 1
    while not received.endswith(body[-100:]):
        received += await plain.read(1)
        received += plain.sock.recv(1 << 20)
    assert received.endswith(body)
    plain.sock.close()
    stopped.sock.close()
    await server.shut_down(1.0)
