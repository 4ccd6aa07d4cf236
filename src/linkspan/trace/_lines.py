"""Lines of hosts' logs that concern one job."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import orjson

_HEAD = ("timestamp", "level", "message", "event", "kind", "daemon", "host", "hall", "life", "job")
"""Fields that are shown apart, or are the same in each line."""


@dataclass(frozen=True, slots=True)
class TraceLine:
    """A log line that concerns a job.

    Attributes:
        at: When it was written, by the host's time of day.
        host: Host that wrote it.
        hall: Hall of that host.
        event: Number of the event.
        kind: Name of the event.
        details: Everything else that it says.
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
    """Return what hosts logged of a job, in order of their times of day.

    Lines that name an executor of the job's runs as silent, gone or distrusted are
    shown, too: they often are the cause. So are the claims of the owners that named
    the job, each told by its shard and token.

    Args:
        job_id: The caller's id of the job.
        lines: Lines of any hosts' logs; anything before a line's object is ignored.
    """
    entries = list(_entries(lines))
    own = [entry for entry in entries if entry.get("job") == job_id]
    executors = {name for entry in own for name in _executors(entry)}
    owners = {_owner(entry) for entry in own} - {None}
    found = own + [
        entry
        for entry in entries
        if "job" not in entry
        and "percent" not in entry
        and (entry.get("executor") in executors or _owner(entry) in owners)
    ]
    found.sort(key=lambda entry: str(entry.get("timestamp", "")))
    return [_line(entry) for entry in found]


def _entries(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
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


def _owner(entry: dict[str, Any]) -> tuple[str, str] | None:
    """Return the shard and token that a line names, if it names both."""
    if "shard" not in entry or "token" not in entry:
        return None
    return str(entry["shard"]), str(entry["token"])


def _executors(entry: dict[str, Any]) -> Iterator[str]:
    if "executor" in entry:
        yield str(entry["executor"])
    runs = entry.get("runs")
    if isinstance(runs, dict):
        yield from map(str, runs.values())


def _line(entry: dict[str, Any]) -> TraceLine:
    return TraceLine(
        at=str(entry.get("timestamp", "")),
        host=str(entry.get("host", "")),
        hall=str(entry.get("hall", "")),
        event=int(entry["event"]),
        kind=str(entry.get("kind", "")),
        details={key: value for key, value in entry.items() if key not in _HEAD},
    )
