"""Runs the membership protocol: supplies clock, timer and socket, logs its events and reports view changes.

Changes of the view are passed to the decision module. Imported only where ``cluster`` is configured.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Iterable

from ops import logs
from orchidlane import interface as api
from orchidlane import member_state as state
from orchidlane.membership import (
    INDIRECT_PROBE_DELAY,
    PAUSE_THRESHOLD,
    PROBE_INTERVAL,
    PROBE_RETRY_DELAY,
    PROBE_TIMEOUT,
    TICK_INTERVAL,
    Membership,
)

from . import address_book
from .config import Address, Config
from .driver import Driver
from .peers import Peers
from .rendezvous import RendezvousClient

log = logs.get_logger(__name__)

MS = 1_000  # microseconds
TIMER_RESOLUTION = 5 * MS  # the timer is not reset for a smaller difference
PROBE_STAGE_DELAYS = (
    PROBE_RETRY_DELAY,
    INDIRECT_PROBE_DELAY,
    PROBE_TIMEOUT,
)  # age at which a probe is next checked, by stage
LIFE_RANDOM_BITS = 10  # low bits of a life, below the milliseconds


def clock() -> int:
    """Return the microseconds of a monotonic clock that keeps running while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000


class Members:
    """Membership of this gateway in its cluster."""

    def __init__(self, driver: Driver, config: Config, peers: Peers, drain: Callable[[], None]) -> None:
        """``drain`` is called if this process yields to another one that runs under its rank."""
        settings = config.settings
        random_seed = int.from_bytes(os.urandom(8), "big")
        life = (time.time_ns() // 1_000_000 << LIFE_RANDOM_BITS) + random_seed % (1 << LIFE_RANDOM_BITS)
        # The ranks that the settings have and, if ``peers`` is configured, it gives an address for.
        size = min(settings.gateways, len(config.peers) or settings.gateways)
        self.core = Membership(
            settings.rank, size, config.cluster, life, random_seed, clock(), settings.peer_intake
        )
        own_address = config.advertise or config.peer_listen
        self.address_book: address_book.AddressBook | None = None  # None: all addresses are configured
        self.rendezvous: RendezvousClient | None = None
        if not config.peers:
            self.address_book = address_book.AddressBook(
                settings.rank, size, config.cluster, life, own_address, config.join, random_seed
            )
        if self.address_book and config.meet:
            self.rendezvous = RendezvousClient(config.meet, config.cluster, self.address_book, clock)
        self.driver = driver
        self.peers = peers
        self.drain = drain
        self.loop = driver.loop
        # With configured addresses, the first view counts as reported; with discovered ones it is fed.
        self.last_reported = None if self.address_book else self._members_changed()
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due = 0  # when the timer fires, by ``clock()``
        peers.members = self
        driver.pre_event_hook = self.check_pause

    def start(self) -> None:
        """Start the protocol, once this process owns the socket."""
        if self.timer is None:
            self._tick()
            if self.rendezvous:
                self.rendezvous.start()

    def _next_due(self, now: int) -> int:
        """Return when ``_tick`` is needed next; an idle process wakes up only for its own probes."""
        core = self.core
        if core.left:
            return now + PROBE_INTERVAL
        if core.suspects or core.urgent_pings:
            return now + TICK_INTERVAL
        check_times = [probe.sent_at + PROBE_STAGE_DELAYS[probe.stage] for probe in core.probes.values()]
        if self.address_book and self.address_book.has_candidates:
            check_times.append(now + address_book.HELLO_INTERVAL)
        return min(
            core.next_probe,
            now + PROBE_INTERVAL,
            *check_times,
            *(due for due, _ in core.relayed_probes.values()),
        )

    def _schedule(self, now: int) -> None:
        """Set the timer for ``_tick``, unless it is already set for that time."""
        due = max(now + TIMER_RESOLUTION, self._next_due(now))
        if self.timer and abs(due - self.timer_due) < TIMER_RESOLUTION:
            return
        if self.timer:
            self.timer.cancel()
        self.timer_due = due
        self.timer = self.loop.call_later((due - now) / 1_000_000, self._tick)

    def stop(self) -> None:
        """Stop the protocol, as another process owns the socket now."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.rendezvous:
            self.rendezvous.stop()

    def _tick(self) -> None:
        now = clock()
        self.timer = None
        self._process_and_feed(self.core.tick(now))
        if self.address_book:
            self.address_book.life = self.core.life  # raised if an earlier process had a greater one
            self._apply_address_actions(now, self.address_book.tick(now))
            self.core.counts.update(self.address_book.counts)
            self.address_book.counts.clear()
        for name, count in self.core.counts.items():
            self.driver.stats[f"member_{name}"] += count
        self.core.counts.clear()
        if not self.core.yielded:
            self._schedule(now)

    def check_pause(self) -> api.MembersChanged | None:
        """Detect a pause of this process before an event is handled, as decisions must take it into account.

        Return the view if the pause has changed it.
        """
        now = clock()
        if self.timer and now - self.core.last_called > PAUSE_THRESHOLD:
            return self._process_actions(self.core.tick(now))
        return None

    def receive(self, rank: int, body: bytes) -> None:
        """Process a membership message from the address of this rank."""
        now = clock()
        self._process_and_feed(self.core.receive(now, rank, body))
        if self.timer:
            self._schedule(now)

    def receive_address_message(self, source: Address, body: bytes) -> None:
        """Process a message of the address discovery, from any address."""
        now = clock()
        if self.address_book and self.timer:
            self._apply_address_actions(now, self.address_book.receive(now, source, body))
            self._schedule(now)

    def _apply_address_actions(self, now: int, actions: Iterable[address_book.Action]) -> None:
        """Carry out actions of the address book."""
        for action in actions:
            if isinstance(action, address_book.SendDatagram):
                self.peers.send(action.address, action.body)
            elif isinstance(action, address_book.AddressChanged):
                address = "{}:{}".format(*action.address)
                log.info("member_placed", member=action.rank, address=address, boot_ms=now // MS)
                self.peers.set_address(action.rank, action.address)
                self._process_and_feed(())  # the view may have changed: this rank has an address now
            elif not self.core.yielded:  # NewerLifeFound
                self._process_and_feed(self.core.on_newer_life(now, action.life))

    def leave(self) -> None:
        """Announce to the other members that this process shuts down."""
        if self.timer:
            self._process_and_feed(self.core.leave(clock()))

    def _process_and_feed(self, actions: Iterable[state.Action]) -> None:
        """Carry out actions and pass a changed view to the decision module."""
        if changed := self._process_actions(actions):
            self.driver.feed(changed)

    def _process_actions(self, actions: Iterable[state.Action]) -> api.MembersChanged | None:
        """Send messages and log events; return an event for the decision module if the view has changed."""
        for action in actions:
            if isinstance(action, state.Send):
                self.peers.send_to_rank(action.rank, action.body)
            else:
                self._log_event(action)
        event = self._members_changed()
        if event == self.last_reported:
            return None
        self.last_reported = event
        return event

    def _members_changed(self) -> api.MembersChanged:
        """Return the view for the decision module; gateways without a known address are unavailable, too."""
        view = self.core.view
        isolated = view.cut_off or view.outbound_down or view.doubtful or self.core.yielded
        unavailable = view.absent
        if self.address_book:
            unavailable = view.absent | self.address_book.ranks_without_address
        return api.MembersChanged(unavailable, isolated)

    def _log_event(self, event: state.LogEvent) -> None:
        """Log an event of the protocol; at ``twin``, a newer process under our rank, also yield to it.

        ``stood_still``: this process was paused, so its view is ``doubtful``; ``sure_again``: the view no
        longer is; ``cut_off``: the view's ``cut_off`` has changed; ``unheard``: its ``outbound_down`` has.
        """
        fields = event.fields | {"boot_ms": clock() // MS}
        match event.name:
            case "member":
                log.info("member_changed", **fields)
            case "link":
                log.warning("member_link_changed", **fields)
            case "stood_still":
                log.warning("member_stood_still", **fields)
            case "sure_again":
                log.info("member_sure_again", **fields)
            case "cut_off":
                log.warning("member_cut_off", **fields)
            case "unheard":
                log.warning("member_unheard", **fields)
            case "twin":
                log.error("member_has_twin", **fields)
                self.driver.readiness.has_duplicate_rank = True
                # True: this process is isolated from now on.
                self.driver.feed(api.MembersChanged(self._members_changed().unavailable, True))
                self.drain()
                self.stop()
                # All datagrams for our rank are now the other process's; ours, if any are left, go out first.
                self.loop.call_soon(self.peers.transport.close)

    # -- for operators and metrics --------------------------------------------------------------------------

    def health_warnings(self) -> tuple[str, ...]:
        """Return reasons why this process's view of the cluster may be wrong."""
        view = self.core.view
        active, total = view.active_of_total
        others = f"{active - 1} of {total - 1} other gateways are active"
        warnings = []
        if view.cut_off:
            warnings.append(f"it receives nothing from other gateways, {others}")
        if view.outbound_down:
            warnings.append("most gateways that it receives from do not receive from it")
        if view.doubtful:
            warnings.append("it was paused and has no recent information yet")
        if 2 * active <= total and not view.cut_off:
            warnings.append(f"only {others}")
        if down := self.core.links.down_links():
            warnings.append(f"{len(down)} links are down")
        return tuple(warnings)

    def table(self) -> dict[str, object]:
        """Return the view for operators.

        A life distinguishes a process from earlier ones under its rank; ``yielded`` tells whether this one
        gave way to a later one. ``health`` is 0 if healthy and at worst HEALTH_MAX. ``unheard`` is the view's
        ``outbound_down``, and ``part`` its ``active_of_total``.

        A member's row is its state, life, incarnation and the milliseconds since its last message, None if
        none was received. Links that are down are pairs (from, to).
        """
        core, now = self.core, clock()
        rows = {
            m.rank: [
                m.state.value,
                m.life,
                m.incarnation,
                (now - m.last_received) // MS if m.last_received else None,
            ]
            for m in core.members.values()
        }
        return {
            "rank": core.rank,
            "life": core.life,
            "incarnation": core.incarnation,
            "yielded": core.yielded,
            "cut_off": core.view.cut_off,
            "unheard": core.view.outbound_down,
            "doubtful": core.view.doubtful,
            "health": core.health,
            "part": list(core.view.active_of_total),
            "members": rows,
            "unplaced": sorted(self.address_book.ranks_without_address) if self.address_book else [],
            "links_down": core.links.down_links(),
        }

    def gauges(self) -> dict[str, int]:
        """Return the gauges for the ``stats`` event and the metrics."""
        view = self.core.view
        return {
            "members_here": view.active_of_total[0],
            "members_missing": view.active_of_total[1] - view.active_of_total[0],
            "member_links_down": len(self.core.links.down_links()),
            "member_apart": int(view.cut_off or view.outbound_down or view.doubtful),
        }
