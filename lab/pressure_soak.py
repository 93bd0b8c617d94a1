"""Plays hostile and sound clients against a real gateway process: ``python -m lab.pressure_soak --seed 7``.

Hostile clients leave large requests unfinished, read large values slowly, flood with small or unsound
commands and ever new customers, close with much unread, or send an order again.
``lab.pressure`` judges the play.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import hiredis

from .gateway_play import (
    DEADLINE,
    MEBIBYTE,
    SLOW_INTERVAL,
    SLOW_PIECES,
    GatewayPlay,
    Play,
    command,
    record_answer,
)
from .pressure import Observations, SoundRequest, violations

BODY_BYTES = 60_000  # of an order that is left unfinished
TERM_DELAY = 3.0  # seconds from the start of a new process until the old one gets SIGTERM
KILL_DELAY = 3.7  # seconds from SIGTERM to SIGKILL

Behaviour = Callable[[int], Awaitable[None]]  # of a hostile client, by its number


class Soak(GatewayPlay):
    """One play with hostile clients."""

    def other_clients(self) -> Sequence[Coroutine[Any, Any, None]]:
        """Return the hostile clients in a random order and, if it is wanted, the upgrade."""
        patient: list[Behaviour] = [self._leave_unfinished, self._read_slowly]
        once: list[Behaviour] = [
            self._flood_with_junk,
            self._flood_with_names,
            self._close_unread,
            self._send_again,
            self._read_what_a_host_writes_slowly,
        ]
        hostile = [*patient * self.play.hostile, *once * 3]
        self.random.shuffle(hostile)
        players: list[Coroutine[Any, Any, None]] = [self._upgrade()] if self.play.upgrade else []
        for number, behave in enumerate(hostile):
            delay = self.random.random() * self.play.seconds / 2
            players.append(self._behave(behave, number, delay))
        return players

    async def _behave(self, behave: Behaviour, number: int, delay: float) -> None:
        await asyncio.sleep(delay)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await behave(number)

    async def _upgrade(self) -> None:
        """Replace the process as operators do: SIGTERM while the next one serves, then SIGKILL."""
        await asyncio.sleep(self.play.seconds / 2)
        predecessor = self.processes[-1].process
        await self._start_process("successor")
        await asyncio.sleep(TERM_DELAY)
        with contextlib.suppress(ProcessLookupError):
            predecessor.terminate()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(predecessor.wait(), KILL_DELAY)
        with contextlib.suppress(ProcessLookupError):
            predecessor.kill()

    async def _leave_unfinished(self, number: int) -> None:
        """Write an order slowly and stop half way."""
        with await self.connect() as sock:
            data = command("put", f"unfinished-{number}", number, body=bytes(BODY_BYTES))
            for at in range(0, self.random.randrange(BODY_BYTES), 1_500):
                await self.loop.sock_sendall(sock, data[at : at + 1_500])
                await asyncio.sleep(0.02)
            await self.loop.sock_recv(sock, 100)

    async def _read_slowly(self, number: int) -> None:
        """Read a large value slowly."""
        with await self.connect() as sock:
            await self.loop.sock_sendall(sock, command("read", f"large-{number}", number))
            while await self.loop.sock_recv(sock, 8 * 1024):
                await asyncio.sleep(0.2)

    async def _flood_with_junk(self, number: int) -> None:
        """Send small and unsound commands at full speed for a second."""
        junk = b"*1\r\n$4\r\nPING\r\n*2\r\n$1\r\nx\r\n$1\r\ny\r\n*0\r\n" * 50
        await self._flood(lambda count: junk)

    async def _flood_with_names(self, number: int) -> None:
        """Send requests of ever new customers at full speed for a second."""
        first = 1000 + 100_000 * number
        await self._flood(
            lambda count: command("read", f"name-{number}-{count}", first + count, plan="capped")
        )

    async def _flood(self, data_of: Callable[[int], bytes]) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        ends, count = self.loop.time() + 1.0, 0
        discarding = self.loop.create_task(_discard(reader))
        with contextlib.closing(writer):
            while self.loop.time() < ends and not writer.is_closing():
                count += 1
                writer.write(data_of(count))
                await writer.drain()
                await asyncio.sleep(0)
        discarding.cancel()

    async def _close_unread(self, number: int) -> None:
        """Send many requests and close, with most of it unread."""
        with await self.connect() as sock:
            ids = [f"left-{number}-{count}" for count in range(200)]
            self.seen.unsafe.update(ids)
            await self.loop.sock_sendall(sock, b"".join(command("bill", name, number) for name in ids))
            await asyncio.sleep(self.random.choice((0.0, 0.05, 0.3)))
        closed_at = self.loop.time()
        self.seen.closed_at.update(dict.fromkeys(ids, closed_at))

    async def _send_again(self, number: int) -> None:
        """Send the same order again after leaving, though each request needs an id of its own."""
        request_id = f"again-{number}"
        self.seen.unsafe.add(request_id)
        for pause in (0.1, 0.01, 0.1):
            with await self.connect() as sock:
                await self.loop.sock_sendall(sock, command("bill", request_id, number))
                await asyncio.sleep(pause)

    async def _read_what_a_host_writes_slowly(self, number: int) -> None:
        """Read a value that its host writes slowly, which may not be cut off."""
        reader, writer = await asyncio.open_connection(*self.address, limit=8 * MEBIBYTE)
        request = SoundRequest(f"slow-{number}", self.loop.time(), DEADLINE + SLOW_PIECES * SLOW_INTERVAL)
        self.seen.requests.append(request)
        writer.write(command("read", request.request_id, number))
        parser = hiredis.Reader()
        with contextlib.closing(writer):
            while (reply := parser.gets()) is False:
                if not (data := await reader.read(64 * 1024)):
                    return
                parser.feed(data)
        record_answer(request, reply, self.loop.time())


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(64 * 1024):
            pass


async def play_soak(play: Play) -> Observations:
    """Play once; return what was seen."""
    with tempfile.TemporaryDirectory(prefix="pressure-") as folder:
        return await Soak(play, Path(folder)).run()


def main() -> int:
    """Play from the command line; print the result, and return 1 if the gateway owed something."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--memory", type=int, default=64, help="MiB")
    parser.add_argument("--hostile", type=int, default=100, help="clients of each patient kind")
    parser.add_argument("--upgrade", action="store_true", help="replace the process at half of the time")
    arguments = parser.parse_args()
    play = Play(
        arguments.seed,
        arguments.seconds,
        arguments.memory,
        hostile=arguments.hostile,
        upgrade=arguments.upgrade,
    )
    seen = asyncio.run(play_soak(play))
    found = violations(seen)
    outcomes = Counter(request.outcome or "none" for request in seen.requests)
    print(
        f"most memory {max(seen.memory, default=0) / MEBIBYTE:.1f} MiB of {play.memory_mb}, {dict(outcomes)}"
    )
    print("\n".join(found[:20]) or "all that was owed was given")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
