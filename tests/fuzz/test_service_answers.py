"""Checks answers of executors, the machine service and policies: valid, or no answer.

A call with a malformed answer must end with the error of an unanswered call, which every caller
handles, and never with another exception.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.errors import Fenced, Unreachable
from linkspan.platform.advice import AdviceClient
from linkspan.platform.executors import ExecutorClient
from linkspan.platform.machines import MachineClient
from linkspan.shard.messages import EndKind, StartOrder, StopOrder, TaskName
from tests.fuzz import builders
from tests.fuzz.answers import FixedSession
from tests.fuzz.builders import EXAMPLES, check, damaged_bytes

TASK = TaskName("0a", 0, 0, 0)
START = StartOrder("e1", TASK, 1, "text", "")


def executors(status: int, body: bytes) -> ExecutorClient:
    return ExecutorClient(FixedSession(status, body), 3)  # type: ignore[arg-type]


def look(status: int, body: bytes) -> Coroutine[Any, Any, Any]:
    client = executors(status, body)
    return client.renew("e", "e1", acknowledged=0, until_s=None, wait_s=0.0)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.REPORT))
def test_a_look_is_a_report_or_no_answer(answer: bytes) -> None:
    check(asyncio.run, look(200, answer), Unreachable)


@settings(max_examples=EXAMPLES)
@given(
    damaged_bytes({"clockMs": 482_113, "reason": "room"}),
    st.sampled_from((200, 400, 409, 429, 503)),
)
def test_a_start_is_answered_or_not(answer: bytes, status: int) -> None:
    start = executors(status, answer).start("e", START, until_s=1.0)
    check(asyncio.run, start, Unreachable, Fenced)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes({"clockMs": 482_113}), st.sampled_from((200, 409, 503)))
def test_a_stop_is_answered_or_not(answer: bytes, status: int) -> None:
    stop = executors(status, answer).stop("e", StopOrder("e1", TASK, 1))
    check(asyncio.run, stop, Unreachable, Fenced)


def test_an_end_of_an_unknown_kind_counts_as_stopped() -> None:
    body = b'{"clockMs":5,"ended":[[1,"0a.0.0.0",2,"swapped","",{"why":"later"}]]}'
    (end,) = asyncio.run(look(200, body)).ended
    assert (end.task, end.run, end.kind) == (TASK, 2, EndKind.STOPPED)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.MACHINES))
def test_a_machine_list_is_decoded_or_no_answer(answer: bytes) -> None:
    client = MachineClient(FixedSession(200, answer), "m")  # type: ignore[arg-type]
    check(asyncio.run, client.machines(), Unreachable)


def test_a_machine_list_with_endless_pages_is_no_answer() -> None:
    client = MachineClient(FixedSession(200, b'{"nextToken":"t"}'), "m")  # type: ignore[arg-type]
    with pytest.raises(Unreachable):
        asyncio.run(client.machines())


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.ADVICE))
def test_advice_is_decoded_or_no_answer(answer: bytes) -> None:
    client = AdviceClient(FixedSession(200, answer), "a")  # type: ignore[arg-type]
    step: Any = SimpleNamespace(
        index=0, run=SimpleNamespace(repetition=0, job=SimpleNamespace(job_id="0a"))
    )
    check(asyncio.run, client.advise(step, ("e1",)), Unreachable)
