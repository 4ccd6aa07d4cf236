"""Ends of an executor's next life that nobody has read are not forgotten.

Callers saw tasks run twice, the second time after the first had ended as done. An executor was
away for some milliseconds; a look that told it to forget the ends of its life came to the next
one and waited there for an end. That life forgot the ends that came meanwhile, whose numbers were
below, and the look after that listed neither run nor end: the tasks began again. Shown by plays
at many moments, ten of forty, and by the same plays with looks that do not wait: none.
"""

from __future__ import annotations

import pytest

from tests.hall_executors import HEARTBEAT_S
from tests.host.restarting_day import Restarts, play
from tests.virtual_time import run_virtual

MOMENTS = 40
"""Moments of the first fall, over the time that a look and the pause after it take."""

APART_S = 0.011
"""Time between two moments."""


@pytest.mark.parametrize("moment", range(MOMENTS))
def test_a_look_on_its_way_forgets_no_end_of_the_next_life(moment: int) -> None:
    """Guards against a look that comes to the next life, waits there and forgets unread ends."""
    restarts = Restarts(down_s=0.01, times=4, every_s=1.3, at_s=4.0 + moment * APART_S)
    played = play(restarts, tasks=3, length_s=0.3, entry_after_s=HEARTBEAT_S)
    assert run_virtual(played, limit_s=400.0).world.problems == []
