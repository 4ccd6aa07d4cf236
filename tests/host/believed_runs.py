"""A deployment in which runs end in ways that their owner hears of late, or never."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from linkspan.errors import Unreachable
from linkspan.shard._context import Executors
from linkspan.shard.messages import ExecutorReport, StartAnswer, StartOrder, TaskName
from tests.hall_world import HallWorld
from tests.standins.memory_executor import TIMEOUT_S, ExecutorLink, MemoryExecutor

MAX_LISTED_ENDS = 500
"""Number of unacknowledged ends that an executor lists; it omits later ones."""


@dataclass
class BelievedRunsWorld(HallWorld):
    """A deployment whose executors may answer late, not at all or in part.

    Attributes:
        mute: Addresses of executors that carry all calls out and answer none.
        answer_delay_s: Delay of the answers to polls, by address.
        after_start: Called with the executor and the task after each start that was carried out.
    """

    mute: set[str] = field(default_factory=set)
    answer_delay_s: dict[str, float] = field(default_factory=dict)
    after_start: Callable[[MemoryExecutor, TaskName], None] | None = None

    def link(self, host: str, token: int) -> Executors:
        return BelievedRunsLink(self, host, token)

    def judge_prompt_start(self, executor: MemoryExecutor, task: TaskName) -> None:
        super().judge_prompt_start(executor, task)
        if self.after_start:
            self.after_start(executor, task)


class BelievedRunsLink(ExecutorLink):
    """Link of one tenure to executors that may answer late, not at all or in part."""

    def __init__(self, world: BelievedRunsWorld, host: str, token: int) -> None:
        super().__init__(world, host, token)
        self._believed = world

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        answer = await super().start(address, order, until_s=until_s)
        await self._answer_unless_mute(address)
        return answer

    async def renew(
        self,
        address: str,
        executor_id: str,
        *,
        acknowledged: int,
        until_s: float | None,
        wait_s: float,
    ) -> ExecutorReport:
        report = await super().renew(
            address, executor_id, acknowledged=acknowledged, until_s=until_s, wait_s=wait_s
        )
        delay_s = self._believed.answer_delay_s.get(address, 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        await self._answer_unless_mute(address)
        if len(report.ended) < MAX_LISTED_ENDS:
            return report
        return replace(report, ended=report.ended[:MAX_LISTED_ENDS], is_complete=False)

    async def _answer_unless_mute(self, address: str) -> None:
        if address in self._believed.mute:
            await asyncio.sleep(TIMEOUT_S)
            raise Unreachable("no answer")
