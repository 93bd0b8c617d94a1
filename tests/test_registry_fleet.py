"""The registry with a fleet of 200 watchers; ``-s`` prints the figures of docs/measurements.md."""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import time

from conftest import asyncio_test, until
from registry_processes import PATH, Connection, Node, Registry, call, change_state, registration

WATCHERS, HOSTS = 200, 200


class Watcher(asyncio.Protocol):
    """Watches one service as a gateway does and records the changes in the order received."""

    def __init__(self, node: Node, index: int, seed: int, disconnect_rate: float = 0.0) -> None:
        self.node, self.index, self.random, self.disconnect_rate = (
            node,
            index,
            random.Random(seed),
            disconnect_rate,
        )
        self.changes: list[tuple[str, str]] = []
        self.full_lists = self.answers = self.bytes = self.connections = 0
        self.buffer = b""
        self.done = False
        self.transport: asyncio.Transport | None = None

    async def start(self) -> None:
        address, _, port = self.node.listen.rpartition(":")
        while not self.done:
            try:
                await asyncio.get_running_loop().create_connection(lambda: self, address, int(port))
                return
            except OSError:
                await asyncio.sleep(0.05)

    def connection_made(self, transport) -> None:
        self.transport, self.buffer = transport, b""
        self.connections += 1
        if self.done:  # the connection was still being set up when the watcher ended
            transport.abort()
            return
        self.send_request()

    def send_request(self) -> None:
        self.transport.write(f"GET {PATH}?index={self.index}&wait=30000 HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.bytes += len(data)
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        if len(body) < length:
            return
        self.buffer = b""
        answer = json.loads(body)
        assert answer["seq"] >= self.index
        self.index = answer["seq"]
        self.answers += 1
        self.full_lists += answer["whole"]
        self.changes += [(line["host"], line["health"]) for line in answer["hosts"]]
        if b"close" in head or self.random.random() < self.disconnect_rate:
            self.transport.abort()
        else:
            self.send_request()

    def connection_lost(self, error) -> None:
        if not self.done:
            self.reconnect = asyncio.get_running_loop().create_task(self.start())

    def end(self) -> None:
        self.done = True
        self.transport.abort()


async def register_hosts(node: Node, count: int, **changes) -> dict[str, int]:
    """Register hosts over several connections and return their versions."""
    connections = [await Connection.open(node.listen) for _ in range(10)]
    versions = {}
    for start in range(0, count, len(connections)):
        numbers = range(start, min(start + len(connections), count))
        for number, connection in zip(numbers, connections, strict=False):
            connection.send("PUT", f"{PATH}/s-{number}", registration(number, **changes))
        for number, connection in zip(numbers, connections, strict=False):
            versions[f"s-{number}"] = (await connection.read_response())["version"]
    for connection in connections:
        connection.close()
    return versions


async def start_watchers(node: Node, disconnect_rate=0.0) -> list[Watcher]:
    """Start all watchers and wait until each has a pending watch."""
    seq = (await node.list())["seq"]
    watchers = [Watcher(node, seq, number, disconnect_rate) for number in range(WATCHERS)]
    await asyncio.gather(*(watcher.start() for watcher in watchers))
    while (await node.figures())["watches"] < WATCHERS:
        await asyncio.sleep(0.02)
    return watchers


class RandomChanges:
    """Makes random changes to the hosts of one service and records the acknowledged ones."""

    def __init__(self, node: Node, versions: dict[str, int], seed: int) -> None:
        self.node, self.versions, self.random = node, versions, random.Random(seed)
        self.states = dict.fromkeys(versions, "SERVING")
        self.acknowledged: list[tuple[str, str]] = []

    async def write_random(self, connection: Connection) -> None:
        name = self.random.choice(sorted(self.versions))
        version, state = self.versions[name], self.states[name]
        requested = (
            "SERVING" if state == "DELETED" else self.random.choice(("SERVING", "DRAINING", "DELETED"))
        )
        answer = await change_state(connection, name, requested, version)
        assert answer.status == 200
        self.versions[name], self.states[name] = answer["version"], requested
        self.acknowledged.append((name, requested))


@asyncio_test
async def test_each_change_reaches_200_reconnecting_watchers_once_and_in_order(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        changes = RandomChanges(node, await register_hosts(node, HOSTS), seed=3)
        watchers = await start_watchers(node, disconnect_rate=0.1)
        connection = await Connection.open(node.listen)
        for _ in range(60):
            await changes.write_random(connection)
        await node.kill()
        await node.start()
        connection = await Connection.open(node.listen)
        for _ in range(60):
            await changes.write_random(connection)
        await until(lambda: all(len(watcher.changes) >= 120 for watcher in watchers), 30)
        assert all(watcher.changes == changes.acknowledged for watcher in watchers)
        assert sum(watcher.full_lists for watcher in watchers) == 0
        assert sum(watcher.connections for watcher in watchers) > 3 * WATCHERS
        for watcher in watchers:
            watcher.end()
        while (figures := await node.figures())["watches"] or figures["connections"] > 1:
            await asyncio.sleep(0.02)


@asyncio_test
async def test_response_is_built_once_and_sent_once_per_watcher(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        changes = RandomChanges(node, await register_hosts(node, HOSTS), seed=4)
        watchers = await start_watchers(node)
        before, sent = await node.figures(), sum(watcher.bytes for watcher in watchers)
        connection, delays = await Connection.open(node.listen), []
        for count in range(1, 41):
            started = time.perf_counter()
            await changes.write_random(connection)
            await until(lambda count=count: all(len(watcher.changes) == count for watcher in watchers))
            delays.append(1000 * (time.perf_counter() - started))
        after = await node.figures()
        size = (sum(watcher.bytes for watcher in watchers) - sent) / 40 / WATCHERS
        built = after["answers_made"] - before["answers_made"]
        assert built == 40  # independent of the number of watchers
        cpu = 1000 * (after["cpu_s"] - before["cpu_s"]) / 40
        assert size < 400  # one host's entry and the response head, independent of the number of hosts
        assert sum(watcher.answers for watcher in watchers) == 40 * WATCHERS
        print(f"\nwrite to last of {WATCHERS} watchers: median {statistics.median(delays):.1f} ms, ", end="")
        print(f"worst {max(delays):.1f} ms; {size:.0f} bytes a change and watcher; CPU {cpu:.1f} ms a change")
        started, count = time.perf_counter(), 400
        connections = [await Connection.open(node.listen) for _ in range(16)]

        async def write(number: int, connection: Connection) -> None:
            own = RandomChanges(
                node, {k: v for k, v in changes.versions.items() if int(k[2:]) % 16 == number}, 5
            )
            own.states = {name: changes.states[name] for name in own.versions}
            for _ in range(count // 16):
                await own.write_random(connection)

        await asyncio.gather(*(write(number, connection) for number, connection in enumerate(connections)))
        await until(lambda: all(len(watcher.changes) == 40 + count for watcher in watchers), 30)
        rate = count / (time.perf_counter() - started)
        answers = sum(watcher.answers for watcher in watchers) / WATCHERS - 40
        assert answers <= count  # changes of one transaction are sent in one response
        print(f"16 writers: {rate:.0f} changes a second, {answers / count:.2f} answers a change and watcher")
        before = await node.figures()
        await asyncio.sleep(2)
        after = await node.figures()
        assert after["bytes_out"] == before["bytes_out"]  # nothing is sent while nothing changes
        cpu_at_rest = (after["cpu_s"] - before["cpu_s"]) / 2
        print(
            f"at rest: {100 * cpu_at_rest:.1f}% of a core, {after['rss_kb_most'] // 1024} MB at most so far"
        )
        for watcher in watchers:
            watcher.end()


@asyncio_test
async def test_full_list_of_1000_hosts_is_served_after_sigkill(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        await register_hosts(node, 1_000)
        spans = []
        for _ in range(5):
            await node.kill()
            started = time.perf_counter()
            await node.start(ready=False)
            answer = await node.wait_for_list(lambda answer: True)
            spans.append(1000 * (time.perf_counter() - started))
            assert len(answer["hosts"]) == 1_000
        print(
            f"\nSIGKILL to the first whole answer of 1000 hosts: {sorted(round(span) for span in spans)} ms"
        )


@asyncio_test
async def test_log_stays_bounded_under_failing_requests(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        # All are listed before the first lease expires.
        assert len(await register_hosts(node, 300, lease_ms=10_000)) == 300
        while (await call(node.operators, "GET", "/hold"))["held"] < 300:
            await asyncio.sleep(0.05)
        assert (await call(node.operators, "POST", "/hold", {"held": 300})).status == 200
        await node.wait_for_list(lambda answer: answer["hosts"] == [])
        connection = await Connection.open(node.listen)
        for _ in range(300):
            assert (await connection.call("GET", f"{PATH}?index=x")).status == 400
        assert await node.stop() == 0
        await node.log_reader
        lines = node.log.decode().splitlines()
        assert 200 <= len(lines) < 260 and "lines_kept_back=" in lines[-1]
