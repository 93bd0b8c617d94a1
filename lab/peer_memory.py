"""Measures what bad peers cost a gateway process: ``python -m lab.peer_memory --memory 64 --peers 200``.

For each kind of junk, a fresh process gets that many peers, each of which sends what costs most and stays.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import hiredis

from .gateway_play import MEBIBYTE, GatewayPlay, Play, command
from .pressure import Observations, violations

KIBIBYTE = 1024
LARGE_BODY_BYTES = 4 * MEBIBYTE
SMALL_BODY_BYTES = 60_000
FIELDS = 60  # of an array, a few less than are too many
LONG_TERM_BYTES = 60_000
PIPELINED = 5_000  # commands whose answers are not read
RECONNECT_DELAY = 0.1  # seconds
SEND_STEP = 64 * KIBIBYTE  # a peer sends its junk in pieces, so that all of them do at once


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of junk; ``data`` is what the peer of a number sends."""

    name: str
    data: Callable[[int], bytes]
    reads: bool = True  # the peer reads its answers, and comes again when it is closed


def _order(size: int, missing: int) -> Callable[[int], bytes]:
    """Return an order with a body of which the last bytes are missing."""
    return lambda number: command("put", f"order-{number}", number, body=bytes(size))[: -missing - 2]


def _array(field: bytes) -> Callable[[int], bytes]:
    """Return an array of which the last field is missing."""
    return lambda number: b"*%d\r\n" % (FIELDS + 1) + field * FIELDS


def _long_terms(number: int) -> bytes:
    """Return a request with long terms, without its last byte."""
    terms = b"c=read,t=team,d=2000,units=1,spread=1,first=0,k=" + b"k" * LONG_TERM_BYTES
    values: tuple[bytes, ...] = (b"CALL.GET", b"%016x" % number, b"terms-%d" % number, terms)
    encoded: bytes = hiredis.pack_command(values)  # type: ignore[arg-type]  # stub: 1-tuples only
    return encoded[:-1]


def _large_values(number: int) -> bytes:
    """Return requests for large values, which the stand-in gives for these ids."""
    return b"".join(command("read", f"large-{number}-{count}", number) for count in range(3))


KINDS = (
    Kind("nothing", lambda number: b""),
    Kind("half a command", lambda number: b"*5\r\n$9\r\nCALL.POST\r\n$16\r\n"),
    Kind("small body, last byte missing", _order(SMALL_BODY_BYTES, 1)),
    Kind("4 MiB body, last byte missing", _order(LARGE_BODY_BYTES, 1)),
    Kind("long terms, last byte missing", _long_terms),
    Kind("array of empty strings", _array(b"$0\r\n\r\n")),
    Kind("array of error lines", _array(b"-x\r\n")),
    Kind("arrays in arrays", lambda number: b"*1\r\n" * SMALL_BODY_BYTES),
    Kind("string without an end", lambda number: b"+" + b"x" * SMALL_BODY_BYTES),
    Kind("PING, answers unread", lambda number: b"*1\r\n$4\r\nPING\r\n" * PIPELINED, reads=False),
    Kind("unknown commands, answers unread", lambda number: b"*1\r\n$1\r\nx\r\n" * PIPELINED, reads=False),
    Kind("large values, unread", _large_values, reads=False),
)


class PeerPlay(GatewayPlay):
    """One play with peers of one kind."""

    def __init__(self, play: Play, folder: Path, kind: Kind) -> None:
        super().__init__(play, folder)
        self.kind = kind

    def other_clients(self) -> Sequence[Coroutine[Any, Any, None]]:
        """Return the peers."""
        return [self._come_again(number) for number in range(self.play.hostile)]

    async def _come_again(self, number: int) -> None:
        """Connect anew whenever the gateway has closed the connection."""
        while True:
            with contextlib.suppress(OSError):
                await self._send_and_stay(number)
            await asyncio.sleep(RECONNECT_DELAY)

    async def _send_and_stay(self, number: int) -> None:
        data = self.kind.data(number)
        with await self.connect() as sock:
            for at in range(0, len(data), SEND_STEP):
                await self.loop.sock_sendall(sock, data[at : at + SEND_STEP])
            if not self.kind.reads:
                await asyncio.sleep(self.play.seconds)
            while await self.loop.sock_recv(sock, SEND_STEP):
                pass


async def play_peers(play: Play, kind: Kind) -> Observations:
    """Play once with peers of one kind; return what was seen."""
    with tempfile.TemporaryDirectory(prefix="peers-") as folder:
        return await PeerPlay(play, Path(folder), kind).run()


def describe(kind: Kind, play: Play, seen: Observations) -> str:
    """Return a line of the table: memory, what each peer costs, and what sound clients got."""
    least, most = min(filter(None, seen.memory)), max(seen.memory)
    outcomes = Counter(request.outcome or "none" for request in seen.requests)
    took = [request.answered_at - request.sent_at for request in seen.requests if request.answered_at]
    figures = (
        f"{most / MEBIBYTE:.1f} MiB",
        f"{(most - least) / KIBIBYTE / play.hostile:.1f} KiB",
        f"{outcomes['served']} of {len(seen.requests)}",
        f"{max(took, default=0.0):.2f} s",
        "; ".join(violations(seen)[:3]) or "none",
    )
    return f"| {kind.name} | {' | '.join(figures)} |"


def main() -> int:
    """Measure each kind from the command line; return 1 if the gateway owed something."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--memory", type=int, default=64, help="MiB")
    parser.add_argument("--peers", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=6.0, help="of each kind")
    arguments = parser.parse_args()
    play = Play(1, arguments.seconds, arguments.memory, hostile=arguments.peers)
    print(
        "| peers | most memory | a peer | sound requests served | latest answer | owed |\n"
        + "| --- " * 6
        + "|"
    )
    has_failed = False
    for kind in KINDS:
        seen = asyncio.run(play_peers(play, kind))
        print(describe(kind, play, seen), flush=True)
        has_failed |= bool(violations(seen))
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
