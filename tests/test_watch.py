"""Failure cases of the discovery watch: random events in virtual time, and loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time

import pytest
from conftest import FakeHost, asyncio_test, until
from test_discovery import ZONES, FakeAgent

from saffrongw import discovery
from saffrongw.discovery import LONG_POLL_WAIT, STALENESS_LIMIT, DiscoveryConnection, Watch

HEAD = b"HTTP/1.1 200 OK\r\n"


def whole_list(version: int) -> bytes:
    host = FakeHost("a")
    host.port = 7
    return json.dumps({"seq": version, "whole": True, "hosts": [host.list_entry()]}).encode()


def answer(body: bytes, status: bytes = b"200 OK", headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


class Timer:
    def __init__(self, when: float, callback) -> None:
        self.when, self.callback, self.pending = when, callback, True

    def cancel(self) -> None:
        self.pending = False


class Task:
    def cancel(self) -> None:
        """Do nothing: a connection may still be established after the cancellation."""


class FakeTransport:
    """Transport of a connection; records the requested targets."""

    def __init__(self, loop: FakeLoop) -> None:
        self.loop, self.requests, self.aborted = loop, [], False

    def write(self, data: bytes) -> None:
        self.requests.append(data.split()[1].decode())
        self.loop.requests.append((self.loop.now, self))

    def abort(self) -> None:
        self.aborted = True


class FakeLoop:
    """Event loop with virtual time; keeps every connection that the watch has opened."""

    def __init__(self, seed: int = 1, **options) -> None:
        # ``requests``: (time, transport) of those on all connections; ``updates``: host lists from the watch.
        self.now, self.timers, self.requests, self.updates = 100.0, [], [], []
        self.connections: list[DiscoveryConnection] = []
        self.closed: set[DiscoveryConnection] = set()
        self.watch = Watch(
            self,
            ("host", 1),
            ZONES,
            self.updates.append,
            random_fraction=random.Random(seed).random,
            **options,
        )

    # -- the event loop's methods that the watch uses

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback, *arguments) -> Timer:
        assert delay >= 0
        self.timers.append(Timer(self.now + delay, lambda: callback(*arguments)))
        return self.timers[-1]

    def create_task(self, coroutine) -> Task:
        self.connections.append(coroutine.cr_frame.f_locals["self"])
        coroutine.close()
        return Task()

    # -- events

    def pending(self) -> list[Timer]:
        self.timers = [timer for timer in self.timers if timer.pending]
        return self.timers

    def fire_next_timer(self) -> None:
        """Advance to the next timer and run it."""
        timer = min(self.pending(), key=lambda timer: timer.when)
        timer.pending = False
        self.now = max(self.now, timer.when)
        timer.callback()

    def connect(self, connection: DiscoveryConnection) -> FakeTransport:
        """Establish the connection, even if the watch has just given it up."""
        transport = FakeTransport(self)
        connection.connection_made(transport)
        return transport

    def disconnect(self, connection: DiscoveryConnection, error: Exception | None) -> None:
        if connection not in self.closed:
            self.closed.add(connection)
            if connection.transport is None:
                self.watch.connect_failed(connection, "refused")
            else:
                if error is None:
                    connection.eof_received()
                connection.connection_lost(error)


def serve_until_updated(loop: FakeLoop, time_limit: float) -> None:
    """Answer each request at once from now on: the watch must deliver a list within the time limit."""
    deadline, updates_before = loop.now + time_limit, len(loop.updates)
    answered: set[int] = set()
    while len(loop.updates) == updates_before:
        connection = loop.watch.connection
        if connection and connection.transport is None:
            loop.connect(connection)
        elif (
            connection
            and connection not in loop.closed
            and len(connection.transport.requests) not in answered
        ):
            answered.add(len(connection.transport.requests))
            connection.body.clear()
            connection.http = parser_awaiting_response(connection)
            connection.data_received(answer(whole_list(99)))
        else:
            loop.fire_next_timer()
            answered.clear()
        assert loop.now <= deadline


def parser_awaiting_response(connection: DiscoveryConnection):
    """Return a parser with a request in flight and no part of a response read."""
    http = discovery.h11.Connection(discovery.h11.CLIENT)
    http.send(discovery.h11.Request(method="GET", target="/", headers=[("host", "a")]))
    http.send(discovery.h11.EndOfMessage())
    return http


RESPONSES = {
    "whole": answer(whole_list(5)),
    "no changes": answer(b'{"seq":5,"whole":false,"hosts":[]}'),
    "lower version": answer(b'{"seq":1,"whole":false,"hosts":[]}'),
    "then close": answer(whole_list(6), headers=b"Connection: close\r\n"),
    "no length": HEAD + b"\r\n" + whole_list(7),
    "half a head": HEAD,
    "half a body": answer(whole_list(8))[:-9],
    "not an object": answer(b"[]"),
    "not JSON": answer(b"{"),
    "deeply nested": answer(b"[" * 50_000),
    "infinite number": answer(b'{"seq":1e999,"whole":true,"hosts":[]}'),
    "not HTTP": b"*1\r\n",
    "not found": answer(b"", b"404 No"),
}
REFUSALS = {
    "refused": answer(b"", b"503 No"),
    "refused and close": answer(b"", b"503 No", b"Connection: close\r\n"),
}


@pytest.mark.parametrize("with_refusals", [False, True])
def test_the_watch_always_has_a_request_in_flight_or_a_timer_for_the_next(with_refusals):
    """Random sequences of 60 events, also on connections already given up: after each event there is one
    timer, and an agent that recovers delivers a list within STALENESS_LIMIT."""
    responses = [*RESPONSES.values(), *(REFUSALS.values() if with_refusals else ())]
    for seed in range(400):
        rng = random.Random(seed)
        loop = FakeLoop(seed)
        loop.watch.start_after_delay() if rng.random() < 0.5 else loop.watch.start()
        for _ in range(60):
            live = [c for c in loop.connections if c not in loop.closed]
            event = rng.choice(("fire", "up", "data", "data", "eof", "reset", "move", "wait"))
            if event == "fire":
                loop.fire_next_timer()
            elif event == "wait":  # some time, but not beyond the next timer
                due = min(timer.when for timer in loop.pending())
                loop.now += rng.random() * (due - loop.now)
            elif event == "move":
                address = ("host", rng.randrange(3))
                is_new = address != loop.watch.address
                loop.watch.set_address(address)
                assert not is_new or loop.watch.patience == loop.watch.response_timeout
            elif live:
                connection = rng.choice(live)
                if event == "up" and connection.transport is None:
                    loop.connect(connection)
                elif event == "data" and connection.transport and not connection.transport.aborted:
                    connection.data_received(rng.choice(responses))
                elif event in ("eof", "reset"):
                    loop.disconnect(connection, None if event == "eof" else ConnectionResetError())
            assert len(loop.pending()) == 1
            current = loop.watch.connection
            assert current is None or current.transport is None or not current.transport.aborted
        serve_until_updated(loop, STALENESS_LIMIT)


@pytest.mark.parametrize("refusals", [0, 1, 3, 6])
@pytest.mark.parametrize("silence", ["at once", "in the middle", "trickling"])
def test_a_silent_watch_is_reopened_before_its_missed_changes_count_as_delivered(silence, refusals):
    """Guards against a timeout of 9 s plus a further delay where discovery had refused requests before."""
    for seed in range(20):
        loop = FakeLoop(seed)
        loop.watch.start()
        loop.connect(loop.watch.connection)
        for _ in range(refusals):
            loop.watch.connection.data_received(REFUSALS["refused"])
            loop.fire_next_timer()
        loop.watch.connection.data_received(answer(whole_list(5)))
        answered_at, requests_before = loop.now, len(loop.requests)
        connection = loop.watch.connection
        slow_bytes = itertools.chain((HEAD + b"X-Slow: ",), itertools.repeat(b"a"))
        if silence == "in the middle":
            connection.data_received(RESPONSES["half a body"])
        while len(loop.requests) == requests_before:
            if loop.watch.connection and loop.watch.connection.transport is None:
                loop.connect(loop.watch.connection)
            elif silence == "trickling" and loop.watch.connection is connection:
                due = min(timer.when for timer in loop.pending())
                connection.data_received(next(slow_bytes))
                loop.now = min(due, loop.now + 0.1)
                if loop.now == due:
                    loop.fire_next_timer()
            else:
                loop.fire_next_timer()
        assert answered_at + LONG_POLL_WAIT < loop.now < answered_at + STALENESS_LIMIT - 1


@pytest.mark.parametrize("end", ["eof", "reset"])
def test_a_response_without_length_is_complete_at_eof_but_not_after_a_reset(end):
    data = HEAD + b"\r\n" + whole_list(5)
    for cut in range(len(data) + 1):
        loop = FakeLoop()
        loop.watch.start()
        connection = loop.watch.connection
        loop.connect(connection)
        connection.data_received(data[:cut])
        loop.disconnect(connection, None if end == "eof" else ConnectionResetError())
        assert [host_list.version for host_list in loop.updates] == (
            [5] if (end, cut) == ("eof", len(data)) else []
        )
        assert len(loop.pending()) == 1 and loop.watch.connection is None


def test_a_response_without_end_is_dropped_and_its_memory_bounded():
    loop = FakeLoop()
    loop.watch.start()
    connection = loop.watch.connection
    loop.connect(connection)
    connection.data_received(HEAD + b"\r\n")
    chunk, sent_bytes = b"x" * 256 * 1024, 0
    while loop.watch.connection is connection:
        connection.data_received(chunk)
        sent_bytes += len(chunk)
        assert sent_bytes <= discovery.RESPONSE_BYTES_MAX + len(chunk)
    assert connection.transport.aborted


@asyncio_test
async def test_a_connection_established_as_its_timeout_expires_does_not_end_the_watch(monkeypatch):
    """Guards against the loop closing that connection without notice: no request was ever sent again."""
    monkeypatch.setattr(discovery, "CONNECT_TIMEOUT", 0.05)
    connected = Watch.connected

    def block_loop(watch, *arguments):
        connected(watch, *arguments)
        time.sleep(0.1)  # blocks the event loop across the timeout

    monkeypatch.setattr(Watch, "connected", block_loop)
    loop, updates = asyncio.get_running_loop(), []
    agent = FakeAgent([json.loads(whole_list(version)) for version in range(1, 4)])
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, updates.append, response_timeout=0.2).start()
    await until(lambda: len(updates) == 3)
    assert [host_list.version for host_list in updates] == [1, 2, 3]


@pytest.mark.parametrize("connection", ["close", ""])
@asyncio_test
async def test_responses_of_an_agent_that_sends_no_length_are_used(connection):
    """Guards against discarding responses that end with their connection."""
    loop, updates, versions = asyncio.get_running_loop(), [], itertools.count(1)
    head = HEAD + (b"Connection: close\r\n" if connection else b"") + b"\r\n"

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + whole_list(next(versions)))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, updates.append).start()
    await until(lambda: len(updates) >= 3)
    assert [host_list.version for host_list in updates[:3]] == [1, 2, 3]
