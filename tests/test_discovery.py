"""The watch of discovery and the datagrams between gateways, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
from itertools import pairwise

from conftest import RAW_SETTINGS, FakeHost, LoopbackGateway, asyncio_test, until

from orchidlane import messages
from saffrongw import discovery
from saffrongw.config import parse_hosts
from saffrongw.discovery import DiscoveryConnection, Watch, first_request_spread
from saffrongw.peers import Peers

ZONES = ("hall-a", "hall-b")


def host_entry(name: str, **changes) -> dict:
    host = FakeHost(name)
    host.port = 7
    return host.list_entry(**changes)


class FakeAgent(asyncio.Protocol):
    """A discovery agent: records the requests and sends the next of ``responses`` (None: no response)."""

    def __init__(self, responses: list) -> None:
        self.responses, self.requests, self.connections = responses, [], 0
        self.request_times: list[float] = []

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.connections += 1

    def data_received(self, data: bytes) -> None:
        self.requests.append(data.split()[1].decode())
        response = self.responses.pop(0) if self.responses else None
        self.request_times.append(asyncio.get_running_loop().time())
        if isinstance(response, int):
            self.transport.write(b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % response)
        elif response is not None:
            body = response if isinstance(response, bytes) else json.dumps(response).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def start_watch(responses: list, **changes) -> tuple[FakeAgent, list]:
    loop, received, agent = asyncio.get_running_loop(), [], FakeAgent(responses)
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, received.append, **changes).start()
    return agent, received


@asyncio_test
async def test_the_watch_requests_changes_since_the_received_version_on_one_connection():
    whole = {"seq": 5, "whole": True, "hosts": [host_entry("a")]}
    change = {"seq": 6, "whole": False, "hosts": [host_entry("a", health="DRAINING")]}
    agent, received = await start_watch([whole, change])
    await until(lambda: len(agent.requests) == 3)
    assert agent.requests[0] == "/registry/instances"
    assert [request.split("?")[1].split("&")[0] for request in agent.requests[1:]] == ["index=5", "index=6"]
    assert [(host_list.version, host_list.whole) for host_list in received] == [(5, True), (6, False)]
    assert agent.connections == 1


@asyncio_test
async def test_a_list_is_applied_before_the_next_one_is_requested(monkeypatch):
    """Guards against clients that wait for several lists, as each response arrives while one is applied."""
    order, send_request = [], DiscoveryConnection.send_request

    def record_request(connection: DiscoveryConnection, target: str, host: str) -> None:
        order.append("requested")
        send_request(connection, target, host)

    monkeypatch.setattr(DiscoveryConnection, "send_request", record_request)
    loop, agent = (
        asyncio.get_running_loop(),
        FakeAgent([{"seq": 5, "whole": True, "hosts": [host_entry("a")]}]),
    )
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, lambda _: order.append("applied")).start()
    await until(lambda: len(order) == 3)
    assert order == ["requested", "applied", "requested"]


@asyncio_test
async def test_timeouts_and_malformed_responses_lead_to_a_request_of_the_whole_list():
    whole = {"seq": 5, "whole": True, "hosts": [host_entry("a")]}
    agent, received = await start_watch([None, b"junk", b"[]", {"seq": 5}, whole], response_timeout=0.1)
    await until(lambda: received)
    assert agent.requests[:5] == ["/registry/instances"] * 5


@asyncio_test
async def test_a_watch_moves_to_a_new_address_in_any_state():
    loop = asyncio.get_running_loop()
    whole = {"seq": 5, "whole": True, "hosts": [host_entry("a")]}

    async def serving(agent: FakeAgent) -> tuple[str, int]:
        return (await loop.create_server(lambda: agent, "127.0.0.1", 0)).sockets[0].getsockname()[:2]

    old = FakeAgent([whole])
    with socket.create_server(("127.0.0.1", 0)) as closed:
        closed_address = closed.getsockname()
    states = {
        "watching": (await serving(old), lambda watch: len(old.requests) == 2),
        "backing off": (
            closed_address,
            lambda watch: watch.last_connect_succeeded is False and watch.connection is None,
        ),
        "connecting": (closed_address, lambda watch: True),
    }
    for address, state in states.values():
        new, received = FakeAgent([whole]), []
        watch = Watch(loop, address, ZONES, received.append)
        watch.start()
        await until(lambda watch=watch, state=state: state(watch))
        new_address = await serving(new)
        watch.set_address(new_address)
        await until(lambda new=new: len(new.requests) == 2)
        assert received[-1].version == 5
        assert watch.connection.transport.get_extra_info("peername") == new_address
        watch.connection.transport.abort()
    await until(lambda: old.transport.is_closing())


@asyncio_test
async def test_sighup_moves_the_watch_and_an_invalid_configuration_changes_nothing(tmp_path):
    loop = asyncio.get_running_loop()
    agents = [FakeAgent([{"seq": 5, "whole": True, "hosts": []}]) for _ in range(2)]
    servers = [await loop.create_server(lambda agent=agent: agent, "127.0.0.1", 0) for agent in agents]
    addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    configuration = {"name": "n0", "listen": "127.0.0.1:0", "discovery": addresses[0], "seed": "01"}
    configuration |= {"limits": {"sockets": 128}, "settings": RAW_SETTINGS}
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "saffrongw",
        env=os.environ | {"LB_CONFIG": str(file)},
        stderr=asyncio.subprocess.PIPE,
    )
    await until(lambda: len(agents[0].requests) == 2, timeout=30)
    for invalid in (
        "{",
        json.dumps(configuration | {"settings": {}}),
        json.dumps(configuration | {"settings": RAW_SETTINGS | {"rules": 7}}),
    ):
        file.write_text(invalid)
        process.send_signal(signal.SIGHUP)
        while b"event=config_unusable" not in await process.stderr.readline():
            assert process.returncode is None
    rules = RAW_SETTINGS | {"rules": RAW_SETTINGS["rules"] | {"drainGrace": 7}}
    moved = configuration | {
        "discovery": addresses[1],
        "seed": "02",
        "settings": rules,
        "log": {"form": "json"},
    }
    file.write_text(json.dumps(moved))
    process.send_signal(signal.SIGHUP)
    while b"config_read" not in (log_line := await process.stderr.readline()):
        assert process.returncode is None
    assert b"in_force=discovery,log_form needs_restart=settings.drain_grace" in log_line
    await until(lambda: len(agents[1].requests) == 2)
    await until(lambda: agents[0].transport.is_closing())
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 10) == 0


@asyncio_test
async def test_a_request_that_an_agent_never_answers_is_repeated_on_a_new_connection():
    """The agent did not answer the long poll, so that a release went unnoticed for 22 s (r9442fa)."""
    whole = {"seq": 5, "whole": True, "hosts": [host_entry("a")]}
    agent, received = await start_watch([whole, None, whole | {"seq": 9}])
    await until(lambda: len(received) == 2)
    assert [host_list.version for host_list in received] == [5, 9]
    assert agent.connections == 2


@asyncio_test
async def test_refusals_by_discovery_double_the_interval_and_the_watch_resumes_with_the_first_answer(
    monkeypatch,
):
    monkeypatch.setattr(discovery, "REFUSED_INTERVAL_MIN", 0.1)
    monkeypatch.setattr(discovery, "ATTEMPT_INTERVAL_MAX", 0.8)
    whole = {"seq": 5, "whole": True, "hosts": [host_entry("a")]}
    empty = {"seq": 5, "whole": False, "hosts": []}
    agent, received = await start_watch([503] * 5 + [whole] + [empty] * 9)
    await until(lambda: len(agent.requests) >= 14)
    gaps = [after - before for before, after in pairwise(agent.request_times)]
    # The clock of the loop has a resolution of one millisecond.
    assert all(gap > interval - 0.005 for gap, interval in zip(gaps, (0.1, 0.2, 0.4, 0.8, 0.8), strict=False))
    assert len(received) == 1 and agent.connections == 1
    # From then on each response is followed by the next long poll at once.
    assert all("wait=2000" in request for request in agent.requests[6:])
    assert all(gap < 0.1 for gap in gaps[5:])


@asyncio_test
async def test_changes_rather_than_whole_lists_are_requested_after_a_refusal_or_a_lost_connection():
    """Requests for whole lists after each refusal kept discovery overloaded permanently."""
    whole = {"seq": 5, "whole": True, "hosts": [host_entry("a")]}
    change = {"seq": 6, "whole": False, "hosts": [host_entry("a", health="DRAINING")]}
    agent, received = await start_watch([whole, change, None])
    await until(lambda: len(agent.requests) == 3)
    agent.responses = [503, {"seq": 7, "whole": False, "hosts": [host_entry("a")]}]
    agent.transport.abort()
    await until(lambda: len(received) == 3)
    # The request after the lost connection, which is refused, and the one after the refusal.
    assert [request.partition("?")[2].split("&")[0] for request in agent.requests[3:5]] == [
        "index=6",
        "index=6",
    ]
    assert agent.connections == 2


@asyncio_test
async def test_a_watch_that_starts_with_a_version_requests_the_changes_since_it():
    agent, received = await start_watch(
        [503, {"seq": 7, "whole": False, "hosts": [host_entry("a")]}], version=3
    )
    await until(lambda: received)
    assert [request.split("&")[0] for request in agent.requests[:2]] == ["/registry/instances?index=3"] * 2


@asyncio_test
async def test_a_lower_version_leads_to_a_request_of_the_whole_list():
    """Discovery has restarted: its versions may stay below the known one for hours."""
    whole = {"seq": 2, "whole": True, "hosts": [host_entry("b")]}
    agent, received = await start_watch([{"seq": 1, "whole": False, "hosts": []}, whole], version=9)
    await until(lambda: received)
    assert agent.requests[1] == "/registry/instances"
    assert received[0].whole


def test_the_first_requests_of_a_fleet_are_spread_over_a_time_that_grows_with_its_size_up_to_a_limit():
    """25 of 40 simultaneous requests failed, as discovery could not answer all in time, and the same happened
    at each retry. The time is limited to the call interval of running gateways: a change that a starting
    gateway requests later than that already counts as delivered to it.
    """
    start_times: dict[int, list[float]] = {}
    for gateways in (1, 3, 20, 40, 230):
        spread = first_request_spread(gateways, on_request=True)
        for seed in range(gateways):
            delays: set[float] = set()
            draw = random.Random(seed).random
            Watch(
                RecordingLoop(delays),
                ("127.0.0.1", 1),
                ZONES,
                list,
                random_fraction=draw,
                version=0,
                spread=spread,
            ).start_after_delay()
            start_times.setdefault(gateways, []).extend(delays)
    assert start_times[1] == [0.0]
    assert max(start_times[3]) < 0.5
    for gateways in (20, 40, 230):
        assert max(start_times[gateways]) <= discovery.ATTEMPT_INTERVAL_MAX
        # Requests per second if they were spread evenly.
        even_rate = max(1 / discovery.FIRST_REQUEST_SPACING, gateways / discovery.ATTEMPT_INTERVAL_MAX)
        largest = max(
            sum(start <= time < start + 1 for time in start_times[gateways])
            for start in start_times[gateways]
        )
        assert largest <= 2 * even_rate
    assert first_request_spread(60, on_request=False) == 0.0


def test_gateways_that_are_refused_at_the_same_time_retry_at_different_times():
    delays = set()
    for seed in range(8):
        watch = Watch(
            RecordingLoop(delays), ("127.0.0.1", 1), ZONES, list, random_fraction=random.Random(seed).random
        )
        watch.next_attempt_due = discovery.ATTEMPT_INTERVAL_MAX  # an attempt has just begun
        watch.slow_down()
        watch._reconnect_later()
    assert len(delays) == 8
    assert all(
        discovery.REFUSED_INTERVAL_MIN / 2 <= delay <= discovery.REFUSED_INTERVAL_MIN for delay in delays
    )


class RecordingLoop:
    """An event loop that only records the requested delays."""

    def __init__(self, delays: set[float]) -> None:
        self.delays = delays

    def time(self) -> float:
        return 0.0

    def call_later(self, delay: float, *callback) -> None:
        self.delays.add(delay)


@asyncio_test
async def test_a_response_with_connection_close_is_processed():
    body = json.dumps({"seq": 5, "whole": True, "hosts": [host_entry("a")]}).encode()
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
    loop, received, agent = asyncio.get_running_loop(), [], FakeAgent([])
    agent.data_received = lambda data: agent.transport.write(head + body)
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, received.append).start()
    await until(lambda: len(received) >= 2)
    assert {host_list.version for host_list in received} == {5}
    assert agent.connections >= 2


def test_malformed_entries_are_skipped_and_the_others_kept():
    malformed = [
        7,
        None,
        {},
        host_entry("x", health="ASLEEP"),
        host_entry("x", block="b"),
        host_entry("x", dial="nowhere"),
        host_entry("x", born_ms=float("inf")),
    ]
    host_list = parse_hosts(
        {"seq": 1, "whole": True, "hosts": [*malformed, host_entry("a", site="hall-b", born_ms=12)]}, ZONES
    )
    assert host_list.malformed == len(malformed)
    (host,) = host_list.hosts
    assert (host.entry.server, host.entry.zone, host.entry.launched) == (b"a", 1, 12_000)
    assert host.address == ("127.0.0.1", 7)


@asyncio_test
async def test_senders_are_identified_by_address_and_invalid_datagrams_dropped():
    gateway = LoopbackGateway(await FakeHost("a").listen())
    peer, unknown = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for sock in (peer, unknown):
        sock.bind(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    # Rank 0 is the gateway itself, rank 1 the peer.
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Peers(gateway.driver, (("127.0.0.1", 1), peer.getsockname()), 0), local_addr=("127.0.0.1", 0)
    )
    own_address = transport.get_extra_info("sockname")
    row = messages.Row(9, 0, 0, 2, 0, 50.0, 50.0, 0.0, ())  # state of customer 9
    # The flags: an answer is expected, and the message is for the customer's owner.
    valid = messages.pack(gateway.driver.clock() // 1000, True, True, [messages.pack_row(row, 0, 2)])
    unknown.sendto(valid, own_address)
    peer.sendto(b"x" * 300, own_address)
    peer.sendto(b"\xff" * 40, own_address)
    peer.sendto(b"", own_address)
    peer.sendto(valid, own_address)
    await until(lambda: 9 in gateway.driver.gateway.accounts)
    assert list(gateway.driver.gateway.last_received) == [1]  # ranks that sent a valid message
    peer.setblocking(False)
    reply = await loop.sock_recv(peer, 512)
    assert len(reply) <= messages.MESSAGE_BYTES_MAX
    unknown.setblocking(False)
    try:
        unknown.recv(512)
    except BlockingIOError:
        pass
    else:
        raise AssertionError("an unknown sender got a reply")
    transport.close()


@asyncio_test
async def test_changes_of_a_lower_version_are_not_applied_to_the_list_held():
    """Discovery has restarted: its changes may call a host ready that drains."""
    change = {"seq": 1, "whole": False, "hosts": [host_entry("a")]}
    whole = {"seq": 2, "whole": True, "hosts": [host_entry("a", health="DRAINING")]}
    _, received = await start_watch([change, whole], version=9)
    await until(lambda: received)
    assert [host_list.version for host_list in received] == [2]
