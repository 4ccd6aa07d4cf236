"""What an owner makes of executors that start again under their id."""

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
from linkspan.shard.reports._watch import MAX_ACKNOWLEDGE_DELAY_S, acknowledgeable_end
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, started, submitted

FIRST, SECOND, THIRD = (
    Incarnation("e0", started_at_ms).name for started_at_ms in (1_000, 900, 2_000)
)
"""Births do not order lives: the time of day stepped back before the second."""

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
    whole: bool = True,
) -> None:
    report = ExecutorReport(
        clock_s, running, ended, whole, Incarnation.of(incarnation).started_at_ms
    )
    core.on_report(asked_name, report, asked=asked, now=now)


def _lists(task: TaskName = TASK) -> tuple[RunningTask, ...]:
    return (RunningTask(task, 1, "", 10, None),)


def _restarted(core: ShardCore, **fields: Any) -> None:
    """Have the second life answer a question to the first one."""
    _report(core, FIRST, SECOND, asked=2.0, now=2.01, **fields)


def _replan(core: ShardCore, now: float) -> list[StartOrder]:
    """Plan once the crash is on record, without which its tasks are not started."""
    for run in core.jobs[JOB].runs.values():
        run.durable = run.version
    return plan(core, now)


def _stops(core: ShardCore) -> list[StopOrder]:
    return [order for order in core.orders if isinstance(order, StopOrder)]


def test_what_the_first_list_names_goes_on_there() -> None:
    """A start that was answered came to a life that nobody had met."""
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 1.01)
    _restarted(core, running=_lists())
    assert _replan(core, 2.1) == []
    assert list(core.executors) == [SECOND]
    assert [a.phase for a in core.executors[SECOND].attempts.values()] == [Phase.RUNNING]


def test_an_end_that_the_first_list_names_counts() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 1.01)
    core.executors[FIRST].last_handled_end = 57
    _restarted(core, ended=(EndedTask(1, TASK, 1, EndKind.DONE, ""),))
    assert [f.job_id for f in core.finished] == [JOB]


def test_what_fell_with_the_life_before_starts_again_at_once() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 1.01)
    _restarted(core)
    core.list_executors([core.executors[SECOND].record], 2.02)
    core.executors[SECOND].rostered = True
    (again,) = _replan(core, 2.1)
    assert (again.executor_id, again.run) == (SECOND, 2)


def test_a_start_without_an_answer_goes_on_at_the_next_life_and_nowhere_else() -> None:
    core = _core()
    add_executor(core, "e1@5")
    (order,) = plan(core, 1.0)
    incarnation = order.executor_id
    core.on_start_unanswered(order, 1.5)
    core.orders.clear()
    report = ExecutorReport(0.1, (), (), started_at_ms=7)
    core.on_report(incarnation, report, asked=2.0, now=2.01)
    successor = Incarnation(Incarnation.of(incarnation).executor_id, 7).name
    assert core.orders == [], "the next life is not on record yet"
    core.executors[successor].rostered = True
    core.on_report(successor, replace(report, clock_s=0.2), asked=2.05, now=2.06)
    assert core.orders == [replace(order, executor_id=successor)]
    core.orders.clear()
    assert _replan(core, 2.1) == [], "the order may still be on its way"
    core.on_start_unanswered(replace(order, executor_id=successor), 2.2)
    core.on_report(successor, replace(report, clock_s=0.4), asked=2.3, now=2.31)
    assert core.orders == [replace(order, executor_id=successor)]
    assert _replan(core, 2.4) == [replace(order, executor_id=successor)]


def test_a_stop_that_the_life_before_took_stops_nothing_at_the_next() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    (attempt,) = core.executors[FIRST].attempts.values()
    core.order_stop(attempt, 1.6)
    (stop,) = _stops(core)
    _restarted(core)
    core.on_stopped(stop, True, 2.1)
    _report(core, SECOND, SECOND, asked=2.2, now=2.21, clock_s=0.3)
    assert attempt.stop_taken_at is None
    assert _replan(core, 2.4) == []


def test_a_start_that_is_answered_after_the_question_is_not_missed_yet() -> None:
    """The list may have been made just before the order came."""
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 2.005)
    _restarted(core)
    (attempt,) = core.executors[SECOND].attempts.values()
    assert attempt.phase is Phase.RUNNING
    assert _replan(core, 2.1) == []


def test_an_answer_on_its_way_reaches_the_run_where_it_counts_now() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    _restarted(core)
    started(core, order, 2.02)
    (attempt,) = core.executors[SECOND].attempts.values()
    assert attempt.phase is Phase.RUNNING


def test_an_answer_that_was_overtaken_does_not_bring_the_life_before_back() -> None:
    lines: list[Event] = []
    core = _core(log=lambda event, **_fields: lines.append(event))
    _restarted(core)
    _report(core, FIRST, FIRST, asked=1.9, now=2.1, clock_s=50.0, running=_lists())
    assert list(core.executors) == [SECOND]
    assert not core.executors[SECOND].attempts
    assert Event.REPORT_PASSED_OVER in lines


def test_in_doubt_it_is_asked_again() -> None:
    """The next life's answer came back before that of the life before was read."""
    core = _core()
    _report(core, FIRST, FIRST, asked=1.9, now=2.1, clock_s=50.0)
    _report(core, FIRST, SECOND, asked=2.0, now=2.2)
    assert list(core.executors) == [FIRST]
    _report(core, FIRST, SECOND, asked=2.3, now=2.4)
    assert list(core.executors) == [SECOND]


def test_an_entry_that_comes_late_does_not_bring_the_life_before_back() -> None:
    core = _core()
    first = core.executors[FIRST].record
    _restarted(core)
    core.list_executors([first], 2.5)
    assert list(core.executors) == [SECOND]
    core.list_executors([replace(first, executor_id=SECOND)], 2.6)
    assert core.executors[SECOND].listed


def test_an_entry_names_a_next_life_that_is_used_once_it_has_answered() -> None:
    core = _core()
    first = core.executors[FIRST].record
    core.list_executors([replace(first, executor_id=SECOND)], 2.0)
    assert not core.takes_work(core.executors[FIRST], 2.0)
    assert not core.takes_work(core.executors[SECOND], 2.0)
    _report(core, SECOND, SECOND, asked=2.1, now=2.11)
    core.executors[SECOND].rostered = True
    assert list(core.executors) == [SECOND]
    assert core.takes_work(core.executors[SECOND], 2.2)


def test_ends_of_each_life_count_from_one() -> None:
    core = _core(step(3))
    _restarted(core)
    name = TaskName(JOB, 0, 0, 1)
    end = EndedTask(1, name, 4, EndKind.DONE, "")
    _report(core, SECOND, SECOND, asked=2.1, now=2.2, clock_s=0.3, ended=(end,))
    task = core.find_task(name)
    assert task and task.done
    assert core.executors[SECOND].last_handled_end == 1


def test_nothing_is_known_of_a_life_by_the_one_before() -> None:
    core = _core()
    former = core.executors[FIRST]
    former.acknowledged = former.last_handled_end = 57
    former.quarantined_until = 1e9
    core.health.record_failure(FIRST, "a", 1.0)
    core.health.record_failure(FIRST, "b", 1.0)
    _restarted(core, clock_s=0.1)
    known = core.executors[SECOND]
    assert (known.acknowledged, known.last_handled_end) == (0, 0)
    assert known.quarantined_until < 0
    assert known.clock and known.clock.granted_s == pytest.approx(0.1 + LONG_LEASE_S)


# Ends are told to be forgotten by a life that was just heard


def _heard(executor: ExecutorState, at: float) -> None:
    executor.acknowledged = 5
    executor.answered_at = at


@pytest.mark.parametrize(
    ("later_s", "number"), [(MAX_ACKNOWLEDGE_DELAY_S, 5), (0.201, 0), (9.0, 0)]
)
def test_ends_are_told_to_be_forgotten_shortly_after_an_answer_only(
    later_s: float, number: int
) -> None:
    """The window that is left: a next life that ends a run of ours within it loses that end."""
    executor = _core().executors[FIRST]
    _heard(executor, 0.0)
    assert acknowledgeable_end(executor, later_s) == number


def test_a_silent_executor_is_asked_first_who_it_is() -> None:
    core = _core()
    executor = core.executors[FIRST]
    _heard(executor, 1.0)
    core.on_silent(FIRST, 1.05)
    assert acknowledgeable_end(executor, 1.1) == 0


def test_ends_that_were_forgotten_are_not_told_again() -> None:
    executor = _core().executors[FIRST]
    _heard(executor, 1.0)
    executor.ack_delivered = 5
    assert acknowledgeable_end(executor, 1.1) == 0


# Lives that a machine list proves over


def _gone(core: ShardCore, *, since: float, now: float) -> None:
    core.on_incarnation_ended(FIRST, now, "machine service no longer lists it", since=since)


def test_a_start_on_its_way_waits_for_the_next_life() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    add_executor(core, "e1@5")
    _gone(core, since=2.0, now=2.5)
    assert _replan(core, 2.6) == []
    core.orders.clear()
    _report(core, "e0", SECOND, asked=3.0, now=3.01)
    core.executors[SECOND].rostered = True
    _report(core, SECOND, SECOND, asked=3.05, now=3.06, clock_s=0.2)
    assert core.orders == [replace(order, executor_id=SECOND)]
    started(core, replace(order, executor_id=SECOND), 3.1)
    _report(core, SECOND, SECOND, asked=3.2, now=3.21, clock_s=0.3, running=_lists())
    core.orders.clear()
    assert _replan(core, 3.3) == []


def test_a_run_that_a_second_order_may_begin_goes_on_at_the_next_life() -> None:
    """Guards against a start on its way that meets a run of its task elsewhere.

    It was sent again and answered, so its life lists it; the first order is still on its way.
    """
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    _report(core, FIRST, FIRST, asked=1.6, now=1.61, clock_s=1.0)
    core.orders.clear()
    started(core, order, 1.7)
    _report(core, FIRST, FIRST, asked=1.8, now=1.81, clock_s=1.2, running=_lists())
    add_executor(core, "e1@5")
    _report(core, FIRST, SECOND, asked=6.0, now=6.01)
    core.executors[SECOND].rostered = True
    _report(core, SECOND, SECOND, asked=6.05, now=6.06, clock_s=0.2)
    assert _replan(core, 6.1) == [replace(order, executor_id=SECOND)]


def test_a_next_life_that_never_answers_is_waited_out() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    add_executor(core, "e1@5")
    _gone(core, since=2.0, now=2.5)
    over = max(next_incarnation_lease_expiry(2.5, LONG_LEASE_S), 1.5 + MAX_START_DELAY_S)
    core.on_silent("e0", over - 0.01)
    assert _replan(core, over - 0.01) == []
    core.on_silent("e0", over)
    assert len(_replan(core, over)) == 1
    assert "e0" not in core.executors


def test_what_was_answered_before_the_list_is_over_with_its_life() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 1.01)
    add_executor(core, "e1@5")
    _gone(core, since=2.0, now=2.5)
    assert len(_replan(core, 2.6)) == 1


def test_what_was_answered_while_lists_were_made_may_be_at_the_next_life() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 2.1)
    add_executor(core, "e1@5")
    _gone(core, since=2.0, now=2.5)
    assert _replan(core, 2.6) == []
    _report(core, "e0", SECOND, asked=3.0, now=3.01, running=_lists())
    assert _replan(core, 3.1) == []


def test_another_id_at_its_address_takes_no_order_of_it() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    add_executor(core, "e1@5")
    core.on_incarnation_ended(FIRST, 2.5, "another incarnation answers")
    assert len(_replan(core, 2.6)) == 1


def test_a_machine_names_no_life() -> None:
    """An executor that started again under its id is listed; one that is away twice is not."""
    watch = MachineWatch()
    there = (MachineRecord("m", "pool", MachineState.UP, "e0"),)
    away = (MachineRecord("m", "pool", MachineState.DOWN),)
    assert watch.find_ended(there, {FIRST, SECOND}, asked=1.0) == {}
    assert watch.find_ended(away, {FIRST}, asked=2.0) == {}
    assert watch.find_ended(away, {FIRST, SECOND}, asked=3.0) == {FIRST: 2.0}


def test_a_clock_that_goes_back_within_a_life_is_a_silence() -> None:
    """Its reports were dropped without a word, and what ran there was believed to run on."""
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 1.01)
    _report(core, FIRST, FIRST, asked=1.1, now=1.2, clock_s=100.0, running=_lists())
    _report(core, FIRST, FIRST, asked=1.3, now=1.4, clock_s=1.0)
    assert core.executors[FIRST].silent_since == 1.4
    core.on_silent(FIRST, 40.0)
    assert not core.executors[FIRST].attempts


# Records


def test_a_roster_and_progress_hold_births_where_earlier_versions_do_not_look() -> None:
    core = _core()
    plan(core, 1.0)
    roster = encode_roster([e.record for e in core.executors.values()])
    (row,) = _decoded(roster)
    assert (row[0], row[-1]) == ("e0", 1_000)
    assert [r.executor_id for r in decode_roster(roster)] == [FIRST]
    run = core.jobs[JOB].runs[0]
    # A start that had no answer yet is told behind the birth.
    assert _decoded(encode_run(run))[0][0][3] == [[1, "e0", 1_000, 1]]


def test_records_of_an_earlier_version_name_some_life_of_the_id() -> None:
    heir = core_with(step(1), executors=0)
    (row,) = _decoded(encode_roster([_core().executors[FIRST].record]))
    heir.inherit(decode_roster(_encoded([row[:7]])), until=20.0)
    assert list(heir.executors) == ["e0"]
    run = new_run(heir.jobs[JOB], 0)
    restore_run(run, _encoded([[[2, 0, "", [[1, "e0"]], 0]]]), 1.0)
    (attempt,) = run.steps[0].tasks[0].attempts
    assert attempt.executor_id == "e0"
    _report(heir, "e0", SECOND, asked=2.0, now=2.1)
    assert list(heir.executors) == [SECOND]


@pytest.mark.parametrize("listed", [True, False])
@pytest.mark.parametrize("old", ["roster", "progress", "neither"])
def test_runs_on_record_are_found_whichever_version_wrote_which(old: str, listed: bool) -> None:
    heir = core_with(executors=0)
    record = _core().executors[FIRST].record
    (row,) = _decoded(encode_roster([record]))
    heir.inherit(decode_roster(_encoded([row[:7] if old == "roster" else row])), until=20.0)
    incarnation = ["e0"] if old == "progress" else ["e0", 1_000]
    progress = {0: _encoded([[[2, 0, "", [[1, *incarnation]], 0]]])}
    job = submitted(step(1), job_id=OTHER_JOB)
    heir.add_job(job, 1.0, inherited=True, begun=True, progress=progress)
    (task,) = heir.jobs[OTHER_JOB].runs[0].tasks()
    assert len(task.attempts) == 1
    running = _lists(task.name) if listed else ()
    _report(heir, next(iter(heir.executors)), SECOND, asked=2.0, now=2.1, running=running)
    assert [a.executor_id for a in task.attempts] == ([SECOND] if listed else [])


@pytest.mark.parametrize("started_at_ms", ["1000", 1.5, -1, True, [1]])
def test_an_odd_birth_on_a_roster_is_as_other_odd_fields(started_at_ms: object) -> None:
    (row,) = _decoded(encode_roster([_core().executors[FIRST].record]))
    with pytest.raises(Exception, match="roster"):
        decode_roster(_encoded([[*row[:7], started_at_ms]]))


def _decoded(value: bytes) -> Any:
    return orjson.loads(value)


def _encoded(value: Any) -> bytes:
    return orjson.dumps(value)


def test_a_life_that_nobody_met_counts_as_no_crash_with_a_next_owner_either() -> None:
    """A start without an answer counted twice: with its life, and with the one that was awaited.

    A job was given up for four crashes of which one was one (drawn day 428).
    """
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 1.5)
    _gone(core, since=2.0, now=2.5)
    roster = encode_roster([e.record for e in core.executors.values()])
    progress = {0: encode_run(core.jobs[JOB].runs[0])}
    heir = core_with(executors=0)
    heir.jobs.clear()
    heir.inherit(decode_roster(roster), until=20.0)
    heir.add_job(submitted(step(1)), 3.0, inherited=True, begun=True, progress=progress)
    (task,) = heir.jobs[JOB].runs[0].tasks()
    assert len(task.attempts) == 1
    heir.on_incarnation_ended("e0", 3.5, "machine service no longer lists it", since=3.2)
    assert len(task.attempts) == 1, "the start may still be on its way"
    heir.on_incarnation_ended("e0", 4.0, "another incarnation answers")
    assert not task.attempts
    assert task.crash_history and task.crash_history.crash_count == 1
