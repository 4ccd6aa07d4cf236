"""What the owner of a shard has stated about starts of standing tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.ownership.owner_record import OwnerRecord


class StartsStatement:
    """The newest tenure's statement, as a host reads it, and whether the host may rely on it.

    The statement holds for the newest tenure only. Records that neither its writer nor this host
    has read may hold the claim of a later one.
    """

    def __init__(self) -> None:
        self._read_from: int | None = None
        self._number = 0
        self._holds = False

    def __repr__(self) -> str:
        return f"StartsStatement({self._holds})"

    @property
    def holds(self) -> bool:
        """Whether standing tasks that a record shows without an attempt were started nowhere.

        It counts as untrue of owners whose claim and statement this host has not read.
        """
        return self._holds

    def on_read(self, offset: int) -> None:
        """Record that the ownership record at an offset was read."""
        if self._read_from is None:
            self._read_from = offset

    def on_unread(self) -> None:
        """Handle records that this host cannot read, and that may be claims."""
        self._read_from = None
        self._holds = False

    def on_claim(self, claim: OwnerRecord) -> None:
        """Apply the statement in a claim, which begins the newest tenure."""
        self._holds = claim.recorded_up_to > 0
        self._number = 0

    def on_new_tenure(self, renewal: OwnerRecord) -> None:
        """Apply the statement in a renewal of a tenure whose claim was not read."""
        read_from = self._read_from
        self._holds = read_from is not None and renewal.recorded_up_to >= max(read_from, 1)
        self._number = renewal.number

    def on_renewal(self, renewal: OwnerRecord) -> None:
        """Apply the statement in a renewal or release of the newest tenure.

        Records of a tenure may be appended in another order than they were sent.
        """
        if renewal.number > self._number:
            self.on_new_tenure(renewal)
