"""Client of the list service's rendezvous: announces our address and receives those of the other gateways."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable

import h11

from ops import logs

from .address_book import AddressBook
from .config import Address, address

log = logs.get_logger(__name__)

PATH = "/registry/gateways"
LEASE_TIME = 30.0  # seconds
RENEW_INTERVAL, SEARCH_INTERVAL = LEASE_TIME / 3, 1.0  # seconds; the latter while no peer is known
RESPONSE_TIMEOUT = 2.0  # seconds
RESPONSE_BYTES_MAX = 1024 * 1024  # enough for several thousand gateways
EVENTS_PER_ITERATION = 256  # HTTP events parsed in one iteration of the event loop


class RendezvousClient:
    """Renews the announcement while the gateway owns the peer socket.

    Failures of the service are logged once per outage.
    """

    def __init__(
        self, service: Address, cluster: str, address_book: AddressBook, clock: Callable[[], int]
    ) -> None:
        self.service, self.cluster, self.address_book, self.clock = service, cluster, address_book, clock
        self.task: asyncio.Task[None] | None = None
        self.last_call_succeeded: bool | None = None  # None: no call has ended yet

    def start(self) -> None:
        """Start announcing."""
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop announcing; the service drops the address when its lease expires."""
        if self.task:
            self.task.cancel()
            self.task = None

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT):
                    rows = await self._announce()
                for row in rows:
                    self.address_book.add_candidate(
                        self.clock(), int(row["rank"]), int(row["life"]), address(row["dial"])
                    )
                if self.last_call_succeeded is not True:
                    log.info("meeting_reached", address=self.service)
                self.last_call_succeeded = True
            except (OSError, ValueError, KeyError, TypeError, AttributeError, h11.ProtocolError) as error:
                if self.last_call_succeeded is not False:  # logged once per outage
                    log.warning("meeting_failed", address=self.service, error=str(error) or "timed out")
                self.last_call_succeeded = False
            interval = RENEW_INTERVAL if self.address_book.peers else SEARCH_INTERVAL
            await asyncio.sleep(interval * random.uniform(0.5, 1.0))

    async def _announce(self) -> list[dict[str, str]]:
        """Announce our address and return the other gateways.

        Raise ValueError with the error that the service returned, or if the response is malformed.
        """
        address_book = self.address_book
        host, port = address_book.own_address
        body = json.dumps(
            {
                "rank": address_book.rank,
                "life": address_book.life,
                "dial": f"{host}:{port}",
                "lease_ms": int(1000 * LEASE_TIME),
            }
        ).encode()
        status, received = await self._post(body)
        response = json.loads(received)
        if status != 200:
            raise ValueError(f"{status}: {response.get('error', '')}")
        return list(response["gateways"])

    async def _post(self, body: bytes) -> tuple[int, bytes]:
        """POST a request on a new connection; return status and body of the response."""
        reader, writer = await asyncio.open_connection(*self.service)
        try:
            http = h11.Connection(h11.CLIENT)
            headers = [
                ("host", "{}:{}".format(*self.service)),
                ("content-type", "application/json"),
                ("content-length", str(len(body))),
                ("connection", "close"),
            ]
            request = h11.Request(method="POST", target=f"{PATH}/{self.cluster}", headers=headers)
            writer.write(http.send(request) + http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage()))
            status, received, events = 0, bytearray(), 0
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                events += 1
                if events % EVENTS_PER_ITERATION == 0:
                    await asyncio.sleep(0)  # a chunk may have a single byte: the event loop runs in between
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(RESPONSE_BYTES_MAX))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    received += event.data
                else:
                    raise ValueError("connection closed before the end of the response")
                if len(received) > RESPONSE_BYTES_MAX:
                    raise ValueError(f"response longer than {RESPONSE_BYTES_MAX} bytes")
        finally:
            with contextlib.suppress(OSError):
                writer.close()
        return status, bytes(received)
