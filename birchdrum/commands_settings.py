"""``birchdrum settings``: how changes of settings that all gateways share may roll out over the fleet."""

from __future__ import annotations

import json
from pathlib import Path

import click

from .command import FILE_PATH, USAGE_ERROR, CommandError


@click.group()
def settings() -> None:
    """Inspect the settings that all gateways of a fleet share."""


@settings.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one line per key.")
def rules(as_json: bool) -> None:
    """Show for each key whether its old and new values may be in use at the same time.

    The rules are: together, within a bounded time, or never.
    """
    from . import compatibility

    key_width = max(map(len, compatibility.SHARED_KEYS))
    for path, (rule, why) in compatibility.SHARED_KEYS.items():
        fields = {"key": path, "rule": rule, "why": why}
        click.echo(json.dumps(fields) if as_json else f"{path:{key_width}}  {rule:8}  {why}")


@settings.command()
@click.argument("old", type=FILE_PATH)
@click.argument("new", type=FILE_PATH)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def diff(old: Path, new: Path, as_json: bool) -> None:
    """Show the differences of two files in shared keys, and the rule that applies to the change.

    Keys that are local to a gateway are ignored.
    """
    import msgspec

    from . import compatibility, configuration

    try:
        old_config, new_config = (configuration.load(file, environment={}).config for file in (old, new))
    except configuration.ConfigurationError as error:
        raise CommandError(USAGE_ERROR, *error.lines) from None
    changes = compatibility.changes(old_config, new_config)
    if as_json:
        fields = {"changes": changes, "rule": compatibility.strictest(changes) if changes else None}
        click.echo(msgspec.json.encode(fields).decode())
        return
    for change in changes:
        click.echo(str(change))
    click.echo(
        f"as a whole: {compatibility.strictest(changes)}"
        if changes
        else "nothing that gateways share differs"
    )
