"""A client sends several commands at once while bad clients fill the connections: is each one answered?"""

from __future__ import annotations

import asyncio
import contextlib
import sys
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

SOCKETS = 256
CLIENTS = 58  # that write an order slowly; clients may hold a third of the descriptors, 85
BAD_CLIENTS = 32  # that stop within a command and stay
BODY, PIECE, PAUSE = 150_000, 8192, 0.1  # bytes, bytes, seconds: an order takes 1.9 s to write
COMMANDS, D = 5, 3000  # sent at once on one connection, with this many milliseconds each


async def scenario(world: World) -> bool:
    """Return whether all commands that were sent at once were answered."""

    async def serve(command: list[bytes]) -> bytes:
        await asyncio.sleep(0.05)
        return b"ok"

    hosts = [await Host(world, f"s-{number}", serve).listen() for number in range(8)]
    discovery = await Discovery(world, hosts).listen()
    order = request_class("order", "by_key", "all", deadline_ms=10_000)
    configuration = world.configuration(
        discovery,
        settings([request_class("reading", deadline_ms=3000), order], [plan("domestic")]),
        limits={"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS},
    )
    gateway = await Gateway(world, "gateway", configuration, world.folder / "tmp").start()
    await world.until_ready(gateway)

    async def write_order(number: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await world.connect(gateway)
            key = f"order{number}"
            data = call(key, "order", 10_000, body=bytes(BODY), key=key, customer=100 + number)
            for at in range(0, len(data), PIECE):
                writer.write(data[at : at + PIECE])
                await writer.drain()
                await asyncio.sleep(PAUSE)
            await read_reply(reader)
            writer.close()

    orders = [asyncio.create_task(write_order(number)) for number in range(CLIENTS)]
    await asyncio.sleep(0.3)
    bad = [await world.connect(gateway) for _ in range(BAD_CLIENTS if TROUBLE else 0)]
    for _, writer in bad:
        writer.write(b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000")
    world.note(f"{CLIENTS} clients write orders, {len(bad)} have stopped within a command")
    await asyncio.sleep(0.3)

    reader, writer = await world.connect(gateway)
    commands = [call(f"r{number}", "reading", D, customer=number) for number in range(COMMANDS)]
    writer.write(b"".join(commands))
    world.note(f"a client sends {COMMANDS} commands at once, {sum(map(len, commands))} bytes")
    answers: list[str] = []
    end = "no end within 5 s"
    try:
        async with asyncio.timeout(D / 1000 + 2):
            while len(answers) < COMMANDS:
                meaning, text = await read_reply(reader)
                answers.append(meaning)
                world.note(f"r{len(answers) - 1} answered {meaning}: {text[:20]!r}")
        end = "all answered"
    except asyncio.IncompleteReadError:
        end = "the gateway ended the connection (FIN)"
    except ConnectionError:
        end = "the gateway reset the connection"
    except TimeoutError:
        pass
    world.note(f"{len(answers)} of {COMMANDS} commands answered; {end}")
    for task in orders:
        task.cancel()
    await asyncio.gather(*orders, return_exceptions=True)
    if gateway.ended:
        raise CannotRun("the gateway has ended")
    if not answers:
        world.note("the connection was shut unread: allowed where descriptors are full")
        return True
    return len(answers) == COMMANDS


main(__file__, scenario)
