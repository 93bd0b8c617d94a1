"""One gateway process: its parts, in the order in which they start and end."""

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

from . import listening, upgrade
from .clients import Clients
from .config import Config, HostList
from .control import Control
from .discovery import Watch, span_of
from .driver import Driver
from .hosts import Hosts
from .peers import Peers

if TYPE_CHECKING:
    from .members import Members
    from .metrics import Metrics

SHUTDOWN_ACCEPT_TIME = 0.5  # seconds after SIGTERM in which new connections are still served
RESERVED_DESCRIPTORS = 48  # for all but clients and hosts: the loop, the watch, peers, logs, operators
UPGRADE_DESCRIPTORS = 24  # more of them while the process before this one finishes: both share the limit
CLIENT_DESCRIPTOR_SHARE = 1 / 3  # of all descriptors: clients may hold no more

# What an unusable configuration raises, wherever it comes from.
UNUSABLE = (OSError, KeyError, ValueError, TypeError, AttributeError, WireError)
SET_AT_START = ("seed", "known")  # told anew with each start: another value is no change
RELOADABLE = ("discovery", "log_form", "log_level")  # what SIGHUP puts in force; all else waits for a start
log = logs.get(__name__)


def changes(old: Config, new: Config) -> list[str]:
    """Names of what differs; within the settings each by its own name."""

    def differ(a: object, b: object) -> list[str]:
        fields = [field.name for field in dataclasses.fields(a)]
        return [name for name in fields if getattr(a, name) != getattr(b, name)]

    names = [name for name in differ(old, new) if name not in (*SET_AT_START, "settings")]
    return names + [f"settings.{name}" for name in differ(old.settings, new.settings)]


class Process:
    """Runs until SIGTERM or SIGINT, or until the next process has taken over and nothing is left."""

    def __init__(self, config: Config, read: Callable[[], Config]) -> None:
        """``read`` gives the configuration as it is by then, or raises one of UNUSABLE."""
        self.config, self.read = config, read
        self.loop = asyncio.get_running_loop()
        self.stop = asyncio.Event()
        self.told = asyncio.Event()  # discovery has told something
        self.client_sockets = int(CLIENT_DESCRIPTOR_SHARE * config.sockets)
        self.host_sockets = max(1, config.sockets - RESERVED_DESCRIPTORS - self.client_sockets)
        self.driver = Driver(config.settings, config.seed, self.loop)
        self.driver.hosts = Hosts(
            self.driver,
            config.settings.report_names,
            self.host_sockets,
            config.idle_close,
            config.connect_timeout,
        )
        self.clients = Clients(self.driver, config, self.client_sockets)
        self.control = Control(self.driver, self.clients)
        self.peers: Peers | None = None
        self.metrics: Metrics | None = None
        self.watch: Watch | None = None
        self.members: Members | None = None
        self.trying: list[asyncio.Task[None]] = []  # addresses that the process before this one still holds

    async def run(self) -> None:
        """All of its life; raises StartupError where it can't begin."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop.set)
        where = upgrade.path(self.config)
        predecessor = upgrade.find(where, self.config)
        try:
            self.driver.start(self.config.known)
            self._follow(predecessor)
            await self._face_operators(
                patient=predecessor is not None or (where is not None and where.exists())
            )
            await self._serve(predecessor, where)
            await self.stop.wait()
        finally:
            for task in self.trying:
                task.cancel()
        if self.members:
            self.members.leave()
        await self.clients.drain.shut_down(SHUTDOWN_ACCEPT_TIME)
        if self.metrics:
            await self.metrics.end()

    def _follow(self, predecessor: upgrade.Predecessor | None) -> None:
        """Watch discovery. Where lists cost, a gateway that starts asks for what changed since the one it is
        given; the process before this one, though, hands over once the list is whole."""
        settings, known = self.config.settings, self.config.known
        since = known.version if settings.asks_for_list and known.hosts else None
        self.watch = Watch(
            self.loop,
            self.config.discovery,
            self.config.zones,
            self._listed,
            draw=random.Random(self.config.seed).random,
            version=None if predecessor else since,
            spread=span_of(settings.gateways, settings.asks_for_list),
        )
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if predecessor or since is None:
            self.watch.start()
        else:
            self.watch.begin()

    def _listed(self, hosts: HostList) -> None:
        self.driver.apply_host_list(hosts)
        self.told.set()

    async def _face_operators(self, patient: bool) -> None:
        """Their calls and their monitoring, each where it is configured."""
        wanted = []
        if self.config.control:
            wanted.append(("operators", self.config.control, self.control.listen))
        if self.config.metrics:
            try:
                from .metrics import Metrics  # heavy: only where it is wanted
            except ModuleNotFoundError as missing:
                raise listening.StartupError(
                    f"metrics need {missing.name}: install requirements-tools.txt, or leave metrics out"
                ) from None
            self.metrics = self.driver.observer = Metrics(self.driver, self.config)
            wanted.append(("metrics", self.config.metrics, self.metrics.listen))
        for what, address, listen in wanted:
            task = await listening.listen_when_free(
                what, address, functools.partial(listen, address), patient
            )
            if task:
                self.trying.append(task)

    async def _serve(self, predecessor: upgrade.Predecessor | None, where: Path | None) -> None:
        """Take over from the process before this one, or start alone; then clients are served."""
        config, driver = self.config, self.driver
        taken = predecessor is not None and await predecessor.take(driver, self.told)
        if config.peer_listen and config.settings.may_tell_peers:
            self.peers = Peers(driver, config.peers, config.settings.rank)  # empty: to be learnt
            at = (predecessor and predecessor.peers) or config.peer_listen
            if config.cluster:
                from .members import Members  # hashes: only where it is wanted

                self.members = Members(driver, config, self.peers, self.clients.drain.leave)
                self.control.members = self.members
            await listening.listen_now("peers", config.peer_listen, functools.partial(self.peers.listen, at))
        driver.stats.start(self.loop, self._gauges)
        listener = functools.partial(self.clients.listen, predecessor and predecessor.listener)
        await listening.listen_now("clients", config.listen, listener)
        if taken:
            predecessor.share = functools.partial(self._share, predecessor)
            predecessor.hear(self.control.here)
        self.control.predecessor = predecessor
        self.control.seat = upgrade.Seat(driver, self.clients, self.peers, self.control.here, self.stop)
        self.control.seat.listen(where)
        gc.collect()
        gc.freeze()  # what is loaded by now stays: it need not be looked through again

    def _gauges(self) -> dict[str, int]:
        gauges = self.clients.gauges() | {"calls": len(self.driver.calls)} | self.driver.hosts.gauges()
        return gauges | (self.members.gauges() if self.members else {})

    def _share(self, predecessor: upgrade.Predecessor, its_clients: int, its_hosts: int) -> None:
        """The process before this one still holds so many descriptors of the limit of both."""
        self.clients.max_connections = max(1, self.client_sockets - its_clients)
        both = UPGRADE_DESCRIPTORS if predecessor.channel else 0
        self.driver.hosts.max_connections = max(1, self.host_sockets - its_hosts - both)

    def reload(self) -> None:
        """SIGHUP: read the configuration again, put in force what can be, and tell what can't."""
        try:
            config = self.read()
        except UNUSABLE as wrong:
            log.error("config_unusable", error=wrong, advice="the one before it holds")
            return
        changed = changes(self.config, config)
        at_once = [name for name in changed if name in RELOADABLE]
        held = {name: getattr(config, name) for name in at_once}
        # What waits for a start is compared with what is in force, so that each SIGHUP tells all of it.
        self.config = dataclasses.replace(self.config, **held)
        later = [name for name in changed if name not in RELOADABLE]
        log.info("config_read", in_force=at_once, needs_restart=later)  # in the form and level before
        if "log_form" in at_once or "log_level" in at_once:
            logs.start(self.config.log_form, self.config.log_level)
        self.watch.move(self.config.discovery)


async def serve(config: Config, read: Callable[[], Config]) -> None:
    """Run one gateway in the running loop; raises StartupError."""
    await Process(config, read).run()
