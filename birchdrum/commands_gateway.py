"""``birchdrum gateway`` and ``birchdrum config``: run one gateway, and look at its configuration."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from .command import FILE_PATH, NOT_POSSIBLE, USAGE_ERROR, CommandError


def configured(command: Callable[..., Any]) -> Callable[..., Any]:
    """The file of a configuration and what overrides it."""
    for option in reversed(
        (
            click.argument("file", required=False, type=FILE_PATH),
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
            raise CommandError(USAGE_ERROR, f"--set {pair}: expected KEY=VALUE")
        flags[key.strip()] = text.strip()
    return flags


def named_file(file: Path | None) -> Path:
    """The one file that is named, by argument or environment; raises Ended."""
    import os

    named = {"FILE": str(file) if file else None}
    named |= {name: os.environ.get(name) or None for name in ("LB_CONFIG", "BIRCHDRUM_CONFIG")}
    given = {name: path for name, path in named.items() if path}
    if len(given) > 1:
        raise CommandError(
            USAGE_ERROR, f"more than one configuration is named, by {' and '.join(given)}: name one"
        )
    if not given:
        raise CommandError(
            USAGE_ERROR, "no configuration is named: give FILE, or set BIRCHDRUM_CONFIG or LB_CONFIG"
        )
    return Path(next(iter(given.values())))


def load_configuration(file: Path, flags: dict[str, str]) -> Any:
    """The configuration in force; raises Ended with every mistake."""
    from . import configuration

    try:
        return configuration.load(file, flags)
    except configuration.ConfigurationError as wrong:
        raise CommandError(USAGE_ERROR, *wrong.lines) from None


@click.command()
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
    first = load_configuration(file, flags)

    def parsed(whole: configuration.LoadedConfiguration) -> platform.Config:
        return platform.parse(json.dumps(whole.platform))

    config = parsed(first)
    logs.start(config.log_form, config.log_level)
    try:
        uvloop.run(serve(config, lambda: parsed(configuration.load(file, flags))))
    except NoStart as wrong:
        raise CommandError(NOT_POSSIBLE, str(wrong)) from None


@click.group()
def config() -> None:
    """Check, show and convert configurations of gateways."""


@config.command()
@configured
def check(file: Path | None, sets: tuple[str, ...], **named: str | None) -> None:
    """Tell all that is wrong with a configuration, one line each; exit code 2 where anything is."""
    file = named_file(file)
    load_configuration(file, overrides(sets, **named))
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

    whole = load_configuration(named_file(file), overrides(sets, **named))
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
@click.argument("file", type=FILE_PATH)
@click.option("--to", type=click.Choice(["toml", "json"]), help="By default the other one of the two.")
@click.option("-o", "--output", type=FILE_PATH, help="By default standard output.")
def convert(file: Path, to: str | None, output: Path | None) -> None:
    """Turn the platform's JSON to TOML or back, without loss; environment and flags are left aside."""
    from ops.files import write_whole

    from . import configuration

    try:
        _, is_json = configuration.read_file(file)
        whole = configuration.load(file, environment={})
    except configuration.ConfigurationError as wrong:
        raise CommandError(USAGE_ERROR, *wrong.lines) from None
    form = to or ("toml" if is_json else "json")
    text = configuration.as_toml(whole) if form == "toml" else json.dumps(whole.platform, indent=1) + "\n"
    if output is None:
        click.echo(text, nl=False)
        return
    try:
        write_whole(output, text)
    except OSError as wrong:
        raise CommandError(NOT_POSSIBLE, f"{output}: {(wrong.strerror or str(wrong)).lower()}") from None
