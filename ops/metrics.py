"""The metrics page in Prometheus' text format, built at each scrape.

Imported only if metrics are enabled: importing prometheus-client takes 4.4 MB and 30 to 40 ms.
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
SCRAPE_CONNECTIONS_MAX = 8  # on the metrics' own listen address


class MetricsPage(Collector):
    """A program's metrics: ``families`` is called at each scrape, histograms register with ``registry``."""

    def __init__(self, families: Callable[[], Iterable[Metric]]) -> None:
        self.families = families
        self.registry = CollectorRegistry()
        self.registry.register(self)
        ProcessCollector(registry=self.registry)

    def collect(self) -> Iterable[Metric]:
        """Return the program's metrics and those that all programs share."""
        yield from self.families()
        suppressed = CounterMetricFamily(
            "birchdrum_log_lines_kept_back", "Log lines suppressed by the rate limit"
        )
        suppressed.add_metric([], logs.rate_limiter.suppressed_total)
        yield suppressed

    def describe(self) -> Iterable[Metric]:
        """Return no metrics, so that registration doesn't call ``families`` before the program is ready."""
        return ()

    def respond(self, connection: Connection) -> None:
        """Respond with the metrics page."""
        connection.respond(generate_latest(self.registry), {"Content-Type": CONTENT_TYPE_PLAIN_0_0_4})

    def handle(self, connection: Connection, request: Request) -> None:
        """Handle a request at the metrics' own address, where only GET /metrics is allowed."""
        if (request.method, request.path) != ("GET", PATH):
            raise HTTPError(404, "not found: only GET /metrics is available")
        self.respond(connection)


def labelled(family: GaugeMetricFamily | CounterMetricFamily, values: Iterable[tuple[str, float]]) -> Metric:
    """Add a sample for each value of a family's single label."""
    for name, value in values:
        family.add_metric([name], value)
    return family


def gauge(name: str, help_text: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return GaugeMetricFamily(name, help_text, value=value)


def counter(name: str, help_text: str, value: float) -> Metric:
    """Return a counter without labels; the page adds ``_total`` to its name."""
    return CounterMetricFamily(name, help_text, value=value)
