"""Names of incarnations, which distinguish successive starts of an executor under one id."""

from __future__ import annotations

from dataclasses import dataclass

_START_TIME_SEPARATOR = "@"
"""Separates an executor's id from its start time in a name; ids do not contain it."""


@dataclass(frozen=True, slots=True)
class Incarnation:
    """An incarnation of an executor: one start of its process until the process ends.

    An executor that restarts may keep its id, and nothing known of one incarnation holds for the
    next. The owner therefore uses the incarnation's name as the key of all state; only calls use
    the id alone.

    Attributes:
        executor_id: The id, which earlier incarnations may have had, too.
        started_at_ms: Start time in milliseconds since 1970; ``None`` if unknown, as in records of
            earlier versions. Start times distinguish incarnations but do not order them, as the
            time of day may step back between two starts.

    Example:
        >>> Incarnation("i-7", 1700000000123).name
        'i-7@1700000000123'
        >>> Incarnation.of("i-7@1700000000123").executor_id
        'i-7'
        >>> Incarnation.of("i-7")
        Incarnation(executor_id='i-7', started_at_ms=None)
    """

    executor_id: str
    started_at_ms: int | None = None

    @property
    def name(self) -> str:
        """Name of the incarnation: the id and, if known, the start time."""
        return (
            self.executor_id
            if self.started_at_ms is None
            else f"{self.executor_id}{_START_TIME_SEPARATOR}{self.started_at_ms}"
        )

    @classmethod
    def of(cls, name: str) -> Incarnation:
        """Parse the name of an incarnation."""
        executor_id, separator, started_at_ms = name.rpartition(_START_TIME_SEPARATOR)
        if not separator or not (started_at_ms.isascii() and started_at_ms.isdecimal()):
            return cls(name)
        return cls(executor_id, int(started_at_ms))
