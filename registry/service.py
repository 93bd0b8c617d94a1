"""The common base of primary, follower and agent: ledger, HTTP endpoints, background tasks, shutdown."""

from __future__ import annotations

import asyncio
import json
import resource
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from ops import logs
from ops.http import Connection, HTTPError, Request, Server

from .ledger import Ledger
from .store import Store
from .upstream import Address, UpstreamWatch
from .watch_endpoint import INSTANCES_PATH, WatchEndpoint

if TYPE_CHECKING:
    from ops.metrics import MetricsPage

log = logs.get_logger(__name__)

GATEWAYS_PATH = ["registry", "gateways"]
MAX_OPERATOR_CONNECTIONS = 16
SHUTDOWN_TIMEOUT = 2.0  # seconds


def to_json(raw: Any) -> bytes:
    """Encode as compact JSON."""
    return json.dumps(raw, separators=(",", ":")).encode()


class Service:
    """Base class of the three roles."""

    role = ""

    def __init__(self, connections: int) -> None:
        self.ledger = Ledger()
        self.upstream: UpstreamWatch | None = None
        self.counts: Counter[str] = Counter()
        self.watch_endpoint = WatchEndpoint(self.ledger, self.age, self.unavailable_reason)
        self.reader_server = Server(self.handle, connections)
        self.operator_server = Server(self.handle_operator, MAX_OPERATOR_CONNECTIONS)
        self.tasks: list[asyncio.Task] = []
        self.metrics_page: MetricsPage | None = None  # set if metrics are enabled
        self.stop = asyncio.Event()
        self.failed = False  # a background task has failed

    def enable_metrics(self) -> None:
        """Serve GET /metrics at the operators' address."""
        from .metrics import page  # imported on demand, since prometheus-client is large

        self.metrics_page = page(self)

    def age(self) -> float | None:
        """Return the seconds since the list was last confirmed current, or None if it never was."""
        return self.upstream.age() if self.upstream else 0.0

    def unavailable_reason(self) -> str | None:
        """Return why readers can't be answered now, or None if they can."""
        return None if self.ledger.seq else "no list yet"

    def handle(self, connection: Connection, request: Request) -> None:
        """Route a request of a reader, a host or a gateway."""
        if request.path == INSTANCES_PATH:
            if request.method != "GET":
                raise HTTPError(405, "only GET is allowed here", {"Allow": "GET"})
            self.watch_endpoint.handle(connection, request)
        elif request.path[:2] == INSTANCES_PATH and 3 <= len(request.path) <= 4:
            self.handle_host(connection, request, *request.path[2:])
        elif request.path[:2] == GATEWAYS_PATH and len(request.path) == 3:
            if request.method != "POST":
                raise HTTPError(405, "only POST is allowed here", {"Allow": "POST"})
            request.check_parameters()
            self.handle_gateway(connection, request, request.path[2])
        else:
            raise HTTPError(404, "no such path: see /registry/instances, /registry/gateways")

    def handle_host(self, connection: Connection, request: Request, host: str, verb: str = "") -> None:
        """Handle a request about one host; only a primary accepts these."""
        primary = ":".join(map(str, self.upstream.services[0]))
        raise HTTPError(421, f"writes go to the primary, {primary}", primary=primary)

    def handle_gateway(self, connection: Connection, request: Request, cluster: str) -> None:
        """Handle a gateway's announcement; only a primary accepts these, so that all share one table."""
        primary = ":".join(map(str, self.upstream.services[0]))
        raise HTTPError(421, f"announcements go to the primary, {primary}", primary=primary)

    def handle_operator(self, connection: Connection, request: Request) -> None:
        """Handle an operator's request."""
        request.check_parameters()
        call = (request.method, *request.path)
        if call == ("GET", "health"):
            if reason := self.health_problem():
                raise HTTPError(503, reason)
            connection.respond(b'{"ok":true}')
        elif call == ("GET", "figures"):
            connection.respond(to_json(self.figures()))
        elif call == ("GET", "metrics") and self.metrics_page:
            self.metrics_page.respond(connection)
        else:
            raise HTTPError(
                404,
                "no such call: available are GET /health, GET /figures, GET /metrics (with --metrics), "
                "GET and POST /hold (at a primary)",
            )

    def health_problem(self) -> str | None:
        """Return why GET /health fails, or None if the service is healthy."""
        return self.unavailable_reason()

    def figures(self) -> dict[str, Any]:
        """Return gauges, and counters since the start."""
        ledger, age = self.ledger, self.age()
        used = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "role": self.role,
            "life": ledger.life,
            "seq": ledger.seq,
            "age_s": None if age is None else round(age, 3),
            "hosts": dict(ledger.count_by_health()),
            "changes_kept": len(ledger.seqs),
            "answers_made": ledger.bodies_built,
            "watches": len(self.watch_endpoint.watches),
            "connections": len(self.reader_server.connections),
            "bytes_out": self.reader_server.bytes_out,
            "cpu_s": round(used.ru_utime + used.ru_stime, 3),
            "rss_kb_most": used.ru_maxrss,
            "calls": dict(self.reader_server.counts),
            "counts": dict(self.counts + (self.upstream.counts if self.upstream else Counter())),
        }

    async def run(self, listen: Address, operators: Address) -> int:
        """Serve until ``stop`` is set; returns the exit status."""
        await self.operator_server.listen(operators)
        await self.on_start()
        await self.reader_server.listen(listen)
        log.info(
            "serving",
            role=self.role,
            hosts=len(self.ledger.records),
            life=self.ledger.life,
            seq=self.ledger.seq,
        )
        await self.stop.wait()
        self.reader_server.shutting_down = True
        await self.finish_writes()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.watch_endpoint.notify(self.ledger.seq)
        await self.reader_server.shut_down(SHUTDOWN_TIMEOUT)
        await self.operator_server.shut_down(0.0)
        await self.on_stop()
        log.info("ended", role=self.role, life=self.ledger.life, seq=self.ledger.seq)
        return 1 if self.failed else 0

    def position(self) -> tuple[int, int]:
        """Return the life and sequence number of the list."""
        return self.ledger.life, self.ledger.seq

    def spawn(self, work: Any) -> None:
        """Run a background task until shutdown; if it fails, the service stops."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._on_task_done)
        self.tasks.append(task)

    def _on_task_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and (error := task.exception()):
            log.error("broken", error=error)
            self.failed = True
            self.stop.set()

    async def on_start(self) -> None:
        """Load the list and start the tasks of this role, before the first reader is accepted."""

    async def finish_writes(self) -> None:
        """Finish the queued writes on shutdown."""

    async def on_stop(self) -> None:
        """Release the resources of this role, after the last connection is closed."""


class StoredService(Service):
    """A service with a store, whose blocking calls run in a worker thread."""

    def __init__(self, store: Store, connections: int) -> None:
        super().__init__(connections)
        self.store = store
        self.disk = ThreadPoolExecutor(1)
        self.write_failed = False  # the last write failed, for lack of disk space or a lock

    def health_problem(self) -> str | None:
        """Report failing writes, which need an operator."""
        return (
            "writes fail: the disk is full or the store is locked"
            if self.write_failed
            else super().health_problem()
        )

    async def commit(self, *args: Any, **more: Any) -> None:
        """Run Store.write to completion, even if the caller is cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.shield(loop.run_in_executor(self.disk, lambda: self.store.write(*args, **more)))

    async def on_stop(self) -> None:
        """Wait for the last write and close the store."""
        self.disk.shutdown()
        self.store.close()
