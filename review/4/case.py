"""Jobs come that run once a minute for a week; every owner of a hall goes over its memory."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins-2"))

from lab import World, main

JOBS = 64
TIMES = 7 * 24 * 60
"""Minutes of a week."""


async def case(world: World, trouble: bool) -> None:
    await world.start_hosts()
    world.work = lambda _task: (0.3, "done")
    step = {"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 300}
    accepted = []
    first_ms = int(time.time() * 1000) + 50_000
    for number in range(JOBS):
        host = world.hosts[number % len(world.hosts)]
        job_id = world.new_job(
            [step],
            repeatCount=TIMES if trouble else 10,
            firstMs=first_ms,
            intervalMs=60_000,
        )
        status, _ = await world.call("POST", host, job_id, world.jobs[job_id])
        if status == 200:
            accepted.append(job_id)
        await asyncio.sleep(0.2)
    for number in range(20):
        host = world.hosts[number % len(world.hosts)]
        job_id = world.new_job([step, {**step, "dependsOn": [0]}])
        status, _ = await world.call("POST", host, job_id, world.jobs[job_id])
        if status == 200:
            accepted.append(job_id)
        await asyncio.sleep(0.5)
    assert accepted, "no job was accepted"
    await asyncio.sleep(12.0)
    await world.judge_lost(accepted)
    world.record(
        f"{len(accepted)} jobs were accepted; processes went over their memory "
        f"{len(world.kills)} times; {len(world.found)} jobs are lost"
    )


main(case, Path(__file__).parent, zones=["hall-a", "hall-b"], hosts=2, executors=6)
