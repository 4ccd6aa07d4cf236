"""Measured speed of an executor, as its owner publishes it for the next one."""

from __future__ import annotations

from typing import Any, NamedTuple

from linkspan._typed import parse_number, parse_text


class ExecutorSpeed(NamedTuple):
    """Speed of one incarnation of an executor.

    Attributes:
        executor_id: The incarnation.
        slowdown: Factor by which runs there take longer than elsewhere; 1 for an ordinary speed.
        runs: Weight of the estimate, in runs.
    """

    executor_id: str
    slowdown: float
    runs: float

    def encode(self) -> list[object]:
        """Return the fields for a record."""
        return [self.executor_id, round(self.slowdown, 2), round(self.runs, 1)]

    @classmethod
    def decode(cls, row: list[Any]) -> ExecutorSpeed:
        """Return the speed in a record's fields.

        Raises:
            ValueError: A field is not valid.
        """
        executor_id, slowdown, runs, *_ = row
        return cls(parse_text(executor_id), parse_number(slowdown), parse_number(runs))
