"""Logs whether the store answers the reads of a partition."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.events import EventLog
    from linkspan.store.types import Partition


def health_logger(log: EventLog, partition: Partition) -> Callable[[bool], None]:
    """Return a function that logs whether reads of a partition began to fail or recovered."""

    def log_health(healthy: bool) -> None:
        event = Event.STORE_BACK if healthy else Event.STORE_DOWN
        log.write(event, partition=partition.topic)

    return log_health
