"""The ``stats`` event, and the rate limit on log lines."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import logging
import time

import pytest
import structlog
from conftest import FakeHost, LoopbackGateway, asyncio_test, until

from ops import logs
from saffrongw import stats


@pytest.fixture
def log_output():
    """Start logging to a buffer in a given format and level; reset logging afterwards."""
    output = io.StringIO()

    def start(form: str, level: str = "info") -> io.StringIO:
        logs.rate_limiter.__init__()
        logs.configure(form, level, output)
        return output

    yield start
    structlog.reset_defaults()
    logs.rate_limiter.__init__()


def test_an_event_has_the_gauges_and_the_counts_since_the_previous_event(monkeypatch):
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


@asyncio_test
async def test_a_held_up_event_loop_is_reported(monkeypatch):
    monkeypatch.setattr(stats, "REPORT_INTERVAL", 0.5)
    gateway = LoopbackGateway(await FakeHost("a").listen())
    with structlog.testing.capture_logs() as events:
        await gateway.clients.listen()
        gateway.driver.stats.start(gateway.loop, dict)
        time.sleep(0.4)  # holds the loop up, past the next sweep
        await until(lambda: any(event.get("loop_lag_ms", 0) >= 100 for event in events))
        reported = len(events)
        await until(lambda: any(event.get("loop_lag_ms", 100) < 100 for event in events[reported:]))


HOSTS = [f"host{number:05d}" for number in range(3000)]  # one that is listed takes 10 characters
FIELDS = [
    (b"caf\xc3\xa9 \xff", "café \\xff"),
    (("127.0.0.1", 80), "127.0.0.1:80"),
    (("a", "b", "c"), ["a", "b", "c"]),
    (HOSTS, [*HOSTS[:120], "... (3000 in all)"]),
    (HOSTS[:120], HOSTS[:120]),
    (ValueError("two\nlines"), "ValueError: two lines"),
    ("x" * 1000, "x" * 400 + "... (1000 characters)"),
    (7, 7),
    (None, None),
]


@pytest.mark.parametrize(("value", "expected"), FIELDS)
def test_fields_keep_their_types_and_stay_on_one_line_of_bounded_length(log_output, value, expected):
    output = log_output("json")
    logs.get_logger("test").warning("seen", value=value)
    [line] = output.getvalue().splitlines()
    event = json.loads(line)
    assert (event["event"], event["level"], event["value"]) == ("seen", "warning", expected)


def test_a_flood_is_rate_limited_suppressed_lines_are_counted_and_stats_pass(log_output):
    output = log_output("text")
    log = logs.get_logger("test")
    for _ in range(5 * logs.BURST_LINES):
        log.info("flood", text="a b\n\x00=")
        logging.getLogger("some.library").error("%d things", 7)
    log.info("stats", **{logs.UNLIMITED: True}, calls=1)
    lines = output.getvalue().splitlines()
    assert logs.BURST_LINES < len(lines) <= logs.BURST_LINES + 30  # plus the allowance refilled meanwhile
    assert lines[-1].endswith(
        f"event=stats calls=1 lines_kept_back={10 * logs.BURST_LINES - len(lines) + 1}"
    ) or (
        sum(int(line.rsplit("lines_kept_back=")[1]) for line in lines if "lines_kept_back=" in line)
        == 10 * logs.BURST_LINES - len(lines) + 1
    )
    assert any("event=library_said" in line and "some.library" in line for line in lines)


def test_level_and_format_can_change_at_run_time(log_output):
    output = log_output("text", "warning")
    log = logs.get_logger("test")
    log.info("left_out")
    logs.configure("json", "info", output)
    log.info("told")
    assert [json.loads(line)["event"] for line in output.getvalue().splitlines()] == ["told"]
    with pytest.raises(ValueError, match="text, json"):
        logs.configure("xml")


def test_an_unwritable_log_does_not_raise_and_its_lines_are_counted(log_output):
    log_output("text")
    with contextlib.suppress(OSError), open("/dev/full", "w", buffering=1) as full:  # closing it fails, too
        logs.configure("text", "info", full)
        logs.get_logger("test").info("lost")
    assert logs.rate_limiter.suppressed_total == 1
    output = io.StringIO()
    logs.configure("json", "info", output)
    logs.get_logger("test").info("told")
    assert json.loads(output.getvalue())["lines_kept_back"] == 1
    closed = io.StringIO()
    closed.close()
    logs.configure("text", "info", closed)
    logs.get_logger("test").info("lost")
    assert logs.rate_limiter.suppressed_total == 2
