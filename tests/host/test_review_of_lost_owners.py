"""Recorded runs at an executor that is lost without a word as its owner is killed."""

from __future__ import annotations

import pytest

from tests.host.owners_beside_departures import MAX_AWAY_S, OwnerEnd, lose_another, moved_waits
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("after_s", [0.0, 0.2])
def test_tasks_of_a_lost_executor_are_at_work_soon_without_a_machine_service(
    after_s: float,
) -> None:
    """Guards against recorded runs at a lost executor whose end has the machine service alone."""
    end = OwnerEnd(after_s, plain_ids=True, lists_machines=False)
    waits = run_virtual(moved_waits(lose_another, end))
    assert waits.world.problems == []
    assert waits.longest_s <= MAX_AWAY_S
