"""Work that waits in a hall, by queue and size of its tasks, and the rate at which it drains."""

from __future__ import annotations

from typing import Any, NamedTuple

from linkspan._typed import parse_int, parse_number, parse_text


class Backlog(NamedTuple):
    """Work of one queue and one size of task that waits in a hall.

    Attributes:
        queue: Name of the queue.
        milli_cpu: Upper bound of the thousandths of a core that one of its tasks takes.
        work: Expected work of the tasks that wait, in thousandths of a core times seconds.
        rate: Work of such tasks that the hall completes a second, in thousandths of a core,
            averaged over the last seconds.
    """

    queue: str
    milli_cpu: int
    work: int
    rate: float

    def encode(self) -> list[object]:
        """Return the fields for a record."""
        return [self.queue, self.milli_cpu, self.work, round(self.rate, 1)]

    @classmethod
    def decode(cls, row: list[Any]) -> Backlog:
        """Return the backlog in a record's fields.

        Raises:
            ValueError: A field is not valid.
        """
        queue, milli_cpu, work, rate, *_ = row
        return cls(parse_text(queue), parse_int(milli_cpu), parse_int(work), parse_number(rate))
