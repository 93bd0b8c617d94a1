"""The watch on discovery at its rare moments: in virtual time over random events, and on sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time

import pytest
from conftest import FakeHost, asyncio_test, until
from test_news import ZONES, Agent

from saffrongw import discovery
from saffrongw.discovery import LONG_POLL_WAIT, STALENESS_LIMIT, Exchange, Watch

HEAD = b"HTTP/1.1 200 OK\r\n"


def whole(version: int) -> bytes:
    host = FakeHost("a")
    host.port = 7
    return json.dumps({"seq": version, "whole": True, "hosts": [host.line()]}).encode()


def answer(body: bytes, status: bytes = b"200 OK", more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, more, len(body), body)


class Timer:
    def __init__(self, when: float, call) -> None:
        self.when, self.call, self.pending = when, call, True

    def cancel(self) -> None:
        self.pending = False


class Task:
    def cancel(self) -> None:
        """What it was doing may have come about all the same: the tests let it."""


class Wire:
    """An exchange's transport: what was asked."""

    def __init__(self, world: World) -> None:
        self.world, self.asked, self.aborted = world, [], False

    def write(self, data: bytes) -> None:
        self.asked.append(data.split()[1].decode())
        self.world.asked.append((self.world.now, self))

    def abort(self) -> None:
        self.aborted = True


class World:
    """A loop with a clock of its own, and every exchange that the watch ever opened."""

    def __init__(self, seed: int = 1, **changes) -> None:
        self.now, self.timers, self.asked, self.told = 100.0, [], [], []
        self.opened: list[Exchange] = []
        self.ended: set[Exchange] = set()
        self.watch = Watch(
            self, ("host", 1), ZONES, self.told.append, random_fraction=random.Random(seed).random, **changes
        )

    # -- what a watch needs of a loop

    def time(self) -> float:
        return self.now

    def call_later(self, span: float, call, *words) -> Timer:
        assert span >= 0
        self.timers.append(Timer(self.now + span, lambda: call(*words)))
        return self.timers[-1]

    def create_task(self, coroutine) -> Task:
        self.opened.append(coroutine.cr_frame.f_locals["self"])
        coroutine.close()
        return Task()

    # -- what happens

    def pending(self) -> list[Timer]:
        self.timers = [timer for timer in self.timers if timer.pending]
        return self.timers

    def fire(self) -> None:
        """The next timer."""
        timer = min(self.pending(), key=lambda timer: timer.when)
        timer.pending = False
        self.now = max(self.now, timer.when)
        timer.call()

    def up(self, exchange: Exchange) -> Wire:
        """Its connection is there; where it was given up in that moment, none the less."""
        wire = Wire(self)
        exchange.connection_made(wire)
        return wire

    def end(self, exchange: Exchange, error: Exception | None) -> None:
        if exchange not in self.ended:
            self.ended.add(exchange)
            if exchange.transport is None:
                self.watch.connect_failed(exchange, "refused")
            else:
                if error is None:
                    exchange.eof_received()
                exchange.connection_lost(error)


def healthy_until_told(world: World, within: float) -> None:
    """From now on the agent answers each call at once: the list is there in time."""
    ends, before = world.now + within, len(world.told)
    answered: set[int] = set()
    while len(world.told) == before:
        exchange = world.watch.exchange
        if exchange and exchange.transport is None:
            world.up(exchange)
        elif exchange and exchange not in world.ended and len(exchange.transport.asked) not in answered:
            answered.add(len(exchange.transport.asked))
            exchange.body.clear()
            exchange.http = fresh(exchange)
            exchange.data_received(answer(whole(99)))
        else:
            world.fire()
            answered.clear()
        assert world.now <= ends


def fresh(exchange: Exchange):
    """Its parser with a call out and nothing of an answer read: what was left half is forgotten."""
    http = discovery.h11.Connection(discovery.h11.CLIENT)
    http.send(discovery.h11.Request(method="GET", target="/", headers=[("host", "a")]))
    http.send(discovery.h11.EndOfMessage())
    return http


PIECES = {
    "whole": answer(whole(5)),
    "nothing new": answer(b'{"seq":5,"whole":false,"hosts":[]}'),
    "goes back": answer(b'{"seq":1,"whole":false,"hosts":[]}'),
    "and close": answer(whole(6), more=b"Connection: close\r\n"),
    "no length": HEAD + b"\r\n" + whole(7),
    "half a head": HEAD,
    "half a body": answer(whole(8))[:-9],
    "odd": answer(b"[]"),
    "not JSON": answer(b"{"),
    "deep": answer(b"[" * 50_000),
    "vast number": answer(b'{"seq":1e999,"whole":true,"hosts":[]}'),
    "not HTTP": b"*1\r\n",
    "not found": answer(b"", b"404 No"),
}
REFUSALS = {
    "refused": answer(b"", b"503 No"),
    "refused and close": answer(b"", b"503 No", b"Connection: close\r\n"),
}


@pytest.mark.parametrize("refuses", [False, True])
def test_whatever_happens_the_watch_has_a_call_out_or_a_time_for_the_next(refuses):
    """After 60 events of any kind in any order, on connections given up as well, it is never left with
    neither; and an agent that answers again is heard in time."""
    pieces = [*PIECES.values(), *(REFUSALS.values() if refuses else ())]
    for seed in range(400):
        draw = random.Random(seed)
        world = World(seed)
        world.watch.start_after_delay() if draw.random() < 0.5 else world.watch.start()
        for _ in range(60):
            live = [e for e in world.opened if e not in world.ended]
            event = draw.choice(("fire", "up", "data", "data", "eof", "reset", "move", "wait"))
            if event == "fire":
                world.fire()
            elif event == "wait":  # some time, but no timer is late
                due = min(timer.when for timer in world.pending())
                world.now += draw.random() * (due - world.now)
            elif event == "move":
                world.watch.set_address(("host", draw.randrange(3)))
            elif live:
                exchange = draw.choice(live)
                if event == "up" and exchange.transport is None:
                    world.up(exchange)
                elif event == "data" and exchange.transport and not exchange.transport.aborted:
                    exchange.data_received(draw.choice(pieces))
                elif event in ("eof", "reset"):
                    world.end(exchange, None if event == "eof" else ConnectionResetError())
            assert len(world.pending()) == 1
            state = world.watch.exchange
            assert state is None or state.transport is None or not state.transport.aborted
        healthy_until_told(world, STALENESS_LIMIT)


@pytest.mark.parametrize("refusals", [0, 1, 3, 6])
@pytest.mark.parametrize("silent", ["at once", "in the middle", "trickling"])
def test_a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told(silent, refusals):
    """Where discovery had refused calls before, a silent one was given 9 s, and the next a pause besides."""
    for seed in range(20):
        world = World(seed)
        world.watch.start()
        world.up(world.watch.exchange)
        for _ in range(refusals):
            world.watch.exchange.data_received(REFUSALS["refused"])
            world.fire()
        world.watch.exchange.data_received(answer(whole(5)))
        last, calls = world.now, len(world.asked)
        exchange = world.watch.exchange
        slowly = itertools.chain((HEAD + b"X-Slow: ",), itertools.repeat(b"a"))
        if silent == "in the middle":
            exchange.data_received(PIECES["half a body"])
        while len(world.asked) == calls:
            if world.watch.exchange and world.watch.exchange.transport is None:
                world.up(world.watch.exchange)
            elif silent == "trickling" and world.watch.exchange is exchange:
                due = min(timer.when for timer in world.pending())
                exchange.data_received(next(slowly))
                world.now = min(due, world.now + 0.1)
                if world.now == due:
                    world.fire()
            else:
                world.fire()
        assert last + LONG_POLL_WAIT < world.now < last + STALENESS_LIMIT - 1


@pytest.mark.parametrize("end", ["eof", "reset"])
def test_an_answer_without_a_length_counts_once_its_connection_ends_and_a_reset_is_no_end(end):
    data = HEAD + b"\r\n" + whole(5)
    for cut in range(len(data) + 1):
        world = World()
        world.watch.start()
        exchange = world.watch.exchange
        world.up(exchange)
        exchange.data_received(data[:cut])
        world.end(exchange, None if end == "eof" else ConnectionResetError())
        assert [listed.version for listed in world.told] == ([5] if (end, cut) == ("eof", len(data)) else [])
        assert len(world.pending()) == 1 and world.watch.exchange is None


def test_an_answer_that_never_ends_is_dropped_with_its_memory():
    world = World()
    world.watch.start()
    exchange = world.watch.exchange
    world.up(exchange)
    exchange.data_received(HEAD + b"\r\n")
    piece, sent = b"x" * 256 * 1024, 0
    while world.watch.exchange is exchange:
        exchange.data_received(piece)
        sent += len(piece)
        assert sent <= discovery.RESPONSE_BYTES_MAX + len(piece)
    assert exchange.transport.aborted


@asyncio_test
async def test_a_connection_that_comes_up_as_its_time_runs_out_does_not_end_the_watch(monkeypatch):
    """The loop closed it without a word to anyone: no call was ever made again."""
    monkeypatch.setattr(discovery, "CONNECT_TIMEOUT", 0.05)
    connected = Watch.connected

    def held(watch, *words):
        connected(watch, *words)
        time.sleep(0.1)  # the loop stands still from before the time until after it

    monkeypatch.setattr(Watch, "connected", held)
    loop, told = asyncio.get_running_loop(), []
    agent = Agent([json.loads(whole(version)) for version in range(1, 4)])
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, told.append, response_timeout=0.2).start()
    await until(lambda: len(told) == 3)
    assert [listed.version for listed in told] == [1, 2, 3]


@pytest.mark.parametrize("connection", ["close", ""])
@asyncio_test
async def test_an_agent_that_tells_no_length_is_heard(connection):
    """Each of its answers ended with its connection, and was thrown away."""
    loop, told, versions = asyncio.get_running_loop(), [], itertools.count(1)
    head = HEAD + (b"Connection: close\r\n" if connection else b"") + b"\r\n"

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + whole(next(versions)))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, told.append).start()
    await until(lambda: len(told) >= 3)
    assert [listed.version for listed in told[:3]] == [1, 2, 3]
