"""Plays days of simulated halls and prints what they earn.

A hall here is the product's core, planner and pacer on simulated executors. A day takes some 20 s
of one core, so that ways of sharing executors can be compared on many seeds.

python -m bench.colocation --sheets small-executors,large-executors --seeds 1,2 [--jobs 4]
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from statistics import fmean

import fire

from bench.colocation.hall import Figures, Hall
from bench.colocation.sheet import BATCH, SHEETS, SHORT, STANDING

COLUMNS = (
    "whole",
    SHORT,
    BATCH,
    "largest",
    STANDING,
    "over share",
    "batch cores",
    "in time",
    "late",
    "jobs",
    "stopped",
    "paces",
)


def play(sheet: str, seed: int, seconds: float, surge: float) -> tuple[float, ...]:
    """Play one day and return the figures of the columns."""
    figures = Hall(SHEETS[sheet], seed, seconds=seconds, surge=surge).play()
    return _row(figures, seconds)


def _row(figures: Figures, seconds: float) -> tuple[float, ...]:
    return (
        figures.whole,
        figures.share(SHORT),
        figures.share(BATCH),
        figures.largest_earned / max(figures.largest_owed, 1e-9),
        figures.share(STANDING),
        figures.over_s / max(figures.served_s, 1e-9),
        figures.batch_core_s / seconds,
        figures.in_time,
        figures.late,
        figures.batch,
        figures.stopped,
        figures.paces,
    )


def main(
    sheets: str = "small-executors",
    seeds: str = "1,2,3,4",
    *,
    seconds: float = 34.0,
    surge: float = 1.0,
    jobs: int = 4,
) -> None:
    """Play each sheet with each seed and print a row for each, and their means."""
    names = sheets.split(",") if isinstance(sheets, str) else list(sheets)
    numbers = [int(n) for n in (seeds.split(",") if isinstance(seeds, str) else _listed(seeds))]
    print(f"{'sheet':>15} " + " ".join(f"{name:>11}" for name in ("seed", *COLUMNS)))
    with ProcessPoolExecutor(jobs) as pool:
        for sheet in names:
            plays = [pool.submit(play, sheet, seed, seconds, surge) for seed in numbers]
            rows = [found.result() for found in plays]
            for seed, row in zip(numbers, rows, strict=True):
                _print(sheet, str(seed), row)
            _print(sheet, "mean", tuple(fmean(column) for column in zip(*rows, strict=True)))


def _listed(value: object) -> list[int]:
    return list(value) if isinstance(value, (list, tuple)) else [int(str(value))]


def _print(sheet: str, seed: str, row: tuple[float, ...]) -> None:
    cells = [f"{value:11.3f}" if abs(value) < 10 else f"{value:11.0f}" for value in row]
    print(f"{sheet:>15} {seed:>11} " + " ".join(cells), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
