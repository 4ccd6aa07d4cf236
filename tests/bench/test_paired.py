"""Rows of paired benchmark runs, and the differences between two source trees.

Guards against a comparison that counts runs without a partner, runs that failed, or runs in which
a rule was broken without saying so.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from bench.paired import WHOLE, Row, Run, differences, read_rows, table


def _row(tree: str, seed: int, worth: float, *, broken: str = "", **kinds: float) -> Row:
    return Row(Run(tree, "site", "day", seed), {WHOLE: worth, **kinds}, broken)


def test_rows_round_trip_through_a_file(tmp_path: Path) -> None:
    rows = [_row("a", 1, 0.5, short=0.4), _row("b", 1, 0.6, broken="TWICE 1")]
    file = tmp_path / "rows.jsonl"
    file.write_bytes(b"".join(row.encode() for row in rows))
    assert read_rows(file) == rows


def test_only_complete_pairs_are_compared() -> None:
    rows = [_row("a", 1, 0.5), _row("b", 1, 0.6), _row("a", 2, 0.1), _row("b", 3, 0.9)]
    (whole,) = differences(rows, "a", "b")
    assert whole.pairs == 1
    assert whole.mean == pytest.approx(0.1)
    assert whole.error is None


def test_a_run_without_figures_is_listed_but_not_compared() -> None:
    failed = Row(Run("b", "site", "day", 1), {}, "not played, exit 2")
    rows = [_row("a", 1, 0.5), failed, _row("a", 2, 0.5), _row("b", 2, 0.7)]
    assert [d.pairs for d in differences(rows, "a", "b")] == [1]
    assert "not played, exit 2" in table(rows, "a", "b")


def test_the_row_of_a_report_names_its_broken_rules() -> None:
    report = {"G": 0.5, "classes": [{"name": "short", "worth": 0.25}], "breaks": {"TWICE": 2}}
    row = Row.of_report(Run("a", "site", "day", 1), report | {"fault": None, "short": ["floor"]})
    assert row.figures == {WHOLE: 0.5, "short": 0.25}
    assert row.broken == "TWICE 2, short: floor"
