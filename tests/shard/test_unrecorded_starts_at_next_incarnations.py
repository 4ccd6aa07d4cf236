"""Tests that inherited work waits for the next incarnation of an executor that is gone.

Guards against a task that runs twice: its owner loses the store and starts it without a record, the
executor restarts under its id, and the start is carried out by the next incarnation. The next owner
knew the first incarnation to be gone, took the job for not begun, and moved it to another hall.
"""

from __future__ import annotations

from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorRecord, ExecutorReport
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, report_ends, submitted_job

GONE, NEXT, PLACEHOLDER, OTHER = "e0@1000", "e0@2000", "e0", "e1@1000"

LEASES_EXPIRE_AT_S = 10.0

GONE_AT_S = 1.0


def _record(name: str) -> ExecutorRecord:
    return ExecutorRecord(name, "pool", f"{name}:1", "east", Demand(8_000, 32_000), frozenset(), "")


def _core() -> ShardCore:
    """Return a core that took over a job without a record; one of two executors is gone."""
    core = core_with(step(1), executors=0)
    core.remove_moved(JOB)
    core.departed_jobs.clear()
    core.tokens.raise_limit(9)
    core.inherit([_record(GONE), _record(OTHER)], until=LEASES_EXPIRE_AT_S)
    core.list_executors([_record(OTHER)], 0.0)
    core.add_job(submitted_job(step(1)), 0.0, inherited=True)
    report_ends(core, OTHER, asked=0.5, now=0.5)
    core.on_incarnation_ended(GONE, GONE_AT_S, "machine service no longer lists it", since=0.9)
    return core


def _moves(core: ShardCore, now: float) -> list[str]:
    """Return the jobs that would be moved to another hall."""
    other = HallSummary(capacity=8_000, free=8_000, free_by_executor=((8_000, 32_000, 8),))
    rebalancer = Rebalancer(core, summaries=lambda: {1: other}, count_capable=lambda *_: 1)
    return [handover.job_id for handover in rebalancer.plan(summarize(core, now), now)]


def test_inherited_work_waits_for_the_next_incarnation_of_an_executor_that_is_gone() -> None:
    """Guards against TWICE: the next incarnation carries out a start that no record names."""
    core = _core()
    assert plan(core, GONE_AT_S + 0.1) == []
    assert not core.may_start(core.jobs[JOB], GONE_AT_S + 1.0)


def test_a_job_does_not_move_before_the_next_incarnation_has_answered() -> None:
    """Guards against TWICE: the other hall never hears of the run at the next incarnation."""
    core = _core()
    core.executors[OTHER].quarantined_until = 99.0
    assert _moves(core, GONE_AT_S + 1.0) == []


def test_work_starts_once_the_next_incarnation_has_answered() -> None:
    core = _core()
    report = ExecutorReport(0.2, (), (), started_at_ms=2000)
    core.on_incarnation_found(PLACEHOLDER, NEXT, asked=1.4, now=1.5)
    core.on_report(NEXT, report, asked=1.6, now=1.7)
    assert core.may_start(core.jobs[JOB], 1.8)


def test_work_starts_once_no_start_can_arrive_any_more() -> None:
    """Guards against work that waits for ever for an executor that does not come back."""
    core = _core()
    assert core.may_start(core.jobs[JOB], GONE_AT_S + MAX_START_DELAY_S)


def test_a_job_that_arrives_later_does_not_wait() -> None:
    """Guards against a wait without need: no former owner can have started the job."""
    core = _core()
    assert not core.awaiting_reports
    core.add_job(submitted_job(step(1), job_id="00000000000000bb"), 2.0)
    (order,) = plan(core, 2.1)
    assert order.task.job_id == "00000000000000bb"


def test_work_does_not_wait_for_an_address_at_which_another_executor_answers() -> None:
    """Guards against a wait without need: another id at the address takes no order for this one."""
    core = core_with(step(1), executors=0)
    core.inherit([_record(GONE)], until=LEASES_EXPIRE_AT_S)
    core.add_job(submitted_job(step(1), job_id="00000000000000bb"), 0.0, inherited=True)
    core.on_incarnation_ended(GONE, GONE_AT_S, "another incarnation answers")
    assert core.may_start(core.jobs["00000000000000bb"], GONE_AT_S + 0.1)
