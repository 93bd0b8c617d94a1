"""The line of counters."""

from __future__ import annotations

import asyncio
import logging

from conftest import asyncio_test, until

from saffrongw import stats


def test_a_line_holds_gauges_and_what_was_counted_since_the_line_before(monkeypatch, caplog):
    monkeypatch.setattr(stats, "EVERY", 0.01)
    caplog.set_level(logging.INFO)

    @asyncio_test
    async def write() -> None:
        counts = stats.Stats()
        counts["served"] += 2
        counts.start(asyncio.get_running_loop(), lambda: {"calls": 3})
        await until(lambda: len(caplog.messages) >= 2)

    write()
    first, second = [dict(pair.split("=") for pair in line.split()[1:]) for line in caplog.messages[:2]]
    assert (first["calls"], first["served"]) == ("3", "2")
    assert int(first["rss_kb"]) > 1_000
    assert second["calls"] == "3"
    assert "served" not in second
