"""Faults that a review found in what owners state about starts of standing tasks."""

from __future__ import annotations

from linkspan.shard.core import ShardCore
from linkspan.shard.recovery._recorded_starts import RecordedStarts
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan


def _written(core: ShardCore) -> ShardCore:
    """Return a core all of whose changes have been written."""
    for run in core.dirty.values():
        run.durable = run.version
    core.dirty.clear()
    return core


def test_a_gang_that_waits_for_room_does_not_keep_an_owner_from_its_statement() -> None:
    """Guards against next owners that wait for silent executors because a gang finds no room."""
    core = core_with(step(2, gang=True, cpu=5_000), executors=1)
    assert not plan(core, 1.0)
    starts = RecordedStarts(_written(core), known=False)
    starts.tick(2.0)
    assert starts.known


def test_a_job_that_moves_to_another_hall_does_not_keep_an_owner_from_its_statement() -> None:
    """Guards against the same where a changed job moves before its change is written."""
    core = core_with(step(1, standing=True), executors=0)
    (run,) = core.jobs[JOB].runs.values()
    core.mark_dirty(run, urgent=False)
    starts = RecordedStarts(core, known=False)
    starts.tick(1.0)
    core.remove_moved(JOB)
    _written(core)
    starts.tick(2.0)
    assert starts.known
