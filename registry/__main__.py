"""``python -m registry serve|agent|backup``: the list service, its agents, a copy of its store."""

from __future__ import annotations

import argparse
import asyncio
import resource
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop

from ops import logs

from . import entries, leases
from .copies import Agent, Follower
from .primary import Primary
from .service import Service
from .store import FOLLOWER, PRIMARY, Damaged, Store, backup

SPARE = 64  # descriptors for all but readers


def address(text: str) -> tuple[str, int]:
    """An option's IPv4 address and port."""
    try:
        return entries.address(text, "it")
    except entries.Invalid as wrong:
        raise argparse.ArgumentTypeError(str(wrong)) from None


def addresses(text: str) -> list[tuple[str, int]]:
    """Some of them with commas between."""
    return [address(part) for part in text.split(",")]


def whole(least: int, most: int):
    """An option's whole number."""

    def parse(text: str) -> int:
        try:
            return entries.whole_number(int(text), "it", least, most)
        except ValueError:
            raise argparse.ArgumentTypeError(f"a whole number from {least} to {most}") from None

    return parse


def part(text: str) -> float:
    """An option between 0 and 1."""
    if not 0 <= float(text) <= 1:
        raise argparse.ArgumentTypeError("a number from 0 to 1")
    return float(text)


def build_parser(prog: str = "python -m registry") -> argparse.ArgumentParser:
    """All that can be said on the command line."""
    parser = argparse.ArgumentParser(prog=prog, description="Keeps the list of hosts that gateways watch.")
    calls = parser.add_subparsers(dest="call", required=True)
    serve = calls.add_parser(
        "serve",
        help="a primary, or with --follow a copy of one",
        description="Keep the list in a store. A primary takes writes, a follower refuses them.",
    )
    agent = calls.add_parser(
        "agent",
        help="on a gateway's machine: answers with the last list whatever happens to the services",
        description="Follow one of several services and answer gateways on this machine.",
    )
    copy = calls.add_parser(
        "backup", help="copy a store, in use or not", description="Copy a store and verify the copy."
    )
    for each in (serve, agent):
        each.add_argument(
            "--listen", type=address, required=True, metavar="IP:PORT", help="where readers and writers call"
        )
        each.add_argument(
            "--operators",
            type=address,
            required=True,
            metavar="IP:PORT",
            help="where operators call: GET /health, GET /figures, GET and POST /hold",
        )
        each.add_argument(
            "--metrics", action="store_true", help="with GET /metrics at the operators' address, too"
        )
        each.add_argument(
            "--log-form", choices=logs.FORMS, default="text", help="logfmt or JSON lines (%(default)s)"
        )
        each.add_argument(
            "--log-level",
            choices=tuple(logs.LEVELS),
            default="info",
            help="the least that is written (%(default)s)",
        )
        each.add_argument(
            "--connections", type=whole(1, 100_000), default=1_024, help="of readers, at most (%(default)s)"
        )
        each.add_argument(
            "--follow",
            type=addresses,
            required=each is agent,
            metavar="IP:PORT,...",
            help="services to follow, the primary first; each is tried in turn",
        )
    serve.add_argument("--store", type=Path, required=True, help="the file that the list is kept in")
    serve.add_argument("--new", action="store_true", help="make an empty store; refused where there is one")
    serve.add_argument("--promote", action="store_true", help="take a follower's store as a primary")
    serve.add_argument(
        "--demote", action="store_true", help="with --follow: take a primary's store as a copy"
    )
    serve.add_argument(
        "--settle",
        type=float,
        default=15.0,
        metavar="SECONDS",
        help="a new primary's readers wait so long for hosts to register (%(default)s)",
    )
    serve.add_argument(
        "--hold-share",
        type=part,
        default=leases.SHARE,
        metavar="PART",
        help="of the hosts: when leases of more run out at once none is taken off (%(default)s)",
    )
    serve.add_argument(
        "--lease",
        type=whole(entries.LEASE_LEAST, entries.LEASE_MOST),
        default=30_000,
        metavar="MS",
        help="after --promote: the lease of hosts until they register anew (%(default)s)",
    )
    serve.add_argument(
        "--hosts", type=whole(1, 100_000), default=10_000, help="on the list, at most (%(default)s)"
    )
    serve.add_argument(
        "--seq-above",
        type=whole(0, entries.NUMBER_MOST // 2),
        default=0,
        metavar="SEQ",
        help="go on above this number, where a store was lost and the clock can't be trusted",
    )
    agent.add_argument("--keep", type=Path, metavar="FILE", help="keep the last list here for the next start")
    copy.add_argument("store", type=Path)
    copy.add_argument("to", type=Path)
    return parser


def build(given: argparse.Namespace) -> Service:
    """What the options ask for; raises Damaged."""
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    connections = max(1, min(given.connections, files - SPARE))
    if given.call == "agent":
        return Agent(connections, given.follow, given.keep)
    store = Store(given.store)
    if given.new:
        store.create(FOLLOWER if given.follow else PRIMARY, 0)
    if given.follow:
        return Follower(store, connections, given.follow, given.demote)
    return Primary(
        store,
        connections,
        given.hold_share,
        given.hosts,
        given.settle,
        given.lease,
        given.seq_above,
        given.promote,
    )


async def serve(given: argparse.Namespace) -> int:
    """Until SIGTERM or SIGINT."""
    service = build(given)
    if given.metrics:
        service.publish()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop.set)
    return await service.run(given.listen, given.operators)


def main(argv: Sequence[str] | None = None, parser: argparse.ArgumentParser | None = None) -> int:
    """One plain line and 1 where it can't be done."""
    given = (parser or build_parser()).parse_args(argv)
    if given.call != "backup":
        logs.start(given.log_form, given.log_level)
    try:
        if given.call == "backup":
            backup(given.store, given.to)
            return 0
        return uvloop.run(serve(given))
    except ModuleNotFoundError as missing:  # what --metrics needs
        print(f"registry: {missing.name} is missing: install requirements-tools.txt", file=sys.stderr)
        return 1
    except (Damaged, OSError) as wrong:
        print(f"registry: {wrong}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
