"""Plays days of standing work on the platform for other seeds, and prints what breaks.

.venv/bin/python -m tests.host.platform_seeds ordinary|full|faults|managed|memory FIRST LAST
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from tests.host.best_effort_memory_day import BestEffortMemoryDay
from tests.host.managed_day import ManagedDay
from tests.host.never_run_day import FULL_HALLS, NeverRunDay
from tests.host.standing_faults_day import StandingFaultsDay
from tests.virtual_time import run_virtual

LIMIT_S = 600.0
"""Longest duration of a scenario, in virtual seconds."""

OWNER_KINDS = (
    "kill_owner",
    "kill_owner_in_handover",
    "depart_as_owner_is_killed",
    "depart_after_owner_is_back",
    "replace_in_turn",
    "join",
)
"""Kinds of faults that hand tasks over and change owners on the platform."""

DAYS: dict[str, Callable[[int], StandingFaultsDay]] = {
    "ordinary": lambda seed: NeverRunDay(seed, hall_count=3),
    "full": lambda seed: NeverRunDay(seed, hall_count=3, load=FULL_HALLS),
    "faults": StandingFaultsDay,
    "managed": lambda seed: ManagedDay(seed, OWNER_KINDS),
    "memory": lambda seed: BestEffortMemoryDay(seed, hall_count=3),
}


def main(kind: str, first: int, last: int) -> None:
    """Play the days of some seeds, and print the longest wait beside room of each, in seconds."""
    red = 0
    for seed in range(first, last + 1):
        day = DAYS[kind](seed).on_platform()
        problems = run_virtual(day.play(), limit_s=LIMIT_S).problems
        red += bool(problems)
        verdict = "red" if problems else "kept"
        longest_s = day.checks.rule.longest_beside_room_s
        print(f"{kind} {seed} {verdict} {longest_s:.1f} {problems[:3]}", flush=True)
    print(f"{red} red")


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
