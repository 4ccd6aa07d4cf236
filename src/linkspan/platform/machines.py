"""Client of the platform's machine service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from linkspan._typed import parse_text
from linkspan.errors import Unreachable
from linkspan.platform._answers import JsonService
from linkspan.shard.machines import MachineRecord, MachineState, UnreadMachines

if TYPE_CHECKING:
    from linkspan.shard.machines import MachineList

CALL_TIMEOUT_S = 1.0
"""Time for an answer: a healthy service answers within 10 ms."""


class MachineClient(JsonService):
    """The machine service over HTTP."""

    _NAME = "machine service"
    _PATH = "/api/machines"
    _TIMEOUT_S = CALL_TIMEOUT_S

    async def machines(self) -> MachineList:
        """Return all machines, and places of the list that cannot be read.

        A row is sound if it has all fields, they are texts and its state is named. A row
        that is not, a page without rows and a token of the next page that is no text are told
        as :class:`~linkspan.shard.machines.UnreadMachines`, and all else that came holds.
        What such a list proves is not decided here.

        Raises:
            Unreachable: No answer, a refusal, or an answer that is no page.
        """
        records: list[MachineRecord | UnreadMachines] = []
        token = ""
        seen = set()
        while True:
            fields = await self._page(token)
            records += _machines(fields)
            try:
                token = _next_token(fields)
            except (TypeError, ValueError):
                # Pages follow, and nothing says where.
                return (*records, UnreadMachines())
            if not token:
                return tuple(records)
            if token in seen:
                raise Unreachable("machine service repeats its pages; it is asked again")
            seen.add(token)

    async def _page(self, token: str) -> dict[str, Any]:
        query = f"?pageToken={quote(token, safe='')}" if token else ""
        page = await self._answer(self._session.get(self._url + query))
        if not isinstance(page, dict):
            raise Unreachable("machine service sent no page; it is asked again")
        return page


def _machines(page: dict[str, Any]) -> list[MachineRecord | UnreadMachines]:
    listed = page.get("machines")
    if not isinstance(listed, list):
        return [UnreadMachines()]
    return [_machine_or_not(row) for row in listed]


def _next_token(page: dict[str, Any]) -> str:
    token = page.get("nextToken")
    return "" if token is None else parse_text(token)


def _machine_or_not(row: Any) -> MachineRecord | UnreadMachines:
    try:
        return _machine(row)
    except (KeyError, TypeError, ValueError):
        return UnreadMachines(_readable_id(row))


def _readable_id(row: Any) -> str | None:
    try:
        # An odd row that names no executor may as well have lost its name.
        return parse_text(row["id"]) or None
    except (KeyError, TypeError, ValueError):
        return None


def _machine(row: Any) -> MachineRecord:
    return MachineRecord(
        name=parse_text(row["machine"]),
        # "pool" names the service whose executors the machine runs.
        service=parse_text(row["pool"]),
        state=MachineState(parse_text(row["state"])),
        # "id" is that of the machine's executor: an empty text, not left out, while it has none.
        executor_id=parse_text(row["id"]),
    )
