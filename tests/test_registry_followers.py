"""Followers and agents: failures that they survive, and updates that they must reject."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import sqlite3

import pytest
from conftest import FakeHost, GatewayProcesses, asyncio_test, free_address
from registry_processes import (
    PATH,
    AgentNode,
    Connection,
    Node,
    Registry,
    address_of,
    call,
    host_names,
    registration,
)

STALENESS_LIMIT = 6.0  # seconds after which a change counts as delivered


class UnresponsiveService:
    """A service that accepts connections and never responds."""

    async def __aenter__(self) -> UnresponsiveService:
        self.connections, self.writers = 0, []
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = address_of(self.server)
        return self

    def _accept(self, reader, writer) -> None:
        self.connections += 1
        self.writers.append(writer)

    async def __aexit__(self, *error) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.server.close()


class FakeRegistry:
    """A fake service that answers each request with the update set by the test."""

    def __init__(self) -> None:
        self.update, self.life, self.targets, self.writers = (
            {"seq": 1, "whole": True, "hosts": []},
            "1",
            [],
            [],
        )
        self.invalid_json = False

    async def __aenter__(self) -> FakeRegistry:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = address_of(self.server)
        return self

    async def _serve(self, reader, writer) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.targets.append(head.split()[1].decode())
                body = b"{" if self.invalid_json else json.dumps(self.update).encode()
                lines = f"Registry-Life: {self.life}\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + lines.encode() + body)
                await asyncio.sleep(0.02)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def __aexit__(self, *error) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def entry(name: str, health="SERVING", **changes) -> dict:
    raw = {"host": name, "health": health, "born_ms": 1} | registration() | changes
    return {key: raw[key] for key in ("host", "dial", "site", "class", "block", "health", "share", "born_ms")}


def agent_node(registry: Registry, *services: str, name="agent", **options) -> Node:
    return AgentNode(registry, name, follow=",".join(services), **options)


@asyncio_test
async def test_follower_serves_same_list_and_redirects_writes_to_primary(tmp_path):
    async with Registry(tmp_path) as registry:
        primary = await registry.node().start("--new")
        put = await primary.put("s-1")
        follower = await registry.node("b", follow=primary.listen).start("--new")
        whole = await follower.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
        assert whole == await primary.list()
        assert whole.headers["registry-life"] == (await primary.list()).headers["registry-life"]
        watch = await Connection.open(follower.listen)
        watch.send("GET", f"{PATH}?index={whole['seq']}&wait=60000")
        drained = await primary.post("s-1", "drain", put["version"])
        change = await watch.read_response()
        assert change["seq"] == drained["version"] and change["hosts"][0]["health"] == "DRAINING"
        calls = [("PUT", "s-2", registration()), ("DELETE", "s-1?version=1", None)]
        calls += [("POST", "s-1/renew", {"version": 1}), ("POST", "s-1/drain", {"version": 1})]
        for method, target, body in calls:
            answer = await call(follower.listen, method, f"{PATH}/{target}", body)
            assert answer.status == 421 and answer["primary"] == primary.listen
        await primary.kill()
        await follower.kill()
        await follower.start()  # from its own store, while the primary is down
        alone = await follower.list()
        assert alone["hosts"] == change["hosts"] and alone["seq"] == change["seq"]


@asyncio_test
async def test_follower_with_full_disk_serves_last_list_until_it_can_write(tmp_path):
    async with Registry(tmp_path) as registry:
        primary = await registry.node().start("--new")
        await primary.put("s-1")
        follower = await registry.node("b", follow=primary.listen).start("--new")
        await follower.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
        blocker = sqlite3.connect(follower.store, isolation_level=None)
        blocker.execute("BEGIN IMMEDIATE")  # makes the store's writes fail, like a full disk
        await primary.put("s-2")
        async with asyncio.timeout(15):
            while (await call(follower.operators, "GET", "/health")).status == 200:
                await asyncio.sleep(0.05)
        assert host_names(await follower.list()) == {"s-1"}
        blocker.execute("ROLLBACK")
        await follower.wait_for_list(lambda answer: host_names(answer) == {"s-1", "s-2"}, 30)
        assert (await call(follower.operators, "GET", "/health")).status == 200


@asyncio_test
async def test_promoted_follower_takes_over_and_old_primary_is_ignored(tmp_path):
    async with Registry(tmp_path) as registry:
        old = await registry.node().start("--new")
        put = await old.put("s-1")
        follower = await registry.node("b", follow=old.listen).start("--new")
        agent = await agent_node(registry, old.listen, follower.listen).start()
        await agent.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
        await follower.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
        await old.kill()
        await follower.stop()
        del follower.options["follow"]
        line = await registry.failed_start(*follower.arguments())
        assert "--promote" in line
        await follower.start("--promote")
        late = await follower.post("s-1", "renew", put["version"])
        assert late.status == 409 and late["entry"]["born_ms"] == put["born_ms"]
        assert (await follower.post("s-1", "renew", late["version"])).status == 200
        assert (await follower.put("s-2")).status == 200
        await agent.wait_for_list(lambda answer: host_names(answer) == {"s-1", "s-2"})
        await old.start()  # with its list from before the promotion
        assert (await old.put("s-9")).status == 200
        assert host_names(await old.list()) == {"s-1", "s-9"}
        await follower.kill()  # only the old primary can be reached
        while (await agent.figures())["counts"].get("older", 0) == 0:
            await asyncio.sleep(0.05)
        assert host_names(await agent.list()) == {"s-1", "s-2"}
        await old.stop()
        await follower.start()
        old.options["follow"] = follower.listen
        assert "--demote" in await registry.failed_start(*old.arguments())
        await old.start("--demote")
        await old.wait_for_list(lambda answer: host_names(answer) == {"s-1", "s-2"})


@asyncio_test
async def test_agent_without_services_serves_last_list_with_its_age(tmp_path):
    async with Registry(tmp_path) as registry:
        primary = await registry.node().start("--new")
        put = await primary.put("s-1")
        agent = await agent_node(registry, primary.listen, keep=tmp_path / "kept").start()
        whole = await agent.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
        await primary.kill()
        while (await agent.figures())["age_s"] < 1.2:
            await asyncio.sleep(0.1)
        answer = await agent.list()
        assert answer == whole and int(answer.headers["age"]) >= 1
        waited = await agent.list(f"?index={whole['seq']}&wait=100")
        assert waited["hosts"] == [] and waited["seq"] == whole["seq"]
        await agent.kill()
        await agent.start()  # from its list file
        answer = await agent.list()
        assert answer == whole and int(answer.headers["age"]) >= 1
        await primary.start()
        await primary.post("s-1", "drain", put["version"])
        changed = await agent.wait_for_list(lambda answer: answer["hosts"][0]["health"] == "DRAINING")
        assert "age" not in changed.headers or int(changed.headers["age"]) <= 5
        async with asyncio.timeout(5):
            while b"DRAINING" not in (tmp_path / "kept").read_bytes():
                await asyncio.sleep(0.05)


class SlowLink:
    """A relay to a service that delays each request, as a slow network or a busy service does."""

    def __init__(self, service: str, delay: float) -> None:
        self.service, self.delay = service, delay
        self.silent: set[asyncio.StreamReader] = set()  # what they receive from now on is dropped
        self.open: set[asyncio.StreamReader] = set()

    async def __aenter__(self) -> SlowLink:
        self.server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        self.address = address_of(self.server)
        return self

    async def _relay(self, reader, writer) -> None:
        host, port = self.service.split(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._copy(reader, upstream_writer, self.delay), self._copy(upstream_reader, writer, 0.0)
        )

    async def _copy(self, reader, writer, delay: float) -> None:
        with contextlib.suppress(ConnectionError):
            self.open.add(reader)
            while data := await reader.read(65_536):
                await asyncio.sleep(delay)
                if reader not in self.silent:
                    writer.write(data)
        writer.close()

    async def __aexit__(self, *error) -> None:
        self.server.close()


@pytest.mark.parametrize("kind", ["agent", "follower"])
@asyncio_test
async def test_a_restarted_replica_does_not_serve_a_list_from_before_its_restart(tmp_path, kind):
    """A gateway that starts with its agent took the stored list for discovery's current one."""
    async with Registry(tmp_path) as registry:
        primary = await registry.node().start("--new")
        put = await primary.put("s-1")
        async with SlowLink(primary.listen, 0.3) as link:
            if kind == "agent":
                replica = agent_node(registry, link.address, keep=tmp_path / "kept")
            else:
                replica = registry.node("b", follow=link.address)
            await replica.start(*(["--new"] if kind == "follower" else []))
            await replica.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
            await replica.stop()
            await primary.post("s-1", "drain", put["version"])
            await replica.start()
            assert [host["health"] for host in (await replica.list())["hosts"]] == ["DRAINING"]


@asyncio_test
async def test_an_agent_whose_connection_falls_silent_has_a_change_within_six_seconds(tmp_path):
    """The long poll and its answer were waited for together for 7 s before the agent connected anew."""
    async with Registry(tmp_path) as registry:
        primary = await registry.node().start("--new")
        put = await primary.put("s-1")
        async with SlowLink(primary.listen, 0.0) as link:
            agent = await agent_node(registry, link.address).start()
            await agent.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
            link.silent |= link.open
            await primary.post("s-1", "drain", put["version"])
            async with asyncio.timeout(STALENESS_LIMIT):
                await agent.wait_for_list(lambda answer: answer["hosts"][0]["health"] == "DRAINING")


@asyncio_test
async def test_agent_ignores_damaged_list_file(tmp_path):
    async with Registry(tmp_path) as registry:
        kept = tmp_path / "kept"
        primary = await registry.node().start("--new")
        await primary.put("s-1")
        agent = await agent_node(registry, primary.listen, keep=kept).start()
        await agent.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
        await agent.stop()
        await primary.kill()
        raw = kept.read_bytes()
        for bad in (b"", raw[:-1], raw[:40], raw.replace(b"s-1", b"s-2"), b"\xff" * 80, raw[33:]):
            kept.write_bytes(bad)
            await agent.start()
            assert (await agent.list()).status == 503
            assert b"event=kept_list_unusable" in agent.log
            agent.log.clear()
            await agent.kill()
        kept.write_bytes(raw)
        await agent.start()
        assert host_names(await agent.list()) == {"s-1"}


@asyncio_test
async def test_agent_moves_from_unresponsive_service_to_next_one(tmp_path):
    async with Registry(tmp_path) as registry, UnresponsiveService() as unresponsive:
        primary = await registry.node().start("--new")
        await primary.put("s-1")
        agent = await agent_node(registry, unresponsive.address, primary.listen).start()
        await agent.wait_for_list(lambda answer: host_names(answer) == {"s-1"})
        assert unresponsive.connections == 1


@asyncio_test
async def test_retries_of_failing_services_back_off(tmp_path):
    async with Registry(tmp_path) as registry, FakeRegistry() as fake:
        fake.invalid_json = True
        agent = await agent_node(registry, fake.address).start()
        await asyncio.sleep(3)
        assert 3 <= len(fake.targets) <= 7  # 0.1 s, doubled after each failure
        assert (await agent.list()).status == 503
        fake.invalid_json = False
        fake.update["hosts"] = [entry("s-1")]
        await agent.wait_for_list(lambda answer: host_names(answer) == {"s-1"})


@asyncio_test
async def test_agent_ignores_older_seq_of_same_life_and_older_life(tmp_path):
    async with Registry(tmp_path) as registry, FakeRegistry() as fake:
        fake.update = {"seq": 100, "whole": True, "hosts": [entry("s-1")]}
        fake.life = "50"
        agent = await agent_node(registry, fake.address).start()
        await agent.wait_for_list(lambda answer: answer["seq"] == 100)
        for life, seq, count in (("50", 99, 1), ("49", 200, 2)):
            fake.life = life
            fake.update = {"seq": seq, "whole": True, "hosts": []}
            while (await agent.figures())["counts"].get("older", 0) < count:
                await asyncio.sleep(0.02)
            assert host_names(await agent.list()) == {"s-1"}
        fake.life, fake.update = "60", {"seq": 70, "whole": True, "hosts": [entry("s-2")]}
        # A later life has a lower sequence number, as the new primary's clock is behind.
        answer = await agent.wait_for_list(lambda answer: answer["seq"] == 70)
        assert host_names(answer) == {"s-2"}
        assert (await agent.list("?index=100&wait=60000"))["whole"] is True


@asyncio_test
async def test_malformed_update_changes_nothing_at_agent(tmp_path):
    good = {"seq": 10, "whole": True, "hosts": [entry("s-1")]}
    malformed = [
        {"seq": 11, "whole": True},
        {"seq": -1, "whole": True, "hosts": []},
        {"seq": 11, "whole": 1, "hosts": []},
        {"seq": 11, "whole": True, "hosts": [entry("s-1", health="DELETED")]},
        {"seq": 11, "whole": True, "hosts": [entry("s-1"), entry("s-1")]},
        {"seq": 11, "whole": True, "hosts": [entry("s-1", dial="nowhere")]},
        {"seq": 11, "whole": False, "hosts": [entry("s-1") | {"more": 1}]},
        {"seq": "11", "whole": True, "hosts": []},
    ]
    async with Registry(tmp_path) as registry, FakeRegistry() as fake:
        fake.update = good
        agent = await agent_node(registry, fake.address).start()
        before = await agent.wait_for_list(lambda answer: answer["seq"] == 10)
        for count, fake.update in enumerate(malformed, 1):
            seen = (await agent.figures())["counts"].get("failures", 0)
            while (await agent.figures())["counts"].get("failures", 0) == seen:
                await asyncio.sleep(0.02)
            fake.update = good
            assert await agent.list() == before, count
            while (await agent.figures())["age_s"] > 0.5:
                await asyncio.sleep(0.02)


@asyncio_test
async def test_agent_converts_full_lists_to_changes_for_its_watchers(tmp_path):
    async with Registry(tmp_path) as registry, FakeRegistry() as fake:
        fake.update = {"seq": 10, "whole": True, "hosts": [entry("s-1"), entry("s-2")]}
        agent = await agent_node(registry, fake.address).start()
        await agent.wait_for_list(lambda answer: answer["seq"] == 10)
        watch = await Connection.open(agent.listen)
        watch.send("GET", f"{PATH}?index=10&wait=60000")
        while (await agent.figures())["watches"] == 0:
            await asyncio.sleep(0.01)
        fake.update = {"seq": 12, "whole": True, "hosts": [entry("s-2"), entry("s-3")]}
        change = await watch.read_response()
        assert change["whole"] is False
        assert [(h["host"], h["health"]) for h in change["hosts"]] == [("s-1", "DELETED"), ("s-3", "SERVING")]


@asyncio_test
async def test_rolling_restart_loses_no_host_for_readers(tmp_path):
    async with Registry(tmp_path) as registry:
        primary = await registry.node().start("--new")
        follower = await registry.node("b", follow=primary.listen).start("--new")
        agent = await agent_node(registry, primary.listen, follower.listen).start()
        for number in range(10):
            assert (await primary.put(f"s-{number}")).status == 200
        whole = {f"s-{number}" for number in range(10)}
        seen, stop = [], asyncio.Event()

        async def poll() -> None:
            while not stop.is_set():
                answer = await agent.list()
                if answer.status == 200 and len(answer["hosts"]) >= 10:
                    seen.append((answer["seq"], host_names(answer)))
                await asyncio.sleep(0.01)

        await agent.wait_for_list(lambda answer: host_names(answer) == whole)
        polling = asyncio.create_task(poll())
        for number in range(10, 14):
            for node in (primary, follower):
                assert await node.stop() == 0
                await node.start()
            assert (await primary.put(f"s-{number}")).status == 200
            whole.add(f"s-{number}")
            await agent.wait_for_list(lambda answer: host_names(answer) == whole)
        stop.set()
        await polling
        assert [seq for seq, _ in seen] == sorted(seq for seq, _ in seen)
        assert all(before <= after for (_, before), (_, after) in itertools.pairwise(seen))
        assert (await agent.figures())["hosts"] == {"SERVING": 14}


@asyncio_test
async def test_gateways_keep_serving_while_primary_is_killed_and_see_later_drain(tmp_path):
    async with Registry(tmp_path) as registry:
        hosts = [await FakeHost(f"h-{number}").listen() for number in range(3)]
        primary = await registry.node().start("--new")
        versions = {}
        for each in hosts:
            put = await primary.put(each.name, dial=f"127.0.0.1:{each.port}", born_ms=1)
            versions[each.name] = put["version"]
        agent = await agent_node(registry, primary.listen).start()
        await agent.wait_for_list(lambda answer: len(answer["hosts"]) == 3)
        folders = [tmp_path / "g0", tmp_path / "g1"]
        for folder in folders:
            folder.mkdir()
        # One gateway uses the service directly, the other an agent; neither has configured hosts.
        gateways = [
            GatewayProcesses(folders[0], discovery=primary.listen),
            GatewayProcesses(folders[1], discovery=agent.listen),
        ]
        async with gateways[0], gateways[1]:
            clients = []
            for gateway in gateways:
                await gateway.start()
                clients.append(await gateway.connect_client())
            request_count = 0

            async def serve(rounds: int) -> None:
                nonlocal request_count
                for _ in range(rounds):
                    for client in clients:
                        client.send_request(request_id=b"id%d" % request_count)
                    request_count += 1
                    for client in clients:
                        assert (await client.wait_for_replies(request_count))[-1] == b"ok"
                    await asyncio.sleep(0.01)

            await serve(20)
            await primary.kill()
            await serve(60)
            await primary.start()
            await serve(20)
            drained = hosts[0]
            assert (await primary.post(drained.name, "drain", versions[drained.name])).status == 200
            await agent.wait_for_list(lambda answer: "DRAINING" in {h["health"] for h in answer["hosts"]})
            async with asyncio.timeout(10):
                while True:  # the gateway without an agent reconnects within a second
                    before = len(drained.commands)
                    await serve(10)
                    if len(drained.commands) == before:
                        break
            before = len(drained.commands)
            await serve(60)
            assert len(drained.commands) == before
            assert all(client.replies == [b"ok"] * request_count for client in clients)


@asyncio_test
async def test_unreachable_service_is_logged_once(tmp_path):
    async with Registry(tmp_path) as registry:
        agent = await agent_node(registry, free_address()).start()
        while (await agent.figures())["counts"].get("failures", 0) < 4:
            await asyncio.sleep(0.02)
        assert agent.log.decode().count("event=source_left") == 1
