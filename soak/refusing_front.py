"""An HTTP server for executors that may refuse starts."""

from __future__ import annotations

from aiohttp import web
from tests.hall_executors import HallExecutors
from tests.standins.executor_http import ExecutorFront
from tests.standins.platform_http import local_port, no_answer

START_COMMAND = "run-start"


class RefusingFront(ExecutorFront):
    """Serves the executors' protocol, and refuses the starts of some executors.

    Attributes:
        refusing: Whether an executor that carries out no start answers it, by address.
    """

    def __init__(self, world: HallExecutors) -> None:
        super().__init__(world)
        self.refusing: dict[str, bool] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Carry out one order and answer it, or refuse it."""
        answers = self.refusing.get(self.addresses[local_port(request)])
        if answers is None or request.path.rpartition("/")[2] != START_COMMAND:
            return await super().handle(request)
        if answers:
            return web.json_response({}, status=503)
        return await no_answer()
