"""Work that waits in a hall, by queue and size of its tasks, and the rate at which it drains."""

from __future__ import annotations

from functools import lru_cache
from typing import Any, NamedTuple

from linkspan._typed import parse_int, parse_number, parse_text

MIN_SIZE_MILLI_CPU = 1_000
"""Smallest size class, in thousandths of a core: tasks of less than a core fit almost anywhere."""


class WorkClass(NamedTuple):
    """Tasks of one queue and about one size, which wait and drain together.

    Attributes:
        queue: Name of the queue.
        milli_cpu: Upper bound of the thousandths of a core that one of the tasks takes: a power of
            two times ``MIN_SIZE_MILLI_CPU``.
    """

    queue: str
    milli_cpu: int

    @classmethod
    def of(cls, queue: str, milli_cpu: int) -> WorkClass:
        """Return the class of a queue's tasks that take so many thousandths of a core each.

        Example:
            >>> WorkClass.of("short", 4_750)
            WorkClass(queue='short', milli_cpu=8000)
        """
        return cls(queue, size_class(milli_cpu))


@lru_cache(maxsize=1_024)
def size_class(milli_cpu: int) -> int:
    """Return the smallest power of two times ``MIN_SIZE_MILLI_CPU`` that covers a size.

    Example:
        >>> size_class(4_750), size_class(200)
        (8000, 1000)
    """
    doublings = (max(milli_cpu - 1, 0) // MIN_SIZE_MILLI_CPU).bit_length()
    return MIN_SIZE_MILLI_CPU << doublings


class Backlog(NamedTuple):
    """Work of one queue and one size of task that waits in a hall.

    Only work of jobs that can still be of use counts, as new jobs are served before the others. No
    job counts with much more than the median job, as larger ones are served last.

    Attributes:
        queue: Name of the queue.
        milli_cpu: Upper bound of the thousandths of a core that one of its tasks takes.
        work: Expected work of the tasks that wait, in thousandths of a core times seconds.
        rate: Work of such tasks that the hall completes a second, in thousandths of a core,
            averaged over the last seconds; 0 while it is unknown.
        jobs: Number of jobs that the tasks belong to.
        duration_s: Mean expected duration of the tasks, in seconds.
    """

    queue: str
    milli_cpu: int
    work: int
    rate: float
    jobs: int = 0
    duration_s: float = 0.0

    @property
    def work_class(self) -> WorkClass:
        """Class of the tasks."""
        return WorkClass(self.queue, self.milli_cpu)

    def encode(self) -> list[object]:
        """Return the fields for a record."""
        rate, duration_s = round(self.rate, 1), round(self.duration_s, 2)
        return [self.queue, self.milli_cpu, self.work, rate, self.jobs, duration_s]

    @classmethod
    def decode(cls, row: list[Any]) -> Backlog:
        """Return the backlog in a record's fields.

        Raises:
            ValueError: A field is not valid.
        """
        queue, milli_cpu, work, rate, jobs, duration_s, *_ = row
        return cls(
            parse_text(queue),
            parse_int(milli_cpu),
            parse_int(work),
            parse_number(rate),
            parse_int(jobs),
            parse_number(duration_s),
        )
