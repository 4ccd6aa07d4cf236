"""A job is given up and cancelled while its host can't reach the store; later it runs."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins-2"))

from lab import World, main, now


async def case(world: World, trouble: bool) -> None:
    await world.start_hosts()
    owners = world.owners()
    first, second = (
        next(host for host in world.hosts if host.zone == zone and host.name not in owners.values())
        for zone in world.zones
    )
    job_id = world.new_job(
        [
            {"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 8_000},
            {"count": 4, "cpu": 500, "memMb": 100, "estimatedMs": 1_000, "dependsOn": [0]},
            {"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 1_000, "indefinite": True},
        ]
    )
    seconds = {"0": 8.0, "1": 1.0, "2": None}
    world.work = lambda task: (seconds[task.split(".")[2]], "done")
    await asyncio.sleep(2.0)
    if trouble:
        world.store.away[first.name] = "silent"
        world.record(f"the store turns {first.name} away and serves the other hosts")
    began = now()
    await asyncio.sleep(0.2)
    status, _ = await world.call("POST", first, job_id, world.jobs[job_id])
    assert status in ((0, 502, 504) if trouble else (200,)), f"POST answered {status}"
    status, _ = await world.call("DELETE", second, job_id)
    assert status in (200, 410), "the cancelling was not acknowledged"
    cancelled = now()
    await asyncio.sleep(max(began + 5.0 - now(), 0.0))
    world.store.away.clear()
    served = now()
    world.record(f"the store serves {first.name} again")
    await asyncio.sleep(20.0)
    # Only starts by machines in touch count: nothing was disturbed for contactMs before them.
    late = cancelled + world.bounds["cancel_ms"] / 1000
    in_touch = served + world.bounds["contactMs"] / 1000
    for at, task, run, executor in world.starts:
        if task.startswith(job_id) and at > max(late, in_touch):
            world.broken(
                f"UNASKED {task} run {run}: started {at - cancelled:.1f} s after its cancel was "
                f"acknowledged, on {executor}"
            )
    world.record(f"at the end {world.running(job_id)} of the cancelled job run")


main(case, Path(__file__).parent, zones=["hall-a", "hall-b"], hosts=2, executors=6)
