"""Ends of client connections at their rare moments: ours under bytes on their way, theirs while nobody reads.

Clients are plain sockets here, so that the loop stands still until a test lets it run."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from collections.abc import Callable

import hiredis
import pytest
from conftest import SITE, FakeHost, Rig, Service, asyncio_test, until
from test_host_links import Gate, arrived, reset
from test_large import answer, post

from orchidlane import interface as api
from saffrongw import client as client_module
from saffrongw import drain as drain_module
from saffrongw.client import COMMAND_TIMEOUT, COMMANDS_PER_TURN, SURPLUS_CONNECTIONS_MAX, Client, Stage
from saffrongw.hosts import CONNECTION_COOLDOWN

PING = hiredis.pack_command((b"PING",))
TERMS = b"c=%b,t=team,d=%d,units=1,spread=2,first=0"


def request(number: int = 1, kind: bytes = b"read", wait: int = 2000) -> bytes:
    words = (b"0000000000000007", b"id%d" % number, TERMS % (kind, wait))
    if kind == b"read":
        return hiredis.pack_command((b"CALL.GET", *words))
    return hiredis.pack_command((b"CALL.POST", *words, b"BODY"))


class Plain:
    """A client's socket."""

    def __init__(self, rig: Rig, address: tuple[str, int], room: int = 0) -> None:
        self.loop = rig.loop
        self.sock = socket.socket()
        if room:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        self.sock.connect(address)
        self.send = self.sock.sendall  # at once, to the kernel
        self.sock.setblocking(False)

    async def read(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            piece = await asyncio.wait_for(self.loop.sock_recv(self.sock, size - len(data)), 10)
            assert piece, f"ended after {data!r}"
            data += piece
        return data

    async def rest(self) -> bytes:
        """What comes up to the end; a reset is none, and raises."""
        data = b""
        while piece := await asyncio.wait_for(self.loop.sock_recv(self.sock, 65536), 10):
            data += piece
        return data


async def connected(rig: Rig, room: int = 0) -> tuple[Plain, Client]:
    """A client's socket and what the gateway makes of it."""
    if rig.clients.server is None:
        await rig.clients.listen()
    before = set(rig.clients.open)
    plain = Plain(rig, rig.clients.server.sockets[0].getsockname(), room)
    await until(lambda: set(rig.clients.open) - before)
    return plain, (set(rig.clients.open) - before).pop()


def fileno(client: Client) -> int:
    return client.transport.get_extra_info("socket").fileno()


def crossed(client: Client, plain: Plain, data: bytes) -> None:
    """These bytes come in the very moment in which the gateway ends the connection, after its look."""
    half_close = client.half_close

    def end() -> None:
        if client.stage is not Stage.HALF_CLOSED:
            plain.send(data)
            if data:
                arrived(fileno(client))
        half_close()

    client.half_close = end


async def by_drain(rig: Rig, plain: Plain, client: Client) -> bytes:
    client.waits_since = 0.0
    rig.clients.drain._close_between()
    return b""


async def by_eviction(rig: Rig, plain: Plain, client: Client) -> bytes:
    rig.clients.most = len(rig.clients.open)
    await connected(rig)
    return b""


async def by_overdue(rig: Rig, plain: Plain, client: Client) -> bytes:
    client.waits_since = rig.loop.time() - COMMAND_TIMEOUT - 1
    return b""


async def by_error(rig: Rig, plain: Plain, client: Client) -> bytes:
    plain.send(b"junk\r\n")
    return b"-ERR not a RESP2 value\r\n"


async def by_leaving(rig: Rig, plain: Plain, client: Client) -> bytes:
    client.waits_since = 0.0
    rig.clients.drain._close_without_request()
    return b""


async def by_crowd(rig: Rig, plain: Plain, client: Client) -> bytes:
    rig.clients.most, client.surplus = 0, True
    plain.send(request())
    return b"-BUSY 1000\r\n"


ENDS = (by_drain, by_eviction, by_overdue, by_error, by_leaving, by_crowd)
CROSSING = {
    "nothing": b"",
    "a request": request(7, b"bill"),
    "half a request": request(7)[:20],
    "a part of a large body": post(b"x" * 300_000)[:100_000],
    "many requests": request(7) * 200,
}


@pytest.mark.parametrize("crossing", CROSSING)
@pytest.mark.parametrize("end", ENDS)
@asyncio_test
async def test_bytes_that_cross_the_end_are_read_away_and_what_was_sent_before_arrives(end, crossing):
    """They reset the connection, which took the answer before them along; or were sent on after the end."""
    host = await FakeHost("a").listen()
    rig = Rig(host)
    plain, client = await connected(rig)
    plain.send(request())
    assert await plain.read(len(b"$2\r\nok\r\n")) == b"$2\r\nok\r\n"
    crossed(client, plain, CROSSING[crossing])
    last = await end(rig, plain, client)
    assert await plain.rest() == last
    assert client.stage is Stage.HALF_CLOSED and client in rig.clients.shut and client not in rig.clients.open
    for _ in range(3):  # whoever goes on is not reset either, while we linger
        with contextlib.suppress(BlockingIOError):
            plain.sock.send(request(8, b"bill"))
        await asyncio.sleep(0)
    plain.sock.shutdown(socket.SHUT_WR)
    await until(lambda: client not in rig.clients.shut)
    assert [command[2] for command in host.commands] == [b"id1"]
    assert rig.driver.calls == {}


@asyncio_test
async def test_a_drain_does_not_end_over_commands_that_came_in_one_piece_with_the_last():
    """The first was answered at once, the connection closed, and the next one sent on all the same."""
    host = await FakeHost("a").listen()
    rig = Rig(host)
    plain, client = await connected(rig)
    rig.clients.drain.closes = True
    client.waits_since = 0.0
    plain.send(PING + request(1) + PING)
    assert await plain.rest() == b"+PONG\r\n$2\r\nok\r\n+PONG\r\n"
    assert len(host.commands) == 1


@asyncio_test
async def test_a_half_closed_connection_is_cut_in_the_end_and_those_are_bounded(monkeypatch):
    monkeypatch.setattr(client_module, "LINGER_TIMEOUT", 0.3)
    rig = Rig(await FakeHost("a").listen())
    held = [await connected(rig) for _ in range(4)]
    rig.clients.most = 4
    for _ in range(3 * SURPLUS_CONNECTIONS_MAX):
        held.append(await connected(rig))
        assert len(rig.clients.open) + len(rig.clients.shut) <= rig.clients.most + SURPLUS_CONNECTIONS_MAX + 1
    assert rig.driver.stats["client_evicted"] == 3 * SURPLUS_CONNECTIONS_MAX
    await until(lambda: not rig.clients.shut)
    assert len(rig.clients.open) == 4


@asyncio_test
async def test_connections_that_wait_to_be_accepted_when_the_listener_closes_are_served():
    """They were reset with it, and their requests with them."""
    rig = Rig(await FakeHost("a").listen())
    await rig.clients.listen()
    where = rig.clients.server.sockets[0].getsockname()
    late = [Plain(rig, where) for _ in range(5)]
    for plain in late:
        plain.send(request())
    rig.clients.stop_accepting()  # in the same turn: nobody has accepted them
    for plain in late:
        assert await plain.read(8) == b"$2\r\nok\r\n"
    with pytest.raises(ConnectionRefusedError):
        Plain(rig, where)
    assert not rig.clients.accepting


@asyncio_test
async def test_a_drain_waits_for_what_a_transport_has_still_to_send(monkeypatch):
    """The process ended once the last answer was handed to the loop, which held most of it."""
    monkeypatch.setattr(drain_module, "SHUTDOWN_REFUSE_DELAY", 0.0)
    monkeypatch.setattr(drain_module, "SHUTDOWN_COMMAND_TIMEOUT", 0.0)
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 60_000)
    rig = Rig(host)
    plain, client = await connected(rig, room=4096)
    sock = client.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    count = 5
    plain.send(b"".join(request(number) for number in range(count)))
    await until(lambda: len(host.commands) == count and not rig.driver.calls)
    drain = asyncio.create_task(rig.clients.drain.shut_down(0.0))
    await until(lambda: client.stage is Stage.HALF_CLOSED)
    assert client.transport.get_write_buffer_size() and not drain.done()
    assert await plain.rest() == (b"$60000\r\n" + b"v" * 60_000 + b"\r\n") * count
    plain.sock.close()
    await asyncio.wait_for(drain, 10)
    assert rig.clients.is_over


@asyncio_test
async def test_a_drain_ends_however_long_clients_go_on_sending(monkeypatch):
    """A connection that always had a request open was never closed: it was served up to SIGKILL."""
    monkeypatch.setattr(drain_module, "SHUTDOWN_REFUSE_DELAY", 0.2)
    host = await FakeHost("a").listen()
    out = []
    host.script = lambda command: out.append(host.sender)
    rig = Rig(host)
    caller = await rig.caller()
    caller.call(number=b"0")
    await until(lambda: len(host.commands) == 1)
    drain = asyncio.create_task(rig.clients.drain.shut_down(0.0))
    asked, stats = 1, rig.driver.stats
    while True:  # the next one comes before the last is answered
        caller.call(number=b"%d" % asked)
        asked += 1
        await until(lambda asked=asked: len(host.commands) == asked or stats["refused_leaving"])
        if stats["refused_leaving"]:
            break
        out.pop(0).transport.write(b"*1\r\n$2\r\nok\r\n")
        await until(lambda asked=asked: len(caller.replies) >= asked - 1)
    (last,) = out
    last.transport.write(b"*1\r\n$2\r\nok\r\n")
    await asyncio.wait_for(drain, 10)
    assert caller.closed and caller.replies[:-1] == [b"ok"] * (asked - 1)
    assert str(caller.replies[-1]) == "BUSY"


@asyncio_test
async def test_a_drain_ends_though_a_client_reads_ever_so_slowly(monkeypatch):
    monkeypatch.setattr(drain_module, "SHUTDOWN_REFUSE_DELAY", 0.0)
    monkeypatch.setattr(drain_module, "WRITE_STALL_TIMEOUT", 0.5)
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(b"v" * 60_000)
    rig = Rig(host)
    plain, client = await connected(rig, room=4096)
    client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    plain.send(b"".join(request(number) for number in range(4)))
    await until(lambda: len(host.commands) == 4 and not rig.driver.calls)
    client.look = lambda before: None  # it takes a byte now and then: never stuck for long
    await asyncio.wait_for(rig.clients.drain.shut_down(0.0), 10)
    assert not rig.clients.is_over


# -- a client that leaves while nothing is read from it


async def pipeline_full(rig: Rig, host: FakeHost, plain: Plain) -> Gate:
    gate = Gate(rig, host.port)
    plain.send(b"".join(request(number, b"bill") for number in range(1, 25)))
    await until(lambda: len(rig.driver.calls) == 16 and next(iter(rig.clients.open)).held)
    return gate


async def no_room(rig: Rig, host: FakeHost, plain: Plain) -> Gate:
    gate = Gate(rig, host.port)
    rig.clients.room.free = 0
    plain.send(request(1, b"bill") + post(b"x" * 200_000)[:150_000])
    await until(lambda: rig.clients.room.waiting and rig.driver.calls)
    return gate


async def answers_unread(rig: Rig, host: FakeHost, plain: Plain) -> Gate:
    """Behind a large answer that the client does not read; that one has a connection already."""
    plain.send(request(0))
    await plain.read(8)
    (idle,) = rig.hosts.pools[b"a"].idle
    await until(lambda: rig.loop.time() - idle.idle_since > 2 * CONNECTION_COOLDOWN)
    gate = Gate(rig, host.port)
    host.script = lambda command: answer(b"v" * 4_000_000) if command[2] == b"id0" else answer(b"ok")
    plain.send(request(0) + request(1, b"bill"))
    await until(lambda: next(iter(rig.clients.open)).held and rig.hosts.pools[b"a"].waiting)
    return gate


async def for_a_connection(rig: Rig, host: FakeHost, plain: Plain) -> Gate:
    gate = Gate(rig, host.port)
    plain.send(request(1, b"bill"))
    await until(lambda: rig.hosts.pools[b"a"].waiting)
    return gate


class Listing:
    """The host is listed once this is open."""

    def __init__(self, rig: Rig, host: FakeHost) -> None:
        self.open = lambda: rig.told(host.line())


async def for_a_host(rig: Rig, host: FakeHost, plain: Plain) -> Listing:
    rig.told(host.line("DRAINING"))
    plain.send(request(1, b"bill"))
    await until(lambda: rig.driver.calls)
    return Listing(rig, host)


class Thaw:
    """The state is not handed over after all."""

    def __init__(self, rig: Rig) -> None:
        self.open = rig.driver.thaw


async def in_a_frozen_driver(rig: Rig, host: FakeHost, plain: Plain) -> Thaw:
    rig.driver.freeze()
    plain.send(request(1, b"bill"))
    await until(lambda: rig.driver.calls)
    return Thaw(rig)


WAITS = (pipeline_full, no_room, answers_unread, for_a_connection, for_a_host, in_a_frozen_driver)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("leave", [socket.socket.close, reset])
@pytest.mark.parametrize("wait", WAITS)
@asyncio_test
async def test_nothing_is_sent_for_a_client_that_has_gone(wait, leave, may_cancel, monkeypatch):
    """Wherever its request waits: who was not read from was not seen to go."""
    monkeypatch.setattr(client_module, "PIPELINE_MAX", 16)
    host = await FakeHost("a").listen()
    permissions = SITE["permissions"] | {"cancel": may_cancel, "connectTimeout": 5_000_000}
    rig = Rig(host, permissions=permissions, sockets=256)
    plain, _ = await connected(rig, room=4096)
    opens = await wait(rig, host, plain)
    asked = rig.loop.time()
    leave(plain.sock)
    await until(lambda: not rig.driver.calls, within=20)
    assert rig.loop.time() - asked < 1.5  # not its deadline, which is 2 s
    stats = rig.driver.stats
    assert stats["client_gone_waiting"] > 0 and stats["client_gone_sent_late"] == 0
    opens.open()
    other, _ = await connected(rig)
    other.send(request(99, b"bill"))  # whatever was to come before it has come
    assert await other.read(8) == b"$2\r\nok\r\n"
    assert {command[2] for command in host.commands} - {b"id0"} == {b"id99"}
    gateway = rig.driver.gateway
    await until(lambda: gateway.requests == gateway.attempts == {})
    assert [host.open_attempts for host in gateway.hosts.values()] == [0]


async def decided(rig: Rig, plain: Plain) -> Callable[[], None]:
    """A request that waits for a host is sent to one, on a connection that is there."""
    (idle,) = rig.hosts.pools[b"a"].idle
    await until(lambda: rig.loop.time() - idle.idle_since > 2 * CONNECTION_COOLDOWN)
    rig.told(rig.line | {"health": "DRAINING"})
    plain.send(request(1, b"bill"))
    await until(lambda: rig.driver.calls)
    (number,) = rig.driver.calls

    def go_on() -> None:
        rig.told(rig.line)
        rig.driver.feed(api.TimerFired(number + 1))

    return go_on


async def rested(rig: Rig, plain: Plain) -> Callable[[], None]:
    """A request that waits for a connection gets the one that has rested by now."""
    pool = rig.hosts.pools[b"a"]
    Gate(rig, pool.address[1])
    plain.send(request(1, b"bill"))
    await until(lambda: pool.waiting)
    pool.idle[0].idle_since -= CONNECTION_COOLDOWN
    return pool._serve


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
@pytest.mark.parametrize("wait", [decided, rested])
@asyncio_test
async def test_nothing_is_sent_for_a_client_whose_end_the_loop_has_not_come_to_see(wait, leave):
    """Its turn to be sent comes before that of the socket, in which the client's end waits."""
    host = await FakeHost("a").listen()
    rig = Rig(host)
    rig.line = host.line()
    plain, client = await connected(rig)
    plain.send(request(0, b"bill"))
    assert await plain.read(8) == b"$2\r\nok\r\n"
    go_on = await wait(rig, plain)
    leave(plain.sock)
    arrived(fileno(client))
    go_on()
    assert not rig.driver.calls or all(call.finished for call in rig.driver.calls.values())
    other, _ = await connected(rig)
    other.send(request(99, b"bill"))
    assert await other.read(8) == b"$2\r\nok\r\n"
    assert [command[2] for command in host.commands] == [b"id0", b"id99"]
    assert rig.driver.stats["client_gone"] == 1
    gateway = rig.driver.gateway
    await until(lambda: gateway.requests == gateway.attempts == {})
    assert [known.open_attempts for known in gateway.hosts.values()] == [0]


@pytest.mark.parametrize("pings", [COMMANDS_PER_TURN, 2 * COMMANDS_PER_TURN])
@pytest.mark.parametrize("leave", [socket.socket.close, reset])
@asyncio_test
async def test_what_a_client_sent_in_one_piece_before_it_left_is_not_carried_out_after(leave, pings):
    """A piece is read in turns; between two of them the connection may have ended under what is left."""
    host = await FakeHost("a").listen()
    rig, faults = Rig(host), []
    rig.loop.set_exception_handler(lambda loop, context: faults.append(context))
    plain, client = await connected(rig)
    plain.send(PING * pings + b"".join(request(number, b"bill") for number in range(1, 9)))
    leave(plain.sock)
    await until(lambda: client not in rig.clients.open)
    other, _ = await connected(rig)
    other.send(request(99, b"bill"))
    assert await other.read(8) == b"$2\r\nok\r\n"
    assert [command[2] for command in host.commands] == [b"id99"]
    assert rig.driver.stats["requests"] == 1
    assert rig.driver.calls == {} == rig.driver.gateway.requests
    assert faults == []


# -- neighbours


@asyncio_test
async def test_who_floods_with_commands_waits_for_its_neighbours():
    """A piece of thousands of commands was carried out to its end before anyone else was read from."""
    rig = Rig(await FakeHost("a").listen())
    flood, flooding = await connected(rig)
    calm, waiting = await connected(rig)
    order: list[Client] = []
    for client in (flooding, waiting):
        client.write = lambda data, client=client: (order.append(client), client.transport.write(data))
    flood.send(PING * 4_000)
    calm.send(PING)
    arrived(fileno(waiting))  # both are there before the loop looks
    assert await calm.read(7) == b"+PONG\r\n"
    assert order.index(waiting) <= 200  # of 4,000
    assert await flood.read(7 * 4_000) == b"+PONG\r\n" * 4_000


@asyncio_test
async def test_each_request_goes_by_the_settings_of_its_own_class_customer_and_deployment():
    """Two deployments in one process with the same names, two customers on one connection."""
    for effects in (("once", "by_key"), ("by_key", "once")):
        classes = [
            dict(cls, name=name, effect=effect, group="all")
            for cls, (name, effect) in zip(
                SITE["classes"], zip(("put", "bill"), effects, strict=True), strict=False
            )
        ]
        hosts = [await FakeHost(name).listen() for name in "ab"]
        rig = Rig(
            *hosts, classes=classes, packages=[dict(SITE["packages"][0], peakUnits=2.0, perSecond=0.001)]
        )
        for host in hosts:
            host.script = lambda command: b"reset"
        caller = await rig.caller()
        for name, effect in zip(("put", "bill"), effects, strict=True):
            before = sum(len(host.commands) for host in hosts)
            words = (b"00000000000000%02x" % (7 + before), b"id", b"k=key," + TERMS % (name.encode(), 2000))
            caller.ask(b"CALL.POST", *words, b"BODY")
            await caller.replied(len(caller.replies) + 1)
            sent = sum(len(host.commands) for host in hosts) - before
            assert (sent == 1) == (effect == "once"), effect
    # The quota of one is spent, the other's is not, whichever comes first in a piece.
    host = await FakeHost("a").listen()
    rig = Rig(host, packages=[dict(SITE["packages"][0], peakUnits=2.0, perSecond=0.001)])
    caller = await rig.caller()
    spent, other = [
        hiredis.pack_command((b"CALL.GET", who, b"id", TERMS % (b"read", 2000)))
        for who in (b"0000000000000007", b"0000000000000008")
    ]
    caller.transport.write(spent * 3 + other + spent + other)
    replies = [str(reply).split()[0] for reply in await caller.replied(6)]
    assert replies[0] == "b'ok'" and replies[3] == "b'ok'"
    assert replies[2] == replies[4] == "BUSY"


# -- the process


@asyncio_test
async def test_a_thousand_that_connect_and_rest_are_closed_in_time_and_neighbours_are_served(tmp_path):
    """Some send part of a command, or much of a large one. Descriptors stay within the limit all the time."""
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        process = await service.start()
        loop = asyncio.get_running_loop()
        where = service.text["listen"].split(":")
        where = (where[0], int(where[1]))
        descriptors, replies, over = [], [], asyncio.Event()
        folder = f"/proc/{process.pid}/fd"

        async def ask() -> None:
            """A neighbour, whose connection may be closed between two requests to make room."""
            neighbour = await service.caller()
            while not over.is_set():
                descriptors.append(len(os.listdir(folder)))
                if neighbour.closed:
                    neighbour = await service.caller()
                else:
                    neighbour.call(number=b"n%d" % len(descriptors))
                    await until(lambda who=neighbour: who.replies or who.closed)
                    replies.extend(neighbour.replies)
                    neighbour.replies.clear()

        async def rest(words: bytes) -> float:
            """Connect, and see the end: seconds from the one to the other."""
            with socket.socket() as sock:
                sock.setblocking(False)
                await loop.sock_connect(sock, where)
                began = loop.time()
                with contextlib.suppress(ConnectionResetError, BrokenPipeError):
                    await loop.sock_sendall(sock, words)
                    while await loop.sock_recv(sock, 65536):
                        pass  # an error line
                return loop.time() - began

        asking = asyncio.create_task(ask())
        kinds = (b"", b"*1\r\n$4\r\nPI", post(b"x" * 300_000)[:90_000], b"junk\r\n")
        took = await asyncio.wait_for(asyncio.gather(*(rest(kinds[n % 4]) for n in range(1_000))), 50)
        over.set()
        await asking
        assert len(took) == 1_000 and max(descriptors) <= service.text["limits"]["sockets"]
        assert sum(span > 3.5 for span in took) == 0
        kinds = {reply if reply == b"ok" else str(reply).split()[0] for reply in replies}
        assert b"ok" in kinds and kinds <= {b"ok", "BUSY"}  # crowded, or its quota: 100 a second
        assert process.returncode is None


@asyncio_test
async def test_resting_and_new_clients_of_a_process_that_ends_are_answered_or_see_a_clean_end(tmp_path):
    """SIGTERM, twice, with SIGHUP in between: each connection ends without a reset, though its client sends
    one more request in the moment in which it sees the end, and only what was read before is sent on."""
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        process = await service.start()
        where = tuple(service.text["listen"].split(":"))
        where = (where[0], int(where[1]))
        loop = asyncio.get_running_loop()
        rig = type("Loop", (), {"loop": loop})
        resting = [Plain(rig, where) for _ in range(12)]
        for number, plain in enumerate(resting):
            plain.send(request(number))
            assert await plain.read(8) == b"$2\r\nok\r\n"
        host.script = lambda command: None
        busy = Plain(rig, where)
        busy.send(request(100, b"bill", wait=3000))
        await until(lambda: len(host.commands) == 13)
        process.send_signal(signal.SIGTERM)

        async def end(plain: Plain) -> None:
            assert await plain.rest() == b""
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                plain.send(request(200, b"bill"))  # crosses nothing any more: it is never sent on

        async with asyncio.TaskGroup() as group:
            for plain in resting:
                group.create_task(end(plain))
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        new = Plain(rig, where)
        new.send(request(101, b"bill", wait=3000))
        await until(lambda: len(host.commands) == 14)
        for connection in host.connections:
            connection.transport.write(b"*1\r\n$2\r\nok\r\n")
        assert await busy.rest() == await new.rest() == b"$2\r\nok\r\n"
        busy.sock.close()
        new.sock.close()
        assert await asyncio.wait_for(process.wait(), 10) == 0
        assert sorted(int(command[2][2:]) for command in host.commands) == [*range(12), 100, 101]
