"""Tests that an older entry at an executor's address does not prove that the executor has ended.

Guards against a task that runs on two executors at once after a takeover. An executor crashes, the
next one at its address takes work, and the first one's entry is still there, as entries expire
after three missed heartbeats. The second one's entry is missing: the store dropped it while it was
down, or it does not decode. A new owner that reads the old entry alone may take it for a newer one
and consider the executor that runs the task gone. Its first call to the address shows otherwise.
"""

from __future__ import annotations

from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorRecord
from tests.job_builders import step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    plan,
    report_ends,
    submitted_job,
)

LEASES_EXPIRED_AT_S = 20.0
"""Steady time by which all leases of the previous owner have expired."""


def record_at_shared_address(name: str) -> ExecutorRecord:
    return ExecutorRecord(name, "pool", "shared:1", "east", Demand(8_000, 32_000), frozenset(), "r")


def test_an_inherited_executor_has_not_ended_by_the_entry_of_the_previous_one() -> None:
    core = core_with(step(1), executors=0)
    core.remove_moved(JOB)
    core.departed_jobs.clear()
    add_executor(core, "idle")
    idle = core.executors["idle"].record
    core.inherit([record_at_shared_address("second")], until=LEASES_EXPIRED_AT_S)
    core.list_executors([idle, record_at_shared_address("first")], 0.0)
    core.add_job(submitted_job(step(1)), 0.0, inherited=True)
    report_ends(core, "idle", asked=0.1, now=0.1)
    assert "second" in core.awaiting_report_ids
    assert plan(core, 0.2) == []


def test_a_run_has_not_ended_by_the_entry_of_the_previous_executor() -> None:
    core = _core_with_run_at_second()
    core.list_executors([record_at_shared_address("first")], 1.0)
    assert "second" in core.executors


def _core_with_run_at_second() -> ShardCore:
    core = core_with(step(1), executors=0)
    core.list_executors([record_at_shared_address("first")], 0.0)
    core.list_executors(
        [record_at_shared_address("first"), record_at_shared_address("second")], 0.1
    )
    core.executors["second"].rostered = True
    report_ends(core, "second", asked=0.2, now=0.2)
    (order,) = plan(core, 0.3)
    assert order.executor_id == "second"
    confirm_start(core, order, 0.4)
    return core
