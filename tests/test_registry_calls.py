"""The registry's HTTP interface: responses to readers and writers, and handling of invalid input."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest
from conftest import asyncio_test
from registry_processes import PATH, Connection, Registry, address_of, call, host_names, registration

from ops.http import Server


async def started_node(registry: Registry, **options):
    return await registry.node(**options).start("--new")


@asyncio_test
async def test_reader_gets_full_list_then_changes_with_every_field(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        first = await node.put("s-1", share=0.5, block=3, born_ms=1700000000000)
        whole = await node.list()
        assert whole["whole"] is True and whole["seq"] == first["version"]
        line = {"host": "s-1", "dial": "127.0.0.1:6001", "site": "hall-a", "class": "m", "block": 3}
        line |= {"health": "SERVING", "share": 0.5, "born_ms": 1700000000000}
        assert whole["hosts"] == [line]
        drained = await node.post("s-1", "drain", first["version"])
        removed = await node.remove("s-1", drained["version"])
        changes = await node.list(f"?index={whole['seq']}")
        assert changes["whole"] is False and changes["seq"] == removed["version"]
        assert changes["hosts"] == [line | {"health": "DRAINING"}, line | {"health": "DELETED"}]
        assert (await node.list(f"?index={drained['version']}"))["hosts"] == [line | {"health": "DELETED"}]
        assert (await node.list())["hosts"] == []
        assert first["version"] < drained["version"] < removed["version"]


@asyncio_test
async def test_watch_returns_on_change_or_timeout(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        seq = (await node.list())["seq"]
        empty = await node.list(f"?index={seq}&wait=50")
        assert (empty["seq"], empty["whole"], empty["hosts"]) == (seq, False, [])
        connection = await Connection.open(node.listen)
        connection.send("GET", f"{PATH}?index={seq}&wait=60000")
        while (await node.figures())["watches"] == 0:
            await asyncio.sleep(0.01)
        put = await node.put("s-1")
        change = await connection.read_response()
        assert (change["seq"], change["whole"], host_names(change)) == (put["version"], False, {"s-1"})
        connection.send("GET", f"{PATH}?index={change['seq']}&wait=60000")  # on the same connection
        await node.remove("s-1", put["version"])
        assert [line["health"] for line in (await connection.read_response())["hosts"]] == ["DELETED"]


@asyncio_test
async def test_aborted_watch_releases_its_resources(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        seq = (await node.list())["seq"]
        connections = [await Connection.open(node.listen) for _ in range(20)]
        for connection in connections:
            connection.send("GET", f"{PATH}?index={seq}&wait=60000")
        while (await node.figures())["watches"] < 20:
            await asyncio.sleep(0.01)
        for number, connection in enumerate(connections):
            if number % 2:
                connection.close()
            else:
                connection.writer.write_eof()  # a half-closed connection can't send another request
        while (figures := await node.figures())["watches"] or figures["connections"]:
            await asyncio.sleep(0.01)
        assert (await node.put("s-1")).status == 200


@asyncio_test
async def test_unassigned_index_gets_full_list(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        put = await node.put("s-1")
        for index in (0, 41, put["version"] - 1, put["version"] + 1, 2**53 - 1):
            answer = await asyncio.wait_for(node.list(f"?index={index}&wait=60000"), 5)
            assert (
                answer["whole"] is True and answer["seq"] == put["version"] and host_names(answer) == {"s-1"}
            )


@asyncio_test
async def test_stale_write_does_not_overwrite_newer_one(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        old = await node.put("s-1")
        new = await node.put("s-1", version=old["version"])  # a restart of the host's process
        assert new["born_ms"] > old["born_ms"]
        stale_removal = await node.remove("s-1", old["version"])
        assert stale_removal.status == 409 and stale_removal["version"] == new["version"]
        assert (await node.post("s-1", "drain", old["version"])).status == 409
        assert (await node.post("s-1", "renew", old["version"])).status == 409
        assert (await node.put("s-1", version=0)).status == 409
        older = await node.put("s-1", version=new["version"], born_ms=old["born_ms"])
        assert older.status == 409 and older["born_ms"] == new["born_ms"]
        whole = await node.list()
        assert whole["seq"] == new["version"] and whole["hosts"][0]["health"] == "SERVING"
        ahead = await node.put("s-1", version=new["version"], born_ms=new["born_ms"] + 3_600_000)
        new = await node.put("s-1", version=ahead["version"])  # the host's clock was ahead before
        assert new["born_ms"] > ahead["born_ms"]
        removed = await node.remove("s-1", new["version"])
        late = await node.put("s-1", version=0)  # delayed, and overtaken by the host's removal
        assert late.status == 409 and late["version"] == removed["version"]
        again = await node.put("s-1", version=removed["version"])
        assert again.status == 200 and again["born_ms"] > new["born_ms"]


@asyncio_test
async def test_one_of_several_concurrent_writers_wins(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        old = await node.put("s-1")
        connections = [await Connection.open(node.listen) for _ in range(16)]
        for number, connection in enumerate(connections):
            if number % 2:
                connection.send("DELETE", f"{PATH}/s-1?version={old['version']}")
            else:  # each with another cell (``block``), so that no two are alike
                connection.send("PUT", f"{PATH}/s-1", registration(version=old["version"], block=number))
        answers = [await connection.read_response() for connection in connections]
        assert [answer.status for answer in answers].count(200) == 1


@asyncio_test
async def test_expired_lease_removes_host_and_renewed_lease_keeps_it(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        kept = await node.put("kept", lease_ms=2000)
        lost = await node.put("lost", lease_ms=2000)
        seq = (await node.list())["seq"]
        while (await node.list(f"?index={seq}"))["hosts"] == []:
            assert (await node.post("kept", "renew", kept["version"])).status == 200
            await asyncio.sleep(0.1)
        assert host_names(await node.list()) == {"kept"}
        late = await node.post("lost", "renew", lost["version"])
        assert late.status == 404 and late["version"] > lost["version"]
        same = await node.put("lost", version=late["version"], born_ms=lost["born_ms"])
        # The host's process has not restarted.
        assert same.status == 200 and same["born_ms"] == lost["born_ms"]


BAD_TARGETS = [
    "?index=-1",
    "?index=1.5",
    "?index=",
    "?index=%C2%B2",
    "?index=99999999999999999",
    "?index=1&wait=60001",
    "?index=1&wait=-1",
    "?index=1&index=2",
    "?wait=soon",
    "?since=1",
    "?index",
]
BAD_FIELDS = [
    {"dial": "host:80"},
    {"dial": "127.0.0.1"},
    {"dial": "127.0.0.1:0"},
    {"dial": "127.0.0.1:65536"},
    {"dial": "127.0.0.01:80"},
    {"dial": "[::1]:80"},
    {"dial": 5},
    {"site": ""},
    {"site": "a b"},
    {"class": "x" * 65},
    {"block": -1},
    {"block": True},
    {"block": 2**31},
    {"share": 0},
    {"share": -1.0},
    {"share": "1"},
    {"share": True},
    {"share": 1e9},
    {"health": "DELETED"},
    {"health": "ILL"},
    {"health": ["SERVING"]},
    {"lease_ms": 999},
    {"lease_ms": 10**9},
    {"version": -1},
    {"version": 1.0},
    {"version": "0"},
    {"version": 2**60},
    {"born_ms": -1},
    {"born_ms": 2**52},
    {"colour": "red"},
]
BAD_BODIES = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff\xfe",
    b'{"version":NaN}',
    b'{"share":1' + b"0" * 400 + b"}",
    b"[" * 3000,
    json.dumps(registration())[:-1].encode() + b',"block":2}',
]


@asyncio_test
async def test_invalid_input_gets_one_line_error_and_changes_nothing(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        put = await node.put("s-1")
        before = await node.list()
        connection = await Connection.open(node.listen)
        calls = [("GET", PATH + target, None) for target in BAD_TARGETS]
        calls += [("PUT", f"{PATH}/s-2", registration(**bad)) for bad in BAD_FIELDS]
        calls += [("PUT", f"{PATH}/s-2", bad) for bad in BAD_BODIES]
        calls += [("PUT", f"{PATH}/s-2", {key: 1}) for key in ("dial", "version")]
        calls += [
            ("PUT", f"{PATH}/{bad}", registration()) for bad in ("-x", "a%20b", "x" * 65, "%ff", "a%00")
        ]
        calls += [
            ("POST", f"{PATH}/s-1/drain", bad) for bad in (b"", {"version": "x"}, {"v": put["version"]})
        ]
        calls += [("DELETE", f"{PATH}/s-1{bad}", None) for bad in ("", "?version=", "?version=1&x=2")]
        for method, target, body in calls:
            answer = await connection.call(method, target, body)
            assert answer.status == 400, (target, body)
            assert answer["error"] and "\n" not in answer["error"]
        others = [("POST", PATH, 405), ("PATCH", f"{PATH}/s-1", 405), ("GET", "/", 404), ("GET", "/x", 404)]
        others += [("GET", f"{PATH}/s-1/renew", 405), ("POST", f"{PATH}/s-1/kill", 404), ("HEAD", PATH, 405)]
        others += [("GET", f"{PATH}/s-1/a/b", 404), ("GET", f"{PATH}/s-3", 404)]
        for method, target, status in others:
            assert (await connection.call(method, target)).status == status
        assert await connection.call("GET", PATH) == before
        assert (await node.figures())["counts"] == {"changes": 1}


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\n" + b"A: b\r\n" * 3000 + b"\r\n", 431),
        (b"GET /" + b"x" * 20_000, 431),
        (
            b"PUT " + PATH.encode() + b"/s HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n" + b"x" * 9999,
            413,
        ),
        (b"\x16\x03\x01\x02\x00", 400),  # TLS
    ],
)
def test_invalid_http_gets_error_and_is_closed(tmp_path, raw, status):
    @asyncio_test
    async def run():
        async with Registry(tmp_path) as registry:
            node = await started_node(registry)
            connection = await Connection.open(node.listen)
            connection.writer.write(raw)
            answer = await asyncio.wait_for(connection.read_response(), 9)
            assert answer.status == status and answer["error"]
            assert await connection.reader.read() == b""
            assert (await node.list()).status == 200

    run()


@asyncio_test
async def test_slow_idle_and_non_reading_clients_are_closed_in_bounded_time(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        for number in range(300):
            await node.put(f"s-{number}")
        silent, slow, unread = [await Connection.open(node.listen) for _ in range(3)]
        slow.writer.write(b"GET /registry/inst")
        unread.writer.transport.pause_reading()
        unread.writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unread.writer.write(b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n" * 400)
        assert await asyncio.wait_for(silent.reader.read(), 8) == b""
        assert (await asyncio.wait_for(slow.read_response(), 8)).status == 408
        async with asyncio.timeout(20):
            while (await node.figures())["connections"]:
                await asyncio.sleep(0.1)
        calls = (await node.figures())["calls"]
        assert (calls["closed_slow"], calls["cut_unread"]) == (2, 1)
        assert calls["answered"] < 500  # responses beyond the socket buffers were never built


@asyncio_test
async def test_idle_connection_is_closed_after_timeout():
    server = Server(lambda connection, request: connection.respond(b"{}"), 4, idle_timeout=0.1)
    await server.listen(("127.0.0.1", 0))
    connection = await Connection.open(address_of(server.server))
    for _ in range(3):  # requests keep the connection open
        assert (await connection.call("GET", "/")).status == 200
    assert await asyncio.wait_for(connection.reader.read(), 5) == b""
    assert server.counts["closed_idle"] == 1 and not server.connections
    await server.shut_down(0.1)


@asyncio_test
async def test_connections_beyond_the_limit_get_429_and_hold_no_resources(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry, connections=8)
        seq = (await node.list())["seq"]
        watches = [await Connection.open(node.listen) for _ in range(8)]
        for connection in watches:
            connection.send("GET", f"{PATH}?index={seq}&wait=60000")
        while (await node.figures())["watches"] < 8:
            await asyncio.sleep(0.01)
        rejected = [await call(node.listen, "GET", PATH) for _ in range(4)]
        assert [answer.status for answer in rejected] == [429] * 4
        idle_clients = [await Connection.open(node.listen) for _ in range(40)]
        for connection in idle_clients:  # clients that send nothing
            assert await asyncio.wait_for(connection.reader.read(), 5) == b""
        figures = await node.figures()
        assert figures["watches"] == 8 and figures["calls"]["cut_crowded"] > 20
        watches[0].close()
        while (await node.figures())["connections"] > 7:
            await asyncio.sleep(0.01)
        assert (await node.put("s-1")).status == 200
        for connection in watches[1:]:
            assert host_names(await connection.read_response()) == {"s-1"}


@asyncio_test
async def test_full_list_rejects_new_hosts_but_accepts_listed_ones(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry, hosts=2)
        first = await node.put("s-1")
        assert (await node.put("s-2")).status == 200
        assert (await node.put("s-3")).status == 403
        assert (await node.put("s-1", version=first["version"])).status == 200


@asyncio_test
async def test_sigterm_answers_watches_and_loses_nothing(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await started_node(registry)
        seq = (await node.list())["seq"]
        connections = [await Connection.open(node.listen) for _ in range(5)]
        for connection in connections:
            connection.send("GET", f"{PATH}?index={seq}&wait=60000")
        while (await node.figures())["watches"] < 5:
            await asyncio.sleep(0.01)
        node.process.terminate()
        for connection in connections:
            answer = await connection.read_response()
            assert (answer["seq"], answer["hosts"], answer.headers["connection"]) == (seq, [], "close")
        assert await asyncio.wait_for(node.process.wait(), 10) == 0
        await node.start()
        assert (await node.list())["seq"] > seq
