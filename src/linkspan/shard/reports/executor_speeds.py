"""Learns how much slower than others each executor runs its tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, log
from operator import itemgetter
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.attempt import NEVER
from linkspan.shard.executor_speed import ExecutorSpeed

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

ORDINARY = 1.0
"""Slowdown of an executor of ordinary speed."""

SLOW_FROM = 2.0
"""Slowdown from which on it counts; below it is taken as ordinary. Tasks of one
step differ by less."""

MAX_SLOWDOWN = 16.0
"""Limits the ratio of one run, so that an odd report does not decide."""

ORDINARY_WEIGHT_RUNS = 1.5
"""Weight of the assumption that an executor has ordinary speed: more than one run, as a task may be
long by itself, and less than two, as two such tasks at once on one executor are rare."""

SLOW_WEIGHT_RUNS = 0.5
"""Weight of the assumption that an executor that was found slow still is: one ordinary run alone
shows that it has recovered, as no run of ordinary speed is possible on a slow one."""

HALF_LIFE_S = 1.0
"""Time after which what a run says has half of its weight: a change must show
within about a second, while other runs there still tell of before."""

MAX_VOTE_AGE_S = 2.0
"""Age from which on what a run says is left out: the longest time between two reports."""

FORGET_AFTER_S = 8.0
"""Time without any run to judge by after which an executor counts as ordinary again: it
may have recovered, and nothing else would show it."""

MAX_PUBLISHED = 32
"""Limits the executors in a hall's summary, as each takes about 40 bytes of the record."""


_LOG_SLOW_FROM = log(SLOW_FROM)


class SpeedChange(NamedTuple):
    """A change of an executor's speed that is worth a line in the log.

    Attributes:
        executor_id: The incarnation.
        before: Slowdown before.
        after: Slowdown now.
        runs: Number of runs that were compared.
    """

    executor_id: str
    before: float
    after: float
    runs: int


class _Vote(NamedTuple):
    """Comparison of one run with similar ones.

    Attributes:
        log_ratio: Logarithm of the run's duration over that of comparable runs.
        weight: Weight of the comparison, in runs.
        at: Steady time of the measurement.
    """

    log_ratio: float
    weight: float
    at: float


@dataclass(slots=True)
class _Record:
    """What is known about one executor.

    Attributes:
        votes: The newest vote of each run, by run.
        slowdown: Present estimate.
        judged_at: Steady time of the last judgement by votes.
        unjudged: Whether there are votes since.
    """

    votes: dict[Hashable, _Vote] = field(default_factory=dict)
    slowdown: float = ORDINARY
    judged_at: float = NEVER
    unjudged: bool = False


class ExecutorSpeeds:
    """Slowdown of each incarnation of an executor, from the runs there.

    Each run has one vote, the ratio of its duration, or of the duration that its progress predicts,
    to that of comparable runs. The slowdown is the weighted median of the votes and of an
    assumption, so a single run that is long by itself marks no executor. Votes lose their weight
    within seconds. An estimate stays until a run contradicts it, because an executor that was left
    by its runs has no votes; after ``FORGET_AFTER_S`` it is dropped.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._slow: set[str] = set()

    def __repr__(self) -> str:
        return f"ExecutorSpeeds({len(self._slow)} of {len(self._records)} executors slow)"

    def slowdown(self, executor_id: str) -> float:
        """Return the factor by which runs at an executor take longer than elsewhere, at least 1."""
        return self._records[executor_id].slowdown if executor_id in self._slow else ORDINARY

    def slow_executors(self) -> list[str]:
        """Return the executors that are slow at present."""
        return sorted(self._slow)

    def unjudged_s(self, executor_id: str, now: float) -> float:
        """Return for how long no run has shown the speed of an executor, in seconds."""
        record = self._records.get(executor_id)
        return now - record.judged_at if record else float("inf")

    def is_shown_ordinary(self, executor_id: str, run: Hashable, since: float) -> bool:
        """Return whether another run has shown that an executor has ordinary speed.

        Otherwise a run that takes long may be long by itself, or be on a slow executor.

        Args:
            executor_id: The executor.
            run: The run that takes long.
            since: Steady time after which the other run must have shown it.
        """
        record = self._records.get(executor_id)
        if record is None or executor_id in self._slow:
            return False
        return any(
            vote.at > since and vote.log_ratio < _LOG_SLOW_FROM
            for other, vote in record.votes.items()
            if other != run
        )

    def vote(
        self, executor_id: str, run: Hashable, ratio: float, weight: float, now: float
    ) -> None:
        """Add or replace the vote of a run, which counts from the next judgement on.

        Args:
            executor_id: The executor.
            run: Identifies the run.
            ratio: Duration of the run over that of comparable runs.
            weight: Weight of the comparison, in runs.
            now: Steady time.
        """
        log_ratio = log(min(max(ratio, 1.0 / MAX_SLOWDOWN), MAX_SLOWDOWN))
        record = self._records.setdefault(executor_id, _Record())
        record.votes[run] = _Vote(log_ratio, weight, now)
        record.unjudged = True

    def judge(self, executor_id: str, now: float) -> SpeedChange | None:
        """Estimate the slowdown of an executor again if there are new votes.

        Returns:
            The change from ordinary to slow or back, ``None`` if there is none.
        """
        record = self._records.get(executor_id)
        if record is None or not record.unjudged:
            return None
        record.unjudged = False
        oldest = now - MAX_VOTE_AGE_S
        record.votes = {key: vote for key, vote in record.votes.items() if vote.at >= oldest}
        estimate = ORDINARY
        if any(vote.log_ratio >= _LOG_SLOW_FROM for vote in record.votes.values()):
            estimate = exp(_weighted_median([_assumption(record, now), *_weigh(record, now)]))
        record.judged_at = now
        return self._set(executor_id, estimate if estimate >= SLOW_FROM else ORDINARY)

    def forget(self, now: float) -> list[SpeedChange]:
        """Drop estimates that no run has confirmed for long, and return the changes."""
        found = [
            executor_id
            for executor_id in self.slow_executors()
            if now - self._records[executor_id].judged_at > FORGET_AFTER_S
        ]
        for executor_id in found:
            # None of them is compared any more.
            self._records[executor_id].votes.clear()
        changes = [self._set(executor_id, ORDINARY) for executor_id in found]
        for executor_id in found:
            del self._records[executor_id]
        return [change for change in changes if change]

    def published(self) -> tuple[ExecutorSpeed, ...]:
        """Return the speeds that differ from the ordinary one, the slowest first."""
        slow = sorted(self._slow, key=lambda name: (-self._records[name].slowdown, name))
        return tuple(
            ExecutorSpeed(name, self._records[name].slowdown, float(len(self._records[name].votes)))
            for name in slow[:MAX_PUBLISHED]
        )

    def adopt(self, speeds: Iterable[ExecutorSpeed], now: float) -> None:
        """Take over what a former owner has published, for executors without runs to judge by."""
        for speed in speeds:
            if speed.executor_id not in self._records and speed.slowdown >= SLOW_FROM:
                slowdown = min(speed.slowdown, MAX_SLOWDOWN)
                self._records[speed.executor_id] = _Record(slowdown=slowdown, judged_at=now)
                self._slow.add(speed.executor_id)

    def remove(self, executor_id: str) -> None:
        """Remove an incarnation that has ended."""
        self._records.pop(executor_id, None)
        self._slow.discard(executor_id)

    def _set(self, executor_id: str, slowdown: float) -> SpeedChange | None:
        record = self._records[executor_id]
        before, record.slowdown = record.slowdown, slowdown
        if slowdown > ORDINARY:
            self._slow.add(executor_id)
        else:
            self._slow.discard(executor_id)
        if (before > ORDINARY) == (slowdown > ORDINARY):
            return None
        return SpeedChange(executor_id, before, slowdown, len(record.votes))


def _assumption(record: _Record, now: float) -> tuple[float, float]:
    """Return the logarithm of the slowdown to assume without any vote, and its weight."""
    if record.slowdown <= ORDINARY:
        return 0.0, ORDINARY_WEIGHT_RUNS
    return log(record.slowdown), SLOW_WEIGHT_RUNS * _fading(now - record.judged_at)


def _weigh(record: _Record, now: float) -> list[tuple[float, float]]:
    return [(v.log_ratio, v.weight * _fading(now - v.at)) for v in record.votes.values()]


def _fading(age_s: float) -> float:
    return float(0.5 ** (max(age_s, 0.0) / HALF_LIFE_S))


def _weighted_median(entries: list[tuple[float, float]]) -> float:
    """Return the lower weighted median, so that in doubt an executor has ordinary speed.

    Example:
        >>> _weighted_median([(0.0, 1.5), (2.0, 1.0)])
        0.0
        >>> _weighted_median([(0.0, 1.5), (2.0, 1.0), (2.1, 1.0)])
        2.0
    """
    half = sum(weight for _, weight in entries) / 2
    passed = 0.0
    for value, weight in sorted(entries, key=itemgetter(0)):
        passed += weight
        if passed >= half:
            return value
    return 0.0
