"""``birchdrum registry``: the list service, by its own options."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from typing import Any

import click

from .command import USAGE_ERROR, CommandError


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
    raise CommandError(USAGE_ERROR, message)


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


registry = Registry(
    "registry", help="Run the list service: primary, follower, agent, and copies of its store."
)
