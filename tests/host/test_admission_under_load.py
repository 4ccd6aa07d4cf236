"""Tests of admission to a hall of 16 cores by named patterns of load.

Jobs have four tasks of one core and one second, so that the hall does four a second. Their
objective is 2 s, and they are of use for 6 s.
"""

from __future__ import annotations

from dataclasses import replace
from itertools import count

import pytest

from linkspan.jobs.spec import JobSpec
from linkspan.model.configuration import Queue
from tests.host.admission_builders import BATCH, SHORT, job
from tests.host.overloaded_hall import OverloadedHall
from tests.job_builders import step

USUAL = 3
"""Jobs a second at which three quarters of the hall are in use."""

BURST_FACTOR = 2.6
BURST_S = 6

FLOOD = 50
"""Jobs a second of a caller whose share is one in two seconds, and who hands in a hundred times as
many."""

USEFUL_S = 6
"""Time for which a job is of use to its caller, in seconds: three times its objective."""

_NUMBERS = count(1)


def jobs(number: int, queue: Queue = SHORT, estimate_s: float = 1.0) -> list[JobSpec]:
    work = step(4, estimate_s=estimate_s)
    return [job(work, queue=queue, number=next(_NUMBERS)) for _ in range(number)]


def play(hall: OverloadedHall, rounds: int, number: int, queue: Queue = SHORT) -> None:
    for _ in range(rounds):
        hall.play_round(*jobs(number, queue))


def test_usual_demand_is_accepted() -> None:
    hall = OverloadedHall()
    play(hall, 60, USUAL)
    assert not hall.refused


def test_a_burst_of_2_6_times_the_usual_for_6_s_is_accepted() -> None:
    """The work that it leaves drains while it is of use."""
    hall = OverloadedHall()
    play(hall, 15, USUAL)
    play(hall, BURST_S, round(BURST_FACTOR * USUAL))
    play(hall, 15, USUAL)
    assert not hall.refused


def test_a_flood_is_refused_after_seconds() -> None:
    """What is accepted must stay near what the hall can do.

    It takes 4 s and a run until the drain rate is known, and one round until hosts know it.
    """
    hall = OverloadedHall()
    play(hall, 15, USUAL)
    began = hall.now
    play(hall, 8, FLOOD)
    early = [at for at in hall.refused.values() if at < began + 4.0]
    late = [at for at in hall.refused.values() if at >= began + 7.0]
    assert not early
    assert len(late) == FLOOD


def test_jobs_are_accepted_again_once_a_flood_is_over() -> None:
    """What the flood has left is of no use after 6 s, and new jobs are served before it."""
    hall = OverloadedHall()
    play(hall, 12, FLOOD)
    play(hall, USEFUL_S, USUAL)
    over_at = hall.now
    play(hall, 20, USUAL)
    assert not [at for at in hall.refused.values() if at >= over_at]


@pytest.mark.parametrize("flooded", [BATCH, SHORT])
def test_a_flood_of_one_queue_is_not_paid_by_the_other(flooded: Queue) -> None:
    """Short work has the higher priority, so its flood leaves batch jobs late but not refused."""
    other = SHORT if flooded is BATCH else BATCH
    hall = OverloadedHall()
    others = []
    for _ in range(20):
        own = jobs(1, other)
        others += [spec.job_id for spec in own]
        hall.play_round(*own, *jobs(FLOOD, flooded))
    assert hall.refused
    if flooded is BATCH:
        assert not set(others) & set(hall.refused)


def test_estimates_of_days_do_not_make_others_hopeless() -> None:
    hall = OverloadedHall()
    for _ in range(20):
        hall.play_round(*jobs(USUAL - 1), *jobs(1, estimate_s=3 * 86_400.0))
    assert not hall.refused


def test_estimates_of_zero_do_not_make_others_hopeless() -> None:
    hall = OverloadedHall()
    for _ in range(20):
        hall.play_round(*jobs(USUAL - 1), *jobs(1, estimate_s=0.0))
    assert not hall.refused


def test_a_flood_with_estimates_of_zero_is_refused_as_any_other() -> None:
    """Guards against a caller that gets past the decision by understating its work."""
    hall = OverloadedHall()
    for _ in range(12):
        hall.play_round(*jobs(FLOOD, estimate_s=0.0))
    assert sum(at >= hall.now - 2.0 for at in hall.refused.values()) >= FLOOD


def test_tasks_as_large_as_an_executor_pass_beside_a_flood_of_small_ones() -> None:
    """Their own class has no surplus: nothing is known to keep them from running."""
    hall = OverloadedHall()
    for _ in range(12):
        hall.play_round(*jobs(FLOOD))
    large = replace(job(step(1, cpu=8_000)), job_id="f" * 16)
    hall.play_round(large)
    assert large.job_id in hall.accepted


def test_room_after_a_wave_of_cancellations_is_used_at_once() -> None:
    hall = OverloadedHall()
    play(hall, 10, FLOOD)
    assert hall.refused
    for job_id in list(hall.core.jobs):
        hall.core.cancel_job(job_id)
    hall.play_round()
    cancelled_at = hall.now
    play(hall, 10, USUAL)
    assert not [at for at in hall.refused.values() if at >= cancelled_at]


def test_a_new_owner_refuses_nothing_before_it_knows_a_rate() -> None:
    """Halfway through a flood the owner changes: a hall at a standstill proves no hopeless wait."""
    hall = OverloadedHall()
    play(hall, 10, FLOOD)
    assert hall.refused
    hall.begin_tenure()
    began = hall.now
    play(hall, 4, FLOOD)
    assert not [at for at in hall.refused.values() if at >= began]
    play(hall, 4, FLOOD)
    assert [at for at in hall.refused.values() if at >= began]
