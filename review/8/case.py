"""A host breaks off within a long answer: are the orders answered that the same client had sent behind it?"""

from __future__ import annotations

import asyncio
import contextlib
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
    read_command,
    request_class,
    settings,
)

VALUE, PART = 1_000_000, 300_000  # bytes: of the long value, and of what its host sends before the reset
ORDERS, READING_D, ORDER_D = 3, 2000, 4000  # milliseconds
LATEST = 0.5 + 0.05  # seconds after its time, by when a request has to have its final answer
WORK = 0.2  # seconds that an order takes
CLIENTS = 3  # one after another, with one connection each


class BreakingHost(Host):
    """A host whose connection is reset within a long answer."""

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                command = await read_command(reader)
                request = command[2].decode()
                self.begun.append((time.monotonic(), request, command))
                self.world.note(f"host {self.name} begins {request}")
                is_long = request.startswith("long")
                await asyncio.sleep(0.02 if is_long else WORK)
                value = bytes(VALUE) if is_long else b"done"
                answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$7\r\nqps=8.0\r\n" % (len(value), value)
                if is_long and TROUBLE:
                    writer.write(answer[:PART])
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    self.world.note(f"host {self.name} resets its connection within the answer to {request}")
                    break
                writer.write(answer)
                await writer.drain()
        writer.transport.abort()


async def scenario(world: World) -> bool:
    """Return whether each order got a final answer."""

    async def unused(command: list[bytes]) -> bytes:
        return b""

    hosts = [await BreakingHost(world, f"s-{number}", unused).listen() for number in range(4)]
    discovery = await Discovery(world, hosts).listen()
    order = request_class("order", "once", deadline_ms=10_000)
    configuration = world.configuration(
        discovery, settings([request_class("reading", deadline_ms=3000), order], [plan("domestic")])
    )
    gateway = await Gateway(world, "gateway", configuration, world.folder / "tmp").start()
    await world.until_ready(gateway)
    lost: list[str] = []

    for client in range(CLIENTS):
        reader, writer = await world.connect(gateway)
        orders = [f"order{client}-{number}" for number in range(ORDERS)]
        commands = [call(f"long{client}", "reading", READING_D, customer=client)]
        commands += [
            call(name, "order", ORDER_D, body=b"x", customer=10 * client + number + 1)
            for number, name in enumerate(orders)
        ]
        writer.write(b"".join(commands))
        written = time.monotonic()
        world.note(f"client {client} sends a reading and {ORDERS} orders at once")
        received, is_ended = b"", False
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(ORDER_D / 1000 + LATEST):
                while received.count(b"$4\r\ndone\r\n") + received.count(b"\r\n-") < ORDERS:
                    data = await reader.read(1 << 20)
                    if not data:
                        is_ended = True
                        break
                    received += data
        await asyncio.sleep(max(0.0, written + 1.5 - time.monotonic()))
        answered = received.count(b"$4\r\ndone\r\n") + received.count(b"\r\n-")
        run = [name for host in hosts for _, name, _ in host.begun if name in orders]
        how = "the gateway ended the connection" if is_ended else "the connection is open"
        world.note(f"client {client}: {len(received)} bytes, {answered} of {ORDERS} orders answered, {how}")
        world.note(f"client {client}: hosts ran {', '.join(run) or 'no order'}")
        if answered < ORDERS:
            lost += orders[answered:]
        writer.close()
    if gateway.ended:
        raise CannotRun("the gateway has ended")
    world.note(f"{len(lost)} orders without a final answer")
    return not lost


main(__file__, scenario)
