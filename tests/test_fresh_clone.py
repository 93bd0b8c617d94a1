"""README's two commands in an empty clone, with an empty environment: what a new user has."""

from __future__ import annotations

import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
EMPTY = {"PATH": "/usr/local/bin:/usr/bin:/bin"}


def command(folder: Path, *words: str) -> subprocess.CompletedProcess[str]:
    """One of them, from another folder than the clone's."""
    return subprocess.run(
        [str(folder / words[0]), *words[1:]],
        cwd=folder.parent,
        env=EMPTY,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=600,
        check=False,
    )


def test_both_commands_make_what_they_need_and_do_what_they_say(tmp_path):
    clone = tmp_path / "clone"
    tracked = subprocess.run(
        ["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--", ".", ":!journal"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    for name in filter(None, tracked.stdout.split("\0")):
        if (ROOT / name).exists():
            (clone / name).parent.mkdir(parents=True, exist_ok=True)
            (clone / name).write_bytes((ROOT / name).read_bytes())
            (clone / name).chmod((ROOT / name).stat().st_mode)
    demo = command(clone, "bin/birchdrum", "demo", "--for", "3s")
    assert demo.returncode == 0, demo.stderr
    assert ", lost 0" in demo.stdout and "Traceback" not in demo.stderr
    assert demo.stderr.splitlines() == ["birchdrum: making .venv-tools with what the tools need, once"]
    again = command(clone, "bin/birchdrum", "demo", "--for", "1s")
    assert (again.returncode, again.stderr) == (0, "")
    (clone / ".venv-tools" / "made").unlink()  # ended half-way
    checked = command(clone, "bin/check", "tests/test_resp.py", "-n", "1")
    assert checked.returncode == 0, checked.stdout
    assert "100%" in checked.stdout
