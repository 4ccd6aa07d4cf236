"""Registry entries that move a running executor to another place."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.clock import steady

if TYPE_CHECKING:
    from linkspan.shard.messages import ExecutorRecord


class _Dispute(NamedTuple):
    """An entry that says otherwise than the one before it, and the time since when it stands."""

    record: ExecutorRecord
    since: float


class EntryDisputes:
    """Entries that give an incarnation another service, hall or labels than the entry before them.

    An incarnation keeps all three, so one of the two entries is another writer's. If it were
    applied at once, the owners of two halls would call the executor, and each would make it refuse
    the other one. An executor restores its own entry at its next heartbeat. An entry that stands
    for long after all is the executor's, and the one before it was not.
    """

    def __init__(self) -> None:
        self._disputes: dict[str, _Dispute] = {}

    def __repr__(self) -> str:
        return f"EntryDisputes({list(self._disputes)})"

    def disputes(
        self, executor_id: str, record: ExecutorRecord, known: ExecutorRecord | None
    ) -> bool:
        """Return whether an entry is disputed, and remember it.

        Args:
            executor_id: Id of its executor.
            record: The entry.
            known: The entry that is in use, ``None`` if there is none.
        """
        standing = self._disputes.get(executor_id)
        if standing and not _differ(standing.record, record):
            self._disputes[executor_id] = _Dispute(record, standing.since)
            return True
        self.discard(executor_id)
        if known is None or not _differ(known, record):
            return False
        self._disputes[executor_id] = _Dispute(record, steady())
        return True

    def restart(self) -> None:
        """Let all disputed entries stand from now on, as their executors could not write before."""
        now = steady()
        self._disputes = {
            executor_id: dispute._replace(since=now)
            for executor_id, dispute in self._disputes.items()
        }

    def settled(self, limit: float) -> list[str]:
        """Return the ids of the executors whose disputed entry stands since before a time."""
        return [name for name, dispute in self._disputes.items() if dispute.since < limit]

    def remove(self, executor_id: str) -> ExecutorRecord:
        """Return the disputed entry of an executor, which counts from now on."""
        return self._disputes.pop(executor_id).record

    def discard(self, executor_id: str) -> None:
        """Forget the disputed entry of an executor, if there is one."""
        self._disputes.pop(executor_id, None)

    def clear(self) -> None:
        """Forget all disputed entries."""
        self._disputes.clear()


def _differ(first: ExecutorRecord, second: ExecutorRecord) -> bool:
    """Return whether two entries give one incarnation different places."""
    return not first.has_same_place(second) and first.is_same_incarnation(second)
