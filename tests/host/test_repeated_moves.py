"""A straggler is moved twice at most, and judged by the measured durations of similar tasks.

The failure, in a random day with owners lost: a job that never ended. Its last task was stopped
1.1 s after each start, "runs far longer than its like", and started again on the hall's other
executor, 80 times in the remaining minute and a half, though it took 2 s as similar tasks did.

The limit on such moves was the number of executors that the task avoids. A task that avoids all
executors may use them again, which reset the limit. In addition, similar tasks seemed short: an
owner that recovers a run measured its duration from the takeover on.
"""

from __future__ import annotations

import asyncio

from linkspan.events import Event
from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport, RunningTask, TaskName
from tests.hall_world import HallWorld
from tests.host.crashing_day import states, submit
from tests.job_builders import step
from tests.shard.builders import JOB, confirm_start, core_with, plan, report_ends
from tests.virtual_time import run_virtual

MAX_MOVES = 2
"""How often a task may be moved because it takes long: each move loses its work so far."""


def test_a_straggler_is_moved_twice_at_most_in_a_hall_of_two() -> None:
    moved = []

    def log(event: Event, **fields: object) -> None:
        if event is Event.RUN_MOVED:
            moved.append(fields)

    core = core_with(step(1, estimate_s=30.0), executors=2, log=log)
    (task,) = core.jobs[JOB].runs[0].tasks()
    task.step.durations += [0.2, 0.2, 0.2]
    now = 1.0
    while now < 60.0:
        for order in plan(core, now):
            confirm_start(core, order, now)
        for attempt in list(task.attempts):
            if attempt.stop_sent_at > 0:
                core.close_attempt(attempt, now)
        now += 0.1
    assert len(moved) == MAX_MOVES


def test_the_duration_of_a_recovered_run_is_unknown() -> None:
    """The executor reports the run to a new owner, but not when the run started."""
    core = core_with(step(1), executors=1)
    name = TaskName(JOB, 0, 0, 0)
    row = RunningTask(name, 1, "", 50, None)
    core.on_report("e0", ExecutorReport(5.0, (row,), ()), asked=5.0, now=5.0)
    (attempt,) = core.find_task(name).attempts  # type: ignore[union-attr]
    assert attempt.recovered
    report_ends(core, "e0", EndedTask(1, name, 1, EndKind.DONE, ""), asked=5.2, now=5.2)
    assert attempt.task.done
    assert attempt.task.step.durations == []


def test_recovered_runs_make_no_straggler_of_the_next() -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=2, hosts_per_hall=3)
        await world.begin()
        spec = await submit(world, step(12, cpu=2_000, estimate_s=6.0))
        await asyncio.sleep(4.6)
        owner = world.owner()
        assert owner
        world.kill_host(owner)
        await asyncio.sleep(40.0)
        assert await states(world, [spec]) == ["succeeded"]
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert world.log.named("RUN_MOVED") == []
