"""A standing task that counts as running although it does not is started again in time.

Its owner hears of the end late or never: the executor answers nothing, lists only a part of its
ends, has just answered a start that it does not list, or answers late with the report of a former
incarnation.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from linkspan.shard.messages import TaskName
from tests.hall_executors import HEARTBEAT_S
from tests.host.believed_runs import MAX_LISTED_ENDS, BelievedRunsWorld
from tests.host.owner_waits import until
from tests.job_builders import MAX_AWAY_S, step
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual, world_time

LIMIT_S = 60.0
"""Time after which a task that does not run again counts as lost for good."""

RUNNING_S = 4.0
"""Time after a submission by which the task runs and reports list it."""

ANSWERED_S = 0.002
"""Time after which an executor has answered a start."""

Ending = Callable[[BelievedRunsWorld, MemoryExecutor, TaskName], None]


async def _begin(**fields: bool) -> tuple[BelievedRunsWorld, TaskName]:
    """Return a world, and the name of a standing task that is not submitted yet."""
    world = BelievedRunsWorld(**fields)
    await world.begin()
    spec = world.new_job(step(1, standing=True, cpu=500))
    world.specs[spec.job_id] = spec
    return world, TaskName(spec.job_id, 0, 0, 0)


async def _begin_running(**fields: bool) -> tuple[BelievedRunsWorld, TaskName, MemoryExecutor]:
    """Return a world, a running standing task and its executor."""
    world, task = await _begin(**fields)
    await world.submit("east-host-0", world.specs[task.job_id])
    await asyncio.sleep(RUNNING_S)
    return world, task, next(e for e in world.executors.values() if task in e.running)


def _runs(world: BelievedRunsWorld, task: TaskName) -> bool:
    return any(e.alive and task in e.running for e in world.executors.values())


async def _check_back(world: BelievedRunsWorld, task: TaskName, since: float) -> None:
    """Check that a task runs again within the bound, counted from a time."""
    await until(lambda: _runs(world, task), limit_s=LIMIT_S)
    assert world_time() - since <= MAX_AWAY_S
    assert world.problems == []


@pytest.mark.parametrize("all_executors", (False, True))
@pytest.mark.parametrize("mute_s", (3.0, 6.0))
def test_a_task_that_fails_at_mute_executors(mute_s: float, all_executors: bool) -> None:
    """Guards against LOST: an owner that waits for long after the answers are back."""

    async def play() -> None:
        world, task, executor = await _begin_running()
        world.mute = set(world.executors) if all_executors else {executor.record.address}
        executor.fail(task)
        failed = world_time()
        asyncio.get_running_loop().call_later(mute_s, world.mute.clear)
        await _check_back(world, task, failed)

    run_virtual(play())


def test_a_task_that_fails_at_an_executor_that_stays_mute() -> None:
    """Guards against LOST: without an answer the run counts until its leases expire."""

    async def play() -> None:
        world, task, executor = await _begin_running()
        world.mute = {executor.record.address}
        executor.fail(task)
        await _check_back(world, task, world_time())

    run_virtual(play())


@pytest.mark.parametrize("lists_machines", (False, True))
@pytest.mark.parametrize("clock_s", (0.0, 1e5, None))
@pytest.mark.parametrize("down_s", (0.01, 0.5))
def test_answers_of_a_former_incarnation_that_come_late(
    down_s: float, clock_s: float | None, lists_machines: bool
) -> None:
    """Guards against LOST: a run counts as running by a report from before a restart."""

    async def play() -> None:
        world, task, executor = await _begin_running(lists_machines=lists_machines)
        address = executor.record.address
        world.answer_delay_s = {address: 0.9}
        await asyncio.sleep(2.0)
        world.restart_executor(address, down_s=down_s, clock_s=clock_s)
        asyncio.get_running_loop().call_later(3.0, world.answer_delay_s.clear)
        await _check_back(world, task, world_time())

    run_virtual(play())


def test_a_task_whose_end_a_partial_report_omits() -> None:
    """Guards against LOST: an executor lists 500 ends, and none of the later ones."""

    async def play() -> None:
        world, task, executor = await _begin_running()
        address = executor.record.address
        for other in set(world.executors) - {address}:
            world.crash_executor(other, back=False)
        world.resize(address, world.milli_cpu, 100_000)
        await asyncio.sleep(HEARTBEAT_S)
        short = world.new_job(step(MAX_LISTED_ENDS + 50, cpu=10, estimate_s=3.0))
        await world.submit("east-host-0", short)
        await asyncio.sleep(2.0)
        world.mute = {address}
        await asyncio.sleep(3.0)
        executor.fail(task)
        assert len(executor.ended) > MAX_LISTED_ENDS
        world.mute = set()
        await _check_back(world, task, world_time())

    run_virtual(play())


def _vanish(_world: BelievedRunsWorld, executor: MemoryExecutor, task: TaskName) -> None:
    executor.running.pop(task, None)


def _restart(world: BelievedRunsWorld, executor: MemoryExecutor, _task: TaskName) -> None:
    world.restart_executor(executor.record.address, down_s=0.01)


def _end(world: BelievedRunsWorld, executor: MemoryExecutor, _task: TaskName) -> None:
    world.crash_executor(executor.record.address, back=False)


async def _check_unlisted(ending: Ending, *, times: int, lists_machines: bool = True) -> None:
    """Check a task whose first runs end right after the answers to their starts."""
    world, task = await _begin(lists_machines=lists_machines)
    starts = 0

    def after_start(executor: MemoryExecutor, started: TaskName) -> None:
        nonlocal starts
        starts += 1
        if started == task and starts <= times:
            loop = asyncio.get_running_loop()
            loop.call_later(ANSWERED_S, ending, world, executor, task)

    world.after_start = after_start
    await world.submit("east-host-0", world.specs[task.job_id])
    submitted = world_time()
    await until(lambda: starts > 0 and not _runs(world, task), limit_s=LIMIT_S)
    await _check_back(world, task, submitted)


@pytest.mark.parametrize("ending", (_vanish, _restart, _end))
@pytest.mark.parametrize("times", (1, 2))
def test_a_task_whose_start_was_answered_and_that_no_report_lists(
    ending: Ending, times: int
) -> None:
    """Guards against LOST: the answer to a start is the only sign of the run."""
    run_virtual(_check_unlisted(ending, times=times))


def test_a_task_whose_executor_ends_after_its_answer_where_no_machines_are_listed() -> None:
    """Guards against LOST: only the end of the leases tells that the run has ended."""
    run_virtual(_check_unlisted(_end, times=1, lists_machines=False))
