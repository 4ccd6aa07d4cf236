"""What the parts of a plan share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.planning._plan_view import PlanView


class PlanPart:
    """One kind of orders of one plan.

    Args:
        view: What the plan works with.
    """

    def __init__(self, view: PlanView) -> None:
        self._view = view
        self._core = view.core
        self._now = view.now

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._view!r})"

    def order(self) -> None:
        """Add the orders that are due now."""
        raise NotImplementedError
