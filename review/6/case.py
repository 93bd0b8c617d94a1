"""Clients send long orders, one after another: does the gateway stay within its memory?"""

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

MEMORY_MB, SOCKETS = 128, 256  # within the terms: 32 to 192 MB, 256 to 1,024 descriptors
CLIENTS = 2  # with one connection and one order at a time each
LONG, SHORT = 4 * 1024 * 1024, 100  # bytes of an order's body
PAUSE = 0.1  # seconds between an answer and the client's next order
READINGS = 20  # short requests a second besides
OBSERVED = 30.0  # seconds


async def scenario(world: World) -> bool:
    """Return whether the process lived on within its memory limit."""

    async def serve(command: list[bytes]) -> bytes:
        await asyncio.sleep(0.05)
        return b"ok"

    hosts = [await Host(world, f"s-{number}", serve).listen() for number in range(4)]
    discovery = await Discovery(world, hosts).listen()
    order = request_class("order", "by_key", "all", deadline_ms=10_000)
    configuration = world.configuration(
        discovery,
        settings([request_class("reading", deadline_ms=3000), order], [plan("domestic")]),
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    )
    gateway = await Gateway(world, "gateway", configuration, world.folder / "tmp").start()
    await world.until_ready(gateway)
    answers: list[str] = []
    body = bytes(LONG if TROUBLE else SHORT)

    async def send_orders(number: int) -> None:
        count = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await world.connect(gateway)
            while True:
                count += 1
                key = f"order{number}-{count}"
                writer.write(call(key, "order", 8000, body=body, key=key, customer=number))
                await writer.drain()
                answers.append((await read_reply(reader))[0])
                await asyncio.sleep(PAUSE)

    async def send_readings() -> None:
        count = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await world.connect(gateway)
            while True:
                count += 1
                writer.write(call(f"reading{count}", "reading", 2000, customer=100 + count % 20))
                await read_reply(reader)
                await asyncio.sleep(1 / READINGS)

    clients = [asyncio.create_task(send_orders(number)) for number in range(CLIENTS)]
    clients.append(asyncio.create_task(send_readings()))
    most, is_over = 0.0, False
    limit = time.monotonic() + OBSERVED
    while time.monotonic() < limit and not gateway.ended and not is_over:
        memory = gateway.memory_mb()
        if memory > most + 5:
            most = memory
            world.note(f"{len(answers)} orders answered, the process holds {memory:.1f} MB of {MEMORY_MB}")
        if memory > MEMORY_MB:
            is_over = True
            world.note("over its memory limit: the platform kills the gateway")
            gateway.signal(signal.SIGKILL)
            await asyncio.sleep(1)
        await asyncio.sleep(0.05)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    for answer in sorted(set(answers)):
        world.note(f"{answers.count(answer)} orders {answer}")
    world.note(f"most memory {most:.1f} MB of {MEMORY_MB}")
    if "served" not in answers:
        raise CannotRun("no order was served")
    return not (is_over or gateway.ended)


main(__file__, scenario)
