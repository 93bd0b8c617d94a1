"""The installation steps of a new user: the README's two commands in a fresh clone, and the packages."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
CLEAN_ENVIRONMENT = {"PATH": "/usr/local/bin:/usr/bin:/bin"}


def run_command(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the folder from outside it, with a clean environment."""
    return subprocess.run(
        [str(folder / arguments[0]), *arguments[1:]],
        cwd=folder.parent,
        env=CLEAN_ENVIRONMENT,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=600,
        check=False,
    )


def copy_work_tree(clone: Path) -> Path:
    """Copy the files that a clone would hold, without the journal."""
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
    return clone


def test_the_package_works_when_installed_into_a_new_environment(tmp_path):
    tree, environment = copy_work_tree(tmp_path / "tree"), tmp_path / "env"
    subprocess.run([sys.executable, "-m", "venv", environment], check=True)
    pip_install = [environment / "bin" / "pip", "install", "-q", "--disable-pip-version-check", tree]
    subprocess.run(pip_install, env=CLEAN_ENVIRONMENT | {"HOME": str(tmp_path)}, check=True, timeout=600)
    (tmp_path / "tree").rename(tmp_path / "gone")  # the installed package must not use its source tree
    for arguments in (["--help"], ["lab", "list"], ["lab", "cluster"], ["demo", "--for", "3s"]):
        result = run_command(environment / "bin", "birchdrum", *arguments)
        assert result.returncode == 0, (arguments, result.stderr)
    assert ", lost 0" in result.stdout
    for arguments, missing in (
        (["compare", "calm"], "scipy"),
        (["members", "--what", "rest", "--size", "2", "--plot", "rest.png"], "matplotlib"),
    ):
        result = run_command(environment / "bin", "birchdrum", "lab", *arguments)
        assert (
            result.returncode == 1
            and f"needs {missing}" in result.stderr
            and "Traceback" not in result.stderr
        )


def test_dependencies_in_pyproject_match_the_requirements_files():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    declared = {*project["dependencies"], *project["optional-dependencies"]["lab"]}
    files = ("requirements.txt", "requirements-tools.txt")
    pinned = {line for file in files for line in (ROOT / file).read_text().split()}
    assert declared == pinned - {"setuptools==80.9.0"}


def test_both_commands_set_up_their_environment_and_work(tmp_path):
    clone = copy_work_tree(tmp_path / "clone")
    demo = run_command(clone, "bin/birchdrum", "demo", "--for", "3s")
    assert demo.returncode == 0, demo.stderr
    assert ", lost 0" in demo.stdout and "Traceback" not in demo.stderr
    assert demo.stderr.splitlines() == ["birchdrum: making .venv-tools with what the tools need, once"]
    second_run = run_command(clone, "bin/birchdrum", "demo", "--for", "1s")
    assert (second_run.returncode, second_run.stderr) == (0, "")
    (clone / ".venv-tools" / "made").unlink()  # as if an earlier setup had been interrupted
    check = run_command(clone, "bin/check", "tests/test_resp.py", "-n", "1")
    assert check.returncode == 0, check.stdout
    assert "100%" in check.stdout
