"""Runs hosts in two halls with test doubles, kills a shard owner, and counts the results.

Serves short, batch and standing jobs meanwhile. The exit code says whether all counts are
as required.
"""

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
"""Steps of a standing job: one task on each executor of a hall, so that each crash hits one."""

SHORT_JOB_INTERVAL_S = 0.15
"""Time between short jobs; they arrive from before the kill until another host is owner."""

KILL_AFTER_S = 1.5
"""Time from the first short job to the kill, when batch jobs are in their first step."""

RESTART_DELAY_S = 3.0
"""Time from the kill to the host's restart, which a platform would do."""

MAX_START_S = 20.0
"""Limits the time until all hosts are ready; they take 2 s each on an idle machine."""

WORK_LIMIT_S = 30.0
"""Limits the time for all jobs.

Covers a lease of 6 s and the duration of the jobs, with a margin for a busy machine."""

POLL_INTERVAL_S = 0.25
"""Interval between checks of the progress."""


@dataclass(frozen=True, slots=True)
class Count:
    """A count at the end of the run.

    Attributes:
        what: Name of the count.
        number: Actual number.
        wanted: Required number.
    """

    what: str
    number: int
    wanted: int

    @property
    def met(self) -> bool:
        """Whether the actual number is the required one."""
        return self.number == self.wanted


class Demo:
    """Submits jobs, causes crashes and counts the results in a running world.

    Args:
        world: Hosts and test doubles.
        folder: Folder with the hosts' logs.
    """

    def __init__(self, world: World, folder: Path) -> None:
        self._world = world
        self._folder = folder
        self._random = Random(PLAN.seed)
        self._callers = Callers(self._random, world.callers_at, world.executors, world.session)
        self._finite_jobs: list[Job] = []
        self._standing_jobs: list[Job] = []
        self._lost_count = 0
        self._killed_claim: dict[str, Any] = {}

    async def play(self) -> list[Count]:
        """Serve jobs during the kill and the crashes; return the counts."""
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(WORK_LIMIT_S):
                await self._serve()
        except TimeoutError:
            print(f"not all was done within {WORK_LIMIT_S:.0f} s")
        return await self._count(started_at)

    async def _serve(self) -> None:
        self._standing_jobs = [self._new_job(STANDING) for _ in range(STANDING_JOBS)]
        batch = [self._new_job(BATCH) for _ in range(BATCH_JOBS)]
        self._finite_jobs = batch + [self._new_job(SHORT) for _ in range(SHORT_JOBS)]
        await asyncio.gather(*map(self._submit, self._standing_jobs + batch))
        await _until(self._all_standing_tasks_run)
        print(f"{STANDING_JOBS} standing and {BATCH_JOBS} batch jobs accepted; short jobs come in")
        async with asyncio.TaskGroup() as group:
            group.create_task(self._cause_crashes())
            for job in self._finite_jobs[BATCH_JOBS:]:
                group.create_task(self._submit(job))
                await asyncio.sleep(SHORT_JOB_INTERVAL_S)
        await _until(self._all_succeeded)
        await _until(self._all_standing_tasks_run)

    def _new_job(self, steps: tuple[StepSpec, ...]) -> Job:
        payload = PAYLOAD.format(len(self._callers.jobs))
        job = Job(JobSpec(f"{self._random.getrandbits(64):016x}", QUEUE.name, payload, steps))
        self._callers.jobs.append(job)
        return job

    async def _submit(self, job: Job) -> None:
        while job.accepted_at is None:
            await self._callers.submit(job, Random(job.id))

    async def _cause_crashes(self) -> None:
        """Kill the owner of the last claimed shard, and crash one executor per hall."""
        await asyncio.sleep(KILL_AFTER_S)
        self._killed_claim = _claims(self._folder)[-1]
        host = self._world.hosts[self._killed_claim["host"]]
        await host.kill()
        world = self._world
        executor_by_hall = {world.hall_of(address): address for address in world.executor_addresses}
        for address in executor_by_hall.values():
            lost_tasks = await world.executors.send_command(
                "crash", {"address": address, "back": True}
            )
            self._lost_count += len(self._tasks(self._standing_jobs) & set(lost_tasks))
        print(f"killed {host.name}, owner of shard {self._killed_claim['shard']} (SIGKILL)")
        print(f"crashed an executor in each hall, {self._lost_count} standing tasks with them")
        await asyncio.sleep(RESTART_DELAY_S)
        await host.start()

    async def _all_standing_tasks_run(self) -> bool:
        return await self._count_standing() == len(self._tasks(self._standing_jobs))

    async def _count_standing(self) -> int:
        observed = await self._world.observed()
        return len(self._tasks(self._standing_jobs) & set(observed.running))

    async def _all_succeeded(self) -> bool:
        host = self._random.choice(list(self._world.hosts))
        unfinished = (job for job in self._finite_jobs if job.succeeded_at is None)
        states = await asyncio.gather(*(self._callers.ask(job, host) for job in unfinished))
        return all(state == "succeeded" for state in states)

    @staticmethod
    def _tasks(jobs: list[Job]) -> set[str]:
        return {task for job in jobs for task in job.tasks}

    async def _count(self, started_at: float) -> list[Count]:
        observed = await self._world.observed()
        broken = judge(self._callers, observed, started_at) + unexpected_errors(self._folder)
        broken += [end for host in self._world.hosts.values() for end in host.unexpected_exits]
        print(*broken, sep="\n", end="\n" if broken else "")
        jobs, finite_jobs, standing = (
            self._callers.jobs,
            self._finite_jobs,
            self._tasks(self._standing_jobs),
        )
        tasks = self._tasks(finite_jobs)
        runs = sum(len(observed.started_at.get(job.id, ())) for job in self._standing_jobs)
        later_claims = [
            c for c in _claims(self._folder) if c["token"] > self._killed_claim.get("token", 0)
        ]
        replaced = any(claim["shard"] == self._killed_claim.get("shard") for claim in later_claims)
        return [
            Count("jobs accepted", sum(job.accepted_at is not None for job in jobs), len(jobs)),
            Count(
                "short and batch jobs succeeded",
                sum(job.succeeded_at is not None for job in finite_jobs),
                len(finite_jobs),
            ),
            Count("their tasks done", len(tasks & observed.done_at.keys()), len(tasks)),
            Count("standing tasks at work", await self._count_standing(), len(standing)),
            Count("runs of standing tasks begun", runs, len(standing) + self._lost_count),
            Count("killed owner replaced", int(replaced), 1),
            Count("promises broken", len(broken), 0),
        ]

    async def keep(self) -> None:
        """Print the addresses of the hosts, and wait until cancelled."""
        job = self._new_job(BATCH)
        body = job_body(job.spec)
        # The test doubles check each start against the submitted job, so they must know the job.
        await self._world.executors.send_command("job", {"id": job.id, "body": body.decode()})
        path = self._folder / "job.json"
        path.write_bytes(body)
        print()
        for host in self._world.hosts.values():
            address = host.address
            print(
                f"{host.name}: callers {address}:{CALLERS_PORT}, readiness "
                f"http://{address}:{READINESS_PORT}/api/readiness, metrics http://{address}:{METRICS_PORT}/metrics"
            )
        print(f"queue: Host {QUEUE.host}, path {QUEUE.prefix}")
        print(f"a job to submit: {job.id} in {path}")
        print(f"a job that stands: {self._standing_jobs[0].id}; logs: {self._folder}")
        print("kept running; end with Ctrl-C", flush=True)
        await asyncio.Event().wait()


async def _until(condition: Callable[[], Awaitable[bool]]) -> None:
    while not await condition():
        await asyncio.sleep(POLL_INTERVAL_S)


def _claims(folder: Path) -> list[dict[str, Any]]:
    """Return the claims of shards from the hosts' logs, in the order of their tokens."""
    lines = [line for path in folder.glob("host-*.log") for line in path.read_text().splitlines()]
    claim_lines = [line for line in lines if f'"event":{Event.OWNER_CLAIMED.number},' in line]
    return sorted(map(json.loads, claim_lines), key=lambda fields: int(fields["token"]))


def print_summary(counts: list[Count]) -> int:
    """Print the counts and a one-line summary; return the exit code."""
    print()
    for count in counts:
        print(f"  {count.what:<34} {count.number:>4} of {count.wanted}")
    summary = ", ".join(f"{count.what} {count.number}/{count.wanted}" for count in counts)
    met = all(count.met for count in counts)
    print(f"demo: {'met' if met else 'NOT MET'}; {summary}", flush=True)
    return 0 if met else 1


async def run(folder: Path, *, keep: bool) -> int:
    """Run the demo with settings and logs in ``folder``; return the exit code."""
    task = asyncio.current_task()
    assert task
    # Cancelling the task stops the hosts, which must not outlive this process.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    folder.mkdir(parents=True, exist_ok=True)
    for old_log in folder.glob("host-*.log"):
        old_log.unlink()
    async with World(PLAN, folder) as world:
        await world.await_ready(MAX_START_S)
        print(f"{PLAN.hosts} hosts and {PLAN.executors} executors in {PLAN.halls} halls are up")
        demo = Demo(world, folder)
        code = print_summary(await demo.play())
        if keep:
            try:
                await demo.keep()
            except asyncio.CancelledError:
                print("ended")
        return code


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--keep", action="store_true", help="keep the hosts running after the counts"
    )
    parser.add_argument("--logs", type=Path, default=LOGS, help="folder for settings and logs")
    options = parser.parse_args()
    try:
        return asyncio.run(run(options.logs, keep=options.keep))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 1


if __name__ == "__main__":
    sys.exit(main())
