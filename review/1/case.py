"""One peer sends 60 MB that are no proper requests, while clients call as usual."""

from __future__ import annotations

import asyncio
import time

from standins import TROUBLE, Bench, Client, customer, new_id, pack, terms

OPTIONS = {"hosts": 8, "gateways": 2, "memory_mb": 128, "sockets": 1024}

PEERS = 4  # bad peers, which send 60 MB together
PEER_BYTES = 15_000_000
JUNK = b"*1024\r\n" + b"$0\r\n\r\n" * 1024  # an array of 1,024 empty strings: no command of the protocol
PEER_STAY = 25.0  # seconds after which a bad peer goes away

CLIENTS = 5
TIME_LEFT_MS = 1500  # half of the class's give-up time: a try is given up after 50 to 100% of it
LIMIT = TIME_LEFT_MS / 1000 + 0.5 + 0.05  # half a second after its time; every time limit is 50 ms longer
QUIET, LOUD = 3.0, 30.0  # seconds without the bad peers, and with them


async def bad_peer(bench: Bench, number: int) -> None:
    """Send the junk at once, read what comes back, and go."""
    peer = await Client(bench, bench.gateways[0]).connect()
    began, sent, received = time.monotonic(), 0, 0

    async def read() -> None:
        nonlocal received
        while data := await peer.reader.read(65536):
            if not received:
                bench.note(f"bad peer {number} got {data[:60]!r} after {time.monotonic() - began:.3f} s")
            received += len(data)

    reading = asyncio.create_task(read())
    try:
        async with asyncio.timeout(PEER_STAY):
            while sent < PEER_BYTES:
                peer.send(JUNK)
                sent += len(JUNK)
                await peer.writer.drain()
            await reading
    except (TimeoutError, OSError):
        pass
    reading.cancel()
    peer.close()
    bench.note(f"bad peer {number} goes: {sent} bytes sent, {received} received")


async def case(bench: Bench) -> bool:
    """Return whether each request of the sound clients got its final answer in time."""
    over, late, most, asked, own_lag = False, 0, 0.0, 0, 0.0

    async def watch_own_lag() -> None:
        """Measure how long this process itself holds up its clients, which is taken off their times."""
        nonlocal own_lag
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.02)
            own_lag = max(own_lag, time.monotonic() - began - 0.02)

    async def sound_client(number: int) -> None:
        nonlocal late, most, asked
        client = await Client(bench, bench.gateways[0]).connect()
        for turn in range(100_000):
            if over:
                break
            request = new_id()
            command = pack(
                b"CALL.GET",
                customer(1000 * number + turn % 1000),
                request.encode(),
                terms("reading", "commercial", TIME_LEFT_MS),
            )
            asked += 1
            began = time.monotonic()
            client.send(command)
            bench.note(f"client {number} sends reading {request}, {TIME_LEFT_MS} ms")
            answer = await client.answer()
            took = time.monotonic() - began
            most = max(most, took)
            is_late = took - own_lag > LIMIT
            late += is_late
            bench.note(
                f"client {number} got {answer!r} for {request} after {took:.3f} s"
                + (" TOO LATE: counts as lost" if is_late else "")
            )
            await asyncio.sleep(0.2)
        client.close()

    lag_watch = asyncio.create_task(watch_own_lag())
    clients = [asyncio.create_task(sound_client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(QUIET)
    if TROUBLE:
        await asyncio.gather(*(bad_peer(bench, number) for number in range(PEERS)))
    else:
        await asyncio.sleep(LOUD / 3)
    await asyncio.sleep(QUIET)
    over = True
    await asyncio.gather(*clients)
    lag_watch.cancel()
    bench.note(f"this process held its clients up by {own_lag:.3f} s at most")
    bench.note(f"{asked} requests asked, {late} answered later than {LIMIT:.2f} s, the longest {most:.3f} s")
    return late == 0
