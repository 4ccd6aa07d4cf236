"""The test days in deploy/days, each written after a pattern of faults or load that did harm.

A day is a plan of load and faults. It has to run at any site, so it may name parts of a site only
by placeholders, and it has to end with enough time to recover.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = sorted((Path(__file__).parents[2] / "deploy" / "days").glob("*.toml"))
SITE_PLACEHOLDERS = {"class": "@c0", "service": "@s0", "zone": "@z0"}
"""Fields that name a part of a site, and the placeholder for the first such part of any site."""


def entries(day: dict[str, Any]) -> list[dict[str, Any]]:
    return [*day["plan"], *day["faults"]]


def read(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text())


def test_days_are_named_after_their_files_and_have_distinct_seeds() -> None:
    days = [read(path) for path in DAYS]
    assert len(days) >= 10
    assert [day["name"] for day in days] == [path.stem for path in DAYS]
    assert len({day["seed"] for day in days}) == len(days)


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_names_parts_of_a_site_by_placeholders_only(path: Path) -> None:
    for entry in entries(read(path)):
        for field, placeholder in SITE_PLACEHOLDERS.items():
            assert entry.get(field, placeholder) == placeholder


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_states_its_purpose_and_leaves_time_to_recover(path: Path) -> None:
    day = read(path)
    assert path.read_text().startswith("# ")
    assert max(entry["at"] for entry in entries(day)) <= day["length_s"] - 12.0
