"""HTTP client of the platform's machine service, which lists machines and their state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from linkspan._typed import parse_text
from linkspan.errors import Unreachable
from linkspan.platform._json_service import JsonServiceClient
from linkspan.shard.machines import MachineRecord, MachineState, UnreadMachines

if TYPE_CHECKING:
    from linkspan.shard.machines import MachineList

CALL_TIMEOUT_S = 1.0
"""Maximum time for a response; a healthy service responds within 10 ms."""


class MachineClient(JsonServiceClient):
    """HTTP client of the machine service."""

    _NAME = "machine service"
    _PATH = "/api/machines"
    _TIMEOUT_S = CALL_TIMEOUT_S

    async def machines(self) -> MachineList:
        """Return all machines, with a marker for each part of the list that cannot be parsed.

        A row is valid if it has all fields, each of them is a text and its state is known. An
        invalid row, a page without rows and an invalid token of the next page each become an
        :class:`~linkspan.shard.machines.UnreadMachines`; the rest of the list remains valid.
        The caller decides what an incomplete list proves.

        Raises:
            Unreachable: The service did not respond with status 200, sent no JSON object or
                repeated a page.
        """
        records: list[MachineRecord | UnreadMachines] = []
        token = ""
        seen = set()
        while True:
            fields = await self._page(token)
            records += _parse_rows(fields)
            try:
                token = _parse_next_token(fields)
            except (TypeError, ValueError):
                # More pages follow, but the token to request them is invalid.
                return (*records, UnreadMachines())
            if not token:
                return tuple(records)
            if token in seen:
                raise Unreachable("machine service repeats its pages; the request will be retried")
            seen.add(token)

    async def _page(self, token: str) -> dict[str, Any]:
        query = f"?pageToken={quote(token, safe='')}" if token else ""
        page = await self._request_json(self._session.get(self._url + query))
        if not isinstance(page, dict):
            raise Unreachable("machine service sent no JSON object; the request will be retried")
        return page


def _parse_rows(page: dict[str, Any]) -> list[MachineRecord | UnreadMachines]:
    listed = page.get("machines")
    if not isinstance(listed, list):
        return [UnreadMachines()]
    return [_parse_row(row) for row in listed]


def _parse_next_token(page: dict[str, Any]) -> str:
    token = page.get("nextToken")
    return "" if token is None else parse_text(token)


def _parse_row(row: Any) -> MachineRecord | UnreadMachines:
    try:
        return _parse_machine(row)
    except (KeyError, TypeError, ValueError):
        return UnreadMachines(_executor_id_of(row))


def _executor_id_of(row: Any) -> str | None:
    try:
        # An invalid row with an empty id may belong to any executor: the id may have been lost.
        return parse_text(row["id"]) or None
    except (KeyError, TypeError, ValueError):
        return None


def _parse_machine(row: Any) -> MachineRecord:
    return MachineRecord(
        name=parse_text(row["machine"]),
        # "pool" is the service whose executors the machine runs.
        service=parse_text(row["pool"]),
        state=MachineState(parse_text(row["state"])),
        # "id" is the id of the machine's executor, an empty text while the machine has none.
        executor_id=parse_text(row["id"]),
    )
