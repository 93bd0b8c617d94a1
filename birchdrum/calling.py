"""Calls by hand: an operator's to several gateways at once, and one request as a client."""

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

MAX_ANSWER_BYTES = 131_072  # bytes of an operator's answer: a table of 1,000 members
RESPONSE_MARGIN = 0.5  # seconds for the way there and back

HostPort = tuple[str, int]


class InvalidCall(Exception):
    """A call that can't be made as it was asked for; the text says what to change."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What one gateway said; None: it was not reached, ``why`` tells how."""

    name: str
    at: HostPort
    said: str | None
    why: str = ""

    @property
    def done(self) -> bool:
        """Whether it said yes."""
        return self.said is not None and self.said.startswith("done")

    def fields(self) -> dict[str, Any]:
        """For machines."""
        reached = self.said is not None
        return {
            "gateway": self.name,
            "address": "{}:{}".format(*self.at),
            "reached": reached,
            "done": self.done,
            "answer": self.said if reached else self.why,
        }

    def __str__(self) -> str:
        where = "{}:{}".format(*self.at)
        name = where if self.name == where else f"{self.name} {where}"
        return f"{name}\t{self.said if self.said is not None else 'not reached: ' + self.why}"


def select_gateways(at: Sequence[HostPort], fleet: Path | None, only: Sequence[str]) -> dict[str, HostPort]:
    """Names and addresses that a call goes to; raises Nobody."""
    named = {"{}:{}".format(*address): address for address in at}
    if fleet is not None:
        listed = _fleet(fleet)
        if unknown := [name for name in only if name not in listed]:
            raise InvalidCall(f"{fleet}: no gateway {unknown[0]!r}, there are {', '.join(listed)}")
        named |= {name: address for name, address in listed.items() if not only or name in only}
    elif only:
        raise InvalidCall("--only goes with --fleet")
    if not named:
        raise InvalidCall("no gateway is named: give --at HOST:PORT or --fleet FILE")
    return named


def _fleet(file: Path) -> dict[str, HostPort]:
    try:
        values, _ = read_file(file)
    except ConfigurationError as wrong:
        raise InvalidCall(str(wrong)) from None
    table = values.get("gateways")
    if not isinstance(table, dict) or not table:
        raise InvalidCall(f'{file}: expected a table [gateways] with lines such as gw-0 = "127.0.0.1:7000"')
    done = {}
    for name, text in table.items():
        try:
            address = Address(str(text))
        except ValueError as wrong:
            raise InvalidCall(f"{file}: gateways.{name} = {text!r}: {wrong}") from None
        done[name] = (address.host, address.port)
    return done


def call_all(named: dict[str, HostPort], line: str, within: float) -> list[Answer]:
    """Make one operator's call at each of them at once; their answers in order."""
    return asyncio.run(call_each(named, line, within))


async def call_each(named: dict[str, HostPort], line: str, within: float) -> list[Answer]:
    """The same within a running loop."""
    return await asyncio.gather(*(_one(name, at, line, within) for name, at in named.items()))


async def _one(name: str, at: HostPort, line: str, within: float) -> Answer:
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(*at, limit=MAX_ANSWER_BYTES)
            try:
                writer.write(line.encode() + b"\n")
                said = (await reader.readline()).decode("utf-8", "replace").strip()
            finally:
                writer.close()
    except TimeoutError:
        return Answer(name, at, None, f"no answer within {within:g} s")
    except ValueError:
        return Answer(name, at, None, f"an answer of more than {MAX_ANSWER_BYTES} bytes")
    except OSError as wrong:
        return Answer(name, at, None, _reason(wrong))
    return Answer(name, at, said) if said else Answer(name, at, None, "closed without an answer")


def _reason(wrong: OSError) -> str:
    while wrong.errno is None and isinstance(wrong.__context__, OSError):
        wrong = wrong.__context__
    text = wrong.strerror or str(wrong)
    return text.partition("Connect call failed")[0].strip().lower() or "no connection"


@dataclass(frozen=True, slots=True)
class Result:
    """How one request went; ``outcome`` is served, refused, failed or nobody."""

    outcome: str
    number: str
    took: float  # seconds
    value: str

    def fields(self) -> dict[str, Any]:
        """For machines."""
        return {
            "outcome": self.outcome,
            "id": self.number,
            "took_ms": round(self.took * 1e3, 3),
            "value": self.value,
        }

    def __str__(self) -> str:
        return f"{self.outcome} in {self.took * 1e3:.1f} ms: {self.value}"


def request(
    at: HostPort,
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
    """Send one request and wait for its answer; raises Nobody where it can't be worded."""
    number = number or secrets.token_hex(8)
    words = protocol.request(
        kind,
        plan,
        customer,
        number,
        units=units,
        wait_ms=int(deadline * 1000),
        first=first,
        spread=spread,
        key=key,
        body=None if body is None else _body(body),
    )
    began = time.monotonic()

    def result(outcome: str, value: str) -> Result:
        return Result(outcome, number, time.monotonic() - began, value)

    try:
        reply = _ask(at, words, deadline + RESPONSE_MARGIN)
    except TimeoutError:
        return result("nobody", f"no answer within {deadline + RESPONSE_MARGIN:g} s")
    except OSError as wrong:
        return result("nobody", _reason(wrong))
    except hiredis.ProtocolError as wrong:
        return result("failed", f"no RESP2 answer: {wrong}")
    value = reply[0] if isinstance(reply, list) and reply else reply
    text = value.decode("utf-8", "backslashreplace") if isinstance(value, bytes) else str(value)
    return result(protocol.outcome(reply), text)


def _body(text: str) -> bytes:
    if not text.startswith("@"):
        return text.encode()
    try:
        return Path(text[1:]).read_bytes()
    except OSError as wrong:
        raise InvalidCall(f"{text[1:]}: {(wrong.strerror or str(wrong)).lower()}") from None


def _ask(at: HostPort, command: bytes, within: float) -> object:
    ends = time.monotonic() + within
    reader = hiredis.Reader()
    with socket.create_connection(at, timeout=within) as link:
        link.sendall(command)
        while (reply := reader.gets()) is False:
            link.settimeout(max(0.001, ends - time.monotonic()))
            data = link.recv(65_536)
            if not data:
                raise ConnectionResetError(None, "closed without an answer")
            reader.feed(data)
    return reply
