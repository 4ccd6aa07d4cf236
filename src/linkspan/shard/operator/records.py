"""Follows the records that the operator writes to the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.shard._health_log import health_logger
from linkspan.shard.operator.configuration import ConfigurationWatch
from linkspan.shard.operator.evacuations import EvacuationWatch
from linkspan.store.follower import Follower

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from linkspan.events import EventLog
    from linkspan.model.configuration import Configuration
    from linkspan.store.types import Entry, Partition, Store

READ_WAIT_S = 1.1
"""Longest time for which a read waits for a new record. A slow store may accept a record while a
waiting read is on its way, and then does not answer that read early. A configuration must be in
force within two seconds."""


@dataclass(frozen=True)
class OperatorFormat:
    """Partition, keys and decoders of the operator's records.

    Attributes:
        partition: Partition that the operator writes.
        configuration_key: Key of the configuration.
        decode_configuration: Decodes the configuration.
        evacuated_hall: Returns the hall whose evacuation a key stands for, ``None`` for other keys.
    """

    partition: Partition
    configuration_key: bytes
    decode_configuration: Callable[[bytes], Configuration]
    evacuated_hall: Callable[[bytes], str | None]


class OperatorRecords:
    """Follower of the operator's records.

    Args:
        store: The platform's store.
        form: Partition, keys and decoders of the records.
        halls: All halls of the deployment.
        log: Event log.

    Attributes:
        configuration: The configuration in force.
        evacuations: The evacuations in force.
        follower: Reads the partition.
    """

    def __init__(
        self, store: Store, form: OperatorFormat, halls: Iterable[str], log: EventLog
    ) -> None:
        self.configuration = ConfigurationWatch(
            form.configuration_key, form.decode_configuration, log
        )
        self.evacuations = EvacuationWatch(halls, form.evacuated_hall, log)
        self.follower = Follower(
            store,
            form.partition,
            on_entries=self._on_entries,
            on_reset=self._on_reset,
            on_health=health_logger(log, form.partition),
        )
        self.follower.wait_s = READ_WAIT_S

    def __repr__(self) -> str:
        return f"OperatorRecords({self.configuration!r}, {self.evacuations!r})"

    def _on_reset(self, entries: Sequence[Entry], _end: int) -> None:
        in_order = sorted(entries)
        self.evacuations.reset(in_order, self._unread_s())
        self.configuration.apply(in_order)

    def _on_entries(self, entries: Sequence[Entry]) -> None:
        self.evacuations.apply(entries, self._unread_s())
        self.configuration.apply(entries)

    def _unread_s(self) -> float:
        """Return for how long at most the records that were just read lay in the store."""
        return steady() - self.follower.synced_at
