"""``python -m registry serve|agent|backup``: command line of the host registry."""

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
from .primary import Primary
from .replicas import Agent, Follower
from .service import Service
from .store import FOLLOWER, PRIMARY, Store, StoreError, backup

RESERVED_DESCRIPTORS = 64  # file descriptors kept for everything but reader connections


def socket_address(text: str) -> tuple[str, int]:
    """Parse an option that is an IPv4 address and port."""
    try:
        return entries.parse_address(text, "value")
    except entries.Invalid as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def socket_addresses(text: str) -> list[tuple[str, int]]:
    """Parse an option that is a comma-separated list of addresses."""
    return [socket_address(part) for part in text.split(",")]


def integer_in_range(minimum: int, maximum: int):
    """Return a parser for an integer option with bounds."""

    def parse(text: str) -> int:
        try:
            return entries.parse_integer(int(text), "value", minimum, maximum)
        except ValueError:
            raise argparse.ArgumentTypeError(f"must be a whole number from {minimum} to {maximum}") from None

    return parse


def fraction(text: str) -> float:
    """Parse an option between 0 and 1."""
    if not 0 <= float(text) <= 1:
        raise argparse.ArgumentTypeError("must be a number from 0 to 1")
    return float(text)


def build_parser(prog: str = "python -m registry") -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(prog=prog, description="Keeps the list of hosts that gateways watch.")
    commands = parser.add_subparsers(dest="call", required=True)
    serve_parser = commands.add_parser(
        "serve",
        help="run a primary, or with --follow a follower",
        description="Keep the list in a store. A primary takes writes, a follower refuses them.",
    )
    agent_parser = commands.add_parser(
        "agent",
        help="run on a gateway's machine and answer with the last list while no service can be reached",
        description="Follow one of several services and answer gateways on this machine.",
    )
    backup_parser = commands.add_parser(
        "backup", help="copy a store, which may be in use", description="Copy a store and verify the copy."
    )
    for service_parser in (serve_parser, agent_parser):
        service_parser.add_argument(
            "--listen",
            type=socket_address,
            required=True,
            metavar="IP:PORT",
            help="address for readers and writers",
        )
        service_parser.add_argument(
            "--operators",
            type=socket_address,
            required=True,
            metavar="IP:PORT",
            help="address for operators: GET /health, GET /figures, GET and POST /hold",
        )
        service_parser.add_argument(
            "--metrics", action="store_true", help="also serve GET /metrics at the operators' address"
        )
        service_parser.add_argument(
            "--log-form", choices=logs.FORMATS, default="text", help="logfmt or JSON lines (%(default)s)"
        )
        service_parser.add_argument(
            "--log-level",
            choices=tuple(logs.LEVELS),
            default="info",
            help="minimum level of log lines (%(default)s)",
        )
        service_parser.add_argument(
            "--connections",
            type=integer_in_range(1, 100_000),
            default=1_024,
            help="maximum number of reader connections (%(default)s)",
        )
        service_parser.add_argument(
            "--follow",
            type=socket_addresses,
            required=service_parser is agent_parser,
            metavar="IP:PORT,...",
            help="services to follow, the primary first; tried in order",
        )
    serve_parser.add_argument("--store", type=Path, required=True, help="file of the store")
    serve_parser.add_argument("--new", action="store_true", help="create an empty store; fails if one exists")
    serve_parser.add_argument("--promote", action="store_true", help="use a follower's store as a primary")
    serve_parser.add_argument(
        "--demote", action="store_true", help="with --follow: use a primary's store as a follower"
    )
    serve_parser.add_argument(
        "--settle",
        type=float,
        default=15.0,
        metavar="SECONDS",
        help="refuse reads of a new list for this long, while hosts register (%(default)s)",
    )
    serve_parser.add_argument(
        "--hold-share",
        type=fraction,
        default=leases.DEFAULT_HOLD_SHARE,
        metavar="PART",
        help="hold all removals if the leases of a greater part of the hosts expire at once (%(default)s)",
    )
    serve_parser.add_argument(
        "--lease",
        type=integer_in_range(entries.MIN_LEASE_MS, entries.MAX_LEASE_MS),
        default=30_000,
        metavar="MS",
        help="after --promote: lease of the hosts until they register again (%(default)s)",
    )
    serve_parser.add_argument(
        "--hosts",
        type=integer_in_range(1, 100_000),
        default=10_000,
        help="maximum number of listed hosts (%(default)s)",
    )
    serve_parser.add_argument(
        "--seq-above",
        type=integer_in_range(0, entries.MAX_INTEGER // 2),
        default=0,
        metavar="SEQ",
        help="continue above this sequence number, if a store was lost and the clock can't be trusted",
    )
    agent_parser.add_argument(
        "--keep", type=Path, metavar="FILE", help="save the last list here for the next start"
    )
    backup_parser.add_argument("store", type=Path)
    backup_parser.add_argument("to", type=Path)
    return parser


def build_service(args: argparse.Namespace) -> Service:
    """Build the service that the options describe; raises StoreError."""
    max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    connections = max(1, min(args.connections, max_descriptors - RESERVED_DESCRIPTORS))
    if args.call == "agent":
        return Agent(connections, args.follow, args.keep)
    store = Store(args.store)
    if args.new:
        store.create(FOLLOWER if args.follow else PRIMARY, 0)
    if args.follow:
        return Follower(store, connections, args.follow, args.demote)
    return Primary(
        store,
        connections,
        args.hold_share,
        args.hosts,
        args.settle,
        args.lease,
        args.seq_above,
        args.promote,
    )


async def serve(args: argparse.Namespace) -> int:
    """Run the service until SIGTERM or SIGINT."""
    service = build_service(args)
    if args.metrics:
        service.enable_metrics()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop.set)
    return await service.run(args.listen, args.operators)


def main(argv: Sequence[str] | None = None, parser: argparse.ArgumentParser | None = None) -> int:
    """Run a command; on failure it prints one line and returns 1."""
    args = (parser or build_parser()).parse_args(argv)
    if args.call != "backup":
        logs.configure(args.log_form, args.log_level)
    try:
        if args.call == "backup":
            backup(args.store, args.to)
            return 0
        return uvloop.run(serve(args))
    except ModuleNotFoundError as missing:  # what --metrics needs
        print(f"registry: {missing.name} is missing: install requirements-tools.txt", file=sys.stderr)
        return 1
    except (StoreError, OSError) as error:
        print(f"registry: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
