"""Tests that what a hall publishes about its load arrives at other hosts."""

from __future__ import annotations

from unittest.mock import patch

import pytest

from linkspan._typed import MAX_EXACT_INT, parse_int
from linkspan.errors import RecordError
from linkspan.shard.executor_speed import ExecutorSpeed
from linkspan.shard.handover import summary as summary_module
from linkspan.shard.handover.backlog import Backlog
from linkspan.shard.handover.sought_room import SoughtRoom
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord

BACKLOG = Backlog("short", 4_000, 96_000, 12_500.5, 6, 1.25)
SOUGHT = SoughtRoom("pool", "rack-1", 4_000, 16_000, 1)
SPEED = ExecutorSpeed("executor-1", 6.7, 4.5)


def test_backlogs_and_speeds_are_read_as_published() -> None:
    """Guards against a field that one side writes and the other reads in another place."""
    summary = HallSummary(capacity=1, backlogs=(BACKLOG,), speeds=(SPEED,))
    assert HallSummary.decode(summary.encode()) == summary


def test_sought_room_is_read_as_published() -> None:
    """Guards against halls that tell of no room because they misread what others seek."""
    record = OwnerRecord(OwnerAct.RENEW, "host", "life", 1, 1, HallSummary(sought=(SOUGHT,)))
    read = OwnerRecord.decode(record.encode()).summary
    assert read is not None
    assert read.sought == (SOUGHT,)


def test_a_summary_of_an_earlier_version_seeks_no_room() -> None:
    """Guards against a summary that is not read because it lacks what was appended since."""
    fields = HallSummary(capacity=1, sought=(SOUGHT,)).encode()
    assert HallSummary.decode(fields[:15]) == HallSummary(capacity=1)


def test_rows_of_a_later_version_are_read() -> None:
    """Guards against a renewal that is skipped because a later version appends to a row."""
    fields = HallSummary(capacity=1).encode()
    fields[12:] = [
        [[*BACKLOG.encode(), "more"]],
        [[*SPEED.encode(), "more"]],
        [[1, 4_000, 16_000, 2, "more"]],
        [[*SOUGHT, "more"]],
    ]
    assert HallSummary.decode(fields) == HallSummary(
        capacity=1,
        backlogs=(BACKLOG,),
        speeds=(SPEED,),
        headroom=((1, 4_000, 16_000, 2),),
        sought=(SOUGHT,),
    )


@pytest.mark.parametrize(
    "row", [["short", 4_000, -1, 1.0, 0, 0.0], ["short"], ["short", 1, 1, None, 0, 0.0], 7]
)
def test_a_malformed_backlog_is_an_error_of_the_record(row: object) -> None:
    """Guards against an error other than the one by which readers skip a record."""
    fields = HallSummary(capacity=1).encode()
    fields[12] = [row]
    with pytest.raises(RecordError):
        HallSummary.decode(fields)


ROOMS = [
    ([4_000, 16_000], (4_000, 16_000)),
    ([-1, -MAX_EXACT_INT], (-1, -MAX_EXACT_INT)),
    ([1.9, -2.5, 3.0], (1, -2, 3)),
    ([1, 2, 3, "more"], (1, 2, 3)),
    ([1], None),
    ([1, True], None),
    ([1, "2"], None),
    ([1, MAX_EXACT_INT + 1], None),
    ([-MAX_EXACT_INT - 1, 1], None),
]


@pytest.mark.parametrize(("row", "room"), ROOMS)
def test_rows_of_executors_are_read_or_refused(row: list[object], room: object) -> None:
    """Guards against a quick check of rows that takes what the full one refuses."""
    fields = HallSummary(capacity=1, free_by_executor=((1, 1), (1, 1))).encode()
    fields[6] = [[1, 1], row]
    if room is not None:
        assert HallSummary.decode(fields).free_by_executor == ((1, 1), room)
        return
    with pytest.raises(RecordError):
        HallSummary.decode(fields)


def test_whole_numbers_of_rows_need_no_second_check() -> None:
    """Guards against a cost of each summary at each host that is twice what it must be."""
    rows = tuple((cpu, 16_000) for cpu in range(100))
    fields = HallSummary(capacity=1, free_by_executor=rows).encode()
    with patch.object(summary_module, "parse_int", wraps=parse_int) as checks:
        assert HallSummary.decode(fields).free_by_executor == rows
    assert checks.call_count <= 10
