"""Tasks that are lent to other shards or borrowed from them, and jobs that move."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.jobs.records import Loan
from linkspan.shard.crash_history import delegated_crash_history, retract_crash
from linkspan.shard.recovery.progress import key_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._books import ShardBooks
    from linkspan.shard.crash_history import CrashHistory
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.task import Task


class Loans:
    """Keeps track of work that is looked after by another shard than its own.

    Args:
        books: The shard's state.
    """

    def __init__(self, books: ShardBooks) -> None:
        self._books = books

    def __repr__(self) -> str:
        return f"Loans({self._books!r})"

    def borrow_more(self, job_id: str, loans: Iterable[Loan], now: float) -> None:
        """Take in all open loans of a job's tasks to this shard."""
        job = self._books.jobs.get(job_id)
        run = job.runs.get(0) if job and job.borrowed else None
        if run is None:
            return
        for loan in loans:
            task = run.steps[loan.step].tasks[loan.index]
            if task.lent is not None and task.loan < loan.number:
                task.lent = None
                task.loan = loan.number
                self._books.set_crash_history(task, delegated_crash_history(loan))
                self._books.mark_ready(task, now)

    def give_away(self, job_id: str, shard: int, tasks: Iterable[tuple[int, int]]) -> JobRun | None:
        """Stop looking after pending tasks of a job; return their repetition.

        A loan of a task that lives here gets the next number; a task that was lent to
        this shard goes back under the number that it came with.
        """
        job = self._books.jobs.get(job_id)
        run = job.runs.get(0) if job else None
        if job is None or run is None:
            return None
        for step, index in tasks:
            task = run.steps[step].tasks[index]
            task.lent = shard
            task.loan += 0 if job.borrowed else 1
        self._books.touch(run)
        return run

    def take_back(self, job_id: str, returned: Iterable[Loan], now: float) -> None:
        """Look after tasks again whose loans were given back."""
        job = self._books.jobs.get(job_id)
        run = job.runs.get(0) if job and not job.borrowed else None
        if run is None:
            return
        for loan in returned:
            task = run.steps[loan.step].tasks[loan.index]
            if task.lent is not None and task.loan == loan.number:
                task.given_back[task.lent] = loan.number
                task.lent = None
                self._books.set_crash_history(task, _brought_back(task, loan))
                self._books.touch(run)
                self._books.mark_ready(task, now)

    def loans(self, job_id: str) -> dict[int, tuple[Loan, ...]]:
        """Return the loans of a job's tasks that are out, by shard."""
        job = self._books.jobs.get(job_id)
        loans: dict[int, tuple[Loan, ...]] = {}
        for run in job.runs.values() if job else ():
            for task in run.tasks():
                if task.lent is not None and task.loan:
                    loans[task.lent] = (*loans.get(task.lent, ()), loan_of(task))
        return loans

    def remove_moved(self, job_id: str) -> None:
        """Forget a job that was moved to another shard."""
        self._books.left.add(job_id)
        job = self._books.jobs.pop(job_id, None)
        for run in job.runs.values() if job else ():
            self._books.dirty.pop((job_id, run.repetition), None)
            self._books.dropped.append(key_of(run))
            for step in run.steps:
                self._books.ready.pop(step, None)
                self._books.advice.forget(step)


def _brought_back(task: Task, loan: Loan) -> CrashHistory | None:
    """Return what a loan brings back of crashes, but for those that were none by now."""
    known = delegated_crash_history(loan)
    for incarnation in task.retracted_crashes:
        known = known and retract_crash(known, incarnation, known.version)
    task.retracted_crashes.clear()
    return known


def loan_of(task: Task) -> Loan:
    """Return a task's last loan, with the crashes under it: the count goes with the task."""
    known = task.crash_history
    name = task.name.step, task.name.index, task.loan
    return (
        Loan(*name, known.crash_count, known.crash_score, known.identified_crashes)
        if known
        else Loan(*name)
    )
