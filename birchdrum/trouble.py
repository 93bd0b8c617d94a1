"""One thing that goes wrong in the demo, so that an operator sees what it looks like, and what it cost."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from lab.children import Child
from lab.cluster.relay import DatagramRelay, Links
from lab.cluster.schedule import PlannedFault

KINDS = ("pause", "kill", "cut")
VICTIM = 1  # the gateway of this rank
AFTER, LASTS = 3.0, 5.0  # seconds after the start, and how long
START = 2.0  # seconds that a process may take to serve again
SHARE = 3.0  # of a run's time at most, a third for what is before and after
WORDS = {
    "pause": "stands still (SIGSTOP)",
    "kill": "is killed (SIGKILL), then started again",
    "cut": "and the others hear nothing of each other",
}


@dataclass(frozen=True, slots=True)
class Loss:
    """A request without an answer, as its client saw it; seconds of the monotonic clock."""

    sent: float
    ended: float
    rank: int


@dataclass(slots=True)
class Trouble:
    """What goes wrong with one gateway, and when."""

    kind: str
    span: float | None  # seconds of the whole run; None: until Ctrl-C
    name: str = ""
    began: float = 0.0
    ended: float = 0.0
    losses: list[Loss] = field(default_factory=list)
    links: Links | None = None
    datagrams: DatagramRelay | None = None
    expected: set[Child] = field(default_factory=set)  # that are gone because of it
    task: asyncio.Task[None] | None = None

    @property
    def is_on(self) -> bool:
        """Whether it lasts now."""
        return self.began > 0 and not self.ended

    def times(self) -> tuple[float, float]:
        """Seconds from the start until it begins, and how long it lasts."""
        part = LASTS if self.span is None else self.span / SHARE
        return min(AFTER, part), min(LASTS, part)

    def relay(self, peers: dict[str, tuple[str, int]], seed: int) -> DatagramRelay:
        """Between the gateways, for a cut; to be asked for addresses before they start."""
        self.links = Links(seed)
        self.datagrams = DatagramRelay(self.links, peers)
        return self.datagrams

    async def play(
        self, name: str, child: Child, others: list[str], restart: Callable[[], Awaitable[Child]]
    ) -> None:
        """Do it to this gateway in its time."""
        self.name = name
        after, lasts = self.times()
        await asyncio.sleep(after)
        self.began = time.monotonic()
        links = tuple((a, b) for other in others for a, b in ((name, other), (other, name)))
        fault = PlannedFault(self.kind, after, lasts, (name,), links, 0.0, 0.0)
        match self.kind:
            case "pause":
                child.process.send_signal(signal.SIGSTOP)
            case "kill":
                self.expected.add(child)
                child.process.kill()
            case "cut" if self.links:
                self.links.start_fault(fault)
        try:
            await asyncio.sleep(lasts)
        finally:
            if self.kind == "pause" and child.process.returncode is None:
                child.process.send_signal(signal.SIGCONT)
            elif self.kind == "cut" and self.links:
                self.links.end_fault(fault)
        if self.kind == "kill":
            await child.process.wait()
            await restart()
        self.ended = time.monotonic()

    async def end(self) -> None:
        """Undo it, whenever the demo ends."""
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        if self.datagrams:
            self.datagrams.close()

    def lost(self, rank: int, took: float) -> None:
        """A client had no answer by this gateway after so many seconds."""
        now = time.monotonic()
        self.losses.append(Loss(now - took, now, rank))

    def _explains(self, loss: Loss) -> bool:
        if self.kind == "cut" or not self.began or loss.rank != VICTIM:
            return False
        until = self.ended + START if self.ended else float("inf")
        return loss.ended >= self.began and loss.sent <= until

    def figures(self, began: float) -> dict[str, Any]:
        """For the summary; seconds from the start of the demo."""
        explained = sum(map(self._explains, self.losses))
        return {
            "what": self.kind,
            "gateway": self.name,
            "began_s": round(self.began - began, 1) if self.began else None,
            "lasted_s": round((self.ended or time.monotonic()) - self.began, 1) if self.began else None,
            "lost_by_it": explained,
            "lost_besides": len(self.losses) - explained,
        }


def told(figures: dict[str, Any]) -> str:
    """The trouble in a line, and what it cost."""
    if figures["began_s"] is None:
        return f"the trouble {figures['what']} did not begin: give --for more time"
    why = {
        "pause": "sent to it before or while it stood still, and not answered in time",
        "kill": "open at it when it was killed, or sent before the front knew",
        "cut": "a cut between gateways loses no request: quotas are kept by each one's part",
    }[figures["what"]]
    when = f"at {figures['began_s']:g} s, for {figures['lasted_s']:g} s, {figures['gateway']}"
    lost = f"{figures['lost_by_it']} requests lost by it ({why}), {figures['lost_besides']} besides"
    return f"{when} {WORDS[figures['what']]}: {lost}"
