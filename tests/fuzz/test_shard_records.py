"""Checks that each record of ownership or progress is decoded as valid or skipped."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.errors import RecordError
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec, StepSpec
from linkspan.shard.job_run import JobRun, new_run
from linkspan.shard.ownership.owner_record import OwnerRecord
from linkspan.shard.recovery.progress import decode_roster, moved_to, parse_key, restore_run
from linkspan.shard.shard_job import ShardJob
from tests.fuzz import builders
from tests.fuzz.builders import EXAMPLES, check, damaged_bytes


def progress_run() -> JobRun:
    spec = JobSpec("0a", "q", "", (StepSpec(2), StepSpec(1)))
    return new_run(ShardJob(Submitted(spec, 0, 0.0, "h")), 0)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.OWNER))
def test_an_ownership_record_is_decoded_or_passed_over(value: bytes) -> None:
    check(OwnerRecord.decode, value, RecordError)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.ROSTER))
def test_a_roster_is_decoded_or_passed_over(value: bytes) -> None:
    check(decode_roster, value, RecordError)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.PROGRESS))
def test_progress_is_restored_or_passed_over(value: bytes) -> None:
    run = progress_run()
    try:
        restore_run(run, value, 1.0)
    except RecordError:
        return
    for task in run.tasks():
        assert type(task.next_run) is int and task.next_run >= 1
        assert type(task.failures) is int and task.failures >= 0
        for failed in task.failed.identified_runs:
            assert type(failed.run) is int and isinstance(failed.incarnation, str)
        assert type(task.delegation_number) is int and isinstance(task.checkpoint, str)
        assert task.managed_by is None or (type(task.managed_by) is int and task.managed_by >= 0)
        for attempt in task.attempts:
            assert type(attempt.run) is int and isinstance(attempt.executor_id, str)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes({"moved": 1}))
def test_a_move_is_decoded_or_passed_over(value: bytes) -> None:
    try:
        shard = moved_to(value)
    except RecordError:
        return
    assert shard is None or (type(shard) is int and shard >= 0)


@settings(max_examples=EXAMPLES)
@given(st.binary(max_size=12) | st.sampled_from([b"a.\xc2\xb2", "a.²".encode(), b"a.-1", b"."]))
def test_a_progress_key_is_decoded_or_passed_over(key: bytes) -> None:
    try:
        assert parse_key(key).repetition >= 0
    except RecordError:
        return
