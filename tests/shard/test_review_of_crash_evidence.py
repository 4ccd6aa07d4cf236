"""Tests of a review of how crashes are counted: evidence that is missed, mistimed or not passed on.

Each test builds one way in which an owner could start a task again after five executors crashed
under it, or give a job up without cause.
"""

from __future__ import annotations

from dataclasses import replace

from linkspan.jobs.crash import Crash
from linkspan.jobs.records import Delegation
from linkspan.shard.attempt import NEVER
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_changes import CrashChanges
from linkspan.shard.crash_history import (
    CLEARED_AFTER_S,
    CrashHistory,
    add_crash,
    retract_crash,
)
from linkspan.shard.handover._delegations import last_delegation_of
from linkspan.shard.leases import CLOCK_DRIFT
from linkspan.shard.messages import ExecutorReport, RunningTask, StartAnswer, StartOutcome
from linkspan.shard.orders._orders import MAX_ANSWER_AGE_S
from linkspan.shard.reports._acknowledgements import acknowledgeable_end
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, report_ends
from tests.shard.crash_builders import (
    REPLACED,
    crash_at_once,
    crash_executor,
    crash_under_older_run,
    delegate,
    grant_lease,
    let_leases_expire,
    next_owner_of,
    only_task,
    order_on,
    other_hall_with,
    report_partially,
    report_run,
    retract_crash_of,
    start_on,
)
from tests.shard.stepped_dispatcher import SteppedDispatcher

HOME_SHARD = 0

POLL_WAIT_S = 1.6
"""Time for which an executor holds a poll."""


def _counts(core: ShardCore) -> tuple[int, int]:
    """Return the number of a task's crashes, and how many of them are certain."""
    history = only_task(core).crash_history
    return (history.crash_count, history.certain_count) if history else (0, 0)


def _certain_crashes(count: int, *, score: int = 2) -> tuple[Crash, ...]:
    return tuple(Crash(f"f{number}", 100 + number, score) for number in range(count))


def _standing_core() -> ShardCore:
    return core_with(step(1, standing=True), executors=0)


# Times at which something was applied


def test_a_start_that_waited_long_for_its_record_clears_no_crash_history() -> None:
    """Guards against a task whose crashes are forgotten because the store was slow.

    The start of a task with a crash history waits for its record without a limit. The executor
    crashes within milliseconds after the start is sent, 25 seconds after the start was planned.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    crash_at_once(core, "e0", 1.0)
    order = order_on(core, "e1", 10.0)
    sent_at = 10.0 + CLEARED_AFTER_S + 5.0
    report_ends(core, "e1", asked=sent_at - 0.02, now=sent_at - 0.01)
    core.on_start_sent(order, sent_at)
    core.on_start_unanswered(order, sent_at + 0.1)
    crash_executor(core, "e1", sent_at + 0.1, sent_at + 0.2)
    assert _counts(core) == (2, 2)


def test_an_answer_made_before_a_silence_does_not_end_it() -> None:
    """Guards against a crash that counts for no task: a late answer moves the time of its silence.

    The executor drains until 11.0 and crashes at 4.95. Its answer of 4.9 is applied at 10.8. An
    executor had crashed under the task before.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    crash_at_once(core, "before", 0.5)
    order = order_on(core, "e0", 1.0)
    core.on_started(order, StartAnswer(StartOutcome.STARTED, 1.0), 1.0)
    record = replace(core.executors["e0"].record, draining=True, remaining_s=9.0)
    core.list_executors([record], 2.0)
    core.on_silent("e0", 5.0)
    report_run(core, "e0", order, asked=4.0, made=4.9, now=10.8)
    core.on_silent("e0", 10.9)
    core.on_incarnation_ended("e0", 11.2, REPLACED)
    assert _counts(core)[0] == 2


def test_an_answer_made_before_a_silence_makes_no_executor_usable() -> None:
    """Guards against starts at a crashed executor: a late answer ends its silence.

    The executor crashes at 4.95. Its answer of 4.9 is applied at 5.3.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0")
    core.on_silent("e0", 5.0)
    core.on_report("e0", ExecutorReport(4.9, (), ()), asked=4.0, now=5.3)
    assert core.executors["e0"].silent_since == 5.0


def test_an_answer_that_is_read_late_allows_no_acknowledgement() -> None:
    """Guards against ends of the next incarnation that are acknowledged and that nobody has read.

    The answer was made at 1.05, and the busy host reads it at 3.0. The executor may have restarted
    meanwhile, and the next incarnation may have started and ended a run.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0")
    executor = core.executors["e0"]
    executor.acknowledged = 1
    core.on_report("e0", ExecutorReport(1.05, (), ()), asked=1.0, now=3.0)
    assert acknowledgeable_end(executor, 3.01) == 0


def test_a_start_answer_that_is_applied_late_makes_no_run_young() -> None:
    """Guards against a job given up by score although both runs were five seconds old.

    The executors answer the starts at once, and the host applies the answers 4.9 seconds later.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    for name, at in (("e0", 1.0), ("e1", 20.0)):
        order = order_on(core, name, at)
        core.on_start_sent(order, at)
        core.on_started(order, StartAnswer(StartOutcome.STARTED, at + 0.01), at + 4.9)
        crash_executor(core, name, at + 5.0, at + 5.1)
        core.tick(at + 5.1 + GIVE_UP_DELAY_S)
    assert core.finished == []


def test_a_run_found_in_a_late_report_makes_no_two_crashes_look_apart() -> None:
    """Guards against a job given up for a failing rack, as a report with an unknown run came late.

    The executor beside the task's own crashes with it at 10.1. Its last report, made at 10.05, is
    applied at 10.4 and lists a run that this owner did not start.
    """
    core = core_with(step(2, max_per_executor=1, estimate_s=60.0), executors=0)
    add_executor(core, "e0")
    add_executor(core, "beside")
    report_ends(core, "e0", asked=9.97, now=9.98)
    report_ends(core, "beside", asked=9.97, now=9.98)
    orders = plan(core, 10.0)
    grant_lease(core, "e0", 10.0)
    grant_lease(core, "beside", 10.0)
    order = next(o for o in orders if o.executor_id == "e0")
    found = next(o for o in orders if o.executor_id == "beside")
    core.on_started(order, StartAnswer(StartOutcome.STARTED, 10.01), 10.01)
    core.on_start_unsent(found, 10.01)
    core.on_silent("e0", 10.12)
    row = RunningTask(found.task, found.run, "", 0, None)
    core.on_report("beside", ExecutorReport(10.05, (row,), ()), asked=10.02, now=10.4)
    core.on_silent("beside", 10.5)
    core.on_incarnation_ended("beside", 10.6, REPLACED)
    core.on_incarnation_ended("e0", 10.7, REPLACED)
    task = core.find_task(order.task)
    assert task and task.crash_history
    assert task.crash_history.crash_score == 2, "the crash is not blamed on the task"


def _poll_slow_clock(core: ShardCore, name: str, asked: float, *rows: RunningTask) -> float:
    """Apply the answer to a poll that an executor held, and return the steady time of the answer.

    The executor's clock runs slow by ``CLOCK_DRIFT``.
    """
    now = asked + POLL_WAIT_S
    made = (1.0 - CLOCK_DRIFT) * now
    core.on_report(name, ExecutorReport(made, rows, ()), asked=asked, now=now)
    return now


def test_a_long_poll_on_a_slow_clock_shows_a_planned_departure() -> None:
    """Guards against a planned departure that counts as a certain crash.

    The executor holds each poll for 1.6 seconds. It answers the last one 0.8 seconds after its
    entry vanished, and leaves.
    """
    core = core_with(step(1, estimate_s=600.0), executors=0)
    add_executor(core, "e0")
    now = 0.02
    for _ in range(40):
        now = _poll_slow_clock(core, "e0", now)
    (order,) = plan(core, now)
    core.on_started(order, StartAnswer(StartOutcome.STARTED, now), now)
    row = RunningTask(order.task, order.run, "", 0, None)
    now = _poll_slow_clock(core, "e0", now, row)
    vanished_at = now + POLL_WAIT_S / 2
    record = core.executors["e0"].record
    core.list_executors([record], vanished_at, missing={"e0": vanished_at})
    now = _poll_slow_clock(core, "e0", now, row)
    crash_executor(core, "e0", now + 0.4, now + 0.6)
    assert _counts(core) == (0, 0)


# Runs that an owner finds in a report


def _core_with_found_run() -> ShardCore:
    """Return a core whose executor lists a run that a former owner had started."""
    core = core_with(step(1, estimate_s=60.0), executors=0)
    add_executor(core, "e0")
    row = RunningTask(only_task(core).name, 7, "", 0, None)
    core.on_report("e0", ExecutorReport(1.0, (row,), ()), asked=0.99, now=1.01)
    return core


def test_a_run_found_in_a_report_is_confirmed() -> None:
    """Guards against runs that a report lists and that count as never answered.

    The time of the report is passed as the time at which the start was sent.
    """
    (attempt,) = only_task(_core_with_found_run()).attempts
    assert (attempt.confirmed_at, attempt.sent_at) == (1.01, NEVER)


def test_a_crash_under_a_run_found_in_a_report_is_confirmed() -> None:
    """Guards against crashes that give no task up: each owner found the run in a report."""
    core = _core_with_found_run()
    crash_executor(core, "e0", 1.2, 1.3)
    history = only_task(core).crash_history
    assert history and (history.confirmed_count, history.certain_count) == (1, 1)


# Crashes at a start


def test_a_start_that_was_sent_again_in_vain_has_not_crashed_its_executor() -> None:
    """Guards against a certain crash of a run that never began.

    The first start was lost, as the executor's report shows. The second one found no connection.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    order = order_on(core, "e0", 1.0)
    core.on_start_sent(order, 1.0)
    core.on_start_unanswered(order, 2.0)
    report_ends(core, "e0", asked=2.1, now=2.12)
    core.on_start_sent(order, 2.2)
    core.on_silent("e0", 2.21)
    core.on_start_unsent(order, 2.21)
    core.on_incarnation_ended("e0", 2.5, REPLACED)
    assert _counts(core)[1] == 0


def test_an_executor_that_answered_another_start_has_not_crashed_at_the_one_before() -> None:
    """Guards against a certain crash of a start that was lost: the executor answered another one.

    It answers a start of another task half a second after the unanswered one.
    """
    core = core_with(step(2, estimate_s=60.0), executors=0)
    add_executor(core, "e0")
    report_ends(core, "e0", asked=0.97, now=0.98)
    lost, answered = plan(core, 1.0)
    core.on_start_sent(lost, 1.0)
    core.on_start_sent(answered, 1.5)
    core.on_started(answered, StartAnswer(StartOutcome.STARTED, 1.51), 1.51)
    core.on_start_unanswered(lost, 2.0)
    crash_executor(core, "e0", 1.6, 2.1)
    task = core.find_task(lost.task)
    assert task and task.crash_history
    assert task.crash_history.certain_count == 0


class _PolledDispatcher(SteppedDispatcher):
    """A dispatcher during whose poll before a start another crash of the task is found."""

    now = 0.0

    async def poll(self, executor: object) -> None:
        if "old" in self.core.executors:
            self.core.on_incarnation_ended("old", self.now, REPLACED)
        name = executor.executor_id  # type: ignore[attr-defined]
        report_ends(self.core, name, asked=self.now, now=self.now)


def test_a_start_is_not_sent_before_a_crash_found_meanwhile_is_on_record() -> None:
    """Guards against a start of which the next owner does not know how many crashes it follows.

    The start is on record when the crash is found, and waits for an answer of its executor.
    """
    core = core_with(step(1, estimate_s=0.3), executors=0)
    task = only_task(core)
    uncertain = tuple(crash.with_certainty(0) for crash in _certain_crashes(2))
    core.set_crash_history(task, CrashHistory(2, 4, identified_crashes=uncertain))
    start_on(core, "old", 1.0)
    let_leases_expire(core, "old", 1.3)
    at = 60.0
    add_executor(core, "c")
    report_ends(core, "c", asked=at - 2.0, now=at - 1.99)
    run = task.step.run
    run.durable = run.version
    stepped = _PolledDispatcher(core)
    stepped.dispatcher._watch.poll_once = stepped.poll  # type: ignore[method-assign, assignment]
    stepped.proof.proved(at)
    stepped.plan(at)
    run.durable = run.version
    stepped.now = at + MAX_ANSWER_AGE_S
    stepped.run_pending(stepped.now)
    for check in stepped.waiting:
        check.close()
    assert _counts(core)[0] == 3, "the crash is found during the poll"
    assert not task.decision_pending
    assert task.crash_history_durable or stepped.sent == []


# Expired attempts


def test_expired_attempts_count_beside_attempts_on_the_same_executor() -> None:
    """Guards against a crash that counts for one of two tasks: their records differ in age.

    The previous owner had recorded the expiry of the leases for one task and was lost before it
    recorded it for the other one, which the next owner therefore takes to be running.
    """
    core = core_with(step(2), executors=0)
    add_executor(core, "e0")
    report_ends(core, "e0", asked=0.97, now=0.98)
    for order in plan(core, 1.0):
        core.on_started(order, StartAnswer(StartOutcome.STARTED, 1.0), 1.0)
    executor = core.executors["e0"]
    expired, running = executor.attempts.values()
    core.on_silent("e0", 1.3)
    core.keep_expired_attempts(executor, [expired])
    core.close_attempt(expired, 1.4)
    core.on_incarnation_ended("e0", 2.0, REPLACED)
    assert running.task.crash_history
    assert expired.task.crash_history


def test_an_isolated_run_explains_a_crash_found_after_its_leases_expired() -> None:
    """Guards against a hall that counts as unstable because of the task's own crashes."""
    core = core_with(step(1, estimate_s=60.0), executors=0)
    crash_at_once(core, "e0", 1.0)
    start_on(core, "e1", 10.0)
    assert only_task(core).attempts[0].isolated
    now = let_leases_expire(core, "e1", 10.3)
    core.on_incarnation_ended("e1", now + 1.0, REPLACED)
    assert [c.had_isolated_task for c in core.executor_crashes if c.executor_id == "e1"] == [True]


# Two halls


def test_a_merged_deferral_covers_no_later_crash() -> None:
    """Guards against a deferral that also covers the next crash.

    The task was deferred at its fourth crash. The other hall finds that one of the four was none,
    and returns the task with three; a fourth one then follows at home.
    """
    core = _standing_core()
    task = only_task(core)
    crashes = _certain_crashes(4)
    core.set_crash_history(task, CrashHistory(4, 7, identified_crashes=crashes, deferred_at=4))
    sent = delegate(core)
    returned = Delegation(
        sent.step, sent.index, sent.number, 3, 7, crashes[:3], give_up_deferred=True
    )
    core.reclaim_tasks(JOB, [returned], 10.0)
    history = only_task(core).crash_history
    assert history and history.crash_count == 3
    crash_under_older_run(core, "e0", 11.0)
    core.tick(20.0)
    assert len(core.finished) == 1


def test_a_deferral_that_a_retraction_lowered_to_one_covers_no_second_crash() -> None:
    """Guards against a record whose 1 is read as the 1 of an earlier version.

    The task was deferred at two crashes, one of which was retracted. A second one then follows.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    deferred = CrashHistory(2, 7, identified_crashes=_certain_crashes(2, score=4), deferred_at=2)
    lowered = retract_crash(deferred, "f0", 0)
    assert lowered and lowered.deferred_at == 1
    again = add_crash(lowered, Crash("f2", 102, 4), 0)
    task = only_task(core)
    task.next_run = 103
    core.set_crash_history(task, again)
    restored = only_task(next_owner_of(core, 10.0)).crash_history
    assert restored and not restored.deferred


def test_crashes_merged_at_a_takeover_give_a_task_up() -> None:
    """Guards against a sixth start of a task under which five executors crashed.

    The other hall found the fifth crash after it had returned the task. Its next owner reads that
    crash from the progress record, and the four others from the next delegation.
    """
    core = _standing_core()
    other = other_hall_with(delegate(core), 10.0)
    start_on(other, "x0", 11.0)
    now = let_leases_expire(other, "x0", 11.3)
    other.hand_over_tasks(JOB, HOME_SHARD, [(0, 0)])
    core.reclaim_tasks(JOB, [last_delegation_of(only_task(other), now)], now + 1.0)
    other.on_incarnation_ended("x0", now + 2.0, REPLACED)
    assert _counts(other)[0] == 1
    crashes = _certain_crashes(4)
    core.set_crash_history(
        only_task(core), CrashHistory(4, 7, identified_crashes=crashes, deferred_at=4)
    )
    again = delegate(core)
    next_owner = next_owner_of(other, now + 10.0, delegated_here=[again])
    assert _counts(next_owner)[0] == 5
    next_owner.tick(now + 11.0 + GIVE_UP_DELAY_S)
    assert len(next_owner.finished) == 1 or only_task(next_owner).decision_pending


def test_a_retraction_at_home_reaches_the_hall_that_manages_the_task() -> None:
    """Guards against a job given up after a single crash.

    Home counted a planned departure as a crash, delegated the task, and then retracted the crash.
    The other hall counts it beside the only real one.
    """
    core = _standing_core()
    start_on(core, "e0", 1.0)
    record = core.executors["e0"].record
    crash_executor(core, "e0", 1.1, 1.2)
    assert _counts(core) == (1, 1)
    other = other_hall_with(delegate(core), 10.0)
    retract_crash_of(core, record, 10.5)
    assert _counts(core) == (0, 0)
    for delegations in core.delegations(JOB, 10.5).values():
        other.accept_delegations(JOB, delegations, 10.6)
    crash_at_once(other, "x0", 11.0)
    other.tick(11.2 + GIVE_UP_DELAY_S)
    assert other.finished == []


def test_a_crash_that_the_other_hall_finds_after_the_return_reaches_home() -> None:
    """Guards against a sixth start of a task under which five executors crashed.

    The executor of its run in the other hall was silent when the task was returned, and turns out
    to have crashed.
    """
    core = _standing_core()
    other = other_hall_with(delegate(core), 10.0)
    start_on(other, "x0", 11.0)
    now = let_leases_expire(other, "x0", 11.3)
    other.hand_over_tasks(JOB, HOME_SHARD, [(0, 0)])
    core.reclaim_tasks(JOB, [last_delegation_of(only_task(other), now)], now + 1.0)
    other.on_incarnation_ended("x0", now + 2.0, REPLACED)
    assert _counts(other)[0] == 1
    # The record that home would read if the other hall published the crash with the return.
    core.reclaim_tasks(JOB, [last_delegation_of(only_task(other), now)], now + 3.0)
    assert _counts(core)[0] == 1
    at = now + 4.0
    for name in ("e0", "e1", "e2", "e3"):
        if not core.finished:
            crash_under_older_run(core, name, at)
            core.tick(at + 7.0)
        at += 8.0
    assert len(core.finished) == 1, "there is no sixth start"


def test_a_merged_crash_that_another_task_may_have_caused_gives_no_task_up() -> None:
    """Guards against a score that reaches the limit by a crash beside another suspect.

    Counted by one owner, the sum is capped below the limit.
    """
    core = _standing_core()
    task = only_task(core)
    shared = Crash("f9", 9, 4)
    core.set_crash_history(task, CrashHistory(1, 4, identified_crashes=(Crash("f0", 1, 4),)))
    sent = delegate(core)
    start_on_expired = CrashHistory(2, 7, identified_crashes=(Crash("f0", 1, 4), shared))
    core.set_crash_history(task, start_on_expired)
    task.crash_changes = CrashChanges().with_found("f9")
    core.reclaim_tasks(JOB, [sent], 10.0)
    history = only_task(core).crash_history
    assert history and history.crash_score < 8


# Planned departures


def test_departures_whose_announcements_were_read_late_give_no_job_up() -> None:
    """Guards against a job given up although no executor crashed.

    Five executors leave one after another at the times that they announced. The busy host reads
    each announcement 0.5 seconds late.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    at = 1.0
    for number in range(5):
        name = f"e{number}"
        start_on(core, name, at)
        record = replace(core.executors[name].record, draining=True, remaining_s=3.0)
        core.list_executors([record], at + 1.5)
        leaves_at = at + 1.0 + 3.0
        report_partially(core, name, leaves_at - 0.05)
        crash_executor(core, name, leaves_at, leaves_at + 0.2)
        core.tick(leaves_at + 0.3 + GIVE_UP_DELAY_S)
        at += 8.0
    assert core.finished == []


def test_an_announcement_read_after_the_silence_shows_a_planned_departure() -> None:
    """Guards against a planned departure that counts as a crash after an outage of the store.

    The executor announced at 3.0 that it would leave at 5.0, and did. The host reads that at 6.0,
    when the executor is silent already. Read after the end is found, it would retract the crash.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    start_on(core, "e0", 1.0)
    report_partially(core, "e0", 4.95)
    core.on_silent("e0", 5.0)
    record = replace(core.executors["e0"].record, draining=True, remaining_s=2.0)
    core.list_executors([record], 6.0)
    core.on_incarnation_ended("e0", 6.2, REPLACED)
    assert _counts(core) == (0, 0)


def test_an_executor_whose_clock_stepped_back_leaves_as_planned() -> None:
    """Guards against a planned departure that counts as a crash, as the clock was not trusted.

    The executor announces at 4.9 that it will leave at 6.9. Its clock steps back at 5.0, so it
    counts as silent. It answers polls until it leaves.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    order = order_on(core, "e0", 1.0)
    core.on_started(order, StartAnswer(StartOutcome.STARTED, 1.0), 1.0)
    report_run(core, "e0", order, asked=4.8, made=4.85, now=4.86)
    record = replace(core.executors["e0"].record, draining=True, remaining_s=2.0)
    core.list_executors([record], 4.9)
    for asked in (5.0, 5.5, 6.0, 6.5, 6.85):
        report_run(core, "e0", order, asked=asked, made=asked - 3.0, now=asked + 0.01)
    crash_executor(core, "e0", 6.95, 7.1)
    assert _counts(core) == (0, 0)


def test_idle_executors_that_leave_early_make_no_hall_unstable() -> None:
    """Guards against a third crash before a task is given up: two idle executors left early."""
    core = core_with(step(1, estimate_s=60.0), executors=0)
    for name, at in (("i0", 1.0), ("i1", 3.0)):
        add_executor(core, name)
        report_ends(core, name, asked=at - 0.02, now=at - 0.01)
        record = replace(core.executors[name].record, draining=True, remaining_s=2.0)
        core.list_executors([record], at)
        crash_executor(core, name, at + 0.5, at + 0.6)
    crash_at_once(core, "e0", 10.0)
    crash_at_once(core, "e1", 15.0)
    core.tick(15.2 + GIVE_UP_DELAY_S)
    assert len(core.finished) == 1
