"""Accepted standing tasks run in time on the platform, whose executors come, leave and end as such.

Their ids are plain, their entries come late, and new ones start while tasks wait in full halls.
"""

from __future__ import annotations

import pytest

from tests.host.never_run_day import FULL_HALLS, NeverRunDay
from tests.virtual_time import run_virtual

LIMIT_S = 600.0
"""Longest duration of a scenario, in virtual seconds."""


# Guards against room of new executors that halls with waiting tasks learn of too late to use it.
@pytest.mark.parametrize("seed", [50126])
def test_standing_tasks_use_the_room_of_new_executors_in_time(seed: int) -> None:
    day = NeverRunDay(seed, hall_count=3).on_platform()
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == [], day.fault_log


# Guards against the same in halls that are full of small standing tasks.
@pytest.mark.parametrize("seed", [50021])
def test_small_standing_tasks_use_the_room_of_new_executors_in_time(seed: int) -> None:
    day = NeverRunDay(seed, hall_count=3, load=FULL_HALLS).on_platform()
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == [], day.fault_log
