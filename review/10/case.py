"""An operator drains the gateway in an upgrade: does it say no from then on?"""

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
    free_port,
    main,
    plan,
    read_reply,
    request_class,
    settings,
)

CLIENTS = 4
LATEST = 4.0 + 0.05  # seconds after LEAVE, from when a yes breaks the rule
OBSERVED = 6.0  # seconds after LEAVE


async def scenario(world: World) -> bool:
    """Return whether the address says no once the drain has had its four seconds."""

    async def serve(command: list[bytes]) -> bytes:
        await asyncio.sleep(0.02)
        return b"ok"

    hosts = [await Host(world, f"s-{number}", serve).listen() for number in range(4)]
    discovery = await Discovery(world, hosts).listen()
    configuration = world.configuration(
        discovery, settings([request_class("reading", deadline_ms=3000)], [plan("domestic")])
    )
    old = await Gateway(world, "old process", configuration, world.folder / "tmp").start()
    await world.until_ready(old)
    front_says_yes = asyncio.Event()
    front_says_yes.set()

    async def client(number: int) -> None:
        """Send requests one by one while the front admits the gateway."""
        count = 0
        while True:
            await front_says_yes.wait()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await world.connect(old)
                while front_says_yes.is_set():
                    count += 1
                    writer.write(call(f"c{number}-{count}", "reading", 3000, customer=number))
                    await read_reply(reader)
                    await asyncio.sleep(0.1)
                writer.close()
            await asyncio.sleep(0.02)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1)
    successor = configuration | {"control": f"127.0.0.1:{free_port()}"}
    new = None
    if TROUBLE:
        new = await Gateway(world, "new process", successor, world.folder / "tmp").start()
    answer = await old.operator("LEAVE")
    left_at = time.monotonic()
    if not answer.startswith("done"):
        raise CannotRun(f"LEAVE was answered {answer!r}")
    late: list[float] = []
    said_before, ends_at = "", 0.0
    while (now := time.monotonic()) < left_at + OBSERVED:
        says = "nothing"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await world.connect(old)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                meaning, text = await read_reply(reader)
                says = "yes" if meaning == "ready" else f"no ({text.decode()})"
                writer.close()
        if says != said_before:
            world.note(f"the front's PING, {now - left_at:.2f} s after LEAVE: {says}")
            said_before = says
        if says == "yes":
            front_says_yes.set()
            if now > left_at + LATEST:
                late.append(now - left_at)
            if new and not ends_at and not new.ended and now > left_at + 0.5:
                ends_at = now
                old.signal(signal.SIGTERM)  # as the platform does once the new process says yes
        else:
            front_says_yes.clear()
        await asyncio.sleep(0.1)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    begun = sum(at > left_at + LATEST for host in hosts for at, _, _ in host.begun)
    world.note(f"{len(late)} times yes later than {LATEST} s after LEAVE; hosts began {begun} requests then")
    if new and new.ended:
        raise CannotRun("the new process has ended")
    return not late


main(__file__, scenario)
