"""Reads the jobs that reached a final state from the job records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.errors import RecordError
from linkspan.jobs.record_codec import decode
from linkspan.jobs.records import Finished, JobState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from linkspan.store.types import Entry


class FinalStates:
    """Finds new records of one final state.

    Args:
        state: The final state.
    """

    def __init__(self, state: JobState) -> None:
        self._state = state
        self._entries_read = 0

    def new_jobs(self, entries: Sequence[Entry]) -> list[str]:
        """Return the jobs with such a record among the entries written since the last call."""
        new, self._entries_read = entries[self._entries_read :], len(entries)
        records = [
            _final_record(entry) for entry in new if entry.value and entry.key.startswith(b"f:")
        ]
        return [record.job_id for record in records if record and record.state is self._state]


def _final_record(entry: Entry) -> Finished | None:
    try:
        record = decode(entry.key, entry.value)
    except RecordError:
        return None
    return record if isinstance(record, Finished) else None
