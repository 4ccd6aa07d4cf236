"""Jobs that move as a whole start where best-effort work holds the memory of another hall.

Its own hall has no free cores. The other one has, but best-effort runs hold the memory there.
"""

from __future__ import annotations

import pytest

from linkspan.jobs.spec import Demand, StepSpec
from tests.host.memory_in_another_hall import play_beside_held_memory
from tests.job_builders import MAX_AWAY_S
from tests.virtual_time import run_virtual

MAX_SHORT_WAIT_S = 3.0

WAITING = {
    "short": (StepSpec(3, Demand(7_750, 9_728), 20.0), MAX_SHORT_WAIT_S),
    "wide standing": (
        StepSpec(8, Demand(7_750, 9_728), 1.0, standing=True),
        MAX_AWAY_S,
    ),
    "wide standing, at most one each": (
        StepSpec(4, Demand(7_750, 9_728), 1.0, standing=True, max_per_executor=1),
        MAX_AWAY_S,
    ),
    "standing gang": (
        StepSpec(2, Demand(7_750, 9_728), 1.0, standing=True, gang=True),
        MAX_AWAY_S,
    ),
}


@pytest.mark.parametrize("kind", WAITING)
def test_work_starts_beside_best_effort_work_of_another_hall(kind: str) -> None:
    """Guards against jobs that wait for ever as a move asks only for memory that is free now."""
    spec, bound_s = WAITING[kind]
    world, running = run_virtual(play_beside_held_memory(spec, bound_s))
    assert running == spec.count
    assert world.problems == []
