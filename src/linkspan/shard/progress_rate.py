"""Rate at which a run's reported progress rises."""

from __future__ import annotations

from dataclasses import dataclass

from linkspan.shard.attempt import FULL_PACE, FULL_PROGRESS, NEVER

MIN_WINDOW_S = 0.4
"""Minimum length of a window, in seconds: reports may follow each other within milliseconds."""

MIN_WINDOW_SHARE = 0.08
"""Minimum length of a window as a share of the run's expected duration: reports round progress to
one percent, which is an eighth of what a run of ordinary speed makes in such a window."""

MAX_MIN_WINDOW_S = 1.0
"""Limits that length, so that a change of speed shows within about a second."""


@dataclass(slots=True)
class ProgressRate:
    """Measures how fast a run progresses, in windows between two reports.

    Windows are measured on the executor's own clock: a late answer would otherwise look like slow
    progress.

    Attributes:
        clock_s: Reading of the executor's clock at the start of the present window.
        percent: Progress at that time, in percent.
        pace: Ordered pace in the present window, in percent.
        under_way: Whether the work is known to have begun: a run that resumes from a checkpoint
            restores it first.
        percent_per_s: Rate of the last whole window at full pace, in percent per second; ``None``
            before the end of the first one.
        measured_at: Steady time of the end of that window.
        ordinary_s: Duration of the whole run on an executor of ordinary speed, as measured;
            ``None`` as long as it is unknown.
        doubted_at: Steady time at which it was first measured to be slow while its executor counted
            as ordinary.
        begun_at: Steady time at which the report at the start of the present window was applied.
    """

    clock_s: float
    percent: int
    pace: int = FULL_PACE
    under_way: bool = True
    percent_per_s: float | None = None
    measured_at: float = NEVER
    ordinary_s: float | None = None
    doubted_at: float = NEVER
    begun_at: float = NEVER

    def observe(
        self, clock_s: float, percent: int, pace: int, now: float, *, expected_s: float
    ) -> bool:
        """Apply a report, and return whether it ends a window.

        Args:
            clock_s: Reading of the executor's clock in the report.
            percent: Reported progress.
            pace: Ordered pace, in percent.
            now: Steady time at which the report is applied.
            expected_s: Duration that the run is expected to have at full speed, in seconds; 0 if
                it is unknown.
        """
        if pace != self.pace or clock_s < self.clock_s or percent < self.percent or pace <= 0:
            self._begin(clock_s, percent, pace, now)
            return False
        if not self.under_way:
            self.under_way = percent > self.percent
            self._begin(clock_s, percent, pace, now)
            return False
        window_s = clock_s - self.clock_s
        share_s = min(MIN_WINDOW_SHARE * expected_s, MAX_MIN_WINDOW_S)
        rise = percent - self.percent
        if window_s < max(MIN_WINDOW_S, share_s) or not rise:
            # Some executors report the same progress all the time. A slow run shows one percent at
            # some time, and the window lasts until then.
            return False
        self.percent_per_s = rise / window_s * FULL_PACE / pace
        self.measured_at = now
        self._begin(clock_s, percent, pace, now)
        return True

    def _begin(self, clock_s: float, percent: int, pace: int, now: float) -> None:
        self.clock_s = clock_s
        self.percent = percent
        self.pace = pace
        self.begun_at = now

    @property
    def full_duration_s(self) -> float | None:
        """Duration of the whole run at this rate and at full pace; ``None`` if it is unknown."""
        return None if self.percent_per_s is None else FULL_PROGRESS / self.percent_per_s

    def percent_at(self, now: float) -> float:
        """Return the progress that the run has probably made by a steady time, in percent."""
        if self.percent_per_s is None:
            return float(self.percent)
        rise = self.percent_per_s * self.pace / FULL_PACE * (now - self.begun_at)
        return min(self.percent + max(rise, 0.0), FULL_PROGRESS)
