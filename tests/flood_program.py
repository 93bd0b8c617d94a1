"""Program of the tests of floods: sends without a pause what others than clients may send to a gateway.

Called with a kind, the addresses that it needs and the seconds for which it goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import sys
import time

LIST_HOSTS = 3_000
LIST_BYTES = 4_000_000


def send_datagrams(target: tuple[str, int], source: tuple[str, int], ends: float) -> None:
    """Send datagrams of all sizes from a peer's address and from an unknown one."""
    peer, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    peer.bind(source)
    number = 0
    while time.monotonic() < ends:
        number += 1
        body = bytes((number % 5, number % 3)) + number.to_bytes(4) * (number % 64)
        for sock in (peer, stranger):
            sock.sendto(body, target)


def call_operators(target: tuple[str, int], ends: float) -> None:
    """Open connections to the operators' address, and send lines without an end and more than one call."""
    calls = (b"x" * 200_000, b"HEALTH\n" * 30_000, b"OFFLINE " + b"h" * 400 + b"\n" + b"y" * 100_000)
    number, open_sockets = 0, []
    while time.monotonic() < ends:
        number += 1
        sock = socket.create_connection(target)
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.send(calls[number % len(calls)])
        open_sockets.append(sock)
        if len(open_sockets) > 20:
            open_sockets.pop(0).close()


async def serve_lists(address: tuple[str, int], entry: str, seconds: float) -> None:
    """Answer each request for the list of hosts at once with a new one of the largest size."""
    first = json.loads(entry)
    others = [first | {"host": f"s-{number:08x}", "health": "DRAINING"} for number in range(LIST_HOSTS)]
    hosts = json.dumps([first, *others])
    padding = " " * (LIST_BYTES - len(hosts))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        version = 10
        while await reader.readuntil(b"\r\n\r\n"):
            version += 1
            body = f'{{"seq":{version},"whole":true,{padding}"hosts":{hosts}}}'.encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()

    await asyncio.start_server(serve, *address)
    print("flooding", flush=True)
    await asyncio.sleep(seconds)


def address_of(text: str) -> tuple[str, int]:
    host, port = text.rsplit(":", 1)
    return host, int(port)


def main(kind: str, *arguments: str) -> None:
    seconds = float(arguments[-1])
    ends = time.monotonic() + seconds
    if kind == "lists":
        asyncio.run(serve_lists(address_of(arguments[0]), arguments[1], seconds))
        return
    print("flooding", flush=True)
    if kind == "datagrams":
        send_datagrams(address_of(arguments[0]), address_of(arguments[1]), ends)
    else:
        call_operators(address_of(arguments[0]), ends)


if __name__ == "__main__":
    main(*sys.argv[1:])
