"""``birchdrum control`` and ``birchdrum call``: an operator's calls, and one request as a client."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from .command import (
    FAILED,
    FILE_PATH,
    NOT_POSSIBLE,
    REFUSED,
    SUCCESS,
    USAGE_ERROR,
    AddressType,
    CommandError,
    DurationType,
)


def addressed(command: Callable[..., Any]) -> Callable[..., Any]:
    """Which gateways a call goes to."""
    for option in reversed(
        (
            click.option(
                "--at", multiple=True, type=AddressType(), help="A gateway's operators' address; repeatable."
            ),
            click.option(
                "--fleet",
                type=FILE_PATH,
                help='A TOML file that names gateways: [gateways], then gw-0 = "127.0.0.1:7000".',
            ),
            click.option("--only", multiple=True, help="Of the fleet, the gateway of this name; repeatable."),
            click.option(
                "--within", type=DurationType(), default="2s", show_default=True, help="Time for all answers."
            ),
            click.option("--json", "as_json", is_flag=True, help="Answers as JSON, a line each."),
        )
    ):
        command = option(command)
    return command


@click.group()
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
            gateways = calling.select_gateways(at, fleet, only)
        except calling.InvalidCall as wrong:
            raise CommandError(USAGE_ERROR, str(wrong)) from None
        answers = calling.call_all(gateways, f"{word} {host}".strip(), within)
        for answer in answers:
            click.echo(json.dumps(answer.fields()) if as_json else str(answer))
        if any(answer.reply is None for answer in answers):
            sys.exit(NOT_POSSIBLE)
        sys.exit(SUCCESS if all(answer.accepted for answer in answers) else REFUSED)

    command = addressed(call)
    if takes_host:
        command = click.argument("host")(command)
    control.command(name, help=text)(command)


_control("health", "HEALTH", "Ask whether each is ready to serve.", False)
_control("offline", "OFFLINE", "Send nothing more to HOST, whatever the list says.", True)
_control("online", "ONLINE", "Put HOST back as the list sees it.", True)
_control("leave", "LEAVE", "Drain: say no to the front, close connections between requests.", False)
_control("join", "JOIN", "Back to work.", False)


@control.command()
@addressed
@click.option("--watch", is_flag=True, help="Again and again, until Ctrl-C.")
@click.option("--every", type=DurationType(), default="1s", show_default=True, help="With --watch.")
def members(
    at: tuple[tuple[str, int], ...],
    fleet: Path | None,
    only: tuple[str, ...],
    within: float,
    as_json: bool,
    watch: bool,
    every: float,
) -> None:
    """Show what each gateway holds of the others, side by side, and where they disagree.

    Exit code 0 where all that answer hold the same and doubt nothing, 3 where they don't, 1 where one was not
    reached.
    """
    import time

    from . import calling
    from . import members as views

    try:
        gateways = calling.select_gateways(at, fleet, only)
    except calling.InvalidCall as wrong:
        raise CommandError(USAGE_ERROR, str(wrong)) from None
    while True:
        found = views.gather(gateways, within)
        if watch and not as_json:
            click.clear()
        click.echo(json.dumps(found.fields()) if as_json else "\n".join(found.lines()))
        if not watch:
            break
        time.sleep(every)
    if found.missing:
        sys.exit(NOT_POSSIBLE)
    sys.exit(REFUSED if found.disagreements else SUCCESS)


@click.command()
@click.argument("gateway", type=AddressType())
@click.option("--class", "kind", required=True, help="The class of the request.")
@click.option("--plan", required=True, help="The customer's plan.")
@click.option(
    "--customer", type=click.IntRange(0, 2**33 - 1), default=1, show_default=True, help="Its number."
)
@click.option(
    "--units", type=click.FloatRange(min=0, min_open=True), default=1.0, help="Units that it takes."
)
@click.option("--deadline", type=DurationType(), default="2s", show_default=True, help="How long to wait.")
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
    except calling.InvalidCall as wrong:
        raise CommandError(USAGE_ERROR, str(wrong)) from None
    click.echo(json.dumps(answer.fields()) if as_json else str(answer))
    sys.exit({"served": SUCCESS, "refused": REFUSED, "failed": FAILED}.get(answer.outcome, NOT_POSSIBLE))
