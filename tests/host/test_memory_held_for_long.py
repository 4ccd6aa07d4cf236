"""Work with a reservation starts within its bound beside best-effort runs that last.

Memory that is only set aside until these runs end by themselves would come too late.
"""

from __future__ import annotations

import pytest

from linkspan.jobs.spec import Demand, StepSpec
from tests.host.best_effort_hall import BestEffortHall
from tests.job_builders import MAX_AWAY_S
from tests.virtual_time import run_virtual

MAX_SHORT_WAIT_S = 3.0
"""Longest time for which short work may have nothing running although there is room for it."""

LASTING = StepSpec(6, Demand(1_000, 6_400), 60.0, best_effort=True, image="img")

WAITING = {
    "standing": (StepSpec(3, Demand(7_750, 9_728), 1.0, standing=True), MAX_AWAY_S),
    "standing apart": (
        StepSpec(4, Demand(7_750, 9_728), 1.0, standing=True, max_per_executor=1),
        MAX_AWAY_S,
    ),
    "short": (StepSpec(3, Demand(4_100, 8_200), 0.64), MAX_SHORT_WAIT_S),
    "gang": (StepSpec(4, Demand(4_100, 16_400), 0.64, gang=True), MAX_SHORT_WAIT_S),
}


async def _play(spec: StepSpec, halls: tuple[str, ...], limit_s: float) -> BestEffortHall:
    world = BestEffortHall(halls=halls)
    await world.fill(LASTING)
    assert all(e.free().memory_mb < spec.demand.memory_mb for e in world.executors.values())
    waits = await world.waits(spec, limit_s)
    assert len(waits) == spec.count
    return world


@pytest.mark.parametrize("halls", [("east",), ("east", "west")])
@pytest.mark.parametrize("kind", WAITING)
def test_reserved_work_starts_beside_best_effort_runs_that_last(
    kind: str, halls: tuple[str, ...]
) -> None:
    """Guards against a wait that lasts as long as best-effort runs hold the memory."""
    spec, limit_s = WAITING[kind]
    world = run_virtual(_play(spec, halls, limit_s))
    assert world.problems == []
