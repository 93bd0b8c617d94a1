"""Tests of slow start in a fleet: all gateways together must not overload a cold server.

A cold server is overloaded by more than N + 2 * sqrt(N + 2) requests of average work within ``overload_for``.
N is ``fall_multiple`` times the requests that its capacity allows in that time, reduced while it is cold; the
root term allows for random variation. The gateways' decisions run on a virtual clock, and only
``peak_budget_use`` knows the capacity of a server.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict

import pytest
from conftest import SECOND, T0, GatewayHarness, entry, listed

from orchidlane import interface as api

OLD_SERVERS = 24
NEW_SERVERS = 4
RESTARTED_SERVERS = 3
CAPACITY = 20.0  # requests per second of a warm server
BURST_FACTOR = 1.5  # of the capacity of all warm servers, from 1 s before the start
RESPONSE_TIME = 80_000  # microseconds, on average
FAILURE_RATE = 0.1  # of all attempts; failed ones are retried
STARTED_AT = T0 + 2 * SECOND
END_AT = STARTED_AT + 7 * SECOND
SLOW_START = {"cold_from": 0.17, "warm_within": 10 * SECOND, "fall_multiple": 2.0, "overload_for": 2 * SECOND}


class FleetSimulation:
    """A fleet under uneven traffic, whose gateways exchange no messages and share only the servers."""

    def __init__(self, gateways: int, seed: int, were_banned: bool) -> None:
        self.random = random.Random(seed)
        self.were_banned = were_banned
        self.sequence = itertools.count()
        self.events: list[tuple] = []
        self.harnesses = [
            GatewayHarness(0, seed=seed * 1_000 + n, rank=n, gateways=gateways, **SLOW_START)
            for n in range(gateways)
        ]
        self.weights = [self.random.uniform(0.5, 1.5) * (4 if n % 7 == 0 else 1) for n in range(gateways)]
        self.notified_gateways: set[int] = set()  # ranks of the gateways that know of the new servers
        # By server: the time of each send, and whether the gateway was notified by then.
        self.sends: dict[api.Server, list[tuple[int, bool]]] = defaultdict(list)
        self.attempts: dict[int, int] = {}
        old_servers = [entry(n) for n in range(OLD_SERVERS)]
        # Restarted servers keep their names.
        self.restarted_servers = [entry(n, launched=STARTED_AT) for n in range(RESTARTED_SERVERS)]
        self.new_servers = [entry(100 + n, launched=STARTED_AT) for n in range(NEW_SERVERS)]
        for rank, harness in enumerate(self.harnesses):
            self.process_actions(rank, harness.feed(listed(*old_servers)))
            self.schedule(STARTED_AT + self.random.randrange(800_000), self.announce_servers, rank)
        self.schedule(T0, self.generate_request)

    def schedule(self, time: int, callback, *arguments) -> None:
        heapq.heappush(self.events, (time, next(self.sequence), callback, arguments))

    def process_actions(self, rank: int, actions) -> None:
        harness = self.harnesses[rank]
        for send in (action for action in actions if isinstance(action, api.Send)):
            self.sends[send.server].append((harness.now, rank in self.notified_gateways))
            attempt = self.attempts.get(send.request, -1) + 1
            self.attempts[send.request] = attempt
            took = int(self.random.expovariate(1 / RESPONSE_TIME))
            self.schedule(harness.now + took, self.end_attempt, rank, send.request, send.server, attempt)
        for time, token in harness.timers:
            self.schedule(time, self.fire_timer, rank, token)
        harness.timers.clear()

    def generate_request(self) -> None:
        rank = self.random.choices(range(len(self.harnesses)), self.weights)[0]
        number = next(self.sequence)
        self.harnesses[rank].now = self.now
        self.process_actions(
            rank, self.harnesses[rank].send_request(number, customer=number, set_size=1, set_first=rank)
        )
        rate = OLD_SERVERS * CAPACITY * (BURST_FACTOR if self.now >= STARTED_AT - SECOND else 1.0)
        self.schedule(self.now + int(self.random.expovariate(rate) * SECOND), self.generate_request)

    def fire_timer(self, rank: int, token: int) -> None:
        self.process_actions(rank, self.harnesses[rank].feed(api.TimerFired(token)))

    def end_attempt(self, rank: int, request: int, server: api.Server, attempt: int) -> None:
        outcome = api.Outcome.BROKEN if self.random.random() < FAILURE_RATE else api.Outcome.SERVED
        self.process_actions(
            rank,
            self.harnesses[rank].end_attempt(request, server, outcome, attempt=attempt, took=RESPONSE_TIME),
        )

    def announce_servers(self, rank: int) -> None:
        """Notify a gateway of the new and restarted servers.

        With ``were_banned`` the restarted ones were banned by operators before, and the ban is lifted.
        """
        harness = self.harnesses[rank]
        self.notified_gateways.add(rank)
        banned_entries = self.restarted_servers if self.were_banned else []
        for server_entry in banned_entries:
            harness.feed(api.ServerBanned(server_entry.server, True))
        self.process_actions(
            rank, harness.feed(listed(*self.new_servers, *self.restarted_servers, kind=api.ListKind.CHANGES))
        )
        for server_entry in banned_entries:
            self.process_actions(rank, harness.feed(api.ServerBanned(server_entry.server, False)))

    def run(self) -> None:
        self.now = T0
        while self.now < END_AT:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            if arguments:
                self.harnesses[arguments[0]].now = self.now
            callback(*arguments)

    def peak_budget_use(self, server: api.Server) -> float:
        """Return the largest share of the server's budget that was sent within ``overload_for``.

        Only windows count in which more than two thirds of the sends came from gateways that were notified.
        """
        window = SLOW_START["overload_for"]
        peak = 0.0
        sends = [(time, notified) for time, notified in self.sends[server] if time >= STARTED_AT]
        for last_index, (time, _) in enumerate(sends):
            notified_in_window = [
                notified for sent_at, notified in sends[: last_index + 1] if sent_at >= time - window
            ]
            warm_up_progress = (min(time, time - window // 2) - STARTED_AT) / SLOW_START["warm_within"]
            capacity = CAPACITY * (
                SLOW_START["cold_from"] + (1 - SLOW_START["cold_from"]) * max(0.0, warm_up_progress)
            )
            allowed = SLOW_START["fall_multiple"] * capacity * window / SECOND
            if 3 * sum(notified_in_window) > 2 * len(notified_in_window):
                peak = max(peak, len(notified_in_window) / (allowed + 2 * math.sqrt(allowed + 2)))
        return peak


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("were_banned", [False, True])
@pytest.mark.parametrize("gateways", [20, 30, 200])
def test_a_whole_fleet_does_not_overload_cold_servers(gateways, were_banned, seed):
    simulation = FleetSimulation(gateways, seed, were_banned)
    simulation.run()
    peaks = {
        server_entry.server: simulation.peak_budget_use(server_entry.server)
        for server_entry in (*simulation.new_servers, *simulation.restarted_servers)
    }
    print(f"{gateways} gateways, banned before {were_banned}: {max(peaks.values()):.2f} of the budget used")
    assert max(peaks.values()) < 1.0
    assert min(peaks.values()) > 0.0  # every server gets requests
