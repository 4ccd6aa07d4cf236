"""A hall whose executors report progress, played in steps of a quarter of a second.

Each task has a length at ordinary speed, and each executor a slowdown that a test may change.
"""

from __future__ import annotations

from collections.abc import Callable

from linkspan.events import Event
from linkspan.jobs.spec import StepSpec
from linkspan.model.settings import Bounds
from linkspan.shard.attempt import Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartAnswer,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskName,
)
from linkspan.shard.planning.planner import Planner
from linkspan.shard.recovery.progress import encode_run
from tests.shard.builders import core_with, submitted_job

STEP_S = 0.25
"""Time between two reports; deployments have 0.25 to 2 s."""

LONG_FACTOR = 7.0
"""Length of a task that is long by itself, over that of its siblings."""

SLOWDOWN = 8.0
"""Slowdown of a slow executor."""


class SteppedHall:
    """Plays a hall's executors and its planner."""

    def __init__(
        self, *steps: StepSpec, executors: int, length_s: Callable[[TaskName], float]
    ) -> None:
        self.now = 1.0
        self.slowdowns: dict[str, float] = {}
        self.events: list[tuple[float, Event, dict[str, object]]] = []
        self.starts: list[tuple[float, StartOrder]] = []
        self.core: ShardCore = core_with(*steps, executors=executors, log=self._log)
        self.constant_percent: int | None = None
        self.cut_off: set[str] = set()
        self.start_delays_s: dict[str, float] = {}
        self._length_s = length_s
        self._worked_s: dict[tuple[TaskName, int], float] = {}
        self._saved_s: dict[TaskName, float] = {}
        self._ends = 0
        self._delayed: list[tuple[float, StartOrder]] = []

    def _log(self, event: Event, **fields: object) -> None:
        self.events.append((self.now, event, fields))

    def named(self, event: Event) -> list[tuple[float, dict[str, object]]]:
        """Return the time and the fields of each line of an event."""
        return [(at, fields) for at, found, fields in self.events if found is event]

    def add_job(self, job_id: str, *steps: StepSpec) -> None:
        self.core.add_job(submitted_job(*steps, job_id=job_id, accepted=self.now), self.now)

    def play(self, until: float) -> None:
        """Play until a time."""
        while self.now < until:
            for executor in list(self.core.executors.values()):
                self._work(executor)
                if executor.executor_id not in self.cut_off:
                    self._report(executor)
            Planner(self.core).plan(self.now, self.now)
            orders, self.core.orders = self.core.orders, []
            for order in orders:
                if isinstance(order, StartOrder):
                    self._start(order)
                elif isinstance(order, StopOrder):
                    self.core.on_stopped(order, True, self.now)
            self.now += STEP_S
            self._send_delayed()

    def lose_owner(self) -> None:
        """Let another owner take over, with the records and the published speeds of this one."""
        former = self.core
        records = [executor.record for executor in former.executors.values()]
        self.core = ShardCore(0, Bounds(), log=self._log, token=former.token + 1)
        assert former.configuration
        self.core.configure(former.configuration)
        self.core.health.speeds.adopt(former.health.speeds.published(), self.now)
        self.core.inherit(records, self.now + Bounds().max_lease_s)
        self.core.list_executors(records, self.now)
        for executor in self.core.executors.values():
            executor.rostered = True
        for job in former.jobs.values():
            progress = {number: encode_run(run) for number, run in job.runs.items()}
            self.core.add_job(job.submitted, self.now, inherited=True, progress=progress)

    def runs_at(self, executor_id: str) -> int:
        return len(self.core.executors[executor_id].attempts)

    def _start(self, order: StartOrder) -> None:
        if delay_s := self.start_delays_s.get(order.executor_id):
            self._delayed.append((self.now + delay_s, order))
            return
        self._begin(order)

    def _send_delayed(self) -> None:
        due = [order for at, order in self._delayed if at <= self.now]
        self._delayed = [(at, order) for at, order in self._delayed if at > self.now]
        for order in due:
            self._begin(order)

    def _begin(self, order: StartOrder) -> None:
        self.starts.append((self.now, order))
        self._worked_s[(order.task, order.run)] = (
            self._saved_s.get(order.task, 0.0) if order.checkpoint else 0.0
        )
        self.core.on_started(order, StartAnswer(StartOutcome.STARTED, self.now), self.now)

    def _work(self, executor: ExecutorState) -> None:
        share = STEP_S / self.slowdowns.get(executor.executor_id, 1.0)
        for key in executor.attempts:
            if key in self._worked_s:
                self._worked_s[key] += share

    def _report(self, executor: ExecutorState) -> None:
        running, ended = [], []
        for attempt in executor.attempts.values():
            name, run = attempt.key
            if attempt.key not in self._worked_s:
                continue
            saves = attempt.task.step.spec.checkpoints
            done = self._worked_s[attempt.key] / self._length_s(name)
            if attempt.phase is Phase.STOPPING:
                self._saved_s[name] = self._worked_s[attempt.key]
                saved = "saved" if saves else ""
                ended.append((name, run, EndKind.STOPPED, saved))
            elif done >= 1.0:
                ended.append((name, run, EndKind.DONE, ""))
            else:
                constant = self.constant_percent
                percent = int(100 * done) if constant is None else constant
                cpu = float(attempt.task.step.spec.demand.milli_cpu)
                running.append(RunningTask(name, run, "", percent, cpu))
        ends = []
        for end in ended:
            self._ends += 1
            ends.append(EndedTask(self._ends, *end))
        report = ExecutorReport(self.now, tuple(running), tuple(ends))
        # Polls follow each other without a pause, and are held until something has ended.
        asked = max(executor.reported_at, self.now - STEP_S)
        self.core.on_report(executor.executor_id, report, asked=asked, now=self.now)
