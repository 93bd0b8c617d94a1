"""Discovery of the gateways' addresses, for fleets that are not configured with a fixed list of peers.

Like the membership protocol it has neither clock nor sockets: ``receive`` and ``tick`` take the time
(microseconds) and return datagrams to send. A rank is bound to an address only by a reply from that address
that echoes a nonce of ours; what other gateways or the list service report are candidates, which are
contacted to verify them. Messages have the format of membership with version 2:

    u8 format, u8 version, authentication tag of 8 bytes, header, rows
    header  u8 kind (1 HELLO, 2 HELLO_REPLY), u16 rank, life of 7 bytes, u32 nonce, u32 digest, u16 page
    row     u16 rank, life of 7 bytes, IPv4 address of 4 bytes, u16 port

HELLO asks the process at an address to reply with the same nonce. If the digests of the two tables of
addresses differ, the reply carries rows of the receiver's table from index ``page`` on, the most recently
bound first; its own ``page`` is the index of the next row, 0 after the last one.
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

VERSION = 2  # within the message format of membership
HELLO, HELLO_REPLY = 1, 2
HEADER = struct.Struct(f"<BH{messages.LIFE_BYTES}sIIH")
ROW = struct.Struct(f"<H{messages.LIFE_BYTES}s4sH")
ROWS_MAX = (messages.MESSAGE_BYTES_MAX - messages.HEADER_OFFSET - HEADER.size) // ROW.size

# Between two messages to addresses of ``join`` while no peer is known, doubled with each.
JOIN_INTERVAL_MIN, JOIN_INTERVAL_MAX = 250 * MS, 4 * SECOND
HELLO_INTERVAL = 50 * MS  # between messages to different candidates
HELLO_TIMEOUT = 1 * SECOND  # until a candidate is contacted again
HELLO_ATTEMPTS_MAX = 4  # per candidate
SYNC_INTERVAL = 5 * SECOND  # mean interval of anti-entropy with a known peer
EARLY_SYNC_DELAY = 500 * MS  # mean delay of the next sync after a peer's digest differed
FULL_SYNC_EVERY = 4  # syncs, one of which requests all pages
REJOIN_EVERY = 8  # syncs, one of which goes to an address of ``join``: merges groups that started separately
PENDING_HELLOS_MAX = 256  # HELLO messages whose replies are still accepted
REPLIES_PER_SECOND_MAX = 64.0  # unknown senders get replies, too


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of a gateway, and the life (see ``member_messages``) of the process there."""

    life: int
    address: Address


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram to an address."""

    address: Address
    body: bytes


@dataclass(frozen=True, slots=True)
class AddressChanged:
    """A rank was bound to a new address."""

    rank: int
    address: Address


@dataclass(frozen=True, slots=True)
class NewerLifeFound:
    """Another process runs under our rank, with a greater life."""

    life: int


Action = SendDatagram | AddressChanged | NewerLifeFound


@dataclass(slots=True)
class Candidate:
    """A reported address, not verified yet."""

    peer: PeerAddress
    due_at: int
    attempts: int = 0


def _decode_life(raw: bytes) -> int:
    return int.from_bytes(raw, "little")


def _encode_life(life: int) -> bytes:
    return life.to_bytes(messages.LIFE_BYTES, "little")


def _digest_part(rank: int, peer: PeerAddress) -> int:
    return zlib.crc32(f"{rank} {peer.life} {peer.address}".encode())


class AddressBook:
    """The addresses of the other gateways, as one gateway knows them."""

    def __init__(
        self,
        rank: int,
        size: int,
        cluster: str,
        life: int,
        own_address: Address,
        join: Iterable[Address],
        seed: int,
    ) -> None:
        """``own_address``: where others reach us; ``join``: addresses to contact first, without ours."""
        self.rank = rank
        self.size = size
        self.life = life
        self.own_address = own_address
        self.key = messages.tag_key(cluster)
        self.join = [address for address in join if address != own_address]
        self.random = random.Random(seed)
        self.peers: dict[int, PeerAddress] = {}
        self.peers_digest = 0  # XOR of the digest parts of all peers
        self.candidates: dict[int, Candidate] = {}
        # By nonce and destination of HELLO messages whose reply is accepted: whether all pages are requested.
        self.pending_hellos: OrderedDict[tuple[int, Address], bool] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.actions: list[Action] = []
        self.next_join_at = self.next_sync_at = self.next_hello_at = 0
        self.join_interval = JOIN_INTERVAL_MIN
        self.join_position = self.sync_count = 0
        self.reply_tokens = REPLIES_PER_SECOND_MAX
        self.tokens_refilled_at = 0

    # -- entry points ---------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[Action]:
        """Send what is due.

        To be called every HELLO_INTERVAL while ``has_candidates``, else every JOIN_INTERVAL_MIN.
        """
        self.actions = []
        if not self.peers and now >= self.next_join_at and self.join:
            self._contact_seed()
            self.next_join_at = now + int(self.join_interval * (0.5 + self.random.random()))
            self.join_interval = min(JOIN_INTERVAL_MAX, 2 * self.join_interval)
        if now >= self.next_hello_at and (
            due := [rank for rank, candidate in self.candidates.items() if candidate.due_at <= now]
        ):
            self.next_hello_at = now + HELLO_INTERVAL
            self._contact_candidate(now, min(due, key=lambda rank: (self.candidates[rank].due_at, rank)))
        if self.peers and now >= self.next_sync_at:
            self.next_sync_at = now + int(SYNC_INTERVAL * (0.5 + self.random.random()))
            self.sync_count += 1
            if self.join and self.sync_count % REJOIN_EVERY == 0:
                self._contact_seed()
            else:
                peer = self.peers[self.random.choice(sorted(self.peers))]
                self._send_hello(peer.address, all_pages=self.sync_count % FULL_SYNC_EVERY == 0)
        return self._take_actions()

    def receive(self, now: int, sender_address: Address, data: bytes) -> list[Action]:
        """Process a datagram of this version, whoever sent it."""
        self.actions = []
        try:
            kind, rank, life, nonce, digest, page, rows = self._unpack(data)
        except messages.InvalidMessage as reason:
            self.counts[f"dropped_{reason}"] += 1
            return []
        if rank == self.rank:
            self._process_own_rank(sender_address, kind, life, nonce, now)
        elif kind == HELLO:
            self._process_hello(now, sender_address, rank, life, nonce, digest, page)
        else:
            self._process_reply(now, sender_address, rank, life, nonce, digest, page, rows)
        return self._take_actions()

    def add_candidate(self, now: int, rank: int, life: int, address: Address) -> None:
        """Contact an address that the list service reported."""
        if 0 <= rank < self.size:
            self._apply_report(now, rank, PeerAddress(life, address))

    @property
    def has_candidates(self) -> bool:
        """Whether a reported address is still to be verified."""
        return bool(self.candidates)

    @property
    def ranks_without_address(self) -> frozenset[int]:
        """The other ranks that are not bound to an address."""
        return frozenset(range(self.size)) - self.peers.keys() - {self.rank}

    # -- internals ------------------------------------------------------------------------------------------

    def _take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    def _digest(self) -> int:
        """Return a hash of our table including ourselves; equal for gateways that know the same addresses."""
        return self.peers_digest ^ _digest_part(self.rank, PeerAddress(self.life, self.own_address))

    def _apply_report(self, now: int, rank: int, peer: PeerAddress) -> bool:
        """Apply an unverified report, which may concern ourselves; return whether it gave a new candidate."""
        if rank == self.rank:
            if peer.life > self.life:
                self.actions.append(NewerLifeFound(peer.life))
        elif (current := self.peers.get(rank)) is None or peer.life > current.life:
            return self._set_candidate(now, rank, peer)
        return False

    def _set_candidate(self, now: int, rank: int, peer: PeerAddress) -> bool:
        previous = self.candidates.get(rank)
        if (
            previous is None
            or peer.life > previous.peer.life
            or (previous.attempts and peer != previous.peer)
        ):
            self.candidates[rank] = Candidate(peer, now)
            return True
        return False

    def _contact_candidate(self, now: int, rank: int) -> None:
        candidate = self.candidates[rank]
        candidate.attempts += 1
        candidate.due_at = now + HELLO_TIMEOUT
        self._send_hello(candidate.peer.address)
        if candidate.attempts >= HELLO_ATTEMPTS_MAX:
            del self.candidates[rank]

    def _bind(self, rank: int, peer: PeerAddress) -> None:
        """Bind a rank to the address from which it replied."""
        current = self.peers.get(rank)
        if current and peer.life < current.life:
            return  # an earlier process of this rank, which may still be running
        self.peers_digest ^= _digest_part(rank, peer) ^ (_digest_part(rank, current) if current else 0)
        self.peers.pop(rank, None)
        self.peers[rank] = peer  # inserted anew, as the most recent one
        if (candidate := self.candidates.get(rank)) and candidate.peer.life <= peer.life:
            del self.candidates[rank]
        if current is None or current.address != peer.address:
            self.actions.append(AddressChanged(rank, peer.address))

    def _process_own_rank(self, sender_address: Address, kind: int, life: int, nonce: int, now: int) -> None:
        """Process a message with our rank: our own, sent to an address of ``join``, or another process's.

        Of two processes under one rank the one with the smaller life yields.
        """
        if life > self.life:
            self.actions.append(NewerLifeFound(life))
        elif life < self.life and kind == HELLO:
            self._send_reply(
                now, sender_address, nonce, 0, PeerAddress(self.life, self.own_address), self.rank
            )

    def _process_hello(
        self, now: int, sender_address: Address, rank: int, life: int, nonce: int, digest: int, page: int
    ) -> None:
        """Reply to a HELLO, whose ``page`` is the index of the first row that it asks for.

        A new address only becomes a candidate: the HELLO does not prove that it is the sender's.
        """
        current = self.peers.get(rank)
        if (
            current is None
            or life > current.life
            or (current.life == life and current.address != sender_address)
        ):
            self._set_candidate(now, rank, PeerAddress(life, sender_address))
        superseding = current if current and life < current.life else None
        differs = digest != self._digest()
        if differs:  # the sender may know addresses that we don't: sync soon
            self.next_sync_at = min(
                self.next_sync_at, now + int(EARLY_SYNC_DELAY * (0.5 + self.random.random()))
            )
        self._send_reply(now, sender_address, nonce, page if differs else None, superseding, rank)

    def _process_reply(
        self,
        now: int,
        sender_address: Address,
        rank: int,
        life: int,
        nonce: int,
        digest: int,
        next_page: int,
        rows: Iterable[tuple[int, PeerAddress]],
    ) -> None:
        """Bind the sender of a reply that we asked for, and request the rows from ``next_page`` on (0: none).

        ``all_pages`` is what we had asked for with the HELLO.
        """
        all_pages = self.pending_hellos.pop((nonce, sender_address), None)
        if all_pages is None:
            self.counts["dropped_unasked"] += 1
            return
        self._bind(rank, PeerAddress(life, sender_address))
        new_candidates = sum(self._apply_report(now, other, peer) for other, peer in rows)
        # The latest rows come first: after a page without new candidates the rest is left to full syncs.
        if next_page and digest != self._digest() and (all_pages or new_candidates):
            self._send_hello(sender_address, next_page, all_pages)

    def _contact_seed(self) -> None:
        self._send_hello(self.join[self.join_position % len(self.join)], all_pages=True)
        self.join_position += 1

    def _send_hello(self, address: Address, page: int = 0, all_pages: bool = False) -> None:
        nonce = self.random.getrandbits(32)
        self.pending_hellos[nonce, address] = all_pages
        if len(self.pending_hellos) > PENDING_HELLOS_MAX:
            self.pending_hellos.popitem(last=False)
        self._send(address, HELLO, nonce, page)

    def _send_reply(
        self,
        now: int,
        destination: Address,
        nonce: int,
        page: int | None,
        superseding: PeerAddress | None,
        rank: int,
    ) -> None:
        """Reply with rows from index ``page`` on (None: no rows).

        ``superseding`` is the process that has replaced the sender under its rank, if there is one; it
        is sent as the first row.
        """
        self.reply_tokens = min(
            REPLIES_PER_SECOND_MAX,
            self.reply_tokens + REPLIES_PER_SECOND_MAX * (now - self.tokens_refilled_at) / SECOND,
        )
        self.tokens_refilled_at = now
        if self.reply_tokens < 1:
            self.counts["kept_back"] += 1
            return
        self.reply_tokens -= 1
        rows = [(rank, superseding)] if superseding else []
        next_page = 0
        if page is not None:
            others = [other for other in reversed(self.peers) if other != rank][page:]
            capacity = ROWS_MAX - len(rows)
            next_page = page + capacity if len(others) > capacity else 0
            rows += [(other, self.peers[other]) for other in others[:capacity]]
        self._send(destination, HELLO_REPLY, nonce, next_page, rows)

    def _send(
        self,
        destination: Address,
        kind: int,
        nonce: int,
        page: int,
        rows: Iterable[tuple[int, PeerAddress]] = (),
    ) -> None:
        body = HEADER.pack(kind, self.rank, _encode_life(self.life), nonce, self._digest(), page)
        for rank, peer in rows:
            host, port = peer.address
            body += ROW.pack(rank, _encode_life(peer.life), socket.inet_aton(host), port)
        self.counts["sent"] += 1
        self.actions.append(SendDatagram(destination, messages.seal(self.key, body, VERSION)))

    # -- decoding -------------------------------------------------------------------------------------------

    def _unpack(self, data: bytes) -> tuple[int, int, int, int, int, int, list[tuple[int, PeerAddress]]]:
        body = messages.unseal(data, self.key, VERSION)
        if len(body) < HEADER.size or (len(body) - HEADER.size) % ROW.size:
            raise messages.InvalidMessage("malformed")
        kind, rank, life, nonce, digest, page = HEADER.unpack_from(body)
        rows = list(self._unpack_rows(body))
        if kind not in (HELLO, HELLO_REPLY) or max(rank, page, *(other for other, _ in rows)) >= self.size:
            raise messages.InvalidMessage("malformed")
        return kind, rank, _decode_life(life), nonce, digest, page, rows

    @staticmethod
    def _unpack_rows(body: bytes) -> Iterator[tuple[int, PeerAddress]]:
        yield from (
            (rank, PeerAddress(_decode_life(life), (socket.inet_ntoa(host), port)))
            for rank, life, host, port in ROW.iter_unpack(body[HEADER.size :])
        )
