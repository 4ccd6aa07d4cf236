"""Tests the line and the gauge on work that waits beside room in another hall."""

from __future__ import annotations

import asyncio

from linkspan.events import Event
from linkspan.jobs.spec import Demand
from linkspan.shard.handover._staying_work import staying_tasks
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind
from tests.accepted_jobs import accept_in
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.shard.builders import JOB, core_with
from tests.virtual_time import run_virtual

WIDE = ExecutorKind("pool", Demand(8_000, 32_000), frozenset(), 2)
ROOMY = HallSummary(
    capacity=16_000,
    free=16_000,
    free_by_executor=((8_000, 32_000), (8_000, 32_000)),
    kinds=(WIDE,),
    rows_by_kind=(2,),
)
REPORTED_S = 10.0


def test_waiting_work_of_any_kind_is_named_beside_room() -> None:
    """Guards against lost work that no line and no gauge tells, as that of a hall's lost rack."""
    core = core_with(step(3, cpu=4_000), step(1, cpu=1_000, best_effort=True), executors=0)
    named = staying_tasks(core, {1: ROOMY}, 4.0)
    assert {s.index: (len(w.tasks), w.slots) for s, w in named.items()} == {
        0: (3, {1: 4}),
        1: (1, {1: 2 * (32_000 // 100)}),
    }
    assert staying_tasks(core, {1: ROOMY}, 2.0) == {}
    assert staying_tasks(core, {1: HallSummary()}, 4.0) == {}


def test_a_gang_is_named_only_beside_room_for_all_of_it() -> None:
    """Guards against lines on gangs that no hall could start."""
    core = core_with(step(3, cpu=8_000, gang=True), executors=0)
    assert core.jobs[JOB]
    assert staying_tasks(core, {1: ROOMY}, 4.0) == {}


def test_the_line_has_the_reason_why_work_stays() -> None:
    """Guards against a wait beside room of which the logs do not tell why it does not end."""

    async def play() -> None:
        world = HallWorld(halls=("east", "west"), hosts_per_hall=1)
        await world.begin()
        spec = world.new_job(step(1, cpu=8_000, estimate_s=500.0))
        accept_in(world, spec)
        await asyncio.sleep(2.0)
        # The other hall has room in its summary, but none that is near enough to be chosen.
        core = next(
            c.tenure.core for c in [r.host.candidates[0] for r in world.hosts.values()] if c.tenure
        )
        core.jobs[spec.job_id].handing_over = True
        for executor in [e for e in world.executors if e.startswith("east")]:
            world.crash_executor(executor, back=False)
        await asyncio.sleep(REPORTED_S)
        lines = world.log.named(Event.WORK_STAYS.name)
        assert lines[0]["job"] == spec.job_id
        assert lines[0]["reason"] == "a handover of its job is being recorded"
        assert lines[0]["elsewhere"]
        pages = [running.host._metrics.page()[0].decode() for running in world.hosts.values()]
        assert any('linkspan_staying_tasks{hall="east"} 1' in page for page in pages)

    run_virtual(play())
