"""Result files of runs, which are stored next to their logs."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.run import Outcome

VERDICT_FILE = "verdict.log"
"""File in a run's folder with the outcome and all violations."""

FAULTS_FILE = "faults.log"
"""File in a run's folder with the faults and their times."""

MAX_REPORTED_LINES = 40
"""Maximum number of lines of each file in a report: enough for the outcome and all faults."""


def write_result(folder: Path, outcome: Outcome) -> None:
    """Write the outcome of a run with all violations."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / VERDICT_FILE).write_text("\n".join([str(outcome), *outcome.violations]) + "\n")


def keep_failed_runs(seeds: list[int], folder: Path, kept_below: Path) -> str:
    """Copy the folders of failed seeds and return a report about them.

    Args:
        seeds: The failed seeds.
        folder: Parent of the seeds' folders.
        kept_below: Parent of the copies; a copy of the same seed is replaced.
    """
    report = []
    for seed in seeds:
        name = f"seed-{seed}"
        kept = kept_below / name
        shutil.rmtree(kept, ignore_errors=True)
        if (folder / name).exists():
            shutil.copytree(folder / name, kept)
        report += [
            f"{name}, logs in {kept}",
            *_lines(kept / VERDICT_FILE),
            *_lines(kept / FAULTS_FILE),
        ]
    return "\n".join(report)


def _lines(path: Path) -> list[str]:
    if not path.exists():
        return [f"  no {path.name}: the run did not finish"]
    return [
        f"  {line}" for line in path.read_text(errors="replace").splitlines()[:MAX_REPORTED_LINES]
    ]
