"""Baselines that the gateway is compared with, behind the interface of the decision module.

A baseline combines a way to enforce quotas with a policy to choose hosts. A failed attempt is retried once
on another host if the request can't have run or may be repeated. ``oracle`` sees the true state of everything
without delay and is the upper bound.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from orchidlane import interface as api
from orchidlane.rules import Gateway

from .judge import TokenBucket
from .node import DecisionModule
from .simulator import Factory

if TYPE_CHECKING:
    from .simulator import World

# Outcomes after which the request can't have run, so that it may be sent again.
NEVER_RAN = (api.Outcome.FULL, api.Outcome.NOT_CONNECTED)
RETRY_AFTER_MAX = 1_000_000  # microseconds


class LocalQuotaGateway:
    """Enforces quotas without coordination between gateways, and chooses hosts by a simple policy.

    ``quota_share`` is the share of each quota that this gateway grants; 0 stands for an even split.
    """

    def __init__(
        self, settings: api.Settings, seed: int, now: int, world: World, quota_share: float, policy: str
    ) -> None:
        self.settings, self.world, self.quota_share, self.policy = settings, world, quota_share, policy
        self.random = random.Random(seed)
        self.hosts: dict[api.Server, api.ServerEntry] = {}
        self.buckets: dict[int, TokenBucket] = {}
        self.outstanding: dict[api.Server, int] = {}
        self.pending: dict[int, tuple[api.RequestArrived, list[api.Server]]] = {}
        self.next_index = self.random.randrange(1 << 16)

    def start(self) -> list[api.Action]:
        """Return no actions."""
        return []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle requests, ends of attempts and the host list; ignore other events."""
        if isinstance(event, api.ServerListed):
            if event.kind is api.ListKind.WHOLE:
                self.hosts.clear()
            for entry in event.entries:
                self.hosts.pop(entry.server, None)
                if entry.phase is api.Phase.READY:
                    self.hosts[entry.server] = entry
        elif isinstance(event, api.RequestArrived):
            return self._handle_request(now, event)
        elif isinstance(event, api.AttemptEnded):
            return self._handle_attempt_end(event)
        elif isinstance(event, api.ClientGone):
            self.pending.pop(event.request, None)
        return []

    def bucket(self, now: int, event: api.RequestArrived) -> TokenBucket:
        """Return the bucket that a request is charged to."""
        bucket = self.buckets.get(event.customer)
        if bucket is None:
            plan = self.settings.plans[event.plan]
            quota_share = self.quota_share or 1 / event.set_size
            bucket = self.buckets[event.customer] = TokenBucket(
                plan.rate * quota_share, plan.burst * quota_share, plan.burst * quota_share, now
            )
        return bucket

    def _available_quota(self, now: int, event: api.RequestArrived) -> tuple[float, float]:
        """Return the customer's available units, and its rate in units per second."""
        bucket = self.bucket(now, event)
        return bucket.refill(now), bucket.rate

    def _charge(self, now: int, event: api.RequestArrived) -> None:
        """Charge the request to its bucket."""
        self.bucket(now, event).available -= event.units

    def _handle_request(self, now: int, event: api.RequestArrived) -> list[api.Action]:
        available, rate = self._available_quota(now, event)
        if available < event.units:
            retry_after = int(1e6 * (event.units - available) / rate)
            return [api.Refuse(event.request, min(RETRY_AFTER_MAX, retry_after), api.Cause.QUOTA)]
        server = self._choose(())
        if server is None:
            return [api.Refuse(event.request, 0, api.Cause.SLOW)]
        self._charge(now, event)
        self.pending[event.request] = (event, [server])
        return [self._send(event.request, server)]

    def _send(self, request: int, server: api.Server) -> api.Send:
        self.outstanding[server] = self.outstanding.get(server, 0) + 1
        return api.Send(request, server, 0)

    def _choose(self, excluded: tuple[api.Server, ...] | list[api.Server]) -> api.Server | None:
        servers = [server for server in self.hosts if server not in excluded]
        if not servers:
            return None
        if self.policy == "round robin":
            self.next_index += 1
            return servers[self.next_index % len(servers)]
        if self.policy == "two choices":
            servers = [servers[self.random.randrange(len(servers))] for _ in range(2)]
        ranking = {server: (self._load(server), self.random.random()) for server in servers}
        return min(servers, key=ranking.__getitem__)

    def _load(self, server: api.Server) -> float:
        """Return the load of a host as seen by this gateway: its outstanding attempts."""
        return self.outstanding.get(server, 0)

    def _handle_attempt_end(self, event: api.AttemptEnded) -> list[api.Action]:
        self.outstanding[event.server] = max(0, self.outstanding.get(event.server, 0) - 1)
        if event.answered or event.request not in self.pending:
            self.pending.pop(event.request, None)
            return []
        arrival, servers = self.pending[event.request]
        repeatable = self.settings.classes[arrival.kind].effect is api.Effect.SAFE
        may_retry = event.outcome in NEVER_RAN or repeatable
        server = self._choose(servers) if may_retry and len(servers) < 2 else None
        if server is None:
            del self.pending[event.request]
            return [api.Fail(event.request)]
        servers.append(server)
        return [self._send(event.request, server)]


class OracleGateway(LocalQuotaGateway):
    """Knows the true bucket of each customer, and the true load and health of each host."""

    def _available_quota(self, now: int, event: api.RequestArrived) -> tuple[float, float]:
        bucket = self.world.judge.buckets[event.customer]
        return bucket.refill(self.world.kernel.now), bucket.rate

    def _charge(self, now: int, event: api.RequestArrived) -> None:
        """Charge the judge's bucket at once, so that no other gateway can use units of requests in flight."""
        self.world.judge.charge(self.world.kernel.now, event.request)

    def _load(self, server: api.Server) -> float:
        host = self.world.hosts_by_name[server]
        if not host.up or host.vanished or host.health is not api.Phase.READY:
            return float("inf")
        station = host.station
        error_penalty = 1e6 * station.error_rate
        return error_penalty + (station.running + len(station.queue)) / max(station.speed(), 1e-3)


def _local_quota(quota_share: float, policy: str) -> Factory:
    def create(settings: api.Settings, seed: int, now: int, world: World) -> DecisionModule:
        return LocalQuotaGateway(settings, seed, now, world, quota_share, policy)

    return create


def birchdrum(settings: api.Settings, seed: int, now: int, world: World) -> DecisionModule:
    """Create the real decision module."""
    return Gateway(settings, seed, now)


def oracle(settings: api.Settings, seed: int, now: int, world: World) -> DecisionModule:
    """Create the oracle, the upper bound of all variants."""
    return OracleGateway(settings, seed, now, world, 1.0, "least outstanding")


VARIANTS: dict[str, Factory] = {
    "birchdrum": birchdrum,
    "whole-quota": _local_quota(1.0, "least outstanding"),
    "even-split": _local_quota(0.0, "least outstanding"),
    "round-robin": _local_quota(0.0, "round robin"),
    "two-choices": _local_quota(0.0, "two choices"),
    "oracle": oracle,
}
