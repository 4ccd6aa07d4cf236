"""Tests that tasks that have failed run again before equal work.

The load: one run of best-effort work in twenty fails by itself, and some tasks never succeed, so
that their job fails once they have used the attempts that their queue allows.
"""

from __future__ import annotations

from typing import Any

import pytest

from linkspan.jobs.records import JobState
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskName,
)
from linkspan.shard.planning._second_runs import is_last_run, split_by_failures
from linkspan.shard.planning.placement import FAILED_EXECUTOR_AVOIDANCE_S, LAST_RUN_AVOIDANCE_S
from linkspan.shard.recovery.progress import encode_run
from tests.job_builders import QUEUE, step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    plan,
    report_ends,
    submitted_job,
)
from tests.shard.delegation_builders import TwoHalls, start_all
from tests.shard.delegation_builders import ended as ended_there

SMALL, LATE = "00000000000000bb", "00000000000000cc"


def start(core: ShardCore, now: float) -> list[StartOrder]:
    orders = plan(core, now)
    for order in orders:
        confirm_start(core, order, now)
    return orders


def fail(core: ShardCore, order: StartOrder, number: int, now: float) -> None:
    end = EndedTask(number, order.task, order.run, EndKind.FAILED, "")
    report_ends(core, order.executor_id, end, asked=now, now=now)


def wide_hall(**fields: Any) -> tuple[ShardCore, StartOrder]:
    """Return a hall where one task of a wide step runs, and the others wait with a small job."""
    spec = {"cpu": 7_000, "best_effort": True, "estimate_s": 60.0, **fields}
    core = core_with(step(4, **spec), executors=1)
    (order,) = start(core, 0.1)
    small = step(1, **{**spec, "estimate_s": 55.0, "gang": False})
    core.add_job(submitted_job(small, job_id=SMALL), 0.1)
    return core, order


def test_a_task_that_failed_starts_before_an_equal_job_with_less_work() -> None:
    """Its job waits for it alone in the end: each such wait adds to the job's whole time."""
    core, order = wide_hall()
    fail(core, order, 1, 0.5)
    add_executor(core, "e1")
    report_ends(core, "e0", asked=0.6, now=0.6)
    core.executors["e0"].quarantined_until = 100.0
    (again,) = start(core, 0.6)
    assert (again.task, again.run, again.executor_id) == (order.task, 2, "e1")


def test_other_tasks_of_its_step_keep_their_turn() -> None:
    """Guards against a job with one failure in thousands of tasks that goes before all others."""
    core, order = wide_hall()
    fail(core, order, 1, 0.5)
    for name in ("e1", "e2"):
        add_executor(core, name)
    core.executors["e0"].quarantined_until = 100.0
    first, second = start(core, 0.6)
    assert first.task == order.task
    assert second.task.job_id == SMALL


def test_a_late_job_does_not_pass_one_in_time_by_a_failure() -> None:
    core = core_with(executors=1)
    late = submitted_job(step(1, cpu=7_000, best_effort=True), job_id=LATE, accepted=-100.0)
    core.add_job(late, 0.0)
    (order,) = start(core, 0.1)
    in_time = submitted_job(step(1, cpu=7_000, best_effort=True), job_id=SMALL)
    core.add_job(in_time, 0.2)
    fail(core, order, 1, 0.2)
    add_executor(core, "e1")
    core.executors["e0"].quarantined_until = 100.0
    (first,) = start(core, 0.3)
    assert first.task.job_id == SMALL


def test_steps_without_failures_and_standing_ones_are_not_split() -> None:
    core = core_with(step(3), step(3, standing=True))
    for run in core.jobs[JOB].runs[0].steps:
        (waiting,) = split_by_failures(run, run.tasks)
        assert waiting.tasks is run.tasks
        assert not waiting.failed_before


def test_tasks_with_a_reservation_stay_together() -> None:
    """Resources are set aside for all tasks of a step at a time."""
    core, order = wide_hall(best_effort=False, cpu=5_000)
    fail(core, order, 1, 0.5)
    steps = core.jobs[JOB].runs[0].steps
    failed = steps[0].tasks[order.task.index]
    (waiting,) = split_by_failures(steps[0], [*steps[0].tasks[1:], failed])
    assert waiting.tasks[0] is failed
    assert len(waiting.tasks) == 4


@pytest.mark.parametrize(
    ("failures", "avoided_s"), [(1, FAILED_EXECUTOR_AVOIDANCE_S), (2, LAST_RUN_AVOIDANCE_S)]
)
def test_the_last_run_waits_longer_for_another_executor(failures: int, avoided_s: float) -> None:
    """Guards against a job that fails because one executor failed a task as often as allowed.

    The queue allows three failed runs. The other executor is full.
    """
    core = core_with(step(1, cpu=5_000, estimate_s=60.0), executors=1)
    task = core.jobs[JOB].runs[0].steps[0].tasks[0]
    now = 0.1
    for number in range(1, failures + 1):
        (order,) = start(core, now)
        fail(core, order, number, now + 0.1)
        core.executors["e0"].quarantined_until = 0.0
        failed_at, now = now + 0.1, now + 2.0
    add_executor(core, "e1", cpu=1_000)
    assert is_last_run(task) == (failures == 2)
    assert start(core, failed_at + avoided_s - 0.05) == []
    (order,) = start(core, failed_at + avoided_s + 0.05)
    assert order.executor_id == "e0"


def test_the_next_owner_starts_a_failed_task_first() -> None:
    """A change of owner halfway: failures are on record, so that the order stays the same."""
    core, order = wide_hall()
    fail(core, order, 1, 0.5)
    run = core.jobs[JOB].runs[0]
    next_owner = core_with(executors=1)
    specs = [s.spec for s in run.steps]
    next_owner.jobs.clear()
    next_owner.ready.clear()
    progress = {0: encode_run(run)}
    next_owner.add_job(submitted_job(*specs), 1.0, inherited=True, begun=True, progress=progress)
    small = step(1, cpu=7_000, best_effort=True, estimate_s=55.0)
    next_owner.add_job(submitted_job(small, job_id=SMALL), 1.0)
    (first,) = start(next_owner, 1.1)
    assert first.task == order.task


def stops_after(core: ShardCore, now: float) -> set[tuple[Any, int]]:
    core.tick(now)
    orders, core.orders = core.orders, []
    return {(o.task, o.run) for o in orders if isinstance(o, StopOrder)}


def report(core: ShardCore, ends: dict[TaskName, EndKind], now: float) -> None:
    """Let all executors report their runs, and the ends of some of them."""
    for executor in list(core.executors.values()):
        rows, ended = [], []
        for attempt in executor.attempts.values():
            name, run = attempt.key
            if name in ends:
                number = executor.last_handled_end + len(ended) + 1
                ended.append(EndedTask(number, name, run, ends[name], ""))
            else:
                rows.append(RunningTask(name, run, "", 10, 0.0))
        executor.quarantined_until = 0.0
        answer = ExecutorReport(now, tuple(rows), tuple(ended))
        core.on_report(executor.executor_id, answer, asked=now, now=now)


@pytest.mark.parametrize("gang", [False, True])
def test_a_job_that_cannot_be_done_ends_with_the_report_that_tells(gang: bool) -> None:
    """Its final record is due with that report, the stops of its other runs with the next tick."""
    core = core_with(step(3, cpu=2_000, gang=gang), step(1, cpu=1_000), executors=2)
    first, *members = (t.name for t in core.jobs[JOB].runs[0].steps[0].tasks)
    now = 0.1
    for _ in range(QUEUE.max_attempts - 1):
        start(core, now)
        ends = {first: EndKind.FAILED}
        if gang:
            # Members of a gang end by themselves when one of them does.
            ends |= dict.fromkeys(members, EndKind.STOPPED)
        report(core, ends, now + 0.2)
        assert core.finished == []
        now += 2.0
    start(core, now)
    report(core, {first: EndKind.FAILED}, now + 0.2)
    (finished,) = core.finished
    assert finished.state is JobState.FAILED
    running = {a.key for a in core.jobs[JOB].attempts()}
    assert len(running) == 3
    assert stops_after(core, now + 0.3) == running
    assert start(core, now + 0.4) == []


def test_a_job_that_failed_in_another_hall_stops_at_home_once_its_record_is_read() -> None:
    halls = TwoHalls(step(2, estimate_s=60.0))
    add_executor(halls.home, "0-0")
    halls.delegate((0, 1), now=1.0)
    (at_home,) = start(halls.home, 1.1)
    now = 1.1
    for number in range(1, QUEUE.max_attempts + 1):
        assert halls.other.finished == []
        (order,) = start_all(halls.other, now)
        end = ended_there(order, number, EndKind.FAILED)
        report_ends(halls.other, "1-0", end, asked=now + 0.1, now=now + 0.1)
        halls.other.executors["1-0"].quarantined_until = 0.0
        now += 2.0
    (finished,) = halls.other.finished
    assert finished.state is JobState.FAILED
    halls.home.on_finished(JOB)
    assert stops_after(halls.home, now) == {(at_home.task, at_home.run)}


def test_failures_of_two_halls_end_the_job_when_the_task_comes_home() -> None:
    """A task that changes halls has no more runs than its queue allows."""
    halls = TwoHalls(step(1))
    for now in (1.0, 11.0, 21.0):
        halls.delegate((0, 0), now=now)
        (order,) = start_all(halls.other, now + 0.1)
        end = ended_there(order, int(now), EndKind.FAILED)
        report_ends(halls.other, "1-0", end, asked=now + 0.2, now=now + 0.2)
        halls.other.executors["1-0"].quarantined_until = 0.0
        if now < 20.0:
            halls.give_back((0, 0), now=now + 1.0)
    (finished,) = halls.other.finished
    assert finished.state is JobState.FAILED
