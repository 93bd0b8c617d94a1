"""The list of known failures, applied to a small test suite."""

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


def run_suite(folder: Path, known_failures: str | None) -> tuple[int, str]:
    """Run the suite with this list and return the exit status and the output."""
    (folder / "tests").mkdir()
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests" / "test_it.py").write_text(SUITE)
    (folder / "tests" / "conftest.py").write_text('pytest_plugins = ["known_red"]\n')
    if known_failures is not None:
        (folder / "KNOWN-RED.txt").write_text(known_failures)
    plugin_folder = str(Path(__file__).parent)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    result = subprocess.run(
        command, cwd=folder, env=os.environ | {"PYTHONPATH": plugin_folder}, capture_output=True, text=True
    )
    return result.returncode, result.stdout + result.stderr


@pytest.mark.parametrize(
    ("known_failures", "passes", "expected"),
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
def test_only_listed_tests_may_fail_and_none_of_them_may_pass(tmp_path, known_failures, passes, expected):
    status, output = run_suite(tmp_path, known_failures)
    assert (status == 0) == passes
    assert expected in output
