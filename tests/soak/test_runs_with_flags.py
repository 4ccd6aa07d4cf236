"""Seeded runs of the soak with faults that only some runs have; more seeds are run by hand."""

from __future__ import annotations

import asyncio
from pathlib import Path

from soak.__main__ import run_all
from soak.results import keep_failed_runs

from tests.soak.test_runs import FAILED_RUNS_FOLDER

SEEDS = {
    "--refuses_starts": [86110, 86111],
    "--signals": [86701],
    "--odd_entries": [89001],
    "--hostile_callers": [95001],
}
"""Seeds by flag. Executors answer 503 to starts in one run in calm times, and do not answer in the
next one. The seeds with series of signals and with callers outside the limits never failed; with
odd entries, hosts ended by themselves."""

FAULTS_S = 8.0
"""Time during which faults start. With the checks after it a run takes a minute."""


async def _play(flag: str, folder: Path) -> str:
    """Play the seeds of a flag and return a report of those with a violation, empty without."""
    seeds = SEEDS[flag]
    broken = await run_all(seeds, FAULTS_S, len(seeds), str(folder), [flag])
    return keep_failed_runs(broken, folder, FAILED_RUNS_FOLDER)


async def test_seeds_keep_all_promises_while_starts_are_refused_and_signals_come(
    tmp_path: Path,
) -> None:
    """Guards against jobs that count as begun although no executor started any of their tasks.

    And against requests that are cut while stops, kills, reloads and changes overlap, and against
    hosts that end on an odd entry of an executor. The runs go side by side, as most of their time
    is spent waiting.
    """
    reports = await asyncio.gather(*(_play(flag, tmp_path / flag.strip("-")) for flag in SEEDS))
    assert reports == [""] * len(SEEDS)
