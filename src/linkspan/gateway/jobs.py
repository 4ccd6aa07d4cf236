"""Callers' job interface: hand in, ask, cancel, explain."""

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

_STATUS = {"accepted": 200, "known": 200, "refused": 409, "absent": 404, "unknown": 202}
RETRY_AFTER_S = 2
"""When to ask again about an outcome that is unknown yet."""


class Reached(NamedTuple):
    """What asking a hall's schedulers came to.

    Attributes:
        answer: The answer, None when nobody gave one.
        may_have_acted: Whether one that did not answer may have acted.
    """

    answer: Answer | None
    may_have_acted: bool


class JobsApi:
    """Passes job requests to the schedulers of the job's home hall.

    A job's id decides its home, so that the same id handed in anywhere meets
    the same ledger.

    Args:
        node: The daemon.
        timeout_s: Wait for a scheduler's verdict.
    """

    def __init__(self, node: Node, *, timeout_s: float) -> None:
        self._node = node
        self._timeout_s = timeout_s

    def __repr__(self) -> str:
        return f"JobsApi(timeout_s={self._timeout_s})"

    def add_routes(self, app: web.Application) -> None:
        """Serve ``/jobs``."""
        app.router.add_post("/jobs", self.submit)
        app.router.add_get("/jobs/{job_id}", self.ask)
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
        return await self._pass(spec.job_id, Submit(spec), asks=False)

    async def ask(self, request: web.Request) -> web.Response:
        """Answer ``GET /jobs/ID``."""
        job_id = request.match_info["job_id"]
        return await self._pass(job_id, Ask(job_id), asks=True)

    async def explain(self, request: web.Request) -> web.Response:
        """Answer ``GET /jobs/ID/explain``."""
        job_id = request.match_info["job_id"]
        return await self._pass(job_id, Explain(job_id), asks=True)

    async def cancel(self, request: web.Request) -> web.Response:
        """Answer ``DELETE /jobs/ID``."""
        job_id = request.match_info["job_id"]
        return await self._pass(job_id, Cancel(job_id), asks=False)

    def home(self, job_id: str) -> str:
        """Return the hall whose ledger holds the job of this id."""
        halls = self._halls()
        return rendezvous(job_id, halls) if halls else self._node.settings.hall

    def _halls(self) -> list[str]:
        document = self._node.config.state.document
        return [key.removeprefix("halls/") for key in document if key.startswith("halls/")]

    def _schedulers(self, hall: str) -> list[str]:
        """Return the addresses of a hall's schedulers, the likeliest first.

        Peers of other halls are heard of seldom, so silence does not exclude
        one; the host list adds those that were never heard of.
        """
        peers = self._node.directory.known(role="scheduler", hall=hall)
        listed = [
            host.address
            for host in self._node.host_lists.value
            if host.role == "scheduler" and host.hall == hall and not host.leaving
        ]
        return list(dict.fromkeys([*(peer.heartbeat.address for peer in peers), *listed]))

    async def _pass(self, job_id: str, message: Message, *, asks: bool) -> web.Response:
        """Ask the home's schedulers in turn until one answers."""
        hall = self.home(job_id)
        reached = await self._ask_hall(hall, message)
        if reached.answer is not None:
            return await self._with_moved(reached.answer, message)
        if asks:
            found = await self._find_elsewhere(hall, message)
            if found is not None:
                return _http(found)
        if reached.may_have_acted and not asks:
            text = f"no scheduler of {hall} answered; ask GET /jobs/{job_id}, or send it again"
            return problem(202, "unknown_yet", text, retry_after_s=RETRY_AFTER_S)
        text = f"no scheduler of {hall} can be reached; nothing was done; come back"
        return problem(503, "unreachable", text, retry_after_s=RETRY_AFTER_S)

    async def _ask_hall(self, hall: str, message: Message) -> Reached:
        may_have_acted = False
        for address in self._schedulers(hall):
            try:
                answer = await self._node.ask(address, message, timeout_s=self._timeout_s)
            except ConnectionRefusedError:
                continue
            except Unreachable:
                may_have_acted = True
                continue
            if isinstance(answer, Answer):
                return Reached(answer, True)
        return Reached(None, may_have_acted)

    async def _with_moved(self, answer: Answer, message: Message) -> web.Response:
        """Return the home's answer, with that of the hall that took tasks over."""
        body = orjson.loads(answer.body)
        moved_to = body.get("moved_to")
        if not moved_to or isinstance(message, Submit):
            return _http(answer)
        there = await self._ask_hall(moved_to, message)
        if there.answer is None:
            body["moved"] = {"message": f"no scheduler of {moved_to} answered; ask again"}
            return _http(Answer("unknown", orjson.dumps(body)))
        body["moved"] = orjson.loads(there.answer.body)
        return _http(Answer(answer.status, orjson.dumps(body)))

    async def _find_elsewhere(self, home: str, message: Message) -> Answer | None:
        """Return the answer of a hall that took the job over while its home is lost."""
        for hall in self._halls():
            if hall == home:
                continue
            answer = (await self._ask_hall(hall, message)).answer
            if answer is not None and answer.status == "known" and b"counts" in answer.body:
                body = orjson.loads(answer.body)
                if body["counts"] is not None:
                    body["message"] = f"{home} cannot be reached; this is what was taken over"
                    return Answer("known", orjson.dumps(body))
        return None


def _http(answer: Answer) -> web.Response:
    status = _STATUS.get(answer.status, 500)
    headers = {"Retry-After": str(RETRY_AFTER_S)} if answer.status == "unknown" else {}
    body = orjson.dumps({"status": answer.status, **orjson.loads(answer.body)})
    return web.Response(body=body, status=status, content_type="application/json", headers=headers)
