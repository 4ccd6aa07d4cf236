"""Tests the crash history of a task as the next owner restores it from the job's record.

The owners may run different versions, so new fields stand behind those that earlier versions read.
"""

from __future__ import annotations

import json

import pytest

from linkspan.jobs.crash import Crash
from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import Delegated, JobState
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory, add_crash, delegated_crash_history
from linkspan.shard.failures import FailedRun, Failures
from linkspan.shard.handover._delegations import last_delegation_of
from linkspan.shard.recovery.progress import encode_run, restore_run
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, submitted_job


def recorded_progress(core: ShardCore) -> bytes:
    return encode_run(core.jobs[JOB].runs[0])


def next_owner_from(value: bytes) -> ShardCore:
    core = core_with(step(1))
    core.jobs.clear()
    core.add_job(submitted_job(step(2)), 0.0, inherited=True, progress={0: value})
    return core


def test_the_next_owner_restores_the_crash_history() -> None:
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run = 4
    core.set_crash_history(first, CrashHistory(3, 6, version=9))
    second.managed_by, second.delegation_number = 1, 4
    core.set_crash_history(second, CrashHistory(1, 4))
    next_owner = next_owner_from(recorded_progress(core))
    first, second = next_owner.jobs[JOB].runs[0].tasks()
    assert first.crash_history == CrashHistory(3, 6), "the restored history counts as durable"
    assert second.crash_history == CrashHistory(1, 4)
    assert set(next_owner.tasks_with_crash_history) == {first, second}
    assert first.crash_history_durable


def test_a_task_to_be_given_up_fails_its_job_at_the_next_owner() -> None:
    """The previous owner was lost between the crash and the end of the job."""
    core = core_with(step(2))
    (first, _) = core.jobs[JOB].runs[0].tasks()
    first.next_run = 3
    core.set_crash_history(first, CrashHistory(2, 8))
    next_owner = next_owner_from(recorded_progress(core))
    assert [(f.job_id, f.state) for f in next_owner.finished] == [(JOB, JobState.FAILED)]


def test_an_earlier_version_reads_the_fields_that_it_knows() -> None:
    """It reads five fields of a row, or three of a delegated task's row, and ignores the rest."""
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run, second.managed_by, second.delegation_number = 4, 1, 2
    plain = json.loads(recorded_progress(core))
    core.set_crash_history(first, CrashHistory(2, 5))
    core.set_crash_history(second, CrashHistory(1, 4))
    ((first_row, second_row),) = json.loads(recorded_progress(core))
    assert [first_row[:5], second_row[:3]] == plain[0]
    assert (first_row[5:], second_row[3:]) == ([2, 5], [1, 4])


@pytest.mark.parametrize("rows", [[[3, 0, "", [], 0], 0], [[3, 0, "", [], 0, 1], [-2, 1, 5]]])
def test_a_record_without_a_crash_count_restores_no_crash_history(rows: list[object]) -> None:
    core = core_with(step(2))
    run = core.jobs[JOB].runs[0]
    restore_run(run, json.dumps([rows]).encode(), 0.0)
    assert [task.crash_history for task in run.tasks()] == [None, None]


DISCONNECTED = Crash("e9@1700000000009", 2, 3)
CRASHED = Crash("e8", 1, 2)


def test_the_next_owner_retracts_a_crash_that_the_previous_owner_counted() -> None:
    """Guards against a crash counted by a lost owner for an executor that was only disconnected."""
    core = core_with(step(2))
    first, _ = core.jobs[JOB].runs[0].tasks()
    first.next_run = 3
    first.failed = Failures(frozenset([FailedRun(1, "e7")]))
    core.set_crash_history(first, CrashHistory(2, 5, identified_crashes=(CRASHED, DISCONNECTED)))
    next_owner = next_owner_from(recorded_progress(core))
    first, _ = next_owner.jobs[JOB].runs[0].tasks()
    assert first.crash_history and first.crash_history.identified_crashes == (CRASHED, DISCONNECTED)
    add_executor(next_owner, DISCONNECTED.incarnation)
    assert first.crash_history == CrashHistory(1, 2, version=1)
    assert first.failed.identified_runs == {FailedRun(1, "e7")}


def test_an_incarnation_counts_one_crash_over_owners_and_delegations() -> None:
    """Guards against one crash that every owner and hall that learns of it counts again."""
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    second.managed_by, second.delegation_number = 1, 4
    core.set_crash_history(second, CrashHistory(2, 5, identified_crashes=(CRASHED, DISCONNECTED)))
    assert second.name.index == 1 and first.crash_history is None
    next_owner = next_owner_from(recorded_progress(core))
    _, second = next_owner.jobs[JOB].runs[0].tasks()
    read = decode(*encode(Delegated(JOB, 1, (last_delegation_of(second, 10.0),))))
    assert isinstance(read, Delegated)
    delegated = delegated_crash_history(read.delegations[0])
    assert delegated == CrashHistory(2, 5)
    assert add_crash(delegated, DISCONNECTED, 7) == CrashHistory(2, 5)
    assert add_crash(delegated, Crash("e7", 5, 2), 7) == CrashHistory(3, 7, 7)


def test_unconfirmed_crashes_stay_unconfirmed_over_owners_and_delegations() -> None:
    """Guards against a task that one owner keeps and the next owner or another hall gives up."""
    unconfirmed = CRASHED._replace(confirmed=False)
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run, second.managed_by, second.delegation_number = 6, 1, 2
    for task in (first, second):
        core.set_crash_history(
            task, CrashHistory(4, 7, identified_crashes=(unconfirmed, DISCONNECTED))
        )
    next_owner = next_owner_from(recorded_progress(core))
    assert next_owner.finished == []
    _, second = next_owner.jobs[JOB].runs[0].tasks()
    read = decode(*encode(Delegated(JOB, 1, (last_delegation_of(second, 10.0),))))
    assert isinstance(read, Delegated)
    delegated = delegated_crash_history(read.delegations[0])
    assert delegated and not delegated.should_give_up
    assert delegated.at_crash_limit


def test_an_earlier_version_skips_the_identified_crashes() -> None:
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run, second.managed_by, second.delegation_number = 4, 1, 2
    for task in (first, second):
        core.set_crash_history(task, CrashHistory(2, 5, identified_crashes=(CRASHED,)))
    ((first_row, second_row),) = json.loads(recorded_progress(core))
    assert (first_row[5:7], second_row[3:5]) == ([2, 5], [2, 5])
    assert first_row[7] == [], "earlier versions read an empty list of failed runs"
