"""The list service's processes on loopback, and callers that speak plain HTTP to them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys

from conftest import free_address

PATH = "/registry/instances"


class Response(dict):
    """A JSON answer with its status and headers."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        super().__init__(json.loads(body) if body else {})
        self.status, self.headers, self.size = status, headers, len(body)


class Connection:
    """One kept connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, where: str) -> Connection:
        host, _, port = where.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, method: str, target: str, body: bytes | dict | None = None) -> None:
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        length = f"Content-Length: {len(body)}\r\n" if body is not None else ""
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n{length}\r\n".encode() + (body or b""))

    async def read_response(self, bodiless=False) -> Response:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in head[1:] if line)}
        body = b"" if bodiless else await self.reader.readexactly(int(headers["content-length"]))
        return Response(int(head[0].split()[1]), headers, body)

    async def call(self, method: str, target: str, body: bytes | dict | None = None) -> Response:
        self.send(method, target, body)
        return await self.read_response(method == "HEAD")

    def close(self) -> None:
        self.writer.transport.abort()


async def call(where: str, method: str, target: str, body: bytes | dict | None = None) -> Response:
    """One call on a connection of its own."""
    connection = await Connection.open(where)
    try:
        return await asyncio.wait_for(connection.call(method, target, body), 10)
    finally:
        connection.close()


def registration(number: int = 1, **changes) -> dict:
    """What a host registers with."""
    line = {"dial": f"127.0.0.1:{6000 + number}", "site": "hall-a", "class": "m", "block": 1, "share": 1.0}
    return line | {"lease_ms": 60_000, "version": 0} | changes


async def change_state(connection: Connection, name: str, state: str, version: int) -> Response:
    """A host's word that leads to this state."""
    if state == "SERVING":
        return await connection.call("PUT", f"{PATH}/{name}", registration(version=version))
    if state == "DRAINING":
        return await connection.call("POST", f"{PATH}/{name}/drain", {"version": version})
    return await connection.call("DELETE", f"{PATH}/{name}?version={version}")


class Registry:
    """Processes of ``python -m registry``, each ended with the test."""

    def __init__(self, folder) -> None:
        self.folder, self.processes = folder, []

    async def __aenter__(self) -> Registry:
        return self

    async def __aexit__(self, *error) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def run(self, *words: str, env=None) -> asyncio.subprocess.Process:
        command = (sys.executable, "-m", "registry", *map(str, words))
        process = await asyncio.create_subprocess_exec(
            *command, stderr=asyncio.subprocess.PIPE, env=os.environ | (env or {})
        )
        self.processes.append(process)
        return process

    async def failed_start(self, *words: str) -> str:
        """A start that must fail; its one line."""
        process = await self.run(*words)
        said = (await asyncio.wait_for(process.communicate(), 10))[1].decode()
        assert process.returncode == 1
        lines = [line for line in said.splitlines() if line.startswith("registry: ")]
        assert len(lines) == 1 and "Traceback" not in said
        return lines[0]

    def service(self, name="a", **changes) -> Node:
        return Node(self, name, **changes)


class Node:
    """A primary, a follower or an agent with addresses and a file of its own, that may be started again."""

    def __init__(self, registry: Registry, name: str, **options) -> None:
        self.registry, self.name, self.options = registry, name, {"settle": 0} | options
        self.listen, self.operators = free_address(), free_address()
        self.store = registry.folder / f"{name}.db"
        self.process: asyncio.subprocess.Process | None = None
        self.log = bytearray()

    def arguments(self, *flags: str) -> list[str]:
        words = ["serve", "--listen", self.listen, "--operators", self.operators, "--store", self.store]
        for option, value in self.options.items():
            words += [f"--{option.replace('_', '-')}", value]
        return [*words, *flags]

    async def start(self, *flags: str, ready=True) -> Node:
        self.process = await self.registry.run(*self.arguments(*flags))
        self.log_reader = asyncio.create_task(self._read(self.process.stderr))
        while ready and not await self.is_up():
            assert self.process.returncode is None, self.log.decode()
            await asyncio.sleep(0.02)
        return self

    async def _read(self, stream) -> None:
        while line := await stream.read(65_536):
            self.log += line

    async def is_up(self) -> bool:
        try:
            return (await call(self.listen, "GET", "/")).status == 404
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def kill(self) -> None:
        self.process.kill()
        await self.process.wait()

    async def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), 10)

    async def list(self, query="") -> Response:
        return await call(self.listen, "GET", PATH + query)

    async def put(self, name: str, body: dict | None = None, **changes) -> Response:
        return await call(self.listen, "PUT", f"{PATH}/{name}", body or registration(**changes))

    async def post(self, name: str, verb: str, version: int) -> Response:
        return await call(self.listen, "POST", f"{PATH}/{name}/{verb}", {"version": version})

    async def remove(self, name: str, version: int) -> Response:
        return await call(self.listen, "DELETE", f"{PATH}/{name}?version={version}")

    async def figures(self) -> Response:
        return await call(self.operators, "GET", "/figures")

    async def wait_for_list(self, condition, within=10.0) -> Response:
        """Ask for the whole list until it is as it should be."""
        async with asyncio.timeout(within):
            while True:
                try:
                    answer = await self.list()
                    if answer.status == 200 and condition(answer):
                        return answer
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.02)


class AgentNode(Node):
    """An agent."""

    def arguments(self, *flags: str) -> list[str]:
        words = ["agent", "--listen", self.listen, "--operators", self.operators]
        for option, value in self.options.items():
            if option != "settle":
                words += [f"--{option.replace('_', '-')}", value]
        return [*words, *flags]


def host_names(answer: Response) -> set[str]:
    """Hosts that an answer names."""
    return {line["host"] for line in answer["hosts"]}


def address_of(server: asyncio.Server) -> str:
    """Where a server of the test's own listens."""
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])
