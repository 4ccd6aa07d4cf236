"""What gateways ask a scheduler about jobs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import orjson

from linkspan.peer.messages import Answer, Ask, Cancel, Explain, Message, Submit
from linkspan.scheduler.history import History, explain
from linkspan.scheduler.messages import CancelAsked, SubmitAsked
from linkspan.scheduler.verdicts import job_answer

if TYPE_CHECKING:
    from linkspan.runtime.node import Node
    from linkspan.scheduler.core import SchedulerCore
    from linkspan.scheduler.messages import Input

VERDICT_WAIT_S = 4.0
"""How long a question waits for the ledger before it is answered 'unknown yet'."""


class Questions:
    """Answers gateways, by messages to the core's task and by its fold.

    Args:
        core: The hall's scheduler.
        inbox: Messages to the task that owns the core.
        history: What was decided about each job.
    """

    def __init__(self, core: SchedulerCore, inbox: asyncio.Queue[Input], history: History) -> None:
        self._core = core
        self._inbox = inbox
        self._history = history

    def __repr__(self) -> str:
        return f"Questions({self._core.name!r})"

    def answer_for(self, node: Node) -> None:
        """Answer the messages that this daemon's peers send."""
        node.register_handler(Submit, self._on_submit)
        node.register_handler(Cancel, self._on_cancel)
        node.register_handler(Ask, self._on_ask)
        node.register_handler(Explain, self._on_explain)

    async def _on_submit(self, message: Submit) -> Message:
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(SubmitAsked(message.spec, answer))
        return await _await_verdict(answer, message.spec.job_id)

    async def _on_cancel(self, message: Cancel) -> Message:
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(CancelAsked(message.job_id, answer))
        return await _await_verdict(answer, message.job_id)

    async def _on_ask(self, message: Ask) -> Message:
        core = self._core
        age = time.monotonic() - core.tail_read
        is_fresh = age < 2 * core.timing.append_timeout_s
        return job_answer(core.ledger, message.job_id, is_fresh=is_fresh)

    async def _on_explain(self, message: Explain) -> Message:
        obstacles = self._core.placer.last.obstacles
        value = explain(self._core.ledger, self._history, obstacles, message.job_id)
        return Answer("known", orjson.dumps(value, default=list))


async def _await_verdict(answer: asyncio.Future[Answer], job_id: str) -> Answer:
    try:
        async with asyncio.timeout(VERDICT_WAIT_S):
            return await answer
    except TimeoutError:
        text = "the log has not shown it yet; ask GET /jobs/ID, or cancel it to be sure"
        return Answer("unknown", orjson.dumps({"job_id": job_id, "message": text}))
