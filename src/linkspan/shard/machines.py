"""Machines as the platform's machine service lists them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class MachineState(Enum):
    """What a machine is doing."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class MachineRecord:
    """A machine.

    Attributes:
        name: Its name, which stays over restarts.
        service: Service whose executors it runs.
        state: What it is doing.
        executor_id: Id of its executor's incarnation; empty while it has none.
    """

    name: str
    service: str
    state: MachineState
    executor_id: str = ""


class MachineService(Protocol):
    """The platform's machine service."""

    async def machines(self) -> tuple[MachineRecord, ...]:
        """Return all machines.

        Raises:
            Unreachable: No answer, or a refusal.
        """


class MachineWatch:
    """Finds incarnations that the machine service lists no more.

    An executor that is only cut off stays listed, so one that is not listed has
    ended. A list may be made just before an executor registers, so it takes a
    second list, or silence, to believe it.
    """

    def __init__(self) -> None:
        self._missed: set[str] = set()

    def __repr__(self) -> str:
        return f"MachineWatch({len(self._missed)} missed)"

    def gone(
        self, machines: tuple[MachineRecord, ...], known: set[str], silent: set[str]
    ) -> set[str]:
        """Return the executors that have ended.

        Args:
            machines: A list that was asked for after ``silent`` was made.
            known: Executors to look for.
            silent: Those of them that gave no answer.
        """
        if not machines:
            return set()
        missing = known - {machine.executor_id for machine in machines}
        gone = missing & (self._missed | silent)
        self._missed = missing - gone
        return gone
