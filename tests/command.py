"""The installed ``birchdrum`` command as a process."""

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
    """Ours without anything that names a configuration, with some more."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith(("BIRCHDRUM_", "LB_"))}
    return kept | more


def drop_capabilities() -> None:
    """Root without the right to read everything and to listen below 1024: for others it changes nothing."""
    for right in (1, 2, 10):  # CAP_DAC_OVERRIDE, CAP_DAC_READ_SEARCH, CAP_NET_BIND_SERVICE
        ctypes.CDLL(None).prctl(24, right)  # PR_CAPBSET_DROP


def run(
    *words: object, timeout: float = 60, preexec_fn=None, **more: str
) -> subprocess.CompletedProcess[str]:
    """One call to its end."""
    return subprocess.run(
        [COMMAND, *map(str, words)],
        env=environment(**more),
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=timeout,
        check=False,
        preexec_fn=preexec_fn,
    )


def refused(*words: object, code: int = 2, preexec_fn=None, **more: str) -> list[str]:
    """A call that must fail; what it said, a line each, without a traceback."""
    ended = run(*words, preexec_fn=preexec_fn, **more)
    assert ended.returncode == code, (ended.returncode, ended.stderr)
    lines = ended.stderr.splitlines()
    assert lines and all(line.startswith("birchdrum: ") for line in lines), ended.stderr
    return [line.removeprefix("birchdrum: ") for line in lines]


def processes_matching(pattern: str) -> list[int]:
    """Processes whose command line has this in it."""
    found = []
    for folder in Path("/proc").iterdir():
        if folder.name.isdigit():
            try:
                line = (folder / "cmdline").read_bytes().replace(b"\0", b" ").decode("utf-8", "replace")
            except OSError:
                continue
            if re.search(pattern, line):
                found.append(int(folder.name))
    return found
