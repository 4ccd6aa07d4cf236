"""Work that was accepted for each hall lately, by this host and by others."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.handover.expected_wait import OLD_S

if TYPE_CHECKING:
    from linkspan.jobs.records import Submitted
    from linkspan.jobs.spec import JobSpec, StepSpec

READ_LAG_S = 1.0
"""Age that a summary has on the average when it is read, in seconds."""

BUCKET_S = 0.25
"""Time whose work is summed as one, in seconds, so that a choice costs the same at any load."""

KEPT_S = OLD_S + READ_LAG_S
"""Time for which accepted work is kept, in seconds: older summaries are not trusted."""


class WorkKind(Enum):
    """Kind of work, which determines how the hall of a job is chosen."""

    SHORT = "short"
    STANDING = "standing"
    BEST_EFFORT = "best effort"


class _Bucket(NamedTuple):
    """Work accepted from a time on, in thousandths of a core."""

    at: float
    milli_cpu: int


class AcceptedWork:
    """Work accepted lately, by hall and kind.

    Args:
        incarnation: Incarnation of this process, whose own jobs are added when they are chosen.
    """

    def __init__(self, incarnation: str = "") -> None:
        self._incarnation = incarnation
        self._buckets: dict[tuple[int, WorkKind], deque[_Bucket]] = {}
        self._seen: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"AcceptedWork({len(self._seen)} jobs of others)"

    def add(self, shard: int, spec: JobSpec, now: float) -> None:
        """Add a job of this host."""
        buckets = self._buckets.setdefault((shard, kind_of(spec)), deque())
        milli_cpu = milli_cpu_of(widest_step(spec))
        if buckets and now - buckets[-1].at < BUCKET_S:
            buckets[-1] = _Bucket(buckets[-1].at, buckets[-1].milli_cpu + milli_cpu)
        else:
            buckets.append(_Bucket(now, milli_cpu))
        while buckets[0].at < now - KEPT_S:
            buckets.popleft()

    def add_read(self, submitted: Submitted, *, wall: float, now: float) -> None:
        """Add a job that another host has accepted lately, once.

        Args:
            submitted: Its record.
            wall: Time of day, in seconds since 1970.
            now: Steady time.
        """
        job_id = submitted.spec.job_id
        own = self._incarnation and submitted.writer_id.startswith(self._incarnation)
        if own or job_id in self._seen or wall - submitted.accepted_at > KEPT_S:
            return
        while self._seen and self._seen[oldest := next(iter(self._seen))] < now - 2 * KEPT_S:
            del self._seen[oldest]
        self._seen[job_id] = now
        self.add(submitted.shard, submitted.spec, now)

    def since(self, shard: int, kind: WorkKind, read_at: float) -> int:
        """Return what a hall's summary doesn't include yet, in thousandths of a core.

        Args:
            shard: The hall's shard.
            kind: Kind of the work.
            read_at: Steady time at which the summary was read.
        """
        after = read_at - READ_LAG_S
        buckets = self._buckets.get((shard, kind), ())
        return sum(bucket.milli_cpu for bucket in buckets if bucket.at >= after)


def kind_of(spec: JobSpec) -> WorkKind:
    """Return the kind of a job's work."""
    if spec.standing:
        return WorkKind.STANDING
    best_effort = any(step.best_effort for step in spec.steps)
    return WorkKind.BEST_EFFORT if best_effort else WorkKind.SHORT


def widest_step(spec: JobSpec) -> StepSpec:
    """Return the step of a job whose tasks together take the most cores."""
    return max(spec.steps, key=milli_cpu_of)


def milli_cpu_of(step: StepSpec) -> int:
    """Return the thousandths of a core that all tasks of a step take together."""
    return step.count * step.demand.milli_cpu
