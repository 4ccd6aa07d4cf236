"""A judge that allows a second start if a lease expired before an end was acknowledged."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.messages import EndKind
from tests.hall_world import HallWorld

if TYPE_CHECKING:
    from linkspan.shard.messages import EndedTask
    from tests.standins.memory_executor import MemoryExecutor


@dataclass
class LeaseExpiryWorld(HallWorld):
    """A deployment in which executors are cut off for longer than their leases.

    Attributes:
        allowed_restarts: Violations by starts between an end and its acknowledgement that are
            allowed: the executor's lease expired in between, so that the owner may have started
            the task again without the answer. Starts after the acknowledgement are judged as
            usual.
    """

    allowed_restarts: list[str] = field(default_factory=list)

    def judge_acknowledged(self, executor: MemoryExecutor, end: EndedTask) -> None:
        before = len(self.violations)
        super().judge_acknowledged(executor, end)
        if end.kind is not EndKind.DONE:
            return
        if (
            executor.lease_expired_at
            >= self.done_runs_at[executor.incarnation_name, end.task, end.run]
        ):
            self.allowed_restarts += self.violations[before:]
            del self.violations[before:]
