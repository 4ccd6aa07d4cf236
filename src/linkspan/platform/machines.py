"""Client of the platform's machine service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

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
        while True:
            fields = await self._page(f"?pageToken={token}" if token else "")
            try:
                records += [_machine(row) for row in fields.get("machines") or ()]
            except (KeyError, TypeError, ValueError) as error:
                raise Unreachable(f"machine service: {error!r}; it is asked again") from error
            token = fields.get("nextToken") or ""
            if not token:
                return tuple(records)

    async def _page(self, query: str) -> dict[str, Any]:
        request = self._session.get(self._url + query)
        fields = await read_answer(request, service="machine service", timeout_s=self._timeout_s)
        if not isinstance(fields, dict):
            raise Unreachable("machine service sent no object; it is asked again")
        return fields


def _machine(row: dict[str, Any]) -> MachineRecord:
    return MachineRecord(
        name=row["machine"],
        # "pool" names the service whose executors the machine runs.
        service=row.get("pool") or "",
        state=MachineState(row.get("state") or "up"),
        # "id" is that of the machine's executor, empty while it has none.
        executor_id=row.get("id") or "",
    )
