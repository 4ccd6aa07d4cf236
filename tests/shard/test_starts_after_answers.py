"""Tests starts of tasks that may crash executors, which follow an answer of their executor.

A task may crash its executor before the executor answers the start. What shows that the start did
it is an answer immediately before it, and none after it.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.crash import Crash
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.messages import ExecutorReport, StartOrder
from linkspan.shard.orders._orders import MAX_ANSWER_AGE_S
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from tests.job_builders import step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    plan,
    report_ends,
)
from tests.shard.crash_builders import (
    crash_executor,
    crash_idle_executors,
    only_task,
    order_on,
    set_all_durable,
)
from tests.shard.stepped_dispatcher import SteppedDispatcher

ANSWER_AGE_S = 0.02
"""Age of an executor's last answer in :func:`order_on`."""


def _step_of_suspects(count: int) -> ShardCore:
    """Return a core with a step whose tasks are all to be isolated."""
    core = core_with(step(count, estimate_s=60.0), executors=0)
    crashes = tuple(Crash(f"f{number}", number, 2, confirmed=False) for number in (1, 2))
    for task in core.jobs[JOB].runs[0].tasks():
        task.next_run = 3
        core.set_crash_history(task, CrashHistory(2, 4, identified_crashes=crashes))
    set_all_durable(core)
    return core


def _send_start(core: ShardCore, name: str, now: float, *, answer_age_s: float) -> StartOrder:
    """Order a start of the task on a new executor and let it be sent after the last answer."""
    order = order_on(core, name, now)
    core.on_start_sent(order, now - ANSWER_AGE_S + answer_age_s)
    return order


def _crash_at_start(core: ShardCore, name: str, now: float, *, answer_age_s: float) -> None:
    """Let an executor crash before it answers the start."""
    order = _send_start(core, name, now, answer_age_s=answer_age_s)
    core.on_start_unanswered(order, now + 1.0)
    crash_executor(core, name, now + 1.1, now + 1.5)


def _certainty(core: ShardCore) -> tuple[int, int]:
    history = only_task(core).crash_history
    return (history.confirmed_count, history.certain_count) if history else (0, 0)


@pytest.mark.parametrize(("answer_age_s", "certain"), [(ANSWER_AGE_S, 1), (0.2, 1), (0.4, 0)])
def test_silence_after_a_start_that_followed_an_answer_is_a_certain_crash(
    answer_age_s: float, certain: int
) -> None:
    """Guards against crashes that decide nothing because the executor never answered the start."""
    core = _step_of_suspects(1)
    _crash_at_start(core, "e0", 1.0, answer_age_s=answer_age_s)
    assert _certainty(core) == (certain, certain)


def test_an_executor_that_answers_after_the_start_has_not_crashed_at_it() -> None:
    """Guards against a job given up for starts that were lost, and crashes that came later."""
    core = _step_of_suspects(1)
    order = _send_start(core, "e0", 1.0, answer_age_s=ANSWER_AGE_S)
    core.on_report("e0", ExecutorReport(1.11, (), ()), asked=1.1, now=1.12)
    core.on_start_unanswered(order, 2.0)
    crash_executor(core, "e0", 2.1, 2.5)
    assert _certainty(core) == (0, 0)


def test_an_answer_made_after_the_start_and_applied_later_shows_the_same() -> None:
    """Guards against a job given up as the answer to a poll that waited was not considered."""
    core = _step_of_suspects(1)
    order = _send_start(core, "e0", 1.0, answer_age_s=ANSWER_AGE_S)
    core.on_report("e0", ExecutorReport(1.4, (), ()), asked=0.97, now=1.8)
    core.on_start_unanswered(order, 2.0)
    crash_executor(core, "e0", 2.1, 2.5)
    assert _certainty(core) == (0, 0)


def test_a_task_that_crashes_executors_at_its_start_is_given_up_in_an_unstable_hall() -> None:
    """Guards against a sixth start of a task under which five executors crashed.

    Executors crash by themselves, so only certain crashes give a task up. The first two starts
    follow no answer, as nothing was known of the task.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    at = 1.0
    starts = 0
    while not core.finished and starts < 6:
        starts += 1
        crash_idle_executors(core, (f"idle-{starts}",), at)
        known = only_task(core).needs_isolation
        _crash_at_start(core, f"e{starts}", at + 1.0, answer_age_s=0.1 if known else 2.0)
        core.tick(at + 3.0 + GIVE_UP_DELAY_S)
        at += 4.0
    assert len(core.finished) == 1
    assert starts <= 5


class _PolledDispatcher(SteppedDispatcher):
    """A dispatcher whose polls are answered, or not, by an executor in the test.

    Args:
        core: The core whose orders are sent.
        answers: Whether the executor answers polls.
    """

    def __init__(self, core: ShardCore, *, answers: bool) -> None:
        super().__init__(core)
        self.answers = answers
        self.polled: list[str] = []
        self.now = 0.0
        self.dispatcher._watch.poll_once = self._poll  # type: ignore[method-assign, assignment]

    async def _poll(self, executor: object) -> None:
        name = executor.executor_id  # type: ignore[attr-defined]
        self.polled.append(name)
        await asyncio.sleep(0)
        if self.answers:
            report_ends(self.core, name, asked=self.now, now=self.now)
        else:
            self.core.on_silent(name, self.now)


def _planned(*, crashes: int, answers: bool) -> _PolledDispatcher:
    """Plan a start, seconds after the executor's last answer, under a number of crashes before."""
    core = core_with(step(1), executors=0)
    for number in range(crashes):
        _crash_at_start(core, f"e{number}", 1.0 + 3.0 * number, answer_age_s=1.0)
    at = 20.0
    add_executor(core, "c")
    report_ends(core, "c", asked=at - 2.0, now=at - 1.99)
    set_all_durable(core)
    stepped = _PolledDispatcher(core, answers=answers)
    stepped.proof.proved(at)
    stepped.plan(at)
    stepped.now = at + MAX_ANSWER_AGE_S
    stepped.run_pending(stepped.now)
    for check in stepped.waiting:
        # The poll of an unanswered start is due later.
        check.close()
    return stepped


def test_a_start_of_a_task_that_may_crash_executors_follows_an_answer() -> None:
    """Guards against crashes that are certain for no owner: nobody knew the executor was alive."""
    stepped = _planned(crashes=2, answers=True)
    assert stepped.polled[:1] == ["c"]
    assert [order.executor_id for order in stepped.sent] == ["c"]
    (attempt,) = only_task(stepped.core).attempts
    assert attempt.follows_answer


def test_a_start_of_a_task_that_may_crash_executors_is_not_sent_to_a_silent_one() -> None:
    """Guards against a start that may arrive for seconds at an executor that does not answer."""
    stepped = _planned(crashes=2, answers=False)
    assert stepped.polled == ["c"]
    assert stepped.sent == []
    assert only_task(stepped.core).attempts == [], "it may be started elsewhere at once"


def test_a_start_of_any_other_task_waits_for_no_answer() -> None:
    """Guards against a poll before each start, which costs calls and time."""
    stepped = _planned(crashes=0, answers=False)
    assert stepped.polled == []
    assert [order.executor_id for order in stepped.sent] == ["c"]


def test_with_two_unanswered_starts_none_is_a_certain_crash() -> None:
    """Guards against a job given up although its start had not arrived: another one crashed.

    Two starts are on their way when the executor falls silent. It may have crashed at the first to
    arrive.
    """
    core = _step_of_suspects(2)
    add_executor(core, "e0")
    report_ends(core, "e0", asked=0.97, now=0.98)
    for task in core.jobs[JOB].runs[0].tasks():
        core.place(task, core.executors["e0"], 1.0)
    for order in core.orders:
        assert isinstance(order, StartOrder)
        core.on_start_sent(order, 1.0)
        core.on_start_unanswered(order, 2.0)
    crash_executor(core, "e0", 2.1, 2.5)
    for task in core.jobs[JOB].runs[0].tasks():
        assert task.crash_history
        assert (task.crash_history.crash_count, task.crash_history.certain_count) == (3, 0)


def test_a_start_that_follows_an_answer_by_chance_is_no_evidence() -> None:
    """Guards against a job given up for starts that nobody kept apart from others."""
    core = core_with(step(1), executors=0)
    _crash_at_start(core, "e0", 1.0, answer_age_s=ANSWER_AGE_S)
    assert _certainty(core) == (0, 0)


def test_no_other_start_goes_to_an_executor_with_an_unanswered_start_of_a_suspect() -> None:
    """Guards against a crash that cannot be told apart: another start came in between."""
    core = core_with(step(2, estimate_s=60.0, max_per_executor=2), executors=1)
    suspect, other = core.jobs[JOB].runs[0].tasks()
    crashes = tuple(Crash(f"f{number}", number, 2, confirmed=False) for number in (1, 2))
    core.set_crash_history(suspect, CrashHistory(2, 4, identified_crashes=crashes))
    set_all_durable(core)
    core.place(suspect, core.executors["e0"], 1.0)
    (first,) = core.orders
    core.orders = []
    assert plan(core, 1.1) == [], "the other task waits"
    assert isinstance(first, StartOrder)
    confirm_start(core, first, 1.2)
    (order,) = plan(core, 1.3)
    assert order.task == other.name
