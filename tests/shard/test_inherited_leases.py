"""Inherited work waits until what a former owner started is over at each executor.

What was suspected: a task was started again though a run of it had ended well. A new owner may
start inherited work only once no run of its predecessor can be alive or have ended unseen.

How it can come about: executors answer the new owner, but the job records cannot be read beside
their first reports, for longer than the leases of the predecessor last. An end that stands behind
one of an unread job is not acted on yet. The new owner itself renews those executors' leases, so
nothing there lapses, and yet it went by the clock for all of them at once.

What proved it: the tests below, on a core without network.
"""

from __future__ import annotations

import pytest

from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summary import HallSummary, summarize
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorRecord,
    ExecutorReport,
    TaskName,
)
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, report, submitted

OTHER_JOB = "00000000000000bb"

UNTIL = 20.0
"""Steady time by which all leases of the former owner have ended."""

LEASE_S = 10.0


def taken_over(*, cpu: int = 8_000) -> ShardCore:
    """Return a core that took over two executors and a job of one task."""
    core = core_with(step(1), executors=0)
    core.remove_moved(JOB)
    core.departed_jobs.clear()
    core.inherit([record(name, cpu) for name in ("e0", "e1")], until=UNTIL)
    core.list_executors([record(name, cpu) for name in ("e0", "e1")], 0.0)
    core.add_job(submitted(step(1)), 0.0, inherited=True)
    return core


def record(name: str, cpu: int) -> ExecutorRecord:
    return ExecutorRecord(name, "pool", f"{name}:1", "east", Demand(cpu, 32_000), frozenset(), "r")


def end(number: int, job_id: str) -> EndedTask:
    return EndedTask(number, TaskName(job_id, 0, 0, 0), 1, EndKind.DONE, "")


def answer_in_part(core: ShardCore, name: str, now: float) -> None:
    """Take in a report whose first end is of a job that is not read, and renew the lease."""
    ends = (end(1, OTHER_JOB), end(2, JOB))
    whole = ExecutorReport(now, (), ends)
    core.on_report(name, whole.without({OTHER_JOB}), asked=now, now=now)
    clock = core.executors[name].clock
    assert clock
    clock.grant(LEASE_S, now)


def test_an_executor_that_answers_in_part_keeps_inherited_work_waiting() -> None:
    core = taken_over()
    report(core, "e0", asked=1.0, now=1.0)
    for second in range(1, 25):
        answer_in_part(core, "e1", float(second))
    assert plan(core, 25.0) == []
    core.on_report(
        "e1", ExecutorReport(25.5, (), (end(1, OTHER_JOB), end(2, JOB))), asked=25.4, now=25.5
    )
    assert plan(core, 26.0) == []
    assert core.finished


def test_a_job_does_not_move_whole_while_an_executor_answers_in_part() -> None:
    core = taken_over(cpu=500)
    report(core, "e0", asked=1.0, now=1.0)
    for second in range(1, 25):
        answer_in_part(core, "e1", float(second))
    other = HallSummary(
        capacity=80_000, free=80_000, queued=0, free_by_executor=((8_000, 32_000),) * 10
    )
    rebalancer = Rebalancer(core, summaries=lambda: {1: other}, count_capable=lambda *_: 10)
    assert rebalancer.plan(summarize(core, 25.0), 25.0) == []


@pytest.mark.parametrize("listed", (True, False))
def test_inherited_work_goes_on_once_a_silent_executor_must_have_stopped(listed: bool) -> None:
    core = taken_over()
    report(core, "e0", asked=1.0, now=1.0)
    if not listed:
        core.list_executors([record("e0", 8_000)], 2.0)
    core.on_silent("e1", 2.0)
    assert plan(core, UNTIL - 0.1) == []
    assert len(plan(core, UNTIL + 0.1)) == 1


def test_a_lease_that_the_new_owner_granted_counts_too() -> None:
    """It answered once, in part, was renewed, and is silent since."""
    core = taken_over()
    report(core, "e0", asked=1.0, now=1.0)
    answer_in_part(core, "e1", 18.0)
    core.on_silent("e1", 18.5)
    assert plan(core, UNTIL + 0.1) == []
    assert len(plan(core, 18.0 + LEASE_S / 0.98 + 0.2)) == 1
