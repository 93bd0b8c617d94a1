"""Followers and agents: what they survive, and what they never take."""

from __future__ import annotations

import asyncio
import itertools
import json
import sqlite3

from conftest import FakeHost, Service, asyncio_test, free_address
from listing import PATH, AgentNode, Node, Registry, Wire, address_of, call, host, names


class Silent:
    """A service that accepts, and says nothing."""

    async def __aenter__(self) -> Silent:
        self.connections, self.writers = 0, []
        self.server = await asyncio.start_server(self._took, "127.0.0.1", 0)
        self.address = address_of(self.server)
        return self

    def _took(self, reader, writer) -> None:
        self.connections += 1
        self.writers.append(writer)

    async def __aexit__(self, *error) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.server.close()


class Teller:
    """A service of the test's own: answers each call with whatever is to be told."""

    def __init__(self) -> None:
        self.told, self.life, self.targets, self.wires = {"seq": 1, "whole": True, "hosts": []}, "1", [], []
        self.garble = False

    async def __aenter__(self) -> Teller:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = address_of(self.server)
        return self

    async def _serve(self, reader, writer) -> None:
        self.wires.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.targets.append(head.split()[1].decode())
                body = b"{" if self.garble else json.dumps(self.told).encode()
                lines = f"Registry-Life: {self.life}\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + lines.encode() + body)
                await asyncio.sleep(0.02)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def __aexit__(self, *error) -> None:
        self.server.close()
        for writer in self.wires:
            writer.transport.abort()


def line(name: str, health="SERVING", **changes) -> dict:
    raw = {"host": name, "health": health, "born_ms": 1} | host() | changes
    return {key: raw[key] for key in ("host", "dial", "site", "class", "block", "health", "share", "born_ms")}


def agent(registry: Registry, *services: str, name="agent", **options) -> Node:
    return AgentNode(registry, name, follow=",".join(services), **options)


@asyncio_test
async def test_a_follower_tells_the_same_and_refuses_writes_by_naming_the_primary(tmp_path):
    async with Registry(tmp_path) as registry:
        first = await registry.service().start("--new")
        put = await first.put("s-1")
        copy = await registry.service("b", follow=first.listen).start("--new")
        whole = await copy.told(lambda answer: names(answer) == {"s-1"})
        assert whole == await first.list()
        assert whole.headers["registry-life"] == (await first.list()).headers["registry-life"]
        watch = await Wire.open(copy.listen)
        watch.send("GET", f"{PATH}?index={whole['seq']}&wait=60000")
        drained = await first.post("s-1", "drain", put["version"])
        told = await watch.answer()
        assert told["seq"] == drained["version"] and told["hosts"][0]["health"] == "DRAINING"
        calls = [("PUT", "s-2", host()), ("DELETE", "s-1?version=1", None)]
        calls += [("POST", "s-1/renew", {"version": 1}), ("POST", "s-1/drain", {"version": 1})]
        for method, target, body in calls:
            answer = await call(copy.listen, method, f"{PATH}/{target}", body)
            assert answer.status == 421 and answer["primary"] == first.listen
        await first.kill()
        await copy.kill()
        await copy.start()  # from its own store, with nobody to follow
        alone = await copy.list()
        assert alone["hosts"] == told["hosts"] and alone["seq"] == told["seq"]


@asyncio_test
async def test_a_follower_whose_disk_is_full_tells_what_it_had_until_there_is_room(tmp_path):
    async with Registry(tmp_path) as registry:
        first = await registry.service().start("--new")
        await first.put("s-1")
        copy = await registry.service("b", follow=first.listen).start("--new")
        await copy.told(lambda answer: names(answer) == {"s-1"})
        blocker = sqlite3.connect(copy.store, isolation_level=None)
        blocker.execute("BEGIN IMMEDIATE")  # stands for any write that the store can't take
        await first.put("s-2")
        async with asyncio.timeout(15):
            while (await call(copy.operators, "GET", "/health")).status == 200:
                await asyncio.sleep(0.05)
        assert names(await copy.list()) == {"s-1"}
        blocker.execute("ROLLBACK")
        await copy.told(lambda answer: names(answer) == {"s-1", "s-2"}, 30)
        assert (await call(copy.operators, "GET", "/health")).status == 200


@asyncio_test
async def test_a_promoted_follower_goes_on_and_the_old_primary_is_passed_by(tmp_path):
    async with Registry(tmp_path) as registry:
        old = await registry.service().start("--new")
        put = await old.put("s-1")
        copy = await registry.service("b", follow=old.listen).start("--new")
        reader = await agent(registry, old.listen, copy.listen).start()
        await reader.told(lambda answer: names(answer) == {"s-1"})
        await copy.told(lambda answer: names(answer) == {"s-1"})
        await old.kill()
        await copy.stop()
        del copy.options["follow"]
        line = await registry.refused(*copy.words())
        assert "--promote" in line
        await copy.start("--promote")
        late = await copy.post("s-1", "renew", put["version"])
        assert late.status == 409 and late["entry"]["born_ms"] == put["born_ms"]
        assert (await copy.post("s-1", "renew", late["version"])).status == 200
        assert (await copy.put("s-2")).status == 200
        await reader.told(lambda answer: names(answer) == {"s-1", "s-2"})
        await old.start()  # it knows nothing of all that
        assert (await old.put("s-9")).status == 200
        assert names(await old.list()) == {"s-1", "s-9"}
        await copy.kill()  # only the old one is left to ask
        while (await reader.figures())["counts"].get("older", 0) == 0:
            await asyncio.sleep(0.05)
        assert names(await reader.list()) == {"s-1", "s-2"}
        await old.stop()
        await copy.start()
        old.options["follow"] = copy.listen
        assert "--demote" in await registry.refused(*old.words())
        await old.start("--demote")
        await old.told(lambda answer: names(answer) == {"s-1", "s-2"})


@asyncio_test
async def test_an_agent_without_services_answers_with_what_it_has_and_tells_its_age(tmp_path):
    async with Registry(tmp_path) as registry:
        first = await registry.service().start("--new")
        put = await first.put("s-1")
        reader = await agent(registry, first.listen, keep=tmp_path / "kept").start()
        whole = await reader.told(lambda answer: names(answer) == {"s-1"})
        await first.kill()
        while (await reader.figures())["age_s"] < 1.2:
            await asyncio.sleep(0.1)
        answer = await reader.list()
        assert answer == whole and int(answer.headers["age"]) >= 1
        waited = await reader.list(f"?index={whole['seq']}&wait=100")
        assert waited["hosts"] == [] and waited["seq"] == whole["seq"]
        await reader.kill()
        await reader.start()  # from its file
        answer = await reader.list()
        assert answer == whole and int(answer.headers["age"]) >= 1
        await first.start()
        await first.post("s-1", "drain", put["version"])
        changed = await reader.told(lambda answer: answer["hosts"][0]["health"] == "DRAINING")
        assert "age" not in changed.headers or int(changed.headers["age"]) <= 5
        async with asyncio.timeout(5):
            while b"DRAINING" not in (tmp_path / "kept").read_bytes():
                await asyncio.sleep(0.05)


@asyncio_test
async def test_a_damaged_file_of_an_agent_is_not_used(tmp_path):
    async with Registry(tmp_path) as registry:
        kept = tmp_path / "kept"
        first = await registry.service().start("--new")
        await first.put("s-1")
        reader = await agent(registry, first.listen, keep=kept).start()
        await reader.told(lambda answer: names(answer) == {"s-1"})
        await reader.stop()
        await first.kill()
        raw = kept.read_bytes()
        for bad in (b"", raw[:-1], raw[:40], raw.replace(b"s-1", b"s-2"), b"\xff" * 80, raw[33:]):
            kept.write_bytes(bad)
            await reader.start()
            assert (await reader.list()).status == 503
            assert b"event=kept_list_unusable" in reader.log
            reader.log.clear()
            await reader.kill()
        kept.write_bytes(raw)
        await reader.start()
        assert names(await reader.list()) == {"s-1"}


@asyncio_test
async def test_an_agent_leaves_a_silent_service_for_the_next_one(tmp_path):
    async with Registry(tmp_path) as registry, Silent() as silent:
        first = await registry.service().start("--new")
        await first.put("s-1")
        reader = await agent(registry, silent.address, first.listen).start()
        await reader.told(lambda answer: names(answer) == {"s-1"})
        assert silent.connections == 1


@asyncio_test
async def test_tries_at_services_that_are_away_become_rare(tmp_path):
    async with Registry(tmp_path) as registry, Teller() as teller:
        teller.garble = True
        reader = await agent(registry, teller.address).start()
        await asyncio.sleep(3)
        assert 3 <= len(teller.targets) <= 7  # 0.1 s, doubled each time
        assert (await reader.list()).status == 503
        teller.garble = False
        teller.told["hosts"] = [line("s-1")]
        await reader.told(lambda answer: names(answer) == {"s-1"})


@asyncio_test
async def test_an_agent_takes_no_older_number_of_the_same_life_and_no_older_life(tmp_path):
    async with Registry(tmp_path) as registry, Teller() as teller:
        teller.told = {"seq": 100, "whole": True, "hosts": [line("s-1")]}
        teller.life = "50"
        reader = await agent(registry, teller.address).start()
        await reader.told(lambda answer: answer["seq"] == 100)
        for life, seq, count in (("50", 99, 1), ("49", 200, 2)):
            teller.life = life
            teller.told = {"seq": seq, "whole": True, "hosts": []}
            while (await reader.figures())["counts"].get("older", 0) < count:
                await asyncio.sleep(0.02)
            assert names(await reader.list()) == {"s-1"}
        teller.life, teller.told = "60", {"seq": 70, "whole": True, "hosts": [line("s-2")]}
        answer = await reader.told(lambda answer: answer["seq"] == 70)  # a new life, its clock behind
        assert names(answer) == {"s-2"}
        assert (await reader.list("?index=100&wait=60000"))["whole"] is True


@asyncio_test
async def test_odd_news_changes_nothing_at_an_agent(tmp_path):
    good = {"seq": 10, "whole": True, "hosts": [line("s-1")]}
    odd = [
        {"seq": 11, "whole": True},
        {"seq": -1, "whole": True, "hosts": []},
        {"seq": 11, "whole": 1, "hosts": []},
        {"seq": 11, "whole": True, "hosts": [line("s-1", health="DELETED")]},
        {"seq": 11, "whole": True, "hosts": [line("s-1"), line("s-1")]},
        {"seq": 11, "whole": True, "hosts": [line("s-1", dial="nowhere")]},
        {"seq": 11, "whole": False, "hosts": [line("s-1") | {"more": 1}]},
        {"seq": "11", "whole": True, "hosts": []},
    ]
    async with Registry(tmp_path) as registry, Teller() as teller:
        teller.told = good
        reader = await agent(registry, teller.address).start()
        before = await reader.told(lambda answer: answer["seq"] == 10)
        for count, teller.told in enumerate(odd, 1):
            seen = (await reader.figures())["counts"].get("failures", 0)
            while (await reader.figures())["counts"].get("failures", 0) == seen:
                await asyncio.sleep(0.02)
            teller.told = good
            assert await reader.list() == before, count
            while (await reader.figures())["age_s"] > 0.5:
                await asyncio.sleep(0.02)


@asyncio_test
async def test_whole_lists_become_changes_for_those_who_watch_an_agent(tmp_path):
    async with Registry(tmp_path) as registry, Teller() as teller:
        teller.told = {"seq": 10, "whole": True, "hosts": [line("s-1"), line("s-2")]}
        reader = await agent(registry, teller.address).start()
        await reader.told(lambda answer: answer["seq"] == 10)
        watch = await Wire.open(reader.listen)
        watch.send("GET", f"{PATH}?index=10&wait=60000")
        while (await reader.figures())["watches"] == 0:
            await asyncio.sleep(0.01)
        teller.told = {"seq": 12, "whole": True, "hosts": [line("s-2"), line("s-3")]}
        told = await watch.answer()
        assert told["whole"] is False
        assert [(h["host"], h["health"]) for h in told["hosts"]] == [("s-1", "DELETED"), ("s-3", "SERVING")]


@asyncio_test
async def test_services_restarted_one_after_another_lose_no_reader_a_host(tmp_path):
    async with Registry(tmp_path) as registry:
        first = await registry.service().start("--new")
        copy = await registry.service("b", follow=first.listen).start("--new")
        reader = await agent(registry, first.listen, copy.listen).start()
        for number in range(10):
            assert (await first.put(f"s-{number}")).status == 200
        whole = {f"s-{number}" for number in range(10)}
        seen, stop = [], asyncio.Event()

        async def look() -> None:
            while not stop.is_set():
                answer = await reader.list()
                if answer.status == 200 and len(answer["hosts"]) >= 10:
                    seen.append((answer["seq"], names(answer)))
                await asyncio.sleep(0.01)

        await reader.told(lambda answer: names(answer) == whole)
        looking = asyncio.create_task(look())
        for number in range(10, 14):
            for node in (first, copy):
                assert await node.stop() == 0
                await node.start()
            assert (await first.put(f"s-{number}")).status == 200
            whole.add(f"s-{number}")
            await reader.told(lambda answer: names(answer) == whole)
        stop.set()
        await looking
        assert [seq for seq, _ in seen] == sorted(seq for seq, _ in seen)
        assert all(before <= after for (_, before), (_, after) in itertools.pairwise(seen))
        assert (await reader.figures())["hosts"] == {"SERVING": 14}


@asyncio_test
async def test_gateways_serve_all_along_while_the_primary_is_killed_and_hear_of_a_drain_afterwards(tmp_path):
    async with Registry(tmp_path) as registry:
        hosts = [await FakeHost(f"h-{number}").listen() for number in range(3)]
        first = await registry.service().start("--new")
        versions = {}
        for each in hosts:
            put = await first.put(each.name, dial=f"127.0.0.1:{each.port}", born_ms=1)
            versions[each.name] = put["version"]
        reader = await agent(registry, first.listen).start()
        await reader.told(lambda answer: len(answer["hosts"]) == 3)
        folders = [tmp_path / "g0", tmp_path / "g1"]
        for folder in folders:
            folder.mkdir()
        # One gateway asks the service itself, one an agent; neither knows a host of its own.
        services = [Service(folders[0], discovery=first.listen), Service(folders[1], discovery=reader.listen)]
        async with services[0], services[1]:
            callers = []
            for service in services:
                await service.start()
                callers.append(await service.caller())
            asked = 0

            async def serve(rounds: int) -> None:
                nonlocal asked
                for _ in range(rounds):
                    for caller in callers:
                        caller.call(number=b"id%d" % asked)
                    asked += 1
                    for caller in callers:
                        assert (await caller.replied(asked))[-1] == b"ok"
                    await asyncio.sleep(0.01)

            await serve(20)
            await first.kill()
            await serve(60)
            await first.start()
            await serve(20)
            gone = hosts[0]
            assert (await first.post(gone.name, "drain", versions[gone.name])).status == 200
            await reader.told(lambda answer: "DRAINING" in {h["health"] for h in answer["hosts"]})
            async with asyncio.timeout(10):
                while True:  # the gateway that asks the service connects again within a second
                    before = len(gone.commands)
                    await serve(10)
                    if len(gone.commands) == before:
                        break
            before = len(gone.commands)
            await serve(60)
            assert len(gone.commands) == before
            assert all(caller.replies == [b"ok"] * asked for caller in callers)


@asyncio_test
async def test_a_service_that_stays_away_is_logged_once(tmp_path):
    async with Registry(tmp_path) as registry:
        reader = await agent(registry, free_address()).start()
        while (await reader.figures())["counts"].get("failures", 0) < 4:
            await asyncio.sleep(0.02)
        assert reader.log.decode().count("event=source_left") == 1
