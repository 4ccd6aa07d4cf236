"""One accepted job of many steps; other accepted jobs have to be worked on beside it."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.deployment import BOUNDS, Deployment  # noqa: E402
from standins.executors import Step  # noqa: E402
from standins.script import main  # noqa: E402

STANDING_JOBS = 6
TASKS = 6
MAY_MISS = 1
STEPS = 4_000
USUAL_STEPS = 5
SMALL_JOBS = 12
SMALL_INTERVAL_S = 0.2
CLIENT_TRIES = 5
RETRY_PAUSE_S = 0.2
SETTLE_S = 8.0
FINISH_S = BOUNDS["finish_s"]
ASKED_S = 12.0
IDLE_S = 3.0
TOGETHER_S = 0.5
EXECUTOR_CPU = 32_000


def lasting_job() -> tuple[bytes, list[Step]]:
    """Return a job of six tasks that last, of which the system may interrupt one at a time."""
    step = {"count": TASKS, "cpu": 2000, "memMb": 4000, "estimatedMs": 500, "indefinite": True}
    body = {"spec": "stock of a house", "steps": [step | {"may_miss": MAY_MISS}]}
    return json.dumps(body).encode(), [Step(2000, 4000, float("inf"))]


def stepped_job(count: int) -> tuple[bytes, list[Step]]:
    """Return a job of short steps of two tasks, which do not depend on each other."""
    steps = [{"count": 2, "cpu": 50, "memMb": 32, "estimatedMs": 500} for _ in range(count)]
    body = json.dumps({"spec": "merge of a night", "steps": steps}, separators=(",", ":")).encode()
    return body, [Step(50, 32, 0.5)] * count


def small_job() -> tuple[bytes, list[Step]]:
    """Return a job of one short step."""
    step = {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 300}
    return json.dumps({"spec": "a quote", "steps": [step]}).encode(), [Step(500, 256, 0.3)]


async def submit(world: Deployment, job: tuple[bytes, list[Step]], number: int) -> str:
    """Send a job as clients do, again at another host after 504 or no answer.

    Returns the id, or an empty text if the job was not accepted.
    """
    job_id = world.new_job_id()
    body, world.jobs[job_id] = job
    if len(world.jobs[job_id]) > 1:
        world.quiet_jobs.add(job_id)
    for attempt in range(CLIENT_TRIES):
        host = world.hosts[(number + attempt) % len(world.hosts)]
        if (await world.request(host, "POST", job_id, body)).status == 200:
            return job_id
        await asyncio.sleep(RETRY_PAUSE_S)
    return ""


async def longest_idle(world: Deployment, tasks: dict[str, set[str]]) -> dict[str, float]:
    """Watch jobs for a while; return for how long each had nothing running, with room for it."""
    idle_since: dict[str, float] = {}
    longest = dict.fromkeys(tasks, 0.0)
    until = time.monotonic() + ASKED_S
    room = EXECUTOR_CPU * len(world.executors)
    while (now := time.monotonic()) < until:
        running = {task for e in world.executors for task in e.running}
        used = sum(e.used_cpu for e in world.executors)
        for job_id, named in tasks.items():
            left = named - world.done.keys()
            if not left or left & running or used > room / 2:
                idle_since.pop(job_id, None)
                continue
            longest[job_id] = max(longest[job_id], now - idle_since.setdefault(job_id, now))
        await asyncio.sleep(0.05)
    return longest


def lapsed_together(world: Deployment, tasks: set[str]) -> int:
    """Return how many tasks of one step ended `lapsed` at the same time, at most."""
    ends = [end for e in world.executors for end in (*e.ended, *(n for n, _ in e.noted))]
    at = sorted(end.at for end in ends if end.how == "lapsed" and end.task in tasks)
    return max((sum(0 <= other - one < TOGETHER_S for other in at) for one in at), default=0)


async def case(world: Deployment, trouble: bool) -> list[str]:
    """Accept lasting jobs, the stepped one and small ones; watch all, finish_s after the last."""
    lasting = [await submit(world, lasting_job(), n) for n in range(STANDING_JOBS)]
    await asyncio.sleep(SETTLE_S)
    stepped = await submit(world, stepped_job(STEPS if trouble else USUAL_STEPS), 0)
    if not (stepped and all(lasting)):
        raise RuntimeError("the jobs were not accepted")
    clients = []
    for number in range(SMALL_JOBS):
        clients.append(asyncio.create_task(submit(world, small_job(), number)))
        await asyncio.sleep(SMALL_INTERVAL_S)
    small = [job_id for job_id in await asyncio.gather(*clients) if job_id]
    world.note(f"end of the traffic; {len(small)} of {SMALL_JOBS} small jobs were accepted")
    await asyncio.sleep(FINISH_S)
    tasks = {j: {f"{j}.0.0.{index}" for index in range(4)} for j in small}
    tasks |= {j: {f"{j}.0.0.{index}" for index in range(TASKS)} for j in lasting}
    steps = STEPS if trouble else USUAL_STEPS
    tasks[stepped] = {f"{stepped}.0.{step}.{index}" for step in range(steps) for index in (0, 1)}
    began = {j: any(task in world.starts for task in named) for j, named in tasks.items()}
    idle = await longest_idle(world, tasks)
    lost = [j for j, seconds in idle.items() if seconds >= IDLE_S]
    world.note(
        f"jobs that had begun {FINISH_S} s after the end of the traffic: {sum(began.values())}"
    )
    world.note(f"longest times with nothing running: {sorted(idle.values())}")
    world.note(f"tasks of the stepped job done: {sum(t in world.done for t in tasks[stepped])}")
    broken = []
    if lost:
        broken.append(
            f"LOST: {len(lost)} of {len(tasks)} accepted jobs had nothing running for "
            f"{IDLE_S:.0f} s, {FINISH_S} s after the end of the traffic, with room for them "
            f"({sum(j in lost for j in lasting)} of them last)"
        )
    together = max(lapsed_together(world, tasks[j]) for j in lasting)
    if together > MAY_MISS:
        broken.append(
            f"AVAIL: the leases of {together} tasks of one step lapsed together, with may_miss "
            f"{MAY_MISS}"
        )
    return broken


if __name__ == "__main__":
    sys.exit(main(HERE, case))
