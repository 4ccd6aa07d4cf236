"""Tests how an owner handles executors that restart under the same id.

Each start of an executor is an incarnation. Runs, unanswered starts, leases and ends of one
incarnation must not be mistaken for those of the next one.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson
import pytest

from linkspan.events import Event
from linkspan.shard.attempt import Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.job_run import new_run
from linkspan.shard.leases import next_incarnation_lease_expiry
from linkspan.shard.machines import MachineRecord, MachineState, MachineWatch
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskName,
)
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.recovery.progress import (
    decode_roster,
    encode_roster,
    encode_run,
    restore_run,
)
from linkspan.shard.reports._acknowledgements import MAX_ACKNOWLEDGE_DELAY_S, acknowledgeable_end
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan, submitted_job

FIRST, SECOND, THIRD = (
    Incarnation("e0", started_at_ms).name for started_at_ms in (1_000, 900, 2_000)
)
"""Start times do not order incarnations: the wall clock was set back before the second."""

TASK = TaskName(JOB, 0, 0, 0)

OTHER_JOB = "00000000000000bb"

LONG_LEASE_S = 10.0


def _core(*steps: Any, log: Any = None) -> ShardCore:
    core = core_with(*(steps or (step(1),)), executors=0, log=log)
    add_executor(core, FIRST)
    return core


def _report(
    core: ShardCore,
    asked_name: str,
    incarnation: str,
    *,
    asked: float,
    now: float,
    clock_s: float = 0.1,
    running: tuple[RunningTask, ...] = (),
    ended: tuple[EndedTask, ...] = (),
    complete: bool = True,
) -> None:
    report = ExecutorReport(
        clock_s, running, ended, complete, Incarnation.of(incarnation).started_at_ms
    )
    core.on_report(asked_name, report, asked=asked, now=now)


def _running_rows(task: TaskName = TASK) -> tuple[RunningTask, ...]:
    """Return the rows of a report that lists a task as running."""
    return (RunningTask(task, 1, "", 10, None),)


def _report_next_incarnation(core: ShardCore, **fields: Any) -> None:
    """Have the second incarnation answer a poll of the first one."""
    _report(core, FIRST, SECOND, asked=2.0, now=2.01, **fields)


def _replan(core: ShardCore, now: float) -> list[StartOrder]:
    """Plan once the crash is on record, before which its tasks are not started."""
    for run in core.jobs[JOB].runs.values():
        run.durable = run.version
    return plan(core, now)


def _stops(core: ShardCore) -> list[StopOrder]:
    return [order for order in core.orders if isinstance(order, StopOrder)]


def test_a_run_in_the_first_report_of_the_next_incarnation_continues_there() -> None:
    """A confirmed start reached an incarnation that the owner did not know yet."""
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.01)
    _report_next_incarnation(core, running=_running_rows())
    assert _replan(core, 2.1) == []
    assert list(core.executors) == [SECOND]
    assert [a.phase for a in core.executors[SECOND].attempts.values()] == [Phase.RUNNING]


def test_an_end_in_the_first_report_of_the_next_incarnation_counts() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.01)
    core.executors[FIRST].last_handled_end = 57
    _report_next_incarnation(core, ended=(EndedTask(1, TASK, 1, EndKind.DONE, ""),))
    assert [f.job_id for f in core.finished] == [JOB]


def test_a_run_that_ended_with_the_previous_incarnation_starts_again_at_once() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.01)
    _report_next_incarnation(core)
    core.list_executors([core.executors[SECOND].record], 2.02)
    core.executors[SECOND].rostered = True
    (again,) = _replan(core, 2.1)
    assert (again.executor_id, again.run) == (SECOND, 2)


def test_an_unanswered_start_is_carried_over_to_the_next_incarnation_only() -> None:
    core = _core()
    add_executor(core, "e1@5")
    (order,) = plan(core, 1.0)
    incarnation = order.executor_id
    core.on_start_unanswered(order, 1.5)
    core.orders.clear()
    report = ExecutorReport(0.1, (), (), started_at_ms=7)
    core.on_report(incarnation, report, asked=2.0, now=2.01)
    successor = Incarnation(Incarnation.of(incarnation).executor_id, 7).name
    assert core.orders == [], "the next incarnation is not on record yet"
    core.executors[successor].rostered = True
    core.on_report(successor, replace(report, clock_s=0.2), asked=2.05, now=2.06)
    assert core.orders == [replace(order, executor_id=successor)]
    core.orders.clear()
    assert _replan(core, 2.1) == [], "the order may still arrive"
    core.on_start_unanswered(replace(order, executor_id=successor), 2.2)
    core.on_report(successor, replace(report, clock_s=0.4), asked=2.3, now=2.31)
    assert core.orders == [replace(order, executor_id=successor)]
    assert _replan(core, 2.4) == [replace(order, executor_id=successor)]


def test_a_stop_taken_by_the_previous_incarnation_stops_nothing_at_the_next() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    (attempt,) = core.executors[FIRST].attempts.values()
    core.order_stop(attempt, 1.6)
    (stop,) = _stops(core)
    _report_next_incarnation(core)
    core.on_stopped(stop, True, 2.1)
    _report(core, SECOND, SECOND, asked=2.2, now=2.21, clock_s=0.3)
    assert attempt.stop_taken_at is None
    assert _replan(core, 2.4) == []


def test_a_start_answered_after_the_poll_was_sent_is_not_missing_yet() -> None:
    """The report may have been made just before the order arrived."""
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 2.005)
    _report_next_incarnation(core)
    (attempt,) = core.executors[SECOND].attempts.values()
    assert attempt.phase is Phase.RUNNING
    assert _replan(core, 2.1) == []


def test_a_late_answer_confirms_the_run_at_the_next_incarnation() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    _report_next_incarnation(core)
    confirm_start(core, order, 2.02)
    (attempt,) = core.executors[SECOND].attempts.values()
    assert attempt.phase is Phase.RUNNING


def test_an_overtaken_report_does_not_restore_the_previous_incarnation() -> None:
    lines: list[Event] = []
    core = _core(log=lambda event, **_fields: lines.append(event))
    _report_next_incarnation(core)
    _report(core, FIRST, FIRST, asked=1.9, now=2.1, clock_s=50.0, running=_running_rows())
    assert list(core.executors) == [SECOND]
    assert not core.executors[SECOND].attempts
    assert Event.REPORT_PASSED_OVER in lines


def test_an_ambiguous_report_is_followed_by_another_poll() -> None:
    """The next incarnation's report arrives after that of the previous one, polled earlier."""
    core = _core()
    _report(core, FIRST, FIRST, asked=1.9, now=2.1, clock_s=50.0)
    _report(core, FIRST, SECOND, asked=2.0, now=2.2)
    assert list(core.executors) == [FIRST]
    _report(core, FIRST, SECOND, asked=2.3, now=2.4)
    assert list(core.executors) == [SECOND]


def test_a_late_entry_does_not_restore_the_previous_incarnation() -> None:
    core = _core()
    first = core.executors[FIRST].record
    _report_next_incarnation(core)
    core.list_executors([first], 2.5)
    assert list(core.executors) == [SECOND]
    core.list_executors([replace(first, executor_id=SECOND)], 2.6)
    assert core.executors[SECOND].listed


def test_a_next_incarnation_found_in_an_entry_takes_work_once_it_has_answered() -> None:
    core = _core()
    first = core.executors[FIRST].record
    core.list_executors([replace(first, executor_id=SECOND)], 2.0)
    assert not core.takes_work(core.executors[FIRST], 2.0)
    # The call to their address tells which of the two is there.
    assert core.executors_to_poll == {FIRST}
    assert list(core.executors) == [FIRST]
    core.on_incarnation_found(FIRST, SECOND, asked=2.05, now=2.06)
    assert not core.takes_work(core.executors[SECOND], 2.06)
    _report(core, SECOND, SECOND, asked=2.1, now=2.11)
    core.executors[SECOND].rostered = True
    assert list(core.executors) == [SECOND]
    core.tick(2.2)
    assert core.takes_work(core.executors[SECOND], 2.2)


def test_ends_of_each_incarnation_are_numbered_from_one() -> None:
    core = _core(step(3))
    _report_next_incarnation(core)
    name = TaskName(JOB, 0, 0, 1)
    end = EndedTask(1, name, 4, EndKind.DONE, "")
    _report(core, SECOND, SECOND, asked=2.1, now=2.2, clock_s=0.3, ended=(end,))
    task = core.find_task(name)
    assert task and task.done
    assert core.executors[SECOND].last_handled_end == 1


def test_an_incarnation_inherits_no_state_from_the_previous_one() -> None:
    core = _core()
    previous = core.executors[FIRST]
    previous.acknowledged = previous.last_handled_end = 57
    previous.quarantined_until = 1e9
    core.health.record_failure(FIRST, "a", 1.0)
    core.health.record_failure(FIRST, "b", 1.0)
    _report_next_incarnation(core, clock_s=0.1)
    next_executor = core.executors[SECOND]
    assert (next_executor.acknowledged, next_executor.last_handled_end) == (0, 0)
    assert next_executor.quarantined_until < 0
    assert next_executor.clock and next_executor.clock.granted_s == pytest.approx(
        0.1 + LONG_LEASE_S
    )


# Ends are acknowledged to an incarnation that has just answered


def _set_answered(executor: ExecutorState, at: float) -> None:
    """Set the time at which an executor made its last answer, with ends to acknowledge."""
    assert executor.clock
    executor.acknowledged = 5
    executor.clock.alive_at = at


@pytest.mark.parametrize(
    ("later_s", "number"), [(MAX_ACKNOWLEDGE_DELAY_S, 5), (0.201, 0), (9.0, 0)]
)
def test_ends_are_acknowledged_only_shortly_after_an_answer(later_s: float, number: int) -> None:
    """In the remaining window, an end of a run at a next incarnation can still be lost."""
    executor = _core().executors[FIRST]
    _set_answered(executor, 0.0)
    assert acknowledgeable_end(executor, later_s) == number


def test_ends_of_a_silent_executor_are_not_acknowledged_before_it_answers() -> None:
    core = _core()
    executor = core.executors[FIRST]
    _set_answered(executor, 1.0)
    core.on_silent(FIRST, 1.05)
    assert acknowledgeable_end(executor, 1.1) == 0


def test_delivered_acknowledgements_are_not_repeated() -> None:
    executor = _core().executors[FIRST]
    _set_answered(executor, 1.0)
    executor.ack_delivered = 5
    assert acknowledgeable_end(executor, 1.1) == 0


# Incarnations that have ended by a machine list


def _end_incarnation(core: ShardCore, *, since: float, now: float) -> None:
    """End the first incarnation, as the machine service no longer lists its machine."""
    core.on_incarnation_ended(FIRST, now, "machine service no longer lists it", since=since)


def test_an_unanswered_start_waits_for_the_next_incarnation() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    add_executor(core, "e1@5")
    _end_incarnation(core, since=2.0, now=2.5)
    assert _replan(core, 2.6) == []
    core.orders.clear()
    _report(core, "e0", SECOND, asked=3.0, now=3.01)
    core.executors[SECOND].rostered = True
    _report(core, SECOND, SECOND, asked=3.05, now=3.06, clock_s=0.2)
    assert core.orders == [replace(order, executor_id=SECOND)]
    confirm_start(core, replace(order, executor_id=SECOND), 3.1)
    _report(core, SECOND, SECOND, asked=3.2, now=3.21, clock_s=0.3, running=_running_rows())
    core.orders.clear()
    assert _replan(core, 3.3) == []


def test_a_run_that_another_order_may_start_is_carried_over_to_the_next_incarnation() -> None:
    """Guards against a late start that arrives while the task runs elsewhere.

    The start was sent again and answered, so the incarnation lists the run; the first order may
    still arrive.
    """
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    _report(core, FIRST, FIRST, asked=1.6, now=1.61, clock_s=1.0)
    core.orders.clear()
    confirm_start(core, order, 1.7)
    _report(core, FIRST, FIRST, asked=1.8, now=1.81, clock_s=1.2, running=_running_rows())
    add_executor(core, "e1@5")
    _report(core, FIRST, SECOND, asked=6.0, now=6.01)
    core.executors[SECOND].rostered = True
    _report(core, SECOND, SECOND, asked=6.05, now=6.06, clock_s=0.2)
    assert _replan(core, 6.1) == [replace(order, executor_id=SECOND)]


def test_an_unanswered_start_waits_until_a_silent_next_incarnation_has_no_lease() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    add_executor(core, "e1@5")
    _end_incarnation(core, since=2.0, now=2.5)
    expired_at = max(next_incarnation_lease_expiry(2.5, LONG_LEASE_S), 1.5 + MAX_START_DELAY_S)
    core.on_silent("e0", expired_at - 0.01)
    assert _replan(core, expired_at - 0.01) == []
    core.on_silent("e0", expired_at)
    assert len(_replan(core, expired_at)) == 1
    assert "e0" not in core.executors


def test_a_run_confirmed_before_the_machine_list_ended_with_its_incarnation() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.01)
    add_executor(core, "e1@5")
    _end_incarnation(core, since=2.0, now=2.5)
    assert len(_replan(core, 2.6)) == 1


def test_a_run_confirmed_after_the_machine_list_may_be_at_the_next_incarnation() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 2.1)
    add_executor(core, "e1@5")
    _end_incarnation(core, since=2.0, now=2.5)
    assert _replan(core, 2.6) == []
    _report(core, "e0", SECOND, asked=3.0, now=3.01, running=_running_rows())
    assert _replan(core, 3.1) == []


def test_an_executor_with_another_id_at_the_address_takes_none_of_its_orders() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    add_executor(core, "e1@5")
    core.on_incarnation_ended(FIRST, 2.5, "another incarnation answers")
    assert len(_replan(core, 2.6)) == 1


def test_a_machine_list_does_not_distinguish_incarnations() -> None:
    """A restarted executor is listed under its id; one that is absent from two lists has ended."""
    watch = MachineWatch()
    listed_machines = (MachineRecord("m", "pool", MachineState.UP, "e0"),)
    missing_machines = (MachineRecord("m", "pool", MachineState.DOWN),)
    assert watch.find_ended(listed_machines, {FIRST, SECOND}, asked=1.0) == {}
    assert watch.find_ended(missing_machines, {FIRST}, asked=2.0) == {}
    assert watch.find_ended(missing_machines, {FIRST, SECOND}, asked=3.0) == {FIRST: 2.0}


def test_a_clock_that_goes_back_within_an_incarnation_counts_as_silence() -> None:
    """Guards against reports dropped silently while their runs are believed to continue."""
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.01)
    _report(core, FIRST, FIRST, asked=1.1, now=1.2, clock_s=100.0, running=_running_rows())
    _report(core, FIRST, FIRST, asked=1.3, now=1.4, clock_s=1.0)
    assert core.executors[FIRST].silent_since == 1.4
    core.on_silent(FIRST, 40.0)
    assert not core.executors[FIRST].attempts


# Records


def test_roster_and_progress_hold_start_times_where_earlier_versions_do_not_look() -> None:
    core = _core()
    plan(core, 1.0)
    roster = encode_roster([e.record for e in core.executors.values()])
    (row,) = _decoded(roster)
    assert (row[0], row[-1]) == ("e0", 1_000)
    assert [r.executor_id for r in decode_roster(roster)] == [FIRST]
    run = core.jobs[JOB].runs[0]
    # The number of unanswered starts stands behind the start time.
    assert _decoded(encode_run(run))[0][0][3] == [[1, "e0", 1_000, 1]]


def test_records_of_an_earlier_version_name_an_unspecified_incarnation() -> None:
    next_owner = core_with(step(1), executors=0)
    (row,) = _decoded(encode_roster([_core().executors[FIRST].record]))
    next_owner.inherit(decode_roster(_encoded([row[:7]])), until=20.0)
    assert list(next_owner.executors) == ["e0"]
    run = new_run(next_owner.jobs[JOB], 0)
    restore_run(run, _encoded([[[2, 0, "", [[1, "e0"]], 0]]]), 1.0)
    (attempt,) = run.steps[0].tasks[0].attempts
    assert attempt.executor_id == "e0"
    _report(next_owner, "e0", SECOND, asked=2.0, now=2.1)
    assert list(next_owner.executors) == [SECOND]


@pytest.mark.parametrize("listed", [True, False])
@pytest.mark.parametrize("old", ["roster", "progress", "neither"])
def test_recorded_runs_are_found_whichever_version_wrote_each_record(
    old: str, listed: bool
) -> None:
    next_owner = core_with(executors=0)
    record = _core().executors[FIRST].record
    (row,) = _decoded(encode_roster([record]))
    next_owner.inherit(decode_roster(_encoded([row[:7] if old == "roster" else row])), until=20.0)
    incarnation = ["e0"] if old == "progress" else ["e0", 1_000]
    progress = {0: _encoded([[[2, 0, "", [[1, *incarnation]], 0]]])}
    job = submitted_job(step(1), job_id=OTHER_JOB)
    next_owner.add_job(job, 1.0, inherited=True, begun=True, progress=progress)
    (task,) = next_owner.jobs[OTHER_JOB].runs[0].tasks()
    assert len(task.attempts) == 1
    running = _running_rows(task.name) if listed else ()
    _report(
        next_owner, next(iter(next_owner.executors)), SECOND, asked=2.0, now=2.1, running=running
    )
    assert [a.executor_id for a in task.attempts] == ([SECOND] if listed else [])


@pytest.mark.parametrize("started_at_ms", ["1000", 1.5, -1, True, [1]])
def test_an_invalid_start_time_on_a_roster_is_rejected(started_at_ms: object) -> None:
    (row,) = _decoded(encode_roster([_core().executors[FIRST].record]))
    with pytest.raises(Exception, match="roster"):
        decode_roster(_encoded([[*row[:7], started_at_ms]]))


def _decoded(value: bytes) -> Any:
    return orjson.loads(value)


def _encoded(value: Any) -> bytes:
    return orjson.dumps(value)


def test_an_incarnation_that_never_answered_counts_no_crash_with_a_next_owner() -> None:
    """Guards against an unanswered start that counts as two crashes.

    It counted at the end of its incarnation and at the end of the expected next one. A job was
    given up for four crashes of which one was real (drawn day 428).
    """
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    _end_incarnation(core, since=2.0, now=2.5)
    roster = encode_roster([e.record for e in core.executors.values()])
    progress = {0: encode_run(core.jobs[JOB].runs[0])}
    next_owner = core_with(executors=0)
    next_owner.jobs.clear()
    next_owner.inherit(decode_roster(roster), until=20.0)
    next_owner.add_job(submitted_job(step(1)), 3.0, inherited=True, begun=True, progress=progress)
    (task,) = next_owner.jobs[JOB].runs[0].tasks()
    assert len(task.attempts) == 1
    next_owner.on_incarnation_ended("e0", 3.5, "machine service no longer lists it", since=3.2)
    assert len(task.attempts) == 1, "the start may still arrive"
    next_owner.on_incarnation_ended("e0", 4.0, "another incarnation answers")
    assert not task.attempts
    assert task.crash_history and task.crash_history.crash_count == 1
