"""Tests of which standing tasks a record that may be durable names no attempt."""

from __future__ import annotations

from linkspan.shard.recovery._recorded_attempts import note_durable, note_encoded
from tests.job_builders import step
from tests.shard.builders import core_with, plan
from tests.shard.crash_builders import only_task


# Guards against starts without a record of tasks that a next owner starts at once (TWICE).
def test_a_later_record_without_an_attempt_outlasts_an_earlier_one_with_it() -> None:
    core = core_with(step(1, standing=True))
    assert plan(core, 0.1)
    task = only_task(core)
    assert task.idle_in_record, "no record names an attempt yet"
    named = note_encoded(task.step.run)
    assert task.idle_in_record, "the record is not durable yet"
    note_durable(named)
    assert not task.idle_in_record
    named = note_encoded(task.step.run)
    task.attempts.clear()
    note_encoded(task.step.run)
    note_durable(named)
    assert task.idle_in_record, "the later record may be durable"
