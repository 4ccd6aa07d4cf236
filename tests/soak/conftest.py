"""Seeded runs of the soak with flags, which are played side by side and once for all tests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from soak.__main__ import run_all
from soak.results import keep_failed_runs

from tests.soak.test_runs import FAILED_RUNS_FOLDER, MAX_PARALLEL_SEEDS

SEEDS = {
    "--evacuates": [64002, 64003],
    "--refuses_starts": [86110, 86111],
    "--signals": [86701],
    "--odd_entries": [89001],
}
"""Seeds by flag. Those with evacuations never failed, with two halls and with three. Executors
answer 503 to starts in one run in calm times, and do not answer in the next one. The seed with
series of signals never failed; with odd entries, hosts ended by themselves."""

FAULTS_S = 8.0
"""Time during which faults start. With the checks after it a run takes a minute."""


@pytest.fixture(scope="session")
def reports_by_flag(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    """Return for each flag a report of its seeds with a violation, empty without.

    The runs go side by side, as most of their time is spent waiting.
    """
    assert sum(map(len, SEEDS.values())) <= MAX_PARALLEL_SEEDS
    return asyncio.run(_play_all(tmp_path_factory.mktemp("soak")))


async def _play_all(folder: Path) -> dict[str, str]:
    reports = await asyncio.gather(*(_play(flag, folder / flag.strip("-")) for flag in SEEDS))
    return dict(zip(SEEDS, reports, strict=True))


async def _play(flag: str, folder: Path) -> str:
    seeds = SEEDS[flag]
    broken = await run_all(seeds, FAULTS_S, len(seeds), str(folder), [flag])
    return keep_failed_runs(broken, folder, FAILED_RUNS_FOLDER)
