"""The cases as tests, for ``KNOWN-RED.txt``. Only ``pytest review/test_cases.py`` runs them."""

from __future__ import annotations

import subprocess
from pathlib import Path

FOLDER = Path(__file__).parent
HELD = 0


def run(case: int) -> int:
    """Run a case's script and return its exit code."""
    return subprocess.run([FOLDER / str(case) / "run.sh"], check=False).returncode


def test_case_1():
    """Accepted requests get their final answer in time whatever other peers send."""
    assert run(1) == HELD


def test_case_2():
    """Each order's body is passed on unchanged."""
    assert run(2) == HELD


def test_case_3():
    """A long value that has begun is passed on whole to a client that reads it slowly."""
    assert run(3) == HELD
