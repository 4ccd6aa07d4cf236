"""Tests that the reports of many executors do not sum up a job's work again and again."""

from __future__ import annotations

import pytest

from linkspan.shard.colocation._recent_urgencies import MAX_AGE_S, RecentUrgencies
from linkspan.shard.job_run import JobRun, new_run
from linkspan.shard.planning._expected_durations import (
    UPDATE_INTERVAL_STEPS,
    UPDATES_PER_JOB,
    DurationUpdates,
    record_duration,
)
from linkspan.shard.planning.durations import DurationEstimator
from linkspan.shard.shard_job import ShardJob
from tests.job_builders import step
from tests.shard.builders import submitted_job

EXECUTORS = 61


def test_a_job_on_many_executors_is_summed_once_a_round_of_reports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A job with runs on all executors reports there four times a second each."""
    sums = []
    remaining_work = JobRun.remaining_work.fget
    assert remaining_work is not None
    monkeypatch.setattr(
        JobRun, "remaining_work", property(lambda run: (sums.append(run), remaining_work(run))[1])
    )
    run = new_run(ShardJob(submitted_job(step(EXECUTORS, best_effort=True), accepted=100.0)), 0)
    run.job.objective_s = 60.0
    urgencies = RecentUrgencies()
    for number in range(EXECUTORS):
        urgencies.begin(100.0 + 0.9 * MAX_AGE_S * number / EXECUTORS)
        urgencies.of(run.steps[0])
    assert len(sums) == 1
    urgencies.begin(100.0 + MAX_AGE_S)
    urgencies.of(run.steps[0])
    assert len(sums) == 2


def test_urgencies_are_computed_anew_when_the_time_of_day_is_set_back() -> None:
    run = new_run(ShardJob(submitted_job(step(1, best_effort=True))), 0)
    urgencies = RecentUrgencies()
    urgencies.begin(100.0)
    late = urgencies.of(run.steps[0])
    urgencies.begin(0.0)
    assert urgencies.of(run.steps[0]) != late


def test_updates_of_all_jobs_keep_pace_with_the_ended_steps() -> None:
    """In a hall with thousands of waiting jobs each ended step pays for a few of them."""
    updates = DurationUpdates()
    jobs = 4_000
    updated = sum(jobs for learnt in range(1, 8_001) if updates.are_due(learnt, jobs))
    assert updated <= 8 * 8_000
    few = DurationUpdates()
    due = [learnt for learnt in range(1, 40) if few.are_due(learnt, 10)]
    assert due == list(range(UPDATE_INTERVAL_STEPS, 40, UPDATE_INTERVAL_STEPS))


def test_a_job_of_thousands_of_steps_is_updated_a_few_times(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each update takes time in proportion to all of its steps: together their square."""
    updates = []
    monkeypatch.setattr(
        "linkspan.shard.planning._expected_durations.update_expected_durations",
        lambda job, _durations: updates.append(job),
    )
    run = new_run(ShardJob(submitted_job(*(step(1) for _ in range(2_000)))), 0)
    for ended in run.steps:
        ended.durations.append(1.0)
        record_duration(ended, DurationEstimator())
    assert UPDATES_PER_JOB <= len(updates) <= 1.1 * UPDATES_PER_JOB
