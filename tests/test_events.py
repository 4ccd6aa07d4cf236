"""Checks the catalogue of events, the rate limit of log lines, and the fields of a line."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from linkspan import _event_writer
from linkspan.events import Event, EventLog, catalogue
from linkspan.shard.messages import EndKind, TaskName

DOCS = Path(__file__).resolve().parents[1] / "docs"


def test_event_numbers_are_unique() -> None:
    assert len({event.number for event in Event}) == len(Event)


def test_the_page_of_events_is_up_to_date() -> None:
    assert (DOCS / "EVENTS.md").read_text() == catalogue()


def test_a_flood_of_one_event_is_limited_and_counted(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 100.0
    monkeypatch.setattr(_event_writer, "steady", lambda: now)
    log = EventLog("test")
    for n in range(_event_writer.FLOOD_PER_S + 50):
        log.write(Event.ROUTED, n=n)
    now = 101.0
    log.write(Event.STOPPED)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert len(lines) == _event_writer.FLOOD_PER_S + 2
    flood = lines[-2]
    assert (flood["event"], flood["of"], flood["left_out"]) == (106, 300, 50)
    assert lines[0]["kind"] == "routed" and lines[0]["daemon"] == "test"


def test_lines_hold_fields_of_all_types(capsys: pytest.CaptureFixture[str]) -> None:
    log = EventLog("test")
    fields = {
        "number": 2**70,
        "task": TaskName("job", 0, 1, 2),
        "kind_of_end": EndKind.DONE,
        "runs": {1: "a", "b": None},
        "text": "caf\u00e9 \ud800",
        "pairs": [(1, 2.5)],
    }
    for name, value in fields.items():
        log.write(Event.STOPPED, **{name: value})
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    shown = [line[name] for name, line in zip(fields, lines, strict=True)]
    assert shown == [
        2**70,
        ["job", 0, 1, 2],
        "done",
        {"1": "a", "b": None},
        "caf\u00e9 \ud800",
        [[1, 2.5]],
    ]
    assert all(line["level"] == "INFO" and line["timestamp"] for line in lines)


def test_event_fields_precede_and_override_fields_of_the_writer(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Checks that a line cut off at its end still holds the fields of its event."""
    log = EventLog("test")
    log.bind(host="edge-1", hall="east", life="a0")
    log.write(Event.RUN_FAILED, job="00aa", failures=1, most=3, hall="west")
    line = json.loads(capsys.readouterr().err)
    names = list(line)
    assert names.index("most") < names.index("daemon")
    assert line["hall"] == "west", "a field of the event overrides the bound field of the same name"
