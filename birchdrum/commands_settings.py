"""``birchdrum settings``: what a change of the settings of a whole fleet means while it spreads."""

from __future__ import annotations

import json
from pathlib import Path

import click

from .command import FILE_PATH, USAGE_ERROR, CommandError


@click.group()
def settings() -> None:
    """Settings that all gateways of a fleet share."""


@settings.command()
@click.option("--json", "as_json", is_flag=True, help="As JSON, a line each.")
def rules(as_json: bool) -> None:
    """Say for each key whether old and new may hold side by side: together, within a time, or never."""
    from . import contradiction

    wide = max(map(len, contradiction.SHARED_KEYS))
    for path, (rule, why) in contradiction.SHARED_KEYS.items():
        fields = {"key": path, "rule": rule, "why": why}
        click.echo(json.dumps(fields) if as_json else f"{path:{wide}}  {rule:8}  {why}")


@settings.command()
@click.argument("old", type=FILE_PATH)
@click.argument("new", type=FILE_PATH)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def diff(old: Path, new: Path, as_json: bool) -> None:
    """Show what differs between two files for the fleet, and by which rule the change would go.

    Keys that are each gateway's own are passed over.
    """
    import msgspec

    from . import configuration, contradiction

    try:
        was, becomes = (configuration.load(file, environment={}).config for file in (old, new))
    except configuration.ConfigurationError as wrong:
        raise CommandError(USAGE_ERROR, *wrong.lines) from None
    found = contradiction.changes(was, becomes)
    if as_json:
        fields = {"changes": found, "rule": contradiction.strictest(found) if found else None}
        click.echo(msgspec.json.encode(fields).decode())
        return
    for change in found:
        click.echo(str(change))
    click.echo(
        f"as a whole: {contradiction.strictest(found)}" if found else "nothing that gateways share differs"
    )
