"""Tests how an owner handles executor crashes and counts them against the tasks running there."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from linkspan.events import Event
from linkspan.jobs.crash import Crash
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory, add_crash
from linkspan.shard.messages import ExecutorReport
from linkspan.shard.planning._isolation import MAX_AT_LIMIT_WAIT_S
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from linkspan.shard.task import Task
from tests.hall_world import HallWorld
from tests.host.crashing_day import crashing_world, states, submit
from tests.job_builders import step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    place_running,
    plan,
    report_ends,
)
from tests.virtual_time import run_virtual


def test_the_log_line_on_a_crash_lists_the_tasks_that_were_running() -> None:
    """Runs started last come first: a task that crashes its executor does so soon."""
    lines: list[dict[str, Any]] = []

    def log(event: Event, **fields: Any) -> None:
        if event is Event.EXECUTOR_CRASHED:
            lines.append(fields)

    core = core_with(step(1), step(1), executors=1, log=log)
    first, second = plan(core, 1.0)
    confirm_start(core, first, 1.2)
    core.on_silent("e0", 3.0)
    core.on_incarnation_ended("e0", 4.0, "machine service no longer lists it")
    (line,) = lines
    assert line["fell_s"] == 1.0
    assert line["tasks"] == {
        f"{JOB}.0.0.0/1": [1.8, 0, 0],
        f"{JOB}.0.1.0/1": [2.0, 0, 0],
    }
    assert second.run == 1


def test_a_drained_executor_that_leaves_has_not_crashed() -> None:
    lines: list[Event] = []
    core = core_with(step(1), executors=1, log=lambda event, **_fields: lines.append(event))
    plan(core, 1.0)
    drained = core.executors["e0"].record
    object.__setattr__(drained, "draining", True)
    core.on_incarnation_ended("e0", 4.0, "another incarnation answers")
    assert Event.EXECUTOR_GONE in lines
    assert Event.EXECUTOR_CRASHED not in lines


def test_a_start_refused_by_the_next_incarnation_counts_as_no_crash() -> None:
    """Guards against a crash counted for a start that arrived after the crash."""

    async def play() -> HallWorld:
        world = await crashing_world(resets=False, lists_machines=False, executors_per_hall=1)
        world.crash_executor("east-0:1")
        spec = await submit(world, step(estimate_s=1.0))
        await asyncio.sleep(10.0)
        assert await states(world, [spec]) == ["succeeded"]
        return world

    assert run_virtual(play()).log.named("EXECUTOR_CRASHED") == []


def test_a_start_whose_connection_is_refused_was_never_sent() -> None:
    """Nothing listens after a crash, so the task may start elsewhere at once."""

    async def play() -> HallWorld:
        world = await crashing_world(executors_per_hall=2)
        world.executors["east-0:1"].alive = False
        spec = await submit(world, step(estimate_s=1.0))
        await asyncio.sleep(10.0)
        assert await states(world, [spec]) == ["succeeded"]
        return world

    world = run_virtual(play())
    assert world.log.named("START_IN_DOUBT") == []
    assert world.log.named("EXECUTOR_CRASHED") == []


def test_isolated_tasks_that_waited_long_still_start_apart() -> None:
    """An isolated task past its wait goes to an executor that runs no other isolated task."""
    core = core_with(step(2), executors=2)
    place_running(core, core.executors["e1"], cpu=6_000)
    for task in core.jobs[JOB].runs[0].tasks():
        core.set_crash_history(task, CrashHistory(1, 4))
    (tried,) = plan(core, 1.0)
    assert tried.executor_id == "e0", "the executor with the least work to lose"
    (second,) = plan(core, 3.5)
    assert second.executor_id == "e1"


def test_an_isolated_task_that_failed_on_all_executors_is_started_again() -> None:
    """Guards against an endless wait: a task avoids executors that it failed on only for a time."""
    core = core_with(step(1), executors=2)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(task, CrashHistory(1, 4))
    task.avoided_executors |= {"e0", "e1"}
    assert plan(core, 3.5)


def test_ambiguous_crashes_give_no_task_up_before_the_crash_limit() -> None:
    """With two tasks running at each crash, one is innocent and is tried in isolation once more."""
    history = None
    for run, points in enumerate((3, 3, 2)):
        history = add_crash(history, Crash(f"e{run}", run, points), 0)
        assert not history.should_give_up
    last = Crash("e3", 3, 2)
    assert add_crash(history, last, 0).should_give_up, (
        "four crashes are the limit, whatever their points"
    )
    assert add_crash(CrashHistory(2, 6), Crash("e2", 2, 3), 0).should_give_up, (
        "the points of the crash give the task up"
    )


def test_a_simultaneous_crash_of_an_idle_executor_lowers_the_score_of_tasks_elsewhere() -> None:
    """Guards against 4 points instead of 2 for tasks on a rack that loses power.

    The idle executor of the rack is found to be gone first; if its crash is not kept, the second
    crash is counted against its tasks alone.
    """
    core = core_with(step(1), executors=2)
    (task,) = core.jobs[JOB].runs[0].tasks()
    place_task(core, task, "e1", began=1.9)
    core.on_silent("e0", 2.0)
    core.on_silent("e1", 2.0)
    for name in ("e0", "e1"):
        core.on_incarnation_ended(name, 3.0, "machine service no longer lists it")
    assert task.crash_history == CrashHistory(1, 2, version=1)


def test_a_crash_under_an_unanswered_start_gives_no_task_up() -> None:
    """Guards against a job given up for starts that may not have arrived, as in soak seed 9246.

    Two of its three counted crashes were under unanswered starts, which may have been sent to an
    executor that had just crashed. Giving up takes two crashes under the task. An unanswered start
    counted 3 points, enough to give the task up; it counts the fewest points.
    """
    core = core_with(step(1), executors=1)
    (task,) = core.jobs[JOB].runs[0].tasks()
    (order,) = plan(core, 1.0)
    core.set_crash_history(task, CrashHistory(2, 5))
    core.on_silent("e0", 1.9)
    core.on_start_unanswered(order, 2.0)
    core.on_incarnation_ended("e0", 2.1, "another incarnation answers")
    assert core.finished == []


def place_task(core: ShardCore, task: Task, executor_id: str, *, began: float) -> None:
    """Put a run of a task on an executor, started at a given time."""
    run = Attempt(task, task.next_run, executor_id, Phase.RUNNING, began, confirmed_at=began)
    core.attach(core.executors[executor_id], run)


def test_an_unanswered_start_counts_one_crash_over_several_incarnations() -> None:
    """Guards against jobs given up after one real crash or none (soak seed 9503).

    An unanswered start is carried over to the next incarnation of its executor and counted at the
    end of each; each further start sent to a crashed executor counted too.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (task,) = core.jobs[JOB].runs[0].tasks()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    for started_at_ms in (2, 3, 4):
        incarnation = f"e0@{started_at_ms - 1}"
        report = ExecutorReport(0.1, (), (), started_at_ms=started_at_ms)
        core.on_report(incarnation, report, asked=2.0 + started_at_ms, now=2.01 + started_at_ms)
    assert task.crash_history and task.crash_history.crash_count == 1


def test_an_unanswered_start_does_not_reach_the_crash_limit() -> None:
    core = core_with(step(1), executors=1)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(task, CrashHistory(3, 7))
    run = Attempt(task, task.next_run, "e0", Phase.DOUBT, 1.0)
    core.attach(core.executors["e0"], run)
    core.on_incarnation_ended("e0", 2.0, "another incarnation answers")
    core.tick(9.0)
    assert task.crash_history == CrashHistory(3, 7)
    assert core.finished == []


def test_a_last_attempt_does_not_wait_forever_for_an_executor_of_its_own() -> None:
    """Guards against a job that never ends if the only sound executor is always full."""
    core = core_with(step(1, cpu=4_000))
    (task,) = core.jobs[JOB].runs[0].steps[0].tasks
    place_running(core, core.executors["e0"], cpu=8_000, standing=True)
    core.set_crash_history(task, CrashHistory(3, 7, 0, (Crash("e1", 1, 2, address="e1:1"),)))
    core.jobs[JOB].runs[0].durable = float("inf")
    assert plan(core, MAX_AT_LIMIT_WAIT_S - 0.1) == []
    (order,) = plan(core, MAX_AT_LIMIT_WAIT_S + 0.1)
    assert order.executor_id == "e1"


def crash_under_task(core: ShardCore, task: Task, executor_id: str, began: float) -> None:
    """Let an executor that just reported crash right after a run of a task began."""
    report_ends(core, executor_id, asked=began - 0.02, now=began - 0.01)
    place_task(core, task, executor_id, began=began)
    core.on_silent(executor_id, began + 0.01)
    core.on_incarnation_ended(executor_id, began + 0.1, "another incarnation answers")


def test_a_task_does_not_start_while_it_is_about_to_be_given_up() -> None:
    """Guards against one more crashed executor if a plan runs just before the task is given up.

    The task's wait ended at the very moment at which it was due to be given up.
    """
    core = core_with(step(1), executors=3)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.jobs[JOB].runs[0].durable = float("inf")
    for at, name in ((10.0, "e0"), (20.0, "e1")):
        crash_under_task(core, task, name, at)
    assert task.crash_history and task.crash_history.should_give_up
    assert plan(core, 20.1 + GIVE_UP_DELAY_S) == []
    core.tick(20.1 + GIVE_UP_DELAY_S)
    assert [f.job_id for f in core.finished] == [JOB]


def test_a_task_starts_again_after_a_simultaneous_crash_clears_it() -> None:
    """A simultaneous crash of another executor is found before the task is given up."""
    core = core_with(step(1), executors=3)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.jobs[JOB].runs[0].durable = float("inf")
    for at, name in ((10.0, "e0"), (20.0, "e1")):
        crash_under_task(core, task, name, at)
    assert task.crash_history and task.crash_history.should_give_up
    core.on_silent("e2", 20.05)
    core.on_incarnation_ended("e2", 20.2, "another incarnation answers")
    add_executor(core, "e3")
    core.tick(20.1 + GIVE_UP_DELAY_S)
    assert core.finished == []
    assert plan(core, 20.1 + GIVE_UP_DELAY_S)


def test_a_crash_does_not_give_a_task_up_if_a_colocated_task_has_a_crash_history() -> None:
    """Guards against a task given up at its third crash for what a colocated task did.

    The task has the highest score on the executor, and the colocated task caused its second crash.
    """
    core = core_with(step(1), step(1), executors=2)
    scored, other = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(scored, CrashHistory(2, 7))
    core.set_crash_history(other, CrashHistory(1, 2))
    place_task(core, other, "e0", began=10.0)
    crash_under_task(core, scored, "e0", 10.0)
    history = scored.crash_history
    assert history and (history.crash_count, history.crash_score, history.should_give_up) == (
        3,
        7,
        False,
    )
    crash_under_task(core, scored, "e1", 20.0)
    assert scored.crash_history and scored.crash_history.should_give_up, (
        "no other task was running there"
    )


def test_a_crash_gives_a_task_up_if_no_colocated_task_has_a_crash_history() -> None:
    core = core_with(step(1), step(1), executors=1)
    scored, other = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(scored, CrashHistory(1, 4))
    place_task(core, other, "e0", began=10.0)
    crash_under_task(core, scored, "e0", 10.0)
    assert scored.crash_history and scored.crash_history.should_give_up


def crash_late_under_task(
    core: ShardCore, task: Task, executor_id: str, began: float, beside: tuple[str, ...] = ()
) -> None:
    """Let an executor crash four seconds after a run of a task began, alone or beside others."""
    for name in (*beside, executor_id):
        report_ends(core, name, asked=began - 0.02, now=began - 0.01)
    place_task(core, task, executor_id, began=began)
    for name in (*beside, executor_id):
        core.on_silent(name, began + 4.0)
    for name in (*beside, executor_id):
        core.on_incarnation_ended(name, began + 4.1, "another incarnation answers")
    core.tick(began + 4.1 + GIVE_UP_DELAY_S)


@pytest.mark.parametrize(("beside_third", "given_up"), [((), True), (("e6",), False)])
def test_simultaneous_crashes_spare_a_task_unless_three_crashes_were_its_own(
    beside_third: tuple[str, ...], given_up: bool
) -> None:
    """Guards against a sixth crash of a task's executors, and against blame for a rack's failure.

    Two other executors crash with the task's fourth one. That spares the task, except if no other
    executor crashed at the same time as each of the three before.
    """
    core = core_with(step(1, estimate_s=60.0), executors=7)
    (task,) = core.jobs[JOB].runs[0].tasks()
    crash_late_under_task(core, task, "e0", 10.0)
    crash_late_under_task(core, task, "e1", 20.0)
    crash_late_under_task(core, task, "e2", 30.0, beside_third)
    assert core.finished == []
    crash_late_under_task(core, task, "e3", 40.0, ("e4", "e5"))
    assert task.crash_history and task.crash_history.confirmed_count == 4
    assert bool(core.finished) is given_up
