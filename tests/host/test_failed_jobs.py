"""The checker of scenarios reports jobs that fail without cause, and only these."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Finished, JobState
from linkspan.jobs.spec import JobSpec, StepSpec
from linkspan.shard.messages import EndedTask, EndKind, StartOrder, TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual

GANG = step(2, gang=True)


def write_final_state(world: HallWorld, spec: JobSpec, state: JobState = JobState.FAILED) -> None:
    """Write the record of a job's final state as its owner does."""
    record = Finished(spec.job_id, state, 0, 0.0, spec.queue)
    world.store.put(JOBS, *encode(record))


def new_job(world: HallWorld, *steps: StepSpec) -> JobSpec:
    spec = world.new_job(*steps)
    world.specs[spec.job_id] = spec
    return spec


def end(
    executor: MemoryExecutor, spec: JobSpec, run: int, index: int = 0, kind: EndKind | None = None
) -> EndedTask:
    """Make an executor report the end of a run, by default a failed one."""
    task, kind = TaskName(spec.job_id, 0, 0, index), kind or EndKind.FAILED
    ended = EndedTask(run, task, run, kind, "")
    executor.world.judge_end(executor, task, run, kind)
    executor.world.judge_listed(executor, [ended])
    return ended


async def world_and_executors() -> tuple[HallWorld, list[MemoryExecutor]]:
    world = HallWorld()
    await world.begin()
    return world, list(world.executors.values())


@pytest.mark.parametrize("failed_ends", [0, 1, 2, 3])
def test_failed_ends_are_a_cause_once_the_queue_allows_no_more(
    failed_ends: int,
) -> None:
    async def play() -> HallWorld:
        world, (executor, *_) = await world_and_executors()
        spec = new_job(world, step())
        for run in range(1, failed_ends + 1):
            end(executor, spec, run)
            end(executor, spec, run)
        write_final_state(world, spec)
        return world

    violations = ["LOST" for line in run_virtual(play()).problems if "without cause" in line]
    assert violations == ["LOST"] * (failed_ends < 3)


def test_ends_of_several_tasks_and_other_ends_are_no_cause() -> None:
    async def play() -> HallWorld:
        world, (executor, *_) = await world_and_executors()
        spec = new_job(world, step(9))
        for index in range(9):
            end(executor, spec, 1, index)
            end(executor, spec, 2, index)
            for run, kind in enumerate((EndKind.LAPSED, EndKind.STOPPED, EndKind.ALONE), 3):
                end(executor, spec, run, index, kind)
        write_final_state(world, spec)
        return world

    (line,) = run_virtual(play()).problems
    assert "without cause" in line


def test_a_cause_after_the_final_record_does_not_count() -> None:
    async def play() -> HallWorld:
        world, (executor, *_) = await world_and_executors()
        spec = new_job(world, step())
        end(executor, spec, 1)
        end(executor, spec, 2)
        write_final_state(world, spec)
        end(executor, spec, 3)
        return world

    (line,) = run_virtual(play()).problems
    assert "without cause" in line


@pytest.mark.parametrize("runs", [2, 3])
def test_a_gang_fails_once_a_run_however_many_members_do(runs: int) -> None:
    async def play() -> HallWorld:
        world, (first, second, *_) = await world_and_executors()
        spec = new_job(world, GANG)
        for run in range(1, runs + 1):
            end(first, spec, run, 0)
            end(second, spec, run, 1)
        write_final_state(world, spec)
        return world

    assert len(run_virtual(play()).problems) == (runs < 3)


@pytest.mark.parametrize("fallen", [1, 2])
def test_two_crashes_under_one_task_are_a_cause(fallen: int) -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(1, estimate_s=100.0))
        assert await world.submit("east-host-0", spec) == 200
        for _ in range(fallen):
            await asyncio.sleep(8.0)
            (address,) = (a for a, e in world.executors.items() if e.running)
            world.crash_executor(address)
        write_final_state(world, spec)
        return world

    assert len(run_virtual(play()).problems) == (fallen < 2)


def test_a_state_shown_to_a_caller_is_checked_like_a_record() -> None:
    async def play() -> HallWorld:
        world, _ = await world_and_executors()
        spec = new_job(world, step())
        world.judge_failed(spec.job_id, "at east-host-0")
        return world

    (line,) = run_virtual(play()).problems
    assert "without cause" in line


def test_other_final_states_need_no_cause() -> None:
    async def play() -> HallWorld:
        world, (executor, *_) = await world_and_executors()
        for state in (JobState.SUCCEEDED, JobState.CANCELLED):
            spec = new_job(world, step())
            end(executor, spec, 1, kind=EndKind.DONE)
            write_final_state(world, spec, state)
        return world

    assert run_virtual(play()).problems == []


def start(executor: MemoryExecutor, spec: JobSpec, run: int, index: int = 0) -> None:
    task = TaskName(spec.job_id, 0, 0, index)
    executor.world.judge_start(executor, StartOrder("", task, run, spec.payload, ""))


async def broken_rules(
    steps: StepSpec, *, runs: int = 3, noted_first: bool, lease_expired: bool = False
) -> list[str]:
    """Return the violations if all tasks of a job fail in some runs and one is started again."""
    world, executors = await world_and_executors()
    spec = new_job(world, steps)
    ended = [
        (executor, end(executor, spec, run, index))
        for run in range(1, runs + 1)
        for index, executor in enumerate(executors[: steps.count])
    ]
    for executor, failed in ended if noted_first else ():
        world.judge_acknowledged(executor, failed)
    await asyncio.sleep(0.1)
    start(executors[0], spec, runs + 1)
    if lease_expired:
        for executor in executors:
            executor.lease_expired_at = executor.now
    for executor, failed in () if noted_first else ended:
        world.judge_acknowledged(executor, failed)
    return [line.split()[1] for line in world.problems]


@pytest.mark.parametrize("steps", [step(), GANG])
@pytest.mark.parametrize("noted_first", [False, True])
def test_a_start_after_the_maximum_number_of_failed_runs_is_a_violation(
    steps: StepSpec, noted_first: bool
) -> None:
    """The owner may acknowledge the ends before the start or after it."""
    assert run_virtual(broken_rules(steps, noted_first=noted_first)) == ["BUDGET"]
    assert run_virtual(broken_rules(steps, noted_first=noted_first, runs=2)) == []


def test_failed_runs_of_different_members_count_for_the_gang() -> None:
    """One member fails in two runs, another one in the third."""

    async def play() -> list[str]:
        world, (first, second, *_) = await world_and_executors()
        spec = new_job(world, GANG)
        ended = [(first, end(first, spec, run)) for run in (1, 2)]
        ended.append((second, end(second, spec, 3, 1)))
        for executor, failed in ended:
            world.judge_acknowledged(executor, failed)
        start(first, spec, 4)
        return [line.split()[1] for line in world.problems]

    assert run_virtual(play()) == ["BUDGET"]


def test_an_expired_lease_permits_a_start_only_before_the_acknowledgement() -> None:
    assert run_virtual(broken_rules(step(), noted_first=False, lease_expired=True)) == []
    assert run_virtual(broken_rules(step(), noted_first=True, lease_expired=True)) == ["BUDGET"]
