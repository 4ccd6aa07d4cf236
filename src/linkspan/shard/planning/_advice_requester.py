"""Requests the tickets that plans need from the placement policy's service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import Unreachable
from linkspan.events import Event
from linkspan.shard.planning.advice import ADVICE_RETRY_S

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext
    from linkspan.shard.planning.advice import AdviceCall, PolicyService

DEFERRED_CHECK_INTERVAL_S = 0.1
"""Time between checks for calls that are due after a retry delay."""


class AdviceRequester:
    """Requests tickets, one call at a time.

    The service processes only one call of a host at a time.

    Args:
        context: Components of the tenure.
        service: The policy service, ``None`` if there is none.
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
        """Make calls until the tenure ends."""
        while self._service:
            await self._changes.advice.wait()
            call = self._core.advice.next_call(steady())
            if call is None:
                self._changes.advice.clear()
                await asyncio.sleep(DEFERRED_CHECK_INTERVAL_S)
                continue
            await self._request(self._service, call)

    async def _request(self, service: PolicyService, call: AdviceCall) -> None:
        sent_at = steady()
        job = call.step.run.job
        try:
            advice = await service.advise(call.step, call.executor_ids)
        except Unreachable as error:
            self._core.advice.on_failed(call, steady())
            self._log.write(Event.ADVICE_MISSING, job=job.job_id, error=str(error))
            await asyncio.sleep(ADVICE_RETRY_S)
            return
        duration_s = steady() - sent_at
        self._metrics.observe("advice", duration_s)
        self._core.advice.on_advice(call, advice, sent_at=sent_at, valid_s=job.ticket_valid_s)
        self._log.write(
            Event.ADVICE_GIVEN,
            job=job.job_id,
            step=f"{call.step.run.repetition}.{call.step.index}",
            asked=len(call.executor_ids),
            given=len(advice.tickets),
            took_s=round(duration_s, 3),
        )
        self._changes.notify()
