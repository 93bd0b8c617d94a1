"""What membership is measured against: plain timeouts on heartbeats, and SWIM without self-doubt."""

from __future__ import annotations

from orchidlane import member_state as state
from orchidlane import membership
from orchidlane.member_messages import Message, Row, RowKind

from .membership import Core, Factory, ProductionCore, production_core

EVERY = 1_000_000  # microseconds between two heartbeats to each
MISSED = 3  # of them until a member is gone


class Heartbeats:
    """To everybody once a second; gone after three seconds of silence."""

    def __init__(self, rank: int, size: int, now: int) -> None:
        self.rank = rank
        self.others = [other for other in range(size) if other != rank]
        self.heard_at = dict.fromkeys(self.others, now)
        self.gone: set[int] = set()
        self.next = now

    def _turn(self, rank: int, is_gone: bool, now: int) -> state.LogEvent:
        if is_gone:
            self.gone.add(rank)
        else:
            self.gone.discard(rank)
        word = "gone" if is_gone else "alive"
        return state.LogEvent("member", {"member": rank, "state": word})

    def tick(self, now: int) -> list[state.Action]:
        """Beat, and look who is late."""
        done: list[state.Action] = []
        if now >= self.next:
            self.next = max(self.next + EVERY, now)
            done += [state.Send(other, b"here") for other in self.others]
        for other, at in self.heard_at.items():
            if now - at > MISSED * EVERY and other not in self.gone:
                done.append(self._turn(other, True, now))
        return done

    def receive(self, now: int, sender: int, data: bytes) -> list[state.Action]:
        """It is there."""
        self.heard_at[sender] = now
        return [self._turn(sender, False, now)] if sender in self.gone else []

    def leave(self, now: int) -> list[state.Action]:
        """Knows no such word."""
        return []

    def considers_active(self, rank: int) -> bool:
        """Not gone."""
        return rank not in self.gone


class PlainSwim(ProductionCore):
    """SWIM as published: probes, relays, suspicion of one length, refutation. No health of its own, no look
    of one's own before the end, no evidence but the suspect's word, a DEAD is believed, nothing of links."""

    def _detect_pause(self, now: int) -> None:
        self.last_called = now
        super()._detect_pause(now)
        self.health = 0

    def _suspicion_timeout(self, member: state.Member) -> float:
        return membership.SUSPICION_MIN * max(membership.SIZE_FACTOR_MIN, self._log_scaled(1) * 0.30103)

    def _gossip_last_seen(self, now: int, member: state.Member) -> bool:
        return False

    def _handle_acknowledged(self, now: int, member: state.Member, heard: int) -> None:
        return

    def _apply_doubt(self, now: int, member: state.Member, row: Row, at: int) -> bool:
        member.last_seen = 0
        super()._apply_doubt(now, member, row, at)
        if (
            row.kind is RowKind.DEAD
            and member.state in state.ACTIVE_STATES
            and row.incarnation >= member.incarnation
        ):
            self._set_state(now, member, state.State.DEAD)
            self.gossip.add(now, row)
        return False

    def _check_suspects(self, now: int) -> None:
        for member in [self.members[rank] for rank in self.suspects]:
            if now - member.suspected_at >= self._suspicion_timeout(member):
                self._set_state(now, member, state.State.DEAD)
                self.gossip.add(now, self._member_row(now, member))

    def _process(self, now: int, message: Message) -> None:
        self.has_fresh_answer = True
        super()._process(now, message)


def heartbeats(rank: int, size: int, life: int, seed: int, now: int) -> Core:
    """The first baseline."""
    return Heartbeats(rank, size, now)


def swim(rank: int, size: int, life: int, seed: int, now: int) -> Core:
    """The second one."""
    return PlainSwim(rank, size, "lab", life, seed, now, intake=100.0)


VARIANTS: dict[str, Factory] = {"birchdrum": production_core, "swim": swim, "heartbeats": heartbeats}
