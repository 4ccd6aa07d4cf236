"""All checks of standing tasks that hold at any time of a scenario."""

from __future__ import annotations

from collections.abc import Callable, Set
from typing import TYPE_CHECKING

from tests.believed_tasks import BelievedTasks
from tests.host.disruptions import Disruptions
from tests.host.standing_rule import StandingRule
from tests.managed_tasks import ManagedTasks
from tests.virtual_time import world_time

if TYPE_CHECKING:
    from tests.hall_world import HallWorld


class StandingChecks:
    """Adds violations to a world where standing tasks wait, or are managed, in ways they must not.

    Attributes:
        disruptions: Times of the injected faults.
        rule: Checks how long tasks wait.
        managed: Checks that each task is managed by exactly one hall.
        believed: Checks that halls and executors agree on the runs.

    Args:
        world: The deployment.
        excused: Returns the ids of jobs whose tasks need not run.
    """

    def __init__(self, world: HallWorld, excused: Callable[[], Set[str]]) -> None:
        self._world = world
        self._excused = excused
        self.disruptions = Disruptions()
        self.rule = StandingRule(self.disruptions)
        self.managed = ManagedTasks(world)
        self.believed = BelievedTasks(world, self.managed, excused)
        world.watches.append(self._check)

    def _check(self) -> None:
        world = self._world
        world.violations += self.rule.check(world, world_time(), self._excused())
        self.managed.check()
        self.believed.check()
