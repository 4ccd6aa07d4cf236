"""A machine list that omits a machine, or has rows that cannot be read, does not show it gone.

The machine service returns its rows in pages; a row that moves between two calls can be missing
from one list. An owner that takes such an executor for gone starts its tasks elsewhere while
they still run there.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.machines import MachineList, MachineRecord, UnreadMachines
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

CUT_S = 4.5
"""How long the owner does not reach the executor: shorter than its lease."""


class ShiftingPages(HallWorld):
    """Omits one executor from one list, as when rows move between the calls for two pages."""

    omitted_id = ""

    async def machines(self) -> MachineList:
        rows = await super().machines()
        if not self.omitted_id or not self.log.named("EXECUTOR_SILENT"):
            return rows
        name, self.omitted_id = self.omitted_id, ""
        return tuple(row for row in rows if row.executor_id != name)


def test_a_cut_executor_that_one_list_leaves_out_is_not_gone() -> None:
    """Guards against a task that is started elsewhere while it still runs there."""

    async def play() -> HallWorld:
        world = ShiftingPages()
        await world.begin()
        spec = world.new_job(step(1, estimate_s=6.0))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(0.5)
        executor = next(e for e in world.executors.values() if e.running)
        world.omitted_id = executor.record.executor_id
        owner = world.owner()
        assert owner
        world.cuts.add((owner, executor.record.address))
        await asyncio.sleep(CUT_S)
        world.cuts.clear()
        await world.wait_for("east-host-0", spec.job_id, "succeeded")
        assert not world.omitted_id
        return world

    assert run_virtual(play()).problems == []


CRASH_FOUND_S = 2.0
"""Time within which lists show a crash: two of them, read each second or more often."""


class UnreadableRows(HallWorld):
    """Lists some executors as rows that cannot be read.

    Attributes:
        unreadable_ids: Ids of these executors.
        names_odd: Whether such a row still names its executor.
    """

    unreadable_ids: tuple[str, ...] = ()
    names_odd = False

    async def machines(self) -> MachineList:
        return tuple(self._as_listed(row) for row in await super().machines())

    def _as_listed(self, row: MachineRecord | UnreadMachines) -> MachineRecord | UnreadMachines:
        if row.executor_id not in self.unreadable_ids:
            return row
        return UnreadMachines(row.executor_id if self.names_odd else None)


@pytest.mark.parametrize("names_odd", [False, True])
def test_an_executor_whose_row_cannot_be_read_goes_on(names_odd: bool) -> None:
    """Guards against a task that is started elsewhere while it still runs there."""

    async def play() -> HallWorld:
        world = UnreadableRows()
        world.names_odd = names_odd
        await world.begin()
        spec = world.new_job(step(1, estimate_s=6.0))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(0.5)
        executor = next(e for e in world.executors.values() if e.running)
        world.unreadable_ids = (executor.record.executor_id,)
        await world.wait_for("east-host-0", spec.job_id, "succeeded")
        assert not world.log.named("EXECUTOR_GONE")
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1]


def test_an_unreadable_row_with_an_id_does_not_hide_the_crash_of_another_executor() -> None:
    async def play() -> HallWorld:
        world = UnreadableRows()
        world.names_odd = True
        await world.begin()
        first, second = list(world.executors.values())[:2]
        world.unreadable_ids = (first.record.executor_id,)
        second.alive = False
        await asyncio.sleep(CRASH_FOUND_S)
        (gone,) = world.log.named("EXECUTOR_GONE")
        assert gone["executor"] == second.incarnation_name
        assert gone["proof"] == "machine service no longer lists it"
        return world

    assert run_virtual(play()).problems == []
