"""Messages to the task that owns the scheduler's core."""

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
    """Records were read; ``end`` is the log's end then, ``began`` our time."""

    entries: tuple[tuple[int, Record | None], ...]
    end: int
    began: float


@dataclass(frozen=True, slots=True)
class Recovered:
    """The ledger was recovered from a snapshot after a gap."""

    ledger: Ledger


@dataclass(frozen=True, slots=True)
class Reported:
    """A worker answered an exchange that began at ``began``, our time."""

    report: WorkerReport
    began: float


@dataclass(frozen=True, slots=True)
class Appended:
    """The append under way was answered, or was not."""

    answered: bool


@dataclass(frozen=True, slots=True)
class Beat:
    """A scheduler of this hall sent a heartbeat."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class SubmitAsked:
    """A gateway hands in a job and awaits the verdict."""

    spec: JobSpec
    answer: Future[Answer]


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """A gateway cancels a job and awaits the verdict."""

    job_id: str
    answer: Future[Answer]


@dataclass(frozen=True, slots=True)
class Rescued:
    """Tasks of a lost hall that were handed to this one."""

    taken: tuple[TakenOver, ...]


Input: TypeAlias = (
    PageRead | Recovered | Reported | Appended | Beat | SubmitAsked | CancelAsked | Rescued
)
