"""Processes of the list service on loopback addresses, and HTTP requests to them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys

from conftest import free_address

PATH = "/registry/instances"


class Response(dict):
    """A JSON response with its status and headers."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        super().__init__(json.loads(body) if body else {})
        self.status, self.headers, self.size = status, headers, len(body)


class Connection:
    """A persistent HTTP connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, method: str, target: str, body: bytes | dict | None = None) -> None:
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        length = f"Content-Length: {len(body)}\r\n" if body is not None else ""
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n{length}\r\n".encode() + (body or b""))

    async def read_response(self, bodiless=False) -> Response:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {
            name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)
        }
        body = b"" if bodiless else await self.reader.readexactly(int(headers["content-length"]))
        return Response(int(head[0].split()[1]), headers, body)

    async def call(self, method: str, target: str, body: bytes | dict | None = None) -> Response:
        self.send(method, target, body)
        return await self.read_response(method == "HEAD")

    def close(self) -> None:
        self.writer.transport.abort()


async def call(address: str, method: str, target: str, body: bytes | dict | None = None) -> Response:
    """Send one request on a new connection and return the response."""
    connection = await Connection.open(address)
    try:
        return await asyncio.wait_for(connection.call(method, target, body), 10)
    finally:
        connection.close()


def registration(number: int = 1, **changes) -> dict:
    """Return the body of a host's registration."""
    body = {"dial": f"127.0.0.1:{6000 + number}", "site": "hall-a", "class": "m", "block": 1, "share": 1.0}
    return body | {"lease_ms": 60_000, "version": 0} | changes


async def change_state(connection: Connection, name: str, state: str, version: int) -> Response:
    """Send the request that puts a host in this state."""
    if state == "SERVING":
        return await connection.call("PUT", f"{PATH}/{name}", registration(version=version))
    if state == "DRAINING":
        return await connection.call("POST", f"{PATH}/{name}/drain", {"version": version})
    return await connection.call("DELETE", f"{PATH}/{name}?version={version}")


class Registry:
    """Runs processes of ``python -m registry`` and kills them at the end of the test."""

    def __init__(self, folder) -> None:
        self.folder, self.processes = folder, []

    async def __aenter__(self) -> Registry:
        return self

    async def __aexit__(self, *error) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def run(self, *arguments: str, env=None) -> asyncio.subprocess.Process:
        command = (sys.executable, "-m", "registry", *map(str, arguments))
        process = await asyncio.create_subprocess_exec(
            *command, stderr=asyncio.subprocess.PIPE, env=os.environ | (env or {})
        )
        self.processes.append(process)
        return process

    async def failed_start(self, *arguments: str) -> str:
        """Start a process that must fail and return its one-line error."""
        process = await self.run(*arguments)
        output = (await asyncio.wait_for(process.communicate(), 10))[1].decode()
        assert process.returncode == 1
        lines = [line for line in output.splitlines() if line.startswith("registry: ")]
        assert len(lines) == 1 and "Traceback" not in output
        return lines[0]

    def node(self, name="a", **changes) -> Node:
        return Node(self, name, **changes)


class Node:
    """A primary or follower with its own addresses and store, which can be restarted."""

    def __init__(self, registry: Registry, name: str, **options) -> None:
        self.registry, self.name, self.options = registry, name, {"settle": 0} | options
        self.listen, self.operators = free_address(), free_address()
        self.store = registry.folder / f"{name}.db"
        self.process: asyncio.subprocess.Process | None = None
        self.log = bytearray()

    def arguments(self, *flags: str) -> list[str]:
        arguments = ["serve", "--listen", self.listen, "--operators", self.operators, "--store", self.store]
        for option, value in self.options.items():
            arguments += [f"--{option.replace('_', '-')}", value]
        return [*arguments, *flags]

    async def start(self, *flags: str, ready=True) -> Node:
        self.process = await self.registry.run(*self.arguments(*flags))
        self.log_reader = asyncio.create_task(self._read(self.process.stderr))
        while ready and not await self.is_up():
            assert self.process.returncode is None, self.log.decode()
            await asyncio.sleep(0.02)
        return self

    async def _read(self, stream) -> None:
        while data := await stream.read(65_536):
            self.log += data

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

    async def wait_for_list(self, condition, timeout=10.0) -> Response:
        """Request the full list until it meets the condition."""
        async with asyncio.timeout(timeout):
            while True:
                try:
                    response = await self.list()
                    if response.status == 200 and condition(response):
                        return response
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.02)


class AgentNode(Node):
    """A registry agent, which has no store."""

    def arguments(self, *flags: str) -> list[str]:
        arguments = ["agent", "--listen", self.listen, "--operators", self.operators]
        for option, value in self.options.items():
            if option != "settle":
                arguments += [f"--{option.replace('_', '-')}", value]
        return [*arguments, *flags]


def host_names(response: Response) -> set[str]:
    """Return the names of the hosts in a response."""
    return {entry["host"] for entry in response["hosts"]}


def address_of(server: asyncio.Server) -> str:
    """Return the address that a server listens on."""
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])
