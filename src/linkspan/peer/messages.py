"""Messages of the peer protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from linkspan.config.store import ConfigState
from linkspan.model.job import JobSpec


class Heard(NamedTuple):
    """A peer's division of the executors' slots, as a digest of its member list."""

    name: str
    division: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state of a process that it sends to its peers at regular intervals.

    Attributes:
        name: Name of the process; no earlier process used it.
        role: ``gateway`` or ``scheduler``.
        hall: Hall of the process.
        address: ``ip:port`` of its listener for peers.
        applied: First ledger offset that the process has not applied.
        config: Version of its configuration in force.
        unfit: Workers assigned to a scheduler that must get no new work.
        members: Gateways among which a gateway divides the executors' slots.
        heard: Divisions of its peers that a gateway has received.
        in_flight: Number of its requests that executors have not answered.
        draining: Whether the process is about to stop.
        callers: ``ip:port`` of a gateway's listener for callers.
        serves: Services for which a gateway has executors.
    """

    name: str
    role: str
    hall: str
    address: str
    applied: int = 0
    config: int = 0
    unfit: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    heard: tuple[Heard, ...] = ()
    in_flight: int = 0
    draining: bool = False
    callers: str = ""
    serves: tuple[str, ...] = ()


class Submit(NamedTuple):
    """Request to submit a job to a scheduler."""

    spec: JobSpec


class Cancel(NamedTuple):
    """Request to cancel a job."""

    job_id: str


class Ask(NamedTuple):
    """Query for the state of a job."""

    job_id: str


class Explain(NamedTuple):
    """Query for the state of a job and the decisions behind it."""

    job_id: str


class FetchConfig(NamedTuple):
    """Request for the peer's configuration in force."""


class ConfigAnswer(NamedTuple):
    """The answer to :class:`FetchConfig`: the sender's configuration in force."""

    state: ConfigState


@dataclass(frozen=True, slots=True)
class Answer:
    """A scheduler's answer about a job.

    Attributes:
        status: ``accepted``, ``refused``, ``known``, ``absent``, or ``unknown`` while
            the scheduler cannot tell.
        body: Details as JSON.
    """

    status: str
    body: bytes = b"{}"


Message: TypeAlias = (
    Heartbeat | Submit | Cancel | Ask | Explain | FetchConfig | ConfigAnswer | Answer
)


class Envelope(NamedTuple):
    """A message with the number of its request.

    Attributes:
        request: Number that an answer shares with its request; 0 for a message that
            expects no answer.
        message: The message.
    """

    request: int
    message: Message
