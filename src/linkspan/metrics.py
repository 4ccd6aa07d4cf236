"""Counters, gauges and latency histograms of a host."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from aioprometheus.histogram import Histogram as SeriesHistogram

LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the histogram buckets, in seconds. A store call takes 0.01 s, a failover 3 s."""

_Series = tuple[str, tuple[tuple[str, str], ...]]
"""A metric's name and labels."""


class HostMetrics:
    """All metrics of a host, in a separate registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}
        # Caches: the library looks up a series by its labels on each call, which takes several
        # times as long as the count itself.
        self._counts: dict[_Series, int] = {}
        self._series: dict[_Series, SeriesHistogram] = {}
        for name, doc in _COUNTERS.items():
            self._counters[name] = Counter(name, doc, registry=self._registry)
        for name, doc in _GAUGES.items():
            self._gauges[name] = Gauge(name, doc, registry=self._registry)
        for name, doc in _HISTOGRAMS.items():
            self._histograms[name] = Histogram(
                name, doc, buckets=list(LATENCY_BUCKETS), registry=self._registry
            )

    def __repr__(self) -> str:
        return "HostMetrics()"

    def count(self, name: str, *, by: int = 1, **labels: str) -> None:
        """Increment a counter, by one if not said otherwise."""
        key = name, tuple(labels.items())
        if key not in self._counts:
            self._counters[_counter_name(name)].add(labels, 0)
            self._counts[key] = 0
        self._counts[key] += by

    def set_seconds(self, name: str, seconds: float, **labels: str) -> None:
        """Set a gauge to a duration in seconds."""
        self._gauges[f"linkspan_{name}_seconds"].set(labels, seconds)

    def set_count(self, name: str, count: int, **labels: str) -> None:
        """Set a gauge whose name ends with the unit that it counts."""
        self._gauges[f"linkspan_{name}"].set(labels, count)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        key = name, tuple(labels.items())
        series = self._series.get(key)
        if series:
            series.observe(seconds)
            return
        histogram = self._histograms[f"linkspan_{name}_seconds"]
        histogram.observe(labels, seconds)
        self._series[key] = cast("SeriesHistogram", histogram.get_value(labels))

    def page(self, accept: str = "text/plain") -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its headers."""
        for (name, labels), count in self._counts.items():
            self._counters[_counter_name(name)].add(dict(labels), count)
        self._counts = dict.fromkeys(self._counts, 0)
        body, headers = render(self._registry, [accept or "text/plain"])
        return body, dict(headers)


def _counter_name(name: str) -> str:
    return f"linkspan_{name}_total"


_COUNTERS = {
    "linkspan_calls_total": "Callers' requests by kind and status",
    "linkspan_refusals_total": "Jobs refused, by queue and cause",
    "linkspan_callers_refused_total": "Requests refused unhandled, connections closed, by reason",
    "linkspan_store_calls_total": "Calls to the store by call and outcome",
    "linkspan_executor_calls_total": "Calls to executors by call and outcome",
    "linkspan_starts_total": "Runs started, by outcome",
    "linkspan_ends_total": "Runs ended, by how",
    "linkspan_claims_total": "Shards claimed",
    "linkspan_failures_heard_again_total": "Ends of failed runs that were counted before",
    "linkspan_crashes_total": "Executors that crashed with work on them",
    "linkspan_crashes_taken_back_total": "Crashes counted under tasks that turned out to be none",
    "linkspan_restarts_total": "Executors found to have started again under their id",
    "linkspan_reports_passed_over_total": "Reports of executors that nothing was concluded from",
    "linkspan_executors_found_slow_total": "Executors found to run their tasks slowly",
    "linkspan_executors_found_recovered_total": "Slow executors found to have recovered",
    "linkspan_slow_runs_moved_total": "Runs stopped on slow executors to continue elsewhere",
    "linkspan_tasks_given_up_total": "Tasks given up, as executors crash under them",
}

_GAUGES = {
    "linkspan_evacuated_halls": "Halls whose evacuation is in force",
    "linkspan_standing_wait_seconds": "Longest time without a run of a standing task",
    "linkspan_standing_wait_beside_room_seconds": "Longest time beside room of such a task",
    "linkspan_standing_unlisted_seconds": "Longest time a standing run was in no report",
    "linkspan_largest_free_cores": "Most cores of one executor that no task reserves, whole ones",
    "linkspan_free_slots": "Tasks of so many cores each that fit beside all reservations",
    "linkspan_staying_tasks": "Tasks that have waited for seconds beside room in another hall",
    "linkspan_open_repetitions": "Repetitions of jobs that the hall's owner keeps in memory",
    "linkspan_open_tasks": "Tasks of these repetitions",
    "linkspan_job_memory_bytes": "Estimated memory of the hall's jobs at its owner",
    "linkspan_unmanaged_tasks": "Standing tasks that no hall may manage, by the records",
}

_HISTOGRAMS = {
    "linkspan_accept_seconds": "From a job's arrival to its answer",
    "linkspan_start_wait_seconds": "From a task's turn to its placement",
    "linkspan_wait_by_size_seconds": "The same, by kind of work and cores of a task",
    "linkspan_store_call_seconds": "Time of a store call, waits left out",
    "linkspan_executor_call_seconds": "Time of an executor call, waits left out",
    "linkspan_advice_seconds": "Time of a call to the placement policies' service",
    "linkspan_recovery_seconds": "From a claim to the first plan",
}
"""Help texts by metric name.

Names end with their unit, those of counters with ``total``. docs/OPERATIONS.md lists all
metrics; a test compares both."""
