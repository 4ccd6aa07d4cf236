"""Messages between a scheduler and a worker.

A scheduler sends an :class:`ExchangeRequest`; the worker responds with a :class:`WorkerReport`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec


class AttemptKey(NamedTuple):
    """Identifies an attempt in messages with workers.

    Attributes:
        task: The task's name, unique across all halls.
        attempt: The attempt's number, starting at 1.
    """

    task: str
    attempt: int


class StartCommand(NamedTuple):
    """An order to start an attempt.

    Attributes:
        run: The attempt.
        size: Resources it may use; the worker rejects a start that does not fit.
        kind: The job's kind of work.
        job_id: The caller's job id.
        index: The task's index in its job.
        checkpoint: Checkpoint to resume from; empty starts from scratch.
    """

    run: AttemptKey
    size: Resources
    kind: str
    job_id: str
    index: int  # type: ignore[assignment]
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """A scheduler's orders to one worker in one exchange.

    Attributes:
        incarnation: The worker incarnation that the orders are for; any other
            incarnation ignores the orders and only reports.
        lease_until: Time on the worker's clock, in seconds, at which the
            leases of ``starts`` and ``renew`` expire; starts that arrive
            later are ignored.
        starts: Attempts to start.
        renew: Attempts whose lease is extended.
        stops: Attempts to checkpoint and stop, or never to start.
        throttles: Fraction of full speed (0 to 1) by attempt.
        acknowledged: Closed attempts that the worker may stop reporting.
    """

    incarnation: int = 0
    lease_until: float = 0.0
    starts: tuple[StartCommand, ...] = ()
    renew: tuple[AttemptKey, ...] = ()
    stops: tuple[AttemptKey, ...] = ()
    throttles: tuple[tuple[AttemptKey, float], ...] = ()
    acknowledged: tuple[AttemptKey, ...] = ()


class ClosedAttempt(NamedTuple):
    """An attempt that does not run on this worker and never will again.

    Attributes:
        run: The attempt.
        ended: Whether the attempt ended by itself.
        failed: Whether that end was a failure.
        started: Whether the attempt ever ran.
        checkpoint: Checkpoint for the next attempt to resume from; empty starts from scratch.
    """

    run: AttemptKey
    ended: bool
    failed: bool
    started: bool
    checkpoint: str


class UsageSample(NamedTuple):
    """A recent measurement of one running attempt.

    Attributes:
        run: The attempt.
        measured: Time of the measurement, in seconds on the worker's clock.
        used: Resources that the attempt used.
        latency: For services, the 99th percentile latency divided by its target; otherwise 0.
    """

    run: AttemptKey
    measured: float
    used: Resources
    latency: float


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's response to an exchange.

    Attributes:
        spec: The worker and its incarnation.
        clock: The worker's clock, in seconds, when it responded.
        leaving: Whether the worker is draining and gets no new work.
        running: Attempts that currently run.
        closed: Closed attempts that are not acknowledged yet.
        usage: Measurements since the previous report.
    """

    spec: WorkerSpec
    clock: float
    leaving: bool = False
    running: tuple[AttemptKey, ...] = ()
    closed: tuple[ClosedAttempt, ...] = ()
    usage: tuple[UsageSample, ...] = ()
