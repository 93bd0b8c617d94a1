"""Tests of configurations: error reports, precedence, and lossless conversion of the platform's file."""

from __future__ import annotations

import copy
import json
import tomllib

import pytest
from birchdrum_command import GATEWAY_TOML, refused, run
from conftest import RAW_SETTINGS
from hypothesis import given, settings
from hypothesis import strategies as st

from birchdrum import configuration, convert
from ops import checking
from saffrongw import config as platform

ADDRESSES = {"listen": "127.0.0.1:7301", "discovery": "127.0.0.1:7302", "control": "127.0.0.1:7303"}
VALID_TOML = GATEWAY_TOML.format(**ADDRESSES)
PLATFORM = {
    "name": "n0",
    "listen": "127.0.0.1:7301",
    "discovery": "127.0.0.1:7302",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 256, "memory_mb": 64, "cores": 0.4},
    "peer_listen": "127.0.0.1:7304",
    "peers": ["127.0.0.1:7304", "127.0.0.1:7305"],
    "peers_all": "127.0.0.1:7306",
    "known": {"seq": 41, "whole": True, "hosts": []},
    "settings": RAW_SETTINGS | {"goal": {"whole": 0.55}, "resolution": 2000, "kinds": ["std-4c"]},
}

INVALID_FILES = [
    (b"", "is empty"),
    (b" \n\t\n", "is empty"),
    (b"listen = ", "is not valid TOML"),
    (b"listen = 'a\xff'", "is not UTF-8, first at byte 11"),
    ("listen = 'a'".encode("utf-16"), "is not UTF-8, first at byte 0"),
    (b'{"listen": "127.0.0.1:1", ', "is not valid JSON"),
    (b"[" * 100_000, "is not valid TOML"),
    (b"#" * (configuration.MAX_FILE_BYTES + 1), "is larger than 16 MiB"),
]


@pytest.mark.parametrize(("raw", "message"), INVALID_FILES)
def test_an_unreadable_file_is_reported_in_one_line(tmp_path, raw, message):
    file = tmp_path / "gw.toml"
    file.write_bytes(raw)
    for call in (("config", "check"), ("gateway",)):
        [line] = refused(*call, file)
        assert line.startswith(f"{file}: ") and message in line


def test_a_missing_or_special_file_is_reported_in_one_line(tmp_path):
    assert refused("config", "check", tmp_path / "none") == [f"{tmp_path}/none: no such file or directory"]
    assert refused("config", "check", tmp_path) == [f"{tmp_path}: is a directory, expected a file"]
    assert refused("config", "check", "/dev/zero") == ["/dev/zero: is not a regular file"]
    assert "no configuration is given" in refused("gateway")[0]
    both = refused("gateway", tmp_path / "a", LB_CONFIG=str(tmp_path / "b"))
    assert both == ["more than one configuration is given, by FILE and LB_CONFIG: keep one of them"]


def test_all_errors_are_reported_with_key_value_and_expectation(tmp_path):
    file = tmp_path / "gw.toml"
    file.write_text(
        VALID_TOML.replace('"127.0.0.1:7302"', '"localhost"').replace("rate = 5.0", "rate = -1")
        + 'burst_units = 3\n[limits]\nmemory = "64 elephants"\ndescriptors = true\n[lgo]\nform = "text"\n'
    )
    lines = refused("config", "check", file, "--set", "log.form=xml", BIRCHDRUM_FLEET__RANK="x")
    assert [line.removeprefix(f"{file}: ") for line in lines] == [
        'discovery = "localhost": expected an address such as "127.0.0.1:6379"',
        "plans[0].rate = -1: expected a number of 0 or more",
        "plans[0].burst_units = 3: unknown key, did you mean plans[0].burst?",
        'limits.memory = "64 elephants": expected a size in B, KiB, MiB or GiB, such as "64MiB"',
        "limits.descriptors = true: expected a whole number of 1 or more",
        "lgo = {'form': 'text'}: unknown key, did you mean log?",
        'BIRCHDRUM_FLEET__RANK: fleet.rank = "x": expected a whole number of 0 or more',
        'flag: log.form = "xml": expected "text" (logfmt) or "json"',
    ]


CONFLICTS = [
    ({"fleet.rank": "3"}, "fleet.rank"),
    ({"fleet.gateways": "2"}, "fleet.peers"),
    ({"fleet.gateways": "2", "fleet.peers": "127.0.0.1:1,127.0.0.1:1"}, "fleet.peers"),
    ({"zone": "attic"}, "zone"),
    ({"zones": "[]"}, "zones"),
    ({"zones": "a,a"}, "zones"),
    ({"limits.descriptors": "64"}, "limits.descriptors"),
    ({"limits.memory": "1MiB"}, "limits.memory"),
    ({"plans.0.ceiling_rate": "2.0", "plans.0.ceiling_burst": "2"}, "plans[0].ceiling_rate"),
    ({"plans.0.ceiling_rate": "9.0"}, "plans[0].ceiling_burst"),
    ({"plans.0.burst": "0"}, "plans[0].burst"),
    ({"classes.0.aim": "3s"}, "classes[0].aim"),
    ({"classes.0.effect": "by_key"}, "classes[0].repeat_window"),
    ({"metrics": ADDRESSES["control"]}, "metrics"),
]


@pytest.mark.parametrize(("flags", "key"), CONFLICTS)
def test_conflicting_values_are_reported(tmp_path, flags, key):
    file = tmp_path / "gw.toml"
    file.write_text(VALID_TOML)
    assert configuration.load(file, {}, {}).platform["listen"] == ADDRESSES["listen"]
    with pytest.raises(configuration.ConfigurationError) as error:
        configuration.load(file, flags, {})
    assert [line.split(": ")[1].split(" = ")[0] for line in error.value.lines] == [key]


def test_flags_override_the_environment_which_overrides_the_file(tmp_path):
    file = tmp_path / "gw.toml"
    file.write_text(VALID_TOML + '[limits]\nmemory = "64MiB"\ndescriptors = 128\ncores = 0.5\n')
    variables = {"BIRCHDRUM_LIMITS__MEMORY": "96MiB", "BIRCHDRUM_LIMITS__DESCRIPTORS": "512"}
    arguments = ("config", "show", file, "--set", "limits.descriptors=1024")
    shown = tomllib.loads(run(*arguments, **variables).stdout)
    assert shown["limits"] == {"memory": "96MiB", "descriptors": 1024, "cores": 0.5}
    origins = dict(line.split("\t") for line in run(*arguments, "--origins", **variables).stdout.splitlines())
    assert origins["limits.memory"] == "BIRCHDRUM_LIMITS__MEMORY"
    assert origins["limits.descriptors"] == "flag"
    assert origins["limits.cores"] == origins["listen"] == str(file)
    everything = tomllib.loads(run("config", "show", file, "--all").stdout)
    assert everything["hosts"]["connect_timeout"] == "250ms"
    file.write_text(run("config", "show", file, "--all").stdout)
    assert run("config", "check", file).stdout == f"{file}: can be used\n"


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.floats(allow_nan=False)
    | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)
TABLES = [
    (),
    ("limits",),
    ("settings",),
    ("settings", "permissions"),
    ("settings", "classes", 0),
    ("settings", "packages", 0),
    ("known",),
]


@given(st.lists(st.tuples(st.sampled_from(TABLES), st.text(max_size=6), JSON), max_size=5), st.data())
@settings(max_examples=150, deadline=None)
def test_the_platforms_file_survives_the_round_trip_unchanged(tmp_path_factory, more, data):
    """Unknown keys, nulls and values that birchdrum's types can't represent survive the round trip."""
    raw = copy.deepcopy(PLATFORM)
    for path, key, value in more:
        table = raw
        for segment in path:
            table = table[segment]
        if key not in table:
            table[key] = value
    raw["limits"]["memory_mb"] = data.draw(st.sampled_from([64, 64.0, 63.7, 100.5, 192]))
    if data.draw(st.booleans()):
        del raw["limits"]["cores"]
    folder = tmp_path_factory.mktemp("convert")
    platform_file, toml_file = folder / "n0.json", folder / "n0.toml"
    platform_file.write_text(json.dumps(raw))
    first = configuration.load(platform_file, {}, {})
    assert first.platform == raw
    toml_file.write_text(configuration.as_toml(first))
    second = configuration.load(toml_file, {}, {})
    assert second.platform == raw
    assert json.dumps(second.platform, sort_keys=True) == json.dumps(first.platform, sort_keys=True)


def test_toml_converts_to_the_platforms_json_and_back(tmp_path):
    toml_file, platform_file, converted_back = (tmp_path / name for name in ("a.toml", "a.json", "b.toml"))
    toml_file.write_text(VALID_TOML + '[log]\nform = "json"\n[hosts]\nidle_close = "1.5min"\n')
    assert run("config", "convert", toml_file, "-o", platform_file).returncode == 0
    assert json.loads(platform_file.read_text())["settings"]["permissions"]["idleClose"] == 90_000_000
    assert platform.parse(platform_file.read_text()).log_form == "json"
    assert run("config", "convert", platform_file, "-o", converted_back).returncode == 0
    assert (
        configuration.load(converted_back, {}, {}).config.hosts
        == configuration.load(toml_file, {}, {}).config.hosts
    )
    missing_directory = refused("config", "convert", toml_file, "-o", tmp_path / "none" / "x", code=1)
    assert "no such file" in missing_directory[0]


def test_an_override_takes_precedence_over_the_platforms_file(tmp_path):
    file = tmp_path / "n0.json"
    file.write_text(json.dumps(PLATFORM | {"limits": {"sockets": 256, "memory_mb": 63.7}}))
    loaded = configuration.load(file, {"limits.memory": "96MiB", "limits.cores": "2"}, {})
    assert loaded.platform["limits"] == {"sockets": 256, "memory_mb": 96, "cores": 2.0}
    assert loaded.platform["settings"]["goal"] == {"whole": 0.55}


def test_the_schema_names_every_key():
    schema = json.loads(run("config", "schema").stdout)
    tables = schema["$defs"]
    assert set(tables["Config"]["properties"]) >= {"listen", "classes", "plans", "fleet", "log"}
    assert tables["Limits"]["properties"]["memory"]["default"] == "64MiB"
    assert "classes" in tables["Config"]["required"] and "log" not in tables["Config"]["required"]


def test_every_key_maps_to_the_platforms_file():
    """A key without a mapping would be accepted and silently ignored."""
    paths = set(convert.FIELDS) | {"zone", "classes", "plans", "known.hosts", "platform"}
    hints = checking.typing.get_type_hints(configuration.Config)
    for name, kind in hints.items():
        kind = checking._unwrap_optional(kind)
        if isinstance(kind, type) and issubclass(kind, checking.Strict) and name != "platform":
            inner = {f"{name}.{key}" for key in checking.typing.get_type_hints(kind)}
            assert inner - paths == set()
        else:
            assert name in paths
