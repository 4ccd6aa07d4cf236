"""A log that keeps its lines, in place of one that prints them."""

from __future__ import annotations

import asyncio
from typing import Any


class Lines:
    """Log that keeps what is written."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, str, dict[str, Any]]] = []

    def write(self, event: Any, **fields: Any) -> None:
        now = asyncio.get_running_loop().time()
        self.lines.append((now, event.name, fields))

    def named(self, name: str) -> list[dict[str, Any]]:
        return [fields for _, event, fields in self.lines if event == name]
