"""The crashes under a task, as the next owner reads them, of this version or another."""

from __future__ import annotations

import json

import pytest

from linkspan.jobs.records import JobState
from linkspan.shard.core import ShardCore
from linkspan.shard.recovery.progress import encode_run, restore_run
from linkspan.shard.suspicion import Suspicion
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, submitted


def record(core: ShardCore) -> bytes:
    return encode_run(core.jobs[JOB].runs[0])


def read_by_next_owner(value: bytes) -> ShardCore:
    core = core_with(step(1))
    core.jobs.clear()
    core.add_job(submitted(step(2)), 0.0, inherited=True, progress={0: value})
    return core


def test_the_count_is_what_the_next_owner_begins_with() -> None:
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run = 4
    core.suspect(first, Suspicion(3, 6, version=9))
    second.lent, second.loan = 1, 4
    core.suspect(second, Suspicion(1, 4))
    heir = read_by_next_owner(record(core))
    first, second = heir.jobs[JOB].runs[0].tasks()
    assert first.suspicion == Suspicion(3, 6), "and what is on record is known to be"
    assert second.suspicion == Suspicion(1, 4)
    assert set(heir.suspects) == {first, second}
    assert first.on_record


def test_a_task_that_was_convicted_fails_its_job_at_the_next_owner() -> None:
    """Its owner was lost between the crash and the end of the job."""
    core = core_with(step(2))
    (first, _) = core.jobs[JOB].runs[0].tasks()
    first.next_run = 3
    core.suspect(first, Suspicion(2, 8))
    heir = read_by_next_owner(record(core))
    assert [(f.job_id, f.state) for f in heir.finished] == [(JOB, JobState.FAILED)]


def test_an_earlier_version_reads_the_fields_that_it_knows() -> None:
    """It takes five fields of a row, or three of a lent one, and passes over the rest."""
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run, second.lent, second.loan = 4, 1, 2
    plain = json.loads(record(core))
    core.suspect(first, Suspicion(2, 5))
    core.suspect(second, Suspicion(1, 4))
    ((one, other),) = json.loads(record(core))
    assert [one[:5], other[:3]] == plain[0]
    assert (one[5:], other[3:]) == ([2, 5], [1, 4])


@pytest.mark.parametrize("rows", [[[3, 0, "", [], 0], 0], [[3, 0, "", [], 0, 1], [-2, 1, 5]]])
def test_a_record_without_the_count_says_nothing_against_a_task(rows: list[object]) -> None:
    core = core_with(step(2))
    run = core.jobs[JOB].runs[0]
    restore_run(run, json.dumps([rows]).encode(), 0.0)
    assert [task.suspicion for task in run.tasks()] == [None, None]
