"""``birchdrum gateway`` and ``birchdrum config``: run a gateway, and inspect its configuration."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from .command import FILE_PATH, NOT_POSSIBLE, USAGE_ERROR, CommandError


def configuration_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the argument for the configuration file and the options that override its keys."""
    for option in reversed(
        (
            click.argument("file", required=False, type=FILE_PATH),
            click.option("--listen", metavar="HOST:PORT", help="Address for clients."),
            click.option("--control", metavar="HOST:PORT", help="Address for operators' control calls."),
            click.option("--metrics", metavar="HOST:PORT", help="Address that serves GET /metrics."),
            click.option("--log-form", metavar="FORM", help="text or json."),
            click.option("--log-level", metavar="LEVEL", help="debug, info, warning or error."),
            click.option(
                "--set",
                "sets",
                multiple=True,
                metavar="KEY=VALUE",
                help="Set any key of the file, as in --set limits.memory=96MiB; repeatable.",
            ),
        )
    ):
        command = option(command)
    return command


def collect_overrides(sets: Sequence[str], **named_flags: str | None) -> dict[str, str]:
    """Map flags to configuration keys; raises CommandError if ``--set`` is malformed."""
    flags = {name.replace("log_", "log."): text for name, text in named_flags.items() if text is not None}
    for assignment in sets:
        key, separator, text = assignment.partition("=")
        if not separator or not key:
            raise CommandError(USAGE_ERROR, f"--set {assignment}: expected KEY=VALUE")
        flags[key.strip()] = text.strip()
    return flags


def find_configuration_file(file: Path | None) -> Path:
    """Return the file given by argument or environment; raises CommandError unless there is exactly one."""
    import os

    candidates = {"FILE": str(file) if file else None}
    candidates |= {name: os.environ.get(name) or None for name in ("LB_CONFIG", "BIRCHDRUM_CONFIG")}
    chosen = {name: path for name, path in candidates.items() if path}
    if len(chosen) > 1:
        raise CommandError(
            USAGE_ERROR,
            f"more than one configuration is given, by {' and '.join(chosen)}: keep one of them",
        )
    if not chosen:
        raise CommandError(
            USAGE_ERROR, "no configuration is given: pass FILE, or set BIRCHDRUM_CONFIG or LB_CONFIG"
        )
    return Path(next(iter(chosen.values())))


def load_configuration(file: Path, flags: dict[str, str]) -> Any:
    """Load the configuration; raises CommandError with all its errors."""
    from . import configuration

    try:
        return configuration.load(file, flags)
    except configuration.ConfigurationError as error:
        raise CommandError(USAGE_ERROR, *error.lines) from None


@click.command()
@configuration_options
def gateway(file: Path | None, sets: tuple[str, ...], **named_flags: str | None) -> None:
    """Run one gateway until SIGTERM or Ctrl-C.

    FILE is TOML, or the platform's JSON; BIRCHDRUM_CONFIG or LB_CONFIG may name it instead. Environment
    variables such as BIRCHDRUM_LIMITS__MEMORY=96MiB override keys of the file, and flags override both.
    SIGHUP reloads the configuration.
    """
    import uvloop

    from ops import logs
    from saffrongw import config as platform
    from saffrongw.listeners import StartupError
    from saffrongw.process import serve

    from . import configuration

    flags = collect_overrides(sets, **named_flags)
    file = find_configuration_file(file)
    initial = load_configuration(file, flags)

    def platform_config(loaded: configuration.LoadedConfiguration) -> platform.Config:
        return platform.parse(json.dumps(loaded.platform))

    config = platform_config(initial)
    logs.configure(config.log_form, config.log_level)
    try:
        uvloop.run(serve(config, lambda: platform_config(configuration.load(file, flags))))
    except StartupError as error:
        raise CommandError(NOT_POSSIBLE, str(error)) from None


@click.group()
def config() -> None:
    """Check, show and convert gateway configurations."""


@config.command()
@configuration_options
def check(file: Path | None, sets: tuple[str, ...], **named_flags: str | None) -> None:
    """Check a configuration and print each error on a line; exit code 2 if there are any."""
    file = find_configuration_file(file)
    load_configuration(file, collect_overrides(sets, **named_flags))
    click.echo(f"{file}: can be used")


@config.command()
@click.option("--all", "all_keys", is_flag=True, help="Include keys that have their default value.")
@click.option(
    "--origins", is_flag=True, help="Print the origin of each key that is set, instead of its value."
)
@configuration_options
def show(
    file: Path | None, sets: tuple[str, ...], all_keys: bool, origins: bool, **named_flags: str | None
) -> None:
    """Show the effective configuration, from the file, the environment and flags."""
    from . import configuration

    loaded = load_configuration(find_configuration_file(file), collect_overrides(sets, **named_flags))
    if origins:
        for key, origin in sorted(loaded.origins.items()):
            click.echo(f"{key}\t{origin}")
    else:
        click.echo(configuration.as_toml(loaded, all_keys), nl=False)


@config.command("schema")
def show_schema() -> None:
    """Print the JSON schema of the file, for editors that validate TOML."""
    from ops.checking import json_schema

    from .model import Config

    click.echo(json.dumps(json_schema(Config), indent=2))


@config.command()
@click.argument("file", type=FILE_PATH)
@click.option(
    "--to",
    type=click.Choice(["toml", "json"]),
    help="Target format; by default the one that FILE does not have.",
)
@click.option("-o", "--output", type=FILE_PATH, help="Output file; by default standard output.")
def convert(file: Path, to: str | None, output: Path | None) -> None:
    """Convert the platform's JSON to TOML or back, without loss; the environment and flags are ignored."""
    from ops.files import write_atomically

    from . import configuration

    try:
        _, is_json = configuration.read_file(file)
        loaded = configuration.load(file, environment={})
    except configuration.ConfigurationError as error:
        raise CommandError(USAGE_ERROR, *error.lines) from None
    output_format = to or ("toml" if is_json else "json")
    text = (
        configuration.as_toml(loaded)
        if output_format == "toml"
        else json.dumps(loaded.platform, indent=1) + "\n"
    )
    if output is None:
        click.echo(text, nl=False)
        return
    try:
        write_atomically(output, text)
    except OSError as error:
        raise CommandError(NOT_POSSIBLE, f"{output}: {(error.strerror or str(error)).lower()}") from None
