"""A judge that knows that a lapse before an end is taken note of excuses a second start."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.messages import EndKind
from tests.hall_world import HallWorld

if TYPE_CHECKING:
    from linkspan.shard.messages import EndedTask
    from tests.standins.memory_executor import MemoryExecutor


@dataclass
class LapsingWorld(HallWorld):
    """A deployment in which executors are cut off for longer than their leases last.

    Attributes:
        excused: Starts between an end and its acknowledgement, where the executor's lease lapsed
            in between: the end may have been waited out. Starts after that are judged as ever.
    """

    excused: list[str] = field(default_factory=list)

    def judge_acknowledged(self, executor: MemoryExecutor, end: EndedTask) -> None:
        before = len(self.violations)
        super().judge_acknowledged(executor, end)
        if end.kind is not EndKind.DONE:
            return
        if executor.lapsed_at >= self.done_runs_at[executor.incarnation_name, end.task, end.run]:
            self.excused += self.violations[before:]
            del self.violations[before:]
