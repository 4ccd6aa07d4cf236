"""The main job with stand-ins: two halls, jobs of three kinds, a killed owner, counts."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from soak.callers import PAYLOAD, Callers, Job  # noqa: E402
from soak.deployment import CALLERS_PORT, READINESS_PORT, Plan  # noqa: E402
from soak.judge import judge, unexpected_errors  # noqa: E402
from soak.world import World  # noqa: E402
from tests.job_builders import QUEUE, job_body, step  # noqa: E402

from linkspan.events import Event  # noqa: E402
from linkspan.host.daemon import METRICS_PORT  # noqa: E402
from linkspan.jobs.spec import JobSpec, StepSpec  # noqa: E402

PLAN = Plan(seed=1, seconds=0.0, hosts=4, executors=6, halls=2, jobs_per_s=0.0)
LOGS = ROOT / "target" / "demo"

SHORT_JOBS = 40
SHORT = (step(1, cpu=500, estimate_s=0.3),)
BATCH_JOBS = 6
BATCH = (step(6, estimate_s=1.5), step(2, cpu=2_000, depends_on=(0,)))
STANDING_JOBS = 2
STANDING = (step(3, cpu=500, standing=True, max_per_executor=1),)
"""One task on each executor of a hall, so that a crash there takes one along."""

SHORT_PAUSE_S = 0.15
"""Time between short jobs: they last from before the kill until another host owns."""

KILL_AFTER_S = 1.5
"""Time from the first short job to the kill: batch work is in its first step."""

START_AGAIN_S = 3.0
"""Time after which the killed host starts again, as a platform starts it."""

START_LIMIT_S = 20.0
"""Longest time until all hosts are ready: 2 s each where the machine is free."""

WORK_LIMIT_S = 30.0
"""Longest time for the work: a lease of 6 s and the work itself, with room for a busy machine."""

LOOK_S = 0.25
"""Pause between looks at how far the work is."""


@dataclass(frozen=True, slots=True)
class Count:
    """A figure at the end.

    Attributes:
        what: What was counted.
        number: How many there were.
        wanted: How many there must be.
    """

    what: str
    number: int
    wanted: int

    @property
    def met(self) -> bool:
        """Whether it is as it must be."""
        return self.number == self.wanted


class Demo:
    """What is done in a world that is up.

    Args:
        world: The hosts and stand-ins.
        folder: Where the hosts' logs are.
    """

    def __init__(self, world: World, folder: Path) -> None:
        self._world = world
        self._folder = folder
        self._random = Random(PLAN.seed)
        self._callers = Callers(self._random, world.callers_at, world.executors, world.session)
        self._ending: list[Job] = []
        self._standing: list[Job] = []
        self._lost = 0
        self._killed: dict[str, Any] = {}

    async def play(self) -> list[Count]:
        """Serve jobs over a kill and return what was counted."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(WORK_LIMIT_S):
                await self._serve()
        except TimeoutError:
            print(f"not all was done within {WORK_LIMIT_S:.0f} s")
        return await self._count(began)

    async def _serve(self) -> None:
        self._standing = [self._new_job(STANDING) for _ in range(STANDING_JOBS)]
        batch = [self._new_job(BATCH) for _ in range(BATCH_JOBS)]
        self._ending = batch + [self._new_job(SHORT) for _ in range(SHORT_JOBS)]
        await asyncio.gather(*map(self._submit, self._standing + batch))
        await _until(self._all_stand)
        print(f"{STANDING_JOBS} standing and {BATCH_JOBS} batch jobs accepted; short jobs come in")
        async with asyncio.TaskGroup() as group:
            group.create_task(self._break_things())
            for job in self._ending[BATCH_JOBS:]:
                group.create_task(self._submit(job))
                await asyncio.sleep(SHORT_PAUSE_S)
        await _until(self._all_succeeded)
        await _until(self._all_stand)

    def _new_job(self, steps: tuple[StepSpec, ...]) -> Job:
        payload = PAYLOAD.format(len(self._callers.jobs))
        job = Job(JobSpec(f"{self._random.getrandbits(64):016x}", QUEUE.name, payload, steps))
        self._callers.jobs.append(job)
        return job

    async def _submit(self, job: Job) -> None:
        while job.accepted_at is None:
            await self._callers.submit(job, Random(job.id))

    async def _break_things(self) -> None:
        """Kill the owner of the shard that was claimed last; crash an executor in each hall."""
        await asyncio.sleep(KILL_AFTER_S)
        self._killed = _claims(self._folder)[-1]
        host = self._world.hosts[self._killed["host"]]
        await host.kill()
        world = self._world
        one_of_each = {world.hall_of(address): address for address in world.executor_addresses}
        for address in one_of_each.values():
            took = await world.executors.send_command("crash", {"address": address, "back": True})
            self._lost += len(self._tasks(self._standing) & set(took))
        print(f"killed {host.name}, owner of shard {self._killed['shard']} (SIGKILL)")
        print(f"crashed an executor in each hall, {self._lost} standing tasks with them")
        await asyncio.sleep(START_AGAIN_S)
        await host.start()

    async def _all_stand(self) -> bool:
        return await self._count_standing() == len(self._tasks(self._standing))

    async def _count_standing(self) -> int:
        observed = await self._world.observed()
        return len(self._tasks(self._standing) & set(observed.running))

    async def _all_succeeded(self) -> bool:
        host = self._random.choice(list(self._world.hosts))
        left = (job for job in self._ending if job.succeeded_at is None)
        states = await asyncio.gather(*(self._callers.ask(job, host) for job in left))
        return all(state == "succeeded" for state in states)

    @staticmethod
    def _tasks(jobs: list[Job]) -> set[str]:
        return {task for job in jobs for task in job.tasks}

    async def _count(self, began: float) -> list[Count]:
        observed = await self._world.observed()
        broken = judge(self._callers, observed, began) + unexpected_errors(self._folder)
        broken += [end for host in self._world.hosts.values() for end in host.unexpected_exits]
        print(*broken, sep="\n", end="\n" if broken else "")
        jobs, ending, standing = self._callers.jobs, self._ending, self._tasks(self._standing)
        tasks = self._tasks(ending)
        runs = sum(len(observed.started_at.get(job.id, ())) for job in self._standing)
        after = [c for c in _claims(self._folder) if c["token"] > self._killed.get("token", 0)]
        replaced = any(claim["shard"] == self._killed.get("shard") for claim in after)
        return [
            Count("jobs accepted", sum(job.accepted_at is not None for job in jobs), len(jobs)),
            Count(
                "short and batch jobs succeeded",
                sum(job.succeeded_at is not None for job in ending),
                len(ending),
            ),
            Count("their tasks done", len(tasks & observed.done_at.keys()), len(tasks)),
            Count("standing tasks at work", await self._count_standing(), len(standing)),
            Count("runs of standing tasks begun", runs, len(standing) + self._lost),
            Count("killed owner replaced", int(replaced), 1),
            Count("promises broken", len(broken), 0),
        ]

    async def keep(self) -> None:
        """Tell where all is and wait to be ended."""
        job = self._new_job(BATCH)
        body = job_body(job.spec)
        # The stand-ins judge each start by what was asked for, so they must know the job.
        await self._world.executors.send_command("job", {"id": job.id, "body": body.decode()})
        path = self._folder / "job.json"
        path.write_bytes(body)
        print()
        for host in self._world.hosts.values():
            at = host.address
            print(
                f"{host.name}: callers {at}:{CALLERS_PORT}, readiness "
                f"http://{at}:{READINESS_PORT}/api/readiness, metrics http://{at}:{METRICS_PORT}/metrics"
            )
        print(f"queue: Host {QUEUE.host}, path {QUEUE.prefix}")
        print(f"a job to submit: {job.id} in {path}")
        print(f"a job that stands: {self._standing[0].id}; logs: {self._folder}")
        print("kept running; end with Ctrl-C", flush=True)
        await asyncio.Event().wait()


async def _until(condition: Callable[[], Awaitable[bool]]) -> None:
    while not await condition():
        await asyncio.sleep(LOOK_S)


def _claims(folder: Path) -> list[dict[str, Any]]:
    """Return the claims of shards that hosts logged, the newest last."""
    lines = [line for path in folder.glob("host-*.log") for line in path.read_text().splitlines()]
    named = [line for line in lines if f'"event":{Event.OWNER_CLAIMED.number},' in line]
    return sorted(map(json.loads, named), key=lambda fields: int(fields["token"]))


def tell(counts: list[Count]) -> int:
    """Print counts, the last line in one; return the exit code."""
    print()
    for count in counts:
        print(f"  {count.what:<34} {count.number:>4} of {count.wanted}")
    short = ", ".join(f"{count.what} {count.number}/{count.wanted}" for count in counts)
    met = all(count.met for count in counts)
    print(f"demo: {'met' if met else 'NOT MET'}; {short}", flush=True)
    return 0 if met else 1


async def run(folder: Path, *, keep: bool) -> int:
    """Start all, serve, count, and return the exit code; logs go below a folder."""
    task = asyncio.current_task()
    assert task
    # Hosts must not outlive this process.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("host-*.log"):
        old.unlink()
    async with World(PLAN, folder) as world:
        await world.await_ready(START_LIMIT_S)
        print(f"{PLAN.hosts} hosts and {PLAN.executors} executors in {PLAN.halls} halls are up")
        demo = Demo(world, folder)
        code = tell(await demo.play())
        if keep:
            try:
                await demo.keep()
            except asyncio.CancelledError:
                print("ended")
        return code


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="leave it running for a look around")
    parser.add_argument("--logs", type=Path, default=LOGS, help="folder for settings and logs")
    given = parser.parse_args()
    try:
        return asyncio.run(run(given.logs, keep=given.keep))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 1


if __name__ == "__main__":
    sys.exit(main())
