"""Seeds that once failed and the causes; no seed is ever removed."""

from __future__ import annotations

from typing import NamedTuple


class Regression(NamedTuple):
    """The cause of a seed's failure.

    Attributes:
        cause: Why the seed failed.
        test: For a fault of the product, the test that reproduces it each time.
        mended: Whether the cause is fixed; CI plays only such seeds.
    """

    cause: str
    test: str = ""
    mended: bool = True


REGRESSIONS: dict[int, Regression] = {
    2: Regression("TWICE by the judge: a start was compared with the end of an earlier run"),
    3: Regression(
        "ENDED: SIGHUP ends a host until its handler is set; the soak now sends it only later",
        "tests/soak/test_signals.py",
    ),
    5: Regression(
        "LOST by the store's stand-in: when the history was dropped during a read, its records "
        "got new offsets; and the cause of seed 2",
        "tests/soak/test_standins.py",
    ),
    11: Regression("REFUSED by the judge: a caller cancelled during its call counted as refused"),
    1018: Regression(
        "TWICE by the judge: an end that an expired lease hid counted as handled",
        "tests/soak/test_judge.py",
    ),
    1002: Regression(
        "LIMIT: a new owner did not count the capacity of a run whose job had ended",
        "tests/shard/test_unknown_runs.py",
    ),
    1004: Regression(
        "TWICE: ends behind one of an unread job were missing from a report while the store was "
        "unavailable, and the owner considered their runs lost",
        "tests/shard/test_incomplete_reports.py",
    ),
    102: Regression(
        "LIMIT by the judge: each change of an executor's capacity discarded the previous one",
        "tests/host/test_shrinking_capacity.py",
    ),
    9228: Regression(
        "BUDGET: two owners were lost before a start of a crashing task was durable",
        "tests/host/test_crashing_tasks.py",
    ),
    9246: Regression(
        "LOST: unanswered starts to executors that had crashed counted as crashes under their "
        "task, which was given up",
        "tests/shard/test_crashes.py",
    ),
    9503: Regression(
        "LOST: an unanswered start counted as a crash for each incarnation that it might have "
        "reached, and tasks whose starts met executors that were down were given up",
        "tests/shard/test_crashes.py",
    ),
}
"""Causes by seed; sizes depend on the seed, and faults last for ``REGRESSION_S``."""
