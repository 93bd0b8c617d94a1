"""The gateway's figures for a monitoring system: what the log's ``stats`` event tells, and histograms.

Label values come from the configuration alone (classes, zones) and from fixed sets (outcomes, causes), so
their number is bounded whatever clients and hosts send. Imported only where ``metrics`` is configured.
"""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import Histogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric

from ops.http import Server
from ops.metrics import CALLERS_MOST, Page, counter, gauge, labelled
from orchidlane import interface as api

from .config import Address, Config
from .driver import Driver

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)  # seconds
NO_ZONE = "none"  # no host served the request, or its zone is not in the configuration
SECOND = 1_000_000

GAUGES = {
    "client_conns": "Connections of clients",
    "client_conns_most": "Their limit",
    "client_idle": "Connections of clients without an open request",
    "client_slots": "Requests and answers open on all connections of clients",
    "client_half_closed": "Connections of clients that we have ended, until they end too",
    "client_unfinished": "Connections within a command",
    "client_unfinished_bytes": "Bytes of those commands",
    "client_uploads": "Large bodies that are coming",
    "upload_room_kb": "KiB left for large bodies",
    "calls": "Requests owed an answer",
    "host_conns": "Connections to hosts, open or opening",
    "host_conns_most": "Their limit",
    "host_streams": "Large answers on their way",
    "host_idle": "Unused connections to hosts",
    "host_waiting": "Attempts that wait for a connection",
    "members_here": "Gateways held to be there, this one too",
    "members_missing": "Gateways that did not leave and are not there",
    "member_links_down": "Directions between gateways on which nothing arrives",
    "member_apart": "1 where this gateway is cut off, unheard, or knows nothing fresh",
}
COUNTERS = {
    "requests": "Requests that came whole",
    "served": "Requests answered with what a host gave",
    "failed": "Requests answered as failed",
    "client_gone": "Requests whose client went first",
    "client_gone_waiting": "Those of which nothing had been sent to a host",
    "client_gone_sent_late": "Those sent to a host over 0.3 s after their client may have gone",
    "relayed": "Requests decided on by the other process of an upgrade",
    "streamed": "Large answers",
    "stream_broken": "Large answers that a host broke off",
    "upload_waited": "Clients not read from until there was room for their large body",
    "client_accepted": "New connections of clients",
    "client_evicted": "Idle ones closed for them",
    "client_malformed": "Commands answered -ERR",
    "client_protocol_error": "Connections whose framing was lost",
    "client_overdue": "Connections closed: no whole command in time",
    "client_unread": "Connections closed: answers not read",
    "client_gone_unread": "Connections whose client was seen to go while nothing was read from it",
    "client_read_away": "Bytes of clients that came after the last answer, not looked at",
    "client_bytes_in": "Bytes read from clients",
    "host_bytes_in": "Bytes read from hosts",
    "host_stale": "Idle connections to hosts that had something unread when they were to be used",
    "host_unasked": "Idle connections on which a host sent something",
    "peer_in": "Datagrams from other gateways",
    "peer_out": "Datagrams to other gateways",
    "control_evicted": "Silent operators' connections closed for new ones",
    "member_sent": "Messages of membership",
    "member_sent_bytes": "Bytes of them",
    "member_kept_back": "Those not sent: no room",
    "member_probes_failed": "Probes that neither the member nor a relay answered",
    "member_refuted": "Doubts about this gateway that it refuted",
    "member_stood_still": "Times that this process did not run for a while",
}
CAUSES = ("quota", "ceiling", "slow", "spent", "crowded", "leaving", "handed_over", "no_room")
# Counters by one label: prefix in the log, name, label, help, values.
LABELLED = (
    ("refused_", "birchdrum_refused", "cause", "Requests refused", CAUSES),
    (
        "attempt_",
        "birchdrum_attempts",
        "outcome",
        "Attempts at hosts that ended",
        tuple(outcome.value.replace(" ", "_") for outcome in api.Outcome),
    ),
    (
        "member_dropped_",
        "birchdrum_member_dropped",
        "cause",
        "Messages of membership that were dropped",
        ("malformed", "version", "foreign", "forged", "former", "left", "replayed", "stale", "unasked"),
    ),
    ("control_", "birchdrum_control_calls", "answer", "Operators' calls", ("done", "error")),
)


class Metrics:
    """The driver's observer, and the page."""

    def __init__(self, driver: Driver, config: Config) -> None:
        self.driver, self.zones = driver, config.zones
        self.kinds = [name.decode() for name in config.classes]
        self.page = Page(self._families)
        registry = self.page.registry
        self.answers = Histogram(
            "birchdrum_answer_seconds",
            "From a request's last byte to its final answer",
            ("class", "outcome", "zone"),
            buckets=BUCKETS,
            registry=registry,
        )
        self.attempts = Histogram(
            "birchdrum_attempt_seconds",
            "From an attempt's start to its end",
            ("outcome", "zone"),
            buckets=BUCKETS,
            registry=registry,
        )
        self.server: Server | None = None

    async def listen(self, address: Address) -> None:
        """Answer scrapes from now on; raises OSError."""
        server = Server(self.page.handle, CALLERS_MOST)
        await server.listen(address)
        self.server = server

    async def end(self) -> None:
        """No more scrapes."""
        if self.server:
            await self.server.end(0.0)

    def _zone(self, server: api.Server) -> str:
        host = self.driver.gateway.hosts.get(server)
        known = host is not None and host.entry.zone < len(self.zones)
        return self.zones[host.entry.zone] if known else NO_ZONE

    def request_finished(self, kind: int, outcome: str, server: api.Server, took: int) -> None:
        """A request is over."""
        self.answers.labels(self.kinds[kind], outcome, self._zone(server)).observe(took / SECOND)

    def attempt_finished(self, outcome: api.Outcome, server: api.Server, took: int) -> None:
        """An attempt is over."""
        name = outcome.value.replace(" ", "_")
        self.attempts.labels(name, self._zone(server)).observe(took / SECOND)

    def _families(self) -> Iterable[Metric]:
        totals, gauges = self.driver.stats.totals(), self.driver.stats.gauges()
        ready = not self.driver.readiness.why_not
        yield gauge("birchdrum_ready", "1 where this process is ready to serve", ready)
        yield gauge("birchdrum_hosts", "Hosts on the list", len(self.driver.gateway.hosts))
        for name, text in GAUGES.items():
            yield gauge(f"birchdrum_{name}", text, gauges.get(name, 0))
        for name, text in COUNTERS.items():
            yield counter(f"birchdrum_{name}", text, totals[name])
        for prefix, name, label, text, values in LABELLED:
            counts = ((value, float(totals[prefix + value])) for value in values)
            yield labelled(CounterMetricFamily(name, text, labels=(label,)), counts)
