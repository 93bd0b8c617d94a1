"""What a gateway may act by: the version of the settings that it holds, and for how long.

Knows neither clock nor socket: microseconds of a clock that runs on while the machine sleeps are handed in.
``registry/agreement.py`` is the other side and has the rules. The lease begins when the question was sent,
not when its answer came, and is looked at in each decision: who stood still finds it over before it acts.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

MS = 1_000  # microseconds
DRIFT = 0.001  # a clock runs no more than this part too fast or too slow
ASKED_MOST = 64  # questions whose answers may still come
RENEW = 3  # questions in a lease: an answer may wait so long for news, and two may be lost
PATIENCE = 1.2  # times as long until a question is asked again
PACE = 200 * MS  # between two, where no lease is given
NEVER = "never"  # the rule of a change whose old and new may never hold side by side


@dataclass(frozen=True, slots=True)
class EffectiveSettings:
    """What holds for one decision. ``version``: all of it is as in there; None: nothing was ever heard.
    ``narrow``: another version, too, may hold elsewhere, so what may never contradict is refused, and of the
    rest the narrower counts. ``lapsed``: because the lease is over."""

    version: int | None
    restricted: bool = False
    lapsed: bool = False


class Holder:
    """One gateway's side."""

    def __init__(self, name: str, life: int, able: Callable[[int], str | None] | None = None) -> None:
        """``life`` tells this process from its former self; ``able`` says why a version can't be taken, None
        where it can."""
        self.name, self.life, self.able = name, life, able
        self.source = 0  # life of the source that was heard
        self.version: int | None = None
        self.prepared = 0  # version that we said we are ready for
        self.restricted = False  # since then what it changes is at no one's
        self.refused: str | None = None
        self.lease_end = 0  # the end of the lease
        self.lease_duration = 0  # its length, microseconds
        self.number = 0
        self.taken = 0  # number of the question whose answer was taken last
        self.asked: OrderedDict[int, int] = OrderedDict()  # number: when it was sent
        self.next = 0

    def due(self, now: int) -> bool:
        """Whether to ask again."""
        return now >= self.next

    def make_request(self, now: int) -> dict[str, Any]:
        """The next question: that we are here, what we hold and what we are ready for."""
        self.number += 1
        self.asked[self.number] = now
        if len(self.asked) > ASKED_MOST:
            self.asked.popitem(last=False)
        self.next = now + max(PACE, int(PATIENCE * self.lease_duration / RENEW))
        return {
            "holder": self.name,
            "life": self.life,
            "asked": self.number,
            "had": self.taken,
            "version": self.version or 0,
            "prepared": self.prepared,
            "refused": self.refused,
        }

    def apply_answer(self, now: int, answer: Mapping[str, Any]) -> bool:
        """An answer. False: it is older than what we know, answers nothing that we asked, or names a version
        that can't be taken."""
        if answer["life"] != self.life:
            return False  # to our former self, whose numbers were the same
        sent = self.asked.pop(answer["asked"], None)
        source = answer["source"], answer["version"]
        if sent is None or answer["asked"] <= self.taken or source < (self.source, self.version or 0):
            return False
        self.taken = answer["asked"]
        self.next = now + PACE
        if answer["version"] != self.version and (why := self._unable(answer["version"])):
            self.refused = why  # and what we hold runs out
            return False
        self.source, self.version = source
        self.lease_duration = answer["lease_ms"] * MS
        self.lease_end = max(self.lease_end, sent + int(self.lease_duration * (1 - DRIFT)))
        wanted = answer["prepare"]
        if wanted and wanted > self.version and wanted != self.prepared:
            self.refused = self._unable(wanted)
            self.prepared = 0 if self.refused else wanted
        elif not wanted:
            self.prepared, self.refused = 0, None
        self.next = now if self.lease_duration else now + PACE  # the answer waits there for news
        self.restricted = bool(self.prepared) and answer["rule"] == NEVER
        return True

    def _unable(self, version: int) -> str | None:
        return self.able(version) if self.able else None

    def effective(self, now: int) -> EffectiveSettings:
        """What this decision goes by."""
        lapsed = now >= self.lease_end
        return EffectiveSettings(self.version, self.restricted or lapsed, lapsed)
