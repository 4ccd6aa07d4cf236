"""Urgencies of steps that are kept for a short time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.planning.urgency import Urgencies

if TYPE_CHECKING:
    from linkspan.shard.planning.urgency import Urgency
    from linkspan.shard.step_run import StepRun

MAX_AGE_S = 0.25
"""Time for which an urgency is kept: about the interval of an executor's reports, and half of the
interval at which its paces change."""


class RecentUrgencies:
    """Caches urgencies across the reports of a hall's executors.

    Runs of one job are on many executors, and its remaining work is a sum over all of its tasks.
    """

    def __init__(self) -> None:
        self._since = float("-inf")
        self._urgencies = Urgencies(self._since)
        self._of_step: dict[tuple[StepRun, bool], Urgency] = {}

    def __repr__(self) -> str:
        return f"RecentUrgencies({len(self._of_step)} steps)"

    def begin(self, wall: float) -> None:
        """Discard all urgencies if they are too old.

        Args:
            wall: Time of day, in seconds since 1970.
        """
        if 0.0 <= wall - self._since < MAX_AGE_S:
            return
        self._since = wall
        self._urgencies = Urgencies(wall)
        self._of_step = {}

    def of(self, step: StepRun, *, failed_before: bool = False) -> Urgency:
        """Return a step's urgency, at most :data:`MAX_AGE_S` old.

        Args:
            step: The step.
            failed_before: Whether the urgency is that of tasks of the step that have failed.
        """
        key = step, failed_before
        urgency = self._of_step.get(key)
        if urgency is None:
            urgency = self._urgencies.of(step, failed_before=failed_before)
            self._of_step[key] = urgency
        return urgency
