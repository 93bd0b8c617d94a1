"""``birchdrum lab``: scenarios on a virtual clock, experiments, and real processes with injected faults."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from .command import FAILED, FILE_PATH, NOT_POSSIBLE, SUCCESS, USAGE_ERROR, CommandError, DurationType


@click.group()
def lab() -> None:
    """Simulate scenarios of a whole fleet, and compare the gateway with baselines."""


@lab.command("list")
def list_scenarios() -> None:
    """List the included scenarios and the variants that can be compared."""
    from lab import scenario, simulations

    for name, file in scenario.shipped().items():
        click.echo(f"{name:20} {scenario.load(file).about}")
    click.echo(f"variants: {', '.join(simulations.variants())}")


@lab.command("check")
@click.argument("file", type=FILE_PATH)
def check_scenario(file: Path) -> None:
    """Check a scenario file, print its errors, or its request rate and host utilization."""
    from lab import scenario

    loaded = _load_scenario(str(file))
    rate = scenario.request_rate(loaded)
    click.echo(
        f"{file}: {rate:.0f} first tries per second, host utilization {scenario.host_utilization(loaded):.0%}"
    )


def _load_scenario(name: str) -> Any:
    from lab import scenario

    try:
        return scenario.load(scenario.shipped().get(name, Path(name)))
    except scenario.InvalidScenario as error:
        raise CommandError(USAGE_ERROR, *error.lines) from None


@lab.command("run")
@click.argument("scenario")
@click.option(
    "--seed", "seeds", multiple=True, type=click.IntRange(0), help="Random seed, by default 1; repeatable."
)
@click.option(
    "--variant", "variants", multiple=True, help="By default birchdrum; repeatable, all for every variant."
)
@click.option("--gateways", type=click.IntRange(1, 1000), help="Override the file's number of gateways.")
@click.option("--json", "as_json", is_flag=True, help="Print full results as JSON, one per line.")
def run_scenario(
    scenario: str, seeds: tuple[int, ...], variants: tuple[str, ...], gateways: int | None, as_json: bool
) -> None:
    """Simulate SCENARIO, a file or the name of an included one, on the virtual clock.

    A seed gives every variant the same arrivals, and always the same result, byte for byte. Exit code 0 if
    the gateway broke no rule, else 1.
    """
    from lab import simulations

    try:
        planned_simulations = simulations.plan_simulations(
            _load_scenario(scenario), seeds or (1,), variants or ("birchdrum",), gateways
        )
    except simulations.InvalidRunError as error:
        raise CommandError(USAGE_ERROR, str(error)) from None
    rule_broken = False
    for simulation in planned_simulations:
        result, cost = simulation.run()
        rule_broken |= simulation.variant == "birchdrum" and bool(result["broken"])
        if as_json:
            click.echo(json.dumps({"variant": simulation.variant, **result}, sort_keys=True))
        else:
            click.echo(simulations.summary_line(simulation, result, cost))
    sys.exit(NOT_POSSIBLE if rule_broken else SUCCESS)


def _parse_seeds(text: str) -> list[int]:
    """Parse numbers and ranges such as ``1-5,9``; raises CommandError."""
    seeds: list[int] = []
    try:
        for segment in text.split(","):
            first, _, last = segment.partition("-")
            seeds += range(int(first), int(last or first) + 1)
    except ValueError:
        raise CommandError(
            USAGE_ERROR, f"--seeds {text}: expected numbers and ranges, such as 1-5,9"
        ) from None
    return seeds


@lab.command("compare")
@click.argument("scenarios", nargs=-1, required=True)
@click.option("--seeds", default="1-5", show_default=True, help="Random seeds, such as 1-5,9.")
@click.option("--variant", "variants", multiple=True, help="By default birchdrum; the first is the baseline.")
@click.option(
    "--against", multiple=True, metavar="REV", help="Compare with the decisions of this revision; repeatable."
)
@click.option(
    "--gateways", "sizes", multiple=True, type=click.IntRange(1, 1000), help="Number of gateways; repeatable."
)
@click.option("--out", type=FILE_PATH, default=Path("found/lab"), show_default=True)
@click.option("--workers", type=click.IntRange(1), help="Parallel runs; by default one per core.")
def compare(
    scenarios: tuple[str, ...],
    seeds: str,
    variants: tuple[str, ...],
    against: tuple[str, ...],
    sizes: tuple[int, ...],
    out: Path,
    workers: int | None,
) -> None:
    """Run all combinations in parallel and report differences to the first variant, paired by seed.

    Results are stored in --out, one file per run; a repeated call runs only those that are missing. Exit code
    0 if all runs completed, else 1.
    """
    import asyncio
    import os

    from rich.console import Console
    from rich.progress import Progress

    try:
        from lab import experiment, simulations
    except ModuleNotFoundError as missing:
        raise CommandError(
            NOT_POSSIBLE, f"lab compare needs {missing.name}: install birchdrum's extra [lab]"
        ) from None

    try:
        sized_scenarios = [
            simulations.with_gateways(scenario, size)
            for scenario in map(_load_scenario, scenarios)
            for size in sizes or (None,)
        ]
        planned_runs = experiment.matrix(
            sized_scenarios, _parse_seeds(seeds), variants or ("birchdrum",), against
        )
        console = Console(stderr=True)
        with Progress(console=console, transient=True, disable=not console.is_terminal) as progress:
            task = progress.add_task("playing", total=len(planned_runs))

            def report_progress(done: int, total: int, what: str) -> None:
                progress.update(task, completed=done, description=what)

            outcome = asyncio.run(
                experiment.run(planned_runs, out, workers or os.cpu_count() or 1, report_progress)
            )
    except simulations.InvalidRunError as error:
        raise CommandError(USAGE_ERROR, str(error)) from None
    except OSError as error:
        raise CommandError(NOT_POSSIBLE, f"{out}: {(error.strerror or str(error)).lower()}") from None
    for row in experiment.differences(outcome):
        click.echo(str(row))
    if outcome.reused:
        click.echo(f"{outcome.reused} of {len(planned_runs)} results were reused from {out}")
    if outcome.failures:
        raise CommandError(NOT_POSSIBLE, *outcome.failures)


@lab.command("again")
@click.argument("file", type=FILE_PATH)
def play_again(file: Path) -> None:
    """Repeat the run of a stored result from its file alone; exit code 0 if it gives the same, else 1."""
    from lab import experiment, simulations

    try:
        identical, text = experiment.rerun_from_file(file)
    except simulations.InvalidRunError as error:
        raise CommandError(USAGE_ERROR, str(error)) from None
    click.echo(text)
    sys.exit(SUCCESS if identical else NOT_POSSIBLE)


@lab.command()
@click.argument("schedules", nargs=-1)
@click.option("--seed", "seeds", default="1", show_default=True, help="Random seeds, such as 1-5,9.")
@click.option("--gateways", type=click.IntRange(2, 200), help="Override the schedule's number of gateways.")
@click.option("--out", type=FILE_PATH, default=Path("found/cluster"), show_default=True)
@click.option("--defect", help="Run gateways with this planted defect, which the checker must find.")
@click.option(
    "--before", metavar="REV", help="Start gateways from this revision; restarts use the current one."
)
@click.option("--shrink", is_flag=True, help="Minimize the faults that still break a rule.")
@click.option("--json", "as_json", is_flag=True, help="Print verdicts as JSON, one per line.")
def cluster(
    schedules: tuple[str, ...],
    seeds: str,
    gateways: int | None,
    out: Path,
    defect: str | None,
    before: str | None,
    shrink: bool,
    as_json: bool,
) -> None:
    """Run real processes with the faults of SCHEDULES: files, or names of included ones.

    Without SCHEDULES, lists the included ones. Starts gateways, registries, agents, hosts and clients on
    loopback with a relay between them, injects the faults, and checks the records written to --out, which are
    all that is left behind. Exit code 0 if no rule was broken, 4 if one was, 1 if the fleet could not run.
    """
    import asyncio
    import os

    from lab import defects
    from lab.cluster import campaign, fleet, schedule

    if not schedules:
        for name, file in schedule.shipped().items():
            click.echo(f"{name:10} {schedule.load(file).about}")
        return
    module = "birchdrum"
    if defect is not None:
        if defect not in defects.DEFECT_NAMES:
            raise CommandError(
                USAGE_ERROR, f"--defect {defect}: expected one of {', '.join(defects.DEFECT_NAMES)}"
            )
        module = "lab.defects"
        os.environ[defects.DEFECT_VARIABLE] = defect
    loaded = {}
    for name in schedules:
        try:
            loaded[name] = schedule.load(schedule.shipped().get(name, Path(name)))
            if gateways:
                loaded[name] = schedule.with_gateway_count(loaded[name], gateways)
        except schedule.ScheduleError as error:
            raise CommandError(USAGE_ERROR, *error.lines) from None

    async def run_one(name: str, seed: int) -> bool:
        run_folder = out / f"{Path(name).stem}-{seed}"
        verdict = await campaign.run(loaded[name], seed, run_folder, module, None, before)
        click.echo(
            json.dumps(verdict.fields()) if as_json else "\n".join(campaign.summary_lines(name, verdict))
        )
        if verdict.breaches and shrink:

            async def breaks_rule(faults: list[schedule.PlannedFault]) -> bool:
                shrunk_folder = out / f"{run_folder.name}-shrunk"
                shrunk = await campaign.run(loaded[name], seed, shrunk_folder, module, faults, before)
                return bool(shrunk.breaches)

            fewest = await campaign.shrink(verdict.faults, breaks_rule)
            click.echo("\n".join(["fewest faults that break a rule:", *(f"  {fault}" for fault in fewest)]))
        return not verdict.breaches

    async def run_all() -> int:
        passed = [await run_one(name, seed) for name in loaded for seed in _parse_seeds(seeds)]
        return SUCCESS if all(passed) else FAILED

    try:
        sys.exit(asyncio.run(campaign.run_until_signalled(run_all())))
    except (fleet.FleetError, OSError) as error:
        raise CommandError(NOT_POSSIBLE, str(error)) from None


@lab.command()
@click.option("--members", type=click.IntRange(2, 4), default=3, show_default=True)
@click.option(
    "--window",
    type=click.IntRange(1, 200),
    default=12,
    show_default=True,
    help="Length of the explored window, in steps of 50 ms.",
)
@click.option(
    "--faults",
    type=click.IntRange(0, 4),
    default=1,
    show_default=True,
    help="Maximum number of faults on a path.",
)
@click.option(
    "--kind", "kinds", multiple=True, help="Fault kind: lose, double, late, pause, restart; by default all."
)
@click.option("--defect", help="Check an implementation with this planted defect.")
def model(members: int, window: int, faults: int, kinds: tuple[str, ...], defect: str | None) -> None:
    """Check the invariants of membership for every placement of a few faults in a short time.

    Exit code 0 if all invariants hold, 4 if one is violated; prints the faults that lead to it.
    """
    from lab import defects
    from lab import model as model_checker
    from orchidlane.membership import Membership

    if unknown := set(kinds) - set(model_checker.FAULT_KINDS):
        raise CommandError(
            USAGE_ERROR, f"--kind {min(unknown)}: expected one of {', '.join(model_checker.FAULT_KINDS)}"
        )
    if defect is not None and defect not in defects.CORE_DEFECTS:
        raise CommandError(
            USAGE_ERROR, f"--defect {defect}: expected one of {', '.join(defects.CORE_DEFECTS)}"
        )
    core = defects.CORE_DEFECTS[defect] if defect else Membership
    result = model_checker.check(core, members, window, faults, kinds or model_checker.FAULT_KINDS)
    click.echo(
        f"{result.states} states, {result.paths} paths, {result.revisited} more that ended in a known state"
    )
    for violation in result.violations:
        click.echo(f"BROKEN {violation}")
    sys.exit(FAILED if result.violations else SUCCESS)


@lab.command()
@click.option(
    "--what",
    "whats",
    multiple=True,
    help="Measurement: kill, false, pauses, name, heal, rest; by default all.",
)
@click.option("--variant", "variants", multiple=True, help="birchdrum, swim, heartbeats; by default all.")
@click.option(
    "--size",
    "sizes",
    multiple=True,
    type=click.IntRange(2, 1000),
    help="Number of members, by default 30; repeatable.",
)
@click.option(
    "--loss",
    "losses",
    multiple=True,
    type=click.FloatRange(0, 0.9),
    help="Fraction of messages lost, by default 0; repeatable.",
)
@click.option("--seeds", default="1-5", show_default=True, help="Random seeds, such as 1-5,9.")
@click.option("--out", type=FILE_PATH, default=Path("found/members"), show_default=True)
@click.option("--workers", type=click.IntRange(1), help="Parallel measurements; by default one per core.")
@click.option("--plot", type=FILE_PATH, help="Plot the results to this .png, .svg or .pdf file.")
def members(
    whats: tuple[str, ...],
    variants: tuple[str, ...],
    sizes: tuple[int, ...],
    losses: tuple[float, ...],
    seeds: str,
    out: Path,
    workers: int | None,
    plot: Path | None,
) -> None:
    """Compare membership with two baselines on the virtual clock, paired by seed.

    Results are stored in --out, one file per measurement; a repeated call runs only those that are missing.
    """
    import os

    from lab import member_baselines, member_study

    for values, accepted, option in (
        (whats, member_study.MEASUREMENTS, "--what"),
        (variants, member_baselines.VARIANTS, "--variant"),
    ):
        if unknown := set(values) - set(accepted):
            raise CommandError(USAGE_ERROR, f"{option} {min(unknown)}: expected one of {', '.join(accepted)}")
    jobs = [
        member_study.Job(what, variant, size, seed, loss)
        for what in whats or member_study.MEASUREMENTS
        for size in sizes or (30,)
        for loss in losses or (0.0,)
        for seed in _parse_seeds(seeds)
        for variant in variants or member_baselines.VARIANTS
    ]
    if plot and plot.suffix not in (".png", ".svg", ".pdf"):
        raise CommandError(USAGE_ERROR, f"--plot {plot}: expected a file name ending in .png, .svg or .pdf")
    if plot:
        try:
            from lab import member_plots
        except ModuleNotFoundError as missing:
            raise CommandError(
                NOT_POSSIBLE, f"lab members --plot needs {missing.name}: install birchdrum's extra [lab]"
            ) from None
    measurements = member_study.run(jobs, out, workers or os.cpu_count() or 1)
    for line in member_study.summary(measurements):
        click.echo(line)
    if plot:
        member_plots.draw(measurements, plot)


@lab.command()
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    help="Fault kind: calm, loss, cuts, pauses, restarts, source, all; by default each.",
)
@click.option("--size", type=click.IntRange(1, 1000), default=8, show_default=True, help="Gateways.")
@click.option("--seeds", default="1-3", show_default=True, help="Random seeds, such as 1-5,9.")
@click.option(
    "--for",
    "span",
    type=DurationType(),
    default="60s",
    show_default=True,
    help="Duration on the virtual clock.",
)
def agreement(kinds: tuple[str, ...], size: int, seeds: str, span: float) -> None:
    """Change settings continuously under faults, and measure how long gateways use conflicting versions.

    Runs on the virtual clock. Exit code 4 if gateways mixed versions that must never be mixed, or others for
    longer than the bound.
    """
    import numpy as np

    from lab import agreement as simulation
    from registry.agreement import NEVER, WITHIN

    if unknown := set(kinds) - set(simulation.FAULT_PROFILES):
        raise CommandError(
            USAGE_ERROR, f"--kind {min(unknown)}: expected one of {', '.join(simulation.FAULT_PROFILES)}"
        )
    rule_broken = False
    for kind in kinds or simulation.FAULT_PROFILES:
        for seed in _parse_seeds(seeds):
            change_interval = 4.0 if kind == "calm" else 0.5  # seconds between two changes
            world = simulation.World(
                size, seed, simulation.FAULT_PROFILES[kind], change_interval=change_interval
            )
            world.run(span)
            never_overlaps = len(world.overlaps(NEVER))
            longest = world.max_overlap_ratio(WITHIN)
            rule_broken = rule_broken or never_overlaps > 0 or longest > 1
            p50, p99 = np.percentile(world.propagation_times() or [0.0], [50, 99])
            lapsed = world.counts["lapsed"] / max(1, world.counts["decisions"])
            prefix = f"{kind:8} {size} gateways, seed {seed}: {world.counts['changes']} changes"
            overlaps = f"{never_overlaps} under never, under within at most {longest:.2f} of the bound"
            propagation = f"p50 {p50:.3f} p99 {p99:.3f} s"
            click.echo(
                f"{prefix}; overlaps: {overlaps}; at the last gateway after {propagation};"
                f" {lapsed:.1%} of the decisions without a lease"
            )
    sys.exit(FAILED if rule_broken else SUCCESS)


@lab.command()
@click.option("--gateways", type=click.IntRange(2, 100), default=5, show_default=True)
@click.option("--pairs", "count", type=click.IntRange(1, 100), default=10, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1), default=300.0, show_default=True, help="Requests per second."
)
@click.option(
    "--for",
    "span",
    type=DurationType(),
    default="3s",
    show_default=True,
    help="Duration of the load on each fleet.",
)
def cost(gateways: int, count: int, rate: float, span: float) -> None:
    """Measure the cost of membership with two fleets, one with it and one without, loaded in turn."""
    import asyncio

    from lab.cluster import cost as cost_study
    from lab.cluster import fleet, schedule

    fleet_schedule = schedule.Schedule(gateways=gateways, hosts=4, customers=0)
    try:
        for line in asyncio.run(cost_study.measure_pairs(fleet_schedule, count, rate, span)):
            click.echo(line)
    except (fleet.FleetError, OSError) as error:
        raise CommandError(NOT_POSSIBLE, str(error)) from None
