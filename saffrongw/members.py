"""Membership on the gateway's sockets: clock, timer, log; what follows from the view goes to the decisions.

Imported only where ``cluster`` is configured.
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

from . import places as where
from .config import Address, Config
from .driver import Driver
from .meeting import RendezvousClient
from .peers import Peers

log = logs.get(__name__)

MS = 1_000  # microseconds
TIMER_RESOLUTION = 5 * MS  # two times that lie nearer are one
STEPS = (PROBE_RETRY_DELAY, INDIRECT_PROBE_DELAY, PROBE_TIMEOUT)  # when a probe is next looked at
LIFE_BITS = 10  # random ones below the milliseconds of a life


def clock() -> int:
    """Microseconds of a clock that never jumps and runs on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000


class Members:
    """One gateway's membership."""

    def __init__(self, driver: Driver, config: Config, peers: Peers, drain: Callable[[], None]) -> None:
        """``drain`` is called where another process runs under our rank."""
        settings = config.settings
        draw = int.from_bytes(os.urandom(8), "big")
        life = (time.time_ns() // 1_000_000 << LIFE_BITS) + draw % (1 << LIFE_BITS)
        size, intake = min(settings.gateways, len(config.peers) or settings.gateways), settings.peer_intake
        self.core = Membership(settings.rank, size, config.cluster, life, draw, clock(), intake)
        own = config.advertise or config.peer_listen
        self.places: where.AddressBook | None = None  # a fixed list tells where all are
        self.meeting: RendezvousClient | None = None
        if not config.peers:
            self.places = where.AddressBook(settings.rank, size, config.cluster, life, own, config.join, draw)
        if self.places and config.meet:
            self.meeting = RendezvousClient(config.meet, config.cluster, self.places, clock)
        self.driver, self.peers, self.drain, self.loop = driver, peers, drain, driver.loop
        self.told = None if self.places else self._says()
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0  # when it fires
        peers.members, driver.pre_event_hook = self, self.look

    def start(self) -> None:
        """The socket is ours: speak from now on."""
        if self.timer is None:
            self._tick()
            if self.meeting:
                self.meeting.start()

    def _due(self, now: int) -> int:
        """When there is something to do at the latest: a process at rest wakes for its own probes alone."""
        core = self.core
        if core.left:
            return now + PROBE_INTERVAL
        if core.suspects or core.urgent_pings:
            return now + TICK_INTERVAL
        looks = [probe.sent_at + STEPS[probe.stage] for probe in core.probes.values()]
        if self.places and self.places.has_candidates:
            looks.append(now + where.HELLO_INTERVAL)
        return min(
            core.next_probe, now + PROBE_INTERVAL, *looks, *(due for due, _ in core.relayed_probes.values())
        )

    def _wake(self, now: int) -> None:
        """The one timer, set anew where something is due at another time."""
        due = max(now + TIMER_RESOLUTION, self._due(now))
        if self.timer and abs(due - self.due) < TIMER_RESOLUTION:
            return
        if self.timer:
            self.timer.cancel()
        self.due = due
        self.timer = self.loop.call_later((due - now) / 1_000_000, self._tick)

    def stop(self) -> None:
        """The socket is another's: say nothing more."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.meeting:
            self.meeting.stop()

    def _tick(self) -> None:
        now, self.timer = clock(), None
        self._carry_out(self.core.tick(now))
        if self.places:
            self.places.life = self.core.life  # it may have outbid a former self
            self._find(now, self.places.tick(now))
            self.core.counts.update(self.places.counts)
            self.places.counts.clear()
        for name, count in self.core.counts.items():
            self.driver.stats[f"member_{name}"] += count
        self.core.counts.clear()
        if not self.core.yielded:
            self._wake(now)

    def look(self) -> api.MembersChanged | None:
        """Before a decision: did we stand still? Then it must know."""
        now = clock()
        return (
            self._do(self.core.tick(now))
            if now - self.core.last_called > PAUSE_THRESHOLD and self.timer
            else None
        )

    def heard(self, rank: int, body: bytes) -> None:
        """A datagram of membership's kind, from this rank's address."""
        now = clock()
        self._carry_out(self.core.receive(now, rank, body))
        if self.timer:
            self._wake(now)

    def greeted(self, source: Address, body: bytes) -> None:
        """A datagram that says where members are, from anywhere."""
        now = clock()
        if self.places and self.timer:
            self._find(now, self.places.receive(now, source, body))
            self._wake(now)

    def _find(self, now: int, actions: Iterable[where.Action]) -> None:
        """What is new of where members are."""
        for action in actions:
            if isinstance(action, where.SendDatagram):
                self.peers.send(action.address, action.body)
            elif isinstance(action, where.AddressChanged):
                at = "{}:{}".format(*action.address)
                log.info("member_placed", member=action.rank, address=at, boot_ms=now // MS)
                self.peers.move(action.rank, action.address)
                self._carry_out(())
            elif not self.core.yielded:
                self._carry_out(self.core.on_newer_life(now, action.life))

    def leave(self) -> None:
        """This process ends on purpose."""
        if self.timer:
            self._carry_out(self.core.leave(clock()))

    def _carry_out(self, actions: Iterable[state.Action]) -> None:
        if changed := self._do(actions):
            self.driver.feed(changed)

    def _do(self, actions: Iterable[state.Action]) -> api.MembersChanged | None:
        """Tell and log; what the decisions have to know, if the view has changed."""
        for action in actions:
            if isinstance(action, state.Send):
                self.peers.tell(action.rank, action.body)
            else:
                self._notice(action)
        says = self._says()
        if says == self.told:
            return None
        self.told = says
        return says

    def _says(self) -> api.MembersChanged:
        """What the decisions are told: who has no place yet is away, too."""
        view = self.core.view
        apart = view.cut_off or view.unheard or view.doubtful or self.core.yielded
        return api.MembersChanged(
            view.absent | self.places.ranks_without_address if self.places else view.absent, apart
        )

    def _notice(self, notice: state.LogEvent) -> None:
        fields = notice.fields | {"boot_ms": clock() // MS}
        match notice.name:
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
                self.driver.feed(api.MembersChanged(self._says().unavailable, True))
                self.drain()
                self.stop()
                self.loop.call_soon(self.peers.transport.close)  # all datagrams are the other's

    # -- to be seen -----------------------------------------------------------------------------------------

    def health_warnings(self) -> tuple[str, ...]:
        """What is wrong with this process's own sight."""
        view, core = self.core.view, self.core
        others = f"{view.active_of_total[0] - 1} of {view.active_of_total[1] - 1} gateways are here"
        return (
            *((f"nobody is heard, {others}",) if view.cut_off else ()),
            *(("most of those heard don't hear us",) if view.unheard else ()),
            *(("it stood still and knows nothing fresh yet",) if view.doubtful else ()),
            *(
                (f"only {others}",)
                if 2 * view.active_of_total[0] <= view.active_of_total[1] and not view.cut_off
                else ()
            ),
            *((f"{len(down)} links are dead",) if (down := core.links.down_links()) else ()),
        )

    def table(self) -> dict[str, object]:
        """The view for operators: each member's state, life, incarnation and the milliseconds since it was
        heard; dead links as pairs (from, to)."""
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
            "unheard": core.view.unheard,
            "doubtful": core.view.doubtful,
            "health": core.health,
            "part": list(core.view.active_of_total),
            "members": rows,
            "unplaced": sorted(self.places.ranks_without_address) if self.places else [],
            "links_down": core.links.down_links(),
        }

    def gauges(self) -> dict[str, int]:
        """For the log's figures and the metrics."""
        view = self.core.view
        return {
            "members_here": view.active_of_total[0],
            "members_missing": view.active_of_total[1] - view.active_of_total[0],
            "member_links_down": len(self.core.links.down_links()),
            "member_apart": int(view.cut_off or view.unheard or view.doubtful),
        }
