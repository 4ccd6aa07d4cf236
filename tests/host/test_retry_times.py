"""Tests of the times at which refused callers are told to return."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linkspan.host._responses import RETRY_AFTER_S
from linkspan.host.admission.retry_times import retry_after_s

CALLERS = 1_000


def times(fits_after_s: float, caller_time_s: float) -> Counter[int]:
    """Return the return times of many callers that are refused at the same time."""
    ids = (f"{number:016x}" for number in range(CALLERS))
    return Counter(retry_after_s(job_id, fits_after_s, caller_time_s) for job_id in ids)


def test_callers_that_are_refused_together_return_apart() -> None:
    """Guards against a wave of retries as high as the one that was refused."""
    returning = times(20.0, 3.0)
    assert set(returning) == set(range(20, 31))
    assert max(returning.values()) < 2 * CALLERS / len(returning)


def test_callers_return_apart_after_an_outage_of_the_store() -> None:
    returning = times(RETRY_AFTER_S, 10.0)
    assert set(returning) == {1, 2, 3}
    assert max(returning.values()) < CALLERS / 2


def test_callers_return_within_their_own_time_if_the_job_fits_by_then() -> None:
    assert set(times(RETRY_AFTER_S, 2.85)) == {1, 2}
    assert set(times(4.0, 5.2)) == {4, 5}


def test_callers_with_less_time_are_told_the_truth() -> None:
    assert set(times(4.0, 3.0)) == {4, 5, 6}
    assert set(times(1.0, 0.0)) == {1, 2, 3}


@given(
    job_id=st.text("0123456789abcdef", min_size=16, max_size=16),
    fits_after_s=st.floats(0.0, 600.0),
    caller_time_s=st.floats(-10.0, 600.0),
)
def test_no_caller_returns_before_the_job_fits(
    job_id: str, fits_after_s: float, caller_time_s: float
) -> None:
    delay_s = retry_after_s(job_id, fits_after_s, caller_time_s)
    assert delay_s >= max(fits_after_s, 1.0)
    rounding_s = 1.0
    assert delay_s <= max(1.5 * fits_after_s, max(fits_after_s, 1.0) + 2.0) + rounding_s
    assert delay_s == retry_after_s(job_id, fits_after_s, caller_time_s)


@pytest.mark.parametrize("caller_time_s", [1.0, 2.0, 30.0])
def test_times_are_whole_seconds_within_the_callers_time(caller_time_s: float) -> None:
    assert all(delay_s <= caller_time_s for delay_s in times(0.3, caller_time_s))
