"""Renders the sums of a report as text tables."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from linkspan.report.reader import JobTimes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from linkspan.report._intervals import Cause
    from linkspan.report.reader import LogReader


def render(reader: LogReader) -> str:
    """Return the report with tables by queue, hall and time span, followed by other totals."""
    first = min((span for _, _, span in reader.times), default=0.0)
    parts = [
        _table("queue", reader, lambda key: key[0]),
        _table("hall", reader, lambda key: key[1]),
        _table("from second", reader, lambda key: f"{key[2] - first:.0f}"),
        _totals(reader),
    ]
    return "\n\n".join(parts)


def _table(title: str, reader: LogReader, group: Callable[[tuple[str, str, float]], str]) -> str:
    sums: defaultdict[str, JobTimes] = defaultdict(JobTimes)
    for key in sorted(reader.times, key=lambda key: key[2]):
        total, part = sums[group(key)], reader.times[key]
        total.jobs.update(part.jobs)
        total.seconds.update(part.seconds)
        total.over_objective += part.over_objective
    causes = _causes(sums.values())
    names = [f"{cause.value}: {detail}" if detail else cause.value for cause, detail in causes]
    lines = [" | ".join([title, "jobs", "not succeeded", "over objective", "seconds", *names])]
    for name, times in sums.items():
        jobs = times.jobs.total()
        cells = [name, str(jobs), str(jobs - times.jobs["succeeded"]), str(times.over_objective)]
        cells.append(f"{sum(times.seconds.values()):.0f}")
        cells += [f"{times.seconds[cause]:.0f}" for cause in causes]
        lines.append(" | ".join(cells))
    return "\n".join(lines)


def _causes(sums: Iterable[JobTimes]) -> list[tuple[Cause, str]]:
    seconds: Counter[tuple[Cause, str]] = Counter()
    for times in sums:
        seconds.update(times.seconds)
    return sorted(seconds, key=lambda cause: -seconds[cause])


def _totals(reader: LogReader) -> str:
    lines = [f"jobs without a read end: {reader.open_jobs}", f"bad lines: {reader.bad_lines}"]
    lines += [f"refused, {reason}: {n}" for reason, n in reader.refused.most_common()]
    lines += [
        f"standing tasks over target, {hall}: {seconds:.0f} s"
        for hall, seconds in sorted(reader.over_s.items())
    ]
    return "\n".join(lines)
