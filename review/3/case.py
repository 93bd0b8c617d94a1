"""Clients read values of 4 MiB slowly, but without a pause."""

from __future__ import annotations

import asyncio
import socket
import time

from standins import TROUBLE, Bench, Host, Request, customer, new_id, pack, terms

OPTIONS = {"hosts": 8, "gateways": 2, "memory_mb": 128, "sockets": 1024}

VALUE_BYTES = 4 * 1024 * 1024  # the largest that appears
SLOW = 100_000  # bytes a second, all the time
CLIENT_BUFFER_BYTES = 64 * 1024
READ_EVERY = 0.05  # seconds
PATIENCE = 95.0


async def serve(request: Request, _writer: asyncio.StreamWriter) -> bytes:
    """Answer at once with the whole value."""
    await asyncio.sleep(0.05)
    return Host.reply((request.id.encode() + b" ").ljust(VALUE_BYTES, b"v"))


async def client(bench: Bench, number: int, values: int) -> bool:
    """Ask for values, read them steadily, and return whether they came whole."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
    sock.setblocking(False)
    await loop.sock_connect(sock, bench.gateways[0].listen)
    expected = b""
    for _ in range(values):
        request = new_id()
        await loop.sock_sendall(
            sock,
            pack(
                b"CALL.GET",
                customer(10 * number + values),
                request.encode(),
                terms("reading", "commercial", 3000),
            ),
        )
        bench.note(f"client {number} sends reading {request}")
        value = (request.encode() + b" ").ljust(VALUE_BYTES, b"v")
        expected += b"$%d\r\n%b\r\n" % (len(value), value)

    received, began, last_read, end = bytearray(), time.monotonic(), time.monotonic(), "it is whole"
    longest_wait, portion = 0.0, int(SLOW * READ_EVERY) if TROUBLE else 1 << 20
    first_at = 0.0
    while len(received) < len(expected):
        try:
            async with asyncio.timeout(15):
                data = await loop.sock_recv(sock, portion)
        except TimeoutError:
            end = "nothing more came for 15 s"
            break
        except OSError as error:
            end = f"the connection broke: {error!r}"
            break
        if not data:
            end = "the gateway ended the connection"
            break
        now = time.monotonic()
        if not first_at:
            first_at = now
            bench.note(f"client {number} got the first bytes after {now - began:.3f} s: {data[:30]!r}")
        longest_wait, last_read = max(longest_wait, now - last_read), now
        received += data
        if now - began > PATIENCE:
            end = "the case's time is over; what came until now is as it should be"
            break
        if TROUBLE:
            await asyncio.sleep(READ_EVERY)
    sock.close()
    is_right = expected.startswith(bytes(received))
    is_cut = len(received) < len(expected) and "time is over" not in end
    bench.note(
        f"client {number} read {len(received)} of {len(expected)} bytes in {time.monotonic() - began:.1f} s,"
        f" never without reading for more than {longest_wait:.2f} s: {end}"
        + (" CUT OFF: counts as lost" if is_cut else "")
    )
    return is_right and not is_cut


async def case(bench: Bench) -> bool:
    """Return whether each value whose first bytes came was passed on whole."""
    for host in bench.hosts:
        host.serve = serve
    whole = await asyncio.gather(client(bench, 1, 1), client(bench, 2, 1), client(bench, 3, 2))
    return all(whole)
