"""The soak's judge: which observations of executors and callers count as violations.

Guards against a judge that overlooks a violation, and against one that reports a violation where
a lost answer, an unacknowledged end or an expired lease explains the observation.
"""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from soak.callers import Callers, Job, SubmitOutcome
from soak.executors import ExecutorWorld, Observed
from soak.judge import (
    MAX_START_DELAY_AFTER_CANCEL_S,
    count_other_given_up_jobs,
    is_valid_state,
    judge,
)

from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import EndedTask, EndKind, StartOrder, TaskName
from tests.job_builders import QUEUE, step

CALM_FROM = 100.0
SPEC = JobSpec("0" * 15 + "1", QUEUE.name, "payload", (step(2), step(1, depends_on=(0,))))
TASK = TaskName(SPEC.job_id, 0, 0, 0)


def _violated_rules(job: Job, **seen: Any) -> list[str]:
    callers = Callers(Random(0), {}, SimpleNamespace(), SimpleNamespace())  # type: ignore[arg-type]
    callers.jobs.append(job)
    empty = {"broken": [], "started_at": {}, "done_at": {}, "running": []}
    observed = Observed(**{**empty, "failed": {}, "listed_ends": 0, **seen})
    return [line.split()[0] for line in judge(callers, observed, CALM_FROM)]


@pytest.mark.parametrize(
    ("told", "broken"),
    [
        ([SubmitOutcome.REFUSED, SubmitOutcome.UNSENT], ["REFUSED"]),
        ([SubmitOutcome.REFUSED, SubmitOutcome.UNKNOWN], []),
        ([SubmitOutcome.REFUSED, SubmitOutcome.ACCEPTED], []),
    ],
)
def test_only_a_job_whose_submissions_were_all_refused_must_not_start(
    told: list[SubmitOutcome], broken: list[str]
) -> None:
    assert _violated_rules(Job(SPEC, outcomes=told), started_at={SPEC.job_id: [1.0]}) == broken


@pytest.mark.parametrize(("late_s", "broken"), [(0.1, ["UNASKED"]), (-0.1, [])])
def test_a_start_long_after_its_cancel_is_a_violation(late_s: float, broken: list[str]) -> None:
    job = Job(SPEC, outcomes=[SubmitOutcome.ACCEPTED], cancelled_at=CALM_FROM + 5)
    started = CALM_FROM + 5 + MAX_START_DELAY_AFTER_CANCEL_S + late_s
    assert _violated_rules(job, started_at={SPEC.job_id: [started]}) == broken


@pytest.mark.parametrize(("last_done", "broken"), [(9.0, []), (11.0, ["MIXED"]), (None, ["MIXED"])])
def test_success_before_the_last_end_is_a_violation(
    last_done: float | None, broken: list[str]
) -> None:
    job = Job(SPEC, outcomes=[SubmitOutcome.ACCEPTED], succeeded_at=10.0)
    done = dict.fromkeys(job.tasks, 8.0)
    if last_done is None:
        done.pop(job.tasks[-1])
    else:
        done[job.tasks[-1]] = last_done
    assert _violated_rules(job, done_at=done) == broken


async def _world(**fields: Any) -> ExecutorWorld:
    world = ExecutorWorld(**fields)
    world.specs[SPEC.job_id] = SPEC
    for number in range(2):
        world.add_executor("east", f"east-{number}:1").until = float("inf")
    return world


def _start(world: ExecutorWorld, number: int, task: TaskName, run: int, payload: str) -> None:
    executor = world.executors[f"east-{number}:1"]
    order = StartOrder(executor.record.executor_id, task, run, payload, "")
    executor.start(order, executor.clock + 5.0, token=1)


async def test_two_simultaneous_runs_of_a_task_are_a_violation() -> None:
    world = await _world()
    _start(world, 0, TASK, 1, "payload")
    assert not world.violations
    _start(world, 1, TASK, 2, "payload")
    assert "TWICE" in world.violations[0]


async def test_another_payload_and_a_step_too_early_are_violations() -> None:
    world = await _world()
    _start(world, 0, TASK, 1, "another")
    _start(world, 0, TaskName(SPEC.job_id, 0, 1, 0), 1, "payload")
    assert [line.split()[1] for line in world.violations] == ["UNASKED", "ORDER"]


async def test_a_start_after_a_done_end_is_a_violation_once_that_is_acknowledged() -> None:
    world = await _world()
    _start(world, 0, TASK, 1, "payload")
    first = world.executors["east-0:1"]
    first._finish(first.running[TASK], EndKind.DONE)
    _start(world, 1, TASK, 2, "payload")
    assert not world.violations
    world.judge_acknowledged(first, EndedTask(1, TASK, 1, EndKind.DONE, ""))
    assert "TWICE" in world.violations[0]


async def test_an_unacknowledged_end_is_not_taken_for_that_of_a_later_run() -> None:
    """Check that runs with the same number are kept apart.

    An owner is lost before it records the end, and the executor crashes too. The next owner knows
    of no run and starts one with the same number elsewhere.
    """
    world = await _world()
    _start(world, 0, TASK, 16, "payload")
    first, second = world.executors["east-0:1"], world.executors["east-1:1"]
    first._finish(first.running[TASK], EndKind.DONE)
    world.crash_executor("east-0:1", back=False)
    await asyncio.sleep(0.01)
    _start(world, 1, TASK, 16, "payload")
    second._finish(second.running[TASK], EndKind.DONE)
    second.report(1)
    assert not world.violations
    # An acknowledgement of the first end is still reported as a violation.
    first.report(1)
    assert "TWICE" in world.violations[0]


async def test_an_executor_without_admission_control_reports_overcommitment() -> None:
    world = await _world(guards_room=False, milli_cpu=1_500)
    _start(world, 0, TASK, 1, "payload")
    _start(world, 0, TaskName(SPEC.job_id, 0, 0, 1), 1, "payload")
    assert "LIMIT" in world.violations[0]


async def test_a_task_whose_end_an_expired_lease_hid_may_run_again() -> None:
    world = await _world()
    _start(world, 0, TASK, 1, "payload")
    first = world.executors["east-0:1"]
    first._finish(first.running[TASK], EndKind.DONE)
    first.until = 0.0
    world.record_lease_expiry("east-0:1")
    _start(world, 1, TASK, 2, "payload")
    first.until = float("inf")
    first.report(1)
    assert not world.violations


def _seen(**seen: Any) -> Observed:
    empty: dict[str, Any] = {"broken": [], "started_at": {}, "done_at": {}, "running": []}
    return Observed(**{**empty, "failed": {}, "listed_ends": 0, **seen})


@pytest.mark.parametrize(
    ("crash_after_s", "state", "crashes", "right"),
    [
        (0.01, "failed", 2, True),
        (0.01, "running", 2, False),
        (0.01, "succeeded", 2, False),
        (None, "failed", 2, True),
        (None, "failed", 1, False),
        (None, "succeeded", 4, True),
    ],
)
def test_a_job_is_given_up_only_where_executors_crashed_under_it(
    crash_after_s: float | None, state: str, crashes: int, right: bool
) -> None:
    job = Job(SPEC, outcomes=[SubmitOutcome.ACCEPTED], crash_after_s=crash_after_s)
    seen = _seen(crashes={job.tasks[0]: crashes})
    assert is_valid_state(job, state, seen) is right


def test_jobs_given_up_without_a_crash_or_a_failed_run_are_counted() -> None:
    callers = Callers(Random(0), {}, SimpleNamespace(), SimpleNamespace())  # type: ignore[arg-type]
    callers.jobs += [
        Job(SPEC, last_state="failed"),
        Job(SPEC, last_state="failed", crash_after_s=0.4),
        Job(SPEC, last_state="succeeded"),
    ]
    assert count_other_given_up_jobs(callers, _seen()) == 1
    failed = {callers.jobs[0].tasks[0]: QUEUE.max_attempts}
    assert count_other_given_up_jobs(callers, _seen(failed=failed)) == 0


@pytest.mark.parametrize(
    ("body", "broken"),
    [
        (b'{"state":"queued"}', []),
        (b'{"state":"waits"}', ["MIXED"]),
        (b'{"state":["queued"]}', ["MIXED"]),
        (b'{"sta', ["MIXED"]),
        (b"", ["MIXED"]),
    ],
)
def test_a_state_that_cannot_be_read_is_a_violation(body: bytes, broken: list[str]) -> None:
    callers = Callers(Random(0), {}, SimpleNamespace(), SimpleNamespace())  # type: ignore[arg-type]
    callers.note_state(Job(SPEC), "host-0", body)
    assert [line.split()[0] for line in callers.violations] == broken
