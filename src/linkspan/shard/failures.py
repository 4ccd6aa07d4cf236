"""Failed runs of a task, kept as a set so that each failure counts once.

An executor reports an end until the end is acknowledged, to the present owner of the shard. The
same failure may therefore be reported several times, to one owner or to successive ones.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from linkspan.jobs.failed_run import FailedRun

__all__ = ["NO_FAILURES", "FailedRun", "Failures", "gang_failures"]


@dataclass(frozen=True, slots=True)
class Failures:
    """Failed runs of a task.

    Attributes:
        identified_runs: Failed runs whose identity is known.
        unidentified: Number of further failures, from a record that holds only their count.
        unidentified_below: Run number below which all unidentified failures are.
    """

    identified_runs: frozenset[FailedRun] = frozenset()
    unidentified: int = 0
    unidentified_below: int = 0

    @property
    def count(self) -> int:
        """Number of failed runs."""
        return len(self.identified_runs) + self.unidentified

    def with_run(self, failed: FailedRun) -> Failures:
        """Return the failures with a reported one added, unless it is among them.

        A reported run below ``unidentified_below`` is taken for one of the unidentified failures.

        Example:
            >>> once = Failures().with_run(FailedRun(1, "e"))
            >>> once.with_run(FailedRun(1, "e")).count
            1
            >>> Failures(unidentified=1, unidentified_below=2).with_run(FailedRun(1, "e")).count
            1
        """
        if failed in self.identified_runs:
            return self
        identified = self.identified_runs | {failed}
        if self.unidentified and failed.run < self.unidentified_below:
            return replace(self, identified_runs=identified, unidentified=self.unidentified - 1)
        return replace(self, identified_runs=identified)

    def merged_with(self, other: Failures) -> Failures:
        """Return the failures that two shards know of one task.

        An unidentified failure of one may be an identified one of the other.

        Example:
            >>> here, there = (Failures(frozenset([FailedRun(run, "e")])) for run in (1, 2))
            >>> here.merged_with(there).count, here.merged_with(here).count
            (2, 1)
            >>> here.merged_with(Failures(unidentified=1, unidentified_below=2)).count
            1
        """
        identified = self.identified_runs | other.identified_runs
        count = max(self.count, other.count, len(identified))
        below = max(self.unidentified_below, other.unidentified_below)
        return Failures(identified, count - len(identified), below)


NO_FAILURES = Failures()
"""Failures of a task without any; one shared instance, as most tasks have none."""


def gang_failures(members: list[Failures]) -> int:
    """Return how often a gang failed as a whole.

    The members of a gang share run numbers, so that failures with the same number count once. An
    unidentified failure of one member may be a run that is identified for another member.

    Example:
        >>> one, other = (Failures(frozenset([FailedRun(1, incarnation)])) for incarnation in "ab")
        >>> gang_failures([one, other])
        1
    """
    runs = {failed.run for failures in members for failed in failures.identified_runs}
    unidentified = sum(failures.unidentified for failures in members)
    below = max((f.unidentified_below for f in members if f.unidentified), default=0)
    identified_below = sum(run < below for run in runs)
    return len(runs) - identified_below + max(identified_below, unidentified)
