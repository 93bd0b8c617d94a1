"""Baselines that membership is compared with: heartbeats with a timeout, and SWIM without extensions."""

from __future__ import annotations

from orchidlane import member_state as state
from orchidlane import membership
from orchidlane.member_messages import Message, Row, RowKind

from .membership import Core, Factory, ProductionCore, production_core

HEARTBEAT_INTERVAL = 1_000_000  # microseconds
MISSED_MAX = 3  # heartbeat intervals without a message; after more, the member is declared dead


class Heartbeats:
    """All-to-all heartbeats once a second; a member is declared dead after three seconds without one."""

    def __init__(self, rank: int, size: int, now: int) -> None:
        self.rank = rank
        self.others = [other for other in range(size) if other != rank]
        self.last_received = dict.fromkeys(self.others, now)
        self.dead: set[int] = set()
        self.next_heartbeat = now

    def _set_dead(self, rank: int, is_dead: bool, now: int) -> state.LogEvent:
        if is_dead:
            self.dead.add(rank)
        else:
            self.dead.discard(rank)
        state_name = "gone" if is_dead else "alive"
        return state.LogEvent("member", {"member": rank, "state": state_name})

    def tick(self, now: int) -> list[state.Action]:
        """Send heartbeats that are due, and check the others' timeouts."""
        actions: list[state.Action] = []
        if now >= self.next_heartbeat:
            self.next_heartbeat = max(self.next_heartbeat + HEARTBEAT_INTERVAL, now)
            actions += [state.Send(other, b"here") for other in self.others]
        for other, received_at in self.last_received.items():
            if now - received_at > MISSED_MAX * HEARTBEAT_INTERVAL and other not in self.dead:
                actions.append(self._set_dead(other, True, now))
        return actions

    def receive(self, now: int, sender: int, data: bytes) -> list[state.Action]:
        """Process a heartbeat."""
        self.last_received[sender] = now
        return [self._set_dead(sender, False, now)] if sender in self.dead else []

    def leave(self, now: int) -> list[state.Action]:
        """Do nothing: the protocol has no leave message."""
        return []

    def considers_active(self, rank: int) -> bool:
        """Return whether the member has not been declared dead."""
        return rank not in self.dead


class PlainSwim(ProductionCore):
    """SWIM as published: probes, indirect probes, a constant suspicion timeout, and refutation.

    It has no local health, no own check of a suspect before the timeout, no evidence besides the suspect's
    refutation, and no detection of failed links; it believes every DEAD row.
    """

    def _detect_pause(self, now: int) -> None:
        self.last_called = now
        super()._detect_pause(now)
        self.health = 0

    def _suspicion_timeout(self, member: state.Member) -> float:
        # 0.30103 is log10(2): the size factor is log10 of the fleet's size.
        return membership.SUSPICION_MIN * max(membership.SIZE_FACTOR_MIN, self._log_scaled(1) * 0.30103)

    def _gossip_last_seen(self, now: int, member: state.Member) -> bool:
        return False

    def _handle_acknowledged(self, now: int, member: state.Member, acknowledged: int) -> None:
        return

    def _apply_suspicion(self, now: int, member: state.Member, row: Row, evidence_at: int) -> bool:
        member.last_seen = 0
        super()._apply_suspicion(now, member, row, evidence_at)
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
    """Create a member of the heartbeat baseline."""
    return Heartbeats(rank, size, now)


def swim(rank: int, size: int, life: int, seed: int, now: int) -> Core:
    """Create a member of the SWIM baseline."""
    return PlainSwim(rank, size, "lab", life, seed, now, intake=100.0)


VARIANTS: dict[str, Factory] = {"birchdrum": production_core, "swim": swim, "heartbeats": heartbeats}
