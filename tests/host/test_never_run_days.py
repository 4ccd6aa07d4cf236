"""Every task of an accepted standing job runs where there is room for it, also if it never ran."""

from __future__ import annotations

import pytest

from tests.host.best_effort_memory_day import BestEffortMemoryDay
from tests.host.never_run_day import CALM, FULL_HALLS, NeverRunDay
from tests.virtual_time import run_virtual

LIMIT_S = 600.0
"""Longest duration of a scenario, in virtual seconds."""


@pytest.mark.parametrize("seed", [1, 109, 126, 134])
def test_accepted_standing_tasks_run_without_faults(seed: int) -> None:
    """Guards against large tasks that never start as other halls keep room for short work."""
    day = NeverRunDay(seed, (CALM,))
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == []


@pytest.mark.parametrize("seed", [200])
def test_accepted_standing_tasks_run_after_faults_of_all_kinds(seed: int) -> None:
    """Guards against tasks of any width and size that never start after overlapping faults."""
    day = NeverRunDay(seed)
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == [], day.fault_log


@pytest.mark.parametrize("seed", [3000])
def test_accepted_standing_tasks_run_beside_best_effort_work_that_holds_the_memory(
    seed: int,
) -> None:
    """Guards against tasks that never start as best-effort work takes what memory is given back."""
    day = BestEffortMemoryDay(seed, (CALM,))
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == []


@pytest.mark.parametrize("seed", [31024, 31027])
def test_accepted_standing_tasks_use_room_that_comes_free_in_other_halls(seed: int) -> None:
    """Guards against waits that add up: for summaries, and for one handover after the other."""
    day = NeverRunDay(seed, (CALM,))
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == []


@pytest.mark.parametrize("seed", [24014, 24016])
def test_accepted_standing_tasks_use_small_pieces_of_room_in_full_halls(seed: int) -> None:
    """Guards against the same waits in halls of which small pieces come free."""
    day = NeverRunDay(seed, (CALM,), hall_count=3, load=FULL_HALLS)
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == []
