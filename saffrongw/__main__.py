"""One api gateway: ``python -m saffrongw`` with LB_CONFIG naming its configuration."""

from __future__ import annotations

import asyncio
import functools
import gc
import logging
import os
import random
import signal
import sys
from pathlib import Path

import uvloop

from orchidlane.wire import WireError

from . import upgrade
from .clients import Clients
from .config import Config, HostList, parse
from .control import Control
from .discovery import Watch, span_of
from .driver import Driver
from .hosts import Hosts
from .peers import Peers

ACCEPT_FOR = 0.5  # seconds after SIGTERM in which new connections are still served
SPARE = 48  # descriptors for all but clients and hosts: the loop, the watch, peers, logs, operators
OVERLAP = 24  # more of them while the process before this one finishes: both share the limit
CLIENT_PART = 1 / 3  # of all descriptors: clients may hold no more


UNUSABLE = (OSError, KeyError, ValueError, TypeError, AttributeError, WireError)
log = logging.getLogger(__name__)


def read_config() -> Config:
    """The file that LB_CONFIG names, as it is now; raises one of UNUSABLE."""
    return parse(Path(os.environ["LB_CONFIG"]).read_text())


def reload(watch: Watch) -> None:
    """SIGHUP: discovery may have moved; all else holds until the next start."""
    try:
        config = read_config()
    except UNUSABLE as wrong:
        log.error("no usable configuration after SIGHUP, the one before it holds: %r", wrong)
        return
    log.info("configuration read again: discovery at %s:%d", *config.discovery)
    watch.move(config.discovery)


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT, or until the next process has taken over and nothing is left."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    where = upgrade.path(config)
    elder = upgrade.find(where, config)
    client_sockets = int(CLIENT_PART * config.sockets)
    host_sockets = max(1, config.sockets - SPARE - client_sockets)
    driver = Driver(config.settings, config.seed, loop)
    driver.hosts = Hosts(
        driver,
        config.settings.report_names,
        host_sockets,
        config.idle_close,
        config.connect_timeout,
    )
    driver.start(config.known)
    told = asyncio.Event()

    def listed(hosts: HostList) -> None:
        driver.listed(hosts)
        told.set()

    # Where lists cost, a gateway that starts asks for what changed since the one it is given; the process
    # before this one, though, hands over once the list is whole.
    since = config.known.version if config.settings.asks_for_list and config.known.hosts else None
    watch = Watch(
        loop,
        config.discovery,
        config.zones,
        listed,
        draw=random.Random(config.seed).random,
        version=None if elder else since,
        spread=span_of(config.settings.gateways, config.settings.asks_for_list),
    )
    loop.add_signal_handler(signal.SIGHUP, functools.partial(reload, watch))
    if elder or since is None:
        watch.start()
    else:
        watch.begin()
    clients = Clients(driver, config, client_sockets)
    control = Control(driver, clients)
    binding = loop.create_task(control.listen(config.control)) if config.control else None
    taken = elder is not None and await elder.take(driver, told)
    peers = None
    if config.peer_listen and config.settings.may_tell_peers:
        peers = Peers(driver, config.peers, config.settings.rank)
        await peers.listen((elder and elder.peers) or config.peer_listen)
    driver.stats.start(loop, lambda: clients.gauges() | {"calls": len(driver.calls)} | driver.hosts.gauges())
    await clients.listen(elder and elder.listener)
    if taken:

        def share(its_clients: int, its_hosts: int) -> None:
            clients.most = max(1, client_sockets - its_clients)
            both = OVERLAP if elder.channel else 0
            driver.hosts.most = max(1, host_sockets - its_hosts - both)

        elder.share = share
        elder.hear(control)
    control.elder = elder
    control.seat = upgrade.Seat(driver, clients, peers, control, stop)
    control.seat.listen(where)
    gc.collect()
    gc.freeze()  # what is loaded by now stays: it need not be looked through again
    await stop.wait()
    if binding:
        binding.cancel()
    await clients.drain(ACCEPT_FOR)


def main() -> int:
    """Read the configuration and serve; one plain line and 1 where it is wrong."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = read_config()
    except UNUSABLE as wrong:
        print(f"saffrongw: no usable configuration: {wrong!r}", file=sys.stderr)
        return 1
    uvloop.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
