"""Runs the installed ``birchdrum`` command as a process."""

from __future__ import annotations

import ctypes
import os
import re
import subprocess
import sys
from pathlib import Path

COMMAND = Path(sys.executable).parent / "birchdrum"
GATEWAY_TOML = """
listen = "{listen}"
discovery = "{discovery}"
control = "{control}"

[[classes]]
name = "read"
effect = "repeatable"
aim = "500ms"
deadline = "2s"

[[plans]]
name = "team"
rate = 5.0
burst = 10.0
"""


def environment(**more: str) -> dict[str, str]:
    """Return the environment without variables that configure birchdrum, with ``more`` added."""
    inherited = {
        name: value for name, value in os.environ.items() if not name.startswith(("BIRCHDRUM_", "LB_"))
    }
    return inherited | more


def drop_capabilities() -> None:
    """Drop root's capabilities to read any file and to bind ports below 1024; no effect for other users."""
    for capability in (1, 2, 10):  # CAP_DAC_OVERRIDE, CAP_DAC_READ_SEARCH, CAP_NET_BIND_SERVICE
        ctypes.CDLL(None).prctl(24, capability)  # PR_CAPBSET_DROP


def run(
    *arguments: object, timeout: float = 60, preexec_fn=None, **more: str
) -> subprocess.CompletedProcess[str]:
    """Run one command until it exits."""
    return subprocess.run(
        [COMMAND, *map(str, arguments)],
        env=environment(**more),
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=timeout,
        check=False,
        preexec_fn=preexec_fn,
    )


def refused(*arguments: object, code: int = 2, preexec_fn=None, **more: str) -> list[str]:
    """Run a command that must fail without a traceback; return its error lines, without their prefix."""
    completed = run(*arguments, preexec_fn=preexec_fn, **more)
    assert completed.returncode == code, (completed.returncode, completed.stderr)
    lines = completed.stderr.splitlines()
    assert lines and all(line.startswith("birchdrum: ") for line in lines), completed.stderr
    return [line.removeprefix("birchdrum: ") for line in lines]


def processes_matching(pattern: str) -> list[int]:
    """Return the ids of processes whose command line matches the pattern."""
    pids = []
    for folder in Path("/proc").iterdir():
        if folder.name.isdigit():
            try:
                line = (folder / "cmdline").read_bytes().replace(b"\0", b" ").decode("utf-8", "replace")
            except OSError:
                continue
            if re.search(pattern, line):
                pids.append(int(folder.name))
    return pids
