"""Days on which executors fall by themselves give no job up that ran where they fell."""

from __future__ import annotations

import pytest

from tests.host.falling_day import play
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", [505, 512, 522])
def test_a_job_is_not_given_up_by_a_crash_that_was_none(seed: int) -> None:
    """Guards against a job shown as failed by a run that had ended as its executor fell: LOST."""
    day = run_virtual(play(seed), limit_s=400.0)
    assert day.world.problems == []
