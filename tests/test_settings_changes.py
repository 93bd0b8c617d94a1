"""Tests of the rules for changes of shared settings, and of the commands that show them."""

from __future__ import annotations

import json
from typing import Any

import pytest
import tomlkit
from birchdrum_command import refused, run

from birchdrum import compatibility
from birchdrum.model import Config
from registry.agreement import NEVER, TOGETHER, WITHIN

BASE: dict[str, Any] = {
    "listen": "127.0.0.1:6400",
    "discovery": "127.0.0.1:8500",
    "zones": ["a", "b"],
    "classes": [{"name": "read", "effect": "repeatable", "aim": "500ms", "deadline": "2s"}],
    "plans": [{"name": "home", "rate": 4.0, "burst": 12.0}, {"name": "works", "rate": 9.0, "burst": 20.0}],
    "prices": {"peer": 0.1},
}


def changed(**changes: Any) -> dict[str, Any]:
    return json.loads(json.dumps(BASE)) | changes


READ = BASE["classes"][0]
HOME, WORKS = BASE["plans"]
CASES = {
    "nothing": ({}, [], None),
    "local keys": ({"listen": "127.0.0.1:6401", "log": {"level": "debug"}, "name": "other"}, [], None),
    "a price": ({"prices": {"peer": 0.2}}, ["prices.peer"], TOGETHER),
    "a rate": ({"plans": [HOME | {"rate": 2.0}, WORKS]}, ["plans.home.rate"], WITHIN),
    "a plan is removed": ({"plans": [HOME]}, ["plans.works"], WITHIN),
    "a plan is added": ({"plans": [*BASE["plans"], WORKS | {"name": "new"}]}, ["plans.new"], WITHIN),
    "plans in another order": ({"plans": [WORKS, HOME]}, ["plans"], NEVER),
    "the first plan is removed": ({"plans": [WORKS]}, ["plans", "plans.home"], NEVER),
    "an effect": ({"classes": [READ | {"effect": "once"}]}, ["classes.read.effect"], NEVER),
    "zones in another order": ({"zones": ["b", "a"]}, ["zones"], NEVER),
    "an explicit default": ({"requests": {"attempts": 4}}, [], None),
    "a rate, a price and a ceiling": (
        {
            "plans": [HOME | {"rate": 3.0, "ceiling_rate": 8.0, "ceiling_burst": 9.0}, WORKS],
            "prices": {"peer": 0.0},
        },
        ["plans.home.rate", "plans.home.ceiling_rate", "plans.home.ceiling_burst", "prices.peer"],
        NEVER,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_a_change_is_reported_with_its_rule(case, tmp_path):
    changes, paths, rule = CASES[case]
    old, new = tmp_path / "old.toml", tmp_path / "new.toml"
    old.write_text(tomlkit.dumps(BASE))
    new.write_text(tomlkit.dumps(changed(**changes)))
    report = json.loads(run("settings", "diff", old, new, "--json").stdout)
    assert [change["path"] for change in report["changes"]] == paths
    assert report["rule"] == rule
    lines = run("settings", "diff", old, new).stdout.splitlines()
    assert len(lines) == len(paths) + 1
    assert lines[-1] == (f"as a whole: {rule}" if rule else "nothing that gateways share differs")


def test_each_key_has_a_rule_and_a_key_without_one_is_found():
    class ExtendedConfig(Config):
        quota_style: str = "plain"

    assert compatibility.unmatched_keys() == []
    assert compatibility.unmatched_keys(ExtendedConfig) == ["quota_style"]
    lines = run("settings", "rules").stdout.splitlines()
    assert len(lines) == len(compatibility.SHARED_KEYS) > 40
    assert json.loads(run("settings", "rules", "--json").stdout.splitlines()[1]) == {
        "key": "classes.*.effect",
        "rule": NEVER,
        "why": compatibility.SHARED_KEYS["classes.*.effect"][1],
    }


def test_an_invalid_file_is_reported_with_its_errors(tmp_path):
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(tomlkit.dumps(BASE))
    bad.write_text(tomlkit.dumps(changed(zones=[], plans=[HOME | {"rate": "much"}])))
    assert any("rate" in line for line in refused("settings", "diff", good, bad))
    assert refused("settings", "diff", good, tmp_path / "none.toml")
