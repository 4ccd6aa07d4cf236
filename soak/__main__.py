"""Fault soak of the host daemon.

    python -m soak run --seed 7 --seconds 20 [--hosts 4 --executors 6 --halls 2 --loses_halls]
    python -m soak series --first 1 --count 50 --seconds 20 --jobs 2 [--evacuates] [--loses_halls]
        [--overloads] [--refuses_starts] [--signals] [--odd_entries] [--hostile_callers]
        [--hosts 200 --executors 60 --halls 3]
    python -m soak regressions --jobs 2

Sizes that are not given depend on the seed. The exit code is 1 if there was a violation; the logs
of such runs are kept.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
from collections.abc import Iterable, Sequence
from dataclasses import replace
from pathlib import Path

import fire

from soak.deployment import Plan
from soak.regressions import REGRESSIONS
from soak.results import write_result
from soak.run import Outcome, Run

LOGS = "target/soak"
"""Default folder for logs."""

REGRESSION_S = 20.0
"""Time during which faults start when seeds that once failed are played."""

MAX_LINES = 20
"""Maximum number of violations printed per run."""


async def _play(plan: Plan, folder: Path, *, keep: bool) -> Outcome:
    shutil.rmtree(folder, ignore_errors=True)
    outcome = await Run(plan, folder).play()
    print(outcome, flush=True)
    write_result(folder, outcome)
    for line in outcome.violations[:MAX_LINES]:
        print(f"  {line}")
    if outcome.violations:
        print(f"  logs: {folder}", flush=True)
    elif not keep:
        shutil.rmtree(folder)
    return outcome


def run(seed: int, *, seconds: float = 20.0, keep_logs: str = "", **sizes: float) -> None:
    """Play one seed.

    Args:
        seed: Seed of all random choices.
        seconds: Time during which faults start.
        keep_logs: Folder in which logs are kept even without a violation.
        sizes: Other fields of the plan: ``hosts``, ``executors``, ``halls``, ``jobs_per_s``,
            ``evacuates``, ``loses_halls``, ``overloads``, ``refuses_starts``, ``signals``,
            ``odd_entries``, ``hostile_callers``.
    """
    plan = replace(Plan.of_seed(seed, seconds), **sizes)
    folder = Path(keep_logs or LOGS) / f"seed-{seed}"
    outcome = asyncio.run(_play(plan, folder, keep=bool(keep_logs)))
    sys.exit(1 if outcome.violations else 0)


def series(
    first: int,
    *,
    count: int = 50,
    seconds: float = 20.0,
    jobs: int = 2,
    keep_logs: str = LOGS,
    evacuates: bool = False,
    loses_halls: bool = False,
    overloads: bool = False,
    refuses_starts: bool = False,
    signals: bool = False,
    odd_entries: bool = False,
    hostile_callers: bool = False,
    **sizes: float,
) -> None:
    """Play consecutive seeds, several at a time, each in a separate process.

    Args:
        first: The first seed.
        count: Number of seeds.
        seconds: Time during which faults start.
        jobs: Number of seeds to play at a time.
        keep_logs: Folder for the logs.
        evacuates: Whether halls are evacuated.
        loses_halls: Whether halls lose their executors.
        overloads: Whether bursts come and executors turn slow.
        refuses_starts: Whether executors refuse starts.
        signals: Whether signals and configurations come in series of their own.
        odd_entries: Whether another writer overwrites the entries of executors.
        hostile_callers: Whether crowds of callers outside the limits come.
        sizes: Sizes of all runs in place of those of the seeds: ``hosts``, ``executors``,
            ``halls``, ``jobs_per_s``.
    """
    seeds = range(first, first + count)
    flags = {
        "--evacuates": evacuates,
        "--loses_halls": loses_halls,
        "--overloads": overloads,
        "--refuses_starts": refuses_starts,
        "--signals": signals,
        "--odd_entries": odd_entries,
        "--hostile_callers": hostile_callers,
    }
    arguments = [flag for flag, on in flags.items() if on]
    arguments += [f"--{name}={value}" for name, value in sizes.items()]
    _play_seeds(seeds, seconds, jobs, keep_logs, arguments)


def regressions(*, jobs: int = 2, keep_logs: str = LOGS) -> None:
    """Play all seeds that ever failed."""
    _play_seeds(REGRESSIONS, REGRESSION_S, jobs, keep_logs)


def _play_seeds(
    seeds: Iterable[int], seconds: float, jobs: int, keep_logs: str, flags: Sequence[str] = ()
) -> None:
    seeds = list(seeds)
    broken = asyncio.run(run_all(seeds, seconds, jobs, keep_logs, flags))
    kept = len(seeds) - len(broken)
    print(f"{len(seeds)} seeds, {seconds:g} s each, {jobs} at a time: {kept} kept all")
    if broken:
        print(f"broken: {', '.join(map(str, broken))}; logs below {keep_logs}")
    sys.exit(1 if broken else 0)


async def run_all(
    seeds: list[int], seconds: float, jobs: int, keep_logs: str, flags: Sequence[str] = ()
) -> list[int]:
    """Play seeds, several at a time, and return those with a violation.

    Args:
        seeds: The seeds.
        seconds: Time during which faults start.
        jobs: Number of seeds to play at a time.
        keep_logs: Folder for the logs of runs with a violation.
        flags: Further arguments of each run.
    """
    free = asyncio.Semaphore(jobs)

    async def play(seed: int) -> int | None:
        plan = [f"--seed={seed}", f"--seconds={seconds}", f"--keep_logs={keep_logs}"]
        async with free:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "soak", "run", *plan, *flags
            )
            return seed if await process.wait() else None

    ends = await asyncio.gather(*map(play, seeds))
    return [seed for seed in ends if seed is not None]


if __name__ == "__main__":
    fire.Fire({"run": run, "series": series, "regressions": regressions})
