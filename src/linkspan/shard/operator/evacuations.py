"""The evacuations of halls that are in force."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.events import Event
from linkspan.model.evacuation import Evacuation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from linkspan.events import EventLog
    from linkspan.store.types import Entry


class EvacuationWatch:
    """Source of the evacuations that the operator has asked for and not withdrawn.

    A record under a hall's key begins or continues its evacuation, whatever the record says: the
    key names the hall. A record without a value ends it, and so does a snapshot of all keys that
    does not hold the key. While the store does not answer, the last state that was read holds.

    Args:
        halls: All halls of the deployment.
        hall_of: Returns the hall whose evacuation a key stands for, ``None`` for other keys.
        log: Event log.
    """

    def __init__(
        self, halls: Iterable[str], hall_of: Callable[[bytes], str | None], log: EventLog
    ) -> None:
        self._halls = frozenset(halls)
        self._hall_of = hall_of
        self._log = log
        self._current: Mapping[str, Evacuation] = MappingProxyType({})
        self._listeners: list[Callable[[frozenset[str]], None]] = []

    def __repr__(self) -> str:
        return f"EvacuationWatch({sorted(self._current)})"

    @property
    def current(self) -> Mapping[str, Evacuation]:
        """The evacuations in force, by hall."""
        return self._current

    def of(self, hall: str) -> Evacuation | None:
        """Return the evacuation of a hall, ``None`` if the hall is not evacuated."""
        return self._current.get(hall)

    def subscribe(self, listener: Callable[[frozenset[str]], None]) -> Callable[[], None]:
        """Call a listener with the halls of each change; return a function that unsubscribes it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def apply(self, entries: Iterable[Entry], unread_s: float) -> None:
        """Apply records of the operator.

        Args:
            entries: The records, in order of their offsets.
            unread_s: Time for which they lay in the store before, at most, in seconds.
        """
        self._set(self._after(self._current, entries, unread_s))

    def reset(self, entries: Iterable[Entry], unread_s: float) -> None:
        """Apply a snapshot of all keys.

        Args:
            entries: The newest record of each key, in order of their offsets.
            unread_s: Time for which they lay in the store before, at most, in seconds.
        """
        in_force = self._after({}, entries, unread_s)
        self._set({hall: self._current.get(hall, found) for hall, found in in_force.items()})

    def _after(
        self, evacuations: Mapping[str, Evacuation], entries: Iterable[Entry], unread_s: float
    ) -> dict[str, Evacuation]:
        """Return the evacuations in force after some records."""
        changed = dict(evacuations)
        for hall, entry in self._evacuation_entries(entries):
            if not entry.value:
                changed.pop(hall, None)
            elif hall not in changed:
                changed[hall] = Evacuation(hall, entry.offset, steady(), unread_s)
        return changed

    def _evacuation_entries(self, entries: Iterable[Entry]) -> Iterable[tuple[str, Entry]]:
        for entry in entries:
            hall = self._hall_of(entry.key)
            if hall is None:
                continue
            if hall in self._halls:
                yield hall, entry
            else:
                self._log.write(
                    Event.RECORD_SKIPPED, offset=entry.offset, error=f"unknown hall {hall!r:.60}"
                )

    def _set(self, evacuations: dict[str, Evacuation]) -> None:
        former = self._current
        if evacuations == former:
            return
        self._current = MappingProxyType(evacuations)
        self._log_changes(former)
        halls = former.keys() | evacuations.keys()
        changed = frozenset(h for h in halls if former.get(h) != evacuations.get(h))
        for listener in list(self._listeners):
            listener(changed)

    def _log_changes(self, former: Mapping[str, Evacuation]) -> None:
        now = steady()
        for hall, ended in former.items():
            if self._current.get(hall) != ended:
                lasted_s = round(now - ended.read_at, 2)
                self._log.write(
                    Event.EVACUATION_ENDED, evacuated=hall, offset=ended.offset, lasted_s=lasted_s
                )
        for hall, begun in self._current.items():
            if former.get(hall) != begun:
                self._log.write(Event.EVACUATION_IN_FORCE, evacuated=hall, **begun.log_fields(now))
