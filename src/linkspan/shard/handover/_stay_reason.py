"""Why waiting work stays in its hall."""

from __future__ import annotations

from enum import Enum


class StayReason(Enum):
    """Why a step's waiting tasks are not handed over to another hall."""

    TOO_SOON = "it has not waited long enough to leave"
    DECISION = "it may have to be given up"
    RECORDING = "a handover of its job is being recorded"
    INHERITED = "executors of a former owner have not reported"
    NO_ROOM = "no other hall seems to have room"
    LOAD = "other halls have as much best-effort work"
    RETURN_DELAY = "it was delegated to this hall, which still tries to start it"
    UNDECIDED = "no search for other halls has looked at it"
