"""Work that goes to other halls, and work that is given back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.events import Event
from linkspan.jobs.records import Delegated, Moved, Returned
from linkspan.shard.handover._delegations import last_delegation_of
from linkspan.shard.handover._evidence import MoveEvidence
from linkspan.shard.handover._returned_delegations import ReturnedDelegations
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summary import summarize
from linkspan.shard.recovery.progress import RunKey, encode_moved, encode_run, key_of
from linkspan.store.types import Record

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard._context import TenureContext
    from linkspan.shard.handover.rebalance import Handover
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.job_run import JobRun

REBALANCE_S = 0.3
"""Time between looks for work that another hall could take."""


class Handovers:
    """Hands over what the rebalancer finds: durable here before it is told there.

    Args:
        context: What the tenure works with.
        summary_of: Returns what the owner of a shard last told.
    """

    def __init__(
        self, context: TenureContext, summary_of: Callable[[int], HallSummary | None]
    ) -> None:
        self._core = context.core
        self._shard = context.shard
        self._token = context.token
        self._log = context.log
        self._settings = context.settings
        self._job_registry = context.job_registry
        self._writer = context.writer
        self._scope = context.scope
        self._proof = context.proof
        self._changes = context.changes
        self._summary_of = summary_of
        self._given_back = ReturnedDelegations()
        self._rebalancer = Rebalancer(
            self._core,
            summaries=self._other_summaries,
            count_able=self._count_able,
            evidence=MoveEvidence(context).fields,
        )

    def __repr__(self) -> str:
        return f"Handovers(shard={self._shard})"

    async def rebalance_loop(self) -> None:
        """Look for work that another hall could take, and hand it over."""
        while True:
            await asyncio.sleep(REBALANCE_S)
            if not self._proof.may_act(steady()):
                continue
            own = summarize(self._core, steady())
            for handover in self._rebalancer.plan(own, steady()):
                self._core.jobs[handover.job_id].handing_over = True
                self._scope.spawn(self._hand_over(handover))

    async def _hand_over(self, handover: Handover) -> None:
        job_id, shard, tasks = handover
        if tasks is None:
            key = RunKey(job_id, 0).encode()
            offset = await self._writer.write([Record(encode_moved(shard), key)])
            self._log_move(Event.MOVE_KEPT, job_id, shard, offset)
            await self.tell_moved(job_id, shard)
            return
        job = self._core.jobs.get(job_id)
        run = self._core.hand_over_tasks(job_id, shard, tasks)
        if job is None or run is None:
            # It ended in the meantime.
            return
        await self._writer.write([Record(encode_run(run), key_of(run))])
        if job.delegated_here:
            await self._job_registry.write([self._returned(job_id, run, tasks)])
        elif delegations := self._core.delegations(job_id).get(shard):
            await self._job_registry.write([Delegated(job_id, shard, delegations)])
        job.handing_over = False

    def _returned(self, job_id: str, run: JobRun, tasks: tuple[tuple[int, int], ...]) -> Returned:
        entry = self._job_registry.catalog.get(job_id)
        before = entry.returned_delegations.get(self._shard, ()) if entry else ()
        delegations = tuple(
            last_delegation_of(run.steps[step].tasks[index]) for step, index in tasks
        )
        self._given_back.keep_only(self._core.jobs)
        return Returned(job_id, self._shard, self._given_back.add(job_id, before, delegations))

    async def tell_moved(self, job_id: str, shard: int) -> None:
        """Tell that a job lives in another shard now, and forget it."""
        offset = await self._job_registry.write([Moved(job_id, shard)])
        self._log_move(Event.MOVE_TOLD, job_id, shard, offset)
        job = self._core.jobs.get(job_id)
        if job is None or not job.delegated_here:
            # Otherwise it was lent back before this answer came.
            self._core.remove_moved(job_id)
            self._core.drop_progress(job_id, [0])
        self._changes.notify()

    def _log_move(self, event: Event, job_id: str, shard: int, offset: int) -> None:
        self._log.write(
            event,
            job=job_id,
            shard=self._shard,
            to_shard=shard,
            token=self._token,
            offset=offset,
        )

    def _other_summaries(self) -> dict[int, HallSummary]:
        return {
            shard: summary
            for shard in range(len(self._settings.halls))
            if shard != self._shard and (summary := self._summary_of(shard)) is not None
        }

    def _count_able(self, shard: int, step: StepSpec, service: str) -> int:
        summary = self._summary_of(shard)
        return summary.able(step, service) if summary else 0
