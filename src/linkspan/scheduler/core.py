"""The scheduler's decisions: what was read and reported in, orders and records out.

Nothing here waits, sends or reads a clock. The daemon feeds it and carries out
what :meth:`SchedulerCore.step` returns; so do the tests, on a virtual clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan._rendezvous import rendezvous
from linkspan.ledger.job_entry import TaskState
from linkspan.ledger.ledger import ApplyResult
from linkspan.ledger.records import (
    Cancelled,
    Decision,
    Ended,
    Expelled,
    Joined,
    Lapsed,
    Left,
    Outcome,
    Placed,
    Recalled,
    Record,
    Submitted,
)
from linkspan.ledger.run_keys import worker_of
from linkspan.model.job import AttemptId, TaskId
from linkspan.scheduler.caller_asks import CallerAsks
from linkspan.scheduler.findings import findings
from linkspan.scheduler.hall_peers import HallPeers
from linkspan.scheduler.outbox import Outbox
from linkspan.scheduler.proof import LapseProof
from linkspan.scheduler.services import service_changes
from linkspan.scheduler.timing import Timing
from linkspan.scheduler.worker_orders import WorkerOrders
from linkspan.scheduler.worker_view import WorkerView
from linkspan.services.messages import ExchangeRequest, WorkerReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from linkspan.ledger.ledger import Ledger
    from linkspan.model.job import JobSpec
    from linkspan.placement.placer import Placer


@dataclass(frozen=True, slots=True)
class Step:
    """What is to be done now.

    Attributes:
        record: Record to append, if any; at most one append is under way.
        exchanges: Orders by the name of the worker that they are for.
    """

    record: Record | None
    exchanges: dict[str, ExchangeRequest]


class SchedulerCore:
    """One scheduler of a hall.

    All schedulers of a hall fold the same ledger. Rendezvous hashing over those
    that are heard of gives each worker one that talks to it and the hall one
    that places; when two believe to be it, the ledger's order decides between
    their records and the workers take the same order twice without harm.

    Args:
        name: This scheduler's name, never used before.
        ledger: The hall's fold.
        placer: The placement policy.
        timing: Times that all schedulers of the hall keep to.
        small_hall: Up to this many workers, the scheduler that places talks to
            all of them, and so learns from every report.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        placer: Placer,
        *,
        timing: Timing | None = None,
        small_hall: int = 64,
    ) -> None:
        self.name = name
        self.ledger = ledger
        self.placer = placer
        self.timing = timing or Timing()
        self.outbox = Outbox(name, self.timing.append_timeout_s)
        self.proof = LapseProof(name, self.timing)
        self.workers: dict[str, WorkerView] = {}
        self.tail_read = float("-inf")
        self._small_hall = small_hall
        self.leaving: frozenset[str] = frozenset()
        self.services: Mapping[str, JobSpec] = {}
        self._asks = CallerAsks(self.timing.resend_s)
        self._reasons: dict[AttemptId, str] = {}
        self._watched: set[str] = set()
        self._owned_among: frozenset[str] = frozenset()
        self._owned: list[WorkerView] = []
        self._placed_at = (float("-inf"), -1)
        self._peers = HallPeers(name, self.timing)
        self._tail_began = float("-inf")
        self._appending = False
        self._leaving = False
        self._note_known_offsets(0.0)

    def __repr__(self) -> str:
        return f"SchedulerCore({self.name!r}, {self.ledger!r}, workers={len(self.workers)})"

    @property
    def has_joined(self) -> bool:
        """Whether the ledger counts this scheduler among those that renew."""
        return self.name in self.ledger.schedulers

    def may_renew(self, now: float) -> bool:
        """Return whether this scheduler's fold is fresh enough to renew leases."""
        if self._leaving:
            return False
        return self.has_joined and now - self.tail_read <= self.timing.offline_renewal_s

    def live_schedulers(self, now: float) -> list[str]:
        """Return the joined schedulers that are heard of, this one included."""
        return self._peers.live(self.ledger, now)

    def leads(self, now: float) -> bool:
        """Return whether this scheduler is the one to place queued tasks."""
        return self.has_joined and rendezvous("lead", self.live_schedulers(now)) == self.name

    def on_records(
        self,
        entries: Iterable[tuple[int, Record | None]],
        now: float,
        *,
        end: int | None = None,
        began: float | None = None,
        each: Callable[[int, Record, list[ApplyResult]], None] | None = None,
    ) -> list[tuple[Decision, ApplyResult]]:
        """Fold in what was read from the log.

        Args:
            entries: Offsets and records in order; None for an unreadable one.
            now: Time in seconds.
            end: The log's end when it answered, if it did answer.
            began: Our time when the read began.
            each: Called with every record and its verdicts.

        Returns:
            What this scheduler itself decided, with the verdicts.
        """
        own: list[tuple[Decision, ApplyResult]] = []
        for offset, record in entries:
            if record is None:
                self.ledger.skip(offset)
                continue
            before = self._workers_of_ends(record)
            verdicts = self.ledger.apply(offset, record)
            self.outbox.seen(record)
            self._note_waits(offset, record, now)
            self._note_ends(record, verdicts, before, now)
            self._hurry_for(record)
            if each is not None:
                each(offset, record, verdicts)
            if record.writer == self.name:
                own += zip(record.decisions, verdicts, strict=True)
        if end is not None and self.ledger.next_offset >= end:
            started = now if began is None else began
            self.tail_read = max(self.tail_read, started)
            self._tail_began = max(self._tail_began, started)
        return own

    def _workers_of_ends(self, record: Record) -> dict[AttemptId, tuple[str, str]]:
        """Return kind and worker of the attempts that the record says ended."""
        found: dict[AttemptId, tuple[str, str]] = {}
        for decision in record.decisions:
            if isinstance(decision, Ended) and (number := worker_of(self.ledger, decision.attempt)):
                kind = self.ledger.jobs[decision.attempt.job].spec.kind
                found[decision.attempt] = (kind, self.ledger.workers[number].spec.name)
        return found

    def _note_ends(
        self,
        record: Record,
        verdicts: list[ApplyResult],
        before: dict[AttemptId, tuple[str, str]],
        now: float,
    ) -> None:
        for decision, verdict in zip(record.decisions, verdicts, strict=True):
            if not isinstance(decision, Ended) or verdict is not ApplyResult.APPLIED:
                continue
            if decision.attempt in before:
                kind, worker = before[decision.attempt]
                failed = decision.outcome is Outcome.FAILED
                self.placer.note_end(kind, worker, failed=failed, ledger=self.ledger, now=now)

    def _note_waits(self, offset: int, record: Record, now: float) -> None:
        if any(isinstance(d, (Recalled, Expelled)) for d in record.decisions):
            self.proof.note_offset(offset, now)

    def _note_known_offsets(self, now: float) -> None:
        for task in self.ledger.recalled:
            self.proof.note_offset(self.ledger.placements[task].recalled, now)
        for offset in self.ledger.expelled.values():
            self.proof.note_offset(offset, now)

    def on_snapshot(self, ledger: Ledger, now: float) -> None:
        """Start over from a recovered ledger, after a gap in the log.

        Args:
            ledger: The recovered state.
            now: Time in seconds; waits for proof begin anew from here.
        """
        self.ledger = ledger
        self._note_known_offsets(now)

    def on_peer(
        self, scheduler: str, applied: int, now: float, *, unfit: Iterable[str] = ()
    ) -> None:
        """Take in a peer's heartbeat.

        Args:
            scheduler: The peer's name.
            applied: First offset that it has not applied.
            now: Time in seconds.
            unfit: Workers that it finds unfit for new work.
        """
        self._peers.hear(scheduler, unfit, now)
        self.proof.confirm(scheduler, applied, now)

    def unfit(self, now: float) -> frozenset[str]:
        """Return the workers of this scheduler's care that must get no new work."""
        return frozenset(
            view.name for view in self._own_workers(now) if not self._is_fit(view, now)
        )

    def _is_fit(self, view: WorkerView, now: float) -> bool:
        if view.report is None or view.report.leaving:
            return False
        return view.silence(now) <= 2 * self.timing.exchange_s

    def on_report(self, report: WorkerReport, began: float) -> None:
        """Take in a worker's report.

        Args:
            report: What the worker said.
            began: Our time in seconds when we began to ask.
        """
        view = self.workers.get(report.spec.name)
        if view is None:
            return
        view.take(report, began)
        self.placer.observe(report, self.ledger, began)

    def watch_workers(self, names: Iterable[str], now: float) -> None:
        """Look after the workers of the platform's list, and no others.

        A worker that is no longer listed but holds attempts is kept, since the
        list lags and proves nothing.
        """
        wanted = set(names)
        wanted |= {account.spec.name for account in self.ledger.workers.values() if account.tasks}
        for name in sorted(wanted - self.workers.keys()):
            self.workers[name] = WorkerView(name, now)
        for name in self.workers.keys() - wanted:
            del self.workers[name]
        if wanted != self._watched:
            self._watched = wanted
            self._owned_among = frozenset()

    def submit(self, spec: JobSpec, now: float) -> None:
        """Hand in a job; the ledger decides whether it is taken."""
        self._asks.add(Submitted(spec), now)

    def cancel(self, job_id: str, now: float) -> None:
        """Ask for a job's cancellation; the ledger decides what that ends."""
        self._asks.add(Cancelled(job_id), now)

    def append_done(self) -> None:
        """Note that the append under way was answered or given up."""
        self._appending = False

    def step(self, now: float, *, may_append: bool = True) -> Step:
        """Decide what is to be done now.

        Args:
            now: Time in seconds, never going back.
            may_append: Whether the budget of appends allows one more.
        """
        self.outbox.expire(now)
        self._join()
        self.outbox.add(self._asks.open(self.ledger, now))
        mine = self._own_workers(now)
        due = [view for view in mine if self._due(view, now)]
        for view in mine:
            if view.has_news:
                view.has_news = False
                self.outbox.add(self._findings(view, now))
        if self.has_joined:
            self.outbox.add(self._lapse(now))
            self.outbox.add(self._recall_chosen())
        if self.leads(now) and now - self.tail_read <= self.timing.append_timeout_s:
            self.outbox.add(self._peers.expulsions(self.ledger, self.proof, now))
            self.outbox.add(service_changes(self.ledger, self.services))
            if self._is_time_to_place(now):
                self.outbox.add(self._place(now))
        exchanges = {view.name: self._orders(view, now) for view in due}
        return Step(self._next_record(now) if may_append else None, exchanges)

    def _next_record(self, now: float) -> Record | None:
        if self._appending:
            return None
        record = self.outbox.take(self.ledger.next_offset, now)
        self._appending = record is not None
        return record

    def _join(self) -> None:
        if self._leaving:
            return
        if self.name in self.ledger.expelled:
            # Having applied the expulsion we renew nothing, so nobody need wait for us.
            self.outbox.add([Left(self.name)])
        elif not self.has_joined:
            self.outbox.add([Joined(self.name)])

    def leave(self) -> None:
        """Renew nothing from here on, and say so in the ledger."""
        self._leaving = True
        self.outbox.add([Left(self.name)])

    def _own_workers(self, now: float) -> list[WorkerView]:
        """Return the workers that this scheduler talks to, found anew on a change."""
        live = frozenset(self.live_schedulers(now))
        if live != self._owned_among:
            self._owned_among = live
            before = {view.name for view in self._owned}
            self._owned = [
                v for v in self.workers.values() if self._owner(v.name, live) == self.name
            ]
            for view in self._owned:
                if view.name not in before:
                    view.watched_since = now
                    view.next_exchange = 0.0
        return self._owned

    def _owner(self, worker: str, live: Iterable[str]) -> str:
        """Return the scheduler that talks to a worker."""
        is_small = len(self.workers) <= self._small_hall
        return rendezvous("lead" if is_small else worker, live)

    def _due(self, view: WorkerView, now: float) -> bool:
        if now >= view.next_exchange:
            view.last_exchange = now
            view.next_exchange = now + self.timing.exchange_s
            view.has_news = True
            return True
        return False

    def _hurry_for(self, record: Record) -> None:
        """Talk soon to the workers that this record has something new for."""
        for decision in record.decisions:
            if isinstance(decision, Placed):
                self._hurry(decision.worker)
            elif isinstance(decision, Recalled) and worker_of(self.ledger, decision.attempt):
                self._hurry(worker_of(self.ledger, decision.attempt))
            elif isinstance(decision, Cancelled):
                self._hurry_job(decision.job_id)

    def _hurry_job(self, job_id: str) -> None:
        number = self.ledger.job_numbers.get(job_id)
        if number is None:
            return
        for index, state in enumerate(self.ledger.jobs[number].states):
            if state == TaskState.PLACED:
                self._hurry(self.ledger.placements[TaskId(number, index)].worker)

    def _hurry(self, worker: int) -> None:
        account = self.ledger.workers.get(worker)
        view = self.workers.get(account.spec.name) if account is not None else None
        if view is not None:
            soon = view.last_exchange + self.timing.hurry_s
            view.next_exchange = min(view.next_exchange, soon)

    def _recall_chosen(self) -> Iterator[Decision]:
        """Yield recalls of what the placer wants to leave its worker."""
        for attempt, reason in self.placer.take_recalls().items():
            if worker_of(self.ledger, attempt):
                self._reasons[attempt] = reason
                yield Recalled(attempt)

    def take_reasons(self) -> dict[AttemptId, str]:
        """Return why attempts were recalled by choice, once, for the log."""
        reasons, self._reasons = self._reasons, {}
        return reasons

    def _lapse(self, now: float) -> Iterator[Decision]:
        """Yield the lapses that are proven, for workers of this scheduler's care."""
        waited_for = [self.ledger.placements[task].recalled for task in self.ledger.recalled]
        waited_for += self.ledger.expelled.values()
        self.proof.forget_before(min(waited_for, default=self.ledger.next_offset))
        for task in sorted(self.ledger.recalled):
            placement = self.ledger.placements[task]
            name = self.ledger.workers[placement.worker].spec.name
            if self._owner(name, self.live_schedulers(now)) != self.name:
                continue
            if now >= self.proof.lapse_at(self.ledger, placement.recalled):
                yield Lapsed(self.ledger.attempt_of(task))

    def _is_leaving(self, view: WorkerView) -> bool:
        told = view.report is not None and view.report.leaving
        return told or view.name in self.leaving

    def _findings(self, view: WorkerView, now: float) -> Iterator[Decision]:
        return findings(
            view,
            self.ledger,
            now,
            silence_s=self.timing.worker_silence_s,
            leaving=self._is_leaving(view),
        )

    def _orders(self, view: WorkerView, now: float) -> ExchangeRequest:
        orders = WorkerOrders(
            view,
            self.ledger,
            lease_s=self.timing.lease_s,
            may_renew=self.may_renew(now),
            leaving=self._is_leaving(view),
            knows_all=self._tail_began > view.reported,
        )
        return orders.write(self.placer)

    # Placement.

    def _is_time_to_place(self, now: float) -> bool:
        """Return whether a pass may find something; without news it seldom does."""
        at, offset = self._placed_at
        has_news = offset != self.ledger.next_offset
        return now - at >= (self.timing.pass_s if has_news else self.timing.exchange_s)

    def _place(self, now: float) -> Iterator[Decision]:
        self._placed_at = (now, self.ledger.next_offset)
        if not self.ledger.jobs:
            return
        unfit = self.unfit(now) | self.leaving | self._peers.told_unfit(now)
        fit = [
            number
            for name, number in self.ledger.worker_numbers.items()
            if name in self.workers and name not in unfit
        ]
        yield from self.placer.resizes(self.ledger)
        on_the_way = list(self.outbox.placements())
        for task, worker in self.placer.place(self.ledger, fit, on_the_way, now):
            yield Placed(AttemptId(*task, self.ledger.attempt_of(task).attempt + 1), worker)

    def queued(self) -> int:
        """Return how many tasks wait to be placed."""
        return sum(e.states.count(TaskState.QUEUED) for e in self.ledger.jobs.values())
