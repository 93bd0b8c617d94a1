"""Randomized tests of the retry rules: which requests may be sent again, and to which servers.

Random outcomes, server lists, bans and disconnects are fed to a gateway; an independent checker verifies
each action.
"""

from __future__ import annotations

import dataclasses
import random
from dataclasses import dataclass, field

import pytest
from conftest import KEYED_ALL, KEYED_CELL, KEYED_ZONE, SAFE, SECOND, UNSAFE, GatewayHarness, entry, listed

from orchidlane import interface as api
from orchidlane.interface import Effect, Group, Outcome, Phase

NEVER_RAN = {Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT}
CLASSES = (SAFE, KEYED_CELL, UNSAFE, KEYED_ALL, KEYED_ZONE)  # in the order of conftest's settings
DEDUP_WINDOW = SECOND // 2  # ends before the deadline of a request
COUNTS = {"retries": 0, "retries_after_possible_run": 0}


@dataclass
class AttemptRecord:
    server: bytes
    sent_at: int
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass
class RequestRecord:
    """A request as servers and the client see it."""

    request_class: api.RequestClass
    attempts: list[AttemptRecord] = field(default_factory=list)
    is_finished: bool = False


class RetryChecker:
    """Checks the actions of a gateway, independently of its implementation."""

    def __init__(self, harness: GatewayHarness) -> None:
        self.harness = harness
        self.requests: dict[int, RequestRecord] = {}
        self.entries: dict[bytes, api.ServerEntry] = {}
        self.banned: set[bytes] = set()
        self.checked_actions = 0
        feed = harness.feed

        def feed_and_check(event: api.Event) -> list[api.Action]:
            actions = feed(event)
            self.check_new_actions()  # at the time of the action, also for timers fired by GatewayHarness.run
            return actions

        harness.feed = feed_and_check

    def list_servers(self, *entries: api.ServerEntry) -> None:
        self.entries |= {e.server: e for e in entries}
        self.harness.feed(listed(*entries, kind=api.ListKind.CHANGES))

    def ban(self, server: bytes, is_banned: bool) -> None:
        if is_banned:
            self.banned.add(server)
        else:
            self.banned.discard(server)
        self.harness.feed(api.ServerBanned(server, is_banned))

    def check_new_actions(self) -> None:
        """Check the actions since the last call."""
        while self.checked_actions < len(self.harness.log):
            action = self.harness.log[self.checked_actions]
            self.checked_actions += 1
            if isinstance(action, api.Send):
                self.check_send(self.requests[action.request], action)
            elif isinstance(action, api.Refuse | api.Fail):
                request = self.requests[action.request]
                assert not request.is_finished, "answered twice"
                request.is_finished = True
                if isinstance(action, api.Refuse) and any(
                    attempt.may_have_run for attempt in request.attempts
                ):
                    assert (
                        request.request_class.effect is Effect.SAFE
                        or request.request_class.group is Group.ALL
                    )
                    assert request.request_class.effect is not Effect.UNSAFE, (
                        "refused as not executed though it may have run"
                    )
            elif isinstance(action, api.Cancel):
                attempt = self.requests[action.request].attempts[action.attempt]
                # The transport reports a cancelled attempt before any other event.
                if attempt.outcome is None:
                    attempt.outcome = Outcome.CANCELLED
                    self.harness.end_attempt(
                        action.request, attempt.server, Outcome.CANCELLED, action.attempt
                    )

    def check_send(self, request: RequestRecord, action: api.Send) -> None:
        assert not request.is_finished, "sent after its final answer"
        entry = self.entries[action.server]
        assert entry.phase is Phase.READY, "sent to a draining server"
        assert action.server not in self.banned, "sent to a banned server"
        possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        if request.request_class.effect is Effect.UNSAFE:
            assert not possibly_run, "an unsafe request may run twice"
        elif request.request_class.effect is Effect.KEYED and possibly_run:
            first_attempt = possibly_run[0]
            window_end = first_attempt.sent_at + request.request_class.dedup_window
            assert self.harness.now < window_end and 0 < action.send_by < window_end, (
                "retried after the deduplication window"
            )
            first_entry = self.entries[first_attempt.server]
            in_group = {
                Group.ALL: True,
                Group.ZONE: entry.zone == first_entry.zone,
                Group.CELL: entry.cell == first_entry.cell,
            }
            assert in_group[request.request_class.group], "retried outside of its deduplication group"
        assert request.request_class.effect is Effect.SAFE or all(
            attempt.outcome for attempt in request.attempts
        ), "two concurrent attempts"
        COUNTS["retries"] += bool(request.attempts)
        COUNTS["retries_after_possible_run"] += bool(possibly_run)
        request.attempts.append(AttemptRecord(action.server, self.harness.now))


def with_short_window(request_class: api.RequestClass) -> api.RequestClass:
    """Return the class with a short deduplication window, if it has one at all."""
    return dataclasses.replace(request_class, dedup_window=DEDUP_WINDOW if request_class.dedup_window else 0)


def end_random_attempt(checker: RetryChecker, rng: random.Random) -> None:
    """End one of the open attempts, if any, with a random outcome."""
    open_attempts = [
        (request, attempt_number, attempt)
        for request, record in checker.requests.items()
        for attempt_number, attempt in enumerate(record.attempts)
        if attempt.outcome is None
    ]
    if not open_attempts:
        return
    request, attempt_number, attempt = rng.choice(open_attempts)
    attempt.outcome = rng.choice([outcome for outcome in Outcome if outcome is not Outcome.CANCELLED])
    served = attempt.outcome is Outcome.SERVED or checker.requests[request].is_finished
    checker.requests[request].is_finished |= served
    checker.harness.end_attempt(request, attempt.server, attempt.outcome, attempt_number, answered=served)


def list_random_server(checker: RetryChecker, rng: random.Random) -> None:
    """List a server as ready or draining, either unchanged or restarted."""
    index = rng.randrange(8)
    phase = rng.choice((Phase.READY, Phase.READY, Phase.DRAINING))
    launched = rng.choice((0, checker.harness.now))  # long ago, or restarted now
    checker.list_servers(entry(index, phase, cell=index % 3, zone=index % 2, launched=launched))


def disconnect_random_client(checker: RetryChecker, rng: random.Random, last_request: int) -> None:
    """Disconnect the client of a random request, unless it has its final answer."""
    request = rng.randrange(1, last_request + 1)
    if not checker.requests[request].is_finished:
        checker.requests[request].is_finished = True
        checker.harness.feed(api.ClientGone(request))


def feed_random_event(checker: RetryChecker, rng: random.Random, last_request: int) -> None:
    """Feed one random event, or let time pass."""
    event = rng.choice(("outcome",) * 6 + ("list", "ban", "time", "time", "gone"))
    if event == "outcome":
        end_random_attempt(checker, rng)
    elif event == "list":
        list_random_server(checker, rng)
    elif event == "ban":
        checker.ban(entry(rng.randrange(8)).server, rng.random() < 0.4)
    elif event == "time":
        checker.harness.run(rng.choice((1_000, 100_000, DEDUP_WINDOW - 30_000, DEDUP_WINDOW)))
    elif event == "gone":
        disconnect_random_client(checker, rng, last_request)


def time_out_open_attempts(checker: RetryChecker) -> None:
    for number, record in checker.requests.items():
        for attempt_number, attempt in enumerate(record.attempts):
            if attempt.outcome is None:
                attempt.outcome = Outcome.TIMED_OUT
                checker.harness.end_attempt(
                    number, attempt.server, Outcome.TIMED_OUT, attempt_number, answered=record.is_finished
                )


def run_random_scenario(seed: int) -> None:
    rng = random.Random(seed)
    classes = tuple(with_short_window(request_class) for request_class in CLASSES)
    harness = GatewayHarness(servers=0, seed=seed, classes=classes)
    harness.gateway._latency_limit = lambda request: float("inf")  # no request is shed
    checker = RetryChecker(harness)
    checker.list_servers(*(entry(index, cell=index % 3, zone=index % 2) for index in range(8)))
    for number in range(1, 150):
        kind = rng.randrange(len(classes))
        checker.requests[number] = RequestRecord(classes[kind])
        harness.gateway.retry_budget = 5.0  # the retry budget must not limit what is tested
        harness.send_request(number, kind=kind, customer=rng.randrange(40))
        for _ in range(rng.randrange(5)):
            feed_random_event(checker, rng, last_request=number)
    harness.run(20 * SECOND)
    time_out_open_attempts(checker)
    # Every request must have had its final answer.
    assert all(record.is_finished for record in checker.requests.values())
    assert harness.gateway.requests == harness.gateway.attempts == {}
    assert all(host.open_attempts == 0 for host in harness.gateway.hosts.values())


@pytest.mark.parametrize("first_seed", range(0, 200, 50))
def test_requests_are_retried_only_where_their_class_allows_it(first_seed):
    COUNTS.update(retries=0, retries_after_possible_run=0)
    for seed in range(first_seed, first_seed + 50):
        run_random_scenario(seed)
    # With fewer retries too little would be tested.
    assert COUNTS["retries"] > 500 and COUNTS["retries_after_possible_run"] > 200
