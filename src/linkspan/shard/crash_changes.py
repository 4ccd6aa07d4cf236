"""Crashes of a task that a shard finds or retracts while another shard manages the task."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from linkspan.shard.crash_history import add_crash, delegated_crash_history, retract_crash

if TYPE_CHECKING:
    from linkspan.jobs.records import Delegation
    from linkspan.shard.crash_history import CrashHistory
    from linkspan.shard.task import Task


@dataclass(frozen=True, slots=True)
class CrashChanges:
    """What a shard learned about a task's crashes since it handed the task over.

    The other shard does not know of these changes, and the crash history that comes back with the
    task would undo them.

    Attributes:
        found: Names of incarnations whose crash was found; the crashes are in the task's history.
        retracted: Names of incarnations whose crash was retracted.
    """

    found: frozenset[str] = frozenset()
    retracted: frozenset[str] = frozenset()

    def with_found(self, incarnation: str) -> CrashChanges:
        """Return the changes with a crash that was found."""
        return CrashChanges(self.found | {incarnation}, self.retracted - {incarnation})

    def with_retracted(self, incarnation: str) -> CrashChanges:
        """Return the changes with a crash that was retracted."""
        return CrashChanges(self.found - {incarnation}, self.retracted | {incarnation})

    def applied_to(
        self, received: CrashHistory | None, own: CrashHistory | None
    ) -> CrashHistory | None:
        """Return the history that another shard handed over, with these changes.

        Args:
            received: The history that came with the task.
            own: This shard's history of the task.
        """
        history = received
        for incarnation in self.retracted:
            history = history and retract_crash(history, incarnation, history.version)
        for crash in own.identified_crashes if own else ():
            if own and crash.incarnation in self.found:
                # Whether another task may have caused the crash is not known any more.
                history = add_crash(history, crash, own.version, alone=False)
        return history


def merged_history(task: Task, delegation: Delegation) -> CrashHistory | None:
    """Return the crash history of a task that another shard hands over to this one.

    The changes that this shard made meanwhile are included, and end with that.
    """
    own, changes = task.crash_history, task.crash_changes
    task.crash_changes = None
    received = delegated_crash_history(delegation)
    history = changes.applied_to(received, own) if changes else received
    if history is None or own is None:
        return history
    return replace(
        history,
        version=max(history.version, own.version),
        deferred_at=min(max(history.deferred_at, own.deferred_at), history.crash_count),
        give_up_due_at=own.give_up_due_at,
    )
