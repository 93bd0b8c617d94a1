"""Long bodies are written slowly by some clients: do the others' requests get their final answer in time?"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import struct
import sys
import termios
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

LONG_BODIES, LONG_BODY = 8, 4 * 1024 * 1024  # bytes
PIECE, PAUSE = 64 * 1024, 0.1  # they are written at 640 KiB a second
ORDERS, BODY, D = 4, 100_000, 480  # bytes, milliseconds
LATEST = 0.5 + 0.05  # seconds after its time, by when a request has to have its final answer
WORK = 0.05  # seconds
WRITTEN_WITHIN = 0.2  # seconds


def unacknowledged(writer: asyncio.StreamWriter) -> int:
    """Return how many bytes the other side's machine has not acknowledged yet."""
    reply = fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(4))
    return struct.unpack("i", reply)[0]


async def scenario(world: World) -> bool:
    """Return whether each order got its final answer at most half a second after its time."""

    async def serve(command: list[bytes]) -> bytes:
        await asyncio.sleep(WORK)
        return b"ok"

    hosts = [await Host(world, f"s-{number}", serve).listen() for number in range(4)]
    discovery = await Discovery(world, hosts).listen()
    order = request_class("order", "by_key", "all", deadline_ms=1000)
    configuration = world.configuration(
        discovery, settings([request_class("reading", deadline_ms=1000), order], [plan("domestic")])
    )
    gateway = await Gateway(world, "gateway", configuration, world.folder / "tmp").start()
    await world.until_ready(gateway)

    async def write_long(number: int) -> None:
        await asyncio.sleep(0.15 * number)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await world.connect(gateway)
            data = call(
                f"long{number}",
                "order",
                1000,
                body=bytes(LONG_BODY),
                key=f"long{number}",
                customer=100 + number,
            )
            for at in range(0, len(data), PIECE):
                writer.write(data[at : at + PIECE])
                await writer.drain()
                await asyncio.sleep(PAUSE)
            world.note(f"long{number} is written, answer {(await read_reply(reader))[0]}")

    late: list[str] = []

    async def send_order(number: int) -> None:
        reader, writer = await world.connect(gateway)
        request = f"order{number}"
        writer.write(call(request, "order", D, body=bytes(BODY), key=request, customer=number))
        await writer.drain()
        sent = time.monotonic()
        while writer.transport.get_write_buffer_size() or unacknowledged(writer):
            if time.monotonic() > sent + WRITTEN_WITHIN:
                raise CannotRun(
                    "the gateway's machine does not take an order while its process does not read"
                )
            await asyncio.sleep(0.001)
        written = time.monotonic()  # the gateway's machine has acknowledged all bytes
        world.note(f"the gateway's machine has {request} to its last byte, d={D}")
        answer = "none"
        with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            async with asyncio.timeout(5):
                answer = (await read_reply(reader))[0]
        took = time.monotonic() - written
        is_late = answer == "none" or took > D / 1000 + LATEST
        world.note(f"{request} answered {answer} after {took:.3f} s{': lost' if is_late else ''}")
        for host in hosts:
            for begun, name, _ in host.begun:
                if name == request:
                    world.note(f"{request} was begun by {host.name} {begun - written:.3f} s after it")
        if is_late:
            late.append(request)
        writer.close()

    long = [asyncio.create_task(write_long(number)) for number in range(LONG_BODIES if TROUBLE else 0)]
    await asyncio.sleep(1)
    await asyncio.gather(*(send_order(number) for number in range(ORDERS)))
    for task in long:
        task.cancel()
    await asyncio.gather(*long, return_exceptions=True)
    if gateway.ended:
        raise CannotRun("the gateway has ended")
    return not late


main(__file__, scenario)
