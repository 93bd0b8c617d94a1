"""What the gateway is compared with, behind the decision module's own interface.

A baseline is a way to keep quotas and a way to choose a host; each tries a request once more on another host
where nothing has run. ``oracle`` sees all true state at once and is the ceiling.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from orchidlane import interface as api
from orchidlane.rules import Gateway

from .judge import TokenBucket
from .node import Decider
from .virtual import Factory

if TYPE_CHECKING:
    from .virtual import World

NEVER_RAN = (api.Outcome.FULL, api.Outcome.NOT_CONNECTED)
RETRY_AFTER_MOST = 1_000_000


class Simple:
    """Quotas kept here alone, hosts chosen by a plain rule."""

    def __init__(
        self, settings: api.Settings, seed: int, now: int, world: World, part: float, choice: str
    ) -> None:
        self.settings, self.world, self.part, self.choice = settings, world, part, choice
        self.random = random.Random(seed)
        self.hosts: dict[api.Server, api.ServerEntry] = {}
        self.stores: dict[int, TokenBucket] = {}
        self.open: dict[api.Server, int] = {}
        self.tried: dict[int, tuple[api.RequestArrived, list[api.Server]]] = {}
        self.turn = self.random.randrange(1 << 16)

    def start(self) -> list[api.Action]:
        """Nothing to begin with."""
        return []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Requests, their attempts' ends, and the list; all else is no concern of a baseline."""
        if isinstance(event, api.ServerListed):
            if event.kind is api.ListKind.WHOLE:
                self.hosts.clear()
            for entry in event.entries:
                self.hosts.pop(entry.server, None)
                if entry.phase is api.Phase.READY:
                    self.hosts[entry.server] = entry
        elif isinstance(event, api.RequestArrived):
            return self._arrived(now, event)
        elif isinstance(event, api.AttemptEnded):
            return self._ended(event)
        elif isinstance(event, api.ClientGone):
            self.tried.pop(event.request, None)
        return []

    def store(self, now: int, event: api.RequestArrived) -> TokenBucket:
        """The store that a request's units come from."""
        store = self.stores.get(event.customer)
        if store is None:
            plan = self.settings.plans[event.plan]
            part = self.part or 1 / event.set_size
            store = self.stores[event.customer] = TokenBucket(
                plan.rate * part, plan.burst * part, plan.burst * part, now
            )
        return store

    def _room(self, now: int, event: api.RequestArrived) -> tuple[float, float]:
        """Units that its customer may spend now, and the rate at which they come back."""
        store = self.store(now, event)
        return store.look(now), store.rate

    def _spend(self, now: int, event: api.RequestArrived) -> None:
        """They are spent."""
        self.store(now, event).held -= event.units

    def _arrived(self, now: int, event: api.RequestArrived) -> list[api.Action]:
        held, rate = self._room(now, event)
        if held < event.units:
            wait = int(1e6 * (event.units - held) / rate)
            return [api.Refuse(event.request, min(RETRY_AFTER_MOST, wait), api.Cause.QUOTA)]
        server = self._choose(())
        if server is None:
            return [api.Refuse(event.request, 0, api.Cause.SLOW)]
        self._spend(now, event)
        self.tried[event.request] = (event, [server])
        return [self._send(event.request, server)]

    def _send(self, request: int, server: api.Server) -> api.Send:
        self.open[server] = self.open.get(server, 0) + 1
        return api.Send(request, server, 0)

    def _choose(self, but: tuple[api.Server, ...] | list[api.Server]) -> api.Server | None:
        servers = [server for server in self.hosts if server not in but]
        if not servers:
            return None
        if self.choice == "round robin":
            self.turn += 1
            return servers[self.turn % len(servers)]
        if self.choice == "two choices":
            servers = [servers[self.random.randrange(len(servers))] for _ in range(2)]
        lots = {server: (self._depth(server), self.random.random()) for server in servers}
        return min(servers, key=lots.__getitem__)

    def _depth(self, server: api.Server) -> float:
        """How busy a host looks from here."""
        return self.open.get(server, 0)

    def _ended(self, event: api.AttemptEnded) -> list[api.Action]:
        self.open[event.server] = max(0, self.open.get(event.server, 0) - 1)
        if event.answered or event.request not in self.tried:
            self.tried.pop(event.request, None)
            return []
        arrived, servers = self.tried[event.request]
        safe = self.settings.classes[arrived.kind].effect is api.Effect.SAFE
        again = event.outcome in NEVER_RAN or safe
        server = self._choose(servers) if again and len(servers) < 2 else None
        if server is None:
            del self.tried[event.request]
            return [api.Fail(event.request)]
        servers.append(server)
        return [self._send(event.request, server)]


class Oracle(Simple):
    """Sees the one true store of each customer, and how busy and how well each host really is."""

    def _room(self, now: int, event: api.RequestArrived) -> tuple[float, float]:
        store = self.world.judge.stores[event.customer]
        return store.look(self.world.kernel.now), store.rate

    def _spend(self, now: int, event: api.RequestArrived) -> None:
        """At the judge, at once: no other gateway spends what is on its way."""
        self.world.judge.take(self.world.kernel.now, event.request)

    def _depth(self, server: api.Server) -> float:
        host = self.world.by_name[server]
        if not host.up or host.silent or host.health is not api.Phase.READY:
            return float("inf")
        station = host.station
        wrong = 1e6 * station.error_rate
        return wrong + (station.running + len(station.queue)) / max(station.speed(), 1e-3)


def _plain(part: float, choice: str) -> Factory:
    def make(settings: api.Settings, seed: int, now: int, world: World) -> Decider:
        return Simple(settings, seed, now, world, part, choice)

    return make


def birchdrum(settings: api.Settings, seed: int, now: int, world: World) -> Decider:
    """The decision module."""
    return Gateway(settings, seed, now)


def oracle(settings: api.Settings, seed: int, now: int, world: World) -> Decider:
    """The ceiling."""
    return Oracle(settings, seed, now, world, 1.0, "least outstanding")


VARIANTS: dict[str, Factory] = {
    "birchdrum": birchdrum,
    "whole-quota": _plain(1.0, "least outstanding"),
    "even-split": _plain(0.0, "least outstanding"),
    "round-robin": _plain(0.0, "round robin"),
    "two-choices": _plain(0.0, "two choices"),
    "oracle": oracle,
}
