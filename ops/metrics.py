"""The page that a monitoring system reads: Prometheus' text format, made at each scrape.

Imported only where metrics are on: prometheus-client takes 4.4 MB and 30 to 40 ms.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from . import logs
from .http import Connection, HTTPError, Request

PATH = ["metrics"]
SCRAPE_CONNECTIONS_MAX = 8  # connections at once at an address of its own


class MetricsPage(Collector):
    """One program's page. ``families`` is asked at each scrape, histograms register with ``registry``."""

    def __init__(self, families: Callable[[], Iterable[Metric]]) -> None:
        self.families = families
        self.registry = CollectorRegistry()
        self.registry.register(self)
        ProcessCollector(registry=self.registry)

    def collect(self) -> Iterable[Metric]:
        """What the program counts, and what every program here does."""
        yield from self.families()
        kept_back = CounterMetricFamily("birchdrum_log_lines_kept_back", "Log lines beyond the bound")
        kept_back.add_metric([], logs.rate_limiter.suppressed_total)
        yield kept_back

    def describe(self) -> Iterable[Metric]:
        """Nothing is read at registration: the program may not be whole yet."""
        return ()

    def respond(self, connection: Connection) -> None:
        """Answer a scrape."""
        connection.respond(generate_latest(self.registry), {"Content-Type": CONTENT_TYPE_PLAIN_0_0_4})

    def handle(self, connection: Connection, request: Request) -> None:
        """At an address of its own: this call and no other."""
        if (request.method, request.path) != ("GET", PATH):
            raise HTTPError(404, "no such call: GET /metrics")
        self.respond(connection)


def labelled(family: GaugeMetricFamily | CounterMetricFamily, values: Iterable[tuple[str, float]]) -> Metric:
    """One sample for each value of a family's single label."""
    for name, value in values:
        family.add_metric([name], value)
    return family


def gauge(name: str, text: str, value: float) -> Metric:
    """A gauge without labels."""
    return GaugeMetricFamily(name, text, value=value)


def counter(name: str, text: str, value: float) -> Metric:
    """A counter without labels; the page adds ``_total`` to its name."""
    return CounterMetricFamily(name, text, value=value)
