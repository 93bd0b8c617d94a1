"""Connections to hosts at rare moments: what comes while nobody looks, what may not go out any more.

Hosts and clients are plain sockets here, so that the loop stands still until a test lets it run."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
import time

import hiredis
import pytest
from conftest import SITE, FakeHost, Rig, asyncio_test, until
from test_gateway import error

from orchidlane import interface as api
from saffrongw.hosts import CONNECTION_COOLDOWN, Stage

ANSWER = b"*1\r\n$5\r\nfresh\r\n"
STALE = b"*1\r\n$5\r\nstale\r\n"


def arrived(fd: int) -> None:
    """The kernel has it: nothing has to run for that but the other end's send."""
    look = select.poll()
    look.register(fd, select.POLLIN | select.POLLRDHUP)
    assert look.poll(5_000)


def reset(sock: socket.socket) -> None:
    """Close with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class PlainHost(FakeHost):
    """A listening socket that does what the test does."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]

    async def accept(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.listener), 5)
        return sock


async def command(sock: socket.socket) -> list[bytes]:
    """The next one that comes whole."""
    reader = hiredis.Reader()
    while (words := reader.gets()) is False:
        data = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65536), 5)
        assert data, "the gateway closed it"
        reader.feed(data)
    return words


LEFT = {
    "an end": lambda sock: sock.close(),
    "a reset": reset,
    "half a line": lambda sock: sock.sendall(b"*1\r\n$5"),
    "a second answer": lambda sock: sock.sendall(STALE),
    "an answer and an end": lambda sock: (sock.sendall(STALE), sock.close()),
}


@pytest.mark.parametrize("kind", ["read", "bill"])
@pytest.mark.parametrize("left", LEFT)
@asyncio_test
async def test_what_waits_unread_on_an_idle_connection_meets_no_request(left, kind):
    """The request comes first and what the host left behind it, both before the loop looks again: it was sent
    on that connection, and lost for nothing, or answered with what belonged to another."""
    host = PlainHost("a")
    rig = Rig(host)
    caller = await rig.caller()
    caller.call(kind, number=b"one")
    first = await host.accept()
    await command(first)
    await rig.loop.sock_sendall(first, ANSWER)
    assert await caller.replied() == [b"fresh"]
    (connection,) = rig.hosts.pools[b"a"].idle
    await until(lambda: rig.loop.time() - connection.idle_since > 2 * CONNECTION_COOLDOWN)
    client = next(iter(rig.clients.open))
    caller.call(kind, number=b"two")  # goes to the kernel at once
    arrived(client.transport.get_extra_info("socket").fileno())
    LEFT[left](first)
    arrived(connection.transport.get_extra_info("socket").fileno())
    second = await host.accept()
    assert (await command(second))[2] == b"two"
    await rig.loop.sock_sendall(second, ANSWER)
    assert await caller.replied(2) == [b"fresh", b"fresh"]
    assert rig.hosts.sockets == 1 and rig.driver.stats["host_stale"] == 1


@asyncio_test
async def test_a_second_answer_that_comes_late_is_not_given_to_the_next_request():
    """The next request came at once and went out on the same connection, where the answer to the one before
    came once more."""
    host = PlainHost("a")
    rig = Rig(host)
    caller = await rig.caller()
    caller.call(number=b"one")
    first = await host.accept()
    await command(first)
    await rig.loop.sock_sendall(first, ANSWER)
    await caller.replied()
    caller.call(number=b"two")
    await until(lambda: rig.hosts.pools[b"a"].waiting)
    await rig.loop.sock_sendall(first, STALE)
    await until(lambda: rig.driver.stats["host_unasked"])
    second = await host.accept()
    assert (await command(second))[2] == b"two"
    await rig.loop.sock_sendall(second, ANSWER)
    assert await caller.replied(2) == [b"fresh", b"fresh"]


@asyncio_test
async def test_nothing_begins_after_the_final_answer():
    """One attempt waits for its connection while another of the same request is served."""
    slow, quick = [await FakeHost(name).listen() for name in "ab"]
    rig = Rig(slow, quick, permissions=SITE["permissions"] | {"cancel": False, "connectTimeout": 5_000_000})
    gate, caller = Gate(rig, slow.port), await rig.caller()
    rig.driver.gateway._choose_server = lambda request: rig.driver.gateway.hosts[b"a"]
    caller.call()
    await until(lambda: rig.hosts.pools[b"a"].waiting)
    (number,) = rig.driver.calls
    rig.driver._carry_out([api.Send(number, b"b", 0, 0)])
    assert await caller.replied() == [b"ok"]
    gate.open()
    await until(lambda: slow.connections and not rig.hosts.pools[b"a"].opening)
    assert rig.driver.stats["attempt_not_connected"] == 1
    caller.call(number=b"id2")  # whatever was to come before it has come
    await caller.replied(2)
    assert [command[2] for command in slow.commands] == [b"id2"]


@asyncio_test
async def test_what_waits_takes_a_connection_that_has_cooled_down_and_only_the_rest_opens_others():
    """A new one for each request that came within the cooldown cost a host a handshake, and a fifth more."""
    host = PlainHost("a")
    rig = Rig(host)
    caller, pool = await rig.caller(), rig.hosts.pools[b"a"]
    caller.call(number=b"one")
    first = await host.accept()
    await command(first)
    gate = Gate(rig, host.port)
    for number in (b"two", b"three"):
        await rig.loop.sock_sendall(first, ANSWER)
        await until(lambda: pool.idle)
        caller.call(number=number)
        assert (await command(first))[2] == number
    assert rig.hosts.sockets == 1 and pool.opening == 0
    await rig.loop.sock_sendall(first, ANSWER)
    await until(lambda: pool.idle)
    for number in (b"four", b"five", b"six"):
        caller.call(number=number)
    await until(lambda: gate.under_way == 2)
    assert (await command(first))[2] == b"four"
    gate.open()
    others = [await host.accept() for _ in range(2)]
    assert {(await command(other))[2] for other in others} == {b"five", b"six"}
    for each in (first, *others):
        await rig.loop.sock_sendall(each, ANSWER)
    assert await caller.replied(6) == [b"fresh"] * 6
    assert len(pool.idle) == rig.hosts.sockets == 3


class Gate:
    """Connections to a port come up once it is open."""

    def __init__(self, rig: Rig, port: int) -> None:
        self.loop, self.port, self.gate = rig.hosts.loop, port, asyncio.Event()
        self.open, self.under_way = self.gate.set, 0
        rig.hosts.loop = self

    async def create_connection(self, factory, host, port):
        self.under_way += 1
        try:
            if port == self.port:
                await self.gate.wait()
            return await self.loop.create_connection(factory, host, port)
        finally:
            self.under_way -= 1

    def __getattr__(self, name):
        return getattr(self.loop, name)


@pytest.mark.parametrize("kind", ["read", "bill"])
@asyncio_test
async def test_a_connection_that_comes_up_as_its_time_runs_out_is_used(kind):
    """The loop stood still from before the time until after it, and then closed the connection without a word
    to anyone: the request on it was never answered, and its socket counted until then."""
    host = await FakeHost("a").listen()
    rig = Rig(host, permissions=SITE["permissions"] | {"connectTimeout": 50_000})
    caller = await rig.caller()
    pool = rig.hosts.pools[b"a"]
    up = pool.up

    def held(connection):
        up(connection)
        time.sleep(0.1)

    pool.up = held
    caller.call(kind)
    assert await caller.replied() == [b"ok"]
    await until(lambda: pool.idle)
    caller.call(kind, number=b"id2")
    assert await caller.replied(2) == [b"ok", b"ok"]
    assert rig.hosts.sockets == len(host.connections)


ENDS = {
    "refused": lambda rig, host, gate: (host.listener.close(), gate.open()),
    "too late": lambda rig, host, gate: None,
    "gone while it opens": lambda rig, host, gate: rig.told(host.line("DELETED")),
    "gone in the turn in which it comes up": lambda rig, host, gate: (
        gate.open(),
        rig.told(host.line("DELETED")),
    ),
    "moved while it opens": lambda rig, host, gate: (rig.told(host.line(dial="127.0.0.1:1")), gate.open()),
    "taken out while it opens": lambda rig, host, gate: (rig.driver.ban(b"a", True), gate.open()),
    "client gone": lambda rig, host, gate: (rig.test_caller.transport.abort(), gate.open()),
}


@pytest.mark.parametrize("end", ENDS)
@asyncio_test
async def test_however_a_connect_ends_it_is_counted_once_and_nothing_goes_to_a_host_that_is_gone(end):
    host = PlainHost("a")
    rig = Rig(host, permissions=SITE["permissions"] | {"maxAttempts": 1, "connectTimeout": 200_000})
    gate = Gate(rig, host.port)
    caller = rig.test_caller = await rig.caller()
    caller.call("bill")
    await until(lambda: rig.hosts.pools[b"a"].waiting)
    assert rig.hosts.sockets == 1
    ENDS[end](rig, host, gate)
    if end != "client gone":
        assert error((await caller.replied())[0]).startswith("BUSY")
    await until(lambda: rig.driver.calls == rig.driver.gateway.requests == rig.driver.gateway.attempts == {})
    if end != "too late":
        await until(lambda: gate.under_way == 0)
    await until(lambda: rig.hosts.sockets == sum(len(pool.idle) for pool in rig.hosts.pools.values()))
    try:
        sock, _ = host.listener.accept()
    except OSError:
        return  # it never came there
    sock.setblocking(False)
    with contextlib.suppress(BlockingIOError, ConnectionResetError):
        assert sock.recv(64) == b""


@pytest.mark.parametrize("early", [b"*1\r\n$2\r\nok\r\n", b"*1\r\n$2\r", b"-ERR failed\r\n", b"+OK\r\n"])
@asyncio_test
async def test_what_comes_before_a_request_is_out_is_not_its_answer(early):
    """A host can't have served what it has not got; since its last byte never leaves, it never runs."""
    host = PlainHost("a")
    host.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    rig = Rig(host, permissions=SITE["permissions"] | {"maxAttempts": 1})
    caller = await rig.caller()
    pool = rig.hosts.pools[b"a"]
    up = pool.up

    def narrow(connection):
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        up(connection)

    pool.up = narrow
    terms = b"c=bill,t=team,d=2000,units=1,spread=2,first=0"
    caller.ask(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    sock = await host.accept()
    await rig.loop.sock_sendall(sock, early)
    assert error((await caller.replied())[0]).startswith("BUSY")
    assert rig.hosts.sockets == 0


@asyncio_test
async def test_a_host_that_says_busy_and_more_may_have_run_it():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    for host in hosts:
        host.script = lambda command: b"-BUSY\r\n*1\r\n$2\r\nok\r\n"
    caller = await Rig(*hosts).caller()
    caller.call("bill")
    assert error((await caller.replied())[0]).startswith("ERR")
    assert sum(len(host.commands) for host in hosts) == 1


@pytest.mark.parametrize("end", ["end", "reset"])
@asyncio_test
async def test_an_answer_cut_at_any_byte_is_none(end):
    """An unsafe request is failed and not sent again; a whole answer counts whatever comes behind it."""
    data = b"*3\r\n$5\r\nfresh\r\n$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n"
    for cut in range(len(data) + 1):
        host = PlainHost("a")
        rig = Rig(host)
        caller = await rig.caller()
        caller.call("bill")
        sock = await host.accept()
        await command(sock)
        await rig.loop.sock_sendall(sock, data[:cut])
        sock.close() if end == "end" else reset(sock)
        (reply,) = await caller.replied()
        if cut == len(data) and end == "end":
            assert reply == b"fresh"
        elif cut < len(data):
            assert error(reply) == "ERR failed"
        assert rig.driver.stats["host_stale"] == 0
        with pytest.raises(BlockingIOError):
            host.listener.accept()
        await until(lambda rig=rig: rig.hosts.sockets == 0)
        caller.transport.close()


@asyncio_test
async def test_no_repeat_goes_out_after_its_window_however_late_its_connection_comes_up():
    """It was decided on within the window and sent when the connection was there."""
    classes = [dict(cls, dedupWindow=300_000) for cls in SITE["classes"]]
    first, second = await FakeHost("a").listen(), await FakeHost("b").listen()
    first.script = lambda command: b"reset"
    rig = Rig(first, classes=classes, permissions=SITE["permissions"] | {"connectTimeout": 2_000_000})
    rig.told(second.line("DRAINING"))
    gate = Gate(rig, second.port)
    caller = await rig.caller()
    ended, feed = [], rig.driver.feed

    def told(event):
        if isinstance(event, api.AttemptEnded):
            ended.append(event)
            if len(ended) == 1:  # before it is decided on: only the other host is left
                feed(api.ServerListed(api.ListKind.CHANGES, 3, entries(rig, first, second)))
        feed(event)

    rig.driver.feed = told
    caller.call("put", wait=3000)
    await until(lambda: rig.hosts.pools[b"b"].waiting)
    sent = rig.loop.time()
    await until(lambda: rig.loop.time() - sent > 0.35)
    gate.open()
    assert error((await caller.replied())[0]) == "ERR failed"
    await until(lambda: second.connections)
    assert (len(first.commands), len(second.commands)) == (1, 0)
    assert [event.outcome for event in ended][:2] == [api.Outcome.BROKEN, api.Outcome.NOT_CONNECTED]


def entries(rig: Rig, gone: FakeHost, ready: FakeHost) -> tuple[api.ServerEntry, ...]:
    from saffrongw.config import parse_hosts

    raw = {"seq": 3, "whole": False, "hosts": [gone.line("DRAINING"), ready.line()]}
    return tuple(host.entry for host in parse_hosts(raw, rig.config.zones).hosts)


@asyncio_test
async def test_no_path_counts_a_connection_twice_and_every_stage_ends():
    """Hosts that refuse, reset, end and answer under many requests: in the end only idle ones are counted."""
    hosts = [await FakeHost(name).listen() for name in "abcd"]
    replies = [b"reset", b"-BUSY\r\n", b"-ERR failed\r\n", ANSWER, ANSWER + STALE, b"$5\r\nodd"]
    for place, host in enumerate(hosts):
        host.script = lambda command, place=place: replies[(int(command[2]) + place) % len(replies)]
    closed = await FakeHost("e").listen()
    closed.server.close()
    rig = Rig(*hosts, closed)
    caller = await rig.caller()
    for number in range(120):
        caller.call(number=b"%d" % number, wait=1500)
    assert len(await caller.replied(120)) == 120
    await until(lambda: not rig.driver.calls)
    await until(lambda: rig.hosts.sockets == sum(len(pool.idle) for pool in rig.hosts.pools.values()))
    for pool in rig.hosts.pools.values():
        assert all(connection.stage is Stage.IDLE for connection in pool.idle) and not pool.waiting
        pool.close_idle(float("inf"))
    assert rig.hosts.sockets == 0
