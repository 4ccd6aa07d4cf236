"""The scheduler's decisions: turns log records and worker reports into records and orders.

The core does no I/O and reads no clock. The daemon passes input to it and carries out
what :meth:`SchedulerCore.step` returns. The tests do the same on a virtual clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan._rendezvous import rendezvous
from linkspan.ledger.entries import ApplyResult
from linkspan.ledger.job_entry import TaskState
from linkspan.ledger.records import (
    Cancelled,
    Decision,
    Expelled,
    Joined,
    Lapsed,
    Left,
    Recalled,
    Record,
    Submitted,
)
from linkspan.model.job import AttemptId
from linkspan.scheduler.caller_requests import CallerRequests
from linkspan.scheduler.hall_peers import HallPeers
from linkspan.scheduler.lease_expiry import LeaseExpiryProof
from linkspan.scheduler.outbox import Outbox
from linkspan.scheduler.placer_decisions import PlacerDecisions, ended_runs
from linkspan.scheduler.services import service_changes
from linkspan.scheduler.timing import Timing
from linkspan.scheduler.watched_workers import WatchedWorkers
from linkspan.scheduler.worker_decisions import worker_decisions
from linkspan.scheduler.worker_orders import WorkerOrders
from linkspan.services.messages import ExchangeRequest, WorkerReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from linkspan.ledger.ledger import Ledger
    from linkspan.model.job import JobSpec
    from linkspan.placement.placer import Placer
    from linkspan.scheduler.worker_view import WorkerView


@dataclass(frozen=True, slots=True)
class Step:
    """Actions that the daemon has to carry out now.

    Attributes:
        record: Record to append, or None; at most one append is in flight.
        exchanges: Orders by name of the worker that they go to.
    """

    record: Record | None
    exchanges: dict[str, ExchangeRequest]


class SchedulerCore:
    """One scheduler of a hall.

    All schedulers of a hall apply the same log to their ledgers. Rendezvous hashing
    over the live schedulers assigns each worker a scheduler (:class:`WatchedWorkers`),
    and the hall a leader that places tasks. Two schedulers may both act as leader for
    a time: the order of the log decides between their records, and workers handle
    repeated orders idempotently.

    Args:
        name: This scheduler's name, which no earlier scheduler has used.
        ledger: The hall's ledger, as applied from the log.
        placer: The placement policy.
        timing: Intervals and limits that all schedulers of the hall share.
        small_hall: Up to this number of workers, the leader exchanges messages
            with all of them, so that its placer sees every report.
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
        self.timing = timing or Timing()
        self._placer_decisions = PlacerDecisions(placer, self.timing)
        self.outbox = Outbox(name, self.timing.append_timeout_s)
        self.proof = LeaseExpiryProof(name, self.timing)
        self._workers = WatchedWorkers(name, self.timing, small_hall=small_hall)
        self.tail_read = float("-inf")
        self.leaving: frozenset[str] = frozenset()
        self.services: Mapping[str, JobSpec] = {}
        self._requests = CallerRequests(self.timing.resend_s)
        self._peers = HallPeers(name, self.timing)
        self._tail_read_started = float("-inf")
        self._append_in_flight = False
        self._leaving = False
        self._note_proof_offsets_of_ledger(0.0)

    def __repr__(self) -> str:
        return f"SchedulerCore({self.name!r}, {self.ledger!r}, workers={len(self._workers)})"

    @property
    def placer(self) -> Placer:
        """The placement policy; a new one counts from the next step on."""
        return self._placer_decisions.placer

    @placer.setter
    def placer(self, placer: Placer) -> None:
        self._placer_decisions.placer = placer

    @property
    def has_joined(self) -> bool:
        """Whether the ledger lists this scheduler among those that renew leases."""
        return self.name in self.ledger.schedulers

    def may_renew(self, now: float) -> bool:
        """Return whether this scheduler's ledger is fresh enough to renew leases."""
        if self._leaving:
            return False
        return self.has_joined and now - self.tail_read <= self.timing.offline_renewal_s

    def live_schedulers(self, now: float) -> list[str]:
        """Return the joined schedulers with recent heartbeats, and this scheduler."""
        return self._peers.live(self.ledger, now)

    def leads(self, now: float) -> bool:
        """Return whether this scheduler is the leader, which places queued tasks."""
        return self.has_joined and rendezvous("lead", self.live_schedulers(now)) == self.name

    def on_records(
        self,
        entries: Iterable[tuple[int, Record | None]],
        now: float,
        *,
        end: int | None = None,
        read_started: float | None = None,
        on_record: Callable[[int, Record, list[ApplyResult]], None] | None = None,
    ) -> list[tuple[Decision, ApplyResult]]:
        """Apply records that were read from the log.

        Args:
            entries: Offsets and records in log order; None for a record that cannot be decoded.
            now: Time in seconds.
            end: The log's end at the time of its answer, None if it did not answer.
            read_started: Local time in seconds when the read started.
            on_record: Called with each record and the results of its decisions.

        Returns:
            This scheduler's own decisions, with their results.
        """
        own: list[tuple[Decision, ApplyResult]] = []
        for offset, record in entries:
            if record is None:
                self.ledger.skip(offset)
                continue
            ended = ended_runs(self.ledger, record)
            results = self.ledger.apply(offset, record)
            self.outbox.on_record(record)
            self._note_proof_offset(offset, record, now)
            self._placer_decisions.report_ends(record, results, ended, self.ledger, now)
            self._workers.schedule_exchanges(record, self.ledger)
            if on_record is not None:
                on_record(offset, record, results)
            if record.writer == self.name:
                own += zip(record.decisions, results, strict=True)
        if end is not None and self.ledger.next_offset >= end:
            started = now if read_started is None else read_started
            self.tail_read = max(self.tail_read, started)
            self._tail_read_started = max(self._tail_read_started, started)
        return own

    def _note_proof_offset(self, offset: int, record: Record, now: float) -> None:
        if any(isinstance(d, (Recalled, Expelled)) for d in record.decisions):
            self.proof.note_offset(offset, now)

    def _note_proof_offsets_of_ledger(self, now: float) -> None:
        for task in self.ledger.recalled:
            self.proof.note_offset(self.ledger.placements[task].recalled, now)
        for offset in self.ledger.expelled.values():
            self.proof.note_offset(offset, now)

    def on_snapshot(self, ledger: Ledger, now: float) -> None:
        """Replace the ledger by one recovered from a snapshot, after a gap in the log.

        Args:
            ledger: The recovered ledger.
            now: Time in seconds; waits for the expiry of leases restart from this time.
        """
        self.ledger = ledger
        self._note_proof_offsets_of_ledger(now)

    def on_peer(
        self, scheduler: str, applied: int, now: float, *, unfit: Iterable[str] = ()
    ) -> None:
        """Handle a heartbeat of another scheduler of this hall.

        Args:
            scheduler: The peer's name.
            applied: First log offset that the peer has not applied.
            now: Time in seconds.
            unfit: Workers that the peer reports as unfit for new work.
        """
        self._peers.on_heartbeat(scheduler, unfit, now)
        self.proof.confirm(scheduler, applied, now)

    def unfit(self, now: float) -> frozenset[str]:
        """Return the workers assigned to this scheduler that must get no new work."""
        return frozenset(
            view.name for view in self._assigned_workers(now) if not self._is_fit(view, now)
        )

    def _is_fit(self, view: WorkerView, now: float) -> bool:
        if view.report is None or view.report.leaving:
            return False
        return view.silence(now) <= 2 * self.timing.exchange_s

    def on_report(self, report: WorkerReport, started: float) -> None:
        """Handle a worker's report.

        Args:
            report: The report.
            started: Local time in seconds when the exchange started.
        """
        view = self._workers.get(report.spec.name)
        if view is None:
            return
        view.apply_report(report, started)
        self.placer.observe(report, self.ledger, started)

    def watch_workers(self, names: Iterable[str], now: float) -> None:
        """Set the workers to watch to those on the platform's list, and those with attempts."""
        self._workers.watch(names, self.ledger, now)

    def submit(self, spec: JobSpec, now: float) -> None:
        """Submit a job; the ledger decides whether it is accepted."""
        self._requests.add(Submitted(spec), now)

    def cancel(self, job_id: str, now: float) -> None:
        """Request the cancellation of a job; the ledger decides which tasks it ends."""
        self._requests.add(Cancelled(job_id), now)

    def append_done(self) -> None:
        """Record that the append in flight was answered or given up."""
        self._append_in_flight = False

    def step(self, now: float, *, may_append: bool = True) -> Step:
        """Decide which record to append and which orders to send now.

        Args:
            now: Time in seconds, monotonic.
            may_append: Whether the append budget allows another append.
        """
        self.outbox.expire(now)
        self._join()
        self.outbox.add(self._requests.pending(self.ledger, now))
        assigned = self._assigned_workers(now)
        due = [view for view in assigned if self._workers.start_exchange_if_due(view, now)]
        for view in assigned:
            if view.needs_check:
                view.needs_check = False
                self.outbox.add(self._worker_decisions(view, now))
        if self.has_joined:
            self.outbox.add(self._expired_leases(now))
            self.outbox.add(self._placer_decisions.recalls(self.ledger))
        if self.leads(now) and now - self.tail_read <= self.timing.append_timeout_s:
            self.outbox.add(self._peers.expulsions(self.ledger, self.proof, now))
            self.outbox.add(service_changes(self.ledger, self.services))
            if self._placer_decisions.is_pass_due(self.ledger, now):
                fit = self._fit_workers(now) if self.ledger.jobs else []
                self.outbox.add(
                    self._placer_decisions.placements(self.ledger, fit, self.outbox, now)
                )
        exchanges = {view.name: self._orders(view, now) for view in due}
        return Step(self._next_record(now) if may_append else None, exchanges)

    def _next_record(self, now: float) -> Record | None:
        if self._append_in_flight:
            return None
        record = self.outbox.next_record(self.ledger.next_offset, now)
        self._append_in_flight = record is not None
        return record

    def _join(self) -> None:
        if self._leaving:
            return
        if self.name in self.ledger.expelled:
            # A scheduler that has applied its own expulsion renews no lease, so that the
            # other schedulers need not wait for the bound on offline renewal.
            self.outbox.add([Left(self.name)])
        elif not self.has_joined:
            self.outbox.add([Joined(self.name)])

    def leave(self) -> None:
        """Stop renewing leases for good, and record that in the ledger."""
        self._leaving = True
        self.outbox.add([Left(self.name)])

    def _assigned_workers(self, now: float) -> list[WorkerView]:
        """Return the workers assigned to this scheduler."""
        return self._workers.assigned(frozenset(self.live_schedulers(now)), now)

    def _expired_leases(self, now: float) -> Iterator[Decision]:
        """Yield expiry records for recalled attempts whose leases have certainly expired.

        Covers the workers that are assigned to this scheduler.
        """
        awaited = [self.ledger.placements[task].recalled for task in self.ledger.recalled]
        awaited += self.ledger.expelled.values()
        self.proof.forget_before(min(awaited, default=self.ledger.next_offset))
        for task in sorted(self.ledger.recalled):
            placement = self.ledger.placements[task]
            name = self.ledger.workers[placement.worker].spec.name
            if self._workers.scheduler_of(name, self.live_schedulers(now)) != self.name:
                continue
            if now >= self.proof.expires_at(self.ledger, placement.recalled):
                yield Lapsed(self.ledger.attempt_of(task))

    def _is_leaving(self, view: WorkerView) -> bool:
        reported = view.report is not None and view.report.leaving
        return reported or view.name in self.leaving

    def _worker_decisions(self, view: WorkerView, now: float) -> Iterator[Decision]:
        return worker_decisions(
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
            is_newer_than_report=self._tail_read_started > view.report_started,
        )
        return orders.build(self.placer)

    def _fit_workers(self, now: float) -> list[int]:
        """Return the numbers of the workers that may get new work."""
        unfit = self.unfit(now) | self.leaving | self._peers.reported_unfit(now)
        return [
            number
            for name, number in self.ledger.worker_numbers.items()
            if name in self._workers and name not in unfit
        ]

    def take_recall_reasons(self) -> dict[AttemptId, str]:
        """Return and clear the placer's reasons for its recalls, by attempt, for the log."""
        return self._placer_decisions.take_recall_reasons()

    def queued(self) -> int:
        """Return the number of tasks that wait for placement."""
        return sum(e.states.count(TaskState.QUEUED) for e in self.ledger.jobs.values())
