"""A standing task starts where best-effort work holds the memory of another hall.

Its own hall has no free cores. The other one has, but best-effort runs hold the memory there, so
that its summary shows no room.
"""

from __future__ import annotations

from linkspan.jobs.spec import Demand, StepSpec
from tests.host.memory_in_another_hall import play_beside_held_memory
from tests.job_builders import MAX_AWAY_S
from tests.virtual_time import run_virtual

STANDING = StepSpec(3, Demand(7_750, 9_728), 1.0, standing=True)


def test_a_standing_task_starts_beside_best_effort_work_of_another_hall() -> None:
    """Guards against tasks that wait for ever as other halls' summaries hide memory from them."""
    world, running = run_virtual(play_beside_held_memory(STANDING, MAX_AWAY_S))
    assert running == STANDING.count
    assert world.problems == []
