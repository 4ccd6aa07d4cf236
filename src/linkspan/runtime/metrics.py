"""Metrics of the gateway and the scheduler, served at ``/metrics``."""

from __future__ import annotations

from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the histogram buckets, in seconds."""


class Metrics:
    """All metrics of a daemon, in a separate registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = self._counter("linkspan_requests_total", "Requests by service and result")
        self.latency = Histogram(
            "linkspan_request_seconds",
            "Time from a request's arrival to its answer",
            buckets=list(LATENCY_BUCKETS),
            registry=self._registry,
        )
        self.appends = self._counter("linkspan_appends_total", "Log appends by stream and result")
        self.decisions = self._counter(
            "linkspan_decisions_total", "Ledger decisions by kind and verdict"
        )
        self.exchanges = self._counter(
            "linkspan_exchanges_total", "Exchanges with workers by result"
        )
        self.queued = self._gauge("linkspan_queued", "Requests or tasks that wait")
        self.in_flight = self._gauge("linkspan_in_flight", "Requests at executors")
        self.config_version = self._gauge(
            "linkspan_config_version", "Configuration version in force here"
        )
        self.tail_age = self._gauge(
            "linkspan_ledger_tail_age_seconds", "Time since the ledger's end was read"
        )
        self.peers = self._gauge("linkspan_peers", "Peers that are alive")
        self.pass_seconds = Histogram(
            "linkspan_pass_seconds",
            "Time of a scheduling step",
            buckets=list(LATENCY_BUCKETS),
            registry=self._registry,
        )

    def __repr__(self) -> str:
        return "Metrics()"

    def page(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its headers.

        Args:
            accept: ``Accept`` header of the request.
        """
        body, headers = render(self._registry, [accept or "text/plain"])
        return body, dict(headers)

    def _counter(self, name: str, doc: str) -> Any:
        return Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Any:
        return Gauge(name, doc, registry=self._registry)
