"""Configuration: parses JSON into typed values. The settings are parsed by ``orchidlane.wire``."""

from __future__ import annotations

import json
import os
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from ops import logs
from orchidlane import interface as api
from orchidlane import wire

Address = tuple[str, int]

PHASE_BY_HEALTH = {"SERVING": api.Phase.READY, "DRAINING": api.Phase.DRAINING, "DELETED": api.Phase.GONE}
MICROSECONDS_PER_MS = 1_000
DEFAULT_MEMORY_MB = 64  # if no limit is configured


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of discovery's list: the host as the decision logic sees it, and its network address."""

    entry: api.ServerEntry
    address: Address


@dataclass(frozen=True, slots=True)
class HostList:
    """A list of hosts, or the changes since an earlier version."""

    version: int
    whole: bool
    hosts: tuple[HostEntry, ...]
    malformed: int = 0  # number of malformed entries that were left out


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway process."""

    listen: Address
    discovery: Address
    seed: int  # of the decision module's random generator
    sockets: int  # limit of file descriptors for the process
    memory: int  # bytes
    control: Address | None  # listen address for operators' commands; None: off
    metrics: Address | None  # listen address for GET /metrics; None: off
    log_form: str  # one of ops.logs.FORMATS
    log_level: str  # one of ops.logs.LEVELS
    peer_listen: Address | None
    peers: tuple[Address, ...]  # ``peer_listen`` of all gateways in the order of their ranks
    cluster: str | None  # name of the cluster for membership; None: membership is off
    join: tuple[Address, ...]  # seed members that give the other members' addresses, instead of ``peers``
    meet: Address | None  # list service through which gateways find each other
    advertise: Address | None  # address at which other gateways reach ``peer_listen``; None: the same
    known: HostList  # list of hosts to start with
    settings: api.Settings
    classes: dict[bytes, int]  # index in the settings by name
    plans: dict[bytes, int]  # index in the settings by name
    zones: tuple[str, ...]
    units_most: float  # limit of a request's units
    idle_close: float  # seconds after which hosts close idle connections
    connect_timeout: float  # seconds


def address(text: str) -> Address:
    """Parse ``HOST:PORT``; raise ValueError if the text is not an address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def parse_hosts(raw: dict[str, Any], zones: tuple[str, ...]) -> HostList:
    """Parse a list of hosts as discovery sends it. Malformed entries are counted and left out."""
    hosts, malformed = [], 0
    for raw_host in raw["hosts"]:
        try:
            site = raw_host["site"]
            entry = api.ServerEntry(
                server=str(raw_host["host"]).encode(),
                phase=PHASE_BY_HEALTH[raw_host["health"]],
                zone=zones.index(site) if site in zones else len(zones),  # the latter: zone not configured
                cell=int(raw_host["block"]),
                launched=int(raw_host["born_ms"]) * MICROSECONDS_PER_MS,
                size=float(raw_host["share"]),
            )
            hosts.append(HostEntry(entry, address(raw_host["dial"])))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            malformed += 1
    return HostList(int(raw["seq"]), bool(raw["whole"]), tuple(hosts), malformed)


def checked_choice(choices: Collection[str], value: str) -> str:
    """Return the value; raise ValueError if it is none of the choices."""
    if value not in choices:
        raise ValueError(f"{value!r} is not one of {', '.join(choices)}")
    return value


def parse(text: str) -> Config:
    """Parse the JSON text of a configuration."""
    raw = json.loads(text)
    settings = raw["settings"]
    zones = tuple(settings["zones"])
    peers = raw.get("peers") or ()
    join, meet = raw.get("join") or (), raw.get("meet")
    has_peers = bool(peers or join or meet)  # listed or to be found; without any, this gateway runs alone
    permissions = settings["permissions"]
    log_settings = raw.get("log") or {}
    return Config(
        listen=address(raw["listen"]),
        discovery=address(raw["discovery"]),
        seed=int(raw["seed"], 16) if "seed" in raw else int.from_bytes(os.urandom(8), "big"),
        sockets=int(raw["limits"]["sockets"]),
        memory=int(float(raw["limits"].get("memory_mb", DEFAULT_MEMORY_MB)) * 1024 * 1024),
        control=address(raw["control"]) if raw.get("control") else None,
        metrics=address(raw["metrics"]) if raw.get("metrics") else None,
        log_form=checked_choice(logs.FORMATS, log_settings.get("form", "text")),
        log_level=checked_choice(logs.LEVELS, log_settings.get("level", "info")),
        peer_listen=address(raw["peer_listen"]) if has_peers and raw.get("peer_listen") else None,
        peers=tuple(address(peer) for peer in peers),
        cluster=str(raw["cluster"]) if raw.get("cluster") and has_peers else None,
        join=tuple(address(member) for member in join),
        meet=address(meet) if meet else None,
        advertise=address(raw["advertise"]) if raw.get("advertise") else None,
        known=parse_hosts(raw.get("known") or {"seq": 0, "whole": True, "hosts": ()}, zones),
        settings=wire.parse_settings(json.dumps(settings).encode()),
        classes={c["name"].encode(): i for i, c in enumerate(settings["classes"])},
        plans={p["name"].encode(): i for i, p in enumerate(settings["packages"])},
        zones=zones,
        units_most=float(settings["familyInfo"].get("unitsTop") or 1),
        idle_close=permissions["idleClose"] / 1e6,
        connect_timeout=permissions["connectTimeout"] / 1e6,
    )
