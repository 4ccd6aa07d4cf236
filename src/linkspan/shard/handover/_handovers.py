"""Hands work over to other halls and returns delegated tasks."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from linkspan.clock import steady, wall_offset_s
from linkspan.events import Event
from linkspan.jobs.footprint import JobFootprint
from linkspan.jobs.memory import max_hall_bytes
from linkspan.jobs.records import Delegated, Moved, Returned
from linkspan.shard._reasons import MAX_LOGGED_TASKS
from linkspan.shard.handover._delegations import last_delegation_of
from linkspan.shard.handover._evidence import MoveEvidence
from linkspan.shard.handover._returned_delegations import ReturnedDelegations
from linkspan.shard.handover._search_clock import SearchClock
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.recovery._recorded_attempts import note_encoded
from linkspan.shard.recovery.progress import RunKey, encode_moved, encode_run, progress_key
from linkspan.store.types import Record

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard._context import TenureContext
    from linkspan.shard.handover.rebalance import Handover
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.task import Task


class Handovers:
    """Carries out the rebalancer's handovers: each is made durable here before it is published.

    Args:
        context: Components of the tenure.
        summary_of: Returns the summary that the owner of a shard published last.
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
        self._evacuations = context.operator_records.evacuations
        self._writer = context.writer
        self._scope = context.scope
        self._proof = context.proof
        self._changes = context.changes
        self._summary_of = summary_of
        self._returned_delegations = ReturnedDelegations()
        self._rebalancer = Rebalancer(
            self._core,
            summaries=self.other_summaries,
            count_capable=self._count_capable,
            evidence=MoveEvidence(context).fields,
        )

        self._clock = SearchClock(lambda: self._rebalancer.sought)

    def __repr__(self) -> str:
        return f"Handovers(shard={self._shard})"

    @property
    def rebalancer(self) -> Rebalancer:
        """Finds work that another hall could take."""
        return self._rebalancer

    def on_summary(self, shard: int, summary: HallSummary) -> None:
        """Search soon if the owner of another hall tells of more room for waiting tasks."""
        if shard != self._shard:
            self._clock.on_summary(shard, summary)

    async def rebalance_loop(self) -> None:
        """Find work that another hall could take, and hand it over."""
        while True:
            await self._clock.next_search()
            if not self._proof.may_act(steady()):
                continue
            own = summarize(self._core, steady(), wall=time.time())
            for handover in self._rebalancer.plan(own, steady()):
                job = self._core.jobs[handover.job_id]
                if not self._has_memory(job, handover.shard):
                    continue
                job.handing_over = True
                job.moving = handover.tasks is None
                self._scope.spawn(self._hand_over(handover))

    def _has_memory(self, job: ShardJob, shard: int) -> bool:
        """Return whether the owner of another shard may take a job into its memory."""
        memory = self._job_registry.catalog.memory
        if memory.includes(job.job_id, shard):
            return True
        taken = memory.of_shard(shard) + JobFootprint.of(job.spec).owner_bytes
        return taken <= max_hall_bytes(self._settings.memory_mb)

    async def _hand_over(self, handover: Handover) -> None:
        job_id, shard, tasks, repetition = handover
        if tasks is None:
            key = RunKey(job_id, 0).encode()
            offset = await self._writer.write([Record(encode_moved(shard), key)])
            self._log_move(Event.MOVE_KEPT, job_id, shard, offset)
            await self.publish_move(job_id, shard)
            return
        job = self._core.jobs.get(job_id)
        if job is None:
            # The job ended in the meantime.
            return
        handed_over = self._core.hand_over_tasks(job_id, shard, tasks, repetition)
        if not handed_over:
            job.handing_over = False
            return
        run = handed_over[0].step.run
        progress = encode_run(run, wall_offset_s())
        note_encoded(run)
        began = steady()
        await self._writer.write([Record(progress, progress_key(run))])
        recorded = steady()
        if job.delegated_here:
            await self._job_registry.write([self._returned(job_id, handed_over)])
        elif delegations := self._core.delegations(job_id, steady()).get(shard):
            await self._job_registry.write([Delegated(job_id, shard, delegations)])
        job.handing_over = False
        self._log_handover(handover, recorded - began, steady() - recorded)

    def _log_handover(self, handover: Handover, recorded_s: float, announced_s: float) -> None:
        self._log.write(
            Event.HANDOVER_PUBLISHED,
            job=handover.job_id,
            shard=self._shard,
            to_shard=handover.shard,
            indexes=[index for _, index in (handover.tasks or ())[:MAX_LOGGED_TASKS]],
            recorded_s=round(recorded_s, 3),
            announced_s=round(announced_s, 3),
            token=self._token,
        )

    def _returned(self, job_id: str, tasks: tuple[Task, ...]) -> Returned:
        entry = self._job_registry.catalog.get(job_id)
        before = entry.returned_delegations.get(self._shard, ()) if entry else ()
        now = steady()
        delegations = tuple(last_delegation_of(task, now) for task in tasks)
        self._returned_delegations.keep_only(self._core.jobs)
        return Returned(
            job_id, self._shard, self._returned_delegations.add(job_id, before, delegations)
        )

    async def publish_move(self, job_id: str, shard: int) -> None:
        """Publish that a job now belongs to another shard, and remove the job here."""
        offset = await self._job_registry.write([Moved(job_id, shard)])
        self._log_move(Event.MOVE_TOLD, job_id, shard, offset)
        job = self._core.jobs.get(job_id)
        if job is None or not job.delegated_here:
            # Otherwise tasks of the job were delegated back before this answer arrived.
            self._core.remove_moved(job_id)
            self._core.dropped.append(RunKey(job_id, 0).encode())
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

    def other_summaries(self) -> dict[int, HallSummary]:
        """Return the summaries of the other halls that may get work."""
        return {
            shard: summary
            for shard, hall in enumerate(self._settings.halls)
            if shard != self._shard
            and self._evacuations.of(hall) is None
            and (summary := self._summary_of(shard)) is not None
        }

    def _count_capable(self, shard: int, step: StepSpec, service: str) -> int:
        summary = self._summary_of(shard)
        return summary.count_capable(step, service) if summary else 0
