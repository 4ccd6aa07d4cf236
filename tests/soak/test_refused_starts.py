"""Seeded runs of the soak in which executors refuse starts; more are run by hand."""

from __future__ import annotations

from pathlib import Path

from soak.__main__ import run_all
from soak.results import keep_failed_runs

from tests.soak.test_runs import FAILED_RUNS_FOLDER

SEEDS = [86110, 86111]
"""Seeds with executors that answer 503 in calm times, and with executors that do not answer."""

FAULTS_S = 8.0
"""Time during which faults start. With the checks after it a run takes a minute."""


async def test_hosts_count_jobs_that_wait_while_executors_refuse_starts(tmp_path: Path) -> None:
    """Guards against jobs that count as begun although no executor started any of their tasks."""
    broken = await run_all(SEEDS, FAULTS_S, len(SEEDS), str(tmp_path), ["--refuses_starts"])
    assert broken == [], keep_failed_runs(broken, tmp_path, FAILED_RUNS_FOLDER)
