"""Reads the logs of all hosts and sums up the time of jobs by cause."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from typing import TYPE_CHECKING, Any

import orjson

from linkspan.events import Event
from linkspan.report._intervals import Cause, Interval, split

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

SPAN_S = 5.0
"""Length of the time spans by which jobs are grouped, in seconds."""

MAX_OPEN_JOBS = 50_000
"""Maximum number of jobs kept in memory until their end is read; the oldest jobs beyond it count as
open. Each job takes 1 KB, so all together take 50 MB."""

_EVENTS = {event.number: event for event in Event}


@dataclass(slots=True)
class _OpenJob:
    """State of a job whose end was not read yet.

    Attributes:
        first_line_at: Time of the job's first line.
        accepted_at: Time of the job's acceptance, ``None`` before.
        queue: The job's queue.
        intervals: Intervals of the job's time whose cause is known.
        lacking_by_step: The resource that each step waits for, by step.
        failed_at_by_step: Time of the first failed run, by step that may have runs to repeat.
    """

    first_line_at: float
    accepted_at: float | None = None
    queue: str = ""
    intervals: list[Interval] = field(default_factory=list)
    lacking_by_step: dict[str, str] = field(default_factory=dict)
    failed_at_by_step: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class JobTimes:
    """Sums over the jobs of one queue, hall and time span.

    Attributes:
        jobs: Jobs that ended, by final state.
        seconds: Time of these jobs by cause and detail.
        over_objective: Jobs that succeeded later than their estimated objective.
    """

    jobs: Counter[str] = field(default_factory=Counter)
    seconds: Counter[tuple[Cause, str]] = field(default_factory=Counter)
    over_objective: int = 0


class LogReader:
    """Sums up log lines of any hosts, read in order of time.

    Attributes:
        times: Sums by queue, hall and start of the time span.
        over_s: Seconds for which standing tasks exceeded their latency target, by hall.
        refused: Number of refused jobs, by reason.
        bad_lines: Number of lines that were not log lines.
        open_jobs: Number of jobs whose end was not read.
    """

    def __init__(self) -> None:
        self.times: defaultdict[tuple[str, str, float], JobTimes] = defaultdict(JobTimes)
        self.over_s: defaultdict[str, float] = defaultdict(float)
        self.refused: Counter[str] = Counter()
        self.bad_lines = 0
        self._jobs: dict[str, _OpenJob] = {}
        self._dropped_jobs = 0

    def __repr__(self) -> str:
        return f"LogReader({len(self.times)} sums, {self.open_jobs} open)"

    @property
    def open_jobs(self) -> int:
        """Number of jobs whose end was not read."""
        return len(self._jobs) + self._dropped_jobs

    def read(self, lines: Iterable[bytes]) -> None:
        """Process lines; text before the JSON object of a line is ignored."""
        for line in lines:
            entry = _parse_entry(line)
            if entry is None:
                self.bad_lines += bool(line.strip())
                continue
            handler = _HANDLERS.get(_EVENTS.get(entry["event"]))
            if handler:
                handler(self, entry, _time_of(entry))

    def _open_job(self, entry: dict[str, Any], at: float) -> _OpenJob:
        job = self._jobs.get(entry["job"])
        if job is None:
            job = self._jobs[entry["job"]] = _OpenJob(at)
            if len(self._jobs) > MAX_OPEN_JOBS:
                self._jobs.pop(next(iter(self._jobs)))
                self._dropped_jobs += 1
        return job

    def _on_refused(self, entry: dict[str, Any], at: float) -> None:
        self.refused[str(entry.get("reason"))] += 1
        self._open_job(entry, at)

    def _on_accepted(self, entry: dict[str, Any], at: float) -> None:
        job = self._open_job(entry, at)
        if job.accepted_at is None:
            job.accepted_at = at
            job.queue = str(entry.get("queue", ""))
            job.intervals.append(Interval(job.first_line_at, at, Cause.NOT_ACCEPTED))

    def _on_blocked(self, entry: dict[str, Any], at: float) -> None:
        against = entry.get("against") or {"unknown reason": 1}
        lacking = max(against, key=lambda reason: against[reason])
        self._open_job(entry, at).lacking_by_step[str(entry.get("step"))] = lacking

    def _on_placed(self, entry: dict[str, Any], at: float) -> None:
        job, step = self._open_job(entry, at), str(entry.get("step"))
        waited = float(entry.get("waited_s", 0.0))
        job.intervals.append(
            Interval(at - waited, at, Cause.WAITING, job.lacking_by_step.get(step, "next plan"))
        )
        for failed in [other for other in job.failed_at_by_step if _precedes(other, step)]:
            # Once a later step is placed, the earlier step has no runs left to repeat.
            job.intervals.append(
                Interval(job.failed_at_by_step.pop(failed), at - waited, Cause.RUN_AGAIN)
            )

    def _on_failed(self, entry: dict[str, Any], at: float) -> None:
        step = str(entry.get("task", "")).rpartition(".")[0]
        self._open_job(entry, at).failed_at_by_step.setdefault(step, at)

    def _on_start_in_doubt(self, entry: dict[str, Any], at: float) -> None:
        # The line is written when the start call times out, 1 s after the call.
        self._open_job(entry, at).intervals.append(Interval(at - 1.0, at, Cause.IN_DOUBT))

    def _on_latency_over(self, entry: dict[str, Any], at: float) -> None:
        self.over_s[str(entry.get("hall", ""))] += float(entry.get("over_s", 0.0))

    def _on_decided(self, entry: dict[str, Any], at: float) -> None:
        job = self._jobs.pop(entry["job"], None)
        if job is None:
            return
        queue = str(entry.get("queue") or job.queue)
        span = job.first_line_at // SPAN_S * SPAN_S
        times = self.times[(queue, str(entry.get("hall", "")), span)]
        state = str(entry.get("state", ""))
        times.jobs[state] += 1
        objective = entry.get("objective_s")
        if state == "succeeded" and objective is not None and at - job.first_line_at > objective:
            times.over_objective += 1
        job.intervals += [Interval(t, at, Cause.RUN_AGAIN) for t in job.failed_at_by_step.values()]
        times.seconds.update(split(job.intervals, job.first_line_at, at))


_HANDLERS: dict[Event | None, Callable[[LogReader, dict[str, Any], float], None]] = {
    Event.JOB_REFUSED: LogReader._on_refused,
    Event.JOB_HOPELESS: LogReader._on_refused,
    Event.JOB_ACCEPTED: LogReader._on_accepted,
    Event.STEP_BLOCKED: LogReader._on_blocked,
    Event.STEP_PLACED: LogReader._on_placed,
    Event.RUN_FAILED: LogReader._on_failed,
    Event.START_IN_DOUBT: LogReader._on_start_in_doubt,
    Event.LATENCY_OVER: LogReader._on_latency_over,
    Event.JOB_DECIDED: LogReader._on_decided,
}


def _parse_entry(line: bytes) -> dict[str, Any] | None:
    start = line.find(b"{")
    if start < 0:
        return None
    try:
        entry = orjson.loads(line[start:])
    except orjson.JSONDecodeError:
        return None
    if not isinstance(entry, dict) or not isinstance(entry.get("timestamp"), str):
        return None
    return entry if isinstance(entry.get("event"), int) else None


def _precedes(step: str, other: str) -> bool:
    """Return whether a step precedes another one of the same repetition."""
    repetition, _, index = step.partition(".")
    other_repetition, _, other_index = other.partition(".")
    return repetition == other_repetition and int(index or 0) < int(other_index or 0)


def _time_of(entry: dict[str, Any]) -> float:
    return datetime.fromisoformat(entry["timestamp"]).timestamp()
