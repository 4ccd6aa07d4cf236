"""Versions of the configuration: the fold over the operators' stream."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import orjson

from linkspan.config.validate import errors_in
from linkspan.errors import RecordError

if TYPE_CHECKING:
    from linkspan.config.document import Document

CONFIG_STREAM = "config"
"""Name of the stream on the platform's log."""

VERDICTS_KEPT = 1_024
"""Verdicts on changes that are remembered for those who ask."""

IDS_KEPT = 256
"""Accepted changes whose ids are part of the state, so that none is made twice."""


@dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator offers.

    Attributes:
        change_id: The operator's own id; the same id twice is one change.
        base: Version that it was made on.
        author: Who made it.
        values: New values by key.
        deleted: Keys to remove.
    """

    change_id: str
    base: int
    author: str
    values: dict[str, Any] = field(default_factory=dict)
    deleted: tuple[str, ...] = ()

    @property
    def touched(self) -> frozenset[str]:
        """The keys that it sets or removes."""
        return frozenset(self.values).union(self.deleted)


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """What became of a change.

    Attributes:
        accepted: Whether it is in force from ``version`` on.
        version: The version that it made, or the one that it met.
        reason: Why it was refused.
        conflicts: Keys that somebody else changed after its base.
    """

    accepted: bool
    version: int
    reason: str = ""
    conflicts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigState:
    """A version of the configuration.

    Attributes:
        version: One more than the offset of the record that made it, so that
            versions only grow; 0 before the first.
        document: The values by key.
        key_versions: The version that last changed each key, removed ones too.
        recent: The version that each of the latest accepted changes made, by id.
    """

    version: int = 0
    document: Document = field(default_factory=lambda: MappingProxyType({}))
    key_versions: dict[str, int] = field(default_factory=dict)
    recent: dict[str, int] = field(default_factory=dict)


class ConfigStore:
    """The configuration in force, which never goes back.

    It moves on by records of the stream, and by states that peers or snapshot
    records give; a state older than the one in force is left out.
    """

    def __init__(self) -> None:
        self._state = ConfigState()
        self._verdicts: dict[str, ChangeResult] = {}
        self.next_offset = 0

    def __repr__(self) -> str:
        return f"ConfigStore(version={self.version}, keys={len(self._state.document)})"

    @property
    def state(self) -> ConfigState:
        """The state in force."""
        return self._state

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self._state.version

    def result_of(self, change_id: str) -> ChangeResult | None:
        """Return what became of a change, None when that is not known here."""
        return self._verdicts.get(change_id)

    def adopt(self, state: ConfigState) -> bool:
        """Take over a state from a peer or snapshot if it is newer.

        Returns:
            Whether it was newer.
        """
        if state.version <= self.version:
            return False
        self._state = state
        self.next_offset = max(self.next_offset, state.version)
        return True

    def apply(self, offset: int, body: bytes) -> ChangeResult | None:
        """Fold in the record at ``offset``.

        Returns:
            The verdict on the change, None for anything else.
        """
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        try:
            record = decode_config(body)
        except RecordError:
            return None
        if isinstance(record, ConfigState):
            self.adopt(record)
            return None
        verdict = self._decide(offset, record)
        self._verdicts[record.change_id] = verdict
        while len(self._verdicts) > VERDICTS_KEPT:
            del self._verdicts[next(iter(self._verdicts))]
        return verdict

    def _decide(self, offset: int, change: Change) -> ChangeResult:
        state = self._state
        if change.change_id in state.recent:
            return ChangeResult(True, state.recent[change.change_id])
        conflicts = sorted(k for k in change.touched if state.key_versions.get(k, 0) > change.base)
        if conflicts:
            reason = f"changed since version {change.base}; read them and offer it again"
            return ChangeResult(False, self.version, reason, tuple(conflicts))
        document = merged(state.document, change)
        errors = errors_in(document)
        if errors:
            return ChangeResult(False, self.version, f"{errors[0].key}: {errors[0].text}")
        version = offset + 1
        key_versions = {**state.key_versions, **dict.fromkeys(change.touched, version)}
        recent = {**state.recent, change.change_id: version}
        if len(recent) > IDS_KEPT:
            del recent[next(iter(recent))]
        self._state = ConfigState(version, MappingProxyType(document), key_versions, recent)
        return ChangeResult(True, version)


def merged(document: Document, change: Change) -> dict[str, Any]:
    """Return the document with the change made to it."""
    values = {**document, **change.values}
    for key in change.deleted:
        values.pop(key, None)
    return values


def encode_change(change: Change) -> bytes:
    """Return a change's bytes on the log."""
    return orjson.dumps({"change": change})


def encode_state(state: ConfigState) -> bytes:
    """Return a state's bytes, for peers and for snapshots on the log."""
    return orjson.dumps(
        {
            "state": {
                "version": state.version,
                "document": dict(state.document),
                "key_versions": state.key_versions,
                "recent": state.recent,
            }
        }
    )


def decode_config(body: bytes) -> Change | ConfigState:
    """Return what a record of the configuration stream holds.

    Raises:
        RecordError: It holds neither a change nor a state.
    """
    try:
        fields = orjson.loads(body)
        if "state" in fields:
            state = fields["state"]
            document = MappingProxyType(dict(state["document"]))
            return ConfigState(
                int(state["version"]), document, dict(state["key_versions"]), dict(state["recent"])
            )
        change = fields["change"]
        return Change(
            str(change["change_id"]),
            int(change["base"]),
            str(change["author"]),
            dict(change["values"]),
            tuple(map(str, change["deleted"])),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"not a configuration record: {error!r}") from error
