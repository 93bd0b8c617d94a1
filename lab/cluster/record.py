"""The files of a run: injected faults, logs of the processes, observations of clients and hosts.

All times are in milliseconds of CLOCK_BOOTTIME, a monotonic clock that all processes of a machine share.
``RunData`` holds the files read back; it is the checker's only input.
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
    """Return the current time on the clock of the files, in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class RunWriter:
    """Writes the files of a run into a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.files: dict[str, IO[str]] = {}

    def append_line(self, name: str, **fields: Any) -> None:
        """Append one JSON line with the current time to ``name``.jsonl."""
        if name not in self.files:
            self.files[name] = (self.folder / f"{name}.jsonl").open("a", buffering=1)
        self.files[name].write(json.dumps({"ms": now_ms(), **fields}) + "\n")

    def write_json(self, name: str, value: Any) -> None:
        """Write a value to ``name``.json."""
        (self.folder / f"{name}.json").write_text(json.dumps(value, indent=1) + "\n")

    def close(self) -> None:
        """Flush and close all files."""
        for file in self.files.values():
            file.close()
        self.files.clear()


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a gateway's log."""

    ms: int
    node: str
    name: str
    fields: dict[str, Any]


@dataclass(slots=True)
class RunData:
    """The files of a run, read back.

    ``run`` has the times of the start (``began``), of the end of the schedule (``over``) and of the agreement
    of all views (``agreed``; None: not in time), the seed, the number and ``names`` of the gateways, those
    ``running`` at the end, and the child processes that have exited (``ended``).
    """

    run: dict[str, Any]
    faults: list[tuple[int, int | None, PlannedFault]]  # start, end (ms; None: not undone), fault
    events: list[Event]
    clients: list[dict[str, Any]]  # requests with their outcome as seen by the client
    hosts: list[dict[str, Any]]  # requests that started to run on a host
    member_views: dict[str, dict[str, Any]]  # each gateway's member view at the end; None: no answer

    @property
    def gateways(self) -> list[str]:
        """Names of all gateways."""
        return [f"gw-{rank}" for rank in range(self.run["gateways"])]


def _read_lines(file: Path) -> Iterator[dict[str, Any]]:
    if not file.exists():
        return
    for line in file.read_text(errors="replace").splitlines():
        try:
            value = json.loads(line)
        except json.JSONDecodeError:
            continue  # a line truncated by a kill of its process
        if isinstance(value, dict):
            yield value


def read_run(folder: Path) -> RunData:
    """Read the files of a run."""
    run = json.loads((folder / "run.json").read_text())
    tables = folder / "tables.json"
    return RunData(
        run,
        _read_faults(folder),
        _read_events(folder),
        list(_read_lines(folder / "clients.jsonl")),
        list(_read_lines(folder / "hosts.jsonl")),
        json.loads(tables.read_text()) if tables.exists() else {},
    )


def _read_faults(folder: Path) -> list[tuple[int, int | None, PlannedFault]]:
    began: dict[int, tuple[int, PlannedFault]] = {}
    ended: dict[int, int] = {}
    for line in _read_lines(folder / "faults.jsonl"):
        if line["step"] == "begun":
            began[line["number"]] = line["ms"], planned_fault_from_fields(line["fault"])
        else:
            ended[line["number"]] = line["ms"]
    return [(ms, ended.get(number), fault) for number, (ms, fault) in sorted(began.items())]


def _read_events(folder: Path) -> list[Event]:
    events = [
        Event(line["boot_ms"], file.stem, line["event"], line)
        for file in sorted(folder.glob("gw-*.log"))
        for line in _read_lines(file)
        if "boot_ms" in line and "event" in line
    ]
    return sorted(events, key=lambda event: event.ms)
