"""The judge of first runs reads delegations as they were when a job was finished."""

from __future__ import annotations

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Delegated, Delegation, Finished, JobState, Submitted, Tombstone
from linkspan.shard.messages import StartOrder, TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

EAST, WEST = range(2)
LENT, KEPT = 1, 2
"""Indexes of a task that was delegated to the second hall, and of one that was not."""


async def _found(index: int, *, finished: bool) -> list[str]:
    """Return what is found on a first run in the second hall, after a delegation's end."""
    world = HallWorld(halls=("east", "west"))
    east, west = (world.add_executor(hall, f"{hall}-0:1") for hall in world.halls)
    spec = world.new_job(step(3, standing=True))
    records = [
        Submitted(spec, EAST, 0.0, "life-x"),
        Delegated(spec.job_id, WEST, (Delegation(0, LENT, 1),)),
        *([Finished(spec.job_id, JobState.CANCELLED, EAST, 1.0, spec.queue)] if finished else []),
        Tombstone("l", spec.job_id, str(WEST)),
    ]
    for record in records:
        world.store.put(JOBS, *encode(record))
    orders = [StartOrder("", TaskName(spec.job_id, 0, 0, at), 1, "", "") for at in (0, index)]
    assert world.one_hall.on_start(east, orders[0]) == []
    return world.one_hall.on_start(west, orders[1])


@pytest.mark.parametrize(
    ("index", "finished", "allowed"),
    [(LENT, True, True), (KEPT, True, False), (LENT, False, False)],
)
def test_a_late_start_of_a_delegated_task_of_a_finished_job_is_allowed(
    index: int, finished: bool, allowed: bool
) -> None:
    """Guards against ELSEWHERE for a start that was sent before its job's cancellation."""
    assert (run_virtual(_found(index, finished=finished)) == []) == allowed
