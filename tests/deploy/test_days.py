"""The own days in deploy/days: written for any site, each for a pattern that hurt."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = sorted((Path(__file__).parents[2] / "deploy" / "days").glob("*.toml"))
NAMES_OF_SITES = {"class": "@c0", "service": "@s0", "zone": "@z0"}
"""Fields that name a part of a site, and what stands for its first one in any site."""


def entries(day: dict[str, Any]) -> list[dict[str, Any]]:
    return [*day["plan"], *day["faults"]]


def read(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text())


def test_there_are_days_with_names_and_seeds_of_their_own() -> None:
    days = [read(path) for path in DAYS]
    assert len(days) >= 10
    assert [day["name"] for day in days] == [path.stem for path in DAYS]
    assert len({day["seed"] for day in days}) == len(days)


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_fits_any_site(path: Path) -> None:
    for entry in entries(read(path)):
        for field, stands_for_it in NAMES_OF_SITES.items():
            assert entry.get(field, stands_for_it) == stands_for_it


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_says_what_it_answers_and_leaves_time_to_recover(path: Path) -> None:
    day = read(path)
    assert path.read_text().startswith("# ")
    assert max(entry["at"] for entry in entries(day)) <= day["length_s"] - 12.0
