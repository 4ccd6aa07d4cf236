"""Client of the service that decides which executors may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from linkspan._typed import parse_list, parse_number, parse_object, parse_text
from linkspan.errors import Unreachable
from linkspan.platform._answers import JsonService
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.planning.advice import Advice

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun

CALL_TIMEOUT_S = 5.0
"""Time for an answer: the service takes its time for each executor named, and calls of
one host wait for each other."""


class AdviceClient(JsonService):
    """The service over HTTP."""

    _NAME = "policy service"
    _PATH = "/api/advise"
    _TIMEOUT_S = CALL_TIMEOUT_S

    async def advise(self, step: StepRun, executor_ids: tuple[str, ...]) -> Advice:
        """Ask; see :meth:`linkspan.shard.planning.advice.PolicyService.advise`."""
        run = step.run
        name = f"{run.job.job_id}.{run.repetition}.{step.index}"
        # "workers" names executors by their ids, and so does the answer.
        names = {
            Incarnation.of(incarnation).executor_id: incarnation for incarnation in executor_ids
        }
        body = orjson.dumps({"step": name, "workers": list(names)})
        headers = {"Content-Type": "application/json"}
        request = self._session.post(self._url, data=body, headers=headers)
        fields = await self._answer(request)
        advice = _advice(fields)
        tickets = {names.get(worker, worker): text for worker, text in advice.tickets.items()}
        return advice._replace(tickets=tickets)


def _advice(fields: Any) -> Advice:
    try:
        # "good" holds rows of an executor's id and its ticket.
        fields = parse_object(fields)
        good = [parse_list(row) for row in parse_list(fields.get("good"))]
        tickets = {parse_text(row[0]): parse_text(row[1]) for row in good}
        return Advice(tickets, parse_number(fields.get("valid_ms") or 0) / 1000)
    except (TypeError, ValueError, IndexError) as error:
        raise Unreachable(f"policy service sent no advice: {error!r}; ask again") from error
