"""Documents name only what there is: events, metrics, commands, settings."""

from __future__ import annotations

import json
import re
from pathlib import Path

import yaml
from command import run
from conftest import FakeHost, Service, asyncio_test, free_address
from listing import Registry
from test_metrics import scrape

from saffrongw import metrics

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
README_MOST = 150  # lines
TESTS = Path(__file__).parent
# Made by the first command; the operators'; there only while a test is known to fail.
OUTSIDE = (".venv-tools/", "kit/", "KNOWN-RED.txt")
PACKAGES = ("ops", "saffrongw", "registry")
NAMES = re.compile(r"\b(?:birchdrum|process)_[a-z_]+\b")


def logged() -> set[str]:
    """Names of events in the code."""
    found: set[str] = set()
    for package in PACKAGES:
        for file in (ROOT / package).glob("*.py"):
            text = file.read_text()
            found |= set(re.findall(r"\blog\.(?:info|warning|error|exception)\(\s*\"(\w+)\"", text))
            calls = len(re.findall(r"\blog\.(?:info|warning|error|exception)\(", text))
            named = len(re.findall(r"\blog\.(?:info|warning|error|exception)\(\s*\"\w+\"", text))
            assert calls == named, f"{file.name}: an event without a literal name"
    return found | {"library_said"}


def test_each_event_is_documented_and_no_other():
    rows = [
        line for line in (ROOT / "docs" / "logging.md").read_text().splitlines() if line.startswith("| `")
    ]
    documented = {name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])}
    assert len(documented) > 25
    assert documented == logged()


def expressions() -> list[str]:
    """All queries of the alert rules and the dashboard."""
    rules = yaml.safe_load((ROOT / "docs" / "monitoring" / "alerts.yml").read_text())
    found = []
    for rule in [rule for group in rules["groups"] for rule in group["rules"]]:
        assert rule["annotations"]["summary"] and rule["annotations"]["action"]
        found.append(rule["expr"])
    board = json.loads((ROOT / "docs" / "monitoring" / "dashboard.json").read_text())
    return found + [target["expr"] for panel in board["panels"] for target in panel["targets"]]


@asyncio_test
async def test_alert_rules_and_dashboard_name_only_metrics_and_labels_that_exist(tmp_path):
    where, exist = free_address(), set()
    async with Registry(tmp_path) as registry, Service(tmp_path, await FakeHost("a").listen()) as service:
        node = await registry.service().start("--new", "--metrics")
        assert (await node.put("s-1")).status == 200
        service.text["metrics"] = where
        await service.start()
        caller = await service.caller()
        caller.call()
        assert await caller.replied() == [b"ok"]
        for address in (where, node.operators):
            exist |= {name for name, _ in await scrape(address)}
    asked = expressions()
    named = {name for text in asked for name in NAMES.findall(text)}
    assert len(asked) > 25 and len(named) > 20
    assert named - exist == set()
    values = {value for _, _, _, _, values in metrics.LABELLED_COUNTERS for value in values} | {
        "served",
        "birchdrum",
    }
    used = {v for text in asked for words in re.findall(r'\w+=~?"([^"]+)"', text) for v in words.split("|")}
    assert used - values == set()


def test_the_page_on_metrics_lists_each_and_no_other():
    text = (ROOT / "docs" / "monitoring" / "README.md").read_text()
    gauges = {f"birchdrum_{name}" for name in (*metrics.GAUGES, "ready", "hosts")}
    counters = {f"birchdrum_{name}_total" for name in (*metrics.COUNTERS, "log_lines_kept_back")}
    counters |= {f"{name}_total" for _, name, _, _, _ in metrics.LABELLED_COUNTERS}
    histograms = {"birchdrum_answer_seconds", "birchdrum_attempt_seconds"}
    section = text.split("## Metrics")[1].split("\n## ")[0]
    named = {word for word in re.findall(r"`(\w+)`", section) if word.startswith("birchdrum_")}
    named = {word for word in named if not word.startswith("birchdrum_registry")}
    assert named == gauges | counters | histograms


def test_commands_in_the_documents_are_known():
    texts = [page.read_text() for page in PAGES]
    calls = {call for text in texts for call in re.findall(r"birchdrum ((?:[a-z]+ ?)+)", text)}
    known = {"demo", "gateway", "registry", "call", "control", "config", "completion", "lab", "settings"}
    first = {
        call.split()[0] for text in texts for call in re.findall(r"^    (?:bin/)?birchdrum (.*)$", text, re.M)
    }
    assert calls and first <= known
    for words in sorted(first):
        assert run(*words.split(), "--help").returncode == 0


def missing(text: str) -> set[str]:
    """Files and settings that a text names and that don't exist."""
    quoted = set(re.findall(r"`([^`\s]+)`", text))
    paths = {word for word in quoted if re.fullmatch(r"(?:[\w.-]+/)+[\w.-]*|[A-Z-]+\.(?:md|txt|toml)", word)}
    paths |= set(re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", text))
    lost = {path for path in paths if not path.startswith(OUTSIDE) and not (ROOT / path).exists()}
    lost |= {word for word in quoted if re.fullmatch(r"test_\w+\.py", word) and not (TESTS / word).exists()}
    sections = json.loads(run("config", "schema").stdout)["$defs"]
    known = {
        f"{section}.{key}"
        for section, of in sections["Config"]["properties"].items()
        for key in sections.get(section.capitalize(), {}).get("properties", {})
        if of
    }
    heads = {name.partition(".")[0] for name in known}
    named = {word for word in quoted if re.fullmatch(r"[a-z]+\.(?!jsonl?$|py$|txt$)[a-z_]+", word)}
    named = {word for word in named if word.partition(".")[0] in heads}
    assert known
    return lost | (named - known)


def test_files_and_settings_that_the_documents_name_exist():
    assert {page.name: lost for page in PAGES if (lost := missing(page.read_text()))} == {}
    right = "`fleet.peers` `docs/lab.md` [x](docs/lab.md#kinds) `test_documents.py` `README.md`"
    wrong = "`docs/no-page.md` [x](docs/none.md) `test_nothing.py` `fleet.peer` `NONE.md`"
    lost = {"docs/no-page.md", "docs/none.md", "test_nothing.py", "fleet.peer", "NONE.md"}
    assert missing(right + wrong) == lost


def test_the_readme_stays_short():
    assert len((ROOT / "README.md").read_text().splitlines()) <= README_MOST


def test_the_configuration_of_the_readme_can_be_used(tmp_path):
    file = tmp_path / "gw.toml"
    file.write_text(re.search(r"```toml\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1))
    assert run("config", "check", file).stdout == f"{file}: can be used\n"
