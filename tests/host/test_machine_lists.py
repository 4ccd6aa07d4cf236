"""What a list of machines proves: one that leaves a machine out does not show it gone."""

from __future__ import annotations

import asyncio

from linkspan.shard.machines import MachineRecord
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

CUT_S = 4.5
"""Time for which the owner does not reach the executor: within its lease."""


class ShiftingPages(HallWorld):
    """Leaves one executor out of one list, as pages do whose rows move between two calls."""

    left_out = ""

    async def machines(self) -> tuple[MachineRecord, ...]:
        rows = await super().machines()
        if not self.left_out or not self.log.named("EXECUTOR_SILENT"):
            return rows
        name, self.left_out = self.left_out, ""
        return tuple(row for row in rows if row.executor_id != name)


def test_a_cut_executor_that_one_list_leaves_out_is_not_gone() -> None:
    """Its task was started elsewhere while it ran there."""

    async def play() -> HallWorld:
        world = ShiftingPages()
        await world.begin()
        spec = world.new_job(step(1, estimate_s=6.0))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(0.5)
        executor = next(e for e in world.executors.values() if e.running)
        world.left_out = executor.record.executor_id
        owner = world.owner()
        assert owner
        world.cuts.add((owner, executor.record.address))
        await asyncio.sleep(CUT_S)
        world.cuts.clear()
        await world.wait_for("east-host-0", spec.job_id, "succeeded")
        assert not world.left_out
        return world

    assert run_virtual(play()).problems == []
