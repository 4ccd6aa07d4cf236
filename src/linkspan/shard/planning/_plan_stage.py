"""Base class of the stages of a plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.planning._plan_view import PlanView


class PlanStage:
    """One stage of a plan, which adds orders of one kind.

    Args:
        view: The plan's view of the shard.
    """

    def __init__(self, view: PlanView) -> None:
        self._view = view
        self._core = view.core
        self._now = view.now

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._view!r})"

    def add_orders(self) -> None:
        """Add the orders that are due now."""
        raise NotImplementedError
