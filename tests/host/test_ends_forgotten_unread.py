"""Unreported ends of an executor's next incarnation are not discarded.

Guards against tasks that run twice, the second time after the first run is done. An executor
restarts within milliseconds; a poll that acknowledges ends of its previous incarnation reaches the
next one and waits there for an end. That incarnation discarded the ends that followed, whose
numbers were lower, and the next report listed neither the run nor its end, so that the task was
started again. Ten of the forty moments below failed; with polls that do not wait, none did.
"""

from __future__ import annotations

import pytest

from tests.hall_executors import HEARTBEAT_S
from tests.host.restarting_day import Restarts, play
from tests.virtual_time import run_virtual

MOMENTS = 40
"""Number of moments of the first crash, spread over a poll and the pause after it."""

MOMENT_INTERVAL_S = 0.011
"""Interval between two moments."""


@pytest.mark.parametrize("moment", range(MOMENTS))
def test_a_delayed_poll_discards_no_end_of_the_next_incarnation(moment: int) -> None:
    """Guards against a poll that waits at the next incarnation and discards unreported ends."""
    restarts = Restarts(down_s=0.01, times=4, every_s=1.3, at_s=4.0 + moment * MOMENT_INTERVAL_S)
    scenario = play(restarts, tasks=3, duration_s=0.3, entry_after_s=HEARTBEAT_S)
    assert run_virtual(scenario, limit_s=400.0).world.problems == []
