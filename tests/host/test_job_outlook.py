"""Tests of which jobs are refused, as no hall could finish them while they are of use.

Jobs of one second and an objective of 2 s are of use for 6 s, so that 5 s are left for their wait.
They are refused from twice that time on.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linkspan.host.admission.admission import best_hopeless_outlook
from linkspan.host.admission.job_outlook import (
    HOPELESS_MARGIN,
    MAX_SUMMARY_AGE_S,
    HallLoad,
    JobOutlook,
    outlook_in,
)
from linkspan.jobs.spec import JobSpec, Schedule
from linkspan.model.configuration import Queue
from linkspan.shard.handover.backlog import Backlog
from tests.host.admission_builders import (
    BATCH,
    FULL,
    PRIORITIES,
    SHORT,
    admission_by,
    backlog,
    job,
    load,
)
from tests.job_builders import step

SPARE_S = 5.0
LONG_S = HOPELESS_MARGIN * SPARE_S + 1.0
DAYS_S = 3 * 86_400.0


def refused(*halls: HallLoad, spec: JobSpec | None = None, queue: Queue = SHORT) -> bool:
    spec = spec or job(queue=queue)
    return best_hopeless_outlook(halls, spec, queue, PRIORITIES) is not None


def test_a_job_that_no_hall_can_finish_in_time_is_refused() -> None:
    assert refused(load(backlog(LONG_S)), load(backlog(LONG_S)))


def test_one_hall_with_hope_is_enough() -> None:
    assert not refused(load(backlog(LONG_S)), load(backlog(SPARE_S)))
    assert not refused(load(backlog(LONG_S)), load())


def test_a_job_that_may_still_be_of_use_is_accepted() -> None:
    """Also one that will be late: a late answer is worth more to its caller than none."""
    assert not refused(load(backlog(HOPELESS_MARGIN * SPARE_S - 0.1)))


def test_a_place_for_one_task_is_enough() -> None:
    empty_core = replace(FULL, free=1_000, free_by_executor=((1_000, 32_000), (0, 32_000)))
    hall = HallLoad("east", replace(empty_core, backlogs=(backlog(LONG_S),)), 0.0)
    assert not refused(hall)
    two_cores = backlog(LONG_S, milli_cpu=2_000)
    hall = HallLoad("east", replace(empty_core, backlogs=(two_cores,)), 0.0)
    assert refused(hall, spec=job(step(1, cpu=1_001)))


def test_best_effort_tasks_need_a_place_by_memory_alone() -> None:
    """They run on cores that others leave unused, which no summary tells."""
    best_effort = job(step(1, best_effort=True))
    hall = load(backlog(LONG_S))
    assert not refused(hall, spec=best_effort)
    assert hall.summary
    full = replace(hall.summary, free_by_executor=((0, 99), (8_000, 0)))
    assert refused(replace(hall, summary=full), spec=best_effort)


def test_memory_that_best_effort_runs_would_give_back_is_a_place() -> None:
    hall = load(backlog(LONG_S))
    assert hall.summary
    short_of_memory = replace(hall.summary, free_by_executor=((0, 0), (8_000, 0)))
    assert refused(replace(hall, summary=short_of_memory))
    stoppable = replace(short_of_memory, best_effort_memory=((1, 100),))
    assert not refused(replace(hall, summary=stoppable))


def test_what_a_host_does_not_know_counts_as_hope() -> None:
    known = load(backlog(2 * LONG_S))
    assert refused(known)
    assert not refused(replace(known, summary=None))
    assert not refused(replace(known, age_s=MAX_SUMMARY_AGE_S + 0.1))
    assert not refused(replace(known, age_s=float("inf")))
    assert not refused(replace(known, evacuated=True))
    assert not refused(load(backlog(LONG_S)._replace(rate=0.0)))
    assert not refused()


def test_what_has_drained_since_the_summary_is_taken_off() -> None:
    assert refused(load(backlog(LONG_S)))
    assert not refused(load(backlog(LONG_S), age_s=2.0))


def test_a_flood_of_one_queue_costs_others_nothing() -> None:
    flooded = load(backlog(100 * LONG_S, queue=BATCH), backlog(SPARE_S))
    assert refused(flooded, queue=BATCH)
    assert not refused(flooded)
    assert not refused(flooded, queue=replace(SHORT, name="other"))


def test_work_of_a_higher_priority_goes_first() -> None:
    prior = backlog(200.0)
    own = backlog(1.0, queue=BATCH)
    assert refused(load(prior, own), queue=BATCH)
    assert not refused(load(own), queue=BATCH)
    lower = replace(SHORT, priority=3)
    priorities = {**PRIORITIES, SHORT.name: 3}
    assert lower.priority > BATCH.priority
    assert not best_hopeless_outlook([load(prior, own)], job(queue=BATCH), BATCH, priorities)


def test_larger_jobs_of_the_queue_do_not_count() -> None:
    """Ten jobs are ahead at the most with as much work as the new one: less than a second."""
    assert not refused(load(backlog(LONG_S, jobs=10)))
    assert refused(load(backlog(LONG_S, jobs=10)), spec=job(step(100)))


def test_tasks_as_large_as_an_executor_are_judged_by_their_own_rate() -> None:
    """They wait for a whole executor, while small ones find room at once."""
    small = backlog(0.5)
    large = backlog(LONG_S, milli_cpu=8_000, rate=2_000.0)
    hall = load(small, large)
    assert refused(hall, spec=job(step(1, cpu=8_000)))
    assert not refused(hall)


def test_an_estimate_of_days_leaves_time_for_days() -> None:
    assert not refused(load(backlog(1_000.0)), spec=job(step(1, estimate_s=DAYS_S)))


def test_an_estimate_of_zero_is_judged_by_the_durations_of_its_class() -> None:
    """The caller's estimate would leave 3 s, and its tasks take 10 s like all others."""
    hall = load(backlog(LONG_S, duration_s=10.0))
    assert not refused(hall, spec=job(step(1, estimate_s=0.0)))
    assert not refused(load(backlog(0.0)), spec=job(step(1, estimate_s=0.0)))


def test_later_steps_do_not_wait_for_what_is_ahead_now() -> None:
    later = step(1, cpu=8_000, depends_on=(0,))
    hall = load(backlog(0.5), backlog(LONG_S, milli_cpu=8_000))
    assert not refused(hall, spec=job(step(1), later))


def test_the_best_hall_says_when_a_job_would_fit() -> None:
    halls = [load(backlog(wait_s), hall=hall) for hall, wait_s in (("east", 40.0), ("west", 20.0))]
    outlook = best_hopeless_outlook(halls, job(), SHORT, PRIORITIES)
    assert outlook is not None
    assert outlook.hall == "west"
    assert outlook.fits_after_s == pytest.approx(19.0)


def test_standing_and_scheduled_jobs_are_accepted() -> None:
    """They are not done at any time, or not due yet."""
    admission = admission_by(lambda: [load(backlog(LONG_S))], lambda _spec, _queue: [0])
    assert admission.reason_to_refuse(job(), SHORT, PRIORITIES)
    standing = job(step(1, standing=True))
    scheduled = replace(job(), schedule=Schedule(3, 0.0, 10.0))
    for spec in (standing, scheduled):
        assert admission.reason_to_refuse(spec, SHORT, PRIORITIES) is None


def test_only_halls_that_could_get_the_job_count() -> None:
    loads = [load(backlog(LONG_S)), load()]
    for shard, expected in ((0, True), (1, False)):
        admission = admission_by(lambda: loads, lambda _spec, _queue, shard=shard: [shard])
        assert bool(admission.reason_to_refuse(job(), SHORT, PRIORITIES)) is expected


def test_halls_are_not_looked_at_while_none_publishes_a_rate() -> None:
    """A deployment without overload is decided as before, at no cost."""

    def fail(_spec: JobSpec, _queue: Queue) -> list[int]:
        raise AssertionError

    loads = [load(), load(backlog(LONG_S, queue=BATCH)), load(backlog(9.0)._replace(rate=0.0))]
    assert admission_by(lambda: loads, fail).reason_to_refuse(job(), SHORT, PRIORITIES) is None


FIGURES = st.floats(0.0, 1e9) | st.just(0.0)
BACKLOGS = st.builds(
    Backlog,
    st.sampled_from(list(PRIORITIES)),
    st.sampled_from([1_000, 2_000, 8_000]),
    st.integers(0, 2**53),
    FIGURES,
    st.integers(0, 10_000),
    FIGURES,
)


@given(
    backlogs=st.lists(BACKLOGS, max_size=4, unique_by=lambda b: b.work_class),
    estimate_s=FIGURES,
    queue=st.sampled_from([SHORT, BATCH, replace(SHORT, stretch=0.0, target_s=0.0)]),
)
def test_any_figures_give_a_finite_outlook(
    backlogs: list[Backlog], estimate_s: float, queue: Queue
) -> None:
    spec = job(step(1, estimate_s=estimate_s), step(2, cpu=8_000, depends_on=(0,)), queue=queue)
    outlook = outlook_in(load(*backlogs), spec, queue, PRIORITIES)
    assert outlook is None or isinstance(outlook, JobOutlook)
    if outlook and outlook.hopeless:
        assert 1.0 <= outlook.fits_after_s <= 600.0
        assert outlook.wait_s > HOPELESS_MARGIN
