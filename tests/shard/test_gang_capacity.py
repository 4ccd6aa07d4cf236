"""Tests that a gang that does not start leaves its capacity to other steps of the same plan."""

from __future__ import annotations

from tests.job_builders import step
from tests.shard.builders import core_with, plan, submitted_job


def test_a_best_effort_gang_that_does_not_fit_takes_no_capacity_from_others() -> None:
    """Guards against capacity that the gang's members returned but that still counts as taken."""
    # The step with the least work is planned first.
    gang = step(3, gang=True, best_effort=True, cpu=8_000, estimate_s=0.1)
    single = step(1, best_effort=True, cpu=8_000, estimate_s=10.0)
    core = core_with(gang, executors=1)
    core.add_job(submitted_job(single, job_id="00000000000000bb"), 0.0)
    orders = plan(core, 0.1)
    assert [order.task.job_id for order in orders] == ["00000000000000bb"]
