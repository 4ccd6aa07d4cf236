"""Writes events as JSON lines, with a rate limit for each event."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any, Generic, Protocol, TextIO, TypeVar

from pythonjsonlogger.orjson import OrjsonFormatter, orjson_default

from linkspan._dropping_stream import DroppingStream
from linkspan.clock import steady

FLOOD_PER_S = 200
"""Maximum number of lines per second of one event; further lines are only counted."""


class LoggedEvent(Protocol):
    """What a line shows of its event."""

    @property
    def name(self) -> str:
        """Name of the event, in upper case."""

    @property
    def number(self) -> int:
        """Number of the event."""

    @property
    def level(self) -> int:
        """Level of the line, as in :mod:`logging`."""

    @property
    def text(self) -> str:
        """Message of the line."""


E = TypeVar("E", bound=LoggedEvent)


class _LineFormatter(OrjsonFormatter):
    """Formats lines as JSON, including those with fields that the fast encoder rejects."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        try:
            return super().jsonify_log_record(log_data)
        except TypeError:
            # The line contains a number of more than 64 bits or text that is not valid UTF-8.
            return json.dumps(log_data, default=_to_json_value)


def _to_json_value(value: Any) -> Any:
    """Return a JSON representation for a value of a type that the encoder does not support."""
    return list(value) if isinstance(value, tuple) else orjson_default(value)


class EventWriter(Generic[E]):
    """Writes events as JSON lines, with a rate limit for each event.

    Args:
        daemon: Name of the daemon, which every line contains.
        flood: Event of a line that counts suppressed lines of another event.
        dropped: Event of a line that counts lines which the stream dropped.
        level: Lowest level that is written.
        stream: Stream to write to, ``stderr`` or ``stdout``.
    """

    def __init__(
        self, daemon: str, *, flood: E, dropped: E, level: str = "info", stream: str = "stderr"
    ) -> None:
        self._flood = flood
        self._dropped = dropped
        self._logger = logging.getLogger(f"linkspan.{daemon}")
        self._logger.setLevel(level.upper())
        self._logger.propagate = False
        self._stream = _stream(stream)
        self._logger.handlers = [_handler(self._stream)]
        self._bound_fields = {"daemon": daemon}
        self._second = 0
        self._lines_by_event: dict[E, int] = {}

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._bound_fields['daemon']!r})"

    def bind(self, **common: Any) -> None:
        """Add fields to all later lines."""
        self._bound_fields.update(common)

    def write(self, event: E, **details: Any) -> None:
        """Write a line, unless the event has reached its limit for the current second."""
        second = int(steady())
        if second != self._second:
            self._report_flood()
            self._report_dropped()
            self._second = second
        count = self._lines_by_event[event] = self._lines_by_event.get(event, 0) + 1
        if count <= FLOOD_PER_S:
            self._emit(event, details)

    def _report_flood(self) -> None:
        for event, count in self._lines_by_event.items():
            if count > FLOOD_PER_S:
                left_out = {"of": event.number, "left_out": count - FLOOD_PER_S}
                self._emit(self._flood, left_out)
        self._lines_by_event.clear()

    def _report_dropped(self) -> None:
        dropped = self._stream.take_dropped() if isinstance(self._stream, DroppingStream) else 0
        if dropped:
            self._emit(self._dropped, {"lines": dropped})

    def _emit(self, event: E, details: dict[str, Any]) -> None:
        # The fields of the event come first, as log viewers truncate long lines.
        kind = {"event": event.number, "kind": event.name.lower()}
        extra = {**kind, **details, **self._bound_fields, **details}
        logger = self._logger
        if logger.isEnabledFor(event.level):
            # Handling the record directly saves the lookup of the caller's location, which no line
            # contains.
            logger.handle(
                logger.makeRecord(
                    logger.name, event.level, "", 0, event.text, (), None, extra=extra
                )
            )


def _stream(name: str) -> DroppingStream | TextIO:
    """Return the stream with a name; writes to standard output never block."""
    return DroppingStream(sys.stdout.fileno()) if name == "stdout" else sys.stderr


def _handler(stream: DroppingStream | TextIO) -> logging.Handler:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        _LineFormatter(
            "%(levelname)s %(message)s",
            timestamp=True,
            rename_fields={"levelname": "level"},
            json_default=_to_json_value,
        )
    )
    return handler
