"""An entry at an executor's address proves nothing while it may be that of its predecessor.

What was suspected: a task runs on two executors at once after a takeover.

How it comes about: an executor crashes, the next life at its address takes work, and the entry
of the first one still stands, as entries do until three heartbeats are missed. The entry of the
second one is missing: the store dropped it while it was down, or it does not decode. The new
owner reads the old entry alone, takes it for that of a successor, and the life that runs the
task for gone. Its first call to the address would have told the contrary.

What proves it: the tests below, on a core without network.
"""

from __future__ import annotations

from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorRecord
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, report, started, submitted

UNTIL = 20.0
"""Steady time by which all leases of the former owner have ended."""


def at_one_address(name: str) -> ExecutorRecord:
    return ExecutorRecord(name, "pool", "shared:1", "east", Demand(8_000, 32_000), frozenset(), "r")


def test_an_inherited_executor_is_not_gone_by_the_entry_of_its_predecessor() -> None:
    core = core_with(step(1), executors=0)
    core.remove_moved(JOB)
    core.departed_jobs.clear()
    add_executor(core, "idle")
    idle = core.executors["idle"].record
    core.inherit([at_one_address("second")], until=UNTIL)
    core.list_executors([idle, at_one_address("first")], 0.0)
    core.add_job(submitted(step(1)), 0.0, inherited=True)
    report(core, "idle", asked=0.1, now=0.1)
    assert "second" in core.awaiting_report_ids
    assert plan(core, 0.2) == []


def test_a_run_is_not_over_by_the_entry_of_its_executors_predecessor() -> None:
    core = _with_run_at_second()
    core.list_executors([at_one_address("first")], 1.0)
    assert "second" in core.executors


def _with_run_at_second() -> ShardCore:
    core = core_with(step(1), executors=0)
    core.list_executors([at_one_address("first")], 0.0)
    core.list_executors([at_one_address("first"), at_one_address("second")], 0.1)
    core.executors["second"].rostered = True
    report(core, "second", asked=0.2, now=0.2)
    (order,) = plan(core, 0.3)
    assert order.executor_id == "second"
    started(core, order, 0.4)
    return core
