"""One life of an executor, told apart from those before and after it under the same id."""

from __future__ import annotations

from dataclasses import dataclass

_BIRTH = "@"
"""Stands between an executor's id and its birth; ids do not hold it."""


@dataclass(frozen=True, slots=True)
class Incarnation:
    """A life of an executor.

    An executor that starts again may keep its id. All that is known of an executor is known of
    one life, so the owner keys everything by this name; only calls use the id alone.

    Attributes:
        executor_id: The id, which another life may have had before.
        started_at_ms: When it started, in milliseconds since 1970; ``None`` where that is not
            known, as on records of earlier versions. It tells lives apart and does not order them:
            the time of day may step back between two of them.

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
        """The name by which the owner knows this life."""
        return (
            self.executor_id
            if self.started_at_ms is None
            else f"{self.executor_id}{_BIRTH}{self.started_at_ms}"
        )

    @classmethod
    def of(cls, name: str) -> Incarnation:
        """Return the life that a name stands for."""
        executor_id, mark, started_at_ms = name.rpartition(_BIRTH)
        if not mark or not (started_at_ms.isascii() and started_at_ms.isdecimal()):
            return cls(name)
        return cls(executor_id, int(started_at_ms))
