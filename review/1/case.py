"""All executors of one rack are lost for good; accepted jobs have to go on where there is room."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.deployment import BOUNDS, ZONES, Deployment  # noqa: E402
from standins.executors import Step  # noqa: E402
from standins.script import main  # noqa: E402

JOBS = 12
LATER_JOBS = 3
WIDTH = 8
WORK_S = 2.7
CLIENT_TRIES = 5
RETRY_PAUSE_S = 0.2
BEFORE_LOSS_S = 1.5
AFTER_LOSS_S = 2.0
LATER_S = 25.0
FINISH_S = BOUNDS["finish_s"]
IDLE_S = 3.0
EXECUTOR_CPU = 32_000
LOST_ZONE = ZONES[1]


def batch_job() -> tuple[bytes, list[Step]]:
    """Return a job of two steps of eight tasks, like the site's merges."""
    step = {"count": WIDTH, "cpu": 3500, "memMb": 6400, "estimatedMs": int(WORK_S * 1000)}
    body = {"spec": "a catalogue merge", "steps": [step, step | {"dependsOn": [0]}]}
    return json.dumps(body).encode(), [Step(3500, 6400, WORK_S)] * 2


async def submit(world: Deployment, number: int) -> str:
    """Send a job as clients do; return its id, or an empty text if it was not accepted."""
    job_id = world.new_job_id()
    body, world.jobs[job_id] = batch_job()
    for attempt in range(CLIENT_TRIES):
        host = world.hosts[(number + attempt) % len(world.hosts)]
        if (await world.request(host, "POST", job_id, body)).status == 200:
            return job_id
        await asyncio.sleep(RETRY_PAUSE_S)
    return ""


def waiting_tasks(world: Deployment, job_id: str) -> list[str]:
    """Return the tasks of a job whose turn has come and that are neither done nor running."""
    running = {task for e in world.executors if e.alive for task in e.running}
    for step in range(2):
        tasks = [f"{job_id}.0.{step}.{index}" for index in range(WIDTH)]
        left = [task for task in tasks if task not in world.done]
        if left:
            return [] if any(task in running for task in left) else left
    return []


async def case(world: Deployment, trouble: bool) -> list[str]:
    """Accept jobs, lose a rack, ask for the jobs finish_s after the end of the traffic."""
    accepted = await asyncio.gather(*(submit(world, n) for n in range(JOBS)))
    await asyncio.sleep(BEFORE_LOSS_S)
    if trouble:
        for executor in [e for e in world.executors if e.zone == LOST_ZONE]:
            world.lose(executor)
    await asyncio.sleep(AFTER_LOSS_S)
    accepted += await asyncio.gather(*(submit(world, n) for n in range(LATER_JOBS)))
    if not all(accepted):
        raise RuntimeError("the jobs were not accepted")
    world.note("end of the traffic")
    await asyncio.sleep(FINISH_S)
    states = {}
    for number, job_id in enumerate(accepted):
        host = world.hosts[number % len(world.hosts)]
        states[job_id] = (await world.request(host, "GET", job_id)).body.decode()
    until = time.monotonic() + IDLE_S
    waits = {job_id for job_id in accepted if waiting_tasks(world, job_id)}
    used = 0
    while time.monotonic() < until:
        waits = {job_id for job_id in waits if waiting_tasks(world, job_id)}
        used = max(used, sum(e.used_cpu for e in world.executors if e.alive))
        await asyncio.sleep(0.05)
    room = EXECUTOR_CPU * sum(e.alive for e in world.executors)
    for job_id in sorted(waits):
        tasks = waiting_tasks(world, job_id)
        world.note(f"{job_id} is shown as {states[job_id]}; its turn has come: {tasks}")
    world.note(f"in use for these {IDLE_S:.0f} s: {used / 1000} of {room / 1000} cores")
    if trouble:
        await asyncio.sleep(LATER_S)
        still = [job_id for job_id in waits if waiting_tasks(world, job_id)]
        world.note(f"{LATER_S:.0f} s later {len(still)} of these {len(waits)} jobs still wait")
    if waits and used < room / 2:
        return [
            f"LOST: {len(waits)} of {len(accepted)} accepted jobs have nothing running for "
            f"{IDLE_S:.0f} s, {FINISH_S} s after the end of the traffic, with {used / 1000} of "
            f"{room / 1000} cores in use"
        ]
    return []


if __name__ == "__main__":
    sys.exit(main(HERE, case))
