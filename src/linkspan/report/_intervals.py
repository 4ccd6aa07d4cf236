"""Division of a job's time among causes."""

from __future__ import annotations

from enum import Enum
from itertools import pairwise
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class Cause(Enum):
    """What a job spent time on; where several causes overlap, the first in this order counts."""

    NOT_ACCEPTED = "not accepted"
    IN_DOUBT = "unanswered start"
    WAITING = "waiting for capacity"
    RUN_AGAIN = "run again after a failure"
    RUNNING = "running"


_RANK = {cause: rank for rank, cause in enumerate(Cause)}


class Interval(NamedTuple):
    """A time interval and its cause.

    Attributes:
        start: Start time in seconds.
        end: End time in seconds.
        cause: What the job spent the interval on.
        detail: Detail of the cause, such as the resource that was lacking.
    """

    start: float
    end: float
    cause: Cause
    detail: str = ""


def split(
    intervals: Iterable[Interval], start: float, end: float
) -> dict[tuple[Cause, str], float]:
    """Divide a time span among the intervals that cover it; the rest counts as running.

    Args:
        intervals: Intervals, which may overlap.
        start: Start of the span, in seconds.
        end: End of the span, in seconds.

    Returns:
        Seconds by cause and detail, which add up to the length of the span.

    Example:
        >>> waits = [Interval(1.0, 3.0, Cause.WAITING, "cores")]
        >>> {cause.value: s for (cause, _), s in split(waits, 0.0, 5.0).items()}
        {'running': 3.0, 'waiting for capacity': 2.0}
    """
    clipped = [
        i._replace(start=max(i.start, start), end=min(i.end, end))
        for i in intervals
        if i.end > start and i.start < end
    ]
    boundaries = sorted({start, end, *(i.start for i in clipped), *(i.end for i in clipped)})
    parts: dict[tuple[Cause, str], float] = {}
    for left, right in pairwise(boundaries):
        covering = [i for i in clipped if i.start <= left and i.end >= right]
        first = min(covering, key=lambda i: _RANK[i.cause], default=None)
        key = (first.cause, first.detail) if first else (Cause.RUNNING, "")
        parts[key] = parts.get(key, 0.0) + right - left
    return parts
