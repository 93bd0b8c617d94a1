"""Where the members are: addresses that gateways learn from each other, where no fixed list names them.

Without clock or sockets, as the membership core: ``heard`` and ``tick`` take the time (microseconds) and give
datagrams to send. A rank is bound to an address only by an answer from there that brings back a fresh number
of ours; what others tell is a hint where to ask. Messages are version 2 of membership's kind:

    u8 format, u8 version, tag of 8 bytes, head, rows
    head  u8 kind (1 HELLO, 2 HERE), u16 rank, life of 7 bytes, u32 number, u32 digest, u16 page
    row   u16 rank, life of 7 bytes, IPv4 address of 4 bytes, u16 port

HELLO asks whoever is at an address to answer HERE with its number and, where it knows other places than the
digest stands for, the rows from ``page`` on, the ones learnt last first; HERE's own ``page`` is the number of
the next row, 0 where these were the last.
"""

from __future__ import annotations

import random
import socket
import struct
import zlib
from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from orchidlane import member_messages as messages

from .config import Address

MS, SECOND = 1_000, 1_000_000  # microseconds

VERSION = 2  # of membership's kind of message
HELLO, HERE = 1, 2
HEAD = struct.Struct(f"<BH{messages.LIFE_BYTES}sIIH")
ROW = struct.Struct(f"<H{messages.LIFE_BYTES}s4sH")
ROWS_MAX = (messages.MESSAGE_BYTES_MAX - messages.HEADER_OFFSET - HEAD.size) // ROW.size

# Between two tries at ``join`` while nobody is known, doubled with each.
JOIN_INTERVAL_MIN, JOIN_INTERVAL_MAX = 250 * MS, 4 * SECOND
HELLO_INTERVAL = 50 * MS  # between two greetings of members that others told of
GREETING_TIMEOUT = 1 * SECOND  # until a greeting is repeated
GREETING_TRIES = 4  # of one hint
ROUND_INTERVAL = 5 * SECOND  # between two greetings of a known one: what it knows and we don't
NEXT_PAGE_DELAY = 500 * MS  # until the next one where another knew something else
FULL_ROUND_EVERY = 4  # one in so many of them asks for all pages
REJOIN_ROUND_EVERY = 8  # one in so many of them goes to an address of ``join``: groups that came up apart
PENDING_GREETINGS_MAX = 256  # numbers of greetings that may still be answered
ANSWERS_PER_SECOND_MAX = 64.0  # strangers, too, are answered


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a rank is, and of which life that is known."""

    life: int
    address: Address


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send this to an address."""

    address: Address
    body: bytes


@dataclass(frozen=True, slots=True)
class AddressChanged:
    """From now on this rank is at that address."""

    rank: int
    address: Address


@dataclass(frozen=True, slots=True)
class NewerLifeFound:
    """Another process has our rank, with a greater life."""

    life: int


Action = SendDatagram | AddressChanged | NewerLifeFound


@dataclass(slots=True)
class Hint:
    """Where a rank is said to be."""

    place: PeerAddress
    due: int
    tries: int = 0


def _life(raw: bytes) -> int:
    return int.from_bytes(raw, "little")


def _bytes(life: int) -> bytes:
    return life.to_bytes(messages.LIFE_BYTES, "little")


def _share(rank: int, place: PeerAddress) -> int:
    return zlib.crc32(f"{rank} {place.life} {place.address}".encode())


class AddressBook:
    """One gateway's knowledge of where the others are."""

    def __init__(
        self, rank: int, size: int, cluster: str, life: int, own: Address, join: Iterable[Address], seed: int
    ) -> None:
        """``own``: the address that others reach us at; ``join``: where to ask first, but for our own."""
        self.rank, self.size, self.life, self.own = rank, size, life, own
        self.key = messages.tag_key(cluster)
        self.join = [address for address in join if address != own]
        self.random = random.Random(seed)
        self.peers: dict[int, PeerAddress] = {}
        self.peers_digest = 0  # of their shares in the digest
        self.candidates: dict[int, Hint] = {}
        # Greetings that may be answered: number, where; whether all pages are wanted.
        self.out: OrderedDict[tuple[int, Address], bool] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.actions: list[Action] = []
        self.next_knock = self.next_round = self.next_greeting = 0
        self.knock, self.turn, self.rounds = JOIN_INTERVAL_MIN, 0, 0
        self.room, self.filled = ANSWERS_PER_SECOND_MAX, 0

    # -- what happens ---------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[Action]:
        """Time has passed; to be called each GREETING_INTERVAL while ``busy``, else JOIN_INTERVAL_MIN."""
        self.actions = []
        if not self.peers and now >= self.next_knock and self.join:
            self._knock()
            self.next_knock = now + int(self.knock * (0.5 + self.random.random()))
            self.knock = min(JOIN_INTERVAL_MAX, 2 * self.knock)
        if now >= self.next_greeting and (
            due := [r for r, hint in self.candidates.items() if hint.due <= now]
        ):
            self.next_greeting = now + HELLO_INTERVAL
            self._try(now, min(due, key=lambda rank: (self.candidates[rank].due, rank)))
        if self.peers and now >= self.next_round:
            self.next_round = now + int(ROUND_INTERVAL * (0.5 + self.random.random()))
            self.rounds += 1
            if self.join and self.rounds % REJOIN_ROUND_EVERY == 0:
                self._knock()
            else:
                place = self.peers[self.random.choice(sorted(self.peers))]
                self._greet(place.address, full=self.rounds % FULL_ROUND_EVERY == 0)
        return self._done()

    def receive(self, now: int, source: Address, data: bytes) -> list[Action]:
        """A datagram of this version, from anywhere."""
        self.actions = []
        try:
            kind, rank, life, number, digest, page, rows = self._unpack(data)
        except messages.InvalidMessage as odd:
            self.counts[f"dropped_{odd}"] += 1
            return []
        if rank == self.rank:
            self._of_our_rank(source, kind, life, number, now)
        elif kind == HELLO:
            known = self.peers.get(rank)
            if known is None or life > known.life or (known.life == life and known.address != source):
                self._set_candidate(now, rank, PeerAddress(life, source))
            newer = known if known and life < known.life else None
            differs = digest != self._digest()
            if differs:  # one of us knows more: who does is asked soon
                self.next_round = min(
                    self.next_round, now + int(NEXT_PAGE_DELAY * (0.5 + self.random.random()))
                )
            self._answer(now, source, number, page if differs else None, newer, rank)
        elif (is_full := self.out.pop((number, source), None)) is not None:
            self._bind(rank, PeerAddress(life, source))
            news = sum(self._told(now, other, place) for other, place in rows)
            # The latest come first: after a page without news all of them now and then only.
            if page and digest != self._digest() and (is_full or news):
                self._greet(source, page, is_full)
        else:
            self.counts["dropped_unasked"] += 1
        return self._done()

    def add_candidate(self, now: int, rank: int, life: int, address: Address) -> None:
        """The list service says that a rank is there."""
        if 0 <= rank < self.size:
            self._told(now, rank, PeerAddress(life, address))

    @property
    def has_candidates(self) -> bool:
        """Whether somebody is still to be greeted."""
        return bool(self.candidates)

    @property
    def ranks_without_address(self) -> frozenset[int]:
        """Ranks that nobody is known to hold."""
        return frozenset(range(self.size)) - self.peers.keys() - {self.rank}

    # -- what follows ---------------------------------------------------------------------------------------

    def _done(self) -> list[Action]:
        done, self.actions = self.actions, []
        return done

    def _digest(self) -> int:
        """Of all that we know, ourselves as well: who knows the same has the same."""
        return self.peers_digest ^ _share(self.rank, PeerAddress(self.life, self.own))

    def _told(self, now: int, rank: int, place: PeerAddress) -> bool:
        """Hearsay, also of ourselves; whether it is news."""
        if rank == self.rank:
            if place.life > self.life:
                self.actions.append(NewerLifeFound(place.life))
        elif (known := self.peers.get(rank)) is None or place.life > known.life:
            return self._set_candidate(now, rank, place)
        return False

    def _set_candidate(self, now: int, rank: int, place: PeerAddress) -> bool:
        held = self.candidates.get(rank)
        if held is None or place.life > held.place.life or (held.tries and place != held.place):
            self.candidates[rank] = Hint(place, now)
            return True
        return False

    def _try(self, now: int, rank: int) -> None:
        hint = self.candidates[rank]
        hint.tries, hint.due = hint.tries + 1, now + GREETING_TIMEOUT
        self._greet(hint.place.address)
        if hint.tries >= GREETING_TRIES:
            del self.candidates[rank]

    def _bind(self, rank: int, place: PeerAddress) -> None:
        """It has answered from there."""
        known = self.peers.get(rank)
        if known and place.life < known.life:
            return  # a former self, or the elder of twins
        self.peers_digest ^= _share(rank, place) ^ (_share(rank, known) if known else 0)
        self.peers.pop(rank, None)
        self.peers[rank] = place  # the last one of all
        if (hint := self.candidates.get(rank)) and hint.place.life <= place.life:
            del self.candidates[rank]
        if known is None or known.address != place.address:
            self.actions.append(AddressChanged(rank, place.address))

    def _of_our_rank(self, source: Address, kind: int, life: int, number: int, now: int) -> None:
        """Ourselves by way of ``join``, or a process under our rank: the elder yields."""
        if life > self.life:
            self.actions.append(NewerLifeFound(life))
        elif life < self.life and kind == HELLO:
            self._answer(now, source, number, 0, PeerAddress(self.life, self.own), self.rank)

    def _knock(self) -> None:
        self._greet(self.join[self.turn % len(self.join)], full=True)
        self.turn += 1

    def _greet(self, address: Address, page: int = 0, full: bool = False) -> None:
        number = self.random.getrandbits(32)
        self.out[number, address] = full
        if len(self.out) > PENDING_GREETINGS_MAX:
            self.out.popitem(last=False)
        self._send(address, HELLO, number, page)

    def _answer(
        self, now: int, to: Address, number: int, page: int | None, newer: PeerAddress | None, rank: int
    ) -> None:
        """What we know from a page on (None: nothing); first of all that another process has the asker's
        rank."""
        self.room = min(
            ANSWERS_PER_SECOND_MAX, self.room + ANSWERS_PER_SECOND_MAX * (now - self.filled) / SECOND
        )
        self.filled = now
        if self.room < 1:
            self.counts["kept_back"] += 1
            return
        self.room -= 1
        some, more = [(rank, newer)] if newer else [], 0
        if page is not None:
            others = [r for r in reversed(self.peers) if r != rank][page:]
            room = ROWS_MAX - len(some)
            more = page + room if len(others) > room else 0
            some += [(other, self.peers[other]) for other in others[:room]]
        self._send(to, HERE, number, more, some)

    def _send(
        self, to: Address, kind: int, number: int, page: int, rows: Iterable[tuple[int, PeerAddress]] = ()
    ) -> None:
        body = HEAD.pack(kind, self.rank, _bytes(self.life), number, self._digest(), page)
        for rank, place in rows:
            host, port = place.address
            body += ROW.pack(rank, _bytes(place.life), socket.inet_aton(host), port)
        self.counts["sent"] += 1
        self.actions.append(SendDatagram(to, messages.seal(self.key, body, VERSION)))

    # -- bytes ----------------------------------------------------------------------------------------------

    def _unpack(self, data: bytes) -> tuple[int, int, int, int, int, int, list[tuple[int, PeerAddress]]]:
        body = messages.unseal(data, self.key, VERSION)
        if len(body) < HEAD.size or (len(body) - HEAD.size) % ROW.size:
            raise messages.InvalidMessage("malformed")
        kind, rank, life, number, digest, page = HEAD.unpack_from(body)
        rows = list(self._rows(body))
        if kind not in (HELLO, HERE) or max(rank, page, *(other for other, _ in rows)) >= self.size:
            raise messages.InvalidMessage("malformed")
        return kind, rank, _life(life), number, digest, page, rows

    @staticmethod
    def _rows(body: bytes) -> Iterator[tuple[int, PeerAddress]]:
        yield from (
            (rank, PeerAddress(_life(life), (socket.inet_ntoa(host), port)))
            for rank, life, host, port in ROW.iter_unpack(body[HEAD.size :])
        )
