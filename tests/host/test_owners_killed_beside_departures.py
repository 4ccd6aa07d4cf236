"""Standing tasks whose owner ends while executors of the hall leave or are lost."""

from __future__ import annotations

import pytest

from tests.host.owners_beside_departures import (
    MAX_AWAY_S,
    Change,
    OwnerEnd,
    accepted_waits,
    leave_beside_a_loss,
    leave_for_good,
    lose_another,
    moved_waits,
)
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("back", [False, True])
@pytest.mark.parametrize("planned", [False, True])
@pytest.mark.parametrize("plain_ids", [False, True])
@pytest.mark.parametrize("after_s", [0.0, 0.6, 1.2, 2.0, 3.0])
def test_tasks_are_at_work_soon_where_an_owner_ends_beside_a_loss(
    after_s: float, plain_ids: bool, planned: bool, back: bool
) -> None:
    """Guards against inherited tasks that wait for the next incarnation of a lost executor.

    A start of theirs could only arrive there if the former owner sent it without a record.
    """
    end = OwnerEnd(after_s, planned=planned, back=back, plain_ids=plain_ids)
    waits = run_virtual(moved_waits(leave_beside_a_loss, end))
    assert waits.world.problems == []
    assert waits.longest_s <= MAX_AWAY_S


@pytest.mark.parametrize("after_s", [0.0, 0.6, 3.0])
def test_tasks_of_full_halls_are_at_work_soon_where_an_owner_ends_beside_a_loss(
    after_s: float,
) -> None:
    """Guards against the same where tasks have to go to another hall."""
    waits = run_virtual(moved_waits(leave_beside_a_loss, OwnerEnd(after_s, halls=3, tasks=6)))
    assert waits.world.problems == []
    assert waits.longest_s <= MAX_AWAY_S


@pytest.mark.parametrize("lists_machines", [False, True])
@pytest.mark.parametrize("plain_ids", [False, True])
@pytest.mark.parametrize("change", [leave_for_good, lose_another])
@pytest.mark.parametrize("after_s", [0.1, 0.6])
def test_a_job_accepted_before_its_owner_ends_does_not_wait_for_lost_executors(
    after_s: float, change: Change, plain_ids: bool, lists_machines: bool
) -> None:
    """Guards against tasks that wait for executors that they were never sent to."""
    end = OwnerEnd(after_s, halls=1, plain_ids=plain_ids, lists_machines=lists_machines)
    waits = run_virtual(accepted_waits(change, end))
    assert waits.world.problems == []
    assert waits.longest_s <= MAX_AWAY_S


@pytest.mark.parametrize("back", [False, True])
@pytest.mark.parametrize("after_s", [0.0, 0.2])
def test_tasks_of_a_departed_executor_are_at_work_soon_without_a_machine_service(
    after_s: float, back: bool
) -> None:
    """Guards against tasks that wait for the leases of an executor that has left.

    Their runs are stopped, but their owner is killed before it has read the ends.
    """
    end = OwnerEnd(after_s, back=back, plain_ids=True, lists_machines=False)
    waits = run_virtual(moved_waits(leave_for_good, end))
    assert waits.world.problems == []
    assert waits.longest_s <= MAX_AWAY_S
