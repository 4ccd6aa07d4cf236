"""A seeded run of the soak with signals in series of their own; more seeds are run by hand."""

from __future__ import annotations

from pathlib import Path

from soak.__main__ import run_all
from soak.results import keep_failed_runs

from tests.soak.test_runs import FAILED_RUNS_FOLDER

SEEDS = [86701]
"""A seed that never failed."""

FAULTS_S = 8.0
"""Time during which faults start. With the checks after it a run takes 50 s."""


async def test_seeds_keep_all_promises_under_series_of_signals(tmp_path: Path) -> None:
    """Guards against requests that are cut while stops, kills, reloads and changes overlap."""
    broken = await run_all(SEEDS, FAULTS_S, len(SEEDS), str(tmp_path), ["--signals"])
    assert broken == [], keep_failed_runs(broken, tmp_path, FAILED_RUNS_FOLDER)
