"""Answers to requests about jobs, derived from the ledger alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from linkspan.peer.messages import Answer

if TYPE_CHECKING:
    from linkspan.ledger.ledger import Ledger
    from linkspan.model.job import JobSpec


def submit_answer(ledger: Ledger, spec: JobSpec) -> Answer | None:
    """Return the answer to a submission, or None while the ledger does not decide it."""
    if spec.job_id in ledger.tombstones:
        return _refused(spec.job_id, "it was cancelled before it arrived; nothing of it will run")
    known = ledger.spec_of(spec.job_id)
    if known is None:
        return None
    if known != spec:
        return _refused(spec.job_id, "the id stands for another job; use an id of your own")
    return Answer("accepted", _body(ledger, spec.job_id))


def cancel_answer(ledger: Ledger, job_id: str) -> Answer | None:
    """Return the answer to a cancellation, or None while the ledger does not decide it."""
    if job_id in ledger.tombstones:
        body = {"job_id": job_id, "not_run": "all", "message": "it never was and never will be run"}
        return Answer("accepted", orjson.dumps(body))
    if job_id in ledger.finished:
        return Answer("accepted", _body(ledger, job_id))
    number = ledger.job_numbers.get(job_id)
    if number is None or not ledger.jobs[number].cancelled:
        return None
    return Answer("accepted", _body(ledger, job_id))


def job_answer(ledger: Ledger, job_id: str, *, is_fresh: bool) -> Answer:
    """Return the answer to a query for the state of a job.

    Args:
        ledger: The hall's ledger.
        job_id: Id of the job.
        is_fresh: Whether the ledger was recently up to date with the log's end.
    """
    if job_id in ledger.tombstones:
        body = {"job_id": job_id, "state": "not run", "message": "cancelled before it arrived"}
        return Answer("known", orjson.dumps(body))
    if ledger.counts_of(job_id) is not None:
        return Answer("known", _body(ledger, job_id))
    if not is_fresh:
        return Answer("unknown", orjson.dumps({"message": "the log is not read; ask again"}))
    text = "not in the ledger; if it was handed in, it may still arrive: cancel it to be sure"
    return Answer("absent", orjson.dumps({"job_id": job_id, "message": text}))


def _refused(job_id: str, reason: str) -> Answer:
    return Answer("refused", orjson.dumps({"job_id": job_id, "message": reason}))


def _body(ledger: Ledger, job_id: str) -> bytes:
    counts = ledger.counts_of(job_id)
    number = ledger.job_numbers.get(job_id)
    cancelled = number is not None and ledger.jobs[number].cancelled
    state = "finished" if number is None else "cancelling" if cancelled else "under way"
    body: dict[str, Any] = {
        "job_id": job_id,
        "state": state,
        "counts": counts._asdict() if counts else None,
    }
    if counts is not None and counts.moved:
        body["moved_to"] = _moved_to(ledger, job_id)
    return orjson.dumps(body)


def _moved_to(ledger: Ledger, job_id: str) -> str:
    """Return the hall that has the job's other tasks, or "" when it is no longer recorded."""
    for handover in ledger.handovers.values():
        if handover.taken.spec.job_id == job_id:
            return handover.hall
    for origin, taken in ledger.taken_over.items():
        if taken == job_id:
            return origin.rpartition("/")[0]
    return ""
