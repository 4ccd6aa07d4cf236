"""Which shard a new job lives in."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from linkspan.clock import steady
from linkspan.shard.messages import can_run

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import JobSpec, StepSpec
    from linkspan.model.configuration import Queue
    from linkspan.model.settings import HostSettings
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.messages import ExecutorKind

STALE_S = 2.5
"""Time for which own choices are counted on top of a hall's summary, which is up to
that old."""

IMAGE_WEIGHT = 0.1
"""Weight of the part of a hall's standing tasks that have the same image against its
free part: what gathers disturbs fewer kinds of best-effort work, but room comes first."""

WAITING_WEIGHT = 0.5
"""Weight of the part of a hall that best-effort work uses or waits for, against the
pressure that a job would add there."""

LOCAL_BONUS = 0.05
"""Advantage of the own hall: its callers still reach it when it is cut off."""


ABLE = 100
"""Weight of a step that a hall can run against one whose data it has beside."""


class _Kind(Enum):
    """Kind of work by which a job's hall is chosen."""

    SHORT = "short"
    STANDING = "standing"
    BEST_EFFORT = "best effort"


class _Choice(NamedTuple):
    """A choice that the summaries may not show yet.

    Attributes:
        at: Steady time of the choice.
        shard: The chosen shard.
        milli_cpu: Thousandths of a core that the job's widest step asks for.
        kind: Kind of the job's work.
    """

    at: float
    shard: int
    milli_cpu: int
    kind: _Kind


class ShardChooser:
    """Chooses the hall where a job is served best.

    Short tasks stay in the own hall while it has room. Standing tasks gather by image,
    so that each hall leaves some kind of best-effort work in peace; best-effort work
    goes where it disturbs least and waits least.

    Args:
        settings: The host's settings.
        summary_of: Returns what a shard's owner last told, ``None`` if nothing.
    """

    def __init__(
        self,
        settings: HostSettings,
        summary_of: Callable[[int], HallSummary | None],
    ) -> None:
        self._settings = settings
        self._summary_of = summary_of
        self._choices: deque[_Choice] = deque()

    def __repr__(self) -> str:
        return f"ShardChooser({self._settings.hall!r})"

    def choose(self, spec: JobSpec, queue: Queue) -> int:
        """Return the number of the shard for a new job."""
        able = self._able(spec, queue)
        if len(able) == 1:
            return able[0]
        kind = _kind_of(spec)
        if kind is _Kind.SHORT:
            chosen = self._with_room(spec, able)
        else:
            score = self._standing_score if kind is _Kind.STANDING else self._best_effort_score
            chosen = max(able, key=lambda shard: score(spec, shard))
        self._choices.append(_Choice(steady(), chosen, _milli_cpu(_widest(spec)), kind))
        return chosen

    def _with_room(self, spec: JobSpec, able: list[int]) -> int:
        """Return the first shard with room for the job's widest step, the own one first."""
        widest = _widest(spec)
        for shard in able:
            summary = self._usable_summary(shard)
            if summary is None:
                continue
            free = summary.free - summary.queued - self._chosen_lately(shard, _Kind.SHORT)
            if summary.slots(widest.demand) >= widest.count and free >= _milli_cpu(widest):
                return shard
        return able[0]

    def _able(self, spec: JobSpec, queue: Queue) -> list[int]:
        """Return the shards whose executors can run most of the job, the own one first."""
        own = self._settings.shard
        shards = [own, *(s for s in range(len(self._settings.halls)) if s != own)]
        scores = {shard: self._ability(spec, queue.service, shard) for shard in shards}
        best = max(scores.values())
        return [shard for shard in shards if scores[shard] == best]

    def _ability(self, spec: JobSpec, service: str, shard: int) -> int:
        """Count the steps that a hall can run, and a little for those whose data it has.

        A hall that told nothing yet is taken for able: its owner hands over what it is not.
        """
        summary = self._summary_of(shard)
        if summary is None or summary.kinds is None:
            return ABLE * len(spec.steps)
        kinds = [kind for kind in summary.kinds if kind.service == service]
        return sum(_step_ability(step, kinds) for step in spec.steps)

    def _standing_score(self, spec: JobSpec, shard: int) -> float:
        local = self._local_bonus(shard)
        summary = self._usable_summary(shard)
        if summary is None:
            return local
        need = _milli_cpu(_widest(spec)) + self._chosen_lately(shard, _Kind.STANDING)
        free = (summary.free - need) / summary.capacity
        images = {step.image for step in spec.steps}
        total = sum(summary.standing.values())
        same = sum(n for image, n in summary.standing.items() if image in images)
        alike = same / total if total else 0.0
        return local + free + IMAGE_WEIGHT * alike

    def _best_effort_score(self, spec: JobSpec, shard: int) -> float:
        local = self._local_bonus(shard)
        summary = self._usable_summary(shard)
        if summary is None:
            return local - 0.5
        pressure = max(_pressure(step, summary) for step in spec.steps)
        busy = summary.best_effort + summary.waiting + self._chosen_lately(shard, _Kind.BEST_EFFORT)
        return local - pressure - WAITING_WEIGHT * busy / summary.capacity

    def _usable_summary(self, shard: int) -> HallSummary | None:
        """Return a hall's summary if there is one and the hall has usable executors."""
        summary = self._summary_of(shard)
        return summary if summary and summary.capacity else None

    def _local_bonus(self, shard: int) -> float:
        return LOCAL_BONUS if shard == self._settings.shard else 0.0

    def _chosen_lately(self, shard: int, kind: _Kind) -> int:
        limit = steady() - STALE_S
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


def _pressure(step: StepSpec, summary: HallSummary) -> float:
    """Return the pressure that one task adds, averaged over a hall's standing tasks."""
    total = sum(summary.standing.values())
    if not step.best_effort or not total:
        return 0.0
    effects = {(e.standing, e.image): e.mean for e in summary.effects}
    cores = step.demand.milli_cpu / 1000
    return sum(
        held / total * effects.get((standing, step.image), 0.0) * cores
        for standing, held in summary.standing.items()
    )


def _step_ability(step: StepSpec, kinds: list[ExecutorKind]) -> int:
    able = [kind for kind in kinds if can_run(step, kind)]
    near = any(step.data_rack in kind.labels for kind in able) if step.data_rack else False
    return (ABLE if able else 0) + near
