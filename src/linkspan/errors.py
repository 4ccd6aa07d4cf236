"""All errors that linkspan raises; each message names the remedy."""

from __future__ import annotations

import traceback
from pathlib import Path


class LinkspanError(Exception):
    """Base class of all errors of this library."""

    exit_code = 1


class SettingsError(LinkspanError):
    """One or more settings are invalid; the message lists all of them."""

    exit_code = 2


class InvalidInput(LinkspanError):
    """A caller's or operator's input is malformed.

    Args:
        field: Path of the invalid field, for example ``tasks``.
        problem: Description of the problem.
        remedy: What to send instead.
    """

    exit_code = 2

    def __init__(self, field: str, problem: str, remedy: str) -> None:
        super().__init__(f"{field}: {problem}; {remedy}")
        self.field = field
        self.problem = problem
        self.remedy = remedy


class MalformedRequest(LinkspanError):
    """The bytes of a caller are not a valid HTTP request.

    Args:
        part: Part of the request that is not valid.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"{part} is not valid; send HTTP/1.1 as RFC 9112 specifies it")


class BodyRefused(LinkspanError):
    """The body of a request is not read to its end; the request has no effect.

    Args:
        status: HTTP status of the refusal.
        reason: Reason for the refusal.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{reason}; see docs/OPERATIONS.md for the limits on requests")
        self.status = status
        self.reason = reason


class UnstorableJob(LinkspanError):
    """The record of a job exceeds what the store takes, so that the job can never be accepted.

    Args:
        size: Size of the record, in bytes.
    """

    def __init__(self, size: int) -> None:
        super().__init__(f"the record of the job has {size} bytes; split it into smaller jobs")
        self.size = size


class SelectorSyntaxError(LinkspanError):
    """A selector has a syntax error.

    Args:
        text: Text of the selector.
        position: Index of the first invalid character, from 0.
        remedy: What to write at the position instead.
    """

    def __init__(self, text: str, position: int, remedy: str) -> None:
        super().__init__(f"selector {text!r}: at position {position}: {remedy}")
        self.position = position


class Refused(LinkspanError):
    """The request was refused; it has no effect, now or later."""

    exit_code = 3


class OutcomeUnknown(LinkspanError):
    """The request may or may not take effect; the message says how to find out."""

    exit_code = 4


class Unreachable(LinkspanError):
    """The other side did not respond; the message says what to try."""

    exit_code = 5


class Unconnected(Unreachable):
    """No connection was established, so the request was certainly not sent."""


class LogUnavailable(Unreachable):
    """The platform's log service failed or timed out.

    An append that failed this way may still have taken effect; read the stream to find out.
    """


class LogGap(LinkspanError):
    """The log no longer retains the requested records.

    Args:
        first: Oldest offset that the log still holds.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"log starts at offset {first}; resume from a snapshot")
        self.first = first


class BadFrame(LinkspanError):
    """A peer sent bytes that are not a valid message; close the connection."""


class RecordError(LinkspanError):
    """A log record cannot be decoded; every reader skips it."""


class StoreRefused(LinkspanError):
    """The store refused the call, which has no effect, now or later; try again later.

    Args:
        status: HTTP status of the refusal, 0 if no connection was established.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"store refused the call with status {status}; try again later")
        self.status = status


class StoreUnanswered(Unreachable):
    """The store did not respond; the call may take effect, even seconds later."""


class OffsetConflict(LinkspanError):
    """Another append came before a conditional one; read the partition and decide again.

    Args:
        end: First offset that was not yet written.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"partition ends at offset {end}; read it and decide again")
        self.end = end


class ProducerFenced(LinkspanError):
    """A producer with a higher epoch has written; the producer with the lower one must stop.

    Args:
        epoch: The higher epoch, 0 if the store did not return it.
    """

    def __init__(self, epoch: int) -> None:
        super().__init__(f"epoch {epoch} has taken over; stop writing")
        self.epoch = epoch


class ProducerGap(LinkspanError):
    """The sequence number of an append is not the expected one.

    Args:
        expected_sequence: Sequence number that the store expects next.
    """

    def __init__(self, expected_sequence: int) -> None:
        super().__init__(f"store expects sequence number {expected_sequence}; start a new epoch")
        self.expected_sequence = expected_sequence


class Fenced(LinkspanError):
    """An executor has seen a higher fencing token; give up the shard."""


class WrongIncarnation(LinkspanError):
    """The address belongs to another incarnation; the intended one has ended."""


def format_error(error: BaseException) -> str:
    """Return an error and the location where it was raised, for a log.

    For a group of errors, return those of each member.
    """
    if isinstance(error, BaseExceptionGroup):
        return "; ".join(format_error(part) for part in error.exceptions)
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    return f"{error!r} at {[f'{Path(f.filename).name}:{f.lineno}' for f in frames]}"
