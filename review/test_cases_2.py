"""The cases 6 to 10 as tests, for ``KNOWN-RED.txt``. Only ``pytest review/test_cases_2.py`` runs them."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent
HELD = 0


@pytest.mark.parametrize("case", range(6, 11))
def test_case(case: int) -> None:
    """The rule that the case's claim names holds."""
    assert subprocess.run([FOLDER / str(case) / "run.sh"], check=False).returncode == HELD
