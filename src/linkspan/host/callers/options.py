"""How a listener serves its callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.host.callers.limits import DEFAULT_CAPACITY, CallerCapacity
from linkspan.model.configuration import RequestLimits

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable


def _ignore(_what: object) -> None:
    """Take no notice."""


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """Limits on callers, and who is told of refusals.

    Attributes:
        limits: Returns the limits on each request that are in force.
        capacity: Limits on what all callers together make the process hold.
        on_refusals: Called about once a second with the number of requests refused before their
            handler and of connections dropped, by reason, if there were any.
        on_error: Called with an exception of the handler.
    """

    limits: Callable[[], RequestLimits] = RequestLimits
    capacity: CallerCapacity = DEFAULT_CAPACITY
    on_refusals: Callable[[Counter[str]], None] = _ignore
    on_error: Callable[[Exception], None] = _ignore
