"""Experiments: a matrix of simulations run in parallel, stored as files and compared in pairs."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import platform
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from importlib.metadata import version
from pathlib import Path
from typing import Any

import numpy as np
from scipy import stats

from ops.checking import to_plain
from ops.files import write_atomically

from .baselines import VARIANTS
from .scenario import Scenario
from .simulations import InvalidRunError

RESULT_FORMAT = 1
REPOSITORY_ROOT = Path(__file__).parent.parent
LIBRARIES = ("numpy", "msgspec", "scipy")
AGAINST_PREFIX = "against:"  # followed by a revision in the name of a variant
CONFIDENCE_LEVEL = 0.95
BOOTSTRAP_RESAMPLES = 4_000


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """One simulation of a matrix. ``variant`` is a key of VARIANTS, or AGAINST_PREFIX and a revision."""

    scenario: Scenario
    seed: int
    variant: str

    def worker_input(self) -> dict[str, Any]:
        """Return the description that ``lab.worker`` reads."""
        name = "birchdrum" if self.variant.startswith(AGAINST_PREFIX) else self.variant
        return {"scenario": to_plain(self.scenario), "seed": self.seed, "variant": name}

    def digest(self) -> str:
        """Hash the complete input, to reject stored results of a different scenario with the same name."""
        text = json.dumps(self.worker_input() | {"of": self.variant}, sort_keys=True)
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    def result_file(self, folder: Path) -> Path:
        """Return the path of the stored result."""
        variant = self.variant.replace(":", "-").replace("/", "-")
        return folder / f"{self.scenario.name}.{self.scenario.gateways}.{self.seed}.{variant}.json"


@dataclass(slots=True)
class ExperimentResults:
    """Results of a matrix by (scenario, gateways, seed, variant), and messages of failed simulations."""

    records: dict[tuple[str, int, int, str], dict[str, Any]] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    reused: int = 0  # results that were loaded from earlier runs


def git(*arguments: str) -> str:
    """Run a git command in this repository and return its output; raises InvalidRunError."""
    process = subprocess.run(
        ["git", *arguments], cwd=REPOSITORY_ROOT, capture_output=True, text=True, check=False
    )
    if process.returncode:
        raise InvalidRunError(
            f"git {arguments[0]}: {process.stderr.strip().splitlines()[-1] if process.stderr else 'failed'}"
        )
    return process.stdout.strip()


def commit(requested: str) -> str:
    """Resolve a revision to its abbreviated commit id; raises InvalidRunError."""
    try:
        return git("rev-parse", "--verify", "--quiet", "--short=12", f"{requested}^{{commit}}")
    except InvalidRunError:
        raise InvalidRunError(f"--against {requested}: no such revision here") from None


def revision() -> str:
    """Return the current commit id, with "-altered" if there are local changes; "" outside a repository."""
    try:
        changes = git("status", "--porcelain", "--", "lab", "orchidlane", "ops")
        return git("rev-parse", "--short=12", "HEAD") + ("-altered" if changes else "")
    except (InvalidRunError, OSError):
        return ""


@contextlib.contextmanager
def checked_out(revisions: Sequence[str]) -> Iterator[dict[str, Path]]:
    """Provide, for each revision, a temporary folder that contains only its ``orchidlane`` package."""
    with tempfile.TemporaryDirectory(prefix="birchdrum-lab-") as root:
        folder, import_paths = Path(root), {}
        try:
            for i, commit_id in enumerate(revisions):
                tree, import_path = folder / f"tree{i}", folder / f"path{i}"
                git("worktree", "add", "--detach", str(tree), commit_id)
                import_path.mkdir()
                (import_path / "orchidlane").symlink_to(tree / "orchidlane")
                import_paths[commit_id] = import_path
            yield import_paths
        finally:
            for i in range(len(import_paths) + 1):
                with contextlib.suppress(InvalidRunError):
                    git("worktree", "remove", "--force", str(folder / f"tree{i}"))


def matrix(
    scenarios: Sequence[Scenario], seeds: Sequence[int], variants: Sequence[str], against: Sequence[str]
) -> list[PlannedRun]:
    """Return all combinations; raises InvalidRunError."""
    for name in variants:
        if name not in VARIANTS:
            raise InvalidRunError(f"no variant {name!r}: there are {', '.join(VARIANTS)}")
    # Commit ids, since a branch may have moved when an experiment is resumed.
    names = [*variants, *(AGAINST_PREFIX + commit(name) for name in against)]
    return [PlannedRun(scenario, seed, name) for scenario in scenarios for seed in seeds for name in names]


def load_result(planned: PlannedRun, folder: Path, current_revision: str) -> dict[str, Any] | None:
    """Return the stored result; None if it is missing, incomplete, or of another input or revision."""
    try:
        stored = json.loads(planned.result_file(folder).read_text())
        same = (stored["format"], stored["digest"], stored["revision"]) == (
            RESULT_FORMAT,
            planned.digest(),
            current_revision,
        )
        # With local changes the revision does not identify the program that produced a result.
        identified = current_revision and not current_revision.endswith("-altered")
        return stored if same and identified and "score" in stored["result"] else None
    except (OSError, ValueError, KeyError, TypeError):
        return None


async def run(
    planned_runs: Sequence[PlannedRun],
    folder: Path,
    workers: int,
    on_progress: Callable[[int, int, str], None],
) -> ExperimentResults:
    """Run the simulations that have no stored result yet.

    ``on_progress`` is called with the number of finished simulations, their total and a description. A failed
    simulation is reported in ``failures``; finished results are stored even if the experiment is interrupted.
    """
    results, current_revision, worker_slots = ExperimentResults(), revision(), asyncio.Semaphore(workers)
    against = list(
        dict.fromkeys(
            p.variant.removeprefix(AGAINST_PREFIX)
            for p in planned_runs
            if p.variant.startswith(AGAINST_PREFIX)
        )
    )
    versions = {"python": platform.python_version()} | {name: version(name) for name in LIBRARIES}

    async def run_one(planned: PlannedRun, paths: dict[str, Path]) -> None:
        key = (planned.scenario.name, planned.scenario.gateways, planned.seed, planned.variant)
        if stored := load_result(planned, folder, current_revision):
            results.records[key] = stored
            results.reused += 1
        else:
            async with worker_slots:
                output, error = await _worker(
                    planned, paths.get(planned.variant.removeprefix(AGAINST_PREFIX))
                )
            if output is None:
                results.failures.append(
                    f"{planned.scenario.name} seed {planned.seed} {planned.variant}: {error}"
                )
            else:
                record = {
                    "format": RESULT_FORMAT,
                    "digest": planned.digest(),
                    "revision": current_revision,
                    "versions": versions,
                }
                record |= planned.worker_input() | {"of": planned.variant} | output
                write_atomically(planned.result_file(folder), json.dumps(record, indent=1))
                results.records[key] = record
        on_progress(
            len(results.records) + len(results.failures),
            len(planned_runs),
            f"{planned.scenario.name} {planned.variant}",
        )

    folder.mkdir(parents=True, exist_ok=True)
    with checked_out(against) as paths:
        await asyncio.gather(*(run_one(planned, paths) for planned in planned_runs))
    # In the order of the matrix, not of completion: the first variant is the baseline of the comparison.
    keys = [(p.scenario.name, p.scenario.gateways, p.seed, p.variant) for p in planned_runs]
    results.records = {key: results.records[key] for key in keys if key in results.records}
    return results


async def _worker(planned: PlannedRun, path: Path | None) -> tuple[dict[str, Any] | None, str]:
    """Run one worker process; return its output, or None and the last line of its standard error."""
    environment = dict(os.environ)
    import_paths = [str(path)] if path else []
    environment["PYTHONPATH"] = os.pathsep.join([*import_paths, str(REPOSITORY_ROOT)])
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-P",
        "-m",
        "lab.worker",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=environment,
    )
    try:
        stdout, stderr = await process.communicate(json.dumps(planned.worker_input()).encode())
    except asyncio.CancelledError:
        process.kill()
        await process.wait()
        raise
    if process.returncode:
        lines = stderr.decode("utf-8", "replace").strip().splitlines()
        return None, lines[-1] if lines else f"worker exited with status {process.returncode}"
    output: dict[str, Any] = json.loads(stdout)
    return output, ""


@dataclass(frozen=True, slots=True)
class Difference:
    """Comparison of one variant with the first one, over the seeds that both have."""

    scenario: str
    gateways: int
    variant: str
    pairs: int
    median: float  # of the variant's scores
    difference: float  # median over pairs of the variant's score minus the first variant's
    low: float  # bounds of the confidence interval of ``difference``
    high: float
    broken: int  # simulations in which a rule was broken

    def __str__(self) -> str:
        text = f"{self.scenario:12} {self.gateways:4} gateways  {self.variant:24} score {self.median:.3f}"
        if self.pairs:
            difference = f"{self.difference:+.4f} [{self.low:+.4f}, {self.high:+.4f}]"
            text += f"  {difference} over {self.pairs} pairs"
        return text + (f"  BROKEN in {self.broken}" if self.broken else "")


def differences(results: ExperimentResults) -> list[Difference]:
    """Compare the variants of each scenario with its first variant."""
    rows = []
    groups = dict.fromkeys((name, gateways) for name, gateways, _, _ in results.records)
    variants = dict.fromkeys(variant for _, _, _, variant in results.records)
    base = next(iter(variants), "")
    for name, gateways in groups:
        scores: dict[str, dict[int, float]] = {variant: {} for variant in variants}
        broken: dict[str, int] = dict.fromkeys(variants, 0)
        for (scenario, size, seed, variant), record in results.records.items():
            if (scenario, size) == (name, gateways):
                scores[variant][seed] = record["result"]["score"]
                broken[variant] += bool(record["result"]["broken"])
        for variant, scores_by_seed in scores.items():
            if not scores_by_seed:
                continue
            pairs = [
                scores_by_seed[seed] - scores[base][seed]
                for seed in sorted(scores_by_seed)
                if seed in scores[base]
            ]
            pairs = [] if variant == base else pairs
            low, high = confidence_interval(pairs)
            median_difference = float(np.median(pairs)) if pairs else 0.0
            score = float(np.median(list(scores_by_seed.values())))
            rows.append(
                Difference(
                    name, gateways, variant, len(pairs), score, median_difference, low, high, broken[variant]
                )
            )
    return rows


def confidence_interval(values: Sequence[float]) -> tuple[float, float]:
    """Bootstrap the interval of the median; with fewer than 3 or only equal values, return their range."""
    if len(values) < 3 or len(set(values)) == 1:
        return (min(values, default=0.0), max(values, default=0.0))
    bootstrapped = stats.bootstrap(
        (np.array(values),),
        np.median,
        confidence_level=CONFIDENCE_LEVEL,
        n_resamples=BOOTSTRAP_RESAMPLES,
        method="percentile",
        rng=np.random.default_rng(0),
    )
    return float(bootstrapped.confidence_interval.low), float(bootstrapped.confidence_interval.high)


def rerun_from_file(result_file: Path) -> tuple[bool, str]:
    """Repeat the simulation of a stored result.

    Return whether the result is identical, and a message; raises InvalidRunError.
    """
    from .worker import run_simulation

    try:
        record = json.loads(result_file.read_text())
        if record["format"] != RESULT_FORMAT:
            raise InvalidRunError(
                f"{result_file}: unsupported format {record['format']}, expected {RESULT_FORMAT}"
            )
        description = {"scenario": record["scenario"], "seed": record["seed"], "variant": record["variant"]}
        stored_result = record["result"]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise (
            error
            if isinstance(error, InvalidRunError)
            else InvalidRunError(f"{result_file}: not a complete result file")
        ) from None
    new_result = json.loads(json.dumps(run_simulation(description)["result"]))
    if new_result == stored_result:
        return True, f"{result_file}: the same, score {new_result['score']:.6f}"
    return (
        False,
        f"{result_file}: different result, score {new_result['score']:.6f}, was {stored_result['score']:.6f}",
    )
