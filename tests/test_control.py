"""Operators' calls, readiness, and the drain, over loopback sockets."""

from __future__ import annotations

import asyncio
import functools
import socket

import pytest
from conftest import FakeHost, Rig, asyncio_test, until

from saffrongw import drain as drain_module
from saffrongw import listening
from saffrongw.control import CONNECTIONS_MAX, LINE_BYTES_MAX, Control
from saffrongw.drain import DRAIN_NOTICE_DELAY, DRAIN_REFUSE_DELAY


async def controlled(rig: Rig) -> Control:
    """The rig's control, listening; clients are served, too."""
    await rig.clients.listen()
    control = Control(rig.driver, rig.clients)
    await control.listen(("127.0.0.1", 0))
    return control


async def connect(control: Control) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(*control.server.sockets[0].getsockname())


async def call(control: Control, line: bytes, end: bytes = b"\n") -> str:
    """One call; all that came back until the close."""
    reader, writer = await connect(control)
    writer.write(line + end)
    answer = (await asyncio.wait_for(reader.read(), 5)).decode()
    writer.close()
    assert answer.endswith("\n") and answer.count("\n") == 1
    return answer


@asyncio_test
async def test_health_says_yes_once_hosts_are_known_and_clients_are_served():
    host = await FakeHost("a").listen()
    rig = Rig(lines=[{"host": "odd"}])
    control = Control(rig.driver, rig.clients)
    await control.listen(("127.0.0.1", 0))
    assert (await call(control, b"HEALTH")).startswith("error no list of hosts")
    rig.told(host.line())
    assert (await call(control, b"HEALTH")).startswith("error not listening")
    caller = await rig.caller()
    assert (await call(control, b"HEALTH", b"\r\n")).startswith("done")
    caller.ask(b"PING")
    assert await caller.replied() == [b"PONG"]


@pytest.mark.parametrize(
    "line",
    (
        *(b"", b" ", b"health", b"HEALTH now", b"LEAVE 1", b"STOP", b"\xff\x00", b"x" * LINE_BYTES_MAX * 2),
        *(b"OFFLINE", b"OFFLINE ", b"OFFLINE a a", b"ONLINE never", b"OFFLINE \xff", b"OFFLINE  a"),
    ),
)
@asyncio_test
async def test_what_is_no_call_gets_an_error_and_changes_nothing(line):
    rig = Rig(await FakeHost("a").listen())
    control = await controlled(rig)
    assert (await call(control, line)).startswith("error ")
    assert (await call(control, b"HEALTH")).startswith("done")


@asyncio_test
async def test_a_line_without_its_end_is_an_error():
    rig = Rig(await FakeHost("a").listen())
    control = await controlled(rig)
    reader, writer = await connect(control)
    writer.write(b"LEAVE")
    writer.write_eof()
    assert (await asyncio.wait_for(reader.read(), 5)).startswith(b"error ")
    assert (await call(control, b"HEALTH")).startswith("done")
    writer.close()


@asyncio_test
async def test_who_has_been_answered_and_closes_takes_no_place():
    rig = Rig(await FakeHost("a").listen())
    control = await controlled(rig)
    for _ in range(3 * CONNECTIONS_MAX):
        assert (await call(control, b"HEALTH")).startswith("done")
        await until(lambda: not control.callers)
    reader, writer = await connect(control)
    writer.write(b"HEALTH\n")
    writer.write_eof()
    assert await asyncio.wait_for(reader.read(), 5) == b"done ready\n"
    await until(lambda: not control.callers)
    assert not rig.driver.stats["control_evicted"]


@asyncio_test
async def test_a_new_caller_is_answered_beside_any_number_of_silent_ones():
    rig = Rig(await FakeHost("a").listen())
    control = await controlled(rig)
    silent = []
    for _ in range(3 * CONNECTIONS_MAX):
        silent.append(await connect(control))
        silent[-1][1].write(b"HEAL")
    assert (await call(control, b"HEALTH")).startswith("done")
    assert len(control.callers) <= CONNECTIONS_MAX
    assert rig.driver.stats["control_evicted"] >= 2 * CONNECTIONS_MAX
    silent[-1][1].write(b"TH\n")  # one of the latest has its place still
    assert await asyncio.wait_for(silent[-1][0].read(), 5) == b"done ready\n"
    for _, writer in silent:
        writer.close()


@asyncio_test
async def test_what_follows_the_line_does_not_take_the_answer_away():
    rig = Rig(await FakeHost("a").listen())
    control = await controlled(rig)
    assert (await call(control, b"HEALTH\n" + b"x" * 300_000)).startswith("done")


@asyncio_test
async def test_while_the_control_address_is_taken_the_gateway_serves_and_answers_there_later():
    rig = Rig(await FakeHost("a").listen())
    caller = await rig.caller()
    control = Control(rig.driver, rig.clients)
    with socket.create_server(("127.0.0.1", 0)) as taken:
        where = taken.getsockname()
        listen = functools.partial(control.listen, where)
        with pytest.raises(listening.StartupError, match="another process listens there"):
            await listening.listen_when_free("operators", where, listen, retry=False)
        trying = await listening.listen_when_free("operators", where, listen, retry=True)
        caller.call()
        assert await caller.replied() == [b"ok"]
        assert control.server is None
    await trying
    assert (await call(control, b"HEALTH")).startswith("done")


@asyncio_test
async def test_a_drain_says_no_at_once_serves_on_and_closes_between_requests():
    host = await FakeHost("a").listen()
    rig = Rig(host)
    control = await controlled(rig)
    asking, idle, busy = [await rig.caller() for _ in range(3)]
    for caller in (asking, idle):
        caller.call()
        await caller.replied()
    host.script = lambda command: None
    busy.call(wait=10_000, number=b"held")
    await until(lambda: len(host.commands) == 3)
    began = rig.loop.time()
    assert await call(control, b"LEAVE") == await call(control, b"LEAVE") == "done draining\n"
    asking.ask(b"PING")
    assert str((await asking.replied(2))[1]).startswith("ERR")
    assert (await call(control, b"HEALTH")).startswith("error draining")
    late = await rig.caller()  # until the front has seen the no
    host.script = lambda command: b"*1\r\n$2\r\nok\r\n"
    late.call()
    idle.call()
    assert await late.replied() == (await idle.replied(2))[1:] == [b"ok"]
    assert not (idle.closed or late.closed)
    while not (asking.closed and idle.closed and late.closed):
        if not asking.closed:
            asking.ask(b"PING")  # who only asks is told to go as well
        await asyncio.sleep(0.05)
    assert DRAIN_NOTICE_DELAY <= rig.loop.time() - began < 3
    assert not busy.closed
    host.connections[0].transport.write(b"*1\r\n$4\r\nlast\r\n")
    for connection in host.connections[1:]:
        connection.transport.write(b"*1\r\n$4\r\nlast\r\n")
    assert await busy.replied() == [b"last"]
    await until(lambda: busy.closed)
    assert await call(control, b"JOIN") == await call(control, b"JOIN") == "done joined\n"
    back = await rig.caller()
    back.ask(b"PING")
    assert await back.replied() == [b"PONG"]
    back.call()
    assert (await back.replied(2))[1] == b"ok"
    await asyncio.sleep(DRAIN_REFUSE_DELAY + 0.3)
    assert not back.closed


@asyncio_test
async def test_a_drain_undone_half_way_closes_nothing_more():
    rig = Rig(await FakeHost("a").listen())
    control = await controlled(rig)
    caller = await rig.caller()
    await call(control, b"LEAVE")
    await call(control, b"JOIN")
    await asyncio.sleep(DRAIN_NOTICE_DELAY + 0.3)
    caller.call()
    assert await caller.replied() == [b"ok"]
    assert not caller.closed


@asyncio_test
async def test_who_is_late_with_a_request_during_a_drain_does_not_keep_the_connection(monkeypatch):
    monkeypatch.setattr(drain_module, "DRAIN_REFUSE_DELAY", DRAIN_NOTICE_DELAY + 0.1)
    host = await FakeHost("a").listen()
    rig = Rig(host)
    control = await controlled(rig)
    caller = await rig.caller()
    caller.transport.write(b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000000000000007\r\n$2\r\nid\r\n")
    await call(control, b"LEAVE")
    await asyncio.sleep(DRAIN_NOTICE_DELAY + 0.3)
    assert not caller.closed
    terms = b"c=read,t=team,d=2000,units=1,spread=2,first=0"
    caller.transport.write(b"$%d\r\n%b\r\n" % (len(terms), terms))
    assert str((await caller.replied())[0]) == "BUSY"  # harmless to send again: it has not run
    await until(lambda: caller.closed)
    assert host.commands == []


@asyncio_test
async def test_the_end_comes_as_usual_during_a_drain_and_cannot_be_undone():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    rig = Rig(host)
    control = await controlled(rig)
    caller = await rig.caller()
    caller.call(wait=10_000)
    await until(lambda: host.commands)
    await call(control, b"LEAVE")
    ending = asyncio.create_task(rig.clients.drain.shut_down(0.1))
    await asyncio.sleep(0.3)
    assert (await call(control, b"JOIN")).startswith("error ending")
    assert (await call(control, b"HEALTH")).startswith("error ending")
    assert not ending.done()
    host.connections[0].transport.write(b"*1\r\n$4\r\nlast\r\n")
    assert await caller.replied() == [b"last"]
    await ending
