"""Shares the event loop between clients: bounds the work that is done for their input in one iteration.

Work is counted in units of checked headers, and a client gets a portion at a time. A client whose input needs
more than its portion waits in a queue, unread meanwhile, in which all take turns. So a client that sends
little waits for one portion of each of the others at most, whatever and however much they send.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

PORTION_UNITS = 256  # for one client before the next one's turn: some 1 to 3 ms
ITERATION_UNITS = 4 * PORTION_UNITS  # for all clients before the event loop serves its other events


class InputConnection(Protocol):
    """The scheduler's view of ``client.Client``."""

    input_queued: bool

    def process_input(self, units: int) -> int:
        """Do work of about ``units`` units; return the units used."""

    def has_input(self) -> bool:
        """Return whether input is left that could be processed now."""

    def input_processed(self) -> None:
        """Continue reading, as the input that was held has been processed as far as possible."""


class InputScheduler:
    """The queue of connections with unprocessed input, and the work done in this iteration of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.queue: deque[InputConnection] = deque()
        self.is_scheduled = False  # ``_run`` is called in the next iteration
        self.units_used = 0  # since the queue was last served

    def submit(self, connection: InputConnection) -> None:
        """Process a connection's input at once, or in its turn if too much was done in this iteration."""
        if connection.input_queued:
            return
        connection.input_queued = True
        if self.units_used < ITERATION_UNITS:
            self._serve(connection)
        else:
            self._enqueue(connection)

    def _serve(self, connection: InputConnection) -> None:
        self.units_used += connection.process_input(PORTION_UNITS)
        if connection.has_input():
            self._enqueue(connection)
        else:
            connection.input_queued = False
            connection.input_processed()

    def _enqueue(self, connection: InputConnection) -> None:
        self.queue.append(connection)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Serve the queue in turn; half of the units are left for connections that are read after it."""
        self.units_used = 0
        while self.queue and self.units_used < ITERATION_UNITS // 2:
            self._serve(self.queue.popleft())
        self.is_scheduled = bool(self.queue)
        if self.queue:
            self.loop.call_soon(self._run)
