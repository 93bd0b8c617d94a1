"""``birchdrum registry``: the host registry, with the options of ``python -m registry``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from typing import Any

import click

from .command import USAGE_ERROR, CommandError


def _registry_command(name: str, parser: argparse.ArgumentParser, description: str) -> click.Command:
    """Build a click command from an argument parser of ``python -m registry``, which checks the values."""
    params: list[click.Parameter] = []
    for action in parser._actions:
        if isinstance(action, argparse._HelpAction):
            continue
        if not action.option_strings:
            params.append(click.Argument([action.dest], metavar=action.dest.upper()))
            continue
        help_text = (action.help or "") % {"default": action.default}
        is_flag = action.nargs == 0
        parameter_type = click.Choice(list(action.choices)) if action.choices else click.STRING
        metavar = None if is_flag or action.choices else str(action.metavar or action.dest.upper())
        params.append(
            click.Option(
                [*action.option_strings],
                is_flag=is_flag,
                required=action.required,
                help=help_text,
                type=click.BOOL if is_flag else parameter_type,
                metavar=metavar,
            )
        )

    def run_command(**values: Any) -> None:
        arguments = [name]
        for action in parser._actions:
            value = values.get(action.dest)
            if action.option_strings and value is True:
                arguments.append(action.option_strings[0])
            elif action.option_strings and value not in (None, False):
                arguments.append(f"{action.option_strings[0]}={value}")
            elif value not in (None, False):
                arguments.append(str(value))
        _run_registry(arguments)

    return click.Command(name, params=params, callback=run_command, help=description)


def _run_registry(arguments: Sequence[str]) -> None:
    from registry import __main__ as registry_main

    parser = registry_main.build_parser("birchdrum registry")
    parser.error = _raise_usage_error  # type: ignore[method-assign, assignment]
    for subparser in _subparsers(parser).values():
        subparser.error = _raise_usage_error  # type: ignore[method-assign, assignment]
    code = registry_main.main(arguments, parser)
    if code:
        sys.exit(code)


def _raise_usage_error(message: str) -> None:
    raise CommandError(USAGE_ERROR, message)


def _subparsers(parser: argparse.ArgumentParser) -> dict[str, argparse.ArgumentParser]:
    [subparser_action] = [
        action for action in parser._actions if isinstance(action, argparse._SubParsersAction)
    ]
    return dict(subparser_action.choices)


class Registry(click.Group):
    """The registry's commands, built on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands."""
        return ["serve", "agent", "backup"]

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Build one command."""
        from registry.__main__ import build_parser

        parser = _subparsers(build_parser()).get(name)
        return _registry_command(name, parser, parser.description or "") if parser else None


registry = Registry(
    "registry", help="Run the host registry as primary, follower or agent, or back up its store."
)
