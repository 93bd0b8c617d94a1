"""Finding other gateways by the list service: one call leaves our address there and tells others'."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable

import h11

from ops import logs

from .config import Address, address
from .places import AddressBook

log = logs.get(__name__)

PATH = "/registry/gateways"
LEASE_TIME = 30.0  # seconds that the list service keeps an address for
RENEW_INTERVAL, SEARCH_INTERVAL = LEASE_TIME / 3, 1.0  # seconds between two calls; while nobody is known
RESPONSE_TIMEOUT = 2.0  # seconds for an answer
RESPONSE_BYTES_MAX = 1024 * 1024  # bytes of one: several thousand gateways


class RendezvousClient:
    """Calls for as long as the gateway speaks to others; a service that is away is told of once."""

    def __init__(self, service: Address, cluster: str, places: AddressBook, clock: Callable[[], int]) -> None:
        self.service, self.cluster, self.places, self.clock = service, cluster, places, clock
        self.task: asyncio.Task[None] | None = None
        self.reached: bool | None = None  # None: not tried yet

    def start(self) -> None:
        """Call from now on."""
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """No more calls: the address is forgotten when its lease is over."""
        if self.task:
            self.task.cancel()
            self.task = None

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT):
                    told = await self._call()
                for row in told:
                    self.places.add_candidate(
                        self.clock(), int(row["rank"]), int(row["life"]), address(row["dial"])
                    )
                if self.reached is not True:
                    log.info("meeting_reached", address=self.service)
                self.reached = True
            except (OSError, ValueError, KeyError, TypeError, AttributeError, h11.ProtocolError) as wrong:
                if self.reached is not False:  # once, until it is there again
                    log.warning("meeting_failed", address=self.service, error=str(wrong) or "no answer")
                self.reached = False
            span = RENEW_INTERVAL if self.places.peers else SEARCH_INTERVAL
            await asyncio.sleep(span * random.uniform(0.5, 1.0))

    async def _call(self) -> list[dict[str, str]]:
        """One call; raises ValueError with what the service said against it."""
        places = self.places
        host, port = places.own_address
        body = json.dumps(
            {
                "rank": places.rank,
                "life": places.life,
                "dial": f"{host}:{port}",
                "lease_ms": int(1000 * LEASE_TIME),
            }
        ).encode()
        reader, writer = await asyncio.open_connection(*self.service)
        try:
            http = h11.Connection(h11.CLIENT)
            head = [
                ("host", "{}:{}".format(*self.service)),
                ("content-type", "application/json"),
                ("content-length", str(len(body))),
                ("connection", "close"),
            ]
            request = h11.Request(method="POST", target=f"{PATH}/{self.cluster}", headers=head)
            writer.write(http.send(request) + http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage()))
            status, came = 0, b""
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(RESPONSE_BYTES_MAX))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    came += event.data
                else:
                    raise ValueError("closed within its answer")
                if len(came) > RESPONSE_BYTES_MAX:
                    raise ValueError("an answer too long")
        finally:
            with contextlib.suppress(OSError):
                writer.close()
        said = json.loads(came)
        if status != 200:
            raise ValueError(f"{status}: {said.get('error', '')}")
        return list(said["gateways"])
