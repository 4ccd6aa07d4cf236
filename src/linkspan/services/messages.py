"""What passes between a scheduler and a worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec


class AttemptKey(NamedTuple):
    """An attempt as workers know it.

    Attributes:
        task: The task's name, unique over all halls.
        attempt: The attempt's number, from 1.
    """

    task: str
    attempt: int


class StartCommand(NamedTuple):
    """Order to begin an attempt.

    Attributes:
        run: The attempt.
        size: What it may use; the worker refuses what does not fit.
        kind: Kind of work.
        job_id: The caller's job id.
        index: The task's index in its job.
        checkpoint: Where to resume, empty for the beginning.
    """

    run: AttemptKey
    size: Resources
    kind: str
    job_id: str
    index: int  # type: ignore[assignment]
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """What a scheduler asks of one worker in one exchange.

    Attributes:
        incarnation: The incarnation that this is meant for; another one
            ignores all of it and only reports.
        lease_until: Time on the worker's clock, in seconds, to which the
            leases of ``starts`` and ``renew`` run; starts that arrive later
            than this are ignored.
        starts: Attempts to begin.
        renew: Attempts whose lease goes on.
        stops: Attempts to checkpoint and stop, or never to begin.
        throttles: Share of full speed (0 to 1) by attempt.
        acknowledged: Closed attempts that need not be reported again.
    """

    incarnation: int = 0
    lease_until: float = 0.0
    starts: tuple[StartCommand, ...] = ()
    renew: tuple[AttemptKey, ...] = ()
    stops: tuple[AttemptKey, ...] = ()
    throttles: tuple[tuple[AttemptKey, float], ...] = ()
    acknowledged: tuple[AttemptKey, ...] = ()


class ClosedAttempt(NamedTuple):
    """An attempt that does not run and never will on this worker.

    Attributes:
        run: The attempt.
        ended: Whether it came to its end by itself.
        failed: Whether that end was a failure.
        started: Whether it ever ran.
        checkpoint: Where a next attempt may resume, empty for the beginning.
    """

    run: AttemptKey
    ended: bool
    failed: bool
    started: bool
    checkpoint: str


class UsageSample(NamedTuple):
    """A late measurement of one running attempt.

    Attributes:
        run: The attempt.
        measured: When it was measured, in seconds on the worker's clock.
        used: What it used.
        latency: For services, the 99th percentile over its target; else 0.
    """

    run: AttemptKey
    measured: float
    used: Resources
    latency: float


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to an exchange.

    Attributes:
        spec: The worker and its incarnation.
        clock: The worker's clock in seconds when it answered.
        leaving: Whether it is to get no new work.
        running: Attempts that run now.
        closed: Attempts that closed and were not acknowledged yet.
        usage: Measurements not reported before.
    """

    spec: WorkerSpec
    clock: float
    leaving: bool = False
    running: tuple[AttemptKey, ...] = ()
    closed: tuple[ClosedAttempt, ...] = ()
    usage: tuple[UsageSample, ...] = ()
