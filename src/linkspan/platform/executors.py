"""Client of the executors: start, stop, pace, and renew with a look."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from linkspan._typed import parse_int, parse_list, parse_number, parse_started_at_ms, parse_text
from linkspan.errors import Fenced, Unconnected, Unreachable, WrongIncarnation
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartAnswer,
    StartOutcome,
    TaskName,
)

if TYPE_CHECKING:
    from linkspan.shard.messages import PaceOrder, StartOrder, StopOrder

CALL_TIMEOUT_S = 1.0
"""Time for an answer beside any wait: a healthy executor answers within 10 ms from
any hall; a stop may take 0.9 s to show, but its answer does not wait for that."""

MAX_WAIT_S = 2.0
"""Longest wait for an end that executors grant."""

ENDS_LISTED = 500
"""Most ends in one report, as the platform states: behind so many there may be more."""

_REASONS = {
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}
_UNHEALTHY = frozenset((429, 503))


class ExecutorClient:
    """Calls to executors under one fencing token.

    Args:
        session: Shared client session.
        token: Fencing token of the caller's tenure.
        timeout_s: Time that an answer may take, beside any wait asked for.
    """

    def __init__(
        self, session: aiohttp.ClientSession, token: int, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._session = session
        self._token = token
        self._timeout_s = timeout_s

    def __repr__(self) -> str:
        return f"ExecutorClient(token={self._token})"

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        """Start a run; see :meth:`linkspan.shard.tenure.Executors.start`."""
        body = {
            "task": task_to_wire(order.task),
            "run": order.run,
            "spec": order.payload,
            "untilMs": int(until_s * 1000),
            "fencingToken": self._token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        status, fields = await self._call(address, order.executor_id, "run-start", body)
        return StartAnswer(_start_outcome(status, fields), _clock(fields))

    async def stop(self, address: str, order: StopOrder) -> bool:
        """Stop a run; see :meth:`linkspan.shard.tenure.Executors.stop`."""
        body = {"task": task_to_wire(order.task), "run": order.run, "fencingToken": self._token}
        status, _ = await self._call(address, order.executor_id, "run-stop", body)
        return status == 200

    async def pace(self, address: str, order: PaceOrder) -> bool:
        """Set a run's pace; see :meth:`linkspan.shard.tenure.Executors.pace`."""
        body = {
            "task": task_to_wire(order.task),
            "run": order.run,
            "percent": order.percent,
            "fencingToken": self._token,
        }
        status, _ = await self._call(address, order.executor_id, "pace", body)
        return status == 200

    async def renew(
        self,
        address: str,
        executor_id: str,
        *,
        acknowledged: int,
        until_s: float | None,
        wait_s: float,
    ) -> ExecutorReport:
        """Renew and look; see :meth:`linkspan.shard.tenure.Executors.renew`.

        A wait is cut to the longest that executors grant, 2 s.
        """
        body: dict[str, Any] = {"fencingToken": self._token, "lastSeen": acknowledged}
        if until_s is not None:
            body["untilMs"] = int(until_s * 1000)
        if wait_s:
            body["waitMs"] = int(min(wait_s, MAX_WAIT_S) * 1000)
        status, fields = await self._call(address, executor_id, "hold", body, wait_s=wait_s)
        if status != 200:
            raise Unreachable(f"executor at {address} answered {status}; it is asked again")
        report = _report(fields)
        if report.started_at_ms is None and Incarnation.of(executor_id).started_at_ms is not None:
            raise Unreachable(f"executor at {address} does not tell its birth; it is asked again")
        return report

    async def _call(
        self,
        address: str,
        executor_id: str,
        name: str,
        body: dict[str, Any],
        *,
        wait_s: float = 0.0,
    ) -> tuple[int, dict[str, Any]]:
        headers = {
            "Content-Type": "application/json",
            "Linkspan-Target-Instance": Incarnation.of(executor_id).executor_id,
        }
        url = f"http://{address}/api/{name}"
        try:
            async with asyncio.timeout(self._timeout_s + wait_s):
                data = orjson.dumps(body)
                async with self._session.post(url, data=data, headers=headers) as answer:
                    status = answer.status
                    fields = orjson.loads(await answer.read() or b"{}")
        except aiohttp.ClientConnectorError as error:
            raise Unconnected(f"executor at {address}: {error!r}; it is asked again") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise Unreachable(f"executor at {address}: {error!r}; it is asked again") from error
        if status == 421:
            raise WrongIncarnation(f"{executor_id} is gone from {address}; use its successor")
        if not isinstance(fields, dict):
            raise Unreachable(f"executor at {address} sent no object; it is asked again")
        if status == 409 and fields.get("reason") == "fence":
            raise Fenced(f"executor at {address} obeys a newer owner; give up the shard")
        return status, fields


def task_to_wire(task: TaskName) -> str:
    """Return a task's name as executors spell it."""
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.index}"


def task_from_wire(text: str) -> TaskName:
    """Return the task of a name.

    Raises:
        ValueError: It is no name of a task.
    """
    job_id, *numbers = text.split(".")
    repetition, step, index = map(int, numbers)
    if repetition < 0 or step < 0 or index < 0:
        raise ValueError(f"{text!r:.60} names no task")
    return TaskName(job_id, repetition, step, index)


def _start_outcome(status: int, fields: dict[str, Any]) -> StartOutcome:
    if status == 200:
        return StartOutcome.STARTED
    if status == 409:
        return _REASONS.get(str(fields.get("reason")), StartOutcome.INVALID)
    return StartOutcome.UNHEALTHY if status in _UNHEALTHY else StartOutcome.INVALID


def _clock(fields: dict[str, Any]) -> float | None:
    clock_ms = fields.get("clockMs")
    try:
        return None if clock_ms is None else parse_number(clock_ms) / 1000
    except (TypeError, ValueError) as error:
        raise Unreachable(f"executor's clock: {error!r}; it is asked again") from error


def _report(fields: dict[str, Any]) -> ExecutorReport:
    try:
        ended = parse_list(fields.get("ended"))
        return ExecutorReport(
            clock_s=parse_number(fields["clockMs"]) / 1000,
            running=tuple(_running(parse_list(row)) for row in parse_list(fields.get("running"))),
            ended=tuple(_ended(parse_list(row)) for row in ended),
            is_complete=len(ended) < ENDS_LISTED,
            started_at_ms=parse_started_at_ms(fields.get("born")),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise Unreachable(f"executor sent no report: {error!r}; it is asked again") from error


def _running(row: list[Any]) -> RunningTask:
    usage = None if len(row) < 5 or row[4] is None else parse_number(row[4])
    progress = parse_int(row[3]) if len(row) > 3 else 0
    return RunningTask(
        task_from_wire(parse_text(row[0])),
        parse_int(row[1]),
        parse_text(row[2] or ""),
        progress,
        usage,
    )


def _ended(row: list[Any]) -> EndedTask:
    # Later versions may tell more behind it.
    count, task, run, how, saved, *_ = row
    name = task_from_wire(parse_text(task))
    return EndedTask(
        parse_int(count), name, parse_int(run), _end_kind(parse_text(how)), parse_text(saved or "")
    )


def _end_kind(how: str) -> EndKind:
    """Return how a run ended; one that this version does not know was not done, nor failed."""
    try:
        return EndKind(how)
    except ValueError:
        return EndKind.STOPPED
