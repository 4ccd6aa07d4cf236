"""Spreads the times at which refused callers return."""

from __future__ import annotations

from math import ceil, floor
from zlib import crc32

SPREAD_SHARE = 0.5
"""Length of the interval over which returning callers are spread, as a share of the time until
their jobs would fit, at which it begins."""

MIN_SPREAD_S = 2
"""Least time over which callers are spread, in seconds: they are told whole seconds."""


def retry_after_s(job_id: str, fits_after_s: float, caller_time_s: float) -> int:
    """Return the seconds after which a refused caller is to submit a job again.

    It is never before the job would fit. It is within the caller's own time if the job would fit by
    then. The same job always gets the same place within the spread.

    Args:
        job_id: The job.
        fits_after_s: Time after which the job would fit, in seconds.
        caller_time_s: Time that the caller has left, in seconds.
    """
    earliest = max(ceil(fits_after_s), 1)
    latest = earliest + max(floor(SPREAD_SHARE * fits_after_s), MIN_SPREAD_S)
    if earliest <= caller_time_s:
        latest = min(latest, floor(caller_time_s))
    return earliest + crc32(job_id.encode()) % (latest - earliest + 1)
