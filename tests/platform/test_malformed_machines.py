"""Odd rows and pages in the machine service's list: what it says of the others holds."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from linkspan.errors import Unreachable
from linkspan.platform.machines import MachineClient
from linkspan.shard.machines import MachineRecord, MachineState, MachineWatch, UnreadMachines
from tests.fuzz.answers import FixedAnswer, FixedSession

SOUND: dict[str, Any] = {"machine": "m1", "pool": "s", "state": "up", "id": "e1"}
OTHER: dict[str, Any] = {"machine": "m2", "pool": "s", "state": "up", "id": "e2"}
KNOWN = {"e1", "e2"}

ODD_BUT_FOR_ITS_ID = {
    "no machine": {"pool": "s", "state": "up", "id": "e1"},
    "number as machine": {**SOUND, "machine": 7},
    "no pool": {"machine": "m1", "state": "up", "id": "e1"},
    "list as pool": {**SOUND, "pool": ["s"]},
    "no state": {"machine": "m1", "pool": "s", "id": "e1"},
    "state that is not named": {**SOUND, "state": "retired"},
    "number as state": {**SOUND, "state": 0},
    "nothing else": {"id": "e1"},
}
"""Rows of which the executor's id can be read, and what else they say cannot."""

ODD = {
    "no row": 7,
    "nothing": None,
    "text": "m1",
    "list": ["m1", "s", "up", "e1"],
    "empty": {},
    "no id": {"machine": "m1", "pool": "s", "state": "up"},
    "no id while it is down": {"machine": "m1", "pool": "s", "state": "down"},
    "nothing as id": {**SOUND, "id": None},
    "number as id": {**SOUND, "id": 7},
    "false as id": {**SOUND, "id": False},
    "list as id": {**SOUND, "id": ["e1"]},
    "id that is no text": {**SOUND, "id": {"id": "e1"}},
    "odd state without an id": {**SOUND, "state": "retired", "id": ""},
}
"""Rows of which nobody can tell whose they are."""

IDLE = [
    {**SOUND, "id": ""},
    {**SOUND, "state": "moving", "id": ""},
    {**SOUND, "state": "down", "id": ""},
]
"""Rows of machines that have no executor, and say so."""

ODD_TOKENS = [7, 0, False, ["t"], [], {"t": 1}, {}, 1.5]


class PagedSession(FixedSession):
    """Answers each call with the next of several bodies."""

    def __init__(self, *bodies: bytes) -> None:
        super().__init__(200, b"")
        self._bodies = list(bodies)

    def request(self, method: str, url: str, **_fields: Any) -> FixedAnswer:
        super().request(method, url)
        return FixedAnswer(200, self._bodies.pop(0))


def read(*pages: object) -> tuple[MachineRecord | UnreadMachines, ...]:
    session = PagedSession(*(orjson.dumps(page) for page in pages))
    return asyncio.run(MachineClient(session, "m").machines())  # type: ignore[arg-type]


def gone_after(*pages: object) -> set[str]:
    """Return who is taken for gone after two lists of the same pages."""
    watch = MachineWatch()
    return set(watch.find_ended(read(*pages), KNOWN)) | set(watch.find_ended(read(*pages), KNOWN))


@pytest.mark.parametrize("kind", ODD_BUT_FOR_ITS_ID)
def test_an_odd_row_with_an_id_is_passed_over_alone(kind: str) -> None:
    page = {"machines": [ODD_BUT_FOR_ITS_ID[kind], OTHER]}
    assert read(page) == (
        UnreadMachines("e1"),
        MachineRecord("m2", "s", MachineState.UP, "e2"),
    )
    assert gone_after(page) == set()
    # The row is known to be another executor's: the list proves what it would without it.
    assert gone_after({"machines": [ODD_BUT_FOR_ITS_ID[kind]]}) == {"e2"}


@pytest.mark.parametrize("kind", ODD)
def test_an_odd_row_that_may_be_anyones_proves_nobody_gone(kind: str) -> None:
    page = {"machines": [OTHER, ODD[kind]]}
    assert read(page) == (MachineRecord("m2", "s", MachineState.UP, "e2"), UnreadMachines())
    assert gone_after(page) == set()


@pytest.mark.parametrize("row", IDLE)
def test_a_sound_row_without_an_executor_hides_nobodys_end(row: dict[str, Any]) -> None:
    assert gone_after({"machines": [row, OTHER]}) == {"e1"}


@pytest.mark.parametrize("pool", ["", "of a later configuration"])
def test_a_service_that_is_not_known_is_no_reason_to_doubt_a_row(pool: str) -> None:
    """Which executors may be used is told by their own entries, not here."""
    page = {"machines": [{**SOUND, "pool": pool}, OTHER]}
    assert gone_after(page) == set()
    assert gone_after({"machines": [{**SOUND, "pool": pool}]}) == {"e2"}


@pytest.mark.parametrize("token", ODD_TOKENS)
def test_an_odd_token_ends_the_list_and_what_follows_is_not_known(token: object) -> None:
    page = {"machines": [OTHER], "nextToken": token}
    assert read(page) == (MachineRecord("m2", "s", MachineState.UP, "e2"), UnreadMachines())
    assert gone_after(page) == set()


@pytest.mark.parametrize("token", [None, ""])
def test_an_empty_token_is_the_end(token: object) -> None:
    assert gone_after({"machines": [OTHER], "nextToken": token}) == {"e1"}


@pytest.mark.parametrize("rows", [None, 7, "m1", {"m1": SOUND}])
def test_a_page_whose_rows_cannot_be_read_leaves_the_others(rows: object) -> None:
    pages = {"machines": rows, "nextToken": "t"}, {"machines": [OTHER]}
    assert read(*pages) == (UnreadMachines(), MachineRecord("m2", "s", MachineState.UP, "e2"))
    assert gone_after(*pages) == set()


@pytest.mark.parametrize("page", [None, 7, "m1", [SOUND]])
def test_an_answer_that_is_no_page_is_no_list(page: object) -> None:
    with pytest.raises(Unreachable):
        read(page)
    with pytest.raises(Unreachable):
        read({"machines": [SOUND], "nextToken": "t"}, page)


def test_an_odd_list_between_two_sound_ones_says_who_is_there_and_no_more() -> None:
    watch = MachineWatch()
    sound = read({"machines": [{**SOUND, "id": "e3"}]})
    assert set(watch.find_ended(sound, KNOWN)) == set()
    assert watch.missing == KNOWN
    assert set(watch.find_ended(read({"machines": [OTHER, {}]}), KNOWN)) == set()
    assert watch.missing == {"e1"}
    assert set(watch.find_ended(sound, KNOWN)) == {"e1"}
    assert set(watch.find_ended(sound, {"e2"})) == {"e2"}
