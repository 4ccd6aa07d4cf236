"""Since when a standing task waits, as the next owner restores it from records."""

from __future__ import annotations

from dataclasses import replace

import orjson
import pytest

from linkspan.jobs.spec import Schedule
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import EndedTask, EndKind
from linkspan.shard.recovery._recorded_wait import MAX_RECORDED_WAIT_S
from linkspan.shard.recovery.progress import encode_run
from linkspan.shard.task import Task
from tests.job_builders import step
from tests.shard.builders import (
    JOB,
    confirm_start,
    core_with,
    plan,
    report_ends,
    submitted_job,
)
from tests.shard.crash_builders import (
    OTHER_SHARD,
    core_of_shard,
    delegate,
    next_owner_of,
    only_task,
    other_hall_with,
)
from tests.shard.standing_builders import refuse

TAKEOVER_AT = 20.0
STANDING = step(1, standing=True)


def _restored(core: ShardCore, **clocks: float) -> Task:
    """Return the only task as a next owner restores it, from the clocks of writer and reader."""
    submitted = core.jobs[JOB].submitted
    value = encode_run(core.jobs[JOB].runs[0], clocks.get("writer", 0.0))
    owner = core_of_shard(0)
    owner.add_job(
        submitted,
        TAKEOVER_AT,
        inherited=True,
        progress={0: value},
        wall_offset_s=clocks.get("reader", 0.0),
    )
    return only_task(owner)


def _core_after_run() -> ShardCore:
    """Return an owner whose only task has been waiting since its run failed at 5 s."""
    core = core_with(STANDING, executors=1)
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.0)
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(core, "e0", end, asked=5.0, now=5.0)
    return core


def test_a_wait_goes_on_from_acceptance_without_any_record() -> None:
    """Guards against a wait that begins anew for a task of which no owner recorded anything."""
    owner = core_of_shard(0)
    owner.add_job(submitted_job(STANDING, accepted=7.0), TAKEOVER_AT, inherited=True)
    assert (only_task(owner).waiting_since, only_task(owner).ready_since) == (7.0, 7.0)


def test_a_wait_goes_on_from_acceptance_where_a_job_moves() -> None:
    """Guards against a wait that begins anew in the hall that a job moves to as a whole."""
    other = core_of_shard(OTHER_SHARD)
    other.add_job(submitted_job(STANDING, accepted=7.0), TAKEOVER_AT, moved=True)
    assert only_task(other).waiting_since == 7.0
    assert only_task(other).ready_since == TAKEOVER_AT, "it could not start here before"


def test_a_wait_goes_on_after_the_last_run() -> None:
    """Guards against a wait that begins anew although its task's last run ended long ago."""
    assert _restored(_core_after_run()).waiting_since == 5.0


def test_a_wait_goes_on_after_a_refused_and_an_unanswered_start() -> None:
    """Guards against a wait that begins anew as a start, which began no run, is on record."""
    core = core_with(STANDING, executors=1)
    refuse(core, plan(core, 1.0), 1.0)
    assert _restored(core).waiting_since == 0.0
    (order,) = plan(core, 3.0)
    core.on_start_unanswered(order, 4.0)
    assert _restored(core).waiting_since == 0.0


def test_a_wait_goes_on_in_the_other_hall() -> None:
    """Guards against a wait that begins anew, or from the delegation, where the owner changes."""
    other = other_hall_with(delegate(core_with(STANDING, executors=0), now=2.0), 2.5)
    owner = next_owner_of(other, TAKEOVER_AT, delegated_here=[])
    assert only_task(owner).waiting_since == pytest.approx(0.5, abs=0.1)
    assert only_task(owner).ready_since == pytest.approx(2.5, abs=0.1)


def test_a_wait_goes_on_where_the_step_opened_late() -> None:
    """Guards against a wait from acceptance for a task whose step had yet to open."""
    core = core_with(step(1), step(1, standing=True, depends_on=(0,)), executors=1)
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.0)
    report_ends(
        core, "e0", EndedTask(1, order.task, order.run, EndKind.DONE, ""), asked=6.0, now=6.0
    )
    owner = next_owner_of(core, TAKEOVER_AT)
    assert owner.jobs[JOB].runs[0].steps[1].tasks[0].waiting_since == 6.0


def test_a_task_does_not_wait_before_it_is_due() -> None:
    """Guards against a wait that counts from the acceptance of a job that is due later."""
    submitted = submitted_job(STANDING)
    spec = replace(submitted.spec, schedule=Schedule(1, TAKEOVER_AT + 5.0, 1.0))
    owner = core_of_shard(0)
    owner.add_job(replace(submitted, spec=spec), TAKEOVER_AT, inherited=True)
    owner.release_due(TAKEOVER_AT + 6.0, TAKEOVER_AT + 6.0)
    assert only_task(owner).waiting_since == TAKEOVER_AT + 6.0


def test_hosts_whose_steady_clocks_differ_agree_on_a_wait() -> None:
    """Guards against steady times on record: each host has a steady clock of its own."""
    clocks = {"writer": 1_000_000.0, "reader": 999_990.0}
    assert _restored(_core_after_run(), **clocks).waiting_since == 15.0


@pytest.mark.parametrize(("reader", "since"), [(-3_600.0, TAKEOVER_AT), (3.0, 2.0), (9e9, None)])
def test_a_wrong_clock_makes_no_wait_that_ends_later_or_never(
    reader: float, since: float | None
) -> None:
    """Guards against a wait of less than nothing, or of years, after a step of the clock."""
    limit = TAKEOVER_AT - MAX_RECORDED_WAIT_S
    task = _restored(_core_after_run(), writer=0.0, reader=reader)
    assert task.waiting_since == (limit if since is None else since)
    assert task.ready_since <= TAKEOVER_AT


def test_a_record_of_an_earlier_version_lets_a_task_wait_from_now_on() -> None:
    """Guards against a record without the field being passed over, or read as a wait of years."""
    core = _core_after_run()
    ((row,),) = orjson.loads(encode_run(core.jobs[JOB].runs[0]))
    owner = core_of_shard(0)
    owner.add_job(
        core.jobs[JOB].submitted,
        TAKEOVER_AT,
        inherited=True,
        progress={0: orjson.dumps([[row[:5]]])},
    )
    assert only_task(owner).waiting_since == TAKEOVER_AT


def test_rows_of_tasks_that_do_not_wait_stay_short() -> None:
    """Guards against records that grow by a time for each task of each job."""
    core = core_with(step(2, standing=True, cpu=5_000), step(1), executors=1)
    for order in plan(core, 1.0):
        confirm_start(core, order, 1.0)
    (running, waiting), (short,) = orjson.loads(encode_run(core.jobs[JOB].runs[0]))
    assert (len(running), waiting, len(short)) == (5, 0, 5)


def test_a_run_that_is_found_ends_a_recorded_wait() -> None:
    """Guards against a task that counts as waiting since before its last run."""
    core = core_with(STANDING, executors=1)
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.0)
    assert _restored(core).waiting_since == TAKEOVER_AT, "it may have run until now"
