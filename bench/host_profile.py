"""Processor time of a shard's owner, by part: ``python -m bench.host_profile``.

One host owns a hall of 60 executors in virtual time. The time of its callbacks is taken
without a profile, least of some plays; its parts come from one play under a profile. The
orders of all plays have the same digest, which tells whether two trees decide alike.
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
"""Length of the traffic of one play."""

PLAYS = 3
"""Plays without a profile; the least counts."""


@dataclass
class Meter:
    """Processor time of a host's callbacks.

    Attributes:
        profile: Profile to take of them, if any.
        spent_s: Their processor time.
    """

    profile: cProfile.Profile | None = None
    spent_s: float = 0.0

    @contextmanager
    def measuring(self) -> Iterator[None]:
        """Measure all callbacks that run meanwhile."""
        run = asyncio.Handle._run

        def measured(handle: asyncio.Handle) -> None:
            if not handle._context.get(HOST, ""):  # type: ignore[attr-defined]
                run(handle)
                return
            began = time.thread_time()
            if self.profile:
                self.profile.enable()
            run(handle)
            if self.profile:
                self.profile.disable()
            self.spent_s += time.thread_time() - began

        with patch.object(asyncio.Handle, "_run", measured):
            yield


def play(
    make: Callable[[], BusyHall], seconds: float, profile: cProfile.Profile | None = None
) -> tuple[float, int]:
    """Play once and return the host's processor time in seconds, and the runs."""
    meter = Meter(profile)
    world = make()
    with meter.measuring():
        run_virtual(world.play(seconds), limit_s=seconds + 60.0)
    if world.problems:
        raise SystemExit(f"promises broken: {world.problems[:3]}")
    print(f"{world.runs} runs, {meter.spent_s:.2f} s, orders {world.digest.hexdigest()[:16]}")
    return meter.spent_s, world.runs


def main() -> None:
    """Play, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--batch", type=float, default=2.0, help="batch jobs a second")
    parser.add_argument("--plays", type=int, default=PLAYS)
    parser.add_argument("--http", action="store_true", help="with codecs and HTTP clients")
    parser.add_argument("--top", type=int, default=0, help="functions to list by own time")
    parser.add_argument("--bare", action="store_true", help="no profile and no parts")
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
    """Print processor milliseconds a run, the host's own without the world's."""
    each = sorted(1000 * spent / runs for spent, runs in plays)
    own = 1.0 - shares.get(WORLD, 0.0)
    print("\n| part | ms a run |\n| --- | --- |")
    for part, share in shares.items():
        if part != WORLD:
            print(f"| {part} | {each[0] * share:.3f} |")
    print(f"| in all | {each[0] * own:.3f} (to {each[-1] * own:.3f}) |")


if __name__ == "__main__":
    main()
