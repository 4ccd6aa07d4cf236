"""Messages to the asyncio task that owns the scheduler's core."""

from __future__ import annotations

from asyncio import Future
from dataclasses import dataclass
from typing import TypeAlias

from linkspan.ledger.ledger import Ledger
from linkspan.ledger.records import Record, TakenOver
from linkspan.model.job import JobSpec
from linkspan.peer.messages import Answer, Heartbeat
from linkspan.services.messages import WorkerReport


@dataclass(frozen=True, slots=True)
class PageRead:
    """A page of records was read.

    Attributes:
        entries: Offsets and records in log order; None for a record that cannot be decoded.
        end: The log's end at the time of the read.
        started: Local time in seconds when the read started.
    """

    entries: tuple[tuple[int, Record | None], ...]
    end: int
    started: float


@dataclass(frozen=True, slots=True)
class LedgerRecovered:
    """The ledger was recovered from a snapshot after a gap."""

    ledger: Ledger


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A worker answered an exchange that started at ``started``, in local seconds."""

    report: WorkerReport
    started: float


@dataclass(frozen=True, slots=True)
class AppendFinished:
    """The append in flight ended, with an answer of the log or without one."""

    answered: bool


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A scheduler of this hall sent a heartbeat."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class SubmitRequested:
    """A gateway submits a job and waits for the answer."""

    spec: JobSpec
    answer: Future[Answer]


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """A gateway cancels a job and waits for the answer."""

    job_id: str
    answer: Future[Answer]


@dataclass(frozen=True, slots=True)
class JobsTakenOver:
    """Jobs of a lost hall were handed over to this hall."""

    taken: tuple[TakenOver, ...]


CoreMessage: TypeAlias = (
    PageRead
    | LedgerRecovered
    | ReportReceived
    | AppendFinished
    | HeartbeatReceived
    | SubmitRequested
    | CancelRequested
    | JobsTakenOver
)
