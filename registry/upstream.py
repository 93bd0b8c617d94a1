"""Watches one of several registry services, on behalf of followers and agents."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import h11

from ops import logs

from .entries import Invalid, ListUpdate, parse_digits, parse_update
from .ledger import Ledger

log = logs.get_logger(__name__)

INSTANCES_TARGET = "/registry/instances"
LIFE_HEADER = "Registry-Life"  # epoch of the list; sequence numbers are compared within the same life
POLL_WAIT = 3.0  # seconds of a long poll; until it ends, a hung service looks like an idle one
ANSWER_TIMEOUT = 2.0  # seconds on top of the long poll
CONNECT_TIMEOUT = 1.0  # seconds
# Seconds for which a stored list is held back at a start: a gateway that starts with it waits for 4 s.
FIRST_ROUND_TIMEOUT = 2.0
MIN_BACKOFF, MAX_BACKOFF = 0.1, 5.0  # seconds, doubled each time all services have failed
MAX_BODY_BYTES = 16 * 1024 * 1024

Address = tuple[str, int]


@dataclass(slots=True)
class Response:
    """One HTTP response of a service."""

    status: int
    headers: dict[str, str]
    body: bytes
    reusable: bool  # the connection can be kept alive


class Connection:
    """One HTTP connection to a service."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str) -> None:
        self.reader, self.writer, self.host = reader, writer, host
        self.http = h11.Connection(h11.CLIENT)

    async def call(self, target: str) -> Response:
        """Send a GET request and read the complete response."""
        request = h11.Request(method="GET", target=target, headers=[("Host", self.host)])
        self.writer.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))
        head, body = None, bytearray()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(65_536))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise Invalid("the response body is too long")
            elif isinstance(event, h11.EndOfMessage):
                reusable = self.http.their_state is h11.DONE and self.http.our_state is h11.DONE
                if reusable:
                    self.http.start_next_cycle()
                headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
                return Response(head.status_code, headers, bytes(body), reusable)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed before the response was complete")


class UpstreamWatch:
    """Keeps a ledger up to date from whichever of the services answers.

    on_update: called with each newer update; returns once the ledger contains it.
    """

    def __init__(
        self,
        services: list[Address],
        ledger: Ledger,
        on_update: Callable[[ListUpdate], Awaitable[None]],
        random_fraction: Callable[[], float] = random.random,
        wait: float = POLL_WAIT,
        answer_timeout: float = ANSWER_TIMEOUT,
    ) -> None:
        self.services = services
        self.ledger = ledger
        self.on_update = on_update
        self.random_fraction = random_fraction
        self.wait = wait
        self.answer_timeout = answer_timeout
        self.current = 0  # index of the service in use
        self.failures = 0  # consecutive
        self.last_errors: dict[Address, str] = {}  # why each service was last abandoned
        self.counts: Counter[str] = Counter()
        self.needs_full_list = False  # the last update did not apply to the current list
        self.confirmed_at: float | None = None  # loop time at which a service last confirmed the list
        self.confirmed_age = 0.0  # seconds: the age that the service itself reported then
        self.first_round_over = asyncio.Event()  # a service has answered, or each has been tried in vain

    def age(self) -> float | None:
        """Return the seconds since the list was last confirmed current, or None if it never was."""
        if self.confirmed_at is None:
            return None
        return asyncio.get_running_loop().time() - self.confirmed_at + self.confirmed_age

    def restore_age(self, file: Path) -> None:
        """Set the list's age from the modification time of the file that it was loaded from."""
        self.confirmed_at = asyncio.get_running_loop().time()
        self.confirmed_age = max(0.0, time.time() - file.stat().st_mtime)

    async def wait_for_first_round(self) -> None:
        """Wait until a stored list is known to be current, or no service could be reached."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_ROUND_TIMEOUT):
                await self.first_round_over.wait()

    async def run(self) -> None:
        """Watch until cancelled, moving to the next service when one fails or has an older list."""
        while True:
            address = self.services[self.current]
            try:
                await self._watch(address)
            except (OSError, TimeoutError, Invalid, h11.ProtocolError) as error:
                self.counts["failures"] += 1
                reason = str(error) or type(error).__name__
                if self.last_errors.get(address) != reason:  # log each failure once until it changes or ends
                    log.warning("source_left", address=address, error=reason)
                self.last_errors[address] = reason
            self.current = (self.current + 1) % len(self.services)
            backoff = min(MAX_BACKOFF, MIN_BACKOFF * 2 ** min(self.failures // len(self.services), 16))
            self.failures += 1
            if self.failures >= len(self.services):
                self.first_round_over.set()
            await asyncio.sleep(backoff * (1 + self.random_fraction()) / 2)

    async def _watch(self, address: Address) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address)
        try:
            connection = Connection(reader, writer, f"{address[0]}:{address[1]}")
            first = True
            while True:
                response = await self._request_update(connection, 0.0 if first else self.wait)
                if not await self._apply_response(response):
                    return
                if first:
                    log.info("source_followed", address=address, seq=self.ledger.seq)
                    self.last_errors.pop(address, None)
                first, self.failures = False, 0
                if not response.reusable:
                    return
        finally:
            writer.transport.abort()

    async def _request_update(self, connection: Connection, wait: float) -> Response:
        """Request an update. The first call of a connection does not wait, to detect a hung service early."""
        target = INSTANCES_TARGET
        if self.ledger.seq and not self.needs_full_list:
            target += f"?index={self.ledger.seq}&wait={int(wait * 1000)}"
        async with asyncio.timeout(wait + self.answer_timeout):
            return await connection.call(target)

    async def _apply_response(self, response: Response) -> bool:
        """Apply the update in a response, and record how old the service says that its list is.

        Returns False if the service has an older list than the ledger; the caller then tries the next one.
        """
        if response.status != 200:
            raise Invalid(f"answered {response.status}")
        update = parse_update(
            response.body, parse_digits(response.headers.get(LIFE_HEADER.lower(), ""), LIFE_HEADER)
        )
        current = (self.ledger.life, self.ledger.seq)
        if (update.life, update.seq) < current:
            self.counts["older"] += 1
            log.warning(
                "older_news_passed_by",
                life=update.life,
                seq=update.seq,
                held_life=current[0],
                held_seq=current[1],
            )
            return False
        if not update.whole and update.seq < self.ledger.seq:  # the changes belong to a newer life
            self.needs_full_list = True
            raise Invalid("received changes do not apply to the current list")
        if (update.life, update.seq) > current:
            await self.on_update(update)
            self.counts["taken"] += 1
        self.needs_full_list = False
        self.confirmed_at = asyncio.get_running_loop().time()
        self.first_round_over.set()
        age = response.headers.get("age", "0")
        self.confirmed_age = float(age) if age.isdigit() else 0.0
        return True
