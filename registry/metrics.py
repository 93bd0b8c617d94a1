"""The list service's figures for a monitoring system; imported only with ``--metrics``."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from ops.metrics import Page, counter, gauge, labelled


class Service(Protocol):
    """What a page needs of a primary, follower or agent."""

    def figures(self) -> dict[str, Any]:
        """What ``GET /figures`` tells."""

    def health_problem(self) -> str | None:
        """Why ``GET /health`` says no; None: it says yes."""


GAUGES = {
    "seq": "The list's number",
    "watches": "Readers that wait for news",
    "connections": "Connections of readers and writers",
    "changes_kept": "Changes that can be told one by one",
    "writes_waiting": "Writes that wait for their transaction",
}


def page(service: Service) -> Page:
    """The page of a primary, follower or agent."""
    return Page(lambda: families(service))


def families(service: Service) -> Iterable[Metric]:
    """What ``GET /figures`` tells, as metrics."""
    figures = service.figures()
    yield gauge(
        "birchdrum_registry_healthy", "1 where GET /health says yes", service.health_problem() is None
    )
    for name, text in GAUGES.items():
        yield gauge(f"birchdrum_registry_{name}", text, figures.get(name, 0))
    age = figures["age_s"]
    yield gauge(
        "birchdrum_registry_age_seconds", "Age of what is told; NaN before the first word", _number(age)
    )
    leases = figures.get("leases", {})
    yield gauge(
        "birchdrum_registry_leases_held", "Hosts kept although their leases ran out", leases.get("held", 0)
    )
    yield counter("birchdrum_registry_bytes_out", "Bytes of answers", figures["bytes_out"])
    hosts = GaugeMetricFamily("birchdrum_registry_hosts", "Hosts on the list by state", labels=("state",))
    yield labelled(hosts, figures["hosts"].items())
    calls = CounterMetricFamily("birchdrum_registry_calls", "Calls by how they ended", labels=("end",))
    yield labelled(calls, figures["calls"].items())
    events = CounterMetricFamily("birchdrum_registry_events", "What happened to the list", labels=("event",))
    yield labelled(events, figures["counts"].items())


def _number(value: float | None) -> float:
    return float("nan") if value is None else value
