"""Defects to be planted in the membership core and in what learns addresses.

A check that does not find them proves nothing.

Each is a class that stands for the core in the virtual world and the model check; ``plant`` puts one into a
process of the proving ground, named by the environment.
"""

from __future__ import annotations

import contextlib
import os

from orchidlane import member_state as state
from orchidlane import membership
from orchidlane.member_messages import InvalidMessage, Message, Row, RowKind
from orchidlane.member_news import MEMBER
from orchidlane.membership import Membership
from saffrongw import places
from saffrongw.config import Address
from saffrongw.places import Action, AddressBook, AddressChanged, PeerAddress

VARIABLE = "LAB_DEFECT"  # not of those that the proving ground takes away


class NoIncarnation(Membership):
    """Refutes without a new incarnation: nobody has a reason to believe it."""

    def _apply_row_about_self(self, now: int, row: Row) -> None:
        was = self.incarnation
        super()._apply_row_about_self(now, row)
        if row.life == self.life:
            self.incarnation = was
            self.gossip.drop(self.rank, MEMBER)


class NoRefutation(Membership):
    """Lets others say of it what they like."""

    def _apply_row_about_self(self, now: int, row: Row) -> None:
        if row.life != self.life:
            super()._apply_row_about_self(now, row)


class NoSelfDoubt(Membership):
    """Goes on after a standstill as if nothing had been: what waits in its socket is news, and silence is
    the others'."""

    def _detect_pause(self, now: int) -> None:
        self.last_called = now
        super()._detect_pause(now)


class NoLinkReport(Membership):
    """Does not look at what others heard of it."""

    def _handle_acknowledged(self, now: int, member: state.Member, heard: int) -> None:
        return


class NoVouching(Membership):
    """Keeps to itself whom it heard, and takes a DEAD for the truth."""

    def _gossip_last_seen(self, now: int, member: state.Member) -> bool:
        return False

    def _apply_doubt(self, now: int, member: state.Member, row: Row, at: int) -> bool:
        super()._apply_doubt(now, member, row, at)
        if row.kind is RowKind.DEAD and member.state in state.ACTIVE_STATES:
            self._set_state(now, member, state.State.DEAD)
        return False


class NoYielding(Membership):
    """Goes on beside a twin."""

    def _apply_row_about_self(self, now: int, row: Row) -> None:
        if row.life <= self.life or now - self.started_at <= membership.TWIN_GRACE:
            super()._apply_row_about_self(now, row)


class OldLivesCount(Membership):
    """Takes a former self's late datagrams for the member's own."""

    def _process(self, now: int, message: Message) -> None:
        member = self.members[message.sender]
        if message.life < member.life:
            self._reset_for_life(member, message.life)
        super()._process(now, message)


class DoesNotPassOn(AddressBook):
    """Tells nobody where the others are."""

    def receive(self, now: int, source: Address, data: bytes) -> list[Action]:
        known, self.peers = self.peers, {}
        done = super().receive(now, source, data)
        self.peers = known | self.peers
        return done


class TakesSource(AddressBook):
    """Binds a rank to wherever a message of its life comes from."""

    def receive(self, now: int, source: Address, data: bytes) -> list[Action]:
        done = super().receive(now, source, data)
        with contextlib.suppress(InvalidMessage):
            _, rank, life, *_ = self._unpack(data)
            if rank != self.rank and life >= self.peers.get(rank, PeerAddress(0, source)).life:
                self.peers[rank] = PeerAddress(life, source)
                done.append(AddressChanged(rank, source))
        return done


class TakesHearsay(AddressBook):
    """Binds a rank to wherever others say that it is."""

    def _set_candidate(self, now: int, rank: int, place: PeerAddress) -> bool:
        self._bind(rank, place)
        return True


DEFECTS: dict[str, type[Membership]] = {
    "no-incarnation": NoIncarnation,
    "no-refutation": NoRefutation,
    "no-self-doubt": NoSelfDoubt,
    "no-link-report": NoLinkReport,
    "no-vouching": NoVouching,
    "no-yielding": NoYielding,
    "old-lives-count": OldLivesCount,
}
PLACES: dict[str, type[AddressBook]] = {
    "does-not-pass-on": DoesNotPassOn,
    "takes-source": TakesSource,
    "takes-hearsay": TakesHearsay,
}
NAMES = (*DEFECTS, *PLACES)


def plant(name: str) -> None:
    """Into this process, before the gateway's parts are loaded."""
    if name in PLACES:
        places.AddressBook = PLACES[name]  # type: ignore[misc]
    else:
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
