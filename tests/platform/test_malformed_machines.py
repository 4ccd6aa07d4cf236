"""Checks the machine service's list with malformed rows and pages.

An executor that two complete lists omit has ended. A malformed row or page may hide a live
executor, which must not count as ended. The well-formed rows of the list remain valid.
"""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from linkspan.errors import Unreachable
from linkspan.platform.machines import MachineClient
from linkspan.shard.machines import MachineRecord, MachineState, MachineWatch, UnreadMachines
from tests.fuzz.answers import FixedAnswer, FixedSession

WELL_FORMED: dict[str, Any] = {"machine": "m1", "pool": "s", "state": "up", "id": "e1"}
OTHER: dict[str, Any] = {"machine": "m2", "pool": "s", "state": "up", "id": "e2"}
KNOWN = {"e1", "e2"}

MALFORMED_WITH_ID = {
    "no machine": {"pool": "s", "state": "up", "id": "e1"},
    "number as machine": {**WELL_FORMED, "machine": 7},
    "no pool": {"machine": "m1", "state": "up", "id": "e1"},
    "list as pool": {**WELL_FORMED, "pool": ["s"]},
    "no state": {"machine": "m1", "pool": "s", "id": "e1"},
    "state that is not named": {**WELL_FORMED, "state": "retired"},
    "number as state": {**WELL_FORMED, "state": 0},
    "nothing else": {"id": "e1"},
}
"""Malformed rows with a readable executor id."""

MALFORMED = {
    "no row": 7,
    "nothing": None,
    "text": "m1",
    "list": ["m1", "s", "up", "e1"],
    "empty": {},
    "no id": {"machine": "m1", "pool": "s", "state": "up"},
    "no id while it is down": {"machine": "m1", "pool": "s", "state": "down"},
    "nothing as id": {**WELL_FORMED, "id": None},
    "number as id": {**WELL_FORMED, "id": 7},
    "false as id": {**WELL_FORMED, "id": False},
    "list as id": {**WELL_FORMED, "id": ["e1"]},
    "id that is no text": {**WELL_FORMED, "id": {"id": "e1"}},
    "odd state without an id": {**WELL_FORMED, "state": "retired", "id": ""},
}
"""Malformed rows without a readable executor id."""

IDLE = [
    {**WELL_FORMED, "id": ""},
    {**WELL_FORMED, "state": "moving", "id": ""},
    {**WELL_FORMED, "state": "down", "id": ""},
]
"""Well-formed rows of machines without an executor."""

MALFORMED_TOKENS = [7, 0, False, ["t"], [], {"t": 1}, {}, 1.5]


class PagedSession(FixedSession):
    """Answers each call with the next body of a sequence."""

    def __init__(self, *bodies: bytes) -> None:
        super().__init__(200, b"")
        self._bodies = list(bodies)

    def request(self, method: str, url: str, **_fields: Any) -> FixedAnswer:
        super().request(method, url)
        return FixedAnswer(200, self._bodies.pop(0))


def read(*pages: object) -> tuple[MachineRecord | UnreadMachines, ...]:
    session = PagedSession(*(orjson.dumps(page) for page in pages))
    return asyncio.run(MachineClient(session, "m").machines())  # type: ignore[arg-type]


def ended_after(*pages: object) -> set[str]:
    """Return the executors found to have ended after two lists of the same pages."""
    watch = MachineWatch()
    return set(watch.find_ended(read(*pages), KNOWN)) | set(watch.find_ended(read(*pages), KNOWN))


@pytest.mark.parametrize("kind", MALFORMED_WITH_ID)
def test_a_malformed_row_with_an_id_hides_only_its_executor(kind: str) -> None:
    page = {"machines": [MALFORMED_WITH_ID[kind], OTHER]}
    assert read(page) == (
        UnreadMachines("e1"),
        MachineRecord("m2", "s", MachineState.UP, "e2"),
    )
    assert ended_after(page) == set()
    # The row belongs to e1, so that the list still proves that e2 has ended.
    assert ended_after({"machines": [MALFORMED_WITH_ID[kind]]}) == {"e2"}


@pytest.mark.parametrize("kind", MALFORMED)
def test_after_a_malformed_row_without_an_id_no_executor_has_ended(kind: str) -> None:
    page = {"machines": [OTHER, MALFORMED[kind]]}
    assert read(page) == (MachineRecord("m2", "s", MachineState.UP, "e2"), UnreadMachines())
    assert ended_after(page) == set()


@pytest.mark.parametrize("row", IDLE)
def test_a_row_of_a_machine_without_an_executor_hides_no_end(row: dict[str, Any]) -> None:
    assert ended_after({"machines": [row, OTHER]}) == {"e1"}


@pytest.mark.parametrize("pool", ["", "of a later configuration"])
def test_a_row_of_an_unknown_service_is_well_formed(pool: str) -> None:
    """Checks that the list does not judge services: executors' entries define their service."""
    page = {"machines": [{**WELL_FORMED, "pool": pool}, OTHER]}
    assert ended_after(page) == set()
    assert ended_after({"machines": [{**WELL_FORMED, "pool": pool}]}) == {"e2"}


@pytest.mark.parametrize("token", MALFORMED_TOKENS)
def test_a_malformed_token_ends_the_list_as_incomplete(token: object) -> None:
    page = {"machines": [OTHER], "nextToken": token}
    assert read(page) == (MachineRecord("m2", "s", MachineState.UP, "e2"), UnreadMachines())
    assert ended_after(page) == set()


@pytest.mark.parametrize("token", [None, ""])
def test_an_empty_token_ends_the_list_as_complete(token: object) -> None:
    assert ended_after({"machines": [OTHER], "nextToken": token}) == {"e1"}


@pytest.mark.parametrize("rows", [None, 7, "m1", {"m1": WELL_FORMED}])
def test_a_page_without_readable_rows_leaves_the_other_pages_valid(rows: object) -> None:
    pages = {"machines": rows, "nextToken": "t"}, {"machines": [OTHER]}
    assert read(*pages) == (UnreadMachines(), MachineRecord("m2", "s", MachineState.UP, "e2"))
    assert ended_after(*pages) == set()


@pytest.mark.parametrize("page", [None, 7, "m1", [WELL_FORMED]])
def test_an_answer_that_is_not_a_page_makes_the_service_unreachable(page: object) -> None:
    with pytest.raises(Unreachable):
        read(page)
    with pytest.raises(Unreachable):
        read({"machines": [WELL_FORMED], "nextToken": "t"}, page)


def test_an_incomplete_list_between_two_complete_ones_proves_only_presence() -> None:
    watch = MachineWatch()
    without_known = read({"machines": [{**WELL_FORMED, "id": "e3"}]})
    assert set(watch.find_ended(without_known, KNOWN)) == set()
    assert watch.missing == KNOWN
    assert set(watch.find_ended(read({"machines": [OTHER, {}]}), KNOWN)) == set()
    assert watch.missing == {"e1"}
    assert set(watch.find_ended(without_known, KNOWN)) == {"e1"}
    assert set(watch.find_ended(without_known, {"e2"})) == {"e2"}
