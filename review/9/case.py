"""Clients read long answers slowly: does the gateway stay within its memory?"""

from __future__ import annotations

import asyncio
import signal
import socket
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
    request_class,
    settings,
)

MEMORY_MB, SOCKETS = 64, 1024  # within the terms: 32 to 192 MB, 256 to 1,024 descriptors
CLIENTS = 320  # with one request each; the terms allow them a third of the descriptors, 341
VALUE = bytes(4 * 1024 * 1024)
PIECE, PAUSE = 16 * 1024, 0.25  # a slow client reads this much at a time: 64 KiB a second
SPACING = 0.03  # seconds between two clients' requests
OBSERVED = 25.0  # seconds


async def scenario(world: World) -> bool:
    """Return whether the process lived on within its memory limit."""

    async def serve(command: list[bytes]) -> bytes:
        await asyncio.sleep(0.05)
        return VALUE

    hosts = [await Host(world, f"s-{number}", serve).listen() for number in range(8)]
    discovery = await Discovery(world, hosts).listen()
    configuration = world.configuration(
        discovery,
        settings([request_class("reading", deadline_ms=3000)], [plan("domestic")]),
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    )
    gateway = await Gateway(world, "gateway", configuration, world.folder / "tmp").start()
    await world.until_ready(gateway)
    ends: list[str] = []

    async def read(number: int) -> None:
        await asyncio.sleep(SPACING * number)
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
            sock.setblocking(False)
            try:
                host, port = configuration["listen"].split(":")
                await loop.sock_connect(sock, (host, int(port)))
                await loop.sock_sendall(sock, call(f"r{number}", "reading", 3000, customer=number))
                received, head = 0, b""
                while data := await loop.sock_recv(sock, PIECE if TROUBLE else 256 * 1024):
                    received += len(data)
                    head = (head + data)[:16]
                    if head[:1] == b"-" or received >= len(VALUE):
                        ends.append("served" if received >= len(VALUE) else head.decode().strip())
                        return
                    if TROUBLE:
                        await asyncio.sleep(PAUSE)
                ends.append(f"end of the stream after {received} bytes")
            except OSError as error:
                ends.append(f"{error!r}")

    clients = [asyncio.create_task(read(number)) for number in range(CLIENTS)]
    most, is_over = 0.0, False
    limit = time.monotonic() + OBSERVED
    while time.monotonic() < limit and not gateway.ended and not all(task.done() for task in clients):
        memory = gateway.memory_mb()
        if memory > most + 2:
            most = memory
            world.note(f"the gateway's process holds {memory:.1f} MB of {MEMORY_MB}")
        if memory > MEMORY_MB and not is_over:
            is_over = True
            world.note("over its memory limit: the platform kills the gateway")
            gateway.signal(signal.SIGKILL)
            await asyncio.sleep(1)
        await asyncio.sleep(0.05)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    for end in sorted(set(ends)):
        world.note(f"{ends.count(end)} clients: {end}")
    begun = sum(len(host.begun) for host in hosts)
    world.note(f"most memory {most:.1f} MB of {MEMORY_MB}, {begun} requests run by hosts")
    if begun < CLIENTS // 2 and not is_over:
        raise CannotRun("too few requests reached the hosts")
    return not (is_over or gateway.ended)


main(__file__, scenario)
