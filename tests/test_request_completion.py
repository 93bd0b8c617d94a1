"""Every accepted request is answered exactly once and by its deadline, whatever happens.

The driver and the connections run in virtual time over random events: clients that send partial commands or
junk, do not read or disconnect; hosts that connect late or never, answer partially, wrongly, twice or not at
all; updates of the host list; event loop lag.
"""

from __future__ import annotations

import itertools
import json
import random
import socket
from collections import Counter
from collections.abc import Callable

import hiredis
import pytest
from conftest import RAW_SETTINGS, FakeHost

from saffrongw import config
from saffrongw.calls import Attempt, Call
from saffrongw.client import Client
from saffrongw.clients import Clients
from saffrongw.driver import Driver
from saffrongw.host_connection import Connection, Stage
from saffrongw.hosts import Hosts

EVENTS_PER_SEED = 400
LOOP_LAG_MAX = 0.2  # seconds
KINDS = (b"read", b"put", b"bill")
COVERED: Counter[str] = Counter()


class Timer:
    """A scheduled callback."""

    def __init__(self, when: float, call: Callable, args: tuple) -> None:
        self.when, self.call, self.args, self.pending = when, call, args, True

    def cancel(self) -> None:
        self.pending = False


class FakeLoop:
    """An event loop in virtual time; the test decides when connections are established or fail."""

    def __init__(self) -> None:
        self.now, self.timers, self.connecting = 100.0, [], []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, call: Callable, *args) -> Timer:
        timer = Timer(self.now + max(0.0, delay), call, args)
        self.timers.append(timer)
        return timer

    def call_soon(self, call: Callable, *args) -> Timer:
        return self.call_later(0.0, call, *args)

    def create_task(self, coroutine) -> Timer:
        self.connecting.append(coroutine.cr_frame.f_locals["self"])
        coroutine.close()
        return Timer(0.0, lambda: None, ())

    def run(self, until: float) -> None:
        """Run all callbacks that are due by then, in order."""
        while due := [timer for timer in self.timers if timer.pending and timer.when <= until]:
            first = min(due, key=lambda timer: timer.when)
            first.pending = False
            self.now = max(self.now, first.when)
            first.call(*first.args)
        self.timers = [timer for timer in self.timers if timer.pending]
        self.now = max(self.now, until)


class FakeTransport:
    """A transport whose other end is the test."""

    quiet = socket.socketpair()  # never readable

    def __init__(self, loop: FakeLoop, protocol: Client | Connection) -> None:
        self.loop, self.protocol, self.closing, self.unsent, self.sent = loop, protocol, False, 0, b""
        self.ended = False

    def write(self, data: bytes) -> None:
        assert not self.closing and not self.ended
        self.sent += data

    def write_eof(self) -> None:
        self.ended = True

    def abort(self, error: Exception | None = None) -> None:
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, error)

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def get_extra_info(self, name: str) -> socket.socket:
        return self.quiet[0]

    def set_write_buffer_limits(self, high: int) -> None:
        """Do nothing: the test decides when the write buffer is full."""

    pause_reading = resume_reading = lambda self: None


class GatewaySimulation:
    """One gateway with its clients and hosts, and the answers to each request that it accepted."""

    def __init__(self, seed: int) -> None:
        self.loop, self.random, self.numbers = FakeLoop(), random.Random(seed), itertools.count(1)
        self.host_entries = []
        for name in "abc":
            host = FakeHost(name)
            host.port = ord(name)
            self.host_entries.append(host.list_entry())
        configuration = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": f"{seed:x}",
        }
        permissions = RAW_SETTINGS["permissions"] | {"cancel": seed % 2 == 0, "secondCopies": seed % 3 == 0}
        configuration |= {"limits": {"sockets": 24}, "settings": RAW_SETTINGS | {"permissions": permissions}}
        configuration |= {"known": {"seq": 1, "whole": True, "hosts": self.host_entries}}
        parsed_config = config.parse(json.dumps(configuration))
        self.driver = Driver(parsed_config.settings, parsed_config.seed, self.loop)
        self.started = self.driver.gateway.allowance_refilled_at
        self.driver.clock = lambda: self.started + round((self.loop.now - 100.0) * 1e6)
        self.hosts = self.driver.hosts = Hosts(self.driver, (), 24, 2.0, 0.25)
        self.driver.start(parsed_config.known)
        self.clients = Clients(self.driver, parsed_config, 12)
        self.clients._sweep()
        self.zones = parsed_config.zones
        self.answers: dict[Call, list[float]] = {}
        self.gone: set[Call] = set()
        self.behind = 0.0
        accept_request, client_gone = self.driver.accept_request, self.driver.client_gone

        def record_accepted(terms, parts, answer, slot=None, waited=0) -> Call:
            times: list[float] = []
            call = accept_request(
                terms, parts, lambda reply: (times.append(self.loop.now), answer(reply)), slot, waited
            )
            self.answers[call] = times
            return call

        def record_gone(call: Call, seconds_unobserved: float = 0.0) -> None:
            self.gone.add(call)
            client_gone(call, seconds_unobserved)

        self.driver.accept_request, self.driver.client_gone = record_accepted, record_gone
        self.client_transports: list[FakeTransport] = []
        self.to_send: dict[FakeTransport, bytes] = {}
        self.host_transports: list[FakeTransport] = []

    # -- what clients do

    def client_connects(self) -> None:
        client = Client(self.clients)
        transport = FakeTransport(self.loop, client)
        client.connection_made(transport)
        self.client_transports.append(transport)
        self.to_send[transport] = b""

    def client_sends(self) -> None:
        if transport := self._pick(
            [transport for transport in self.client_transports if not transport.closing]
        ):
            while len(self.to_send[transport]) < 200:
                self.to_send[transport] += self._command()
            size = self.random.choice((1, 7, 60, 200, 10_000))
            piece, self.to_send[transport] = self.to_send[transport][:size], self.to_send[transport][size:]
            transport.protocol.data_received(piece)

    def _command(self) -> bytes:
        draw = self.random.random()
        if draw < 0.02:
            return self.random.choice((b"GET / HTTP/1.1\r\n\r\n", b"*3000000000\r\n", b"$4\r\nabcdef"))
        if draw < 0.1:
            return self.random.choice((b"*1\r\n$4\r\nPING\r\n", b"*2\r\n$1\r\na\r\n$1\r\nb\r\n"))
        kind = self.random.choice(KINDS)
        wait = self.random.choice((20, 200, 900, 3000))
        terms = b"c=%b,t=team,d=%d,k=x,units=1,spread=2,first=0" % (kind, wait)
        values = (b"%016x" % self.random.randrange(9), b"id%d" % next(self.numbers), terms)
        if kind == b"read":
            return hiredis.pack_command((b"CALL.GET", *values))
        return hiredis.pack_command((b"CALL.POST", *values, b"BODY"))

    def client_disconnects(self) -> None:
        if transport := self._pick(
            [transport for transport in self.client_transports if not transport.closing]
        ):
            transport.abort(self.random.choice((None, ConnectionResetError())))

    def client_stops_reading(self) -> None:
        if transport := self._pick(
            [
                transport
                for transport in self.client_transports
                if not transport.closing and not transport.unsent
            ]
        ):
            transport.unsent = 70_000
            transport.protocol.pause_writing()

    def client_resumes_reading(self) -> None:
        if transport := self._pick(
            [transport for transport in self.client_transports if not transport.closing and transport.unsent]
        ):
            transport.unsent = 0
            transport.protocol.resume_writing()

    # -- what hosts do

    def connection_is_established(self) -> None:
        if self.loop.connecting:
            connection = self.loop.connecting.pop(self.random.randrange(len(self.loop.connecting)))
            transport = FakeTransport(self.loop, connection)
            connection.connection_made(transport)
            self.host_transports.append(transport)

    def connection_is_refused(self) -> None:
        if self.loop.connecting:
            connection = self.loop.connecting.pop(self.random.randrange(len(self.loop.connecting)))
            connection.pool.connect_failed(connection)

    def host_answers(self) -> None:
        if transport := self._pick(
            [transport for transport in self.host_transports if not transport.closing]
        ):
            good = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
            bad_replies = [
                b"-BUSY\r\n",
                b"-ERR failed\r\n",
                good[:9],
                good * 2,
                b"+x\r\n",
                good.replace(b"ok", b"okok"),
            ]
            transport.protocol.data_received(
                good if self.random.random() < 0.6 else self.random.choice(bad_replies)
            )

    def host_resets(self) -> None:
        if transport := self._pick(
            [transport for transport in self.host_transports if not transport.closing]
        ):
            transport.abort(ConnectionResetError())

    def host_list_changes(self) -> None:
        health = self.random.choice(("SERVING", "SERVING", "DRAINING", "DELETED"))
        line = self.random.choice(self.host_entries) | {"health": health}
        raw = {"seq": next(self.numbers), "whole": False, "hosts": [line]}
        self.driver.apply_host_list(config.parse_hosts(raw, self.zones))

    def time_passes(self) -> None:
        self.loop.run(self.loop.now + self.random.choice((0.0, 0.001, 0.02, 0.2)))

    def loop_lags(self) -> None:
        """Let time pass without running the callbacks that are due."""
        self.loop.now += self.random.random() * LOOP_LAG_MAX

    def _pick(self, candidates: list) -> FakeTransport | None:
        return self.random.choice(candidates) if candidates else None

    # -- invariants

    def check(self) -> None:
        """Check that each unanswered request has a timer due in time, and each open attempt an owner."""
        for call in self.driver.calls.values():
            if not call.finished:
                until = (call.deadline - self.started) / 1e6 + 100.0
                assert call.deadline_timer.pending and call.deadline_timer.when <= until + 0.0021
                COVERED["waiting, sent" if call.attempts else "waiting, not sent"] += 1
            for attempt in call.attempts:
                assert attempt.ended or self._has_owner(attempt)
        for pool in self.hosts.pools.values():
            connecting = [connection for connection in self.loop.connecting if connection.pool is pool]
            assert pool.opening == sum(connection.stage is Stage.OPENING for connection in connecting)
            cools_down = pool.timer is not None and pool.timer.pending
            assert len(pool.waiting) <= pool.opening or cools_down
            COVERED["waiting, cools down"] += len(pool.waiting) > pool.opening

    def _has_owner(self, attempt: Attempt) -> bool:
        """Return whether an open attempt is on a connection, or queued for one."""
        if isinstance(attempt.carrier, Connection):
            return attempt.carrier.stage is Stage.BUSY and attempt.carrier.attempt is attempt
        return attempt in attempt.carrier.waiting


EVENT_WEIGHTS = {
    GatewaySimulation.client_connects: 4,
    GatewaySimulation.client_sends: 20,
    GatewaySimulation.client_disconnects: 2,
    GatewaySimulation.client_stops_reading: 1,
    GatewaySimulation.client_resumes_reading: 2,
    GatewaySimulation.connection_is_established: 10,
    GatewaySimulation.connection_is_refused: 1,
    GatewaySimulation.host_answers: 10,
    GatewaySimulation.host_resets: 1,
    GatewaySimulation.host_list_changes: 1,
    GatewaySimulation.time_passes: 10,
    GatewaySimulation.loop_lags: 1,
}


@pytest.mark.parametrize("seeds", [range(first, first + 20) for first in range(0, 80, 20)], ids=str)
def test_every_request_is_answered_once_and_in_time_under_random_events(seeds):
    for seed in seeds:
        simulation = GatewaySimulation(seed)
        for _ in range(EVENTS_PER_SEED):
            (event,) = simulation.random.choices(list(EVENT_WEIGHTS), EVENT_WEIGHTS.values())
            event(simulation)
            simulation.check()
        simulation.loop.run(simulation.loop.now + 20.0)  # no more events: everything ends by its timers
        assert (
            simulation.driver.calls
            == simulation.driver.gateway.requests
            == simulation.driver.gateway.attempts
            == {}
        )
        assert simulation.hosts.connection_count == sum(
            len(pool.idle) for pool in simulation.hosts.pools.values()
        )
        for call, times in simulation.answers.items():
            assert len(times) == (0 if call in simulation.gone and not times else 1), call
            COVERED["gone" if call in simulation.gone else "answered"] += 1
            for answered_at in times:
                late = answered_at - ((call.deadline - simulation.started) / 1e6 + 100.0)
                assert late <= LOOP_LAG_MAX + 0.0021, (seed, call)
                COVERED["at its last moment"] += late > -0.001
    assert all(COVERED[case] for case in ("gone", "answered", "waiting, sent", "waiting, not sent"))
    assert COVERED["at its last moment"] and COVERED["waiting, cools down"]
