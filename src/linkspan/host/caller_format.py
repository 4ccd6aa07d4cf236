"""Format of the requests and responses of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from linkspan.jobs.records import JobState
    from linkspan.jobs.spec import JobSpec


class CallerFormat(Protocol):
    """Format of the requests and responses of callers."""

    timeout_header: str

    def job(self, job_id: str, queue: str, body: bytes) -> JobSpec:
        """Parse the body of a submission.

        Raises:
            InvalidInput: The body is not a valid job.
        """

    def state(self, state: JobState) -> bytes:
        """Return the response body for the state of a job."""

    def waiting(self, count: int) -> bytes:
        """Return the response body for the number of waiting jobs of a queue."""
