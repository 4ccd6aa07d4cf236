"""The check that halls and executors agree on the runs of standing tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from linkspan.shard.messages import StartOrder, TaskName
from tests.accepted_jobs import accept_in
from tests.believed_tasks import MAX_DIFFERENCE_S, BelievedTasks
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.managed_tasks import CHECK_INTERVAL_S, ManagedTasks
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual, world_time

Change = Callable[[MemoryExecutor, TaskName], object]


async def _violations(change: Change, *, excused: bool = False) -> list[str]:
    """Return what is found where a run changes at an executor that no host can hear."""
    world = HallWorld(executors_per_hall=1)
    await world.begin()
    spec = world.new_job(step(1, standing=True))
    accept_in(world, spec)
    await asyncio.sleep(3.0)
    (executor,) = world.executors.values()
    (task,) = executor.running
    for name, _ in world.host_names():
        world.cut(name, "east")
    change(executor, task)
    ids = frozenset([spec.job_id] if excused else ())
    believed = BelievedTasks(world, ManagedTasks(world), lambda: ids)
    until = world_time() + MAX_DIFFERENCE_S + 1.0
    while world_time() < until:
        believed.check()
        await asyncio.sleep(CHECK_INTERVAL_S)
    assert believed.checked
    return world.violations


def _lose(executor: MemoryExecutor, task: TaskName) -> None:
    executor.running.pop(task)


def _add(executor: MemoryExecutor, task: TaskName) -> None:
    """Start another run of the same job, by an order that the owner does not know."""
    name = executor.record.executor_id
    order = StartOrder(name, task._replace(index=1), 1, executor.running[task].payload, "")
    executor.start(order, executor.until, executor.token)


def test_a_run_that_is_believed_in_and_not_there_is_reported_once() -> None:
    """Guards against a task that counts as running for ever, so that no line tells of it."""
    (line,) = run_virtual(_violations(_lose))
    assert "BELIEVED" in line
    assert "is believed in, and not there" in line


def test_a_run_that_no_hall_knows_is_reported_once() -> None:
    """Guards against a run that stays after its task has started elsewhere."""
    (line,) = run_virtual(_violations(_add))
    assert "is there, and no hall knows it" in line


def test_runs_that_both_know_and_those_of_excused_jobs_are_not_reported() -> None:
    """Guards against reports of sound runs, and of cancelled jobs that are being stopped."""
    assert run_virtual(_violations(lambda _executor, _task: None)) == []
    assert run_virtual(_violations(_add, excused=True)) == []
