"""Cold servers under the sum of a whole fleet: what all gateways send to one stays within its budget.

A server that has started falls over when it gets more than N requests of mean work, and 2 x root of N + 2
more that are put down to chance, within the time that the settings name; N is what they allow of its capacity
then. The gateways' own cores run here on a virtual clock; only the judge below knows what a server can do."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict

import pytest
from conftest import SECOND, T0, Bench, entry, listed

from orchidlane import interface as api

SERVERS, JOIN, COME_BACK = 24, 4, 3
CAPACITY = 20.0  # requests a second of a warm server
BURST = 1.5  # times what all warm servers can do: in the burst
TOOK = 80_000  # microseconds of an answer, on average
FAILED = 0.1  # of all attempts: they are repeated
STARTED = T0 + 2 * SECOND
END = STARTED + 7 * SECOND
COLD = {"cold_from": 0.17, "warm_within": 10 * SECOND, "fall_multiple": 2.0, "overload_for": 2 * SECOND}


class World:
    """A fleet under skewed traffic: its gateways share nothing but the servers."""

    def __init__(self, gateways: int, seed: int, put_back: bool) -> None:
        self.random, self.put_back, self.number = random.Random(seed), put_back, itertools.count()
        self.events: list[tuple] = []
        self.benches = [
            Bench(0, seed=seed * 1_000 + n, rank=n, gateways=gateways, **COLD) for n in range(gateways)
        ]
        self.weights = [self.random.uniform(0.5, 1.5) * (4 if n % 7 == 0 else 1) for n in range(gateways)]
        self.told: set[int] = set()  # gateways that know of the start
        self.sends: dict[api.Server, list[tuple[int, bool]]] = defaultdict(list)  # when, by one that was told
        self.attempts: dict[int, int] = {}
        old = [entry(n) for n in range(SERVERS)]
        self.back = [entry(n, launched=STARTED) for n in range(COME_BACK)]  # under their old names
        self.fresh = [entry(100 + n, launched=STARTED) for n in range(JOIN)]
        for rank, bench in enumerate(self.benches):
            self.carry(rank, bench.feed(listed(*old)))
            self.later(STARTED + self.random.randrange(800_000), self.start, rank)
        self.later(T0, self.arrive)

    def later(self, when: int, what, *words) -> None:
        heapq.heappush(self.events, (when, next(self.number), what, words))

    def carry(self, rank: int, actions) -> None:
        bench = self.benches[rank]
        for send in (action for action in actions if isinstance(action, api.Send)):
            self.sends[send.server].append((bench.now, rank in self.told))
            attempt = self.attempts[send.request] = self.attempts.get(send.request, -1) + 1
            took = int(self.random.expovariate(1 / TOOK))
            self.later(bench.now + took, self.end, rank, send.request, send.server, attempt)
        for when, token in bench.timers:
            self.later(when, self.fire, rank, token)
        bench.timers.clear()

    def arrive(self) -> None:
        rank = self.random.choices(range(len(self.benches)), self.weights)[0]
        number = next(self.number)
        self.benches[rank].now = self.now
        self.carry(rank, self.benches[rank].ask(number, customer=number, size=1, first=rank))
        rate = SERVERS * CAPACITY * (BURST if self.now >= STARTED - SECOND else 1.0)
        self.later(self.now + int(self.random.expovariate(rate) * SECOND), self.arrive)

    def fire(self, rank: int, token: int) -> None:
        self.carry(rank, self.benches[rank].feed(api.TimerFired(token)))

    def end(self, rank: int, request: int, server: api.Server, attempt: int) -> None:
        outcome = api.Outcome.BROKEN if self.random.random() < FAILED else api.Outcome.SERVED
        self.carry(rank, self.benches[rank].outcome(request, server, outcome, attempt=attempt, took=TOOK))

    def start(self, rank: int) -> None:
        """The gateway is told; what comes back under its name had been taken out by hand and is put back."""
        bench = self.benches[rank]
        self.told.add(rank)
        by_hand = self.back if self.put_back else []
        for line in by_hand:
            bench.feed(api.ServerBanned(line.server, True))
        self.carry(rank, bench.feed(listed(*self.fresh, *self.back, kind=api.ListKind.CHANGES)))
        for line in by_hand:
            self.carry(rank, bench.feed(api.ServerBanned(line.server, False)))

    def run(self) -> None:
        self.now = T0
        while self.now < END:
            self.now, _, what, words = heapq.heappop(self.events)
            if words:
                self.benches[words[0]].now = self.now
            what(*words)

    def worst(self, server: api.Server) -> float:
        """The largest part of its budget that was sent within the time, two thirds by gateways told of it."""
        span, worst = COLD["overload_for"], 0.0
        sends = [(when, told) for when, told in self.sends[server] if when >= STARTED]
        for last, (when, _) in enumerate(sends):
            within = [told for at, told in sends[: last + 1] if at >= when - span]
            age = (min(when, when - span // 2) - STARTED) / COLD["warm_within"]
            capacity = CAPACITY * (COLD["cold_from"] + (1 - COLD["cold_from"]) * max(0.0, age))
            allowed = COLD["fall_multiple"] * capacity * span / SECOND
            if 3 * sum(within) > 2 * len(within):
                worst = max(worst, len(within) / (allowed + 2 * math.sqrt(allowed + 2)))
        return worst


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("put_back", [False, True])
@pytest.mark.parametrize("gateways", [20, 30, 200])
def test_cold_servers_bear_what_a_whole_fleet_sends(gateways, put_back, seed):
    world = World(gateways, seed, put_back)
    world.run()
    worst = {line.server: world.worst(line.server) for line in (*world.fresh, *world.back)}
    print(f"{gateways} gateways, put back {put_back}: {max(worst.values()):.2f} of the budget at most")
    assert max(worst.values()) < 1.0
    assert min(worst.values()) > 0.0  # each of them is used
