"""What an owner makes of executors that crash, and of the tasks that were there."""

from __future__ import annotations

import asyncio
from typing import Any

from linkspan.events import Event
from linkspan.jobs.crash import Crash
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory, add_crash
from linkspan.shard.messages import ExecutorReport
from linkspan.shard.planning._isolation import MAX_AT_LIMIT_WAIT_S
from linkspan.shard.reports._crashes import GIVE_UP_DELAY_S
from linkspan.shard.task import Task
from tests.hall_world import HallWorld
from tests.host.crashing_day import day, states, submit
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, place, plan, report, started
from tests.virtual_time import run_virtual


def test_a_crash_names_the_tasks_that_were_there() -> None:
    """Those that began last come first: what crashes an executor does so soon."""
    lines: list[dict[str, Any]] = []

    def log(event: Event, **fields: Any) -> None:
        if event is Event.EXECUTOR_CRASHED:
            lines.append(fields)

    core = core_with(step(1), step(1), executors=1, log=log)
    first, second = plan(core, 1.0)
    started(core, first, 1.2)
    core.on_silent("e0", 3.0)
    core.on_incarnation_ended("e0", 4.0, "machine service no longer lists it")
    (line,) = lines
    assert line["fell_s"] == 1.0
    assert line["tasks"] == {
        f"{JOB}.0.0.0/1": [1.8, 0, 0],
        f"{JOB}.0.1.0/1": [2.0, 0, 0],
    }
    assert second.run == 1


def test_an_executor_that_leaves_as_it_said_has_not_crashed() -> None:
    lines: list[Event] = []
    core = core_with(step(1), executors=1, log=lambda event, **_fields: lines.append(event))
    plan(core, 1.0)
    drained = core.executors["e0"].record
    object.__setattr__(drained, "draining", True)
    core.on_incarnation_ended("e0", 4.0, "another incarnation answers")
    assert Event.EXECUTOR_GONE in lines
    assert Event.EXECUTOR_CRASHED not in lines


def test_a_start_that_another_incarnation_refuses_was_not_there_when_its_executor_fell() -> None:
    """Such an order comes after the fall: it would make its task look as if it had done it."""

    async def play() -> HallWorld:
        world = await day(resets=False, lists_machines=False, executors_per_hall=1)
        world.crash_executor("east-0:1")
        spec = await submit(world, step(estimate_s=1.0))
        await asyncio.sleep(10.0)
        assert await states(world, [spec]) == ["succeeded"]
        return world

    assert run_virtual(play()).log.named("EXECUTOR_CRASHED") == []


def test_a_start_whose_connection_is_refused_was_never_sent() -> None:
    """Nothing listens where an executor fell a moment ago; its task may start elsewhere at once."""

    async def play() -> HallWorld:
        world = await day(executors_per_hall=2)
        world.executors["east-0:1"].alive = False
        spec = await submit(world, step(estimate_s=1.0))
        await asyncio.sleep(10.0)
        assert await states(world, [spec]) == ["succeeded"]
        return world

    world = run_virtual(play())
    assert world.log.named("START_IN_DOUBT") == []
    assert world.log.named("EXECUTOR_CRASHED") == []


def test_suspects_that_waited_for_long_still_keep_apart() -> None:
    """A suspect that may wait no longer goes to an executor where no other is tried."""
    core = core_with(step(2), executors=2)
    place(core, core.executors["e1"], cpu=6_000)
    for task in core.jobs[JOB].runs[0].tasks():
        core.set_crash_history(task, CrashHistory(1, 4))
    (tried,) = plan(core, 1.0)
    assert tried.executor_id == "e0", "where least is lost"
    (late,) = plan(core, 3.5)
    assert late.executor_id == "e1"


def test_a_suspect_that_failed_everywhere_is_started_again() -> None:
    """It waited for ever: a task that failed on an executor avoids it, but not for good."""
    core = core_with(step(1), executors=2)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(task, CrashHistory(1, 4))
    task.avoided_executors |= {"e0", "e1"}
    assert plan(core, 3.5)


def test_a_crash_that_names_nobody_convicts_nobody_before_the_last() -> None:
    """Two tasks were there each time: one of them is innocent, and is tried apart once more."""
    known = None
    for run, points in enumerate((3, 3, 2)):
        known = add_crash(known, Crash(f"e{run}", run, points), 0)
        assert not known.should_give_up
    last = Crash("e3", 3, 2)
    assert add_crash(known, last, 0).should_give_up, (
        "whatever they count, four crashes are the most"
    )
    assert add_crash(CrashHistory(2, 6), Crash("e2", 2, 3), 0).should_give_up, "it was named"


def test_an_empty_executor_that_fell_beside_speaks_for_the_tasks_of_others() -> None:
    """A rack that loses power takes idle executors along; found gone first, one left no trace.

    The fall of an executor without work was not kept, so the crash beside it named its tasks:
    4 points instead of 2.
    """
    core = core_with(step(1), executors=2)
    (task,) = core.jobs[JOB].runs[0].tasks()
    place_task(core, task, "e1", began=1.9)
    core.on_silent("e0", 2.0)
    core.on_silent("e1", 2.0)
    for name in ("e0", "e1"):
        core.on_incarnation_ended(name, 3.0, "machine service no longer lists it")
    assert task.crash_history == CrashHistory(1, 2, version=1)


def test_a_start_without_an_answer_convicts_no_task() -> None:
    """It may have come to an executor that had fallen a moment before, as in soak seed 9246.

    There a job was given up for three crashes, of which two were such starts: only one
    executor had crashed under its task, and the platform asks for two. Such a start counted 3
    points, which name its task; it counts the least, and so names nobody.
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
    """Put a run of a task on an executor, where it began at some time."""
    run = Attempt(task, task.next_run, executor_id, Phase.RUNNING, began, confirmed_at=began)
    core.attach(core.executors[executor_id], run)


def test_a_start_without_an_answer_counts_once_over_all_lives_that_it_may_come_to() -> None:
    """Jobs were given up with one executor crashed under them, or none (soak seed 9503).

    A start without an answer goes on to the next life of its executor, and counted at the end of
    each; and each further start that met an executor that was down counted, too.
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


def test_starts_without_an_answer_convict_nobody() -> None:
    core = core_with(step(1), executors=1)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(task, CrashHistory(3, 7))
    run = Attempt(task, task.next_run, "e0", Phase.DOUBT, 1.0)
    core.attach(core.executors["e0"], run)
    core.on_incarnation_ended("e0", 2.0, "another incarnation answers")
    core.tick(9.0)
    assert task.crash_history == CrashHistory(3, 7)
    assert core.finished == []


def test_a_last_trial_does_not_wait_for_ever_for_a_place_of_its_own() -> None:
    """Guards against a job that never ends where the only sound executor is full for good."""
    core = core_with(step(1, cpu=4_000))
    (task,) = core.jobs[JOB].runs[0].steps[0].tasks
    place(core, core.executors["e0"], cpu=8_000, standing=True)
    core.set_crash_history(task, CrashHistory(3, 7, 0, (Crash("e1", 1, 2, address="e1:1"),)))
    core.jobs[JOB].runs[0].durable = float("inf")
    assert plan(core, MAX_AT_LIMIT_WAIT_S - 0.1) == []
    (order,) = plan(core, MAX_AT_LIMIT_WAIT_S + 0.1)
    assert order.executor_id == "e1"


def fall_under(core: ShardCore, task: Task, executor_id: str, began: float) -> None:
    """Let an executor that answered up to then fall right after a run of a task began."""
    report(core, executor_id, asked=began - 0.02, now=began - 0.01)
    place_task(core, task, executor_id, began=began)
    core.on_silent(executor_id, began + 0.01)
    core.on_incarnation_ended(executor_id, began + 0.1, "another incarnation answers")


def test_a_task_does_not_start_between_the_crash_that_convicts_it_and_its_verdict() -> None:
    """Guards against one more executor lost, with all work there, where a plan is made first.

    The wait for the verdict was over at the moment at which that was due.
    """
    core = core_with(step(1), executors=3)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.jobs[JOB].runs[0].durable = float("inf")
    for at, name in ((10.0, "e0"), (20.0, "e1")):
        fall_under(core, task, name, at)
    assert task.crash_history and task.crash_history.should_give_up
    assert plan(core, 20.1 + GIVE_UP_DELAY_S) == []
    core.tick(20.1 + GIVE_UP_DELAY_S)
    assert [f.job_id for f in core.finished] == [JOB]


def test_a_task_whose_last_crash_named_it_wrongly_starts_again() -> None:
    """An executor that fell beside is found before the verdict."""
    core = core_with(step(1), executors=3)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.jobs[JOB].runs[0].durable = float("inf")
    for at, name in ((10.0, "e0"), (20.0, "e1")):
        fall_under(core, task, name, at)
    assert task.crash_history and task.crash_history.should_give_up
    core.on_silent("e2", 20.05)
    core.on_incarnation_ended("e2", 20.2, "another incarnation answers")
    add_executor(core, "e3")
    core.tick(20.1 + GIVE_UP_DELAY_S)
    assert core.finished == []
    assert plan(core, 20.1 + GIVE_UP_DELAY_S)


def test_a_crash_convicts_no_task_beside_which_others_had_crashed_executors_before() -> None:
    """Guards against a task given up at its third crash for what fell beside it.

    It was suspected most there, and what had crashed the executor was at its second.
    """
    core = core_with(step(1), step(1), executors=2)
    suspected, other = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(suspected, CrashHistory(2, 7))
    core.set_crash_history(other, CrashHistory(1, 2))
    place_task(core, other, "e0", began=10.0)
    fall_under(core, suspected, "e0", 10.0)
    known = suspected.crash_history
    assert known and (known.crash_count, known.crash_score, known.should_give_up) == (3, 7, False)
    fall_under(core, suspected, "e1", 20.0)
    assert suspected.crash_history and suspected.crash_history.should_give_up, "it was alone there"


def test_a_crash_still_convicts_beside_work_that_no_executor_had_crashed_under() -> None:
    core = core_with(step(1), step(1), executors=1)
    suspected, other = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(suspected, CrashHistory(1, 4))
    place_task(core, other, "e0", began=10.0)
    fall_under(core, suspected, "e0", 10.0)
    assert suspected.crash_history and suspected.crash_history.should_give_up
