"""HTTP interface for jobs: submit, query, explain and cancel."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import orjson
from aiohttp import web

from linkspan._rendezvous import rendezvous
from linkspan.errors import InvalidInput, Unreachable
from linkspan.gateway.job_request import parse_job
from linkspan.peer.messages import Answer, Ask, Cancel, Explain, Submit
from linkspan.runtime.operator_app import problem

if TYPE_CHECKING:
    from linkspan.peer.messages import Message
    from linkspan.runtime.node import Node

_HTTP_STATUS = {"accepted": 200, "known": 200, "refused": 409, "absent": 404, "unknown": 202}
RETRY_AFTER_S = 2
"""Retry delay that callers receive while the outcome is unknown."""


class HallResponse(NamedTuple):
    """Result of asking a hall's schedulers.

    Attributes:
        answer: The first answer, or None if no scheduler answered.
        may_have_acted: Whether a scheduler may have carried out the request, including
            one that did not answer.
    """

    answer: Answer | None
    may_have_acted: bool


class JobsApi:
    """Passes job requests to the schedulers of the job's home hall.

    The job id determines the home hall, so that a job id submitted through any
    gateway reaches the same ledger.

    Args:
        node: The daemon.
        timeout_s: Timeout for the answer of one scheduler.
    """

    def __init__(self, node: Node, *, timeout_s: float) -> None:
        self._node = node
        self._timeout_s = timeout_s

    def __repr__(self) -> str:
        return f"JobsApi(timeout_s={self._timeout_s})"

    def add_routes(self, app: web.Application) -> None:
        """Register the routes below ``/jobs``."""
        app.router.add_post("/jobs", self.submit)
        app.router.add_get("/jobs/{job_id}", self.get_job)
        app.router.add_get("/jobs/{job_id}/explain", self.explain)
        app.router.add_delete("/jobs/{job_id}", self.cancel)

    async def submit(self, request: web.Request) -> web.Response:
        """Answer ``POST /jobs``."""
        parsed = parse_job(await request.read())
        if parsed.is_error():
            error = parsed.error
            field = error.field if isinstance(error, InvalidInput) else "selector"
            return problem(400, "invalid_input", str(error), field=field)
        spec = parsed.ok
        return await self._ask_home_hall(spec.job_id, Submit(spec), is_query=False)

    async def get_job(self, request: web.Request) -> web.Response:
        """Answer ``GET /jobs/ID``."""
        job_id = request.match_info["job_id"]
        return await self._ask_home_hall(job_id, Ask(job_id), is_query=True)

    async def explain(self, request: web.Request) -> web.Response:
        """Answer ``GET /jobs/ID/explain``."""
        job_id = request.match_info["job_id"]
        return await self._ask_home_hall(job_id, Explain(job_id), is_query=True)

    async def cancel(self, request: web.Request) -> web.Response:
        """Answer ``DELETE /jobs/ID``."""
        job_id = request.match_info["job_id"]
        return await self._ask_home_hall(job_id, Cancel(job_id), is_query=False)

    def home_hall(self, job_id: str) -> str:
        """Return the hall whose ledger holds the job with this id."""
        halls = self._halls()
        return rendezvous(job_id, halls) if halls else self._node.settings.hall

    def _halls(self) -> list[str]:
        document = self._node.config.state.document
        return [key.removeprefix("halls/") for key in document if key.startswith("halls/")]

    def _scheduler_addresses(self, hall: str) -> list[str]:
        """Return the addresses of a hall's schedulers, known peers first.

        Peers in other halls send heartbeats rarely, so a silent peer is not excluded.
        The host list adds schedulers that have not sent a heartbeat yet.
        """
        peers = self._node.directory.known(role="scheduler", hall=hall)
        listed = [
            host.address
            for host in self._node.host_lists.value
            if host.role == "scheduler" and host.hall == hall and not host.leaving
        ]
        return list(dict.fromkeys([*(peer.heartbeat.address for peer in peers), *listed]))

    async def _ask_home_hall(
        self, job_id: str, message: Message, *, is_query: bool
    ) -> web.Response:
        """Ask the home hall's schedulers in turn, and build the HTTP response.

        A query that gets no answer there is passed on to the other halls.
        """
        hall = self.home_hall(job_id)
        response = await self._ask_hall(hall, message)
        if response.answer is not None:
            return await self._add_answer_of_new_hall(response.answer, message)
        if is_query:
            takeover = await self._find_takeover(hall, message)
            if takeover is not None:
                return _http_response(takeover)
        if response.may_have_acted and not is_query:
            text = f"no scheduler of {hall} answered; ask GET /jobs/{job_id}, or send it again"
            return problem(202, "unknown_yet", text, retry_after_s=RETRY_AFTER_S)
        text = f"no scheduler of {hall} can be reached; nothing was done; come back"
        return problem(503, "unreachable", text, retry_after_s=RETRY_AFTER_S)

    async def _ask_hall(self, hall: str, message: Message) -> HallResponse:
        may_have_acted = False
        for address in self._scheduler_addresses(hall):
            try:
                answer = await self._node.request(address, message, timeout_s=self._timeout_s)
            except ConnectionRefusedError:
                continue
            except Unreachable:
                may_have_acted = True
                continue
            if isinstance(answer, Answer):
                return HallResponse(answer, True)
        return HallResponse(None, may_have_acted)

    async def _add_answer_of_new_hall(self, answer: Answer, message: Message) -> web.Response:
        """Return the home hall's answer, extended by the answer of the hall the job moved to."""
        body = orjson.loads(answer.body)
        moved_to = body.get("moved_to")
        if not moved_to or isinstance(message, Submit):
            return _http_response(answer)
        moved_response = await self._ask_hall(moved_to, message)
        if moved_response.answer is None:
            body["moved"] = {"message": f"no scheduler of {moved_to} answered; ask again"}
            return _http_response(Answer("unknown", orjson.dumps(body)))
        body["moved"] = orjson.loads(moved_response.answer.body)
        return _http_response(Answer(answer.status, orjson.dumps(body)))

    async def _find_takeover(self, home_hall: str, message: Message) -> Answer | None:
        """Return the answer of a hall that took over the job of an unreachable home hall."""
        for hall in self._halls():
            if hall == home_hall:
                continue
            answer = (await self._ask_hall(hall, message)).answer
            if answer is not None and answer.status == "known" and b"counts" in answer.body:
                body = orjson.loads(answer.body)
                if body["counts"] is not None:
                    body["message"] = f"{home_hall} cannot be reached; this is what was taken over"
                    return Answer("known", orjson.dumps(body))
        return None


def _http_response(answer: Answer) -> web.Response:
    status = _HTTP_STATUS.get(answer.status, 500)
    headers = {"Retry-After": str(RETRY_AFTER_S)} if answer.status == "unknown" else {}
    body = orjson.dumps({"status": answer.status, **orjson.loads(answer.body)})
    return web.Response(body=body, status=status, content_type="application/json", headers=headers)
