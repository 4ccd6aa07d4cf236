"""Measures the CPU time of a shard's owner, by part of the host.

Run as ``python -m bench.host_profile``. One host owns a hall of 60 executors in virtual
time. The total is the minimum over several plays without a profiler; the shares of the
parts come from one more play under a profiler. All plays of one source tree send the same
orders, so the digest of the orders shows whether two trees make the same decisions.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import pstats
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from unittest.mock import patch

from tests.virtual_time import HOST, run_virtual

from bench._busy_hall import BusyHall
from bench._http_hall import HttpHall
from bench._parts import WORLD, part_shares

SECONDS = 20.0
"""Duration of the traffic of one play, in virtual time."""

PLAYS = 3
"""Number of plays without a profiler; the fastest counts."""


@dataclass
class Meter:
    """Measures the CPU time of a host's callbacks.

    Attributes:
        profile: Profiler that is enabled during the callbacks, if any.
        cpu_s: CPU time of the callbacks.
    """

    profile: cProfile.Profile | None = None
    cpu_s: float = 0.0

    @contextmanager
    def measuring(self) -> Iterator[None]:
        """Measure all callbacks that run within the context."""
        run = asyncio.Handle._run

        def measured(handle: asyncio.Handle) -> None:
            if not handle._context.get(HOST, ""):  # type: ignore[attr-defined]
                run(handle)
                return
            started_at = time.thread_time()
            if self.profile:
                self.profile.enable()
            run(handle)
            if self.profile:
                self.profile.disable()
            self.cpu_s += time.thread_time() - started_at

        with patch.object(asyncio.Handle, "_run", measured):
            yield


def play(
    make: Callable[[], BusyHall], seconds: float, profile: cProfile.Profile | None = None
) -> tuple[float, int]:
    """Play once; return the host's CPU time in seconds and the number of runs."""
    meter = Meter(profile)
    world = make()
    with meter.measuring():
        run_virtual(world.play(seconds), limit_s=seconds + 60.0)
    if world.problems:
        raise SystemExit(f"promises broken: {world.problems[:3]}")
    print(f"{world.runs} runs, {meter.cpu_s:.2f} s, orders {world.digest.hexdigest()[:16]}")
    return meter.cpu_s, world.runs


def main() -> None:
    """Run the plays and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--batch", type=float, default=2.0, help="batch jobs per second")
    parser.add_argument("--plays", type=int, default=PLAYS)
    parser.add_argument("--http", action="store_true", help="include codecs and HTTP clients")
    parser.add_argument(
        "--top", type=int, default=0, help="number of functions to list by own time"
    )
    parser.add_argument(
        "--bare", action="store_true", help="measure the total only, without a profiler"
    )
    options = parser.parse_args()
    kind = HttpHall if options.http else BusyHall
    make = partial(kind, seed=options.seed, batch_per_s=options.batch)
    plays = [play(make, options.seconds) for _ in range(options.plays)]
    if options.bare:
        return
    profile = cProfile.Profile()
    play(make, options.seconds, profile)
    print_table(plays, part_shares(profile))
    if options.top:
        pstats.Stats(profile).sort_stats("tottime").print_stats(options.top)


def print_table(plays: list[tuple[float, int]], shares: dict[str, float]) -> None:
    """Print the host's CPU milliseconds per run, without the time of test doubles."""
    ms_per_run = sorted(1000 * cpu_s / runs for cpu_s, runs in plays)
    own = 1.0 - shares.get(WORLD, 0.0)
    print("\n| part | ms per run |\n| --- | --- |")
    for part, share in shares.items():
        if part != WORLD:
            print(f"| {part} | {ms_per_run[0] * share:.3f} |")
    print(f"| total | {ms_per_run[0] * own:.3f} (to {ms_per_run[-1] * own:.3f}) |")


if __name__ == "__main__":
    main()
