"""The checker of scenarios reports jobs shown as succeeded too early, and only these."""

from __future__ import annotations

import pytest

from linkspan.jobs.records import JobState
from linkspan.jobs.spec import JobSpec, StepSpec
from linkspan.shard.messages import EndKind
from tests.hall_world import HallWorld
from tests.host.test_failed_jobs import end, new_job, world_and_executors, write_final_state
from tests.job_builders import step
from tests.virtual_time import run_virtual


def _problems(spec: StepSpec, *, done: int, kind: EndKind = EndKind.DONE) -> list[str]:
    """Return the violations if a job succeeds after some of its tasks have ended, others later."""

    async def play() -> HallWorld:
        world, (executor, *_) = await world_and_executors()
        job = new_job(world, spec)
        for index in range(done):
            end(executor, job, 1, index, kind)
        write_final_state(world, job, JobState.SUCCEEDED)
        for index in range(done, spec.count):
            end(executor, job, 1, index, EndKind.DONE)
        return world

    return [line.split()[0] for line in run_virtual(play()).problems]


@pytest.mark.parametrize("done", [0, 1, 2])
def test_a_job_succeeds_once_each_of_its_tasks_has_ended_as_done(done: int) -> None:
    """Guards against a judge that misses a state as the missing ends follow later."""
    assert _problems(step(2), done=done) == ["MIXED"] * (done < 2)


@pytest.mark.parametrize("kind", [EndKind.FAILED, EndKind.STOPPED, EndKind.LAPSED])
def test_other_ends_do_not_count(kind: EndKind) -> None:
    """Guards against a judge that takes each end for a success."""
    assert _problems(step(1), done=1, kind=kind) == ["MIXED"]


def test_one_end_of_a_member_stands_for_its_gang() -> None:
    """Guards against a judge that waits for the ends of all members."""
    assert _problems(step(2, gang=True), done=1) == []


def test_a_state_shown_to_a_caller_is_checked_like_a_record() -> None:
    """Guards against a state that hosts show and no record holds."""

    async def play() -> HallWorld:
        world, _ = await world_and_executors()
        world.judge_succeeded(new_job(world, step()).job_id, "at east-host-0")
        return world

    (line,) = run_virtual(play()).problems
    assert "MIXED" in line


def test_a_job_that_nobody_submitted_is_reported() -> None:
    """Guards against jobs that hosts show and no caller has sent."""

    async def play() -> HallWorld:
        world, _ = await world_and_executors()
        write_final_state(
            world, JobSpec("00000000000000ff", "q", "", (step(),)), JobState.SUCCEEDED
        )
        return world

    (line,) = run_virtual(play()).problems
    assert "nobody submitted" in line
