"""Whose turn it is where short tasks and standing ones that never ran wait for the same room."""

from __future__ import annotations

import pytest

from linkspan.shard.planning.task_need import HEADROOM_WAIT_S
from linkspan.shard.planning.urgency import MAX_USEFUL_AGE_FACTOR
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, core_with, plan, submitted_job

SHORT, STANDING = "00000000000000d1", "00000000000000d2"


def _first_start(*, at: float, standing_since: float, ran_before: bool = False) -> str:
    """Return the job that gets an executor that becomes free at a time.

    A short job of a wide step, accepted at that time, and a standing job want all of it.
    """
    core = core_with(step(1, cpu=8_000, estimate_s=90.0), executors=1)
    plan(core, 0.1)
    waiting = submitted_job(step(1, cpu=7_000, standing=True), job_id=STANDING)
    core.add_job(waiting, standing_since)
    short = step(1, cpu=7_000, estimate_s=1.0)
    core.add_job(submitted_job(short, job_id=SHORT, accepted=at), at)
    if ran_before:
        core.jobs[STANDING].runs[0].steps[0].tasks[0].next_run = 2
    core.cancel_job(JOB)
    for attempt in list(core.jobs[JOB].attempts()):
        core.close_attempt(attempt, at)
    (order,) = plan(core, at)
    return order.task.job_id


def test_a_short_task_of_use_starts_before_a_standing_one_that_never_ran() -> None:
    """Guards against standing tasks that take, for good, each piece that short tasks wait for.

    Their ranks were seconds, and work in core-seconds: every standing task came first.
    """
    assert _first_start(at=1.0, standing_since=0.5) == SHORT


def test_a_standing_task_that_is_overdue_starts_first() -> None:
    """Guards against accepted standing tasks that short work passes for as long as it comes."""
    at = HEADROOM_WAIT_S + 0.1
    assert _first_start(at=at, standing_since=0.0) == STANDING


def test_a_restart_of_a_standing_task_starts_first() -> None:
    """Guards against short work that keeps a standing task away that has run before."""
    assert _first_start(at=1.0, standing_since=0.5, ran_before=True) == STANDING


@pytest.mark.parametrize("late", [False, True])
def test_a_short_task_without_use_starts_after_all_others(*, late: bool) -> None:
    """Guards against standing tasks that wait for work that nobody waits for any more."""
    core = core_with(step(1, cpu=8_000, estimate_s=90.0), executors=1)
    plan(core, 0.1)
    useful_s = MAX_USEFUL_AGE_FACTOR * (QUEUE.stretch * 1.0 + QUEUE.target_s)
    at = useful_s + 0.1 if late else 1.0
    core.add_job(submitted_job(step(1, cpu=7_000, estimate_s=1.0), job_id=SHORT), 0.0)
    standing = submitted_job(step(1, cpu=7_000, standing=True), job_id=STANDING, accepted=at)
    core.add_job(standing, at)
    core.cancel_job(JOB)
    for attempt in list(core.jobs[JOB].attempts()):
        core.close_attempt(attempt, at)
    (order,) = plan(core, at)
    assert order.task.job_id == (STANDING if late else SHORT)
