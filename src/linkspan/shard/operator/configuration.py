"""The configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.errors import RecordError
from linkspan.events import Event
from linkspan.model.configuration import RequestLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from linkspan.events import EventLog
    from linkspan.model.configuration import Configuration
    from linkspan.store.types import Entry


_DEFAULT_LIMITS = RequestLimits()


class ConfigurationWatch:
    """Source of the newest configuration that the operator has published.

    Args:
        key: Key of the configuration.
        decode: Decodes the configuration.
        log: Event log.
    """

    def __init__(self, key: bytes, decode: Callable[[bytes], Configuration], log: EventLog) -> None:
        self._key = key
        self._decode = decode
        self._log = log
        self._current: Configuration | None = None
        self._listeners: list[Callable[[Configuration], None]] = []

    def __repr__(self) -> str:
        return f"ConfigurationWatch({self._current and self._current.version})"

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, ``None`` before the first."""
        return self._current

    @property
    def limits(self) -> RequestLimits:
        """The limits on each request in force, the default ones before the first configuration."""
        return self._current.limits if self._current else _DEFAULT_LIMITS

    def subscribe(self, listener: Callable[[Configuration], None]) -> Callable[[], None]:
        """Call a listener with each new configuration; return a function that unsubscribes it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def apply(self, entries: Iterable[Entry]) -> None:
        """Apply records of the operator, in order of their offsets."""
        newest = [entry for entry in entries if entry.key == self._key and entry.value]
        if newest:
            self._activate(newest[-1])

    def _activate(self, entry: Entry) -> None:
        try:
            configuration = self._decode(entry.value)
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, offset=entry.offset, error=str(error))
            return
        if self._current and configuration.version <= self._current.version:
            return
        self._current = configuration
        self._log.write(
            Event.CONFIG_IN_FORCE,
            version=configuration.version,
            queues=len(configuration.queues),
            offset=entry.offset,
        )
        for listener in list(self._listeners):
            listener(configuration)
