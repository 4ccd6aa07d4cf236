"""Tests which evacuations hold after which records of the operator."""

from __future__ import annotations

from typing import Any

from linkspan.events import Event
from linkspan.platform.records import evacuated_hall_from_wire
from linkspan.shard.operator.evacuations import EvacuationWatch
from linkspan.store.types import Entry

HALLS = ("east", "west", "north")


class _Log:
    def __init__(self) -> None:
        self.lines: list[tuple[Event, dict[str, Any]]] = []

    def write(self, event: Event, **fields: Any) -> None:
        self.lines.append((event, fields))

    def events(self) -> list[Event]:
        return [event for event, _ in self.lines]


def watch(log: _Log | None = None) -> EvacuationWatch:
    return EvacuationWatch(HALLS, evacuated_hall_from_wire, log or _Log())  # type: ignore[arg-type]


def begins(offset: int, hall: str, value: bytes = b"{}") -> Entry:
    return Entry(offset, value, f"evacuate/{hall}".encode())


def ends(offset: int, hall: str) -> Entry:
    return begins(offset, hall, b"")


CONFIGURATION = Entry(0, b'{"version":1}', b"config")


def test_a_record_begins_an_evacuation_and_one_without_a_value_ends_it() -> None:
    evacuations = watch()
    evacuations.apply([CONFIGURATION, begins(1, "east")], 0.0)
    assert set(evacuations.current) == {"east"}
    found = evacuations.of("east")
    assert found and found.offset == 1
    evacuations.apply([ends(2, "east")], 0.0)
    assert evacuations.of("east") is None


def test_any_number_of_halls_is_evacuated_at_once() -> None:
    evacuations = watch()
    evacuations.apply([begins(n, hall) for n, hall in enumerate(HALLS)], 0.0)
    assert set(evacuations.current) == set(HALLS)
    evacuations.apply([ends(9, "west")], 0.0)
    assert set(evacuations.current) == {"east", "north"}


def test_what_the_record_says_does_not_matter() -> None:
    """The key says all that is needed, so an evacuation whose body is unreadable counts, too."""
    for value in (b"{}", b"not json", b"\xff\xfe", b"[1,2]", b"null"):
        evacuations = watch()
        evacuations.apply([begins(1, "east", value)], 0.0)
        assert set(evacuations.current) == {"east"}


def test_an_unknown_hall_is_logged_and_changes_nothing() -> None:
    log = _Log()
    evacuations = watch(log)
    names = (b"evacuate/south", b"evacuate/", b"evacuate/\xff", b"evacuate", b"evacuate/east/2")
    evacuations.apply([Entry(n, b"{}", name) for n, name in enumerate(names)], 0.0)
    assert evacuations.current == {}
    assert log.events() == [Event.RECORD_SKIPPED] * 4


def test_a_snapshot_without_the_key_ends_an_evacuation() -> None:
    """The record that withdrew it may be gone from the log when it is read again."""
    evacuations = watch()
    evacuations.apply([begins(1, "east"), begins(2, "west")], 0.0)
    evacuations.reset([CONFIGURATION, begins(2, "west")], 0.0)
    assert set(evacuations.current) == {"west"}


def test_a_snapshot_holds_a_key_that_was_removed_while_it_was_read() -> None:
    evacuations = watch()
    evacuations.reset([begins(1, "east"), begins(2, "west"), ends(3, "east")], 0.0)
    assert set(evacuations.current) == {"west"}


def test_a_repeated_record_continues_an_evacuation() -> None:
    log = _Log()
    evacuations = watch(log)
    evacuations.apply([begins(1, "east")], 0.0)
    first = evacuations.of("east")
    evacuations.apply([begins(2, "east", b'{"again":true}')], 0.0)
    evacuations.reset([begins(2, "east", b'{"again":true}')], 0.0)
    assert evacuations.of("east") == first
    assert log.events() == [Event.EVACUATION_IN_FORCE]


def test_listeners_hear_of_the_halls_that_changed() -> None:
    evacuations = watch()
    heard: list[frozenset[str]] = []
    unsubscribe = evacuations.subscribe(heard.append)
    evacuations.apply([begins(1, "east")], 0.0)
    evacuations.apply([begins(2, "west"), ends(3, "east")], 0.0)
    evacuations.apply([CONFIGURATION], 0.0)
    unsubscribe()
    evacuations.apply([ends(4, "west")], 0.0)
    assert heard == [{"east"}, {"east", "west"}]


def test_an_evacuation_that_ends_and_begins_between_two_reads_is_a_new_one() -> None:
    evacuations = watch()
    evacuations.apply([begins(1, "east")], 0.0)
    evacuations.apply([ends(2, "east"), begins(3, "east")], 0.0)
    found = evacuations.of("east")
    assert found and found.offset == 3


def test_lines_tell_hall_offset_and_age() -> None:
    log = _Log()
    evacuations = watch(log)
    evacuations.apply([begins(7, "east")], 0.25)
    evacuations.reset([begins(8, "west")], float("inf"))
    begun, ended, at_start = log.lines
    assert begun[0] is Event.EVACUATION_IN_FORCE
    assert begun[1] == {"evacuated": "east", "offset": 7, "age_s": 0.25}
    assert ended[0] is Event.EVACUATION_ENDED
    assert ended[1]["evacuated"] == "east" and ended[1]["offset"] == 7
    assert at_start[1] == {"evacuated": "west", "offset": 8}
