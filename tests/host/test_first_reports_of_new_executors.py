"""A new executor takes work as soon as it has answered, however slow reads of the store are."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.shard.core import ShardCore
from linkspan.shard.incarnation import Incarnation
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.shard.builders import add_executor, core_with
from tests.virtual_time import run_virtual, world_time

READ_S = 0.6
SETTLED_S = 2.0
READY_S = 0.2
"""Time from a new executor's entry, which a waiting read returns, until it may get starts."""


# Guards against a new executor that waits for a read of the job records though it has no runs.
def test_a_new_executor_does_not_wait_for_the_job_records() -> None:
    async def play() -> float:
        world = HallWorld()
        await world.begin()
        await asyncio.sleep(SETTLED_S)
        for name, _ in world.host_names():
            world.store.read_duration_s[name, JOBS.topic] = READ_S
        began = world_time()
        world.add_executor("east", "east-9:1")
        await asyncio.sleep(SETTLED_S)
        seen, ready = (
            next(at for at, event, _ in world.log.lines if at >= began and event == wanted)
            for wanted in ("EXECUTOR_SEEN", "EXECUTOR_READY")
        )
        assert world.problems == []
        return ready - seen

    assert run_virtual(play()) <= READY_S


def _core_of_next_owner(*, readable: bool) -> ShardCore:
    """Return the core of an owner that has read a roster with e0, beside which e9 registers."""
    core = core_with(step(1), executors=0)
    former = core_with(step(1), executors=1)
    records = [former.executors["e0"].record]
    core.inherit(records, 10.0, read=readable)
    add_executor(former, "e9")
    core.list_executors([e.record for e in former.executors.values()], 0.0)
    return core


# Guards against a former owner's run that counts as not started, since a report omits it.
@pytest.mark.parametrize(("name", "may_omit"), [("e0", True), ("e9", False), ("unknown", True)])
def test_a_first_report_may_omit_runs_where_a_former_owner_could_start_some(
    name: str, *, may_omit: bool
) -> None:
    core = _core_of_next_owner(readable=True)
    assert core.first_report_may_omit_runs(name) is may_omit
    assert _core_of_next_owner(readable=False).first_report_may_omit_runs(name)


# Guards against the same for the next incarnation of an executor on the roster.
def test_a_first_report_of_a_next_incarnation_may_omit_runs() -> None:
    core = _core_of_next_owner(readable=True)
    records = [e.record for e in core.executors.values()]
    following = Incarnation("e0", 1_700_000_000_000).name
    core.list_executors([*records, replace(records[0], executor_id=following)], 0.0)
    assert core.first_report_may_omit_runs(following)
