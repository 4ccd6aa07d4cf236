"""What is handed over, and to how many."""

from __future__ import annotations

from dataclasses import replace

from linkspan.jobs.records import Delegation
from linkspan.shard.handover._returned_delegations import ReturnedDelegations
from linkspan.shard.handover.rebalance import (
    HANDOVER_WAIT_S,
    SHORT_TASK_HANDOVER_WAIT_S,
    Rebalancer,
)
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import EndedTask, EndKind, TaskName
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, report

EMPTY = HallSummary(
    capacity=40_000, free=40_000, free_by_executor=((20_000, 32_000), (20_000, 32_000))
)
FULL = HallSummary(capacity=16_000, free_by_executor=((0, 0), (0, 0)))


def test_a_job_with_two_ready_steps_moves_once() -> None:
    core = core_with(step(1, cpu=9_000), step(1, cpu=9_000))
    assert plan(core, 0.1) == []
    rebalancer = Rebalancer(
        core, summaries=lambda: {1: EMPTY, 2: EMPTY}, count_capable=lambda *_: 2
    )
    found = rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S)
    assert [handover.job_id for handover in found] == [JOB]


def test_work_does_not_move_to_a_hall_without_room() -> None:
    core = core_with(step(1, cpu=9_000))
    assert plan(core, 0.1) == []
    rebalancer = Rebalancer(core, summaries=lambda: {1: FULL}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S) == []


def test_inherited_work_in_doubt_does_not_move() -> None:
    core = core_with(step(1, cpu=9_000))
    core.jobs[JOB].inherited = True
    core.inherit([next(iter(core.executors.values())).record], 99.0)
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S) == []


def test_a_displaced_task_may_use_the_room_kept_for_short_ones() -> None:
    tight = HallSummary(capacity=16_000, free=6_500, free_by_executor=((6_500, 32_000), (0, 0)))
    core = core_with(step(3, standing=True, cpu=6_000, max_per_executor=1))
    assert len(plan(core, 0.1)) == 2
    task = core.jobs[JOB].runs[0].steps[0].tasks[2]
    rebalancer = Rebalancer(core, summaries=lambda: {1: tight}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S) == []
    task.next_run = 2
    (handover,) = rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S)
    assert handover.tasks == ((0, 2),)


def test_a_displaced_task_is_lent_before_one_that_never_ran() -> None:
    """A task of its step that had never run stood before it and may not use such room.

    Other halls had room for it only in what is kept for short work; so it stayed at home,
    which was full, for as long as the other task waited.
    """
    tight = HallSummary(capacity=16_000, free=6_500, free_by_executor=((6_500, 32_000), (0, 0)))
    core = core_with(step(4, standing=True, cpu=6_000, max_per_executor=1))
    assert len(plan(core, 0.1)) == 2
    core.jobs[JOB].runs[0].steps[0].tasks[3].next_run = 2
    rebalancer = Rebalancer(core, summaries=lambda: {1: tight}, count_capable=lambda *_: 2)
    (handover,) = rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S)
    assert handover.tasks == ((0, 3),)


def test_a_task_that_may_not_start_yet_is_not_lent() -> None:
    """Guards against an executor more that is lost to a task whose verdict is pending.

    The other hall started it while its own one was about to give it up.
    """
    core = core_with(step(1, standing=True, cpu=9_000))
    assert plan(core, 0.1) == []
    (task,) = core.jobs[JOB].runs[0].steps[0].tasks
    task.not_before = float("inf")
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    core.jobs[JOB].begun = True
    assert rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S) == []
    task.not_before = 0.1
    assert len(rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S)) == 1


def test_a_loan_given_back_is_in_every_later_record() -> None:
    """A second record before the first was read left the first's loan out: its task was lost."""
    given = ReturnedDelegations()
    assert given.add(JOB, (), [Delegation(0, 1, 1)]) == (Delegation(0, 1, 1),)
    assert given.add(JOB, (), [Delegation(0, 2, 1)]) == (Delegation(0, 1, 1), Delegation(0, 2, 1))
    given.keep_only({"another"})
    assert given.add(JOB, [Delegation(0, 1, 1)], []) == (Delegation(0, 1, 1),)


def test_a_short_job_moves_soon_also_to_a_hall_where_best_effort_work_waits() -> None:
    """It waited for room at home, since every hall had some best-effort work waiting."""
    core = core_with(step(1, cpu=9_000))
    assert plan(core, 0.1) == []
    busy = replace(EMPTY, waiting=50_000)
    rebalancer = Rebalancer(core, summaries=lambda: {1: busy}, count_capable=lambda *_: 2)
    (handover,) = rebalancer.plan(FULL, 0.2 + SHORT_TASK_HANDOVER_WAIT_S)
    assert (handover.job_id, handover.shard) == (JOB, 1)
    queued = replace(EMPTY, queued=1_000)
    rebalancer = Rebalancer(core, summaries=lambda: {1: queued}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.2 + SHORT_TASK_HANDOVER_WAIT_S) == []


def test_a_job_that_an_end_shows_to_have_begun_does_not_move() -> None:
    """A new owner learnt of it from an end alone, and the other hall ran all of it again."""
    core = core_with(step(1), step(1, cpu=9_000))
    core.jobs[JOB].inherited = True
    end = EndedTask(1, TaskName(JOB, 0, 0, 0), 1, EndKind.DONE, "")
    report(core, "e0", end, asked=0.1, now=0.1)
    assert plan(core, 0.2) == []
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.3 + HANDOVER_WAIT_S) == []
    assert core.begun == [JOB]


def test_a_summary_of_another_version_is_read() -> None:
    """A renewal that does not decode is passed over, and its owner then counts as silent."""
    fields = replace(EMPTY, queued=7).encode()
    assert HallSummary.decode(fields).queued == 7
    assert HallSummary.decode(fields[:-1]) == replace(EMPTY, queued=7)
    assert HallSummary.decode(fields[:-2]) == replace(EMPTY, queued=7)
    assert HallSummary.decode(fields[:-3]) == EMPTY
    assert HallSummary.decode([*fields, "more"]).queued == 7
