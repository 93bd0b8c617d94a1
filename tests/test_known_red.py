"""The list of tests that are known to fail, on a small suite of its own."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

SUITE = """
def test_red():
    assert 1 == 2

def test_green():
    assert 1 == 1
"""
RED, GREEN = "tests/test_it.py::test_red, a cause, 7\n", "tests/test_it.py::test_green, a cause, 7\n"


def run(folder: Path, listed: str | None) -> tuple[int, str]:
    """The check of that suite, with this list."""
    (folder / "tests").mkdir()
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests" / "test_it.py").write_text(SUITE)
    (folder / "tests" / "conftest.py").write_text('pytest_plugins = ["known_red"]\n')
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    here = str(Path(__file__).parent)
    words = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    done = subprocess.run(
        words, cwd=folder, env=os.environ | {"PYTHONPATH": here}, capture_output=True, text=True
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize(
    ("listed", "is_green", "says"),
    [
        (None, False, "1 failed, 1 passed"),
        ("", False, "1 failed, 1 passed"),
        (RED, True, "known red: tests/test_it.py::test_red: a cause (issue 7)"),
        (RED + GREEN, False, "test_green"),
        (GREEN, False, "2 failed"),
        (
            RED + "tests/test_it.py::test_gone, a cause, 7\n",
            False,
            "there is no test tests/test_it.py::test_gone",
        ),
        (RED + "tests/test_no.py::test_red, a cause, 7\n", False, "there is no test"),
        (RED * 4, False, "has 4 lines, 3 at most"),
        ("tests/test_it.py::test_red\n", False, "is not TEST, CAUSE, ISSUE"),
        ("tests/test_it.py::test_red, a cause, soon\n", False, "is not TEST, CAUSE, ISSUE"),
    ],
)
def test_just_those_listed_may_fail_and_none_of_them_may_pass(tmp_path, listed, is_green, says):
    code, said = run(tmp_path, listed)
    assert (code == 0) == is_green
    assert says in said
