"""Planted defects of the membership core and of address discovery; the checks must detect each.

Each defect is a class that replaces the core in the simulations and in the model check. ``plant`` installs
one in a gateway process of ``lab/cluster``, which gets its name from an environment variable.
"""

from __future__ import annotations

import contextlib
import os

from orchidlane import member_state as state
from orchidlane import membership
from orchidlane.member_gossip import MEMBER
from orchidlane.member_messages import InvalidMessage, Message, Row, RowKind
from orchidlane.membership import Membership
from saffrongw import address_book
from saffrongw.address_book import Action, AddressBook, AddressChanged, PeerAddress
from saffrongw.config import Address

DEFECT_VARIABLE = "LAB_DEFECT"  # its prefix is not among those that lab/cluster removes from the environment


class NoIncarnation(Membership):
    """Refutes a suspicion without a higher incarnation, so that the others ignore the refutation."""

    def _apply_row_about_self(self, now: int, row: Row) -> None:
        old_incarnation = self.incarnation
        super()._apply_row_about_self(now, row)
        if row.life == self.life:
            self.incarnation = old_incarnation
            self.gossip.drop(self.rank, MEMBER)


class NoRefutation(Membership):
    """Does not refute a suspicion or death of itself."""

    def _apply_row_about_self(self, now: int, row: Row) -> None:
        if row.life != self.life:
            super()._apply_row_about_self(now, row)


class NoSelfDoubt(Membership):
    """Does not notice its own pause: it trusts the datagrams that were buffered meanwhile, and blames the
    others for missing messages."""

    def _detect_pause(self, now: int) -> None:
        self.last_called = now
        super()._detect_pause(now)


class NoLinkReport(Membership):
    """Ignores which of its messages the others have received."""

    def _handle_acknowledged(self, now: int, member: state.Member, acknowledged: int) -> None:
        return


class NoVouching(Membership):
    """Does not report when it last received from a suspect, and believes every DEAD row."""

    def _gossip_last_seen(self, now: int, member: state.Member) -> bool:
        return False

    def _apply_suspicion(self, now: int, member: state.Member, row: Row, evidence_at: int) -> bool:
        super()._apply_suspicion(now, member, row, evidence_at)
        if row.kind is RowKind.DEAD and member.state in state.ACTIVE_STATES:
            self._set_state(now, member, state.State.DEAD)
        return False


class NoYielding(Membership):
    """Keeps running beside a newer process of the same rank."""

    def _apply_row_about_self(self, now: int, row: Row) -> None:
        if row.life <= self.life or now - self.started_at <= membership.EARLIER_LIFE_GRACE:
            super()._apply_row_about_self(now, row)


class OldLivesCount(Membership):
    """Accepts late datagrams of an earlier process of the member."""

    def _process(self, now: int, message: Message) -> None:
        member = self.members[message.sender]
        if message.life < member.life:
            self._reset_for_life(member, message.life)
        super()._process(now, message)


class DoesNotPassOn(AddressBook):
    """Does not pass on the addresses that it knows."""

    def receive(self, now: int, sender_address: Address, data: bytes) -> list[Action]:
        """Process the datagram with the known peers hidden, so that a reply lists none of their addresses."""
        known, self.peers = self.peers, {}
        actions = super().receive(now, sender_address, data)
        self.peers = known | self.peers
        return actions


class TakesSource(AddressBook):
    """Binds a rank to the source address of any message of its current or a newer life."""

    def receive(self, now: int, sender_address: Address, data: bytes) -> list[Action]:
        """Process the datagram, then bind its rank to its source even if it answers no HELLO of ours."""
        actions = super().receive(now, sender_address, data)
        with contextlib.suppress(InvalidMessage):
            _, rank, life, *_ = self._unpack(data)
            if rank != self.rank and life >= self.peers.get(rank, PeerAddress(0, sender_address)).life:
                self.peers[rank] = PeerAddress(life, sender_address)
                actions.append(AddressChanged(rank, sender_address))
        return actions


class TakesHearsay(AddressBook):
    """Binds a rank to an address reported by others, without a HELLO to verify it."""

    def _set_candidate(self, now: int, rank: int, peer: PeerAddress) -> bool:
        self._bind(rank, peer)
        return True


CORE_DEFECTS: dict[str, type[Membership]] = {
    "no-incarnation": NoIncarnation,
    "no-refutation": NoRefutation,
    "no-self-doubt": NoSelfDoubt,
    "no-link-report": NoLinkReport,
    "no-vouching": NoVouching,
    "no-yielding": NoYielding,
    "old-lives-count": OldLivesCount,
}
ADDRESS_DEFECTS: dict[str, type[AddressBook]] = {
    "does-not-pass-on": DoesNotPassOn,
    "takes-source": TakesSource,
    "takes-hearsay": TakesHearsay,
}
DEFECT_NAMES = (*CORE_DEFECTS, *ADDRESS_DEFECTS)


def plant(name: str) -> None:
    """Install a defect in this process; call this before the gateway's modules are imported."""
    if name in ADDRESS_DEFECTS:
        address_book.AddressBook = ADDRESS_DEFECTS[name]  # type: ignore[misc]
    else:
        membership.Membership = CORE_DEFECTS[name]  # type: ignore[misc]


def main() -> int:
    """Run the birchdrum command with the defect that the environment names."""
    import importlib

    plant(os.environ[DEFECT_VARIABLE])
    return int(importlib.import_module("birchdrum.cli").main())


if __name__ == "__main__":
    import sys

    from lab import defects

    sys.exit(defects.main())
