"""A gang that does not start leaves the plan's room to others."""

from __future__ import annotations

from tests.job_builders import step
from tests.shard.builders import core_with, plan, submitted


def test_a_best_effort_gang_that_does_not_fit_takes_no_room_from_others() -> None:
    """Room that its members had given back still counted as taken in the same plan."""
    # The least work goes first.
    gang = step(3, gang=True, best_effort=True, cpu=8_000, estimate_s=0.1)
    single = step(1, best_effort=True, cpu=8_000, estimate_s=10.0)
    core = core_with(gang, executors=1)
    core.add_job(submitted(single, job_id="00000000000000bb"), 0.0)
    orders = plan(core, 0.1)
    assert [order.task.job_id for order in orders] == ["00000000000000bb"]
