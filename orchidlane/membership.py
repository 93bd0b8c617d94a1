"""Membership of the gateways: failure detection by probes, dissemination by gossip.

The protocol logic, without clock or sockets: ``receive`` and ``tick`` take the time (microseconds of a clock
that keeps running while the machine sleeps) and return the datagrams to send and the events to log. It is
based on SWIM (probes, indirect probes, suspicion, piggybacked gossip) and on Lifeguard (local health,
suspicion timeouts that shorten with confirmations, notifying a suspect first). Additions to these:

- each message acknowledges the highest sequence number received from its receiver, so that a link that fails
  in one direction is recognised as such and not taken for a dead member;
- a member that received a message from a suspect after the failed probe announces this to the others;
- a process that was paused ignores all messages until one acknowledges a message sent after the pause.
"""

from __future__ import annotations

import math
import random
import zlib
from collections import Counter
from collections.abc import Iterable

from . import member_messages as messages
from .member_gossip import LAST_SEEN, SUSPICION, GossipQueue
from .member_links import Links
from .member_messages import Message, MessageKind, Row, RowKind
from .member_state import ACTIVE_STATES, ROW_KINDS, Action, LogEvent, Member, Probe, Send, State, View

MS, SECOND = 1_000, 1_000_000  # microseconds

TICK_INTERVAL = 50 * MS  # how often ``tick`` should be called
PROBE_INTERVAL = 150 * MS
PROBE_RETRY_DELAY = 50 * MS  # an unanswered ping is repeated once: cheaper than asking relays
INDIRECT_PROBE_DELAY = 100 * MS  # until relays are asked, and until a relay answers NACK
PROBE_TIMEOUT = 250 * MS
INDIRECT_PROBE_RELAYS = 3
PAUSE_THRESHOLD = 400 * MS  # a longer gap between two calls means that this process was paused
HEALTH_MAX = 3  # local health: with 0 (healthy) the intervals are as above, each step adds one interval
CONFIRMATIONS_NEEDED = 3  # independent confirmations that shorten a suspicion timeout to its minimum
SUSPICION_MIN = 500 * MS  # multiplied by the size factor
SIZE_FACTOR_MIN = 1.5  # of log10 of the fleet's size: gossip is no faster among a few members
SUSPICION_MAX_FACTOR = 4  # the maximum suspicion timeout, as a multiple of the minimum
URGENT_FANOUT = 3  # members that are notified at once of a suspicion or death detected here
SUSPECT_PROBERS_MEAN = 6  # members, on average, that probe a suspect themselves once gossip reports it
OVERDUE_ROUNDS = 2  # probe rounds without a message, after which both members of a pair probe
EVIDENCE_MARGIN = 50 * MS  # evidence must be this much newer than a suspicion: ages grow in transit
RESUSPECT_COOLDOWN = 2 * SECOND  # after others' evidence cleared a suspicion twice, until we raise it again
RECENT_WINDOW = 2 * SECOND  # members that sent us a message within it count as being received from
LINK_DOWN_MISSES = 6  # consecutive messages that were not received: the link is down
DELIVERY_TIMEOUT = 150 * MS  # messages not acknowledged by then are lost
DEAD_PROBE_EVERY = 4  # one in so many probes goes to a dead member, so that partitions heal
TRANSMISSIONS_FACTOR = 3  # transmissions of a row, multiplied by log2 of the fleet's size
REPLAY_WINDOW = 64  # sequence numbers below the highest received that are still accepted, if reordered
INTAKE_SHARE = 0.35  # fraction of ``intake`` (the rate allowed for quota gossip) that membership may use
SEND_RATE_MIN = 16.0  # messages a second, whatever the intake
PROBE_RESERVE = 6.0  # send tokens that only pings and acks may use, not gossip and help for others
FRESH_SENDERS_NEEDED = 3  # members (or all active ones) to be received from after a pause until doubt ends
CUT_OFF_GRACE = 30 * SECOND  # for this long, a gateway that receives nothing declares no member dead

# For this long after the start, a newer life reported under our rank is taken for that of an earlier process.
EARLIER_LIFE_GRACE = 2 * SECOND


class Membership:
    """One gateway's side of the protocol; the ranks are fixed by the settings."""

    def __init__(
        self, rank: int, size: int, cluster: str, life: int, seed: int, now: int, intake: float = 0.0
    ) -> None:
        """Start with all members unknown.

        ``life`` distinguishes this process from an earlier one: milliseconds of Unix time and ten random
        bits. ``intake``: messages a second that are allowed for quota gossip.
        """
        self.rank = rank
        self.size = size
        self.life = life
        self.key = messages.tag_key(cluster)
        self.random = random.Random(seed)
        self.incarnation = self.last_sequence = self.health = 0  # health: 0 is healthy, see HEALTH_MAX
        self.members = {other: Member(other) for other in range(size) if other != rank}
        self.links = Links()
        self.link_reports = 0  # number of the last report on one of our own links
        self.probes: dict[int, Probe] = {}
        # (requesting member, its probe number): when a NACK is due, and the target
        self.relayed_probes: dict[tuple[int, int], tuple[int, int]] = {}
        self.gossip = GossipQueue(self._log_scaled(TRANSMISSIONS_FACTOR))
        # The same order in each round: with a new one, a pair's probes could be nearly two rounds apart.
        self.probe_order = self.random.sample(sorted(self.members), len(self.members))
        self.probe_position = 0
        self.urgent_pings: dict[int, None] = {}
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.last_called = self.started_at = now
        self.next_probe = now + self.random.randrange(PROBE_INTERVAL)
        # sync_position: rank at which the next part of the member table to be sent begins
        self.probe_count = self.sync_position = 0
        # Messages received are dropped until one acknowledges this message of ours, the first since the last
        # pause, or a later one.
        self.fresh_from_sequence = 1
        self.has_fresh_answer = True  # such a message was received
        # Members received from since the last pause, while in doubt after it; None: not in doubt.
        self.received_since_pause: set[int] | None = None
        self.rate = max(SEND_RATE_MIN, INTAKE_SHARE * intake)
        self.send_tokens = self.rate
        self.tokens_refilled_at = now
        self.left = self.yielded = False  # yielded: to a second process that runs under our rank
        self.active_count = 0  # other members that are alive or suspect
        self.last_received = 0
        self.suspects: set[int] = set()
        self.dead: set[int] = set()
        self.unknown = set(self.members)
        self.departed: set[int] = set()
        self.digest = self._digest_part(rank, life, State.ALIVE)
        self.view = View(active_of_total=(1, size))

    # -- entry points ---------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[Action]:
        """Advance the protocol. To be called every TICK_INTERVAL."""
        self._detect_pause(now)
        if not self.left and not self.yielded:
            self._check_probes(now)
            self._check_suspects(now)
            for rank in list(self.urgent_pings)[:1]:
                del self.urgent_pings[rank]
                self._ping(now, rank)
            if now >= self.next_probe:
                self.next_probe = now + PROBE_INTERVAL * (1 + self.health)
                self._probe_next(now)
        return self._take_actions(now)

    def receive(self, now: int, sender: int, data: bytes) -> list[Action]:
        """Process a datagram that came from this rank's address."""
        self._detect_pause(now)
        try:
            message = messages.unpack(data, self.key, self.size)
            if message.sender != sender or message.receiver != self.rank or sender == self.rank:
                raise messages.InvalidMessage("forged")
            if not self.left and not self.yielded:
                self._process(now, message)
        except messages.InvalidMessage as reason:
            self.counts[f"dropped_{reason}"] += 1
        return self._take_actions(now)

    def leave(self, now: int) -> list[Action]:
        """Leave on purpose, and notify many members at once, so that it is known faster than a death."""
        self._detect_pause(now)
        if not self.left and not self.yielded:
            self.incarnation += 1
            self.gossip.add(now, Row(RowKind.LEFT, self.rank, self.life, self.incarnation))
            active = [m.rank for m in self.members.values() if m.state in ACTIVE_STATES]
            self.send_tokens = max(self.send_tokens, 2.0 * len(active[: self._log_scaled(4)]))
            for rank in self.random.sample(active, min(len(active), self._log_scaled(4))):
                self._send(now, rank, MessageKind.GOSSIP)
                self._send(now, rank, MessageKind.GOSSIP)  # twice, since one may be lost
            self.left = True
        return self._take_actions(now)

    def on_newer_life(self, now: int, life: int) -> list[Action]:
        """Handle a process of this life under our rank, found by other means than membership messages."""
        self._detect_pause(now)
        self._apply_row_about_self(now, Row(RowKind.ALIVE, self.rank, life, 0))
        return self._take_actions(now)

    def _detect_pause(self, now: int) -> None:
        """Detect a pause of this process, after which unanswered probes and messages count against nobody.

        Runs first in each call.
        """
        self.actions = []
        gap = now - self.last_called
        self.last_called = now
        if gap <= PAUSE_THRESHOLD:
            return
        self.counts["stood_still"] += 1
        self.health = HEALTH_MAX
        self.probes.clear()
        self.relayed_probes.clear()
        for member in self.members.values():
            member.suspected_at += gap if member.state is State.SUSPECT else 0
            member.unacknowledged.clear()
        self.has_fresh_answer = False
        self.fresh_from_sequence = self.last_sequence + 1
        self.received_since_pause = set()
        self.next_probe = now
        self.actions.append(LogEvent("stood_still", {"stood_still_ms": gap // MS}))
        self._update_view(now)  # whatever decision comes next must take the pause into account
        active = [m.rank for m in self.members.values() if m.state in ACTIVE_STATES]
        for rank in self.random.sample(active, min(len(active), FRESH_SENDERS_NEEDED)):
            self._ping(now, rank)

    def _take_actions(self, now: int) -> list[Action]:
        self._update_view(now)
        actions, self.actions = self.actions, []
        return actions

    # -- probes ---------------------------------------------------------------------------------------------

    def _log_scaled(self, factor: int) -> int:
        """Return the factor times log2 of the fleet's size."""
        return math.ceil(factor * math.log2(self.size + 1))

    def _probe_next(self, now: int) -> None:
        """Probe the next member in order.

        Of each pair only one member probes the other, which covers all pairs in half the time: each member
        probes the half of the ring of ranks that follows its own. It also probes a member of the other half
        whose messages are overdue. One in DEAD_PROBE_EVERY probes goes to a dead or unknown member instead.
        """
        self.probe_count += 1
        if not self.members:
            return
        inactive = self.dead | self.unknown
        if inactive and (self.probe_count % DEAD_PROBE_EVERY == 0 or len(inactive) == len(self.members)):
            self._ping(now, self.random.choice(sorted(inactive)))
            return
        # A round takes one interval for each member of half the ring.
        overdue = OVERDUE_ROUNDS * PROBE_INTERVAL * len(self.probe_order) // 2
        # The second pass, over all active members, applies if there is none that this one has to probe. A
        # gateway that is cut off starts with all of them.
        for probe_all in (self.view.cut_off, True):
            for _ in self.probe_order:
                self.probe_position = (self.probe_position + 1) % len(self.probe_order)
                rank = self.probe_order[self.probe_position]
                is_own_target = 2 * ((rank - self.rank) % self.size) <= self.size
                is_own_target = is_own_target or now - self.members[rank].last_received > overdue
                if self.members[rank].state in ACTIVE_STATES and (is_own_target or probe_all):
                    self._ping(now, rank)
                    return

    def _ping(self, now: int, rank: int) -> bool:
        probe = self.last_sequence + 1
        was_sent = self._send(now, rank, MessageKind.PING, subject=self.rank, probe=probe)
        if was_sent:
            self.probes[probe] = Probe(rank, now, self.health)
        return was_sent

    def _check_probes(self, now: int) -> None:
        for number, probe in list(self.probes.items()):
            slowdown, age = 1 + probe.health, now - probe.sent_at
            if age >= PROBE_TIMEOUT * slowdown:
                del self.probes[number]
                self._probe_failed(now, probe)
            elif probe.stage < 1 and age >= PROBE_RETRY_DELAY * slowdown:
                probe.stage = 1
                self._send(now, probe.rank, MessageKind.PING, subject=self.rank, probe=number)
            elif probe.stage < 2 and age >= INDIRECT_PROBE_DELAY * slowdown:
                probe.stage = 2
                for relay in self._choose_relays(now, probe.rank):
                    self._send(now, relay, MessageKind.PING_REQUEST, subject=probe.rank, probe=number)
        for (rank, number), (due, target) in list(self.relayed_probes.items()):
            if now >= due:
                del self.relayed_probes[rank, number]
                self._send(now, rank, MessageKind.NACK, subject=target, probe=number)

    def _choose_relays(self, now: int, target: int) -> list[int]:
        """Choose members that we receive from, with the one that received from the target when we did not."""
        candidates = [rank for rank in self._recently_received(now) if rank != target]
        relays = self.random.sample(
            candidates[: 2 * INDIRECT_PROBE_RELAYS], min(len(candidates), INDIRECT_PROBE_RELAYS)
        )
        witness = self.members[target].witness
        if witness in candidates and witness not in relays:
            relays[-1:] = [witness]
        return relays

    def _probe_failed(self, now: int, probe: Probe) -> None:
        """Suspect a member that neither answered nor was confirmed alive by a relay.

        If no relay answered at all, the fault may be ours.
        """
        member = self.members[probe.rank]
        recent_senders = sum(now - m.last_received < RECENT_WINDOW for m in self.members.values())
        self.counts["probes_failed"] += 1
        if not probe.nacked_by and recent_senders:
            self.health = min(HEALTH_MAX, self.health + 1)
        # If others receive from it and we don't, the suspicion is not raised again for each probe.
        in_cooldown = member.clear_count > 1 and now - member.cleared_at < RESUSPECT_COOLDOWN
        if (
            member.state in ACTIVE_STATES
            and member.last_seen <= probe.sent_at + EVIDENCE_MARGIN
            and not in_cooldown
        ):
            for rank in (self.rank, *probe.nacked_by):  # each of these relays has probed it, too
                self._suspect(now, member, probe.sent_at, rank)
            self._gossip_now(now)

    # -- messages -------------------------------------------------------------------------------------------

    def _send(
        self,
        now: int,
        rank: int,
        kind: MessageKind,
        subject: int = 0,
        probe: int = 0,
        subject_received: int = 0,
    ) -> bool:
        """Send a message unless that exceeds our share of the rate that peers accept.

        All messages are sent here. Return whether it was sent.
        """
        self.send_tokens = min(
            self.rate, self.send_tokens + self.rate * (now - self.tokens_refilled_at) / SECOND
        )
        self.tokens_refilled_at = now
        if self.send_tokens < (1 if kind in (MessageKind.PING, MessageKind.ACK) else PROBE_RESERVE):
            self.counts["kept_back"] += 1
            return False
        self.send_tokens -= 1
        self.last_sequence += 1
        member = self.members[rank]
        member.unacknowledged.append((self.last_sequence, now))
        rows = messages.fit_rows(self._rows(now, member))
        for row in rows:
            if not self.gossip.mark_sent(row):
                self.sync_position = (row.rank + 1) % self.size
        message = Message(
            kind,
            self.rank,
            rank,
            self.life,
            self.incarnation,
            self.last_sequence,
            member.highest_received,
            self._digest(),
            subject,
            probe,
            subject_received,
            self.received_since_pause is not None,
            rows,
        )
        self.counts["sent"] += 1
        body = messages.pack(message, self.key)
        self.counts["sent_bytes"] += len(body)
        self.actions.append(Send(rank, body))
        return True

    def _gossip_now(self, now: int) -> None:
        """Send urgent rows at once instead of with the next probe."""
        for rank in self._recently_received(now)[:URGENT_FANOUT]:
            self._send(now, rank, MessageKind.GOSSIP)

    def _recently_received(self, now: int) -> list[int]:
        """Return the members that we receive from, most recent first; these links are known to work."""
        members = (m for m in self.members.values() if m.state is not State.LEFT)
        recent = [(-m.last_received, m.rank) for m in members if now - m.last_received < RECENT_WINDOW]
        return [rank for _, rank in sorted(recent)]

    def _rows(self, now: int, receiver: Member) -> Iterable[Row]:
        """Yield the rows for a receiver, the most important first.

        These are claims about itself, so that it can refute them, then gossip, least sent first; if its
        digest differs from ours, also a part of the member table (anti-entropy), round robin.
        """
        if receiver.state in (State.SUSPECT, State.DEAD) or receiver.has_old_life:
            receiver.has_old_life = False
            yield self._member_row(now, receiver)
        elif receiver.rumor:
            yield receiver.rumor
            receiver.rumor = None
        yield from self.gossip.rows(now, receiver.rank)
        if receiver.digest_differs:
            for step in range(self.size):
                rank = (self.sync_position + step) % self.size
                if rank == self.rank:
                    yield Row(RowKind.ALIVE, rank, self.life, self.incarnation)
                elif self.members[rank].state is not State.UNKNOWN:
                    yield self._member_row(now, self.members[rank])
                link_rows = self.links.rows(rank)  # in random order, since they may not all fit
                yield from self.random.sample(link_rows, len(link_rows))

    def _member_row(self, now: int, member: Member) -> Row:
        """Return the row for a member's current state."""
        kind = ROW_KINDS.get(member.state, RowKind.ALIVE)
        has_age = member.state in (State.SUSPECT, State.DEAD)
        observer = next(iter(member.accusers), self.rank)
        return Row(
            kind,
            member.rank,
            member.life,
            member.incarnation,
            now - member.evidence_at if has_age else 0,
            observer,
        )

    def _process(self, now: int, message: Message) -> None:
        """Process an authentic message that came from its sender's address."""
        member = self.members[message.sender]
        if message.life < member.life:
            self.counts["dropped_former"] += 1
            member.has_old_life = True  # an earlier process, or the older of two: send it the newer life
            self._send(now, member.rank, MessageKind.GOSSIP)
            return
        if message.life > member.life:
            self._reset_for_life(member, message.life)
        elif member.state is State.LEFT:
            self.counts["dropped_left"] += 1
            return
        if not self._is_new_sequence(member, message.sequence):
            self.counts["dropped_replayed"] += 1
            return
        # A higher number than any of ours was sent by an earlier process under our rank.
        acknowledged = message.acknowledged if message.acknowledged <= self.last_sequence else 0
        self.has_fresh_answer = self.has_fresh_answer or acknowledged >= self.fresh_from_sequence
        if not self.has_fresh_answer:  # it waited in the socket buffer while this process was paused
            self.counts["dropped_stale"] += 1
            return
        self._received_from(now, member, message)
        if not message.doubtful:
            self._handle_acknowledged(now, member, acknowledged)
        member.digest_differs = message.digest != self._digest()
        disproved = sum(self._apply_row(now, row) for row in message.rows)
        if disproved and message.kind is not MessageKind.PING:  # the ack to a PING carries the evidence
            self._send(now, message.sender, MessageKind.GOSSIP)
        self._reply(now, message)

    def _is_new_sequence(self, member: Member, sequence: int) -> bool:
        """Record a sequence number. Return whether it is received for the first time in this life."""
        ahead = sequence - member.highest_received
        if ahead > 0:
            shifted = member.received_window << min(ahead, REPLAY_WINDOW) | 1
            member.received_window = shifted & (1 << REPLAY_WINDOW) - 1
            member.highest_received = sequence
            return True
        if -ahead >= REPLAY_WINDOW or member.received_window >> -ahead & 1:
            return False
        member.received_window |= 1 << -ahead
        return True

    def _received_from(self, now: int, member: Member, message: Message) -> None:
        """Record direct evidence that a member is alive, whatever others claim."""
        member.last_received = member.last_seen = self.last_received = now
        member.clear_count = 0
        member.indirect_acks = member.indirect_acks if message.kind is MessageKind.PING else 0
        if member.state is State.DEAD and message.incarnation <= member.incarnation:
            # Only the member itself can refute its death; the ping carries the claim to it.
            self.urgent_pings[member.rank] = None
            return
        is_newer = message.incarnation > member.incarnation
        member.incarnation = max(member.incarnation, message.incarnation)
        if member.state is State.SUSPECT and not is_newer:
            self._set_state(now, member, State.ALIVE)
            self._gossip_last_seen(now, member)
        elif member.state is not State.ALIVE:
            self._set_state(now, member, State.ALIVE)
            self.gossip.add(now, self._member_row(now, member))
        if self.received_since_pause is not None:
            self.received_since_pause.add(member.rank)
            self._check_end_of_doubt()

    def _check_end_of_doubt(self) -> None:
        active = sum(m.state in ACTIVE_STATES for m in self.members.values())
        if self.received_since_pause is not None and len(self.received_since_pause) >= min(
            FRESH_SENDERS_NEEDED, active
        ):
            self.received_since_pause = None
            self.actions.append(LogEvent("sure_again", {}))

    def _reply(self, now: int, message: Message) -> None:
        sender, subject = message.sender, message.subject
        match message.kind:
            case MessageKind.PING:
                subject_received = 0 if subject == self.rank else self.members[subject].highest_received
                self._send(now, sender, MessageKind.ACK, subject, message.probe, subject_received)
            case MessageKind.PING_REQUEST if subject not in (self.rank, sender):
                self.relayed_probes[sender, message.probe] = now + INDIRECT_PROBE_DELAY, subject
                self._send(now, subject, MessageKind.PING, sender, message.probe)
            case MessageKind.ACK if subject == self.rank:
                self._finish_probe(message.probe, sender)
            case MessageKind.ACK if self.relayed_probes.pop((subject, message.probe), None):
                self._send(
                    now,
                    subject,
                    MessageKind.INDIRECT_ACK,
                    sender,
                    message.probe,
                    message.subject_received,
                )
            case MessageKind.INDIRECT_ACK if subject != self.rank and self._finish_probe(
                message.probe, subject
            ):
                self._handle_indirect_ack(now, message)
            case MessageKind.NACK:
                if (probe := self.probes.get(message.probe)) and probe.rank == subject:
                    probe.nacked_by.add(sender)

    def _handle_indirect_ack(self, now: int, message: Message) -> None:
        """Handle a relay's message that the member answered it, while it did not answer our own probe."""
        target = self.members[message.subject]
        target.last_seen = now
        target.witness = message.sender
        target.indirect_acks += 1
        # One direction may be down. Further pings show which.
        if target.indirect_acks < LINK_DOWN_MISSES:
            self.urgent_pings[message.subject] = None
        if target.state is State.SUSPECT:
            self._set_state(now, target, State.ALIVE)
            self._gossip_last_seen(now, target)
        self._handle_acknowledged(
            now,
            target,
            message.subject_received if message.subject_received <= self.last_sequence else 0,
        )

    def _finish_probe(self, number: int, rank: int) -> bool:
        """End the pending probe that this answers. Return False if there is none."""
        probe = self.probes.get(number)
        if probe is None or probe.rank != rank:
            return False
        del self.probes[number]
        self.health = max(0, self.health - 1)
        return True

    # -- links ----------------------------------------------------------------------------------------------

    def _handle_acknowledged(self, now: int, member: Member, acknowledged: int) -> None:
        """Detect whether our link to a member is down, by our highest sequence number that it received."""
        while member.unacknowledged and member.unacknowledged[0][0] <= acknowledged:
            member.unacknowledged.popleft()
        missed = [sent_at for _, sent_at in member.unacknowledged if now - sent_at > DELIVERY_TIMEOUT]
        if acknowledged > member.acknowledged:
            member.acknowledged, member.missing_since = acknowledged, 0
            self._set_own_link(now, member.rank, False)
        member.missing_since = (member.missing_since or now) if missed else 0
        # The latest missed message must have been sent after we first learned that some are missing;
        # otherwise all of them may have been lost in a partition that is over.
        if len(missed) >= LINK_DOWN_MISSES and missed[-1] > member.missing_since:
            self._set_own_link(now, member.rank, True)
        elif missed:
            self.urgent_pings[member.rank] = None

    def _set_own_link(self, now: int, receiver: int, down: bool) -> None:
        if self.links.is_down(self.rank, receiver) is not down:
            self._report_link(now, receiver, down)

    def _report_link(self, now: int, receiver: int, down: bool) -> None:
        self.link_reports += 1
        kind = RowKind.LINK_DOWN if down else RowKind.LINK_UP
        self._apply_link_row(now, Row(kind, self.rank, self.life, self.link_reports, observer=receiver))

    def _apply_link_row(self, now: int, row: Row) -> None:
        """Apply a report of the sending end."""
        was_down, down = self.links.is_down(row.rank, row.observer), row.kind is RowKind.LINK_DOWN
        if self.links.apply(row):
            self.gossip.add(now, row)
            if was_down is not down:
                self.actions.append(LogEvent("link", {"from": row.rank, "to": row.observer, "down": down}))

    # -- the member table -----------------------------------------------------------------------------------

    def _apply_row(self, now: int, row: Row) -> bool:
        """Apply a row received from another member; its age gives the time of its evidence by our clock.

        Return whether we have newer evidence that disproves it.
        """
        if row.kind in (RowKind.LINK_DOWN, RowKind.LINK_UP):
            down = row.kind is RowKind.LINK_DOWN
            if row.rank != self.rank:
                if row.life >= self.members[row.rank].life:
                    self._apply_link_row(now, row)
            elif row.life == self.life and self.links.is_down(self.rank, row.observer) is not down:
                # An outdated report of ours, which others still have.
                self._report_link(now, row.observer, not down)
            return False
        if row.rank == self.rank:
            self._apply_row_about_self(now, row)
            return False
        member, evidence_at = self.members[row.rank], now - row.age
        if row.life < member.life or (row.life == member.life and member.state is State.LEFT):
            return False
        if row.life > member.life:
            self._reset_for_life(member, row.life)
        if row.kind is RowKind.LAST_SEEN:
            self._apply_last_seen(now, member, evidence_at, row.observer)
        elif row.kind is RowKind.LEFT:
            member.incarnation = max(member.incarnation, row.incarnation)
            self._set_state(now, member, State.LEFT)
            self.gossip.add(now, row)
        elif row.kind is RowKind.ALIVE:
            if row.incarnation > member.incarnation or member.state is State.UNKNOWN:
                member.incarnation = row.incarnation
                if member.state is not State.ALIVE:
                    self._set_state(now, member, State.ALIVE)
                self.gossip.add(now, row)
        elif row.incarnation >= member.incarnation:
            return self._apply_suspicion(now, member, row, evidence_at)
        return False

    def _apply_last_seen(self, now: int, member: Member, seen_at: int, observer: int) -> None:
        """Apply a report that the observer received a message from the member at this time."""
        if seen_at <= member.last_seen:
            return
        member.last_seen, member.witness = seen_at, observer if observer != self.rank else member.witness
        cleared = member.state is State.SUSPECT and seen_at > member.evidence_at + EVIDENCE_MARGIN
        if member.state is State.UNKNOWN:
            self._set_state(now, member, State.ALIVE)
        if cleared:
            member.cleared_at, member.clear_count = now, member.clear_count + 1
            self._set_state(now, member, State.ALIVE)
        if self._gossip_last_seen(now, member) and cleared:
            self._gossip_now(now)

    def _apply_suspicion(self, now: int, member: Member, row: Row, evidence_at: int) -> bool:
        """Apply a SUSPECT or DEAD row. Return whether we have newer evidence that the member is alive.

        Each member waits for its own suspicion timeout, which a DEAD row shortens to half the minimum.
        """
        if member.last_seen > evidence_at + EVIDENCE_MARGIN and member.state in ACTIVE_STATES:
            if self._gossip_last_seen(now, member):
                self._gossip_now(now)
            # Only the member itself can refute its death, so it has to be notified.
            if row.kind is RowKind.DEAD and member.rumor is None:
                member.rumor = row
                self.urgent_pings[member.rank] = None
            return True
        if member.state is State.UNKNOWN and row.kind is RowKind.DEAD:
            member.incarnation, member.evidence_at = row.incarnation, evidence_at
            self._set_state(now, member, State.DEAD)
        elif member.state is not State.DEAD or row.incarnation > member.incarnation:
            if row.incarnation > member.incarnation:  # refuted in between, so this is a new suspicion
                member.incarnation = row.incarnation
                if member.state is State.SUSPECT:
                    self._set_state(now, member, State.ALIVE)
            self._suspect(now, member, evidence_at, row.observer)
            member.reported_dead = row.kind is RowKind.DEAD
        return False

    def _apply_row_about_self(self, now: int, row: Row) -> None:
        """Apply what others claim about us. Suspicions are refuted with a higher incarnation.

        Shortly after our start, a newer life is of an earlier process, whose clock was ahead, and we take a
        greater one. Later it is of a second process under our rank, and we yield to it.
        """
        if self.yielded:
            return
        if row.life > self.life:
            if now - self.started_at > EARLIER_LIFE_GRACE:
                self.yielded = True
                self.actions.append(LogEvent("twin", {"life": self.life, "newer_life": row.life}))
                return
            self.digest ^= self._digest_part(self.rank, self.life, State.ALIVE)
            self.life, self.incarnation = row.life + 1, 0
            self.digest ^= self._digest_part(self.rank, self.life, State.ALIVE)
        elif (row.life, row.incarnation) < (self.life, self.incarnation):
            return
        elif row.kind not in (RowKind.ALIVE, RowKind.LAST_SEEN):
            self.incarnation = row.incarnation + 1
            self.counts["refuted"] += 1
            self.health = min(HEALTH_MAX, self.health + 1)
        else:
            return
        self.gossip.add(now, Row(RowKind.ALIVE, self.rank, self.life, self.incarnation))

    def _gossip_last_seen(self, now: int, member: Member) -> bool:
        """Queue the time when the member was last seen, unless one as recent is queued already.

        Return whether it was queued.
        """
        observer = (
            self.rank if member.last_received >= member.last_seen or member.witness < 0 else member.witness
        )
        row = Row(
            RowKind.LAST_SEEN,
            member.rank,
            member.life,
            member.incarnation,
            now - member.last_seen,
            observer,
        )
        queued = self.gossip.evidence_time(row)
        is_newer = queued is None or queued < member.last_seen - EVIDENCE_MARGIN
        if is_newer:
            self.gossip.add(now, row)
        return is_newer

    def _suspect(self, now: int, member: Member, evidence_at: int, accuser: int) -> None:
        """Suspect a member, as a ping sent to it at ``evidence_at`` failed, or confirm its suspicion.

        Each accuser but the member itself is recorded once, and its accusation gossiped.
        """
        if member.state is not State.SUSPECT:
            member.evidence_at, member.suspected_at = evidence_at, now
            member.accusers, member.reported_dead = set(), False
            self._set_state(now, member, State.SUSPECT)
            if accuser != self.rank and self.random.random() * self.size < SUSPECT_PROBERS_MEAN:
                self.urgent_pings[member.rank] = None
        if accuser not in member.accusers and accuser != member.rank:
            member.accusers.add(accuser)
            if not self.view.cut_off:  # a gateway that receives from nobody cannot accuse others
                age = now - member.evidence_at
                self.gossip.add(
                    now,
                    Row(RowKind.SUSPECT, member.rank, member.life, member.incarnation, age, accuser),
                )

    def _suspicion_timeout(self, member: Member) -> float:
        """Return how long a suspicion lasts.

        It is shorter the more members have confirmed it independently, and half the minimum if another member
        has already waited for the whole timeout. The maximum applies where the fault is probably in the
        network: some members receive from the suspect and others do not, and their evidence takes time to
        arrive.
        """
        shortest = SUSPICION_MIN * max(SIZE_FACTOR_MIN, math.log10(self.size))
        longest = SUSPICION_MAX_FACTOR * shortest
        # Many suspects at the same time are more likely a network fault than failed members.
        if 3 * len(self.suspects) > max(6, self.active_count):
            return longest
        if member.clear_count > 1 or any(member.rank in link for link in self.links.down_links()):
            return longest
        if member.reported_dead:
            return shortest / 2
        # Without the suspect and the first accuser, but with this gateway, which active_count leaves out.
        needed = min(CONFIRMATIONS_NEEDED, self.active_count - 1)
        if needed < 1:
            return longest
        confirmations = min(needed, len(member.accusers) - 1)
        return max(
            shortest,
            longest - (longest - shortest) * math.log(confirmations + 1) / math.log(needed + 1),
        )

    def _check_suspects(self, now: int) -> None:
        """Declare suspects dead after their timeout.

        None is declared dead while this process is in doubt after a pause, nor while it is cut off, until
        CUT_OFF_GRACE after the last message that it received: the fault is then more likely its own. A
        suspect that was seen since the failed probe is alive again.
        """
        in_grace = self.view.cut_off and len(self.members) > 1 and now - self.last_received < CUT_OFF_GRACE
        if not self.suspects or self.received_since_pause is not None or in_grace:
            return
        for member in [self.members[rank] for rank in self.suspects]:
            remaining = member.suspected_at + self._suspicion_timeout(member) - now
            if member.last_seen > member.evidence_at + EVIDENCE_MARGIN:
                self._set_state(now, member, State.ALIVE)
            elif member.suspect_probed_at < member.suspected_at:
                # No member is declared dead without a probe of our own.
                if remaining <= PROBE_TIMEOUT and self._ping(now, member.rank):
                    member.suspect_probed_at = now
            elif remaining <= 0 and now - member.suspect_probed_at >= PROBE_TIMEOUT:
                self._set_state(now, member, State.DEAD)
                self.gossip.add(now, self._member_row(now, member))
                self._gossip_now(now)

    def _reset_for_life(self, member: Member, life: int) -> None:
        """Forget what is known of a member's earlier process, as it was restarted."""
        self.digest ^= self._digest_part(member.rank, member.life, member.state)
        member.life = life
        member.incarnation = 0
        member.highest_received = 0
        member.received_window = 0
        member.last_received = member.last_seen = member.acknowledged = 0
        member.unacknowledged.clear()
        self.links.forget(member.rank)
        # Until the state of the new process is known, it is UNKNOWN, which has no part in the digest.
        self._index_state(member, State.UNKNOWN)

    def _index_state(self, member: Member, state: State) -> None:
        self.active_count += (state in ACTIVE_STATES) - (member.state in ACTIVE_STATES)
        for ranks, indexed_state in (
            (self.suspects, State.SUSPECT),
            (self.dead, State.DEAD),
            (self.unknown, State.UNKNOWN),
            (self.departed, State.LEFT),
        ):
            ranks.discard(member.rank)
            if state is indexed_state:
                ranks.add(member.rank)
        member.state = state

    def _set_state(self, now: int, member: Member, state: State) -> None:
        """Change a member's state, with digest, gossip and log. Only ``_reset_for_life`` bypasses it."""
        self.digest ^= self._digest_part(member.rank, member.life, member.state)
        self.digest ^= self._digest_part(member.rank, member.life, state)
        fields = {"member": member.rank, "state": state.value, "was": member.state.value}
        self._index_state(member, state)
        if state is not State.SUSPECT:
            self.gossip.drop(member.rank, SUSPICION)
        if state in (State.DEAD, State.LEFT):
            self.links.forget(member.rank)
            self.gossip.drop(member.rank, LAST_SEEN)
            member.unacknowledged.clear()
        fields |= {"life": member.life, "incarnation": member.incarnation}
        self.actions.append(LogEvent("member", fields))

    def _digest(self) -> int:
        """Return the digest of members and links; members with the same view have the same digest."""
        return self.digest ^ self.links.digest

    @staticmethod
    def _digest_part(rank: int, life: int, state: State) -> int:
        """Return a member's contribution to the digest; alive and suspect count as the same state."""
        if state is State.UNKNOWN:
            return 0
        name = "here" if state in ACTIVE_STATES else state.value
        return zlib.crc32(f"{rank} {life} {name}".encode())

    # -- the view -------------------------------------------------------------------------------------------

    def _update_view(self, now: int) -> None:
        """Update the view that the gateway's decisions use, and log when contact is lost or restored."""
        nothing_received = now - max(self.last_received, self.started_at) > RECENT_WINDOW
        cut_off = nothing_received and len(self.departed) < len(self.members)
        # Whether most of the members that we receive from do not receive our messages.
        outbound_down = False
        unreachable = [receiver for rank, receiver in self.links.down_links() if rank == self.rank]
        if unreachable:
            recent = {m.rank for m in self.members.values() if now - m.last_received < RECENT_WINDOW}
            outbound_down = 2 * len(recent.intersection(unreachable)) > len(recent)
        active_of_total = self.active_count + 1, self.size - len(self.departed)
        doubtful = self.received_since_pause is not None
        absent = self.dead | self.departed
        old = self.view
        if (old.cut_off, old.outbound_down, old.doubtful, old.active_of_total) == (
            cut_off,
            outbound_down,
            doubtful,
            active_of_total,
        ) and (old.absent == absent):
            return
        self.view = View(frozenset(absent), cut_off, outbound_down, doubtful, active_of_total)
        for name, was, holds in (
            ("cut_off", old.cut_off, cut_off),
            ("unheard", old.outbound_down, outbound_down),
        ):
            if was != holds:
                self.actions.append(LogEvent(name, {"holds": holds}))
