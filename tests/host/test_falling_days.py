"""Crashes of executors that no task causes fail no job that ran there."""

from __future__ import annotations

import pytest

from tests.host.single_crashes_day import play
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", [505, 512, 522])
def test_a_job_is_not_given_up_by_a_crash_after_its_run_had_ended(seed: int) -> None:
    """Guards against a job that fails by a crash after its run had ended: LOST."""
    outcome = run_virtual(play(seed), limit_s=400.0)
    assert outcome.world.problems == []
