"""Executors return in the same incarnation and report ends again that were not acknowledged."""

from __future__ import annotations

import pytest

from tests.host.returning_day import renewed_after, reported_late, reported_twice
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", range(8))
def test_a_failed_run_that_is_reported_twice_to_one_owner_counts_once(seed: int) -> None:
    """Guards against a job shown as failed for one failed run that was counted twice.

    Its queue allows two. The write of the first count was lost, or late, for under a second, and
    the executor was unreachable until its leases had expired and its entry was gone.
    """
    played = run_virtual(reported_twice(seed))
    assert played.world.problems == []
    assert played.state == "succeeded"
    assert played.owners == 1
    assert len(played.world.starts[played.task]) == 2


@pytest.mark.parametrize("seed", range(8))
def test_a_failed_run_that_is_reported_after_its_lease_expired_is_counted(seed: int) -> None:
    """Guards against a start beyond the limit because a failed run was not counted.

    When its end was reported, its attempt had been given up, and the owner may have changed.
    """
    played = run_virtual(reported_late(seed))
    assert played.world.problems == []
    assert played.state == "failed"
    assert len(played.world.starts[played.task]) == 2


def test_an_executor_that_returns_right_after_its_removal_is_polled() -> None:
    """Guards against ends that no owner reads because it assumes that the executor is watched.

    The watch of the incarnation that left was still pausing when it returned under its name.
    """
    pauses_s = 0.05, 0.3, 1.0, 3.0
    assert [s for s in pauses_s if not run_virtual(renewed_after(s))] == []
