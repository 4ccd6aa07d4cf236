"""Remembers ends of draining executors before their announced time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.messages import ExecutorRecord

MAX_REMEMBERED_ENDS = 64
"""Limits the incarnations whose announcement is remembered. Their entries vanish within seconds."""


class EarlyEnds:
    """Ends of draining executors before their announced time.

    The entry of such an executor is listed for some seconds after its end. Its announcement then
    shows nothing that was not known at the end.
    """

    def __init__(self) -> None:
        self._announced_s: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"EarlyEnds({len(self._announced_s)})"

    def on_end(self, record: ExecutorRecord) -> None:
        """Remember the announcement of an incarnation that ended before the announced time."""
        self._announced_s[record.executor_id] = record.remaining_s
        while len(self._announced_s) > MAX_REMEMBERED_ENDS:
            del self._announced_s[next(iter(self._announced_s))]

    def has_seen(self, record: ExecutorRecord) -> bool:
        """Return whether an announcement was already known when its incarnation ended early."""
        return self._announced_s.get(record.executor_id) == record.remaining_s
