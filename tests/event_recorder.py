"""An event log that keeps its lines in memory."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import Any

from tests.virtual_time import HOST, world_time


class EventRecorder:
    """Event log that keeps each event with its time and the host that wrote it."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, str, dict[str, Any]]] = []
        self.writers: list[str] = []

    def write(self, event: Any, **fields: Any) -> None:
        now = world_time()
        self.lines.append((now, event.name, fields))
        self.writers.append(HOST.get().partition(" ")[0])

    def named(self, name: str) -> list[dict[str, Any]]:
        return [fields for _, event, fields in self.lines if event == name]

    def as_log(self) -> list[bytes]:
        """Return the events as log lines, each with the host that wrote it."""
        return [
            json.dumps(
                {
                    "timestamp": datetime.fromtimestamp(at, UTC).isoformat(),
                    "event": 0,
                    "kind": event.lower(),
                    "host": host,
                    **fields,
                },
                default=str,
            ).encode()
            for (at, event, fields), host in zip(self.lines, self.writers, strict=True)
        ]
