"""Whose turn it is beside a standing task of which starts were ordered, and that never ran."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartAnswer,
    StartOutcome,
)
from tests.job_builders import step
from tests.shard.builders import confirm_start, core_with, plan, report_ends, submitted_job
from tests.shard.crash_builders import delegate, next_owner_of, only_task, other_hall_with

SHORT, STANDING = "00000000000000d1", "00000000000000d2"
NOW = 2.0


def _core_with_refused_start() -> ShardCore:
    core = core_with(step(1, cpu=7_000, standing=True), executors=1)
    (order,) = plan(core, 0.1)
    core.on_start_sent(order, 0.1)
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, 0.2), 0.2)
    return core


def _core_of_owner(*, inherited: bool) -> ShardCore:
    core = core_with(executors=1)
    standing = submitted_job(step(1, cpu=7_000, standing=True), job_id=STANDING)
    core.add_job(standing, 0.5, inherited=inherited)
    return core


CORES = [
    pytest.param(_core_with_refused_start, id="refused"),
    pytest.param(partial(_core_of_owner, inherited=True), id="inherited"),
]


@pytest.mark.parametrize("core_of", CORES)
def test_a_standing_task_that_never_ran_is_no_restart(core_of: Callable[[], ShardCore]) -> None:
    """Guards against short work of use that waits behind standing tasks that never ran.

    A task whose run number is above 1 counts as a restart. A refused start raises the number, and
    a change of owner raises that of each task.
    """
    assert _first_start(core_of()) == SHORT


def test_a_standing_task_without_any_start_is_no_restart() -> None:
    """Guards against the tests above being right for another cause than the one they name."""
    assert _first_start(_core_of_owner(inherited=False)) == SHORT


def _first_start(core: ShardCore) -> str:
    """Return the job that gets the executor when a short job comes."""
    short = submitted_job(step(1, cpu=7_000, estimate_s=1.0), job_id=SHORT, accepted=NOW)
    core.add_job(short, NOW)
    (order,) = plan(core, NOW)
    return order.task.job_id


def test_a_task_that_never_ran_is_none_that_did_at_any_later_owner_or_hall() -> None:
    """Guards against owners and halls that each raise the run number of a task that never ran."""
    core = _core_with_refused_start()
    owner = next_owner_of(next_owner_of(core, 1.0), 1.5)
    assert not only_task(owner).may_have_run
    other = other_hall_with(delegate(owner), 2.0)
    assert not only_task(other).may_have_run
    assert not only_task(next_owner_of(other, 3.0, delegated_here=[])).may_have_run


@pytest.mark.parametrize("owners", [0, 2])
def test_a_task_that_ran_is_a_restart_at_each_later_owner(owners: int) -> None:
    """Guards against a restart that waits for the headroom as its owner takes it for a new task."""
    core = core_with(step(1, cpu=7_000, standing=True), executors=1)
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.1)
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(core, order.executor_id, end, asked=0.5, now=0.5)
    for number in range(owners):
        core = next_owner_of(core, 1.0 + number)
    assert only_task(core).may_have_run


def test_a_run_that_no_owner_had_recorded_makes_its_task_a_restart() -> None:
    """Guards against a task that counts as new although a report listed a run of it."""
    core = _core_of_owner(inherited=True)
    (task,) = core.jobs[STANDING].runs[0].tasks()
    run = RunningTask(task.name, 3, "", 100, None)
    core.on_report("e0", ExecutorReport(0.6, (run,), ()), asked=0.55, now=0.6)
    assert task.may_have_run
