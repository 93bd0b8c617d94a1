"""The store: acknowledged writes survive, damage is detected, and sequence numbers never decrease."""

from __future__ import annotations

import asyncio
import random
import sqlite3

import pytest
from conftest import asyncio_test
from registry_processes import PATH, Connection, Registry, call, change_state, host_names

from registry.entries import Entry, Record
from registry.ledger import Ledger
from registry.store import PRIMARY, Store, StoreError


def entry(number: int, health="SERVING") -> Entry:
    return Entry(f"s-{number}", f"127.0.0.1:{6000 + number}", "hall-a", "m", 1, health, 1.0, number)


def create_store(path, hosts=40) -> None:
    """Create a store with some hosts."""
    store = Store(path)
    store.create(PRIMARY, 0)
    store.load(Ledger())
    for number in range(1, hosts + 1):
        record = Record(entry(number), number, 5_000)
        store.write(1, number, [(number, (record.entry,))], {record.entry.host: record}, 1_000)
    store.close()


def load_store(path) -> Ledger:
    ledger, store = Ledger(), Store(path)
    try:
        store.load(ledger)
    finally:
        store.close()
    return ledger


class Writer:
    """Changes its own hosts continuously and records which writes were acknowledged."""

    def __init__(self, address: str, number: int, seed: int) -> None:
        self.address, self.number, self.random = address, number, random.Random(seed)
        self.acknowledged: dict[str, tuple[int, str]] = {}  # by host: acknowledged version and state
        self.unacknowledged: dict[str, str] = {}  # by host: requested state without acknowledgement
        self.write_count = 0

    async def run(self) -> None:
        connection = await Connection.open(self.address)
        try:
            while True:
                await self._step(connection)
        except (OSError, asyncio.IncompleteReadError):
            pass

    async def _step(self, connection: Connection) -> None:
        name = f"w{self.number}-{self.random.randrange(5)}"
        version, state = self.acknowledged.get(name, (0, "DELETED"))
        requested = self.random.choice(("SERVING", "DRAINING", "DELETED"))
        if state == "DELETED":
            requested = "SERVING"
        self.unacknowledged = {name: requested}
        answer = await change_state(connection, name, requested, version)
        assert answer.status == 200, answer
        assert answer["version"] > version
        self.acknowledged[name], self.unacknowledged = (answer["version"], requested), {}
        self.write_count += 1


@asyncio_test
async def test_sigkill_during_writes_loses_no_acknowledged_write_and_leaves_no_partial_one(tmp_path):
    async with Registry(tmp_path) as registry:
        node, rng = registry.node(), random.Random(11)
        last, kills = 0, 12
        for kill in range(kills):
            await node.start(*(["--new"] if not kill else []))
            before = {line["host"]: line["health"] for line in (await node.list())["hosts"]}
            writers = [Writer(node.listen, f"{kill}-{number}", kill * 10 + number) for number in range(6)]
            tasks = [asyncio.create_task(writer.run()) for writer in writers]
            wanted = rng.randrange(1, 120)
            while sum(writer.write_count for writer in writers) < wanted:
                await asyncio.sleep(0.001)
            await node.kill()
            await asyncio.gather(*tasks)
            await node.start()
            answer = await node.list()
            assert answer["seq"] > last
            last = answer["seq"]
            found = {line["host"]: line["health"] for line in answer["hosts"]}
            assert {h: s for h, s in found.items() if h in before} == before  # hosts of earlier rounds
            for writer in writers:
                for name, (version, state) in writer.acknowledged.items():
                    allowed = {state, writer.unacknowledged.get(name, state)}
                    assert found.get(name, "DELETED") in allowed, (name, version)
                    assert last > version
            assert set(found) <= set(before) | {
                h for w in writers for h in (*w.acknowledged, *w.unacknowledged)
            }
            await node.kill()


@asyncio_test
async def test_changes_from_before_restart_are_still_served_incrementally(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        seq = (await node.list())["seq"]
        first = await node.put("s-1")
        await node.post("s-1", "drain", first["version"])
        await node.kill()
        await node.start()
        answer = await node.list(f"?index={seq}")
        assert answer["whole"] is False and answer["seq"] > first["version"]
        assert [line["health"] for line in answer["hosts"]] == ["SERVING", "DRAINING"]


@asyncio_test
async def test_versions_and_leases_survive_restart(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        put = await node.put("s-1", lease_ms=7000)
        gone = await node.put("s-2")
        gone = await node.remove("s-2", gone["version"])
        await node.kill()
        await node.start()
        shown = await call(node.listen, "GET", f"{PATH}/s-1")
        assert (shown["version"], shown["lease_ms"]) == (put["version"], 7000)
        assert (await node.post("s-1", "renew", put["version"])).status == 200
        # Refused with the version of the removal, which is remembered as well.
        assert (await node.put("s-2", version=0))["version"] == gone["version"]


def test_write_is_durable_before_it_is_acknowledged(tmp_path):
    """Killing the process can't simulate a power failure, so the durability settings are checked instead."""
    create_store(tmp_path / "a.db", hosts=1)
    store = Store(tmp_path / "a.db")
    store.load(Ledger())
    durability = [
        store.db.execute(f"PRAGMA {name}").fetchone()[0] for name in ("journal_mode", "synchronous")
    ]
    store.close()
    assert durability == ["delete", 3]  # 3: EXTRA, which also syncs the directory


def test_truncated_store_is_refused(tmp_path):
    create_store(tmp_path / "whole.db")
    raw = (tmp_path / "whole.db").read_bytes()
    cuts = {0, 1, 99, 100, 512, len(raw) - 1} | set(range(4096, len(raw), 4096))
    assert len(cuts) > 6
    for cut in sorted(cuts):
        path = tmp_path / f"cut{cut}.db"
        path.write_bytes(raw[:cut])
        with pytest.raises(StoreError, match="is damaged"):
            load_store(path)


def test_flipped_bit_is_refused_or_changes_nothing(tmp_path):
    create_store(tmp_path / "whole.db")
    raw, rng = (tmp_path / "whole.db").read_bytes(), random.Random(5)
    whole, refused = load_store(tmp_path / "whole.db"), 0
    path = tmp_path / "flipped.db"
    values = [raw.index(b'"dial":"127.0.0.1:6020"') + at for at in (3, 12, 20)]
    for at in [*values, *(rng.randrange(len(raw)) for _ in range(300))]:
        flipped = bytearray(raw)
        flipped[at] ^= 1 << rng.randrange(8)
        path.write_bytes(flipped)
        try:
            ledger = load_store(path)
        except StoreError:
            refused += 1
        else:  # the bit was in free space or in SQLite's own metadata
            assert ledger.records == whole.records and ledger.seq == whole.seq and at not in values
        (tmp_path / "flipped.db-journal").unlink(missing_ok=True)
    assert refused > 100


def test_damage_outside_rows_is_refused(tmp_path):
    path = tmp_path / "a.db"
    create_store(path)
    raw = bytearray(path.read_bytes())
    raw[39] += 1  # the number of free pages in the file header
    path.write_bytes(raw)
    with pytest.raises(StoreError, match="is damaged"):
        load_store(path)


@asyncio_test
async def test_missing_damaged_or_locked_store_is_refused_with_one_line(tmp_path):
    async with Registry(tmp_path) as registry:
        node = registry.node()
        assert "does not exist" in await registry.failed_start(*node.arguments())
        await node.start("--new")
        for number in range(60):
            await node.put(f"s-{number}")
        assert "is in use" in await registry.failed_start(*registry.node().arguments())
        assert "already exists" not in await registry.failed_start(*registry.node().arguments("--new"))
        await node.stop()
        assert "already exists" in await registry.failed_start(*node.arguments("--new"))
        assert "is a primary's" in await registry.failed_start(*node.arguments("--follow", "127.0.0.1:1"))
        raw = node.store.read_bytes()
        node.store.write_bytes(raw[: len(raw) // 2])
        line = await registry.failed_start(*node.arguments())
        assert "is damaged" in line and "backup" in line
        assert node.store.read_bytes() == raw[: len(raw) // 2]


@asyncio_test
async def test_sequence_numbers_continue_above_earlier_ones_after_store_loss(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        last = (await node.put("s-1"))["version"]
        life = (await node.list()).headers["registry-life"]
        await node.kill()
        node.store.unlink()
        await node.start("--new")
        answer = await node.list(f"?index={last}&wait=60000")
        assert answer["whole"] is True and answer["seq"] > last and answer["hosts"] == []
        assert int(answer.headers["registry-life"]) > int(life)
        await node.stop()
        node.store.unlink()
        await node.start("--new", "--seq-above", str(4 * 10**15))  # the clock can't be trusted
        assert (await node.put("s-1"))["version"] > 4 * 10**15


@asyncio_test
async def test_restored_backup_reuses_no_sequence_number(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        kept = await node.put("s-1")
        copy = tmp_path / "copy.db"
        process = await registry.run("backup", node.store, copy)
        assert await asyncio.wait_for(process.wait(), 10) == 0
        later = await node.put("s-2")
        await node.kill()
        node.store.write_bytes(copy.read_bytes())
        await node.start()
        answer = await node.list(f"?index={later['version']}&wait=60000")
        assert answer["whole"] is True and answer["seq"] > later["version"] and host_names(answer) == {"s-1"}
        changes = await node.list(f"?index={kept['version']}")
        assert changes["whole"] is False and changes["hosts"] == []


@asyncio_test
async def test_new_list_is_not_readable_before_hosts_could_register(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node(settle=1.5).start("--new")
        assert (await node.list()).status == 503
        assert (await call(node.operators, "GET", "/health")).status == 503
        assert (await node.put("s-1")).status == 200
        assert host_names(await node.wait_for_list(lambda answer: True)) == {"s-1"}
        await node.kill()
        await node.start()
        assert (await node.list()).status == 200


@asyncio_test
async def test_full_disk_refuses_writes_and_changes_nothing(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.node().start("--new")
        put = await node.put("s-1")
        blocker = sqlite3.connect(node.store, isolation_level=None)
        blocker.execute("BEGIN IMMEDIATE")  # makes the store's writes fail, like a full disk
        answer = await node.post("s-1", "drain", put["version"])
        assert answer.status == 503
        assert (await call(node.operators, "GET", "/health")).status == 503
        assert (await node.list())["hosts"][0]["health"] == "SERVING"
        blocker.execute("ROLLBACK")
        assert (await node.post("s-1", "drain", put["version"])).status == 200
        assert (await call(node.operators, "GET", "/health")).status == 200
