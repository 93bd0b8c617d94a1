"""Documents match the code: log events, metrics, commands, settings and files."""

from __future__ import annotations

import json
import re
from pathlib import Path

import yaml
from birchdrum_command import run
from conftest import FakeHost, GatewayProcesses, asyncio_test, free_address
from registry_processes import Registry
from test_metrics import scrape

from saffrongw import metrics

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
README_LINES_MAX = 150
TESTS = Path(__file__).parent
# Paths that need not exist: created at first use, kept by operators, and present only with known failures.
OPTIONAL_PATHS = (".venv-tools/", "kit/", "KNOWN-RED.txt")
# Folders of the deploy file's build: a path there counts as missing, whether or not the build was run here.
BUILD_FOLDERS = (".venv/",)
PACKAGES = ("ops", "saffrongw", "registry")
METRIC_NAME = re.compile(r"\b(?:birchdrum|process)_[a-z_]+\b")


def logged_events() -> set[str]:
    """Return the names of all log events in the code."""
    events: set[str] = set()
    for package in PACKAGES:
        for file in (ROOT / package).glob("*.py"):
            text = file.read_text()
            events |= set(re.findall(r"\blog\.(?:debug|info|warning|error|exception)\(\s*\"(\w+)\"", text))
            calls = len(re.findall(r"\blog\.(?:debug|info|warning|error|exception)\(", text))
            named = len(re.findall(r"\blog\.(?:debug|info|warning|error|exception)\(\s*\"\w+\"", text))
            assert calls == named, f"{file.name}: a log call without a literal event name"
    return events | {"library_said"}


def test_documented_events_are_exactly_those_logged():
    rows = [
        line for line in (ROOT / "docs" / "logging.md").read_text().splitlines() if line.startswith("| `")
    ]
    documented = {name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])}
    assert len(documented) > 25
    assert documented == logged_events()


def monitoring_queries() -> list[str]:
    """Return all queries of the alert rules and the dashboard."""
    rules = yaml.safe_load((ROOT / "docs" / "monitoring" / "alerts.yml").read_text())
    queries = []
    for rule in [rule for group in rules["groups"] for rule in group["rules"]]:
        assert rule["annotations"]["summary"] and rule["annotations"]["action"]
        queries.append(rule["expr"])
    dashboard = json.loads((ROOT / "docs" / "monitoring" / "dashboard.json").read_text())
    return queries + [target["expr"] for panel in dashboard["panels"] for target in panel["targets"]]


@asyncio_test
async def test_alert_rules_and_dashboard_use_only_existing_metrics_and_labels(tmp_path):
    metrics_address, existing = free_address(), set()
    async with (
        Registry(tmp_path) as registry,
        GatewayProcesses(tmp_path, await FakeHost("a").listen()) as gateway,
    ):
        node = await registry.node().start("--new", "--metrics")
        assert (await node.put("s-1")).status == 200
        gateway.configuration["metrics"] = metrics_address
        await gateway.start()
        client = await gateway.connect_client()
        client.send_request()
        assert await client.wait_for_replies() == [b"ok"]
        for address in (metrics_address, node.operators):
            existing |= {name for name, _ in await scrape(address)}
    queries = monitoring_queries()
    named = {name for query in queries for name in METRIC_NAME.findall(query)}
    assert len(queries) > 25 and len(named) > 20
    assert named - existing == set()
    # Besides the values of counters: an outcome of requests, and the job name that Prometheus adds.
    existing_values = {value for _, _, _, _, values in metrics.LABELLED_COUNTERS for value in values} | {
        "served",
        "birchdrum",
    }
    used = {
        value
        for query in queries
        for pattern in re.findall(r'\w+=~?"([^"]+)"', query)
        for value in pattern.split("|")
    }
    assert used - existing_values == set()


def test_documented_metrics_are_exactly_those_exported():
    text = (ROOT / "docs" / "monitoring" / "README.md").read_text()
    gauges = {f"birchdrum_{name}" for name in (*metrics.GAUGES, "ready", "hosts")}
    counters = {f"birchdrum_{name}_total" for name in (*metrics.COUNTERS, "log_lines_kept_back")}
    counters |= {f"{name}_total" for _, name, _, _, _ in metrics.LABELLED_COUNTERS}
    histograms = {"birchdrum_answer_seconds", "birchdrum_attempt_seconds"}
    section = text.split("## Metrics")[1].split("\n## ")[0]
    named = {name for name in re.findall(r"`(\w+)`", section) if name.startswith("birchdrum_")}
    named = {name for name in named if not name.startswith("birchdrum_registry")}
    assert named == gauges | counters | histograms


def test_commands_in_the_documents_exist():
    texts = [page.read_text() for page in PAGES]
    calls = {call for text in texts for call in re.findall(r"birchdrum ((?:[a-z]+ ?)+)", text)}
    known = {"demo", "gateway", "registry", "call", "control", "config", "completion", "lab", "settings"}
    first = {
        call.split()[0] for text in texts for call in re.findall(r"^    (?:bin/)?birchdrum (.*)$", text, re.M)
    }
    assert calls and first <= known
    for command in sorted(first):
        assert run(*command.split(), "--help").returncode == 0


def missing_references(text: str) -> set[str]:
    """Return the files and settings that a text refers to and that don't exist."""
    quoted = set(re.findall(r"`([^`\s]+)`", text))
    paths = {word for word in quoted if re.fullmatch(r"(?:[\w.-]+/)+[\w.-]*|[A-Z-]+\.(?:md|txt|toml)", word)}
    paths |= set(re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", text))
    required = {path for path in paths if not path.startswith(OPTIONAL_PATHS)}
    missing = {path for path in required if path.startswith(BUILD_FOLDERS) or not (ROOT / path).exists()}
    missing |= {
        word for word in quoted if re.fullmatch(r"test_\w+\.py", word) and not (TESTS / word).exists()
    }
    sections = json.loads(run("config", "schema").stdout)["$defs"]
    known = {
        f"{section}.{key}"
        for section, schema in sections["Config"]["properties"].items()
        for key in sections.get(section.capitalize(), {}).get("properties", {})
        if schema
    }
    section_names = {name.partition(".")[0] for name in known}
    named = {word for word in quoted if re.fullmatch(r"[a-z]+\.(?!jsonl?$|py$|txt$)[a-z_]+", word)}
    named = {word for word in named if word.partition(".")[0] in section_names}
    assert known
    return missing | (named - known)


def test_files_and_settings_in_the_documents_exist():
    assert {page.name: missing for page in PAGES if (missing := missing_references(page.read_text()))} == {}
    existing = "`fleet.peers` `docs/lab.md` [x](docs/lab.md#kinds) `test_documents.py` `README.md`"
    nonexistent = (
        "`.venv/bin/python` `docs/no-page.md` [x](docs/none.md) `test_nothing.py` `fleet.peer` `NONE.md`"
    )
    missing = {
        ".venv/bin/python",
        "docs/no-page.md",
        "docs/none.md",
        "test_nothing.py",
        "fleet.peer",
        "NONE.md",
    }
    assert missing_references(existing + nonexistent) == missing


def test_the_readme_stays_short():
    assert len((ROOT / "README.md").read_text().splitlines()) <= README_LINES_MAX


def test_the_configuration_in_the_readme_is_valid(tmp_path):
    file = tmp_path / "gw.toml"
    file.write_text(re.search(r"```toml\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1))
    assert run("config", "check", file).stdout == f"{file}: can be used\n"
