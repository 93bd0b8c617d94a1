"""Judges a gateway process under pressure by what clients, hosts and the system saw of it.

Sound clients beside hostile ones are owed a whole answer in time, the process its memory limit, and hosts no
request of a client that has closed, and none twice that may not be repeated.
"""

from __future__ import annotations

from dataclasses import dataclass, field

ANSWER_GRACE = 0.55  # seconds after a request's time until which its answer has to be there
CLOSE_GRACE = 0.1  # seconds after a client's close in which an attempt may still begin


@dataclass(slots=True)
class SoundRequest:
    """A request of a sound client; times in seconds of one clock."""

    request_id: str
    sent_at: float
    deadline: float  # seconds from then
    answered_at: float | None = None
    is_whole: bool = True  # the answer is a refusal, a failure or the whole value of this request
    outcome: str = ""  # served, refused or failed


@dataclass(slots=True)
class Run:
    """What a host began."""

    request_id: str
    began_at: float


@dataclass(slots=True)
class Observations:
    """All that was seen in one play."""

    memory_limit: int  # bytes
    memory: list[int] = field(default_factory=list)  # resident bytes, sampled
    requests: list[SoundRequest] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    closed_at: dict[str, float] = field(default_factory=dict)  # by request of a client that has closed
    unsafe: set[str] = field(default_factory=set)  # requests that may not be repeated
    has_exited: bool = False


def violations(seen: Observations) -> list[str]:
    """Return what the gateway owed and did not give."""
    return [
        *_memory_violations(seen),
        *(text for request in seen.requests for text in _answer_violations(request)),
        *_late_runs(seen),
        *_repeated_runs(seen),
    ]


def _memory_violations(seen: Observations) -> list[str]:
    most = max(seen.memory, default=0)
    texts = ["the process has ended"] if seen.has_exited else []
    if most > seen.memory_limit:
        texts.append(f"{most} bytes are resident, {seen.memory_limit} allowed")
    return texts


def _answer_violations(request: SoundRequest) -> list[str]:
    if request.answered_at is None:
        return [f"{request.request_id} has no answer"]
    took = request.answered_at - request.sent_at
    texts = []
    if took > request.deadline + ANSWER_GRACE:
        texts.append(f"{request.request_id} is answered after {took:.2f} s of {request.deadline:.2f} s")
    if not request.is_whole:
        texts.append(f"{request.request_id} is answered with something else than its value")
    return texts


def _late_runs(seen: Observations) -> list[str]:
    texts = []
    for run in seen.runs:
        closed_at = seen.closed_at.get(run.request_id)
        if closed_at is not None and run.began_at > closed_at + CLOSE_GRACE:
            texts.append(f"{run.request_id} began {run.began_at - closed_at:.2f} s after its client closed")
    return texts


def _repeated_runs(seen: Observations) -> list[str]:
    ran: set[str] = set()
    texts = []
    for run in seen.runs:
        if run.request_id in ran and run.request_id in seen.unsafe:
            texts.append(f"{run.request_id} ran twice")
        ran.add(run.request_id)
    return texts
