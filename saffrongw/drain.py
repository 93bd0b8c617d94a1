"""How client connections are brought to an end: on an operator's word, for the next process, at shutdown."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ops import logs

from .client import WRITE_STALL_TIMEOUT

if TYPE_CHECKING:
    from .clients import Clients

log = logs.get(__name__)

# On an operator's word, in seconds after it.
DRAIN_NOTICE_DELAY = 0.6  # the front has seen that we leave, and sends no new connections
DRAIN_REFUSE_DELAY = 1.8  # requests are refused from here on
DRAIN_CLOSE_DELAY = 3.3  # connections without a request in flight are closed

# Shutdown, in seconds after SIGTERM.
SHUTDOWN_REFUSE_DELAY = 0.65  # requests are refused: what comes from 0.7 s on has to be answered by SIGKILL
SHUTDOWN_COMMAND_TIMEOUT = 1.0  # that an unfinished command may hold up the end once nobody is accepted


class Drain:
    """How far it is: connections are closed between requests, and then no request is taken any more."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.closes = False  # connections between requests
        self.refuses = False  # requests
        self.steps: list[asyncio.TimerHandle] = []  # still to come

    def leave(self) -> None:
        """Say no from now on, and once the front has seen that, close connections between requests."""
        if self.clients.driver.readiness.left or self.clients.driver.readiness.ending:
            return
        self.clients.driver.readiness.left = True
        later = self.clients.driver.loop.call_later
        self.steps = [
            later(DRAIN_NOTICE_DELAY, self._close_between),
            later(DRAIN_REFUSE_DELAY, self._take_no_more),
            later(DRAIN_CLOSE_DELAY, self._close_without_request),
        ]

    def join(self) -> str:
        """Back to work, at whatever step the drain was; what is said to the operator."""
        if self.clients.driver.readiness.ending:
            return "error ending"
        for step in self.steps:
            step.cancel()
        self.clients.driver.readiness.left = self.closes = self.refuses = False
        return "done joined"

    def hand_on(self) -> None:
        """The next process accepts: close connections between requests."""
        self.join()
        self.clients.server.close()
        self._close_between()

    def _close_between(self) -> None:
        self.closes = True
        for client in list(self.clients.open):
            client.close_if_idle()

    def _take_no_more(self) -> None:
        """Whoever was within a command all the time: its request would hold the connection too long."""
        self.refuses = True

    def _close_without_request(self) -> None:
        """Whoever is within a command still, a large body for one."""
        for client in list(self.clients.open):
            client.end_unfinished_command()

    async def shut_down(self, accept_for: float) -> None:
        """Close connections as they fall idle, go on accepting for a while, then finish what is held. Each
        wait has an end: requests by their deadlines, commands by SHUTDOWN_COMMAND_TIMEOUT, half-closed
        connections by LINGER_TIMEOUT, and who reads too slowly for all that is cut off."""
        clients, driver, loop = self.clients, self.clients.driver, self.clients.driver.loop
        self.join()
        driver.readiness.ending = not driver.readiness.handed_on
        self._close_between()
        start = loop.time()
        await asyncio.sleep(accept_for)
        clients.stop_accepting()
        await asyncio.sleep(max(0.0, start + SHUTDOWN_REFUSE_DELAY - loop.time()))
        self.refuses = True
        unfinished_until = start + accept_for + SHUTDOWN_COMMAND_TIMEOUT
        left = max((call.deadline for call in driver.calls.values()), default=0) - driver.clock()
        ends = loop.time() + max(0.0, left / 1e6) + WRITE_STALL_TIMEOUT
        while not clients.is_finished and loop.time() < ends:
            for client in list(clients.open):
                client.close_if_idle()
                if loop.time() >= unfinished_until:
                    client.end_unfinished_command()
            await asyncio.sleep(0.01)
        if not clients.is_finished:
            connections = len(clients.open) + len(clients.half_closed)
            log.warning("drain_cut", calls=len(driver.calls), connections=connections)
