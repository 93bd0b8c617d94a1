"""What a primary, a follower and an agent have in common: one ledger, its readers, operators, an end."""

from __future__ import annotations

import asyncio
import json
import resource
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from ops import logs
from ops.http import Exchange, Refused, Request, Server

from .follow import Address, UpstreamWatch
from .ledger import Ledger
from .reading import INSTANCES_PATH, WatchEndpoint
from .store import Store

if TYPE_CHECKING:
    from ops.metrics import Page

log = logs.get(__name__)

GATEWAYS_PATH = ["registry", "gateways"]
MAX_OPERATOR_CONNECTIONS = 16  # connections at the address for operators
SHUTDOWN_TIMEOUT = 2.0  # seconds


def to_json(raw: Any) -> bytes:
    """JSON in one line."""
    return json.dumps(raw, separators=(",", ":")).encode()


class Service:
    """What all three have: the ledger, readers, operators, an orderly end."""

    role = ""

    def __init__(self, connections: int) -> None:
        self.ledger = Ledger()
        self.upstream: UpstreamWatch | None = None
        self.counts: Counter[str] = Counter()
        self.watch_endpoint = WatchEndpoint(self.ledger, self.age, self.unavailable_reason)
        self.reader_server = Server(self.handle, connections)
        self.operator_server = Server(self.handle_operator, MAX_OPERATOR_CONNECTIONS)
        self.tasks: list[asyncio.Task] = []
        self.metrics_page: Page | None = None  # where metrics are on
        self.stop = asyncio.Event()
        self.failed = False  # it ends for a reason of its own

    def enable_metrics(self) -> None:
        """Answer GET /metrics at the operators' address from now on."""
        from .metrics import page  # heavy: only where it is wanted

        self.metrics_page = page(self)

    def age(self) -> float | None:
        """Seconds since what is held was known to hold; None where nobody was heard yet."""
        return self.upstream.age() if self.upstream else 0.0

    def unavailable_reason(self) -> str | None:
        """Why readers can't be answered now."""
        return None if self.ledger.seq else "no list yet"

    def handle(self, exchange: Exchange, request: Request) -> None:
        """A reader's call, or a writer's."""
        if request.path == INSTANCES_PATH:
            if request.method != "GET":
                raise Refused(405, "only GET is known here", {"Allow": "GET"})
            self.watch_endpoint.handle(exchange, request)
        elif request.path[:2] == INSTANCES_PATH and 3 <= len(request.path) <= 4:
            self.handle_host(exchange, request, *request.path[2:])
        elif request.path[:2] == GATEWAYS_PATH and len(request.path) == 3:
            if request.method != "POST":
                raise Refused(405, "only POST is known here", {"Allow": "POST"})
            request.terms()
            self.handle_gateway(exchange, request, request.path[2])
        else:
            raise Refused(404, "no such path: see /registry/instances, /registry/gateways")

    def handle_host(self, exchange: Exchange, request: Request, host: str, verb: str = "") -> None:
        """A call about one host; only a primary takes them."""
        first = ":".join(map(str, self.upstream.services[0]))
        raise Refused(421, f"writes go to the primary, {first}", primary=first)

    def handle_gateway(self, exchange: Exchange, request: Request, cluster: str) -> None:
        """A gateway leaves its address; only a primary takes them, so that all meet at one."""
        first = ":".join(map(str, self.upstream.services[0]))
        raise Refused(421, f"gateways meet at the primary, {first}", primary=first)

    def handle_operator(self, exchange: Exchange, request: Request) -> None:
        """An operator's call."""
        request.terms()
        call = (request.method, *request.path)
        if call == ("GET", "health"):
            if why := self.health_problem():
                raise Refused(503, why)
            exchange.answer(b'{"ok":true}')
        elif call == ("GET", "figures"):
            exchange.answer(to_json(self.figures()))
        elif call == ("GET", "metrics") and self.metrics_page:
            self.metrics_page.tell(exchange)
        else:
            raise Refused(
                404,
                "no such call: GET /health, GET /figures, with --metrics GET /metrics, "
                "at a primary GET or POST /hold",
            )

    def health_problem(self) -> str | None:
        """What an operator should know at once."""
        return self.unavailable_reason()

    def figures(self) -> dict[str, Any]:
        """Gauges, and counts since the start."""
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
            "connections": len(self.reader_server.exchanges),
            "bytes_out": self.reader_server.bytes_out,
            "cpu_s": round(used.ru_utime + used.ru_stime, 3),
            "rss_kb_most": used.ru_maxrss,
            "calls": dict(self.reader_server.counts),
            "counts": dict(self.counts + (self.upstream.counts if self.upstream else Counter())),
        }

    async def run(self, listen: Address, operators: Address) -> int:
        """Serve until told to stop; the exit status."""
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
        self.reader_server.ending = True
        await self.finish_writes()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.watch_endpoint.notify(self.ledger.seq)
        await self.reader_server.end(SHUTDOWN_TIMEOUT)
        await self.operator_server.end(0.0)
        await self.on_stop()
        log.info("ended", role=self.role, life=self.ledger.life, seq=self.ledger.seq)
        return 1 if self.failed else 0

    def position(self) -> tuple[int, int]:
        """Where the list stands."""
        return self.ledger.life, self.ledger.seq

    def spawn(self, work: Any) -> None:
        """Something that goes on until the end; if it breaks, all ends."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._on_task_done)
        self.tasks.append(task)

    def _on_task_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and (error := task.exception()):
            log.error("broken", error=error)
            self.failed = True
            self.stop.set()

    async def on_start(self) -> None:
        """Before the first reader."""

    async def finish_writes(self) -> None:
        """What was asked for before the end is done."""

    async def on_stop(self) -> None:
        """After the last reader."""


class StoredService(Service):
    """A service with a store, which blocks and so has a thread of its own."""

    def __init__(self, store: Store, connections: int) -> None:
        super().__init__(connections)
        self.store = store
        self.disk = ThreadPoolExecutor(1)
        self.write_failed = False  # the last write found no room on disk

    def health_problem(self) -> str | None:
        """A full disk wants a person."""
        return "writes fail: no room on disk" if self.write_failed else super().health_problem()

    async def commit(self, *args: Any, **more: Any) -> None:
        """Store.write, to its end whatever happens to the caller."""
        loop = asyncio.get_running_loop()
        await asyncio.shield(loop.run_in_executor(self.disk, lambda: self.store.write(*args, **more)))

    async def on_stop(self) -> None:
        """Nothing is half written."""
        self.disk.shutdown()
        self.store.close()
