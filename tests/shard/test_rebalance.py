"""Tests which jobs and tasks an owner hands over to other halls."""

from __future__ import annotations

from dataclasses import replace

from linkspan.jobs.records import Delegation
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.handover._returned_delegations import ReturnedDelegations
from linkspan.shard.handover.rebalance import (
    HANDOVER_WAIT_S,
    SHORT_TASK_HANDOVER_WAIT_S,
    Rebalancer,
)
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import EndedTask, EndKind, TaskName
from linkspan.shard.planning.task_need import HEADROOM_WAIT_S
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, report_ends, submitted_job

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


def test_work_does_not_move_to_a_hall_without_capacity() -> None:
    core = core_with(step(1, cpu=9_000))
    assert plan(core, 0.1) == []
    rebalancer = Rebalancer(core, summaries=lambda: {1: FULL}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S) == []


def test_inherited_work_does_not_move_before_all_executors_reported() -> None:
    core = core_with(step(1, cpu=9_000))
    core.jobs[JOB].inherited = True
    core.inherit([next(iter(core.executors.values())).record], 99.0)
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S) == []


def test_a_displaced_task_may_use_the_capacity_reserved_for_short_tasks() -> None:
    tight = HallSummary(capacity=16_000, free=6_500, free_by_executor=((6_500, 32_000), (0, 0)))
    core = core_with(step(3, standing=True, cpu=6_000, max_per_executor=1))
    assert len(plan(core, 0.1)) == 2
    task = core.jobs[JOB].runs[0].steps[0].tasks[2]
    rebalancer = Rebalancer(core, summaries=lambda: {1: tight}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S) == []
    task.next_run = 2
    (handover,) = rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S)
    assert handover.tasks == ((0, 2),)


def test_a_displaced_task_is_delegated_before_one_that_never_ran() -> None:
    """Guards against a displaced task that stays in a full hall behind a task of its step.

    The other task never ran and may not use capacity reserved for short work, the only capacity
    that other halls have.
    """
    tight = HallSummary(capacity=16_000, free=6_500, free_by_executor=((6_500, 32_000), (0, 0)))
    core = core_with(step(4, standing=True, cpu=6_000, max_per_executor=1))
    assert len(plan(core, 0.1)) == 2
    core.jobs[JOB].runs[0].steps[0].tasks[3].next_run = 2
    rebalancer = Rebalancer(core, summaries=lambda: {1: tight}, count_capable=lambda *_: 2)
    (handover,) = rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S)
    assert handover.tasks == ((0, 3),)


def test_a_returned_task_does_not_go_back_by_a_summary_from_before_its_return() -> None:
    """Guards against a task that goes to and fro while its home reads of the full hall late."""
    core = core_with(step(1, standing=True, cpu=9_000))
    summaries = {1: EMPTY}
    rebalancer = Rebalancer(core, summaries=lambda: summaries, count_capable=lambda *_: 2)
    assert plan(core, 0.1) == []
    rebalancer.plan(FULL, 0.2)
    core.hand_over_tasks(JOB, 1, [(0, 0)])
    core.reclaim_tasks(JOB, [Delegation(0, 0, 1, waited_s=1.0)], 1.0)
    assert rebalancer.plan(FULL, 1.0 + HANDOVER_WAIT_S) == []
    summaries[1] = replace(EMPTY, free=39_000)
    assert [h.tasks for h in rebalancer.plan(FULL, 1.1 + HANDOVER_WAIT_S)] == [((0, 0),)]


def test_a_task_that_may_be_given_up_is_not_delegated() -> None:
    """Guards against one more executor crashed by a task that is about to be given up.

    The other hall started the task while its home hall was about to give it up.
    """
    core = core_with(step(1, standing=True, cpu=9_000))
    assert plan(core, 0.1) == []
    (task,) = core.jobs[JOB].runs[0].steps[0].tasks
    core.set_crash_history(task, CrashHistory(2, 8, give_up_due_at=float("inf")))
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    core.jobs[JOB].begun = True
    assert rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S) == []
    core.set_crash_history(task, CrashHistory(2, 8))
    assert len(rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S)) == 1


def test_a_returned_delegation_is_in_every_later_record_until_it_is_read() -> None:
    """Guards against a lost task if a second record, written before the first is read, omits it."""
    returned = ReturnedDelegations()
    assert returned.add(JOB, (), [Delegation(0, 1, 1)]) == (Delegation(0, 1, 1),)
    assert returned.add(JOB, (), [Delegation(0, 2, 1)]) == (
        Delegation(0, 1, 1),
        Delegation(0, 2, 1),
    )
    returned.keep_only({"another"})
    assert returned.add(JOB, [Delegation(0, 1, 1)], []) == (Delegation(0, 1, 1),)


def test_a_returned_task_hides_no_task_of_another_repetition() -> None:
    """Guards against a task of a scheduled job that no hall manages after its return."""
    first, second = Delegation(0, 1, 1), Delegation(0, 1, 1, repetition=1)
    returned = ReturnedDelegations()
    assert returned.add(JOB, (), [first]) == (first,)
    assert returned.add(JOB, (), [second]) == (first, second)


def test_a_short_job_moves_soon_even_to_a_hall_where_best_effort_work_waits() -> None:
    """Guards against a short job that stays at home as every hall has waiting best-effort work."""
    core = core_with(step(1, cpu=9_000))
    assert plan(core, 0.1) == []
    busy = replace(EMPTY, waiting=50_000)
    rebalancer = Rebalancer(core, summaries=lambda: {1: busy}, count_capable=lambda *_: 2)
    (handover,) = rebalancer.plan(FULL, 0.2 + SHORT_TASK_HANDOVER_WAIT_S)
    assert (handover.job_id, handover.shard) == (JOB, 1)
    queued = replace(EMPTY, queued=1_000)
    rebalancer = Rebalancer(core, summaries=lambda: {1: queued}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.2 + SHORT_TASK_HANDOVER_WAIT_S) == []


def test_a_job_that_has_begun_by_a_reported_end_does_not_move() -> None:
    """Guards against a job that runs again in another hall; a new owner knows only the end."""
    core = core_with(step(1), step(1, cpu=9_000))
    core.jobs[JOB].inherited = True
    end = EndedTask(1, TaskName(JOB, 0, 0, 0), 1, EndKind.DONE, "")
    report_ends(core, "e0", end, asked=0.1, now=0.1)
    assert plan(core, 0.2) == []
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 0.3 + HANDOVER_WAIT_S) == []
    assert core.begun == [JOB]


def test_a_job_of_which_a_former_owner_ordered_a_start_does_not_move_as_a_whole() -> None:
    """Guards against a job that moves while a lost start of it may still be carried out."""
    other = "00000000000000bb"
    core = core_with(step(1))
    plan(core, 0.05)
    waiting = submitted_job(step(1, cpu=9_000), job_id=other)
    core.add_job(waiting, 0.0, inherited=True, start_ordered=True)
    assert plan(core, 0.1) == []
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    found = rebalancer.plan(FULL, 0.2 + 10 * HANDOVER_WAIT_S)
    assert [(handover.job_id, handover.tasks) for handover in found] == [(other, ((0, 0),))]
    assert not core.jobs[other].begun


def test_a_summary_of_another_version_is_read() -> None:
    """A renewal that does not decode is skipped, and its owner then counts as silent."""
    fields = replace(EMPTY, queued=7).encode()
    assert HallSummary.decode(fields).queued == 7
    for length in range(8, len(fields)):
        assert HallSummary.decode(fields[:length]) == replace(EMPTY, queued=7)
    assert HallSummary.decode(fields[:7]) == EMPTY
    assert HallSummary.decode([*fields, "more"]).queued == 7


def test_a_standing_task_that_is_away_for_long_gets_room_before_short_tasks() -> None:
    """Guards against room elsewhere that goes to short work while standing tasks stay."""
    tight = HallSummary(capacity=16_000, free=9_000, free_by_executor=((9_000, 32_000), (0, 0)))
    core = core_with(step(1, cpu=9_000), executors=0)
    core.add_job(submitted_job(step(1, standing=True, cpu=9_000), job_id="standing"), 0.0)
    rebalancer = Rebalancer(core, summaries=lambda: {1: tight}, count_capable=lambda *_: 2)
    found = rebalancer.plan(FULL, HEADROOM_WAIT_S)
    assert [handover.job_id for handover in found] == ["standing"]
