"""What an owner states about its starts when it releases a shard, and what the next one does."""

from __future__ import annotations

import orjson
import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.ownership.owner_record import RESERVATION_NUMBER, OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import OwnerView
from linkspan.store.types import Entry
from tests.job_builders import step
from tests.shard.builders import add_executor, core_with, plan, submitted_job
from tests.shard.crash_builders import core_of_shard

GONE = "machine service no longer lists it"


def _view(*records: OwnerRecord) -> OwnerView:
    view = OwnerView("b", "b-1", home=True)
    for offset, record in enumerate(records):
        view.apply(Entry(offset, record.encode()), 1.0)
    return view


def _claim(host: str) -> list[OwnerRecord]:
    identity = OwnerAct.CLAIM, host, f"{host}-1"
    return [OwnerRecord(*identity, number=RESERVATION_NUMBER), OwnerRecord(*identity)]


def _release(*, recorded: bool) -> OwnerRecord:
    return OwnerRecord(OwnerAct.RELEASE, "a", "a-1", 2, 1, starts_recorded=recorded)


def test_only_the_release_right_before_a_claim_tells_that_starts_are_on_record() -> None:
    """Guards against a later owner, lost without a word, whose starts count as recorded."""
    released = [*_claim("a"), _release(recorded=True)]
    assert _view(*released).starts_recorded
    assert not _view(*released, *_claim("c")).starts_recorded
    assert not _view(*_claim("a"), _release(recorded=False)).starts_recorded
    assert not _view(*_claim("a")).starts_recorded


def test_records_hidden_by_a_gap_may_be_claims() -> None:
    """Guards against an owner that this host has not read of, whose starts count as recorded."""
    view = _view(*_claim("a"), _release(recorded=True))
    view.on_gap(2.0)
    assert not view.starts_recorded


def test_a_release_stays_readable_for_earlier_versions() -> None:
    """Guards against hosts of two versions that claim a shard from each other.

    Earlier versions read five fields, and pass over a summary that is none.
    """
    assert orjson.loads(_release(recorded=True).encode())[:6] == ["release", "a", "a-1", 2, 1, None]
    assert OwnerRecord.decode(orjson.dumps(["release", "a", "a-1", 2, 1])) == _release(
        recorded=False
    )
    assert OwnerRecord.decode(_release(recorded=True).encode()) == _release(recorded=True)


def _next_owner(*, recorded: bool) -> ShardCore:
    """Return an owner that inherits two executors, of which one is proved to have ended."""
    core = core_of_shard(0)
    former = core_with(executors=0)
    for name in ("a@1000", "b@1000"):
        add_executor(former, name)
    roster = [executor.record for executor in former.executors.values()]
    core.inherit(roster, 10.0, starts_recorded=recorded)
    core.add_job(submitted_job(step(1, standing=True)), 1.0, inherited=True)
    add_executor(core, "b@1000")
    core.on_silent("a@1000", 1.5)
    core.on_incarnation_ended("a@1000", 2.0, GONE, since=1.6)
    return core


@pytest.mark.parametrize("recorded", [False, True])
def test_inherited_work_waits_for_next_incarnations_only_where_starts_may_be_unrecorded(
    recorded: bool,
) -> None:
    """Guards against a wait without need, and against a start beside an unrecorded one."""
    core = _next_owner(recorded=recorded)
    assert bool(plan(core, 2.1)) is recorded
    assert core.knows_all_starts(2.1) is recorded


def test_an_owner_that_abandoned_a_start_does_not_know_all_that_may_arrive() -> None:
    """Guards against a next owner that takes an abandoned start for one that was never sent."""
    core = core_with(step(1, standing=True), executors=0)
    assert core.knows_all_starts(6.0)
    add_executor(core, "a@1000")
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    core.on_silent("a@1000", 2.1)
    core.on_incarnation_ended("a@1000", 3.0, GONE, since=2.2)
    for tenth in range(30, 80):
        core.tick(tenth / 10)
        core.on_silent("a", tenth / 10)
        core.executors_to_poll_closely(tenth / 10)
    assert not core.jobs[order.task.job_id].runs[0].steps[0].tasks[0].attempts, "abandoned"
    assert not core.knows_all_starts(8.0)
    assert core.knows_all_starts(20.0)
