"""Defects to be planted in the membership core: a check that does not find them proves nothing.

Each is a class that stands for the core in the virtual world and the model check; ``plant`` puts one into a
process of the proving ground, named by the environment.
"""

from __future__ import annotations

import os

from orchidlane import member_state as state
from orchidlane import membership
from orchidlane.member_messages import Message, Row, Word
from orchidlane.member_news import MEMBER
from orchidlane.membership import Membership

VARIABLE = "LAB_DEFECT"  # not of those that the proving ground takes away


class NoIncarnation(Membership):
    """Refutes without a new incarnation: nobody has a reason to believe it."""

    def _learn_of_myself(self, now: int, row: Row) -> None:
        was = self.incarnation
        super()._learn_of_myself(now, row)
        if row.life == self.life:
            self.incarnation = was
            self.news.drop(self.rank, MEMBER)


class NoRefutation(Membership):
    """Lets others say of it what they like."""

    def _learn_of_myself(self, now: int, row: Row) -> None:
        if row.life != self.life:
            super()._learn_of_myself(now, row)


class NoSelfDoubt(Membership):
    """Goes on after a standstill as if nothing had been: what waits in its socket is news, and silence is
    the others'."""

    def _begin(self, now: int) -> None:
        self.last = now
        super()._begin(now)


class NoLinkReport(Membership):
    """Does not look at what others heard of it."""

    def _reported(self, now: int, member: state.Member, heard: int) -> None:
        return


class NoVouching(Membership):
    """Keeps to itself whom it heard, and takes a GONE for the truth."""

    def _vouch(self, now: int, member: state.Member) -> bool:
        return False

    def _learn_doubt(self, now: int, member: state.Member, row: Row, at: int) -> bool:
        super()._learn_doubt(now, member, row, at)
        if row.word is Word.GONE and member.state in state.HERE:
            self._set(now, member, state.State.GONE)
        return False


class NoYielding(Membership):
    """Goes on beside a twin."""

    def _learn_of_myself(self, now: int, row: Row) -> None:
        if row.life <= self.life or now - self.began <= membership.TWIN_AFTER:
            super()._learn_of_myself(now, row)


class OldLivesCount(Membership):
    """Takes a former self's late datagrams for the member's own."""

    def _take(self, now: int, message: Message) -> None:
        member = self.members[message.sender]
        if message.life < member.life:
            self._new_life(member, message.life)
        super()._take(now, message)


DEFECTS: dict[str, type[Membership]] = {
    "no-incarnation": NoIncarnation,
    "no-refutation": NoRefutation,
    "no-self-doubt": NoSelfDoubt,
    "no-link-report": NoLinkReport,
    "no-vouching": NoVouching,
    "no-yielding": NoYielding,
    "old-lives-count": OldLivesCount,
}


def plant(name: str) -> None:
    """Into this process, before the gateway's parts are loaded."""
    membership.Membership = DEFECTS[name]  # type: ignore[misc]


def main() -> int:
    """The command with a defect, as a process of the proving ground."""
    import importlib

    plant(os.environ[VARIABLE])
    return int(importlib.import_module("birchdrum.cli").main())


if __name__ == "__main__":
    import sys

    from lab import defects

    sys.exit(defects.main())
