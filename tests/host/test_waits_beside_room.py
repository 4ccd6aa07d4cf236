"""Standing tasks that wait in full halls use room in another one in time, whatever their way there.

A standing task counts as lost when it has been away for 6 s and had room for two of it for the last
3 s, in whichever halls: the sum of all waits on its way has to stay below that.
"""

from __future__ import annotations

import pytest

from tests.host.full_halls import EAST, NORTH, WEST, Change, SlowStore, Wait, wait_of_job

MAX_TO_ROOM_ELSEWHERE_S = 2.0
"""Longest time from room in another hall until a task runs there that has waited for seconds: a
second of the rule's three remains for a hall in vain."""


def _assert_in_time(wait: Wait) -> None:
    assert wait.world.problems == []
    assert wait.broken_at_s is None, wait


# Guards against a job that moves as a whole and waits for the headroom in each hall anew.
@pytest.mark.parametrize("freed_s", [1.0, 2.0, 2.6, 2.9, 4.0])
def test_a_job_that_moves_to_room_beside_the_headroom_uses_it_in_time(freed_s: float) -> None:
    _assert_in_time(wait_of_job(Change(freed_s, NORTH, 2)))


# Guards against the same where two jobs move to room for one, and other room comes free then.
@pytest.mark.parametrize("freed_s", [3.15, 3.6, 4.2])
@pytest.mark.parametrize("taken_s", [2.9, 3.02, 3.1])
def test_a_job_whose_room_is_taken_uses_other_room_in_time(taken_s: float, freed_s: float) -> None:
    room_in_west = Change(1.0, WEST, 2)
    taken = Change(taken_s, WEST, -2)
    _assert_in_time(wait_of_job(room_in_west, taken, Change(freed_s, NORTH, 2)))


# Guards against summaries that are older than the time that remains beside room.
@pytest.mark.parametrize("freed_s", [4.9, 5.2, 5.5, 5.8, 6.4])
def test_room_elsewhere_is_seen_in_time(freed_s: float) -> None:
    wait = wait_of_job(Change(freed_s, NORTH, 2))
    _assert_in_time(wait)
    assert wait.at_work_s - freed_s <= MAX_TO_ROOM_ELSEWHERE_S


# Guards against the same where room comes free in one hall after the other, for a part of a job.
@pytest.mark.parametrize(("freed_s", "pause_s"), [(4.0, 0.3), (4.0, 0.9), (5.0, 0.3), (5.0, 1.5)])
def test_room_in_one_hall_after_the_other_is_seen_in_time(freed_s: float, pause_s: float) -> None:
    freed = (NORTH, 1), (WEST, 1), (NORTH, 2)
    changes = [Change(freed_s + n * pause_s, *room) for n, room in enumerate(freed)]
    wait = wait_of_job(*changes, tasks=3)
    _assert_in_time(wait)
    assert wait.at_work_s - changes[-1].at_s <= MAX_TO_ROOM_ELSEWHERE_S


# Guards against tasks that stay in each full hall for a second beside room in another one.
@pytest.mark.parametrize("moved_s", [3.8, 4.2, 4.6, 5.0])
def test_tasks_that_two_halls_get_in_vain_use_room_in_time(moved_s: float) -> None:
    changes = (
        Change(0.2, EAST, 1),
        Change(1.0, WEST, 2),
        Change(3.02, WEST, -2, ends=True),
        Change(3.2, NORTH, 2),
        Change(moved_s, NORTH, -2, ends=True),
        Change(moved_s, WEST, 2),
    )
    wait = wait_of_job(*changes, tasks=3)
    _assert_in_time(wait)
    assert wait.at_work_s - moved_s <= MAX_TO_ROOM_ELSEWHERE_S


# Guards against waits that leave no time for a store that is slow when a job is handed over.
@pytest.mark.parametrize("freed_s", [3.15, 5.0])
@pytest.mark.parametrize("from_s", [2.5, 3.3])
@pytest.mark.parametrize("for_s", [1.0, 2.0])
def test_a_slow_store_leaves_time_for_room_elsewhere(
    for_s: float, from_s: float, freed_s: float
) -> None:
    room_in_west = Change(1.0, WEST, 2)
    taken = Change(3.02, WEST, -2, ends=True)
    slow = SlowStore(from_s, for_s)
    _assert_in_time(wait_of_job(room_in_west, taken, Change(freed_s, NORTH, 2), slow))
