"""An upgrade while discovery is down, and a host taken out by hand: does it get anything more?"""

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
    free_port,
    main,
    plan,
    read_reply,
    request_class,
    settings,
)

CLIENTS = 8  # with a kept connection and one request at a time each
PAUSE = 0.05  # seconds between an answer and the client's next request
GRACE = 0.25 + 0.05  # seconds: drainGrace, and what each limit on sockets is longer
OUTAGE = 5.0  # seconds
BANNED = "s-1"


async def scenario(world: World) -> bool:
    """Return whether the banned host got nothing new after the grace."""

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
    stopped = asyncio.Event()
    answers: list[str] = []

    async def client(number: int) -> None:
        count, writer = 0, None
        while not stopped.is_set():
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if writer is None:
                    reader, writer = await world.connect(old)
                count += 1
                writer.write(call(f"c{number}-{count}", "reading", 3000, customer=number))
                answers.append((await read_reply(reader))[0])
                await asyncio.sleep(PAUSE)
                continue
            writer = None

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1)
    if TROUBLE:
        await discovery.set_silent(True)
    # The upgrade: the same addresses and folder, and a new second address.
    successor = configuration | {"control": f"127.0.0.1:{free_port()}"}
    new = await Gateway(world, "new process", successor, world.folder / "tmp").start()
    said_at = 0.0
    while not said_at:
        try:
            if (await new.operator(f"OFFLINE {BANNED}")).startswith("done"):
                said_at = time.monotonic()
        except OSError:
            await asyncio.sleep(0.01)
        if new.ended:
            raise CannotRun("the new process has ended")
    await asyncio.sleep(OUTAGE)
    if TROUBLE:
        await discovery.set_silent(False)
    await asyncio.sleep(1)
    stopped.set()
    await asyncio.gather(*clients, return_exceptions=True)
    banned = next(host for host in hosts if host.name == BANNED)
    late = [at - said_at for at, _, _ in banned.begun if at > said_at + GRACE]
    world.note(f"{answers.count('served')} of {len(answers)} requests served")
    world.note(f"{BANNED} began {len(late)} requests later than {GRACE:.2f} s after 'done out'")
    if late:
        world.note(f"the first {min(late):.3f} s and the last {max(late):.3f} s after it")
    if not banned.begun:
        raise CannotRun("the host was not in use before")
    return not late


main(__file__, scenario)
