"""Starts that a former owner sent and had no answer to, as the next owner deals with them."""

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
from tests.shard.builders import JOB, add_executor, core_with, plan, started, submitted

FIRST, SECOND = (Incarnation("e0", started_at_ms).name for started_at_ms in (1_000, 2_000))

OTHER = Incarnation("e1", 1_000).name

TASK = TaskName(JOB, 0, 0, 0)

DONE = EndedTask(1, TASK, 1, EndKind.DONE, "")

RECOVERED_AT = 3.0
"""When a next owner has read the records."""


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
    """Have a life answer."""
    running = (RunningTask(TASK, run, "", 50, None),) if listed else ()
    started_at_ms = Incarnation.of(incarnation).started_at_ms
    core.on_report(
        incarnation,
        ExecutorReport(asked, running, ended, True, started_at_ms),
        asked=asked,
        now=asked,
    )


def _sent_again(core: ShardCore) -> None:
    """Have a start get no answer, and sent again."""
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _report(core, asked=2.1)


def _heir(core: ShardCore) -> ShardCore:
    """Return the core of a next owner, from the records of one."""
    heir = core_with(executors=0)
    heir.jobs.clear()
    roster = encode_roster(e.roster_record for e in core.executors.values())
    heir.inherit(decode_roster(roster), 20.0)
    for job_id, job in core.jobs.items():
        progress = {0: encode_run(job.runs[0])}
        sent = submitted(step(1), job_id=job_id)
        heir.add_job(sent, RECOVERED_AT, inherited=True, begun=True, progress=progress)
    return heir


def _left_unanswered(*others: str) -> ShardCore:
    """Return a next owner's core, where the record tells of a start without an answer."""
    core = _core(*others)
    (order,) = plan(core, 1.0)
    assert order.executor_id == FIRST
    return _heir(core)


def _acknowledges(core: ShardCore, at: float, incarnation: str = FIRST) -> bool:
    """Whether a life may forget an end at a time by which all is on record."""
    for job in core.jobs.values():
        job.runs[0].durable = job.runs[0].version
    return core.executors[incarnation].advance_acknowledged(at)


def _starts(core: ShardCore) -> list[StartOrder]:
    return [order for order in core.orders if isinstance(order, StartOrder)]


@pytest.mark.parametrize("owners", [1, 2])
@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_holds_the_end_of_a_run_whose_first_order_may_come(
    owners: int, *, listed: bool
) -> None:
    """Guards against an end that a next owner has forgotten while an order may come: TWICE."""
    core = _core()
    _sent_again(core)
    (order,) = _starts(core)
    started(core, order, 2.2)
    for _ in range(owners):
        core = _heir(core)
    if listed:
        _report(core, asked=3.1, listed=True)
    _report(core, DONE, asked=3.2)
    assert not _acknowledges(core, RECOVERED_AT + MAX_START_DELAY_S - 0.01)
    assert _acknowledges(core, RECOVERED_AT + MAX_START_DELAY_S)


@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_holds_the_end_of_a_run_whose_start_had_no_answer_yet(*, listed: bool) -> None:
    """Guards against a start that an owner sent again and could not record: TWICE."""
    heir = _left_unanswered()
    if listed:
        _report(heir, asked=3.1, listed=True)
    _report(heir, DONE, asked=3.2)
    assert not _acknowledges(heir, RECOVERED_AT + MAX_START_DELAY_S - 0.01)
    assert _acknowledges(heir, RECOVERED_AT + MAX_START_DELAY_S)


@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_holds_no_end_of_a_run_whose_start_was_answered(*, listed: bool) -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 1.1)
    heir = _heir(core)
    if listed:
        _report(heir, asked=3.1, listed=True)
    _report(heir, DONE, asked=3.2)
    assert _acknowledges(heir, 3.3)


@pytest.mark.parametrize("by", ["answer", "report"])
def test_a_run_that_was_recorded_before_it_was_answered_is_recorded_again(by: str) -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.dirty.clear()
    if by == "answer":
        started(core, order, 1.1)
    else:
        core.on_start_unanswered(order, 2.0)
        _report(core, asked=2.1, listed=True)
    (run,) = core.dirty.values()
    assert orjson.loads(encode_run(run))[0][0][3] == [[1, "e0", 1_000]]


def test_an_owner_holds_no_end_of_a_run_whose_only_order_was_carried_out() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _report(core, DONE, asked=2.1)
    assert _acknowledges(core, 2.2)


def test_a_run_that_was_answered_takes_no_more_on_record() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    run = core.jobs[JOB].runs[0]
    assert orjson.loads(encode_run(run))[0][0][3] == [[1, "e0", 1_000, 1]]
    started(core, order, 1.1)
    assert orjson.loads(encode_run(run))[0][0][3] == [[1, "e0", 1_000]]


def test_a_start_that_is_sent_again_is_put_on_record() -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    core.dirty.clear()
    _report(core, asked=2.1)
    (run,) = core.dirty.values()
    assert orjson.loads(encode_run(run))[0][0][3] == [[1, "e0", 1_000, 2]]


# Starts that nobody names


@pytest.mark.parametrize("owners", [1, 2])
def test_a_start_of_a_former_owner_goes_on_there_and_nowhere_else(owners: int) -> None:
    """Guards against a run that begins beside a former owner's start, or ends before it: TWICE."""
    heir = _left_unanswered(OTHER)
    for _ in range(owners - 1):
        heir = _heir(heir)
    _report(heir, asked=3.1, incarnation=OTHER)
    _report(heir, asked=3.2)
    assert [(o.executor_id, o.run) for o in plan(heir, 3.3)] == [(FIRST, 1)]
    (attempt,) = heir.jobs[JOB].runs[0].steps[0].tasks[0].attempts
    assert (attempt.phase, attempt.starts) == (Phase.STARTING, 2)
    _report(heir, DONE, asked=3.5)
    assert not _acknowledges(heir, RECOVERED_AT + MAX_START_DELAY_S - 0.01)


def test_a_start_of_a_former_owner_goes_on_at_the_next_life() -> None:
    heir = _left_unanswered()
    _report(heir, asked=3.1, incarnation=SECOND)
    heir.executors[SECOND].rostered = True
    _report(heir, asked=3.2, incarnation=SECOND)
    assert [(o.executor_id, o.run) for o in _starts(heir)] == [(SECOND, 1)]


def test_a_start_of_a_former_owner_waits_until_no_later_run_can_be_elsewhere() -> None:
    """Guards against two runs at once: its sender may have given it up, and begun another."""
    heir = _left_unanswered(OTHER)
    _report(heir, asked=3.1)
    heir.tick(3.2)
    assert _starts(heir) == []
    _report(heir, asked=3.3, listed=True, run=2, incarnation=OTHER)
    heir.tick(3.4)
    assert (_starts(heir), heir.executors[FIRST].attempts) == ([], {})


def test_a_start_of_a_former_owner_goes_on_once_all_others_have_answered() -> None:
    heir = _left_unanswered(OTHER)
    _report(heir, asked=3.1)
    _report(heir, asked=3.3, incarnation=OTHER)
    heir.tick(3.4)
    assert [(o.executor_id, o.run) for o in _starts(heir)] == [(FIRST, 1)]


def test_a_start_of_a_former_owner_is_given_up_when_it_cannot_come_any_more() -> None:
    heir = _left_unanswered(OTHER)
    _report(heir, asked=3.1)
    heir.tick(RECOVERED_AT + MAX_START_DELAY_S)
    assert (heir.orders, heir.executors[FIRST].attempts) == ([], {})


def test_a_start_of_a_former_owner_that_had_an_answer_is_over_when_nobody_names_it() -> None:
    """As on records of earlier versions, which tell of no starts on their way."""
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 1.1)
    heir = _heir(core)
    _report(heir, asked=3.1)
    assert (heir.orders, heir.executors[FIRST].attempts) == ([], {})


def test_a_start_of_a_former_owner_is_stopped_where_its_job_was_cancelled() -> None:
    heir = _left_unanswered()
    heir.cancel_job(JOB)
    _report(heir, asked=3.1)
    assert heir.orders == [StopOrder(FIRST, TASK, 1)]


def test_of_two_runs_on_record_neither_is_sent_again() -> None:
    """One of them was a copy, which the record does not tell from what it ran beside."""
    core = _core(OTHER)
    plan(core, 1.0)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.place(task, core.executors[OTHER], 1.1, speculative=True)
    heir = _heir(core)
    _report(heir, asked=3.1)
    _report(heir, asked=3.2, incarnation=OTHER)
    heir.tick(3.3)
    assert heir.orders == [StopOrder(FIRST, TASK, 1), StopOrder(OTHER, TASK, 2)]


# Ends that were held back


def _holds(core: ShardCore) -> None:
    """Have a core hold the end of the only task of a job."""
    _sent_again(core)
    (order,) = _starts(core)
    started(core, order, 2.2)
    _report(core, DONE, asked=2.5)
    assert core.executors[FIRST].withheld_ends == {1}
    assert not _acknowledges(core, 2.6)


@pytest.mark.parametrize("owners", [1, 2])
@pytest.mark.parametrize("job", ["done", "finished"])
def test_an_end_that_was_held_back_is_held_by_the_next_owner_too(job: str, owners: int) -> None:
    """Guards against an end that is forgotten, as no record of its run is left: TWICE."""
    core = _core()
    _holds(core)
    if job == "finished":
        core.on_finished(JOB)
        core.tick(2.7)
        assert core.jobs == {}
    for _ in range(owners):
        core = _heir(core)
    _report(core, DONE, asked=3.2)
    assert not _acknowledges(core, 3.2 + MAX_START_DELAY_S - 0.01)
    assert _acknowledges(core, 3.2 + MAX_START_DELAY_S)
    assert core.executors[FIRST].withheld_ends == set()


def test_an_end_that_was_held_back_until_it_was_acknowledged_is_no_longer_on_record() -> None:
    core = _core()
    _holds(core)
    heir = _heir(core)
    _report(heir, asked=3.1)
    assert heir.executors[FIRST].roster_record.withheld_ends == ()


def test_ends_of_the_next_life_are_not_held_for_the_one_before() -> None:
    core = _core()
    _holds(core)
    heir = _heir(core)
    _report(heir, DONE, asked=3.2, incarnation=SECOND)
    assert _acknowledges(heir, 3.3, SECOND)


def test_a_roster_holds_them_where_earlier_versions_do_not_look() -> None:
    core = _core()
    changes = Changes(core)
    changes.roster = frozenset(core.executors)
    _holds(core)
    assert changes.roster_changed()
    roster = encode_roster(e.roster_record for e in core.executors.values())
    (row,) = orjson.loads(roster)
    assert row[7:] == [1_000, [1]]
    (record,) = decode_roster(roster)
    assert (record.executor_id, record.withheld_ends, record.is_placeholder) == (FIRST, (1,), False)


# Runs that no record names


@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_holds_the_end_of_a_run_that_is_on_no_record(*, listed: bool) -> None:
    """Guards against starts of an owner that could record neither the first nor the second."""
    heir = _heir(_core())
    if listed:
        _report(heir, asked=3.1, listed=True)
    _report(heir, DONE, asked=3.1)
    assert not _acknowledges(heir, 3.1 + MAX_START_DELAY_S - 0.01)
    assert _acknowledges(heir, 3.1 + MAX_START_DELAY_S)


@pytest.mark.parametrize("kind", [EndKind.DONE, EndKind.FAILED])
def test_a_next_owner_holds_no_end_that_is_on_record(kind: EndKind) -> None:
    core = _core()
    (order,) = plan(core, 1.0)
    started(core, order, 1.1)
    end = DONE._replace(kind=kind)
    _report(core, end, asked=2.0)
    heir = _heir(core)
    _report(heir, end, asked=3.1)
    assert _acknowledges(heir, 3.2)
