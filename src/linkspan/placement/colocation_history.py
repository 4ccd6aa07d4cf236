"""History of the tasks that ran together on a worker."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_CHANGES = 64
"""Limit on the changes kept per worker, sufficient for reports that are 30 s late."""


class ColocationHistory:
    """Number of tasks by kind over time, on one worker.

    Example:
        >>> history = ColocationHistory()
        >>> history.note(10.0, {"merge": 1})
        >>> history.note(20.0, {"merge": 2})
        >>> history.at(15.0), history.at(25.0), history.at(5.0)
        ({'merge': 1}, {'merge': 2}, None)
    """

    def __init__(self) -> None:
        self._changes: deque[tuple[float, Mapping[str, float]]] = deque(maxlen=MAX_CHANGES)

    def __repr__(self) -> str:
        return f"ColocationHistory(changes={len(self._changes)})"

    @property
    def changed(self) -> float:
        """Time of the latest change in seconds, negative infinity before the first one."""
        return self._changes[-1][0] if self._changes else float("-inf")

    def note(self, when: float, kinds: Mapping[str, float]) -> None:
        """Record the tasks that run from ``when`` on; times must not decrease."""
        if not self._changes or self._changes[-1][1] != kinds:
            self._changes.append((when, dict(kinds)))

    def at(self, when: float) -> Mapping[str, float] | None:
        """Return the number of tasks by kind at ``when``, or None for a time before the history."""
        result = None
        for changed_at, kinds in self._changes:
            if changed_at > when:
                break
            result = kinds
        return result
