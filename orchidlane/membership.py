"""Who is there among the gateways: failure detection by probes, told on by gossip, borne by self-doubt.

The decisions of membership, without clock or sockets: ``receive`` and ``tick`` take the time (microseconds of a
clock that runs on while the machine sleeps) and give what to send. After SWIM (probes, indirect probes,
suspicion, piggybacked news) and Lifeguard (health of oneself, suspicion that shortens with confirmations, the
suspect told first). Added here: each message tells what of the receiver was heard last, so that a dead
direction is a link and no death; who has heard a suspect since then vouches for it; who stood still trusts
nothing until an answer to a question of its own comes back.
"""

from __future__ import annotations

import math
import random
import zlib
from collections import Counter
from collections.abc import Iterable

from . import member_messages as messages
from .member_links import Links
from .member_messages import Message, MessageKind, Row, RowKind
from .member_news import LAST_SEEN, SUSPICION, News
from .member_state import ACTIVE_STATES, WORDS, Action, LogEvent, Member, Probe, Send, State, View

MS, SECOND = 1_000, 1_000_000  # microseconds

TICK_INTERVAL = 50 * MS  # so often ``tick`` wants to be called
PROBE_INTERVAL = 150 * MS  # between two probes
PROBE_RETRY_DELAY = 50 * MS  # a probe without an answer is sent once more: that costs less than help
INDIRECT_PROBE_DELAY = 100 * MS  # and goes by others as well
PROBE_TIMEOUT = 250 * MS  # and has failed
RELAYS = 3  # members asked to probe for us
PAUSE_THRESHOLD = 400 * MS  # a tick later than this: we stood still, and so did our view
HEALTH_MOST = 3  # times that our own periods may grow by
CONFIRMATIONS = 3  # independent ones that bring a suspicion to its shortest
SUSPICION_MIN = 500 * MS  # times the logarithm of the fleet's size
SIZE_FACTOR_MIN = 1.5  # that logarithm, to base 10, at least: word goes round a ring of a few no faster
SUSPECT_TIMES = 4  # the longest suspicion, in shortest ones
PRESSING = 3  # members that are told at once of a suspicion or a death found here
CHECKERS = 6  # members that look for themselves when they hear of a suspicion, on average
ROUNDS = 2  # of probes, without a word: the other end of a pair probes as well
MARGIN = 50 * MS  # evidence must be so much newer than a suspicion: ages grow on the way
QUIET = 2 * SECOND  # after others' word cleared a suspicion, until we raise one of it again
HEARD_LATELY = 2 * SECOND  # who spoke since then counts as heard
LINK_MISSES = 6  # messages in a row that the other end did not hear: the link is down
LINK_LATE = 150 * MS  # a message is on its way for no longer
GONE_EVERY = 4  # one of so many probes goes to a member that is gone: cuts heal
RESENDS = 3  # times the logarithm of the fleet's size that news is told on
WINDOW = 64  # numbers below the highest heard that may still come, reordered
ROOM_PART = 0.35  # of the intake of counts' messages that membership may send
RATE_LEAST = 16.0  # messages a second, whatever the intake
RESERVE = 6.0  # messages that are kept for pings and their answers: help for others comes after
HEARD_FRESH = 3  # members (or all there are) that must be heard after a standstill until doubt ends
CUT_PATIENCE = 30 * SECOND  # so long who hears nobody calls nobody gone
TWIN_GRACE = 2 * SECOND  # after the start: what is told of a former self until then is no twin


class Membership:
    """One gateway's part of the protocol, over ranks that the settings fix."""

    def __init__(
        self, rank: int, size: int, cluster: str, life: int, seed: int, now: int, intake: float = 0.0
    ) -> None:
        """``life`` tells this process from its former self: milliseconds of Unix time and ten random bits."""
        self.rank, self.size, self.life, self.key = rank, size, life, messages.tag_key(cluster)
        self.random = random.Random(seed)
        self.incarnation = self.number = self.health = 0
        self.members = {other: Member(other) for other in range(size) if other != rank}
        self.links = Links()
        self.reports = 0
        self.probes: dict[int, Probe] = {}
        # (who asked, its probe): when a NACK is due, and for whom
        self.relayed_probes: dict[tuple[int, int], tuple[int, int]] = {}
        self.gossip = News(self._log_scaled(RESENDS))
        # Always in the same order, so that no pair waits for two rounds.
        self.ring = self.random.sample(sorted(self.members), len(self.members))
        self.turn = 0
        self.urgent_pings: dict[int, None] = {}
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.last_called = self.started_at = now
        self.next_probe = now + self.random.randrange(PROBE_INTERVAL)
        self.probes_made = self.fill_at = 0
        self.fresh_after = 1  # number of ours that an answer must tell of until rows are believed
        self.has_fresh_answer = True
        self.heard_since: set[int] | None = None  # after a standstill, until doubt ends
        self.rate = max(RATE_LEAST, ROOM_PART * intake)
        self.send_tokens, self.filled = self.rate, now
        self.left = self.yielded = False
        self.here, self.any_heard = 0, 0
        self.suspects: set[int] = set()
        self.gone: set[int] = set()
        self.unknown = set(self.members)
        self.gave_up: set[int] = set()  # that left
        self.digest = self._digest_part(rank, life, State.ALIVE)
        self.view = View(active_of_total=(1, size))

    # -- what happens ---------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[Action]:
        """Time has passed; wants to be called every TICK."""
        self._detect_pause(now)
        if not self.left and not self.yielded:
            self._look_at_probes(now)
            self._check_suspects(now)
            for rank in list(self.urgent_pings)[:1]:
                del self.urgent_pings[rank]
                self._ping(now, rank)
            if now >= self.next_probe:
                self.next_probe = now + PROBE_INTERVAL * (1 + self.health)
                self._probe(now)
        return self._done(now)

    def receive(self, now: int, sender: int, data: bytes) -> list[Action]:
        """A datagram from this rank's address."""
        self._detect_pause(now)
        try:
            message = messages.unpack(data, self.key, self.size)
            if message.sender != sender or message.receiver != self.rank or sender == self.rank:
                raise messages.InvalidMessage("forged")
            if not self.left and not self.yielded:
                self._process(now, message)
        except messages.InvalidMessage as odd:
            self.counts[f"dropped_{odd}"] += 1
        return self._done(now)

    def leave(self, now: int) -> list[Action]:
        """On purpose: told to many at once, so that it is known faster than a death."""
        self._detect_pause(now)
        if not self.left and not self.yielded:
            self.incarnation += 1
            self.gossip.add(now, Row(RowKind.LEFT, self.rank, self.life, self.incarnation))
            here = [m.rank for m in self.members.values() if m.state in ACTIVE_STATES]
            self.send_tokens = max(self.send_tokens, 2.0 * len(here[: self._log_scaled(4)]))
            for rank in self.random.sample(here, min(len(here), self._log_scaled(4))):
                self._send(now, rank, MessageKind.NEWS)
                self._send(now, rank, MessageKind.NEWS)  # twice: one may be lost
            self.left = True
        return self._done(now)

    def on_newer_life(self, now: int, life: int) -> list[Action]:
        """A process of this life was found under our rank, by other means than ours."""
        self._detect_pause(now)
        self._apply_row_about_self(now, Row(RowKind.ALIVE, self.rank, life, 0))
        return self._done(now)

    def _detect_pause(self, now: int) -> None:
        """Before all else: did we stand still? Then nothing that was not answered counts against anybody."""
        self.actions = []
        gap, self.last_called = now - self.last_called, now
        if gap <= PAUSE_THRESHOLD:
            return
        self.counts["stood_still"] += 1
        self.health = HEALTH_MOST
        self.probes.clear()
        self.relayed_probes.clear()
        for member in self.members.values():
            member.suspected_at += gap if member.state is State.SUSPECT else 0
            member.sent.clear()
        self.has_fresh_answer, self.fresh_after = False, self.number + 1
        self.heard_since = set()
        self.next_probe = now
        self.actions.append(LogEvent("stood_still", {"stood_still_ms": gap // MS}))
        self._look_at_view(now)  # the next decision, whichever it is, must know
        here = [m.rank for m in self.members.values() if m.state in ACTIVE_STATES]
        for rank in self.random.sample(here, min(len(here), HEARD_FRESH)):
            self._ping(now, rank)

    def _done(self, now: int) -> list[Action]:
        self._look_at_view(now)
        done, self.actions = self.actions, []
        return done

    # -- probes ---------------------------------------------------------------------------------------------

    def _log_scaled(self, times: int) -> int:
        """So many times the logarithm of the fleet's size."""
        return math.ceil(times * math.log2(self.size + 1))

    def _probe(self, now: int) -> None:
        """Whose turn it is: every pair has one member that probes, so that all pairs are met twice as soon.
        Now and then a member that is gone, or was never heard."""
        self.probes_made += 1
        if not self.members:
            return
        absent = self.gone | self.unknown
        if absent and (self.probes_made % GONE_EVERY == 0 or len(absent) == len(self.members)):
            self._ping(now, self.random.choice(sorted(absent)))
            return
        overdue = ROUNDS * PROBE_INTERVAL * len(self.ring) // 2  # its probes of us should have come by now
        for all_of_them in (self.view.cut_off, True):  # who is deaf, or the last of its half, tries all
            for _ in self.ring:
                self.turn = (self.turn + 1) % len(self.ring)
                rank = self.ring[self.turn]
                is_ours = 2 * ((rank - self.rank) % self.size) <= self.size
                is_ours = is_ours or now - self.members[rank].last_received > overdue
                if self.members[rank].state in ACTIVE_STATES and (is_ours or all_of_them):
                    self._ping(now, rank)
                    return

    def _ping(self, now: int, rank: int) -> bool:
        probe = self.number + 1
        told = self._send(now, rank, MessageKind.PING, about=self.rank, probe=probe)
        if told:
            self.probes[probe] = Probe(rank, now, self.health)
        return told

    def _look_at_probes(self, now: int) -> None:
        for number, probe in list(self.probes.items()):
            slower, age = 1 + probe.health, now - probe.sent_at
            if age >= PROBE_TIMEOUT * slower:
                del self.probes[number]
                self._failed(now, probe)
            elif probe.stage < 1 and age >= PROBE_RETRY_DELAY * slower:
                probe.stage = 1
                self._send(now, probe.rank, MessageKind.PING, about=self.rank, probe=number)
            elif probe.stage < 2 and age >= INDIRECT_PROBE_DELAY * slower:
                probe.stage = 2
                for relay in self._relays(now, probe.rank):
                    self._send(now, relay, MessageKind.ASK, about=probe.rank, probe=number)
        for (rank, number), (due, target) in list(self.relayed_probes.items()):
            if now >= due:
                del self.relayed_probes[rank, number]
                self._send(now, rank, MessageKind.NACK, about=target, probe=number)

    def _relays(self, now: int, target: int) -> list[int]:
        """Members that we hear, first of all one that heard the target when we did not."""
        lately = [rank for rank in self._lately(now) if rank != target]
        some = self.random.sample(lately[: 2 * RELAYS], min(len(lately), RELAYS))
        voucher = self.members[target].voucher
        if voucher in lately and voucher not in some:
            some[-1:] = [voucher]
        return some

    def _failed(self, now: int, probe: Probe) -> None:
        """Neither it nor anybody for it has answered. Where no relay did either, the fault may be ours."""
        member = self.members[probe.rank]
        relays = sum(now - m.last_received < HEARD_LATELY for m in self.members.values())
        self.counts["probes_failed"] += 1
        if not probe.missed_by and relays:
            self.health = min(HEALTH_MOST, self.health + 1)
        # Others hear it, we don't: that is no news each time.
        lately = member.clears > 1 and now - member.cleared < QUIET
        if member.state in ACTIVE_STATES and member.last_seen <= probe.sent_at + MARGIN and not lately:
            for rank in (self.rank, *probe.missed_by):  # each relay has tried, too
                self._suspect(now, member, probe.sent_at, rank)
            self._spread(now)

    # -- messages -------------------------------------------------------------------------------------------

    def _send(
        self, now: int, rank: int, kind: MessageKind, about: int = 0, probe: int = 0, report: int = 0
    ) -> bool:
        """Every message passes here: what one member sends stays within its part of the room for counts."""
        self.send_tokens = min(self.rate, self.send_tokens + self.rate * (now - self.filled) / SECOND)
        self.filled = now
        if self.send_tokens < (1 if kind in (MessageKind.PING, MessageKind.ACK) else RESERVE):
            self.counts["kept_back"] += 1
            return False
        self.send_tokens -= 1
        self.number += 1
        member = self.members[rank]
        member.sent.append((self.number, now))
        rows = messages.fit(self._rows(now, member))
        for row in rows:
            if not self.gossip.told(row):
                self.fill_at = (row.rank + 1) % self.size
        message = Message(
            kind,
            self.rank,
            rank,
            self.life,
            self.incarnation,
            self.number,
            member.number,
            self._digest(),
            about,
            probe,
            report,
            self.heard_since is not None,
            rows,
        )
        self.counts["sent"] += 1
        body = messages.pack(message, self.key)
        self.counts["sent_bytes"] += len(body)
        self.actions.append(Send(rank, body))
        return True

    def _spread(self, now: int) -> None:
        """What is pressing does not wait for the next probe."""
        for rank in self._lately(now)[:PRESSING]:
            self._send(now, rank, MessageKind.NEWS)

    def _lately(self, now: int) -> list[int]:
        """Members that we hear, the last one first: where some directions are dead, theirs are not."""
        members = (m for m in self.members.values() if m.state is not State.LEFT)
        heard = [(-m.last_received, m.rank) for m in members if now - m.last_received < HEARD_LATELY]
        return [rank for _, rank in sorted(heard)]

    def _rows(self, now: int, to: Member) -> Iterable[Row]:
        """First what the receiver is taken for, then news, the least told first; where its view differs, some
        of the whole table in turn."""
        if to.state in (State.SUSPECT, State.DEAD) or to.is_former:
            to.is_former = False
            yield self._member_row(now, to)
        elif to.doubt:
            yield to.doubt
            to.doubt = None
        yield from self.gossip.rows(now, to.rank)
        if to.differs:
            for step in range(self.size):
                rank = (self.fill_at + step) % self.size
                if rank == self.rank:
                    yield Row(RowKind.ALIVE, rank, self.life, self.incarnation)
                elif self.members[rank].state is not State.UNKNOWN:
                    yield self._member_row(now, self.members[rank])
                links = self.links.rows(rank)  # in any order: there may be more than fit
                yield from self.random.sample(links, len(links))

    def _member_row(self, now: int, member: Member) -> Row:
        """What is held of it."""
        word, aged = WORDS.get(member.state, RowKind.ALIVE), member.state in (State.SUSPECT, State.DEAD)
        by = next(iter(member.accusers), self.rank)
        return Row(word, member.rank, member.life, member.incarnation, now - member.since if aged else 0, by)

    def _process(self, now: int, message: Message) -> None:
        """A whole message of this cluster, from the address of its sender."""
        member = self.members[message.sender]
        if message.life < member.life:
            self.counts["dropped_former"] += 1
            member.is_former = True  # a former self, or the older one of twins: it is told of the newer one
            self._send(now, member.rank, MessageKind.NEWS)
            return
        if message.life > member.life:
            self._reset_for_life(member, message.life)
        elif member.state is State.LEFT:
            self.counts["dropped_left"] += 1
            return
        if not self._is_new(member, message.number):
            self.counts["dropped_replayed"] += 1
            return
        own = message.heard if message.heard <= self.number else 0  # else our former self's numbers
        self.has_fresh_answer = self.has_fresh_answer or own >= self.fresh_after
        if not self.has_fresh_answer:  # it waited in the socket while we stood still
            self.counts["dropped_stale"] += 1
            return
        self._hear(now, member, message)
        if not message.doubtful:
            self._handle_acknowledged(now, member, own)
        member.differs = message.digest != self._digest()
        doubts = sum(self._apply_row(now, row) for row in message.rows)
        if (
            doubts and message.kind is not MessageKind.PING
        ):  # it doubts whom we have heard since: told at once
            self._send(now, message.sender, MessageKind.NEWS)
        self._answer(now, message)

    def _is_new(self, member: Member, number: int) -> bool:
        """Whether a number was not heard before in this life; it is from now on."""
        ahead = number - member.number
        if ahead > 0:
            member.window = (member.window << min(ahead, WINDOW) | 1) & (1 << WINDOW) - 1
            member.number = number
            return True
        if -ahead >= WINDOW or member.window >> -ahead & 1:
            return False
        member.window |= 1 << -ahead
        return True

    def _hear(self, now: int, member: Member, message: Message) -> None:
        """It spoke to us: it is there, whatever others say."""
        member.last_received = member.last_seen = self.any_heard = now
        member.clears = 0
        member.by_relay = member.by_relay if message.kind is MessageKind.PING else 0
        if member.state is State.DEAD and message.incarnation <= member.incarnation:
            self.urgent_pings[member.rank] = None  # it must refute what is known of it everywhere
            return
        moved = message.incarnation > member.incarnation
        member.incarnation = max(member.incarnation, message.incarnation)
        if member.state is State.SUSPECT and not moved:
            self._set_state(now, member, State.ALIVE)
            self._gossip_last_seen(now, member)
        elif member.state is not State.ALIVE:
            self._set_state(now, member, State.ALIVE)
            self.gossip.add(now, self._member_row(now, member))
        if self.heard_since is not None:
            self.heard_since.add(member.rank)
            self._look_at_doubt()

    def _look_at_doubt(self) -> None:
        here = sum(m.state in ACTIVE_STATES for m in self.members.values())
        if self.heard_since is not None and len(self.heard_since) >= min(HEARD_FRESH, here):
            self.heard_since = None
            self.actions.append(LogEvent("sure_again", {}))

    def _answer(self, now: int, message: Message) -> None:
        sender, about = message.sender, message.about
        match message.kind:
            case MessageKind.PING:
                report = 0 if about == self.rank else self.members[about].number
                self._send(now, sender, MessageKind.ACK, about, message.probe, report)
            case MessageKind.ASK if about not in (self.rank, sender):
                self.relayed_probes[sender, message.probe] = now + INDIRECT_PROBE_DELAY, about
                self._send(now, about, MessageKind.PING, sender, message.probe)
            case MessageKind.ACK if about == self.rank:
                self._answered(message.probe, sender)
            case MessageKind.ACK if self.relayed_probes.pop((about, message.probe), None):
                self._send(now, about, MessageKind.RELAYED, sender, message.probe, message.report)
            case MessageKind.RELAYED if about != self.rank and self._answered(message.probe, about):
                target = self.members[about]
                target.last_seen, target.voucher = now, sender
                target.by_relay += 1
                if target.by_relay < LINK_MISSES:  # one direction may be dead: which, shows by more of it
                    self.urgent_pings[about] = None
                if target.state is State.SUSPECT:
                    self._set_state(now, target, State.ALIVE)
                    self._gossip_last_seen(now, target)
                self._handle_acknowledged(now, target, message.report if message.report <= self.number else 0)
            case MessageKind.NACK:
                if (probe := self.probes.get(message.probe)) and probe.rank == about:
                    probe.missed_by.add(sender)

    def _answered(self, number: int, rank: int) -> bool:
        """Whether it was the answer to a probe of ours."""
        probe = self.probes.get(number)
        if probe is None or probe.rank != rank:
            return False
        del self.probes[number]
        self.health = max(0, self.health - 1)
        return True

    # -- links ----------------------------------------------------------------------------------------------

    def _handle_acknowledged(self, now: int, member: Member, heard: int) -> None:
        """It tells the highest number of ours that it heard: what it missed shows whether our way there is
        dead."""
        while member.sent and member.sent[0][0] <= heard:
            member.sent.popleft()
        missed = [at for _, at in member.sent if now - at > LINK_LATE]
        if heard > member.reported:
            member.reported, member.missing = heard, 0
            self._link(now, member.rank, False)
        member.missing = (member.missing or now) if missed else 0
        # One of them sent since it first told so: else they may be what was lost in a cut that is over.
        if len(missed) >= LINK_MISSES and missed[-1] > member.missing:
            self._link(now, member.rank, True)
        elif missed:
            self.urgent_pings[member.rank] = None

    def _link(self, now: int, to: int, down: bool) -> None:
        if self.links.is_down(self.rank, to) is not down:
            self._report(now, to, down)

    def _report(self, now: int, to: int, down: bool) -> None:
        self.reports += 1
        word = RowKind.LINK_DOWN if down else RowKind.LINK_UP
        self._learn_link(now, Row(word, self.rank, self.life, self.reports, by=to))

    def _learn_link(self, now: int, row: Row) -> None:
        """The report of the end that sends."""
        was, down = self.links.is_down(row.rank, row.by), row.kind is RowKind.LINK_DOWN
        if self.links.learn(row):
            self.gossip.add(now, row)
            if was is not down:
                self.actions.append(LogEvent("link", {"from": row.rank, "to": row.by, "down": down}))

    # -- what is held of members ----------------------------------------------------------------------------

    def _apply_row(self, now: int, row: Row) -> bool:
        """One row of another's; ages tell when what it rests on happened, by our clock. Whether it doubts
        what we know better."""
        if row.kind in (RowKind.LINK_DOWN, RowKind.LINK_UP):
            down = row.kind is RowKind.LINK_DOWN
            if row.rank != self.rank:
                if row.life >= self.members[row.rank].life:
                    self._learn_link(now, row)
            elif row.life == self.life and self.links.is_down(self.rank, row.by) is not down:
                self._report(now, row.by, not down)  # an old word of ours that others still hold
            return False
        if row.rank == self.rank:
            self._apply_row_about_self(now, row)
            return False
        member, at = self.members[row.rank], now - row.age
        if row.life < member.life or (row.life == member.life and member.state is State.LEFT):
            return False
        if row.life > member.life:
            self._reset_for_life(member, row.life)
        if row.kind is RowKind.LAST_SEEN:
            self._learn_heard(now, member, at, row.by)
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
            return self._apply_doubt(now, member, row, at)
        return False

    def _learn_heard(self, now: int, member: Member, at: int, by: int) -> None:
        """Somebody heard it, at this time."""
        if at <= member.last_seen:
            return
        member.last_seen, member.voucher = at, by if by != self.rank else member.voucher
        cleared = member.state is State.SUSPECT and at > member.since + MARGIN
        if member.state is State.UNKNOWN:
            self._set_state(now, member, State.ALIVE)
        if cleared:
            member.cleared, member.clears = now, member.clears + 1
            self._set_state(now, member, State.ALIVE)
        if self._gossip_last_seen(now, member) and cleared:
            self._spread(now)

    def _apply_doubt(self, now: int, member: Member, row: Row, at: int) -> bool:
        """SUSPECT or GONE: a reason to look, and to wait no longer than the shortest suspicion where the
        other is sure. Each member concludes by its own clock. Whether we know better."""
        if member.last_seen > at + MARGIN and member.state in ACTIVE_STATES:
            if self._gossip_last_seen(now, member):
                self._spread(now)
            if row.kind is RowKind.DEAD and member.doubt is None:  # only its own word undoes that: it is told
                member.doubt = row
                self.urgent_pings[member.rank] = None
            return True
        if member.state is State.UNKNOWN and row.kind is RowKind.DEAD:
            member.incarnation, member.since = row.incarnation, at
            self._set_state(now, member, State.DEAD)
        elif member.state is not State.DEAD or row.incarnation > member.incarnation:
            if row.incarnation > member.incarnation:  # it has refuted in between: a suspicion of its own
                member.incarnation = row.incarnation
                if member.state is State.SUSPECT:
                    self._set_state(now, member, State.ALIVE)
            self._suspect(now, member, at, row.by)
            member.sure = row.kind is RowKind.DEAD
        return False

    def _apply_row_about_self(self, now: int, row: Row) -> None:
        """What others hold of us: a former self's traces are outbid, a twin's are not, doubts are refuted."""
        if self.yielded:
            return
        if row.life > self.life:
            if now - self.started_at > TWIN_GRACE:
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
            self.health = min(HEALTH_MOST, self.health + 1)
        else:
            return
        self.gossip.add(now, Row(RowKind.ALIVE, self.rank, self.life, self.incarnation))

    def _gossip_last_seen(self, now: int, member: Member) -> bool:
        """Tell that it was there, and when; whether that is news."""
        by = self.rank if member.last_received >= member.last_seen or member.voucher < 0 else member.voucher
        row = Row(RowKind.LAST_SEEN, member.rank, member.life, member.incarnation, now - member.last_seen, by)
        known = self.gossip.since(row)
        is_newer = known is None or known < member.last_seen - MARGIN
        if is_newer:
            self.gossip.add(now, row)
        return is_newer

    def _suspect(self, now: int, member: Member, since: int, by: int) -> None:
        if member.state is not State.SUSPECT:
            member.since, member.suspected_at = since, now
            member.accusers, member.sure = set(), False
            self._set_state(now, member, State.SUSPECT)
            if by != self.rank and self.random.random() * self.size < CHECKERS:
                self.urgent_pings[member.rank] = None
        if by not in member.accusers and by != member.rank:
            member.accusers.add(by)
            if not self.view.cut_off:  # who hears nobody has nothing to tell
                age = now - member.since
                self.gossip.add(
                    now, Row(RowKind.SUSPECT, member.rank, member.life, member.incarnation, age, by)
                )

    def _suspicion_timeout(self, member: Member) -> float:
        """How long a suspicion lasts: the shorter, the more members found it independently; half of the
        shortest where another has waited for all of it already. The longest where it is known that some hear
        it and others don't: word of who does takes its time."""
        least = SUSPICION_MIN * max(SIZE_FACTOR_MIN, math.log10(self.size))
        most = SUSPECT_TIMES * least
        if 3 * len(self.suspects) > max(6, self.here):  # so many at once: rather the network than they
            return most
        if member.clears > 1 or any(member.rank in at for at in self.links.down_links()):
            return most
        if member.sure:
            return least / 2
        needed = min(CONFIRMATIONS, self.here - 1)  # who may confirm: not it, not the first
        if needed < 1:
            return most
        found = min(needed, len(member.accusers) - 1)
        return max(least, most - (most - least) * math.log(found + 1) / math.log(needed + 1))

    def _check_suspects(self, now: int) -> None:
        """Nobody is gone by the word of one who stood still, or who hears nobody himself."""
        deaf = self.view.cut_off and len(self.members) > 1 and now - self.any_heard < CUT_PATIENCE
        if not self.suspects or self.heard_since is not None or deaf:
            return
        for member in [self.members[rank] for rank in self.suspects]:
            left = member.suspected_at + self._suspicion_timeout(member) - now
            if member.last_seen > member.since + MARGIN:
                self._set_state(now, member, State.ALIVE)
            elif member.checked < member.suspected_at:
                if left <= PROBE_TIMEOUT and self._ping(now, member.rank):  # not without a look of our own
                    member.checked = now
            elif left <= 0 and now - member.checked >= PROBE_TIMEOUT:
                self._set_state(now, member, State.DEAD)
                self.gossip.add(now, self._member_row(now, member))
                self._spread(now)

    def _reset_for_life(self, member: Member, life: int) -> None:
        """A restarted process: nothing of its former self holds."""
        self.digest ^= self._digest_part(member.rank, member.life, member.state)
        member.life, member.incarnation, member.number, member.window = life, 0, 0, 0
        member.last_received = member.last_seen = member.reported = 0
        member.sent.clear()
        self.links.forget(member.rank)
        # Its former self's state stays to be told from until the new one's is known: UNKNOWN counts nowhere.
        self._count(member, State.UNKNOWN)

    def _count(self, member: Member, state: State) -> None:
        self.here += (state in ACTIVE_STATES) - (member.state in ACTIVE_STATES)
        for kept, kind in (
            (self.suspects, State.SUSPECT),
            (self.gone, State.DEAD),
            (self.unknown, State.UNKNOWN),
            (self.gave_up, State.LEFT),
        ):
            kept.discard(member.rank)
            if state is kind:
                kept.add(member.rank)
        member.state = state

    def _set_state(self, now: int, member: Member, state: State) -> None:
        """Every change of a member's state passes here."""
        self.digest ^= self._digest_part(member.rank, member.life, member.state)
        self.digest ^= self._digest_part(member.rank, member.life, state)
        fields = {"member": member.rank, "state": state.value, "was": member.state.value}
        self._count(member, state)
        if state is not State.SUSPECT:
            self.gossip.drop(member.rank, SUSPICION)
        if state in (State.DEAD, State.LEFT):
            self.links.forget(member.rank)
            self.gossip.drop(member.rank, LAST_SEEN)
            member.sent.clear()
        fields |= {"life": member.life, "incarnation": member.incarnation}
        self.actions.append(LogEvent("member", fields))

    def _digest(self) -> int:
        """Of all that is held: who holds the same has the same."""
        return self.digest ^ self.links.digest

    @staticmethod
    def _digest_part(rank: int, life: int, state: State) -> int:
        """A member's part of the digest: who doubts and who does not yet hold the same."""
        if state is State.UNKNOWN:
            return 0
        word = "here" if state in ACTIVE_STATES else state.value
        return zlib.crc32(f"{rank} {life} {word}".encode())

    # -- the view -------------------------------------------------------------------------------------------

    def _look_at_view(self, now: int) -> None:
        """What decisions use, as of now."""
        lost = now - max(self.any_heard, self.started_at) > HEARD_LATELY
        cut_off = lost and len(self.gave_up) < len(self.members)
        unheard = False
        downs = [to for rank, to in self.links.down_links() if rank == self.rank]
        if downs:
            lately = {m.rank for m in self.members.values() if now - m.last_received < HEARD_LATELY}
            unheard = 2 * len(lately.intersection(downs)) > len(lately)
        part = self.here + 1, self.size - len(self.gave_up)
        doubtful = self.heard_since is not None
        away = self.gone | self.gave_up
        old = self.view
        if (old.cut_off, old.unheard, old.doubtful, old.active_of_total) == (
            cut_off,
            unheard,
            doubtful,
            part,
        ) and (old.absent == away):
            return
        self.view = View(frozenset(away), cut_off, unheard, doubtful, part)
        for what, was, holds in (("cut_off", old.cut_off, cut_off), ("unheard", old.unheard, unheard)):
            if was != holds:
                self.actions.append(LogEvent(what, {"holds": holds}))
