"""Selection of the log lines that concern one job."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import orjson

_COMMON_FIELDS = (
    "timestamp",
    "level",
    "message",
    "event",
    "kind",
    "daemon",
    "host",
    "hall",
    "life",
    "job",
)
"""Fields that :class:`TraceLine` has attributes for, or that are the same in each line."""


@dataclass(frozen=True, slots=True)
class TraceLine:
    """A log line that concerns a job.

    Attributes:
        at: Time of day at which the host wrote the line.
        host: Host that wrote the line.
        hall: Hall of that host.
        event: Number of the event.
        kind: Name of the event.
        details: All other fields of the line.
    """

    at: str
    host: str
    hall: str
    event: int
    kind: str
    details: dict[str, Any]

    def __str__(self) -> str:
        details = " ".join(f"{key}={value}" for key, value in self.details.items())
        return f"{self.at} {self.host} {self.event} {self.kind} {details}"


def trace(job_id: str, lines: Iterable[bytes]) -> list[TraceLine]:
    """Return what hosts logged about a job, in order of the hosts' times of day.

    The result includes lines about the executors of the job's runs, such as their silence, end
    or quarantine, as these are often the cause of a problem. It also includes the lines of the
    owners that logged the job, such as their claims; an owner is identified by its shard and
    token.

    Args:
        job_id: The id that the caller gave the job.
        lines: Lines of any hosts' logs; text before the JSON object of a line is ignored.
    """
    entries = list(_parse_entries(lines))
    job_entries = [entry for entry in entries if entry.get("job") == job_id]
    executors = {name for entry in job_entries for name in _executors_of(entry)}
    owners = {_owner_of(entry) for entry in job_entries} - {None}
    selected = job_entries + [
        entry
        for entry in entries
        if "job" not in entry
        and "percent" not in entry
        and (entry.get("executor") in executors or _owner_of(entry) in owners)
    ]
    selected.sort(key=lambda entry: str(entry.get("timestamp", "")))
    return [_trace_line(entry) for entry in selected]


def _parse_entries(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            entry = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(entry, dict) and "event" in entry:
            yield entry


def _owner_of(entry: dict[str, Any]) -> tuple[str, str] | None:
    """Return the shard and token of a line, or ``None`` if it lacks one of them."""
    if "shard" not in entry or "token" not in entry:
        return None
    return str(entry["shard"]), str(entry["token"])


def _executors_of(entry: dict[str, Any]) -> Iterator[str]:
    if "executor" in entry:
        yield str(entry["executor"])
    runs = entry.get("runs")
    if isinstance(runs, dict):
        yield from map(str, runs.values())


def _trace_line(entry: dict[str, Any]) -> TraceLine:
    return TraceLine(
        at=str(entry.get("timestamp", "")),
        host=str(entry.get("host", "")),
        hall=str(entry.get("hall", "")),
        event=int(entry["event"]),
        kind=str(entry.get("kind", "")),
        details={key: value for key, value in entry.items() if key not in _COMMON_FIELDS},
    )
