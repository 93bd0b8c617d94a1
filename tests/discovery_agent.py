"""A discovery agent on loopback that follows the protocol, and can be slow, silent, unreachable or cut off.

``Agent.publish`` is the moment from which a change counts as notified.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from conftest import FakeClient, FakeHost, GatewayProcesses, until

from saffrongw.config import address

DRAIN_GRACE = 0.25  # seconds after the notification in which a host may still get new requests
TIME_SLACK = 0.05  # seconds by which each limit on sockets is longer
REQUEST_INTERVAL = 0.005  # seconds between the requests of the load


def response(body: bytes, status: bytes = b"200 OK") -> bytes:
    """Return an HTTP response."""
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


WHOLE_LIST = response(b'{"seq":1,"whole":true,"hosts":[]}')
FAULTS = {  # what is sent before the connection is closed; None: it is reset
    "reset": None,
    "closed": b"",
    "cut off": WHOLE_LIST[:-9],
    "malformed": response(b"[]"),
    "refused": response(b"", b"503 Busy"),
    "refused and kept": response(b"", b"503 Busy"),
}
KEPT_OPEN = ("refused and kept",)


@dataclass
class Agent:
    """The agent's state and its connections."""

    entries: dict[str, dict] = field(default_factory=dict)
    version: int = 1
    changed_in: dict[str, int] = field(default_factory=dict)  # version of each host's last change
    published_at: dict[str, float] = field(default_factory=dict)  # loop time of each host's last change
    whole_since: int = 0  # requests with an older version are answered with the whole list
    answer_delay: float = 0.0  # seconds before each answer
    next_answer_delay: float = 0.0  # seconds before the next answer alone
    silent: bool = False  # accepts connections and requests, and answers none
    faults: deque[str] = field(default_factory=deque)  # of FAULTS: one for each of the next requests
    faults_over: asyncio.Event = field(default_factory=asyncio.Event)  # set with the last one
    requests: list[str] = field(default_factory=list)
    server: asyncio.Server | None = None
    address: tuple[str, int] = ("127.0.0.1", 0)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def listen(self, *hosts: FakeHost) -> Agent:
        """Start to listen, with these hosts on the list; at a second call at the same address."""
        self.entries |= {host.name: host.list_entry() for host in hosts}
        self.server = await asyncio.start_server(self._serve, *self.address, reuse_port=True)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    @property
    def address_text(self) -> str:
        """Return the address as the configuration has it."""
        return "{}:{}".format(*self.address)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def publish(self, host: FakeHost, spoil: Callable[[dict], dict] | None = None, **changes) -> None:
        """Change a host's entry, spoilt if so wished: from now on gateways count as notified."""
        self.version += 1
        entry = host.list_entry(**changes)
        self.entries[host.name] = spoil(entry) if spoil else entry
        self.changed_in[host.name] = self.version
        self.published_at[host.name] = asyncio.get_running_loop().time()
        await self.wake()

    async def leave_out(self, host: FakeHost) -> None:
        """Take a host off the list: the next answers are whole lists that do not name it."""
        self.version += 1
        del self.entries[host.name]
        self.whole_since = self.version
        self.published_at[host.name] = asyncio.get_running_loop().time()
        await self.wake()

    async def wake(self) -> None:
        """Have waiting requests look at the state again."""
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split()[1].decode()
                self.requests.append(target)
                if self.faults:
                    if self._fail(self.faults.popleft(), writer):
                        continue
                    break
                writer.write(response(json.dumps(await self._answer(target)).encode()))
        self.writers.discard(writer)
        writer.close()

    def _fail(self, fault: str, writer: asyncio.StreamWriter) -> bool:
        """Answer one request with a fault; return whether the connection stays open."""
        data = FAULTS[fault]
        if not self.faults:
            self.faults_over.set()
        if data is None:
            writer.transport.abort()
            return False
        writer.write(data)
        return fault in KEPT_OPEN

    async def _answer(self, target: str) -> dict:
        since = re.search(r"index=(\d+)&wait=(\d+)", target)
        delay, self.next_answer_delay = self.answer_delay + self.next_answer_delay, 0.0
        await asyncio.sleep(delay)
        async with self.changed:
            if since:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(since[2]) / 1000):
                        await self.changed.wait_for(lambda: self.version > int(since[1]) and not self.silent)
            await self.changed.wait_for(lambda: not self.silent)
        whole = since is None or int(since[1]) < self.whole_since
        names = [n for n in self.entries if whole or self.changed_in.get(n, 0) > int(since[1])]
        return {"seq": self.version, "whole": whole, "hosts": [self.entries[name] for name in names]}


class TimedHost(FakeHost):
    """A host that records the loop time of each command."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.times: list[float] = []
        serve = self.script
        self.script = lambda command: (self.times.append(asyncio.get_running_loop().time()), serve(command))[
            1
        ]

    def commands_after(self, notified_at: float) -> list[float]:
        """Return the times, after the notification, of the commands that came too late for a drain."""
        latest = notified_at + DRAIN_GRACE + TIME_SLACK
        return [round(at - notified_at, 3) for at in self.times if at > latest]


class Load:
    """A client that sends a request every few milliseconds, and connects anew whenever it is refused."""

    def __init__(self, gateway: GatewayProcesses) -> None:
        self.address = address(gateway.configuration["listen"])
        self.sent = 0
        self.clients: list[FakeClient] = []
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        client = None
        while True:
            if client is None or client.closed:
                client = None
                with contextlib.suppress(OSError):
                    _, client = await loop.create_connection(FakeClient, *self.address)
                    self.clients.append(client)
            else:
                self.sent += 1
                client.send_request(request_id=b"id%d" % self.sent)
            await asyncio.sleep(REQUEST_INTERVAL)

    @property
    def served(self) -> int:
        """Return the number of requests that were served."""
        return sum(reply == b"ok" for client in self.clients for reply in client.replies)

    async def wait_for_served(self, count: int, timeout: float = 20.0) -> None:
        """Wait until that many more requests are served."""
        target = self.served + count
        await until(lambda: self.served >= target, timeout)

    async def __aenter__(self) -> Load:
        return self

    async def __aexit__(self, *error: object) -> None:
        self.task.cancel()
