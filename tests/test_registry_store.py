"""What is on disk: nothing acknowledged is lost, nothing damaged is served, numbers never go back."""

from __future__ import annotations

import asyncio
import random
import sqlite3

import pytest
from conftest import asyncio_test
from listing import PATH, Registry, Wire, call, names, word

from registry.entries import Entry, Record
from registry.ledger import Ledger
from registry.store import PRIMARY, Store, StoreError


def entry(number: int, health="SERVING") -> Entry:
    return Entry(f"s-{number}", f"127.0.0.1:{6000 + number}", "hall-a", "m", 1, health, 1.0, number)


def filled(path, hosts=40) -> None:
    """A store with some hosts."""
    store = Store(path)
    store.create(PRIMARY, 0)
    store.load(Ledger())
    for number in range(1, hosts + 1):
        record = Record(entry(number), number, 5_000)
        store.write(1, number, [(number, (record.entry,))], {record.entry.host: record}, 1_000)
    store.close()


def loaded(path) -> Ledger:
    ledger, store = Ledger(), Store(path)
    try:
        store.load(ledger)
    finally:
        store.close()
    return ledger


class Writer:
    """Keeps changing hosts of its own, and remembers what was acknowledged."""

    def __init__(self, where: str, number: int, seed: int) -> None:
        self.where, self.number, self.random = where, number, random.Random(seed)
        self.sure: dict[str, tuple[int, str]] = {}  # by host: the version acknowledged and the state
        self.doubt: dict[str, str] = {}  # by host: the state asked for, not acknowledged
        self.done = 0

    async def run(self) -> None:
        wire = await Wire.open(self.where)
        try:
            while True:
                await self._step(wire)
        except (OSError, asyncio.IncompleteReadError):
            pass

    async def _step(self, wire: Wire) -> None:
        name = f"w{self.number}-{self.random.randrange(5)}"
        version, state = self.sure.get(name, (0, "DELETED"))
        asked = self.random.choice(("SERVING", "DRAINING", "DELETED"))
        if state == "DELETED":
            asked = "SERVING"
        self.doubt = {name: asked}
        answer = await word(wire, name, asked, version)
        assert answer.status == 200, answer
        assert answer["version"] > version
        self.sure[name], self.doubt = (answer["version"], asked), {}
        self.done += 1


@asyncio_test
async def test_sigkill_under_writing_loses_no_acknowledged_write_and_leaves_no_half_one(tmp_path):
    async with Registry(tmp_path) as registry:
        node, chance = registry.service(), random.Random(11)
        last, kills = 0, 12
        for kill in range(kills):
            await node.start(*(["--new"] if not kill else []))
            before = {line["host"]: line["health"] for line in (await node.list())["hosts"]}
            writers = [Writer(node.listen, f"{kill}-{number}", kill * 10 + number) for number in range(6)]
            tasks = [asyncio.create_task(writer.run()) for writer in writers]
            wanted = chance.randrange(1, 120)
            while sum(writer.done for writer in writers) < wanted:
                await asyncio.sleep(0.001)
            await node.kill()
            await asyncio.gather(*tasks)
            await node.start()
            answer = await node.list()
            assert answer["seq"] > last
            last = answer["seq"]
            found = {line["host"]: line["health"] for line in answer["hosts"]}
            assert {h: s for h, s in found.items() if h in before} == before  # those of earlier rounds
            for writer in writers:
                for name, (version, state) in writer.sure.items():
                    may = {state, writer.doubt.get(name, state)}
                    assert found.get(name, "DELETED") in may, (name, version)
                    assert last > version
            assert set(found) <= set(before) | {h for w in writers for h in (*w.sure, *w.doubt)}
            await node.kill()


@asyncio_test
async def test_changes_from_before_a_restart_are_still_told_one_by_one(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.service().start("--new")
        seq = (await node.list())["seq"]
        first = await node.put("s-1")
        await node.post("s-1", "drain", first["version"])
        await node.kill()
        await node.start()
        told = await node.list(f"?index={seq}")
        assert told["whole"] is False and told["seq"] > first["version"]
        assert [line["health"] for line in told["hosts"]] == ["SERVING", "DRAINING"]


@asyncio_test
async def test_versions_and_leases_outlive_a_restart(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.service().start("--new")
        put = await node.put("s-1", lease_ms=7000)
        gone = await node.put("s-2")
        gone = await node.remove("s-2", gone["version"])
        await node.kill()
        await node.start()
        shown = await call(node.listen, "GET", f"{PATH}/s-1")
        assert (shown["version"], shown["lease_ms"]) == (put["version"], 7000)
        assert (await node.post("s-1", "renew", put["version"])).status == 200
        assert (await node.put("s-2", version=0))["version"] == gone["version"]


def test_a_write_is_on_disk_before_it_is_answered(tmp_path):
    """No kill shows it: only the settings say what outlives a loss of power."""
    filled(tmp_path / "a.db", hosts=1)
    store = Store(tmp_path / "a.db")
    store.load(Ledger())
    told = [store.db.execute(f"PRAGMA {name}").fetchone()[0] for name in ("journal_mode", "synchronous")]
    store.close()
    assert told == ["delete", 3]  # 3: EXTRA, the folder too


def test_each_truncated_store_is_refused(tmp_path):
    filled(tmp_path / "whole.db")
    raw = (tmp_path / "whole.db").read_bytes()
    cuts = {0, 1, 99, 100, 512, len(raw) - 1} | set(range(4096, len(raw), 4096))
    assert len(cuts) > 6
    for cut in sorted(cuts):
        path = tmp_path / f"cut{cut}.db"
        path.write_bytes(raw[:cut])
        with pytest.raises(StoreError, match="is damaged"):
            loaded(path)


def test_a_flipped_bit_is_refused_or_changes_nothing(tmp_path):
    filled(tmp_path / "whole.db")
    raw, chance = (tmp_path / "whole.db").read_bytes(), random.Random(5)
    whole, refused = loaded(tmp_path / "whole.db"), 0
    path = tmp_path / "flipped.db"
    values = [raw.index(b'"dial":"127.0.0.1:6020"') + at for at in (3, 12, 20)]
    for at in [*values, *(chance.randrange(len(raw)) for _ in range(300))]:
        flipped = bytearray(raw)
        flipped[at] ^= 1 << chance.randrange(8)
        path.write_bytes(flipped)
        try:
            ledger = loaded(path)
        except StoreError:
            refused += 1
        else:  # free space, or a figure of SQLite's own
            assert ledger.records == whole.records and ledger.seq == whole.seq and at not in values
        (tmp_path / "flipped.db-journal").unlink(missing_ok=True)
    assert refused > 100


def test_damage_that_no_row_shows_is_refused(tmp_path):
    path = tmp_path / "a.db"
    filled(path)
    raw = bytearray(path.read_bytes())
    raw[39] += 1  # pages that are free, as the file's head tells it
    path.write_bytes(raw)
    with pytest.raises(StoreError, match="is damaged"):
        loaded(path)


@asyncio_test
async def test_a_missing_damaged_or_used_store_is_refused_with_one_line(tmp_path):
    async with Registry(tmp_path) as registry:
        node = registry.service()
        assert "does not exist" in await registry.refused(*node.words())
        await node.start("--new")
        for number in range(60):
            await node.put(f"s-{number}")
        assert "is in use" in await registry.refused(*registry.service().words())
        assert "is there already" not in await registry.refused(*registry.service().words("--new"))
        await node.stop()
        assert "is there already" in await registry.refused(*node.words("--new"))
        assert "is a primary's" in await registry.refused(*node.words("--follow", "127.0.0.1:1"))
        raw = node.store.read_bytes()
        node.store.write_bytes(raw[: len(raw) // 2])
        line = await registry.refused(*node.words())
        assert "is damaged" in line and "backup" in line
        assert node.store.read_bytes() == raw[: len(raw) // 2]


@asyncio_test
async def test_numbers_go_on_above_all_others_after_the_store_was_lost(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.service().start("--new")
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
async def test_a_store_restored_from_a_backup_gives_no_number_a_second_meaning(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.service().start("--new")
        kept = await node.put("s-1")
        copy = tmp_path / "copy.db"
        process = await registry.run("backup", node.store, copy)
        assert await asyncio.wait_for(process.wait(), 10) == 0
        later = await node.put("s-2")
        await node.kill()
        node.store.write_bytes(copy.read_bytes())
        await node.start()
        answer = await node.list(f"?index={later['version']}&wait=60000")
        assert answer["whole"] is True and answer["seq"] > later["version"] and names(answer) == {"s-1"}
        changes = await node.list(f"?index={kept['version']}")
        assert changes["whole"] is False and changes["hosts"] == []


@asyncio_test
async def test_a_new_list_is_not_read_before_hosts_could_register(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.service(settle=1.5).start("--new")
        assert (await node.list()).status == 503
        assert (await call(node.operators, "GET", "/health")).status == 503
        assert (await node.put("s-1")).status == 200
        assert names(await node.told(lambda answer: True)) == {"s-1"}
        await node.kill()
        await node.start()
        assert (await node.list()).status == 200


@asyncio_test
async def test_a_full_disk_refuses_writes_and_changes_nothing(tmp_path):
    async with Registry(tmp_path) as registry:
        node = await registry.service().start("--new")
        put = await node.put("s-1")
        blocker = sqlite3.connect(node.store, isolation_level=None)
        blocker.execute("BEGIN IMMEDIATE")  # stands for any write that the store can't take
        answer = await node.post("s-1", "drain", put["version"])
        assert answer.status == 503
        assert (await call(node.operators, "GET", "/health")).status == 503
        assert (await node.list())["hosts"][0]["health"] == "SERVING"
        blocker.execute("ROLLBACK")
        assert (await node.post("s-1", "drain", put["version"])).status == 200
        assert (await call(node.operators, "GET", "/health")).status == 200
