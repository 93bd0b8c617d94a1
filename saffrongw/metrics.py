"""Prometheus metrics of the gateway: the values of the log's ``stats`` event, and latency histograms.

Label values come only from the configuration (classes, zones) and from fixed sets (outcomes, causes), so
their number is bounded whatever clients and hosts send. Imported only if ``metrics`` is configured.
"""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import Histogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric

from ops.http import Server
from ops.metrics import SCRAPE_CONNECTIONS_MAX, MetricsPage, counter, gauge, labelled
from orchidlane import interface as api

from .config import Address, Config
from .driver import Driver

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)  # seconds
NO_ZONE = "none"  # no host served the request, or the host's zone is not configured
MICROSECONDS_PER_SECOND = 1_000_000

GAUGES = {
    "client_conns": "Open client connections",
    "client_conns_most": "Limit of open client connections",
    "client_idle": "Client connections without an open request",
    "client_slots": "Requests and answers open on all client connections",
    "client_half_closed": "Half-closed client connections, until the client closes too",
    "client_unfinished": "Client connections with an incomplete command",
    "client_unfinished_bytes": "Bytes received of incomplete or waiting commands",
    "client_input_queued": "Client connections whose received input waits for its turn",
    "client_uploads": "Large request bodies being received",
    "upload_room_kb": "KiB of memory left for large request bodies",
    "client_request_kb": "KiB of requests without an answer, besides large bodies",
    "client_waiting_reply_kb": "KiB of answers that wait behind others",
    "host_reply_kb": "KiB of responses of which a part has been received",
    "stream_kb": "KiB counted for large answers on their way",
    "memory_capacity_kb": "KiB that the memory limit leaves after the process itself",
    "memory_held_kb": "KiB of them that are counted as held for clients and hosts",
    "memory_uncounted_kb": "KiB of resident memory that nothing counts",
    "calls": "Requests without a final answer yet",
    "host_conns": "Connections to hosts, open or being opened",
    "host_conns_most": "Limit of connections to hosts",
    "host_streams": "Large answers being streamed",
    "host_idle": "Idle connections to hosts",
    "host_waiting": "Attempts waiting for a connection",
    "members_here": "Gateways considered alive, including this one",
    "members_missing": "Gateways that are not alive and did not leave",
    "member_links_down": "Directed links between gateways on which nothing arrives",
    "member_apart": "1 if this gateway receives nothing, is not received by others, or has a stale view",
}
COUNTERS = {
    "requests": "Requests received completely",
    "served": "Requests answered with a host's answer",
    "failed": "Requests answered as failed",
    "client_gone": "Requests whose client disconnected before the answer",
    "client_gone_waiting": "Requests whose client disconnected before any attempt was sent",
    "client_gone_sent_late": "Requests sent to a host over 0.3 s after their client may have disconnected",
    "relayed": "Requests relayed to the successor of an upgrade",
    "failed_repeated": "Requests not begun again, as their id may have been executed and is unsafe to repeat",
    "failed_ending": "Requests answered as failed before their time, as a drain or shutdown ended",
    "failed_no_room": "Answers replaced by an error, as too much waited behind others",
    "streamed": "Large answers streamed to clients",
    "stream_held": "Large answers held back until they were whole, as other requests were behind them",
    "stream_held_too_long": "Large answers held back and not whole when their request's time was over",
    "stream_broken": "Large answers that a host did not complete",
    "upload_waited": "Clients whose reading was paused until memory for their large body was free",
    "client_accepted": "Client connections accepted",
    "client_evicted": "Idle client connections closed to make room for new ones",
    "client_malformed": "Commands answered -ERR",
    "client_protocol_error": "Client connections closed for a protocol error",
    "client_overdue": "Client connections closed: no complete command in time",
    "client_unread": "Client connections closed: answers not read by the client",
    "client_gone_unread": "Client connections found closed by the client while reading was paused",
    "client_read_away": "Bytes from clients discarded after the last answer",
    "client_bytes_in": "Bytes read from clients",
    "host_bytes_in": "Bytes read from hosts",
    "host_stale": "Idle connections to hosts found with unread data when taken from the pool",
    "host_unasked": "Idle connections on which a host sent unrequested data",
    "peer_in": "Datagrams received from other gateways",
    "peer_out": "Datagrams sent to other gateways",
    "control_evicted": "Oldest control connections closed to make room for new ones",
    "member_sent": "Membership messages sent",
    "member_sent_bytes": "Bytes of membership messages sent",
    "member_kept_back": "Membership messages not sent because of the rate limit",
    "member_probes_failed": "Membership probes answered by neither the member nor a relay",
    "member_refuted": "Suspicions of this gateway that it refuted",
    "member_stood_still": "Pauses in which this process did not run",
}
CAUSES = ("quota", "ceiling", "slow", "spent", "crowded", "leaving", "handed_over", "no_room")
# Counters with one label: prefix of the names in the log, metric name, label, help text, label values.
LABELLED_COUNTERS = (
    ("refused_", "birchdrum_refused", "cause", "Requests refused", CAUSES),
    (
        "attempt_",
        "birchdrum_attempts",
        "outcome",
        "Finished attempts at hosts",
        tuple(outcome.value.replace(" ", "_") for outcome in api.Outcome),
    ),
    (
        "member_dropped_",
        "birchdrum_member_dropped",
        "cause",
        "Membership messages dropped",
        ("malformed", "version", "foreign", "forged", "former", "left", "replayed", "stale", "unasked"),
    ),
    ("control_", "birchdrum_control_calls", "answer", "Operators' calls", ("done", "error")),
)


class Metrics:
    """Observes the driver and serves the metrics page."""

    def __init__(self, driver: Driver, config: Config) -> None:
        self.driver, self.zones = driver, config.zones
        self.class_names = [name.decode() for name in config.classes]
        self.page = MetricsPage(self._collect)
        registry = self.page.registry
        self.answers = Histogram(
            "birchdrum_answer_seconds",
            "Time from a request's last byte to its final answer",
            ("class", "outcome", "zone"),
            buckets=BUCKETS,
            registry=registry,
        )
        self.attempts = Histogram(
            "birchdrum_attempt_seconds",
            "Time from the start of an attempt to its end",
            ("outcome", "zone"),
            buckets=BUCKETS,
            registry=registry,
        )
        self.server: Server | None = None

    async def listen(self, address: Address) -> None:
        """Start to serve scrapes; raise OSError if the address cannot be opened."""
        server = Server(self.page.handle, SCRAPE_CONNECTIONS_MAX)
        await server.listen(address)
        self.server = server

    async def end(self) -> None:
        """Stop serving scrapes."""
        if self.server:
            await self.server.shut_down(0.0)

    def _zone(self, server: api.Server) -> str:
        host = self.driver.gateway.hosts.get(server)
        is_configured = host is not None and host.entry.zone < len(self.zones)
        return self.zones[host.entry.zone] if is_configured else NO_ZONE

    def request_finished(self, kind: int, outcome: str, server: api.Server, duration: int) -> None:
        """Record a request that got its final answer, or whose client has gone; ``duration`` in µs."""
        self.answers.labels(self.class_names[kind], outcome, self._zone(server)).observe(
            duration / MICROSECONDS_PER_SECOND
        )

    def attempt_finished(self, outcome: api.Outcome, server: api.Server, duration: int) -> None:
        """Record a finished attempt; ``duration`` in µs."""
        name = outcome.value.replace(" ", "_")
        self.attempts.labels(name, self._zone(server)).observe(duration / MICROSECONDS_PER_SECOND)

    def _collect(self) -> Iterable[Metric]:
        totals, gauges = self.driver.stats.totals(), self.driver.stats.gauges()
        ready = not self.driver.readiness.not_ready_reason
        yield gauge("birchdrum_ready", "1 if this process is ready to serve", ready)
        yield gauge("birchdrum_hosts", "Hosts on the current list", len(self.driver.gateway.hosts))
        for name, help_text in GAUGES.items():
            yield gauge(f"birchdrum_{name}", help_text, gauges.get(name, 0))
        for name, help_text in COUNTERS.items():
            yield counter(f"birchdrum_{name}", help_text, totals[name])
        for prefix, name, label, help_text, values in LABELLED_COUNTERS:
            counts = ((value, float(totals[prefix + value])) for value in values)
            yield labelled(CounterMetricFamily(name, help_text, labels=(label,)), counts)
