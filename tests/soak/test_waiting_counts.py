"""The soak's checks of waiting jobs: which jobs a host must count, and which numbers are too few.

Guards against a judge that overlooks jobs that count as begun although no executor started them.
"""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from soak.callers import Callers, Job
from soak.refusing_front import RefusingFront
from soak.waiting_watch import MIN_AGE_S, WaitingWatch, must_wait

from linkspan.jobs.spec import JobSpec
from tests.hall_executors import HallExecutors
from tests.job_builders import QUEUE, step

NOW_S = 100.0


def _job(job_id: str, **fields: Any) -> Job:
    return Job(JobSpec(job_id, QUEUE.name, "payload", (step(1),)), **fields)


@pytest.mark.parametrize(
    ("fields", "waits"),
    [
        ({"accepted_at": NOW_S - MIN_AGE_S - 0.1}, True),
        ({"accepted_at": NOW_S - MIN_AGE_S + 0.1}, False),
        ({"accepted_at": None}, False),
        ({"accepted_at": 0.0, "cancel_requested_at": 1.0}, False),
    ],
)
def test_old_jobs_that_nobody_cancelled_must_be_counted(fields: Any, waits: bool) -> None:
    assert must_wait(_job("1", **fields), NOW_S) is waits


async def _violations(body: bytes, begun: list[str], *, unknown: int = 410) -> list[str]:
    """Return what the watch finds where two jobs were accepted long ago."""

    async def call(_method: str, _host: str, path: str) -> tuple[int, bytes]:
        return (unknown, b"") if path else (200, body)

    async def send_command(_command: str, ids: list[str]) -> list[str]:
        return [job_id for job_id in ids if job_id in begun]

    executors: Any = SimpleNamespace(send_command=send_command)
    callers = Callers(Random(0), {}, executors, SimpleNamespace())  # type: ignore[arg-type]
    callers.call = call  # type: ignore[method-assign, assignment]
    callers.jobs += [_job("1", accepted_at=0.0), _job("2", accepted_at=0.0)]
    world: Any = SimpleNamespace(plan=SimpleNamespace(seed=1), executors=executors, hosts={})
    watch = WaitingWatch(world, callers, lambda _line: None)
    await watch._check_count("host-0")
    await watch._check_unknown_job("host-0")
    return [line.split()[0] for line in watch.violations]


@pytest.mark.parametrize(
    ("body", "begun", "unknown", "broken"),
    [
        (b'{"waiting":0}', [], 410, ["MIXED"]),
        (b'{"waiting":1}', [], 410, []),
        (b'{"waiting":0}', ["1", "2"], 410, []),
        (b'{"waiting":0}', ["1"], 410, ["MIXED"]),
        (b'{"waiting":null}', ["1", "2"], 410, ["MIXED"]),
        (b'{"waiting":2}', [], 200, ["MIXED"]),
    ],
)
async def test_a_number_is_compared_with_what_executors_started(
    body: bytes, begun: list[str], unknown: int, broken: list[str]
) -> None:
    assert await _violations(body, begun, unknown=unknown) == broken


async def test_a_refusing_executor_answers_503_and_starts_nothing() -> None:
    front = RefusingFront(HallExecutors())
    front.addresses[8161] = "east-0:1"
    front.refusing["east-0:1"] = True
    transport = SimpleNamespace(get_extra_info=lambda _name: ("127.0.0.1", 8161))
    request: Any = SimpleNamespace(transport=transport, path="/api/run-start")
    assert (await front.handle(request)).status == 503
