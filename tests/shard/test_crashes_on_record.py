"""The crashes under a task, as the next owner reads them, of this version or another."""

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
from tests.shard.builders import JOB, add_executor, core_with, submitted


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
    core.set_crash_history(first, CrashHistory(3, 6, version=9))
    second.managed_by, second.delegation_number = 1, 4
    core.set_crash_history(second, CrashHistory(1, 4))
    heir = read_by_next_owner(record(core))
    first, second = heir.jobs[JOB].runs[0].tasks()
    assert first.crash_history == CrashHistory(3, 6), "and what is on record is known to be"
    assert second.crash_history == CrashHistory(1, 4)
    assert set(heir.tasks_with_crash_history) == {first, second}
    assert first.crash_history_durable


def test_a_task_that_was_convicted_fails_its_job_at_the_next_owner() -> None:
    """Its owner was lost between the crash and the end of the job."""
    core = core_with(step(2))
    (first, _) = core.jobs[JOB].runs[0].tasks()
    first.next_run = 3
    core.set_crash_history(first, CrashHistory(2, 8))
    heir = read_by_next_owner(record(core))
    assert [(f.job_id, f.state) for f in heir.finished] == [(JOB, JobState.FAILED)]


def test_an_earlier_version_reads_the_fields_that_it_knows() -> None:
    """It takes five fields of a row, or three of a lent one, and passes over the rest."""
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run, second.managed_by, second.delegation_number = 4, 1, 2
    plain = json.loads(record(core))
    core.set_crash_history(first, CrashHistory(2, 5))
    core.set_crash_history(second, CrashHistory(1, 4))
    ((one, other),) = json.loads(record(core))
    assert [one[:5], other[:3]] == plain[0]
    assert (one[5:], other[3:]) == ([2, 5], [1, 4])


@pytest.mark.parametrize("rows", [[[3, 0, "", [], 0], 0], [[3, 0, "", [], 0, 1], [-2, 1, 5]]])
def test_a_record_without_the_count_says_nothing_against_a_task(rows: list[object]) -> None:
    core = core_with(step(2))
    run = core.jobs[JOB].runs[0]
    restore_run(run, json.dumps([rows]).encode(), 0.0)
    assert [task.crash_history for task in run.tasks()] == [None, None]


CUT_OFF = Crash("e9@1700000000009", 2, 3)
FELL = Crash("e8", 1, 2)


def test_the_next_owner_takes_back_a_crash_that_its_former_one_counted() -> None:
    """Guards against a count that outlasts its owner, of an executor that was only cut off."""
    core = core_with(step(2))
    first, _ = core.jobs[JOB].runs[0].tasks()
    first.next_run = 3
    first.failed = Failures(frozenset([FailedRun(1, "e7")]))
    core.set_crash_history(first, CrashHistory(2, 5, identified_crashes=(FELL, CUT_OFF)))
    heir = read_by_next_owner(record(core))
    first, _ = heir.jobs[JOB].runs[0].tasks()
    assert first.crash_history and first.crash_history.identified_crashes == (FELL, CUT_OFF)
    add_executor(heir, CUT_OFF.incarnation)
    assert first.crash_history == CrashHistory(1, 2, version=1)
    assert first.failed.identified_runs == {FailedRun(1, "e7")}


def test_a_life_counts_once_over_owners_and_loans() -> None:
    """Guards against one crash that is counted by each who hears of it."""
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    second.managed_by, second.delegation_number = 1, 4
    core.set_crash_history(second, CrashHistory(2, 5, identified_crashes=(FELL, CUT_OFF)))
    assert second.name.index == 1 and first.crash_history is None
    heir = read_by_next_owner(record(core))
    _, second = heir.jobs[JOB].runs[0].tasks()
    read = decode(*encode(Delegated(JOB, 1, (last_delegation_of(second),))))
    assert isinstance(read, Delegated)
    lent = delegated_crash_history(read.delegations[0])
    assert lent == CrashHistory(2, 5)
    assert add_crash(lent, CUT_OFF, 7) == CrashHistory(2, 5)
    assert add_crash(lent, Crash("e7", 5, 2), 7) == CrashHistory(3, 7, 7)


def test_the_next_owner_knows_which_run_nobody_knows_to_have_been_there() -> None:
    """Guards against a task that one owner spared and the next, or a borrower, gives up."""
    doubted = FELL._replace(confirmed=False)
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run, second.managed_by, second.delegation_number = 6, 1, 2
    for task in (first, second):
        core.set_crash_history(task, CrashHistory(4, 7, identified_crashes=(doubted, CUT_OFF)))
    heir = read_by_next_owner(record(core))
    assert heir.finished == []
    _, second = heir.jobs[JOB].runs[0].tasks()
    read = decode(*encode(Delegated(JOB, 1, (last_delegation_of(second),))))
    assert isinstance(read, Delegated)
    lent = delegated_crash_history(read.delegations[0])
    assert lent and not lent.should_give_up
    assert lent.at_crash_limit


def test_an_earlier_version_passes_over_the_names_of_crashes() -> None:
    core = core_with(step(2))
    first, second = core.jobs[JOB].runs[0].tasks()
    first.next_run, second.managed_by, second.delegation_number = 4, 1, 2
    for task in (first, second):
        core.set_crash_history(task, CrashHistory(2, 5, identified_crashes=(FELL,)))
    ((one, other),) = json.loads(record(core))
    assert (one[5:7], other[3:5]) == ([2, 5], [2, 5])
    assert one[7] == [], "no failed runs, as versions before read them"
