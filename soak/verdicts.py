"""What a run showed, kept beside its logs, and read again by whoever started it."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.run import Outcome

VERDICT = "verdict.log"
"""File in a run's folder that says what it gave and which promises it broke."""

FAULTS = "faults.log"
"""File in a run's folder that says which faults it caused, and when."""

MAX_TOLD = 40
"""Lines of each file that are told of a run: enough for its verdict and all its faults."""


def write_verdict(folder: Path, outcome: Outcome) -> None:
    """Keep what a run gave, with every broken promise."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / VERDICT).write_text("\n".join([str(outcome), *outcome.violations]) + "\n")


def keep_broken(seeds: list[int], folder: Path, kept_below: Path) -> str:
    """Keep the folders of seeds that broke a promise and return what to say of them.

    Args:
        seeds: The seeds.
        folder: Where their folders are.
        kept_below: Where they go, with all logs; an earlier one of the same seed is replaced.
    """
    told = []
    for seed in seeds:
        name = f"seed-{seed}"
        kept = kept_below / name
        shutil.rmtree(kept, ignore_errors=True)
        if (folder / name).exists():
            shutil.copytree(folder / name, kept)
        told += [f"{name}, logs in {kept}", *_lines(kept / VERDICT), *_lines(kept / FAULTS)]
    return "\n".join(told)


def _lines(path: Path) -> list[str]:
    if not path.exists():
        return [f"  no {path.name}: the run did not come to its end"]
    return [f"  {line}" for line in path.read_text(errors="replace").splitlines()[:MAX_TOLD]]
