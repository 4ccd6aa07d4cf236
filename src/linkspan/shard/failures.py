"""Failed runs of a task, by name.

Executors tell an end until it is acknowledged, to whoever owns the shard by then. What is counted
is therefore a set: a failed run that is heard of again, by the same owner or by the next one, is
the same failure.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple


class FailedRun(NamedTuple):
    """Name of a failed run.

    Attributes:
        run: Its number.
        incarnation: Name of the executor's life that ran it: owners that do not know of each other,
            and an order that goes on to a next life, may bring one number about twice.
    """

    run: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class Failures:
    """Failed runs of a task.

    Attributes:
        identified_runs: Those that are known by name.
        unidentified: How many more a record counts that names none.
        unidentified_below: Those have run numbers below this one.
    """

    identified_runs: frozenset[FailedRun] = frozenset()
    unidentified: int = 0
    unidentified_below: int = 0

    @property
    def count(self) -> int:
        """How many runs failed."""
        return len(self.identified_runs) + self.unidentified

    def with_run(self, failed: FailedRun) -> Failures:
        """Return the failures with one that was heard of; it may be among them.

        Example:
            >>> once = Failures().with_run(FailedRun(1, "e"))
            >>> once.with_run(FailedRun(1, "e")).count
            1
            >>> Failures(unidentified=1, unidentified_below=2).with_run(FailedRun(1, "e")).count
            1
        """
        if failed in self.identified_runs:
            return self
        named = self.identified_runs | {failed}
        if self.unidentified and failed.run < self.unidentified_below:
            return replace(self, identified_runs=named, unidentified=self.unidentified - 1)
        return replace(self, identified_runs=named)


NO_FAILURES = Failures()
"""What most tasks have."""


def gang_failures(members: list[Failures]) -> int:
    """Return how often a gang failed as a whole: its members share the numbers of its runs.

    What a record counts without a name may be a run that another member names.

    Example:
        >>> one, other = (Failures(frozenset([FailedRun(1, incarnation)])) for incarnation in "ab")
        >>> gang_failures([one, other])
        1
    """
    runs = {failed.run for failures in members for failed in failures.identified_runs}
    unnamed = sum(failures.unidentified for failures in members)
    below = max((f.unidentified_below for f in members if f.unidentified), default=0)
    of_record = sum(run < below for run in runs)
    return len(runs) - of_record + max(of_record, unnamed)
