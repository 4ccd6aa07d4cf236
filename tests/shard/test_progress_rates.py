"""Tests how far a run is expected to be between two reports."""

from __future__ import annotations

from linkspan.shard.progress_rate import ProgressRate

EXPECTED_S = 10.0
"""Expected duration of the run, which progresses by 10 percent a second at full pace."""


def report(rate: ProgressRate, at: float, percent: int, pace: int) -> None:
    rate.observe(at, percent, pace, at, expected_s=EXPECTED_S)


def test_a_change_of_pace_counts_no_progress_twice() -> None:
    """Guards against a run that seems nearly done, and is kept on a slow executor for it."""
    rate = ProgressRate(0.0, 0)
    report(rate, 2.0, 20, 100)
    assert rate.percent_at(3.0) == 30.0
    report(rate, 3.0, 30, 50)
    assert rate.percent_at(3.0) == 30.0
    assert rate.percent_at(5.0) == 40.0
