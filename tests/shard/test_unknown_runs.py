"""Tests runs that an executor lists and whose job the shard does not know."""

from __future__ import annotations

from linkspan.model.configuration import Configuration, Service
from linkspan.shard.messages import ExecutorReport, RunningTask, TaskName
from tests.job_builders import QUEUE, step
from tests.shard.builders import core_with, plan, report_ends

UNKNOWN = TaskName("00000000000000bb", 0, 0, 0)


def test_a_run_of_an_unknown_job_takes_capacity_until_it_has_ended() -> None:
    """Guards against an overcommitted executor: how much capacity the run takes is not known."""
    core = core_with(step(8), executors=1)
    services = {"pool": Service("pool", guards_room=False)}
    core.configure(Configuration(2, {QUEUE.name: QUEUE}, services))
    running = RunningTask(UNKNOWN, 1, "", 50, None)
    core.on_report("e0", ExecutorReport(0.1, (running,), ()), asked=0.05, now=0.1)
    assert plan(core, 0.2) == []
    report_ends(core, "e0", asked=1.0, now=1.1)
    assert len(plan(core, 1.2)) == 8
