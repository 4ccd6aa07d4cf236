"""Records stay small enough for the store where an owner can't read a former owner's record."""

from __future__ import annotations

import pytest

from linkspan.errors import RecordError
from linkspan.jobs.spec import MAX_TASKS
from linkspan.shard.recovery.progress import encode_run
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, submitted_job
from tests.shard.crash_builders import core_of_shard

MAX_RECORD_BYTES = 262_144
"""Largest record that the store takes; the writer sends a larger one again without end."""


def test_a_large_job_is_recorded_after_an_unreadable_roster() -> None:
    """Guards against a hall whose records are not written any more: no standing task starts."""
    core = core_with(step(MAX_TASKS, cpu=20), executors=0)
    core.unrecorded_starts.distrust([JOB])
    core.mark_dirty(core.jobs[JOB].runs[0])
    assert len(encode_run(core.jobs[JOB].runs[0])) <= MAX_RECORD_BYTES


def test_a_large_job_is_recorded_after_an_unreadable_record() -> None:
    """Guards against the same where the job's own record could not be read."""
    core = core_of_shard(0)
    with pytest.raises(RecordError):
        core.add_job(
            submitted_job(step(MAX_TASKS, cpu=20)), 0.0, inherited=True, progress={0: b"?"}
        )
    assert len(encode_run(core.jobs[JOB].runs[0])) <= MAX_RECORD_BYTES
