"""Client of the platform's machine service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from linkspan._typed import fields as fields_of
from linkspan._typed import rows, text
from linkspan.errors import Unreachable
from linkspan.platform._answers import read_answer
from linkspan.shard.machines import MachineRecord, MachineState

if TYPE_CHECKING:
    import aiohttp

CALL_TIMEOUT_S = 1.0
"""Time for an answer: a healthy service answers within 10 ms."""


class MachineClient:
    """The machine service over HTTP.

    Args:
        session: Shared client session.
        address: ``ip:port`` of the service.
        timeout_s: Time that an answer may take.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._session = session
        self._url = f"http://{address}/api/machines"
        self._timeout_s = timeout_s

    def __repr__(self) -> str:
        return f"MachineClient({self._url!r})"

    async def machines(self) -> tuple[MachineRecord, ...]:
        """Return all machines.

        Raises:
            Unreachable: No answer, or a refusal.
        """
        records: list[MachineRecord] = []
        token = ""
        seen = set()
        while True:
            fields = await self._page(token)
            records += _machines(fields)
            token = _next_token(fields)
            if not token:
                return tuple(records)
            if token in seen:
                raise Unreachable("machine service repeats its pages; it is asked again")
            seen.add(token)

    async def _page(self, token: str) -> Any:
        query = f"?pageToken={quote(token, safe='')}" if token else ""
        request = self._session.get(self._url + query)
        return await read_answer(request, service="machine service", timeout_s=self._timeout_s)


def _machines(fields: Any) -> tuple[MachineRecord, ...]:
    try:
        return tuple(_machine(fields_of(row)) for row in rows(fields_of(fields).get("machines")))
    except (KeyError, TypeError, ValueError) as error:
        raise Unreachable(f"machine service: {error!r}; it is asked again") from error


def _next_token(fields: Any) -> str:
    try:
        return text(fields_of(fields).get("nextToken") or "")
    except (TypeError, ValueError) as error:
        raise Unreachable(f"machine service: {error!r}; it is asked again") from error


def _machine(row: dict[str, Any]) -> MachineRecord:
    return MachineRecord(
        name=text(row["machine"]),
        # "pool" names the service whose executors the machine runs.
        service=text(row.get("pool") or ""),
        state=MachineState(text(row.get("state") or "up")),
        # "id" is that of the machine's executor, empty while it has none.
        executor_id=text(row.get("id") or ""),
    )
