"""One process takes over from another: real processes, with hosts and clients of the test's own."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import math
import signal
import socket

import hiredis
import pytest
from conftest import SECOND, SITE, Bench, FakeHost, Service, asyncio_test, entry, listed, of, until
from test_news import Agent

from orchidlane import handover
from orchidlane import interface as api
from orchidlane.rules import SERVER_RETRY_INTERVAL, Gateway

OK = b"*1\r\n$2\r\nok\r\n"
FEW = {"packages": [SITE["packages"][0] | {"perSecond": 0.001, "peakUnits": 40.0}]}  # a quota hardly refilled


def path(service: Service):
    return service.folder / "saffrongw-{}-{}.sock".format(*service.text["listen"].split(":"))


async def ask(service: Service, number: bytes = b"id1"):
    """One request on a connection of its own."""
    caller = await service.caller()
    caller.call(number=number)
    reply = (await caller.replied())[0]
    caller.transport.close()
    return reply


@asyncio_test
async def test_the_next_process_takes_over_under_load_and_nothing_is_refused_or_reset(tmp_path):
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        old = await service.start()
        replies, over = [], asyncio.Event()

        async def load(number: int) -> None:
            while not over.is_set():
                replies.append(await ask(service, b"load%d" % number))

        tasks = [asyncio.create_task(load(number)) for number in range(4)]
        before = service.control
        await service.start()
        assert (await service.say(b"HEALTH", before)).startswith(("error handed over", "nobody"))
        assert await asyncio.wait_for(old.wait(), 10) == 0  # it ends by itself
        seen = len(replies)
        await until(lambda: len(replies) > seen + 20)
        over.set()
        await asyncio.gather(*tasks)
        # Refusals for the quota (100 a second) are answers, too: nothing else is among them.
        kinds = {
            str(reply).split()[0] if isinstance(reply, hiredis.ReplyError) else reply for reply in replies
        }
        assert kinds <= {b"ok", "BUSY"} and b"ok" in kinds


@asyncio_test
async def test_what_was_spent_stays_spent_over_two_upgrades(tmp_path):
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host, **FEW) as service:
        # One of two gateways, alone: until another is heard it may spend half of the burst, 20 units.
        await service.start()
        served = 0
        for turn in range(3):
            if turn:
                await service.start()
            for number in range(8):
                served += await ask(service, b"%d-%d" % (turn, number)) == b"ok"
        for number in range(40):
            served += await ask(service, b"rest%d" % number) == b"ok"
    fresh = Bench(servers=1, gateways=2, plans=(api.Plan(0.001, 40.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),))
    alone = 0
    for number in range(64):
        alone += len(sent := of(fresh.ask(number + 1, size=2), api.Send))
        if sent:
            fresh.outcome(number + 1, sent[0].server, api.Outcome.SERVED)
        fresh.run(10_000)
    assert served <= alone < 3 * 8 + 40


@asyncio_test
async def test_the_old_process_finishes_what_it_holds_and_relays_what_it_had_read_in_part(tmp_path):
    hosts = [await FakeHost(name).listen() for name in "ab"]
    for host in hosts:
        host.script = lambda command: None
    async with Service(tmp_path, *hosts) as service:
        old = await service.start(patient=True)
        holder, half, idle = [await service.caller() for _ in range(3)]
        holder.call("put", wait=10_000, number=b"held")
        await until(lambda: any(host.commands for host in hosts))
        words = (b"CALL.GET", b"0000000000000007", b"half", b"c=read,t=team,d=9000,units=1,spread=2,first=0")
        whole = hiredis.pack_command(words)
        half.transport.write(whole[:40])
        await asyncio.sleep(0.1)
        await service.start()
        await until(lambda: idle.closed)
        assert not holder.closed
        half.transport.write(whole[40:])
        await until(
            lambda: sorted(command[2] for host in hosts for command in host.commands) == [b"half", b"held"]
        )
        for connection in hosts[0].connections + hosts[1].connections:
            connection.transport.write(OK)
        assert await holder.replied() == await half.replied() == [b"ok"]
        assert await asyncio.wait_for(old.wait(), 10) == 0
        assert holder.closed and half.closed


@asyncio_test
async def test_an_old_process_that_hangs_is_not_waited_for(tmp_path):
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        old = await service.start()
        old.send_signal(signal.SIGSTOP)
        async with asyncio.timeout(8):
            await service.start()


@asyncio_test
async def test_a_socket_that_nobody_serves_any_more_is_replaced(tmp_path):
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        old = await service.start()
        old.kill()
        await old.wait()
        assert path(service).exists()
        middle = await service.start()
        assert await ask(service) == b"ok"
        await service.start()
        assert await asyncio.wait_for(middle.wait(), 10) == 0
        assert await ask(service) == b"ok"


def call(service: Service, version=1) -> socket.socket:
    """A next process's first call."""
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(5)
    sock.connect(str(path(service)))
    host, port = service.text["listen"].split(":")
    sock.sendall(json.dumps({"version": version, "listen": [host, int(port)]}).encode() + b"\n")
    return sock


def receive(sock: socket.socket, until: bytes) -> bytes:
    data = b""
    while until not in data and (more := sock.recv(65536)):
        data += more
    return data


@pytest.mark.parametrize("last", [b"", b"{}\n", b"\xff\n", b'{"serving": 1', b"[" * 100_000 + b"\n", None])
@asyncio_test
async def test_the_old_process_serves_on_if_the_next_one_does_not_say_that_it_serves(tmp_path, last):
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        old = await service.start()
        kept = await service.caller()
        sock = await asyncio.to_thread(call, service)
        word, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 2)
        assert word == b"\0" and len(descriptors) == 2
        sock.sendall(b'{"take": true}\n')
        assert b'{"end": true}' in await asyncio.to_thread(receive, sock, b'{"end": true}')
        kept.call()  # nobody decides on it now
        await asyncio.sleep(0.05)
        assert kept.replies == []
        if last is not None:  # else it hangs
            sock.sendall(last)
            sock.close()
        assert await kept.replied() == [b"ok"]
        assert (await service.say(b"HEALTH")).startswith("done")
        assert old.returncode is None
        for number in descriptors:
            socket.close(number)
        sock.close()
        await service.start()  # and hands over to the one that comes then
        assert await asyncio.wait_for(old.wait(), 10) == 0


@asyncio_test
async def test_a_word_that_comes_in_the_last_moment_counts(tmp_path):
    """It was written before the link was shut: then the next one serves, and only that one."""
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        old = await service.start()
        sock = await asyncio.to_thread(call, service)
        _, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 2)
        sock.sendall(b'{"take": true}\n')
        await asyncio.to_thread(receive, sock, b'{"end": true}')
        old.send_signal(signal.SIGSTOP)
        sock.sendall(b'{"serving": true}\n')
        await asyncio.sleep(2)  # its time for the word runs out before it can read it
        old.send_signal(signal.SIGCONT)
        assert await asyncio.wait_for(old.wait(), 10) == 0
        for number in descriptors:
            socket.close(number)
        sock.close()


@pytest.mark.parametrize("word", [b"", b'{"serving": true}\n'])
@asyncio_test
async def test_sigterm_while_nobody_decides_loses_nothing(tmp_path, word):
    """Whether the next process takes over after it or not: what is held is answered, then the end comes."""
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        old = await service.start()
        kept = await service.caller()
        sock = await asyncio.to_thread(call, service)
        _, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 2)
        sock.sendall(b'{"take": true}\n')
        await asyncio.to_thread(receive, sock, b'{"end": true}')
        kept.call(wait=9000)
        old.send_signal(signal.SIGTERM)
        if word:
            sock.sendall(word)
            relayed = await asyncio.to_thread(receive, sock, b'"arrived"')
            number = json.loads(next(line for line in relayed.splitlines() if b"arrived" in line))["arrived"]
            sock.sendall(json.dumps({"answer": number, "reply": "$2\r\nok\r\n"}).encode() + b"\n")
        assert await kept.replied() == [b"ok"]
        await until(lambda: kept.closed)
        assert await asyncio.wait_for(old.wait(), 10) == 0
        for number in descriptors:
            socket.close(number)
        sock.close()


@asyncio_test
async def test_sigterm_before_a_process_is_ready_ends_it(tmp_path):
    """It waits for the process before it, which has taken the call and never answers."""
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        with socket.socket(socket.AF_UNIX) as predecessor:
            predecessor.bind(str(path(service)))
            predecessor.listen()
            predecessor.settimeout(20)
            process = await service.start(ready=False)
            called, _ = await asyncio.to_thread(predecessor.accept)
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 10) == 0
            called.close()


@asyncio_test
async def test_nothing_is_sent_for_a_client_that_left_while_its_request_waited_at_the_next_process(tmp_path):
    """Read by the old process, held by the next one as no host is listed there; then the host is back."""
    hosts = [await FakeHost(name).listen() for name in "ab"]
    serving = {"seq": 5, "whole": True, "hosts": [host.line() for host in hosts]}
    draining = {"seq": 6, "whole": True, "hosts": [host.line("DRAINING") for host in hosts]}
    loop = asyncio.get_running_loop()
    agents = [Agent([serving]), Agent([draining])]
    servers = [await loop.create_server(lambda agent=agent: agent, "127.0.0.1", 0) for agent in agents]
    where = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    async with Service(tmp_path, *hosts, discovery=where[0]) as service:
        await service.start(patient=True)
        former = service.control
        holder, half = await service.caller(), await service.caller()
        for host in hosts:
            host.script = lambda command: None if command[2] == b"held" else OK
        holder.call("put", wait=20_000, number=b"held")  # the old process stays
        await until(lambda: hosts[0].commands or hosts[1].commands)
        words = (b"CALL.GET", b"0000000000000007", b"half", b"c=read,t=team,d=9000,units=1,spread=2,first=0")
        whole = hiredis.pack_command(words)
        half.transport.write(whole[:40])
        service.text["discovery"] = where[1]
        await service.start(ready=False)
        await until(lambda: len(agents[1].asked) >= 2, within=20)
        while not (await service.say(b"HEALTH")).startswith("done"):
            await asyncio.sleep(0.02)
        half.transport.write(whole[40:])
        for where in (former, service.control):  # each of them has its turn after what came before
            await service.say(b"HEALTH", where)
        half.transport.close()
        for where in (former, service.control):
            await service.say(b"HEALTH", where)
        agents[1].transport.write(answered(serving | {"seq": 7}))
        ends = loop.time() + 10 * SERVER_RETRY_INTERVAL / 1e6  # a held request looks for a host so often
        while loop.time() < ends:
            assert await ask(service, b"other") == b"ok"
        assert {command[2] for host in hosts for command in host.commands} == {b"held", b"other"}


def answered(listed: dict) -> bytes:
    body = json.dumps(listed).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@asyncio_test
async def test_what_is_read_after_the_next_process_has_died_is_refused_at_once(tmp_path):
    """It was passed on to nobody, and failed when its time was up."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    async with Service(tmp_path, host) as service:
        await service.start(patient=True)
        holder, half = await service.caller(), await service.caller()
        holder.call("put", wait=9_000, number=b"held")  # keeps the old process
        await until(lambda: host.commands)
        words = (b"CALL.GET", b"0000000000000007", b"half", b"c=read,t=team,d=9000,units=1,spread=2,first=0")
        whole = hiredis.pack_command(words)
        half.transport.write(whole[:40])
        former = service.control
        new = await service.start()
        new.kill()
        await new.wait()
        await service.say(b"HEALTH", former)  # by its answer the old process has seen that end
        half.transport.write(whole[40:])
        assert str((await half.replied())[0]) == "BUSY"
        host.connections[0].transport.write(OK)
        assert await holder.replied() == [b"ok"]


@asyncio_test
async def test_another_version_is_told_no_and_nothing_is_handed_over(tmp_path):
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        await service.start()
        sock = await asyncio.to_thread(call, service, 2)
        word, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 2)
        assert (word, descriptors) == (b"", [])
        sock.close()
        assert await ask(service) == b"ok"


@pytest.mark.parametrize(
    "state", [b"", b"{}\n", b'{"state": {}, "hosts": [], "clock": 1}\n{"end": true}\n', b"NaN\n"]
)
@asyncio_test
async def test_the_next_process_starts_alone_where_the_state_makes_no_sense(tmp_path, state):
    host = await FakeHost("a").listen()
    async with Service(tmp_path, host) as service:
        listener = socket.create_server(("127.0.0.1", 0))
        with socket.socket(socket.AF_UNIX) as seat:
            seat.bind(str(path(service)))
            seat.listen()
            seat.settimeout(20)

            def predecessor() -> None:
                with seat.accept()[0] as sock:
                    sock.settimeout(5)
                    receive(sock, b"\n")
                    socket.send_fds(sock, [b"\0"], [listener.fileno()])
                    receive(sock, b"take")
                    sock.sendall(state)

            thread = asyncio.create_task(asyncio.to_thread(predecessor))
            async with asyncio.timeout(10):
                await service.start()
            await thread
        listener.close()
        assert await ask(service) == b"ok"


# -- the state, without sockets ---------------------------------------------------------------------------


def copied(bench: Bench, change=lambda state, rows: None) -> Gateway:
    """A gateway that goes on in its place, by way of JSON."""
    text = json.dumps([handover.head(bench.gateway), list(handover.accounts(bench.gateway))])
    state, rows = json.loads(text)
    change(state, rows)
    gateway = Gateway(bench.settings, 99, bench.now)
    gateway.start()
    gateway.handle(bench.now, listed(*(host.entry for host in bench.gateway.hosts.values())))
    handover.read(gateway, state, rows).load(gateway)
    return gateway


def test_counts_limits_ceilings_and_marks_are_the_same_after_it():
    bench = Bench()
    for number in range(1, 30):
        sent = of(bench.ask(number, customer=number % 5, plan=number % 3), api.Send)
        bench.run(30_000)
        if sent and number % 4:
            bench.outcome(number, sent[0].server, api.Outcome.SERVED, took=40_000 * number)
    gateway = copied(bench)
    assert len(gateway.accounts) == 5
    for customer, account in bench.gateway.accounts.items():
        assert gateway.accounts[customer] == dataclasses.replace(account, open_attempts=0)
    for server, host in bench.gateway.hosts.items():
        # Connections stay with the process that opened them.
        assert dataclasses.replace(host, open_attempts=0, open_connections=0) == gateway.hosts[server]
    assert (
        gateway.usual_times == bench.gateway.usual_times
        and gateway.pending_gossip == bench.gateway.pending_gossip
    )
    assert handover.head(gateway) == handover.head(bench.gateway)


def test_what_the_old_process_has_out_counts_and_ends_as_any_other():
    bench = Bench()
    bench.ask(1, plan=1)
    bench.ask(2, plan=1)
    gateway = copied(bench)
    for event in (events := handover.out(bench.gateway)):
        arrived = dataclasses.replace(event.arrived, request=-event.arrived.request)
        assert gateway.handle(bench.now, dataclasses.replace(event, arrived=arrived)) == []
    assert len(events) == 2
    assert (
        gateway.accounts[7].open_attempts == 2 == sum(host.open_attempts for host in gateway.hosts.values())
    )
    refused = gateway.handle(bench.now, api.RequestArrived(9, 7, 1, 0, 1.0, 2 * SECOND, 0, 3, False))
    assert of(refused, api.Refuse)  # its plan lets two be out
    gateway.handle(
        bench.now, api.AttemptEnded(-1, 0, events[0].server, api.Outcome.SERVED, 9, True, 0, 0.0, ())
    )
    assert gateway.accounts[7].open_attempts == 1
    again = gateway.handle(bench.now, api.RequestArrived(10, 7, 1, 0, 1.0, 2 * SECOND, 0, 3, False))
    assert of(again, api.Send)


def test_a_cold_server_stays_cold():
    bench = Bench(servers=0)
    bench.feed(listed(entry(1), entry(2, launched=bench.now - SECOND)))
    gateway = copied(bench)
    assert [host.entry.server for host in gateway.cold.hosts] == [entry(2).server]


@pytest.mark.parametrize(
    "change",
    [
        lambda state, rows: state.pop("usual"),
        lambda state, rows: state.update(shape=[1, 3, 4, 5]),
        lambda state, rows: state.update(met=[1, 2]),
        lambda state, rows: state["budget"].append(math.inf),
        lambda state, rows: rows.append([1]),
        lambda state, rows: rows.append(rows[0]),
        lambda state, rows: rows[0].__setitem__(1, 99),
        lambda state, rows: rows[0].__setitem__(7, [[99, 1, 1.0]]),
        lambda state, rows: rows[0].__setitem__(8, [2]),
    ],
)
def test_a_state_that_makes_no_sense_is_refused_whole(change):
    bench = Bench()
    bench.ask(1)
    with pytest.raises(ValueError, match="usable"):
        copied(bench, change)
