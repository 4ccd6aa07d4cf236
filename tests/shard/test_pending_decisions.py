"""Tests that a task waits for the decision whether to give it up.

After the crash that may be its last, the owner waits half a second for simultaneous crashes of
other executors. Until the decision, which a busy owner takes late, nothing starts the task: each
start could crash one more executor.
"""

from __future__ import annotations

import pytest

from linkspan.jobs.crash import Crash
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.handover.rebalance import HANDOVER_WAIT_S, Rebalancer
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    StartAnswer,
    StartOrder,
    StartOutcome,
)
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan, report_ends
from tests.shard.crash_builders import (
    crash_at_once,
    crash_executor,
    crash_idle_executors,
    crash_under_older_run,
    defer_giving_up,
    let_leases_expire,
    next_owner_of,
    only_task,
    order_on,
    other_hall_with,
    report_nothing,
    retract_crash_of,
    set_all_durable,
    start_on,
)
from tests.shard.stepped_dispatcher import SteppedDispatcher

EMPTY = HallSummary(capacity=40_000, free=40_000, free_by_executor=((20_000, 32_000),) * 2)
FULL = HallSummary(capacity=16_000, free_by_executor=((0, 0), (0, 0)))


def _await_decision(core: ShardCore) -> tuple[StartOrder, float]:
    """Order a start of the task; a crash found then is the second one that it may have caused.

    The crash of the first executor is found only when its next incarnation answers.

    Returns:
        The start, whose answer is open, and the steady time from which the decision is pending.
    """
    start_on(core, "a@1", 1.0)
    now = let_leases_expire(core, "a@1", 1.3)
    crash_at_once(core, "b", now + 1.0)
    at = now + 2.0
    order = order_on(core, "c", at)
    report_nothing(core, "a@1", 2, asked=at + 0.05, now=at + 0.1)
    history = only_task(core).crash_history
    assert history and history.should_give_up
    assert core.finished == []
    return order, at + 0.1


def _starts(core: ShardCore, now: float) -> list[StartOrder]:
    """Return the starts that are planned or sent again when executors are free and report."""
    waiting = [order for order in core.orders if isinstance(order, StartOrder)]
    core.orders = []
    for name in ("free-0", "free-1"):
        if name not in core.executors:
            add_executor(core, name)
        report_ends(core, name, asked=now - 0.02, now=now - 0.01)
    set_all_durable(core)
    return waiting + plan(core, now)


@pytest.mark.parametrize(
    "outcome",
    [StartOutcome.NO_ROOM, StartOutcome.LATE, StartOutcome.UNHEALTHY, StartOutcome.INVALID],
)
def test_a_refused_start_does_not_end_the_wait_for_the_decision(outcome: StartOutcome) -> None:
    """Guards against a start before the decision because an older start is refused."""
    core = core_with(step(1), executors=0)
    order, since = _await_decision(core)
    core.on_started(order, StartAnswer(outcome, since + 0.05), since + 0.05)
    assert _starts(core, since + 0.45) == []
    assert _starts(core, since + 3.0) == [], "the decision is late"
    core.tick(since + 3.0)
    assert len(core.finished) == 1


def test_a_start_that_was_not_sent_does_not_end_the_wait_for_the_decision() -> None:
    """Guards against a start before the decision because an older start was not sent."""
    core = core_with(step(1), executors=0)
    order, since = _await_decision(core)
    core.on_start_unsent(order, since + 0.05)
    assert _starts(core, since + 0.45) == []


def test_an_unanswered_start_is_not_sent_again_before_the_decision() -> None:
    """Guards against one more executor crashed by a start that is sent again.

    The start on its way when the decision became pending is unanswered, and its executor does not
    list the run.
    """
    core = core_with(step(1), executors=0)
    order, since = _await_decision(core)
    core.on_start_unanswered(order, since + 0.05)
    core.orders = []
    report_ends(core, "c", asked=since + 0.1, now=since + 0.12)
    assert [o for o in core.orders if isinstance(o, StartOrder)] == []


def test_a_start_that_waits_for_its_record_is_not_sent_before_the_decision() -> None:
    """Guards against one more executor crashed by a start that was planned before the crash.

    A start is sent once it is on record, which takes seconds while the store is slow.
    """
    core = core_with(step(1), executors=0)
    start_on(core, "a@1", 1.0)
    now = let_leases_expire(core, "a@1", 1.3)
    crash_at_once(core, "b", now + 1.0)
    at = now + 2.0
    add_executor(core, "c")
    report_ends(core, "c", asked=at - 0.02, now=at - 0.01)
    set_all_durable(core)
    stepped = SteppedDispatcher(core)
    stepped.proof.proved(at)
    stepped.plan(at)
    assert only_task(core).attempts
    report_nothing(core, "a@1", 2, asked=at + 0.05, now=at + 0.1)
    stepped.run_pending(at + 0.15)
    assert stepped.sent == []


def test_a_start_that_waits_for_its_record_is_sent_after_a_first_crash() -> None:
    """Guards against starts that no decision holds back and that are never sent."""
    core = core_with(step(1), executors=0)
    start_on(core, "a@1", 1.0)
    at = let_leases_expire(core, "a@1", 1.3) + 2.0
    add_executor(core, "c")
    report_ends(core, "c", asked=at - 0.02, now=at - 0.01)
    set_all_durable(core)
    stepped = SteppedDispatcher(core)
    stepped.proof.proved(at)
    stepped.plan(at)
    report_nothing(core, "a@1", 2, asked=at + 0.05, now=at + 0.1)
    stepped.run_pending(at + 0.15)
    assert [order.executor_id for order in stepped.sent] == ["c"]


def test_an_ended_run_does_not_end_the_wait_for_the_decision() -> None:
    """Guards against a start before the decision because an older run of the task failed."""
    core = core_with(step(1), executors=0)
    order, since = _await_decision(core)
    confirm_start(core, order, since + 0.05)
    failed = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(core, "c", failed, asked=since + 0.1, now=since + 0.12)
    assert _starts(core, since + 0.45) == []


def test_a_task_whose_decision_is_pending_is_not_delegated() -> None:
    """Guards against one more executor crashed in another hall, which knows of no decision."""
    core = core_with(step(1, standing=True), executors=0)
    for name, at in (("a", 1.0), ("b", 3.0)):
        crash_at_once(core, name, at)
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 3.3 + HANDOVER_WAIT_S) == []


def test_a_refused_task_whose_decision_is_pending_is_not_delegated() -> None:
    """Guards against one more executor crashed in another hall after a refusal at home."""
    core = core_with(step(1, standing=True), executors=0)
    order, since = _await_decision(core)
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, since + 0.05), since + 0.05)
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, since + 0.2 + HANDOVER_WAIT_S) == []


def test_a_decision_that_becomes_pending_after_a_delegation_was_planned_holds() -> None:
    """Guards against one more executor crashed in another hall: the delegation was planned before.

    The handover is carried out after it was planned, and a report may be applied in between.
    """
    core = core_with(step(1, standing=True), executors=0)
    start_on(core, "a@1", 1.0)
    now = let_leases_expire(core, "a@1", 1.3)
    crash_at_once(core, "b", now + 1.0)
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    (handover,) = rebalancer.plan(FULL, now + 2.0 + HANDOVER_WAIT_S)
    report_nothing(core, "a@1", 2, asked=now + 3.0, now=now + 3.1)
    assert handover.tasks
    core.hand_over_tasks(JOB, handover.shard, handover.tasks)
    assert _starts(core, now + 3.2) == []
    for delegation in core.delegations(JOB, now + 3.2).get(handover.shard, ()):
        assert _starts(other_hall_with(delegation, now + 3.2), now + 3.3) == []


def test_a_task_whose_decision_is_pending_is_not_copied() -> None:
    """Guards against one more executor crashed by a speculative copy."""
    core = core_with(step(3, speculative=True), executors=3)
    orders = plan(core, 0.1)
    for order in orders:
        confirm_start(core, order, 0.1)
    *done, slow = orders
    for number, order in enumerate(done, 1):
        end = EndedTask(number, order.task, order.run, EndKind.DONE, "")
        report_ends(core, order.executor_id, end, asked=1.0, now=1.1)
    task = core.find_task(slow.task)
    assert task
    core.set_crash_history(task, CrashHistory(1, 4, identified_crashes=(Crash("x", 1, 4),)))
    add_executor(core, "y")
    report_ends(core, "y", asked=1.88, now=1.89)
    copy = core.place(task, core.executors["y"], 1.9, speculative=True)
    (order,) = (o for o in core.orders if isinstance(o, StartOrder))
    assert order.run == copy.run
    core.orders = []
    confirm_start(core, order, 1.9)
    crash_executor(core, "y", 2.0, 2.1)
    assert task.crash_history and task.crash_history.should_give_up
    assert _starts(core, 2.5) == []


def test_a_retraction_of_another_crash_keeps_the_wait_for_the_decision() -> None:
    """Guards against a start before the decision because an earlier crash turns out to be none."""
    core = core_with(step(1, estimate_s=60.0), executors=0)
    record = crash_under_older_run(core, "a", 1.0)
    for name, at in (("b", 10.0), ("c", 12.0)):
        crash_at_once(core, name, at)
    retract_crash_of(core, record, 12.3)
    assert _starts(core, 12.5) == []


def test_a_task_that_is_not_given_up_after_a_retraction_starts_again() -> None:
    """Guards against a task that waits for ever because its decision was taken back."""
    core = core_with(step(1, estimate_s=60.0), executors=0)
    record = crash_under_older_run(core, "a", 1.0)
    for name, at in (("b", 10.0), ("c", 12.0)):
        crash_at_once(core, name, at)
    retract_crash_of(core, record, 12.3)
    core.tick(12.2 + GIVE_UP_DELAY_S)
    assert core.finished == []
    assert len(_starts(core, 13.0)) == 1


def test_a_retracted_crash_does_not_end_a_deferral() -> None:
    """Guards against a job given up although no executor crashed since the decision was deferred.

    The fourth crash gave the task up for no owner, as other executors crashed at the same time. The
    fifth one turns out to have been a planned departure before its decision.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    defer_giving_up(core, 1.0)
    record = crash_under_older_run(core, "c", 37.0)
    retract_crash_of(core, record, 42.2)
    core.tick(43.0)
    assert core.finished == []


def test_a_retraction_keeps_the_deferral_for_the_next_owner() -> None:
    """Guards against a job given up with less than two certain crashes at the next owner.

    In a hall whose executors crash by themselves, six uncertain crashes decide nothing. One of them
    is retracted, and the next owner, which does not know of the other crashes, reads five.
    """
    core = core_with(step(1, estimate_s=0.3), executors=0)
    crash_idle_executors(core, ("idle-0",), 4.0)
    crash_idle_executors(core, ("idle-1",), 5.0)
    identified = tuple(Crash(f"e{number}@1", number, 2, certain=False) for number in range(1, 4))
    unconfirmed = tuple(Crash(f"f{number}@1", number, 2, confirmed=False) for number in (4, 5))
    task = only_task(core)
    task.next_run = 6
    crashes = (*identified, *unconfirmed)
    core.set_crash_history(task, CrashHistory(5, 7, identified_crashes=crashes))
    start_on(core, "g", 6.0, answered=False)
    record = core.executors["g"].record
    crash_executor(core, "g", 7.0, 7.1)
    history = only_task(core).crash_history
    assert history and (history.crash_count, history.certain_count) == (6, 0)
    core.tick(8.0)
    assert core.finished == []
    retract_crash_of(core, record, 9.0)
    assert next_owner_of(core, 10.0).finished == []


def test_a_cancelled_job_is_not_given_up_by_a_pending_decision() -> None:
    """Guards against two final states of one job."""
    core = core_with(step(1), executors=0)
    _, since = _await_decision(core)
    core.cancel_job(JOB)
    core.tick(since + GIVE_UP_DELAY_S)
    assert [finished.state.value for finished in core.finished] == ["cancelled"]
