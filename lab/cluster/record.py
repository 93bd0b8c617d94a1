"""Files of a run: what was done, what processes logged, what clients and hosts saw, on one monotonic axis.

Times are ``ms`` of CLOCK_BOOTTIME, which all processes of a machine share. ``Evidence`` is the files read
back: the checker sees nothing else.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from .schedule import PlannedFault, planned_fault_from_fields


def now_ms() -> int:
    """The axis."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Record:
    """Writes them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.files: dict[str, IO[str]] = {}

    def line(self, name: str, **fields: Any) -> None:
        """One line of a file, with the time."""
        if name not in self.files:
            self.files[name] = (self.folder / f"{name}.jsonl").open("a", buffering=1)
        self.files[name].write(json.dumps({"ms": now_ms(), **fields}) + "\n")

    def whole(self, name: str, value: Any) -> None:
        """A file of one value."""
        (self.folder / f"{name}.json").write_text(json.dumps(value, indent=1) + "\n")

    def close(self) -> None:
        """All of it is on its way to the disk."""
        for file in self.files.values():
            file.close()
        self.files.clear()


@dataclass(frozen=True, slots=True)
class Event:
    """A line of a process's log."""

    ms: int
    node: str
    name: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Evidence:
    """What the files tell. ``run`` has began, over and agreed (ms; None: never), gateways and seed."""

    run: dict[str, Any]
    faults: list[tuple[int, int | None, PlannedFault]]  # began, ended (ms; None: it never did), what
    events: list[Event]
    clients: list[dict[str, Any]]
    hosts: list[dict[str, Any]]
    tables: dict[str, dict[str, Any]]  # what each gateway held at the end

    @property
    def gateways(self) -> list[str]:
        """Names of all."""
        return [f"gw-{rank}" for rank in range(self.run["gateways"])]


def _lines(file: Path) -> Iterator[dict[str, Any]]:
    if not file.exists():
        return
    for text in file.read_text(errors="replace").splitlines():
        try:
            value = json.loads(text)
        except json.JSONDecodeError:
            continue  # a line that a kill cut off
        if isinstance(value, dict):
            yield value


def read(folder: Path) -> Evidence:
    """The files of a run."""
    run = json.loads((folder / "run.json").read_text())
    tables = folder / "tables.json"
    return Evidence(
        run,
        _faults(folder),
        _events(folder),
        list(_lines(folder / "clients.jsonl")),
        list(_lines(folder / "hosts.jsonl")),
        json.loads(tables.read_text()) if tables.exists() else {},
    )


def _faults(folder: Path) -> list[tuple[int, int | None, PlannedFault]]:
    began: dict[int, tuple[int, PlannedFault]] = {}
    ended: dict[int, int] = {}
    for line in _lines(folder / "faults.jsonl"):
        if line["step"] == "begun":
            began[line["number"]] = line["ms"], planned_fault_from_fields(line["fault"])
        else:
            ended[line["number"]] = line["ms"]
    return [(ms, ended.get(number), fault) for number, (ms, fault) in sorted(began.items())]


def _events(folder: Path) -> list[Event]:
    events = [
        Event(line["boot_ms"], file.stem, line["event"], line)
        for file in sorted(folder.glob("gw-*.log"))
        for line in _lines(file)
        if "boot_ms" in line and "event" in line
    ]
    return sorted(events, key=lambda event: event.ms)
