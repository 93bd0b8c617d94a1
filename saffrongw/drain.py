"""Closing of client connections: in a drain, after a handover, and at shutdown.

A drain is ordered by an operator, or begins when this process yields its rank to another one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ops import logs

from .client import Client
from .client_output import WRITE_STALL_TIMEOUT
from .hosts import STREAM_IDLE_TIMEOUT

if TYPE_CHECKING:
    from .clients import Clients

log = logs.get_logger(__name__)

MICROSECONDS = 1_000_000  # in a second

# Drain, in seconds after it begins.
DRAIN_NOTICE_DELAY = 0.6  # idle connections are closed: the load balancer in front has seen the drain by now
DRAIN_REFUSE_DELAY = 1.8  # requests are refused from here on
DRAIN_CLOSE_DELAY = 3.3  # connections are closed, unless the oldest request in flight is all that they have

# Shutdown, in seconds after SIGTERM.
# Requests are refused from here on: any that arrives 0.7 s or later after SIGTERM must be answered before
# SIGKILL.
SHUTDOWN_REFUSE_DELAY = 0.65
# SIGKILL comes no sooner than this after the longest deadline, which counts as KILL_DEADLINE_MAX at most.
KILL_DELAY = 0.7
KILL_DEADLINE_MAX = 3.0
# Before SIGKILL may come: from here on no request is waited for that keeps other answers from being written.
ANSWER_MARGIN = 0.4
# After the listener is closed, incomplete commands delay the exit by at most this.
SHUTDOWN_COMMAND_TIMEOUT = 1.0
# Bytes a second at which a client has to receive its responses to be waited for beyond WRITE_STALL_TIMEOUT.
READ_RATE_MIN = 16 * 1024


class Drain:
    """Progress of a drain: idle connections are closed first, then new requests are refused.

    At last, all connections without a request in flight are closed.
    """

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.closing_idle = False  # connections are closed as soon as they have no request in flight
        self.refusing_requests = False
        self.ending_blockers = False  # requests are answered at once that keep answers from being written
        self.timers: list[asyncio.TimerHandle] = []  # of the later steps of a drain
        self.is_shutting_down = False
        self.ordered_at: float | None = None  # loop time of an operator's order, here or at a predecessor

    @property
    def seconds_since_order(self) -> float | None:
        """Seconds since an operator ordered the drain; None if none is ordered."""
        return None if self.ordered_at is None else self.clients.driver.loop.time() - self.ordered_at

    def order(self, seconds_ago: float = 0.0) -> None:
        """Begin a drain that an operator has ordered, or go on with one that a predecessor has begun."""
        if self.ordered_at is None:
            self.ordered_at = self.clients.driver.loop.time() - seconds_ago
        self.clients.driver.readiness.drain_ordered = True
        self.begin(seconds_ago)

    def begin(self, seconds_ago: float = 0.0) -> None:
        """Report not ready at once; close idle connections once the load balancer in front has seen that."""
        if self.clients.driver.readiness.draining or self.is_shutting_down:
            return
        self.clients.driver.readiness.draining = True
        steps = {
            DRAIN_NOTICE_DELAY: self._close_idle,
            DRAIN_REFUSE_DELAY: self._refuse_requests,
            DRAIN_CLOSE_DELAY: self._close_without_request,
        }
        self.timers = [
            self.clients.driver.loop.call_later(max(0.0, delay - seconds_ago), step)
            for delay, step in steps.items()
        ]

    def cancel(self) -> str:
        """Cancel the drain at any step; return the answer to the operator."""
        if self.is_shutting_down:
            return "error ending"
        for timer in self.timers:
            timer.cancel()
        self.ordered_at = None
        self.clients.driver.readiness.drain_ordered = False
        self.clients.driver.readiness.draining = False
        self.closing_idle = self.clients.driver.readiness.handed_over  # then the successor gets them
        self.refusing_requests = False
        self.ending_blockers = False
        for client in self.clients.open:
            client.ends_after_input = False
        return "done joined"

    def hand_over(self) -> None:
        """Stop listening and close idle connections, as the successor accepts the new ones.

        The steps of a drain that has begun are still taken: its connections are to be closed in time.
        """
        self.clients.driver.readiness.draining = False  # the successor serves the address
        self.clients.server.close()
        self._close_idle()

    def _close_idle(self) -> None:
        self.closing_idle = True
        for client in list(self.clients.open):
            client.close_if_idle()

    def _refuse_requests(self) -> None:
        """Refuse requests that complete only now: waiting for their answers would delay the drain."""
        self.refusing_requests = True

    def _close_without_request(self) -> None:
        """Close all connections without a request in flight, even within a command such as a large body."""
        self._end_blockers()
        for client in list(self.clients.open):
            client.end_unfinished_command()

    def _end_blockers(self) -> None:
        """From now on wait for no request that keeps other answers on its connection from being written."""
        self.ending_blockers = True
        for client in list(self.clients.open):
            client.end_blockers()

    def _is_awaiting_readers(self, seconds: float, received_before: dict[Client, int]) -> bool:
        """Return whether a client has kept reading fast enough for ``seconds`` beyond the usual end."""
        return any(
            client.output.received_bytes() - received_before.get(client, 0) >= READ_RATE_MIN * seconds
            for client in self.clients.connections()
        )

    def _is_awaiting_hosts(self) -> bool:
        """Return whether a host still writes a large value that its client reads."""
        hosts = self.clients.driver.hosts
        cutoff = self.clients.driver.loop.time() - STREAM_IDLE_TIMEOUT
        return any(not stream.paused and stream.last_received_at > cutoff for stream in hosts.streams)

    def _answer_delay(self) -> float:
        """Return the seconds after SIGTERM by which all that clients are owed has to be written."""
        longest = max(request_class.deadline for request_class in self.clients.config.settings.classes)
        return min(KILL_DEADLINE_MAX, longest / MICROSECONDS) + KILL_DELAY - ANSWER_MARGIN

    async def shut_down(self, accept_time: float) -> None:
        """Close idle connections, accept new ones for ``accept_time`` seconds, then finish all requests.

        Each wait is bounded: requests by their deadlines, and by the time at which SIGKILL may come if other
        answers wait for them, commands by SHUTDOWN_COMMAND_TIMEOUT, and answers that clients have to read
        by WRITE_STALL_TIMEOUT after the last deadline, with a second more for each
        READ_RATE_MIN bytes that a client receives, and for as long as a host writes a large value.
        """
        clients = self.clients
        driver = clients.driver
        loop = driver.loop
        self.is_shutting_down = True
        # After a handover the address stays ready, as the successor serves it.
        driver.readiness.shutting_down = not driver.readiness.handed_over
        self._close_idle()
        start = loop.time()
        self.timers.append(loop.call_later(self._answer_delay(), self._end_blockers))
        await asyncio.sleep(accept_time)
        clients.stop_accepting()
        await asyncio.sleep(max(0.0, start + SHUTDOWN_REFUSE_DELAY - loop.time()))
        self.refusing_requests = True
        commands_cut_off_at = start + accept_time + SHUTDOWN_COMMAND_TIMEOUT
        time_left = max((call.deadline for call in driver.calls.values()), default=0) - driver.clock()
        cut_off_at = loop.time() + max(0.0, time_left / 1e6) + WRITE_STALL_TIMEOUT
        received_before = {client: client.output.received_bytes() for client in clients.connections()}
        while not clients.is_finished and (
            loop.time() < cut_off_at
            or self._is_awaiting_readers(loop.time() - cut_off_at, received_before)
            or self._is_awaiting_hosts()
        ):
            for client in list(clients.open):
                client.close_if_idle()
                if loop.time() >= commands_cut_off_at:
                    client.end_unfinished_command()
            await asyncio.sleep(0.01)
        if not clients.is_finished:
            connections = len(clients.open) + len(clients.half_closed)
            log.warning("drain_cut", calls=len(driver.calls), connections=connections)
