"""Reads the logs of all hosts and adds up what the jobs' time went to."""

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
"""Length of the spans of time by which jobs are added up, in seconds."""

MAX_OPEN_JOBS = 50_000
"""Jobs that are kept in memory until their end is read; the oldest beyond that are
counted as open. A kilobyte each, so 50 MB."""

_EVENTS = {event.number: event for event in Event}


@dataclass(slots=True)
class _OpenJob:
    """What was read of a job that has not ended.

    Attributes:
        asked: Time of its first line.
        accepted: Time of its acceptance, ``None`` before.
        queue: Its queue.
        intervals: What its time went to, as far as known.
        lacking: What each step waits for, by step.
        failed: Time of the first failure of a run, by step that may have runs to repeat.
    """

    asked: float
    accepted: float | None = None
    queue: str = ""
    intervals: list[Interval] = field(default_factory=list)
    lacking: dict[str, str] = field(default_factory=dict)
    failed: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class JobTimes:
    """Sums over the jobs of one queue, hall and span of time.

    Attributes:
        jobs: Jobs that ended, by final state.
        seconds: Their time by cause and detail.
        over_objective: Jobs that succeeded later than their objective, as estimated.
    """

    jobs: Counter[str] = field(default_factory=Counter)
    seconds: Counter[tuple[Cause, str]] = field(default_factory=Counter)
    over_objective: int = 0


class LogReader:
    """Adds up log lines of any hosts, given in the order of their times.

    Attributes:
        times: Sums by queue, hall and beginning of the span.
        over_s: Seconds that standing tasks were over their latency target, by hall.
        refused: Jobs refused, by reason.
        bad_lines: Lines that were no log lines.
        open_jobs: Jobs whose end was not read.
    """

    def __init__(self) -> None:
        self.times: defaultdict[tuple[str, str, float], JobTimes] = defaultdict(JobTimes)
        self.over_s: defaultdict[str, float] = defaultdict(float)
        self.refused: Counter[str] = Counter()
        self.bad_lines = 0
        self._jobs: dict[str, _OpenJob] = {}
        self._dropped = 0

    def __repr__(self) -> str:
        return f"LogReader({len(self.times)} sums, {self.open_jobs} open)"

    @property
    def open_jobs(self) -> int:
        """Jobs whose end was not read."""
        return len(self._jobs) + self._dropped

    def read(self, lines: Iterable[bytes]) -> None:
        """Take in lines; what stands before a line's object is ignored."""
        for line in lines:
            entry = _entry(line)
            if entry is None:
                self.bad_lines += bool(line.strip())
                continue
            handler = _HANDLERS.get(_EVENTS.get(entry["event"]))
            if handler:
                handler(self, entry, _time(entry))

    def _job(self, entry: dict[str, Any], at: float) -> _OpenJob:
        job = self._jobs.get(entry["job"])
        if job is None:
            job = self._jobs[entry["job"]] = _OpenJob(at)
            if len(self._jobs) > MAX_OPEN_JOBS:
                self._jobs.pop(next(iter(self._jobs)))
                self._dropped += 1
        return job

    def _on_refused(self, entry: dict[str, Any], at: float) -> None:
        self.refused[str(entry.get("reason"))] += 1
        self._job(entry, at)

    def _on_accepted(self, entry: dict[str, Any], at: float) -> None:
        job = self._job(entry, at)
        if job.accepted is None:
            job.accepted = at
            job.queue = str(entry.get("queue", ""))
            job.intervals.append(Interval(job.asked, at, Cause.NOT_ACCEPTED))

    def _on_blocked(self, entry: dict[str, Any], at: float) -> None:
        against = entry.get("against") or {"not told": 1}
        lacking = max(against, key=lambda reason: against[reason])
        self._job(entry, at).lacking[str(entry.get("step"))] = lacking

    def _on_placed(self, entry: dict[str, Any], at: float) -> None:
        job, step = self._job(entry, at), str(entry.get("step"))
        waited = float(entry.get("waited_s", 0.0))
        job.intervals.append(
            Interval(at - waited, at, Cause.WAITING, job.lacking.get(step, "next plan"))
        )
        for failed in [other for other in job.failed if _precedes(other, step)]:
            # A step whose successor is ready has no runs to repeat.
            job.intervals.append(Interval(job.failed.pop(failed), at - waited, Cause.RUN_AGAIN))

    def _on_failed(self, entry: dict[str, Any], at: float) -> None:
        step = str(entry.get("task", "")).rpartition(".")[0]
        self._job(entry, at).failed.setdefault(step, at)

    def _on_doubt(self, entry: dict[str, Any], at: float) -> None:
        # The start was called a second before the line: that is its time-out.
        self._job(entry, at).intervals.append(Interval(at - 1.0, at, Cause.IN_DOUBT))

    def _on_over(self, entry: dict[str, Any], at: float) -> None:
        self.over_s[str(entry.get("hall", ""))] += float(entry.get("over_s", 0.0))

    def _on_decided(self, entry: dict[str, Any], at: float) -> None:
        job = self._jobs.pop(entry["job"], None)
        if job is None:
            return
        queue = str(entry.get("queue") or job.queue)
        span = job.asked // SPAN_S * SPAN_S
        times = self.times[(queue, str(entry.get("hall", "")), span)]
        state = str(entry.get("state", ""))
        times.jobs[state] += 1
        objective = entry.get("objective_s")
        if state == "succeeded" and objective is not None and at - job.asked > objective:
            times.over_objective += 1
        job.intervals += [Interval(t, at, Cause.RUN_AGAIN) for t in job.failed.values()]
        times.seconds.update(split(job.intervals, job.asked, at))


_HANDLERS: dict[Event | None, Callable[[LogReader, dict[str, Any], float], None]] = {
    Event.JOB_REFUSED: LogReader._on_refused,
    Event.JOB_ACCEPTED: LogReader._on_accepted,
    Event.STEP_BLOCKED: LogReader._on_blocked,
    Event.STEP_PLACED: LogReader._on_placed,
    Event.RUN_FAILED: LogReader._on_failed,
    Event.START_IN_DOUBT: LogReader._on_doubt,
    Event.LATENCY_OVER: LogReader._on_over,
    Event.JOB_DECIDED: LogReader._on_decided,
}


def _entry(line: bytes) -> dict[str, Any] | None:
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
    """Whether a step is an earlier one of the same repetition."""
    repetition, _, index = step.partition(".")
    other_repetition, _, other_index = other.partition(".")
    return repetition == other_repetition and int(index or 0) < int(other_index or 0)


def _time(entry: dict[str, Any]) -> float:
    return datetime.fromisoformat(entry["timestamp"]).timestamp()
