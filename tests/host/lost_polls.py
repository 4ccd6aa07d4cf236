"""A deployment in which answers to polls that acknowledge ends are lost."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from linkspan.errors import Unreachable
from linkspan.shard._context import Executors
from linkspan.shard.messages import ExecutorReport
from tests.hall_world import HallWorld
from tests.standins.memory_executor import TIMEOUT_S, ExecutorLink


@dataclass
class LostPollsWorld(HallWorld):
    """A deployment that loses the answers to acknowledging polls after they are carried out.

    Attributes:
        losing: Addresses of the executors whose answers are lost.
        max_losses: Largest number of lost answers of one executor.
        timeouts: Whether a lost answer is waited for until the timeout. By default the connection
            is reset.
        losses: Number of lost answers, by address.
    """

    losing: set[str] = field(default_factory=set)
    max_losses: int = 3
    timeouts: bool = False
    losses: dict[str, int] = field(default_factory=dict)

    def link(self, host: str, token: int) -> Executors:
        return LosingLink(self, host, token)

    def loses_poll(self, address: str) -> bool:
        """Return whether the answer to an acknowledging poll is lost, and count it."""
        lost = self.losses.get(address, 0)
        if address not in self.losing or lost >= self.max_losses:
            return False
        self.losses[address] = lost + 1
        return True


class LosingLink(ExecutorLink):
    """Link of one tenure to executors whose answers may be lost."""

    def __init__(self, world: LostPollsWorld, host: str, token: int) -> None:
        super().__init__(world, host, token)
        self._lost_polls = world

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
        if acknowledged and self._lost_polls.loses_poll(address):
            await asyncio.sleep(TIMEOUT_S if self._lost_polls.timeouts else 0.0)
            raise Unreachable("answer lost")
        return report
