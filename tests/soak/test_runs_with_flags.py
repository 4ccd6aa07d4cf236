"""Seeded runs of the soak with faults that only some runs have; more seeds are run by hand."""

from __future__ import annotations

FLAGS = ("--refuses_starts", "--signals", "--odd_entries")


def test_seeds_keep_all_promises_while_starts_are_refused_and_signals_come(
    reports_by_flag: dict[str, str],
) -> None:
    """Guards against jobs that count as begun although no executor started any of their tasks.

    And against requests that are cut while stops, kills, reloads and changes overlap, and against
    hosts that end on an odd entry of an executor.
    """
    assert [reports_by_flag[flag] for flag in FLAGS] == [""] * len(FLAGS)
