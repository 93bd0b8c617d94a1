"""``birchdrum control`` and ``birchdrum call``: control calls to gateways, and a single client request."""

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


def gateway_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that select the gateways to call."""
    for option in reversed(
        (
            click.option(
                "--at", multiple=True, type=AddressType(), help="A gateway's control address; repeatable."
            ),
            click.option(
                "--fleet",
                type=FILE_PATH,
                help='A TOML file that lists gateways: [gateways], then gw-0 = "127.0.0.1:7000".',
            ),
            click.option(
                "--only",
                multiple=True,
                help="Call only the gateway of this name in the fleet file; repeatable.",
            ),
            click.option(
                "--within",
                type=DurationType(),
                default="2s",
                show_default=True,
                help="Timeout for all answers.",
            ),
            click.option("--json", "as_json", is_flag=True, help="Print answers as JSON, one per line."),
        )
    ):
        command = option(command)
    return command


@click.group()
def control() -> None:
    """Make control calls to gateways.

    Exit code 0 if all gateways answer done, 3 if one answers error, 1 if one can't be reached.
    """


def _add_control_command(name: str, operation: str, help_text: str, takes_host: bool) -> None:
    def run(
        at: tuple[tuple[str, int], ...],
        fleet: Path | None,
        only: tuple[str, ...],
        within: float,
        as_json: bool,
        host: str = "",
    ) -> None:
        from . import gateway_client

        try:
            gateways = gateway_client.select_gateways(at, fleet, only)
        except gateway_client.InvalidCall as error:
            raise CommandError(USAGE_ERROR, str(error)) from None
        answers = gateway_client.call_all(gateways, f"{operation} {host}".strip(), within)
        for answer in answers:
            click.echo(json.dumps(answer.fields()) if as_json else str(answer))
        if any(answer.reply is None for answer in answers):
            sys.exit(NOT_POSSIBLE)
        sys.exit(SUCCESS if all(answer.accepted for answer in answers) else REFUSED)

    command = gateway_options(run)
    if takes_host:
        command = click.argument("host")(command)
    control.command(name, help=help_text)(command)


_add_control_command("health", "HEALTH", "Check whether gateways are ready to serve.", False)
_add_control_command(
    "offline", "OFFLINE", "Stop sending requests to HOST, regardless of the host list.", True
)
_add_control_command("online", "ONLINE", "Undo offline: use HOST as the host list says.", True)
_add_control_command(
    "leave", "LEAVE", "Drain: report not ready, and close connections between requests.", False
)
_add_control_command("join", "JOIN", "Undo leave: accept requests again.", False)


@control.command()
@gateway_options
@click.option("--watch", is_flag=True, help="Repeat until Ctrl-C.")
@click.option("--every", type=DurationType(), default="1s", show_default=True, help="Interval of --watch.")
def members(
    at: tuple[tuple[str, int], ...],
    fleet: Path | None,
    only: tuple[str, ...],
    within: float,
    as_json: bool,
    watch: bool,
    every: float,
) -> None:
    """Show each gateway's view of the others side by side, and where the views disagree.

    Exit code 0 if all views agree and no gateway reports a problem with its own, 3 if not, 1 if a gateway
    can't be reached.
    """
    import time

    from . import gateway_client
    from . import membership_views as views

    try:
        gateways = gateway_client.select_gateways(at, fleet, only)
    except gateway_client.InvalidCall as error:
        raise CommandError(USAGE_ERROR, str(error)) from None
    while True:
        member_views = views.gather(gateways, within)
        if watch and not as_json:
            click.clear()
        click.echo(json.dumps(member_views.fields()) if as_json else "\n".join(member_views.lines()))
        if not watch:
            break
        time.sleep(every)
    if member_views.missing:
        sys.exit(NOT_POSSIBLE)
    sys.exit(REFUSED if member_views.disagreements else SUCCESS)


@click.command()
@click.argument("gateway", type=AddressType())
@click.option("--class", "kind", required=True, help="The class of the request.")
@click.option("--plan", required=True, help="The customer's plan.")
@click.option(
    "--customer",
    type=click.IntRange(0, 2**33 - 1),
    default=1,
    show_default=True,
    help="The customer's number.",
)
@click.option(
    "--units", type=click.FloatRange(min=0, min_open=True), default=1.0, help="Units that the request uses."
)
@click.option(
    "--deadline", type=DurationType(), default="2s", show_default=True, help="Deadline of the request."
)
@click.option("--first", type=click.IntRange(0), default=0, help="First gateway of the customer's set.")
@click.option("--spread", type=click.IntRange(1), default=1, help="Number of gateways in the set.")
@click.option("--body", help="Send this body with CALL.POST; @FILE reads it from a file.")
@click.option("--key", help="Idempotency key, for a class with effect by_key; sent with CALL.POST.")
@click.option("--id", "number", help="Request id; by default a random one.")
@click.option("--json", "as_json", is_flag=True, help="Print outcome, time and value as JSON.")
def call(gateway: tuple[str, int], as_json: bool, **request: Any) -> None:
    """Send one request to GATEWAY and print the result.

    Exit code 0 served, 3 refused, 4 failed, 1 not reached or not answered in time.
    """
    from . import gateway_client

    try:
        result = gateway_client.request(gateway, **request)
    except gateway_client.InvalidCall as error:
        raise CommandError(USAGE_ERROR, str(error)) from None
    click.echo(json.dumps(result.fields()) if as_json else str(result))
    sys.exit({"served": SUCCESS, "refused": REFUSED, "failed": FAILED}.get(result.outcome, NOT_POSSIBLE))
