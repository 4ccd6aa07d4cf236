"""Starts that a former owner sent and had no answer to, as the next owner deals with them."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartOrder,
    TaskName,
)
from linkspan.shard.orders._orders import LATE_START_S
from linkspan.shard.recovery.progress import decode_roster, encode_roster, encode_run
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, started, submitted

FIRST, SECOND = (Incarnation("e0", born).name for born in (1_000, 2_000))

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
    life: str = FIRST,
) -> None:
    """Have a life answer, to whom its id's newest one is asked."""
    running = (RunningTask(TASK, 1, "", 50, None),) if listed else ()
    born = Incarnation.of(life).born
    core.on_report(life, ExecutorReport(asked, running, ended, True, born), asked=asked, now=asked)


def _sent_again(core: ShardCore) -> None:
    """Have a start get no answer, and sent again."""
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _report(core, asked=2.1)


def _heir(core: ShardCore, at: float = RECOVERED_AT, **rows: Any) -> ShardCore:
    """Return the core of a next owner, from the records of one."""
    heir = core_with(executors=0)
    heir.jobs.clear()
    heir.inherit(decode_roster(encode_roster([e.record for e in core.executors.values()])), 20.0)
    progress = {0: rows.get("progress") or encode_run(core.jobs[JOB].runs[0])}
    heir.add_job(submitted(step(1)), at, inherited=True, begun=True, progress=progress)
    return heir


def _acknowledges(core: ShardCore, at: float) -> bool:
    """Whether a life may forget an end at a time by which all is on record."""
    run = core.jobs[JOB].runs[0]
    run.durable = run.version
    return core.executors[FIRST].advance_acknowledged(at)


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
    assert not _acknowledges(core, RECOVERED_AT + LATE_START_S - 0.01)
    assert _acknowledges(core, RECOVERED_AT + LATE_START_S)


@pytest.mark.parametrize("listed", [True, False])
def test_a_next_owner_holds_no_end_of_a_run_whose_only_order_was_carried_out(
    *, listed: bool
) -> None:
    core = _core()
    plan(core, 1.0)
    heir = _heir(core)
    if listed:
        _report(heir, asked=3.1, listed=True)
    _report(heir, DONE, asked=3.2)
    assert _acknowledges(heir, 3.3)


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
