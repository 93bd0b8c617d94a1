"""What may be sent again, and where: random outcomes, lists and departures against a checker of its own."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from conftest import KEYED_ALL, KEYED_CELL, KEYED_ZONE, SAFE, SECOND, UNSAFE, Bench, entry, listed

from orchidlane import interface as api
from orchidlane.interface import Effect, Group, Outcome, Phase

NEVER_RAN = {Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT}
CLASSES = (SAFE, KEYED_CELL, UNSAFE, KEYED_ALL, KEYED_ZONE)  # by their numbers in conftest's settings
SHORT = SECOND // 2  # a window that ends within the time of a request
COUNTED = {"repeats": 0, "after_ran": 0}


@dataclass
class Sent:
    server: bytes
    at: int
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass
class Watched:
    """A request as hosts and the client see it."""

    cls: api.RequestClass
    sent: list[Sent] = field(default_factory=list)
    is_over: bool = False


class Checker:
    """Follows what a gateway does; knows nothing of how it decides."""

    def __init__(self, bench: Bench) -> None:
        self.bench, self.requests, self.entries = bench, {}, {}
        self.banned: set[bytes] = set()
        self.seen = 0
        feed = bench.feed

        def followed(event: api.Event) -> list[api.Action]:
            actions = feed(event)
            self.follow()  # at the time at which it acts, also while time passes
            return actions

        bench.feed = followed

    def list(self, *entries: api.ServerEntry) -> None:
        self.entries |= {e.server: e for e in entries}
        self.bench.feed(listed(*entries, kind=api.ListKind.CHANGES))

    def ban(self, server: bytes, out: bool) -> None:
        (self.banned.add if out else self.banned.discard)(server)
        self.bench.feed(api.ServerBanned(server, out))

    def follow(self) -> None:
        """Check each action that is new."""
        while self.seen < len(self.bench.log):
            action = self.bench.log[self.seen]
            self.seen += 1
            if isinstance(action, api.Send):
                self.check(self.requests[action.request], action)
            elif isinstance(action, api.Refuse | api.Fail):
                request = self.requests[action.request]
                assert not request.is_over, "answered twice"
                request.is_over = True
                if isinstance(action, api.Refuse) and any(sent.may_have_run for sent in request.sent):
                    assert request.cls.effect is Effect.SAFE or request.cls.group is Group.ALL
                    assert request.cls.effect is not Effect.UNSAFE, "told that it did not run"
            elif isinstance(action, api.Cancel):
                sent = self.requests[action.request].sent[action.attempt]
                if sent.outcome is None:  # the wire tells at once, before anything else
                    sent.outcome = Outcome.CANCELLED
                    self.bench.outcome(action.request, sent.server, Outcome.CANCELLED, action.attempt)

    def check(self, request: Watched, action: api.Send) -> None:
        assert not request.is_over, "sent after its end"
        entry = self.entries[action.server]
        assert entry.phase is Phase.READY, "sent to a host that leaves"
        assert action.server not in self.banned, "sent to a host that operators took out"
        ran = [sent for sent in request.sent if sent.may_have_run]
        if request.cls.effect is Effect.UNSAFE:
            assert not ran, "an unsafe request may run twice"
        elif request.cls.effect is Effect.KEYED and ran:
            first = ran[0]
            ends = first.at + request.cls.dedup_window
            assert self.bench.now < ends and 0 < action.send_by < ends, "after the window"
            other = self.entries[first.server]
            same = {
                Group.ALL: True,
                Group.ZONE: entry.zone == other.zone,
                Group.CELL: entry.cell == other.cell,
            }
            assert same[request.cls.group], "outside of its group"
        assert request.cls.effect is Effect.SAFE or all(sent.outcome for sent in request.sent), "two are out"
        COUNTED["repeats"] += bool(request.sent)
        COUNTED["after_ran"] += bool(ran)
        request.sent.append(Sent(action.server, self.bench.now))


def play(seed: int) -> None:
    draw = random.Random(seed)
    classes = tuple(
        api.RequestClass(
            c.target_latency,
            c.deadline,
            c.worth,
            c.late_worth,
            c.effect,
            c.group,
            SHORT if c.dedup_window else 0,
        )
        for c in CLASSES
    )
    bench = Bench(servers=0, seed=seed, classes=classes)
    bench.gateway._latency_limit = lambda request: float("inf")
    checker = Checker(bench)
    checker.list(*(entry(n, cell=n % 3, zone=n % 2) for n in range(8)))
    for number in range(1, 150):
        kind = draw.randrange(len(classes))
        checker.requests[number] = Watched(classes[kind])
        bench.gateway.retry_budget = 5.0  # what the rules allow is at stake, not how much of it
        bench.ask(number, kind=kind, customer=draw.randrange(40))
        for _ in range(draw.randrange(5)):
            out = [
                (request, place, sent)
                for request, watched in checker.requests.items()
                for place, sent in enumerate(watched.sent)
                if sent.outcome is None
            ]
            event = draw.choice(("outcome",) * 6 + ("list", "ban", "time", "time", "gone"))
            if event == "outcome" and out:
                request, place, sent = draw.choice(out)
                sent.outcome = draw.choice([o for o in Outcome if o is not Outcome.CANCELLED])
                served = sent.outcome is Outcome.SERVED or checker.requests[request].is_over
                checker.requests[request].is_over |= served
                bench.outcome(request, sent.server, sent.outcome, place, answered=served)
            elif event == "list":
                n = draw.randrange(8)
                phase = draw.choice((Phase.READY, Phase.READY, Phase.DRAINING))
                launched = draw.choice((0, bench.now))  # long ago, or it started anew
                checker.list(entry(n, phase, cell=n % 3, zone=n % 2, launched=launched))
            elif event == "ban":
                checker.ban(entry(draw.randrange(8)).server, draw.random() < 0.4)
            elif event == "time":
                bench.run(draw.choice((1_000, 100_000, SHORT - 30_000, SHORT)))
            elif event == "gone":
                request = draw.randrange(1, number + 1)
                if not checker.requests[request].is_over:
                    checker.requests[request].is_over = True
                    bench.feed(api.ClientGone(request))
    bench.run(20 * SECOND)
    # What is out has its outcome by now; then every request has its one end.
    for number, watched in checker.requests.items():
        for place, sent in enumerate(watched.sent):
            if sent.outcome is None:
                sent.outcome = Outcome.TIMED_OUT
                bench.outcome(number, sent.server, Outcome.TIMED_OUT, place, answered=watched.is_over)
    assert all(watched.is_over for watched in checker.requests.values())
    assert bench.gateway.requests == bench.gateway.attempts == {}
    assert all(host.open_attempts == 0 for host in bench.gateway.hosts.values())


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_no_request_may_run_where_its_class_does_not_allow_it(first):
    COUNTED.update(repeats=0, after_ran=0)
    for seed in range(first, first + 50):
        play(seed)
    assert COUNTED["repeats"] > 500 and COUNTED["after_ran"] > 200  # it was put to the test
