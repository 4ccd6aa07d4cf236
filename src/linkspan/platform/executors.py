"""HTTP client of the executors: starts, stops and paces runs, renews leases and polls reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from linkspan._typed import parse_int, parse_list, parse_number, parse_started_at_ms, parse_text
from linkspan.errors import Fenced, Unconnected, Unreachable, WrongIncarnation
from linkspan.platform._transmission import recorded_transmission
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
"""Maximum time for a response, in addition to any requested wait. A healthy executor responds
within 10 ms from any hall. A stop may take 0.9 s to take effect, but its response does not
wait for that."""

MAX_WAIT_S = 2.0
"""Longest time for which an executor delays its report while it waits for an end."""

MAX_REPORTED_ENDS = 500
"""Maximum number of ends in one report, as the platform specifies. A report with this many
ends may be incomplete."""

_REJECTIONS = {
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}
_UNHEALTHY_STATUSES = frozenset((429, 503))


class ExecutorClient:
    """Calls executors with one fencing token.

    Args:
        session: Shared client session.
        token: Fencing token of the caller's tenure.
        timeout_s: Maximum time for a response, in addition to any requested wait.
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
        return StartAnswer(_start_outcome(status, fields), _parse_clock(fields))

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
        """Renew leases and poll; see :meth:`linkspan.shard.tenure.Executors.renew`.

        ``wait_s`` is limited to :data:`MAX_WAIT_S`, the longest wait that executors accept.
        """
        body: dict[str, Any] = {"fencingToken": self._token, "lastSeen": acknowledged}
        if until_s is not None:
            body["untilMs"] = int(until_s * 1000)
        if wait_s:
            body["waitMs"] = int(min(wait_s, MAX_WAIT_S) * 1000)
        status, fields = await self._call(address, executor_id, "hold", body, wait_s=wait_s)
        if status != 200:
            raise Unreachable(f"executor at {address} answered {status}; it will be polled again")
        report = _parse_report(fields)
        if report.started_at_ms is None and Incarnation.of(executor_id).started_at_ms is not None:
            raise Unreachable(
                f"executor at {address} omits its start time; it will be polled again"
            )
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
        with recorded_transmission() as transmission:
            try:
                async with asyncio.timeout(self._timeout_s + wait_s):
                    data = orjson.dumps(body)
                    async with self._session.post(url, data=data, headers=headers) as response:
                        status = response.status
                        fields = orjson.loads(await response.read() or b"{}")
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                kind = Unconnected if transmission.failed_unsent(error) else Unreachable
                raise kind(f"executor at {address}: {error!r}; the call will be retried") from error
        if status == 421:
            raise WrongIncarnation(
                f"{executor_id} no longer runs at {address}; use its next incarnation"
            )
        if not isinstance(fields, dict):
            raise Unreachable(
                f"executor at {address} sent no JSON object; the call will be retried"
            )
        if status == 409 and fields.get("reason") == "fence":
            raise Fenced(
                f"executor at {address} has seen a higher fencing token; give up the shard"
            )
        return status, fields


def task_to_wire(task: TaskName) -> str:
    """Return a task's name in the format that executors use."""
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.index}"


def task_from_wire(text: str) -> TaskName:
    """Return the task with a name in the format that executors use.

    Raises:
        ValueError: The text is not a task name.
    """
    job_id, *numbers = text.split(".")
    repetition, step, index = map(int, numbers)
    if repetition < 0 or step < 0 or index < 0:
        raise ValueError(f"{text!r:.60} is not a task name")
    return TaskName(job_id, repetition, step, index)


def _start_outcome(status: int, fields: dict[str, Any]) -> StartOutcome:
    if status == 200:
        return StartOutcome.STARTED
    if status == 409:
        return _REJECTIONS.get(str(fields.get("reason")), StartOutcome.INVALID)
    return StartOutcome.UNHEALTHY if status in _UNHEALTHY_STATUSES else StartOutcome.INVALID


def _parse_clock(fields: dict[str, Any]) -> float | None:
    clock_ms = fields.get("clockMs")
    try:
        return None if clock_ms is None else parse_number(clock_ms) / 1000
    except (TypeError, ValueError) as error:
        raise Unreachable(
            f"executor sent an invalid clock: {error!r}; the call will be retried"
        ) from error


def _parse_report(fields: dict[str, Any]) -> ExecutorReport:
    try:
        ended = parse_list(fields.get("ended"))
        return ExecutorReport(
            clock_s=parse_number(fields["clockMs"]) / 1000,
            running=tuple(
                _parse_running(parse_list(row)) for row in parse_list(fields.get("running"))
            ),
            ended=tuple(_parse_ended(parse_list(row)) for row in ended),
            is_complete=len(ended) < MAX_REPORTED_ENDS,
            started_at_ms=parse_started_at_ms(fields.get("born")),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise Unreachable(
            f"executor sent an invalid report: {error!r}; it will be polled again"
        ) from error


def _parse_running(row: list[Any]) -> RunningTask:
    usage = None if len(row) < 5 or row[4] is None else parse_number(row[4])
    progress = parse_int(row[3]) if len(row) > 3 else 0
    return RunningTask(
        task_from_wire(parse_text(row[0])),
        parse_int(row[1]),
        parse_text(row[2] or ""),
        progress,
        usage,
    )


def _parse_ended(row: list[Any]) -> EndedTask:
    # Later versions of the platform may append fields to the row.
    count, task, run, how, saved, *_ = row
    name = task_from_wire(parse_text(task))
    return EndedTask(
        parse_int(count),
        name,
        parse_int(run),
        _parse_end_kind(parse_text(how)),
        parse_text(saved or ""),
    )


def _parse_end_kind(how: str) -> EndKind:
    """Return how a run ended.

    An unknown kind counts as stopped: the run neither finished its task nor failed.
    """
    try:
        return EndKind(how)
    except ValueError:
        return EndKind.STOPPED
