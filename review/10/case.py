"""A planned restart while hosts hang: are the requests answered that clients send after SIGTERM?"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))
from parts import (
    TROUBLE,
    CannotRun,
    Discovery,
    Gateway,
    Host,
    World,
    call,
    main,
    plan,
    read_reply,
    request_class,
    settings,
)

CLIENTS = 12  # with one connection each
HOSTS, HANGING = 8, 4  # up to a half of the hosts hang
ORDER_DEADLINE_MS, ORDER_D, READING_D = 10_000, 8000, 2000  # milliseconds
BEFORE = 0.3  # seconds from the orders to SIGTERM
SENT_AFTER = 1.0  # seconds from SIGTERM to the readings; the page's rule is on those after 0.7 s
KILLED_AFTER = 3.0 + 0.7 + 0.05  # seconds: the longest deadline counts as 3 s, and 50 ms on sockets


async def scenario(world: World) -> bool:
    """Return whether SIGKILL found no request unanswered that came more than 0.7 s after SIGTERM."""
    hang_now = False

    async def serve(command: list[bytes]) -> bytes:
        await asyncio.sleep(0.05)
        return b"ok"

    async def serve_or_hang(command: list[bytes]) -> bytes:
        await asyncio.sleep(60 if hang_now else 0.05)
        return b"ok"

    hosts = [
        await Host(world, f"s-{number}", serve_or_hang if number < HANGING else serve).listen()
        for number in range(HOSTS)
    ]
    discovery = await Discovery(world, hosts).listen()
    order = request_class("order", "by_key", "zone", deadline_ms=ORDER_DEADLINE_MS)
    configuration = world.configuration(
        discovery, settings([request_class("reading", deadline_ms=3000), order], [plan("domestic")])
    )
    gateway = await Gateway(world, "gateway", configuration, world.folder / "tmp").start()
    await world.until_ready(gateway)

    clients = []
    for number in range(CLIENTS):
        reader, writer = await world.connect(gateway)
        writer.write(call(f"warm{number}", "reading", READING_D, customer=number))
        world.note(f"warm{number} answered {(await read_reply(reader))[0]}")
        clients.append((number, reader, writer))
    hang_now = TROUBLE
    for number, _, writer in clients:
        key = f"order{number}"
        writer.write(call(key, "order", ORDER_D, body=b"x", key=key, customer=number))
    await asyncio.sleep(BEFORE)
    hanging = sum(request.startswith("order") for host in hosts[:HANGING] for _, request, _ in host.begun)
    world.note(f"{hanging} orders were begun by the hosts that {'hang' if TROUBLE else 'may hang'}")
    if TROUBLE and not hanging:
        raise CannotRun("no order is at a host that hangs")
    told_to_end = time.monotonic()
    gateway.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER)
    unanswered: list[str] = []

    async def send_reading(number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a reading on the connection if it is still open, and read all answers up to its end."""
        answers: list[str] = []
        with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            async with asyncio.timeout(0.05):
                answers.append((await read_reply(reader))[0])
                await reader.read(1)
        if reader.at_eof():
            return world.note(f"the connection of client {number} was ended before: nothing is sent on it")
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            writer.write(call(f"reading{number}", "reading", READING_D, customer=number))
            world.note(f"reading{number} is written {time.monotonic() - told_to_end:.3f} s after SIGTERM")
            while len(answers) < 2:
                answers.append((await read_reply(reader))[0])
                world.note(f"answer {len(answers)} of client {number}: {answers[-1]}")
        if len(answers) < 2:
            at = time.monotonic() - told_to_end
            world.note(
                f"the connection of client {number} ended at {at:.3f} s with {len(answers)} answers of 2"
            )
            # Where the gateway had ended it between requests, the client sends that one elsewhere.
            if at > KILLED_AFTER - 0.5:
                unanswered.append(f"reading{number}")
        return None

    async def platform() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(told_to_end + KILLED_AFTER - time.monotonic()):
                await gateway.process.wait()
        if gateway.ended:
            world.note(f"the gateway ended by itself {time.monotonic() - told_to_end:.2f} s after SIGTERM")
        else:
            gateway.signal(signal.SIGKILL)

    await asyncio.gather(platform(), *(send_reading(*client) for client in clients))
    world.note(f"SIGKILL found unanswered, though sent {SENT_AFTER} s after SIGTERM: {unanswered or 'none'}")
    return not unanswered


main(__file__, scenario)
