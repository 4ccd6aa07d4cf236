"""Seeded runs of the soak; more seeds are played by hand (docs/OPERATIONS.md)."""

from __future__ import annotations

from pathlib import Path

from soak.__main__ import REGRESSION_S, play_all
from soak.deployment import Plan
from soak.regressions import REGRESSIONS
from soak.run import Run

SECONDS = 6.0
"""Faults begin for so long in the short run, which takes 20 s in all."""

SEEDS_AT_A_TIME = 4
"""A run takes about one core."""


async def test_promises_are_kept_under_faults(tmp_path: Path) -> None:
    outcome = await Run(Plan.of_seed(102, SECONDS), tmp_path).play()
    assert outcome.broken == []
    assert outcome.accepted
    assert outcome.questions


async def test_seeds_that_failed_once_keep_all_promises(tmp_path: Path) -> None:
    seeds = [seed for seed, regression in REGRESSIONS.items() if regression.mended]
    assert await play_all(seeds, REGRESSION_S, SEEDS_AT_A_TIME, str(tmp_path)) == []
