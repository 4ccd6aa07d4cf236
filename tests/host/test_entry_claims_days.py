"""Entries that contradict known executors, among other faults, break no promise.

The failure: tasks that ran twice, started again after their end, or did not run at the end.
"""

from __future__ import annotations

import pytest

from tests.host.entry_claims_day import EntryClaimsDay
from tests.virtual_time import run_virtual


# Guards against entries that replace what the executors themselves have shown.
@pytest.mark.parametrize("seed", [200, 206, 216])
def test_entries_of_another_writer_among_other_faults_break_no_promise(seed: int) -> None:
    day = EntryClaimsDay(seed)
    world = run_virtual(day.play(), limit_s=400.0)
    assert world.problems == [], day.fault_log
