"""Tests how the next owner handles starts that a former owner sent and that were not answered.

Such a start may still arrive. If the next owner acknowledges the run's end or starts the task
elsewhere before, the task runs twice.
"""

from __future__ import annotations

import orjson
import pytest

from linkspan.shard._changes import Changes
from linkspan.shard.attempt import Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.incarnation import Incarnation
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
from linkspan.shard.recovery.progress import decode_roster, encode_roster, encode_run
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan, submitted_job

FIRST, SECOND = (Incarnation("e0", started_at_ms).name for started_at_ms in (1_000, 2_000))

OTHER = Incarnation("e1", 1_000).name

TASK = TaskName(JOB, 0, 0, 0)

DONE = EndedTask(1, TASK, 1, EndKind.DONE, "")

RECOVERED_AT = 3.0
"""Time at which a next owner has read the records."""


def _core(*others: str) -> ShardCore:
    core = core_with(step(1), executors=0)
    for name in (FIRST, *others):
        add_executor(core, name)
    return core


def _report(
    core: ShardCore,
    *ended: EndedTask,
    asked: float,
    listed: bool = False,
    run: int = 1,
    incarnation: str = FIRST,
) -> None:
    """Have an incarnation report."""
    running = (RunningTask(TASK, run, "", 50, None),) if listed else ()
    started_at_ms = Incarnation.of(incarnation).started_at_ms
    core.on_report(
        incarnation,
        ExecutorReport(asked, running, ended, True, started_at_ms),
        asked=asked,
        now=asked,
    )


def _leave_unanswered_and_resend(core: ShardCore) -> None:
    """Leave a start unanswered and send it again."""
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _report(core, asked=2.1)


def _next_owner_of(core: ShardCore) -> ShardCore:
    """Return the core of a next owner, restored from the records of another core."""
    next_owner = core_with(executors=0)
    next_owner.jobs.clear()
    roster = encode_roster(e.roster_record for e in core.executors.values())
    next_owner.inherit(decode_roster(roster), 20.0)
    for job_id, job in core.jobs.items():
        progress = {0: encode_run(job.runs[0])}
        job_submitted = submitted_job(step(1), job_id=job_id)
        next_owner.add_job(
            job_submitted, RECOVERED_AT, inherited=True, begun=True, progress=progress
        )
    return next_owner


def _next_owner_with_unanswered_start(*others: str) -> ShardCore:
    """Return a next owner's core whose record holds an unanswered start."""
    core = _core(*others)
    (order,) = plan(core, 1.0)
    assert order.executor_id == FIRST
    return _next_owner_of(core)


def _acknowledges(core: ShardCore, at: float, incarnation: str = FIRST) -> bool:
    """Return whether an end is acknowledged at a time by which all is on record."""
    for job in core.jobs.values():
        job.runs[0].durable = job.runs[0].version
    return core.executors[incarnation].advance_acknowledged(at)


def _starts(core: ShardCore) -> list[StartOrder]:
    return [order for order in core.orders if isinstance(order, StartOrder)]


@pytest.mark.parametrize("owners", [1, 2])
@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_withholds_the_end_of_a_run_whose_first_start_may_arrive(
    owners: int, *, listed: bool
) -> None:
    """Guards against a task that runs twice, as a start arrives after its end was acknowledged."""
    core = _core()
    _leave_unanswered_and_resend(core)
    (order,) = _starts(core)
    confirm_start(core, order, 2.2)
    for _ in range(owners):
        core = _next_owner_of(core)
    if listed:
        _report(core, asked=3.1, listed=True)
    _report(core, DONE, asked=3.2)
    assert not _acknowledges(core, RECOVERED_AT + MAX_START_DELAY_S - 0.01)
    assert _acknowledges(core, RECOVERED_AT + MAX_START_DELAY_S)


@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_withholds_the_end_of_a_run_with_an_unanswered_start(*, listed: bool) -> None:
    """Guards against a task that runs twice by a start sent again but not recorded as such."""
    next_owner = _next_owner_with_unanswered_start()
    if listed:
        _report(next_owner, asked=3.1, listed=True)
    _report(next_owner, DONE, asked=3.2)
    assert not _acknowledges(next_owner, RECOVERED_AT + MAX_START_DELAY_S - 0.01)
    assert _acknowledges(next_owner, RECOVERED_AT + MAX_START_DELAY_S)


@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_does_not_withhold_the_end_of_a_run_whose_start_was_answered(
    *, listed: bool
) -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.1)
    next_owner = _next_owner_of(core)
    if listed:
        _report(next_owner, asked=3.1, listed=True)
    _report(next_owner, DONE, asked=3.2)
    assert _acknowledges(next_owner, 3.3)


@pytest.mark.parametrize("by", ["answer", "report"])
def test_a_run_that_was_recorded_before_it_was_answered_is_recorded_again(by: str) -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.dirty.clear()
    if by == "answer":
        confirm_start(core, order, 1.1)
    else:
        core.on_start_unanswered(order, 2.0)
        _report(core, asked=2.1, listed=True)
    (run,) = core.dirty.values()
    assert orjson.loads(encode_run(run))[0][0][3] == [[1, "e0", 1_000]]


def test_an_owner_does_not_withhold_the_end_of_a_run_whose_only_start_arrived() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _report(core, DONE, asked=2.1)
    assert _acknowledges(core, 2.2)


def test_the_record_of_a_confirmed_run_holds_no_number_of_starts() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    run = core.jobs[JOB].runs[0]
    assert orjson.loads(encode_run(run))[0][0][3] == [[1, "e0", 1_000, 1]]
    confirm_start(core, order, 1.1)
    assert orjson.loads(encode_run(run))[0][0][3] == [[1, "e0", 1_000]]


def test_a_start_that_is_sent_again_is_recorded() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    core.dirty.clear()
    _report(core, asked=2.1)
    (run,) = core.dirty.values()
    assert orjson.loads(encode_run(run))[0][0][3] == [[1, "e0", 1_000, 2]]


# Starts that no executor lists


@pytest.mark.parametrize("owners", [1, 2])
def test_a_start_of_a_former_owner_is_sent_again_to_the_same_executor(owners: int) -> None:
    """Guards against a task that runs twice.

    Another run could begin elsewhere while the former owner's start is pending, or end before that
    start arrives.
    """
    next_owner = _next_owner_with_unanswered_start(OTHER)
    for _ in range(owners - 1):
        next_owner = _next_owner_of(next_owner)
    _report(next_owner, asked=3.1, incarnation=OTHER)
    _report(next_owner, asked=3.2)
    assert [(o.executor_id, o.run) for o in plan(next_owner, 3.3)] == [(FIRST, 1)]
    (attempt,) = next_owner.jobs[JOB].runs[0].steps[0].tasks[0].attempts
    assert (attempt.phase, attempt.starts) == (Phase.STARTING, 2)
    _report(next_owner, DONE, asked=3.5)
    assert not _acknowledges(next_owner, RECOVERED_AT + MAX_START_DELAY_S - 0.01)


def test_a_start_of_a_former_owner_is_carried_over_to_the_next_incarnation() -> None:
    next_owner = _next_owner_with_unanswered_start()
    _report(next_owner, asked=3.1, incarnation=SECOND)
    next_owner.executors[SECOND].rostered = True
    _report(next_owner, asked=3.2, incarnation=SECOND)
    assert [(o.executor_id, o.run) for o in _starts(next_owner)] == [(SECOND, 1)]


def test_a_start_of_a_former_owner_waits_until_no_later_run_can_be_elsewhere() -> None:
    """Guards against two runs at once: its sender may have given it up and begun another run."""
    next_owner = _next_owner_with_unanswered_start(OTHER)
    _report(next_owner, asked=3.1)
    next_owner.tick(3.2)
    assert _starts(next_owner) == []
    _report(next_owner, asked=3.3, listed=True, run=2, incarnation=OTHER)
    next_owner.tick(3.4)
    assert (_starts(next_owner), next_owner.executors[FIRST].attempts) == ([], {})


def test_a_start_of_a_former_owner_is_sent_again_once_all_executors_have_answered() -> None:
    next_owner = _next_owner_with_unanswered_start(OTHER)
    _report(next_owner, asked=3.1)
    _report(next_owner, asked=3.3, incarnation=OTHER)
    next_owner.tick(3.4)
    assert [(o.executor_id, o.run) for o in _starts(next_owner)] == [(FIRST, 1)]


def test_a_start_of_a_former_owner_is_dropped_once_it_can_no_longer_arrive() -> None:
    next_owner = _next_owner_with_unanswered_start(OTHER)
    _report(next_owner, asked=3.1)
    next_owner.tick(RECOVERED_AT + MAX_START_DELAY_S)
    assert (next_owner.orders, next_owner.executors[FIRST].attempts) == ([], {})


def test_an_answered_start_of_a_former_owner_has_ended_if_no_executor_lists_it() -> None:
    """The same holds for records of earlier versions, which do not mark unanswered starts."""
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.1)
    next_owner = _next_owner_of(core)
    _report(next_owner, asked=3.1)
    assert (next_owner.orders, next_owner.executors[FIRST].attempts) == ([], {})


def test_a_start_of_a_former_owner_is_stopped_if_its_job_was_cancelled() -> None:
    next_owner = _next_owner_with_unanswered_start()
    next_owner.cancel_job(JOB)
    _report(next_owner, asked=3.1)
    assert next_owner.orders == [StopOrder(FIRST, TASK, 1)]


def test_neither_of_two_recorded_runs_is_sent_again() -> None:
    """One run is a speculative copy, which the record does not distinguish from the original."""
    core = _core(OTHER)
    plan(core, 1.0)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.place(task, core.executors[OTHER], 1.1, speculative=True)
    next_owner = _next_owner_of(core)
    _report(next_owner, asked=3.1)
    _report(next_owner, asked=3.2, incarnation=OTHER)
    next_owner.tick(3.3)
    assert next_owner.orders == [StopOrder(FIRST, TASK, 1), StopOrder(OTHER, TASK, 2)]


# Withheld ends


def _withhold_end(core: ShardCore) -> None:
    """Have a core withhold the end of a job's only task."""
    _leave_unanswered_and_resend(core)
    (order,) = _starts(core)
    confirm_start(core, order, 2.2)
    _report(core, DONE, asked=2.5)
    assert core.executors[FIRST].withheld_ends == {1}
    assert not _acknowledges(core, 2.6)


@pytest.mark.parametrize("owners", [1, 2])
@pytest.mark.parametrize("job", ["done", "finished"])
def test_a_withheld_end_stays_withheld_at_the_next_owner(job: str, owners: int) -> None:
    """Guards against a task that runs twice, as its end is acknowledged once no record is left."""
    core = _core()
    _withhold_end(core)
    if job == "finished":
        core.on_finished(JOB)
        core.tick(2.7)
        assert core.jobs == {}
    for _ in range(owners):
        core = _next_owner_of(core)
    _report(core, DONE, asked=3.2)
    assert not _acknowledges(core, 3.2 + MAX_START_DELAY_S - 0.01)
    assert _acknowledges(core, 3.2 + MAX_START_DELAY_S)
    assert core.executors[FIRST].withheld_ends == set()


def test_a_withheld_end_that_is_no_longer_reported_is_removed_from_the_record() -> None:
    core = _core()
    _withhold_end(core)
    next_owner = _next_owner_of(core)
    _report(next_owner, asked=3.1)
    assert next_owner.executors[FIRST].roster_record.withheld_ends == ()


def test_ends_of_the_next_incarnation_are_not_withheld_for_the_previous_one() -> None:
    core = _core()
    _withhold_end(core)
    next_owner = _next_owner_of(core)
    _report(next_owner, DONE, asked=3.2, incarnation=SECOND)
    assert _acknowledges(next_owner, 3.3, SECOND)


def test_a_roster_holds_withheld_ends_where_earlier_versions_do_not_look() -> None:
    core = _core()
    changes = Changes(core)
    changes.roster = frozenset(core.executors)
    _withhold_end(core)
    assert changes.roster_changed()
    roster = encode_roster(e.roster_record for e in core.executors.values())
    (row,) = orjson.loads(roster)
    assert row[7:] == [1_000, [1]]
    (record,) = decode_roster(roster)
    assert (record.executor_id, record.withheld_ends, record.is_placeholder) == (FIRST, (1,), False)


# Runs that are on no record


@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_withholds_the_end_of_a_run_that_is_on_no_record(*, listed: bool) -> None:
    """Guards against a task that runs twice, as a lost owner recorded neither of its two starts."""
    next_owner = _next_owner_of(_core())
    if listed:
        _report(next_owner, asked=3.1, listed=True)
    _report(next_owner, DONE, asked=3.1)
    assert not _acknowledges(next_owner, 3.1 + MAX_START_DELAY_S - 0.01)
    assert _acknowledges(next_owner, 3.1 + MAX_START_DELAY_S)


@pytest.mark.parametrize("kind", [EndKind.DONE, EndKind.FAILED])
def test_a_next_owner_does_not_withhold_an_end_that_is_on_record(kind: EndKind) -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.1)
    end = DONE._replace(kind=kind)
    _report(core, end, asked=2.0)
    next_owner = _next_owner_of(core)
    _report(next_owner, end, asked=3.1)
    assert _acknowledges(next_owner, 3.2)
