"""Tests that running hosts refuse a flood of jobs, and that what they refuse never runs."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.planning._drain_rates import MIN_OBSERVED_S
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual, world_time

FLOOD_PER_S = 32
"""Jobs of one core and one second that callers hand in a second: four times what the hall's
executor of 8 cores can do."""

FLOOD_S = 10.0


class FloodedWorld(HallWorld):
    """A hall with one executor, and callers that hand in too many jobs at both hosts."""

    def __init__(self) -> None:
        super().__init__(executors_per_hall=1)
        self.statuses: dict[str, int] = {}
        self.refused_at: list[float] = []
        self._calls: list[asyncio.Task[None]] = []

    async def flood(self, duration_s: float) -> None:
        """Hand in jobs for a time, in turn at each host that runs."""
        until = world_time() + duration_s
        while world_time() < until:
            name = sorted(self.hosts)[len(self._calls) % len(self.hosts)]
            self._calls.append(asyncio.create_task(self._submit(name)))
            await asyncio.sleep(1.0 / FLOOD_PER_S)
        await asyncio.gather(*self._calls)

    async def _submit(self, name: str) -> None:
        spec = self.new_job(step(1))
        status = await self.submit(name, spec)
        self.statuses[spec.job_id] = status
        if status == 503:
            self.refused_at.append(world_time())

    def refused(self) -> list[str]:
        return [job_id for job_id, status in self.statuses.items() if status == 503]


def test_a_flood_is_refused_and_what_is_refused_never_runs() -> None:
    async def play() -> tuple[FloodedWorld, list[str], list[str]]:
        world = FloodedWorld()
        await world.begin()
        await world.flood(FLOOD_S)
        refused = world.refused()
        shown = [await world.state("east-host-0", job_id) for job_id in refused]
        for job_id in world.accepted:
            await world.wait_for("east-host-0", job_id, "succeeded", limit_s=120.0)
        return world, refused, shown

    world, refused, shown = run_virtual(play())
    assert refused
    assert set(shown) == {"410"}
    assert not {task.job_id for task in world.starts} & set(refused)
    assert world.problems == []
    (line, *_) = world.log.named("JOB_HOPELESS")
    assert line["ahead_s"] > 2 * line["objective_s"]
    assert line["retry_after_s"] >= 1


@pytest.mark.parametrize("fault", ["owner dies", "store away"])
def test_nothing_is_refused_while_the_load_is_unknown(fault: str) -> None:
    """Halfway through a flood: until the hall publishes a rate again, its load is unknown.

    With the store away, jobs are refused for that alone.
    """

    async def play() -> tuple[FloodedWorld, float]:
        world = FloodedWorld()
        await world.begin()
        await world.flood(FLOOD_S)
        if fault == "owner dies":
            owner = world.owner()
            assert owner
            world.kill_host(owner)
        else:
            world.store.refusing.update(world.hosts)
            await asyncio.sleep(4.0)
            world.store.calm()
            await asyncio.sleep(1.0)
        began = world_time()
        await world.flood(MIN_OBSERVED_S)
        return world, began

    world, began = run_virtual(play())
    hopeless = [at for at, event, _ in world.log.lines if event == "JOB_HOPELESS"]
    assert [at for at in hopeless if at < began], "the flood was not refused before the fault"
    assert not [at for at in hopeless if at >= began]
    assert world.problems == []
