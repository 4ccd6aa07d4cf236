"""Fault soak of the host daemon.

    python -m soak run --seed 7 --seconds 20 --hosts 4 --executors 6 [--keep_logs DIR]
    python -m soak series --first 1 --count 50 --seconds 20 --jobs 2 [--keep_logs DIR]

The exit code is 1 where a promise was broken; the logs of such runs are kept.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
from pathlib import Path

import fire

from soak.deployment import Plan
from soak.run import Outcome, Run

LOGS = "target/soak"
"""Where logs go when no other folder is named."""


async def _play(plan: Plan, folder: Path, *, keep: bool) -> Outcome:
    shutil.rmtree(folder, ignore_errors=True)
    outcome = await Run(plan, folder).play()
    print(outcome, flush=True)
    for line in outcome.broken[:20]:
        print(f"  {line}")
    if outcome.broken:
        print(f"  logs: {folder}", flush=True)
    elif not keep:
        shutil.rmtree(folder)
    return outcome


def run(
    seed: int,
    *,
    seconds: float = 20.0,
    hosts: int = 4,
    executors: int = 6,
    halls: int = 2,
    jobs_per_s: float = 4.0,
    keep_logs: str = "",
) -> None:
    """Play one seed."""
    plan = Plan(seed, seconds, hosts, executors, halls, jobs_per_s)
    folder = Path(keep_logs or LOGS) / f"seed-{seed}"
    outcome = asyncio.run(_play(plan, folder, keep=bool(keep_logs)))
    sys.exit(1 if outcome.broken else 0)


def series(
    first: int,
    *,
    count: int = 50,
    seconds: float = 20.0,
    jobs: int = 2,
    keep_logs: str = LOGS,
) -> None:
    """Play seeds in a row, some at a time, each in a process of its own."""
    failed = asyncio.run(_series(range(first, first + count), seconds, jobs, keep_logs))
    print(f"{count} seeds from {first}, {seconds:g} s each: {count - len(failed)} kept all")
    if failed:
        print(f"broken: {', '.join(map(str, failed))}; logs below {keep_logs}")
    sys.exit(1 if failed else 0)


async def _series(seeds: range, seconds: float, jobs: int, keep_logs: str) -> list[int]:
    free = asyncio.Semaphore(jobs)

    async def play(seed: int) -> int | None:
        # Sizes go round with the seed: two or three halls, four to nine hosts.
        halls = 2 + seed % 2
        arguments = {
            "seed": seed,
            "seconds": seconds,
            "halls": halls,
            "hosts": halls * (2 + seed % 3 // 2),
            "executors": halls * (2 + seed % 4),
        }
        flags = [f"--{name}={value}" for name, value in arguments.items()]
        async with free:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "soak", "run", *flags, f"--keep_logs={keep_logs}"
            )
            return seed if await process.wait() else None

    ends = await asyncio.gather(*map(play, seeds))
    return [seed for seed in ends if seed is not None]


if __name__ == "__main__":
    fire.Fire({"run": run, "series": series})
