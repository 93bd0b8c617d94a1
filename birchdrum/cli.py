"""The ``birchdrum`` command: its groups together, and how a call ends.

Commands that need heavy libraries import them when they are called.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click
from click.shell_completion import get_completion_class

from . import commands_control, commands_gateway, commands_lab, commands_registry, commands_settings
from .command import (
    CONTEXT_SETTINGS,
    INTERRUPTED,
    NOT_POSSIBLE,
    SUCCESS,
    USAGE_ERROR,
    CommandError,
    DurationType,
)


@click.group(context_settings=CONTEXT_SETTINGS)
@click.version_option(package_name="saffrongw", prog_name="birchdrum")
def cli() -> None:
    """An API gateway that keeps each customer's quota over all gateways together.

    \b
    Start with:    birchdrum demo
    Exit codes:    0 done, 1 not possible here and now, 2 wrong call or configuration,
                   3 refused, 4 failed, 130 Ctrl-C
    """


cli.add_command(commands_gateway.gateway)
cli.add_command(commands_gateway.config)
cli.add_command(commands_registry.registry)
cli.add_command(commands_control.control)
cli.add_command(commands_control.call)
cli.add_command(commands_settings.settings)
cli.add_command(commands_lab.lab)


@cli.command()
@click.option(
    "--for", "span", type=DurationType(), help="End after this time, with a summary; else at Ctrl-C."
)
@click.option("--gateways", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 60), default=8, show_default=True)
@click.option("--customers", type=click.IntRange(1, 200), default=6, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of all that is random.")
@click.option(
    "--trouble",
    type=click.Choice(["pause", "kill", "cut"]),
    help="Show what a fault looks like: one gateway stands still, is killed, or is cut off.",
)
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON, and no table.")
def demo(span: float | None, as_json: bool, trouble: str | None, **size: int) -> None:
    """Run a small fleet on loopback: list service, gateways, stand-in hosts, clients under quotas.

    Shows a live table of what clients saw, and ends everything that it started. Exit code 0 where requests
    were served, none was lost and nothing broke; else 1.
    """
    from . import demo as fleet

    if trouble and size["gateways"] < 2:
        raise CommandError(USAGE_ERROR, "--trouble needs 2 gateways at least")
    sys.exit(fleet.run(span, as_json, trouble=trouble, **size))


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
    except CommandError as ended:
        for line in ended.lines:
            click.echo(f"birchdrum: {line}", err=True)
        return ended.code
    except click.exceptions.NoArgsIsHelpError as wanted:
        click.echo(wanted.format_message())
        return USAGE_ERROR
    except click.UsageError as wrong:
        path = wrong.ctx.command_path if wrong.ctx else "birchdrum"
        text = " ".join(wrong.format_message().split())
        click.echo(f"birchdrum: {text.rstrip('.')} (see {path} --help)", err=True)
        return USAGE_ERROR
    except click.ClickException as wrong:
        click.echo(f"birchdrum: {wrong.format_message()}", err=True)
        return NOT_POSSIBLE
    except (click.Abort, KeyboardInterrupt):
        return INTERRUPTED
    except BrokenPipeError:  # who read our output has had enough
        sys.stderr.close()
        return SUCCESS
    except SystemExit as ended:
        return ended.code if isinstance(ended.code, int) else NOT_POSSIBLE
    return SUCCESS
