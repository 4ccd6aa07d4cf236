"""Summary of a hall that its shard's owner publishes to all hosts."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import chain, repeat
from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan._typed import (
    MAX_EXACT_INT,
    MAX_FLOAT,
    excerpt,
    parse_int,
    parse_list,
    parse_number,
    parse_object,
    parse_text,
)
from linkspan.errors import RecordError
from linkspan.jobs.spec import Demand
from linkspan.shard.executor_speed import ExecutorSpeed
from linkspan.shard.handover.backlog import Backlog
from linkspan.shard.handover.executor_room import ExecutorRoom
from linkspan.shard.handover.sought_room import SoughtRoom
from linkspan.shard.messages import ExecutorKind, can_run
from linkspan.shard.planning.set_asides import NOTHING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.planning.task_need import TaskNeed


class PairEffect(NamedTuple):
    """A learnt effect of best-effort work on a standing task.

    Attributes:
        standing: Image of the standing task.
        image: Image of the best-effort work.
        mean: Pressure that one core of the best-effort work adds.
        variance: Variance of the mean.
    """

    standing: str
    image: str
    mean: float
    variance: float


@dataclass(frozen=True, slots=True)
class HallSummary:
    """State of a hall that decides where new jobs are placed.

    Attributes:
        capacity: Thousandths of a core of all usable executors.
        free: Thousandths of a core that are neither reserved nor set aside there; 0 while a new
            owner waits for executors to report, as it starts no work but standing tasks until then.
        best_effort: Thousandths of a core that best-effort tasks there would use.
        waiting: Thousandths of a core that best-effort tasks wait for.
        queued: Thousandths of a core that other tasks wait for.
        standing: Thousandths of a core held by standing tasks, by image.
        effects: Learnt effects: in a record those published with it, in a host's view all known
            ones.
        free_by_executor: Free thousandths of a core, free megabytes and, where there are any, free
            accelerators of each executor that takes new work, without what is set aside, ordered by
            kind.
        rows_by_kind: How many of these executors each of ``kinds`` has; empty if not published.
        best_effort_memory: Index of an executor's row and megabytes of memory that best-effort runs
            there would give back for other work; of some executors, those with the most free cores.
        kinds: Kinds of its executors, including those that take no new work at present, but without
            those that leave; ``None`` if not published.
        former_capacities: Service and former size of executors with reduced capacity, which comes
            back.
        backlogs: Work that waits there, by queue and size of its tasks; empty if not published.
        speeds: Speeds of executors that differ from the ordinary one, for the hall's next owner.
        headroom: Index of an executor's row, thousandths of a core, megabytes of memory and, where
            there are any, accelerators there that standing tasks leave to short ones; ``None`` if
            not published.
        sought: Room that standing tasks there wait for.
        standing_only: Whether only standing tasks may use ``free_by_executor`` now.
    """

    capacity: int = 0
    free: int = 0
    best_effort: int = 0
    waiting: int = 0
    queued: int = 0
    standing: dict[str, int] = field(default_factory=dict)
    effects: tuple[PairEffect, ...] = ()
    free_by_executor: tuple[tuple[int, ...], ...] = ()
    kinds: tuple[ExecutorKind, ...] | None = None
    former_capacities: tuple[tuple[str, Demand], ...] = ()
    rows_by_kind: tuple[int, ...] = ()
    best_effort_memory: tuple[tuple[int, int], ...] = ()
    backlogs: tuple[Backlog, ...] = ()
    speeds: tuple[ExecutorSpeed, ...] = ()
    headroom: tuple[tuple[int, ...], ...] | None = None
    sought: tuple[SoughtRoom, ...] = ()
    standing_only: bool = False

    @property
    def published_cpu(self) -> int:
        """Free thousandths of a core of the executors in ``free_by_executor``."""
        return sum(row[0] for row in self.free_by_executor)

    def takes(self, need: TaskNeed) -> bool:
        """Return whether the hall starts new work of a need now."""
        return need.standing or not self.standing_only

    def count_capable(self, step: StepSpec, service: str) -> int:
        """Return how many executors could run a task of a step if they were empty."""
        kinds = self.kinds or ()
        return sum(k.count for k in kinds if k.service == service and can_run(step, k))

    def rooms(self) -> Iterator[ExecutorRoom]:
        """Iterate over the free resources of the executors that take new work."""
        best_effort = dict(self.best_effort_memory)
        kept = {index: Demand(*amounts) for index, *amounts in self.headroom or ()}
        rows = zip(self.free_by_executor, self._kinds_of_rows(), strict=True)
        for index, (row, kind) in enumerate(rows):
            total_cpu = kind.capacity.milli_cpu if kind else self._mean_cpu
            free_cpu, free_memory, *gpus = row
            yield ExecutorRoom(
                total_cpu,
                free_cpu,
                free_memory,
                sum(gpus),
                kind,
                best_effort.get(index, 0),
                None if self.headroom is None else kept.get(index, NOTHING),
            )

    def slots(self, need: TaskNeed, *, enough: int = MAX_EXACT_INT) -> int:
        """Return for how many tasks the hall has room now.

        Args:
            need: Need of the tasks.
            enough: Number of tasks from which on the rest of the hall is not looked at.
        """
        if not self.takes(need):
            return 0
        found = 0
        for room in self.rooms():
            found += need.slots(room)
            if found >= enough:
                break
        return found

    @property
    def _mean_cpu(self) -> int:
        return self.capacity // max(len(self.free_by_executor), 1)

    def _kinds_of_rows(self) -> Iterable[ExecutorKind | None]:
        """Return the kind of each row of ``free_by_executor``, ``None`` where it is unknown."""
        counts = self.rows_by_kind
        if self.kinds is None or sum(counts) != len(self.free_by_executor):
            return repeat(None, len(self.free_by_executor))
        return chain.from_iterable(map(repeat, self.kinds, counts))

    def encode(self) -> list[object]:
        """Return the fields for a record."""
        return [
            self.capacity,
            self.free,
            self.best_effort,
            self.waiting,
            self.standing,
            [[e.standing, e.image, round(e.mean, 4), round(e.variance, 6)] for e in self.effects],
            self.free_by_executor,
            self.queued,
            None if self.kinds is None else [_kind_row(kind) for kind in self.kinds],
            [[service, _size_row(size)] for service, size in self.former_capacities],
            self.rows_by_kind,
            self.best_effort_memory,
            [backlog.encode() for backlog in self.backlogs],
            [speed.encode() for speed in self.speeds],
            self.headroom,
            [list(room) for room in self.sought],
            int(self.standing_only),
        ]

    @classmethod
    def decode(cls, fields: list[object]) -> HallSummary:
        """Return the summary in a record's fields.

        Raises:
            RecordError: The fields are not a valid summary.
        """
        try:
            # Hosts of other versions publish fewer fields, or append more.
            capacity, free, best_effort, waiting, standing, effects, free_by_executor, *rest = (
                fields
            )
            queued = rest[0] if rest else 0
            kinds = rest[1] if len(rest) > 1 else None
            former_capacities = rest[2] if len(rest) > 2 else ()
            rows_by_kind = rest[3] if len(rest) > 3 else ()
            best_effort_memory = rest[4] if len(rest) > 4 else ()
            backlogs = rest[5] if len(rest) > 5 else ()
            speeds = rest[6] if len(rest) > 6 else ()
            headroom = rest[7] if len(rest) > 7 else None
            sought = rest[8] if len(rest) > 8 else ()
            standing_only = rest[9:10] == [1]
            return cls(
                parse_int(capacity),
                _signed(free),
                parse_int(best_effort),
                parse_int(waiting),
                parse_int(queued),
                {
                    parse_text(image): parse_int(held)
                    for image, held in parse_object(standing).items()
                },
                tuple(_effect(parse_list(row)) for row in parse_list(effects)),
                tuple(_room(parse_list(row)) for row in parse_list(free_by_executor)),
                None
                if kinds is None
                else tuple(_kind(parse_list(row)) for row in parse_list(kinds)),
                tuple(_former_capacity(parse_list(row)) for row in parse_list(former_capacities)),
                tuple(parse_int(count) for count in parse_list(rows_by_kind)),
                tuple(_indexed(parse_list(row)) for row in parse_list(best_effort_memory)),
                tuple(Backlog.decode(parse_list(row)) for row in parse_list(backlogs)),
                tuple(ExecutorSpeed.decode(parse_list(row)) for row in parse_list(speeds)),
                None
                if headroom is None
                else tuple(_headroom(parse_list(row)) for row in parse_list(headroom)),
                tuple(SoughtRoom.decode(parse_list(row)) for row in parse_list(sought)),
                standing_only,
            )
        except (ValueError, TypeError) as error:
            raise RecordError(f"hall summary {excerpt(fields)}: {error!r}") from error


def _signed(value: Any) -> int:
    # Without a guard of capacity, more may be reserved than an executor has.
    # Every host reads some of each executor of all halls, so the common case is checked first.
    if type(value) is int and -MAX_EXACT_INT <= value <= MAX_EXACT_INT:
        return value
    return parse_int(value, minimum=-MAX_EXACT_INT)


def _effect(row: list[Any]) -> PairEffect:
    standing, image, mean, variance, *_ = row
    return PairEffect(
        parse_text(standing),
        parse_text(image),
        parse_number(mean, minimum=-MAX_FLOAT),
        parse_number(variance),
    )


def _room(row: list[Any]) -> tuple[int, ...]:
    if len(row) == 2:
        return _signed(row[0]), _signed(row[1])
    cpu, memory, *gpus = row
    return _signed(cpu), _signed(memory), *(_signed(count) for count in gpus[:1])


def _indexed(row: list[Any]) -> tuple[int, int]:
    index, amount, *_ = row
    return parse_int(index), parse_int(amount)


def _headroom(row: list[Any]) -> tuple[int, ...]:
    index, milli_cpu, memory_mb, *gpus = row
    return parse_int(index), parse_int(milli_cpu), parse_int(memory_mb), *map(parse_int, gpus[:1])


def _kind_row(kind: ExecutorKind) -> list[object]:
    return [kind.service, _size_row(kind.capacity), sorted(kind.labels), kind.count]


def _size_row(size: Demand) -> tuple[int, int, int]:
    return size.milli_cpu, size.memory_mb, size.gpus


def _kind(row: list[Any]) -> ExecutorKind:
    service, size, labels, count, *_ = row
    named = frozenset(parse_text(label) for label in parse_list(labels))
    return ExecutorKind(parse_text(service), _size(size), named, parse_int(count))


def _former_capacity(row: list[Any]) -> tuple[str, Demand]:
    service, size, *_ = row
    return parse_text(service), _size(size)


def _size(row: object) -> Demand:
    milli_cpu, memory_mb, gpus, *_ = (parse_int(part) for part in parse_list(row))
    return Demand(milli_cpu, memory_mb, gpus)
