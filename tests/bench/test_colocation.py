"""Checks that the model of colocated work serves all kinds of work and repeats by its seed."""

from __future__ import annotations

from dataclasses import replace

from bench.colocation.hall import Figures, Hall
from bench.colocation.sheet import BATCH, SHEETS, SHORT, STANDING

SMALL = replace(
    SHEETS["small-executors"],
    executors=8,
    standing_jobs=2,
    batch_jobs=1,
    short_per_s=0.5,
    batch_per_s=0.5,
)


def _play() -> Figures:
    return Hall(SMALL, 7, seconds=3.0).play()


def test_a_day_serves_all_kinds_of_work() -> None:
    figures = _play()
    for queue in (SHORT, BATCH, STANDING):
        assert 0.0 < figures.earned[queue] <= figures.owed[queue]
    assert figures.in_time + figures.late <= figures.batch
    assert figures.over_s <= figures.served_s


def test_a_day_repeats_by_its_seed() -> None:
    assert _play() == _play()
