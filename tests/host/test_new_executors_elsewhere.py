"""Standing tasks that wait in full halls use a new executor of another hall in time.

On the way the executor's entry is read, it answers, its hall tells of it, the tasks' hall hands
them over and the other hall takes them in. The sum of these links has one bound.
"""

from __future__ import annotations

import pytest

from tests.host.full_halls import (
    MAX_BESIDE_ROOM_S,
    NORTH,
    NewExecutor,
    SlowStore,
    Wait,
    wait_of_job,
)

ENTRY_AFTER_S = 0.8
"""Time after which a platform's discovery tells of a new executor."""

LATE_ENTRY_AFTER_S = 1.9
"""The same where the discovery looks for new executors once in 1.1 s."""

SLOW_READ_S = 0.6
SLOW_FOR_S = 20.0

JOINED_S = [7.0, 7.3, 7.7, 8.1, 8.4, 8.8, 9.1, 9.8]
TASKS = [2, 4]


def _assert_in_time(wait: Wait, joined_s: float) -> None:
    assert wait.world.problems == []
    assert wait.broken_at_s is None, wait
    assert wait.at_work_s - joined_s <= MAX_BESIDE_ROOM_S, wait


# Guards against links on the way to a new executor elsewhere that each wait for a clock.
@pytest.mark.parametrize("joined_s", JOINED_S)
@pytest.mark.parametrize("tasks", TASKS)
@pytest.mark.parametrize("entry_after_s", [ENTRY_AFTER_S, LATE_ENTRY_AFTER_S])
def test_a_new_executor_elsewhere_is_used_in_time(
    entry_after_s: float, tasks: int, joined_s: float
) -> None:
    joined = NewExecutor(joined_s, NORTH, entry_after_s)
    _assert_in_time(wait_of_job(joined, tasks=tasks), joined_s)


# Guards against reads on the way to a new executor elsewhere that are made one after the other.
@pytest.mark.parametrize("joined_s", JOINED_S)
@pytest.mark.parametrize("tasks", TASKS)
def test_a_new_executor_elsewhere_is_used_in_time_beside_a_slow_store(
    tasks: int, joined_s: float
) -> None:
    joined = NewExecutor(joined_s, NORTH, ENTRY_AFTER_S)
    slow = SlowStore(joined_s, SLOW_FOR_S, SLOW_READ_S)
    _assert_in_time(wait_of_job(joined, slow, tasks=tasks), joined_s)
