"""Chooses the shard for each new job."""

from __future__ import annotations

from collections import deque
from enum import Enum
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from linkspan.clock import steady
from linkspan.shard.messages import can_run, has_data
from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from collections.abc import Callable

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


class _Kind(Enum):
    """Kind of work, which determines how the hall of a job is chosen."""

    SHORT = "short"
    STANDING = "standing"
    BEST_EFFORT = "best effort"


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
    kind: _Kind


class ShardChooser:
    """Chooser of the hall for each new job.

    Short jobs stay in this host's hall while it has free capacity. Standing jobs go where most of
    their tasks have room, and then gather by image, so that each hall has some kind of best-effort
    work without interference. Best-effort jobs go
    where they cause the least interference and wait the least.

    Args:
        settings: Settings of the host.
        summary_of: Returns the last summary that the owner of a shard published, ``None`` if none.
        evacuated: Returns whether a hall is evacuated.
        has_memory: Returns whether the owner of a shard may take a job into its memory.
        accepted_elsewhere: Returns the thousandths of a core that standing jobs reserve which other
            hosts accepted for a shard lately, by shard and service.
    """

    def __init__(
        self,
        settings: HostSettings,
        summary_of: Callable[[int], HallSummary | None],
        *,
        evacuated: Callable[[str], bool] = lambda _hall: False,
        has_memory: Callable[[JobSpec, int], bool] = lambda _spec, _shard: True,
        accepted_elsewhere: Callable[[int, str], int] = lambda _shard, _service: 0,
    ) -> None:
        self._settings = settings
        self._evacuated = evacuated
        self._has_memory = has_memory
        self._accepted_elsewhere = accepted_elsewhere
        self._summary_of = summary_of
        self._choices: deque[_Choice] = deque()

    def __repr__(self) -> str:
        return f"ShardChooser({self._settings.hall!r})"

    def choose(self, spec: JobSpec, queue: Queue) -> int:
        """Return the number of the shard for a new job."""
        eligible = self.eligible_shards(spec, queue)
        shards = [shard for shard in eligible if self._has_memory(spec, shard)] or eligible
        if len(shards) == 1:
            return shards[0]
        kind = _kind_of(spec)
        if kind is _Kind.SHORT:
            chosen = self._first_with_capacity(spec, queue.service, shards)
        else:
            chosen = max(shards, key=lambda shard: self._preference(spec, queue.service, shard))
        self._choices.append(_Choice(steady(), chosen, _milli_cpu(_widest(spec)), kind))
        return chosen

    def eligible_shards(self, spec: JobSpec, queue: Queue) -> list[int]:
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

    def _first_with_capacity(self, spec: JobSpec, service: str, shards: list[int]) -> int:
        """Return the first shard with capacity for the job's widest step, or the first of all."""
        widest = _widest(spec)
        need = TaskNeed.of(widest, service, use_headroom=False)
        for shard in shards:
            summary = self._usable_summary(shard)
            if summary is None:
                continue
            free = summary.free - summary.queued - self._recently_chosen_cpu(shard, _Kind.SHORT)
            if summary.slots(need) >= widest.count and free >= _milli_cpu(widest):
                return shard
        return shards[0]

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
        count = _widest(spec).count
        at_once = self._fitting_tasks(spec, service, shard, use_headroom=False)
        later = at_once
        if at_once < count:
            later = self._fitting_tasks(spec, service, shard, use_headroom=True)
        return at_once, later, self._standing_score(spec, service, shard)

    def _fitting_tasks(self, spec: JobSpec, service: str, shard: int, *, use_headroom: bool) -> int:
        """Return for how many tasks of a standing job's widest step a hall has room now.

        Free cores may be spread over executors with too little for one task each.
        """
        summary = self._usable_summary(shard)
        if summary is None:
            return 0
        widest = _widest(spec)
        need = TaskNeed.of(widest, service, use_headroom=use_headroom)
        chosen_cpu = self._standing_cpu_lately(service, shard)
        chosen = ceil(chosen_cpu / max(widest.demand.milli_cpu, 1))
        slots = summary.slots(need, enough=widest.count + chosen)
        return min(max(slots - chosen, 0), widest.count)

    def _standing_score(self, spec: JobSpec, service: str, shard: int) -> float:
        local = self._local_bonus(shard)
        summary = self._usable_summary(shard)
        if summary is None:
            return local
        needed = _milli_cpu(_widest(spec)) + self._standing_cpu_lately(service, shard)
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
            + self._recently_chosen_cpu(shard, _Kind.BEST_EFFORT)
        )
        return local - interference - WAITING_WEIGHT * busy / summary.capacity

    def _standing_cpu_lately(self, service: str, shard: int) -> int:
        """Return the CPU demand of standing jobs that all hosts accepted for a shard lately."""
        own = self._recently_chosen_cpu(shard, _Kind.STANDING)
        return own + self._accepted_elsewhere(shard, service)

    def _usable_summary(self, shard: int) -> HallSummary | None:
        """Return the summary of a hall, ``None`` if missing or without usable executors."""
        summary = self._summary_of(shard)
        return summary if summary and summary.capacity else None

    def _local_bonus(self, shard: int) -> float:
        return LOCAL_BONUS if shard == self._settings.shard else 0.0

    def _recently_chosen_cpu(self, shard: int, kind: _Kind) -> int:
        """Return the CPU demand of recent choices of a shard, in thousandths of a core."""
        limit = steady() - RECENT_CHOICE_S
        while self._choices and self._choices[0].at < limit:
            self._choices.popleft()
        return sum(c.milli_cpu for c in self._choices if c.shard == shard and c.kind is kind)


def _kind_of(spec: JobSpec) -> _Kind:
    if spec.standing:
        return _Kind.STANDING
    best_effort = any(step.best_effort for step in spec.steps)
    return _Kind.BEST_EFFORT if best_effort else _Kind.SHORT


def _widest(spec: JobSpec) -> StepSpec:
    return max(spec.steps, key=_milli_cpu)


def _milli_cpu(step: StepSpec) -> int:
    return step.count * step.demand.milli_cpu


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
