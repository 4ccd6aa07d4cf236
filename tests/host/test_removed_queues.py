"""The operator removes a queue while jobs of it run, move, and change owners."""

from __future__ import annotations

import pytest

from tests.host.removed_queue_day import removed_queue
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", range(8))
def test_jobs_of_a_removed_queue_fail_by_what_it_allowed(seed: int) -> None:
    """Guards against jobs shown as failed after one failed run because their queue is gone.

    A next owner, or the owner of the hall that a job moved to, allowed them only one attempt.
    """
    played = run_virtual(removed_queue(seed), limit_s=400.0)
    assert played.world.problems == []
    assert set(played.states) <= {"succeeded", "failed"}
    # A day without a moved job covers only the first of the two cases.
    assert played.moved
