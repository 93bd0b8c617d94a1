"""The event of figures, and the bound on all that is logged."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import logging

import pytest
import structlog
from conftest import asyncio_test, until

from ops import logs
from saffrongw import stats


@pytest.fixture
def written():
    """What is written, form and level to be chosen; the usual form afterwards."""
    to = io.StringIO()

    def start(form: str, level: str = "info") -> io.StringIO:
        logs.bound.__init__()
        logs.start(form, level, to)
        return to

    yield start
    structlog.reset_defaults()
    logs.bound.__init__()


def test_an_event_holds_gauges_and_what_was_counted_since_the_one_before(monkeypatch):
    monkeypatch.setattr(stats, "REPORT_INTERVAL", 0.01)

    @asyncio_test
    async def write() -> list[dict]:
        counts = stats.Stats()
        counts["served"] += 2
        with structlog.testing.capture_logs() as events:
            counts.start(asyncio.get_running_loop(), lambda: {"calls": 3})
            await until(lambda: len(events) >= 2)
        assert counts.totals() == {"served": 2}
        first, second = events[:2]
        assert (first["event"], first["calls"], first["served"]) == ("stats", 3, 2)
        assert first["rss_kb"] > 1_000
        assert second["calls"] == 3
        assert "served" not in second

    write()


FIELDS = [
    (b"caf\xc3\xa9 \xff", "café \\xff"),
    (("127.0.0.1", 80), "127.0.0.1:80"),
    (("a", "b", "c"), ["a", "b", "c"]),
    (ValueError("two\nlines"), "ValueError: two lines"),
    ("x" * 1000, "x" * 400 + "... (1000 characters)"),
    (7, 7),
    (None, None),
]


@pytest.mark.parametrize(("value", "told"), FIELDS)
def test_fields_keep_their_types_and_stay_on_one_line_of_bounded_length(written, value, told):
    to = written("json")
    logs.get("test").warning("seen", value=value)
    [line] = to.getvalue().splitlines()
    event = json.loads(line)
    assert (event["event"], event["level"], event["value"]) == ("seen", "warning", told)


def test_a_flood_is_bounded_each_line_kept_back_is_counted_and_figures_pass(written):
    to = written("text")
    log = logs.get("test")
    for _ in range(5 * logs.BURST):
        log.info("flood", text="a b\n\x00=")
        logging.getLogger("some.library").error("%d things", 7)
    log.info("stats", **{logs.ALWAYS: True}, calls=1)
    lines = to.getvalue().splitlines()
    assert logs.BURST < len(lines) <= logs.BURST + 30  # as much as came back meanwhile
    assert lines[-1].endswith(f"event=stats calls=1 lines_kept_back={10 * logs.BURST - len(lines) + 1}") or (
        sum(int(line.rsplit("lines_kept_back=")[1]) for line in lines if "lines_kept_back=" in line)
        == 10 * logs.BURST - len(lines) + 1
    )
    assert any("event=library_said" in line and "some.library" in line for line in lines)


def test_levels_and_forms_may_change_while_running(written):
    to = written("text", "warning")
    log = logs.get("test")
    log.info("left_out")
    logs.start("json", "info", to)
    log.info("told")
    assert [json.loads(line)["event"] for line in to.getvalue().splitlines()] == ["told"]
    with pytest.raises(ValueError, match="text, json"):
        logs.start("xml")


def test_a_log_that_cannot_be_written_stops_nothing_and_its_lines_are_counted(written):
    written("text")
    with contextlib.suppress(OSError), open("/dev/full", "w", buffering=1) as full:  # its close fails, too
        logs.start("text", "info", full)
        logs.get("test").info("lost")
    assert logs.bound.kept_back_all == 1
    to = io.StringIO()
    logs.start("json", "info", to)
    logs.get("test").info("told")
    assert json.loads(to.getvalue())["lines_kept_back"] == 1
    closed = io.StringIO()
    closed.close()
    logs.start("text", "info", closed)
    logs.get("test").info("lost")
    assert logs.bound.kept_back_all == 2
