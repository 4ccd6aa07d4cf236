"""Machines listed by the platform's machine service, and executors missing from its lists."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol, TypeAlias

from linkspan.shard.incarnation import Incarnation

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet


class MachineState(Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class MachineRecord:
    """A machine.

    Attributes:
        name: Its name, which stays the same across restarts.
        service: Service whose executors it runs.
        state: Its state.
        executor_id: Id of its executor, without the incarnation; empty while it has none.
    """

    name: str
    service: str
    state: MachineState
    executor_id: str = ""


@dataclass(frozen=True, slots=True)
class UnreadMachines:
    """A part of a list that could not be decoded, except possibly for the id of an executor.

    Attributes:
        executor_id: Id of the executor; ``None`` if the part may stand for any machine, or for
            several.
    """

    executor_id: str | None = None


MachineList: TypeAlias = "tuple[MachineRecord | UnreadMachines, ...]"
"""Listed machines, and parts of the list that could not be decoded."""


class MachineService(Protocol):
    """The platform's machine service."""

    async def machines(self) -> MachineList:
        """Return all machines.

        Raises:
            Unreachable: The service did not answer or refused the request.
        """


class MachineWatch:
    """Finds executors that have ended because the machine service no longer lists them.

    An executor that is only cut off from the network stays listed, so an executor that is not
    listed has ended. A single list does not prove that: it may be older than the executor's
    registration, and its pages are not a consistent snapshot. An executor has ended when two
    consecutive lists miss it.

    A part of a list that could not be decoded but names its executor counts as that executor being
    listed. A part without a name may stand for any executor missing from the list. Such a list
    only proves which executors are present; for the others it is ignored, and the lists before and
    after it count as consecutive. An executor that has ended is then detected by its silence, which
    takes seconds longer. Wrongly taking an executor for ended would run its tasks twice.
    """

    def __init__(self) -> None:
        self._missing_since: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"MachineWatch({len(self._missing_since)} missing)"

    @property
    def missing(self) -> frozenset[str]:
        """Names of the executors that the last conclusive list did not contain."""
        return frozenset(self._missing_since)

    def find_ended(
        self, machines: MachineList, known: AbstractSet[str], *, asked: float = 0.0
    ) -> dict[str, float]:
        """Return the executors that have ended, with the time since when they are missing.

        Lists name executors by id alone, so an executor that restarted under its id is listed.

        Args:
            machines: A list that was requested after all of the executors were known.
            known: Names of the executors to look for; the state of other executors is kept.
            asked: Steady time at which the list was requested.

        Returns:
            For each executor that has ended, the request time of the first list without it.
        """
        if not machines:
            return {}
        listed = {machine.executor_id for machine in machines}
        present = {name for name in known if Incarnation.of(name).executor_id in listed}
        if None in listed:
            self._clear_missing(present)
            return {}
        missing = set(known) - present
        ended = {
            name: self._missing_since[name]
            for name in sorted(missing)
            if name in self._missing_since
        }
        self._clear_missing(known)
        self._missing_since |= dict.fromkeys(missing - ended.keys(), asked)
        return ended

    def _clear_missing(self, names: AbstractSet[str]) -> None:
        for name in names:
            self._missing_since.pop(name, None)
