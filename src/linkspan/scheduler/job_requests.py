"""Handlers for requests about jobs that gateways send to a scheduler."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import orjson

from linkspan.peer.messages import Answer, Ask, Cancel, Explain, Message, Submit
from linkspan.scheduler.history import History, explain
from linkspan.scheduler.job_answers import job_answer
from linkspan.scheduler.messages import CancelRequested, SubmitRequested

if TYPE_CHECKING:
    from linkspan.runtime.node import Node
    from linkspan.scheduler.core import SchedulerCore
    from linkspan.scheduler.messages import CoreMessage

MAX_ANSWER_WAIT_S = 4.0
"""Time that a submission or cancellation waits for the ledger; then the answer is "unknown"."""


class JobRequestHandlers:
    """Answers gateways: requests pass to the core's task, queries read its ledger.

    Args:
        core: The core of this scheduler.
        inbox: Queue of messages to the task that owns the core.
        history: The recent decisions about each job.
    """

    def __init__(
        self, core: SchedulerCore, inbox: asyncio.Queue[CoreMessage], history: History
    ) -> None:
        self._core = core
        self._inbox = inbox
        self._history = history

    def __repr__(self) -> str:
        return f"JobRequestHandlers({self._core.name!r})"

    def register(self, node: Node) -> None:
        """Register the handlers for requests of peers with the node."""
        node.register_handler(Submit, self._on_submit)
        node.register_handler(Cancel, self._on_cancel)
        node.register_handler(Ask, self._on_ask)
        node.register_handler(Explain, self._on_explain)

    async def _on_submit(self, message: Submit) -> Message:
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(SubmitRequested(message.spec, answer))
        return await _await_answer(answer, message.spec.job_id)

    async def _on_cancel(self, message: Cancel) -> Message:
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(CancelRequested(message.job_id, answer))
        return await _await_answer(answer, message.job_id)

    async def _on_ask(self, message: Ask) -> Message:
        core = self._core
        age_s = time.monotonic() - core.tail_read
        is_fresh = age_s < 2 * core.timing.append_timeout_s
        return job_answer(core.ledger, message.job_id, is_fresh=is_fresh)

    async def _on_explain(self, message: Explain) -> Message:
        obstacles = self._core.placer.last.obstacles
        value = explain(self._core.ledger, self._history, obstacles, message.job_id)
        return Answer("known", orjson.dumps(value, default=list))


async def _await_answer(answer: asyncio.Future[Answer], job_id: str) -> Answer:
    try:
        async with asyncio.timeout(MAX_ANSWER_WAIT_S):
            return await answer
    except TimeoutError:
        text = "the log has not shown it yet; ask GET /jobs/ID, or cancel it to be sure"
        return Answer("unknown", orjson.dumps({"job_id": job_id, "message": text}))
