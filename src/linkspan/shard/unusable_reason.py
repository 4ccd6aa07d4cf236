"""Why an executor gets no new work."""

from __future__ import annotations

from enum import Enum


class UnusableReason(Enum):
    """Why an executor gets no new work."""

    ADMITS_NONE = "draining, unconfirmed or in an evacuated hall"
    UNLISTED = "not registered"
    UNROSTERED = "not on the durable roster"
    UNREPORTED = "has not reported"
    SILENT = "silent"
    QUARANTINED = "quarantined"
    POLL_UNANSWERED = "an unanswered poll may acknowledge ends of its next incarnation"
    UNKNOWN_RUNS = "has runs of unknown jobs"
