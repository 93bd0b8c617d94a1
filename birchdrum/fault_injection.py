"""Injects one fault into the demo, so that operators see its symptoms and the requests that it costs."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from lab.child_processes import Child
from lab.cluster.relay import DatagramRelay, Links
from lab.cluster.schedule import PlannedFault

KINDS = ("pause", "kill", "cut")
VICTIM_RANK = 1  # rank of the gateway that gets the fault
START_DELAY = 3.0  # seconds from the start of the run to the fault
DURATION = 5.0  # seconds
RECOVERY_TIME = 2.0  # seconds until a restarted or resumed gateway serves again
# The delay and the fault each take at most a third of the run, which leaves a third for the recovery.
RUN_DIVISOR = 3.0
DESCRIPTIONS = {
    "pause": "is paused (SIGSTOP)",
    "kill": "is killed (SIGKILL), then restarted",
    "cut": "is cut off from the other gateways",
}


@dataclass(frozen=True, slots=True)
class Loss:
    """A request that its client gave up on without an answer; times are of the monotonic clock."""

    sent_at: float
    gave_up_at: float
    rank: int


@dataclass(slots=True)
class FaultInjection:
    """A fault of one gateway: its kind, its time, and the requests lost meanwhile."""

    kind: str
    run_seconds: float | None  # None: until Ctrl-C
    gateway_name: str = ""
    started_at: float = 0.0
    ended_at: float = 0.0
    losses: list[Loss] = field(default_factory=list)
    links: Links | None = None
    datagrams: DatagramRelay | None = None
    expected_exits: set[Child] = field(default_factory=set)  # processes that the fault kills
    task: asyncio.Task[None] | None = None

    @property
    def is_active(self) -> bool:
        """Whether the fault is in effect now."""
        return self.started_at > 0 and not self.ended_at

    def timing(self) -> tuple[float, float]:
        """Return the seconds from the start of the run to the fault, and the duration of the fault."""
        longest = DURATION if self.run_seconds is None else self.run_seconds / RUN_DIVISOR
        return min(START_DELAY, longest), min(DURATION, longest)

    def create_relay(self, peers: dict[str, tuple[str, int]], seed: int) -> DatagramRelay:
        """Create the datagram relay that a cut needs; gateways must be configured with its addresses."""
        self.links = Links(seed)
        self.datagrams = DatagramRelay(self.links, peers)
        return self.datagrams

    async def inject(
        self, gateway_name: str, child: Child, others: list[str], restart: Callable[[], Awaitable[Child]]
    ) -> None:
        """Wait for the start time, inject the fault and remove it after its duration."""
        self.gateway_name = gateway_name
        delay, duration = self.timing()
        await asyncio.sleep(delay)
        self.started_at = time.monotonic()
        links = tuple(
            (source, target)
            for other in others
            for source, target in ((gateway_name, other), (other, gateway_name))
        )
        fault = PlannedFault(self.kind, delay, duration, (gateway_name,), links, 0.0, 0.0)
        match self.kind:
            case "pause":
                child.process.send_signal(signal.SIGSTOP)
            case "kill":
                self.expected_exits.add(child)
                child.process.kill()
            case "cut" if self.links:
                self.links.start_fault(fault)
        try:
            await asyncio.sleep(duration)
        finally:
            if self.kind == "pause" and child.process.returncode is None:
                child.process.send_signal(signal.SIGCONT)
            elif self.kind == "cut" and self.links:
                self.links.end_fault(fault)
        if self.kind == "kill":
            await child.process.wait()
            await restart()
        self.ended_at = time.monotonic()

    async def stop(self) -> None:
        """Cancel the fault and close the relay."""
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        if self.datagrams:
            self.datagrams.close()

    def record_loss(self, rank: int, duration: float) -> None:
        """Record that a client got no answer from this gateway for ``duration`` seconds."""
        now = time.monotonic()
        self.losses.append(Loss(now - duration, now, rank))

    def _is_caused_by_fault(self, loss: Loss) -> bool:
        if self.kind == "cut" or not self.started_at or loss.rank != VICTIM_RANK:
            return False
        affected_until = self.ended_at + RECOVERY_TIME if self.ended_at else float("inf")
        return loss.gave_up_at >= self.started_at and loss.sent_at <= affected_until

    def summary(self, run_started_at: float) -> dict[str, Any]:
        """Return the figures for the demo's summary; times are relative to the start of the run."""
        caused_by_fault = sum(map(self._is_caused_by_fault, self.losses))
        return {
            "what": self.kind,
            "gateway": self.gateway_name,
            "began_s": round(self.started_at - run_started_at, 1) if self.started_at else None,
            "lasted_s": round((self.ended_at or time.monotonic()) - self.started_at, 1)
            if self.started_at
            else None,
            "lost_by_it": caused_by_fault,
            "lost_besides": len(self.losses) - caused_by_fault,
        }


def describe(figures: dict[str, Any]) -> str:
    """Describe the fault and the requests that it cost, in one line."""
    if figures["began_s"] is None:
        return f"the fault {figures['what']} did not start: increase --for"
    cause = {
        "pause": "sent to it before or while it was paused, and not answered in time",
        "kill": "pending when it was killed, or sent to it before the load balancer detected the failure",
        "cut": "a cut between gateways loses no requests: each one enforces its share of the quotas",
    }[figures["what"]]
    when = f"at {figures['began_s']:g} s, for {figures['lasted_s']:g} s, {figures['gateway']}"
    lost = (
        f"{figures['lost_by_it']} requests lost to it ({cause}), {figures['lost_besides']} for other reasons"
    )
    return f"{when} {DESCRIPTIONS[figures['what']]}: {lost}"
