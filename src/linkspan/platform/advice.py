"""Client of the service that decides which executors may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from linkspan._typed import parse_list, parse_number, parse_object, parse_text
from linkspan.errors import Unreachable
from linkspan.platform._json_service import JsonServiceClient
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.planning.advice import Advice

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun

CALL_TIMEOUT_S = 5.0
"""Maximum time for a response. The service spends time on each requested executor, and calls
from one host queue behind each other."""


class AdviceClient(JsonServiceClient):
    """HTTP client of the policy service."""

    _NAME = "policy service"
    _PATH = "/api/advise"
    _TIMEOUT_S = CALL_TIMEOUT_S

    async def advise(self, step: StepRun, executor_ids: tuple[str, ...]) -> Advice:
        """Request tickets; see :meth:`linkspan.shard.planning.advice.PolicyService.advise`."""
        run = step.run
        name = f"{run.job.job_id}.{run.repetition}.{step.index}"
        # The request and the response identify executors by id, without their start time.
        names = {
            Incarnation.of(incarnation).executor_id: incarnation for incarnation in executor_ids
        }
        body = orjson.dumps({"step": name, "workers": list(names)})
        headers = {"Content-Type": "application/json"}
        request = self._session.post(self._url, data=body, headers=headers)
        fields = await self._request_json(request)
        advice = _parse_advice(fields)
        tickets = {names.get(worker, worker): text for worker, text in advice.tickets.items()}
        return advice._replace(tickets=tickets)


def _parse_advice(fields: Any) -> Advice:
    try:
        # Each row of "good" holds an executor's id and its ticket.
        fields = parse_object(fields)
        good = [parse_list(row) for row in parse_list(fields.get("good"))]
        tickets = {parse_text(row[0]): parse_text(row[1]) for row in good}
        return Advice(tickets, parse_number(fields.get("valid_ms") or 0) / 1000)
    except (TypeError, ValueError, IndexError) as error:
        raise Unreachable(f"policy service sent invalid advice: {error!r}; try again") from error
