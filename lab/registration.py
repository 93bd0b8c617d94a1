"""Registers a host with the list service, renews the lease every third of its length, and deregisters it."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
from dataclasses import dataclass, field
from typing import Any

INSTANCES_PATH = "/registry/instances"
RESPONSE_TIMEOUT = 2.0  # seconds


@dataclass(slots=True)
class Registration:
    """One host's entry in the list. Each write names the version that it replaces, see docs/registry.md."""

    service: tuple[str, int]
    name: str
    dial: str
    site: str = "all"
    block: int = 0
    share: float = 1.0
    lease_ms: int = 3_000
    version: int = 0
    born_ms: int = 0
    failures: list[str] = field(default_factory=list)  # failed calls, oldest first
    task: asyncio.Task[None] | None = None

    def _exchange(self, method: str, target: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        connection = http.client.HTTPConnection(*self.service, timeout=RESPONSE_TIMEOUT)
        try:
            connection.request(method, target, None if body is None else json.dumps(body))
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        finally:
            connection.close()

    async def _call(self, method: str, suffix: str = "", body: dict[str, Any] | None = None) -> int:
        """Call the service and adopt the entry's version from its response.

        Returns the HTTP status, 0 if there was no response.
        """
        target = f"{INSTANCES_PATH}/{self.name}{suffix}"
        try:
            status, response = await asyncio.to_thread(self._exchange, method, target, body)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.failures.append(f"{method} {target}: {error!r}")
            return 0
        self.version = response.get("version", self.version)
        if status >= 400:
            self.failures.append(f"{method} {target}: {status} {response.get('error', '')}")
        return status

    async def register(self) -> bool:
        """Write the entry; retry once, with the current version, if another write came first."""
        for _ in range(2):
            entry = {"dial": self.dial, "site": self.site, "class": "stand-in", "block": self.block}
            entry |= {"share": self.share, "lease_ms": self.lease_ms, "version": self.version}
            status = await self._call("PUT", body=entry)
            if status not in (404, 409):
                break
        return status == 200

    async def keep_registered(self) -> None:
        """Register and renew the lease until cancelled; register again if the list has lost the entry."""
        while True:
            status = await self._call("POST", "/renew", {"version": self.version}) if self.version else 404
            if status in (404, 409):
                await self.register()
            await asyncio.sleep(self.lease_ms / 3_000)

    def start(self) -> None:
        """Start keeping the host registered in the background."""
        self.task = asyncio.get_running_loop().create_task(self.keep_registered())

    async def drain(self) -> bool:
        """Mark the host as draining: gateways send it no new requests."""
        return await self._call("POST", "/drain", {"version": self.version}) == 200

    async def deregister(self) -> None:
        """Stop renewing, and remove the host from the list."""
        if self.task:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        await self._call("DELETE", f"?version={self.version}")
