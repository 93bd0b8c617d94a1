"""The list of known failures, applied to a small test suite."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

SUITE = """
import pytest
def test_red():
    assert 1 == 2

def test_green():
    assert 1 == 1

@pytest.mark.parametrize("case", (6, 7))
def test_case(case):
    assert case == 6
"""
RED, GREEN, CASE_6, CASE_7, CASE_8, ALL_CASES = (
    f"tests/test_it.py::test_{name}, a cause, 7\n"
    for name in ("red", "green", "case[6]", "case[7]", "case[8]", "case")
)


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
        (None, False, "2 failed, 2 passed"),
        ("", False, "2 failed, 2 passed"),
        (RED, False, "1 failed, 2 passed, 1 xfailed"),
        (RED + CASE_7, True, "known red: tests/test_it.py::test_red: a cause (issue 7)"),
        (RED + CASE_7, True, "known red: tests/test_it.py::test_case[7]: a cause (issue 7)"),
        (RED + GREEN + CASE_7, False, "test_green"),
        (RED + CASE_6, False, "2 failed, 1 passed, 1 xfailed"),
        (RED + ALL_CASES, False, "1 failed, 1 passed, 2 xfailed"),
        (RED + CASE_7 + CASE_8, False, "there is no test tests/test_it.py::test_case[8]"),
        (GREEN, False, "3 failed"),
        (
            RED + "tests/test_it.py::test_gone, a cause, 7\n",
            False,
            "there is no test tests/test_it.py::test_gone",
        ),
        (RED + "tests/test_no.py::test_red, a cause, 7\n", False, "there is no test"),
        (RED * 2, False, "test_red is listed twice"),
        (CASE_7 + ALL_CASES, False, "test_case is listed twice"),
        (ALL_CASES + CASE_7, False, "test_case[7] is listed twice"),
        (RED.replace("a cause", "a cause " * 40), False, "300 at most"),
        ("tests/test_it.py::test_red\n", False, "is not TEST, CAUSE, ISSUE"),
        ("tests/test_it.py::test_red, a cause, soon\n", False, "is not TEST, CAUSE, ISSUE"),
    ],
)
def test_only_listed_tests_may_fail_and_none_of_them_may_pass(tmp_path, known_failures, passes, expected):
    status, output = run_suite(tmp_path, known_failures)
    assert (status == 0) == passes
    assert expected in output
