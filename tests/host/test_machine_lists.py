"""What a list of machines proves: one that leaves a machine out does not show it gone."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.machines import MachineList, MachineRecord, UnreadMachines
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

CUT_S = 4.5
"""Time for which the owner does not reach the executor: within its lease."""


class ShiftingPages(HallWorld):
    """Leaves one executor out of one list, as pages do whose rows move between two calls."""

    left_out = ""

    async def machines(self) -> MachineList:
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


CRASH_FOUND_S = 2.0
"""Time within which lists show a crash: two of them, looked at each second and sooner."""


class OddRows(HallWorld):
    """Lists executors by rows that cannot be read."""

    odd: tuple[str, ...] = ()
    names_odd = False

    async def machines(self) -> MachineList:
        return tuple(self._told(row) for row in await super().machines())

    def _told(self, row: MachineRecord | UnreadMachines) -> MachineRecord | UnreadMachines:
        if row.executor_id not in self.odd:
            return row
        return UnreadMachines(row.executor_id if self.names_odd else None)


@pytest.mark.parametrize("names_odd", [False, True])
def test_an_executor_whose_row_cannot_be_read_goes_on(names_odd: bool) -> None:
    """Its task would be started elsewhere while it runs there."""

    async def play() -> HallWorld:
        world = OddRows()
        world.names_odd = names_odd
        await world.begin()
        spec = world.new_job(step(1, estimate_s=6.0))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(0.5)
        executor = next(e for e in world.executors.values() if e.running)
        world.odd = (executor.record.executor_id,)
        await world.wait_for("east-host-0", spec.job_id, "succeeded")
        assert not world.log.named("EXECUTOR_GONE")
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1]


def test_a_named_odd_row_does_not_hide_that_another_executor_crashed() -> None:
    async def play() -> HallWorld:
        world = OddRows()
        world.names_odd = True
        await world.begin()
        first, second = list(world.executors.values())[:2]
        world.odd = (first.record.executor_id,)
        second.alive = False
        await asyncio.sleep(CRASH_FOUND_S)
        (gone,) = world.log.named("EXECUTOR_GONE")
        assert gone["executor"] == second.incarnation_name
        assert gone["proof"] == "machine service no longer lists it"
        return world

    assert run_virtual(play()).problems == []
