"""An append-only log in memory, with faults for tests to switch on."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from linkspan.errors import LogGap, LogUnavailable
from linkspan.services.ports import LogEntry, LogPage


@dataclass
class LogFaults:
    """Faults, as switches, as probabilities from 0 to 1, or as seconds."""

    down: bool = False
    append_lost: float = 0.0
    answer_lost: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0


@dataclass
class FakeLog:
    """Streams of records, each limited to its newest ``retention`` records unless that is 0."""

    seed: int = 0
    retention: int = 0
    faults: LogFaults = field(default_factory=LogFaults)
    streams: dict[str, list[bytes]] = field(default_factory=dict)
    firsts: dict[str, int] = field(default_factory=dict)
    appends: int = 0

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset. An answer is lost after the append is done."""
        faults = self.faults
        if faults.down or self._random.random() < faults.append_lost:
            raise LogUnavailable("stand-in: append lost")
        records = self.streams.setdefault(stream, [])
        records.append(body)
        self.appends += 1
        if self._random.random() < faults.duplicate:
            records.append(body)
        if self.retention:
            self.firsts[stream] = max(self.first(stream), len(records) - self.retention)
        if self._random.random() < faults.answer_lost:
            raise LogUnavailable("stand-in: answer lost")
        return len(records) - 1

    def first(self, stream: str) -> int:
        """Return the offset of the oldest retained record."""
        return self.firsts.get(stream, 0)

    def read(self, stream: str, start: int, most: int = 500) -> LogPage:
        """Return up to ``most`` records from the offset ``start`` on."""
        if self.faults.down:
            raise LogUnavailable("stand-in: log is down")
        if start < self.first(stream):
            raise LogGap(self.first(stream))
        records = self.streams.get(stream, [])
        entries = tuple(
            LogEntry(offset, records[offset])
            for offset in range(start, min(len(records), start + most))
        )
        return LogPage(entries, len(records))
