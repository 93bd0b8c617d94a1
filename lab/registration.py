"""A host's word with the list service: it registers, renews at a third of its lease, and takes itself off."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
from dataclasses import dataclass, field
from typing import Any

PATH = "/registry/instances"
WITHIN = 2.0  # seconds for an answer


@dataclass(slots=True)
class Registration:
    """One host on the list. Each word names the version that it replaces, as docs/registry.md says."""

    service: tuple[str, int]
    name: str
    dial: str
    site: str = "all"
    block: int = 0
    share: float = 1.0
    lease_ms: int = 3_000
    version: int = 0
    born_ms: int = 0
    failures: list[str] = field(default_factory=list)  # what went wrong, in order
    task: asyncio.Task[None] | None = None

    def _call(self, method: str, target: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        link = http.client.HTTPConnection(*self.service, timeout=WITHIN)
        try:
            link.request(method, target, None if body is None else json.dumps(body))
            answer = link.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        finally:
            link.close()

    async def _ask(self, method: str, verb: str = "", body: dict[str, Any] | None = None) -> int:
        """One call; its status, 0 where nobody answered. Takes over the version that holds then."""
        target = f"{PATH}/{self.name}{verb}"
        try:
            status, told = await asyncio.to_thread(self._call, method, target, body)
        except (OSError, http.client.HTTPException, ValueError) as wrong:
            self.failures.append(f"{method} {target}: {wrong!r}")
            return 0
        self.version = told.get("version", self.version)
        if status >= 400:
            self.failures.append(f"{method} {target}: {status} {told.get('error', '')}")
        return status

    async def register(self) -> bool:
        """Be on the list; a version that another word replaced meanwhile is taken over once."""
        for _ in range(2):
            entry = {"dial": self.dial, "site": self.site, "class": "stand-in", "block": self.block}
            entry |= {"share": self.share, "lease_ms": self.lease_ms, "version": self.version}
            status = await self._ask("PUT", body=entry)
            if status not in (404, 409):
                break
        return status == 200

    async def keep(self) -> None:
        """Register and renew until cancelled; a list that forgot the host gets it anew."""
        while True:
            known = await self._ask("POST", "/renew", {"version": self.version}) if self.version else 404
            if known in (404, 409):
                await self.register()
            await asyncio.sleep(self.lease_ms / 3_000)

    def start(self) -> None:
        """Keep it on the list from now on."""
        self.task = asyncio.get_running_loop().create_task(self.keep())

    async def drain(self) -> bool:
        """Say that nothing new shall come."""
        return await self._ask("POST", "/drain", {"version": self.version}) == 200

    async def deregister(self) -> None:
        """Off the list, and renewed no more."""
        if self.task:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        await self._ask("DELETE", f"?version={self.version}")
