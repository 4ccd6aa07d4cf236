"""Polls that reach an executor's next incarnation late discard no end that nobody has read.

Guards against tasks that run twice, the second time after the first run is done. An executor
restarts within milliseconds while a poll that acknowledges ends is on its way. The next incarnation
carries out a start under the same id and fencing token, numbers its end from 1 again, and then
carries out the poll, which discards that end. Its task was started once more.
"""

from __future__ import annotations

import pytest

from tests.host.late_poll_day import LatePollDay
from tests.virtual_time import run_virtual

TIMED_OUT_S = 12.0
"""Delay after which a poll may still be carried out, long after its caller has given up on it."""


def _check(day: LatePollDay) -> None:
    world = run_virtual(day.play(), limit_s=300.0)
    assert world.problems == []
    assert world.unread_ends == []


@pytest.mark.parametrize("seed", (0, 4, 7, 8, 12, 16, 24, 31, 33))
def test_a_poll_that_arrives_late_discards_no_unread_end(seed: int) -> None:
    """Guards against TWICE: a poll was open while its executor restarted and took a start."""
    _check(LatePollDay(seed))


@pytest.mark.parametrize("seed", (8, 27, 36))
def test_a_poll_that_arrives_after_its_timeout_discards_no_unread_end(seed: int) -> None:
    """Guards against TWICE: a poll had timed out and was carried out seconds later."""
    _check(LatePollDay(seed, max_delay_s=TIMED_OUT_S))


@pytest.mark.parametrize(("seed", "max_delay_s"), ((28, 0.8), (34, 0.8), (38, 0.8), (8, 4.0)))
def test_a_late_poll_of_a_killed_owner_discards_no_unread_end(
    seed: int, max_delay_s: float
) -> None:
    """Guards against TWICE: a poll of an owner that was killed with it on its way."""
    _check(LatePollDay(seed, max_delay_s=max_delay_s, kills_owners=True))


@pytest.mark.parametrize("seed", (30, 33, 34))
def test_a_late_poll_of_a_frozen_owner_discards_no_unread_end(seed: int) -> None:
    """Guards against TWICE: a poll of an owner that was frozen with it on its way."""
    _check(LatePollDay(seed, freezes_owners=True))


@pytest.mark.parametrize("seed", range(3))
def test_polls_without_answers_discard_no_unread_end(seed: int) -> None:
    """Guards against TWICE: polls were carried out, and their answers were lost."""
    _check(LatePollDay(seed, max_delay_s=3.0, lost_answer_share=0.1))
