"""All room is taken but on a few executors, which turn busy; jobs wait, and are counted."""

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

BUSY = 3
FILL_LIMIT_S = 25.0
SETTLE_S = 2.0
BUSY_S = 6.5
JOBS = 20
OLD_S = BOUNDS["visible_ms"] / 1000 + 2.0


def filling_job(count: int) -> tuple[bytes, list[Step]]:
    """Return a job that takes whole executors."""
    step = {"count": count, "cpu": 32000, "memMb": 64000, "estimatedMs": 500, "indefinite": True}
    return json.dumps({"spec": "stock of all houses", "steps": [step]}).encode(), [
        Step(32000, 64000, float("inf"))
    ]


def waiting_job() -> tuple[bytes, list[Step]]:
    """Return a job of one short step."""
    step = {"count": 2, "cpu": 2000, "memMb": 1024, "estimatedMs": 600}
    return json.dumps({"spec": "a quote", "steps": [step]}).encode(), [Step(2000, 1024, 0.6)]


async def case(world: Deployment, trouble: bool) -> list[str]:
    """Fill the deployment but for three executors, turn these busy, send jobs, count them."""
    taken = len(world.executors) - BUSY
    job_id = world.new_job_id()
    body, world.jobs[job_id] = filling_job(taken)
    await world.request(world.hosts[0], "POST", job_id, body)
    until = time.monotonic() + FILL_LIMIT_S
    while sum(len(e.running) for e in world.executors) < taken:
        if time.monotonic() > until:
            raise RuntimeError("the room was not filled")
        await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)
    spare = [executor for executor in world.executors if not executor.running]
    if trouble:
        for executor in spare:
            executor.busy = True
            world.note(f"{executor.name}: busy, answers 503 to starts")
    began = time.monotonic()
    accepted = {}
    for number in range(JOBS):
        job_id = world.new_job_id()
        body, world.jobs[job_id] = waiting_job()
        host = world.hosts[number % len(world.hosts)]
        if (await world.request(host, "POST", job_id, body)).status == 200:
            accepted[job_id] = time.monotonic()
    await asyncio.sleep(max(OLD_S + 0.5 - (time.monotonic() - began), 0.0))
    begun = {task.partition(".")[0] for task in world.starts}
    waiting = [j for j, at in accepted.items() if time.monotonic() - at > OLD_S and j not in begun]
    counts = []
    for host in world.hosts:
        answer = await world.request(host, "GET", "")
        counts.append(json.loads(answer.body)["waiting"] if answer.status == 200 else None)
    lasted = time.monotonic() - began
    begun = {task.partition(".")[0] for task in world.starts}
    waiting = [job_id for job_id in waiting if job_id not in begun]
    world.note(f"{lasted:.1f} s after the executors turned busy, which lasts {BUSY_S} s")
    world.note(f"accepted over {OLD_S} s before, not begun: {len(waiting)}; hosts say {counts}")
    for executor in spare:
        executor.busy = False
    if lasted > BUSY_S:
        raise RuntimeError("the counts came too late")
    wrong = [count for count in counts if count is not None and count < len(waiting) / 2]
    if wrong:
        return [
            f"MIXED: {len(waiting)} jobs that were accepted over {OLD_S} s before haven't begun; "
            f"the hosts give as waiting {counts}"
        ]
    return []


if __name__ == "__main__":
    sys.exit(main(HERE, case))
