"""Pytest plugin for known failures: tests that fail because of a real fault that can't be fixed yet.

They are listed in ``KNOWN-RED.txt`` at the root, one short line each: ``TEST, CAUSE, ISSUE``, with the test
as ``tests/test_file.py::test_name``, or ``test_name[7]`` for one of its parameters. These tests are run as
expected failures and reported at the end. The run fails if a line is long, a test is listed twice, a listed
test or parameter doesn't exist, or a listed test passes.
"""

from __future__ import annotations

import ast
from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
LINE_LENGTH_MAX = 300  # characters


@dataclass(frozen=True)
class KnownFailure:
    """A known failure: one line of the file."""

    test: str
    cause: str
    issue: str


def read_known_failures(root: Path) -> list[KnownFailure]:
    """Read the file, which may be absent; raise UsageError if it is invalid."""
    file = root / FILE
    lines = file.read_text().splitlines() if file.exists() else []
    failures: list[KnownFailure] = []
    for line in filter(str.strip, lines):
        failure = _parse(line)
        path, _, test = failure.test.partition("::")
        if test.partition("[")[0] not in _test_names(root / path):
            raise pytest.UsageError(f"{FILE}: there is no test {failure.test}")
        if any(_covers(listed, failure) or _covers(failure, listed) for listed in failures):
            raise pytest.UsageError(f"{FILE}: {failure.test} is listed twice")
        failures.append(failure)
    return failures


def _parse(line: str) -> KnownFailure:
    """Parse one line of the file."""
    if len(line) > LINE_LENGTH_MAX:
        raise pytest.UsageError(f"{FILE}: a line has {len(line)} characters, {LINE_LENGTH_MAX} at most")
    fields = [field.strip() for field in line.split(",")]
    if len(fields) != 3 or not all(fields) or not fields[2].isdigit():
        raise pytest.UsageError(f"{FILE}: {line!r} is not TEST, CAUSE, ISSUE")
    return KnownFailure(*fields)


def _covers(failure: KnownFailure, other: KnownFailure) -> bool:
    """Return whether an entry names the other's test, with the same parameter or with all."""
    return failure.test in (other.test, other.test.partition("[")[0])


def _test_names(file: Path) -> set[str]:
    """Return the names of the test functions in a file."""
    if not file.is_file():
        return set()
    function_types = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in ast.parse(file.read_text()).body if isinstance(node, function_types)}


def pytest_configure(config: pytest.Config) -> None:
    """Stop the run before the first test if the file is invalid."""
    config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures; stop if a listed parameter doesn't exist."""
    failures = {failure.test: failure for failure in config.stash[KNOWN_FAILURES]}
    _check_parameters(config, failures, {item.nodeid for item in items})
    for item in items:
        failure = failures.get(item.nodeid) or failures.get(item.nodeid.partition("[")[0])
        if failure:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{failure.cause} (issue {failure.issue})"))


def _check_parameters(config: pytest.Config, failures: Collection[str], collected: set[str]) -> None:
    """Raise UsageError if a listed parameter is not among its test's, unless single tests were asked for."""
    if any("::" in argument for argument in config.args):
        return
    functions = {test.partition("[")[0] for test in collected}
    for test in failures:
        function, bracket, _ = test.partition("[")
        if bracket and function in functions and test not in collected:
            raise pytest.UsageError(f"{FILE}: there is no test {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """List the known failures, whatever the result of the run."""
    for failure in config.stash[KNOWN_FAILURES]:
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} (issue {failure.issue})")


KNOWN_FAILURES = pytest.StashKey[list[KnownFailure]]()
