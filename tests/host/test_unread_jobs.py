"""The recorded progress of a job is kept while the job itself cannot be read.

The failure guarded against: a task was started again though a run of it had ended well.

The record of a job does not decode, or is rejected by the check of jobs, at a host of another
version, and that host takes over the hall. It considers the job void and removes its recorded
progress. The next owner reads the job, finds no progress, and starts the job from its beginning.

A job that all owners can read continues where it was.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.errors import InvalidInput
from linkspan.jobs import job_registry
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import HOST, run_virtual

FIRST_STEP_S = 3.0
"""Time after a submission by which its first step has ended and this end is on record."""

LONG_S = 100.0
"""Duration of the second step's work."""


@pytest.mark.parametrize("reads", [False, True])
def test_a_job_that_one_owner_could_not_read_does_not_start_over(
    monkeypatch: pytest.MonkeyPatch, reads: bool
) -> None:
    check = job_registry.check_job
    unread: set[str] = set()

    def check_on_host(spec: object) -> None:
        if HOST.get().split(" ")[0] in unread:
            raise InvalidInput("steps", "a later form", "pass it over")
        check(spec)  # type: ignore[arg-type]

    monkeypatch.setattr(job_registry, "check_job", check_on_host)

    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        first = str(world.owner())
        second = next(name for name in world.hosts if name != first)
        if not reads:
            world.kill_host(second)
            unread.add(second)
            world.start_host(second)
            await asyncio.sleep(2.0)
        spec = world.new_job(step(2, estimate_s=0.5), step(1, estimate_s=LONG_S, depends_on=(0,)))
        assert await world.submit(first, spec) == 200
        await asyncio.sleep(FIRST_STEP_S)
        world.kill_host(first)
        await asyncio.sleep(6.0)
        world.kill_host(second)
        world.start_host(first)
        await asyncio.sleep(10.0)
        return world

    assert run_virtual(play()).problems == []
