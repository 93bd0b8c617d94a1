"""Tests that fail for a real fault which can't be mended yet: ``KNOWN-RED.txt`` at the root, a line each.

A line is ``TEST, CAUSE, ISSUE`` with the test as ``tests/test_file.py::test_name``. Just these are run as
expected failures and told at the end. A fourth line, a test that isn't there or
one that passes fails the run."""

from __future__ import annotations

import ast
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True)
class Red:
    """One line."""

    test: str
    cause: str
    issue: str


def read(root: Path) -> list[Red]:
    """What the file says, no file being no line; raises UsageError with what to change."""
    file = root / FILE
    lines = [line for line in file.read_text().splitlines() if line.strip()] if file.exists() else []
    if len(lines) > MOST:
        raise pytest.UsageError(f"{FILE} has {len(lines)} lines, {MOST} at most: mend one first")
    reds = []
    for line in lines:
        words = [word.strip() for word in line.split(",")]
        if len(words) != 3 or not all(words) or not words[2].isdigit():
            raise pytest.UsageError(f"{FILE}: {line!r} is not TEST, CAUSE, ISSUE")
        red = Red(*words)
        if red.test.partition("::")[2] not in _tests(root / red.test.partition("::")[0]):
            raise pytest.UsageError(f"{FILE}: there is no test {red.test}")
        reds.append(red)
    return reds


def _tests(file: Path) -> set[str]:
    """Names of the tests of a file."""
    if not file.is_file():
        return set()
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in ast.parse(file.read_text()).body if isinstance(node, kinds)}


def pytest_configure(config: pytest.Config) -> None:
    """A file that makes no sense ends the run before it begins."""
    config.stash[REDS] = read(config.rootpath)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Those tests are to fail: one that passes does not pass."""
    reds = {red.test: red for red in config.stash[REDS]}
    for item in items:
        if red := reds.get(item.nodeid.partition("[")[0]):
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{red.cause} (issue {red.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Tell them, whatever else the run says."""
    for red in config.stash[REDS]:
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} (issue {red.issue})")


REDS = pytest.StashKey[list[Red]]()
