"""A roster may hold the address of another writer's entry, as earlier versions wrote it there."""

from __future__ import annotations

from dataclasses import replace

from linkspan.shard.messages import ExecutorReport
from linkspan.shard.recovery.progress import encode_run
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan
from tests.shard.crash_builders import core_of_shard

OWN, OTHER = "e0@1000", "e1@1000"
OTHER_ADDRESS = "e1:1"


# Guards against a task that runs twice: another executor answers at an address on the roster.
def test_another_executor_at_the_address_on_a_roster_ends_no_run() -> None:
    former = core_with(step(1, standing=True), executors=0)
    add_executor(former, OWN)
    (order,) = plan(former, 0.1)
    confirm_start(former, order, 0.1)
    own = former.executors[OWN].record
    other = replace(own, executor_id=OTHER, address=OTHER_ADDRESS)

    owner = core_of_shard(former.shard)
    owner.inherit([replace(own, address=OTHER_ADDRESS)], 12.0)
    owner.add_job(
        former.jobs[JOB].submitted,
        2.0,
        inherited=True,
        begun=True,
        progress={0: encode_run(former.jobs[JOB].runs[0], 0.0)},
    )
    # The executor has rewritten its own entry.
    owner.list_executors([own, other], 2.0)
    owner.on_other_answered(OWN, owner.executors[OWN].record.address, 2.1)
    (task,) = owner.jobs[JOB].runs[0].tasks()
    assert task.attempts, "the task runs and counts as ended"

    owner.tick(2.2)
    assert owner.executors[OWN].record.address == own.address
    report = ExecutorReport(2.3, (), (), started_at_ms=1000)
    owner.on_report(OTHER, report, asked=2.25, now=2.3)
    assert task.attempts
