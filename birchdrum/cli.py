"""The ``birchdrum`` command: what each call takes, and the exit codes that scripts rely on.

0 done, 1 it could not be done here and now, 2 the call or the configuration is wrong, 3 refused, 4 failed,
130 ended by Ctrl-C. What goes wrong is one line on standard error, a configuration's mistakes one line each.
Commands that need heavy libraries import them when they are called.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click
from click.shell_completion import get_completion_class

DONE, NOT_DONE, WRONG, REFUSED, FAILED, INTERRUPTED = 0, 1, 2, 3, 4, 130
A_FILE = click.Path(path_type=Path, readable=False)  # what is wrong with one is told by who reads it
CONTEXT = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


class Ended(Exception):
    """The end of a command: its lines, and its exit code."""

    def __init__(self, code: int, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.code, self.lines = code, lines


class Time(click.ParamType[Any]):
    """A duration with its unit; seconds."""

    name = "duration"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Seconds as a number."""
        from ops.units import Duration

        if isinstance(value, float):
            return value
        try:
            return Duration(str(value)).base / 1_000_000
        except ValueError as wrong:
            self.fail(f"{value!r}: {wrong}", param, ctx)


class At(click.ParamType[Any]):
    """An address, ``HOST:PORT``."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """A pair of host and port."""
        from ops.units import Address

        if isinstance(value, tuple):
            return value
        try:
            address = Address(str(value))
        except ValueError as wrong:
            self.fail(f"{value!r}: {wrong}", param, ctx)
        return address.host, address.port


@click.group(context_settings=CONTEXT)
@click.version_option(package_name="saffrongw", prog_name="birchdrum")
def cli() -> None:
    """An API gateway that keeps each customer's quota over all gateways together.

    \b
    Start with:    birchdrum demo
    Exit codes:    0 done, 1 not possible here and now, 2 wrong call or configuration,
                   3 refused, 4 failed, 130 Ctrl-C
    """


# -- a gateway, and its configuration ---------------------------------------------------------------------


def configured(command: Callable[..., Any]) -> Callable[..., Any]:
    """The file of a configuration and what overrides it."""
    for option in reversed(
        (
            click.argument("file", required=False, type=A_FILE),
            click.option("--listen", metavar="HOST:PORT", help="Where clients connect."),
            click.option("--control", metavar="HOST:PORT", help="Where operators call."),
            click.option("--metrics", metavar="HOST:PORT", help="Where monitoring reads GET /metrics."),
            click.option("--log-form", metavar="FORM", help="text or json."),
            click.option("--log-level", metavar="LEVEL", help="debug, info, warning or error."),
            click.option(
                "--set",
                "sets",
                multiple=True,
                metavar="KEY=VALUE",
                help="Any key of the file, as in --set limits.memory=96MiB; may be repeated.",
            ),
        )
    ):
        command = option(command)
    return command


def overrides(sets: Sequence[str], **named: str | None) -> dict[str, str]:
    """Flags as keys of the configuration; raises Ended."""
    flags = {name.replace("log_", "log."): text for name, text in named.items() if text is not None}
    for pair in sets:
        key, sign, text = pair.partition("=")
        if not sign or not key:
            raise Ended(WRONG, f"--set {pair}: expected KEY=VALUE")
        flags[key.strip()] = text.strip()
    return flags


def named_file(file: Path | None) -> Path:
    """The one file that is named, by argument or environment; raises Ended."""
    import os

    named = {"FILE": str(file) if file else None}
    named |= {name: os.environ.get(name) or None for name in ("LB_CONFIG", "BIRCHDRUM_CONFIG")}
    given = {name: path for name, path in named.items() if path}
    if len(given) > 1:
        raise Ended(WRONG, f"more than one configuration is named, by {' and '.join(given)}: name one")
    if not given:
        raise Ended(WRONG, "no configuration is named: give FILE, or set BIRCHDRUM_CONFIG or LB_CONFIG")
    return Path(next(iter(given.values())))


def loaded(file: Path, flags: dict[str, str]) -> Any:
    """The configuration in force; raises Ended with every mistake."""
    from . import configuration

    try:
        return configuration.load(file, flags)
    except configuration.Unusable as wrong:
        raise Ended(WRONG, *wrong.lines) from None


@cli.command()
@configured
def gateway(file: Path | None, sets: tuple[str, ...], **named: str | None) -> None:
    """Run one gateway until SIGTERM or Ctrl-C.

    FILE is TOML, or the platform's JSON; BIRCHDRUM_CONFIG or LB_CONFIG may name it instead. Keys may be set
    by the environment, as in BIRCHDRUM_LIMITS__MEMORY=96MiB, and over that by flags. SIGHUP reads all of it
    again.
    """
    import uvloop

    from ops import logs
    from saffrongw import config as platform
    from saffrongw.listening import NoStart
    from saffrongw.process import serve

    from . import configuration

    flags, file = overrides(sets, **named), named_file(file)
    first = loaded(file, flags)

    def parsed(whole: configuration.Loaded) -> platform.Config:
        return platform.parse(json.dumps(whole.platform))

    config = parsed(first)
    logs.start(config.log_form, config.log_level)
    try:
        uvloop.run(serve(config, lambda: parsed(configuration.load(file, flags))))
    except NoStart as wrong:
        raise Ended(NOT_DONE, str(wrong)) from None


@cli.group()
def config() -> None:
    """Check, show and convert configurations of gateways."""


@config.command()
@configured
def check(file: Path | None, sets: tuple[str, ...], **named: str | None) -> None:
    """Tell all that is wrong with a configuration, one line each; exit code 2 where anything is."""
    file = named_file(file)
    loaded(file, overrides(sets, **named))
    click.echo(f"{file}: can be used")


@config.command()
@click.option("--all", "all_keys", is_flag=True, help="With the keys that are as by default.")
@click.option("--origins", is_flag=True, help="Where each key that was given comes from, instead.")
@configured
def show(
    file: Path | None, sets: tuple[str, ...], all_keys: bool, origins: bool, **named: str | None
) -> None:
    """Show the configuration in force: file, environment and flags together."""
    from . import configuration

    whole = loaded(named_file(file), overrides(sets, **named))
    if origins:
        for key, origin in sorted(whole.origins.items()):
            click.echo(f"{key}\t{origin}")
    else:
        click.echo(configuration.as_toml(whole, all_keys), nl=False)


@config.command("schema")
def show_schema() -> None:
    """Print the JSON schema of the file, for editors that check TOML by one."""
    from ops.checking import schema

    from .model import Config

    click.echo(json.dumps(schema(Config), indent=2))


@config.command()
@click.argument("file", type=A_FILE)
@click.option("--to", type=click.Choice(["toml", "json"]), help="By default the other one of the two.")
@click.option("-o", "--output", type=A_FILE, help="By default standard output.")
def convert(file: Path, to: str | None, output: Path | None) -> None:
    """Turn the platform's JSON to TOML or back, without loss; environment and flags are left aside."""
    from ops.files import write_whole

    from . import configuration

    try:
        _, is_json = configuration.read(file)
        whole = configuration.load(file, environment={})
    except configuration.Unusable as wrong:
        raise Ended(WRONG, *wrong.lines) from None
    form = to or ("toml" if is_json else "json")
    text = configuration.as_toml(whole) if form == "toml" else json.dumps(whole.platform, indent=1) + "\n"
    if output is None:
        click.echo(text, nl=False)
        return
    try:
        write_whole(output, text)
    except OSError as wrong:
        raise Ended(NOT_DONE, f"{output}: {(wrong.strerror or str(wrong)).lower()}") from None


# -- the list service -------------------------------------------------------------------------------------


def _registry_command(name: str, parser: argparse.ArgumentParser, text: str) -> click.Command:
    """A command of ours with the options of ``python -m registry``: words are only checked there."""
    params: list[click.Parameter] = []
    for action in parser._actions:
        if isinstance(action, argparse._HelpAction):
            continue
        if not action.option_strings:
            params.append(click.Argument([action.dest], metavar=action.dest.upper()))
            continue
        words = (action.help or "") % {"default": action.default}
        is_flag = action.nargs == 0
        kind = click.Choice(list(action.choices)) if action.choices else click.STRING
        metavar = None if is_flag or action.choices else str(action.metavar or action.dest.upper())
        params.append(
            click.Option(
                [*action.option_strings],
                is_flag=is_flag,
                required=action.required,
                help=words,
                type=click.BOOL if is_flag else kind,
                metavar=metavar,
            )
        )

    def call(**given: Any) -> None:
        words = [name]
        for action in parser._actions:
            value = given.get(action.dest)
            if action.option_strings and value is True:
                words.append(action.option_strings[0])
            elif action.option_strings and value not in (None, False):
                words.append(f"{action.option_strings[0]}={value}")
            elif value not in (None, False):
                words.append(str(value))
        _run_registry(words)

    return click.Command(name, params=params, callback=call, help=text)


def _run_registry(words: Sequence[str]) -> None:
    from registry import __main__ as service

    parser = service.options("birchdrum registry")
    parser.error = _refuse  # type: ignore[method-assign, assignment]
    for sub in _subparsers(parser).values():
        sub.error = _refuse  # type: ignore[method-assign, assignment]
    code = service.main(words, parser)
    if code:
        sys.exit(code)


def _refuse(message: str) -> None:
    raise Ended(WRONG, message)


def _subparsers(parser: argparse.ArgumentParser) -> dict[str, argparse.ArgumentParser]:
    [actions] = [a for a in parser._actions if isinstance(a, argparse._SubParsersAction)]
    return dict(actions.choices)


class Registry(click.Group):
    """The list service's commands, made when one of them is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Their names."""
        return ["serve", "agent", "backup"]

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """One of them."""
        from registry.__main__ import options

        parser = _subparsers(options()).get(name)
        return _registry_command(name, parser, parser.description or "") if parser else None


cli.add_command(
    Registry("registry", help="Run the list service: primary, follower, agent, and copies of its store.")
)


# -- operators' calls -------------------------------------------------------------------------------------


def addressed(command: Callable[..., Any]) -> Callable[..., Any]:
    """Which gateways a call goes to."""
    for option in reversed(
        (
            click.option(
                "--at", multiple=True, type=At(), help="A gateway's operators' address; repeatable."
            ),
            click.option(
                "--fleet",
                type=A_FILE,
                help='A TOML file that names gateways: [gateways], then gw-0 = "127.0.0.1:7000".',
            ),
            click.option("--only", multiple=True, help="Of the fleet, the gateway of this name; repeatable."),
            click.option(
                "--within", type=Time(), default="2s", show_default=True, help="Time for all answers."
            ),
            click.option("--json", "as_json", is_flag=True, help="Answers as JSON, a line each."),
        )
    ):
        command = option(command)
    return command


@cli.group()
def control() -> None:
    """Call gateways as an operator.

    Exit code 0 where each said done, 3 where one said error, 1 where one was not reached.
    """


def _control(name: str, word: str, text: str, takes_host: bool) -> None:
    def call(
        at: tuple[tuple[str, int], ...],
        fleet: Path | None,
        only: tuple[str, ...],
        within: float,
        as_json: bool,
        host: str = "",
    ) -> None:
        from . import calling

        try:
            gateways = calling.gateways(at, fleet, only)
        except calling.Nobody as wrong:
            raise Ended(WRONG, str(wrong)) from None
        answers = calling.all_of(gateways, f"{word} {host}".strip(), within)
        for answer in answers:
            click.echo(json.dumps(answer.fields()) if as_json else str(answer))
        if any(answer.said is None for answer in answers):
            sys.exit(NOT_DONE)
        sys.exit(DONE if all(answer.done for answer in answers) else REFUSED)

    command = addressed(call)
    if takes_host:
        command = click.argument("host")(command)
    control.command(name, help=text)(command)


_control("health", "HEALTH", "Ask whether each is ready to serve.", False)
_control("offline", "OFFLINE", "Send nothing more to HOST, whatever the list says.", True)
_control("online", "ONLINE", "Put HOST back as the list sees it.", True)
_control("leave", "LEAVE", "Drain: say no to the front, close connections between requests.", False)
_control("join", "JOIN", "Back to work.", False)


@cli.command()
@click.argument("gateway", type=At())
@click.option("--class", "kind", required=True, help="The class of the request.")
@click.option("--plan", required=True, help="The customer's plan.")
@click.option(
    "--customer", type=click.IntRange(0, 2**33 - 1), default=1, show_default=True, help="Its number."
)
@click.option(
    "--units", type=click.FloatRange(min=0, min_open=True), default=1.0, help="Units that it takes."
)
@click.option("--deadline", type=Time(), default="2s", show_default=True, help="How long to wait.")
@click.option("--first", type=click.IntRange(0), default=0, help="The first gateway of the customer's set.")
@click.option("--spread", type=click.IntRange(1), default=1, help="How many gateways the set has.")
@click.option("--body", help="Sent as CALL.POST with this body, @FILE for a file's.")
@click.option("--key", help="The idempotency key, in a keyed class; sent as CALL.POST.")
@click.option("--id", "number", help="The request's id; by default a new one.")
@click.option("--json", "as_json", is_flag=True, help="Outcome, time and value as JSON.")
def call(gateway: tuple[str, int], as_json: bool, **given: Any) -> None:
    """Send one request to GATEWAY by hand, and print what came back.

    Exit code 0 served, 3 refused, 4 failed, 1 not reached or not answered in time.
    """
    from . import calling

    try:
        answer = calling.request(gateway, **given)
    except calling.Nobody as wrong:
        raise Ended(WRONG, str(wrong)) from None
    click.echo(json.dumps(answer.fields()) if as_json else str(answer))
    sys.exit({"served": DONE, "refused": REFUSED, "failed": FAILED}.get(answer.outcome, NOT_DONE))


# -- the rest ---------------------------------------------------------------------------------------------


@cli.command()
@click.option("--for", "span", type=Time(), help="End after this time, with a summary; else at Ctrl-C.")
@click.option("--gateways", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 60), default=8, show_default=True)
@click.option("--customers", type=click.IntRange(1, 200), default=6, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of all that is random.")
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON, and no table.")
def demo(span: float | None, as_json: bool, **size: int) -> None:
    """Run a small fleet on loopback: list service, gateways, stand-in hosts, clients under quotas.

    Shows a live table of what clients saw, and ends everything that it started. Exit code 0 where requests
    were served, none was lost and nothing broke; else 1.
    """
    from . import demo as fleet

    sys.exit(fleet.run(span, as_json, **size))


@cli.group()
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

    from lab import experiment, runs

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


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of a shell, as in: source <(birchdrum completion bash)"""
    kind = get_completion_class(shell)
    assert kind is not None
    click.echo(kind(cli, {}, "birchdrum", "_BIRCHDRUM_COMPLETE").source())


def main(argv: Sequence[str] | None = None) -> int:
    """Carry out one call; its exit code."""
    try:
        cli.main(args=argv, prog_name="birchdrum", standalone_mode=False)
    except Ended as ended:
        for line in ended.lines:
            click.echo(f"birchdrum: {line}", err=True)
        return ended.code
    except click.exceptions.NoArgsIsHelpError as wanted:
        click.echo(wanted.format_message())
        return WRONG
    except click.UsageError as wrong:
        path = wrong.ctx.command_path if wrong.ctx else "birchdrum"
        text = " ".join(wrong.format_message().split())
        click.echo(f"birchdrum: {text.rstrip('.')} (see {path} --help)", err=True)
        return WRONG
    except click.ClickException as wrong:
        click.echo(f"birchdrum: {wrong.format_message()}", err=True)
        return NOT_DONE
    except (click.Abort, KeyboardInterrupt):
        return INTERRUPTED
    except BrokenPipeError:  # who read our output has had enough
        sys.stderr.close()
        return DONE
    except SystemExit as ended:
        return ended.code if isinstance(ended.code, int) else NOT_DONE
    return DONE
