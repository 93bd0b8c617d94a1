"""The ``birchdrum`` command: registers the command groups and maps errors to exit codes.

Commands import large dependencies only when they run.
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
    """An API gateway that enforces each customer's quota across all gateways of a fleet.

    \b
    Start with:    birchdrum demo
    Exit codes:    0 success, 1 not possible here and now, 2 invalid call or configuration,
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
@click.option("--for", "span", type=DurationType(), help="Stop after this time; by default on Ctrl-C.")
@click.option("--gateways", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 60), default=8, show_default=True)
@click.option("--customers", type=click.IntRange(1, 200), default=6, show_default=True)
@click.option(
    "--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the random generator."
)
@click.option(
    "--trouble",
    type=click.Choice(["pause", "kill", "cut"]),
    help="Inject a fault: one gateway is paused, killed, or cut off from the others.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON, without the live table.")
def demo(span: float | None, as_json: bool, trouble: str | None, **size: int) -> None:
    """Run a small fleet on loopback: registry, gateways, simulated hosts, and clients with quotas.

    Shows a live table of the results that clients see, then a summary, and stops everything that it started.
    Exit code 0 if requests were served, none was lost and no process failed, else 1.
    """
    from . import demo as fleet

    if trouble and size["gateways"] < 2:
        raise CommandError(USAGE_ERROR, "--trouble needs at least 2 gateways")
    # A request without an answer in time is lost; losses caused by the injected fault give no error, while
    # customers that got more than their quota do.
    sys.exit(fleet.run(span, as_json, trouble=trouble, **size))


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for a shell, as in: source <(birchdrum completion bash)"""
    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(cli, {}, "birchdrum", "_BIRCHDRUM_COMPLETE").source())


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    try:
        cli.main(args=argv, prog_name="birchdrum", standalone_mode=False)
    except CommandError as failure:
        for line in failure.lines:
            click.echo(f"birchdrum: {line}", err=True)
        return failure.code
    except click.exceptions.NoArgsIsHelpError as help_requested:
        click.echo(help_requested.format_message())
        return USAGE_ERROR
    except click.UsageError as error:
        path = error.ctx.command_path if error.ctx else "birchdrum"
        text = " ".join(error.format_message().split())
        click.echo(f"birchdrum: {text.rstrip('.')} (see {path} --help)", err=True)
        return USAGE_ERROR
    except click.ClickException as error:
        click.echo(f"birchdrum: {error.format_message()}", err=True)
        return NOT_POSSIBLE
    except (click.Abort, KeyboardInterrupt):
        return INTERRUPTED
    except BrokenPipeError:  # the reader of standard output closed the pipe
        sys.stderr.close()
        return SUCCESS
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else NOT_POSSIBLE
    return SUCCESS
