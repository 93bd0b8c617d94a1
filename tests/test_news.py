"""Discovery's watch and the datagrams between gateways, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
from itertools import pairwise

from conftest import SITE, FakeHost, Rig, asyncio_test, until

from orchidlane import messages
from saffrongw import discovery
from saffrongw.config import parse_hosts
from saffrongw.discovery import Watch, first_call_spread
from saffrongw.peers import Peers

ZONES = ("hall-a", "hall-b")


def line(name: str, **changes) -> dict:
    host = FakeHost(name)
    host.port = 7
    return host.line(**changes)


class Agent(asyncio.Protocol):
    """A discovery agent: keeps what it was asked, answers with the next of ``answers`` (None: silence)."""

    def __init__(self, answers: list) -> None:
        self.responses, self.requests, self.connections = answers, [], 0
        self.at: list[float] = []  # when it was asked

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.connections += 1

    def data_received(self, data: bytes) -> None:
        self.requests.append(data.split()[1].decode())
        answer = self.responses.pop(0) if self.responses else None
        self.at.append(asyncio.get_running_loop().time())
        if isinstance(answer, int):
            self.transport.write(b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % answer)
        elif answer is not None:
            body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def watched(answers: list, **changes) -> tuple[Agent, list]:
    loop, told, agent = asyncio.get_running_loop(), [], Agent(answers)
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, told.append, **changes).start()
    return agent, told


@asyncio_test
async def test_the_watch_calls_again_from_the_version_told_on_one_connection():
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    change = {"seq": 6, "whole": False, "hosts": [line("a", health="DRAINING")]}
    agent, told = await watched([whole, change])
    await until(lambda: len(agent.requests) == 3)
    assert agent.requests[0] == "/registry/instances"
    assert [asked.split("?")[1].split("&")[0] for asked in agent.requests[1:]] == ["index=5", "index=6"]
    assert [(listed.version, listed.whole) for listed in told] == [(5, True), (6, False)]
    assert agent.connections == 1


@asyncio_test
async def test_a_silent_agent_and_answers_that_make_no_sense_lead_to_the_whole_list_anew():
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    agent, told = await watched([None, b"junk", b"[]", {"seq": 5}, whole], response_timeout=0.1)
    await until(lambda: told)
    assert agent.requests[:5] == ["/registry/instances"] * 5


@asyncio_test
async def test_a_watch_that_moves_leaves_the_old_address_in_whatever_state_it_is():
    loop = asyncio.get_running_loop()
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}

    async def serving(agent: Agent) -> tuple[str, int]:
        return (await loop.create_server(lambda: agent, "127.0.0.1", 0)).sockets[0].getsockname()[:2]

    old = Agent([whole])
    with socket.create_server(("127.0.0.1", 0)) as closed:
        nobody = closed.getsockname()
    states = {
        "watching": (await serving(old), lambda watch: len(old.requests) == 2),
        "backing off": (
            nobody,
            lambda watch: watch.last_connect_succeeded is False and watch.exchange is None,
        ),
        "connecting": (nobody, lambda watch: True),
    }
    for address, state in states.values():
        new, told = Agent([whole]), []
        watch = Watch(loop, address, ZONES, told.append)
        watch.start()
        await until(lambda watch=watch, state=state: state(watch))
        place = await serving(new)
        watch.set_address(place)
        await until(lambda new=new: len(new.requests) == 2)
        assert told[-1].version == 5
        assert watch.exchange.transport.get_extra_info("peername") == place
        watch.exchange.transport.abort()
    await until(lambda: old.transport.is_closing())


@asyncio_test
async def test_sighup_moves_the_watch_and_an_unusable_file_changes_nothing(tmp_path):
    loop = asyncio.get_running_loop()
    agents = [Agent([{"seq": 5, "whole": True, "hosts": []}]) for _ in range(2)]
    servers = [await loop.create_server(lambda agent=agent: agent, "127.0.0.1", 0) for agent in agents]
    places = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    text = {"name": "n0", "listen": "127.0.0.1:0", "discovery": places[0], "seed": "01"}
    text |= {"limits": {"sockets": 128}, "settings": SITE}
    file = tmp_path / "config.json"
    file.write_text(json.dumps(text))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "saffrongw",
        env=os.environ | {"LB_CONFIG": str(file)},
        stderr=asyncio.subprocess.PIPE,
    )
    await until(lambda: len(agents[0].requests) == 2, within=30)
    for unusable in (
        "{",
        json.dumps(text | {"settings": {}}),
        json.dumps(text | {"settings": SITE | {"rules": 7}}),
    ):
        file.write_text(unusable)
        process.send_signal(signal.SIGHUP)
        while b"event=config_unusable" not in await process.stderr.readline():
            assert process.returncode is None
    rules = SITE | {"rules": SITE["rules"] | {"drainGrace": 7}}
    moved = text | {"discovery": places[1], "seed": "02", "settings": rules, "log": {"form": "json"}}
    file.write_text(json.dumps(moved))
    process.send_signal(signal.SIGHUP)
    while b"config_read" not in (said := await process.stderr.readline()):
        assert process.returncode is None
    assert b"in_force=discovery,log_form needs_restart=settings.drain_grace" in said
    await until(lambda: len(agents[1].requests) == 2)
    await until(lambda: agents[0].transport.is_closing())
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 10) == 0


@asyncio_test
async def test_an_agent_that_hangs_in_a_watch_is_called_anew_within_seconds():
    """For 22 s nothing was heard of a release: the call that waits was never answered (r9442fa)."""
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    agent, told = await watched([whole, None, whole | {"seq": 9}])
    await until(lambda: len(told) == 2)
    assert [listed.version for listed in told] == [5, 9]
    assert agent.connections == 2


@asyncio_test
async def test_an_overbooked_discovery_is_called_ever_less_and_the_watch_goes_on_once_it_answers(monkeypatch):
    monkeypatch.setattr(discovery, "REFUSED_INTERVAL_MIN", 0.1)
    monkeypatch.setattr(discovery, "CALL_INTERVAL_MAX", 0.8)
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    empty = {"seq": 5, "whole": False, "hosts": []}
    agent, told = await watched([503] * 5 + [whole] + [empty] * 9)
    await until(lambda: len(agent.requests) >= 14)
    gaps = [after - before for before, after in pairwise(agent.at)]
    # The loop's clock counts whole milliseconds.
    assert all(gap > span - 0.005 for gap, span in zip(gaps, (0.1, 0.2, 0.4, 0.8, 0.8), strict=False))
    assert len(told) == 1 and agent.connections == 1
    # From then on the next call comes at once, for only that goes on with the watch.
    assert all("wait=2000" in asked for asked in agent.requests[6:])
    assert all(gap < 0.1 for gap in gaps[5:])


@asyncio_test
async def test_what_changed_is_asked_for_after_a_refusal_and_after_a_lost_connection():
    """Whole lists after each refusal kept discovery overbooked for good: it was never asked for less."""
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    change = {"seq": 6, "whole": False, "hosts": [line("a", health="DRAINING")]}
    agent, told = await watched([whole, change, None])
    await until(lambda: len(agent.requests) == 3)
    agent.responses = [503, {"seq": 7, "whole": False, "hosts": [line("a")]}]
    agent.transport.abort()
    await until(lambda: len(told) == 3)
    assert [asked.partition("?")[2].split("&")[0] for asked in agent.requests[3:5]] == ["index=6", "index=6"]
    assert agent.connections == 2


@asyncio_test
async def test_a_gateway_that_starts_where_lists_cost_asks_for_what_changed_since_the_one_it_is_given():
    agent, told = await watched([503, {"seq": 7, "whole": False, "hosts": [line("a")]}], version=3)
    await until(lambda: told)
    assert [asked.split("&")[0] for asked in agent.requests[:2]] == ["/registry/instances?index=3"] * 2


@asyncio_test
async def test_a_version_that_goes_back_leads_to_the_whole_list():
    """Discovery started anew: what is newer than ours may not come for hours."""
    whole = {"seq": 2, "whole": True, "hosts": [line("b")]}
    agent, told = await watched([{"seq": 1, "whole": False, "hosts": []}, whole], version=9)
    await until(lambda: told)
    assert agent.requests[1] == "/registry/instances"
    assert told[0].whole


def test_the_first_calls_of_a_fleet_are_spread_over_a_span_that_grows_with_it_up_to_what_is_owed():
    """40 calls at once were more than discovery answers in time: 25 failed, and again with each try. But who
    starts is owed nothing later than who runs: what it does not ask for in time counts as told."""
    moments: dict[int, list[float]] = {}
    for gateways in (1, 3, 20, 40, 230):
        spread = first_call_spread(gateways, on_request=True)
        for seed in range(gateways):
            spans: set[float] = set()
            draw = random.Random(seed).random
            Watch(
                Later(spans), ("127.0.0.1", 1), ZONES, list, random_fraction=draw, version=0, spread=spread
            ).start_after_delay()
            moments.setdefault(gateways, []).extend(spans)
    assert moments[1] == [0.0]
    assert max(moments[3]) < 0.5
    for gateways in (20, 40, 230):
        assert max(moments[gateways]) <= discovery.CALL_INTERVAL_MAX
        evenly = max(1 / discovery.FIRST_CALL_SPACING, gateways / discovery.CALL_INTERVAL_MAX)  # in a second
        most = max(sum(at <= m < at + 1 for m in moments[gateways]) for at in moments[gateways])
        assert most <= 2 * evenly
    assert first_call_spread(60, on_request=False) == 0.0


def test_gateways_that_are_refused_together_do_not_come_back_together():
    spans = set()
    for seed in range(8):
        watch = Watch(Later(spans), ("127.0.0.1", 1), ZONES, list, random_fraction=random.Random(seed).random)
        watch.next_attempt_due = discovery.CALL_INTERVAL_MAX  # a try has begun just now
        watch.slow_down()
        watch._reconnect_later()
    assert len(spans) == 8
    assert all(discovery.REFUSED_INTERVAL_MIN / 2 <= span <= discovery.REFUSED_INTERVAL_MIN for span in spans)


class Later:
    """A loop that only notes how long it is asked to wait."""

    def __init__(self, spans: set[float]) -> None:
        self.spans = spans

    def time(self) -> float:
        return 0.0

    def call_later(self, span: float, *call) -> None:
        self.spans.add(span)


@asyncio_test
async def test_an_answer_after_which_the_agent_closes_counts():
    body = json.dumps({"seq": 5, "whole": True, "hosts": [line("a")]}).encode()
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
    loop, told, agent = asyncio.get_running_loop(), [], Agent([])
    agent.data_received = lambda data: agent.transport.write(head + body)
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, told.append).start()
    await until(lambda: len(told) >= 2)
    assert {listed.version for listed in told} == {5}
    assert agent.connections >= 2


def test_an_odd_entry_is_left_out_and_the_others_stand():
    odd = [
        7,
        None,
        {},
        line("x", health="ASLEEP"),
        line("x", block="b"),
        line("x", dial="nowhere"),
        line("x", born_ms=float("inf")),
    ]
    listed = parse_hosts(
        {"seq": 1, "whole": True, "hosts": [*odd, line("a", site="hall-b", born_ms=12)]}, ZONES
    )
    assert listed.malformed == len(odd)
    (host,) = listed.hosts
    assert (host.entry.server, host.entry.zone, host.entry.launched) == (b"a", 1, 12_000)
    assert host.address == ("127.0.0.1", 7)


@asyncio_test
async def test_datagrams_count_by_their_source_and_junk_is_dropped():
    rig = Rig(await FakeHost("a").listen())
    peer, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for sock in (peer, stranger):
        sock.bind(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Peers(rig.driver, (("127.0.0.1", 1), peer.getsockname()), 0), local_addr=("127.0.0.1", 0)
    )
    own = transport.get_extra_info("sockname")
    row = messages.Row(9, 0, 0, 2, 0, 50.0, 50.0, 0.0, ())
    good = messages.pack(rig.driver.clock() // 1000, True, True, [messages.pack_row(row, 0, 2)])
    stranger.sendto(good, own)
    peer.sendto(b"x" * 300, own)
    peer.sendto(b"\xff" * 40, own)
    peer.sendto(b"", own)
    peer.sendto(good, own)
    await until(lambda: 9 in rig.driver.gateway.accounts)
    assert list(rig.driver.gateway.last_received) == [1]
    peer.setblocking(False)
    reply = await loop.sock_recv(peer, 512)
    assert len(reply) <= messages.MESSAGE_BYTES_MAX
    stranger.setblocking(False)
    try:
        stranger.recv(512)
    except BlockingIOError:
        pass
    else:
        raise AssertionError("a stranger was answered")
    transport.close()
