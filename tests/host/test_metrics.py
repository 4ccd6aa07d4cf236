"""Tests of the metrics page of a host, as scrapers read it."""

from __future__ import annotations

import pytest

from linkspan.metrics import HostMetrics


def _values(metrics: HostMetrics) -> dict[str, float]:
    body, _ = metrics.page()
    rows = [line.rpartition(" ") for line in body.decode().splitlines() if line[:1] != "#"]
    return {name: float(value) for name, _, value in rows if name}


def test_page_has_all_counts_and_durations_at_each_scrape() -> None:
    metrics = HostMetrics()
    for number in range(1, 4):
        metrics.count("starts", outcome="started")
        metrics.count("claims")
        metrics.observe("store_call", 0.02, call="read")
        metrics.observe("recovery", 0.5)
        values = _values(metrics)
        assert values['linkspan_starts_total{outcome="started"}'] == number
        assert values["linkspan_claims_total"] == number
        assert values['linkspan_store_call_seconds_count{call="read"}'] == number
        assert values['linkspan_store_call_seconds_sum{call="read"}'] == pytest.approx(
            0.02 * number
        )
        assert values['linkspan_store_call_seconds_bucket{call="read",le="0.01"}'] == 0
        assert values['linkspan_store_call_seconds_bucket{call="read",le="0.025"}'] == number
        assert values["linkspan_recovery_seconds_count"] == number
    assert _values(metrics) == values


def test_a_gauge_shows_its_last_value() -> None:
    metrics = HostMetrics()
    for seconds in (4.5, 0.0):
        metrics.set_seconds("standing_wait", seconds, hall="east")
        assert _values(metrics)['linkspan_standing_wait_seconds{hall="east"}'] == seconds


def test_unknown_names_raise_at_once() -> None:
    metrics = HostMetrics()
    with pytest.raises(KeyError):
        metrics.count("nothing")
    with pytest.raises(KeyError):
        metrics.observe("nothing", 1.0)


def test_a_counter_grows_by_more_than_one_at_a_time() -> None:
    metrics = HostMetrics()
    metrics.count("callers_refused", by=3, reason="head exceeds its limit")
    metrics.count("callers_refused", by=2, reason="head exceeds its limit")
    values = _values(metrics)
    assert values['linkspan_callers_refused_total{reason="head exceeds its limit"}'] == 5
