"""Channel between a process and its successor in an upgrade: JSON messages over a Unix socket."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from orchidlane import handover

from .config import Config

VERSION = 1  # of the messages between the two processes
MESSAGE_BYTES_MAX = 2 * 1024 * 1024  # fits a request with the largest body, or one batch of accounts
MESSAGES_PER_ITERATION = 64  # received before the event loop runs, however many have arrived
CONNECT_TIMEOUT = 1.0  # seconds for the first message: a hung process is not waited for
FREEZE_TIMEOUT = 1.5  # seconds for which all decisions may be suspended
CONTROL_COMMAND_TIMEOUT = 0.5  # seconds for the other process to execute an operator's command

ExecuteCommand = Callable[[bytes], Awaitable[str]]  # executes an operator's command and returns its answer

# Raised by the channel and by malformed messages.
CHANNEL_ERRORS = (
    OSError,
    EOFError,
    asyncio.LimitOverrunError,
    RecursionError,
    *handover.INVALID_STATE_ERRORS,
)


def handover_socket_path(config: Config) -> Path | None:
    """Return the path of the handover socket for the configured address; None if TMPDIR is not set."""
    directory = os.environ.get("TMPDIR")
    return Path(directory) / "saffrongw-{}-{}.sock".format(*config.listen) if directory else None


def short_path(socket_path: Path, directory: int) -> str:
    """Return the path through its directory's descriptor: a Unix socket path is limited to 107 bytes."""
    return f"/proc/self/fd/{directory}/{socket_path.name}"


class Channel:
    """Messages between the two processes: JSON objects, one per line, told apart by their keys.

    From the successor:

        version, listen          greeting; answered by a NUL byte that carries the listening sockets
        take                     request for the state
        serving                  confirmation that it has taken over
        answer, reply            answer to a relayed request

    From the predecessor:

        drain_ordered_s          with the state: seconds since an operator ordered a drain, or null
        state, hosts, clock      the state, followed by rows (accounts), began (open attempts),
                                 executed and end
        executed                 ids of requests that may have been executed and must not be begun again
        arrived, terms, parts    a relayed request
        gone                     the client of a relayed request has gone
        began                    an attempt has started
        ended                    an attempt's outcome
        peer, body               a datagram of another gateway
        sockets, memory          numbers of its remaining connections with clients and hosts, resident bytes

    From either:

        call, line               an operator's command to execute
        said, text               the answer to one
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.received = 0  # messages

    @classmethod
    async def from_socket(cls, sock: socket.socket) -> Channel:
        """Open a channel over a connected socket."""
        sock.setblocking(False)
        return cls(*await asyncio.open_unix_connection(sock=sock, limit=MESSAGE_BYTES_MAX))

    def send(self, **message: Any) -> None:
        """Write one message."""
        if not self.writer.is_closing():
            self.writer.write(json.dumps(message).encode() + b"\n")

    async def receive(self) -> dict[str, Any]:
        """Return the next message; raise one of CHANNEL_ERRORS. Safe to cancel: no data is lost.

        One that has arrived is returned at once, so the event loop runs in between now and then.
        """
        self.received += 1
        if self.received % MESSAGES_PER_ITERATION == 0:
            await asyncio.sleep(0)
        message = json.loads(await self.reader.readuntil(b"\n"), parse_constant=_reject_constant)
        if not isinstance(message, dict):
            raise ValueError("message is not a JSON object")
        return message


def _reject_constant(text: str) -> None:
    raise ValueError(f"non-finite number in message: {text}")


async def forward_command(
    channel: Channel, pending_commands: dict[int, asyncio.Future[str]], line: bytes
) -> str:
    """Have the other process execute an operator's command; return its answer, or an error on timeout."""
    number = max(pending_commands, default=0) + 1
    pending_commands[number] = asyncio.get_running_loop().create_future()
    channel.send(call=number, line=line.decode("latin-1"))
    try:
        async with asyncio.timeout(CONTROL_COMMAND_TIMEOUT):
            return await pending_commands[number]
    except TimeoutError:
        return "error the other process does not answer"
    finally:
        pending_commands.pop(number, None)
