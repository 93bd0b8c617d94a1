"""A client of gateways: sends a control call to several of them at once, or a single client request."""

from __future__ import annotations

import asyncio
import secrets
import socket
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import hiredis

from lab import protocol
from ops.units import Address

from .configuration import ConfigurationError, read_file

MAX_ANSWER_BYTES = 131_072  # of a control call; fits a member table of 1,000 gateways
RESPONSE_MARGIN = 0.5  # seconds beyond the deadline, for the round trip

HostPort = tuple[str, int]


class InvalidCall(Exception):
    """The call's arguments are invalid; the message says what to change."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A gateway's answer to a control call; without one, ``reply`` is None and ``failure`` the reason."""

    name: str
    address: HostPort
    reply: str | None
    failure: str = ""

    @property
    def accepted(self) -> bool:
        """Whether the gateway carried out the call."""
        return self.reply is not None and self.reply.startswith("done")

    def fields(self) -> dict[str, Any]:
        """Return the fields of the JSON output."""
        reached = self.reply is not None
        return {
            "gateway": self.name,
            "address": "{}:{}".format(*self.address),
            "reached": reached,
            "done": self.accepted,
            "answer": self.reply if reached else self.failure,
        }

    def __str__(self) -> str:
        where = "{}:{}".format(*self.address)
        name = where if self.name == where else f"{self.name} {where}"
        return f"{name}\t{self.reply if self.reply is not None else 'not reached: ' + self.failure}"


def select_gateways(
    addresses: Sequence[HostPort], fleet: Path | None, only: Sequence[str]
) -> dict[str, HostPort]:
    """Return the names and addresses of the gateways to call; raises InvalidCall."""
    gateways = {"{}:{}".format(*address): address for address in addresses}
    if fleet is not None:
        listed = _read_fleet_file(fleet)
        if unknown := [name for name in only if name not in listed]:
            raise InvalidCall(f"{fleet}: no gateway {unknown[0]!r}, expected one of {', '.join(listed)}")
        gateways |= {name: address for name, address in listed.items() if not only or name in only}
    elif only:
        raise InvalidCall("--only requires --fleet")
    if not gateways:
        raise InvalidCall("no gateway is given: pass --at HOST:PORT or --fleet FILE")
    return gateways


def _read_fleet_file(file: Path) -> dict[str, HostPort]:
    try:
        values, _ = read_file(file)
    except ConfigurationError as error:
        raise InvalidCall(str(error)) from None
    table = values.get("gateways")
    if not isinstance(table, dict) or not table:
        raise InvalidCall(f'{file}: expected a table [gateways] with lines such as gw-0 = "127.0.0.1:7000"')
    addresses = {}
    for name, text in table.items():
        try:
            address = Address(str(text))
        except ValueError as error:
            raise InvalidCall(f"{file}: gateways.{name} = {text!r}: {error}") from None
        addresses[name] = (address.host, address.port)
    return addresses


def call_all(gateways: dict[str, HostPort], line: str, timeout: float) -> list[Answer]:
    """Make one control call to all gateways concurrently and return their answers in order."""
    return asyncio.run(call_each(gateways, line, timeout))


async def call_each(gateways: dict[str, HostPort], line: str, timeout: float) -> list[Answer]:
    """Do the same as ``call_all``, in a running event loop."""
    return await asyncio.gather(
        *(_call_one(name, address, line, timeout) for name, address in gateways.items())
    )


async def _call_one(name: str, address: HostPort, line: str, timeout: float) -> Answer:
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_ANSWER_BYTES)
            try:
                writer.write(line.encode() + b"\n")
                reply = (await reader.readline()).decode("utf-8", "replace").strip()
            finally:
                writer.close()
    except TimeoutError:
        return Answer(name, address, None, f"no answer within {timeout:g} s")
    except ValueError:
        return Answer(name, address, None, f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
    except OSError as error:
        return Answer(name, address, None, _connection_failure(error))
    return Answer(name, address, reply) if reply else Answer(name, address, None, "closed without an answer")


def _connection_failure(error: OSError) -> str:
    """Describe a failed connection, without asyncio's text that repeats the address."""
    while error.errno is None and isinstance(error.__context__, OSError):
        error = error.__context__
    text = error.strerror or str(error)
    return text.partition("Connect call failed")[0].strip().lower() or "no connection"


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one request; ``outcome`` is served, refused, failed, or nobody if no answer came."""

    outcome: str
    request_id: str
    seconds: float
    value: str

    def fields(self) -> dict[str, Any]:
        """Return the fields of the JSON output."""
        return {
            "outcome": self.outcome,
            "id": self.request_id,
            "took_ms": round(self.seconds * 1e3, 3),
            "value": self.value,
        }

    def __str__(self) -> str:
        return f"{self.outcome} in {self.seconds * 1e3:.1f} ms: {self.value}"


def request(
    address: HostPort,
    kind: str,
    plan: str,
    customer: int,
    units: float,
    deadline: float,
    first: int,
    spread: int,
    body: str | None,
    key: str | None,
    number: str | None,
) -> Result:
    """Send one request and wait for the answer; raises InvalidCall if the body file can't be read."""
    number = number or secrets.token_hex(8)
    command = protocol.request(
        kind,
        plan,
        customer,
        number,
        units=units,
        deadline_ms=int(deadline * 1000),
        first=first,
        spread=spread,
        key=key,
        body=None if body is None else _read_body(body),
    )
    started = time.monotonic()

    def result(outcome: str, value: str) -> Result:
        return Result(outcome, number, time.monotonic() - started, value)

    try:
        reply = _exchange(address, command, deadline + RESPONSE_MARGIN)
    except TimeoutError:
        return result("nobody", f"no answer within {deadline + RESPONSE_MARGIN:g} s")
    except OSError as error:
        return result("nobody", _connection_failure(error))
    except hiredis.ProtocolError as error:
        return result("failed", f"the answer is not valid RESP2: {error}")
    value = reply[0] if isinstance(reply, list) and reply else reply
    text = value.decode("utf-8", "backslashreplace") if isinstance(value, bytes) else str(value)
    return result(protocol.outcome(reply), text)


def _read_body(text: str) -> bytes:
    if not text.startswith("@"):
        return text.encode()
    try:
        return Path(text[1:]).read_bytes()
    except OSError as error:
        raise InvalidCall(f"{text[1:]}: {(error.strerror or str(error)).lower()}") from None


def _exchange(address: HostPort, command: bytes, timeout: float) -> object:
    expires = time.monotonic() + timeout
    reader = hiredis.Reader()
    with socket.create_connection(address, timeout=timeout) as connection:
        connection.sendall(command)
        while (reply := reader.gets()) is False:
            connection.settimeout(max(0.001, expires - time.monotonic()))
            data = connection.recv(65_536)
            if not data:
                raise ConnectionResetError(None, "closed without an answer")
            reader.feed(data)
    return reply
