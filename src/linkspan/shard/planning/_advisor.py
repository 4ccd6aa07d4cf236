"""Asks the placement policy's service for the tickets that plans want."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import Unreachable
from linkspan.events import Event
from linkspan.shard.planning.advice import RETRY_S

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext
    from linkspan.shard.planning.advice import AdviceCall, PolicyService

TICK_S = 0.1
"""Time between checks for calls that were put off."""


class AdviceRequester:
    """Makes one call at a time: the service works on no more for one host.

    Args:
        context: What the tenure works with.
        service: The service, ``None`` where there is none.
    """

    def __init__(self, context: TenureContext, service: PolicyService | None) -> None:
        self._core = context.core
        self._shard = context.shard
        self._service = service
        self._changes = context.changes
        self._log = context.log
        self._metrics = context.metrics

    def __repr__(self) -> str:
        return f"AdviceRequester(shard={self._shard})"

    async def run(self) -> None:
        """Ask for as long as the tenure lasts."""
        while self._service:
            await self._changes.advice.wait()
            call = self._core.advice.next_call(steady())
            if call is None:
                self._changes.advice.clear()
                await asyncio.sleep(TICK_S)
                continue
            await self._ask(self._service, call)

    async def _ask(self, service: PolicyService, call: AdviceCall) -> None:
        asked = steady()
        job = call.step.run.job
        try:
            advice = await service.advise(call.step, call.executor_ids)
        except Unreachable as error:
            self._core.advice.on_failed(call, steady())
            self._log.write(Event.ADVICE_MISSING, job=job.job_id, error=str(error))
            await asyncio.sleep(RETRY_S)
            return
        took_s = steady() - asked
        self._metrics.observe("advice", took_s)
        self._core.advice.on_advice(call, advice, asked=asked, valid_s=job.ticket_valid_s)
        self._log.write(
            Event.ADVICE_GIVEN,
            job=job.job_id,
            step=f"{call.step.run.repetition}.{call.step.index}",
            asked=len(call.executor_ids),
            given=len(advice.tickets),
            took_s=round(took_s, 3),
        )
        self._changes.notify()
