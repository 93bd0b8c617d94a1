"""One gateway process: starts its parts in order, reloads the configuration, and shuts down."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import gc
import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from ops import logs
from orchidlane.wire import WireError

from . import allocator, listeners, upgrade
from .clients import Clients
from .config import Config
from .control import Control
from .discovery import Watch, first_request_spread, retry_interval_max
from .driver import Driver
from .handover_channel import handover_socket_path
from .handover_server import HandoverServer
from .hosts import Hosts
from .memory import MemoryBudget, MemoryMonitor, accounts_max, executed_ids_max
from .peers import Peers
from .request_log import LEVEL as REQUEST_LOG_LEVEL
from .request_log import RequestLog
from .stats import resident_bytes
from .waiting import wait_for_any

if TYPE_CHECKING:
    from .members import Members
    from .metrics import Metrics

SHUTDOWN_ACCEPT_TIME = 0.5  # seconds after SIGTERM in which new connections are still served
RESERVED_DESCRIPTORS = 48  # for all but clients and hosts: event loop, watch, peers, logs, operators
UPGRADE_DESCRIPTORS = 24  # reserved in addition while a predecessor finishes: both share one limit
FIRST_LIST_TIMEOUT = 4.0  # seconds to wait for discovery's first answer; a restart has to be ready in 10 s
CLIENT_DESCRIPTOR_SHARE = 1 / 3  # of all descriptors: the limit for client connections

# Raised while an unusable configuration is read or parsed.
CONFIG_ERRORS = (OSError, KeyError, ValueError, TypeError, AttributeError, WireError)
PER_START_FIELDS = ("seed", "known")  # differ with every start: not reported as changes
RELOADABLE = ("discovery", "log_form", "log_level")  # applied on SIGHUP; all others need a restart
log = logs.get_logger(__name__)


def changed_fields(old: Config, new: Config) -> list[str]:
    """Return the names of the fields that differ; those of the settings with the prefix ``settings.``."""

    def differing(a: object, b: object) -> list[str]:
        fields = [field.name for field in dataclasses.fields(a)]
        return [name for name in fields if getattr(a, name) != getattr(b, name)]

    names = [name for name in differing(old, new) if name not in (*PER_START_FIELDS, "settings")]
    return names + [f"settings.{name}" for name in differing(old.settings, new.settings)]


class Process:
    """Runs until SIGTERM or SIGINT, or until a successor has taken over and all requests are finished."""

    def __init__(self, config: Config, read: Callable[[], Config]) -> None:
        """``read`` returns the current configuration, or raises one of CONFIG_ERRORS."""
        self.config, self.read = config, read
        self.loop = asyncio.get_running_loop()
        self.stop = asyncio.Event()
        self.max_client_connections = int(CLIENT_DESCRIPTOR_SHARE * config.sockets)
        self.max_host_connections = max(
            1, config.sockets - RESERVED_DESCRIPTORS - self.max_client_connections
        )
        self.budget = MemoryBudget(config.memory)
        self.memory_monitor = MemoryMonitor(self.budget, resident_bytes, allocator.find_trim())
        self.driver = Driver(config.settings, config.seed, self.loop)
        self.driver.hosts = Hosts(
            self.driver,
            config.settings.report_names,
            self.max_host_connections,
            config.idle_close,
            config.connect_timeout,
            self.budget,
        )
        self.clients = Clients(
            self.driver, config, self.max_client_connections, self.budget, self.memory_monitor
        )
        self.control = Control(self.driver, self.clients)
        self.peers: Peers | None = None
        self.metrics: Metrics | None = None
        self.watch: Watch | None = None
        self.members: Members | None = None
        self.bind_tasks: list[asyncio.Task[None]] = []  # retry addresses still in use
        self._set_request_log()

    async def run(self) -> None:
        """Start, serve until stopped, and shut down; raise StartupError if the gateway cannot start."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop.set)
        socket_path = handover_socket_path(self.config)
        predecessor = upgrade.connect_to_predecessor(socket_path, self.config)
        try:
            self.driver.start(self.config.known)
            self._start_watch(predecessor)
            if predecessor:
                self.control.takeover_ended.clear()
            await self._listen_for_operators(
                retry_if_taken=predecessor is not None or (socket_path is not None and socket_path.exists())
            )
            await self._serve(predecessor, socket_path)
            await self.stop.wait()
        finally:
            for task in self.bind_tasks:
                task.cancel()
        if self.members:
            self.members.leave()
        log.info("shutdown_begun", calls=len(self.driver.calls), connections=len(self.clients.open))
        await self.clients.drain.shut_down(SHUTDOWN_ACCEPT_TIME)
        if self.metrics:
            await self.metrics.end()
        log.info("shutdown_finished")

    def _start_watch(self, predecessor: upgrade.Predecessor | None) -> None:
        """Start watching discovery.

        Where discovery sends lists only on request, a gateway with a configured list requests the changes
        since that one, as a whole list costs more. A successor requests the whole list at once, as
        the handover waits for it.
        """
        settings, known = self.config.settings, self.config.known
        since = known.version if settings.asks_for_list and known.hosts else None
        self.watch = Watch(
            self.loop,
            self.config.discovery,
            self.config.zones,
            self.driver.apply_host_list,
            random_fraction=random.Random(self.config.seed).random,
            version=None if predecessor else since,
            spread=first_request_spread(settings.gateways, settings.asks_for_list),
            retry_interval_max=retry_interval_max(settings.asks_for_list),
        )
        self.driver.read_pending_list = self.watch.read_pending
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if predecessor or since is None:
            self.watch.start()
        else:
            self.watch.start_after_delay()

    def _set_request_log(self) -> None:
        """Log single requests if the log level includes that."""
        self.driver.request_log = RequestLog() if self.config.log_level == REQUEST_LOG_LEVEL else None

    async def _listen_for_operators(self, retry_if_taken: bool) -> None:
        """Listen for operators' commands and for metrics scrapes, each if it is configured."""
        endpoints = []
        if self.config.control:
            endpoints.append(("operators", self.config.control, self.control.listen))
        if self.config.metrics:
            try:
                from .metrics import Metrics  # heavy import: only if configured
            except ModuleNotFoundError as missing:
                raise listeners.StartupError(
                    f"metrics need {missing.name}: install requirements-tools.txt, or leave metrics out"
                ) from None
            self.metrics = self.driver.observer = Metrics(self.driver, self.config)
            endpoints.append(("metrics", self.config.metrics, self.metrics.listen))
        for purpose, address, listen in endpoints:
            task = await listeners.listen_when_free(
                purpose, address, functools.partial(listen, address), retry_if_taken
            )
            if task:
                self.bind_tasks.append(task)

    async def _serve(self, predecessor: upgrade.Predecessor | None, socket_path: Path | None) -> None:
        """Take over from the predecessor, or start without one; then serve clients.

        The predecessor's sockets are used even if the takeover of its state failed.
        """
        config, driver = self.config, self.driver
        taken_over = predecessor is not None and await predecessor.take_over(
            driver, self.watch.synchronized, self.control.command_waits
        )
        if not taken_over:
            self.control.takeover_ended.set()
        if config.peer_listen and config.settings.may_tell_peers:
            # Without configured peers, membership provides their addresses.
            self.peers = Peers(driver, config.peers, config.settings.rank)
            peer_endpoint = (predecessor and predecessor.peer_socket) or config.peer_listen
            if config.cluster:
                from .members import Members  # heavy import (hashlib): only if configured

                self.members = Members(driver, config, self.peers, self.clients.drain.begin)
                self.control.members = self.members
            await listeners.listen_now(
                "peers", config.peer_listen, functools.partial(self.peers.listen, peer_endpoint)
            )
        driver.stats.start(self.loop, self._gauges)
        if not taken_over:
            await self._wait_for_host_list()
        self.memory_monitor.calibrate()
        driver.gateway.accounts_max = accounts_max(self.budget)
        driver.repeat_guard.ids_max = executed_ids_max(self.budget)
        if taken_over and predecessor.drain_ordered_s is not None:
            self.clients.drain.order(predecessor.drain_ordered_s)
        listen = functools.partial(self.clients.listen, predecessor and predecessor.listener)
        await listeners.listen_now("clients", config.listen, listen)
        log.info("serving", address=config.listen, list_version=driver.list_version)
        if taken_over:
            predecessor.on_usage = functools.partial(self._update_limits, predecessor)
            predecessor.start_receiving(self.control.execute_locally)
        self.control.predecessor = predecessor
        self.control.takeover_ended.set()
        self.control.handover_server = HandoverServer(
            driver, self.clients, self.peers, self.control.execute_locally, self.stop
        )
        self.control.handover_server.listen(socket_path)
        gc.collect()
        gc.freeze()  # exempts all objects loaded so far from garbage collection: they live until the end

    async def _wait_for_host_list(self) -> None:
        """Wait for discovery's first list: hosts on the configured one may be draining or gone by now.

        If discovery does not answer in time, clients are served from the configured list.
        """
        timeout = max(FIRST_LIST_TIMEOUT, self.watch.spread + self.watch.response_timeout)
        await wait_for_any((self.watch.synchronized, self.stop), timeout)
        if not self.watch.synchronized.is_set():
            log.warning("configured_hosts_used", address=self.config.discovery, waited_s=timeout)

    def _gauges(self) -> dict[str, int]:
        gauges = self.clients.gauges() | {"calls": len(self.driver.calls)} | self.driver.hosts.gauges()
        return gauges | (self.members.gauges() if self.members else {})

    def _update_limits(
        self,
        predecessor: upgrade.Predecessor,
        predecessor_clients: int,
        predecessor_hosts: int,
        predecessor_memory: int,
    ) -> None:
        """Subtract descriptors and memory that the predecessor uses, as both processes share the limits."""
        self.budget.set_other_process(predecessor_memory)
        self.clients.max_connections = max(1, self.max_client_connections - predecessor_clients)
        reserved = UPGRADE_DESCRIPTORS if predecessor.channel else 0
        self.driver.hosts.max_connections = max(1, self.max_host_connections - predecessor_hosts - reserved)

    def reload(self) -> None:
        """Handle SIGHUP: reread the configuration, apply what is reloadable, and log what needs a restart."""
        try:
            config = self.read()
        except CONFIG_ERRORS as error:
            log.error("config_unusable", error=error, advice="the previous configuration stays in force")
            return
        changed = changed_fields(self.config, config)
        applied = [name for name in changed if name in RELOADABLE]
        values = {name: getattr(config, name) for name in applied}
        # Fields that need a restart keep their old values here, so that each SIGHUP reports all of them.
        self.config = dataclasses.replace(self.config, **values)
        after_restart = [name for name in changed if name not in RELOADABLE]
        # Logged in the previous format and at the previous level.
        log.info("config_read", in_force=applied, needs_restart=after_restart)
        if "log_form" in applied or "log_level" in applied:
            logs.configure(self.config.log_form, self.config.log_level)
            self._set_request_log()
        self.watch.set_address(self.config.discovery)


async def serve(config: Config, read: Callable[[], Config]) -> None:
    """Run one gateway in the running event loop; raise StartupError if it cannot start."""
    await Process(config, read).run()
