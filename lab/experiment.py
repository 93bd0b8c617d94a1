"""A matrix of plays over all cores, kept as files, compared in pairs."""

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
from .runs import InvalidRunError
from .scenario import Scenario

FORMAT = 1
ROOT = Path(__file__).parent.parent
LIBRARIES = ("numpy", "msgspec", "scipy")
AGAINST_PREFIX = "against:"  # before a revision in a variant's name
CONFIDENCE_LEVEL = 0.95  # of the intervals
RESAMPLES = 4_000


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """One play of a matrix. ``variant`` is one of VARIANTS, or the decisions of another revision."""

    scenario: Scenario
    seed: int
    variant: str

    def worker_input(self) -> dict[str, Any]:
        """All that a worker needs."""
        name = "birchdrum" if self.variant.startswith(AGAINST_PREFIX) else self.variant
        return {"scenario": to_plain(self.scenario), "seed": self.seed, "variant": name}

    def digest(self) -> str:
        """Of what is played, so that a file of another scenario under the same name is not taken for it."""
        text = json.dumps(self.worker_input() | {"of": self.variant}, sort_keys=True)
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    def file(self, folder: Path) -> Path:
        """Where its result is kept."""
        variant = self.variant.replace(":", "-").replace("/", "-")
        return folder / f"{self.scenario.name}.{self.scenario.gateways}.{self.seed}.{variant}.json"


@dataclass(slots=True)
class ExperimentResults:
    """What became of a matrix: results by (scenario, gateways, seed, variant), and what went wrong."""

    results: dict[tuple[str, int, int, str], dict[str, Any]] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    reused: int = 0  # of the results were there already


def git(*words: str) -> str:
    """One line of git about this repository; raises Unknown."""
    done = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=False)
    if done.returncode:
        raise InvalidRunError(
            f"git {words[0]}: {done.stderr.strip().splitlines()[-1] if done.stderr else 'failed'}"
        )
    return done.stdout.strip()


def commit(wanted: str) -> str:
    """A revision's own name, in short; raises Unknown."""
    try:
        return git("rev-parse", "--verify", "--quiet", "--short=12", f"{wanted}^{{commit}}")
    except InvalidRunError:
        raise InvalidRunError(f"--against {wanted}: no such revision here") from None


def revision() -> str:
    """Of the program as it is, with a mark where it is altered; of no repository: empty."""
    try:
        altered = git("status", "--porcelain", "--", "lab", "orchidlane", "ops")
        return git("rev-parse", "--short=12", "HEAD") + ("-altered" if altered else "")
    except (InvalidRunError, OSError):
        return ""


@contextlib.contextmanager
def checked_out(revisions: Sequence[str]) -> Iterator[dict[str, Path]]:
    """For each revision a folder that holds its ``orchidlane`` and nothing else; gone at the end."""
    with tempfile.TemporaryDirectory(prefix="birchdrum-lab-") as name:
        folder, found = Path(name), {}
        try:
            for i, wanted in enumerate(revisions):
                tree, alone = folder / f"tree{i}", folder / f"path{i}"
                git("worktree", "add", "--detach", str(tree), wanted)
                alone.mkdir()
                (alone / "orchidlane").symlink_to(tree / "orchidlane")
                found[wanted] = alone
            yield found
        finally:
            for i in range(len(found) + 1):
                with contextlib.suppress(InvalidRunError):
                    git("worktree", "remove", "--force", str(folder / f"tree{i}"))


def matrix(
    scenarios: Sequence[Scenario], seeds: Sequence[int], variants: Sequence[str], against: Sequence[str]
) -> list[PlannedRun]:
    """All plays; raises Unknown."""
    for name in variants:
        if name not in VARIANTS:
            raise InvalidRunError(f"no variant {name!r}: there are {', '.join(VARIANTS)}")
    # By its commit's own name: a branch may have moved when results are taken up again.
    names = [*variants, *(AGAINST_PREFIX + commit(wanted) for wanted in against)]
    return [PlannedRun(scenario, seed, name) for scenario in scenarios for seed in seeds for name in names]


def kept(wanted: PlannedRun, folder: Path, at: str) -> dict[str, Any] | None:
    """A whole result of this play by this program; None where there is none, or another."""
    try:
        found = json.loads(wanted.file(folder).read_text())
        same = (found["format"], found["digest"], found["revision"]) == (FORMAT, wanted.digest(), at)
        known = at and not at.endswith("-altered")  # else nobody can tell what played it
        return found if same and known and "score" in found["result"] else None
    except (OSError, ValueError, KeyError, TypeError):
        return None


async def run(
    plays: Sequence[PlannedRun], folder: Path, workers: int, told: Callable[[int, int, str], None]
) -> ExperimentResults:
    """Play what is missing. ``told`` hears how many of how many are done, and of which. One that breaks is
    told and left out; what is done is kept whatever ends the rest."""
    done, at, room = ExperimentResults(), revision(), asyncio.Semaphore(workers)
    against = list(
        dict.fromkeys(
            p.variant.removeprefix(AGAINST_PREFIX) for p in plays if p.variant.startswith(AGAINST_PREFIX)
        )
    )
    versions = {"python": platform.python_version()} | {name: version(name) for name in LIBRARIES}

    async def one(wanted: PlannedRun, paths: dict[str, Path]) -> None:
        key = (wanted.scenario.name, wanted.scenario.gateways, wanted.seed, wanted.variant)
        if found := kept(wanted, folder, at):
            done.results[key] = found
            done.reused += 1
        else:
            async with room:
                raw, wrong = await _worker(wanted, paths.get(wanted.variant.removeprefix(AGAINST_PREFIX)))
            if raw is None:
                done.failures.append(f"{wanted.scenario.name} seed {wanted.seed} {wanted.variant}: {wrong}")
            else:
                whole = {"format": FORMAT, "digest": wanted.digest(), "revision": at, "versions": versions}
                whole |= wanted.worker_input() | {"of": wanted.variant} | raw
                write_atomically(wanted.file(folder), json.dumps(whole, indent=1))
                done.results[key] = whole
        told(len(done.results) + len(done.failures), len(plays), f"{wanted.scenario.name} {wanted.variant}")

    folder.mkdir(parents=True, exist_ok=True)
    with checked_out(against) as paths:
        await asyncio.gather(*(one(wanted, paths) for wanted in plays))
    # In the order of the matrix, whichever came first: the first variant is what others are compared with.
    keys = [(w.scenario.name, w.scenario.gateways, w.seed, w.variant) for w in plays]
    done.results = {key: done.results[key] for key in keys if key in done.results}
    return done


async def _worker(wanted: PlannedRun, path: Path | None) -> tuple[dict[str, Any] | None, str]:
    """One process's result, or its last word."""
    environment = dict(os.environ)
    first = [str(path)] if path else []
    environment["PYTHONPATH"] = os.pathsep.join([*first, str(ROOT)])
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
        out, errors = await process.communicate(json.dumps(wanted.worker_input()).encode())
    except asyncio.CancelledError:
        process.kill()
        await process.wait()
        raise
    if process.returncode:
        lines = errors.decode("utf-8", "replace").strip().splitlines()
        return None, lines[-1] if lines else f"ended with {process.returncode}"
    raw: dict[str, Any] = json.loads(out)
    return raw, ""


@dataclass(frozen=True, slots=True)
class Difference:
    """One variant beside the first one, over the seeds that both have."""

    scenario: str
    gateways: int
    variant: str
    pairs: int
    median: float  # its score
    difference: float  # the median over pairs of its score less the first one's
    low: float
    high: float
    broken: int  # plays in which a rule was broken

    def __str__(self) -> str:
        text = f"{self.scenario:12} {self.gateways:4} gateways  {self.variant:24} score {self.median:.3f}"
        if self.pairs:
            sign = f"{self.difference:+.4f} [{self.low:+.4f}, {self.high:+.4f}]"
            text += f"  {sign} over {self.pairs} pairs"
        return text + (f"  BROKEN in {self.broken}" if self.broken else "")


def differences(done: ExperimentResults) -> list[Difference]:
    """Each scenario's variants beside its first one."""
    rows = []
    groups = dict.fromkeys((name, gateways) for name, gateways, _, _ in done.results)
    variants = dict.fromkeys(variant for _, _, _, variant in done.results)
    base = next(iter(variants), "")
    for name, gateways in groups:
        scores: dict[str, dict[int, float]] = {variant: {} for variant in variants}
        broken: dict[str, int] = dict.fromkeys(variants, 0)
        for (scenario, size, seed, variant), whole in done.results.items():
            if (scenario, size) == (name, gateways):
                scores[variant][seed] = whole["result"]["score"]
                broken[variant] += bool(whole["result"]["broken"])
        for variant, own in scores.items():
            if not own:
                continue
            pairs = [own[seed] - scores[base][seed] for seed in sorted(own) if seed in scores[base]]
            pairs = [] if variant == base else pairs
            low, high = confidence_interval(pairs)
            middle = float(np.median(pairs)) if pairs else 0.0
            score = float(np.median(list(own.values())))
            rows.append(
                Difference(name, gateways, variant, len(pairs), score, middle, low, high, broken[variant])
            )
    return rows


def confidence_interval(values: Sequence[float]) -> tuple[float, float]:
    """Of their median, by bootstrap; the values' own range where there are too few or all are alike."""
    if len(values) < 3 or len(set(values)) == 1:
        return (min(values, default=0.0), max(values, default=0.0))
    found = stats.bootstrap(
        (np.array(values),),
        np.median,
        confidence_level=CONFIDENCE_LEVEL,
        n_resamples=RESAMPLES,
        method="percentile",
        rng=np.random.default_rng(0),
    )
    return float(found.confidence_interval.low), float(found.confidence_interval.high)


def rerun_from_file(file: Path) -> tuple[bool, str]:
    """Play a kept result anew from its file: whether it is the same, and what to tell; raises Unknown."""
    from .worker import run_simulation

    try:
        whole = json.loads(file.read_text())
        if whole["format"] != FORMAT:
            raise InvalidRunError(f"{file}: format {whole['format']} is not known here, {FORMAT} is")
        wanted = {"scenario": whole["scenario"], "seed": whole["seed"], "variant": whole["variant"]}
        before = whole["result"]
    except (OSError, ValueError, KeyError, TypeError) as wrong:
        raise (
            wrong if isinstance(wrong, InvalidRunError) else InvalidRunError(f"{file}: is no whole result")
        ) from None
    now = json.loads(json.dumps(run_simulation(wanted)["result"]))
    if now == before:
        return True, f"{file}: the same, score {now['score']:.6f}"
    return False, f"{file}: another result, score {now['score']:.6f} after {before['score']:.6f}"
