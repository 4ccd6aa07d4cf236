"""Chooses the shard for each new job."""

from __future__ import annotations

import time
from collections import deque
from math import ceil, exp
from typing import TYPE_CHECKING, NamedTuple

from linkspan._rendezvous import order_by_shares
from linkspan.clock import steady
from linkspan.host._accepted_work import (
    AcceptedWork,
    WorkKind,
    kind_of,
    milli_cpu_of,
    widest_step,
)
from linkspan.host._hall_slots import HallSlots
from linkspan.host.two_choices import HallOffer, SendReason, better_of_two
from linkspan.shard.handover.expected_wait import NewWork, expected_wait_s
from linkspan.shard.handover.hall_readings import HallReading, HallReadings
from linkspan.shard.messages import can_run, has_data
from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.records import Submitted
    from linkspan.jobs.spec import JobSpec, StepSpec
    from linkspan.model.configuration import Queue
    from linkspan.model.settings import HostSettings
    from linkspan.shard.handover.summary import HallSummary

RECENT_CHOICE_S = 2.5
"""Time for which choices of this host count on top of a hall's summary, in seconds: the summary
may be that old and not include them yet."""

IMAGE_WEIGHT = 0.1
"""Weight of the share of a hall's standing tasks with the job's images, relative to the hall's
free share. Gathering tasks of one image causes interference with fewer kinds of best-effort work,
but free capacity matters more."""

WAITING_WEIGHT = 0.5
"""Weight of the share of a hall that best-effort work uses or waits for, relative to the
interference that the job would cause there."""

LOCAL_BONUS = 0.05
"""Score bonus of this host's hall, whose callers still reach it when the hall is cut off."""

MIN_SHARE = 0.01
"""Share of its cores by which a full hall is still drawn: all halls may be full."""

INTERFERENCE_SCALE = 0.05
"""Pressure that a job adds to a hall's standing tasks at which its share of such jobs falls to a
third."""


class _Eligibility(NamedTuple):
    """How much of a job a hall can run; the greater, the better.

    Attributes:
        runnable: Number of the job's steps that its executors can run.
        with_data: Number of these steps whose data is in one of its racks.
    """

    runnable: int
    with_data: int


class _Choice(NamedTuple):
    """A recent choice that the summaries may not include yet.

    Attributes:
        at: Steady time of the choice.
        shard: The chosen shard.
        milli_cpu: CPU demand of the job's widest step, in thousandths of a core.
        kind: Kind of the job's work.
    """

    at: float
    shard: int
    milli_cpu: int
    kind: WorkKind


class SentJob(NamedTuple):
    """A job that was accepted for another hall than that of this host.

    Attributes:
        job_id: The job.
        shard: The other hall's shard.
        reason: Why it goes there.
        home: What this host's hall offered; ``None`` if it was not compared.
        there: What the other hall offered; ``None`` if it was not compared.
    """

    job_id: str
    shard: int
    reason: SendReason
    home: HallOffer | None = None
    there: HallOffer | None = None


class ShardChooser:
    """Chooser of the hall for each new job.

    Short jobs stay in this host's hall while it has free capacity, and then take the better of it
    and one other by expected wait. Standing jobs go where most of
    their tasks have room, and then gather by image, so that each hall has some kind of best-effort
    work without interference. Best-effort jobs go where they cause the least interference and wait
    the least; while such work waits in this hall, they take the better of it and one other, too.

    Args:
        settings: Settings of the host.
        summary_of: Returns the last summary that the owner of a shard published, ``None`` if none.
            It is the same object until the next one.
        evacuated: Returns whether a hall is evacuated.
        incarnation: Incarnation of this process.
        on_sent: Called with each job that is accepted for another hall.
    """

    def __init__(
        self,
        settings: HostSettings,
        summary_of: Callable[[int], HallSummary | None],
        *,
        evacuated: Callable[[str], bool] = lambda _hall: False,
        incarnation: str = "",
        on_sent: Callable[[SentJob], None] = lambda _sent: None,
    ) -> None:
        self._settings = settings
        self._evacuated = evacuated
        self._summary_of = summary_of
        self._on_sent = on_sent
        self._choices: deque[_Choice] = deque()
        self._accepted = AcceptedWork(incarnation)
        self._readings = HallReadings()
        self._slots = HallSlots()

    def __repr__(self) -> str:
        return f"ShardChooser({self._settings.hall!r})"

    def on_summary(self, shard: int) -> None:
        """Note the time at which a hall's summary was read."""
        self._reading(shard)

    def on_job_read(self, submitted: Submitted) -> None:
        """Count a job that another host has accepted."""
        self._accepted.add_read(submitted, wall=time.time(), now=steady())

    def choose(self, spec: JobSpec, queue: Queue) -> int:
        """Return the number of the shard for a new job."""
        home = self._settings.shard
        shards = self._eligible_shards(spec, queue)
        kind = kind_of(spec)
        sent = None
        if len(shards) == 1:
            chosen = shards[0]
        elif kind is WorkKind.STANDING or not self._compares(spec, queue, shards):
            chosen = self._by_room(spec, queue.service, shards)
        else:
            sent = self._better_of_two(spec, queue, shards)
            chosen = sent.shard
        if len(shards) > 1:
            self._choices.append(_Choice(steady(), chosen, milli_cpu_of(widest_step(spec)), kind))
        self._accepted.add(chosen, spec, steady())
        if chosen != home:
            self._on_sent(sent or SentJob(spec.job_id, chosen, self._reason(shards)))
        return chosen

    def _by_room(self, spec: JobSpec, service: str, shards: list[int]) -> int:
        """Return the shard for a job while nothing has to be compared by expected wait."""
        if kind_of(spec) is WorkKind.SHORT:
            return self._first_with_capacity(spec, service, shards)
        return max(shards, key=lambda shard: self._preference(spec, service, shard))

    def _reason(self, shards: list[int]) -> SendReason:
        """Return why a job whose halls were not compared by expected wait leaves this hall."""
        if self._settings.shard in shards:
            return SendReason.LOAD
        evacuated = self._evacuated(self._settings.hall)
        return SendReason.EVACUATED if evacuated else SendReason.UNABLE

    def _compares(self, spec: JobSpec, queue: Queue, shards: list[int]) -> bool:
        """Return whether a short or best-effort job compares halls by expected wait.

        It does if it would wait in this hall, or has to leave it as the hall is evacuated.
        """
        home = self._settings.shard
        if home not in shards:
            return self._evacuated(self._settings.hall)
        reading = self._reading(home)
        if reading is None:
            return False
        if kind_of(spec) is WorkKind.SHORT:
            return not self._has_capacity(spec, queue.service, home)
        summary = reading.summary
        waits = summary.waiting or any(b.queue == queue.name for b in summary.backlogs)
        return bool(waits or not summary.capacity)

    def _better_of_two(self, spec: JobSpec, queue: Queue, shards: list[int]) -> SentJob:
        """Return the better of this hall and one other for a short or best-effort job."""
        here = self._settings.shard
        home = self._offer(spec, queue, here) if here in shards else None
        others = {str(s): self._share(spec, s) for s in shards if s != here and self._usable(s)}
        order = order_by_shares(spec.job_id, others)
        offers = (self._offer(spec, queue, int(name)) for name in order)
        best_effort = kind_of(spec) is WorkKind.BEST_EFFORT
        there = better_of_two(home, offers, best_effort=best_effort)
        if there is None:
            return SentJob(spec.job_id, shards[0], self._reason(shards), home)
        if home is None:
            reason = self._reason(shards)
        else:
            reason = SendReason.ROOM if there.fits else SendReason.WAIT
        return SentJob(spec.job_id, there.shard, reason, home, there)

    def _share(self, spec: JobSpec, shard: int) -> float:
        """Return the share of the jobs that are to consider a hall: its free cores.

        For best-effort work less where it interferes more with standing tasks.
        """
        reading = self._readings.by_shard[shard]
        summary = reading.summary
        kind = kind_of(spec)
        free = summary.free - self._accepted.since(shard, kind, reading.read_at)
        least = max(MIN_SHARE * summary.capacity, 1.0)
        if kind is WorkKind.SHORT:
            return max(free - summary.queued, least)
        interference = max(_interference(step, summary) for step in spec.steps)
        free -= summary.best_effort + summary.waiting
        return max(free, least) * exp(-min(max(interference, 0.0), 1.0) / INTERFERENCE_SCALE)

    def _offer(self, spec: JobSpec, queue: Queue, shard: int) -> HallOffer:
        """Return what a hall with a summary offers a short or best-effort job."""
        now = steady()
        reading = self._readings.by_shard[shard]
        kind = kind_of(spec)
        widest = widest_step(spec)
        best_effort = kind is WorkKind.BEST_EFFORT
        work = NewWork.of(widest, queue.name)._replace(best_effort=best_effort)
        slots = 0
        if not best_effort:
            slots = self._slots.of(shard, reading, _need(widest, queue.service))
        sent_cpu = self._accepted.since(shard, kind, reading.read_at)
        wait_s = expected_wait_s(reading, work, now=now, slots=slots, sent_cpu=sent_cpu)
        return HallOffer(shard, wait_s, now - reading.read_at, fits=not wait_s)

    def _reading(self, shard: int) -> HallReading | None:
        """Return the last summary of a hall as it was read, ``None`` if there is none."""
        summary = self._summary_of(shard)
        return self._readings.read(shard, summary, steady()) if summary else None

    def _usable(self, shard: int) -> bool:
        """Return whether a hall has published a summary, and has usable executors."""
        reading = self._reading(shard)
        return reading is not None and reading.summary.capacity > 0

    def _first_with_capacity(self, spec: JobSpec, service: str, shards: list[int]) -> int:
        """Return the first shard with capacity for the job's widest step, or the first of all."""
        able = (shard for shard in shards if self._has_capacity(spec, service, shard))
        return next(able, shards[0])

    def _has_capacity(self, spec: JobSpec, service: str, shard: int) -> bool:
        """Return whether a hall has room for all tasks of a short job's widest step now."""
        reading = self._reading(shard)
        if reading is None or not reading.summary.capacity:
            return False
        widest, summary = widest_step(spec), reading.summary
        free = summary.free - summary.queued - self._recently_chosen_cpu(shard, WorkKind.SHORT)
        if free < milli_cpu_of(widest):
            return False
        return self._slots.of(shard, reading, _need(widest, service)) >= widest.count

    def eligible_shards(self, spec: JobSpec, queue: Queue) -> list[int]:
        """Return the shards among which a new job's is chosen."""
        return self._eligible_shards(spec, queue)

    def _eligible_shards(self, spec: JobSpec, queue: Queue) -> list[int]:
        """Return the shards whose executors can run most of the job, this host's hall first.

        An evacuated hall is among them only if its executors can run more steps than all others.
        """
        home = self._settings.shard
        shards = [home, *(s for s in range(len(self._settings.halls)) if s != home)]
        found = {shard: self._eligibility(spec, queue.service, shard) for shard in shards}
        runnable = max(eligibility.runnable for eligibility in found.values())
        takes_work = [s for s in shards if not self._evacuated(self._settings.halls[s])]
        if any(found[shard].runnable == runnable for shard in takes_work):
            shards = takes_work
        best = max(found[shard] for shard in shards)
        return [shard for shard in shards if found[shard] == best]

    def _eligibility(self, spec: JobSpec, service: str, shard: int) -> _Eligibility:
        """Return how many steps of a job a hall can run and for how many it has the data.

        A hall without a summary counts as able to run all steps: its owner hands over jobs that
        the hall cannot run.
        """
        summary = self._summary_of(shard)
        if summary is None or summary.kinds is None:
            return _Eligibility(len(spec.steps), 0)
        kinds = [kind for kind in summary.kinds if kind.service == service]
        suitable = [[kind for kind in kinds if can_run(step, kind)] for step in spec.steps]
        return _Eligibility(
            sum(bool(found) for found in suitable),
            sum(map(has_data, spec.steps, suitable)),
        )

    def _preference(self, spec: JobSpec, service: str, shard: int) -> tuple[float, ...]:
        """Return how suitable a hall is for a standing or best-effort job."""
        if not spec.standing:
            return (self._best_effort_score(spec, shard),)
        count = widest_step(spec).count
        at_once = self._fitting_tasks(spec, service, shard, use_headroom=False)
        later = at_once
        if at_once < count:
            later = self._fitting_tasks(spec, service, shard, use_headroom=True)
        return at_once, later, self._standing_score(spec, shard)

    def _fitting_tasks(self, spec: JobSpec, service: str, shard: int, *, use_headroom: bool) -> int:
        """Return for how many tasks of a standing job's widest step a hall has room now.

        Free cores may be spread over executors with too little for one task each.
        """
        summary = self._usable_summary(shard)
        if summary is None:
            return 0
        widest = widest_step(spec)
        need = TaskNeed.of(widest, service, use_headroom=use_headroom)
        chosen_cpu = self._recently_chosen_cpu(shard, WorkKind.STANDING)
        chosen = ceil(chosen_cpu / max(widest.demand.milli_cpu, 1))
        slots = summary.slots(need, enough=widest.count + chosen)
        return min(max(slots - chosen, 0), widest.count)

    def _standing_score(self, spec: JobSpec, shard: int) -> float:
        local = self._local_bonus(shard)
        summary = self._usable_summary(shard)
        if summary is None:
            return local
        needed = milli_cpu_of(widest_step(spec)) + self._recently_chosen_cpu(
            shard, WorkKind.STANDING
        )
        free = (summary.free - needed) / summary.capacity
        images = {step.image for step in spec.steps}
        total = sum(summary.standing.values())
        same = sum(n for image, n in summary.standing.items() if image in images)
        same_share = same / total if total else 0.0
        return local + free + IMAGE_WEIGHT * same_share

    def _best_effort_score(self, spec: JobSpec, shard: int) -> float:
        local = self._local_bonus(shard)
        summary = self._usable_summary(shard)
        if summary is None:
            return local - 0.5
        interference = max(_interference(step, summary) for step in spec.steps)
        busy = (
            summary.best_effort
            + summary.waiting
            + self._recently_chosen_cpu(shard, WorkKind.BEST_EFFORT)
        )
        return local - interference - WAITING_WEIGHT * busy / summary.capacity

    def _usable_summary(self, shard: int) -> HallSummary | None:
        """Return the summary of a hall, ``None`` if missing or without usable executors."""
        summary = self._summary_of(shard)
        return summary if summary and summary.capacity else None

    def _local_bonus(self, shard: int) -> float:
        return LOCAL_BONUS if shard == self._settings.shard else 0.0

    def _recently_chosen_cpu(self, shard: int, kind: WorkKind) -> int:
        """Return the CPU demand of recent choices of a shard, in thousandths of a core."""
        limit = steady() - RECENT_CHOICE_S
        while self._choices and self._choices[0].at < limit:
            self._choices.popleft()
        return sum(c.milli_cpu for c in self._choices if c.shard == shard and c.kind is kind)


def _need(step: StepSpec, service: str) -> TaskNeed:
    return TaskNeed.of(step, service, use_headroom=False)


def _interference(step: StepSpec, summary: HallSummary) -> float:
    """Return the interference that one task causes, averaged over a hall's standing tasks."""
    total = sum(summary.standing.values())
    if not step.best_effort or not total:
        return 0.0
    effects = {(e.standing, e.image): e.mean for e in summary.effects}
    cores = step.demand.milli_cpu / 1000
    return sum(
        count / total * effects.get((standing, step.image), 0.0) * cores
        for standing, count in summary.standing.items()
    )
