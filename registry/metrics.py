"""Prometheus metrics of a registry service; imported only with ``--metrics``."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from ops.metrics import MetricsPage, counter, gauge, labelled


class Service(Protocol):
    """The part of a primary, follower or agent that the metrics are read from."""

    def figures(self) -> dict[str, Any]:
        """Return the values of ``GET /figures``."""

    def health_problem(self) -> str | None:
        """Return why ``GET /health`` fails, or None if it succeeds."""


GAUGES = {
    "seq": "Sequence number of the list",
    "watches": "Watches waiting for a change",
    "connections": "Open connections of readers and writers",
    "changes_kept": "Changes retained for incremental updates",
    "writes_waiting": "Writes queued for a transaction",
}


def page(service: Service) -> MetricsPage:
    """Return the metrics page of a primary, follower or agent."""
    return MetricsPage(lambda: families(service))


def families(service: Service) -> Iterable[Metric]:
    """Convert the values of ``GET /figures`` to metrics."""
    figures = service.figures()
    yield gauge("birchdrum_registry_healthy", "1 if GET /health succeeds", service.health_problem() is None)
    for name, text in GAUGES.items():
        yield gauge(f"birchdrum_registry_{name}", text, figures.get(name, 0))
    age = figures["age_s"]
    yield gauge(
        "birchdrum_registry_age_seconds",
        "Age of the served list; NaN before the first one",
        _nan_if_none(age),
    )
    leases = figures.get("leases", {})
    yield gauge(
        "birchdrum_registry_leases_held", "Hosts kept although their leases expired", leases.get("held", 0)
    )
    yield counter("birchdrum_registry_bytes_out", "Bytes sent in responses", figures["bytes_out"])
    hosts = GaugeMetricFamily("birchdrum_registry_hosts", "Listed hosts by health state", labels=("state",))
    yield labelled(hosts, figures["hosts"].items())
    calls = CounterMetricFamily("birchdrum_registry_calls", "Requests by outcome", labels=("end",))
    yield labelled(calls, figures["calls"].items())
    events = CounterMetricFamily("birchdrum_registry_events", "Registry events by kind", labels=("event",))
    yield labelled(events, figures["counts"].items())


def _nan_if_none(value: float | None) -> float:
    return float("nan") if value is None else value
