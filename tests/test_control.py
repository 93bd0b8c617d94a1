"""Control calls, readiness and the drain, over loopback sockets."""

from __future__ import annotations

import asyncio
import functools
import socket

import pytest
from conftest import FakeHost, LoopbackGateway, asyncio_test, until

from saffrongw import drain as drain_module
from saffrongw import listeners
from saffrongw.control import CONNECTIONS_MAX, LINE_BYTES_MAX, Control
from saffrongw.drain import DRAIN_NOTICE_DELAY, DRAIN_REFUSE_DELAY


async def start_control(gateway: LoopbackGateway) -> Control:
    """Start the control listener and the client listener of a gateway."""
    await gateway.clients.listen()
    control = Control(gateway.driver, gateway.clients)
    await control.listen(("127.0.0.1", 0))
    return control


async def connect(control: Control) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(*control.server.sockets[0].getsockname())


async def send_control_call(control: Control, line: bytes, end: bytes = b"\n") -> str:
    """Send one call; return all that was received until the connection closed."""
    reader, writer = await connect(control)
    writer.write(line + end)
    answer = (await asyncio.wait_for(reader.read(), 5)).decode()
    writer.close()
    assert answer.endswith("\n") and answer.count("\n") == 1
    return answer


@asyncio_test
async def test_health_is_ready_once_hosts_are_listed_and_clients_are_served():
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(entries=[{"host": "malformed"}])
    control = Control(gateway.driver, gateway.clients)
    await control.listen(("127.0.0.1", 0))
    assert (await send_control_call(control, b"HEALTH")).startswith("error no list of hosts")
    gateway.apply_host_list(host.list_entry())
    assert (await send_control_call(control, b"HEALTH")).startswith("error not listening")
    client = await gateway.connect_client()
    assert (await send_control_call(control, b"HEALTH", b"\r\n")).startswith("done")
    client.send_command(b"PING")
    assert await client.wait_for_replies() == [b"PONG"]


@pytest.mark.parametrize(
    "line",
    (
        *(b"", b" ", b"health", b"HEALTH now", b"LEAVE 1", b"STOP", b"\xff\x00", b"x" * LINE_BYTES_MAX * 2),
        *(b"OFFLINE", b"OFFLINE ", b"OFFLINE a a", b"ONLINE never", b"OFFLINE \xff", b"OFFLINE  a"),
    ),
)
@asyncio_test
async def test_an_invalid_call_gets_an_error_and_has_no_effect(line):
    gateway = LoopbackGateway(await FakeHost("a").listen())
    control = await start_control(gateway)
    assert (await send_control_call(control, line)).startswith("error ")
    assert (await send_control_call(control, b"HEALTH")).startswith("done")


@asyncio_test
async def test_a_line_without_newline_is_an_error():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    control = await start_control(gateway)
    reader, writer = await connect(control)
    writer.write(b"LEAVE")
    writer.write_eof()
    assert (await asyncio.wait_for(reader.read(), 5)).startswith(b"error ")
    assert (await send_control_call(control, b"HEALTH")).startswith("done")
    writer.close()


@asyncio_test
async def test_answered_callers_that_close_do_not_count_against_the_limit():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    control = await start_control(gateway)
    for _ in range(3 * CONNECTIONS_MAX):
        assert (await send_control_call(control, b"HEALTH")).startswith("done")
        await until(lambda: not control.connections)
    reader, writer = await connect(control)
    writer.write(b"HEALTH\n")
    writer.write_eof()
    assert await asyncio.wait_for(reader.read(), 5) == b"done ready\n"
    await until(lambda: not control.connections)
    assert not gateway.driver.stats["control_evicted"]


@asyncio_test
async def test_a_new_caller_is_answered_despite_any_number_of_silent_ones():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    control = await start_control(gateway)
    silent_callers = []
    for _ in range(3 * CONNECTIONS_MAX):
        silent_callers.append(await connect(control))
        silent_callers[-1][1].write(b"HEAL")
    assert (await send_control_call(control, b"HEALTH")).startswith("done")
    assert len(control.connections) <= CONNECTIONS_MAX
    assert gateway.driver.stats["control_evicted"] >= 2 * CONNECTIONS_MAX
    silent_callers[-1][1].write(b"TH\n")  # the newest silent callers were not evicted
    assert await asyncio.wait_for(silent_callers[-1][0].read(), 5) == b"done ready\n"
    for _, writer in silent_callers:
        writer.close()


@asyncio_test
async def test_data_after_the_line_does_not_reset_the_answer():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    control = await start_control(gateway)
    assert (await send_control_call(control, b"HEALTH\n" + b"x" * 300_000)).startswith("done")


@asyncio_test
async def test_the_gateway_serves_while_its_control_address_is_in_use_and_listens_there_later():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    client = await gateway.connect_client()
    control = Control(gateway.driver, gateway.clients)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        listen = functools.partial(control.listen, address)
        with pytest.raises(listeners.StartupError, match="another process listens there"):
            await listeners.listen_when_free("operators", address, listen, retry=False)
        retry_task = await listeners.listen_when_free("operators", address, listen, retry=True)
        client.send_request()
        assert await client.wait_for_replies() == [b"ok"]
        assert control.server is None
    await retry_task
    assert (await send_control_call(control, b"HEALTH")).startswith("done")


@asyncio_test
async def test_a_drain_reports_not_ready_at_once_goes_on_serving_and_closes_idle_connections():
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    control = await start_control(gateway)
    polling, idle, with_open_request = [await gateway.connect_client() for _ in range(3)]
    for client in (polling, idle):
        client.send_request()
        await client.wait_for_replies()
    host.script = lambda command: None
    with_open_request.send_request(deadline_ms=10_000, request_id=b"held")
    await until(lambda: len(host.commands) == 3)
    started = gateway.loop.time()
    assert (
        await send_control_call(control, b"LEAVE")
        == await send_control_call(control, b"LEAVE")
        == "done draining\n"
    )
    polling.send_command(b"PING")
    assert str((await polling.wait_for_replies(2))[1]).startswith("ERR")
    assert (await send_control_call(control, b"HEALTH")).startswith("error draining")
    # Accepted until the load balancer in front has seen the drain.
    late_client = await gateway.connect_client()
    host.script = lambda command: b"*1\r\n$2\r\nok\r\n"
    late_client.send_request()
    idle.send_request()
    assert await late_client.wait_for_replies() == (await idle.wait_for_replies(2))[1:] == [b"ok"]
    assert not (idle.closed or late_client.closed)
    while not (polling.closed and idle.closed and late_client.closed):
        if not polling.closed:
            polling.send_command(b"PING")  # PING alone does not keep a connection open
        await asyncio.sleep(0.05)
    assert DRAIN_NOTICE_DELAY <= gateway.loop.time() - started < 3
    assert not with_open_request.closed
    host.connections[0].transport.write(b"*1\r\n$4\r\nlast\r\n")
    for connection in host.connections[1:]:
        connection.transport.write(b"*1\r\n$4\r\nlast\r\n")
    assert await with_open_request.wait_for_replies() == [b"last"]
    await until(lambda: with_open_request.closed)
    assert (
        await send_control_call(control, b"JOIN")
        == await send_control_call(control, b"JOIN")
        == "done joined\n"
    )
    after_join = await gateway.connect_client()
    after_join.send_command(b"PING")
    assert await after_join.wait_for_replies() == [b"PONG"]
    after_join.send_request()
    assert (await after_join.wait_for_replies(2))[1] == b"ok"
    await asyncio.sleep(DRAIN_REFUSE_DELAY + 0.3)
    assert not after_join.closed


@asyncio_test
async def test_a_cancelled_drain_closes_no_more_connections():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    control = await start_control(gateway)
    client = await gateway.connect_client()
    await send_control_call(control, b"LEAVE")
    await send_control_call(control, b"JOIN")
    await asyncio.sleep(DRAIN_NOTICE_DELAY + 0.3)  # the drain would have closed this idle connection
    client.send_request()
    assert await client.wait_for_replies() == [b"ok"]
    assert not client.closed


@asyncio_test
async def test_a_request_completed_late_in_a_drain_is_refused_and_its_connection_closed(monkeypatch):
    monkeypatch.setattr(drain_module, "DRAIN_REFUSE_DELAY", DRAIN_NOTICE_DELAY + 0.1)
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    control = await start_control(gateway)
    client = await gateway.connect_client()
    client.transport.write(b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000000000000007\r\n$2\r\nid\r\n")
    await send_control_call(control, b"LEAVE")
    await asyncio.sleep(DRAIN_NOTICE_DELAY + 0.3)
    assert not client.closed
    terms = b"c=read,t=team,d=2000,units=1,spread=2,first=0"
    client.transport.write(b"$%d\r\n%b\r\n" % (len(terms), terms))
    assert str((await client.wait_for_replies())[0]) == "BUSY"  # safe to repeat: it was not executed
    await until(lambda: client.closed)
    assert host.commands == []


@asyncio_test
async def test_shutdown_during_a_drain_proceeds_as_usual_and_cannot_be_cancelled():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    gateway = LoopbackGateway(host)
    control = await start_control(gateway)
    client = await gateway.connect_client()
    client.send_request(deadline_ms=10_000)
    await until(lambda: host.commands)
    await send_control_call(control, b"LEAVE")
    shutdown = asyncio.create_task(gateway.clients.drain.shut_down(0.1))
    await asyncio.sleep(0.3)
    assert (await send_control_call(control, b"JOIN")).startswith("error ending")
    assert (await send_control_call(control, b"HEALTH")).startswith("error ending")
    assert not shutdown.done()
    host.connections[0].transport.write(b"*1\r\n$4\r\nlast\r\n")
    assert await client.wait_for_replies() == [b"last"]
    await shutdown
