"""Randomized days of a wide site on which a task ran twice.

The failure: two runs of one task at once, and runs of tasks that had ended and whose ends were
recorded afterwards.

The cause, by seed. In 9507 a new owner was frozen just after the first reports, and an executor did
not answer it at that time: its runs, delegated ones among them, counted as expired at once
(``test_first_lease.py``). In 9504 and 5002 an owner that was cut off from the store went on at an
executor, while a later owner claimed the shard from earlier incarnations of its own host, and
waited for one lease only (``test_owners_in_a_row.py``).

With the first fault alone fixed, 9507 breaks nothing; with the second alone fixed, 9504 breaks
nothing.
"""

from __future__ import annotations

import pytest

from tests.host.wide_day import WideDay
from tests.virtual_time import run_virtual

LIMIT_S = 400.0
"""Longest duration of a day, in virtual seconds."""


@pytest.mark.parametrize("seed", [9504, 9507])
def test_a_wide_day_that_broke_a_promise(seed: int) -> None:
    assert run_virtual(WideDay(seed).play(), limit_s=LIMIT_S).problems == []


def test_a_wide_day_of_fewer_hosts_that_broke_a_promise() -> None:
    day = WideDay(5002, hosts_per_hall=3, jobs_per_s=3.0)
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == []
