"""``birchdrum lab``: scenarios on a virtual clock, experiments, and real processes under faults."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from .command import A_FILE, DONE, FAILED, NOT_DONE, WRONG, Ended, Time


@click.group()
def lab() -> None:
    """Play scenarios of a whole fleet, and compare the gateway with baselines."""


@lab.command("list")
def list_scenarios() -> None:
    """The scenarios that ship, and the variants that can be compared."""
    from lab import runs, scenario

    for name, file in scenario.shipped().items():
        click.echo(f"{name:20} {scenario.load(file).about}")
    click.echo(f"variants: {', '.join(runs.variants())}")


@lab.command("check")
@click.argument("file", type=A_FILE)
def check_scenario(file: Path) -> None:
    """Tell all that is wrong with a scenario, and how large it is."""
    from lab import scenario

    found = _scenario(str(file))
    rate = scenario.requests_a_second(found)
    click.echo(f"{file}: {rate:.0f} first tries a second, hosts in use {scenario.use(found):.0%}")


def _scenario(name: str) -> Any:
    from lab import scenario

    try:
        return scenario.load(scenario.shipped().get(name, Path(name)))
    except scenario.Impossible as wrong:
        raise Ended(WRONG, *wrong.lines) from None


@lab.command("run")
@click.argument("scenario")
@click.option("--seed", "seeds", multiple=True, type=click.IntRange(0), help="By default 1; repeatable.")
@click.option("--variant", "variants", multiple=True, help="By default birchdrum; repeatable, all for each.")
@click.option("--gateways", type=click.IntRange(1, 1000), help="Another number of gateways than the file's.")
@click.option("--json", "as_json", is_flag=True, help="Whole results, a line each.")
def run_scenario(
    scenario: str, seeds: tuple[int, ...], variants: tuple[str, ...], gateways: int | None, as_json: bool
) -> None:
    """Play SCENARIO, a file or the name of one that ships, in the virtual world.

    The same seed has the same arrivals for every variant, and the same result to the byte. Exit code 0 where
    no rule was broken by the gateway, else 1.
    """
    from lab import runs

    try:
        plays = runs.plan(_scenario(scenario), seeds or (1,), variants or ("birchdrum",), gateways)
    except runs.Unknown as wrong:
        raise Ended(WRONG, str(wrong)) from None
    broken = False
    for play in plays:
        result, cost = play.run()
        broken |= play.variant == "birchdrum" and bool(result["broken"])
        if as_json:
            click.echo(json.dumps({"variant": play.variant, **result}, sort_keys=True))
        else:
            click.echo(runs.line(play, result, cost))
    sys.exit(NOT_DONE if broken else DONE)


def _seeds(text: str) -> list[int]:
    """``1-5,9`` as numbers; raises Ended."""
    found: list[int] = []
    try:
        for part in text.split(","):
            first, _, last = part.partition("-")
            found += range(int(first), int(last or first) + 1)
    except ValueError:
        raise Ended(WRONG, f"--seeds {text}: expected numbers and ranges, such as 1-5,9") from None
    return found


@lab.command("compare")
@click.argument("scenarios", nargs=-1, required=True)
@click.option("--seeds", default="1-5", show_default=True, help="Such as 1-5,9.")
@click.option("--variant", "variants", multiple=True, help="By default birchdrum; the first is the base.")
@click.option("--against", multiple=True, metavar="REV", help="Another revision's decisions; repeatable.")
@click.option("--gateways", "sizes", multiple=True, type=click.IntRange(1, 1000), help="Sizes; repeatable.")
@click.option("--out", type=A_FILE, default=Path("found/lab"), show_default=True)
@click.option("--workers", type=click.IntRange(1), help="Plays side by side; by default one a core.")
def compare(
    scenarios: tuple[str, ...],
    seeds: str,
    variants: tuple[str, ...],
    against: tuple[str, ...],
    sizes: tuple[int, ...],
    out: Path,
    workers: int | None,
) -> None:
    """Play a matrix over all cores and tell differences to the first variant, in pairs by seed.

    Results are kept in --out, one file a play; called again, only what is missing is played. Exit code 0
    where every play was made, else 1.
    """
    import asyncio
    import os

    from rich.console import Console
    from rich.progress import Progress

    try:
        from lab import experiment, runs
    except ModuleNotFoundError as missing:
        raise Ended(NOT_DONE, f"lab compare needs {missing.name}: install birchdrum's extra [lab]") from None

    try:
        found = [
            runs.sized(scenario, size) for scenario in map(_scenario, scenarios) for size in sizes or (None,)
        ]
        plays = experiment.matrix(found, _seeds(seeds), variants or ("birchdrum",), against)
        console = Console(stderr=True)
        with Progress(console=console, transient=True, disable=not console.is_terminal) as view:
            bar = view.add_task("playing", total=len(plays))

            def told(done: int, total: int, what: str) -> None:
                view.update(bar, completed=done, description=what)

            made = asyncio.run(experiment.run(plays, out, workers or os.cpu_count() or 1, told))
    except runs.Unknown as wrong:
        raise Ended(WRONG, str(wrong)) from None
    except OSError as wrong:
        raise Ended(NOT_DONE, f"{out}: {(wrong.strerror or str(wrong)).lower()}") from None
    for row in experiment.differences(made):
        click.echo(str(row))
    if made.kept:
        click.echo(f"{made.kept} of {len(plays)} plays were kept in {out}")
    if made.failures:
        raise Ended(NOT_DONE, *made.failures)


@lab.command("again")
@click.argument("file", type=A_FILE)
def play_again(file: Path) -> None:
    """Play a kept result anew from its file alone; exit code 0 where it is the same, else 1."""
    from lab import experiment, runs

    try:
        same, text = experiment.again(file)
    except runs.Unknown as wrong:
        raise Ended(WRONG, str(wrong)) from None
    click.echo(text)
    sys.exit(DONE if same else NOT_DONE)


@lab.command()
@click.argument("schedules", nargs=-1)
@click.option("--seed", "seeds", default="1", show_default=True, help="Such as 1-5,9.")
@click.option("--gateways", type=click.IntRange(2, 200), help="Another number than the schedule's.")
@click.option("--out", type=A_FILE, default=Path("found/cluster"), show_default=True)
@click.option("--defect", help="Run gateways with a planted defect of this name: the checker must find it.")
@click.option("--before", metavar="REV", help="Gateways begin as this revision; restarts bring today's.")
@click.option("--shrink", is_flag=True, help="Look for the fewest faults that still break a rule.")
@click.option("--json", "as_json", is_flag=True, help="Verdicts as JSON, a line each.")
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
    """Run real processes under the faults of SCHEDULES, files or names that ship; none: tell which ship.

    Starts gateways, list service, agents, hosts and clients on loopback with a relay between them, does the
    faults, and checks the files that are left in --out. Exit code 0 where no rule was broken, 4 where one
    was, 1 where the fleet could not run. Nothing is left behind but the files.
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
        if defect not in defects.NAMES:
            raise Ended(WRONG, f"--defect {defect}: known are {', '.join(defects.NAMES)}")
        module, os.environ[defects.VARIABLE] = "lab.defects", defect
    found = {}
    for name in schedules:
        try:
            found[name] = schedule.load(schedule.shipped().get(name, Path(name)))
            if gateways:
                found[name] = schedule.with_gateway_count(found[name], gateways)
        except schedule.ScheduleError as wrong:
            raise Ended(WRONG, *wrong.lines) from None

    async def one(name: str, seed: int) -> bool:
        at = out / f"{Path(name).stem}-{seed}"
        verdict = await campaign.run(found[name], seed, at, module, None, before)
        click.echo(
            json.dumps(verdict.fields()) if as_json else "\n".join(campaign.summary_lines(name, verdict))
        )
        if verdict.breaches and shrink:

            async def breaks(faults: list[schedule.PlannedFault]) -> bool:
                smaller = out / f"{at.name}-shrunk"
                again = await campaign.run(found[name], seed, smaller, module, faults, before)
                return bool(again.breaches)

            fewest = await campaign.shrink(verdict.faults, breaks)
            click.echo("\n".join(["fewest faults that break a rule:", *(f"  {fault}" for fault in fewest)]))
        return not verdict.breaches

    async def all_of_them() -> int:
        kept = [await one(name, seed) for name in found for seed in _seeds(seeds)]
        return DONE if all(kept) else FAILED

    try:
        sys.exit(asyncio.run(campaign.run_until_signalled(all_of_them())))
    except (fleet.FleetError, OSError) as wrong:
        raise Ended(NOT_DONE, str(wrong)) from None


@lab.command()
@click.option("--members", type=click.IntRange(2, 4), default=3, show_default=True)
@click.option("--window", type=click.IntRange(1, 200), default=12, show_default=True, help="Steps of 50 ms.")
@click.option("--faults", type=click.IntRange(0, 4), default=1, show_default=True, help="At most, on a path.")
@click.option("--kind", "kinds", multiple=True, help="lose, double, late, pause, restart; by default all.")
@click.option("--defect", help="Check a core with a planted defect of this name.")
def model(members: int, window: int, faults: int, kinds: tuple[str, ...], defect: str | None) -> None:
    """Check membership's invariants over every placing of a few faults in a short time.

    Exit code 0 where all hold, 4 where one does not; the faults that led there are told.
    """
    from lab import defects
    from lab import model as states
    from orchidlane.membership import Membership

    if odd := set(kinds) - set(states.KINDS):
        raise Ended(WRONG, f"--kind {min(odd)}: known are {', '.join(states.KINDS)}")
    if defect is not None and defect not in defects.DEFECTS:
        raise Ended(WRONG, f"--defect {defect}: known are {', '.join(defects.DEFECTS)}")
    core = defects.DEFECTS[defect] if defect else Membership
    found = states.check(core, members, window, faults, kinds or states.KINDS)
    click.echo(f"{found.states} states, {found.paths} paths, {found.known} of them known by then")
    for broken in found.broken:
        click.echo(f"BROKEN {broken}")
    sys.exit(FAILED if found.broken else DONE)


@lab.command()
@click.option("--what", "whats", multiple=True, help="kill, false, pauses, name, heal, rest; by default all.")
@click.option("--variant", "variants", multiple=True, help="birchdrum, swim, heartbeats; by default all.")
@click.option("--size", "sizes", multiple=True, type=click.IntRange(2, 1000), help="Members; by default 30.")
@click.option("--loss", "losses", multiple=True, type=click.FloatRange(0, 0.9), help="By default none.")
@click.option("--seeds", default="1-5", show_default=True, help="Such as 1-5,9.")
@click.option("--out", type=A_FILE, default=Path("found/members"), show_default=True)
@click.option("--workers", type=click.IntRange(1), help="Measurements side by side; by default one a core.")
@click.option("--plot", type=A_FILE, help="Draw what was measured, as this .png, .svg or .pdf.")
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
    """Measure membership on the virtual clock against two baselines, in pairs by seed.

    Results are kept in --out, one file a measurement; called again, only what is missing is measured.
    """
    import os

    from lab import member_baselines, member_study

    for words, known, option in (
        (whats, member_study.WHAT, "--what"),
        (variants, member_baselines.VARIANTS, "--variant"),
    ):
        if odd := set(words) - set(known):
            raise Ended(WRONG, f"{option} {min(odd)}: known are {', '.join(known)}")
    jobs = [
        member_study.Job(what, variant, size, seed, loss)
        for what in whats or member_study.WHAT
        for size in sizes or (30,)
        for loss in losses or (0.0,)
        for seed in _seeds(seeds)
        for variant in variants or member_baselines.VARIANTS
    ]
    if plot and plot.suffix not in (".png", ".svg", ".pdf"):
        raise Ended(WRONG, f"--plot {plot}: expected a name that ends in .png, .svg or .pdf")
    if plot:
        try:
            from lab import member_plots
        except ModuleNotFoundError as missing:
            raise Ended(
                NOT_DONE, f"lab members --plot needs {missing.name}: install birchdrum's extra [lab]"
            ) from None
    found = member_study.run(jobs, out, workers or os.cpu_count() or 1)
    for line in member_study.summary(found):
        click.echo(line)
    if plot:
        member_plots.draw(found, plot)


@lab.command()
@click.option(
    "--kind", "kinds", multiple=True, help="calm, loss, cuts, pauses, restarts, source, all; or each."
)
@click.option("--size", type=click.IntRange(1, 1000), default=8, show_default=True, help="Gateways.")
@click.option("--seeds", default="1-3", show_default=True, help="Such as 1-5,9.")
@click.option("--for", "span", type=Time(), default="60s", show_default=True, help="Of the virtual clock.")
def agreement(kinds: tuple[str, ...], size: int, seeds: str, span: float) -> None:
    """Change settings all the time under faults, and measure how far decisions contradict each other.

    On the virtual clock. Exit code 4 where two decided by versions that may never be mixed, or by others for
    longer than the bound.
    """
    import numpy as np

    from lab import agreement as virtual
    from registry.agreement import NEVER, WITHIN

    if odd := set(kinds) - set(virtual.KINDS):
        raise Ended(WRONG, f"--kind {min(odd)}: known are {', '.join(virtual.KINDS)}")
    broken = False
    for kind in kinds or virtual.KINDS:
        for seed in _seeds(seeds):
            every = 4.0 if kind == "calm" else 0.5  # seconds between two changes
            world = virtual.World(size, seed, virtual.KINDS[kind], change_every=every)
            world.run(span)
            never, longest = len(world.overlaps(NEVER)), world.longest(WITHIN)
            broken = broken or never > 0 or longest > 1
            p50, p99 = np.percentile(world.spread() or [0.0], [50, 99])
            lapsed = world.counts["lapsed"] / max(1, world.counts["decisions"])
            head = f"{kind:8} {size} gateways, seed {seed}: {world.counts['changes']} changes"
            contradicted = f"{never} that never may did, others for {longest:.2f} of the bound at most"
            known = f"p50 {p50:.3f} p99 {p99:.3f} s"
            click.echo(
                f"{head}; contradicted: {contradicted}; with the last gateway after {known};"
                f" {lapsed:.1%} of the decisions out of lease"
            )
    sys.exit(FAILED if broken else DONE)


@lab.command()
@click.option("--gateways", type=click.IntRange(2, 100), default=5, show_default=True)
@click.option("--pairs", "count", type=click.IntRange(1, 100), default=10, show_default=True)
@click.option("--rate", type=click.FloatRange(1), default=300.0, show_default=True, help="Requests a second.")
@click.option("--for", "span", type=Time(), default="3s", show_default=True, help="Of load, each time.")
def cost(gateways: int, count: int, rate: float, span: float) -> None:
    """Measure what membership costs a gateway: two fleets, with it and without, loaded in turn."""
    import asyncio

    from lab.cluster import cost as measured
    from lab.cluster import fleet, schedule

    wanted = schedule.Schedule(gateways=gateways, hosts=4, customers=0)
    try:
        for line in asyncio.run(measured.measure_pairs(wanted, count, rate, span)):
            click.echo(line)
    except (fleet.FleetError, OSError) as wrong:
        raise Ended(NOT_DONE, str(wrong)) from None
