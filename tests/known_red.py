"""Pytest plugin for known failures: tests that fail because of a real fault that can't be fixed yet.

They are listed in ``KNOWN-RED.txt`` at the root. A line is ``TEST, CAUSE, ISSUE``, with the test as
``tests/test_file.py::test_name``. These tests are run as expected failures and reported at the end.
The run fails if more than three tests are listed, a listed test doesn't exist, or a listed test passes.
"""

from __future__ import annotations

import ast
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_LINES = 3


@dataclass(frozen=True)
class KnownFailure:
    """A known failure: one line of the file."""

    test: str
    cause: str
    issue: str


def read_known_failures(root: Path) -> list[KnownFailure]:
    """Read the file, which may be absent; raise UsageError if it is invalid."""
    file = root / FILE
    lines = [line for line in file.read_text().splitlines() if line.strip()] if file.exists() else []
    if len(lines) > MAX_LINES:
        raise pytest.UsageError(f"{FILE} has {len(lines)} lines, {MAX_LINES} at most: fix one first")
    failures = []
    for line in lines:
        fields = [field.strip() for field in line.split(",")]
        if len(fields) != 3 or not all(fields) or not fields[2].isdigit():
            raise pytest.UsageError(f"{FILE}: {line!r} is not TEST, CAUSE, ISSUE")
        failure = KnownFailure(*fields)
        if failure.test.partition("::")[2] not in _test_names(root / failure.test.partition("::")[0]):
            raise pytest.UsageError(f"{FILE}: there is no test {failure.test}")
        failures.append(failure)
    return failures


def _test_names(file: Path) -> set[str]:
    """Return the names of the test functions in a file."""
    if not file.is_file():
        return set()
    function_types = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in ast.parse(file.read_text()).body if isinstance(node, function_types)}


def pytest_configure(config: pytest.Config) -> None:
    """Stop the run before the first test if the file is invalid."""
    config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures."""
    failures = {failure.test: failure for failure in config.stash[KNOWN_FAILURES]}
    for item in items:
        if failure := failures.get(item.nodeid.partition("[")[0]):
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{failure.cause} (issue {failure.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """List the known failures, whatever the result of the run."""
    for failure in config.stash[KNOWN_FAILURES]:
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} (issue {failure.issue})")


KNOWN_FAILURES = pytest.StashKey[list[KnownFailure]]()
