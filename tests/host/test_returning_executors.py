"""Executors that come back in the same life and list again what nobody has acknowledged."""

from __future__ import annotations

import pytest

from tests.host.returning_day import renewed_after, told_late, told_twice
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", range(8))
def test_a_failed_run_that_one_owner_hears_of_twice_counts_once(seed: int) -> None:
    """Guards against a job shown as failed for one failed run that was counted twice.

    Its queue allows two. The write of the first count was lost, or late, for under a second, and
    the executor was away till its leases and its entry were gone.
    """
    played = run_virtual(told_twice(seed))
    assert played.world.problems == []
    assert played.state == "succeeded"
    assert played.owners == 1
    assert len(played.world.starts[played.task]) == 2


@pytest.mark.parametrize("seed", range(8))
def test_a_failed_run_that_is_told_after_its_lapse_is_counted(seed: int) -> None:
    """Guards against a start beyond the limit, for a failed run that nobody counted.

    Its attempt had been given up, and the owner may have changed, when its end was told.
    """
    played = run_virtual(told_late(seed))
    assert played.world.problems == []
    assert played.state == "failed"
    assert len(played.world.starts[played.task]) == 2


def test_an_executor_that_is_back_right_after_it_left_the_books_is_looked_at() -> None:
    """Guards against ends that nobody hears, of an executor that its owner takes for watched.

    Whoever watched the life that left was still pausing when it came back under the same name.
    """
    pauses_s = 0.05, 0.3, 1.0, 3.0
    assert [s for s in pauses_s if not run_virtual(renewed_after(s))] == []
