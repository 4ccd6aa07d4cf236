"""Tests that inherited work waits until no run of the previous owner can be alive or unreported.

Guards against a task started again although a run of it has succeeded. Executors answer the new
owner, but the job records cannot be read for longer than the previous owner's leases last, so an
end listed after the end of an unread job is not handled yet. The new owner renews the leases of
these executors itself, so none of them expires, and it must not treat them as expired.
"""

from __future__ import annotations

import pytest

from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorRecord,
    ExecutorReport,
    TaskName,
)
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, report_ends, submitted_job

OTHER_JOB = "00000000000000bb"

LEASES_EXPIRED_AT_S = 20.0
"""Steady time by which all leases of the previous owner have expired."""

LEASE_S = 10.0


def recovered_core(*, cpu: int = 8_000) -> ShardCore:
    """Return a core that took over two executors and a job of one task."""
    core = core_with(step(1), executors=0)
    core.remove_moved(JOB)
    core.departed_jobs.clear()
    core.inherit([executor_record(name, cpu) for name in ("e0", "e1")], until=LEASES_EXPIRED_AT_S)
    core.list_executors([executor_record(name, cpu) for name in ("e0", "e1")], 0.0)
    core.add_job(submitted_job(step(1)), 0.0, inherited=True)
    return core


def executor_record(name: str, cpu: int) -> ExecutorRecord:
    return ExecutorRecord(name, "pool", f"{name}:1", "east", Demand(cpu, 32_000), frozenset(), "r")


def done_end(number: int, job_id: str) -> EndedTask:
    return EndedTask(number, TaskName(job_id, 0, 0, 0), 1, EndKind.DONE, "")


def answer_partially(core: ShardCore, name: str, now: float) -> None:
    """Apply a report whose first end belongs to an unread job, and renew the lease."""
    ends = (done_end(1, OTHER_JOB), done_end(2, JOB))
    whole = ExecutorReport(now, (), ends)
    core.on_report(name, whole.without({OTHER_JOB}), asked=now, now=now)
    clock = core.executors[name].clock
    assert clock
    clock.grant(LEASE_S, now)


def test_inherited_work_waits_while_an_executor_sends_partial_reports() -> None:
    core = recovered_core()
    report_ends(core, "e0", asked=1.0, now=1.0)
    for second in range(1, 25):
        answer_partially(core, "e1", float(second))
    assert plan(core, 25.0) == []
    core.on_report(
        "e1",
        ExecutorReport(25.5, (), (done_end(1, OTHER_JOB), done_end(2, JOB))),
        asked=25.4,
        now=25.5,
    )
    assert plan(core, 26.0) == []
    assert core.finished


def test_a_job_does_not_move_while_an_executor_sends_partial_reports() -> None:
    core = recovered_core(cpu=500)
    report_ends(core, "e0", asked=1.0, now=1.0)
    for second in range(1, 25):
        answer_partially(core, "e1", float(second))
    other_hall = HallSummary(
        capacity=80_000, free=80_000, queued=0, free_by_executor=((8_000, 32_000),) * 10
    )
    rebalancer = Rebalancer(core, summaries=lambda: {1: other_hall}, count_capable=lambda *_: 10)
    assert rebalancer.plan(summarize(core, 25.0), 25.0) == []


@pytest.mark.parametrize("listed", (True, False))
def test_inherited_work_starts_once_the_leases_of_a_silent_executor_have_expired(
    listed: bool,
) -> None:
    core = recovered_core()
    report_ends(core, "e0", asked=1.0, now=1.0)
    if not listed:
        core.list_executors([executor_record("e0", 8_000)], 2.0)
    core.on_silent("e1", 2.0)
    assert plan(core, LEASES_EXPIRED_AT_S - 0.1) == []
    assert len(plan(core, LEASES_EXPIRED_AT_S + 0.1)) == 1


def test_inherited_work_also_waits_for_leases_that_the_new_owner_granted() -> None:
    """The executor sent one partial report, its lease was renewed, and it is silent since."""
    core = recovered_core()
    report_ends(core, "e0", asked=1.0, now=1.0)
    answer_partially(core, "e1", 18.0)
    core.on_silent("e1", 18.5)
    assert plan(core, LEASES_EXPIRED_AT_S + 0.1) == []
    assert len(plan(core, 18.0 + LEASE_S / 0.98 + 0.2)) == 1
